"""Tests which entry hosts a process regards as present."""

import pytest

from burdockgate import assignments
from burdockgate.process import entryregistry

FIRST = assignments.EntryHost("e1", "10.0.0.1:7720", "z1", 3)
SECOND = assignments.EntryHost("e2", "10.0.0.2:7720", "z1", 4)
LEFT = assignments.EntryHost("e1", "", "", 9)


@pytest.fixture
def registry():
    instance = entryregistry.EntryRegistry()
    instance.merge([FIRST, SECOND])
    return instance


def test_entry_host_that_has_left_is_not_present(registry):
    """A machine that had left stayed in the lists of all processes for good."""
    assert registry.merge([LEFT]) == (LEFT,)
    assert registry.present() == (SECOND,)


def test_late_or_repeated_record_does_not_bring_it_back(registry):
    """A list of a process that lags is older than the departure."""
    registry.merge([LEFT])
    assert registry.merge([FIRST, FIRST, SECOND]) == ()
    assert registry.present() == (SECOND,)


def test_restarted_entry_host_is_present_again(registry):
    """A later registration is newer than the departure."""
    registry.merge([LEFT])
    again = assignments.EntryHost("e1", "10.0.0.7:7720", "z1", 12)
    assert registry.merge([again, LEFT]) == (again,)
    assert again in registry.present()


def test_refreshed_record_with_the_same_address_is_no_change(registry):
    """Each refresh was announced to all agents."""
    assert registry.merge([assignments.EntryHost("e1", FIRST.address, "z1", 20)]) == ()


def test_record_that_is_missing_in_a_snapshot_has_left(registry):
    """The deletion itself may have been dropped from the history of the store."""
    unregistered = assignments.EntryHost("e3", "10.0.0.3:7720", "z1", 0)
    registry.merge([unregistered])
    changed = registry.apply_snapshot([SECOND], 30)
    assert changed == (assignments.EntryHost("e1", "", "", 30),)
    assert registry.present() == (SECOND, unregistered)


def test_record_after_the_snapshot_stays(registry):
    """Pages are not a snapshot of one moment: newer records may be missing in them."""
    newer = assignments.EntryHost("e3", "10.0.0.3:7720", "z1", 31)
    registry.merge([newer])
    registry.apply_snapshot([FIRST, SECOND], 30)
    assert newer in registry.present()


def test_machine_under_a_new_name_replaces_the_old_one(registry):
    """An address was dialled for an entry host that no longer runs there."""
    other = assignments.EntryHost("e9", FIRST.address, "z1", 8)
    registry.merge([other])
    assert registry.present() == (other, SECOND)


@pytest.mark.parametrize("address", ["10.0.0.1:70000", "host:80", "10.0.0.1:0", "x"])
def test_address_that_cannot_be_dialled_is_skipped(registry, address):
    """A port over 65535 raised an error at each dial, at every agent."""
    assert registry.merge([assignments.EntryHost("e5", address, "z1", 50)]) == ()


def test_full_registry_drops_departed_entry_hosts_first(registry, monkeypatch):
    """At 200 addresses, new entry hosts were not noted any more."""
    monkeypatch.setattr(entryregistry, "MAX_ENTRIES", 2)
    third = assignments.EntryHost("e3", "10.0.0.3:7720", "z1", 20)
    assert registry.merge([third]) == (), "both others are present"
    registry.merge([LEFT])
    assert registry.merge([third]) == (third,)
    assert registry.present() == (SECOND, third)
