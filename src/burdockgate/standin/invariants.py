"""Checks invariants of best-effort jobs after a simulation."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import assignments
from burdockgate.process import workercontrol
from burdockgate.request import besteffort
from burdockgate.standin import simulation, simworker


def violations(sim: simulation.Simulation) -> Iterator[str]:
    """Yield a description of each violation of an invariant.

    :param sim: the simulation, after it has run.
    """
    yield from _concurrent_runs(sim.spans())
    yield from _overcommitted_workers(sim)
    yield from _missing_labels(sim)
    yield from _false_answers(sim)


def _concurrent_runs(spans: list[simworker.Span]) -> Iterator[str]:
    """Yield tasks with two runs at the same time."""
    spans_by_task: dict[assignments.TaskKey, list[simworker.Span]] = {}
    for span in spans:
        spans_by_task.setdefault(span.key.task, []).append(span)
    for task, task_spans in spans_by_task.items():
        task_spans.sort(key=lambda span: span.started_at)
        for first, second in zip(task_spans, task_spans[1:], strict=False):
            if second.started_at < first.ended_at - 1e-9:
                yield (
                    f"twice: {task} run {first.key.run} on {first.worker} until "
                    f"{first.ended_at:.3f}, run {second.key.run} on {second.worker} "
                    f"from {second.started_at:.3f}"
                )


def _overcommitted_workers(sim: simulation.Simulation) -> Iterator[str]:
    """Yield workers whose capacity was exceeded."""
    for agent in sim.agent_by_name.values():
        worker = agent.worker
        changes = [
            change
            for span in [*worker.spans, *worker.open_spans()]
            for change in (
                (span.started_at, 1, span.cpu, span.capacity or worker.cpu),
                (span.ended_at, 0, -span.cpu, span.capacity or worker.cpu),
            )
        ]
        used = 0
        for at, _, cpu, capacity in sorted(changes):
            used += cpu
            if cpu > 0 and used > capacity:
                yield f"limit: {worker.name} has {used} of {capacity} at {at:.3f}"
                break


def _missing_labels(sim: simulation.Simulation) -> Iterator[str]:
    """Yield starts on workers without the label that the task requires."""
    label_by_step = {
        (caller_job.job, number): step.label
        for caller_job in sim.caller_jobs
        for number, step in enumerate(caller_job.submission.steps)
    }
    for span in sim.spans():
        task = span.key.task
        label = label_by_step.get((task.job, task.step), "")
        if label and span.labels is not None and label not in span.labels:
            yield (
                f"route: {task} run {span.key.run} starts on {span.worker}, which has "
                f"{span.labels} and not {label}, at {span.started_at:.3f}"
            )


def _false_answers(sim: simulation.Simulation) -> Iterator[str]:
    """Yield outcomes that contradict the runs on the workers."""
    done_indexes_by_job: dict[str, set[int]] = {}
    started_jobs: set[str] = set()
    for span in sim.spans():
        started_jobs.add(span.key.task.job)
        if span.reason is workercontrol.EndReason.DONE:
            done_indexes_by_job.setdefault(span.key.task.job, set()).add(
                span.key.task.index
            )
    for caller_job in sim.caller_jobs:
        if caller_job.is_completed and len(
            done_indexes_by_job.get(caller_job.job, ())
        ) != sum(step.count for step in caller_job.submission.steps):
            yield f"partial: {caller_job.job} is shown as completed"
        # A refusal is about one submission of the job: an earlier one, whose
        # connection broke, may have run.
        is_only_refused = (
            caller_job.outcomes
            and not caller_job.is_interrupted
            and all(
                isinstance(outcome, besteffort.Refused)
                for outcome in caller_job.outcomes
            )
        )
        if is_only_refused and caller_job.job in started_jobs:
            yield f"refused: {caller_job.job} was refused and has run"
