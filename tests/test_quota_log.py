"""Log lines about quotas: changes of allocations, and usage that no allocation covers."""

from __future__ import annotations

import logging

import pytest

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.core import keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.uncommitted_updates import TaskUpdates
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import JOB, World, register_machine, start_task


@pytest.fixture
def world(store: Store, caplog: pytest.LogCaptureFixture) -> World:
    caplog.set_level(logging.INFO)
    world = World(store)
    register_machine(world)
    return world


def logged(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    return [line for line in caplog.messages if line.startswith(event)]


def test_change_of_allocations_is_logged_with_its_reasons(world: World, caplog: pytest.LogCaptureFixture) -> None:
    world.store.put_complete_layout()
    world.store.member("c0", 1, recovered_view=2)
    world.store.job(spec())
    world.store.progress(JOB, c1_9=0b11)
    world.store.put(keys.quota_key("red"), {"c1.9": [6.0, 0.0]})
    world.send_task_updates(TaskUpdates(adopted={JOB: 0b01}, view_number=3))
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(9.0)}))
    assert logged(caplog, "quota allocations") == [
        "quota allocations changed: team=red before=c1.9:6 after=c0.1:9,c1.9:4 reasons=adoption,increase view=3"
        f" revision={world.store.revision}"
    ]
    world.store.member("c0", 1, recovered_view=3)
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(12.0)}))
    assert "before=c0.1:9,c1.9:4 after=c0.1:12 reasons=increase,departed" in caplog.messages[-1]


def test_unanswered_change_of_allocations_is_logged(world: World, caplog: pytest.LogCaptureFixture) -> None:
    world.client.lose_answers = 1
    world.commit_and_place(ClaimRequest(quota_increases={"red": ResourceAmount(9.0)}))
    assert logged(caplog, "quota allocations") == [
        f"quota allocations unanswered: team=red before=- after=c0.1:9 reasons=increase view=3"
        f" revision={world.store.revision}"
    ]


def test_completed_recovery_of_a_view_is_logged_once(world: World, caplog: pytest.LogCaptureFixture) -> None:
    for _ in range(3):
        world.machines._update_accounting()
    assert logged(caplog, "recovery complete") == [f"recovery complete: view=3 revision={world.store.revision}"]


def test_foreign_attempts_of_a_machine_are_logged_when_first_reported(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    world.store.job(spec())
    for sequence in (3, 4):
        world.heartbeat(worker_report(sequence, 3, (f"{JOB}/0", 5, "running"), (f"{JOB}/1", 5, "running")))
    assert logged(caplog, "foreign attempts") == [
        "foreign attempts found: machine=vm-1 attempts=2 cores=red:4 reasons=late:2 view=3"
    ]


def test_usage_above_the_stored_allocation_is_logged_once_each_time_it_begins(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    start_task(world)
    for _ in range(2):
        for cores in (1.0, 1.0, 8.0):
            world.store.put(keys.quota_key("red"), {"c0.1": [cores, 0.0]})
            world.machines._update_accounting()
    warnings = logged(caplog, "usage above the allocation")
    assert len(warnings) == 2 and "team=red usage=2 allocation=1 view=3 revision=" in warnings[0]


def test_usage_above_the_allocation_is_not_logged_while_adoptions_are_not_stored(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    start_task(world)
    world.store.put(keys.quota_key("red"), {"c0.1": [1.0, 0.0]})
    world.machines.registry.adopting[JOB] = 0b10
    world.machines._update_accounting()
    assert not logged(caplog, "usage above the allocation")


def test_placed_tasks_are_logged_with_usage_and_allocation_at_debug_level(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG)
    start_task(world)
    assert [line.partition(" team=")[2] for line in logged(caplog, "tasks placed")] == [
        "red usage=2 allocation=8 view=3"
    ]
