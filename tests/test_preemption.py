"""Which tasks of lower priority stop, decided without an actor."""

from __future__ import annotations

from typing import Any

from sloeswitch.core import preemption
from sloeswitch.core.machine import Attempt, AttemptState
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from tests.conftest import Store, spec

SOLVE, FILL = "wk-000001", "wk-000002"
GANG: dict[str, Any] = {"shape": "group", "visits": 1, "cores": 6.0, "memoryGb": 1.0}


def free_capacity(name: str, free: float) -> FreeCapacity:
    return FreeCapacity(name, "small", "a", True, free, 0.0, 16.0)


def running(count: int, **changes: Any) -> list[Attempt]:
    """Tasks of one core each, started one after the other."""
    job = spec(FILL, **{"visits": count, "cores": 1.0, "memoryGb": 0.1, "urgency": "best_effort", **changes})
    return [
        Attempt(FILL, index, 1, job, AttemptState.RUNNING, reported=True, placed_at=float(index))
        for index in range(count)
    ]


def choose(
    store: Store, *machines: tuple[FreeCapacity, list[Attempt]], behind: bool = True, preemptible: int = 0
) -> preemption.Preemption | None:
    store.job(spec(SOLVE, **GANG))
    positions = {SOLVE: 0, FILL: 1} if behind else {FILL: 0, SOLVE: 1}
    order = preemption.QueueOrder(positions, {FILL: preemptible})
    return preemption.plan_preemption(store.tables.jobs[SOLVE], machines, order)


def test_the_machine_with_the_fewest_tasks_to_stop_is_chosen_and_the_youngest_stop(store: Store) -> None:
    chosen = choose(store, (free_capacity("vm-1", 0.0), running(8)), (free_capacity("vm-2", 4.0), running(4)))
    assert chosen is not None and chosen.machine == "vm-2"
    assert [attempt.index for attempt in chosen.attempts] == [3, 2]


def test_nothing_stops_where_the_task_would_not_fit_then(store: Store) -> None:
    assert choose(store, (free_capacity("vm-1", 0.0), running(5))) is None


def test_equal_priority_gangs_and_what_stops_already_are_left(store: Store) -> None:
    assert choose(store, (free_capacity("vm-1", 0.0), running(8, urgency="standard"))) is None
    assert choose(store, (free_capacity("vm-1", 0.0), running(8, shape="group"))) is None
    stopping = running(8)
    for attempt in stopping:
        attempt.kill_grace_s = 0.0
    assert choose(store, (free_capacity("vm-1", 0.0), stopping)) is None


def test_what_stands_before_it_in_the_queue_is_left(store: Store) -> None:
    assert choose(store, (free_capacity("vm-1", 0.0), running(8)), behind=False) is None


def test_of_a_job_ordered_by_age_a_part_goes_on(store: Store) -> None:
    """Failure found on the bench: the machines that gangs fit stayed full of old best-effort work for eight leases."""
    full = (free_capacity("vm-1", 0.0), running(8))
    assert choose(store, full, behind=False, preemptible=5) is None
    chosen = choose(store, full, behind=False, preemptible=6)
    assert chosen is not None and len(chosen.attempts) == 6


def test_a_job_ordered_by_age_yields_half_of_what_runs(store: Store) -> None:
    store.job(spec(FILL, visits=8))
    store.job(spec(SOLVE, **GANG))
    old, new = store.tables.jobs[FILL], store.tables.jobs[SOLVE]
    old.queue_rank, new.queue_rank = (1, False, False, 0, 0), (2, False, True, 2, 1)
    order = preemption.QueueOrder.of([old, new], {FILL: 0b11111})
    assert order.preemptible_counts == {FILL: 2} and order.is_behind(FILL, SOLVE) and not order.is_behind(SOLVE, FILL)


def test_at_the_limit_only_the_teams_own_tasks_are_stopped(store: Store) -> None:
    job = spec(SOLVE, **GANG)
    mixed = [*running(4, crew="blue"), *running(4)]
    chosen = preemption.choose_quota_victims(job, ResourceUsage(3.0), mixed)
    assert chosen is not None and {attempt.spec.team for attempt in chosen} == {"red"} and len(chosen) == 3
    assert preemption.choose_quota_victims(job, ResourceUsage(5.0), mixed) is None
