"""Tests the outcomes of table changes that are reported to operators."""

import argparse
import asyncio
import json
import random

import pytest

from burdockgate import clock, errors
from burdockgate.cli import table as command
from burdockgate.process import editor, logclient
from burdockgate.standin import log
from burdockgate.version import table

BATCH = table.Row("class", "batch", weight=0.5)


@pytest.fixture
async def served():
    manual = clock.ManualClock()
    server = log.LogServer(log.LogStore(manual, retention_s=60))
    await server.start()
    async with logclient.LogClient(server.url, random.Random(1)) as client:
        yield server, client, manual
    await server.stop_now()


def _editor(client, seed, budget_s=10.0):
    return editor.TableEditor(client, random.Random(seed), budget_s)


async def test_two_operators_race(served):
    """Of two concurrent changes one is a conflict, which reports the accepted row.

    A new change that is based on the reported version is accepted.
    """
    _, client, _ = served
    editors = [_editor(client, seed) for seed in (1, 2)]
    for edit in editors:
        assert (await edit.read()).row_version(BATCH.key) == 0
    rows = [BATCH, table.Row("class", "batch", weight=2)]
    outcomes = await asyncio.gather(
        *[edit.set_row(row, 0) for edit, row in zip(editors, rows, strict=True)]
    )
    kinds = {type(outcome): outcome for outcome in outcomes}
    won, lost = kinds[editor.Accepted], kinds[editor.Conflict]
    assert (lost.row, lost.version) == (won.row, 1)
    loser = editors[outcomes.index(lost)]
    assert (await loser.set_row(BATCH, lost.version)).version == 3
    gone = await loser.delete_row("class", "batch", 3)
    assert (gone.version, gone.row) == (4, None)


@pytest.mark.parametrize("lost", [log.LostAnswer.ERROR, log.LostAnswer.CUT])
async def test_lost_answer_is_reported_as_accepted(served, lost):
    """A change that took effect must not be reported as unknown or a conflict."""
    server, client, _ = served
    server.store.set_faults(log.Faults(lose_answers=lost))
    outcome = await _editor(client, 1).set_row(BATCH, 0)
    assert (type(outcome), outcome.version) == (editor.Accepted, 1)


async def test_outage_gives_the_change_id_to_ask_for(served):
    """During an outage the outcome is unknown; the change id gives it afterwards."""
    server, client, _ = served
    edit = _editor(client, 1, budget_s=0.3)
    server.store.set_faults(log.Faults(down=True))
    unknown = await edit.set_row(BATCH, 0)
    assert isinstance(unknown, editor.Unknown)
    assert "may have been accepted" in unknown.detail
    with pytest.raises(errors.LogUnavailableError):
        await edit.read()
    server.store.set_faults(log.Faults())
    edit = _editor(client, 2)
    assert await edit.outcome(unknown.change_id) is None
    server.store.append("table", unknown.change_id, table.row_record(BATCH, 0).decode())
    assert (await edit.outcome(unknown.change_id)).version == 1


async def test_log_that_goes_down_after_the_append(served, monkeypatch):
    """An acknowledged append may still be a conflict, so the outcome is unknown."""
    server, client, _ = served
    append = client.append

    async def append_and_go_down(*arguments):
        offset = await append(*arguments)
        server.store.set_faults(log.Faults(down=True))
        return offset

    monkeypatch.setattr(client, "append", append_and_go_down)
    outcome = await _editor(client, 1, budget_s=0.3).set_row(BATCH, 0)
    assert isinstance(outcome, editor.Unknown)
    assert "the log stored the change" in outcome.detail


async def test_expired_records_with_and_without_a_snapshot(served):
    """A table whose records have expired must not be read as an empty one."""
    server, client, manual = served
    edit = _editor(client, 1)
    await edit.set_row(BATCH, 0)
    manual.advance(50)
    snapshot = await edit.snapshot()
    assert isinstance(snapshot, editor.Accepted)
    manual.advance(20)
    late = _editor(client, 2)
    assert (await late.read()).row("class", "batch").version == 1
    assert (await late.set_row(BATCH, 1)).version == 3
    assert await late.outcome(snapshot.change_id) == snapshot
    manual.advance(100)
    with pytest.raises(errors.TableError, match="no usable snapshot"):
        await _editor(client, 3).read()
    unknown = await _editor(client, 4).set_row(BATCH, 0)
    assert isinstance(unknown, editor.Unknown)
    assert "waits for a snapshot" in unknown.detail


async def _run(server, *words):
    parser = argparse.ArgumentParser()
    command.register(parser.add_subparsers())
    args = parser.parse_args(["table", *words, "--log", server.url])
    return await asyncio.to_thread(args.run, args)


async def test_command_line(served, capsys, tmp_path):
    """Each command has its exit status, and an export can be imported again."""
    server, _, _ = served
    path = tmp_path / "rows.csv"
    assert await _run(server, "set", "class/batch", "weight=0.5", "max_rate=3") == 0
    assert await _run(server, "set", "class/batch", "weight=2", "--json") == 0
    assert json.loads(capsys.readouterr().out.splitlines()[1])["row"]["max_rate"] == 3
    assert await _run(server, "export") == 0
    path.write_text(capsys.readouterr().out)
    assert await _run(server, "diff", str(path)) == 0
    assert capsys.readouterr().out == ""
    assert await _run(server, "set", "class/batch", "weight=3") == 0
    path.write_text(path.read_text().replace("2.0", "9.0"))
    assert await _run(server, "import", str(path)) == 1
    assert "class/batch: conflict: based on version 2" in capsys.readouterr().err
    stale = ("delete", "class/batch", "--based-on", "1")
    assert await _run(server, *stale) == 1
    assert await _run(server, "delete", "class/batch") == 0
    assert await _run(server, "delete", "class/batch") == 1
    assert await _run(server, "get", "--json") == 0
    assert json.loads(capsys.readouterr().out.splitlines()[-1])["rows"] == []
    assert await _run(server, "history", "--json") == 0
    kinds = [
        json.loads(line)["effect"] for line in capsys.readouterr().out.split("\n")[:-1]
    ]
    assert kinds == ["accepted"] * 3 + ["conflict"] * 2 + ["accepted"]


async def test_mistakes_on_the_command_line(served, capsys, tmp_path):
    """A usage error prints one line, exits with status 2 and changes nothing."""
    server, client, _ = served
    path = tmp_path / "rows.csv"
    path.write_text("scope,name,weight\nclass,a,0\nclass,b,1\nclass,b,1\nteam,c,1,7\n")
    assert await _run(server, "import", str(path)) == 2
    assert len(capsys.readouterr().err.splitlines()) == 3
    for words in [
        ("set", "class/a", "weight=x"),
        ("set", "class/a", "name=b"),
        ("set", "class", "weight=1"),
        ("get", "team/a"),
        ("diff", str(tmp_path)),
    ]:
        assert await _run(server, *words) == 2
        assert len(capsys.readouterr().err.splitlines()) == 1
    server.store.set_faults(log.Faults(down=True))
    assert await _run(server, "get") == 1
    assert capsys.readouterr().err.count("\n") == 1
    assert server.store.read_page("table", 0).next == 0
