"""Changes the table during a run and records when each node applies the changes."""

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
SET_TIMEOUT_S = 60.0
# Longer than the limit of the checker for the last change to come into force.
IN_FORCE_TIMEOUT_S = 10.0
ROW_NAME_PREFIX = "rollout"


@attrs.frozen
class Change:
    """One accepted change; times are seconds of the monotonic clock.

    :param at: time of the request, or the end of the outage in which it was pending.
    :param version: version of the table with the change.
    :param is_in_outage: whether the change was pending in an outage of the log.
    """

    at: float
    version: int
    is_in_outage: bool


class Rollout:
    """Sets table rows and polls the versions in force.

    An entry host reports its own version in its status. The version of an agent comes
    from its heartbeat, so its time is up to one heartbeat interval too late.

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
        """Names of the nodes; an agent has one for each entry host that lists it."""
        return tuple(self._version_by_node)

    @property
    def events(self) -> list[trace.Event]:
        """Trace events of accepted versions and of versions in force."""
        accepted = [trace.Accepted(item.at, item.version) for item in self.changes]
        return [*accepted, *self.in_force]

    def delays(self, is_in_outage: bool) -> list[float]:
        """Return the seconds from each change until it was in force on every node.

        :param is_in_outage: whether to select the changes that were pending in an
            outage, or the others.
        """
        return [
            max(self._in_force_at(node, item.version) for node in self.nodes) - item.at
            for item in self.changes
            if item.is_in_outage is is_in_outage
        ]

    def _in_force_at(self, node: str, version: int) -> float:
        times = (
            event.at
            for event in self.in_force
            if event.node == node and event.version >= version
        )
        return min(times, default=math.inf)

    async def set_rows(self, until: float) -> None:
        """Set a new row in each interval, even while earlier changes are pending.

        :param until: time of the last change, by the monotonic clock.
        """
        async with asyncio.TaskGroup() as pending:
            for number in itertools.count():
                requested_at = time.monotonic()
                if requested_at >= until:
                    return
                pending.create_task(
                    self._set_row(f"{ROW_NAME_PREFIX}-{number}", requested_at)
                )
                await asyncio.sleep(requested_at + INTERVAL_S - time.monotonic())

    async def _set_row(self, name: str, requested_at: float) -> None:
        rng = random.Random()
        async with logclient.LogClient(self._log_url, rng) as log:
            table_editor = editor.TableEditor(log, rng, SET_TIMEOUT_S)
            outcome = await table_editor.set_row(table.Row("class", name), 0)
        if not isinstance(outcome, editor.Accepted):
            raise errors.BurdockgateError(f"row {name} was not set: {outcome}")
        self.record_change(requested_at, outcome.version)

    def record_change(self, requested_at: float, version: int) -> None:
        """Record an accepted change.

        :param requested_at: time of the request, by the monotonic clock.
        :param version: version of the table with the change.
        """
        ended_at = self.outage_ended_at
        # A change that the log accepts just before the outage may not be readable until
        # the outage ends.
        is_in_force = any(
            event.version >= version and event.at < ended_at for event in self.in_force
        )
        is_in_outage = requested_at < ended_at and not is_in_force
        at = ended_at if is_in_outage else requested_at
        self.changes.append(Change(at, version, is_in_outage))

    async def watch_versions(self) -> None:
        """Poll the entry hosts and record each new version until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as caller:
            while True:
                for url in self._urls:
                    with contextlib.suppress(httpx.HTTPError):
                        status = (await caller.get(f"{url}/v1/status")).json()
                        self.record_status(status, time.monotonic())
                await asyncio.sleep(POLL_S)

    def record_status(self, status: dict[str, Any], at: float) -> None:
        """Record the versions in the status of an entry host.

        :param status: status of the entry host.
        :param at: time of the status, by the monotonic clock.
        """
        entry = status["name"]
        self._record_version(entry, status["table_version"], at)
        for worker in status["workers"]:
            node = f"{worker['name']} seen by {entry}"
            # 0 means that the agent has not reported its version since it connected.
            known = self._version_by_node.setdefault(node, 0)
            self._record_version(node, worker["table_version"] or known, at)

    def _record_version(self, node: str, version: int, at: float) -> None:
        if self._version_by_node.get(node) != version:
            self._version_by_node[node] = version
            self.in_force.append(trace.InForce(at, node, version))

    async def wait_until_in_force(self) -> None:
        """Wait until each change is in force on every node, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                while any(map(math.isinf, self.delays(False) + self.delays(True))):
                    await asyncio.sleep(POLL_S)
