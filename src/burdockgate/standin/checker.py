"""Reads a trace of events and names each broken promise of the system.

All times are seconds of one clock. Work and memory grow linearly with the number
of events, but for the sort by time.
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
    """A promise of the system."""

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
    """One broken promise.

    :param detail: one line that names what broke it.
    """

    invariant: Invariant
    detail: str


@attrs.frozen
class Settings:
    """What the trace is judged by.

    :param nodes: nodes that work from the first event on, in addition to those
        that report a version; this finds a node that never reports one.
    :param leave_limit_s: time in which a worker that left may get new tasks.
    :param in_force_limit_s: time for an accepted version to reach each node.
    """

    nodes: tuple[str, ...] = ()
    leave_limit_s: float = 3.0
    in_force_limit_s: float = 5.0


@attrs.define
class _Attempt:
    first_at: float
    server_by_index: dict[int, str] = attrs.field(factory=dict)


@attrs.define
class _Job:
    """All that the trace says about one job."""

    submissions: list[trace.Submitted] = attrs.field(factory=list)
    answers: list[trace.Answered] = attrs.field(factory=list)
    attempt_by_number: dict[int, _Attempt] = attrs.field(factory=dict)
    owner_by_epoch: dict[int, str] = attrs.field(factory=dict)


def check(events: Iterable[trace.Event], settings: Settings) -> list[Violation]:
    """Return every broken promise that the trace shows.

    A version that is due only after the last event is not judged.

    :param events: the trace in any order; events at one time keep their order.
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
                yield from _late_start(event, left_at_by_worker, settings)
                yield from _second_start(event, job_by_id[event.job])
            case trace.Claimed():
                yield from _second_owner(event, job_by_id[event.job])
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
                _note_presence(event, left_at_by_worker)
    for identity, job in job_by_id.items():
        yield from _job_violations(identity, job)
    if events:
        span = (events[0].at, events[-1].at)
        yield from _version_violations(presence, accepted, span, settings)


def _job_of(
    event: trace.Submitted | trace.Answered, job_by_id: dict[bytes, _Job]
) -> _Job:
    return job_by_id[request_job.job_id(event.guest, event.key)]


def _note_presence(
    event: trace.Left | trace.Joined | trace.InForce,
    left_at_by_worker: dict[str, float],
) -> None:
    if isinstance(event, trace.Left):
        # A death after a leave must not begin the limit again.
        left_at_by_worker.setdefault(event.worker, event.at)
    elif isinstance(event, trace.Joined):
        left_at_by_worker.pop(event.worker, None)


def _late_start(
    event: trace.Started, left_at_by_worker: dict[str, float], settings: Settings
) -> Iterator[Violation]:
    late_s = event.at - left_at_by_worker.get(event.server, math.inf)
    if late_s > settings.leave_limit_s:
        yield Violation(
            Invariant.LEFT_WORKER_RESTS,
            f"{_task(event)} started on {event.server} {late_s:.3f} s after it left, "
            f"allowed are {settings.leave_limit_s:g} s",
        )


def _second_start(event: trace.Started, job: _Job) -> Iterator[Violation]:
    attempt = job.attempt_by_number.get(event.attempt)
    if attempt is None:
        attempt = job.attempt_by_number[event.attempt] = _Attempt(event.at)
    first = attempt.server_by_index.get(event.index)
    if first is None:
        attempt.server_by_index[event.index] = event.server
    else:
        yield Violation(
            Invariant.TASK_STARTED_ONCE,
            f"{_task(event)} started on {first} and again on {event.server}",
        )


def _task(event: trace.Started) -> str:
    return f"job {event.job.hex()} attempt {event.attempt} task {event.index}"


def _second_owner(event: trace.Claimed, job: _Job) -> Iterator[Violation]:
    first = job.owner_by_epoch.setdefault(event.epoch, event.owner)
    if first != event.owner:
        yield Violation(
            Invariant.ONE_OWNER,
            f"job {event.job.hex()} epoch {event.epoch} claimed by {first} and "
            f"by {event.owner}",
        )


def _job_violations(identity: bytes, job: _Job) -> Iterator[Violation]:
    started = sorted(job.attempt_by_number)
    if len(started) > 1 and not all(each.repeatable for each in job.submissions):
        yield Violation(
            Invariant.NOT_REPEATABLE,
            f"job {identity.hex()} is not repeatable and started in attempts {started}",
        )
    complete_by_attempt: dict[int, tuple[bytes, ...]] = {}
    for answer in job.answers:
        if answer.code is not codes.Code.COMPLETE:
            if answer.results:
                yield _broken(Invariant.WHOLE_ANSWER, answer, "it has results")
            continue
        yield from _answer_violations(answer, job)
        first = complete_by_attempt.setdefault(answer.attempt, answer.results)
        if first != answer.results:
            yield _broken(Invariant.SAME_ANSWER, answer, "an earlier answer differs")
    yield from _false_not_run(job)


def _broken(promise: Invariant, answer: trace.Answered, detail: str) -> Violation:
    return Violation(
        promise,
        f"{answer.guest} key {answer.key!r} attempt {answer.attempt} got "
        f"{answer.code.name} from {answer.entry} at {answer.at:.3f} s: {detail}",
    )


def _answer_violations(answer: trace.Answered, job: _Job) -> Iterator[Violation]:
    # A key may have been submitted with several bodies; the answer must fit one.
    bodies = list(dict.fromkeys(each.tasks for each in job.submissions))
    bodies_of_size = [body for body in bodies if len(body) == len(answer.results)]
    if not bodies:
        yield _broken(Invariant.OWN_ANSWER, answer, "the key was never submitted")
    elif not bodies_of_size:
        detail = f"{len(answer.results)} results for {len(bodies[0])} tasks"
        yield _broken(Invariant.WHOLE_ANSWER, answer, detail)
    else:
        crossed = [_first_crossed(answer.results, body) for body in bodies_of_size]
        if None not in crossed:
            detail = f"result {crossed[0]} is not that of its payload"
            yield _broken(Invariant.OWN_ANSWER, answer, detail)


def _first_crossed(results: tuple[bytes, ...], body: tuple[bytes, ...]) -> int | None:
    for index, (result, payload) in enumerate(zip(results, body, strict=True)):
        # The text that the stand-in writes; parsing is needed only for others.
        if result.startswith(b'{"task":%d,"echo":%b,"server":' % (index, payload)):
            continue
        if not _echoes(result, index, payload):
            return index
    return None


def _echoes(result: bytes, index: int, payload: bytes) -> bool:
    try:
        value = json.loads(result)
        sent = json.loads(payload)
    except ValueError:
        return False
    if not isinstance(value, dict) or "echo" not in value:
        return False
    # As texts, because Python takes 1, 1.0 and true for equal.
    return value.get("task") == index and _text(value["echo"]) == _text(sent)


def _text(value: object) -> str:
    return json.dumps(value, sort_keys=True)


def _false_not_run(job: _Job) -> Iterator[Violation]:
    if not job.attempt_by_number:
        return
    refusals = [
        answer
        for answer in job.answers
        if codes.start_class(answer.code) is codes.StartClass.NOT_RUN
        and not _concerns_other_body(answer, job)
    ]
    if not refusals:
        return
    first_at = min(each.first_at for each in job.attempt_by_number.values())
    ended_at_by_attempt = _ended_at_by_attempt(job)
    for answer in refusals:
        if answer.attempt in job.attempt_by_number:
            yield _broken(
                Invariant.NOT_RUN_IS_TRUE, answer, "a task of this attempt started"
            )
        elif answer.attempt == 0:
            submitted_at = _submitted_at(answer, job)
            if any(
                each.first_at < submitted_at
                and ended_at_by_attempt.get(number, math.inf) > answer.at
                for number, each in job.attempt_by_number.items()
            ):
                detail = "an attempt that had started was not yet answered"
                yield _broken(Invariant.NOT_RUN_IS_TRUE, answer, detail)
    unnamed = [
        answer
        for answer in refusals
        if answer.attempt == 0 and answer.code is not codes.Code.NOT_FOUND
    ]
    # A cancel gets the refusal of its job too, so the answers must all say the same.
    if len(job.answers) == len(unnamed) >= len(job.submissions) > 0:
        detail = f"so got every submission, and a task started at {first_at:.3f} s"
        yield _broken(Invariant.NOT_RUN_IS_TRUE, unnamed[-1], detail)


def _concerns_other_body(answer: trace.Answered, job: _Job) -> bool:
    """Whether "not run" speaks of a body other than the one that ran."""
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
    """Return when the refused submission was sent; -inf when it is not known.

    A start between this time and the answer proves nothing, because another
    submission of the key may have made it after the refusal was decided.
    """
    times = [
        each.at
        for each in job.submissions
        if each.entry == answer.entry and each.at <= answer.at
    ]
    return max(times, default=-math.inf)


class _Versions:
    """The accepted versions and when each is due.

    :param accepted: in the order of time.
    """

    def __init__(self, accepted: list[trace.Accepted], limit_s: float) -> None:
        ordered = sorted(accepted, key=operator.attrgetter("version"))
        self.numbers = [event.version for event in ordered]
        # A higher version that was accepted earlier also asks for the lower one.
        self._accepted_at = [event.at for event in ordered]
        for index in range(len(ordered) - 2, -1, -1):
            self._accepted_at[index] = min(self._accepted_at[index : index + 2])
        self._limit_s = limit_s

    def missed(self, version: int, since: float, until: float) -> int | None:
        """Return the lowest version missed by a node, if any.

        :param version: the node's version from ``since`` to ``until``.
        :param since: time in seconds from which the node was there.
        """
        index = bisect.bisect_right(self.numbers, version)
        if index == len(self.numbers):
            return None
        due = max(self._accepted_at[index], since) + self._limit_s
        return self.numbers[index] if due < until else None


@attrs.define
class _NodeState:
    version: int = -1
    since: float | None = None
    reported: int | None = None


def _version_violations(
    presence: list[trace.Left | trace.Joined | trace.InForce],
    accepted: list[trace.Accepted],
    span: tuple[float, float],
    settings: Settings,
) -> Iterator[Violation]:
    versions = _Versions(accepted, settings.in_force_limit_s)
    state_by_node = {name: _NodeState(since=span[0]) for name in settings.nodes}
    # Workers that never report a version are judged only when the settings name
    # them, so a trace.Joined alone makes no node known.
    for event in presence:
        name = event.node if isinstance(event, trace.InForce) else event.worker
        state = state_by_node.get(name)
        if state is None:
            if not isinstance(event, trace.InForce):
                continue
            state = state_by_node[name] = _NodeState(since=event.at)
        yield from _late_version(name, state, event.at, versions, settings)
        if isinstance(event, trace.InForce):
            yield from _version_back(event, state)
            state.version = event.version
        else:
            state.since = event.at if isinstance(event, trace.Joined) else None
    for name, state in state_by_node.items():
        yield from _late_version(name, state, span[1], versions, settings)


def _late_version(
    name: str, state: _NodeState, until: float, versions: _Versions, settings: Settings
) -> Iterator[Violation]:
    if state.since is None:
        return
    missed = versions.missed(state.version, state.since, until)
    if missed is not None and missed != state.reported:
        state.reported = missed
        yield Violation(
            Invariant.VERSION_IN_FORCE,
            f"version {missed} was not in force on {name} within "
            f"{settings.in_force_limit_s:g} s",
        )


def _version_back(event: trace.InForce, state: _NodeState) -> Iterator[Violation]:
    if event.version < state.version:
        yield Violation(
            Invariant.VERSION_GROWS,
            f"{event.node} went back from version {state.version} to {event.version} "
            f"at {event.at:.3f} s",
        )
