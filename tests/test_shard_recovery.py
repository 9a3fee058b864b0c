"""A controller reports the recovery of its shard only once it knows all machines that it owns."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import pytest

from sloeswitch import replica
from sloeswitch.actors.membership import ShardRecovered
from sloeswitch.core import keys
from sloeswitch.state_client import StateClient
from sloeswitch.wire import StoredRow
from tests.conftest import Store, worker_report
from tests.support.single_controller import World, advance_time

MACHINE = ["127.0.0.1:9000", "small", "a", True]


def reported_views(world: World) -> list[int]:
    """The views whose recovery is reported now."""
    world.membership._inbox.clear()
    world.machines._report_recovery()
    return [message.view_number for message in world.membership._inbox if isinstance(message, ShardRecovered)]


def test_machine_whose_group_is_read_after_the_view_delays_the_recovery(store: Store) -> None:
    """Guards against a second start of tasks on a machine whose row is missing when the view is read.

    When all rows are read by key, the result can contain the view but not a group that was stored just before it.
    """
    world = World(store)
    store.member("c0", 1, recovered_view=2)
    world.machines.ownership.follow_view()
    store.put(keys.machine_group_key("c1.9.1"), {"m": {"vm-1": MACHINE}})
    advance_time(world, 0.1)
    assert reported_views(world) == []
    world.heartbeat(worker_report(1, 0))
    world.heartbeat(worker_report(2, 3))
    assert reported_views(world) == [3]


def test_controller_is_not_leader_after_a_snapshot_until_a_linearizable_read(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same fault while the change feed has not delivered the group and the lease is still valid."""
    world = World(store)
    assert world.leadership.is_leader

    async def read_snapshot(client: StateClient, apply_page: Callable[[list[StoredRow]], None]) -> int:
        apply_page([StoredRow(key, value, revision) for key, (value, revision) in store.rows.items()])
        return store.revision

    monkeypatch.setattr(replica, "read_snapshot", read_snapshot)
    anyio.run(world.replica._load)
    assert world.leadership.view.number == 3 and not world.leadership.is_leader
    advance_time(world, 0.1)
    assert world.leadership.is_leader
