"""Which workers an entry host sets aside because they fail, are slow or never answer.

Outcomes of a worker are set against those of its service and class, and those of a job
against the other workers that ran it. The judgement costs a constant number of steps
for each task sent and each outcome. It only withholds new tasks: a task that was sent
stays where it is.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from burdockgate import clock, messages, settings
from burdockgate.process import detectors, metrics

RUN_MEMORY = 100
TRUST_STEP = 0.3
# Slowness is not judged before a class has this many run times.
WARM_UP = 30
# Run times of the workload spread by a factor of about e around their mean; with the
# default factor, this sum is reached by chance once in about a million outcomes.
SLOW_SCORE = 8.0
SLOW_BRINK = 6.0
SLOW_CLIP = math.log(10.0)
# A task is overdue after this many times the usual run time of its class.
OVERDUE_FACTOR = 30.0
# Two overdue tasks without any answer since, or one that is overdue twice as long,
# weigh as the failures for which a worker is ejected.
OVERDUE_TASKS = 2
# Failures in a row at a larger share of the workers are the fault of the jobs.
ROWS_MAX = 0.5
FAILED_JOBS = 4096
GROUPS = 1000
TICK_S = 0.25
# Longer than the longest deadline; the outcome of an older task is not awaited.
FORGET_S = messages.LONGEST_DEADLINE_S + 30.0

_ENDED = (
    messages.TaskState.DONE,
    messages.TaskState.FAILED,
    messages.TaskState.OVERSIZE,
)
_FAILED = (messages.TaskState.FAILED, messages.TaskState.UNKNOWN)


class HealthMonitor:
    """Judges the workers that one entry host knows.

    :param config: the settings.
    :param time: the clock.
    :param counters: the process's metrics.
    :param detector: weighs failures; ``None`` for
        :class:`detectors.LikelihoodDetector`.
    """

    def __init__(
        self,
        config: settings.HealthSettings,
        time: clock.Clock,
        counters: metrics.Metrics,
        detector: detectors.FailureDetector | None = None,
    ) -> None:
        self._config = config
        self._time = time
        self._counters = counters
        self._detector = detector or detectors.LikelihoodDetector(config.failures)
        self._slow_offset = math.log(config.slow_factor) / 2
        self._record_by_name: dict[str, detectors.WorkerRecord] = {}
        self._out_by_name: dict[str, detectors.WorkerRecord] = {}
        self._known_by_service: collections.Counter[str] = collections.Counter()
        self._ejected_by_service: collections.Counter[str] = collections.Counter()
        self._in_row_by_service: collections.Counter[str] = collections.Counter()
        self._group_by_key: dict[tuple[str, str], detectors.OutcomeStatistics] = {}
        self._whole_by_service: dict[str, detectors.OutcomeStatistics] = {}
        self._sent_by_task: dict[tuple[bytes, int], detectors.Sent] = {}
        self._late: collections.deque[detectors.Sent] = collections.deque()
        self._failed_by_job: dict[bytes, detectors.FailedJob] = {}
        self._ticked_at = -math.inf
        self._watcher: Callable[[detectors.WorkerRecord], None] | None = None
        # Tests drive cores without a daemon that takes the changes.
        self.changes: collections.deque[detectors.Change] = collections.deque(
            maxlen=1000
        )

    @property
    def _brink(self) -> float:
        """Score from which one failure ejects a worker, if none fails elsewhere."""
        return self._detector.threshold * (1 - 0.4 / self._detector.failures_to_eject)

    # Workers

    def watch(self, watcher: Callable[[detectors.WorkerRecord], None]) -> None:
        """Set what is called after a change of a worker's allowance.

        :param watcher: called with the worker's record.
        """
        self._watcher = watcher

    def join(self, hello: messages.Hello) -> detectors.WorkerRecord:
        """Begin a session with a worker and return its record.

        :param hello: the announcement of its agent. The state outlives a session, but
            not the agent's process.
        """
        name, service = hello.node.name, hello.service
        self.leave(name)
        record = self._record_by_name.get(name)
        if record is None or record.boot != hello.node.boot:
            self._out_by_name.pop(name, None)
            self._show_out()
            record = detectors.WorkerRecord(name, service, hello.node.boot)
            self._record_by_name[name] = record
        record.is_connected = True
        record.session += 1
        record.in_flight = 0
        self._known_by_service[service] += 1
        self._ejected_by_service[service] += (
            record.state is detectors.HealthState.EJECTED
        )
        self._allow(record)
        return record

    def leave(self, name: str) -> None:
        """End the session with a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        record = self._record_by_name.get(name)
        if record is None or not record.is_connected:
            return
        self._set_told(record, 0)
        record.is_connected = False
        self._known_by_service[record.service] -= 1
        self._ejected_by_service[record.service] -= (
            record.state is detectors.HealthState.EJECTED
        )
        if record.state is detectors.HealthState.HEALTHY:
            del self._record_by_name[name]

    def _allow(self, record: detectors.WorkerRecord) -> None:
        """Set what may be sent: on probation one task at a time."""
        if record.state is detectors.HealthState.HEALTHY:
            record.allowance = detectors.UNLIMITED
        elif record.state is detectors.HealthState.EJECTED:
            record.allowance = 0
        else:
            record.allowance = 1 - record.in_flight
        if self._watcher is not None:
            self._watcher(record)

    # Tasks

    def record_sent(
        self, record: detectors.WorkerRecord, caller_class: str, job: bytes, index: int
    ) -> None:
        """Note a task that was sent.

        :param record: the worker.
        :param caller_class: class of the job's caller.
        :param job: 16-byte job id.
        :param index: index of the task.
        """
        group = self._group(record.service, caller_class)
        task = detectors.Sent(
            record, group, job, index, self._time.now(), record.session
        )
        older = self._sent_by_task.get((job, index))
        if older is not None:
            # The job's next attempt has begun before the last one was reported.
            self._end(older)
        self._sent_by_task[job, index] = task
        group.due.append(task)
        record.in_flight += 1
        self._allow(record)

    def _group(self, service: str, caller_class: str) -> detectors.OutcomeStatistics:
        key = (service, caller_class)
        if key not in self._group_by_key:
            # Callers choose the names of classes, so their number must be bounded.
            if len(self._group_by_key) >= GROUPS:
                key = (service, "")
            whole = self._whole_by_service.setdefault(
                service, detectors.OutcomeStatistics()
            )
            self._group_by_key.setdefault(key, detectors.OutcomeStatistics(whole))
        return self._group_by_key[key]

    def record_results(self, message: messages.Results) -> None:
        """Take the outcomes that an agent reports.

        :param message: the reports; those of tasks that are not awaited are ignored.
        """
        for report in message.reports:
            if report.state is messages.TaskState.RUNNING:
                continue
            key = (message.job, report.index)
            task = self._sent_by_task.get(key)
            if task is not None and task.record.boot == message.boot:
                del self._sent_by_task[key]
                self._end(task)
                self._judge(task, report)

    def _end(self, task: detectors.Sent) -> None:
        if task.session == task.record.session:
            task.record.in_flight -= 1
            self._allow(task.record)

    def _judge(self, task: detectors.Sent, report: messages.TaskReport) -> None:
        record = task.record
        if self._record_by_name.get(record.name) is not record:
            # The worker's session was lost meanwhile, and its record with it.
            return
        if report.state in _ENDED:
            record.answered_at = self._time.now()
        if report.state in _FAILED:
            self._fail(task, detectors.EjectionReason.FAILING)
        elif report.state is messages.TaskState.DONE:
            self._succeed(task, report.run_ms)

    def _succeed(self, task: detectors.Sent, run_ms: float) -> None:
        record, group = task.record, task.group
        record.trust += (1.0 - record.trust) * TRUST_STEP
        record.row = 0
        self._set_told(record, 0)
        group.saw(0.0, record.trust)
        if record.state is detectors.HealthState.EJECTED:
            return
        record.failure_score = self._detector.score_after_success(record, group)
        if not self._is_slow(task, run_ms):
            self._prove(record)

    def _is_slow(self, task: detectors.Sent, run_ms: float) -> bool:
        """Take a run time, and return whether it got the worker ejected.

        Tasks of one job are alike, so a job counts as evidence of slowness only once
        in a row.
        """
        record, group = task.record, task.group
        over = math.log(max(run_ms, 1.0)) - group.log_ms
        if group.runs >= WARM_UP:
            step = min(over, SLOW_CLIP) - self._slow_offset
            if step < 0 or record.slow_job != task.job:
                record.slow = max(0.0, record.slow + step)
            if step > 0:
                record.slow_job = task.job
        group.runs += 1
        group.log_ms += over / min(group.runs, RUN_MEMORY)
        if record.slow < SLOW_SCORE:
            return False
        return self._eject(record, detectors.EjectionReason.SLOW)

    def _fail(self, task: detectors.Sent, reason: detectors.EjectionReason) -> None:
        """Count a failure, at most one for each job but for overdue tasks."""
        record, group = task.record, task.group
        # The other workers' view of this one, from before this failure.
        is_trusted = group.trusts(record.trust)
        if record.failed_job != task.job:
            record.failed_job = task.job
            record.trust -= record.trust * TRUST_STEP
        first = self._failed_by_job.get(task.job)
        if first is not None and first.record is not record and is_trusted:
            group.saw(1.0, record.trust)
            self._excuse(first)
            return
        if (
            first is not None
            and first.record is record
            and (reason is not detectors.EjectionReason.SILENT or not first.weight)
        ):
            return
        weight = self._detector.failure_weight(record, group)
        group.saw(1.0, record.trust)
        if reason is detectors.EjectionReason.SILENT:
            weight *= self._detector.failures_to_eject / OVERDUE_TASKS
        earlier = first.weight if first is not None and first.record is record else 0.0
        self._remember(detectors.FailedJob(task.job, record, earlier + weight))
        if record.state is detectors.HealthState.EJECTED:
            return
        record.failure_score += weight
        record.row += 1
        if record.failure_score + self._told(record) >= self._detector.threshold:
            self._eject(record, reason)
        elif record.state is detectors.HealthState.PROBATION:
            self._prove(record)

    def _excuse(self, first: detectors.FailedJob) -> None:
        """Take a failure back: a worker that is trusted failed the same job."""
        if not first.weight:
            return
        self._counters.count("health.excused")
        record = first.record
        record.failure_score = max(0.0, record.failure_score - first.weight)
        record.row = max(0, record.row - 1)
        first.weight = 0.0
        if (
            record.state is detectors.HealthState.EJECTED
            and record.reason is not detectors.EjectionReason.SLOW
            and record.told < 2
            and record.failure_score < self._detector.threshold / 2
        ):
            # Little is left of the evidence that ejected the worker.
            record.ejected_until = self._time.now()

    def _remember(self, failed: detectors.FailedJob) -> None:
        self._failed_by_job[failed.job] = failed
        if len(self._failed_by_job) > FAILED_JOBS:
            del self._failed_by_job[next(iter(self._failed_by_job))]

    def record_reported_failures(
        self, record: detectors.WorkerRecord, count: int
    ) -> None:
        """Take the failed jobs in a row that an agent has seen for all entry hosts.

        :param record: the worker.
        :param row: number of jobs; a success begins anew.
        """
        self._set_told(record, count)
        if (
            record.state is not detectors.HealthState.EJECTED
            and record.row
            and record.failure_score + self._told(record) >= self._detector.threshold
        ):
            self._eject(record, detectors.EjectionReason.FAILING)

    def _set_told(self, record: detectors.WorkerRecord, row: int) -> None:
        """Keep the number of workers in a row of failures up to date."""
        if record.is_connected:
            change = (row > 1) - (record.told > 1)
            self._in_row_by_service[record.service] += change
        record.told = row

    def _told(self, record: detectors.WorkerRecord) -> float:
        """Return the weight of the failures in a row that were seen elsewhere.

        Whether their jobs failed on other workers too is not told. So they count only
        beside a failure that was seen here, and not while many workers report them.
        """
        others = record.told - record.row
        service = record.service
        limit = ROWS_MAX * self._known_by_service[service]
        if not record.row or others <= 0 or self._in_row_by_service[service] > limit:
            return 0.0
        whole = self._whole_by_service[service]
        return others * self._detector.failure_weight(record, whole)

    def freed(self, record: detectors.WorkerRecord) -> None:
        """Note that a worker has more free slots than before.

        Another entry host's task has ended there, so the worker is not silent.

        :param record: the worker.
        """
        record.answered_at = self._time.now()

    # States

    def _eject(
        self, record: detectors.WorkerRecord, reason: detectors.EjectionReason
    ) -> bool:
        """Eject a worker unless too many of its service are; return whether it is."""
        service = record.service
        if self._ejected_by_service[service] >= self._cap(service):
            # It takes new evidence, weighed by then, to eject it later.
            record.failure_score = min(record.failure_score, self._brink)
            record.slow = min(record.slow, SLOW_BRINK)
            self._counters.count("health.capped")
            return False
        now, config = self._time.now(), self._config
        if now - record.readmitted_at > config.max_ejection_s and (
            record.state is detectors.HealthState.HEALTHY
        ):
            record.ejections = 0
        # The exponent is bounded so that the power stays a finite number.
        factor = 2.0 ** min(record.ejections, 32)
        seconds = min(config.ejection_s * factor, config.max_ejection_s)
        record.ejections += 1
        record.ejected_until = now + seconds
        record.reason = reason
        self._ejected_by_service[service] += record.is_connected
        self._out_by_name[record.name] = record
        self._counters.count("health.ejections")
        self._change(record, detectors.HealthState.EJECTED, seconds)
        return True

    def _cap(self, service: str) -> int:
        known, share = self._known_by_service[service], self._config.max_ejected_share
        if known < 2 or share == 0:
            return 0
        return max(1, int(known * share))

    def _change(
        self,
        record: detectors.WorkerRecord,
        state: detectors.HealthState,
        seconds: float = 0.0,
    ) -> None:
        record.state = state
        self._allow(record)
        self._show_out()
        self.changes.append(
            detectors.Change(record.name, state, record.reason, seconds)
        )

    def _show_out(self) -> None:
        self._counters.gauge("health.out", len(self._out_by_name))

    def _prove(self, record: detectors.WorkerRecord) -> None:
        """Count a task on probation, and readmit the worker after enough of them."""
        if record.state is not detectors.HealthState.PROBATION:
            return
        record.proved += 1
        if record.proved >= self._config.probation_tasks:
            del self._out_by_name[record.name]
            record.failure_score = record.slow = 0.0
            record.readmitted_at = self._time.now()
            self._counters.count("health.readmissions")
            self._change(record, detectors.HealthState.HEALTHY)

    def is_suspect(self, record: detectors.WorkerRecord) -> bool:
        """Return whether one more failure would eject a worker, but for the cap.

        :param record: the worker.
        """
        return record.failure_score >= self._brink or record.slow >= SLOW_BRINK

    # Time

    def tick(self) -> None:
        """Judge overdue tasks and end ejections; call at least once a second."""
        now = self._time.now()
        if now - self._ticked_at < TICK_S:
            return
        self._ticked_at = now
        for group in self._group_by_key.values():
            self._check_due(group, now)
        while self._late and now - self._late[0].at >= FORGET_S:
            self._forget(self._late.popleft())
        for record in list(self._out_by_name.values()):
            if now < record.ejected_until:
                continue
            if record.is_connected:
                self._release(record)
            elif now - record.ejected_until >= self._config.max_ejection_s:
                del self._out_by_name[record.name]
                del self._record_by_name[record.name]
                self._show_out()

    def _check_due(self, group: detectors.OutcomeStatistics, now: float) -> None:
        usual_s = math.exp(group.log_ms) / 1000 if group.runs else 0.0
        limit_s = max(self._config.overdue_s, OVERDUE_FACTOR * usual_s)
        self._check_silence(group.due, group.overdue, now - limit_s)
        self._check_silence(group.overdue, self._late, now - 2 * limit_s)

    def _check_silence(
        self,
        due: collections.deque[detectors.Sent],
        later: collections.deque[detectors.Sent],
        sent_before: float,
    ) -> None:
        while due and due[0].at <= sent_before:
            task = due.popleft()
            if self._sent_by_task.get((task.job, task.index)) is not task:
                continue
            later.append(task)
            record = task.record
            is_current = record.is_connected and task.session == record.session
            if is_current and record.answered_at <= task.at:
                self._counters.count("health.overdue")
                self._fail(task, detectors.EjectionReason.SILENT)

    def _forget(self, task: detectors.Sent) -> None:
        key = (task.job, task.index)
        if self._sent_by_task.get(key) is task:
            del self._sent_by_task[key]
            self._end(task)

    def _release(self, record: detectors.WorkerRecord) -> None:
        """Put an ejected worker on probation; one more failure ejects it again."""
        if record.state is not detectors.HealthState.EJECTED:
            return
        self._ejected_by_service[record.service] -= 1
        record.proved = 0
        # An agent goes on telling the row of failures that ended in the ejection.
        record.row = 0
        record.failure_score = self._brink
        record.slow = (
            SLOW_BRINK if record.reason is detectors.EjectionReason.SLOW else 0.0
        )
        self._change(record, detectors.HealthState.PROBATION)
