"""An entry host's process is killed while workers leave orders unanswered."""

import asyncio
import pathlib

from common import standins, system

ROUNDS = 12
AGENTS = 8
JOBS = 16
# kinds: "a share x (.5) of the orders to servers gets no answer and is carried out 2 to
# 12 s later".
LATE_SHARE = 0.5
WORK_MS = 2600
# From the kill until the process is started again; the site has 3.5 s.
DOWN_S = 2.5


async def main():
    deployment = system.System(pathlib.Path(__file__).parent, entries=2, agents=AGENTS)
    try:
        await deployment.start()
        for _ in range(ROUNDS):
            await play_round(deployment)
        pairs = list(standins.overlaps(deployment.workers))
        for first, second in pairs:
            deployment.say(
                f"TWICE: {first.task} run {first.number} on {first.worker} and run "
                f"{second.number} on {second.worker} were at work together for "
                f"{min(first.ended_at, second.ended_at) - second.started_at:.2f} s"
            )
        deployment.say(f"{len(pairs)} tasks had two runs at the same time")
        return bool(pairs)
    finally:
        await deployment.close()


async def play_round(deployment):
    addresses = [deployment.front_address(number) for number in (0, 1)]
    body = system.best_effort(4, WORK_MS)
    clients = []
    for _ in range(JOBS):
        clients.append(
            asyncio.create_task(
                deployment.run_job(system.job_id(), addresses, body, 6)
            )
        )
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    if deployment.is_troubled:
        for worker in deployment.workers:
            worker.late_share = LATE_SHARE
        deployment.kill("edge-z1-0")
        await asyncio.sleep(DOWN_S)
        for worker in deployment.workers:
            worker.late_share = 0.0
        await deployment.start_entry(0)
    await asyncio.gather(*clients)
    await asyncio.sleep(0.3)


system.run_case(main)
