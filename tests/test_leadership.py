"""Leadership of a controller that was partitioned from the network, paused or restarted."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch import wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.users import Users
from sloeswitch.core import keys
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import View
from sloeswitch.core.rendezvous import owner
from sloeswitch.http import Request
from sloeswitch.http_client import Reply
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome
from tests.conftest import Store, spec, submission, worker_report
from tests.support.single_controller import (
    JOB,
    Cloud,
    World,
    advance_time,
    attach_mesh,
    heartbeat,
    register_machine,
    run_deletions,
)


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def partition(world: World) -> Users:
    """Cuts the controller off from the state service and its sibling until all its permissions have expired."""
    mesh = attach_mesh(world)
    mesh.peers["c1"].requested_at = world.clock.time
    world.clock.time += 2 * world.settings.controller_lease_s
    world.client.failing_since = world.clock.time - world.settings.controller_lease_s
    return Users(world.context, world.jobs, world.machines)


def test_a_partitioned_controller_answers_503_to_workers_and_users(world: World) -> None:
    users = partition(world)
    assert heartbeat(world, worker_report(9, 3)).status == 503
    requests = [
        Request("GET", "/healthz", b""),
        Request("POST", "/submissions", wire.encode(submission())),
        Request("GET", f"/submissions/{JOB}", b""),
    ]
    for request in requests:
        answer = anyio.run(users.handle, request)
        assert answer.status == 503 and dict(answer.headers)["Retry-After"], request.path


def test_a_controller_is_healthy_in_a_state_outage_that_its_siblings_report_too(world: World) -> None:
    users = partition(world)
    mesh = world.leadership.mesh
    assert mesh is not None
    mesh.peers["c1"].requested_at, mesh.peers["c1"].state_reachable = world.clock.time, False
    assert anyio.run(users.handle, Request("GET", "/healthz", b"")).status == 200
    mesh.peers["c1"].state_reachable = True
    assert anyio.run(users.handle, Request("GET", "/healthz", b"")).status == 503


def test_a_late_write_of_an_earlier_incarnation_does_not_replace_the_member_row(world: World) -> None:
    world.membership.recovered_view = 4
    world.client.lose_answers = 3
    assert not anyio.run(world.membership._write_member)  # in flight when the earlier process is killed
    world.leadership.incarnation = 7
    world.membership.recovered_view = 0
    assert anyio.run(world.membership._write_member)
    for write in world.client.lost_transactions:
        assert world.client.apply(*write)[0] is TransactionOutcome.CONFLICT
    assert world.store.tables.members["c0"].lease_id == 7


def test_a_member_row_overwritten_by_an_earlier_incarnation_is_written_again(world: World) -> None:
    world.leadership.incarnation = 7
    world.store.member("c0", 1, recovered_view=3)
    assert not world.membership._row_is_current(7)
    assert anyio.run(world.membership._write_member)
    assert world.membership._row_is_current(7)


def test_a_restarted_coordinator_replaces_the_key_and_the_view_of_its_earlier_incarnation(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    world.leadership.incarnation = 7
    assert anyio.run(world.membership._write_member)
    anyio.run(world.membership._coordinate)
    assert world.store.tables.coordinator == ("c0", 7)
    anyio.run(world.membership._coordinate)
    assert world.store.tables.view == View(4, (Incarnation("c0", 7),))


def test_tasks_claimed_by_an_earlier_incarnation_are_unclaimed_only_after_recovery(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1111)
    job = world.store.tables.jobs[JOB]
    world.store.view(4, ("c0", 7))
    world.store.member("c0", 7, recovered_view=0)
    assert world.store.tables.unclaimed_tasks(job, world.store.tables.recovery_complete()) == 0
    world.store.member("c0", 7, recovered_view=4)
    assert world.store.tables.unclaimed_tasks(job, world.store.tables.recovery_complete()) == 0b1111


def test_a_recovered_view_whose_write_was_lost_is_stored_again(world: World) -> None:
    """Otherwise the view would never count as recovered, and claims of departed controllers would never be released."""
    world.store.member("c0", 1, recovered_view=0)
    world.membership.recovered_view = 3
    world.client.lose_answers = 3
    assert not anyio.run(world.membership._write_member)
    assert not world.membership._row_is_current(1)  # The next renewal therefore writes it.
    assert anyio.run(world.membership._write_member)
    assert world.store.tables.members["c0"].recovered_view == 3


def test_after_a_pause_no_machine_is_deleted_based_on_stale_data(world: World) -> None:
    cloud: Any = Cloud()
    scale_in = ScaleIn(world.context, cloud)
    scale_in.machines = world.machines
    members = (("c0", 1), ("c1", 2))
    name = next(f"vm-{number}" for number in range(99) if owner(f"vm-{number}", members) == "c1")
    scale_in.request_termination(name)
    world.clock.time += 2 * world.settings.controller_lease_s
    assert run_deletions(world, scale_in) == []  # Its lease has expired.
    # After the pause the controller reads that the machine has another owner.
    world.store.view(4, *members)
    advance_time(world, 0.0)
    assert run_deletions(world, scale_in) == [] and not scale_in.terminating
    world.store.view(5, ("c0", 1))
    scale_in.request_termination(name)
    assert run_deletions(world, scale_in) == [name]


def test_after_a_pause_nothing_is_answered_or_claimed_based_on_stale_data(world: World) -> None:
    world.store.job(spec(visits=1))
    world.clock.time += 2 * world.settings.controller_lease_s
    assert heartbeat(world, worker_report(3, 3)).status == 503
    assert not world.leadership.is_leader and not world.leadership.is_coordinator
    revision = world.store.revision
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert world.store.revision == revision


def test_a_controller_whose_lease_expired_joins_with_a_new_one(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """The new incarnation owns nothing until a view that contains it is written."""
    paths: list[str] = []
    replies = {"/grants/1/renew": Reply(404, b"{}"), "/grants": Reply(200, b'{"permit": 9}')}

    async def call(method: str, path: str, body: bytes | None, priority: RequestPriority) -> Reply:
        paths.append(path)
        return replies[path]

    monkeypatch.setattr(world.client, "call", call)
    anyio.run(world.membership._renew_or_join)
    assert paths == ["/grants/1/renew", "/grants"]
    assert world.leadership.own_incarnation == ("c0", 9) and world.leadership.own_incarnation.id == "c0.9"
    assert not world.leadership.is_member and not world.leadership.is_leader
    # After any other answer the lease may or may not have been renewed, so it is kept without extending it.
    replies["/grants/9/renew"] = Reply(500, b"")
    renewed_at = world.leadership.lease_renewed_at
    world.clock.time += 1.0
    anyio.run(world.membership._renew_or_join)
    assert world.leadership.incarnation == 9 and world.leadership.lease_renewed_at == renewed_at
