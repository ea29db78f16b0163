"""Entry hosts are lost for good and replaced; later, agents are killed and restart."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import deployment as deployments  # noqa: E402

ENTRIES = 4
REPLACED = 8
WORKERS = 8
KILLS = 20
# Until the platform starts a killed process again.
RESTART_S = 0.3
STEPS = [{"count": 3, "cpu": 1600, "memMb": 64, "estimateMs": 3000}]
SPEC = {"s": 3.0, "cpu": 1600}


def deployment():
    return deployments.Deployment(
        FOLDER, entries=ENTRIES, workers=WORKERS, spare_entries=REPLACED
    )


async def replace(system, number):
    """Remove an entry host for good; a new one comes 1 s later at another address."""
    system.record.write(f"{system.entries[0].name} is removed for good")
    await system.entries.pop(0).kill()
    await asyncio.sleep(1)
    entry = system.new_entry(number)
    system.entries.append(entry)
    await entry.start()


async def run(system):
    await system.start()
    for number in range(WORKERS):
        worker = deployments.Worker(system, number, 482_113)
        system.workers.append(worker)
        await worker.start(first_beat_s=random.uniform(0, deployments.HEARTBEAT_S))
    await system.wait_ready()
    if deployments.has_trouble():
        for number in range(ENTRIES, ENTRIES + REPLACED):
            await replace(system, number)
            await asyncio.sleep(1)
    await system.wait_ready()
    await asyncio.sleep(2)
    statuses = []

    async def send():
        entry = random.choice(system.entries)
        statuses.append(
            await system.submit(
                entry, deployments.job_id(), STEPS, SPEC, deadline_s=15.0
            )
        )

    async def send_all():
        tasks = []
        for _ in range(int((KILLS * 1.5 + 2) / 0.25)):
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)

    sending = asyncio.create_task(send_all())
    await asyncio.sleep(2)
    if deployments.has_trouble():
        for number in range(KILLS):
            agent = system.agents[number % WORKERS]
            await agent.kill()
            await asyncio.sleep(RESTART_S)
            await agent.start()
            await asyncio.sleep(1.5 - RESTART_S)
    await sending
    pairs = system.overlaps()
    for first, second in pairs:
        system.record.write(
            f"TWICE: {first[0]} #{first[1]} on worker {first[2]} from {first[3]:.3f} to "
            f"{first[4]:.3f} ({first[5]}) and #{second[1]} on worker {second[2]} from "
            f"{second[3]:.3f} to {second[4]:.3f} ({second[5]})"
        )
    print(f"answers: 200 {statuses.count(200)} of {len(statuses)}")
    print(f"tasks that ran on two workers at the same time: {len(pairs)}")
    print("TWICE is broken" if pairs else "TWICE held")
    return bool(pairs)


if __name__ == "__main__":
    deployments.main(sys.modules[__name__])
