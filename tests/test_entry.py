"""An entry host forwards the records of the members stream without gaps."""

import random

import builders
import configs
from burdockgate import clock, effects, messages, settings
from burdockgate.process import agent, entry, metrics
from burdockgate.version import view as views


def make_entry(time):
    return entry.EntryCore(
        builders.node("entry-1"),
        configs.entry_settings("entry-1", 0),
        time,
        random.Random(1),
        metrics.Metrics(settings.StatsdSettings()),
    )


def make_agent(time):
    return agent.AgentCore(
        builders.node("agent-1"),
        configs.agent_settings("agent-1", 0, slots=2),
        time,
        metrics.Metrics(settings.StatsdSettings()),
    )


def page(first, *values):
    records = tuple(
        messages.LogRecord(first + index, f"id-{first + index}", value)
        for index, value in enumerate(values)
    )
    return messages.Records(views.STREAM, first, first + len(values), records)


def messages_to_agent(performed):
    return [
        effect.message
        for effect in performed
        if isinstance(effect, effects.Send) and effect.to == "agent-1"
    ]


def entry_hello():
    return builders.hello("entry-1", role=messages.Role.ENTRY)


def test_record_between_connection_and_first_heartbeat_leaves_no_gap():
    """The agent must get every record once its heartbeat has reported its view.

    A page sent before that heartbeat would look like a gap in the stream, and an agent
    with a gap in its view does not vote for hours.
    """
    time = clock.ManualClock(100.0)
    host, member = make_entry(time), make_agent(time)
    list(host.follow(page(0, views.entry_record(host.node), builders.voter("a2"))))
    pages = messages_to_agent(host.handle_connect(builders.hello("agent-1")))
    # The agent's first heartbeat has not arrived yet.
    pages += messages_to_agent(host.follow(page(2, builders.voter("agent-1"))))
    list(member.handle_connect(entry_hello()))
    pages += messages_to_agent(host.receive("agent-1", messages.Heartbeat(0, 0)))
    for message in pages:
        if isinstance(message, messages.Records):
            list(member.receive("entry-1", message))
    view = member.claims.catchup.view
    assert view.is_complete
    assert view.number == 3
    assert set(view.voter_by_name) == {"a2", "agent-1"}


def test_agent_that_missed_pages_gets_them_before_newer_ones():
    """An agent that reconnects with an old view needs the pages in between too."""
    time = clock.ManualClock(100.0)
    host, member = make_entry(time), make_agent(time)
    list(member.handle_connect(entry_hello()))
    first = page(0, builders.voter("a2"))
    list(host.follow(first))
    list(member.receive("entry-1", first))
    list(host.follow(page(1, builders.voter("a3"))))
    pages = messages_to_agent(host.handle_connect(builders.hello("agent-1")))
    pages += messages_to_agent(host.receive("agent-1", messages.Heartbeat(0, 1)))
    pages += messages_to_agent(host.follow(page(2, builders.voter("agent-1"))))
    for message in pages:
        if isinstance(message, messages.Records):
            list(member.receive("entry-1", message))
    view = member.claims.catchup.view
    assert view.is_complete
    assert set(view.voter_by_name) == {"a2", "a3", "agent-1"}
