"""Decisions of the jobs and the machines actor, with a scripted state service and a manual clock."""

from __future__ import annotations

import time
from collections.abc import Iterator

import anyio
import pytest

from sloeswitch import controller, wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import TaskUpdates
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import JOB, World, attach_mesh, register_machine


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    yield World(store)


def test_claim_and_quota_allocation_are_stored_before_any_start(world: World) -> None:
    register_machine(world)
    world.store.job(spec())
    assert world.heartbeat(worker_report(3, 3)).commands == []
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b1111}
    assert world.store.tables.quota_allocations["red"] == {"c0.1": (8.0, 0.0)}
    assert [order.verb for order in world.heartbeat(worker_report(4, 3)).commands] == ["start"] * 4


def test_claimed_tasks_start_only_within_the_quota_allocation(world: World) -> None:
    register_machine(world)
    world.store.job(spec())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(5.0, 0.0)}))
    assert len(world.heartbeat(worker_report(3, 3)).commands) == 2


def test_no_claim_is_committed_under_an_outdated_view(world: World) -> None:
    world.store.job(spec())
    outdated_conditions = world.leadership.view_conditions()
    world.store.view(4, ("c0", 1), ("c1", 2))
    world.leadership.view_conditions = lambda: outdated_conditions  # type: ignore[method-assign]
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}))
    assert world.store.tables.jobs[JOB].progress.claims == {}


def test_nothing_is_claimed_without_the_controller_lease(world: World) -> None:
    world.store.job(spec())
    world.clock.time += world.settings.controller_lease_s
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}))
    assert world.store.tables.jobs[JOB].progress.claims == {}


def test_without_the_lease_heartbeats_are_answered_only_if_every_sibling_confirms_the_view(world: World) -> None:
    register_machine(world)
    mesh = attach_mesh(world)
    world.clock.time += world.settings.controller_lease_s
    refused = HeartbeatRequest(report=worker_report(3, 3))
    anyio.run(world.machines.handle, refused)
    assert refused.answer.status == 503
    mesh.peers["c1"].requested_at, mesh.peers["c1"].view_number, mesh.peers["c1"].cancellations_complete = (
        world.clock.time,
        3,
        True,
    )
    world.heartbeat(worker_report(4, 3))
    mesh.peers["c1"].view_number = 4
    refused = HeartbeatRequest(report=worker_report(5, 3))
    anyio.run(world.machines.handle, refused)
    assert refused.answer.status == 503


def test_claim_committed_after_its_answer_was_lost_is_used(world: World) -> None:
    register_machine(world)
    world.store.job(spec())
    world.client.lose_answers = 1
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    assert world.heartbeat(worker_report(3, 3)).commands == []
    world.client.apply(*world.client.lost_transactions[0])
    world.machines.task_placement.place_unplaced()
    assert len(world.heartbeat(worker_report(4, 3)).commands) == 4


def test_task_is_not_started_again_before_its_completion_is_stored(world: World) -> None:
    """Guards against starting a completed task again while its completion is not stored yet.

    The task has left the machine and its claim is still stored, so that it could be taken for a task to place.
    """
    register_machine(world)
    world.store.job(spec(visits=1))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    start = world.heartbeat(worker_report(3, 3)).commands[0]
    answer = world.heartbeat(worker_report(4, 3, (start.task, start.attempt, "ended", "done")))
    assert answer.commands == []  # no start, and no clear before the completion is stored
    world.send_task_updates(TaskUpdates(done={JOB: 1}))
    world.clock.time += 1.0
    world.commit_and_place()
    assert world.store.tables.finished_jobs[JOB][:2] == (JobState.DONE, 1)
    cleared = world.heartbeat(worker_report(5, 3, (start.task, start.attempt, "ended", "done")))
    assert [order.verb for order in cleared.commands] == ["clear"]


def test_completions_of_one_heartbeat_are_sent_in_one_message(world: World) -> None:
    register_machine(world)
    world.store.job(spec(visits=2000, cores=0.001, memoryGb=0.0))
    world.store.progress(JOB, c1_9=(1 << 2000) - 1)
    ended = [(f"{JOB}/{index}", 5, "ended", "done") for index in range(2000)]
    world.heartbeat(worker_report(3, 3, *ended))
    assert len(world.jobs._inbox) == 1


def test_a_completion_after_the_cancellation_does_not_change_the_status(world: World) -> None:
    world.store.job(spec(visits=1))
    world.store.progress(JOB, c0_1=0b1)
    assert anyio.run(world.jobs.cancel, JOB) == wire.JobStatus.CANCELLED
    world.send_task_updates(TaskUpdates(done={JOB: 1}))
    world.clock.time += 1.0
    world.commit_and_place()
    assert world.jobs.status(JOB) == wire.JobStatus.CANCELLED


def test_a_done_job_stays_done_when_cancelled(world: World) -> None:
    world.store.job(spec(visits=1))
    world.store.put(keys.job_key(JOB), {"s": JobState.DONE, "n": 1})
    assert anyio.run(world.jobs.cancel, JOB) == wire.JobStatus.DONE


def test_cancelled_task_is_killed_and_its_claim_released_once_it_has_ended(world: World) -> None:
    register_machine(world)
    world.store.job(spec(visits=1))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    start = world.heartbeat(worker_report(3, 3)).commands[0]
    world.heartbeat(worker_report(4, 3, (start.task, start.attempt, "running")))
    assert anyio.run(world.jobs.cancel, JOB) == wire.JobStatus.CANCELLED
    machine = world.machines.registry.machines["vm-1"]
    machine.reconciled = False  # no direct command in this test
    world.machines.cancelled_tasks.stop_all()
    machine.reconciled = True
    orders = world.heartbeat(worker_report(5, 3, (start.task, start.attempt, "running"))).commands
    assert [order.verb for order in orders] == ["kill"]
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b1}
    world.heartbeat(worker_report(6, 3, (start.task, start.attempt, "ended", "halted")))
    world.machines.cancelled_tasks.stop_all()
    world.send_task_updates(world.machines.task_updates.pending)
    world.clock.time += 1.0
    world.commit_and_place()
    assert world.store.tables.finished_jobs[JOB][:2] == (JobState.CANCELLED, 1)


def test_repeated_submission_finds_the_job(world: World) -> None:
    assert anyio.run(world.jobs.submit, spec()) == (wire.JobStatus.QUEUED, True)
    assert anyio.run(world.jobs.submit, spec()) == (wire.JobStatus.QUEUED, False)


def test_machine_of_another_owner_is_redirected(world: World) -> None:
    from sloeswitch.core.rendezvous import owner

    world.store.view(4, ("c0", 1), ("c1", 2))
    name = next(f"vm-{n}" for n in range(100) if owner(f"vm-{n}", world.store.tables.view.members) == "c1")
    message = HeartbeatRequest(report=worker_report(1, 0, name=name))
    anyio.run(world.machines.handle, message)
    assert (message.answer.status, message.answer.body) == (421, b'{"foreman":"c1"}')


def test_decreased_allocation_applies_until_the_outcome_of_its_write_is_known(world: World) -> None:
    """Guards against an allocation that stays decreased for ever after a decrease with an unknown outcome.

    The decreased amount applies while the decrease may still be committed. An increase that does not exceed
    the stored allocation has to rewrite the row, because only another write makes the decrease fail for certain.
    """
    world.store.put(keys.quota_key("red"), {"c0.1": [20.0, 0.0]})
    stamp = world.store.tables.mod_revision(keys.quota_key("red"))
    world.machines.quota.pending_decreases["red"] = QuotaDecrease(stamp, 4.0, 0.0)
    assert world.machines.quota.allocation("red") == (4.0, 0.0)
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(12.0, 0.0)}, forced_rewrites={"red"}))
    assert world.machines.quota.allocation("red") == (20.0, 0.0)


def test_malformed_report_is_rejected(world: World) -> None:
    register_machine(world)
    message = HeartbeatRequest(report=worker_report(3, 3, ("nonsense", 1, "running")))
    anyio.run(world.machines.handle, message)
    assert message.answer.status == 400


def test_last_tasks_with_checkpoints_move_off_a_surplus_machine(world: World) -> None:
    register_machine(world)
    world.store.job(spec(visits=1, snapshotS=30.0, stashS=6.0))
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    start = world.heartbeat(worker_report(3, 3)).commands[0]
    world.heartbeat(worker_report(4, 3, (start.task, start.attempt, "running")))
    surplus_machine = world.machines.registry.machines["vm-1"]
    (attempt,) = surplus_machine.attempts.values()
    surplus_machine.surplus = True
    world.clock.time += 2.0
    world.heartbeat(worker_report(5, 3, (start.task, start.attempt, "running")))
    attempt.running_at = world.clock.time - 61.0
    surplus_machine.reconciled = False  # no direct command in this test
    world.machines.surplus_drain.drain(world.clock.time)
    assert attempt.kill_grace_s is None  # no other machine has free capacity
    world.heartbeat(worker_report(1, 0, name="vm-2"))
    world.store.put(keys.machine_key("vm-2"), {"a": "127.0.0.1:9001", "t": "small", "z": "a", "s": True})
    world.heartbeat(worker_report(2, 3, name="vm-2"))
    surplus_machine.reconciled = False
    world.machines.surplus_drain.drain(world.clock.time)
    assert attempt.kill_grace_s == 6.0
    assert world.machines.registry.placed_tasks[JOB] == 0b1  # until the machine reports that it ended


def test_cancelled_jobs_finish_within_the_change_limit_of_transactions(world: World) -> None:
    """Guards against transactions that exceed the limit of changes: ending a cancelled job takes two changes."""
    names = [f"wk-{number:06d}" for number in range(20)]
    for name in names:
        world.store.job(spec(name, visits=1), JobState.CANCELLED)
        world.store.progress(name, c0_1=0b1)
    world.store.job(spec("wk-000099"))
    world.send_task_updates(TaskUpdates(done={"wk-000099": 0b1}))
    world.send_task_updates(TaskUpdates(released=dict.fromkeys(names, 1)))
    world.clock.time += 20.0
    for _ in range(20):
        world.clock.time += 20.0
        world.commit_and_place()
    assert set(names) <= world.store.tables.finished_jobs.keys()


def test_scattered_progress_is_stored_within_the_size_limit_of_transactions(world: World) -> None:
    names = [f"wk-{number:06d}" for number in range(10)]
    scattered = sum(1 << index for index in range(0, 2400, 2))
    for name in names:
        world.store.job(spec(name, visits=3000))
    world.send_task_updates(TaskUpdates(done=dict.fromkeys(names, scattered)))
    for _ in range(20):
        world.clock.time += 20.0
        world.commit_and_place()
    assert all(world.store.tables.jobs[name].progress.done == scattered for name in names)


def test_a_new_job_is_first_left_to_the_controller_with_affinity_to_its_image(world: World) -> None:
    register_machine(world)
    world.store.view(4, ("c0", 1), ("c1", 2))
    world.machines.ownership.follow_view()
    images = {world.leadership.owner_of(f"image img-{number}"): f"img-{number}" for number in range(20)}
    name = next(f"vm-{number}" for number in range(9) if world.leadership.owner_of(f"vm-{number}") == "c0")
    world.store.put(keys.machine_key(name), {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True})
    world.heartbeat(worker_report(9, 3, name=name))
    world.heartbeat(worker_report(10, 4, name=name))
    world.store.job(spec("wk-000001", kit=images["c1"], visits=1))
    world.store.job(spec("wk-000002", kit=images["c0"], visits=1))
    world.machines.queue.rebuild()
    assert [set(request.task_counts) for request in world.claim_requests()] == [{"wk-000002"}]
    world.clock.time += 2 * world.machines.claims.tick_interval_s
    assert [set(request.task_counts) for request in world.claim_requests()] == [{"wk-000001", "wk-000002"}]


def test_lease_clock_advances_within_an_iteration_of_the_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lease times from the clock of the event loop.

    uvloop updates its time only once per iteration, so that after a pause of the process it lies in the past.
    """
    monkeypatch.setattr(time, "monotonic", lambda: 77.5)
    assert controller.CLOCK.now() == 77.5


def test_tasks_released_and_claimed_again_between_two_ticks_can_be_placed(world: World) -> None:
    """Guards against tasks that are never placed because their new claim is taken for the one being released."""
    register_machine(world)
    world.store.job(spec(visits=2))
    world.store.progress(JOB, c0_1=0b11)
    world.store.put(keys.quota_key("red"), {"c0.1": [8.0, 0.0]})
    world.machines.task_updates.release(JOB, 0b11)
    world.send_task_updates(world.machines.task_updates.pending)
    world.machines.task_updates.pending = TaskUpdates()
    world.clock.time += 2 * world.jobs.commit_interval_s

    async def rounds() -> None:
        await world.jobs._commit_round()
        assert not world.store.tables.jobs[JOB].progress.claims
        async with anyio.create_task_group() as group:
            group.start_soon(world.machines.claims._await_claims, ClaimRequest(task_counts={JOB: 2}))
            await anyio.wait_all_tasks_blocked()
            await world.jobs.handle(world.jobs._inbox.popleft())
            await world.jobs._commit_round()

    anyio.run(rounds)
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b11}
    world.machines.task_updates.prune_stored()
    assert world.machines.task_updates.unplaced_tasks(world.store.tables.jobs[JOB]) == 0b11
