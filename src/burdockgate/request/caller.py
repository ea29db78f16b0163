"""The clients that wait for the outcome of a job."""

from __future__ import annotations

import abc


class Caller(abc.ABC):
    """A client that has sent a request and waits for the response."""

    @abc.abstractmethod
    def is_connected(self) -> bool:
        """Return whether the client has not ended its connection, as far as is known.

        The machine knows of the end before the process has read it.
        """

    @abc.abstractmethod
    def was_delayed(self) -> bool:
        """Return whether its request may have been held back on its way.

        The client may have left since, and the end of its connection may follow its
        request by a round trip.
        """
