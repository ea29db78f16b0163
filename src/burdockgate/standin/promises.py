"""Checks the promises on a run of the model of best-effort jobs."""

from __future__ import annotations

from collections.abc import Iterator

from burdockgate import assignments
from burdockgate.process import workercontrol
from burdockgate.request import besteffort
from burdockgate.standin import batches, leased


def violations(model: batches.Model) -> Iterator[str]:
    """Yield what breaks a promise in a model's run.

    :param model: the model, after its run.
    """
    yield from _overlaps(model.spans())
    yield from _overloads(model)
    yield from _false_answers(model)


def _overlaps(spans: list[leased.Span]) -> Iterator[str]:
    """Yield tasks with two runs at the same time."""
    by_task: dict[assignments.TaskKey, list[leased.Span]] = {}
    for span in spans:
        by_task.setdefault(span.key.task, []).append(span)
    for task, found in by_task.items():
        found.sort(key=lambda span: span.began)
        for first, second in zip(found, found[1:], strict=False):
            if second.began < first.ended - 1e-9:
                yield (
                    f"twice: {task} run {first.key.run} on {first.worker} until "
                    f"{first.ended:.3f}, run {second.key.run} on {second.worker} from "
                    f"{second.began:.3f}"
                )


def _overloads(model: batches.Model) -> Iterator[str]:
    """Yield workers whose capacity was exceeded."""
    for agent in model.agent_by_name.values():
        worker = agent.worker
        steps = [
            step
            for span in [*worker.spans, *worker.open_spans()]
            for step in ((span.began, 1, span.cpu), (span.ended, 0, -span.cpu))
        ]
        used = 0
        for at, _, cpu in sorted(steps):
            used += cpu
            if used > worker.cpu:
                yield f"limit: {worker.name} has {used} of {worker.cpu} at {at:.3f}"
                break


def _false_answers(model: batches.Model) -> Iterator[str]:
    """Yield answers that are not true."""
    done: dict[str, set[int]] = {}
    started: set[str] = set()
    for span in model.spans():
        started.add(span.key.task.job)
        if span.reason is workercontrol.EndReason.DONE:
            done.setdefault(span.key.task.job, set()).add(span.key.task.index)
    for order in model.orders:
        if order.is_completed and len(done.get(order.job, ())) != order.kind.width:
            yield f"partial: {order.job} is shown as completed"
        # A refusal speaks of its own submission: an earlier one, whose connection
        # broke, may have run.
        only_refused = (
            order.verdicts
            and not order.is_interrupted
            and all(
                isinstance(verdict, besteffort.Refused) for verdict in order.verdicts
            )
        )
        if only_refused and order.job in started:
            yield f"refused: {order.job} was refused and has run"
