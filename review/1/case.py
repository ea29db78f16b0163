"""Connections of one entry host are reset; its callers send their jobs again."""

import asyncio
import pathlib
import random

from common import standins, system

ROUNDS = 3
JOBS = 8
# The site has share = 0.35 of the machines and x = 0.55 of their connections.
RESET_SHARE = 0.55
WORK_MS = 4000


async def main():
    deployment = system.System(
        pathlib.Path(__file__).parent, entries=2, agents=4, has_link_proxy=True
    )
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
    addresses = [f"{deployment.seen}{10 + n}:{deployment.front}" for n in (0, 1, 0)]
    body = system.best_effort(4, WORK_MS)
    clients = []
    for _ in range(JOBS):
        clients.append(
            asyncio.create_task(
                deployment.run_job(system.job_id(), addresses, body, 15.0)
            )
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.6)
    if deployment.is_troubled:
        proxies = (deployment.link_proxies[0], deployment.front_proxies[0])
        connections = [(proxy, writer) for proxy in proxies for writer in proxy.pairs]
        chosen = random.sample(connections, int(RESET_SHARE * len(connections)))
        deployment.say(
            f"{len(chosen)} of {len(connections)} connections of the first entry host "
            f"are reset, {sum(proxy is proxies[0] for proxy, _ in chosen)} of them to "
            "agents"
        )
        for proxy, writer in chosen:
            proxy.reset(writer)
    await asyncio.gather(*clients)
    await asyncio.sleep(1)


system.run_case(main)
