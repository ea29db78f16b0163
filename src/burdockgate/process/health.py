"""Ejection of workers that fail, are slow or do not answer, by one entry host.

The outcomes of a worker are compared with those of its service and class, and a failed
job with its outcomes on other workers. The cost per sent task and per outcome is
constant. An ejected worker gets no new task; tasks already sent stay there.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from burdockgate import clock, messages, settings
from burdockgate.process import detectors, metrics

# Window of the moving average of run times, in tasks.
RUN_TIME_WINDOW = 100
# Weight of the newest outcome in the trust of a worker.
TRUST_STEP = 0.3
# A class needs this many run times before workers are compared with its mean.
MIN_RUN_TIMES = 30
# Run times of the workload vary by a factor of about e around their mean. With the
# default slow factor, a healthy worker reaches this score about once in a million
# outcomes.
SLOWNESS_THRESHOLD = 8.0
# The slowness score is cut to this value when the cap prevents an ejection, and starts
# at it on probation.
SUSPECT_SLOWNESS = 6.0
# Upper bound of what one run time adds to the slowness score, before the offset.
MAX_LOG_EXCESS = math.log(10.0)
# A task is overdue after this multiple of the mean run time of its class.
OVERDUE_FACTOR = 30.0
# Number of overdue reports, without any answer since, that weigh as much as the
# failures that eject a worker. A task counts when it passes the limit, and again at
# twice the limit.
OVERDUE_TASKS_TO_EJECT = 2
# When more than this share of the workers report consecutive failures, the jobs are
# taken to be at fault.
MAX_FAILING_SHARE = 0.5
MAX_FAILED_JOBS = 4096
MAX_CLASSES = 1000
TICK_INTERVAL_S = 0.25
# Longer than the longest deadline; outcomes of older tasks are no longer awaited.
OUTCOME_TIMEOUT_S = messages.MAX_DEADLINE_S + 30.0

_ANSWER_STATES = (
    messages.TaskState.DONE,
    messages.TaskState.FAILED,
    messages.TaskState.OVERSIZE,
)
_FAILURE_STATES = (messages.TaskState.FAILED, messages.TaskState.UNKNOWN)


class HealthMonitor:
    """Tracks the health of the workers that one entry host knows.

    :param config: the settings.
    :param time: the clock.
    :param counters: the metrics of the process.
    :param detector: computes the failure scores; ``None`` for a
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
        self._slowness_offset = math.log(config.slow_factor) / 2
        self._record_by_name: dict[str, detectors.WorkerRecord] = {}
        self._unhealthy_by_name: dict[str, detectors.WorkerRecord] = {}
        self._connected_by_service: collections.Counter[str] = collections.Counter()
        self._ejected_by_service: collections.Counter[str] = collections.Counter()
        self._failing_by_service: collections.Counter[str] = collections.Counter()
        self._stats_by_key: dict[tuple[str, str], detectors.OutcomeStatistics] = {}
        self._stats_by_service: dict[str, detectors.OutcomeStatistics] = {}
        self._sent_by_task: dict[tuple[bytes, int], detectors.SentTask] = {}
        self._long_overdue: collections.deque[detectors.SentTask] = collections.deque()
        self._failed_by_job: dict[bytes, detectors.FailedJob] = {}
        self._last_tick_at = -math.inf
        self._allowance_listener: Callable[[detectors.WorkerRecord], None] | None = None
        # Bounded, because tests run an entry host's state machine without the daemon
        # that consumes the changes.
        self.changes: collections.deque[detectors.StateChange] = collections.deque(
            maxlen=1000
        )

    @property
    def _suspect_score(self) -> float:
        """Score at which one failure ejects a worker when no task fails elsewhere."""
        return self._detector.threshold * (1 - 0.4 / self._detector.failures_to_eject)

    # Workers

    def set_allowance_listener(
        self, listener: Callable[[detectors.WorkerRecord], None]
    ) -> None:
        """Set the function that is called when a worker's allowance may have changed.

        :param listener: called with the worker's record.
        """
        self._allowance_listener = listener

    def join(self, hello: messages.Hello) -> detectors.WorkerRecord:
        """Start a session with a worker and return its record.

        The state of a worker that is ejected or on probation survives the end of a
        session, but not a restart of the agent.

        :param hello: the announcement of its agent.
        """
        name, service = hello.node.name, hello.service
        self.leave(name)
        record = self._record_by_name.get(name)
        if record is None or record.boot != hello.node.boot:
            self._unhealthy_by_name.pop(name, None)
            self._update_unhealthy_gauge()
            record = detectors.WorkerRecord(name, service, hello.node.boot)
            self._record_by_name[name] = record
        record.is_connected = True
        record.session_number += 1
        record.in_flight = 0
        self._connected_by_service[service] += 1
        self._ejected_by_service[service] += (
            record.state is detectors.HealthState.EJECTED
        )
        self._update_allowance(record)
        return record

    def leave(self, name: str) -> None:
        """End the session with a worker.

        :param name: name of its agent; an unknown one is ignored.
        """
        record = self._record_by_name.get(name)
        if record is None or not record.is_connected:
            return
        self._set_reported_failures(record, 0)
        record.is_connected = False
        self._connected_by_service[record.service] -= 1
        self._ejected_by_service[record.service] -= (
            record.state is detectors.HealthState.EJECTED
        )
        if record.state is detectors.HealthState.HEALTHY:
            del self._record_by_name[name]

    def _update_allowance(self, record: detectors.WorkerRecord) -> None:
        """Set the allowance for the state; it is one task at a time on probation."""
        if record.state is detectors.HealthState.HEALTHY:
            record.allowance = detectors.UNLIMITED
        elif record.state is detectors.HealthState.EJECTED:
            record.allowance = 0
        else:
            record.allowance = 1 - record.in_flight
        if self._allowance_listener is not None:
            self._allowance_listener(record)

    # Tasks

    def record_sent(
        self, record: detectors.WorkerRecord, caller_class: str, job: bytes, index: int
    ) -> None:
        """Record a task that was sent.

        :param record: the worker.
        :param caller_class: class of the job's caller.
        :param job: 16-byte job id.
        :param index: index of the task.
        """
        stats = self._class_stats(record.service, caller_class)
        task = detectors.SentTask(
            record, stats, job, index, self._time.now(), record.session_number
        )
        previous = self._sent_by_task.get((job, index))
        if previous is not None:
            # The next attempt of the job started before the last one was reported.
            self._remove_in_flight(previous)
        self._sent_by_task[job, index] = task
        stats.awaited.append(task)
        record.in_flight += 1
        self._update_allowance(record)

    def _class_stats(
        self, service: str, caller_class: str
    ) -> detectors.OutcomeStatistics:
        key = (service, caller_class)
        if key not in self._stats_by_key:
            # Callers choose the names of classes, so the number of classes is bounded.
            if len(self._stats_by_key) >= MAX_CLASSES:
                key = (service, "")
            service_stats = self._stats_by_service.setdefault(
                service, detectors.OutcomeStatistics()
            )
            self._stats_by_key.setdefault(
                key, detectors.OutcomeStatistics(service_stats)
            )
        return self._stats_by_key[key]

    def record_results(self, message: messages.Results) -> None:
        """Record the outcomes that an agent reports.

        :param message: the reports; tasks that are not awaited are ignored.
        """
        for report in message.reports:
            if report.state is messages.TaskState.RUNNING:
                continue
            key = (message.job, report.index)
            task = self._sent_by_task.get(key)
            if task is not None and task.record.boot == message.boot:
                del self._sent_by_task[key]
                self._remove_in_flight(task)
                self._record_outcome(task, report)

    def _remove_in_flight(self, task: detectors.SentTask) -> None:
        if task.session_number == task.record.session_number:
            task.record.in_flight -= 1
            self._update_allowance(task.record)

    def _record_outcome(
        self, task: detectors.SentTask, report: messages.TaskReport
    ) -> None:
        record = task.record
        if self._record_by_name.get(record.name) is not record:
            # The session was lost after the task was sent, and the record was dropped.
            return
        if report.state in _ANSWER_STATES:
            record.last_answer_at = self._time.now()
        if report.state in _FAILURE_STATES:
            self._record_failure(task, detectors.EjectionReason.FAILING)
        elif report.state is messages.TaskState.DONE:
            self._record_success(task, report.run_ms)

    def _record_success(self, task: detectors.SentTask, run_ms: float) -> None:
        record, stats = task.record, task.stats
        record.trust += (1.0 - record.trust) * TRUST_STEP
        record.consecutive_failures = 0
        self._set_reported_failures(record, 0)
        stats.add_outcome(0.0, record.trust)
        if record.state is detectors.HealthState.EJECTED:
            return
        record.failure_score = self._detector.score_after_success(record, stats)
        if not self._record_run_time(task, run_ms):
            self._count_probation_outcome(record)

    def _record_run_time(self, task: detectors.SentTask, run_ms: float) -> bool:
        """Update the slowness score and return whether the worker was ejected.

        Tasks of one job have similar run times, so consecutive slow tasks of the same
        job count once.
        """
        record, stats = task.record, task.stats
        excess = math.log(max(run_ms, 1.0)) - stats.mean_log_ms
        if stats.run_count >= MIN_RUN_TIMES:
            step = min(excess, MAX_LOG_EXCESS) - self._slowness_offset
            if step < 0 or record.last_slow_job != task.job:
                record.slowness_score = max(0.0, record.slowness_score + step)
            if step > 0:
                record.last_slow_job = task.job
        stats.run_count += 1
        stats.mean_log_ms += excess / min(stats.run_count, RUN_TIME_WINDOW)
        if record.slowness_score < SLOWNESS_THRESHOLD:
            return False
        return self._eject(record, detectors.EjectionReason.SLOW)

    def _record_failure(
        self, task: detectors.SentTask, reason: detectors.EjectionReason
    ) -> None:
        """Update the failure score; only overdue tasks count more than once per job."""
        record, stats = task.record, task.stats
        # Compared before this failure lowers the worker's own trust.
        is_trusted = stats.is_trusted(record.trust)
        if record.last_failed_job != task.job:
            record.last_failed_job = task.job
            record.trust -= record.trust * TRUST_STEP
        earlier_failure = self._failed_by_job.get(task.job)
        if (
            earlier_failure is not None
            and earlier_failure.record is not record
            and is_trusted
        ):
            # The job failed on another worker before and now on a trusted one, so
            # neither failure adds to a score.
            stats.add_outcome(1.0, record.trust)
            self._excuse(earlier_failure)
            return
        if (
            earlier_failure is not None
            and earlier_failure.record is record
            and (
                reason is not detectors.EjectionReason.SILENT
                or not earlier_failure.weight
            )
        ):
            # The job has counted against this worker already. Only overdue tasks add
            # to that, and only if its weight was not cancelled.
            return
        weight = self._detector.failure_weight(record, stats)
        stats.add_outcome(1.0, record.trust)
        if reason is detectors.EjectionReason.SILENT:
            weight *= self._detector.failures_to_eject / OVERDUE_TASKS_TO_EJECT
        earlier_weight = (
            earlier_failure.weight
            if earlier_failure is not None and earlier_failure.record is record
            else 0.0
        )
        self._store_failed_job(
            detectors.FailedJob(task.job, record, earlier_weight + weight)
        )
        if record.state is detectors.HealthState.EJECTED:
            return
        record.failure_score += weight
        record.consecutive_failures += 1
        if (
            record.failure_score + self._reported_failure_weight(record)
            >= self._detector.threshold
        ):
            self._eject(record, reason)
        elif record.state is detectors.HealthState.PROBATION:
            self._count_probation_outcome(record)

    def _excuse(self, failed_job: detectors.FailedJob) -> None:
        """Cancel the weight of a failure, as a trusted worker failed the same job."""
        if not failed_job.weight:
            return
        self._counters.count("health.excused")
        record = failed_job.record
        record.failure_score = max(0.0, record.failure_score - failed_job.weight)
        record.consecutive_failures = max(0, record.consecutive_failures - 1)
        failed_job.weight = 0.0
        if (
            record.state is detectors.HealthState.EJECTED
            and record.reason is not detectors.EjectionReason.SLOW
            and record.reported_failures < 2
            and record.failure_score < self._detector.threshold / 2
        ):
            # Less than half of the evidence for the ejection is left, so it ends.
            record.ejected_until = self._time.now()

    def _store_failed_job(self, failed_job: detectors.FailedJob) -> None:
        self._failed_by_job[failed_job.job] = failed_job
        if len(self._failed_by_job) > MAX_FAILED_JOBS:
            del self._failed_by_job[next(iter(self._failed_by_job))]

    def record_reported_failures(
        self, record: detectors.WorkerRecord, count: int
    ) -> None:
        """Record the number of consecutive failed jobs that an agent reports.

        :param record: the worker.
        :param count: number of jobs over all entry hosts; a success resets it.
        """
        self._set_reported_failures(record, count)
        if (
            record.state is not detectors.HealthState.EJECTED
            and record.consecutive_failures
            and record.failure_score + self._reported_failure_weight(record)
            >= self._detector.threshold
        ):
            self._eject(record, detectors.EjectionReason.FAILING)

    def _set_reported_failures(
        self, record: detectors.WorkerRecord, count: int
    ) -> None:
        """Set the number, and count the workers that report more than one failure."""
        if record.is_connected:
            change = (count > 1) - (record.reported_failures > 1)
            self._failing_by_service[record.service] += change
        record.reported_failures = count

    def _reported_failure_weight(self, record: detectors.WorkerRecord) -> float:
        """Return the weight of the consecutive failures at other entry hosts.

        ``reported_failures`` counts those at all entry hosts, and
        ``consecutive_failures`` those at this one.

        The report does not say whether the jobs failed on other workers too. So these
        failures count only together with one at this entry host, and not while many
        workers report consecutive failures.
        """
        others = record.reported_failures - record.consecutive_failures
        service = record.service
        limit = MAX_FAILING_SHARE * self._connected_by_service[service]
        if (
            not record.consecutive_failures
            or others <= 0
            or self._failing_by_service[service] > limit
        ):
            return 0.0
        service_stats = self._stats_by_service[service]
        return others * self._detector.failure_weight(record, service_stats)

    def record_freed_slot(self, record: detectors.WorkerRecord) -> None:
        """Record that a worker has more free slots than before.

        A task has ended there, also if another entry host sent it, so the worker is not
        silent.

        :param record: the worker.
        """
        record.last_answer_at = self._time.now()

    # States

    def _eject(
        self, record: detectors.WorkerRecord, reason: detectors.EjectionReason
    ) -> bool:
        """Eject a worker unless its service is at the cap; return whether it was."""
        service = record.service
        if self._ejected_by_service[service] >= self._max_ejected(service):
            # The scores are cut, so that a later ejection needs new evidence, weighed
            # by the failure rates of that time.
            record.failure_score = min(record.failure_score, self._suspect_score)
            record.slowness_score = min(record.slowness_score, SUSPECT_SLOWNESS)
            self._counters.count("health.capped")
            return False
        now, config = self._time.now(), self._config
        if now - record.readmitted_at > config.max_ejection_s and (
            record.state is detectors.HealthState.HEALTHY
        ):
            record.ejections = 0
        # The exponent is bounded to keep the power finite.
        factor = 2.0 ** min(record.ejections, 32)
        seconds = min(config.ejection_s * factor, config.max_ejection_s)
        record.ejections += 1
        record.ejected_until = now + seconds
        record.reason = reason
        self._ejected_by_service[service] += record.is_connected
        self._unhealthy_by_name[record.name] = record
        self._counters.count("health.ejections")
        self._set_state(record, detectors.HealthState.EJECTED, seconds)
        return True

    def _max_ejected(self, service: str) -> int:
        connected, share = (
            self._connected_by_service[service],
            self._config.max_ejected_share,
        )
        if connected < 2 or share == 0:
            return 0
        return max(1, int(connected * share))

    def _set_state(
        self,
        record: detectors.WorkerRecord,
        state: detectors.HealthState,
        seconds: float = 0.0,
    ) -> None:
        record.state = state
        self._update_allowance(record)
        self._update_unhealthy_gauge()
        self.changes.append(
            detectors.StateChange(record.name, state, record.reason, seconds)
        )

    def _update_unhealthy_gauge(self) -> None:
        self._counters.gauge("health.out", len(self._unhealthy_by_name))

    def _count_probation_outcome(self, record: detectors.WorkerRecord) -> None:
        """Count an outcome on probation; enough of them readmit the worker."""
        if record.state is not detectors.HealthState.PROBATION:
            return
        record.probation_outcomes += 1
        if record.probation_outcomes >= self._config.probation_tasks:
            del self._unhealthy_by_name[record.name]
            record.failure_score = record.slowness_score = 0.0
            record.readmitted_at = self._time.now()
            self._counters.count("health.readmissions")
            self._set_state(record, detectors.HealthState.HEALTHY)

    def is_suspect(self, record: detectors.WorkerRecord) -> bool:
        """Return whether a worker is close to an ejection or only kept by the cap.

        :param record: the worker.
        """
        return (
            record.failure_score >= self._suspect_score
            or record.slowness_score >= SUSPECT_SLOWNESS
        )

    # Time

    def tick(self) -> None:
        """Check for overdue tasks and end ejections; call at least once a second."""
        now = self._time.now()
        if now - self._last_tick_at < TICK_INTERVAL_S:
            return
        self._last_tick_at = now
        for stats in self._stats_by_key.values():
            self._check_overdue(stats, now)
        while (
            self._long_overdue
            and now - self._long_overdue[0].sent_at >= OUTCOME_TIMEOUT_S
        ):
            self._stop_awaiting(self._long_overdue.popleft())
        for record in list(self._unhealthy_by_name.values()):
            if now < record.ejected_until:
                continue
            if record.is_connected:
                self._start_probation(record)
            elif now - record.ejected_until >= self._config.max_ejection_s:
                del self._unhealthy_by_name[record.name]
                del self._record_by_name[record.name]
                self._update_unhealthy_gauge()

    def _check_overdue(self, stats: detectors.OutcomeStatistics, now: float) -> None:
        usual_s = math.exp(stats.mean_log_ms) / 1000 if stats.run_count else 0.0
        limit_s = max(self._config.overdue_s, OVERDUE_FACTOR * usual_s)
        self._check_silence(stats.awaited, stats.overdue, now - limit_s)
        self._check_silence(stats.overdue, self._long_overdue, now - 2 * limit_s)

    def _check_silence(
        self,
        tasks: collections.deque[detectors.SentTask],
        next_stage: collections.deque[detectors.SentTask],
        sent_before: float,
    ) -> None:
        while tasks and tasks[0].sent_at <= sent_before:
            task = tasks.popleft()
            if self._sent_by_task.get((task.job, task.index)) is not task:
                continue
            next_stage.append(task)
            record = task.record
            is_current = (
                record.is_connected and task.session_number == record.session_number
            )
            if is_current and record.last_answer_at <= task.sent_at:
                self._counters.count("health.overdue")
                self._record_failure(task, detectors.EjectionReason.SILENT)

    def _stop_awaiting(self, task: detectors.SentTask) -> None:
        key = (task.job, task.index)
        if self._sent_by_task.get(key) is task:
            del self._sent_by_task[key]
            self._remove_in_flight(task)

    def _start_probation(self, record: detectors.WorkerRecord) -> None:
        """Put an ejected worker on probation; one more failure ejects it again."""
        if record.state is not detectors.HealthState.EJECTED:
            return
        self._ejected_by_service[record.service] -= 1
        record.probation_outcomes = 0
        # The agent still reports the failures that led to the ejection; they have no
        # weight while this count is 0.
        record.consecutive_failures = 0
        record.failure_score = self._suspect_score
        record.slowness_score = (
            SUSPECT_SLOWNESS if record.reason is detectors.EjectionReason.SLOW else 0.0
        )
        self._set_state(record, detectors.HealthState.PROBATION)
