"""Measures many simultaneous cancellations at one entry host.

A whole system runs in this process, with real connections between its nodes. HTTP is
left out: jobs are submitted and cancelled by calls of the entry host. Run it with
``python -m burdockgate.standin.wave``.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import gc
import io
import json
import random
import time

import xxhash

from burdockgate import codes, messages
from burdockgate.process import logs
from burdockgate.request import job, outcome
from burdockgate.standin import local

TASKS_PER_JOB = 2
RUN_MS = 60_000
LOOP_POLL_S = 0.001
SUBMIT_BATCH_JOBS = 200


def main() -> None:
    """Cancel many jobs at once and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--jobs", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    # Log lines about connections would hide the figures.
    logs.configure(io.StringIO())
    print(json.dumps(asyncio.run(measure(args.jobs, args.seed))))


async def measure(jobs: int, seed: int) -> dict[str, object]:
    """Submit long jobs, cancel all of them at once, and return the figures.

    :param jobs: number of jobs.
    :param seed: seed of the system's random choices.
    """
    system = local.LocalSystem(local.LocalSettings(entries=1, agents=11, seed=seed))
    await system.start()
    try:
        return await _CancelWave(system, jobs, seed).run()
    finally:
        await system.stop()


def _resident_mb() -> float:
    with open("/proc/self/status") as status:
        line = next(line for line in status if line.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024


class _CancelWave:
    def __init__(self, system: local.LocalSystem, jobs: int, seed: int) -> None:
        self._system = system
        self._entry = system.entries[0]
        self._keys = [f"wave-{seed}-{number}" for number in range(jobs)]
        self._random = random.Random(seed)
        self._sent_by_type: collections.Counter[str] = collections.Counter()
        self._loop_delays_s: list[float] = []

    async def run(self) -> dict[str, object]:
        gc.collect()
        before_mb = _resident_mb()
        submitted: list[asyncio.Task[outcome.Outcome]] = []
        # Only the cancellations come all at once; the jobs are submitted in batches.
        for first in range(0, len(self._keys), SUBMIT_BATCH_JOBS):
            batch = self._keys[first : first + SUBMIT_BATCH_JOBS]
            submitted += [asyncio.create_task(self._submit(key)) for key in batch]
            while self._owned_jobs() < len(submitted):
                await asyncio.sleep(0.01)
        slots = self._system.config.agents * self._system.config.slots
        while self._system.start_count < slots:
            await asyncio.sleep(0.01)
        loaded_mb, started = _resident_mb(), self._system.start_count
        self._count_messages()
        recorder = asyncio.create_task(self._record_loop_delays())
        await asyncio.sleep(0.2)
        self._loop_delays_s.clear()
        self._sent_by_type.clear()
        begin, cpu = time.monotonic(), time.process_time()
        cancels = [asyncio.create_task(self._cancel(key)) for key in self._keys]
        cancellations = await asyncio.gather(*cancels)
        last_s, cpu_s = time.monotonic() - begin, time.process_time() - cpu
        results = await asyncio.gather(*submitted)
        await asyncio.sleep(0.5)
        recorder.cancel()
        submit_codes = collections.Counter(result.code.name for result in results)
        del submitted, cancels, results
        gc.collect()
        tasks = len(self._keys) * TASKS_PER_JOB
        return {
            "jobs": len(self._keys),
            "tasks": tasks,
            "started": started,
            "stopped_at_backend": sum(
                item.stopped_count for item in self._system.servers
            ),
            "slots_taken": sum(item.core.slots.running for item in self._system.agents),
            "cancel_codes": collections.Counter(
                codes.Code(result.code).name for _, result in cancellations
            ),
            "submit_codes": submit_codes,
            "last_outcome_s": round(last_s, 3),
            "outcome_p50_s": round(
                sorted(s for s, _ in cancellations)[len(cancellations) // 2], 3
            ),
            "cpu_s": round(cpu_s, 3),
            "longest_stall_s": round(max(self._loop_delays_s), 3),
            "sent_by_kind": dict(self._sent_by_type),
            "messages_per_task": round(sum(self._sent_by_type.values()) / tasks, 3),
            "rss_mb": [round(mb, 1) for mb in (before_mb, loaded_mb, _resident_mb())],
            "jobs_held": len(self._entry.core.jobs),
            "backlog_tasks": self._entry.core.backlog_tasks,
        }

    def _owned_jobs(self) -> int:
        return int(self._entry.counters.snapshot()["jobs.owned"])

    async def _submit(self, key: str) -> outcome.Outcome:
        payload = json.dumps({"sleep_ms": RUN_MS}).encode()
        specs = tuple(
            job.TaskSpec(payload, float(RUN_MS)) for _ in range(TASKS_PER_JOB)
        )
        request = job.JobRequest(
            guest="wave",
            key=key,
            service=self._system.config.service,
            caller_class="default",
            repeatable=True,
            deadline_ms=300_000,
            tasks=specs,
            job=job.job_id("wave", key),
            digest=xxhash.xxh3_128_digest(key.encode()),
            size=TASKS_PER_JOB * len(payload),
        )
        return await self._entry.submit(request, wait=True)

    async def _cancel(self, key: str) -> tuple[float, outcome.Outcome]:
        begin = time.monotonic()
        result = await self._entry.cancel("wave", key)
        return time.monotonic() - begin, result

    def _count_messages(self) -> None:
        """Count the messages that the entry host sends to the workers, by type."""
        send = self._entry.network.send

        def count_and_send(name: str, message: messages.Message) -> bool:
            self._sent_by_type[type(message).__name__] += 1
            return send(name, message)

        self._entry.network.send = count_and_send  # type: ignore[method-assign]

    async def _record_loop_delays(self) -> None:
        """Record how late the event loop resumes after each sleep."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(LOOP_POLL_S)
            self._loop_delays_s.append(time.monotonic() - begin - LOOP_POLL_S)


if __name__ == "__main__":
    main()
