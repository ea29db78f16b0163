"""A set of workers with access by index, so that a random one is found in O(1)."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, overload

if TYPE_CHECKING:
    from burdockgate.process import directory


class Pool(Sequence["directory.Worker"]):
    """A set of workers as a sequence; its order changes when a worker is removed."""

    def __init__(self) -> None:
        self._workers: list[directory.Worker] = []
        self._index_by_name: dict[str, int] = {}

    def put(self, worker: directory.Worker, is_member: bool) -> None:
        """Add or remove a worker.

        :param worker: the worker; one of the same name is replaced.
        :param is_member: whether it belongs to the set.
        """
        index = self._index_by_name.get(worker.name)
        if not is_member:
            if index is not None:
                self._remove(index)
        elif index is None:
            self._index_by_name[worker.name] = len(self._workers)
            self._workers.append(worker)
        else:
            self._workers[index] = worker

    def _remove(self, index: int) -> None:
        """Move the last worker to the index, so that all others keep theirs."""
        del self._index_by_name[self._workers[index].name]
        last = self._workers.pop()
        if index < len(self._workers):
            self._workers[index] = last
            self._index_by_name[last.name] = index

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[directory.Worker]:
        return iter(self._workers)

    @overload
    def __getitem__(self, index: int) -> directory.Worker: ...
    @overload
    def __getitem__(self, index: slice) -> Sequence[directory.Worker]: ...
    def __getitem__(
        self, index: int | slice
    ) -> directory.Worker | Sequence[directory.Worker]:
        return self._workers[index]
