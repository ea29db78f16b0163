"""The entry hosts of a deployment, as their records in the store name them.

Each change of a record has a version that the store assigns, so the newest one wins in
whichever order the changes arrive, and by whichever process they are passed on.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockgate import addresses, assignments

# Bounds the memory. Entry hosts that have left are remembered, so that a late message
# does not bring them back; the oldest of them are dropped first.
MAX_ENTRIES = 2000


@attrs.define
class EntryRegistry:
    """The newest known record of each entry host, by name."""

    _record_by_name: dict[str, assignments.EntryHost] = attrs.field(factory=dict)

    def merge(
        self, records: Iterable[assignments.EntryHost]
    ) -> tuple[assignments.EntryHost, ...]:
        """Store the records that are newer than the known ones.

        :param records: records of any age; one without an address says that the entry
            host has left. Records whose address cannot be dialled are skipped.
        :returns: the records that are new, have left or have another address.
        """
        return tuple(record for record in records if self._store(record))

    def _store(self, record: assignments.EntryHost) -> bool:
        """Store a record if it is newer; return whether its address has changed."""
        known = self._record_by_name.get(record.name)
        if record.address and not addresses.is_dialable(record.address):
            return False
        if known is None:
            if not self._make_space():
                return False
        elif record.version <= known.version:
            return False
        self._record_by_name[record.name] = record
        return known is None or record.address != known.address

    def _make_space(self) -> bool:
        """Drop a departed entry host if the registry is full; return if one fits."""
        if len(self._record_by_name) < MAX_ENTRIES:
            return True
        departed = [record for record in self.all() if not record.address]
        if not departed:
            return False
        oldest = min(departed, key=lambda record: record.version)
        del self._record_by_name[oldest.name]
        return True

    def apply_snapshot(
        self, records: Iterable[assignments.EntryHost], end: int
    ) -> tuple[assignments.EntryHost, ...]:
        """Merge all present records of the store; mark those that are missing as left.

        :param records: the records.
        :param end: version of the last change that the snapshot includes for certain.
        :returns: the records that are new, have left or have another address.
        """
        records = list(records)
        names = {record.name for record in records}
        departed = [
            assignments.EntryHost(known.name, "", "", end)
            for known in self.present()
            if known.name not in names and 0 < known.version <= end
        ]
        return self.merge([*records, *departed])

    def get(self, name: str) -> assignments.EntryHost | None:
        """Return the newest record of an entry host.

        :param name: its name.
        """
        return self._record_by_name.get(name)

    def all(self) -> tuple[assignments.EntryHost, ...]:
        """Return the newest record of each entry host, of departed ones too."""
        return tuple(self._record_by_name.values())

    def present(self) -> tuple[assignments.EntryHost, ...]:
        """Return the records of the entry hosts that have not left.

        Of several records with one address only the newest is returned: the machine has
        been replaced under another name.
        """
        record_by_address: dict[str, assignments.EntryHost] = {}
        for record in self._record_by_name.values():
            other = record_by_address.get(record.address)
            if record.address and (other is None or record.version > other.version):
                record_by_address[record.address] = record
        return tuple(record_by_address.values())
