"""Ownership of machines as members join, leave and restart."""

from __future__ import annotations

from sloeswitch.core.rendezvous import owner

MACHINES = [f"vm-{number}" for number in range(300)]
TWO_MEMBERS = (("c0", 1), ("c1", 2))
THREE_MEMBERS = (*TWO_MEMBERS, ("c2", 3))


def test_only_machines_of_a_member_that_joins_or_leaves_change_owner() -> None:
    moved = {name for name in MACHINES if owner(name, TWO_MEMBERS) != owner(name, THREE_MEMBERS)}
    assert moved == {name for name in MACHINES if owner(name, THREE_MEMBERS) == "c2"}
    assert 60 < len(moved) < 140, "about a third"


def test_restarts_and_the_order_of_members_do_not_change_owners() -> None:
    restarted = (("c2", 9), ("c1", 8), ("c0", 7))
    assert [owner(name, THREE_MEMBERS) for name in MACHINES] == [owner(name, restarted) for name in MACHINES]


def test_a_machine_has_no_owner_without_members() -> None:
    assert owner("vm-1", ()) is None
