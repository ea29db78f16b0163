"""Data centres that operators have asked to empty.

The store has a record for each of them until the request is taken back. Entry hosts
follow the records, and entry hosts and agents pass the newest state on to each other,
so that it also reaches nodes without a connection to the store.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from burdockgate import assignments
from burdockgate.process import store

# Bounds of what other nodes and the store may send.
MAX_ZONES = 256
MAX_ZONE_CHARS = 256


@attrs.define
class Replica:
    """A node's copy of the evacuations, and the versions that its peers have.

    :param key_prefix: the key of a record is this text and the name of the data centre;
        empty on a node that does not read the store.
    """

    key_prefix: str = ""
    current: assignments.Evacuations = assignments.Evacuations(0, ())
    _version_by_peer: dict[str, int] = attrs.field(factory=dict)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no task may be started in a data centre.

        :param zone: its name.
        """
        return zone in self.current.zones

    def apply(self, page: store.Page) -> bool:
        """Apply a page of the store's records.

        :param page: records of any keys.
        :returns: whether the evacuated data centres have changed.
        """
        before = self.current
        if page.is_snapshot and page.end < before.version:
            return False
        # A snapshot has no record of a request that was taken back. One that could not
        # be read may be missing too.
        is_complete = page.is_snapshot and not page.unreadable
        zones = set() if is_complete else set(before.zones)
        # A snapshot may hold some later changes, but only those up to its end for sure.
        version = page.end if page.is_snapshot else before.version
        for record in self._records(page):
            if not page.is_snapshot:
                if record.offset < before.version:
                    continue
                version = record.offset + 1
            zone = record.key.removeprefix(self.key_prefix)
            if not record.value:
                zones.discard(zone)
            elif len(zones) < MAX_ZONES:
                zones.add(zone)
        self.current = assignments.Evacuations(version, tuple(sorted(zones)))
        return self.current.zones != before.zones

    def _records(self, page: store.Page) -> Iterator[store.KeyedRecord]:
        for record in page.records:
            zone = record.key.removeprefix(self.key_prefix)
            if zone != record.key and 0 < len(zone) <= MAX_ZONE_CHARS:
                yield record

    def receive(self, peer: str, message: assignments.Evacuations) -> bool:
        """Apply the state of another node if it is newer.

        :param peer: name of the node.
        :param message: its state.
        :returns: whether the evacuated data centres have changed.
        """
        self._version_by_peer[peer] = max(
            self._version_by_peer.get(peer, 0), message.version
        )
        if message.version <= self.current.version or not _is_bounded(message.zones):
            return False
        before, self.current = self.current, message
        return message.zones != before.zones

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer whose connection has ended.

        :param peer: name of the node.
        """
        self._version_by_peer.pop(peer, None)

    def outdated_peers(self, peers: Iterable[str]) -> list[str]:
        """Return the peers to which the state has to be sent, and count it as sent.

        A state without any evacuation is sent only where another one may be known.

        :param peers: names of the connected nodes.
        """
        outdated = [
            peer
            for peer in peers
            if self._version_by_peer.get(peer, 0) < self.current.version
            and (self.current.zones or peer in self._version_by_peer)
        ]
        for peer in outdated:
            self._version_by_peer[peer] = self.current.version
        return outdated


def _is_bounded(zones: tuple[str, ...]) -> bool:
    return len(zones) <= MAX_ZONES and all(
        0 < len(zone) <= MAX_ZONE_CHARS for zone in zones
    )
