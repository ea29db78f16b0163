"""A set of workers with a random choice in constant time."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, overload

if TYPE_CHECKING:
    from burdockgate.process import directory


class Pool(Sequence["directory.Worker"]):
    """Workers by place, without a lasting order."""

    def __init__(self) -> None:
        self._workers: list[directory.Worker] = []
        self._place_by_name: dict[str, int] = {}

    def put(self, worker: directory.Worker, is_in: bool) -> None:
        """Add or remove a worker.

        :param worker: the worker; one of the same name is replaced.
        :param is_in: whether it belongs to the set.
        """
        place = self._place_by_name.get(worker.name)
        if not is_in:
            if place is not None:
                self._remove(place)
        elif place is None:
            self._place_by_name[worker.name] = len(self._workers)
            self._workers.append(worker)
        else:
            self._workers[place] = worker

    def _remove(self, place: int) -> None:
        """Fill the place with the last worker, so that no other one moves."""
        del self._place_by_name[self._workers[place].name]
        last = self._workers.pop()
        if place < len(self._workers):
            self._workers[place] = last
            self._place_by_name[last.name] = place

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[directory.Worker]:
        return iter(self._workers)

    @overload
    def __getitem__(self, place: int) -> directory.Worker: ...
    @overload
    def __getitem__(self, place: slice) -> Sequence[directory.Worker]: ...
    def __getitem__(
        self, place: int | slice
    ) -> directory.Worker | Sequence[directory.Worker]:
        return self._workers[place]
