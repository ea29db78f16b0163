"""What the decisions of entry hosts and agents alike ask their daemon to do."""

from __future__ import annotations

import attrs

from burdockgate import assignments


@attrs.frozen
class Send:
    """Effect: send a message to another node; dropped when it is not connected."""

    to: str
    message: assignments.Message


@attrs.frozen
class LogEvent:
    """Effect: write a log line."""

    event: str
    fields: dict[str, object]
