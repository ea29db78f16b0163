"""Compares the orders of waiting jobs in a simulated peak of demand.

Run it with ``python -m burdockgate.standin.crest``.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator

import attrs

from burdockgate.process import selection
from burdockgate.standin import invariants, simnodes, simulation

# The users' kinds of jobs: number of tasks, seconds and thousandths of a core of each
# task, jobs per second, priority and worth.
KINDS = (
    simnodes.JobKind("short", 8, 0.102, 1600, 15.1, 0, 0.0291),
    simnodes.JobKind("medium", 2, 0.34, 1600, 44.0, 1, 0.01),
    simnodes.JobKind("long", 4, 1.52, 1600, 2.75, 2, 0.16),
)
# The same with numbers of tasks that differ from job to job.
UNEVEN_KINDS = tuple(attrs.evolve(kind, width_spread=0.6) for kind in KINDS)
NORMAL_LOAD_S = 2.0
# By then all agents are connected.
WARM_UP_S = 3.0
# Time after the load in which all but a few of the longest tasks end.
COMPLETION_S = 20.0


@attrs.frozen
class Policy:
    """A named order of waiting jobs."""

    name: str
    ordering: selection.Ordering


POLICIES = (
    Policy("first come", selection.FirstCome()),
    Policy("least slack", selection.LeastSlack()),
    Policy("shortest", selection.ShortestFirst()),
    Policy("finish", selection.FinishStarted()),
)


@attrs.frozen
class Result:
    """Result of a replay.

    :param worth_share: share of the worth of all jobs that was earned.
    :param share_by_kind: the same share by kind of job.
    :param unserved_share: share of the jobs that were not completed.
    :param interrupted_share: share of the jobs that ended without a result although
        tasks of them had run.
    :param violation_count: number of violated invariants.
    """

    policy: str
    worth_share: float
    share_by_kind: dict[str, float]
    unserved_share: float
    interrupted_share: float
    violation_count: int


def replay(
    policy: Policy,
    seed: int,
    factor: float,
    peak_s: float,
    kinds: tuple[simnodes.JobKind, ...] = KINDS,
) -> Result:
    """Simulate a peak between two spans of normal load and return its result.

    :param policy: the policy.
    :param seed: seed of the load.
    :param factor: load of the peak as a multiple of the normal load.
    :param peak_s: duration of the peak in seconds.
    :param kinds: kinds of jobs.
    """
    sim = simulation.Simulation(seed, kinds, ordering=policy.ordering)
    peak_at = WARM_UP_S + NORMAL_LOAD_S
    sim.schedule_load(WARM_UP_S, peak_at)
    sim.schedule_load(peak_at, peak_at + peak_s, factor)
    sim.schedule_load(peak_at + peak_s, peak_at + peak_s + NORMAL_LOAD_S)
    sim.run(peak_at + peak_s + NORMAL_LOAD_S + COMPLETION_S)
    shares = sim.earned_share_by_kind()
    earned = sum(shares[kind.name] * kind.worth * kind.jobs_per_s for kind in kinds)
    possible = sum(kind.worth * kind.jobs_per_s for kind in kinds)
    unserved = [
        caller_job for caller_job in sim.caller_jobs if not caller_job.is_completed
    ]
    return Result(
        policy.name,
        earned / possible,
        shares,
        len(unserved) / len(sim.caller_jobs),
        sum(1 for caller_job in unserved if caller_job.was_interrupted)
        / len(sim.caller_jobs),
        sum(1 for _ in invariants.violations(sim)),
    )


def format_table(results: list[Result]) -> Iterator[str]:
    """Yield the lines of a table.

    :param results: the results, one row each.
    """
    kinds = [kind.name for kind in KINDS]
    yield (
        "policy        worth  "
        + "  ".join(f"{name:>6}" for name in kinds)
        + ("  unserved  interrupted  broken")
    )
    for result in results:
        shares = "  ".join(f"{result.share_by_kind[name]:6.3f}" for name in kinds)
        yield (
            f"{result.policy:<12}  {result.worth_share:.3f}  {shares}"
            f"  {result.unserved_share:8.3f}  {result.interrupted_share:11.4f}"
            f"  {result.violation_count:6}"
        )


def main() -> None:
    """Compare the policies under the load that the command line gives."""
    parser = argparse.ArgumentParser(
        prog="burdockgate.standin.crest",
        description="Compares orders of waiting jobs in a peak of demand.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--factor", type=float, default=2.4, help="times normal load")
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="duration of the peak"
    )
    arguments = parser.parse_args()
    results = [
        replay(
            policy, arguments.seed, arguments.factor, arguments.seconds, UNEVEN_KINDS
        )
        for policy in POLICIES
    ]
    print("\n".join(format_table(results)))


if __name__ == "__main__":
    main()
