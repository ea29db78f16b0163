"""Crowds at the processes of the earlier protocol, and at ``burdockgate local``.

See ``test_clients.py``. These processes have no setting for their memory; the bound is
the machine that ``memoryMb`` assumes by default. The limit of descriptors is inherited.
"""

import contextlib
import itertools
import resource

import httpx
import pytest

import crowds
import processes
from burdockgate import codes

# The default of ``memoryMb``.
MEMORY_MB = 256
JOBS = b"POST /v1/jobs?n=%d HTTP/1.1\r\nHost: h.example\r\n"


@contextlib.contextmanager
def _few_descriptors():
    """Limit the descriptors of the processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (crowds.MAX_FDS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    running = processes.System(tmp_path_factory.mktemp("system"))
    try:
        with _few_descriptors():
            running.start()
        yield running
    finally:
        running.kill()


@pytest.fixture
def system(shared_system):
    """Return the system; what a case left in its processes must not meet the next."""
    yield shared_system
    for process in (shared_system.entries[0], shared_system.agents[0]):
        process.kill()
    with _few_descriptors():
        shared_system.start()


def _name(case):
    return case.__name__


def _address(url):
    host, _, port = url.removeprefix("http://").rpartition(":")
    return host, int(port)


def _target(system, process):
    numbers = itertools.count()

    async def is_answered():
        try:
            body = await system.post(0, f"k-{process.pid}-{next(numbers)}", [1])
        except httpx.HTTPError:
            return False
        return body["code"] == codes.Code.COMPLETE.value

    return crowds.Target(
        process.pid, lambda: process.is_running, is_answered, MEMORY_MB
    )


@pytest.mark.parametrize("case", crowds.PORT_CASES, ids=_name)
async def test_clients_of_an_entry_host(system, case):
    """The HTTP interface of the earlier protocol is open to callers as well."""
    crowd = crowds.Crowd(_address(system.urls[0]), JOBS)
    target = _target(system, system.entries[0])
    await crowds.check(target, "entry-1", [crowd], case)


NODE_CASES = [
    crowds.head_without_end,
    crowds.silent_connections,
    crowds.frames_without_end,
]


@pytest.mark.parametrize("case", NODE_CASES, ids=_name)
async def test_clients_of_the_node_port_of_an_entry_host(system, case):
    """Each connection kept the part of a frame that had come, and none was counted."""
    crowd = crowds.Crowd(_address(system.seeds[0]), JOBS)
    target = _target(system, system.entries[0])
    await crowds.check(target, "entry-1", [crowd], case)


@pytest.mark.parametrize("case", NODE_CASES, ids=_name)
async def test_clients_of_the_node_port_of_an_agent(system, case):
    """As at an entry host; the agent takes the runs of its worker with it."""
    crowd = crowds.Crowd(("127.0.0.1", system.agent_ports[0]), JOBS)
    target = _target(system, system.agents[0])
    await crowds.check(target, "agent-1", [crowd], case)


@pytest.fixture
def local(tmp_path):
    """Run ``burdockgate local`` and return its process with its HTTP port."""
    port = processes.free_port()
    arguments = ("local", "--keep", "--json", "--http-port", str(port))
    process = processes.Process("local", tmp_path, *arguments)
    with _few_descriptors():
        process.start()
    try:
        processes.wait_for(lambda: _is_ready(port), "burdockgate local to be ready")
        yield process, port
    finally:
        process.kill()


def _is_ready(port):
    try:
        response = processes.HTTP.get(f"http://127.0.0.1:{port}/readyz")
    except httpx.HTTPError:
        return False
    return response.status_code == 200


@pytest.mark.parametrize("case", [crowds.mixed, crowds.unread_of_all_kinds], ids=_name)
async def test_clients_of_a_local_system(local, case):
    """A whole system in one process has the same front, with the same limits."""
    process, port = local
    crowd = crowds.Crowd(("127.0.0.1", port), JOBS)
    numbers = itertools.count()

    async def is_answered():
        async with httpx.AsyncClient(trust_env=False) as client:
            try:
                response = await client.post(
                    f"http://127.0.0.1:{port}/v1/jobs",
                    json=processes.make_body([1]),
                    headers={"Idempotency-Key": f"k-{next(numbers)}"},
                )
            except httpx.HTTPError:
                return False
        return response.status_code == 200

    target = crowds.Target(
        process.pid, lambda: process.is_running, is_answered, MEMORY_MB
    )
    await crowds.check(target, "local", [crowd], case)
