"""Clients outside the limits of a request: no process ends, grows or stops serving.

Each case opens a small crowd at one address of a process whose settings allow it little
memory and few descriptors, and leaves the crowd's connections open. The other addresses
are in ``test_clients_ports.py`` and ``test_clients_nodes.py``.
"""

import pytest

import crowds
import platform_deployment


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


@pytest.mark.parametrize(
    "case", [*crowds.CASES, crowds.whole_bodies_at_once, *crowds.UNREAD], ids=_name
)
async def test_clients_of_the_entry_host(deployment, case):
    """Clients outside the limits ended an entry host: it ran out of memory."""
    crowd = crowds.Crowd(("127.0.1.11", deployment.front_port), crowds.POST)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], case)


@pytest.mark.parametrize("case", [*crowds.CASES, crowds.unread_of_all_kinds], ids=_name)
async def test_clients_of_the_heartbeat_endpoint(deployment, case):
    """An agent that runs out of memory loses the runs of its worker."""
    crowd = crowds.Crowd(("127.0.1.21", deployment.heartbeat_port), crowds.BEAT)
    is_answered = crowds.ordinary_job(deployment)
    target = crowds.deployed(deployment, "agent-1", is_answered)
    await crowds.check(target, "agent-1", [crowd], case)


@pytest.mark.parametrize("case", [*crowds.CASES, crowds.unread_of_all_kinds], ids=_name)
async def test_clients_of_the_metrics_page(deployment, case):
    """The metrics page is open to anyone in the network of the machines."""
    address = ("127.0.1.11", crowds.METRICS_PORT)
    crowd = crowds.Crowd(address, crowds.METRICS)
    is_answered = crowds.ordinary_page(deployment, *address, "/metrics")
    target = crowds.deployed(deployment, "entry-1", is_answered)
    await crowds.check(target, "entry-1", [crowd], case)
