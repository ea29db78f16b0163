"""Guards the bound on stored records of the members stream, and nodes that lag."""

import pytest

import builders
from burdockgate import messages
from burdockgate.process import memberhistory
from burdockgate.version import view as views


def history_and_views(count, step=1):
    """Announce 200 agents that restart in turn; return the history and all views."""
    history, view, states = memberhistory.MemberHistory(), views.View(), [views.View()]
    for first in range(0, count, step):
        records = tuple(
            messages.LogRecord(n, f"id-{n}", builders.voter(f"a{n % 200}", n))
            for n in range(first, min(first + step, count))
        )
        page = messages.Records(views.STREAM, first, first + len(records), records)
        history.add_page(page, view.number)
        states += views.fold_page(view, page)
        view = states[-1]
    return history, states


def test_ten_thousand_announcements_are_bounded():
    """The memory of a process must not grow over weeks."""
    history, states = history_and_views(10_000, step=100)
    assert len(history) <= memberhistory.RECORD_LIMIT
    pages = list(history.pages_since(0, states[-1]))
    assert sum(len(page.records) for page in pages) == 1


@pytest.mark.parametrize("behind", [1, 900, 3000, 4999, 5000])
def test_node_that_is_behind_gets_the_whole_view(behind):
    """A node may start during an outage of the log, or after records have expired."""
    history, states = history_and_views(5000, step=250)
    for view in (states[-1 - behind], views.View()):
        pages = list(history.pages_since(view.number, states[-1]))
        for page in pages:
            *_, view = views.fold_page(view, page)
        assert view == states[-1]


def test_peer_that_started_from_a_snapshot_forwards_the_whole_view():
    """The snapshot that a peer sends must not be taken for one in the log."""
    history, states = history_and_views(5000, step=250)
    peer = memberhistory.MemberHistory()
    for page in history.pages_since(0, states[-1]):
        assert peer.add_page(page, 0) == []
    view = views.View()
    for page in peer.pages_since(7, states[-1]):
        *_, view = views.fold_page(view, page)
    assert view == states[-1]


def test_incomplete_reader_buffers_a_bounded_number_of_records():
    """Without a snapshot in the log, a reader after a gap buffers records forever."""
    view = views.View(5, buffered=())
    for _ in range(views.BUFFER_LIMIT + 10):
        view = builders.fold(view, builders.removal("a1"))
    assert len(view.buffered) == views.BUFFER_LIMIT
