"""Changes of the table during a run, and when each process works by them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import time
from collections.abc import Sequence
from typing import Any

import attrs
import httpx

from burdockgate import errors
from burdockgate.process import editor, logclient
from burdockgate.standin import trace
from burdockgate.version import table

INTERVAL_S = 1.0
POLL_S = 0.1
# Longer than any outage of a run, so that each change is either accepted or refused.
BUDGET_S = 60.0
# Time for the last change to come into force, above the limit that is checked.
SETTLE_S = 10.0
ROW_NAME = "rollout"


@attrs.frozen
class Change:
    """One accepted change; times are seconds of the monotonic clock.

    :param at: when it was asked for, or the end of the outage that it met.
    """

    at: float
    version: int
    met_outage: bool


class Rollout:
    """Sets rows one after another and watches the versions in force.

    An entry host shows its own version. That of an agent is known from its
    heartbeat, so its time is up to one heartbeat interval too late.

    :param urls: base URLs of the entry hosts.
    :param log_url: base URL of the log service.
    """

    def __init__(self, urls: Sequence[str], log_url: str) -> None:
        self.changes: list[Change] = []
        self.in_force: list[trace.InForce] = []
        self.outage_ended_at = -math.inf
        self._urls = urls
        self._log_url = log_url
        self._version_by_node: dict[str, int] = {}

    @property
    def nodes(self) -> tuple[str, ...]:
        """Every node seen; an agent counts once for each entry host that knows it."""
        return tuple(self._version_by_node)

    @property
    def events(self) -> list[trace.Event]:
        """Accepted versions and versions in force."""
        accepted = [trace.Accepted(item.at, item.version) for item in self.changes]
        return [*accepted, *self.in_force]

    def delays(self, met_outage: bool) -> list[float]:
        """Return the seconds from each change until it was in force everywhere.

        :param met_outage: whether to return those that met an outage, or the others.
        """
        return [
            max(self._reached_at(node, item.version) for node in self.nodes) - item.at
            for item in self.changes
            if item.met_outage is met_outage
        ]

    def _reached_at(self, node: str, version: int) -> float:
        times = (
            event.at
            for event in self.in_force
            if event.node == node and event.version >= version
        )
        return min(times, default=math.inf)

    async def set_rows(self, until: float) -> None:
        """Set a new row in each interval, also while earlier changes are pending.

        :param until: time of the last change, by the monotonic clock.
        """
        async with asyncio.TaskGroup() as pending:
            for number in itertools.count():
                asked_at = time.monotonic()
                if asked_at >= until:
                    return
                pending.create_task(self._change(f"{ROW_NAME}-{number}", asked_at))
                await asyncio.sleep(asked_at + INTERVAL_S - time.monotonic())

    async def _change(self, name: str, asked_at: float) -> None:
        rng = random.Random()
        async with logclient.LogClient(self._log_url, rng) as log:
            changes = editor.TableEditor(log, rng, BUDGET_S)
            outcome = await changes.set_row(table.Row("class", name), 0)
        if not isinstance(outcome, editor.Accepted):
            raise errors.BurdockgateError(f"row {name} was not set: {outcome}")
        self.accept(asked_at, outcome.version)

    def accept(self, asked_at: float, version: int) -> None:
        """Note a change that was accepted.

        :param asked_at: when it was asked for, by the monotonic clock.
        :param version: the version that it made.
        """
        ended_at = self.outage_ended_at
        # The log can take a change just before the outage and not be read in it.
        seen = any(
            event.version >= version and event.at < ended_at for event in self.in_force
        )
        met_outage = asked_at < ended_at and not seen
        at = ended_at if met_outage else asked_at
        self.changes.append(Change(at, version, met_outage))

    async def watch_versions(self) -> None:
        """Note each new version until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as caller:
            while True:
                for url in self._urls:
                    with contextlib.suppress(httpx.HTTPError):
                        status = (await caller.get(f"{url}/v1/status")).json()
                        self.note(status, time.monotonic())
                await asyncio.sleep(POLL_S)

    def note(self, status: dict[str, Any], at: float) -> None:
        """Note the versions that an entry host shows.

        :param status: its status.
        :param at: when it was shown, by the monotonic clock.
        """
        entry = status["name"]
        self._note_version(entry, status["table_version"], at)
        for worker in status["workers"]:
            node = f"{worker['name']} seen by {entry}"
            # 0 stands for an agent that has not told its version since it connected.
            known = self._version_by_node.setdefault(node, 0)
            self._note_version(node, worker["table_version"] or known, at)

    def _note_version(self, node: str, version: int, at: float) -> None:
        if self._version_by_node.get(node) != version:
            self._version_by_node[node] = version
            self.in_force.append(trace.InForce(at, node, version))

    async def wait_until_in_force(self) -> None:
        """Wait until the last change is in force everywhere, or too late."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while any(map(math.isinf, self.delays(False) + self.delays(True))):
                    await asyncio.sleep(POLL_S)
