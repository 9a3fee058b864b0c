"""Failures of tasks: faulty machines are distinguished from faulty jobs."""

from __future__ import annotations

import anyio

from sloeswitch.core import keys
from sloeswitch.core.health import Health
from tests.conftest import Store, worker_report
from tests.support.single_controller import World, advance_time, register_machine, start_task

# No job is left waiting for this long while a machine that fits has room.
MAX_WAIT_S = 90.0


def test_a_machine_on_which_different_jobs_fail_is_quarantined() -> None:
    health = Health(1.0, 100.0, 24.0)
    health.record_failure("wk-1", "vm-1", 0.0)
    assert not health.is_machine_quarantined("vm-1") and health.is_machine_avoided("wk-1", "vm-1", 23.9)
    health.record_failure("wk-2", "vm-1", 0.0)
    assert health.is_machine_quarantined("vm-1")
    assert not health.is_job_faulty("wk-1") and not health.is_job_faulty("wk-2")


def test_a_job_that_fails_on_all_machines_quarantines_none_and_backs_off() -> None:
    health = Health(1.0, 100.0, 24.0)
    for name in ("vm-1", "vm-2", "vm-3"):
        health.record_failure("wk-1", name, 0.0)
    assert health.is_job_faulty("wk-1")
    assert not any(health.is_machine_quarantined(name) for name in ("vm-1", "vm-2", "vm-3"))
    assert health.is_job_paused("wk-1", 0.5) and not health.is_job_paused("wk-1", 1.0)
    health.record_failure("wk-1", "vm-1", 1.0)
    assert health.is_job_paused("wk-1", 2.9)


def test_one_success_ends_the_backoff_of_a_faulty_job() -> None:
    health = Health(1.0, 100.0, 24.0)
    for name in ("vm-1", "vm-2", "vm-3"):
        health.record_failure("wk-1", name, 0.0)
    health.record_success("wk-1", "vm-4")
    assert not health.is_job_faulty("wk-1") and not health.is_job_paused("wk-1", 0.0)


def test_backoff_doubles_up_to_its_maximum_and_only_when_a_retry_was_due() -> None:
    health = Health(1.0, 3.0, 24.0)
    for name in ("vm-1", "vm-2", "vm-3", "vm-4"):
        health.record_failure("wk-1", name, 0.0)
    assert health.jobs["wk-1"].backoff_s == 1.0
    health.record_failure("wk-1", "vm-1", 1.0)
    health.record_failure("wk-1", "vm-1", 10.0)
    assert health.jobs["wk-1"].backoff_s == 3.0 and health.is_job_paused("wk-1", 12.9)


def test_a_success_resets_the_consecutive_failures_of_a_machine() -> None:
    health = Health(1.0, 100.0, 24.0)
    health.record_failure("wk-1", "vm-1", 0.0)
    health.record_success("wk-2", "vm-1")
    health.record_failure("wk-3", "vm-1", 0.0)
    assert not health.is_machine_quarantined("vm-1") and health.is_machine_avoided("wk-1", "vm-1", 23.9)


def test_a_job_avoids_a_machine_only_for_a_while_after_each_failure() -> None:
    health = Health(1.0, 100.0, 24.0)
    health.record_failure("wk-1", "vm-1", 0.0)
    assert health.is_machine_avoided("wk-1", "vm-1", 23.9) and not health.is_machine_avoided("wk-1", "vm-1", 24.0)
    assert not health.is_machine_avoided("wk-1", "vm-2", 1.0)
    health.record_failure("wk-1", "vm-1", 30.0)
    assert health.is_machine_avoided("wk-1", "vm-1", 53.9) and health.is_machine_quarantined("vm-1")


def report_and_place(world: World, sequence: int, name: str = "vm-1") -> list[str]:
    """Lets a second pass and stores and places what is claimed; returns the tasks that the machine is to start."""
    advance_time(world, 1.0)
    world.machines.task_updates.prune_stored()
    world.machines.task_updates.send()
    while world.jobs._inbox:
        anyio.run(world.jobs.handle, world.jobs._inbox.popleft())
    world.machines.queue.rebuild()
    world.commit_and_place(next(iter(world.claim_requests()), None))
    commands = world.heartbeat(worker_report(sequence, 3, name=name)).commands
    return [command.task for command in commands if command.verb == "start"]


def test_a_job_that_failed_once_on_the_only_machine_is_started_there_again(store: Store) -> None:
    """Guards against a job that waits for ever beside a machine with room, because its task failed there once."""
    world = World(store)
    register_machine(world)
    task, attempt = start_task(world)
    world.heartbeat(worker_report(5, 3, (task, attempt, "ended", "error")))
    started: list[tuple[int, str]] = []
    for second in range(1, int(MAX_WAIT_S)):
        started += [(second, name) for name in report_and_place(world, 5 + second)]
    assert [name for _, name in started[:1]] == [task], "not started again"
    # Meanwhile another machine could have come up.
    assert started[0][0] >= world.settings.lease_s


def test_a_job_that_failed_on_a_machine_is_started_on_another_one_at_once(store: Store) -> None:
    world = World(store)
    register_machine(world)
    task, attempt = start_task(world)
    world.store.put(keys.machine_key("vm-2"), {"a": "127.0.0.1:9001", "t": "small", "z": "a", "s": True})
    world.heartbeat(worker_report(1, 0, name="vm-2"))
    world.heartbeat(worker_report(2, 3, name="vm-2"))
    world.heartbeat(worker_report(5, 3, (task, attempt, "ended", "error")))
    started = [name for second in range(5) for name in report_and_place(world, 3 + second, "vm-2")]
    assert set(started) == {task}


def test_a_faulty_job_is_retried_often_enough_once_its_machines_are_sound(store: Store) -> None:
    """Guards against a job that failed on several faulty machines and then waits for minutes beside sound ones."""
    health = World(store).machines.health
    failed_at = 0.0
    for _ in range(20):
        for name in ("vm-1", "vm-2", "vm-3"):
            health.record_failure("wk-1", name, failed_at)
        assert health.is_job_faulty("wk-1")
        assert health.jobs["wk-1"].retry_at - failed_at < MAX_WAIT_S
        failed_at = health.jobs["wk-1"].retry_at
