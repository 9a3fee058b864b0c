"""Tasks that fit few machine types: small tasks avoid those, and tasks of lower priority stop for a gang of one."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys, placement
from sloeswitch.core.machine import Machine
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.wire import MachineType
from tests.conftest import MACHINE_TYPE, SETTINGS, Store, spec, worker_report
from tests.support.single_controller import World, advance_time

LARGE = MachineType("large", 32.0, 0.0, 64.0, 50.0, 0.5, 1.3, 0.4, 25.0, ["a", "b"])
GANG: dict[str, Any] = {"shape": "group", "visits": 1, "cores": 30.0, "memoryGb": 51.0, "together": True}
SOLVE, FILL, OTHER = "wk-000001", "wk-000002", "wk-000003"


@pytest.fixture
def world(store: Store, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """vm-1 is large and full of tasks of a job of the least priority."""
    world = World(store, SETTINGS.replace("cpus_max = 20.0", "cpus_max = 100.0"))
    monkeypatch.setattr(world.clock, "wall_clock_ms", lambda: int((world.clock.time - 1000.0) * 1000))
    store.put(keys.CATALOG_KEY, msgspec.to_builtins(wire.MachineTypeCatalog([MACHINE_TYPE, LARGE])))
    store.put(keys.machine_group_key("g"), {"m": {"vm-1": ["127.0.0.1:9000", "large", "a", False]}})
    world.heartbeat(large(1, 0))
    world.heartbeat(large(2, 3))
    store.put(keys.quota_key("red"), {"c0.1": [100.0, 0.0]})
    store.job(spec(FILL, visits=32, cores=1.0, memoryGb=0.1, urgency="best_effort"))
    world.commit_and_place(ClaimRequest(task_counts={FILL: 32}))
    starts = world.heartbeat(large(3, 3)).commands
    world.heartbeat(large(4, 3, *((order.task, order.attempt, "running") for order in starts)))
    yield world


def large(serial: int, token: int, *tasks: Any) -> wire.WorkerReport:
    return msgspec.structs.replace(worker_report(serial, token, *tasks), type="large", spot=False)


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


def tick(world: World, seconds: float) -> int:
    """How many tasks on the machine are to stop after a tick; direct commands are not sent here."""
    advance_time(world, seconds)
    world.machines.queue.rebuild()
    world.machines.queue.queued_since = {
        job.spec.id: world.machines.queue.queued_since.get(job.spec.id, world.clock.time)
        for job in world.machines.queue.jobs
    }
    machine(world).reconciled = True
    kill = world.machines.registry.mark_for_kill
    world.machines.gang_preemption.kill = kill  # type: ignore[assignment]
    world.machines.gang_preemption.preempt_for_gangs(world.clock.time)
    return sum(attempt.kill_grace_s is not None for attempt in machine(world).attempts.values())


def test_tasks_that_fit_any_type_go_last_where_another_job_must_go() -> None:
    kinds = {kind.name: kind for kind in (MACHINE_TYPE, LARGE)}
    assert placement.scarce_types([spec(SOLVE, **GANG), spec()], kinds) == {"large"}
    assert placement.scarce_types([spec()], kinds) == set()
    capacities = [
        placement.FreeCapacity("vm-1", "large", "a", True, 32.0, 0.0, 64.0, {"img-1"}, scarce=True),
        placement.FreeCapacity("vm-2", "small", "a", False, 8.0, 0.0, 16.0),
    ]
    assert [capacity.machine for capacity in placement.rank_capacities(spec(), capacities)] == ["vm-2", "vm-1"]
    assert [capacity.machine for capacity in placement.rank_capacities(spec(SOLVE, **GANG), capacities)] == ["vm-1"]


def test_lower_priority_stops_for_a_gang_of_one_and_the_machine_is_reserved(world: World) -> None:
    world.store.job(spec(SOLVE, **GANG))
    assert tick(world, 0.1) == 0  # another controller may have free capacity
    assert tick(world, 2.5) == 30
    assert tick(world, 0.5) == 30  # once is enough
    left = [attempt for attempt in machine(world).attempts.values() if attempt.kill_grace_s is None]
    running = ((attempt.name, attempt.number, "running") for attempt in left)
    world.heartbeat(large(5, 3, *running))
    assert machine(world).usage.cores == 2.0
    # The stopped tasks do not take the capacity again.
    world.machines.task_placement.place_unplaced()
    world.machines.task_placement.fill_machine(machine(world))
    assert machine(world).usage.cores == 2.0
    world.commit_and_place(ClaimRequest(task_counts={SOLVE: 1}, zones={SOLVE: "a"}, zone_bound_tasks={SOLVE: 0b1}))
    assert machine(world).usage.cores == 32.0 and world.machines.registry.placed_tasks[SOLVE] == 0b1


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_reservation_lasts_no_longer_than_needed_or_a_worker_lease(world: World, cancelled: bool) -> None:
    world.store.job(spec(SOLVE, **GANG))
    tick(world, 0.1)
    assert tick(world, 2.5) == 30 and "vm-1" in world.machines.gang_preemption.reservations
    if cancelled:
        world.store.job(spec(SOLVE, **GANG), JobState.CANCELLED)
    tick(world, 0.1)
    assert bool(world.machines.gang_preemption.reservations) != cancelled
    # The tasks do not stop, and no others may.
    tick(world, world.settings.lease_s)
    assert not world.machines.gang_preemption.reservations


@pytest.mark.parametrize("urgency", ["standard", "critical"])
def test_equal_or_higher_priority_is_not_stopped(world: World, urgency: str) -> None:
    for attempt in machine(world).attempts.values():
        attempt.spec = msgspec.structs.replace(attempt.spec, priority=urgency)
    world.store.job(spec(SOLVE, **GANG))
    tick(world, 0.1)
    assert tick(world, 5.0) == 0


def test_tasks_of_jobs_before_it_in_the_queue_are_not_stopped(world: World) -> None:
    """A job that waited too long goes by age: nothing starves for being stopped again and again."""
    world.store.job(spec(SOLVE, **GANG))
    tick(world, 0.1)
    order = world.machines.queue.rebuild

    def aged() -> None:
        order()
        world.machines.queue.jobs.sort(key=lambda job: job.spec.id != FILL)

    world.machines.queue.rebuild = aged  # type: ignore[method-assign]
    assert FILL in [job.spec.id for job in world.machines.queue.jobs]
    assert tick(world, 5.0) == 0


def test_a_team_that_uses_up_its_quota_has_its_own_tasks_stopped(world: World) -> None:
    """The gang fits an empty machine and not the quota: nothing was stopped for it."""
    world.store.put(keys.machine_group_key("g2"), {"m": {"vm-2": ["127.0.0.1:9000", "large", "a", False]}})
    for serial, token in ((1, 0), (2, 3)):
        world.heartbeat(msgspec.structs.replace(large(serial, token), machine="vm-2"))
    world.machines.quota.available = lambda team, usage: ResourceAmount(50.0, 0.0)  # type: ignore[method-assign]
    world.store.job(spec(SOLVE, **GANG))
    tick(world, 0.1)
    assert tick(world, 2.5) == 12
    assert world.machines.gang_preemption.reservations.keys() == {"vm-2"}
    left = [attempt for attempt in machine(world).attempts.values() if attempt.kill_grace_s is None]
    world.store.put(keys.quota_key("red"), {"c0.1": [50.0, 0.0]})
    world.heartbeat(large(5, 3, *((attempt.name, attempt.number, "running") for attempt in left)))
    # Small tasks of the team do not take what was freed, not even one by one.
    world.machines.task_placement.place_unplaced()
    assert world.machines.quota.usage("red").cores == 20.0
    assert all(FILL not in asked.task_counts for asked in world.claim_requests())
    world.heartbeat(msgspec.structs.replace(large(3, 3), machine="vm-2"))
    world.commit_and_place(ClaimRequest(task_counts={SOLVE: 1}, zones={SOLVE: "a"}, zone_bound_tasks={SOLVE: 0b1}))
    assert world.machines.registry.placed_tasks[SOLVE] == 0b1 and world.machines.quota.usage("red").cores == 50.0


def test_with_too_few_tasks_of_the_team_to_stop_nothing_stops(world: World) -> None:
    world.machines.quota.available = lambda team, usage: ResourceAmount(29.0, 0.0)  # type: ignore[method-assign]
    world.store.job(spec(SOLVE, **GANG))
    for attempt in machine(world).attempts.values():
        attempt.spec = msgspec.structs.replace(attempt.spec, team="blue")
    tick(world, 0.1)
    assert tick(world, 5.0) == 0 and not world.machines.gang_preemption.reservations


def test_tasks_are_preempted_for_a_gang_that_only_an_ended_incarnation_has_claimed(world: World) -> None:
    """Failure found on the bench: its controller had ended, and no other preempted tasks for it or let it go first."""
    world.store.job(spec(SOLVE, **GANG))
    world.store.progress(SOLVE, c9_9=1)
    assert tick(world, 0.1) == 0
    assert not world.machines.queue._has_begun(world.store.tables.jobs[SOLVE])
    assert tick(world, 2.5) == 30
    # It is kept at the next tick too.
    assert tick(world, 0.1) == 30 and world.machines.gang_preemption.reservations


def test_nothing_is_preempted_for_a_gang_that_a_present_controller_has_claimed(world: World) -> None:
    world.store.job(spec(SOLVE, **GANG))
    world.store.progress(SOLVE, c0_1=1)
    tick(world, 0.1)
    assert tick(world, 5.0) == 0
