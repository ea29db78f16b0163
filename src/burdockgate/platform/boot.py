"""The settings file of a process on the platform."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING

import msgspec

from burdockgate import errors

# Imports take part of each restart, so a role imports only the modules that it uses.
if TYPE_CHECKING:
    from burdockgate.process import agentdaemon, entrydaemon, executoractions, intake

PATH_VARIABLE = "BURDOCKGATE_NODE_FILE"


class _Bounds(msgspec.Struct):
    # Seconds between SIGTERM and SIGKILL.
    grace_s: float = msgspec.field(default=6.0, name="graceS")
    # Longest lease that the worker grants.
    max_worker_lease_ms: float = msgspec.field(default=1000.0, name="maxHoldMs")
    # Time after which a caller without an answer submits its job again.
    caller_retry_ms: float = msgspec.field(default=1300.0, name="retransmitMs")
    # How much longer a task runs outside the rack of its data.
    remote_data_factor: float = msgspec.field(default=1.5, name="remoteFactor")


class _Listen(msgspec.Struct):
    # Address of the HTTP interface for callers.
    front: str = ""
    # Address of the readiness check.
    ready: str = ""
    # Address for the heartbeats of the worker on the same machine.
    heartbeats: str = msgspec.field(default="", name="control")


class _Limits(msgspec.Struct, rename="camel", omit_defaults=True):
    # Of the machine; see intake.Limits for units and defaults.
    memory_mb: float | None = None
    max_fds: float | None = None
    # Of the clients.
    head_bytes: float | None = None
    target_bytes: float | None = None
    header_fields: float | None = None
    trailer_bytes: float | None = None
    blank_bytes: float | None = None
    pipelined_requests: float | None = None
    head_s: float | None = None
    body_bytes_per_s: float | None = None
    body_s: float | None = None
    response_s: float | None = None
    idle_s: float | None = None


class _Store(msgspec.Struct):
    address: str


class Boot(msgspec.Struct):
    """The fields of the settings file that burdockgate uses."""

    name: str = msgspec.field(name="nodeName")
    host: str = msgspec.field(name="ip")
    zone: str
    listen: _Listen
    store: _Store = msgspec.field(name="platform")
    ports: tuple[int, int] = msgspec.field(name="portRange")
    # Addresses of the heartbeat endpoints of machines that may run entry hosts.
    seeds: list[str] = []
    # Address of the worker on the same machine; empty on machines without one.
    worker: str = msgspec.field(default="", name="app")
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)

    @property
    def link_port(self) -> int:
        """Port on which entry hosts accept agents; the same on all machines."""
        return self.ports[0]

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which entry hosts may accept agents."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.link_port}" for host in hosts if host)

    def client_limits(self) -> intake.Limits:
        """Return the limits of clients; a value that is not above 0 is the default."""
        from burdockgate.process import intake

        given = {
            name: value
            for name, value in msgspec.structs.asdict(self.limits).items()
            if value is not None and value > 0
        }
        return intake.Limits(**given)

    def entry_settings(self) -> entrydaemon.EntryDaemonSettings:
        """Return the settings of an entry host."""
        from burdockgate.process import assigner, entrydaemon, scheduler, selection

        return entrydaemon.EntryDaemonSettings(
            name=self.name,
            zone=self.zone,
            host=self.host,
            port=self.link_port,
            grace_s=self.bounds.grace_s,
            configuration_topic="keyed.op",
            configuration_key="config",
            evacuation_prefix="evacuate/",
            scheduler=assigner.SchedulerSettings(
                agent_timeout_s=scheduler.agent_timeout_s(self._executor_settings())
            ),
            selection=selection.SelectionSettings(
                remote_data_factor=self.bounds.remote_data_factor
            ),
            limits=self.client_limits(),
        )

    def agent_settings(self) -> agentdaemon.AgentDaemonSettings:
        """Return the settings of an agent."""
        from burdockgate.process import agentdaemon

        return agentdaemon.AgentDaemonSettings(
            name=self.name,
            zone=self.zone,
            entry_addresses=self.entry_addresses(),
            grace_s=self.bounds.grace_s,
            executor=self._executor_settings(),
            worker_address=self.worker,
        )

    def _executor_settings(self) -> executoractions.ExecutorSettings:
        from burdockgate.process import executoractions

        return executoractions.ExecutorSettings(
            worker_lease_s=self.bounds.max_worker_lease_ms / 1000,
            caller_retry_s=self.bounds.caller_retry_ms / 1000,
        )


def load() -> Boot:
    """Read the settings file of this process.

    :raises errors.SettingsError: when the file can't be read or is not valid.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError([f"{PATH_VARIABLE} is not set"])
    try:
        return decode(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error


def decode(content: bytes) -> Boot:
    """Decode a settings file; unknown fields are ignored.

    :param content: content of the file, TOML.
    :raises errors.SettingsError: when the file is not TOML, or a field is missing or of
        another type.
    """
    try:
        return msgspec.toml.decode(content, type=Boot)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"settings file: {error}"]) from error
