"""Entry hosts that stand still as processes, with stand-ins over HTTP."""

import asyncio
import contextlib
import itertools
import json
import signal
import socket
import struct

import pytest

import platform_deployment

# Callers send a job again this long after its connection broke.
RETRY_S = 1.3
STOPPED_S = 0.6
# How long after the second submission the stopped entry host goes on.
RESUME_DELAYS_S = (0.0, 0.02, 0.04, 0.06, 0.08)
# Longest wait for a response.
LIMIT_S = 20
CALLERS = 6
TASKS = 2
RESET = struct.pack("ii", 1, 0)
JOB = {
    "spec": "text",
    "bestEffort": True,
    "steps": [{"count": TASKS, "cpu": 1600, "memMb": 64, "estimateMs": 300}],
}


@pytest.fixture
async def deployment(tmp_path):
    instance = platform_deployment.Deployment(tmp_path, network="127.0.2")
    try:
        await instance.start()
        yield instance
    finally:
        await instance.close()


def _send(deployment, host, job):
    """Send a whole request, which the listener's queue or the kernel may keep.

    The workers' stand-ins run in this process, and HTTP clients take too long to make.
    """
    body = json.dumps(JOB).encode()
    caller = socket.create_connection((host, deployment.front_port))
    caller.sendall(
        f"POST /jobs/{job} HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 4000\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    return caller


async def _receive(caller):
    """Return the start of the response."""
    caller.setblocking(False)
    with caller:
        return await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(caller, 4096), LIMIT_S
        )


def _leave(caller, is_reset):
    if is_reset:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    caller.close()


def _overlaps(deployment, jobs):
    """Return the pairs of runs of one task that ran at the same time."""
    spans = [span for job in jobs for span in deployment.spans(job)]
    return [
        (first.key, second.key)
        for first, second in itertools.combinations(spans, 2)
        if first.key.task == second.key.task
        and first.started_at < second.ended_at
        and second.started_at < first.ended_at
    ]


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
async def test_jobs_of_callers_that_left_a_stopped_entry_host_run_once_at_a_time(
    deployment, is_reset
):
    """Read late, the jobs ran beside their second submission at another entry host."""
    stopped = deployment.process_by_name["entry-1"]
    for number, delay_s in enumerate(RESUME_DELAYS_S):
        jobs = [f"{number:08x}{index:08x}" for index in range(CALLERS)]
        stopped.send_signal(signal.SIGSTOP)
        try:
            callers = [_send(deployment, "127.0.2.11", job) for job in jobs]
            await asyncio.sleep(STOPPED_S)
            for caller in callers:
                _leave(caller, is_reset)
            await asyncio.sleep(RETRY_S)
            again = [_send(deployment, "127.0.2.12", job) for job in jobs]
            await asyncio.sleep(delay_s)
        finally:
            with contextlib.suppress(ProcessLookupError):
                stopped.send_signal(signal.SIGCONT)
        for answer in await asyncio.gather(*map(_receive, again)):
            assert answer.startswith(b"HTTP/1.1 200")
        assert _overlaps(deployment, jobs) == []


async def test_callers_that_wait_for_a_stopped_entry_host_are_served(deployment):
    """Refusing all that was read after a stop would turn away callers that wait."""
    stopped = deployment.process_by_name["entry-1"]
    jobs = [f"{index:016x}" for index in range(CALLERS)]
    stopped.send_signal(signal.SIGSTOP)
    try:
        callers = [_send(deployment, "127.0.2.11", job) for job in jobs]
        await asyncio.sleep(STOPPED_S)
    finally:
        stopped.send_signal(signal.SIGCONT)
    for answer in await asyncio.gather(*map(_receive, callers)):
        assert answer.startswith(b"HTTP/1.1 200")
