"""Machines that hang, are unreachable or cannot report, with and without cancelled tasks on them."""

from __future__ import annotations

import anyio
import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.core import keys
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.machine import Machine
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import (
    JOB,
    World,
    advance_time,
    apply_sibling_status,
    heartbeat,
    run_deletions,
    start_task,
    world_with_scale_in,
)


@pytest.fixture
def world(store: Store) -> World:
    return world_with_scale_in(store)


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


def store_cancellation(world: World, at: float | None = None) -> None:
    """Stores the job as cancelled, with the time of the cancellation if one is given."""
    value = dict(world.store.rows[keys.job_key(JOB)][0], s=JobState.CANCELLED)
    world.store.put(keys.job_key(JOB), value if at is None else {**value, "x": int(at * 1000)})


def check_machine(world: World) -> None:
    """Checks cancelled tasks and the machine as a tick does, but sends no direct command."""
    vm = machine(world)
    reconciled, vm.reconciled = vm.reconciled, False
    world.machines.cancelled_tasks.stop_all()
    vm.reconciled = reconciled
    world.machines.monitor.cancellation_overdue = world.machines.cancellations.refresh_overdue_jobs(
        world.clock.wall_clock_ms()
    )
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines.monitor.check_machine(vm, world.clock.time)


def deleted(world: World) -> list[str]:
    assert isinstance(world.machines.termination.autoscaler, ScaleIn)
    world.machines.termination.autoscaler.wake = anyio.Event()  # each run of an event loop needs its own event
    return run_deletions(world, world.machines.termination.autoscaler)


@pytest.mark.parametrize("outage", [False, True])
def test_hung_machine_with_a_cancelled_task_is_deleted_in_time(world: World, outage: bool) -> None:
    """Covers an outage of the state service, and a machine whose lease has expired in the registry."""
    start_task(world)
    store_cancellation(world)
    log = CancellationLog(10, 9)
    overdue_s = OVERDUE_SHARE * world.settings.cancel_s
    since = world.clock.time
    check_machine(world)
    while world.clock.time - since < overdue_s - 1:
        if outage:
            world.clock.time += 1.0
            apply_sibling_status(log, world)
        else:
            advance_time(world, 1.0)
        check_machine(world)
    assert world.leadership.may_answer_workers and world.leadership.is_leader != outage
    assert JOB not in world.machines.registry.placed_tasks  # its lease has expired in the registry
    assert deleted(world) == []
    world.clock.time += 2.0
    if outage:
        apply_sibling_status(log, world)
    else:
        advance_time(world, 0.0)
    check_machine(world)
    assert deleted(world) == ["vm-1"]
    assert world.clock.time - since < 0.6 * world.settings.cancel_s


def test_machine_that_ended_the_cancelled_task_is_not_deleted(world: World) -> None:
    task = start_task(world)
    store_cancellation(world)
    check_machine(world)
    assert machine(world).cancelled_since is not None
    advance_time(world, 1.0)
    heartbeat(world, worker_report(5, 3, (*task, "running")))
    assert machine(world).cancelled_since is not None
    heartbeat(world, worker_report(6, 3, (*task, "ended", "halted")))
    assert machine(world).cancelled_since is None
    advance_time(world, world.settings.cancel_s)
    heartbeat(world, worker_report(7, 3))
    check_machine(world)
    assert deleted(world) == []


def test_new_owner_measures_the_wait_from_the_stored_time_of_the_cancellation(world: World) -> None:
    start_task(world)
    store_cancellation(world, at=world.clock.time - 0.4 * world.settings.cancel_s)
    check_machine(world)
    advance_time(world, 0.2 * world.settings.cancel_s)
    check_machine(world)
    assert deleted(world) == ["vm-1"]


def test_hung_machine_with_a_cancelled_task_is_deleted_in_time_although_its_owner_changes_repeatedly(
    world: World,
) -> None:
    """Guards against a deletion that is delayed at each change, because each new owner first waits for silence."""
    start_task(world)
    store_cancellation(world, at=world.clock.time)
    since = world.clock.time
    while world.clock.time - since < world.settings.cancel_s:
        machine(world).cancelled_since = None
        lease_expires_at = world.clock.time + world.settings.takeover_expiry_s
        world.machines.registry.mark_unreconciled(machine(world), 3, lease_expires_at)
        for _ in range(3):
            advance_time(world, 1.0)
            check_machine(world)
    assert deleted(world) == ["vm-1"]


@pytest.mark.parametrize("overdue", [True, False])
def test_silent_machine_that_was_taken_over_is_deleted_once_a_cancellation_is_overdue(
    world: World, overdue: bool
) -> None:
    """Guards against a hung machine with a cancelled task that no controller deletes.

    It gets another owner, which does not know the tasks on it, and the state service is down.
    """
    start_task(world)
    machine(world).cancelled_since = None
    world.machines.registry.mark_unreconciled(machine(world), 3, world.clock.time + world.settings.takeover_expiry_s)
    store_cancellation(world, at=world.clock.time - (0.6 if overdue else 0.1) * world.settings.cancel_s)
    log = CancellationLog(10, 9)
    for _ in range(5):
        world.clock.time += 1.0
        apply_sibling_status(log, world)
        check_machine(world)
    assert world.leadership.may_answer_workers
    assert deleted(world) == (["vm-1"] if overdue else [])


def test_cancellation_is_stored_with_its_time(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1)
    assert anyio.run(world.jobs.cancel, JOB) == "withdrawn"
    assert world.store.tables.jobs[JOB].cancelled_ms > 0


def test_controller_that_may_not_answer_machines_deletes_none(world: World) -> None:
    """Guards against deletions by a controller that was suspended: the machine may have another owner's tasks now."""
    start_task(world)
    store_cancellation(world)
    check_machine(world)
    world.clock.time += world.settings.cancel_s
    check_machine(world)
    assert deleted(world) == []
    advance_time(world, 0.0)
    assert deleted(world) == []  # no deletion was requested before the lease was renewed


def test_machine_that_answers_commands_but_sends_no_heartbeats_gets_no_tasks_and_is_terminated(world: World) -> None:
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines._tick()
    world.store.job(spec())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert JOB in world.machines.registry.placed_tasks
    sequence = 10
    started_at = world.clock.time
    while not deleted(world):
        advance_time(world, 1.0)
        sequence += 1
        # Its lease expires repeatedly, since direct commands do not renew it.
        agent_epoch = 1 + int((world.clock.time - started_at) // (world.settings.lease_s + 1))
        world.machines.heartbeats.apply_command_reply(worker_report(sequence, 3, agent_epoch=agent_epoch))
        world.machines._tick()
        # Its replies look healthy, but tasks that were placed on it and not sent can be placed elsewhere.
        assert (JOB in world.machines.registry.placed_tasks) == (world.clock.time - started_at < 3.0)
        assert world.clock.time - started_at < 3 * world.settings.lease_s
    assert world.clock.time - started_at > 2 * world.settings.lease_s


def test_no_machine_is_terminated_after_an_outage_for_heartbeats_that_could_not_be_answered(world: World) -> None:
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines._tick()
    for _ in range(5 * int(world.settings.lease_s)):
        world.clock.time += 1.0
        world.machines._tick()
    advance_time(world, 0.0)
    world.machines.heartbeats.apply_command_reply(worker_report(90, 3, agent_epoch=5))
    world.machines._tick()
    advance_time(world, 2.0)
    world.machines._tick()
    assert deleted(world) == []


def test_machine_registered_after_its_deletion_is_monitored(world: World) -> None:
    world.store.put(keys.machine_group_key("c0.1.9"), {"m": {"vm-8": ["127.0.0.1:9008", "small", "a", True]}})
    advance_time(world, 100.0)
    world.machines._tick()
    assert not world.machines.registry.machines["vm-8"].is_recovered
    for _ in range(4):
        advance_time(world, 10.0)
        world.machines.commands.failures["vm-8"] = 2
        world.machines.monitor.next_check_at = 0.0
        world.machines._tick()
    assert "vm-8" in deleted(world)
