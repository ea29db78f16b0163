"""Fencing tokens that an agent sends with its commands to its worker."""

from __future__ import annotations

import attrs

from burdockgate.process import workercontrol

# JSON numbers are exact up to this value.
MAX_TOKEN = 2**53


@attrs.define
class TokenSource:
    """Draws tokens above those of all earlier processes of the agent; stores none.

    A token is the time in Unix milliseconds by the worker: the start time of its
    incarnation plus its monotonic clock. Within one incarnation the clock exceeds each
    reading that an earlier process can have used, and a later incarnation starts later.
    So a command of an earlier process that is carried out late is fenced off, also when
    agent and worker have both restarted.

    Where a worker has seen a higher token all the same, for example since its wall
    clock was set back between two incarnations, each refusal doubles the next step.

    :param current: the token of the next command.
    """

    current: int = 0
    _refusal_count: int = 0

    def adopt(
        self, heartbeat: workercontrol.WorkerHeartbeat, is_same_worker: bool
    ) -> None:
        """Draw the first token for a worker or for a new incarnation of it.

        :param heartbeat: its heartbeat.
        :param is_same_worker: whether it has the identifier of the one before, so that
            commands to that one may reach it. Another worker has seen no token, and
            later processes of the agent could not know one that was carried on to it.
        """
        self._refusal_count = 0
        if not is_same_worker:
            self.current = 0
        self.advance(heartbeat.born, heartbeat.clock_ms)

    def advance(self, born: int, clock_ms: int) -> None:
        """Draw the next token.

        :param born: start time of the worker's incarnation, Unix milliseconds.
        :param clock_ms: reading of its monotonic clock.
        """
        self.current = min(max(self.current + 1, born + clock_ms), MAX_TOKEN)

    def confirm(self) -> None:
        """Record that the worker has accepted a token."""
        self._refusal_count = 0

    def refuse(self, token: int, born: int, clock_ms: int) -> bool:
        """Draw a higher token when the worker has refused the current one.

        :param token: the token that was refused; an earlier one changes nothing.
        :param born: start time of the worker's incarnation, Unix milliseconds.
        :param clock_ms: reading of its monotonic clock.
        :returns: whether a token was drawn.
        """
        if token < self.current:
            return False
        step = 1 << self._refusal_count
        if step < MAX_TOKEN:
            self._refusal_count += 1
        self.current = min(max(self.current + step, born + clock_ms), MAX_TOKEN)
        return True
