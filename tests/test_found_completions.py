"""Completions found on machines at a takeover: each is settled before recovery is complete, and recovery completes.

Once the view is recovered, another controller may void the former owner's claim and start the task again.
"""

from __future__ import annotations

import anyio
import pytest

from sloeswitch.actors.commands import CommandReply
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.membership import ShardRecovered
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.wire import WorkerReport
from tests.conftest import Store, spec, worker_report
from tests.support.completion_world import simulate
from tests.support.fleet import FleetWorld
from tests.support.single_controller import JOB, World, advance_time, heartbeat, state_outage, submit

ENDED = (f"{JOB}/0", 5, "ended", "done")


class Takeover(World):
    """Controller c0.1 takes over vm-1 from the departed c1.9; vm-1 has completed task 0 of a job that c1.9 claims."""

    def __init__(self, store: Store, grouped: bool = True) -> None:
        super().__init__(store)
        if grouped:
            store.put_complete_layout()
        store.member("c0", 1, recovered_view=2)
        store.put(keys.machine_key("vm-1"), {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True})
        store.job(spec(visits=3))
        store.progress(JOB, c1_9=0b011)
        store.put(keys.quota_key("red"), {"c1.9": [4.0, 0.0]})
        self.machines.ownership.follow_view()

    def report_tasks(self, *tasks: tuple[object, ...], token: int = 3, name: str = "vm-1") -> None:
        """Sends two heartbeats of the machine, the first under an older token, as after any takeover."""
        self.heartbeat(worker_report(1, 0, *tasks, name=name))
        self.heartbeat(worker_report(2, token, *tasks, name=name))

    def recovered_views(self) -> list[int]:
        """The views whose recovery is reported now."""
        self.membership._inbox.clear()
        self.machines._report_recovery()
        return [message.view_number for message in self.membership._inbox if isinstance(message, ShardRecovered)]

    def commit(self) -> None:
        """Lets the jobs actor handle its messages and commit one round."""
        while self.jobs._inbox:
            anyio.run(self.jobs.handle, self.jobs._inbox.popleft())
        self.commit_and_place()

    def is_settled(self) -> bool:
        """Whether, by the stored rows, no controller may start the task any more."""
        progress = self.store.read_again().jobs[JOB].progress
        return bool((progress.done | progress.claims.get("c0.1", 0)) & 0b001)

    def assert_settled_under_the_next_view(self) -> None:
        """Starts the next view before any write; it is recovered only once the completion is settled."""
        self.store.view(4, ("c0", 1))
        self.machines.ownership.follow_view()
        self.machines.task_updates.send()
        assert self.recovered_views() == []
        self.commit()
        assert self.is_settled() and self.recovered_views() == [4]


@pytest.mark.parametrize("seed", [2, 3, 4, 5, 7, 8])
def test_no_completed_task_is_started_again_while_controllers_restart(seed: int) -> None:
    """Guards against a completion that is stored after its view is recovered, so that its task runs again.

    Each of these seeds has reproduced this fault.
    """
    world = simulate(seed)
    assert world.starts > 50 and len(world.kept_completions) > 10 and world.event_counts["restart"] > 5


@pytest.mark.parametrize("grouped", [True, False])
@pytest.mark.parametrize("by_command", [True, False])
def test_found_completion_is_settled_by_the_transaction_that_stores_adoptions(
    store: Store, grouped: bool, by_command: bool
) -> None:
    """Guards against a recovery that is reported before other controllers can read the completion."""
    world = Takeover(store, grouped)
    if by_command:
        anyio.run(world.machines.handle, CommandReply(worker_report(2, 3, ENDED)))
    else:
        world.report_tasks(ENDED)
    assert world.recovered_views() == [] and not world.is_settled()
    world.commit()
    assert world.is_settled() and world.recovered_views() == [3]


def test_completions_of_many_jobs_are_settled_in_few_changes() -> None:
    """Guards against a recovery that waits for one change per job with a completion."""
    outcome = FleetWorld(1000).recover_with_completions()
    assert outcome.transactions == 1 and outcome.changes == 2


@pytest.mark.parametrize("grouped", [True, False])
def test_found_completion_transfers_no_quota_allocation(store: Store, grouped: bool) -> None:
    """Guards against a running task without quota: its former owner reused the completed task's quota for it."""
    world = Takeover(store, grouped)
    world.report_tasks(ENDED, (f"{JOB}/1", 5, "running"))
    world.commit()
    allocations = store.tables.quota_allocations["red"]
    assert allocations["c0.1"] == (2.0, 0.0) and allocations["c1.9"] == (2.0, 0.0)


def test_adopted_completed_task_is_not_started_by_its_new_owner(store: Store) -> None:
    world = Takeover(store)
    world.report_tasks(ENDED)
    world.commit()
    world.machines._tick()
    assert world.machines.task_updates.unplaced_tasks(store.tables.jobs[JOB]) == 0
    assert JOB not in world.machines.registry.placed_tasks


@pytest.mark.parametrize("case", ["ended", "cancelled", "unknown", "unclaimed"])
def test_completion_whose_task_cannot_start_again_does_not_delay_the_recovery(store: Store, case: str) -> None:
    """Guards against a view that is never recovered."""
    world = Takeover(store)
    if case == "unclaimed":
        store.progress(JOB)
    world.report_tasks(ENDED)
    if case == "ended":
        store.put(keys.job_key(JOB), {"s": JobState.DONE, "n": 3, "t": 0})
    elif case == "cancelled":
        store.put(keys.job_key(JOB), {**store.rows[keys.job_key(JOB)][0], "s": JobState.CANCELLED, "x": 1})
    elif case == "unknown":
        store.tables.jobs.pop(JOB)
    assert world.recovered_views() == [3]


def test_completion_whose_row_is_too_large_does_not_block_the_recovery(store: Store) -> None:
    """Guards against a view that is never recovered, while some controllers cannot read adoption rows yet."""
    world = Takeover(store, grouped=False)
    world.client.max_value_bytes = 20
    world.report_tasks(ENDED)
    assert world.recovered_views() == []
    world.commit()
    assert world.recovered_views() == [3]
    world.client.max_value_bytes = 2048
    world.commit()
    assert store.tables.jobs[JOB].progress.done == 0b001 and not world.jobs.oversized_jobs


def test_lost_answer_delays_the_recovery_but_does_not_prevent_it(store: Store) -> None:
    world = Takeover(store)
    world.report_tasks(ENDED)
    world.client.lose_answers = 1
    world.commit()
    assert world.recovered_views() == []
    for _ in range(3):
        world.commit()
    assert world.is_settled() and world.recovered_views() == [3]


def test_completion_after_the_adoption_does_not_delay_the_recovery(store: Store) -> None:
    """Guards against a recovery that never completes because tasks complete all the time."""
    world = Takeover(store)
    world.report_tasks((f"{JOB}/0", 5, "running"))
    world.commit()
    world.heartbeat(worker_report(3, 3, ENDED))
    assert not store.tables.jobs[JOB].progress.done and world.recovered_views() == [3]


def test_task_that_completes_before_its_adoption_is_stored_is_still_adopted(store: Store) -> None:
    """The adoption also holds under the next view, because the machine still lists the task."""
    world = Takeover(store)
    world.report_tasks((f"{JOB}/0", 5, "running"))
    world.heartbeat(worker_report(3, 3, ENDED))
    world.assert_settled_under_the_next_view()


def test_completion_is_settled_under_the_next_view_if_the_view_changes_during_recovery(store: Store) -> None:
    """Guards against an adoption that is lost when its view ends."""
    world = Takeover(store)
    world.report_tasks(ENDED)
    world.assert_settled_under_the_next_view()


def test_completion_is_left_to_the_next_owner_if_its_machine_moves_during_recovery(store: Store) -> None:
    """Guards against an adoption by a controller that no longer owns the machine; the new owner would wait for it."""
    world = Takeover(store)
    world.report_tasks(ENDED)
    world.machines.registry.release_machine("vm-1")
    assert world.machines.registry.pending_adoptions() == {}
    assert world.machines.registry.unsettled_completions(store.tables, "c0.1") == {}


def test_outage_during_recovery_delays_it_until_the_outage_ends(store: Store) -> None:
    world = Takeover(store)
    world.report_tasks(ENDED)
    state_outage(world)
    world.machines._tick()
    assert not world.leadership.is_leader and not world.membership._inbox
    advance_time(world, 0.0)
    assert world.recovered_views() == []
    world.commit()
    assert world.is_settled() and world.recovered_views() == [3]


def test_completion_is_found_again_by_a_new_incarnation_if_the_process_ends_during_recovery(store: Store) -> None:
    """The machine lists the task until it is stored as done; the new incarnation starts with an empty registry."""
    world = Takeover(store)
    world.report_tasks(ENDED)
    store.view(4, ("c0", 2))
    store.member("c0", 2, recovered_view=3)
    world.leadership.incarnation = 2
    world.machines.ownership.follow_view()
    assert not world.machines.registry.found_completions and world.recovered_views() == []
    world.report_tasks(ENDED, token=4)
    assert world.recovered_views() == []
    world.commit()
    assert store.tables.jobs[JOB].progress.claims["c0.2"] & 1 and world.recovered_views() == [4]


def test_failed_task_found_on_a_machine_is_not_adopted(store: Store) -> None:
    """The task has to be started again, so recovery may void the former owner's claim."""
    world = Takeover(store)
    world.report_tasks((f"{JOB}/0", 5, "ended", "error"))
    assert world.recovered_views() == [3] and not world.machines.registry.found_completions
    assert world.machines.health.consecutive_failures == {"vm-1": 1}


MALFORMED = (f"{JOB}/0", 5, "asleep")


@pytest.mark.parametrize(
    "late",
    [
        worker_report(2, 3, ENDED),
        worker_report(1, 3, (f"{JOB}/1", 5, "ended", "done")),
        worker_report(9, 0, (f"{JOB}/1", 5, "ended", "done")),
        worker_report(9, 3, MALFORMED),
    ],
)
def test_duplicated_delayed_and_malformed_reports_change_nothing(store: Store, late: WorkerReport) -> None:
    world = Takeover(store)
    world.report_tasks(ENDED)
    before = dict(world.machines.registry.found_completions), dict(world.machines.task_updates.unstored_done)
    for _ in range(2):
        heartbeat(world, late)
    after = dict(world.machines.registry.found_completions), dict(world.machines.task_updates.unstored_done)
    assert before == after == ({JOB: 0b001}, {JOB: 0b001})


def test_completion_reported_by_a_second_machine_of_this_controller_is_not_adopted(store: Store) -> None:
    """The controller has already adopted the task from vm-1; the completion from vm-2 is valid all the same."""
    world = Takeover(store)
    assert submit(world, "wk-000002", visits=1) == 201
    world.report_tasks((f"{JOB}/0", 5, "running"))
    store.put(keys.machine_key("vm-2"), {"a": "127.0.0.1:9001", "t": "small", "z": "a", "s": True})
    world.machines.ownership.add_missing_machines(set())
    world.report_tasks(ENDED, name="vm-2")
    assert not world.machines.registry.found_completions
    world.commit()
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(2.0, 0.0)}))
    assert world.recovered_views() == [3]
