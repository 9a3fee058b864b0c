"""Tasks that fit few machine types: small tasks avoid these types, and gangs of one task preempt lower priorities."""

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
GANG_JOB, SMALL_JOB = "wk-000001", "wk-000002"


@pytest.fixture
def world(store: Store, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    """vm-1 is a large machine, full of tasks of a job with the lowest priority."""
    world = World(store, SETTINGS.replace("cpus_max = 20.0", "cpus_max = 100.0"))
    monkeypatch.setattr(world.clock, "wall_clock_ms", lambda: int((world.clock.time - 1000.0) * 1000))
    store.put(keys.CATALOG_KEY, msgspec.to_builtins(wire.MachineTypeCatalog([MACHINE_TYPE, LARGE])))
    store.put(keys.machine_group_key("g"), {"m": {"vm-1": ["127.0.0.1:9000", "large", "a", False]}})
    world.heartbeat(large(1, 0))
    world.heartbeat(large(2, 3))
    store.put(keys.quota_key("red"), {"c0.1": [100.0, 0.0]})
    store.job(spec(SMALL_JOB, visits=32, cores=1.0, memoryGb=0.1, urgency="best_effort"))
    world.commit_and_place(ClaimRequest(task_counts={SMALL_JOB: 32}))
    starts = world.heartbeat(large(3, 3)).commands
    world.heartbeat(large(4, 3, *((order.task, order.attempt, "running") for order in starts)))
    yield world


def large(sequence: int, token: int, *tasks: Any) -> wire.WorkerReport:
    return msgspec.structs.replace(worker_report(sequence, token, *tasks), type="large", spot=False)


def machine(world: World) -> Machine:
    return world.machines.registry.machines["vm-1"]


def tick(world: World, seconds: float) -> int:
    """Runs a tick after some seconds, without sending direct commands.

    Returns:
        The number of tasks on the machine that are being stopped.
    """
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


def test_tasks_that_fit_any_type_use_scarce_types_last() -> None:
    types = {machine_type.name: machine_type for machine_type in (MACHINE_TYPE, LARGE)}
    assert placement.scarce_types([spec(GANG_JOB, **GANG), spec()], types) == {"large"}
    assert placement.scarce_types([spec()], types) == set()
    capacities = [
        placement.FreeCapacity("vm-1", "large", "a", True, 32.0, 0.0, 64.0, {"img-1"}, scarce=True),
        placement.FreeCapacity("vm-2", "small", "a", False, 8.0, 0.0, 16.0),
    ]
    assert [capacity.machine for capacity in placement.rank_capacities(spec(), capacities)] == ["vm-2", "vm-1"]
    assert [capacity.machine for capacity in placement.rank_capacities(spec(GANG_JOB, **GANG), capacities)] == ["vm-1"]


def test_a_gang_of_one_preempts_lower_priority_and_its_machine_is_reserved(world: World) -> None:
    world.store.job(spec(GANG_JOB, **GANG))
    assert tick(world, 0.1) == 0  # another controller may have free capacity
    assert tick(world, 2.5) == 30
    assert tick(world, 0.5) == 30  # no more tasks are stopped
    remaining = [attempt for attempt in machine(world).attempts.values() if attempt.kill_grace_s is None]
    running = ((attempt.name, attempt.number, "running") for attempt in remaining)
    world.heartbeat(large(5, 3, *running))
    assert machine(world).usage.cores == 2.0
    # The tasks that were stopped are not placed on the reserved capacity again.
    world.machines.task_placement.place_unplaced()
    world.machines.task_placement.fill_machine(machine(world))
    assert machine(world).usage.cores == 2.0
    world.commit_and_place(
        ClaimRequest(task_counts={GANG_JOB: 1}, zones={GANG_JOB: "a"}, zone_bound_tasks={GANG_JOB: 0b1})
    )
    assert machine(world).usage.cores == 32.0 and world.machines.registry.placed_tasks[GANG_JOB] == 0b1


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_reservation_lasts_no_longer_than_needed_or_a_worker_lease(world: World, cancelled: bool) -> None:
    world.store.job(spec(GANG_JOB, **GANG))
    tick(world, 0.1)
    assert tick(world, 2.5) == 30 and "vm-1" in world.machines.gang_preemption.reservations
    if cancelled:
        world.store.job(spec(GANG_JOB, **GANG), JobState.CANCELLED)
    tick(world, 0.1)
    assert bool(world.machines.gang_preemption.reservations) != cancelled
    # The reservation expires although the tasks did not stop.
    tick(world, world.settings.lease_s)
    assert not world.machines.gang_preemption.reservations


@pytest.mark.parametrize("urgency", ["standard", "critical"])
def test_equal_or_higher_priority_is_not_preempted(world: World, urgency: str) -> None:
    for attempt in machine(world).attempts.values():
        attempt.spec = msgspec.structs.replace(attempt.spec, priority=urgency)
    world.store.job(spec(GANG_JOB, **GANG))
    tick(world, 0.1)
    assert tick(world, 5.0) == 0


def test_tasks_of_jobs_ahead_in_the_queue_are_not_preempted(world: World) -> None:
    """Guards against starvation by repeated preemption: a job that has waited too long is ordered by age."""
    world.store.job(spec(GANG_JOB, **GANG))
    tick(world, 0.1)
    rebuild = world.machines.queue.rebuild

    def rebuild_by_age() -> None:
        rebuild()
        world.machines.queue.jobs.sort(key=lambda job: job.spec.id != SMALL_JOB)

    world.machines.queue.rebuild = rebuild_by_age  # type: ignore[method-assign]
    assert SMALL_JOB in [job.spec.id for job in world.machines.queue.jobs]
    assert tick(world, 5.0) == 0


def test_a_gang_beyond_the_team_quota_preempts_tasks_of_its_own_team(world: World) -> None:
    """Guards against a gang that never starts because it fits an empty machine but not the team's quota."""
    world.store.put(keys.machine_group_key("g2"), {"m": {"vm-2": ["127.0.0.1:9000", "large", "a", False]}})
    for sequence, token in ((1, 0), (2, 3)):
        world.heartbeat(msgspec.structs.replace(large(sequence, token), machine="vm-2"))
    world.machines.quota.available = lambda team, usage: ResourceAmount(50.0, 0.0)  # type: ignore[method-assign]
    world.store.job(spec(GANG_JOB, **GANG))
    tick(world, 0.1)
    assert tick(world, 2.5) == 12
    assert world.machines.gang_preemption.reservations.keys() == {"vm-2"}
    remaining = [attempt for attempt in machine(world).attempts.values() if attempt.kill_grace_s is None]
    world.store.put(keys.quota_key("red"), {"c0.1": [50.0, 0.0]})
    world.heartbeat(large(5, 3, *((attempt.name, attempt.number, "running") for attempt in remaining)))
    # Small tasks of the team do not use up the freed quota.
    world.machines.task_placement.place_unplaced()
    assert world.machines.quota.usage("red").cores == 20.0
    assert all(SMALL_JOB not in request.task_counts for request in world.claim_requests())
    world.heartbeat(msgspec.structs.replace(large(3, 3), machine="vm-2"))
    world.commit_and_place(
        ClaimRequest(task_counts={GANG_JOB: 1}, zones={GANG_JOB: "a"}, zone_bound_tasks={GANG_JOB: 0b1})
    )
    assert world.machines.registry.placed_tasks[GANG_JOB] == 0b1 and world.machines.quota.usage("red").cores == 50.0


def test_nothing_is_preempted_if_the_team_has_too_few_tasks_to_stop(world: World) -> None:
    world.machines.quota.available = lambda team, usage: ResourceAmount(29.0, 0.0)  # type: ignore[method-assign]
    world.store.job(spec(GANG_JOB, **GANG))
    for attempt in machine(world).attempts.values():
        attempt.spec = msgspec.structs.replace(attempt.spec, team="blue")
    tick(world, 0.1)
    assert tick(world, 5.0) == 0 and not world.machines.gang_preemption.reservations


def test_tasks_are_preempted_for_a_gang_claimed_only_by_a_departed_incarnation(world: World) -> None:
    """Guards against a gang that never starts because the controller that claimed it terminated.

    Such a gang must not count as started, and other controllers must preempt tasks for it.
    """
    world.store.job(spec(GANG_JOB, **GANG))
    world.store.progress(GANG_JOB, c9_9=1)
    assert tick(world, 0.1) == 0
    assert not world.machines.queue._has_started(world.store.tables.jobs[GANG_JOB])
    assert tick(world, 2.5) == 30
    # The reservation remains at the next tick.
    assert tick(world, 0.1) == 30 and world.machines.gang_preemption.reservations


def test_nothing_is_preempted_for_a_gang_claimed_by_a_controller_in_the_view(world: World) -> None:
    world.store.job(spec(GANG_JOB, **GANG))
    world.store.progress(GANG_JOB, c0_1=1)
    tick(world, 0.1)
    assert tick(world, 5.0) == 0
