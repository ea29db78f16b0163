"""Entry host's view of the workers, from the reports of their agents."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from burdockgate import assignments
from burdockgate.request import besteffort

# An agent whose last report is older gets no tasks: those assigned to an unreachable
# agent are lost for seconds. Near agents report every 0.2 s, others every 0.4 s.
NEAR_REPORT_TIMEOUT_S = 0.45
DISTANT_REPORT_TIMEOUT_S = 0.85
# An entry host that is reached by less than half of the agents that reported in this
# time considers itself cut off.
RECENT_AGENT_WINDOW_S = 10.0
# Stands for the slots of a worker for tasks that state no processors.
UNLIMITED_SLOTS = 1000


@attrs.define
class WorkerView:
    """One worker and its agent; times in seconds of the entry host's clock.

    :param boot: random number drawn at each start of the agent's process.
    :param renewed_at: when the session lease was last renewed.
    :param renewal_due_at: earliest time at which a report renews it again.
    :param last_assign_number: number of runs assigned on this connection.
    :param last_end_number: number of the last task end received.
    :param unconfirmed_runs: assigned runs that the agent did not list when it connected
        again.
    :param may_have_old_runs: whether runs from an earlier boot of the agent may be
        active.
    :param reported_at: when the last load report came.
    """

    agent: str
    boot: int
    zone: str
    is_connected: bool = True
    renewed_at: float = 0.0
    renewal_due_at: float = 0.0
    last_assign_number: int = 0
    last_end_number: int = 0
    may_have_old_runs: bool = False
    unconfirmed_runs: set[assignments.RunKey] = attrs.field(factory=set)
    info: assignments.WorkerInfo | None = None
    load: assignments.LoadReport | None = None
    reported_at: float = 0.0
    # Assignments that no report includes yet, as (number, cpu, memory_mb, gpu), and
    # the sums of their resources.
    _unreported: list[tuple[int, int, int, int]] = attrs.field(factory=list)
    _unreported_sums: tuple[int, int, int] = (0, 0, 0)

    def reset_session(self) -> None:
        """Reset the state of the connection for a new one."""
        self.is_connected = True
        self.renewal_due_at = 0.0
        self.last_assign_number = 0
        self._unreported.clear()
        self._unreported_sums = (0, 0, 0)
        self.load = None

    def apply_report(self, load: assignments.LoadReport, now: float) -> None:
        """Store a load report and drop the assignments that it includes.

        :param load: the report.
        :param now: the time.
        """
        self.load, self.reported_at = load, now
        self._unreported = [
            entry for entry in self._unreported if entry[0] > load.last_assign_number
        ]
        self._unreported_sums = (
            sum(entry[1] for entry in self._unreported),
            sum(entry[2] for entry in self._unreported),
            sum(entry[3] for entry in self._unreported),
        )

    def add_assignment(self, step: besteffort.Step) -> None:
        """Reserve the resources of a run that is about to be assigned.

        :param step: step of its task.
        """
        self.last_assign_number += 1
        cpu, memory_mb, gpu = self._unreported_sums
        self._unreported_sums = (
            cpu + step.cpu,
            memory_mb + step.memory_mb,
            gpu + step.gpu,
        )
        self._unreported.append(
            (self.last_assign_number, step.cpu, step.memory_mb, step.gpu)
        )

    @property
    def is_near(self) -> bool:
        """Whether the agent reports each change and allots capacity by demand."""
        return self.load is not None and self.load.is_near

    def is_fresh(self, now: float) -> bool:
        """Return whether the agent is connected and its last report is recent.

        :param now: the time.
        """
        limit_s = NEAR_REPORT_TIMEOUT_S if self.is_near else DISTANT_REPORT_TIMEOUT_S
        return self.is_connected and now - self.reported_at < limit_s

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
        """Speed relative to the estimates, at least 0.05; 1 where they are right."""
        return max(self.load.speed / 1000, 0.05) if self.load else 1.0

    def has_label(self, label: str) -> bool:
        """Return whether the worker has a label.

        :param label: name of a kind of worker or of a rack.
        """
        return self.info is not None and label in self.info.labels

    def committed_cpu(self) -> int:
        """Return used, queued and not yet reported processors, in 1/1000 core."""
        if self.load is None:
            return 0
        return self.load.used_cpu + self.load.queued_cpu + self._unreported_sums[0]

    def free_slots(self, step: besteffort.Step) -> int:
        """Return how many tasks of a step fit into the free capacity.

        :param step: the step.
        """
        info, load = self.info, self.load
        if info is None or load is None:
            return 0
        cpu, memory_mb, gpu = self._unreported_sums
        free_cpu = load.free_cpu - cpu
        if free_cpu < step.cpu:
            return 0
        slots = free_cpu // step.cpu if step.cpu else UNLIMITED_SLOTS
        if step.memory_mb:
            free_mb = info.memory_mb - load.used_memory_mb - memory_mb
            slots = min(slots, free_mb // step.memory_mb)
        if step.gpu:
            slots = min(slots, (info.gpu - load.used_gpu - gpu) // step.gpu)
        if load.state is assignments.WorkerState.PROBATION:
            # A worker on probation gets one task at a time.
            slots = min(slots, 0 if self.committed_cpu() else 1)
        return max(0, slots)


@attrs.define
class Fleet:
    """All workers by the name of their agent."""

    view_by_agent: dict[str, WorkerView] = attrs.field(factory=dict)

    def assignable_workers(self, service: str, now: float) -> Iterator[WorkerView]:
        """Yield the workers of a service that may be assigned tasks.

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
        return sum(
            view.info.cpu for view in self.assignable_workers(service, now) if view.info
        )

    def has_enough_agents(self, now: float) -> bool:
        """Return whether half of the recent agents still report and one is assignable.

        :param now: the time.
        """
        views = self.view_by_agent.values()
        recent = sum(
            1 for view in views if now - view.reported_at < RECENT_AGENT_WINDOW_S
        )
        fresh = sum(1 for view in views if view.is_fresh(now))
        return 2 * fresh >= recent and any(view.is_assignable(now) for view in views)
