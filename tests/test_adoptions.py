"""Adoption rows: they store adopted tasks of many jobs, until each job's progress row is written next."""

from __future__ import annotations

import random

import anyio
import msgspec
import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, taskset
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.quota_changes import QuotaDecrease
from sloeswitch.core.records import Job, JobState, Progress
from sloeswitch.core.row_codec import encode_progress
from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.state_client import TransactionOutcome
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import SETTINGS_WITH_NEXT_LIMITS, World

JOB = "wk-000001"
NAMES = [f"wk-{number:06d}" for number in range(60)]


@pytest.fixture
def world(store: Store) -> World:
    """Controller c0.1, after the departure of c1.9, which had claimed tasks of every job.

    Every second task of each job is on a machine that c0.1 took over.
    """
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    for name in NAMES:
        store.job(spec(name, visits=12, cores=0.01))
        store.progress(name, done=0b1, c1_9=taskset.full(12) & ~0b1)
    store.member("c0", 1, recovered_view=2)  # not recovered: tasks of c1.9 may still run
    store.put(keys.quota_key("red"), {"c1.9": [6.6, 0.0]})
    return world


EVEN_TASKS = sum(1 << index for index in range(2, 12, 2))


def adopt(world: World, rounds: int = 1) -> None:
    world.send_task_updates(TaskUpdates(adopted=dict.fromkeys(NAMES, EVEN_TASKS), view_number=3))
    for _ in range(rounds):
        world.commit_and_place()


def test_adoptions_of_many_jobs_take_few_changes_and_move_the_quota_allocation(world: World) -> None:
    """Guards against one change per adopted job, which takes half a minute at the write rate of the state service."""
    before = world.store.revision
    adopt(world, 3)
    assert world.store.revision - before <= 8
    for tables in (world.store.tables, world.store.read_again()):
        for name in NAMES:
            claims = tables.jobs[name].progress.claims
            assert claims == {"c0.1": EVEN_TASKS, "c1.9": taskset.full(12) & ~0b1 & ~EVEN_TASKS}
    allocations = world.store.tables.quota_allocations["red"]
    assert allocations["c0.1"][0] == pytest.approx(0.01 * 5 * 60) and allocations["c1.9"][0] == pytest.approx(6.6 - 3.0)
    assert not world.jobs.uncommitted


def test_tasks_released_or_completed_after_an_adoption_stay_so(world: World) -> None:
    adopt(world, 3)
    world.send_task_updates(TaskUpdates(released={JOB: 0b100}, done={JOB: 0b10000}))
    world.clock.time += 20.0
    world.commit_and_place()
    for tables in (world.store.tables, world.store.read_again()):
        progress = tables.jobs[JOB].progress
        assert progress.claims["c0.1"] == EVEN_TASKS & ~0b10100 and progress.done == 0b10001
        assert not progress.claimed_tasks() & 0b100  # other controllers may claim it


def test_a_progress_write_planned_before_an_adoption_does_not_undo_it(world: World) -> None:
    adopt(world, 3)
    # c2.4 planned this write before it read the adoption, so it lacks the adoption's epoch. It is applied afterwards.
    row = Progress(0b11, {"c1.9": taskset.full(12) & ~0b11})
    world.store.put(keys.progress_key(JOB), encode_progress(row, dense=True))
    for tables in (world.store.tables, world.store.read_again()):
        assert tables.jobs[JOB].progress.claims["c0.1"] == EVEN_TASKS
        assert tables.jobs[JOB].progress.done == 0b11


def test_an_adoption_with_a_lost_answer_is_committed_at_most_once(world: World) -> None:
    world.client.lose_answers = 1
    adopt(world, 4)
    conditions, writes, _deletes = world.client.lost_transactions[0]
    assert [conditions[key] for key in writes if key.startswith(keys.adoption_key("c0.1", 0)[:-1])] == [0]
    assert all(world.store.tables.jobs[name].progress.claims["c0.1"] == EVEN_TASKS for name in NAMES)
    assert world.client.apply(*world.client.lost_transactions[0])[0] is TransactionOutcome.CONFLICT
    # The lost transaction is applied once more under a later view, and fails again.
    world.store.view(4, ("c0", 1))
    assert world.client.apply(*world.client.lost_transactions[0])[0] is TransactionOutcome.CONFLICT


def test_adoptions_and_allocations_of_many_teams_respect_the_change_limit(store: Store) -> None:
    """The scripted state service rejects transactions with more than four changes."""
    more_teams = "".join(
        f'[[deployment.teams]]\nname = "t{n}"\ncpus = 4.0\ncpus_max = 9.0\ngpus = 0.0\ngpus_max = 0.0\n'
        for n in range(5)
    )
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS.replace("[deployment.workers]", more_teams + "[deployment.workers]"))
    world.client.controller_count = lambda: 3
    names = [f"wk-{number:06d}" for number in range(5)]
    for number, name in enumerate(names):
        store.job(spec(name, crew=f"t{number}", visits=4, cores=1.0))
        store.progress(name, c1_9=0b1)
    world.send_task_updates(TaskUpdates(adopted=dict.fromkeys(names, 1), view_number=3))
    for _ in range(8):
        increases = {f"t{number}": ResourceAmount(3.0) for number in (2, 3)}
        world.commit_and_place(ClaimRequest(task_counts={names[2]: 2, names[3]: 2}, quota_increases=increases))
    claims = [store.tables.jobs[name].progress.claims for name in names]
    assert all(holder_claims.keys() == {"c0.1"} and holder_claims["c0.1"] & 1 for holder_claims in claims)
    assert all(holder_claims["c0.1"].bit_count() > 1 for holder_claims in claims[2:4])  # new tasks are claimed too


def test_only_adoptions_of_former_incarnations_are_deleted_as_garbage(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    adopt(world, 3)
    stored_keys = set(world.store.tables.adoption_keys)
    anyio.run(world.jobs.garbage_collector.collect)
    assert stored_keys and set(world.store.tables.adoption_keys) == stored_keys
    world.store.view(4, ("c0", 7))
    world.leadership.incarnation = 7
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 7})
    anyio.run(world.jobs.garbage_collector.collect)
    assert set(world.store.tables.adoption_keys) == stored_keys  # not recovered: the adoptions still count
    world.store.member("c0", 7, recovered_view=4)
    for _ in range(4):
        anyio.run(world.jobs.garbage_collector.collect)
    assert not world.store.tables.adoption_keys and not world.store.tables.adoptions


def test_a_completion_found_on_a_taken_over_machine_is_stored_before_recovery_is_reported(store: Store) -> None:
    """Guards against a completed task that another controller starts again.

    Once the view counts as recovered, the former owner's claims are void and its unfinished tasks are free to claim.
    """
    world = World(store)
    store.member("c0", 1, recovered_view=2)
    store.put(keys.machine_key("vm-1"), {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True})
    store.job(spec(visits=2))
    store.progress(JOB, c1_9=0b01)
    for sequence, token in ((1, 0), (2, 3)):
        world.heartbeat(worker_report(sequence, token, (f"{JOB}/0", 5, "ended", "done")))
    world.machines._report_recovery()
    assert store.tables.jobs[JOB].progress.done or not world.membership._inbox


class Writer:
    """A controller that may lag: its tables and the revision up to which they are complete."""

    def __init__(self, incarnation_id: str) -> None:
        self.incarnation_id = incarnation_id
        self.tables = Tables()
        self.applied_revision = 0


class LaggingWriters:
    """Three lagging controllers that write one job's rows, and a model of who holds each task after each write."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.store = Store()
        self.log: list[tuple[str, object, int]] = []
        job = spec(JOB, visits=30)
        self.put(keys.job_key(JOB), {"s": JobState.LIVE, "n": 30, "t": 0, "spec": msgspec.to_builtins(job)})
        self.put(keys.progress_key(JOB), encode_progress(Progress(0, {"c1.9": taskset.full(10)})))
        # By task, the incarnation that holds it, or "done". Free tasks are missing.
        self.expected_holders = dict.fromkeys(range(10), "c1.9")
        self.writers = [Writer(f"c{number}.{number + 2}") for number in range(3)]
        self.adoption_count = 0

    def put(self, key: str, value: object) -> None:
        self.log.append((key, value, self.store.put(key, value)))

    def step(self) -> None:
        """One random writer reads all rows again, or it may catch up with the log and then writes from its tables."""
        writer = self.random.choice(self.writers)
        if self.random.random() < 0.5:
            self.catch_up(writer)
        elif self.random.random() < 0.1:
            # An initial read of all rows, which counts as complete only up to the revision at which it started.
            writer.tables = self.store.read_again()
            writer.applied_revision = max(0, self.store.revision - self.random.randrange(4))
            return
        job = writer.tables.jobs.get(JOB)
        if job is None:
            return
        if self.random.random() < 0.3:
            self.adopt(writer)
        else:
            self.write_progress(writer, job)

    def catch_up(self, writer: Writer) -> None:
        for key, value, revision in self.log:
            if revision > writer.applied_revision:
                writer.tables.apply(key, value, revision)
        writer.applied_revision = self.store.revision

    def adopt(self, writer: Writer) -> None:
        """The writer adopts random tasks of the departed c1.9, which no other writer can adopt."""
        adopted = [
            task for task, holder in self.expected_holders.items() if holder == "c1.9" and self.random.random() < 0.4
        ]
        tasks = sum(1 << task for task in adopted)
        if tasks:
            self.adoption_count += 1
            key = keys.adoption_key(writer.incarnation_id, self.adoption_count)
            self.put(key, {"m": {JOB: taskset.pack_dense(tasks)}})
            self.expected_holders.update(dict.fromkeys(adopted, writer.incarnation_id))

    def write_progress(self, writer: Writer, job: Job) -> None:
        """The writer claims, releases and completes tasks, if its revision of the row is the stored one."""
        progress = job.progress.copy()
        own = progress.claims.get(writer.incarnation_id, 0)
        release = sum(1 << task for task in taskset.task_numbers(own) if self.random.random() < 0.3)
        ended = sum(1 << task for task in taskset.task_numbers(own & ~release) if self.random.random() < 0.1)
        free = job.all_tasks & ~progress.done & ~progress.claimed_tasks()
        claim = taskset.lowest(free, self.random.randrange(4))
        if job.progress_revision != self.store.rows[keys.progress_key(JOB)][1]:
            return  # the condition on the revision fails
        progress.done |= ended
        progress.claims[writer.incarnation_id] = (own & ~release & ~ended) | claim
        value = encode_progress(progress, dense=True) | {
            "e": max(writer.applied_revision, job.progress.adoption_revision)
        }
        self.put(keys.progress_key(JOB), value)
        for task in taskset.task_numbers(release):
            self.expected_holders.pop(task)
        self.expected_holders.update(dict.fromkeys(taskset.task_numbers(claim), writer.incarnation_id))
        self.expected_holders.update(dict.fromkeys(taskset.task_numbers(ended), "done"))


@pytest.mark.parametrize("seed", range(40))
def test_tables_agree_on_the_holder_of_each_task_after_writes_of_lagging_controllers(seed: int) -> None:
    """Random adoptions, claims, releases and completions by three lagging controllers.

    They sometimes read all rows again. The tables have to agree with the model that follows each write.
    """
    world = LaggingWriters(seed)
    for _ in range(150):
        world.step()
    progress_read = world.store.read_again().jobs[JOB].progress
    assert progress_read.claims == world.store.tables.jobs[JOB].progress.claims
    for task in range(30):
        holders = [holder for holder, mask in progress_read.claims.items() if mask >> task & 1]
        if progress_read.done >> task & 1:
            holders.append("done")
        assert holders == ([world.expected_holders[task]] if task in world.expected_holders else []), task


def test_an_outdated_adoption_is_not_stored_when_decreases_use_up_the_change_limit(
    store: Store,
) -> None:
    """Guards against an adoption that takes a task away from the new owner of its machine.

    The view changes while the tables are read for the transaction.
    """
    store.put_complete_layout()
    world = World(store)
    world.client.max_transaction_changes = 3
    store.job(spec(JOB, visits=2, cores=1.0))
    store.progress(JOB, c1_9=0b01)
    store.put(keys.quota_key("red"), {"c0.1": [4.0, 0.0], "c1.9": [1.0, 0.0]})
    revision = store.tables.mod_revision(keys.quota_key("red"))

    async def read(timeout_s: float) -> None:
        if store.tables.view.number == 3:
            store.view(4, ("c0", 1), ("c1", 9))

    world.replica.read_linearizable = read  # type: ignore[method-assign]
    world.send_task_updates(TaskUpdates(adopted={JOB: 0b01}, view_number=3))
    decreases = {team: QuotaDecrease(revision, 1.0, 0.0) for team in ("red", "blue")}
    world.commit_and_place(ClaimRequest(task_counts={JOB: 1}, quota_decreases=decreases))
    assert store.tables.view.number == 4
    assert store.tables.jobs[JOB].progress.claims.get("c0.1", 0) & 0b01 == 0
