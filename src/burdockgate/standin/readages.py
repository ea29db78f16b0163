"""Records how old messages are when a process reads them and acts on them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockgate import assignments

# Events that are effects of a message on runs.
EFFECTS = frozenset(("run.starting", "run.stopping", "task.assigned"))


@attrs.define
class ReadAges:
    """Greatest ages by kind of message and effect, in seconds.

    :param max_by_kind: by the kind of a message, whatever came of it, and by the
        effect that a message had.
    """

    max_by_kind: dict[str, float] = attrs.field(factory=dict)
    count_by_kind: dict[str, int] = attrs.field(factory=dict)

    def record(self, kind: str, age_s: float) -> None:
        """Record that something was read or had an effect.

        :param kind: what it was.
        :param age_s: time since it was sent.
        """
        self.max_by_kind[kind] = max(age_s, self.max_by_kind.get(kind, 0.0))
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1

    def record_message(
        self, message: assignments.Message, age_s: float, events: Iterable[str]
    ) -> None:
        """Record that a message was read, and its effects on runs.

        :param message: the message.
        :param age_s: time since it was sent.
        :param events: names of the events that the process logged because of it.
        """
        kind = type(message).__name__
        self.record(kind, age_s)
        for event in EFFECTS & set(events):
            self.record(f"{kind}: {event}", age_s)
