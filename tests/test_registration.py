"""Machines are stored and removed in batches."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import anyio.lowlevel
import pytest

from sloeswitch.core import keys
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome
from tests.conftest import Store, worker_report
from tests.support.single_controller import World, heartbeat, register_machine


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def test_many_new_machines_are_stored_in_one_change(world: World) -> None:
    new_reports = [worker_report(1, 0, name=f"vm-{number}") for number in range(100, 140)]
    for new_report in new_reports:
        heartbeat(world, new_report, received=False)
        new_report.sequence, new_report.fencing_token = 2, 3
        heartbeat(world, new_report)
    before = world.store.revision

    async def register() -> None:
        async with anyio.create_task_group() as group:
            world.machines.group = group
            world.machines._register()

    anyio.run(register)
    assert world.store.revision == before + 1
    assert {f"vm-{number}" for number in range(100, 140)} <= world.store.tables.machines.keys()


def test_deleted_machines_are_removed_from_their_group_and_an_empty_group_is_deleted(world: World) -> None:
    rows = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in (7, 8, 9)}
    world.store.put(keys.machine_group_key("c0.1.1"), {"m": rows})
    assert {"vm-7", "vm-8", "vm-9"} <= world.store.tables.machines.keys()

    async def unregister(*names: str) -> None:
        world.machines.registration.pending_removals |= set(names)
        with anyio.CancelScope() as scope:

            async def pause(seconds: float) -> None:
                if not world.machines.registration.pending_removals & world.store.tables.machines.keys():
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            world.machines.registration.sleep = pause
            await world.machines.registration.unregister_forever()

    anyio.run(unregister, "vm-7", "vm-8")
    assert "vm-9" in world.store.tables.machines and {"vm-7", "vm-8"} <= world.store.tables.deleted_machines
    anyio.run(unregister, "vm-9")
    assert world.store.tables.mod_revision(keys.machine_group_key("c0.1.1")) == 0
    # One machine in each of many full groups is deleted: the replaced groups do not fit in one transaction.
    for group in range(12):
        rows = {
            f"vm-{group}-{number:012d}": ["10.111.222.133:9000", "guayaba-grande", "san-jose-oeste", True]
            for number in range(81)
        }
        world.store.put(keys.machine_group_key(f"c0.1.{group + 2}"), {"m": rows})
    deleted = {f"vm-{group}-000000000000" for group in range(12)}
    anyio.run(unregister, *deleted)
    assert deleted <= world.store.tables.deleted_machines and len(world.store.tables.machines) == 12 * 80 + 1


def test_machines_get_their_own_rows_while_a_controller_with_an_earlier_layout_is_a_member(world: World) -> None:
    world.store.put(keys.member_key("c1"), {"boot": 5, "settled": 0})
    heartbeat(world, worker_report(1, 0, name="vm-9"), received=False)
    heartbeat(world, worker_report(2, 3, name="vm-9"))

    async def register() -> None:
        async with anyio.create_task_group() as group:
            world.machines.group = group
            world.machines._register()

    anyio.run(register)
    assert world.store.tables.machines["vm-9"].key == keys.machine_key("vm-9")


def test_group_whose_replacement_exceeds_a_transaction_is_split_first(store: Store) -> None:
    """Guards against a removal that is refused on every retry, so that the deleted machine is never removed."""
    world = World(store)
    store.put_complete_layout()
    rows = {f"vm-{number:03d}": ["127.0.0.1:9000", "small", "a", True] for number in range(40)}
    store.put(keys.machine_group_key("c0.1.1"), {"m": rows})
    registration = world.machines.registration
    world.client.max_value_bytes = 4 * len('"vm-000":["127.0.0.1:9000","small","a",true],')
    world.client.max_transaction_changes = 3
    registration.pending_removals.add("vm-000")
    change = registration._removals()
    assert len(change) <= 3 and not change.deletes and keys.machine_group_key("c0.1.1") not in change.writes
    assert change.conditions == {
        keys.machine_group_key("c0.1.1"): store.tables.mod_revision(keys.machine_group_key("c0.1.1"))
    }
    for _ in range(40):
        change = registration._removals()
        if not change:
            break
        assert len(change) <= 3
        result = anyio.run(world.client.compare_and_swap, change, RequestPriority.PROGRESS)
        assert result.outcome is TransactionOutcome.COMMITTED
    assert store.tables.machines.keys() == rows.keys() - {"vm-000"}


def test_new_machines_are_pending_until_their_write_has_ended(world: World) -> None:
    heartbeat(world, worker_report(1, 0, name="vm-9"), received=False)
    heartbeat(world, worker_report(2, 3, name="vm-9"))
    registration = world.machines.registration
    new = registration.machines_to_store(list(world.machines.registry.machines.values()))
    assert new.names == {"vm-9"}
    registration.pending_registrations |= new.names
    assert not registration.machines_to_store(list(world.machines.registry.machines.values())).writes
    anyio.run(registration.store, new, 2)  # reconciled under an earlier view: not written
    assert "vm-9" not in world.store.tables.machines and not registration.pending_registrations
