"""Guards the bound on kept records of the members stream, and who needs old ones."""

import pytest

import builders
from burdockgate import messages
from burdockgate.process import memberhistory
from burdockgate.version import view as views


def announced(count, step=1):
    """Follow announcements of 200 agents that restart in turn; return all states."""
    kept, view, states = memberhistory.MemberHistory(), views.View(), [views.View()]
    for first in range(0, count, step):
        records = tuple(
            messages.LogRecord(n, f"id-{n}", builders.voter(f"a{n % 200}", n))
            for n in range(first, min(first + step, count))
        )
        page = messages.Records(views.STREAM, first, first + len(records), records)
        kept.add_page(page, view.number)
        states += views.fold_page(view, page)
        view = states[-1]
    return kept, states


def test_ten_thousand_announcements_are_bounded():
    """A process that runs for weeks must stay within its memory."""
    kept, states = announced(10_000, step=100)
    assert len(kept) <= memberhistory.KEPT_LIMIT
    pages = list(kept.pages_since(0, states[-1]))
    assert sum(len(page.records) for page in pages) == 1


@pytest.mark.parametrize("behind", [1, 900, 3000, 4999, 5000])
def test_node_that_is_behind_gets_the_whole_view(behind):
    """A node may start in an outage of the log, or after records have expired."""
    kept, states = announced(5000, step=250)
    for view in (states[-1 - behind], views.View()):
        pages = list(kept.pages_since(view.number, states[-1]))
        for page in pages:
            *_, view = views.fold_page(view, page)
        assert view == states[-1]


def test_peer_that_took_a_snapshot_hands_on_the_whole_view():
    """Its own copy of the snapshot is not one that the log holds."""
    kept, states = announced(5000, step=250)
    peer = memberhistory.MemberHistory()
    for page in kept.pages_since(0, states[-1]):
        assert peer.add_page(page, 0) == []
    view = views.View()
    for page in peer.pages_since(7, states[-1]):
        *_, view = views.fold_page(view, page)
    assert view == states[-1]


def test_incomplete_reader_keeps_a_bounded_number_of_records():
    """Without a snapshot in the log, a reader after a gap waits for ever."""
    view = views.View(5, waiting=())
    for _ in range(views.WAITING_LIMIT + 10):
        view = builders.fold(view, builders.removal("a1"))
    assert len(view.waiting) == views.WAITING_LIMIT
