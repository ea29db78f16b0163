"""Starts the project's programs with the commands of the deploy file, on loopback."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

from common import standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/jobs/"
ROUTE = {
    "name": "r",
    "host": HOST,
    "pathPrefix": PREFIX,
    "service": "svc",
    "priority": 0,
    "timeoutMs": 60000,
    "targetLatencyMs": 60,
    "stretch": 1.6,
    "maxAttempts": 3,
}

SETTINGS = """nodeName = "{name}"
role = "{role}"
machineClass = "{kind}"
serves = {serves}
ip = "{host}"
zone = "{zone}"
region = "north"
portRange = [{link}, {last}]
seeds = {seeds}
bootstrap = true
countsAsLoss = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "invoke"
app = "{app}"
{service}
[zones]
z1 = "north"
z2 = "north"
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
fencing = true
leaseMs = 3000
retransmitMs = 1300
[platform]
address = "{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 32
appendMs = 2.0
recordBytes = 262144
requestBytes = 2097152
keep_s = 300
minTtlMs = 1000
"""


class System:
    """Entry hosts, agents, their workers and the store.

    :param folder: of the case; the record is written there.
    :param entries: number of entry hosts.
    :param agents: number of agents, each with a worker.
    :param has_link_proxy: whether a proxy stands between agents and entry hosts. The
        agents know the entry hosts at the addresses of the proxy, which are as long
        as the others, so that the proxy can translate them.
    """

    def __init__(self, folder, entries, agents, has_link_proxy=False):
        self.folder = pathlib.Path(folder)
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record = (self.folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory()
        block = random.randrange(10, 99)
        self.real, self.seen = f"127.{block}.101.", f"127.{block}.202."
        self.has_link_proxy = has_link_proxy
        self.entries, self.agents = entries, agents
        self.link, self.last, self.front, self.ready, self.control, self.app = (
            free_ports(6)
        )
        self.store_port, self.agent_store_port = free_ports(2)
        self.process_by_name = {}
        self.workers, self.link_proxies, self.front_proxies = [], [], []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command_by_role = {
            role: fields["run"].split() for role, fields in deploy["roles"].items()
        }

    def say(self, text):
        if self.record.closed:
            return
        self.record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.record.flush()

    def entry_host(self, number):
        return f"{self.real}{10 + number}"

    def agent_host(self, number):
        return f"{self.real}{100 + number}"

    def front_address(self, number):
        return f"{self.entry_host(number)}:{self.front}"

    def translate(self, data):
        """Give entry hosts the address of the proxy."""
        for number in range(self.entries):
            real = f"{self.entry_host(number)}:{self.link}".encode()
            data = data.replace(real, real.replace(b".101.", b".202."))
        return data

    async def start(self, worker_of=None):
        records, changed = {}, []
        self.store = standins.Store(records, changed)
        configuration = {"version": 3, "routes": [ROUTE], "services": [], "limits": {}}
        self.store.append("keyed.op", "config", json.dumps(configuration).encode())
        await self.store.listen("127.0.0.1", self.store_port)
        translate = self.translate if self.has_link_proxy else lambda value: value
        self.agent_store = standins.Store(records, changed, translate)
        await self.agent_store.listen("127.0.0.1", self.agent_store_port)
        for number in range(self.entries):
            if self.has_link_proxy:
                proxy = standins.Proxy(
                    f"{self.entry_host(number)}:{self.link}", self.translate
                )
                await proxy.listen(f"{self.seen}{10 + number}", self.link)
                self.link_proxies.append(proxy)
                front = standins.Proxy(self.front_address(number))
                await front.listen(f"{self.seen}{10 + number}", self.front)
                self.front_proxies.append(front)
            await self.start_entry(number)
        for number in range(self.agents):
            host = self.agent_host(number)
            worker = (worker_of or self.make_worker)(number, host)
            self.workers.append(worker)
            await worker.start()
            await self.start_agent(number)
        await self.wait_ready()

    def make_worker(self, number, host):
        return standins.Worker(
            f"i-{number:04x}",
            f"{host}:{self.app}",
            f"{host}:{self.control}",
            f"z{1 + number % 2}",
            self.say,
        )

    async def start_entry(self, number):
        host = self.entry_host(number)
        listen = "\n".join(
            f'{name} = "{host}:{port}"'
            for name, port in (
                ("front", self.front),
                ("ready", self.ready),
                ("control", self.control),
            )
        )
        await self._start(f"edge-z{1 + number % 2}-{number}", "entry", host, listen, "")

    async def start_agent(self, number):
        host = self.agent_host(number)
        await self._start(
            f"side-z{1 + number % 2}-{number}",
            "agent",
            host,
            f'control = "{host}:{self.control}"',
            self.workers[number].app,
        )

    async def _start(self, name, role, host, listen, app):
        is_agent = role == "agent"
        seeds = self.seen if is_agent and self.has_link_proxy else self.real
        path = pathlib.Path(self.temporary.name) / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                kind="side" if is_agent else "edge",
                serves='["side"]' if is_agent else '["edge", "control_plane"]',
                host=host,
                zone=name.split("-")[1],
                link=self.link,
                last=self.link + 1,
                seeds=json.dumps(
                    [f"{seeds}{10 + n}:{self.control}" for n in range(self.entries)][:3]
                ),
                app=app,
                service='service = "svc"' if is_agent else "",
                listen=listen,
                store="127.0.0.1:"
                f"{self.agent_store_port if is_agent else self.store_port}",
            )
        )
        environment = {
            key: value for key, value in os.environ.items() if key in ("PATH", "HOME")
        }
        environment["LANG"] = os.environ.get("LANG", "C.UTF-8")
        environment["BURDOCKGATE_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (pathlib.Path(self.temporary.name) / f"{name}.log").open("ab")
        self.process_by_name[name] = await asyncio.create_subprocess_exec(
            *self.command_by_role[role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.say(f"process {name} started")

    def log_lines(self, text):
        for path in sorted(pathlib.Path(self.temporary.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if text in line:
                    yield line

    async def wait_ready(self):
        end = time.monotonic() + 20
        for number in range(self.entries):
            address = f"{self.entry_host(number)}:{self.ready}"
            while True:
                try:
                    status, _ = await standins.call(
                        "GET", address, "/burdockgate/readyz"
                    )
                except OSError:
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise TimeoutError(f"{address} is not ready")
                await asyncio.sleep(0.1)
        # Every agent has linked to every entry host, and the first 3 s are over.
        await asyncio.sleep(4)
        self.say("all entry hosts are ready")

    async def submit(self, job, address, body, deadline_s):
        """Send a job once; returns the status, or 0 without a whole answer."""
        self.say(f"client sends {job} to {address}")
        headers = {
            "Host": HOST,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            "Request-Id": f"{job}-{random.getrandbits(32):08x}",
        }
        try:
            status, content = await asyncio.wait_for(
                standins.call(
                    "POST", address, PREFIX + job, json.dumps(body).encode(), headers
                ),
                deadline_s,
            )
        except TimeoutError:
            self.say(f"client got no answer to {job} within its deadline")
            return 0
        except OSError as error:
            self.say(f"client's connection for {job} broke: {type(error).__name__}")
            return 0
        self.say(f"client got {status} {content.decode()} for {job}")
        return status

    async def run_job(self, job, addresses, body, deadline_s):
        """Send a job, again 1.3 s after each answer that PROTOCOL.md names."""
        for address in addresses:
            status = await self.submit(job, address, body, deadline_s)
            if status not in (0, 502, 504):
                return status
            await asyncio.sleep(standins.RESEND_S)
        return 0

    async def close(self):
        for worker in self.workers:
            worker.stop_tasks()
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for part in (
            *self.link_proxies, *self.front_proxies, self.store, self.agent_store
        ):
            part.close()
        self.record.close()
        self.temporary.cleanup()

    def kill(self, name):
        self.process_by_name[name].send_signal(signal.SIGKILL)
        self.say(f"SIGKILL to {name}")


def free_ports(count):
    """Return free ports below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def job_id():
    return f"{random.getrandbits(64):016x}"


def best_effort(count, work_ms, cpu=1600, estimate_ms=None, **step):
    """Return the body of a best-effort job of one step."""
    fields = {"count": count, "cpu": cpu, "memMb": 64, **step}
    fields["estimateMs"] = estimate_ms or work_ms
    return {"spec": f"{work_ms} {cpu}", "bestEffort": True, "steps": [fields]}


def run_case(main):
    """Run a case: exit with 1 if the rule was broken, 0 if it held, else 2."""

    async def run():
        # A time limit ends the case by SIGTERM; its processes are ended then, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
