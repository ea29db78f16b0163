"""What an entry host knows of the workers, through their agents' reports."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from burdockgate import assignments
from burdockgate.request import besteffort

# Near agents report every 0.2 s, others every 0.4 s. Tasks given to one that is cut off
# are lost for seconds.
FRESH_S = 0.45
DISTANT_FRESH_S = 0.85
# An entry host that hears less than half of the agents it heard in this time is cut
# off itself.
RECENT_S = 10.0


@attrs.define
class WorkerView:
    """One worker; times in seconds of the entry host's clock.

    :param boot: random number of the life of the agent's process.
    :param renewed_at: when the session lease was last renewed.
    :param renewal_due_at: from when the next report renews it again.
    :param assigned_number: number of the last assignment sent on this connection.
    :param unconfirmed: runs that the agent did not name after its connection broke.
    :param is_recovering: whether runs of an earlier life of the agent may go on.
    """

    agent: str
    boot: int
    zone: str
    is_linked: bool = True
    renewed_at: float = 0.0
    renewal_due_at: float = 0.0
    assigned_number: int = 0
    ends_through: int = 0
    is_recovering: bool = False
    unconfirmed: set[assignments.RunKey] = attrs.field(factory=set)
    info: assignments.WorkerInfo | None = None
    load: assignments.LoadReport | None = None
    load_at: float = 0.0
    # Number, processors, memory and accelerators of the assignments that no report
    # includes yet, and the sums of the last three.
    _unseen: list[tuple[int, int, int, int]] = attrs.field(factory=list)
    _under_way: tuple[int, int, int] = (0, 0, 0)

    def reset_session(self) -> None:
        """Begin a new connection."""
        self.is_linked = True
        self.renewal_due_at = 0.0
        self.assigned_number = 0
        self._unseen.clear()
        self._under_way = (0, 0, 0)
        self.load = None

    def apply_report(self, load: assignments.LoadReport, now: float) -> None:
        """Take in a report.

        :param load: the report.
        :param now: the time.
        """
        self.load, self.load_at = load, now
        self._unseen = [
            entry for entry in self._unseen if entry[0] > load.last_assign_number
        ]
        self._under_way = (
            sum(entry[1] for entry in self._unseen),
            sum(entry[2] for entry in self._unseen),
            sum(entry[3] for entry in self._unseen),
        )

    def assign(self, step: besteffort.Step) -> None:
        """Count a run that is about to be assigned.

        :param step: step of its task.
        """
        self.assigned_number += 1
        cpu, memory_mb, gpu = self._under_way
        self._under_way = (cpu + step.cpu, memory_mb + step.memory_mb, gpu + step.gpu)
        self._unseen.append((self.assigned_number, step.cpu, step.memory_mb, step.gpu))

    @property
    def is_near(self) -> bool:
        """Whether the agent reports every change, and shares out room by demand."""
        return self.load is not None and self.load.is_near

    def is_fresh(self, now: float) -> bool:
        """Return whether the agent has reported lately.

        :param now: the time.
        """
        limit_s = FRESH_S if self.is_near else DISTANT_FRESH_S
        return self.is_linked and now - self.load_at < limit_s

    def is_assignable(self, now: float) -> bool:
        """Return whether new tasks may be assigned.

        :param now: the time.
        """
        return (
            self.is_fresh(now)
            and self.info is not None
            and self.load is not None
            and self.load.state
            in (assignments.WorkerState.READY, assignments.WorkerState.PROBATION)
        )

    @property
    def speed(self) -> float:
        """Speed against the estimates; 1 where they are right."""
        return max(self.load.speed / 1000, 0.05) if self.load else 1.0

    def has_label(self, label: str) -> bool:
        """Return whether the worker has a label.

        :param label: name of a kind of worker or of a rack.
        """
        return self.info is not None and label in self.info.labels

    def committed_cpu(self) -> int:
        """Return what is in use, waits there or is under way, in 1/1000 core."""
        if self.load is None:
            return 0
        return self.load.used_cpu + self.load.queued_cpu + self._under_way[0]

    def has_room(self, step: besteffort.Step) -> bool:
        """Return whether one more task fits beside what is in use or under way.

        :param step: step of the task.
        """
        info, load = self.info, self.load
        if info is None or load is None:
            return False
        cpu, memory_mb, gpu = self._under_way
        if step.cpu > load.free_cpu - cpu:
            return False
        if load.used_memory_mb + memory_mb + step.memory_mb > info.memory_mb:
            return False
        if load.used_gpu + gpu + step.gpu > info.gpu:
            return False
        is_on_trial = load.state is assignments.WorkerState.PROBATION
        return not (is_on_trial and self.committed_cpu())


@attrs.define
class Fleet:
    """All workers by the name of their agent."""

    view_by_agent: dict[str, WorkerView] = attrs.field(factory=dict)

    def serving(self, service: str, now: float) -> Iterator[WorkerView]:
        """Yield the workers of a service that may be given tasks.

        :param service: name of the service.
        :param now: the time.
        """
        return (
            view
            for view in self.view_by_agent.values()
            if view.is_assignable(now)
            and view.info is not None
            and view.info.service == service
        )

    def can_fit(self, step: besteffort.Step, service: str) -> bool:
        """Return whether an idle worker of a service could run a task of a step.

        :param step: the step.
        :param service: name of the service.
        """
        return any(
            view.info.service == service
            and step.cpu <= view.info.cpu
            and step.memory_mb <= view.info.memory_mb
            and step.gpu <= view.info.gpu
            and (not step.label or step.label in view.info.labels)
            for view in self.view_by_agent.values()
            if view.info is not None
        )

    def capacity_cpu(self, service: str, now: float) -> int:
        """Return the processors of all assignable workers, in thousandths of a core.

        :param service: name of the service.
        :param now: the time.
        """
        return sum(view.info.cpu for view in self.serving(service, now) if view.info)

    def is_in_touch(self, now: float) -> bool:
        """Return whether half of the agents of late are heard, and one has room.

        :param now: the time.
        """
        views = self.view_by_agent.values()
        recent = sum(1 for view in views if now - view.load_at < RECENT_S)
        fresh = sum(1 for view in views if view.is_fresh(now))
        return 2 * fresh >= recent and any(view.is_assignable(now) for view in views)
