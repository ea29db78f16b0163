"""Data centres that operators have asked to empty, as nodes learn of them."""

from burdockgate import assignments
from burdockgate.process import evacuation, store


def _page(*records, end, is_snapshot=False, unreadable=0):
    records = tuple(store.KeyedRecord(*record) for record in records)
    return store.Page(records, end, unreadable, is_snapshot)


def _replica():
    return evacuation.Replica("evacuate/")


def test_request_holds_until_its_record_is_deleted():
    replica = _replica()
    assert replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert replica.is_evacuated("z1")
    assert not replica.is_evacuated("z2")
    assert not replica.apply(_page(("config", b"{}", 5), end=6))
    assert replica.is_evacuated("z1")
    assert replica.apply(_page(("evacuate/z1", b"", 6), end=7))
    assert not replica.is_evacuated("z1")


def test_request_taken_back_during_an_outage_ends():
    """A snapshot has no record of the deletion, so the request would hold for good."""
    replica = _replica()
    replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert replica.apply(_page(("config", b"{}", 7), end=9, is_snapshot=True))
    assert not replica.is_evacuated("z1")


def test_snapshot_after_deleted_history_keeps_the_request():
    replica = _replica()
    replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert not replica.apply(
        _page(("evacuate/z1", b"{}", 4), ("config", b"{}", 9), end=10, is_snapshot=True)
    )
    assert replica.is_evacuated("z1")


def test_older_state_of_a_peer_does_not_return():
    """A node that was cut off must not bring a request back that was taken back."""
    replica = _replica()
    replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    replica.apply(_page(("evacuate/z1", b"", 6), end=7))
    assert not replica.receive("a1", assignments.Evacuations(5, ("z1",)))
    assert not replica.is_evacuated("z1")
    # The peer gets the newer state.
    assert replica.outdated_peers(["a1", "a2"]) == ["a1"]
    assert replica.outdated_peers(["a1", "a2"]) == []


def test_older_page_does_not_replace_a_newer_state_of_a_peer():
    """A store's answer that was late must not take a request back."""
    replica = _replica()
    assert replica.receive("a1", assignments.Evacuations(9, ("z1",)))
    assert not replica.apply(_page(("evacuate/z1", b"", 3), end=4))
    assert not replica.apply(_page(end=8, is_snapshot=True))
    assert replica.is_evacuated("z1")


def test_state_passes_between_nodes_without_the_store():
    """An agent started tasks for an entry host that was cut off from the store."""
    informed, agent, cut_off = _replica(), evacuation.Replica(), _replica()
    informed.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert informed.outdated_peers(["agent"]) == ["agent"]
    assert agent.receive("informed", informed.current)
    assert agent.outdated_peers(["informed", "cut-off"]) == ["cut-off"]
    assert cut_off.receive("agent", agent.current)
    assert cut_off.is_evacuated("z1")
    assert cut_off.outdated_peers(["agent"]) == []


def test_nothing_is_sent_where_no_evacuation_was_requested():
    replica = _replica()
    replica.apply(_page(("config", b"{}", 4), end=5, is_snapshot=True))
    assert replica.outdated_peers(["a1", "a2"]) == []


def test_reconnected_peer_gets_the_state_again():
    """The process behind a connection may have been restarted and know nothing."""
    replica = _replica()
    replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert replica.outdated_peers(["a1"]) == ["a1"]
    replica.forget("a1")
    assert replica.outdated_peers(["a1"]) == ["a1"]


def test_odd_keys_name_no_data_centre():
    replica = _replica()
    assert not replica.apply(
        _page(("evacuate/", b"x", 1), ("evacuate/" + "z" * 300, b"x", 2), end=3)
    )
    assert replica.current.zones == ()


def test_changes_behind_the_end_of_a_snapshot_are_applied():
    """A snapshot of several pages held a later record, and changes before it were lost.

    One zone stayed evacuated for good, and the request for another was never seen.
    """
    replica = _replica()
    replica.apply(
        _page(
            ("evacuate/z1", b"{}", 4),
            ("evacuate/z2", b"{}", 12),
            end=10,
            is_snapshot=True,
        )
    )
    replica.apply(
        _page(
            ("evacuate/z1", b"", 10),
            ("evacuate/z0", b"{}", 11),
            ("evacuate/z2", b"{}", 12),
            end=13,
        )
    )
    assert replica.current == assignments.Evacuations(13, ("z0", "z2"))


def test_unreadable_records_of_a_snapshot_take_no_request_back():
    replica = _replica()
    replica.apply(_page(("evacuate/z1", b"{}", 4), end=5))
    assert not replica.apply(_page(end=9, is_snapshot=True, unreadable=1))
    assert replica.is_evacuated("z1")


def test_repeated_request_holds_at_the_largest_number_of_zones():
    """It deleted itself when as many zones were evacuated as are kept."""
    replica = _replica()
    records = [(f"evacuate/z{n}", b"{}", n) for n in range(evacuation.MAX_ZONES)]
    replica.apply(_page(*records, end=len(records)))
    replica.apply(_page(("evacuate/z3", b"{}", 300), end=301))
    assert replica.is_evacuated("z3")


def test_state_of_a_peer_is_bounded():
    replica = _replica()
    too_many = tuple(f"z{n}" for n in range(evacuation.MAX_ZONES + 1))
    for zones in (too_many, ("z" * 300,)):
        assert not replica.receive("a1", assignments.Evacuations(9, zones))
