"""Settings of nodes for tests; nothing connects to their addresses."""

from burdockgate import settings

SERVICE = "records"
LOG_RETENTION_S = 120.0


def node_settings(name, place):
    return settings.NodeSettings(
        name=name,
        region="r1",
        data_centre=f"dc{place}",
        rack=f"rack{place}",
        listen="127.0.0.1:0",
    )


def platform_settings():
    return settings.PlatformSettings(
        log_url="http://127.0.0.1:1", seeds=(), log_retention_s=LOG_RETENTION_S
    )


def entry_settings(name, place, **timing):
    return settings.EntrySettings(
        node=node_settings(name, place),
        http="127.0.0.1:0",
        platform=platform_settings(),
        limits=settings.LimitSettings(),
        timing=settings.TimingSettings(**timing),
        statsd=settings.StatsdSettings(),
    )


def agent_settings(name, place, slots, **timing):
    return settings.AgentSettings(
        node=node_settings(name, place),
        backend_server=settings.BackendSettings(
            url="http://127.0.0.1:1", service=SERVICE, slots=slots
        ),
        platform=platform_settings(),
        timing=settings.TimingSettings(**timing),
        statsd=settings.StatsdSettings(),
    )
