"""A worker crashes while it starts tasks and is unhealthy when it is back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins3"))

import fleet3

# One of eight workers is of the kind that the jobs require.
KINDS = [(16_000, ["b", "r1-1"])] + [(16_000, ["a", "r1-2"])] * 7
WORK_S = 0.2
CRASHES, UP_S, DOWN_S, UNHEALTHY_S = 3, 2.0, 0.3, 3.0
JOBS, INTERVAL_S = 680, 0.025
MAX_ATTEMPTS = 3


async def send(fleet, job_id, job):
    """Send a job as the protocol says; return the statuses of its attempts."""
    statuses = []
    while len(statuses) < MAX_ATTEMPTS:
        status, _ = await fleet.client(0, "POST", job_id, job, 3_000, "A")
        statuses.append(status)
        if status not in (0, 502, 504):
            break
        await asyncio.sleep(fleet3.BOUNDS["retransmitMs"] / 1000)
    return job_id, statuses


async def case(record, is_disturbed):
    fleet = fleet3.Fleet(record, 1, KINDS, lambda task: WORK_S, lambda task: 1600)
    try:
        await fleet.start(fleet3.configuration())
        worker = fleet.workers[0]
        step = {"count": 1, "cpu": 1600, "memMb": 64, "estimateMs": 200}
        job = {"spec": "text", "bestEffort": True, "steps": [step | {"requires": "b"}]}

        async def send_jobs():
            posts = []
            for number in range(JOBS):
                posts.append(asyncio.create_task(send(fleet, f"{number:016x}", job)))
                await asyncio.sleep(INTERVAL_S)
            return await asyncio.gather(*posts)

        load = asyncio.create_task(send_jobs())
        if is_disturbed:
            for _ in range(CRASHES):
                await asyncio.sleep(UP_S)
                await worker.crash_at_start()
                await asyncio.sleep(DOWN_S)
                worker.is_unhealthy = True
                await worker.start()
                await asyncio.sleep(UNHEALTHY_S)
                worker.is_unhealthy = False
                record.write(f"worker {worker.name} is healthy again")
        statuses_by_job = dict(await load)
        started = {run.task.split(".")[0] for run in fleet.runs}
        answers = [statuses[-1] for statuses in statuses_by_job.values()]
        record.write(
            f"{len(answers)} jobs: {answers.count(200)} completed or failed, "
            f"{answers.count(503)} refused"
        )
        return [
            f"REFUSED: the attempts of job {job_id} got {statuses}, and a task of it "
            "has been started"
            for job_id, statuses in statuses_by_job.items()
            if job_id in started and all(status in (429, 503) for status in statuses)
        ]
    finally:
        await fleet.close()


fleet3.main(case)
