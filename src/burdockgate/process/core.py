"""The interface between a daemon and the state machine whose effects it performs."""

from __future__ import annotations

import abc
from collections.abc import Iterator

from burdockgate import effects, messages


class Core(abc.ABC):
    """The state machine of one node; its methods yield effects and do no I/O."""

    @abc.abstractmethod
    def tick(self) -> Iterator[effects.Effect]:
        """Run the periodic work that is due; call at least ten times a second."""

    @abc.abstractmethod
    def send_heartbeats(self) -> Iterator[effects.Effect]:
        """Send the heartbeats; call once in each heartbeat interval."""

    @abc.abstractmethod
    def follow(self, message: messages.Records) -> Iterator[effects.Effect]:
        """Apply new records of a stream of the log.

        :param message: the records.
        """
