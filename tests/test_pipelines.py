"""Jobs with prerequisites: their release, cancellation, submission and demand, and how replicas read them."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, scaling
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.http_client import Reply
from sloeswitch.replica import Replica, StaleReplicaError
from tests.conftest import SETTINGS, Store, spec, submission, worker_report
from tests.support.single_controller import (
    SETTINGS_WITH_NEXT_LIMITS,
    World,
    ask,
    queued_names,
    register_machine,
    status,
    store_done,
    submit,
)

JOB_A, JOB_B, JOB_C, JOB_D = "wk-000001", "wk-000002", "wk-000003", "wk-000004"


@pytest.fixture
def world(store: Store) -> World:
    store.put_complete_layout()
    world = World(store)
    register_machine(world)
    return world


def test_a_job_is_released_only_when_the_completion_of_its_prerequisite_is_stored(world: World) -> None:
    world.store.job(spec(JOB_A, visits=1))
    world.store.job(spec(JOB_B, visits=1, awaits=[JOB_A]))
    assert queued_names(world.store) == [JOB_A]
    world.commit_and_place(
        ClaimRequest(task_counts={JOB_A: 1, JOB_B: 1}, quota_increases={"red": ResourceAmount(8.0, 0.0)})
    )
    assert not world.store.tables.jobs[JOB_B].progress.claims
    start = world.heartbeat(worker_report(3, 3)).commands[0]
    world.heartbeat(worker_report(4, 3, (start.task, start.attempt, "ended", "done")))
    world.send_task_updates(
        world.machines.task_updates.pending if world.machines.task_updates.pending else TaskUpdates(done={JOB_A: 1})
    )
    assert queued_names(world.store) == [JOB_A]  # reported, not stored yet
    world.commit_and_place()  # without a delay, because another job depends on JOB_A
    assert queued_names(world.store) == [JOB_B]
    world.commit_and_place(ClaimRequest(task_counts={JOB_B: 1}))
    assert world.store.tables.jobs[JOB_B].progress.claims == {"c0.1": 1}


def test_a_job_that_waits_for_prerequisites_gets_no_capacity_quota_or_guarantee(world: World) -> None:
    world.store.job(spec(JOB_A, visits=1))
    world.store.job(spec(JOB_B, visits=4, awaits=[JOB_A], urgency="critical"))
    world.store.job(spec(JOB_C, visits=3))
    settings = world.settings

    def jobs_with_demand() -> list[str]:
        return [demand.spec.id for demand in scaling.current_demand(world.store.tables, settings, 0, 0.5)]

    assert jobs_with_demand() == [JOB_A, JOB_C]
    world.machines.queue.rebuild()
    assert {name for request in world.claim_requests() for name in request.task_counts} == {JOB_A, JOB_C}
    # The team's guarantee of 8 cores covers JOB_A and JOB_C, although JOB_B was submitted before JOB_C.
    assert world.store.tables.jobs[JOB_C].guaranteed and world.store.tables.jobs[JOB_B].guaranteed is None
    # A job that cannot use spot machines counts as demand as soon as all its unfinished prerequisites have started.
    world.store.job(spec(JOB_D, awaits=[JOB_A], loaners=False))
    assert jobs_with_demand() == [JOB_A, JOB_C]
    world.store.progress(JOB_A, c0_1=1)
    assert jobs_with_demand() == [JOB_A, JOB_C, JOB_D]
    store_done(world.store, JOB_A)
    assert queued_names(world.store) == [JOB_B, JOB_C, JOB_D]


def test_a_job_is_released_once_the_completions_of_both_prerequisites_are_stored(store: Store) -> None:
    for name in (JOB_A, JOB_B):
        store.job(spec(name))
    store.job(spec(JOB_C, awaits=[JOB_A, JOB_B, JOB_A]))
    assert store.tables.jobs[JOB_C].spec.prerequisites == (JOB_A, JOB_B)
    store_done(store, JOB_B)
    store_done(store, JOB_B)  # applied a second time
    assert JOB_C not in queued_names(store)
    store_done(store, JOB_A)
    assert queued_names(store) == [JOB_C] and store.tables.jobs[JOB_C].unfinished_prerequisites == 0


def test_a_diamond_across_teams_is_released_stage_by_stage(store: Store) -> None:
    text = SETTINGS.replace(
        "[deployment.workers]",
        '[[deployment.teams]]\nname = "blue"\ncpus = 1.0\ncpus_max = 9.0\ngpus = 0.0\ngpus_max = 0.0\n'
        "[deployment.workers]",
    )
    store.job(spec(JOB_A))
    store.job(spec(JOB_B, awaits=[JOB_A], crew="blue"))
    store.job(spec(JOB_C, awaits=[JOB_A]))
    store.job(spec(JOB_D, awaits=[JOB_B, JOB_C]))
    for finished, queued in ((JOB_A, [JOB_B, JOB_C]), (JOB_C, [JOB_B]), (JOB_B, [JOB_D])):
        store_done(store, finished)
        assert sorted(queued_names(store, text=text)) == queued


@pytest.mark.parametrize("backwards", [False, True])
def test_counters_and_cancellations_are_rebuilt_from_the_rows_in_any_order(backwards: bool) -> None:
    """Guards against lost releases if a controller terminates between the completion of a prerequisite and the release.

    An initial read returns the rows in the order of their keys, so that a job may be read before its prerequisites.
    """
    rows = {
        keys.job_key("wk-000009"): {"s": JobState.DONE, "n": 1, "t": 5000},
        keys.job_key("wk-000008"): {"s": JobState.CANCELLED, "n": 1, "t": 5000},
    }
    store = Store()
    for name, awaits in (
        (JOB_A, ["wk-000009"]),
        (JOB_B, [JOB_A]),
        (JOB_C, ["wk-000008", JOB_A]),
        (JOB_D, [JOB_C, "wk-000009"]),
    ):
        rows[keys.job_key(name)] = {"s": JobState.LIVE, "n": 4, "t": 0, "spec": submission(name, awaits=awaits)}
    for key in sorted(rows, reverse=backwards):
        store.put(key, rows[key])
    jobs = store.tables.jobs
    assert queued_names(store) == [JOB_A] and jobs[JOB_A].ready_ms == 5000
    assert {name: job.unfinished_prerequisites for name, job in jobs.items()} == {
        JOB_A: 0,
        JOB_B: 1,
        JOB_C: 2,
        JOB_D: 1,
    }
    assert [name for name in sorted(jobs) if jobs[name].is_cancelled] == [JOB_C, JOB_D]


def test_a_chain_and_a_fan_out_of_a_thousand_jobs_are_cancelled_without_recursion(store: Store) -> None:
    names = [f"wk-{number:06d}" for number in range(1000)]
    for number, name in enumerate(names):
        store.job(spec(name, awaits=names[number - 1 : number] if number else [], cores=0.001))
        store.job(spec(f"wk-1{number:05d}", awaits=[names[0]], cores=0.001))
    store.job(spec("wk-200000", awaits=[names[-1]], urgency="critical", dueS=90000.0))
    assert queued_names(store) == [names[0]]
    assert store.tables.jobs[names[0]].inherited_rank == 0
    store.put(keys.job_key(names[0]), {"s": JobState.CANCELLED, "n": 4})
    assert all(job.is_cancelled for job in store.tables.jobs.values()) and queued_names(store) == []


def test_a_cancellation_applies_to_all_dependents_at_once_and_their_rows_are_written_later(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    for name, awaits in ((JOB_A, []), (JOB_B, [JOB_A]), (JOB_C, [JOB_B])):
        assert submit(world, name, *awaits) == 201
    assert submit(world, JOB_D) == 201
    revision = world.store.revision
    assert ask(world, "POST", f"/submissions/{JOB_A}/cancel").status == 200
    assert world.store.revision == revision + 1
    assert [status(world, name) for name in (JOB_A, JOB_B, JOB_C, JOB_D)] == [wire.JobStatus.CANCELLED] * 3 + [
        wire.JobStatus.QUEUED
    ]

    # A repeated cancellation or submission of a cancelled job is answered without the state service.
    async def raise_stale(timeout_s: float) -> None:
        raise StaleReplicaError

    world.replica.read_linearizable = raise_stale  # type: ignore[method-assign]
    for answer in (
        ask(world, "POST", f"/submissions/{JOB_C}/cancel"),
        ask(world, "POST", "/submissions", submission(JOB_C)),
    ):
        assert answer.status == 200 and b'"withdrawn"' in answer.body
    world.replica.read_linearizable = world.read  # type: ignore[method-assign]
    world.clock.time += 0.1
    world.commit_and_place()
    finished = world.store.tables.finished_jobs
    assert finished[JOB_B].status == finished[JOB_C].status == JobState.CANCELLED and JOB_D in world.store.tables.jobs
    assert status(world, JOB_C) == wire.JobStatus.CANCELLED


def test_a_job_with_a_cancelled_prerequisite_is_accepted_and_cancelled(world: World) -> None:
    world.store.put(keys.job_key(JOB_A), {"s": JobState.CANCELLED, "n": 1})
    assert submit(world, JOB_B, JOB_A) == 201
    assert submit(world, JOB_C, JOB_B) == 201
    assert status(world, JOB_B) == status(world, JOB_C) == wire.JobStatus.CANCELLED
    assert queued_names(world.store) == []


def test_a_submission_that_races_the_cancellation_of_its_prerequisite_is_cancelled(world: World) -> None:
    """The submission's transaction is sent before the prerequisite is cancelled and applied afterwards."""
    world.store.job(spec(JOB_A))
    world.client.lose_answers = 1
    assert submit(world, JOB_B, JOB_A) == 503
    world.store.put(keys.job_key(JOB_A), {"s": JobState.CANCELLED, "n": 4})
    world.client.apply(*world.client.lost_transactions[0])
    assert status(world, JOB_B) == wire.JobStatus.CANCELLED and queued_names(world.store) == []


@pytest.mark.parametrize("first", ["end", "cancellation"])
def test_a_cancellation_racing_the_last_completion_is_decided_by_one_row(world: World, first: str) -> None:
    world.store.job(spec(JOB_A, visits=1))
    world.store.progress(JOB_A, c0_1=1)
    world.store.job(spec(JOB_B, awaits=[JOB_A]))
    world.send_task_updates(TaskUpdates(done={JOB_A: 1}))
    if first == "end":
        world.client.lose_answers = 1
        world.commit_and_place()  # the answer is lost, and the transaction is applied later
        world.client.apply(*world.client.lost_transactions[0])
        assert anyio.run(world.jobs.cancel, JOB_A) == wire.JobStatus.DONE
        assert queued_names(world.store) == [JOB_B]
    else:
        world.client.lose_answers = 4
        assert (
            anyio.run(world.jobs.cancel, JOB_A) is None
        )  # the outcome is unknown, and the transaction is applied later
        world.client.apply(*world.client.lost_transactions[0])
        world.commit_and_place()
        assert (
            status(world, JOB_A) == status(world, JOB_B) == wire.JobStatus.CANCELLED and queued_names(world.store) == []
        )


def test_a_late_cancellation_of_an_unclaimed_job_fails_if_it_was_claimed_meanwhile(
    world: World,
) -> None:
    world.store.job(spec(JOB_A))
    world.client.lose_answers = 4
    assert anyio.run(world.jobs.cancel, JOB_A) is None
    world.store.progress(JOB_A, c1_2=1)
    world.client.apply(*world.client.lost_transactions[0])
    assert JOB_A in world.store.tables.jobs  # one of its tasks may run
    assert anyio.run(world.jobs.cancel, JOB_A) == wire.JobStatus.CANCELLED
    assert world.store.tables.jobs[JOB_A].progress.claims


def test_prerequisites_of_submissions_are_checked(world: World) -> None:
    world.store.job(spec(JOB_A))
    store_done(world.store, JOB_B)
    assert submit(world, JOB_C, JOB_A, JOB_B) == 201
    assert submit(world, JOB_D, JOB_A, "wk-000404") == 422
    assert submit(world, JOB_D, JOB_D) == 422
    malformed: list[Any] = ["wk-000001", [7], ["job-1"], None, {}]
    for value in malformed:
        assert ask(world, "POST", "/submissions", submission(JOB_D, awaits=value)).status == 400
    # A repeated submission is answered without a check of its prerequisites.
    assert submit(world, JOB_A, "wk-000404") == 200
    assert submit(world, JOB_C, JOB_A, JOB_B) == 200
    assert submit(world, JOB_D) == 201 and submit(world, "wk-000005") == 201


def test_an_unknown_prerequisite_needs_a_linearizable_read(world: World) -> None:
    async def raise_stale(timeout_s: float) -> None:
        raise StaleReplicaError

    async def accept_on_another_controller(timeout_s: float) -> None:
        if JOB_A not in world.store.tables.jobs:
            world.store.job(spec(JOB_A))

    world.replica.read_linearizable = raise_stale  # type: ignore[method-assign]
    assert submit(world, JOB_B, JOB_A) == 503
    world.replica.read_linearizable = accept_on_another_controller  # type: ignore[method-assign]
    assert submit(world, JOB_B, JOB_A) == 201


def test_a_repeated_submission_finds_a_job_whose_first_answer_was_lost(world: World) -> None:
    world.store.job(spec(JOB_A))
    world.client.lose_answers = 1
    assert submit(world, JOB_B, JOB_A) == 503
    world.client.apply(*world.client.lost_transactions[0])
    assert submit(world, JOB_B, JOB_A) == 200
    assert world.store.tables.jobs[JOB_B].unfinished_prerequisites == 1


def test_completions_of_jobs_are_stored_before_claims_when_a_transaction_takes_few_changes(store: Store) -> None:
    """Guards against claims that fill every transaction of three changes, so that no completion of a job is stored."""
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    world.client.controller_count = lambda: 3
    for number in range(1, 7):
        store.job(spec(f"wk-00000{number}", visits=1))
        store.progress(f"wk-00000{number}", c0_1=1)
    store.job(spec("wk-000007", awaits=["wk-000006"]))
    store.job(spec("wk-000008"))
    store.job(spec("wk-000009"))
    world.send_task_updates(TaskUpdates(done={f"wk-00000{number}": 1 for number in range(1, 7)}))
    world.clock.time += 1.0
    due = world.jobs._schedule().due_jobs({"wk-000008": 4, "wk-000009": 4})
    assert due[0] == "wk-000006" and set(due[1:6]) == {f"wk-00000{number}" for number in range(1, 6)}
    world.commit_and_place(ClaimRequest(task_counts={"wk-000008": 4, "wk-000009": 4}))
    assert "wk-000006" in store.tables.finished_jobs


class ScriptedAnswers:
    """Scripted answers of the state service to a replica's reads."""

    def __init__(self, world: World, *answers: dict[str, Any]) -> None:
        self.replica = Replica(world.client, Tables(), world.clock.now)
        self.replica.loaded = True
        self.replica.applied_revision = 10
        remaining = list(answers)

        async def call(*_: Any, **__: Any) -> Reply:
            return Reply(200, wire.encode(remaining.pop(0)))

        world.client.call = call  # type: ignore[method-assign]

    def read(self) -> None:
        anyio.run(self.replica._read_changes, 0.0)


def test_the_own_write_that_ends_a_job_releases_successors_before_it_is_read_back(world: World) -> None:
    row = {"s": JobState.LIVE, "n": 4, "t": 0, "spec": submission(JOB_B, awaits=[JOB_A])}
    ended = {"s": JobState.DONE, "n": 4, "t": 5}
    answers = ScriptedAnswers(
        world,
        {"epoch": 11, "events": [{"write": keys.job_key(JOB_B), "v": row, "stamp": 11}]},
        {"epoch": 13, "events": [{"write": keys.job_key(JOB_A), "v": ended, "stamp": 13}]},
    )
    answers.read()
    tables = answers.replica.tables
    assert tables.jobs[JOB_B].unfinished_prerequisites == 1
    answers.replica.apply_own_write(13, {keys.job_key(JOB_A): ended})
    assert tables.jobs[JOB_B].unfinished_prerequisites == 0 and answers.replica.applied_revision == 11
    answers.read()
    assert answers.replica.loaded and tables.jobs[JOB_B].unfinished_prerequisites == 0


def test_a_stamp_that_differs_from_that_of_the_own_write_triggers_a_full_read(world: World) -> None:
    row = {"s": JobState.LIVE, "n": 4, "t": 0, "spec": submission(JOB_B)}
    answers = ScriptedAnswers(world, {"epoch": 14, "events": [{"write": keys.job_key(JOB_B), "v": row, "stamp": 12}]})
    answers.replica.apply_own_write(13, {keys.job_key(JOB_B): row})
    answers.read()
    assert not answers.replica.loaded
