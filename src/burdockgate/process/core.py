"""What a daemon asks of the decisions that it performs."""

from __future__ import annotations

import abc
from collections.abc import Iterator

from burdockgate import effects, messages


class Core(abc.ABC):
    """Decides for one node and performs nothing itself."""

    @abc.abstractmethod
    def tick(self) -> Iterator[effects.Effect]:
        """Do what is due; call at least ten times a second."""

    @abc.abstractmethod
    def send_heartbeats(self) -> Iterator[effects.Effect]:
        """Send the heartbeats; call once in each heartbeat interval."""

    @abc.abstractmethod
    def follow(self, message: messages.Records) -> Iterator[effects.Effect]:
        """Apply new records of a stream of the log.

        :param message: the records.
        """
