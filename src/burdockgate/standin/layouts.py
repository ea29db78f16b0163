"""Layouts of simulated deployments: zones, and how hosts and their load differ."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen
class Layout:
    """Entry hosts and workers of a simulation.

    :param entry_zones: zone of each entry host.
    :param worker_zones: zone of each worker.
    :param load_by_zone: share of the callers of each zone, who reach its entry hosts
        evenly; empty if all entry hosts get the same share.
    :param speeds: speeds of the workers, in turn.
    :param cpus: capacities of the workers in thousandths of a core; three workers in
        succession have the same.
    """

    entry_zones: tuple[str, ...]
    worker_zones: tuple[str, ...]
    load_by_zone: Mapping[str, float] = {}
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    cpus: tuple[int, ...] = (16_000, 16_000, 24_000)

    def speed_of(self, worker: int) -> float:
        """Return the speed of a worker.

        :param worker: its number, from 0.
        """
        return self.speeds[worker % len(self.speeds)]

    def cpu_of(self, worker: int) -> int:
        """Return the capacity of a worker in thousandths of a core.

        :param worker: its number, from 0.
        """
        return self.cpus[worker // 3 % len(self.cpus)]


def even(entries: int, workers: int, zones: int) -> Layout:
    """Return a layout with evenly spread hosts and load.

    :param entries: number of entry hosts.
    :param workers: number of workers.
    :param zones: number of zones.
    """
    return Layout(
        tuple(f"zone-{number % zones}" for number in range(entries)),
        tuple(f"zone-{number % zones}" for number in range(workers)),
    )
