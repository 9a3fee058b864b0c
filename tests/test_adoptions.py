"""Adoptions stored together: claims in addition to the jobs' own rows, until these are written next."""

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
    """c0.1, which took over what a departed c1.9 had: every second task of each job is on its machines."""
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    for name in NAMES:
        store.job(spec(name, visits=12, cores=0.01))
        store.progress(name, done=0b1, c1_9=taskset.full(12) & ~0b1)
    store.member("c0", 1, recovered_view=2)  # not settled: what the departed one had may still exist
    store.put(keys.quota_key("red"), {"c1.9": [6.6, 0.0]})
    return world


HALF = sum(1 << index for index in range(2, 12, 2))


def adopt(world: World, rounds: int = 1) -> None:
    world.send_task_updates(TaskUpdates(adopted=dict.fromkeys(NAMES, HALF), view_number=3))
    for _ in range(rounds):
        world.commit_and_place()


def test_a_take_over_is_a_few_changes_and_brings_its_part_of_the_limit(world: World) -> None:
    """Failure found on the bench: a change for each job took half a minute at the state service's rate."""
    before = world.store.revision
    adopt(world, 3)
    assert world.store.revision - before <= 8
    for tables in (world.store.tables, world.store.read_again()):
        for name in NAMES:
            claims = tables.jobs[name].progress.claims
            assert claims == {"c0.1": HALF, "c1.9": taskset.full(12) & ~0b1 & ~HALF}
    held = world.store.tables.quota_allocations["red"]
    assert held["c0.1"][0] == pytest.approx(0.01 * 5 * 60) and held["c1.9"][0] == pytest.approx(6.6 - 3.0)
    assert not world.jobs.uncommitted


def test_what_is_given_up_after_an_adoption_stays_given_up(world: World) -> None:
    adopt(world, 3)
    world.send_task_updates(TaskUpdates(released={JOB: 0b100}, done={JOB: 0b10000}))
    world.clock.time += 20.0
    world.commit_and_place()
    for tables in (world.store.tables, world.store.read_again()):
        progress = tables.jobs[JOB].progress
        assert progress.claims["c0.1"] == HALF & ~0b10100 and progress.done == 0b10001
        assert not progress.claimed_tasks() & 0b100  # open to others


def test_a_write_that_did_not_know_of_an_adoption_does_not_undo_it(world: World) -> None:
    adopt(world, 3)
    # c2.4, composed before it read the adoption and carried out after: without the epoch of it.
    row = Progress(0b11, {"c1.9": taskset.full(12) & ~0b11})
    world.store.put(keys.progress_key(JOB), encode_progress(row, dense=True))
    for tables in (world.store.tables, world.store.read_again()):
        assert tables.jobs[JOB].progress.claims["c0.1"] == HALF
        assert tables.jobs[JOB].progress.done == 0b11


def test_a_late_adoption_is_carried_out_once_or_never(world: World) -> None:
    world.client.lose_answers = 1
    adopt(world, 4)
    conditions, writes, _drops = world.client.lost_transactions[0]
    assert [conditions[key] for key in writes if key.startswith(keys.adoption_key("c0.1", 0)[:-1])] == [0]
    assert all(world.store.tables.jobs[name].progress.claims["c0.1"] == HALF for name in NAMES)
    assert world.client.apply(*world.client.lost_transactions[0])[0] is TransactionOutcome.CONFLICT
    # Late in the other order: it comes first, and what was tried again under its key fails.
    world.store.view(4, ("c0", 1))
    assert world.client.apply(*world.client.lost_transactions[0])[0] is TransactionOutcome.CONFLICT


def test_adoptions_and_allowances_of_many_teams_keep_within_a_transaction(store: Store) -> None:
    """The scripted state service refuses more than four changes."""
    more = "".join(
        f'[[deployment.teams]]\nname = "t{n}"\ncpus = 4.0\ncpus_max = 9.0\ngpus = 0.0\ngpus_max = 0.0\n'
        for n in range(5)
    )
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS.replace("[deployment.workers]", more + "[deployment.workers]"))
    world.client.controller_count = lambda: 3
    names = [f"wk-{number:06d}" for number in range(5)]
    for number, name in enumerate(names):
        store.job(spec(name, crew=f"t{number}", visits=4, cores=1.0))
        store.progress(name, c1_9=0b1)
    world.send_task_updates(TaskUpdates(adopted=dict.fromkeys(names, 1), view_number=3))
    for _ in range(8):
        grow = {f"t{number}": ResourceAmount(3.0) for number in (2, 3)}
        world.commit_and_place(ClaimRequest(task_counts={names[2]: 2, names[3]: 2}, quota_increases=grow))
    claims = [store.tables.jobs[name].progress.claims for name in names]
    assert all(held.keys() == {"c0.1"} and held["c0.1"] & 1 for held in claims)
    assert all(held["c0.1"].bit_count() > 1 for held in claims[2:4])  # claims are made beside


def test_adoptions_of_a_run_in_the_view_are_kept_and_those_of_former_ones_dropped(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    adopt(world, 3)
    stored_keys = set(world.store.tables.adoption_keys)
    anyio.run(world.jobs.garbage_collector.collect)
    assert stored_keys and set(world.store.tables.adoption_keys) == stored_keys
    world.store.view(4, ("c0", 7))
    world.leadership.incarnation = 7
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 7})
    anyio.run(world.jobs.garbage_collector.collect)
    assert set(world.store.tables.adoption_keys) == stored_keys  # not settled: still counted
    world.store.member("c0", 7, recovered_view=4)
    for _ in range(4):
        anyio.run(world.jobs.garbage_collector.collect)
    assert not world.store.tables.adoption_keys and not world.store.tables.adoptions


def test_a_completion_found_with_a_machine_is_stored_before_the_view_counts_as_recovered(store: Store) -> None:
    """Another controller may void the former owner's claim from then on, and start the task once more."""
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
    """A controller that may lag: tables and the revision up to which they are complete."""

    def __init__(self, incarnation_id: str) -> None:
        self.incarnation_id = incarnation_id
        self.tables = Tables()
        self.applied_revision = 0


class LaggingWriters:
    """Three writers of one job's rows, and who has each of its tasks by what was decided, write by write."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.store = Store()
        self.log: list[tuple[str, object, int]] = []
        job = spec(JOB, visits=30)
        self.put(keys.job_key(JOB), {"s": JobState.LIVE, "n": 30, "t": 0, "spec": msgspec.to_builtins(job)})
        self.put(keys.progress_key(JOB), encode_progress(Progress(0, {"c1.9": taskset.full(10)})))
        # The holder of each task, or "done".
        self.truth = dict.fromkeys(range(10), "c1.9")
        self.writers = [Writer(f"c{number}.{number + 2}") for number in range(3)]
        self.adoption_count = 0

    def put(self, key: str, value: object) -> None:
        self.log.append((key, value, self.store.put(key, value)))

    def step(self) -> None:
        """One writer reads, or writes from what it knows."""
        writer = self.random.choice(self.writers)
        if self.random.random() < 0.5:
            self.catch_up(writer)
        elif self.random.random() < 0.1:
            # A first reading: complete only up to where it began.
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
        """Tasks found on its machines: of the departed one only, and known only to it."""
        mine = [task for task, holder in self.truth.items() if holder == "c1.9" and self.random.random() < 0.4]
        tasks = sum(1 << task for task in mine)
        if tasks:
            self.adoption_count += 1
            key = keys.adoption_key(writer.incarnation_id, self.adoption_count)
            self.put(key, {"m": {JOB: taskset.pack_dense(tasks)}})
            self.truth.update(dict.fromkeys(mine, writer.incarnation_id))

    def write_progress(self, writer: Writer, job: Job) -> None:
        """Claims, releases and ends of tasks, on the condition of the row as the writer knows it."""
        progress = job.progress.copy()
        own = progress.claims.get(writer.incarnation_id, 0)
        release = sum(1 << task for task in taskset.task_numbers(own) if self.random.random() < 0.3)
        ended = sum(1 << task for task in taskset.task_numbers(own & ~release) if self.random.random() < 0.1)
        free = job.all_tasks & ~progress.done & ~progress.claimed_tasks()
        claim = taskset.lowest(free, self.random.randrange(4))
        if job.progress_revision != self.store.rows[keys.progress_key(JOB)][1]:
            return  # its condition fails
        progress.done |= ended
        progress.claims[writer.incarnation_id] = (own & ~release & ~ended) | claim
        value = encode_progress(progress, dense=True) | {
            "e": max(writer.applied_revision, job.progress.adoption_revision)
        }
        self.put(keys.progress_key(JOB), value)
        for task in taskset.task_numbers(release):
            self.truth.pop(task)
        self.truth.update(dict.fromkeys(taskset.task_numbers(claim), writer.incarnation_id))
        self.truth.update(dict.fromkeys(taskset.task_numbers(ended), "done"))


@pytest.mark.parametrize("seed", range(40))
def test_whatever_the_order_of_writes_all_readers_agree_on_who_has_a_task(seed: int) -> None:
    """Random adoptions, claims, releases and ends by three lagging controllers.

    One of them reads all again now and then: what the rows say is what was decided, write by write.
    """
    world = LaggingWriters(seed)
    for _ in range(150):
        world.step()
    told = world.store.read_again().jobs[JOB].progress
    assert told.claims == world.store.tables.jobs[JOB].progress.claims
    for task in range(30):
        holders = [holder for holder, mask in told.claims.items() if mask >> task & 1]
        if told.done >> task & 1:
            holders.append("done")
        assert holders == ([world.truth[task]] if task in world.truth else []), task


def test_an_adoption_of_an_earlier_view_is_not_stored_where_decreases_leave_no_room_for_a_row_of_adoptions(
    store: Store,
) -> None:
    """Guards against a task taken back from its machine's new owner: the view changes while the tables are read."""
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
