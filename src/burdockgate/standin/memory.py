"""Measures the resident memory of child processes, one at a time."""

from __future__ import annotations

import subprocess
import sys

KB_PER_MB = 1024
CHILD_TIMEOUT_S = 60

_RESIDENT_KB_FUNCTION = """
def resident_kb():
    for line in open("/proc/self/status"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
"""
_IMPORT_ENTRY_HOST = "import burdockgate.process.entryhost\n"
_IMPORT_AGENT = "import burdockgate.process.agenthost\n"
_CONNECTED_AGENT = """
from burdockgate import messages
from burdockgate.process import agent
from burdockgate.request import jobrecord
from burdockgate.standin import costmeter
from burdockgate import clock
process = costmeter.agent_process(0, clock.ManualClock(100.0))
core = process.core
owner = costmeter.hello(messages.Role.ENTRY, 0)
list(core.handle_connect(owner))
def start(index, job, payload):
    task = messages.TaskStart(index, 1, b"1", 1000)
    list(core.receive(owner.node.name, messages.Start(
        job, 1, 0, 1, core.node.boot, (task,))))
    list(core.handle_task_end(job, 1, index, messages.TaskState.DONE, payload, 1.0))
"""
_KEEP_JOBS = """
for number in range({size}):
    start(0, number.to_bytes(16, "big"), b"")
"""
_KEEP_RESULTS = """
for number in range({size}):
    start(number % 280, (number // 280).to_bytes(16, "big"), bytes(1024))
"""


_KEEP_CLAIMS = """
import random
from burdockgate.standin import probes
voter = probes.voting_agent(64)
for frame in probes.claim_frames(voter, 64, {size}, random.Random(1)):
    voter.receive(probes.OWNER.node.name, frame)
"""


def entry_mb(_size: int, _seed: int) -> dict[str, float]:
    """Return the memory of a process that has imported the entry host."""
    return {"entry host after imports, MB": _measure(_IMPORT_ENTRY_HOST)}


def agent_mb(_size: int, _seed: int) -> dict[str, float]:
    """Return the memory of a process that has imported the agent."""
    return {"agent after imports, MB": _measure(_IMPORT_AGENT)}


def jobs_mb(size: int, _seed: int) -> dict[str, float]:
    """Return the memory of an agent that keeps records of jobs.

    :param size: number of records, with one task and an empty result each.
    """
    resident_mb = _measure(
        _IMPORT_AGENT + _CONNECTED_AGENT + _KEEP_JOBS.format(size=size)
    )
    return {"agent with kept job records, MB": resident_mb}


def results_mb(size: int, _seed: int) -> dict[str, float]:
    """Return the memory of an agent that keeps results of 1 KB.

    :param size: number of results, 280 for each job.
    """
    resident_mb = _measure(
        _IMPORT_AGENT + _CONNECTED_AGENT + _KEEP_RESULTS.format(size=size)
    )
    return {"agent with kept results of 1 KB, MB": resident_mb}


def claims_mb(size: int, _seed: int) -> dict[str, float]:
    """Return the memory of an agent that keeps claims with scopes of 64 agents.

    :param size: number of claims.
    """
    resident_mb = _measure(
        _IMPORT_AGENT + _CONNECTED_AGENT + _KEEP_CLAIMS.format(size=size)
    )
    return {"agent with kept claims of 64 agents, MB": resident_mb}


def _measure(code: str) -> float:
    script = f"{_RESIDENT_KB_FUNCTION}{code}\nprint(resident_kb())"
    completed = subprocess.run(
        [sys.executable, "-c", script],
        check=True,
        capture_output=True,
        text=True,
        timeout=CHILD_TIMEOUT_S,
    )
    return int(completed.stdout) / KB_PER_MB
