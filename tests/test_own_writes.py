"""Writes that were applied to the tables before they are read back from the change feed."""

from __future__ import annotations

from sloeswitch.own_writes import OwnWrite, OwnWrites
from sloeswitch.wire import ChangeEvent


def test_a_write_is_confirmed_by_a_change_with_its_key_and_revision() -> None:
    own_writes = OwnWrites()
    own_writes.add("a", 5)
    own_writes.add("b", 5)
    assert own_writes.confirm([ChangeEvent(5, write="a"), ChangeEvent(5, drop="b")], 5) is None
    assert own_writes.confirm([], 9) is None


def test_a_write_is_kept_until_its_revision_has_been_read() -> None:
    own_writes = OwnWrites()
    own_writes.add("a", 5)
    assert own_writes.confirm([ChangeEvent(4, write="a")], 4) is None
    assert own_writes.confirm([], 5) == OwnWrite("a", 5)


def test_a_write_read_with_a_different_revision_than_answered_is_reported_missing() -> None:
    own_writes = OwnWrites()
    own_writes.add("a", 5)
    assert own_writes.confirm([ChangeEvent(4, write="a")], 6) == OwnWrite("a", 5)
    own_writes.clear()
    assert own_writes.confirm([], 6) is None
