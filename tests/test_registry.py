"""The rules of the machine registry that prevent a task from running twice."""

from __future__ import annotations

from sloeswitch.core.machine import Attempt, Machine, TaskId
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.reconciliation import ReceivedReport, reconcile
from sloeswitch.core.worker_commands import direct_commands, heartbeat_commands
from tests.conftest import Store, spec, worker_report

JOB = "wk-000001"


def add_owned_machine(registry: MachineRegistry, token: int = 3) -> Machine:
    return registry.add_machine(
        Machine("vm-1", "127.0.0.1:9000", "small", "a", True, owned_since_token=token, lease_expires_at=100.0)
    )


def registry_with_started_task(store: Store) -> tuple[MachineRegistry, Machine]:
    """A registry whose machine was sent the start command for task 0 in the answer to heartbeat 1."""
    store.job(spec())
    store.progress(JOB, c0_1=0b1)
    registry = MachineRegistry()
    machine = add_owned_machine(registry)
    reconcile(registry, machine, ReceivedReport(worker_report(1, 3), True, 0.0, 3), store.tables)
    machine.reachable = True
    registry.add_attempt(machine, Attempt(JOB, 0, 77, spec()))
    commands = heartbeat_commands(machine, store.tables, 1)
    assert [(command.verb, command.task, command.attempt) for command in commands] == [("start", f"{JOB}/0", 77)]
    return registry, machine


def test_start_missing_from_a_command_reply_is_kept(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    # The answer to heartbeat 1 is in flight; the worker answered a direct command before receiving it.
    reconcile(registry, machine, ReceivedReport(worker_report(2, 3), False, 1.0, 3), store.tables)
    assert registry.placed_tasks[JOB] == 0b1
    assert machine.attempts[TaskId(JOB, 0)].sent_sequence == 1


def test_start_missing_from_a_later_heartbeat_is_sent_again(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    reconcile(registry, machine, ReceivedReport(worker_report(2, 3), True, 1.0, 3), store.tables)
    assert registry.placed_tasks[JOB] == 0b1
    assert [command.verb for command in heartbeat_commands(machine, store.tables, 2)] == ["start"]


def test_start_is_never_sent_by_direct_command(store: Store) -> None:
    _registry, machine = registry_with_started_task(store)
    assert direct_commands(machine) == []


def test_outdated_report_changes_nothing(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    reconcile(
        registry, machine, ReceivedReport(worker_report(5, 3, (f"{JOB}/0", 77, "running")), True, 1.0, 3), store.tables
    )
    late = reconcile(registry, machine, ReceivedReport(worker_report(4, 3), True, 2.0, 3), store.tables)
    assert not late.accepted
    assert registry.placed_tasks[JOB] == 0b1


def test_report_under_an_earlier_owners_token_is_not_trusted(store: Store) -> None:
    registry = MachineRegistry()
    machine = add_owned_machine(registry, token=3)
    result = reconcile(registry, machine, ReceivedReport(worker_report(9, 2), True, 0.0, 3), store.tables)
    assert not result.accepted and not machine.is_recovered


def test_new_agent_epoch_removes_all_attempts(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    reconcile(
        registry, machine, ReceivedReport(worker_report(2, 3, (f"{JOB}/0", 77, "running")), True, 1.0, 3), store.tables
    )
    result = reconcile(
        registry, machine, ReceivedReport(worker_report(3, 3, agent_epoch=2), True, 20.0, 3), store.tables
    )
    assert result.capacity_freed and JOB not in registry.placed_tasks


def test_done_is_cleared_only_once_it_is_stored(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    ended = (f"{JOB}/0", 77, "ended", "done")
    result = reconcile(registry, machine, ReceivedReport(worker_report(2, 3, ended), True, 1.0, 3), store.tables)
    assert result.done == [((JOB, 0), "vm-1")]
    assert heartbeat_commands(machine, store.tables, 2) == []
    store.progress(JOB, done=0b1)
    assert [command.verb for command in heartbeat_commands(machine, store.tables, 3)] == ["clear"]


def test_task_of_an_earlier_owner_is_adopted(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c1_2=0b10)
    registry = MachineRegistry()
    machine = add_owned_machine(registry)
    result = reconcile(
        registry, machine, ReceivedReport(worker_report(1, 3, (f"{JOB}/1", 5, "running")), True, 0.0, 3), store.tables
    )
    assert result.adopted == [(JOB, 1)]
    assert not registry.is_recovered(store.tables, "c0.1")  # the adoption is not stored yet
    store.progress(JOB, c0_1=0b10)
    assert registry.is_recovered(store.tables, "c0.1")


def test_reported_task_without_a_stored_claim_is_killed(store: Store) -> None:
    store.job(spec())
    registry = MachineRegistry()
    machine = add_owned_machine(registry)
    result = reconcile(
        registry, machine, ReceivedReport(worker_report(1, 3, (f"{JOB}/1", 5, "running")), True, 0.0, 3), store.tables
    )
    assert result.adopted == []
    assert [command.verb for command in heartbeat_commands(machine, store.tables, 1)] == ["kill"]


def test_pending_adoption_is_dropped_when_the_machine_is_released(store: Store) -> None:
    """Guards against a late adoption by a former owner, which would take the task from the machine's new owner."""
    store.job(spec())
    store.progress(JOB, c1_2=0b10)
    registry = MachineRegistry()
    machine = add_owned_machine(registry)
    reconcile(
        registry, machine, ReceivedReport(worker_report(1, 3, (f"{JOB}/1", 5, "running")), True, 0.0, 3), store.tables
    )
    registry.release_machine("vm-1")
    assert registry.pending_adoptions() == {}
    assert registry.handed_off_tasks[JOB] == 0b10


def test_tasks_of_a_released_machine_are_not_placed_again_and_are_pruned_once_adopted(store: Store) -> None:
    registry, _machine = registry_with_started_task(store)
    registry.release_machine("vm-1")
    assert registry.unplaced_tasks(JOB, 0b1, 0) == 0
    # The new owner has adopted the task, so this controller no longer claims it.
    store.progress(JOB, c1_2=0b1)
    registry.prune_handed_off(store.tables, "c0.1")
    assert registry.handed_off_tasks == {}


def test_silent_machine_keeps_its_tasks_until_it_is_marked_failed(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    assert registry.unplaced_tasks(JOB, 0b1, 0) == 0
    assert registry.fail_machine(machine) == [(JOB, 0)]
    assert registry.unplaced_tasks(JOB, 0b1, 0) == 0b1


def test_cancelled_start_that_was_not_sent_is_removed_at_once(store: Store) -> None:
    registry = MachineRegistry()
    machine = add_owned_machine(registry)
    registry.add_attempt(machine, Attempt(JOB, 0, 77, spec()))
    assert not registry.mark_for_kill(machine, machine.attempts[TaskId(JOB, 0)], 0.0)
    assert registry.placed_tasks == {}


def test_cancelled_start_in_flight_gets_kill_commands_until_a_heartbeat_omits_it(store: Store) -> None:
    registry, machine = registry_with_started_task(store)
    assert registry.mark_for_kill(machine, machine.attempts[TaskId(JOB, 0)], 0.0)
    assert [command.verb for command in direct_commands(machine)] == ["kill"]
    reconcile(registry, machine, ReceivedReport(worker_report(2, 3), True, 1.0, 3), store.tables)
    assert registry.placed_tasks == {}
