"""Two troubles at once: see docs/meetings.md."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.actors.autoscaler import Autoscaler
from sloeswitch.actors.jobs import ClaimRequest, TaskUpdates
from sloeswitch.core import keys, placement
from sloeswitch.core.cancellation_guard import OVERDUE_SHARE
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.machine_registry import Machine
from sloeswitch.core.records import JobState
from sloeswitch.http import Reply
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store, report, spec, submission
from tests.support.cluster import Clock
from tests.test_actors import JOB, World, machine_up
from tests.test_added_rules import Cloud, deletions, heartbeat, later, running
from tests.test_gap import told
from tests.test_pipelines import submit


@pytest.fixture
def world(store: Store, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    world = World(store)
    machine_up(world)
    cloud: Any = Cloud()
    world.machines.autoscaler = Autoscaler(
        world.settings, world.client, cloud, world.replica, world.leadership, world.clock
    )
    world.machines.autoscaler.machines = world.machines
    yield world


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


def cancelled(world: World, at: float | None = None) -> None:
    """The job is stored as cancelled, at that time."""
    value = dict(world.store.rows[keys.job_key(JOB)][0], s=JobState.CANCELLED)
    world.store.put(keys.job_key(JOB), value if at is None else {**value, "x": int(at * 1000)})


def look(world: World) -> None:
    """A tick's look after cancelled tasks and silent machines; direct commands do not arrive."""
    vm = machine(world)
    heard, vm.reconciled = vm.reconciled, False
    world.machines._kill_cancelled()
    vm.reconciled = heard
    world.machines.cancellation_overdue = world.machines.cancellations.has_overdue(world.clock.wall_clock_ms())
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines._check_machine(vm, world.clock.time)


def deleted(world: World) -> list[str]:
    assert isinstance(world.machines.autoscaler, Autoscaler)
    world.machines.autoscaler.wake = anyio.Event()  # of this event loop
    return deletions(world, world.machines.autoscaler)


@pytest.mark.parametrize("outage", [False, True])
def test_a_machine_that_hangs_with_a_cancelled_task_is_deleted_in_time(world: World, outage: bool) -> None:
    """Also while the state service is down, and although our books say that its lease is over."""
    running(world)
    cancelled(world)
    log = CancellationLog(10, 9)
    soon = OVERDUE_SHARE * world.settings.cancel_s
    since = world.clock.time
    look(world)
    while world.clock.time - since < soon - 1:
        if outage:
            world.clock.time += 1.0
            told(log, world)
        else:
            later(world, 1.0)
        look(world)
    assert world.leadership.may_answer_workers and world.leadership.is_leader != outage
    assert JOB not in world.machines.registry.placed_tasks  # its lease is over in our books
    assert deleted(world) == []
    world.clock.time += 2.0
    if outage:
        told(log, world)
    else:
        later(world, 0.0)
    look(world)
    assert deleted(world) == ["vm-1"]
    assert world.clock.time - since < 0.6 * world.settings.cancel_s


def test_a_machine_that_gave_the_cancelled_task_up_is_kept(world: World) -> None:
    task = running(world)
    cancelled(world)
    look(world)
    assert machine(world).cancelled_since is not None
    later(world, 1.0)
    heartbeat(world, report(5, 3, (*task, "running")))
    assert machine(world).cancelled_since is not None
    heartbeat(world, report(6, 3, (*task, "ended", "halted")))
    assert machine(world).cancelled_since is None
    later(world, world.settings.cancel_s)
    heartbeat(world, report(7, 3))
    look(world)
    assert deleted(world) == []


def test_a_new_owner_goes_by_the_time_when_the_cancellation_was_stored(world: World) -> None:
    running(world)
    cancelled(world, at=world.clock.time - 0.4 * world.settings.cancel_s)
    look(world)
    later(world, 0.2 * world.settings.cancel_s)
    look(world)
    assert deleted(world) == ["vm-1"]


@pytest.mark.parametrize("overdue", [True, False])
def test_a_silent_machine_that_was_taken_over_is_deleted_once_a_cancellation_is_overdue(
    world: World, overdue: bool
) -> None:
    """Nothing is known of what is on it. Failure found by the random world: it hung with a cancelled task, got another
    owner, and the state service was down: nobody deleted it."""
    running(world)
    machine(world).cancelled_since = None
    world.machines.registry.mark_unreconciled(machine(world), 3, world.clock.time + world.settings.takeover_gone_s)
    cancelled(world, at=world.clock.time - (0.6 if overdue else 0.1) * world.settings.cancel_s)
    log = CancellationLog(10, 9)
    for _ in range(5):
        world.clock.time += 1.0
        told(log, world)
        look(world)
    assert world.leadership.may_answer_workers
    assert deleted(world) == (["vm-1"] if overdue else [])


def test_the_time_of_a_cancellation_is_stored_with_it(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1)
    assert anyio.run(world.jobs.cancel, JOB) == "withdrawn"
    assert world.store.tables.jobs[JOB].cancelled_ms > 0


def test_a_controller_that_may_not_answer_deletes_nothing(world: World) -> None:
    """It stood still: the machine may have got another owner, and work from it."""
    running(world)
    cancelled(world)
    look(world)
    world.clock.time += world.settings.cancel_s
    look(world)
    assert deleted(world) == []
    later(world, 0.0)
    assert deleted(world) == []  # nor on what it thought of then


# -- users ask at all nodes within milliseconds


@pytest.mark.parametrize("answered", [False, True])
def test_a_read_does_not_serve_who_asks_after_it_was_sent(store: Store, answered: bool) -> None:
    """Whether it is still under way or answered by then. The clock stands still meanwhile, as one that goes in steps
    does: what another node told in between must be in the answer."""
    settings = parse(SETTINGS)
    clock = Clock()
    answers: list[wire.ChangeFeed] = []

    class Slow(StateClient):
        reads = 0

        async def call(self, method: str, path: str, body: Any, urgency: Any, hold_s: float = 0.0) -> Reply:
            self.reads += 1
            answer = wire.ChangeFeed(self.reads, list(answers[-1].events) if answers else [])
            await anyio.sleep(0)
            await anyio.sleep(0)
            return Reply(200, wire.encode(answer))

    client = Slow(settings, lambda: 1, clock.now)
    replica = Replica(client, store.tables, clock.now)
    replica.loaded = True
    store.job(spec())
    seen: list[str] = []

    async def play() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(replica._serve_reads)
            group.start_soon(replica.read_linearizable, 1.0)
            while not client.reads:
                await anyio.sleep(0)
            if answered:
                await replica.read_linearizable(1.0)
            # Another node stores and tells a cancellation now.
            row = dict(store.rows[keys.job_key(JOB)][0], s=JobState.CANCELLED)
            answers.append(wire.ChangeFeed(9, [wire.ChangeEvent(9, write=keys.job_key(JOB), value=row)]))
            await replica.read_linearizable(1.0)
            seen.append(store.tables.jobs[JOB].status)
            group.cancel_scope.cancel()

    anyio.run(play)
    assert seen == [JobState.CANCELLED] and client.reads == 2 + answered


# -- machines that cannot report, and late registrations


def test_a_machine_that_only_answers_commands_gets_no_work_and_goes_back(world: World) -> None:
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines._tick()
    world.store.job(spec())
    world.round(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": (8.0, 0.0)}))
    assert JOB in world.machines.registry.placed_tasks
    serial = 10
    begun = world.clock.time
    while not deleted(world):
        later(world, 1.0)
        serial += 1
        # Its lease runs out again and again, since direct commands do not renew it.
        session = 1 + int((world.clock.time - begun) // (world.settings.lease_s + 1))
        world.machines._command_reply(report(serial, 3, session=session))
        world.machines._tick()
        # It looks well by its answers; what was placed before is free for others.
        assert (JOB in world.machines.registry.placed_tasks) == (world.clock.time - begun < 3.0)
        assert world.clock.time - begun < 3 * world.settings.lease_s
    assert world.clock.time - begun > 2 * world.settings.lease_s


def test_after_an_outage_no_machine_goes_back_for_what_could_not_be_answered(world: World) -> None:
    world.machines.commands.probe_at["vm-1"] = world.clock.time + 1000.0
    world.machines._tick()
    for _ in range(5 * int(world.settings.lease_s)):
        world.clock.time += 1.0
        world.machines._tick()
    later(world, 0.0)
    world.machines._command_reply(report(90, 3, session=5))
    world.machines._tick()
    later(world, 2.0)
    world.machines._tick()
    assert deleted(world) == []


def test_a_registration_carried_out_after_the_deletion_is_looked_after(world: World) -> None:
    world.store.put(keys.group_key("c0.1.9"), {"m": {"vm-8": ["127.0.0.1:9008", "small", "a", True]}})
    later(world, 100.0)
    world.machines._tick()
    assert not world.machines.registry.machines["vm-8"].is_recovered
    for _ in range(4):
        later(world, 10.0)
        world.machines.commands.failures["vm-8"] = 2
        world.machines.next_check_at = 0.0
        world.machines._tick()
    assert "vm-8" in deleted(world)


# -- jobs bound to a zone


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_job_is_bound_to_a_zone_only_while_one_of_its_tasks_is_somewhere(world: World, bound: Any) -> None:
    """Jobs bound to a zone, arrays too, lose all machines there."""
    world.store.job(spec(**bound))
    world.round(
        ClaimRequest(
            task_counts={JOB: 4}, zones={JOB: "b"}, zone_bound_tasks={JOB: 0b1111}, quota_increases={"red": (8.0, 0.0)}
        )
    )
    job = world.store.tables.jobs[JOB]
    assert job.progress.zone == "b" and job.progress.claims
    world.tell_jobs(TaskUpdates(released={JOB: 0b0111}))
    later(world, 20.0)
    world.round()
    assert job.progress.zone == "b"  # one is still claimed, and may be there
    world.tell_jobs(TaskUpdates(released={JOB: 0b1000}))
    later(world, 20.0)
    world.round()
    assert job.progress.zone is None and not job.progress.claims
    world.round(ClaimRequest(task_counts={JOB: 4}, zones={JOB: "a"}, zone_bound_tasks={JOB: 0b1111}))
    assert job.progress.zone == "a"


# -- odd requests


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"spread": True, "district": "a"}, 422),
        ({"spread": True, "together": True}, 422),
        ({"spread": True, "visits": 1, "district": "a"}, 201),
        ({"spread": True}, 201),
        ({"builds": []}, 422),
        ({"builds": ["none"]}, 422),
        ({"district": "nowhere"}, 422),
        ({"cores": 8.5}, 422),
        ({"memoryGb": 17.0}, 422),
        ({"accelerators": 1}, 422),
        ({"shape": "group", "visits": 11}, 422),
        ({"crew": "nobody"}, 422),
        *(({name: ...}, 400) for name in submission() if name not in ("id", "builds", "district", "dueS")),
        *(({name: {}}, 400) for name in submission() if name != "id"),
    ],
)
def test_what_can_never_run_or_lacks_a_field_is_never_accepted(world: World, changes: Any, status: int) -> None:
    assert submit(world, JOB, **changes) == status
    # Before the machine types are known it is not decided; what is malformed is so at any time.
    world.store.tables.machine_types.clear()
    undecided = 400 if status == 400 else 503
    assert submit(world, "wk-000002", **changes) == undecided


def test_a_repeat_of_a_known_job_is_answered_whatever_else_is_in_it(world: World) -> None:
    assert submit(world, JOB) == 201
    for changes in ({"visits": 7}, {"cores": 99.0}, {"crew": "nobody"}, {"kit": ...}, {"urgency": 5}):
        assert submit(world, JOB, **changes) == 200
    assert world.store.tables.jobs[JOB].spec.tasks == 4


@pytest.mark.parametrize("bound", [{"together": True}, {"spread": True}])
def test_a_bound_job_is_claimed_only_with_a_zone_and_placed_by_it(world: World, bound: Any) -> None:
    """Failure found on the bench: claimed ahead while no machine had room, a job had no zone, and its tasks went to
    any."""
    world.store.job(spec(**bound))
    world.store.put(keys.team_key("red"), {"c0.1": [20.0, 0.0]})
    machine(world).draining = True
    world.machines._cores_ahead = lambda: 20.0  # type: ignore[method-assign]
    world.machines._rebuild_queue()
    assert all(not asked.task_counts for asked in world.claim_requests())
    world.round(ClaimRequest(task_counts={JOB: 4}))
    assert not world.store.tables.jobs[JOB].progress.claims
    machine(world).draining = False
    (asked,) = world.claim_requests()
    # All that the rules allow here, and nothing that would have no room.
    allowed = 0b0011 if "spread" in bound else 0b1111
    assert asked.zones == {JOB: "a"} and asked.zone_bound_tasks == {JOB: allowed}
    world.round(asked)
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": allowed}
    assert world.machines.registry.placed_tasks[JOB] == allowed


def test_tasks_for_other_zones_are_claimed_where_there_is_room_for_them(world: World) -> None:
    """Room in another zone than the stored one is for the upper half of a job that is spread."""
    world.store.job(spec(spread=True))
    world.store.put(keys.team_key("red"), {"c0.1": [20.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines._rebuild_queue()
    (asked,) = world.claim_requests()
    assert asked.zone_bound_tasks == {JOB: 0b1100}
    world.round(asked)
    assert world.machines.registry.placed_tasks[JOB] == 0b1100


def test_no_zone_is_chosen_while_tasks_without_one_are_somewhere(world: World) -> None:
    """As an earlier version may have left them."""
    world.store.job(spec(together=True))
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c0.1": [0, 1]}})
    world.round(
        ClaimRequest(
            task_counts={JOB: 3}, zones={JOB: "a"}, zone_bound_tasks={JOB: 0b1110}, quota_increases={"red": (8.0, 0.0)}
        )
    )
    assert world.store.tables.jobs[JOB].progress.claims == {"c0.1": 0b1}


def test_with_room_in_the_limit_for_one_task_it_is_one_that_has_room(world: World) -> None:
    world.store.job(spec(spread=True))
    world.store.put(keys.team_key("red"), {"c0.1": [2.0, 0.0]})
    world.store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.9": [0, 1]}, "z": "b"})
    world.machines.quota.available = lambda team, use: (2.0, 0.0)  # type: ignore[method-assign]
    world.machines._rebuild_queue()
    (asked,) = world.claim_requests()
    assert asked.zone_bound_tasks == {JOB: 0b0100}


def test_bound_tasks_take_no_more_room_than_asked_and_none_without_a_zone(world: World) -> None:
    world.store.job(spec(together=True))
    job = world.store.tables.jobs[JOB]
    rooms = [placement.FreeCapacity("vm-1", "small", "a", True, 8.0, 0.0, 16.0)]
    assert placement.pack_tasks(job, 0b1111, rooms) == []
    assert [index for index, _ in placement.pack_tasks(job, 0b1111, rooms, "a", 1)] == [0]
    assert rooms[0].cores == 6.0
    assert placement.pack_tasks(job, 0b1110, rooms, "b") == []
    world.store.job(spec("wk-000002", spread=True))
    assert placement.pack_tasks(world.store.tables.jobs["wk-000002"], 0b1111, rooms) == []
