"""A heartbeat of another writer names a service that nobody has. Do tasks run twice?"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins3"))

import fleet3

JOB = "5c0e7a21d94b36f8"
KIND = (16_000, ["a", "r1-1"])
WORK_S, WIDTH = 3.0, 4
HEARTBEAT_AFTER_S = 1.0
OTHER_SERVICE = "other-service"


async def case(record, is_disturbed):
    fleet = fleet3.Fleet(
        record, 1, [KIND, KIND], lambda task: WORK_S, lambda task: 1600
    )
    try:
        await fleet.start(fleet3.configuration())
        job = {
            "spec": "text",
            "bestEffort": True,
            "steps": [{"count": WIDTH, "cpu": 1600, "memMb": 64, "estimateMs": 3000}],
        }
        post = asyncio.create_task(fleet.client(0, "POST", JOB, job, 20_000, "A"))
        await asyncio.sleep(HEARTBEAT_AFTER_S)
        if is_disturbed:
            worker = next(worker for worker in fleet.workers if worker.runs)
            fields = {
                **worker.heartbeat_fields(),
                "service": OTHER_SERVICE,
                "seq": 1,
                "clockMs": 1,
                "born": int(time.time() * 1000),
            }
            status, _ = await fleet3.call(
                worker.control,
                "POST",
                "/burdockgate/instances/i-other/heartbeat",
                fields,
            )
            record.write(
                f"another writer sends a heartbeat of i-other, service "
                f"{OTHER_SERVICE}, to {worker.name}'s agent: {status}"
            )
        await post
        await asyncio.sleep(1.0)
        runs = sorted(fleet.runs, key=lambda run: run.started_at)
        return [
            f"TWICE: {first.task} run {first.number} on {first.worker} from "
            f"{first.started_at:.3f} to {first.ended_at:.3f} s, run {second.number} on "
            f"{second.worker} from {second.started_at:.3f} s"
            for index, first in enumerate(runs)
            for second in runs[index + 1 :]
            if first.task == second.task and second.started_at < first.ended_at
        ]
    finally:
        await fleet.close()


fleet3.main(case)
