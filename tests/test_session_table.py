"""Sessions in which the table changes during faults."""

import attrs
import pytest

import sessions
from burdockgate import codes, messages
from burdockgate.version import table

ENTRIES = ("entry-1", "entry-2", "entry-3")


def set_row(session, change, based_on=0, **columns):
    """Append a change as an operator does; return the version that it makes."""
    row = table.Row("class", "batch", **columns)
    return session.append("table", change, table.row_record(row, based_on)) + 1


def version_by_node(session):
    return {
        name: each.core.table_replica.version
        for name, each in session.processes.items()
    }


def assert_in_force(session, version, limit_s=5.0):
    session.run_until(
        lambda: set(version_by_node(session).values()) == {version}, limit_s
    )


def test_race_of_two_operators_has_one_winner_on_all_nodes():
    """Guards against nodes with different weights after a race of two changes."""
    session = sessions.Session()
    first = set_row(session, "one", weight=2.0)
    set_row(session, "two", weight=3.0)
    assert_in_force(session, first)
    for process in session.processes.values():
        assert process.core.table_replica.table.row("class", "batch").weight == 2.0


def test_entry_host_cut_from_the_log_follows_through_its_peer():
    """Guards against an old table at an entry host that cannot read the log."""
    session = sessions.Session()
    session.processes_without_log.add("entry-2")
    assert_in_force(session, set_row(session, "one", weight=2.0))
    session.cut("entry-1", "entry-2")
    version = set_row(session, "two", based_on=1, weight=3.0)
    session.run(1.0)
    assert version_by_node(session)["entry-2"] == 1
    session.heal("entry-1", "entry-2")
    assert_in_force(session, version)


def test_restart_in_an_outage_waits_for_a_majority():
    """Guards against a restarted entry host that works by an old table or none."""
    session = sessions.Session(entries=3)
    version = set_row(session, "one", weight=2.0)
    assert_in_force(session, version)
    session.log_is_up = False
    session.kill("entry-1")
    session.cut_pairs.add(frozenset(("entry-1", "entry-2")))
    core = session.start("entry-1").core
    session.run(3.0)
    assert core.table_replica.version == version
    assert not core.has_current_table
    session.heal("entry-1", "entry-2")
    session.run(1.0)
    assert core.has_current_table


def test_expired_records_are_replaced_by_a_snapshot():
    """Guards a node that starts after the records expired: it needs the snapshot."""
    session = sessions.Session()
    version = set_row(session, "one", weight=2.0)
    session.run(sessions.LOG_RETENTION_S / 2)
    snapshots = [each for each in session.log("table") if b"snapshot" in each.value]
    assert len(snapshots) == 1
    assert sum(b'"snapshot"' in each.value for each in session.log("members")) == 1
    session.expire_log("table", snapshots[0].offset)
    session.kill("entry-1")
    session.kill("entry-2")
    core = session.start("entry-1").core
    session.run(0.1)
    assert core.table_replica.table.row("class", "batch").weight == 2.0
    assert (core.table_replica.version, core.has_current_table) == (version, True)


def test_stale_peer_never_lowers_the_version():
    """Guards against late and repeated records of a peer that restore an old row."""
    session = sessions.Session()
    session.filters.append(
        lambda _from, _to, message, delays: (
            [*delays, 3.0] if isinstance(message, messages.Records) else delays
        )
    )
    version = 0
    for number in range(6):
        version = set_row(session, f"change-{number}", version, weight=number + 1)
        before = version_by_node(session)
        session.run(0.7)
        assert all(
            before[name] <= each for name, each in version_by_node(session).items()
        )
    session.run(4.0)
    assert_in_force(session, version)


def submit(session, entry, key, caller_class, tasks):
    request = sessions.make_request(key, tasks, deadline_ms=300_000)
    request = attrs.evolve(request, caller_class=caller_class)
    return session.submit(entry, request), request


def test_queue_time_refuses_with_a_true_not_run():
    """A job without a start is refused once a majority has settled it."""
    session = sessions.Session()
    assert_in_force(session, set_row(session, "one", max_queue_s=2.0))
    submit(session, "entry-1", "long", "web", [8000] * 6)
    session.run(0.5)
    ticket, request = submit(session, "entry-1", "k1", "batch", [50])
    assert session.wait_answer(ticket, 4.0).code is codes.Code.QUEUE_TIMEOUT
    assert all(start.job != request.job for start in session.starts)


def test_limits_make_jobs_wait_rather_than_fail():
    """Tasks over the limits wait, and start after a change of the row."""
    session = sessions.Session(slots=4)
    version = set_row(session, "one", max_in_progress=4)
    assert_in_force(session, version)
    ticket, request = submit(session, "entry-1", "k1", "batch", [1000] * 12)
    session.run(0.9)
    assert len(session.starts) == 2
    set_row(session, "two", based_on=version, max_rate=8.0)
    session.run(0.2)
    assert 4 <= len(session.starts) <= 7
    sessions.assert_complete(request, session.wait_answer(ticket))
    assert session.core("entry-1").jobs.body_bytes == 0


def test_weights_order_two_classes_under_saturation():
    """The shares of slots follow the weights, also for jobs that already wait."""
    session = sessions.Session(slots=4)
    class_by_job = {}
    for number in range(120):
        for name in ("batch", "web"):
            entry = ENTRIES[number % 2]
            _, request = submit(session, entry, f"{name}-{number}", name, [50] * 20)
            class_by_job[request.job] = name
    assert_in_force(session, set_row(session, "one", weight=3.0))
    session.run(0.5)
    begin = len(session.starts)
    session.run(8.0)
    seen = [class_by_job[start.job] for start in session.starts[begin:]]
    assert seen.count("batch") / len(seen) == pytest.approx(0.75, rel=0.05)
    assert len(seen) > 1500
