"""Reconciliation of reports with the records of a machine."""

from __future__ import annotations

import pytest

from sloeswitch.core.machine import REPORTED_STATES, Attempt, AttemptKey, AttemptState, Machine, TaskId
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.reconciliation import ReceivedReport, ReconcileResult, is_outdated, reconcile
from sloeswitch.wire import MalformedError
from tests.conftest import Store, spec, worker_report

JOB = "wk-000001"
TOKEN = 3
RUNNING = (f"{JOB}/0", 77, "running")
UNKNOWN = (f"{JOB}/3", 5, "running")


class Reports:
    """A machine whose first report, with sequence 1, listed attempt 77 of task 0 as running."""

    def __init__(self, store: Store) -> None:
        store.job(spec())
        store.progress(JOB, c0_1=0b1)
        self.tables = store.tables
        self.registry = MachineRegistry()
        self.machine = self.registry.add_machine(
            Machine("vm-1", "127.0.0.1:9000", "small", "a", True, owned_since_token=TOKEN)
        )
        self.registry.add_attempt(self.machine, Attempt(JOB, 0, 77, spec(), sent_sequence=0))
        self.sequence = 0
        self.receive(RUNNING)

    def receive(self, *tasks: tuple[object, ...], agent_epoch: int = 1, is_heartbeat: bool = True) -> ReconcileResult:
        self.sequence += 1
        message = worker_report(self.sequence, TOKEN, *tasks, agent_epoch=agent_epoch)
        received = ReceivedReport(message, is_heartbeat, float(self.sequence), TOKEN)
        return reconcile(self.registry, self.machine, received, self.tables)


@pytest.fixture
def reports(store: Store) -> Reports:
    return Reports(store)


def test_unchanged_report_only_updates_the_last_report_time(reports: Reports) -> None:
    before = dict(reports.machine.attempts)
    assert reports.receive(RUNNING) == ReconcileResult(accepted=True)
    assert reports.machine.attempts == before and reports.machine.last_report_at == 2.0


def test_a_reply_to_a_command_counts_as_contact_and_not_as_a_heartbeat(reports: Reports) -> None:
    reports.receive(RUNNING, is_heartbeat=False)
    assert reports.machine.last_report_at == 2.0 and reports.machine.last_heartbeat_at == 1.0


def test_time_of_the_first_running_report_and_last_used_image_are_kept(reports: Reports) -> None:
    attempt = reports.machine.attempts[TaskId(JOB, 0)]
    reports.machine.images["img-other"] = None
    reports.receive((f"{JOB}/0", 77, "flushing"))
    assert attempt.running_at == 1.0 and attempt.state == AttemptState.FLUSHING
    assert list(reports.machine.images)[-1] == spec().image


@pytest.mark.parametrize("bad", [(f"{JOB}/1", 5, "pending"), (f"{JOB}/1", 5, "asleep"), ("nonsense", 5, "running")])
def test_malformed_report_changes_nothing(reports: Reports, bad: tuple[object, ...]) -> None:
    with pytest.raises(MalformedError):
        reports.receive((f"{JOB}/0", 77, "ended", "done"), bad)
    assert reports.machine.report_sequence == 1 and TaskId(JOB, 0) in reports.machine.attempts
    assert "pending" not in REPORTED_STATES


def test_tasks_listed_after_a_worker_restart_are_foreign(reports: Reports) -> None:
    result = reports.receive(RUNNING, agent_epoch=2)
    assert result.capacity_freed and not result.adopted and reports.registry.placed_tasks == {}
    assert list(reports.machine.foreign_attempts) == [AttemptKey(f"{JOB}/0", 77)]


def test_foreign_attempts_are_those_of_the_last_report(reports: Reports) -> None:
    reports.receive(RUNNING, UNKNOWN)
    assert list(reports.machine.foreign_attempts) == [AttemptKey(f"{JOB}/3", 5)]
    reports.receive(RUNNING)
    assert not reports.machine.foreign_attempts


def test_end_of_an_attempt_is_returned_once_and_kept_until_the_worker_clears_it(reports: Reports) -> None:
    ended = (f"{JOB}/0", 77, "ended", "error")
    first = reports.receive(ended)
    assert first.failed == [((JOB, 0), "vm-1")] and first.capacity_freed
    assert reports.receive(ended).failed == []
    assert list(reports.machine.ended_attempts) == [AttemptKey(f"{JOB}/0", 77)]
    reports.receive()
    assert not reports.machine.ended_attempts


def test_cancelled_since_is_reset_once_no_attempt_is_left_to_kill(reports: Reports) -> None:
    reports.machine.cancelled_since = 1.0
    reports.registry.mark_for_kill(reports.machine, reports.machine.attempts[TaskId(JOB, 0)], 0.0)
    reports.receive(RUNNING)
    assert reports.machine.cancelled_since == 1.0
    reports.receive()
    assert reports.machine.cancelled_since is None


def test_reports_of_an_expired_epoch_are_outdated_whatever_their_sequence(reports: Reports) -> None:
    reports.registry.expire_lease(reports.machine)
    assert is_outdated(reports.machine, worker_report(99, TOKEN, RUNNING))
    assert not is_outdated(reports.machine, worker_report(1, TOKEN, agent_epoch=2))


def test_unchanged_report_resets_cancelled_since_if_no_attempt_is_to_be_killed(reports: Reports) -> None:
    reports.machine.cancelled_since = 1.0
    reports.receive(RUNNING)
    assert reports.machine.cancelled_since is None


def test_task_placed_on_another_machine_of_this_controller_is_not_adopted(reports: Reports) -> None:
    other_machine = Machine("vm-2", "127.0.0.1:9001", "small", "a", True, owned_since_token=TOKEN)
    reports.registry.add_machine(other_machine)
    received = ReceivedReport(worker_report(1, TOKEN, RUNNING, name="vm-2"), True, 2.0, TOKEN)
    assert reconcile(reports.registry, other_machine, received, reports.tables).adopted == []
    assert list(other_machine.foreign_attempts) == [AttemptKey(f"{JOB}/0", 77)]
