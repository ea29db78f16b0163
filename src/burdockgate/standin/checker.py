"""Checks a trace of events against the invariants of the system.

All times are in seconds, by the same clock. Time and memory are linear in the number
of events, except for sorting them by time.
"""

from __future__ import annotations

import bisect
import collections
import enum
import json
import math
import operator
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import codes
from burdockgate.request import job as request_job
from burdockgate.standin import trace


class Invariant(enum.Enum):
    """A property that holds in every run of the system."""

    TASK_STARTED_ONCE = "a task of an attempt starts at most once"
    ONE_OWNER = "a job has one owner in each epoch"
    WHOLE_ANSWER = "an answer has all results or none"
    OWN_ANSWER = "a caller gets the results of its own payloads"
    NOT_RUN_IS_TRUE = "'not run' is true"
    NOT_REPEATABLE = "a job that is not repeatable runs in one attempt"
    SAME_ANSWER = "an attempt has one complete answer"
    LEFT_WORKER_RESTS = "a worker that left gets no new task after the limit"
    VERSION_GROWS = "a node's version never goes back"
    VERSION_IN_FORCE = "an accepted version is in force everywhere in time"


@attrs.frozen
class Violation:
    """A violation of an invariant.

    :param detail: one line that describes the violation.
    """

    invariant: Invariant
    detail: str


@attrs.frozen
class Settings:
    """Parameters of the check.

    :param nodes: nodes that are present from the first event on, in addition to
        those that report a version; needed to find a node that never reports one.
    :param leave_limit_s: time after a leave in which the worker may get new tasks.
    :param in_force_limit_s: time in which each node must apply an accepted version.
    """

    nodes: tuple[str, ...] = ()
    leave_limit_s: float = 3.0
    in_force_limit_s: float = 5.0


@attrs.define
class _Attempt:
    first_started_at: float
    server_by_index: dict[int, str] = attrs.field(factory=dict)


@attrs.define
class _Job:
    """The events of one job."""

    submissions: list[trace.Submitted] = attrs.field(factory=list)
    answers: list[trace.Answered] = attrs.field(factory=list)
    attempt_by_number: dict[int, _Attempt] = attrs.field(factory=dict)
    owner_by_epoch: dict[int, str] = attrs.field(factory=dict)


def check(events: Iterable[trace.Event], settings: Settings) -> list[Violation]:
    """Return all violations that the trace shows.

    A version that is due after the last event is not checked.

    :param events: the trace in any order; events of the same time keep their order.
    """
    return list(_check(sorted(events, key=operator.attrgetter("at")), settings))


def _check(events: list[trace.Event], settings: Settings) -> Iterator[Violation]:
    job_by_id: dict[bytes, _Job] = collections.defaultdict(_Job)
    left_at_by_worker: dict[str, float] = {}
    presence: list[trace.Left | trace.Joined | trace.InForce] = []
    accepted: list[trace.Accepted] = []
    for event in events:
        match event:
            case trace.Started():
                yield from _check_start_after_leave(event, left_at_by_worker, settings)
                yield from _check_single_start(event, job_by_id[event.job])
            case trace.Claimed():
                yield from _check_single_owner(event, job_by_id[event.job])
            case trace.Submitted():
                _job_of(event, job_by_id).submissions.append(event)
            case trace.Answered():
                _job_of(event, job_by_id).answers.append(event)
            case trace.Accepted():
                accepted.append(event)
            case trace.Sent():
                pass
            case _:
                presence.append(event)
                _record_presence(event, left_at_by_worker)
    for job_id, job in job_by_id.items():
        yield from _check_job(job_id, job)
    if events:
        span = (events[0].at, events[-1].at)
        yield from _check_versions(presence, accepted, span, settings)


def _job_of(
    event: trace.Submitted | trace.Answered, job_by_id: dict[bytes, _Job]
) -> _Job:
    return job_by_id[request_job.job_id(event.guest, event.key)]


def _record_presence(
    event: trace.Left | trace.Joined | trace.InForce,
    left_at_by_worker: dict[str, float],
) -> None:
    if isinstance(event, trace.Left):
        # A crash after a leave must not restart the time limit.
        left_at_by_worker.setdefault(event.worker, event.at)
    elif isinstance(event, trace.Joined):
        left_at_by_worker.pop(event.worker, None)


def _check_start_after_leave(
    event: trace.Started, left_at_by_worker: dict[str, float], settings: Settings
) -> Iterator[Violation]:
    since_leave_s = event.at - left_at_by_worker.get(event.server, math.inf)
    if since_leave_s > settings.leave_limit_s:
        yield Violation(
            Invariant.LEFT_WORKER_RESTS,
            f"{_describe_task(event)} started on {event.server} {since_leave_s:.3f} s "
            f"after it left, allowed are {settings.leave_limit_s:g} s",
        )


def _check_single_start(event: trace.Started, job: _Job) -> Iterator[Violation]:
    attempt = job.attempt_by_number.get(event.attempt)
    if attempt is None:
        attempt = job.attempt_by_number[event.attempt] = _Attempt(event.at)
    first = attempt.server_by_index.get(event.index)
    if first is None:
        attempt.server_by_index[event.index] = event.server
    else:
        yield Violation(
            Invariant.TASK_STARTED_ONCE,
            f"{_describe_task(event)} started on {first} and again on {event.server}",
        )


def _describe_task(event: trace.Started) -> str:
    return f"job {event.job.hex()} attempt {event.attempt} task {event.index}"


def _check_single_owner(event: trace.Claimed, job: _Job) -> Iterator[Violation]:
    first = job.owner_by_epoch.setdefault(event.epoch, event.owner)
    if first != event.owner:
        yield Violation(
            Invariant.ONE_OWNER,
            f"job {event.job.hex()} epoch {event.epoch} claimed by {first} and "
            f"by {event.owner}",
        )


def _check_job(job_id: bytes, job: _Job) -> Iterator[Violation]:
    attempts = sorted(job.attempt_by_number)
    if len(attempts) > 1 and not all(each.repeatable for each in job.submissions):
        yield Violation(
            Invariant.NOT_REPEATABLE,
            f"job {job_id.hex()} is not repeatable and started in attempts {attempts}",
        )
    complete_by_attempt: dict[int, tuple[bytes, ...]] = {}
    for answer in job.answers:
        if answer.code is not codes.Code.COMPLETE:
            if answer.results:
                yield _answer_violation(
                    Invariant.WHOLE_ANSWER, answer, "it has results"
                )
            continue
        yield from _check_complete_answer(answer, job)
        first = complete_by_attempt.setdefault(answer.attempt, answer.results)
        if first != answer.results:
            yield _answer_violation(
                Invariant.SAME_ANSWER, answer, "an earlier answer differs"
            )
    yield from _check_not_run_answers(job)


def _answer_violation(
    invariant: Invariant, answer: trace.Answered, detail: str
) -> Violation:
    return Violation(
        invariant,
        f"{answer.guest} key {answer.key!r} attempt {answer.attempt} got "
        f"{answer.code.name} from {answer.entry} at {answer.at:.3f} s: {detail}",
    )


def _check_complete_answer(answer: trace.Answered, job: _Job) -> Iterator[Violation]:
    # A key may have been submitted with several bodies; the answer must match one.
    bodies = list(dict.fromkeys(each.tasks for each in job.submissions))
    bodies_of_equal_size = [body for body in bodies if len(body) == len(answer.results)]
    if not bodies:
        yield _answer_violation(
            Invariant.OWN_ANSWER, answer, "the key was never submitted"
        )
    elif not bodies_of_equal_size:
        detail = f"{len(answer.results)} results for {len(bodies[0])} tasks"
        yield _answer_violation(Invariant.WHOLE_ANSWER, answer, detail)
    else:
        mismatches = [
            _first_mismatch(answer.results, body) for body in bodies_of_equal_size
        ]
        if None not in mismatches:
            detail = f"result {mismatches[0]} is not that of its payload"
            yield _answer_violation(Invariant.OWN_ANSWER, answer, detail)


def _first_mismatch(results: tuple[bytes, ...], body: tuple[bytes, ...]) -> int | None:
    for index, (result, payload) in enumerate(zip(results, body, strict=True)):
        # The exact text that the stand-in writes, so that JSON is rarely parsed.
        if result.startswith(b'{"task":%d,"echo":%b,"server":' % (index, payload)):
            continue
        if not _is_echo(result, index, payload):
            return index
    return None


def _is_echo(result: bytes, index: int, payload: bytes) -> bool:
    try:
        value = json.loads(result)
        sent = json.loads(payload)
    except ValueError:
        return False
    if not isinstance(value, dict) or "echo" not in value:
        return False
    # Compared as text, because 1, 1.0 and True are equal in Python.
    return value.get("task") == index and _canonical_json(
        value["echo"]
    ) == _canonical_json(sent)


def _canonical_json(value: object) -> str:
    return json.dumps(value, sort_keys=True)


def _check_not_run_answers(job: _Job) -> Iterator[Violation]:
    if not job.attempt_by_number:
        return
    refusals = [
        answer
        for answer in job.answers
        if codes.start_class(answer.code) is codes.StartClass.NOT_RUN
        and not _is_for_other_body(answer, job)
    ]
    if not refusals:
        return
    first_started_at = min(
        each.first_started_at for each in job.attempt_by_number.values()
    )
    ended_at_by_attempt = _ended_at_by_attempt(job)
    for answer in refusals:
        if answer.attempt in job.attempt_by_number:
            yield _answer_violation(
                Invariant.NOT_RUN_IS_TRUE, answer, "a task of this attempt started"
            )
        elif answer.attempt == 0:
            submitted_at = _submitted_at(answer, job)
            if any(
                each.first_started_at < submitted_at
                and ended_at_by_attempt.get(number, math.inf) > answer.at
                for number, each in job.attempt_by_number.items()
            ):
                detail = "an attempt that had started was not yet answered"
                yield _answer_violation(Invariant.NOT_RUN_IS_TRUE, answer, detail)
    without_attempt = [
        answer
        for answer in refusals
        if answer.attempt == 0 and answer.code is not codes.Code.NOT_FOUND
    ]
    # A cancel gets the refusal of its job too, so that there may be more refusals than
    # submissions; they count only when the job has no other answers.
    if len(job.answers) == len(without_attempt) >= len(job.submissions) > 0:
        detail = (
            "every submission was refused, but a task started at "
            f"{first_started_at:.3f} s"
        )
        yield _answer_violation(Invariant.NOT_RUN_IS_TRUE, without_attempt[-1], detail)


def _is_for_other_body(answer: trace.Answered, job: _Job) -> bool:
    """Return whether "not run" may refer to another body than the one that ran."""
    return (
        answer.code is codes.Code.KEY_REUSED
        and len({each.tasks for each in job.submissions}) > 1
    )


def _ended_at_by_attempt(job: _Job) -> dict[int, float]:
    ended_at_by_attempt: dict[int, float] = {}
    for answer in job.answers:
        if answer.code is not codes.Code.PENDING:
            ended_at_by_attempt.setdefault(answer.attempt, answer.at)
    return ended_at_by_attempt


def _submitted_at(answer: trace.Answered, job: _Job) -> float:
    """Return when the refused submission was sent; -inf when unknown.

    A start between this time and the answer is no violation, because another
    submission of the key may have caused it after the refusal was decided.
    """
    times = [
        each.at
        for each in job.submissions
        if each.entry == answer.entry and each.at <= answer.at
    ]
    return max(times, default=-math.inf)


class _Versions:
    """Determines when each accepted version must be in force.

    :param accepted: events in chronological order.
    :param limit_s: time in which each node must apply a version.
    """

    def __init__(self, accepted: list[trace.Accepted], limit_s: float) -> None:
        ordered = sorted(accepted, key=operator.attrgetter("version"))
        self.numbers = [event.version for event in ordered]
        # A higher version that was accepted earlier makes the lower ones due as well.
        self._accepted_at = [event.at for event in ordered]
        for index in range(len(ordered) - 2, -1, -1):
            self._accepted_at[index] = min(self._accepted_at[index : index + 2])
        self._limit_s = limit_s

    def first_missed(
        self, version: int, present_since: float, until: float
    ) -> int | None:
        """Return the lowest version that a node failed to apply in time, if any.

        :param version: the node's version from ``present_since`` to ``until``.
        :param present_since: time in seconds from which the node was present.
        """
        index = bisect.bisect_right(self.numbers, version)
        if index == len(self.numbers):
            return None
        due = max(self._accepted_at[index], present_since) + self._limit_s
        return self.numbers[index] if due < until else None


@attrs.define
class _NodeState:
    version: int = -1
    present_since: float | None = None
    reported_version: int | None = None


def _check_versions(
    presence: list[trace.Left | trace.Joined | trace.InForce],
    accepted: list[trace.Accepted],
    span: tuple[float, float],
    settings: Settings,
) -> Iterator[Violation]:
    versions = _Versions(accepted, settings.in_force_limit_s)
    state_by_node = {name: _NodeState(present_since=span[0]) for name in settings.nodes}
    # Workers that never report a version are checked only when the settings name
    # them, so a trace.Joined alone adds no node.
    for event in presence:
        name = event.node if isinstance(event, trace.InForce) else event.worker
        state = state_by_node.get(name)
        if state is None:
            if not isinstance(event, trace.InForce):
                continue
            state = state_by_node[name] = _NodeState(present_since=event.at)
        yield from _check_version_in_force(name, state, event.at, versions, settings)
        if isinstance(event, trace.InForce):
            yield from _check_version_grows(event, state)
            state.version = event.version
        else:
            state.present_since = event.at if isinstance(event, trace.Joined) else None
    for name, state in state_by_node.items():
        yield from _check_version_in_force(name, state, span[1], versions, settings)


def _check_version_in_force(
    name: str, state: _NodeState, until: float, versions: _Versions, settings: Settings
) -> Iterator[Violation]:
    if state.present_since is None:
        return
    missed = versions.first_missed(state.version, state.present_since, until)
    if missed is not None and missed != state.reported_version:
        state.reported_version = missed
        yield Violation(
            Invariant.VERSION_IN_FORCE,
            f"version {missed} was not in force on {name} within "
            f"{settings.in_force_limit_s:g} s",
        )


def _check_version_grows(
    event: trace.InForce, state: _NodeState
) -> Iterator[Violation]:
    if event.version < state.version:
        yield Violation(
            Invariant.VERSION_GROWS,
            f"{event.node} went back from version {state.version} to {event.version} "
            f"at {event.at:.3f} s",
        )
