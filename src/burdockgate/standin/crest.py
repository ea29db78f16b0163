"""Replays a crest of demand in the simulation and compares the orders of waiting jobs.

Run it with ``python -m burdockgate.standin.crest``.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator

import attrs

from burdockgate.process import selection
from burdockgate.standin import invariants, simnodes, simulation

# Width, duration, processors, rate, priority and worth of the users' kinds of job.
KINDS = (
    simnodes.JobKind("short", 8, 0.102, 1600, 15.1, 0, 0.0291),
    simnodes.JobKind("medium", 2, 0.34, 1600, 44.0, 1, 0.01),
    simnodes.JobKind("long", 4, 1.52, 1600, 2.75, 2, 0.16),
)
NORMAL_LOAD_S = 2.0
# Agents and workers have found each other by then.
WARM_UP_S = 3.0
# All but a few of the longest tasks end within this time.
COMPLETION_S = 20.0


@attrs.frozen
class Policy:
    """An order of waiting jobs under a name."""

    name: str
    ordering: selection.Ordering


POLICIES = (
    Policy("first come", selection.FirstCome()),
    Policy("least slack", selection.LeastSlack()),
    Policy("shortest", selection.ShortestFirst()),
)


@attrs.frozen
class Result:
    """What a replay gave.

    :param worth: share of the worth of all jobs that was earned.
    :param share_by_kind: the same by kind of job.
    :param refused: share of the jobs that were not served.
    :param broken: number of invariant violations.
    """

    policy: str
    worth_share: float
    share_by_kind: dict[str, float]
    unserved_share: float
    violation_count: int


def replay(policy: Policy, seed: int, factor: float, peak_s: float) -> Result:
    """Return what a policy earns in one crest between two calm spans.

    :param policy: the policy.
    :param seed: seed of the load.
    :param factor: load of the crest against the usual one.
    :param crest_s: length of the crest in seconds.
    """
    sim = simulation.Simulation(seed, KINDS, ordering=policy.ordering)
    peak_at = WARM_UP_S + NORMAL_LOAD_S
    sim.schedule_load(WARM_UP_S, peak_at)
    sim.schedule_load(peak_at, peak_at + peak_s, factor)
    sim.schedule_load(peak_at + peak_s, peak_at + peak_s + NORMAL_LOAD_S)
    sim.run(peak_at + peak_s + NORMAL_LOAD_S + COMPLETION_S)
    shares = sim.earned_share_by_kind()
    worth = sum(shares[kind.name] * kind.worth * kind.jobs_per_s for kind in KINDS)
    owed = sum(kind.worth * kind.jobs_per_s for kind in KINDS)
    unserved = [
        caller_job for caller_job in sim.caller_jobs if not caller_job.is_completed
    ]
    return Result(
        policy.name,
        worth / owed,
        shares,
        len(unserved) / len(sim.caller_jobs),
        sum(1 for _ in invariants.violations(sim)),
    )


def format_table(results: list[Result]) -> Iterator[str]:
    """Yield the lines of a table.

    :param results: one row each.
    """
    kinds = [kind.name for kind in KINDS]
    yield (
        "policy        worth  "
        + "  ".join(f"{name:>6}" for name in kinds)
        + ("  unserved  broken")
    )
    for row in results:
        shares = "  ".join(f"{row.share_by_kind[name]:6.3f}" for name in kinds)
        yield (
            f"{row.policy:<12}  {row.worth_share:.3f}  {shares}"
            f"  {row.unserved_share:8.3f}  {row.violation_count:6}"
        )


def main() -> None:
    """Compare the policies with the load named on the command line."""
    parser = argparse.ArgumentParser(
        prog="burdockgate.standin.crest",
        description="Compares orders of waiting jobs at a crest of demand.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--factor", type=float, default=2.4, help="times usual load")
    parser.add_argument("--seconds", type=float, default=5.0, help="of the crest")
    given = parser.parse_args()
    results = [
        replay(policy, given.seed, given.factor, given.seconds) for policy in POLICIES
    ]
    print("\n".join(format_table(results)))


if __name__ == "__main__":
    main()
