"""Workers have restarted once; then all processes are killed. Is anything served?"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins3"))

import fleet3

KIND = (16_000, ["a", "r1-1"])
WORK_S = 0.1
# The workers have been up for eight minutes, as in the example of PROTOCOL.md.
FIRST_CLOCK_MS = 480_000
CRASH_S, KILLED_S = 0.3, 1.0
REQUESTS, INTERVAL_S = 40, 0.1


async def send_requests(fleet, first):
    """Send jobs at a steady pace; return how many were served."""
    job = {
        "spec": "text",
        "bestEffort": True,
        "steps": [{"count": 4, "cpu": 1600, "memMb": 64, "estimateMs": 100}],
    }
    posts = []
    for number in range(REQUESTS):
        posts.append(
            asyncio.create_task(
                fleet.client(
                    number % 2, "POST", f"{first + number:016x}", job, 1_500, "A"
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*posts)
    return sum(1 for answer in answers if answer == (200, '{"state":"completed"}'))


async def case(record, is_disturbed):
    fleet = fleet3.Fleet(
        record, 2, [KIND, KIND], lambda task: WORK_S, lambda task: 1600
    )
    for worker in fleet.workers:
        worker.clock_base_ms = FIRST_CLOCK_MS
    try:
        await fleet.start(fleet3.configuration())
        if is_disturbed:
            for worker in fleet.workers:
                worker.crash()
                await asyncio.sleep(CRASH_S)
                worker.clock_base_ms = 0
                await worker.start()
                await asyncio.sleep(1.0)
        before = await send_requests(fleet, 0x1000)
        record.write(f"before the final fault: {before} of {REQUESTS} served")
        if is_disturbed:
            await fleet.restart_processes(KILLED_S)
        await asyncio.sleep(fleet3.BOUNDS["recoveryS"] + 0.5)
        after = await send_requests(fleet, 0x2000)
        record.write(f"recoveryS after the machines are back: {after} of {REQUESTS}")
        if 4 * before >= REQUESTS and 4 * after < REQUESTS:
            return [
                f"RECOVER: {after} of {REQUESTS} requests are served, {before} of "
                f"{REQUESTS} were before"
            ]
        return []
    finally:
        await fleet.close()


fleet3.main(case)
