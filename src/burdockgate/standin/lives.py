"""Injects crashes of workers that come back at once, changed or unhealthy."""

from __future__ import annotations

import random

import attrs

from burdockgate.standin import simnodes, simulation

# Workers are of one of two kinds. Each kind is a label of its own.
KINDS = ("a", "b")
CAPACITIES = (8_000, 16_000, 24_000)
RACK = "r1"
MAX_DOWN_S = 3.0
# A process that is supervised is back sooner than a machine.
MAX_SUPERVISED_DOWN_S = 0.4
MAX_UNHEALTHY_S = 3.0
MAX_TIME_TO_NEXT_CRASH_S = 0.5
# Probabilities of what a crash is like.
AT_START_SHARE = 0.6
CHANGED_SHARE = 0.5
RENAMED_SHARE = 0.3
TWICE_SHARE = 0.3
# Interval of the heartbeats; the first one of a life comes within it.
MAX_FIRST_HEARTBEAT_S = 1.5


@attrs.frozen
class NextLife:
    """How a worker comes back after a crash.

    :param down_s: time until its new incarnation starts.
    :param first_heartbeat_s: time from that start until its first heartbeat.
    :param unhealthy_s: for how long it refuses starts then.
    :param is_renamed: whether it gets another identifier.
    :param crashes_again_s: time until its next crash; ``None`` for none.
    """

    kind: str
    cpu: int
    down_s: float
    first_heartbeat_s: float = 0.0
    unhealthy_s: float = 0.0
    is_renamed: bool = False
    crashes_again_s: float | None = None


def crash_worker(sim: simulation.Simulation, rng: random.Random) -> str:
    """Let a worker crash, at once or amid its next start, and come back."""
    agent = rng.choice(list(sim.agent_by_name.values()))
    life = _draw(agent, rng)
    is_at_start = rng.random() < AT_START_SHARE
    crash(sim, agent, life, is_at_start)
    moment = "at a start" if is_at_start else "at once"
    return f"crash {agent.worker.name} {moment}, {life}"


def _draw(agent: simnodes.SimulatedAgent, rng: random.Random) -> NextLife:
    worker = agent.worker
    is_changed = rng.random() < CHANGED_SHARE
    return NextLife(
        rng.choice(KINDS) if is_changed else worker.labels[0],
        rng.choice(CAPACITIES) if is_changed else worker.cpu,
        rng.choice(
            (
                0.0,
                rng.uniform(0, MAX_SUPERVISED_DOWN_S),
                rng.uniform(0, MAX_DOWN_S),
            )
        ),
        rng.choice((0.0, rng.uniform(0, MAX_FIRST_HEARTBEAT_S))),
        rng.choice((0.0, rng.uniform(0, MAX_UNHEALTHY_S))),
        rng.random() < RENAMED_SHARE,
        rng.uniform(0, MAX_TIME_TO_NEXT_CRASH_S)
        if rng.random() < TWICE_SHARE
        else None,
    )


def crash(
    sim: simulation.Simulation,
    agent: simnodes.SimulatedAgent,
    life: NextLife,
    is_at_start: bool = False,
) -> None:
    """Let a worker crash and come back.

    :param sim: the simulation.
    :param agent: agent of the worker.
    :param life: how it comes back.
    :param is_at_start: whether it crashes when its next run has begun, before the start
        is answered.
    """
    worker = agent.worker

    def come_back() -> None:
        worker.labels, worker.cpu = (life.kind, RACK), life.cpu
        if life.is_renamed:
            worker.name = f"{worker.name}+"
        if life.unhealthy_s:
            worker.faults.is_unhealthy = True
            sim.time.call_later(life.unhealthy_s, recover)
        agent.restart_worker(life.first_heartbeat_s)
        if life.crashes_again_s is not None:
            again = attrs.evolve(life, crashes_again_s=None)
            sim.time.call_later(life.crashes_again_s, lambda: crash(sim, agent, again))

    def recover() -> None:
        worker.faults.is_unhealthy = False

    def crash_now() -> None:
        if worker.is_up:
            worker.crash()
            sim.time.call_later(life.down_s, come_back)

    if is_at_start:
        worker.on_crash = crash_now
        worker.faults.crashes_at_start = True
    else:
        crash_now()
