"""Effects that the logic of entry hosts and agents asks their daemon to perform."""

from __future__ import annotations

import attrs

from burdockgate import assignments


@attrs.frozen
class Send:
    """Effect: send a message to another node, or drop it if that is not connected."""

    to: str
    message: assignments.Message


@attrs.frozen
class LogEvent:
    """Effect: write a log line."""

    event: str
    fields: dict[str, object]
