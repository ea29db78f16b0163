"""Plans the jobs of a run: all arrivals are drawn before the run starts."""

from __future__ import annotations

import itertools
import json
import math
import random
from collections.abc import Iterator

import attrs

from burdockgate.request import job

SHORT_TASK_MAX_MS = 200.0
RUN_TIME_MIN_MS = 50.0
RUN_TIME_MAX_MS = 1000.0
LONG_TASK_SHARE = 0.02
LONG_TASK_MIN_MS = 2000.0
LONG_TASK_MAX_MS = 6000.0
STRAGGLER_FACTOR = 10.0
DECLARED_ERROR_FACTOR = 4.0
MAX_TASKS_PER_JOB = 30
# A peak of 3x capacity leaves a backlog that takes longer than the usual deadline.
DEADLINE_MS = 240_000
CLASSES = ("alpha", "beta", "gamma")


@attrs.frozen
class Task:
    """One planned task; times are in ms.

    :param run_ms: actual run time.
    :param declared_ms: run time that the caller expects.
    """

    run_ms: float
    declared_ms: float


@attrs.frozen
class Job:
    """One planned job.

    :param at: planned time of the arrival, in seconds after the start of the run.
    :param entry: index of the entry host.
    :param cancel_at: time of the cancellation, in seconds after the start of the
        run; ``None`` for none.
    :param is_poisoned: whether all tasks fail, on any backend server.
    """

    at: float
    guest: str
    key: str
    caller_class: str
    entry: int
    tasks: tuple[Task, ...]
    deadline_ms: int = DEADLINE_MS
    cancel_at: float | None = None
    is_poisoned: bool = False

    @property
    def id(self) -> bytes:
        """The 16-byte job id."""
        return job.job_id(self.guest, self.key)

    @property
    def work_ms(self) -> float:
        """Sum of the run times, in ms."""
        return sum(task.run_ms for task in self.tasks)

    def payloads(self) -> tuple[bytes, ...]:
        """Return the JSON text of each task's payload."""
        fail = b',"fail":true' if self.is_poisoned else b""
        return tuple(
            b'{"sleep_ms":%.3f%b}' % (task.run_ms, fail) for task in self.tasks
        )

    def body(self, service: str) -> bytes:
        """Return the JSON body of the submission.

        :param service: name of the service.
        """
        tasks = ",".join(
            f'{{"payload":{payload.decode()},"expected_ms":{task.declared_ms:.3f}}}'
            for payload, task in zip(self.payloads(), self.tasks, strict=True)
        )
        head = json.dumps(
            {
                "guest": self.guest,
                "service": service,
                "class": self.caller_class,
                "deadline_ms": self.deadline_ms,
            }
        )
        return f'{head[:-1]},"tasks":[{tasks}]}}'.encode()


@attrs.frozen
class Phase:
    """A part of a run with a constant arrival rate.

    :param load: offered work as a share of the capacity of all slots.
    """

    seconds: float
    load: float


@attrs.frozen
class Shape:
    """Parameters of the random arrivals of a run.

    :param straggler_share: stragglers' share of the work; a straggler runs 10 times as
        long as it would otherwise.
    """

    slots: int
    entries: int
    phases: tuple[Phase, ...]
    straggler_share: float = 0.0


def plan(shape: Shape, seed: int) -> list[Job]:
    """Return the jobs of a run, ordered by arrival time.

    :param shape: parameters of the arrivals.
    :param seed: seed of all random choices; the same seed gives the same plan.
    """
    rng = random.Random(seed)
    return list(_draw_arrivals(shape, seed, rng))


def _draw_arrivals(shape: Shape, seed: int, rng: random.Random) -> Iterator[Job]:
    numbers = itertools.count(1)
    begin = 0.0
    for phase in shape.phases:
        work_per_job_s = _mean_tasks() * mean_run_ms(shape) / 1000
        rate = phase.load * shape.slots / work_per_job_s
        end = begin + phase.seconds
        at = begin + rng.expovariate(rate)
        while at < end:
            yield make_job(shape, rng, at, f"{seed}-{next(numbers)}")
            at += rng.expovariate(rate)
        begin = end


def make_job(shape: Shape, rng: random.Random, at: float, key: str) -> Job:
    """Return a randomly drawn job.

    :param shape: parameters of the arrivals.
    :param rng: random number generator.
    :param at: planned time of the arrival, in seconds after the start of the run.
    :param key: idempotency key.
    """
    count = int(math.exp(rng.uniform(0.0, math.log(MAX_TASKS_PER_JOB + 1))))
    return Job(
        at=at,
        guest=f"guest-{rng.randrange(8) + 1}",
        key=key,
        caller_class=rng.choice(CLASSES),
        entry=rng.randrange(shape.entries),
        tasks=tuple(_draw_task(shape, rng) for _ in range(count)),
    )


def _draw_task(shape: Shape, rng: random.Random) -> Task:
    if rng.random() < LONG_TASK_SHARE:
        run_ms = _log_uniform(rng, LONG_TASK_MIN_MS, LONG_TASK_MAX_MS)
    else:
        run_ms = _log_uniform(rng, RUN_TIME_MIN_MS, RUN_TIME_MAX_MS)
    declared_ms = run_ms * _log_uniform(
        rng, 1 / DECLARED_ERROR_FACTOR, DECLARED_ERROR_FACTOR
    )
    if rng.random() < straggler_probability(shape.straggler_share):
        run_ms *= STRAGGLER_FACTOR
    return Task(round(run_ms, 3), round(declared_ms, 3))


def straggler_probability(share: float) -> float:
    """Return the share of tasks that must be stragglers.

    :param share: stragglers' share of the work.
    """
    return share / (STRAGGLER_FACTOR - share * (STRAGGLER_FACTOR - 1))


def mean_run_ms(shape: Shape) -> float:
    """Return the mean run time of a task, in ms.

    :param shape: parameters of the arrivals.
    """
    usual = _log_uniform_mean(RUN_TIME_MIN_MS, RUN_TIME_MAX_MS)
    long = _log_uniform_mean(LONG_TASK_MIN_MS, LONG_TASK_MAX_MS)
    mean = (1 - LONG_TASK_SHARE) * usual + LONG_TASK_SHARE * long
    probability = straggler_probability(shape.straggler_share)
    return mean * (1 + probability * (STRAGGLER_FACTOR - 1))


def _mean_tasks() -> float:
    span = math.log(MAX_TASKS_PER_JOB + 1)
    return sum(
        n * math.log((n + 1) / n) / span for n in range(1, MAX_TASKS_PER_JOB + 1)
    )


def _log_uniform(rng: random.Random, low: float, high: float) -> float:
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _log_uniform_mean(low: float, high: float) -> float:
    return (high - low) / math.log(high / low)
