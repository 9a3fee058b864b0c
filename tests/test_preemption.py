"""The choice of tasks of lower priority to stop, without actors."""

from __future__ import annotations

from typing import Any

from sloeswitch.core import preemption
from sloeswitch.core.machine import Attempt, AttemptState
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from tests.conftest import Store, spec

PREEMPTOR, RUNNING_JOB = "wk-000001", "wk-000002"
GANG: dict[str, Any] = {"shape": "group", "visits": 1, "cores": 6.0, "memoryGb": 1.0}


def free_capacity(name: str, free_cores: float) -> FreeCapacity:
    return FreeCapacity(name, "small", "a", True, free_cores, 0.0, 16.0)


def running(count: int, **changes: Any) -> list[Attempt]:
    """Running tasks of one core each; each was placed one second after the one before it."""
    job = spec(RUNNING_JOB, **{"visits": count, "cores": 1.0, "memoryGb": 0.1, "urgency": "best_effort", **changes})
    return [
        Attempt(RUNNING_JOB, index, 1, job, AttemptState.RUNNING, reported=True, placed_at=float(index))
        for index in range(count)
    ]


def plan(
    store: Store, *machines: tuple[FreeCapacity, list[Attempt]], preemptor_first: bool = True, preemptible: int = 0
) -> preemption.Preemption | None:
    store.job(spec(PREEMPTOR, **GANG))
    positions = {PREEMPTOR: 0, RUNNING_JOB: 1} if preemptor_first else {RUNNING_JOB: 0, PREEMPTOR: 1}
    order = preemption.QueueOrder(positions, {RUNNING_JOB: preemptible})
    return preemption.plan_preemption(store.tables.jobs[PREEMPTOR], machines, order)


def test_the_machine_with_the_fewest_tasks_to_stop_is_chosen_and_the_youngest_stop(store: Store) -> None:
    chosen = plan(store, (free_capacity("vm-1", 0.0), running(8)), (free_capacity("vm-2", 4.0), running(4)))
    assert chosen is not None and chosen.machine == "vm-2"
    assert [attempt.index for attempt in chosen.attempts] == [3, 2]


def test_nothing_stops_where_the_task_would_still_not_fit(store: Store) -> None:
    assert plan(store, (free_capacity("vm-1", 0.0), running(5))) is None


def test_attempts_of_equal_priority_gang_attempts_and_stopping_attempts_are_not_preempted(store: Store) -> None:
    assert plan(store, (free_capacity("vm-1", 0.0), running(8, urgency="standard"))) is None
    assert plan(store, (free_capacity("vm-1", 0.0), running(8, shape="group"))) is None
    stopping = running(8)
    for attempt in stopping:
        attempt.kill_grace_s = 0.0
    assert plan(store, (free_capacity("vm-1", 0.0), stopping)) is None


def test_jobs_ahead_in_the_queue_are_not_preempted(store: Store) -> None:
    assert plan(store, (free_capacity("vm-1", 0.0), running(8)), preemptor_first=False) is None


def test_only_a_limited_number_of_tasks_of_a_job_ordered_by_age_is_preempted(store: Store) -> None:
    """Guards against machines that stay full of old best-effort tasks while gangs that fit only them wait.

    Without preemption of jobs ordered by age, the gangs would wait until they are starved.
    """
    full = (free_capacity("vm-1", 0.0), running(8))
    assert plan(store, full, preemptor_first=False, preemptible=5) is None
    chosen = plan(store, full, preemptor_first=False, preemptible=6)
    assert chosen is not None and len(chosen.attempts) == 6


def test_half_of_the_running_tasks_of_a_job_ordered_by_age_are_preemptible(store: Store) -> None:
    store.job(spec(RUNNING_JOB, visits=8))
    store.job(spec(PREEMPTOR, **GANG))
    old, new = store.tables.jobs[RUNNING_JOB], store.tables.jobs[PREEMPTOR]
    old.queue_rank, new.queue_rank = (1, False, False, 0, 0), (2, False, True, 2, 1)
    order = preemption.QueueOrder.of([old, new], {RUNNING_JOB: 0b11111})
    assert (
        order.preemptible_counts == {RUNNING_JOB: 2}
        and order.precedes(RUNNING_JOB, PREEMPTOR)
        and not order.precedes(PREEMPTOR, RUNNING_JOB)
    )


def test_at_the_limit_only_the_teams_own_tasks_are_stopped(store: Store) -> None:
    job = spec(PREEMPTOR, **GANG)
    mixed = [*running(4, crew="blue"), *running(4)]
    chosen = preemption.choose_quota_victims(job, ResourceUsage(3.0), mixed)
    assert chosen is not None and {attempt.spec.team for attempt in chosen} == {"red"} and len(chosen) == 3
    assert preemption.choose_quota_victims(job, ResourceUsage(5.0), mixed) is None
