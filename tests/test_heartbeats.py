"""Heartbeats: lost answers, duplicated and delayed reports, and unreachable machines."""

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


def test_machine_gets_no_start_command_until_it_is_known_to_have_received_an_answer(world: World) -> None:
    world.store.job(spec())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert command_verbs(heartbeat(world, worker_report(3, 3), received=False)) == []
    assert command_verbs(heartbeat(world, worker_report(4, 3), received=True)) == ["start"] * 4


def test_unreachable_machine_loses_unsent_tasks_and_keeps_sent_tasks(world: World) -> None:
    task = start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    world.store.job(spec("wk-000002", visits=2))
    world.commit_and_place(
        ClaimRequest(task_counts={"wk-000002": 2}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert world.machines.registry.placed_tasks["wk-000002"] == 0b11
    heartbeat(world, worker_report(5, 3, (*task, "running")), received=False)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert "wk-000002" not in world.machines.registry.placed_tasks  # will be placed again
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    # The machine still reports, so its lease may be valid: the task counts as placed until a report no longer lists it.
    advance_time(world, 2.0)
    heartbeat(world, worker_report(9, 3, (*task, "running")), received=False)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    heartbeat(world, worker_report(10, 3, agent_epoch=2), received=False)
    assert JOB not in world.machines.registry.placed_tasks


def test_unreachable_machine_is_terminated_after_two_lease_periods(world: World) -> None:
    machine = world.machines.registry.machines["vm-1"]
    reasons: list[TerminationReason] = []
    world.machines.termination.drain_and_terminate = lambda machine, reason, urgent=False: reasons.append(reason)  # type: ignore[method-assign]
    sequence = 3
    for _ in range(int(2.5 * LEASE_S)):
        advance_time(world, 1.0)
        heartbeat(world, worker_report(sequence, 3), received=sequence < 5)
        sequence += 1
        world.machines.monitor.check_machine(machine, world.clock.time)
        assert bool(reasons) == (world.clock.time - machine.reachable_at > 2 * LEASE_S)
    assert reasons and set(reasons) == {TerminationReason.UNREACHABLE}


def test_only_a_prompt_report_on_the_same_connection_confirms_the_previous_answer(world: World) -> None:
    users = Users(world.context, world.jobs, world.machines)
    confirmed: list[bool] = []

    async def ask(message: HeartbeatRequest) -> Answer:
        confirmed.append(message.last_answer_received)
        return Answer(200)

    world.machines.ask = ask  # type: ignore[assignment]

    async def send_heartbeat(sequence: int, connection: dict[str, float]) -> None:
        await users.handle(Request("POST", "/agent/beat", wire.encode(worker_report(sequence, 3)), connection))

    connection: dict[str, float] = {}
    anyio.run(send_heartbeat, 3, connection)
    anyio.run(send_heartbeat, 4, connection)
    anyio.run(send_heartbeat, 5, {})
    world.clock.time += 30.0  # the next report is delayed in the network
    anyio.run(send_heartbeat, 6, connection)
    assert confirmed == [False, True, False, False]


def test_duplicate_report_does_not_renew_the_lease_and_gets_no_commands(world: World) -> None:
    start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    lease_expires_at = machine.lease_expires_at
    advance_time(world, 5.0)
    assert heartbeat(world, worker_report(3, 3)).status == 503
    assert machine.lease_expires_at == lease_expires_at and machine.last_report_at < world.clock.time
    assert world.machines.registry.placed_tasks[JOB] == 0b1


def test_report_delayed_past_the_end_of_its_lease_restores_no_tasks(world: World) -> None:
    task = start_task(world)
    machine = world.machines.registry.machines["vm-1"]
    advance_time(world, machine.lease_expires_at + 0.1 - world.clock.time)
    world.machines.monitor.check_machine(machine, world.clock.time)
    assert JOB not in world.machines.registry.placed_tasks
    # The sequence number is new, but the agent epoch has expired: the task may run elsewhere by now.
    assert heartbeat(world, worker_report(99, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks and not machine.reconciled
    assert heartbeat(world, worker_report(100, 3, agent_epoch=2), received=False).status == 200
    assert machine.reconciled and not machine.reachable


def test_report_of_an_earlier_agent_epoch_is_ignored(world: World) -> None:
    task = start_task(world)
    heartbeat(world, worker_report(1, 3, agent_epoch=2))
    assert JOB not in world.machines.registry.placed_tasks
    assert heartbeat(world, worker_report(50, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks


def test_task_reported_after_its_machine_was_accounted_for_is_killed_and_not_adopted(world: World) -> None:
    world.store.job(spec(visits=1))
    world.store.progress(JOB, c1_9=0b1)
    answer = heartbeat(world, worker_report(3, 3, (f"{JOB}/0", 5, "running")))
    assert command_verbs(answer) == ["kill"] and JOB not in world.machines.registry.placed_tasks
    assert not world.machines.registry.adopting


def test_duplicate_report_does_not_show_that_a_start_command_was_lost(world: World) -> None:
    world.store.job(spec(visits=1))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert command_verbs(heartbeat(world, worker_report(3, 3))) == ["start"]
    heartbeat(world, worker_report(2, 3))
    heartbeat(world, worker_report(3, 3))
    (attempt,) = world.machines.registry.machines["vm-1"].attempts.values()
    assert attempt.sent_sequence == 3


def test_delayed_report_of_a_deleted_machine_is_refused_and_unreconciled_after_a_restart(world: World) -> None:
    world.store.put(keys.machine_key("vm-1"), None)
    assert heartbeat(world, worker_report(9, 3)).status == 503
    # A restarted controller does not know of the deletion. The report has an earlier token and is not applied.
    world.store.tables.deleted_machines.clear()
    world.machines.registry.reset()
    world.store.view(4, ("c0", 1))
    world.machines.ownership.followed_view = 0
    assert heartbeat(world, worker_report(10, 3)).status == 200
    machine = world.machines.registry.machines["vm-1"]
    assert not machine.reconciled and not world.machines.registry.is_schedulable(machine)


def test_report_with_one_malformed_task_is_refused_and_logged_once(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    tasks = [(f"{JOB}/{index}", 1, "running") for index in range(300)]
    for sequence in range(3, 9):
        assert heartbeat(world, worker_report(sequence, 3, *tasks, ("nonsense", 1, "running"))).status == 400
    assert sum("vm-1" in record.getMessage() for record in caplog.records) == 1
    assert heartbeat(world, worker_report(9, 3)).status == 200
