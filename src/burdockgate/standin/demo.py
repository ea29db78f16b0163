"""Runs one job on a local system, as a demonstration: ``burdockgate local``."""

from __future__ import annotations

import asyncio
import json
import sys

import attrs

from burdockgate import client, codes, errors
from burdockgate.process import runner
from burdockgate.standin import local

SAMPLE_RUN_TIMES_MS = (50, 80, 120, 60, 200, 90, 150, 70, 300, 50, 110, 60) * 2


@attrs.frozen
class Summary:
    """Totals of one job.

    :param starts: number of starts that the backend servers recorded.
    :param ideal_ms: response time on free slots without overhead.
    :param messages: number of messages of all types between the daemons.
    """

    outcome: str
    code: int
    key: str
    tasks: int
    starts: int
    response_ms: float
    ideal_ms: float
    messages: int


def read_job(path: str | None) -> dict[str, object]:
    """Read a job from a JSON file, or return the sample job.

    :param path: the file; ``None`` for the sample job.
    :raises errors.RequestError: when the file cannot be read or is not a valid job.
    """
    if path is None:
        tasks = [{"payload": {"sleep_ms": ms}} for ms in SAMPLE_RUN_TIMES_MS]
        return {"guest": "sample-guest", "service": "sample", "tasks": tasks}
    try:
        with open(path, encoding="utf-8") as file:
            body = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise errors.RequestError(
            codes.Code.INVALID_REQUEST, f"{path}: {error}"
        ) from None
    if not isinstance(body, dict) or not isinstance(body.get("service"), str):
        raise errors.RequestError(
            codes.Code.INVALID_REQUEST, f"{path}: service: must be a string"
        )
    return body


def run(
    config: local.LocalSettings, body: dict[str, object], as_json: bool, keep: bool
) -> int:
    """Start a local system, run one job and print its answer.

    :param config: size of the system.
    :param body: the job in the format of the HTTP interface.
    :param as_json: whether to print one JSON object.
    :param keep: whether to keep serving until SIGTERM or SIGINT.
    :returns: the exit status: 0 when the job is complete, else 1.
    """
    return asyncio.run(_run(config, body, as_json, keep))


async def _run(
    config: local.LocalSettings, body: dict[str, object], as_json: bool, keep: bool
) -> int:
    stop_requested = asyncio.Event()
    runner.on_signal(stop_requested.set)
    system = local.LocalSystem(config)
    try:
        await system.start()
        answer, summary = await _submit(system, body)
        if keep:
            _print_answer(as_json, answer, summary)
            print("serving at", " ".join(system.urls), file=sys.stderr, flush=True)
            await stop_requested.wait()
    finally:
        await system.stop()
    if not keep:
        # Printed after the last log lines, so that the output ends with the answer.
        _print_answer(as_json, answer, summary)
    return 0 if answer.outcome == "complete" else 1


async def _submit(
    system: local.LocalSystem, body: dict[str, object]
) -> tuple[client.Answer, Summary]:
    loop = asyncio.get_running_loop()
    async with client.Client(system.urls) as caller:
        messages_before, starts_before = system.message_count, system.start_count
        begin = loop.time()
        answer = await caller.submit(body)
        response_ms = (loop.time() - begin) * 1000
    tasks = body.get("tasks")
    run_times = (
        [_run_time_ms(task) for task in tasks] if isinstance(tasks, list) else []
    )
    slots = system.config.agents * system.config.slots
    summary = Summary(
        outcome=answer.outcome,
        code=answer.code,
        key=answer.key,
        tasks=len(run_times),
        starts=system.start_count - starts_before,
        response_ms=round(response_ms, 3),
        ideal_ms=local.ideal_ms(run_times, slots),
        messages=system.message_count - messages_before,
    )
    return answer, summary


def _run_time_ms(task: object) -> float:
    payload = task.get("payload") if isinstance(task, dict) else None
    value = payload.get("sleep_ms") if isinstance(payload, dict) else None
    return float(value) if isinstance(value, int | float) else 0.0


def _print_answer(as_json: bool, answer: client.Answer, summary: Summary) -> None:
    if as_json:
        print(json.dumps({**attrs.asdict(summary), "results": answer.results}))
        return
    for index, result in enumerate(answer.results or ()):
        print(f"task {index:3d}  {json.dumps(result)}")
    for name, value in attrs.asdict(summary).items():
        print(f"{name:12s} {value}")
    if answer.detail:
        print(f"{'detail':12s} {answer.detail}")
