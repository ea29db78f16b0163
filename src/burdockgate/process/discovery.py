"""Encoding of the store's records by which agents and entry hosts find entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgpack

from burdockgate import addresses, assignments
from burdockgate.process import store

TOPIC = "keyed.entries"
MAX_NAME_CHARS = 256


def encode(address: str, zone: str) -> bytes:
    """Return the record of an entry host.

    :param address: ``host:port`` for agents.
    :param zone: zone of the entry host.
    """
    packed: bytes = msgpack.packb({"address": address, "zone": zone})
    return packed


def entry_hosts(
    records: Iterable[store.KeyedRecord],
) -> Iterator[assignments.EntryHost]:
    """Yield the entry hosts in records; unreadable records are skipped.

    :param records: records of the topic; a deleted one yields a departed entry host.
    """
    for record in records:
        address_and_zone = _decode(record.value) if record.value else ("", "")
        if address_and_zone is not None and 0 < len(record.key) <= MAX_NAME_CHARS:
            yield assignments.EntryHost(
                record.key, *address_and_zone, record.offset + 1
            )


def _decode(value: bytes) -> tuple[str, str] | None:
    """Return the address and the zone in a record; ``None`` if it is unreadable."""
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    address, zone = fields.get("address"), fields.get("zone", "")
    if not isinstance(address, str) or not addresses.is_dialable(address):
        return None
    if not isinstance(zone, str) or len(zone) > MAX_NAME_CHARS:
        return None
    return address, zone
