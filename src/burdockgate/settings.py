"""Settings of a process, read from one INI file and checked when the process starts.

Each section is a frozen attrs class whose fields declare key, default, allowed range
and unit (see :mod:`burdockgate.fields`). All errors of a file are reported together,
one line each.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, ClassVar, TypeVar

import attrs

from burdockgate import errors, fields, ini

ENTRY = "entry"
AGENT = "agent"
_GIB = 1 << 30
_SECTION_CLASS = "group"

# Section, key, factor and second key: the value of the second key must be at least the
# factor times that of the first one.
_MINIMUM_FACTORS = (
    ("timing", "heartbeat_s", 3, "lease_s"),
    ("limits", "default_deadline_s", 1, "max_deadline_s"),
    ("limits", "body_bytes", 1, "backlog_bytes"),
    # Each running task uses one connection.
    ("backend_server", "slots", 1, "connections"),
    ("health", "ejection_s", 1, "max_ejection_s"),
)


@attrs.frozen
class NodeSettings:
    """Name and place of a node.

    :param listen: ``host:port`` at which the node accepts streams; port 0 lets the
        system choose one.
    """

    SECTION: ClassVar[str] = "node"

    name: str = attrs.field(
        metadata=fields.key(fields.Name(), "name of the node, unique in the system")
    )
    region: str = attrs.field(metadata=fields.key(fields.Name(), "region of the node"))
    data_centre: str = attrs.field(
        metadata=fields.key(fields.Name(), "data centre of the node")
    )
    rack: str = attrs.field(metadata=fields.key(fields.Name(), "rack of the node"))
    # Peers connect to this address, so it must name one host.
    listen: str = attrs.field(
        metadata=fields.key(
            fields.Address(lowest_port=0), "address for streams from other nodes"
        )
    )


@attrs.frozen
class TimingSettings:
    """Intervals and timeouts in seconds, see section 3.3 of ``docs/design.md``."""

    SECTION: ClassVar[str] = "timing"

    heartbeat_s: float = attrs.field(
        default=0.8,
        metadata=fields.key(fields.Number(0.01, 0.95, "s"), "interval of heartbeats"),
    )
    # A dead worker must get no new task after 3 s; timers may be 0.1 s late.
    lease_s: float = attrs.field(
        default=2.5,
        metadata=fields.key(
            fields.Number(0.03, 2.9, "s"),
            "silence after which a node gets no new work, at least three heartbeats",
        ),
    )
    lost_worker_s: float = attrs.field(
        default=5.0,
        metadata=fields.key(
            fields.Number(0.05, 600, "s"),
            "time for a lost worker to return before its tasks count as 'may have run'",
        ),
    )
    retention_s: float = attrs.field(
        default=300.0,
        metadata=fields.key(
            fields.Number(1, 86400, "s"), "time for which an ended job is kept"
        ),
    )
    # Regions may be partitioned for an hour, and each must keep running jobs.
    view_limit_s: float = attrs.field(
        default=3900.0,
        metadata=fields.key(
            fields.Number(1, 86400, "s"),
            "time without the log after which no job is claimed; the same on all nodes",
        ),
    )
    stop_timeout_s: float = attrs.field(
        default=60.0,
        metadata=fields.key(
            fields.Number(0.1, 3600, "s"), "time for work in progress at a planned stop"
        ),
    )
    claim_round_s: float = attrs.field(
        default=0.5,
        metadata=fields.key(
            fields.Number(0.01, 60, "s"), "time for the answers to one claim"
        ),
    )


@attrs.frozen
class StatsdSettings:
    """The statsd server to which metrics are sent.

    :param host: IP address; empty turns statsd off.
    """

    SECTION: ClassVar[str] = "statsd"

    host: str = attrs.field(
        default="",
        metadata=fields.key(fields.Host(), "host of statsd; empty turns it off"),
    )
    port: int = attrs.field(
        default=8125,
        metadata=fields.key(fields.Integer(1, 65535), "UDP port of statsd"),
    )
    prefix: str = attrs.field(
        default="burdockgate",
        metadata=fields.key(fields.Name(), "first part of all metric names"),
    )


@attrs.frozen
class PlatformSettings:
    """How a node finds the other nodes: by the log, by seeds or by both.

    :param log_url: URL of the log service; empty for none.
    :param seeds: addresses ``host:port`` of entry hosts.
    :param log_retention_s: time for which the log keeps a record; entry hosts append
        new snapshots after half of it.
    """

    SECTION: ClassVar[str] = "platform"

    log_url: str = attrs.field(
        default="",
        metadata=fields.key(fields.Url(optional=True), "URL of the log service"),
    )
    seeds: tuple[str, ...] = attrs.field(
        default=(),
        metadata=fields.key(fields.Addresses(), "stream addresses of entry hosts"),
    )
    log_retention_s: float = attrs.field(
        default=3600.0,
        metadata=fields.key(
            fields.Number(60, 31536000, "s"), "time for which the log keeps a record"
        ),
    )


@attrs.frozen
class LimitSettings:
    """Limits on the jobs that an entry host accepts and on the answers it keeps."""

    SECTION: ClassVar[str] = "limits"

    backlog_bytes: int = attrs.field(
        default=67108864,
        metadata=fields.key(
            fields.Integer(1024, 64 * _GIB, "bytes"), "size of all waiting jobs"
        ),
    )
    # A body may be one payload, which must fit into a frame of 4 MiB.
    body_bytes: int = attrs.field(
        default=2097152,
        metadata=fields.key(
            fields.Integer(1024, 3145728, "bytes"), "size of one job's body"
        ),
    )
    max_tasks: int = attrs.field(
        default=1000,
        metadata=fields.key(fields.Integer(1, 10000, "tasks"), "tasks of one job"),
    )
    default_deadline_s: float = attrs.field(
        default=60.0,
        metadata=fields.key(
            fields.Number(0.001, 86400, "s"), "deadline of a job that names none"
        ),
    )
    max_deadline_s: float = attrs.field(
        default=300.0,
        metadata=fields.key(
            # Claim group members keep unsettled claims no longer than 300 s.
            fields.Number(0.001, 300, "s"),
            "longest deadline that a job may name",
        ),
    )
    answers_bytes: int = attrs.field(
        default=67108864,
        metadata=fields.key(
            fields.Integer(1024, 64 * _GIB, "bytes"), "size of all answers kept"
        ),
    )


@attrs.frozen
class HealthSettings:
    """When an entry host ejects a worker, and for how long."""

    SECTION: ClassVar[str] = "health"

    failures: int = attrs.field(
        default=4,
        metadata=fields.key(
            fields.Integer(1, 1000, "jobs"),
            "failed jobs that eject a worker when no task fails elsewhere",
        ),
    )
    slow_factor: float = attrs.field(
        default=5.0,
        metadata=fields.key(
            fields.Number(1.5, 1000),
            "ratio to the run time of other workers from which a worker is slow",
        ),
    )
    # Some tasks run for several seconds.
    overdue_s: float = attrs.field(
        default=10.0,
        metadata=fields.key(
            fields.Number(0.1, 300, "s"),
            "time without an answer after which a task is overdue",
        ),
    )
    # Allows the ejection of a rack with 3 of a deployment's 11 workers.
    max_ejected_share: float = attrs.field(
        default=0.3,
        metadata=fields.key(
            fields.Number(0, 0.9),
            "largest share of a service's workers ejected at once",
        ),
    )
    ejection_s: float = attrs.field(
        default=10.0,
        metadata=fields.key(
            fields.Number(0.1, 3600, "s"), "length of a worker's first ejection"
        ),
    )
    max_ejection_s: float = attrs.field(
        default=300.0,
        metadata=fields.key(
            fields.Number(0.1, 86400, "s"),
            "longest ejection; each lasts twice as long as the last",
        ),
    )
    probation_tasks: int = attrs.field(
        default=5,
        metadata=fields.key(
            fields.Integer(1, 1000, "tasks"), "tasks that end the probation"
        ),
    )


@attrs.frozen
class BackendSettings:
    """The backend server that runs the tasks of an agent's worker.

    :param slots: tasks that run at once.
    :param connections: maximum number of HTTP connections to the backend server.
    :param cores: processors that one task may ask for.
    :param memory_mb: memory that one task may ask for, in MB.
    """

    SECTION: ClassVar[str] = "backend_server"

    url: str = attrs.field(
        metadata=fields.key(fields.Url(), "URL to which tasks are posted")
    )
    service: str = attrs.field(
        metadata=fields.key(fields.Name(), "service that the backend server offers")
    )
    slots: int = attrs.field(
        metadata=fields.key(fields.Integer(1, 65535, "tasks"), "tasks that run at once")
    )
    connections: int = attrs.field(
        default=64,
        metadata=fields.key(
            fields.Integer(1, 65535, "connections"), "HTTP connections, at least slots"
        ),
    )
    cores: float = attrs.field(
        default=1.0,
        metadata=fields.key(
            fields.Number(0.01, 4096, "cores"), "processors that one task may ask for"
        ),
    )
    memory_mb: int = attrs.field(
        default=1024,
        metadata=fields.key(
            fields.Integer(1, 16777216, "MB"), "memory that one task may ask for"
        ),
    )
    accelerators: int = attrs.field(
        default=0,
        metadata=fields.key(
            fields.Integer(0, 1024, "accelerators"),
            "accelerators that one task may ask for",
        ),
    )
    # The lowest value is the size limit of one result, 1 MiB.
    results_bytes: int = attrs.field(
        default=16777216,
        metadata=fields.key(
            fields.Integer(1048576, 64 * _GIB, "bytes"), "size of all results kept"
        ),
    )


def _section(section_class: type) -> dict[str, type]:
    return {_SECTION_CLASS: section_class}


@attrs.frozen
class EntrySettings:
    """All settings of an entry host.

    :param http: ``host:port`` at which callers are served; port 0 lets the system
        choose one.
    """

    SECTION: ClassVar[str] = "entry"

    node: NodeSettings = attrs.field(metadata=_section(NodeSettings))
    http: str = attrs.field(
        metadata=fields.key(
            fields.Address(lowest_port=0, any_host=True), "address for callers"
        )
    )
    platform: PlatformSettings = attrs.field(metadata=_section(PlatformSettings))
    limits: LimitSettings = attrs.field(metadata=_section(LimitSettings))
    timing: TimingSettings = attrs.field(metadata=_section(TimingSettings))
    statsd: StatsdSettings = attrs.field(metadata=_section(StatsdSettings))
    health: HealthSettings = attrs.field(
        factory=HealthSettings, metadata=_section(HealthSettings)
    )


@attrs.frozen
class AgentSettings:
    """All settings of an agent."""

    SECTION: ClassVar[str] = ""

    node: NodeSettings = attrs.field(metadata=_section(NodeSettings))
    backend_server: BackendSettings = attrs.field(metadata=_section(BackendSettings))
    platform: PlatformSettings = attrs.field(metadata=_section(PlatformSettings))
    timing: TimingSettings = attrs.field(metadata=_section(TimingSettings))
    statsd: StatsdSettings = attrs.field(metadata=_section(StatsdSettings))


_T = TypeVar("_T", EntrySettings, AgentSettings)


def load_entry(path: str) -> EntrySettings:
    """Return the settings of an entry host.

    :param path: the INI file.
    :raises errors.SettingsError: with all problems found.
    """
    return _load(path, EntrySettings)


def load_agent(path: str) -> AgentSettings:
    """Return the settings of an agent.

    :param path: the INI file.
    :raises errors.SettingsError: with all problems found.
    """
    return _load(path, AgentSettings)


def check(path: str, role: str) -> list[str]:
    """Return the problems of a file, one line each; an empty list for a valid file.

    :param path: the INI file.
    :param role: ``entry`` or ``agent``.
    """
    load_by_role = {ENTRY: load_entry, AGENT: load_agent}
    if role not in load_by_role:
        allowed = " or ".join(load_by_role)
        return [f"{path}: role {ini.quote_value(role)}: unknown; allowed is {allowed}"]
    try:
        load_by_role[role](path)
    except errors.SettingsError as error:
        return error.problems
    return []


def detect_role(path: str) -> str:
    """Return ``entry`` or ``agent``, by the section that only the role's file has.

    :param path: the INI file.
    :raises errors.SettingsError: when the file has both sections or neither, or
        cannot be read.
    """
    found = ini.read(path).text_by_key_by_section
    role_by_section = {EntrySettings.SECTION: ENTRY, BackendSettings.SECTION: AGENT}
    roles = [role for section, role in role_by_section.items() if section in found]
    if len(roles) != 1:
        names = " and ".join(f"[{section}]" for section in role_by_section)
        raise errors.SettingsError(
            [
                f"{path}: the file has {'both' if roles else 'neither'} of {names}; "
                "allowed is exactly one"
            ]
        )
    return roles[0]


def fields_by_section(
    cls: type[EntrySettings] | type[AgentSettings],
) -> dict[str, tuple[attrs.Attribute[Any], ...]]:
    """Return the declared fields of each section, in the order of the class.

    :param cls: :class:`EntrySettings` or :class:`AgentSettings`.
    """
    declared: dict[str, tuple[attrs.Attribute[Any], ...]] = {}
    for field in attrs.fields(cls):
        if section_class := field.metadata.get(_SECTION_CLASS):
            declared[section_class.SECTION] = attrs.fields(section_class)
        else:
            declared[cls.SECTION] = (*declared.get(cls.SECTION, ()), field)
    return declared


def _load(path: str, cls: type[_T]) -> _T:
    content = ini.read(path)
    texts = content.text_by_key_by_section
    declared = fields_by_section(cls)
    problems = list(content.problems)
    problems += fields.find_undeclared(path, content, declared)
    value_by_key_by_section = {
        section: fields.parse_section(
            path, section, keys, texts.get(section, {}), problems
        )
        for section, keys in declared.items()
    }
    problems += _find_conflicts(path, value_by_key_by_section)
    if problems:
        raise errors.SettingsError(problems)
    own_values = value_by_key_by_section.get(cls.SECTION, {})
    sections = {
        field.name: section_class(**value_by_key_by_section[section_class.SECTION])
        for field in attrs.fields(cls)
        if (section_class := field.metadata.get(_SECTION_CLASS))
    }
    return cls(**own_values, **sections)


def _find_conflicts(
    path: str, value_by_key_by_section: dict[str, dict[str, Any]]
) -> Iterator[str]:
    """Yield problems of values that are valid alone but not together."""
    platform = value_by_key_by_section[PlatformSettings.SECTION]
    if platform.get("log_url") == "" and platform.get("seeds") == ():
        yield (
            f"{path}: [{PlatformSettings.SECTION}] log_url = '', seeds = '': no "
            "way to find the other nodes; at least one of the two is needed"
        )
    for section, low, factor, high in _MINIMUM_FACTORS:
        values = value_by_key_by_section.get(section, {})
        if low not in values or high not in values:
            continue
        # Rounded because 3 * 0.1 is above 0.3 in binary floating point.
        minimum = round(factor * values[low], 9)
        if values[high] < minimum:
            yield (
                f"{path}: [{section}] {high} = {values[high]}: too low; allowed is at "
                f"least {f'{factor} x ' if factor > 1 else ''}{low}, which is {minimum}"
            )
