"""Encoding of the store's records by which agents and entry hosts find entry hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgpack

from burdockgate import addresses, assignments
from burdockgate.process import store

TOPIC = "keyed.entries"
MAX_NAME_CHARS = 256


def encode(address: str) -> bytes:
    """Return the record of an entry host.

    :param address: ``host:port`` for agents.
    """
    packed: bytes = msgpack.packb({"address": address})
    return packed


def entry_hosts(
    records: Iterable[store.KeyedRecord],
) -> Iterator[assignments.EntryHost]:
    """Yield the entry hosts in records; unreadable records are skipped.

    :param records: records of the topic; a deleted one yields a departed entry host.
    """
    for record in records:
        address = _decode_address(record.value) if record.value else ""
        if address is not None and 0 < len(record.key) <= MAX_NAME_CHARS:
            yield assignments.EntryHost(record.key, address, record.offset + 1)


def _decode_address(value: bytes) -> str | None:
    try:
        fields = msgpack.unpackb(value)
    except (ValueError, msgpack.UnpackException, RecursionError):
        return None
    address = fields.get("address") if isinstance(fields, dict) else None
    if isinstance(address, str) and addresses.is_dialable(address):
        return address
    return None
