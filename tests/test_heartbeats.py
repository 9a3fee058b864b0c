"""Heartbeats: lost answers, late copies, and machines that are unreachable."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
import anyio.lowlevel
import pytest

from sloeswitch import wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.machine_termination import TerminationReason
from sloeswitch.actors.users import Users
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.http import Answer, Request
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import (
    JOB,
    World,
    advance_time,
    command_verbs,
    heartbeat,
    register_machine,
    start_task,
)

LEASE_S = 10.0


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def test_no_start_command_goes_to_a_machine_not_seen_to_have_received_an_answer(world: World) -> None:
    world.store.job(spec())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert command_verbs(heartbeat(world, worker_report(3, 3), received=False)) == []
    assert command_verbs(heartbeat(world, worker_report(4, 3), received=True)) == ["start"] * 4


def test_tasks_never_sent_are_placed_elsewhere_and_tasks_sent_count_as_present(world: World) -> None:
    task = start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    world.store.job(spec("wk-000002", visits=2))
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000002": 2}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert world.machines.registry.placed_tasks["wk-000002"] == 0b11
    heartbeat(world, worker_report(5, 3, (*task, "running")), received=False)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert "wk-000002" not in world.machines.registry.placed_tasks  # to be placed again
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    # Its reports go on, so its lease may be alive: it counts until it is reported gone.
    advance_time(world, 2.0)
    heartbeat(world, worker_report(9, 3, (*task, "running")), received=False)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    heartbeat(world, worker_report(10, 3, agent_epoch=2), received=False)
    assert JOB not in world.machines.registry.placed_tasks


def test_an_unreachable_machine_is_terminated_after_two_leases(world: World) -> None:
    machine = world.machines.registry.machines["vm-1"]
    reasons: list[TerminationReason] = []
    world.machines.termination.drain_and_scale_in = lambda machine, reason, pressing=False: reasons.append(reason)  # type: ignore[method-assign]
    serial = 3
    for _ in range(int(2.5 * LEASE_S)):
        advance_time(world, 1.0)
        heartbeat(world, worker_report(serial, 3), received=serial < 5)
        serial += 1
        world.machines.monitor.check_machine(machine, world.clock.time)
        assert bool(reasons) == (world.clock.time - machine.reachable_at > 2 * LEASE_S)
    assert reasons and set(reasons) == {TerminationReason.UNREACHABLE}


def test_only_a_prompt_report_on_the_same_connection_shows_that_an_answer_came(world: World) -> None:
    users = Users(world.context, world.jobs, world.machines)
    seen: list[bool] = []

    async def ask(message: HeartbeatRequest) -> Answer:
        seen.append(message.last_answer_received)
        return Answer(200)

    world.machines.ask = ask  # type: ignore[assignment]

    async def talk(serial: int, connection: dict[str, float]) -> None:
        await users.handle(Request("POST", "/agent/beat", wire.encode(worker_report(serial, 3)), connection))

    connection: dict[str, float] = {}
    anyio.run(talk, 3, connection)
    anyio.run(talk, 4, connection)
    anyio.run(talk, 5, {})
    world.clock.time += 30.0  # held up on the way
    anyio.run(talk, 6, connection)
    assert seen == [False, True, False, False]


def test_a_late_copy_renews_no_lease_and_gets_no_commands(world: World) -> None:
    start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    gone_at = machine.lease_expires_at
    advance_time(world, 5.0)
    assert heartbeat(world, worker_report(3, 3)).status == 503
    assert machine.lease_expires_at == gone_at and machine.last_report_at < world.clock.time
    assert world.machines.registry.placed_tasks[JOB] == 0b1


def test_a_report_held_up_beyond_its_lease_revives_nothing(world: World) -> None:
    task = start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    advance_time(world, machine.lease_expires_at + 0.1 - world.clock.time)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert JOB not in world.machines.registry.placed_tasks
    # A sequence number never seen, of the agent epoch that is over: the task may run elsewhere by now.
    assert heartbeat(world, worker_report(99, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks and not machine.reconciled
    assert heartbeat(world, worker_report(100, 3, agent_epoch=2), received=False).status == 200
    assert machine.reconciled and not machine.reachable


def test_a_copy_from_an_earlier_agent_epoch_is_ignored(world: World) -> None:
    task = start_task(world)
    heartbeat(world, worker_report(1, 3, agent_epoch=2))
    assert JOB not in world.machines.registry.placed_tasks
    assert heartbeat(world, worker_report(50, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks


def test_a_task_reported_after_its_machine_was_accounted_for_is_stopped_not_adopted(world: World) -> None:
    world.store.job(spec(visits=1))
    world.store.progress(JOB, c1_9=0b1)
    answer = heartbeat(world, worker_report(3, 3, (f"{JOB}/0", 5, "running")))
    assert command_verbs(answer) == ["kill"] and JOB not in world.machines.registry.placed_tasks
    assert not world.machines.registry.adopting


def test_a_copy_is_no_evidence_that_a_start_was_not_carried_out(world: World) -> None:
    world.store.job(spec(visits=1))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert command_verbs(heartbeat(world, worker_report(3, 3))) == ["start"]
    heartbeat(world, worker_report(2, 3))
    heartbeat(world, worker_report(3, 3))
    (attempt,) = world.machines.registry.machines["vm-1"].attempts.values()
    assert attempt.sent_sequence == 3


def test_a_copy_from_a_deleted_machine_is_refused_also_after_a_restart(world: World) -> None:
    world.store.put(keys.machine_key("vm-1"), None)
    assert heartbeat(world, worker_report(9, 3)).status == 503
    # A restarted controller does not remember it; the copy bears an earlier token and counts for nothing.
    world.store.tables.deleted_machines.clear()
    world.machines.registry.reset()
    world.store.view(4, ("c0", 1))
    world.machines.ownership.followed_view = 0
    assert heartbeat(world, worker_report(10, 3)).status == 200
    machine = world.machines.registry.machines["vm-1"]
    assert not machine.reconciled and not world.machines.registry.is_schedulable(machine)


def test_a_report_with_one_bad_entry_among_hundreds_is_refused_and_named_once(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    tasks = [(f"{JOB}/{index}", 1, "running") for index in range(300)]
    for serial in range(3, 9):
        assert heartbeat(world, worker_report(serial, 3, *tasks, ("nonsense", 1, "running"))).status == 400
    assert sum("vm-1" in record.getMessage() for record in caplog.records) == 1
    assert heartbeat(world, worker_report(9, 3)).status == 200
