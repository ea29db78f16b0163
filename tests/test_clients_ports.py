"""Crowds at the other addresses of a process on the platform, and at difficult times.

See ``test_clients.py``.
"""

import asyncio
import signal

import pytest

import crowds
import platform_deployment
from burdockgate import assignments, wire

ENTRY = "127.0.1.11"
AGENT = "127.0.1.21"


@pytest.fixture
async def deployment(tmp_path):
    instance = platform_deployment.Deployment(tmp_path, 1, "127.0.1", crowds.SETTINGS)
    try:
        await instance.start()
        yield instance
    finally:
        await instance.close()


def _name(case):
    return case.__name__


@pytest.mark.parametrize("case", crowds.PORT_CASES, ids=_name)
async def test_clients_of_the_readiness_check(deployment, case):
    """The balancer takes an entry host away that does not answer its check."""
    crowd = crowds.Crowd((ENTRY, deployment.ready_port), crowds.READY)
    is_answered = crowds.ordinary_page(
        deployment, ENTRY, deployment.ready_port, "/burdockgate/readyz"
    )
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], case)


@pytest.mark.parametrize("case", crowds.PORT_CASES, ids=_name)
async def test_clients_of_the_heartbeat_endpoint_of_an_entry_host(deployment, case):
    """It answers before the body has arrived, unlike that of an agent."""
    crowd = crowds.Crowd((ENTRY, deployment.heartbeat_port), crowds.BEAT)
    is_answered = crowds.ordinary_page(
        deployment, ENTRY, deployment.heartbeat_port, "/", 503
    )
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], case)


@pytest.mark.parametrize("case", crowds.PORT_CASES, ids=_name)
async def test_clients_of_the_metrics_page_of_an_agent(deployment, case):
    """An agent that runs out of memory loses the runs of its worker."""
    address = (AGENT, crowds.METRICS_PORT)
    crowd = crowds.Crowd(address, crowds.METRICS)
    is_answered = crowds.ordinary_page(deployment, *address, "/metrics")
    target = crowds.deployed(deployment, "agent-1", is_answered)
    await crowds.check(target, "agent-1", [crowd], case)


def _hello(name):
    return wire.encode(
        assignments.AgentHello(assignments.PROTOCOL, name, 1, "z1", 0, ())
    )


async def frames_behind_a_hello(crowd):
    """Send nearly all of the largest frame as an agent that is known by name."""
    hellos = [_hello(f"x-{n}") for n in range(100)]
    part = b"a" * (crowds.MB // 4)
    return [crowd.send([hello + crowds.FRAME, *[part] * 15]) for hello in hellos]


@pytest.mark.parametrize(
    "case",
    [
        crowds.head_without_end,
        crowds.blank_lines_without_end,
        crowds.silent_connections,
        crowds.frames_without_end,
        frames_behind_a_hello,
    ],
    ids=_name,
)
async def test_clients_of_the_port_for_agents(deployment, case):
    """Each connection kept the part of a frame that had come, and none was counted."""
    crowd = crowds.Crowd((ENTRY, deployment.link_port), crowds.POST)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], case)


def _crowds_of_the_entry_host(deployment):
    return [
        crowds.Crowd((ENTRY, deployment.front_port), crowds.POST),
        crowds.Crowd((ENTRY, deployment.ready_port), crowds.READY),
        crowds.Crowd((ENTRY, deployment.heartbeat_port), crowds.BEAT),
        crowds.Crowd((ENTRY, crowds.METRICS_PORT), crowds.METRICS),
    ]


async def test_several_kinds_of_crowd_at_once(deployment):
    """The budgets of the single cases may not fit the machine together."""
    crowd = crowds.Crowd((ENTRY, deployment.front_port), crowds.POST)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], crowds.mixed)


async def test_crowds_at_all_addresses_at_once(deployment):
    """All addresses of a process share its memory and its descriptors."""
    targets = _crowds_of_the_entry_host(deployment)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", targets, crowds.unread_of_all_kinds)


async def _keep_up(case, crowd):
    """Play a case again and again, also while nobody listens."""
    while True:
        await crowd.send_all(await case(crowd))
        await asyncio.sleep(0.1)


async def test_crowd_while_an_entry_host_starts(deployment):
    """A process that starts has no routes yet, and opens its addresses in turn."""
    process = deployment.process_by_name["entry-1"]
    process.kill()
    await process.wait()
    address = (ENTRY, deployment.front_port)
    crowd, early_crowd = (crowds.Crowd(address, crowds.POST) for _ in range(2))
    early = asyncio.create_task(_keep_up(crowds.answers_unread, early_crowd))
    await deployment.start_process("entry-1", "entry", ENTRY)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)
    try:
        await crowds.check(target, "entry-1", [crowd], crowds.mixed)
    finally:
        early.cancel()
        early_crowd.close()


async def test_crowd_while_an_entry_host_stops(deployment):
    """A process that waits for its clients would be killed after the grace time."""
    process = deployment.process_by_name["entry-1"]
    crowd = crowds.Crowd((ENTRY, deployment.front_port), crowds.POST)
    watch = crowds.Watch(process.pid, [deployment.front_port])
    clients = asyncio.create_task(crowd.send_all(await crowds.mixed(crowd)))
    try:
        await asyncio.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(crowds.ANSWER_S):
            await process.wait()
    finally:
        clients.cancel()
        watch.close()
        crowd.close()
    figures = f"{watch.memory_mb:.0f} MB, {watch.open} descriptors"
    print(f"mixed at {deployment.front_port} of entry-1 that stops: {figures}")
    assert process.returncode == 0
    assert watch.memory_mb <= crowds.MEMORY_MB, figures
    assert watch.open <= crowds.MAX_OPEN, figures
    await deployment.start_process("entry-1", "entry", ENTRY)
    assert await crowds.wait_for(crowds.ordinary_job(deployment))


async def test_crowd_while_an_entry_host_reloads(deployment):
    """A reload in the midst of a crowd must end neither the process nor its limits."""
    crowd = crowds.Crowd((ENTRY, deployment.front_port), crowds.POST)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)

    async def reload():
        while True:
            deployment.process_by_name["entry-1"].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)

    reloads = asyncio.create_task(reload())
    try:
        await crowds.check(target, "entry-1", [crowd], crowds.mixed)
    finally:
        reloads.cancel()
