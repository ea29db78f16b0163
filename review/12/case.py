"""A worker crashes while it starts tasks and comes back as another kind."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins3"))

import fleet3

KIND_A, KIND_B = (16_000, ["a", "r1-1"]), (16_000, ["b", "r1-1"])
# Two of eight workers are of the kind that the jobs require.
KINDS = [KIND_B, KIND_B] + [KIND_A] * 6
WORK_S = 0.1
# Every other time, the worker comes back as the first kind.
CRASHES, UP_S, DOWN_S = 5, 1.2, 0.3
JOBS, INTERVAL_S = 230, 0.04


async def case(record, is_disturbed):
    fleet = fleet3.Fleet(record, 1, KINDS, lambda task: WORK_S, lambda task: 1600)
    try:
        await fleet.start(fleet3.configuration())
        worker = fleet.workers[0]
        step = {"count": 8, "cpu": 1600, "memMb": 64, "estimateMs": 100}
        job = {"spec": "text", "bestEffort": True, "steps": [step | {"requires": "b"}]}

        async def send_jobs():
            posts = []
            for number in range(JOBS):
                posts.append(
                    asyncio.create_task(
                        fleet.client(0, "POST", f"{number + 1:016x}", job, 1_500, "A")
                    )
                )
                await asyncio.sleep(INTERVAL_S)
            await asyncio.gather(*posts)

        load = asyncio.create_task(send_jobs())
        if is_disturbed:
            for number in range(CRASHES):
                await asyncio.sleep(UP_S)
                if worker.labels == KIND_B[1]:
                    await worker.crash_at_start()
                else:
                    worker.crash()
                await asyncio.sleep(DOWN_S)
                worker.capacity, worker.labels = KIND_B if number % 2 else KIND_A
                # The first heartbeat is sent as soon as the worker accepts calls.
                await worker.start()
        await load
        return [
            f"ROUTE: {run.worker} life {run.life}, labels {run.labels}, starts "
            f"{run.task} run {run.number} at {run.started_at:.3f} s, which requires b"
            for run in fleet.runs
            if "b" not in run.labels
        ]
    finally:
        await fleet.close()


fleet3.main(case)
