"""A job in progress at the entry host that owns it.

Each task of an owned job is waiting, sent or done. A task that was sent is sent again
only after the agent has returned it, or has replied to a fence that it never received
the task.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

import attrs

from burdockgate import clock, codes, effects, messages
from burdockgate.request import claimant, job, outcome

_Effects = Iterator[effects.Effect]

_CODE_BY_STATE = {
    messages.TaskState.FAILED: codes.Code.TASK_FAILED,
    messages.TaskState.UNKNOWN: codes.Code.REQUEST_CUT,
    messages.TaskState.STOPPED: codes.Code.CANCELLED_MAY_HAVE_RUN,
    messages.TaskState.OVERSIZE: codes.Code.RESULT_TOO_LARGE,
}


@attrs.define
class _AgentState:
    """The state of one agent in the scope of an owned job.

    :param fence: number of the last fence sent.
    :param is_fencing: whether the reply to that fence is outstanding.
    :param is_recovering: whether the agent may have unreported tasks that an earlier
        owner sent.
    :param out_of_sync_since: start of the time limit after which the agent counts as
        lost; ``None`` while it is connected and in sync. It starts anew when the
        agent connects again and gets a fence, and when it counts as lost.
    :param send_number_by_index: number of the current send of each task at the agent.
    :param reported_indexes: tasks reported in replies to the current fence.
    """

    node: messages.Node
    fence: int = 0
    is_fencing: bool = False
    is_recovering: bool = False
    out_of_sync_since: float | None = None
    send_number_by_index: dict[int, int] = attrs.field(factory=dict)
    reported_indexes: set[int] = attrs.field(factory=set)


class OwnedJob:
    """State machine of one attempt of a job.

    :param request: the job.
    :param terms: the claim that was granted.
    :param claim_group: the members of the claim group, which get the settlement.
    :param time: the clock.
    :param lost_worker_s: time after which a disconnected agent counts as lost.
    :param may_have_run_before: whether an earlier attempt may have run; if so, no
        result code of this attempt may say "not run".
    """

    def __init__(
        self,
        request: job.JobRequest,
        terms: claimant.Terms,
        claim_group: Iterable[messages.Node],
        time: clock.Clock,
        lost_worker_s: float,
        may_have_run_before: bool = False,
    ) -> None:
        self.request = request
        self.extend_scope(terms)
        self.arrived_at = time.now()
        self.first_sent_at: float | None = None
        self.outcome: outcome.Outcome | None = None
        self.is_superseded = False
        self.dropped_count = 0
        self.returned_tasks: list[job.TaskSpec] = []
        self._claim_group = tuple(claim_group)
        self._time = time
        self._lost_worker_s = lost_worker_s
        self._waiting_indexes = collections.deque(range(len(request.tasks)))
        self._result_by_index: dict[int, bytes] = {}
        self._send_number_by_index = [0] * len(request.tasks)
        self._agent_by_name: dict[str, _AgentState] = {}
        self._may_have_started = may_have_run_before
        self._is_in_doubt = False
        self._recovering_count = 0
        self._sent_count = 0

    def extend_scope(self, terms: claimant.Terms) -> None:
        """Replace the terms of the claim by terms with a longer scope.

        :param terms: terms of the same epoch that a majority has granted.
        """
        self.terms = terms
        self._scope = {(node.name, node.boot) for node in terms.scope}

    # Sending tasks

    @property
    def waiting_count(self) -> int:
        """Number of waiting tasks that may be sent now."""
        return (
            0 if self.outcome or self._recovering_count else len(self._waiting_indexes)
        )

    @property
    def next_task(self) -> job.TaskSpec:
        """The task that :meth:`assign_next_task` would send."""
        return self.request.tasks[self._waiting_indexes[0]]

    def _set_recovering(self, agent: _AgentState, is_recovering: bool) -> None:
        self._recovering_count += is_recovering - agent.is_recovering
        agent.is_recovering = is_recovering

    def may_send_to(self, node: messages.Node) -> bool:
        """Return whether a task may be sent to an agent now.

        :param node: an agent; only those of the recorded scope are allowed.
        """
        agent = self._agent_by_name.get(node.name)
        if agent is not None and (
            agent.is_fencing
            or agent.out_of_sync_since is not None
            or not agent.node.is_same_incarnation(node)
        ):
            return False
        return self.is_in_scope(node)

    def is_in_scope(self, node: messages.Node) -> bool:
        """Return whether an agent is in the recorded scope.

        :param node: the agent's incarnation.
        """
        return (node.name, node.boot) in self._scope

    def assign_next_task(self, node: messages.Node) -> messages.TaskStart:
        """Assign the next waiting task to an agent, and return its start.

        :param node: the agent; see :meth:`may_send_to`.
        """
        index = self._waiting_indexes.popleft()
        self._send_number_by_index[index] += 1
        agent = self._find_or_add_agent(node)
        agent.send_number_by_index[index] = self._send_number_by_index[index]
        self._sent_count += 1
        if self.first_sent_at is None:
            self.first_sent_at = self._time.now()
        return messages.TaskStart(
            index,
            self._send_number_by_index[index],
            self.request.tasks[index].payload,
            max(1, int((self.deadline_at - self._time.now()) * 1000)),
        )

    def start_message(
        self, node: messages.Node, tasks: Iterable[messages.TaskStart]
    ) -> effects.Send:
        """Return the message that sends tasks to an agent.

        :param node: the agent.
        :param tasks: task starts from :meth:`assign_next_task`.
        """
        return effects.Send(
            node.name,
            messages.Start(
                self.request.job,
                self.terms.epoch,
                self._find_or_add_agent(node).fence,
                self.terms.attempt,
                node.boot,
                tuple(tasks),
            ),
        )

    def _find_or_add_agent(self, node: messages.Node) -> _AgentState:
        agent = self._agent_by_name.get(node.name)
        if agent is None:
            agent = _AgentState(node)
            self._agent_by_name[node.name] = agent
        return agent

    @property
    def deadline_at(self) -> float:
        """Time at which the job fails if it is not complete."""
        return self.arrived_at + self.request.deadline_ms / 1000

    # Recovery

    def recover(self, scope: Iterable[messages.Node]) -> _Effects:
        """Send a fence to each agent to which an earlier owner may have sent tasks.

        :param scope: the agents in the scopes of all earlier claims of this attempt.
        """
        for node in scope:
            agent = self._find_or_add_agent(node)
            if not agent.node.is_same_incarnation(node):
                # At least one of two incarnations of an agent has ended, so tasks may
                # have started on a lost worker.
                self._is_in_doubt = True
                continue
            self._set_recovering(agent, True)
            agent.out_of_sync_since = self._time.now()
            yield from self._send_fence(agent)

    def _send_fence(self, agent: _AgentState) -> _Effects:
        agent.fence += 1
        agent.is_fencing = True
        agent.reported_indexes.clear()
        yield effects.Dial(agent.node)
        yield effects.Send(
            agent.node.name,
            messages.Fence(
                self.request.job,
                self.terms.epoch,
                agent.fence,
                self.terms.attempt,
                agent.node.boot,
            ),
        )

    def handle_agent_connected(self, node: messages.Node) -> _Effects:
        """Handle a new connection of an agent.

        :param node: incarnation of the agent; another boot number proves that the
            earlier incarnation has ended.
        """
        agent = self._agent_by_name.get(node.name)
        if agent is None or self.outcome:
            return
        if not agent.node.is_same_incarnation(node):
            yield from self._handle_agent_lost(agent)
        elif agent.send_number_by_index or agent.is_fencing:
            agent.out_of_sync_since = self._time.now()
            yield from self._send_fence(agent)
        else:
            agent.out_of_sync_since = None

    def handle_agent_disconnected(self, name: str) -> None:
        """Start the time limit after which a disconnected agent counts as lost.

        :param name: name of the agent.
        """
        agent = self._agent_by_name.get(name)
        if agent is not None and agent.out_of_sync_since is None:
            agent.out_of_sync_since = self._time.now()

    def handle_fence_reply(self, name: str, reply: messages.FenceReply) -> _Effects:
        """Handle an agent's reply to a fence.

        :param name: name of the agent.
        :param reply: the tasks that the agent knows. A higher epoch shows that another
            owner has taken the job over. Replies to older fences are dropped and
            counted.
        """
        agent = self._agent_by_name.get(name)
        if reply.epoch > self.terms.epoch:
            self.is_superseded = True
            return
        if agent is None or self.outcome or not self._is_reply_to_fence(agent, reply):
            self.dropped_count += 1
            return
        if reply.boot != agent.node.boot:
            yield from self._handle_agent_lost(agent)
            return
        for report in reply.reports:
            # The return of an earlier send says nothing about the current send.
            is_earlier_send = (
                report.state is messages.TaskState.RETURNED
                and report.send_number != agent.send_number_by_index.get(report.index)
            )
            if not is_earlier_send:
                agent.reported_indexes.add(report.index)
            yield from self._handle_report(agent, report, is_resync=True)
        if not reply.more:
            yield from self._finish_fence(agent)

    def _is_reply_to_fence(
        self, agent: _AgentState, reply: messages.FenceReply
    ) -> bool:
        return (
            agent.is_fencing
            and reply.epoch == self.terms.epoch
            and reply.fence == agent.fence
            and reply.attempt == self.terms.attempt
        )

    def _finish_fence(self, agent: _AgentState) -> _Effects:
        """Queue the tasks again that the agent did not report and will never start."""
        agent.is_fencing = False
        self._set_recovering(agent, False)
        agent.out_of_sync_since = None
        for index in [
            index
            for index in agent.send_number_by_index
            if index not in agent.reported_indexes
        ]:
            del agent.send_number_by_index[index]
            self._sent_count -= 1
            self._requeue(index)
        yield from self._fail_if_in_doubt()

    def _handle_agent_lost(self, agent: _AgentState) -> _Effects:
        """Handle the loss of an agent for good.

        The job fails if the agent has tasks of it. If an earlier owner may have sent
        tasks to the agent, the job is in doubt.
        """
        was_recovering = agent.is_recovering
        agent.is_fencing = False
        self._set_recovering(agent, False)
        if agent.send_number_by_index:
            yield from self.fail(
                codes.Code.WORKER_LOST,
                f"worker {agent.node.name} was lost with "
                f"{len(agent.send_number_by_index)} tasks",
            )
        elif was_recovering:
            self._is_in_doubt = True
            yield from self._fail_if_in_doubt()

    def _fail_if_in_doubt(self) -> _Effects:
        """Fail if tasks still wait that may have started on a lost agent's worker.

        Agents that may still report such tasks are awaited first.
        """
        if self._is_in_doubt and not self._recovering_count and self._waiting_indexes:
            yield from self.fail(
                codes.Code.OWNER_LOST,
                f"{len(self._waiting_indexes)} tasks may have started on a lost worker",
            )

    # Results

    def handle_results(self, name: str, message: messages.Results) -> _Effects:
        """Handle an agent's reports about tasks that have ended.

        :param name: name of the agent.
        :param message: the reports; they are dropped and counted when the epoch, the
            attempt or the boot number differs.
        """
        agent = self._agent_by_name.get(name)
        if (
            agent is None
            or self.outcome
            or message.boot != agent.node.boot
            or message.epoch != self.terms.epoch
            or message.attempt != self.terms.attempt
        ):
            self.dropped_count += len(message.reports)
            return
        for report in message.reports:
            yield from self._handle_report(agent, report, is_resync=False)

    def _handle_report(
        self, agent: _AgentState, report: messages.TaskReport, is_resync: bool
    ) -> _Effects:
        index = report.index
        if index >= len(self.request.tasks) or self.outcome:
            self.dropped_count += 1
        elif is_resync and agent.send_number_by_index.get(index) is None:
            yield from self._adopt_task(agent, report)
        elif agent.send_number_by_index.get(index) != report.send_number:
            self.dropped_count += 1
        else:
            yield from self._apply_report(agent, report)

    def _adopt_task(self, agent: _AgentState, report: messages.TaskReport) -> _Effects:
        """Record a task that an earlier owner sent to an agent."""
        index = report.index
        if (
            report.state is messages.TaskState.RETURNED
            or index not in self._waiting_indexes
        ):
            self._send_number_by_index[index] = max(
                self._send_number_by_index[index], report.send_number
            )
            return
        self._waiting_indexes.remove(index)
        self._send_number_by_index[index] = max(
            self._send_number_by_index[index], report.send_number
        )
        agent.send_number_by_index[index] = report.send_number
        self._sent_count += 1
        yield from self._apply_report(agent, report)

    def _apply_report(
        self, agent: _AgentState, report: messages.TaskReport
    ) -> _Effects:
        index, state = report.index, report.state
        if state is messages.TaskState.RUNNING:
            self._may_have_started = True
            return
        del agent.send_number_by_index[index]
        self._sent_count -= 1
        if state is messages.TaskState.RETURNED:
            self._requeue(index)
            self.returned_tasks.append(self.request.tasks[index])
            return
        self._may_have_started = True
        if state is not messages.TaskState.DONE:
            detail = report.payload.decode(errors="replace")[:200]
            yield from self.fail(_CODE_BY_STATE[state], f"task {index}: {detail}")
        elif not report.payload:
            yield from self.fail(
                codes.Code.ANSWER_EXPIRED, f"the result of task {index} is not kept"
            )
        else:
            self._result_by_index[index] = report.payload
            if len(self._result_by_index) == len(self.request.tasks):
                self._complete()

    def _requeue(self, index: int) -> None:
        """Put a task back at the front of the queue, to delay its job no further."""
        self._waiting_indexes.appendleft(index)

    # End of the job

    @property
    def due_at(self) -> float:
        """Time at which :meth:`tick` is due, if no event comes first."""
        loss_times = [
            agent.out_of_sync_since + self._lost_worker_s
            for agent in self._agent_by_name.values()
            if agent.out_of_sync_since is not None
        ]
        return min([self.deadline_at, *loss_times])

    def tick(self) -> _Effects:
        """Fail the job when its deadline has passed or an agent counts as lost."""
        now = self._time.now()
        if self.outcome is None and now >= self.deadline_at:
            yield from self.expire()
        for agent in list(self._agent_by_name.values()):
            if self.outcome is None and self._is_overdue(agent, now):
                agent.out_of_sync_since = now
                yield from self._handle_agent_lost(agent)

    def _is_overdue(self, agent: _AgentState, now: float) -> bool:
        return (
            agent.out_of_sync_since is not None
            and now - agent.out_of_sync_since >= self._lost_worker_s
        )

    def expire(self) -> _Effects:
        """Fail the job because its deadline has passed."""
        yield from self._fail_by_start(
            codes.Code.DEADLINE_NOT_RUN,
            codes.Code.DEADLINE_MAY_HAVE_RUN,
            f"deadline of {self.request.deadline_ms} ms passed",
        )

    @property
    def sent_count(self) -> int:
        """Number of tasks that were sent and are not known to have ended."""
        return self._sent_count

    def check_queue_time(self, queue_s: float) -> _Effects:
        """Fail the job if no task was sent within the queue time.

        :param queue_s: longest time in the queue, in seconds.
        """
        waited_s = self._time.now() - self.arrived_at
        if self.first_sent_at is None and waited_s >= queue_s:
            yield from self._fail_by_start(
                codes.Code.QUEUE_TIMEOUT,
                codes.Code.DEADLINE_MAY_HAVE_RUN,
                f"no task started within the queue time of {queue_s:g} s",
            )

    def cancel(self) -> _Effects:
        """Fail the job because a caller cancelled it; running tasks are stopped."""
        yield from self._fail_by_start(
            codes.Code.CANCELLED_NOT_RUN,
            codes.Code.CANCELLED_MAY_HAVE_RUN,
            "cancelled by the caller",
        )

    def _fail_by_start(
        self, not_run: codes.Code, may_have_run: codes.Code, detail: str
    ) -> _Effects:
        is_unstarted = not (
            self._may_have_started or self._recovering_count or self._is_in_doubt
        )
        code = not_run if is_unstarted and not self._sent_count else may_have_run
        yield from self.fail(code, detail)

    def fail(self, code: codes.Code, detail: str) -> _Effects:
        """Fail the job as a whole; running tasks are stopped.

        :param code: the result code.
        :param detail: one line that names the cause.
        """
        if self.outcome is not None:
            return
        self.outcome = outcome.Failed(self.terms.attempt, code, detail)
        cancel = messages.Cancel(self.request.job, self.terms.epoch, self.terms.attempt)
        for agent in self._agent_by_name.values():
            if agent.send_number_by_index:
                yield effects.Send(agent.node.name, cancel)

    def _complete(self) -> None:
        results = tuple(
            self._result_by_index[index] for index in range(len(self.request.tasks))
        )
        self.outcome = outcome.Complete(self.terms.attempt, results)

    def replace_code(self, code: codes.Code) -> None:
        """Replace the code of a failure that the claim group has not confirmed.

        :param code: the "may have run" code that replaces the "not run" code.
        """
        assert isinstance(self.outcome, outcome.Failed)
        self.outcome = outcome.Failed(self.terms.attempt, code, self.outcome.detail)

    def settle(self) -> _Effects:
        """Send the settlement to the claim group and to the agents of the job."""
        assert self.outcome is not None
        settle = messages.Settle(
            self.request.job,
            self.terms.epoch,
            self.terms.attempt,
            int(self.outcome.code),
        )
        names = {node.name for node in self._claim_group} | set(self._agent_by_name)
        for name in sorted(names):
            yield effects.Send(name, settle)
