"""A heartbeat of another writer reaches an agent while its worker runs tasks."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # noqa: E402

WORKERS = 4
STEPS = [{"count": 4, "cpu": 1600, "memMb": 64, "estimateMs": 1500}]
SPEC = {"s": 1.5, "cpu": 1600}
# A service that no configuration names.
UNNAMED_SERVICE = "svc-unknown"


def deployment():
    return deployments.Deployment(FOLDER, entries=2, workers=WORKERS)


async def send_odd_heartbeat(system):
    """Send one heartbeat of a service that isn't named to the first agent."""
    worker = system.workers[0]
    heartbeat = {
        **worker.heartbeat(),
        "service": UNNAMED_SERVICE,
        "born": int(time.time() * 1000),
        "seq": 1,
        "clockMs": 1000,
    }
    worker.sequence -= 1
    name = f"i-{random.getrandbits(40):010x}"
    status, _ = await deployments.call(
        worker.control,
        "POST",
        f"/burdockgate/instances/{name}/heartbeat",
        body=json.dumps(heartbeat).encode(),
    )
    system.record.write(
        f"another writer's heartbeat of {name}, service {UNNAMED_SERVICE}, at agent 0: "
        f"answered {status}"
    )


async def run(system):
    await system.start()
    for number in range(WORKERS):
        worker = deployments.Worker(system, number, 482_113)
        system.workers.append(worker)
        await worker.start(first_beat_s=random.uniform(0, 1.5))
    await system.wait_ready()
    await asyncio.sleep(2)
    results = []

    async def send(number):
        entry = system.entries[number % 2]
        results.append(
            await system.submit(
                entry, deployments.job_id(), STEPS, SPEC, deadline_s=8.0
            )
        )

    tasks = []
    for number in range(24):
        tasks.append(asyncio.create_task(send(number)))
        if number == 12 and deployments.has_trouble():
            await send_odd_heartbeat(system)
        await asyncio.sleep(0.3)
    await asyncio.gather(*tasks)
    pairs = system.overlaps()
    for first, second in pairs:
        system.record.write(
            f"TWICE: {first[0]} #{first[1]} on worker {first[2]} from {first[3]:.3f} to "
            f"{first[4]:.3f} ({first[5]}) and #{second[1]} on worker {second[2]} from "
            f"{second[3]:.3f} to {second[4]:.3f} ({second[5]})"
        )
    print(f"answers: {sorted(map(str, results))}")
    print(f"tasks that ran on two workers at the same time: {len(pairs)}")
    print("TWICE is broken" if pairs else "TWICE held")
    return bool(pairs)


if __name__ == "__main__":
    deployments.main(sys.modules[__name__])
