"""Two troubles at once: see docs/meetings.md."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import pytest

from sloeswitch.actors import machines
from sloeswitch.actors.fleet import Fleet
from sloeswitch.actors.machines import OVERDUE
from sloeswitch.core import tables as t
from sloeswitch.core.cancellations import Cancellations
from sloeswitch.core.yard import Machine
from tests.conftest import Store, report, spec
from tests.test_actors import JOB, World, machine_up
from tests.test_added_rules import Cloud, beat, deletions, later, running
from tests.test_gap import told


@pytest.fixture
def world(store: Store, monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    world = World(store)
    monkeypatch.setattr(machines, "wall_ms", lambda: int(world.clock.time * 1000))
    machine_up(world)
    cloud: Any = Cloud()
    world.machines.fleet = Fleet(
        world.settings, world.client, cloud, world.replica, world.standing, world.clock
    )  # fmt: skip
    world.machines.fleet.machines = world.machines
    yield world


def machine(world: World) -> Machine:
    return world.machines.yard.machines["vm-1"]


def cancelled(world: World, at: float | None = None) -> None:
    """The job is stored as cancelled, at that time."""
    value = dict(world.store.rows[t.job_key(JOB)][0], s=t.WITHDRAWN)
    world.store.put(t.job_key(JOB), value if at is None else {**value, "x": int(at * 1000)})


def look(world: World) -> None:
    """A tick's look after cancelled tasks and silent machines; direct commands do not arrive."""
    vm = machine(world)
    heard, vm.heard = vm.heard, False
    world.machines._stop_cancelled()
    vm.heard = heard
    world.machines.probing["vm-1"] = world.clock.time + 1000.0
    world.machines._watch_over(vm, world.clock.time)


def deleted(world: World) -> list[str]:
    assert world.machines.fleet is not None
    world.machines.fleet.wake = anyio.Event()  # of this event loop
    return deletions(world, world.machines.fleet)


@pytest.mark.parametrize("outage", [False, True])
def test_a_machine_that_hangs_with_a_cancelled_task_is_deleted_in_time(world: World, outage: bool) -> None:
    """Also while the state service is down, and although our books say that its lease is over."""
    running(world)
    cancelled(world)
    log = Cancellations(10, 9)
    soon = OVERDUE * world.settings.cancel_s
    since = world.clock.time
    look(world)
    while world.clock.time - since < soon - 1:
        if outage:
            world.clock.time += 1.0
            told(log, world)
        else:
            later(world, 1.0)
        look(world)
    assert world.standing.may_answer and world.standing.may_act != outage
    assert JOB not in world.machines.yard.placed  # its lease is over in our books
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
    beat(world, report(5, 3, (*task, "running")))
    assert machine(world).cancelled_since is not None
    beat(world, report(6, 3, (*task, "ended", "halted")))
    assert machine(world).cancelled_since is None
    later(world, world.settings.cancel_s)
    beat(world, report(7, 3))
    look(world)
    assert deleted(world) == []


def test_a_new_owner_goes_by_the_time_when_the_cancellation_was_stored(world: World) -> None:
    running(world)
    cancelled(world, at=world.clock.time - 0.4 * world.settings.cancel_s)
    look(world)
    later(world, 0.2 * world.settings.cancel_s)
    look(world)
    assert deleted(world) == ["vm-1"]


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
