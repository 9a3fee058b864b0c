"""The completion of gangs: their tasks complete together, and not every machine reports it."""

from __future__ import annotations

from typing import Any

import pytest

from sloeswitch import wire
from sloeswitch.core import keys
from sloeswitch.core.commit_planner import plan_commit
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.core.uncommitted_updates import JobUpdates
from tests.conftest import SETTINGS, Store, spec
from tests.support.cluster import World
from tests.support.commit_plans import DEPARTED, JOB, OWN, snapshot, store_recovered_view, stored_claims

# No accepted job waits longer than this once troubles are over.
MAX_WAIT_S = 90.0
RUN_S = 5.0
# The gang is started several times if messages to its machines are lost; the test is void if it never completes.
MAX_START_S = 600.0
# A task whose gang is not complete after this time exits.
GANG_WAIT_S = 30.0


class GangWorld(World):
    """A cluster with one gang, whose tasks complete together; the machine of one of them stops at that moment.

    Attributes:
        lost_task: The index of the task whose machine stops before it reports the completion.
        crash: Whether the controllers are restarted at the same moment.
        completed_at: When the gang completed; None while it has not.
    """

    def __init__(self, seed: int, tasks: int, lost_task: int, crash: bool) -> None:
        super().__init__(
            seed, members=("c0", "c1", "c2"), machines=24, text=SETTINGS.replace("cpus_max = 20.0", "cpus_max = 100.0")
        )
        self.task_end_probability = 0.0
        self.tasks = tasks
        self.lost_task = lost_task
        self.crash = crash
        # When each attempt began to wait for its gang, by task and attempt number.
        self.waiting_since: dict[tuple[str, int], float] = {}
        self.running_since: float | None = None
        self.completed_at: float | None = None

    def step(self, fault_free: bool = False) -> None:
        """Completes the gang once all its tasks have run for a while; ends tasks that have waited too long for it."""
        super().step(fault_free)
        present = [
            (worker, key) for worker in self.workers for key in worker.tasks if worker.tasks[key][0] == "running"
        ]
        if self.completed_at is None and len(present) == self.tasks:
            self.running_since = self.running_since or self.clock.time
            if self.clock.time - self.running_since > RUN_S:
                self._complete()
            return
        self.running_since = None
        for worker, key in present:
            if self.clock.time - self.waiting_since.setdefault(key, self.clock.time) > GANG_WAIT_S:
                worker.tasks[key] = ("ended", "alone")

    def _complete(self) -> None:
        self.completed_at = self.clock.time
        for worker in list(self.workers):
            for task, attempt in list(worker.tasks):
                worker.tasks[task, attempt] = ("ended", "done")
                self.completed_tasks.add(task)
                if task == f"{JOB}/{self.lost_task}":
                    self.workers.remove(worker)
        if self.crash:
            for name in self.members:
                self.nodes[name] = self.new_node(name)

    def is_done(self) -> bool:
        """Whether every controller reports the gang as done."""
        return all(node.jobs.status(JOB) == wire.JobStatus.DONE for node in self.nodes.values())


@pytest.mark.parametrize("crash", [False, True])
@pytest.mark.parametrize(("tasks", "lost_task"), [(2, 1), (2, 0), (4, 2), (7, 0)])
def test_a_gang_is_done_although_a_machine_stops_before_it_reports_that(
    tasks: int, lost_task: int, crash: bool
) -> None:
    """Guards against gangs that are never done: the tasks not reported as done were never started again."""
    world = GangWorld(seed=tasks, tasks=tasks, lost_task=lost_task, crash=crash)
    world.start()
    while not world.submit(world.nodes["c0"], spec(JOB, shape="group", visits=tasks, cores=5.0)):
        world.step(fault_free=True)
    submitted_at = world.clock.time
    while world.completed_at is None:
        assert world.clock.time < submitted_at + MAX_START_S
        world.step(fault_free=True)
    while not world.is_done():
        assert world.clock.time < world.completed_at + MAX_WAIT_S
        world.step(fault_free=True)


def gang_of_four(store: Store, done: int, **claims: int) -> None:
    store_recovered_view(store)
    store.job(spec(JOB, shape="group"))
    store.progress(JOB, done, **claims)


def planned_end(store: Store, updates: dict[str, JobUpdates]) -> Any:
    """The state in the row with which a plan ends the job; None if the plan does not write the job's row."""
    row = plan_commit(snapshot(store, updates), [JOB]).transaction.writes.get(keys.job_key(JOB))
    return None if row is None else row["s"]


def test_the_completion_of_one_task_is_stored_as_that_of_the_gang(store: Store) -> None:
    gang_of_four(store, 0, c0_1=0b1111)
    assert planned_end(store, {JOB: JobUpdates(done=0b0100)}) == JobState.DONE


def test_the_completion_of_one_task_of_an_array_is_not_that_of_others(store: Store) -> None:
    store_recovered_view(store)
    store.job(spec(JOB))
    store.progress(JOB, c0_1=0b1111)
    plan = plan_commit(snapshot(store, {JOB: JobUpdates(done=0b0100)}), [JOB])
    assert keys.job_key(JOB) not in plan.transaction.writes
    assert stored_claims(plan) == {OWN: 0b1011}


def test_a_gang_of_which_an_earlier_version_stored_some_tasks_as_done_ends(store: Store) -> None:
    gang_of_four(store, 0b0001, c0_1=0b1110)
    assert planned_end(store, {}) == JobState.DONE


def test_a_completed_gang_moves_no_quota_with_its_adopted_tasks(store: Store) -> None:
    """Guards against quota that moves twice: the former holder may have used that of a completed task for another."""
    store.put_complete_layout()
    gang_of_four(store, 0, c1_1=0b1111)
    store.put(keys.quota_key("red"), {DEPARTED: [8.0, 0.0]})
    updates = {JOB: JobUpdates(done=0b0001, adopted=0b1111, adopted_view=3)}
    plan = plan_commit(snapshot(store, updates, recovery_complete=False), [JOB])
    assert keys.quota_key("red") not in plan.transaction.writes
    assert store.tables.quota_allocation("red", DEPARTED) == ResourceAmount(8.0, 0.0)
