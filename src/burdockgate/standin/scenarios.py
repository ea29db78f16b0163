"""The named scenarios of ``burdockgate measure``."""

from __future__ import annotations

import enum
import random

import attrs

from burdockgate.standin import arrivals

STEADY_LOAD = 0.7
PEAK_BASE_LOAD = 0.5
PEAK_LOAD = 3.0
# A peak of 3x capacity leaves a backlog of twice its length in work. With half of the
# capacity spare, the backlog takes four times the peak's length to drain, and recovery
# may take 1.2 times that.
PEAK_TAIL_FACTOR = 5.0
STRAGGLER_SHARE = 0.1
CANCELLED_JOBS_PER_SLOT = 2
CANCEL_DELAY_S = 0.5
POISONED_SHARE = 0.1
# A job with a task on a silent server ends at its deadline, which must come before the
# load tool stops waiting for answers.
SILENT_DEADLINE_MS = 20_000


class Fault(enum.Enum):
    """A fault, drain or outage that a run injects into the system."""

    NONE = "none"
    BAD_WORKER = "bad worker"
    SLOW_WORKER = "slow worker"
    SILENT_WORKER = "silent worker"
    BAD_RACK = "bad rack"
    DRAIN = "drain"
    AGENT_KILLED = "agent killed"
    LOG_DOWN = "log down"


@attrs.frozen
class Scenario:
    """A load and the fault that is injected during it.

    :param fault_from: start of the fault as a share of the length of the run.
    :param fault_to: end of the fault as a share of the length of the run.
    :param expects_failures: whether jobs may fail without failing the run.
    :param has_peak: whether the load exceeds the capacity for a third of the run.
    :param has_cancel_wave: whether many jobs are submitted and cancelled at once.
    :param straggler_share: share of the work that stragglers do.
    :param poisoned_share: share of the jobs whose tasks fail on every worker.
    :param deadline_ms: deadline of each planned job.
    :param has_changes: whether a row of the table is set each second.
    :param needs_processes: whether the fault can only be injected into a process.
    """

    name: str
    description: str
    fault: Fault = Fault.NONE
    fault_from: float = 0.0
    fault_to: float = 1.0
    expects_failures: bool = False
    has_peak: bool = False
    has_cancel_wave: bool = False
    straggler_share: float = 0.0
    poisoned_share: float = 0.0
    deadline_ms: int = arrivals.DEADLINE_MS
    has_changes: bool = False
    needs_processes: bool = False

    @property
    def is_worker_removed(self) -> bool:
        """Whether a worker must get no new task after the fault."""
        return self.fault in (Fault.DRAIN, Fault.AGENT_KILLED)

    def phases(self, seconds: float) -> tuple[arrivals.Phase, ...]:
        """Return the phases of the load.

        :param seconds: length of the run. A peak takes the second third; the phase
            after it is longer, so that the backlog can drain.
        """
        if not self.has_peak:
            return (arrivals.Phase(seconds, STEADY_LOAD),)
        third = seconds / 3
        return (
            arrivals.Phase(third, PEAK_BASE_LOAD),
            arrivals.Phase(third, PEAK_LOAD),
            arrivals.Phase(third * PEAK_TAIL_FACTOR, PEAK_BASE_LOAD),
        )

    def recovery_from(self, seconds: float) -> float | None:
        """Return the time from which the backlog should shrink, in seconds.

        It is the end of the peak or the time of the cancellations, counted from the
        start of the run; ``None`` without either.

        :param seconds: length of the run.
        """
        if self.has_peak:
            return 2 * seconds / 3
        return seconds / 2 + CANCEL_DELAY_S if self.has_cancel_wave else None

    def shape(
        self, slots: int, entries: int, seconds: float, is_base: bool = False
    ) -> arrivals.Shape:
        """Return the parameters from which the arrivals are drawn.

        :param slots: slots of all workers.
        :param entries: number of entry hosts.
        :param seconds: length of the run.
        :param is_base: whether to leave out the stragglers.
        """
        share = 0.0 if is_base else self.straggler_share
        return arrivals.Shape(slots, entries, self.phases(seconds), share)

    def plan(
        self, shape: arrivals.Shape, seconds: float, seed: int
    ) -> list[arrivals.Job]:
        """Return the arrivals of the run.

        :param shape: parameters of the arrivals.
        :param seconds: length of the run.
        :param seed: seed of all random choices.
        """
        poison_rng = random.Random(f"poison {seed}")
        jobs = [
            attrs.evolve(
                job,
                deadline_ms=self.deadline_ms,
                is_poisoned=poison_rng.random() < self.poisoned_share,
            )
            for job in arrivals.plan(shape, seed)
        ]
        if not self.has_cancel_wave:
            return jobs
        rng = random.Random(f"wave {seed}")
        at = seconds / 2
        wave = [
            attrs.evolve(
                arrivals.make_job(shape, rng, at, f"{seed}-wave-{number}"),
                cancel_at=at + CANCEL_DELAY_S,
            )
            for number in range(shape.slots * CANCELLED_JOBS_PER_SLOT)
        ]
        return sorted([*jobs, *wave], key=lambda job: job.at)


SCENARIO_BY_NAME = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", "70% load"),
        Scenario(
            "crest",
            "50% load, 3x capacity for a third of the seconds, then 50%",
            has_peak=True,
        ),
        Scenario(
            "stragglers",
            "70% load with 10% of the work as 10x stragglers, compared with none",
            straggler_share=STRAGGLER_SHARE,
        ),
        Scenario(
            "bad-worker",
            "70% load while one backend server fails every task",
            fault=Fault.BAD_WORKER,
            expects_failures=True,
        ),
        Scenario(
            "bad-worker-slow",
            "70% load while one backend server takes ten times as long",
            fault=Fault.SLOW_WORKER,
        ),
        Scenario(
            "bad-worker-silent",
            "70% load while one backend server accepts tasks and never answers",
            fault=Fault.SILENT_WORKER,
            expects_failures=True,
            deadline_ms=SILENT_DEADLINE_MS,
        ),
        Scenario(
            "bad-rack",
            "70% load while the backend servers of one rack fail every task",
            fault=Fault.BAD_RACK,
            expects_failures=True,
        ),
        Scenario(
            "poisoned-job",
            "70% load in which every task of one job in ten fails on every server",
            poisoned_share=POISONED_SHARE,
            expects_failures=True,
        ),
        Scenario(
            "cancel-wave",
            "70% load and many jobs that are cancelled at once",
            has_cancel_wave=True,
            expects_failures=True,
        ),
        Scenario(
            "drain",
            "70% load while one worker is drained",
            fault=Fault.DRAIN,
            fault_from=1 / 3,
        ),
        Scenario(
            "death",
            "70% load while the agent of one worker is killed",
            fault=Fault.AGENT_KILLED,
            fault_from=1 / 3,
            expects_failures=True,
            needs_processes=True,
        ),
        Scenario(
            "rollout",
            "70% load while a row is set each second; the log is down in the middle",
            fault=Fault.LOG_DOWN,
            fault_from=1 / 3,
            fault_to=2 / 3,
            has_changes=True,
        ),
        Scenario(
            "outage",
            "70% load while the log is down in the middle third",
            fault=Fault.LOG_DOWN,
            fault_from=1 / 3,
            fault_to=2 / 3,
        ),
    )
}
