"""The named scenarios of ``burdockgate measure``."""

from __future__ import annotations

import enum
import random

import attrs

from burdockgate.standin import arrivals

LOAD = 0.7
CREST_BASE_LOAD = 0.5
CREST_LOAD = 3.0
# The backlog of a crest is twice its length in work, and half of the capacity is
# spare, so it takes four times the crest's length to go; 1.2 times that is allowed.
CREST_TAIL_FACTOR = 5.0
STRAGGLER_SHARE = 0.1
WAVE_JOBS_PER_SLOT = 2
WAVE_PATIENCE_S = 0.5
POISONED_SHARE = 0.1
# Jobs with a task on a silent server end with their deadline, within the time for
# which the load tool waits for answers.
SILENT_DEADLINE_MS = 20_000


class Fault(enum.Enum):
    """What is done to the system during a run."""

    NONE = "none"
    BAD_WORKER = "bad worker"
    SLOW_WORKER = "slow worker"
    SILENT_WORKER = "silent worker"
    BAD_RACK = "bad rack"
    DRAIN = "drain"
    DEATH = "agent killed"
    LOG_DOWN = "log down"


@attrs.frozen
class Scenario:
    """One kind of run.

    :param fault_from: begin of the fault as a share of the seconds of the run.
    :param fault_to: its end in the same way.
    :param expects_failures: whether failed jobs belong to the run.
    :param poisoned_share: share of the jobs of which every task fails everywhere.
    :param has_changes: whether a row of the table is set each second.
    :param needs_processes: whether the fault can only be done to a process.
    """

    name: str
    text: str
    fault: Fault = Fault.NONE
    fault_from: float = 0.0
    fault_to: float = 1.0
    expects_failures: bool = False
    is_crest: bool = False
    has_wave: bool = False
    straggler_share: float = 0.0
    poisoned_share: float = 0.0
    deadline_ms: int = arrivals.DEADLINE_MS
    has_changes: bool = False
    needs_processes: bool = False

    @property
    def ends_worker(self) -> bool:
        """Whether a worker gets no new task after the fault."""
        return self.fault in (Fault.DRAIN, Fault.DEATH)

    def phases(self, seconds: float) -> tuple[arrivals.Phase, ...]:
        """Return the rates of arrivals over time.

        :param seconds: length of the run; a crest takes a third of it, and the
            time after it is longer so that the backlog can go.
        """
        if not self.is_crest:
            return (arrivals.Phase(seconds, LOAD),)
        third = seconds / 3
        return (
            arrivals.Phase(third, CREST_BASE_LOAD),
            arrivals.Phase(third, CREST_LOAD),
            arrivals.Phase(third * CREST_TAIL_FACTOR, CREST_BASE_LOAD),
        )

    def change_at(self, seconds: float) -> float | None:
        """Return when the backlog should begin to return to normal, in seconds.

        :param seconds: length of the run.
        """
        if self.is_crest:
            return 2 * seconds / 3
        return seconds / 2 + WAVE_PATIENCE_S if self.has_wave else None

    def shape(
        self, slots: int, entries: int, seconds: float, is_base: bool = False
    ) -> arrivals.Shape:
        """Return what the arrivals are drawn from.

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

        :param shape: what to draw from.
        :param seconds: length of the run.
        :param seed: seed of all random choices.
        """
        poison = random.Random(f"poison {seed}")
        jobs = [
            attrs.evolve(
                job,
                deadline_ms=self.deadline_ms,
                is_poisoned=poison.random() < self.poisoned_share,
            )
            for job in arrivals.plan(shape, seed)
        ]
        if not self.has_wave:
            return jobs
        rng = random.Random(f"wave {seed}")
        at = seconds / 2
        wave = [
            attrs.evolve(
                arrivals.make_job(shape, rng, at, f"{seed}-wave-{number}"),
                cancel_at=at + WAVE_PATIENCE_S,
            )
            for number in range(shape.slots * WAVE_JOBS_PER_SLOT)
        ]
        return sorted([*jobs, *wave], key=lambda job: job.at)


SCENARIO_BY_NAME = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", "70% load"),
        Scenario(
            "crest",
            "50% load, 3x capacity for a third of the seconds, then 50%",
            is_crest=True,
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
            has_wave=True,
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
            fault=Fault.DEATH,
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
