"""Starvation: the waits for the first and for the last task of a job are bounded."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from sloeswitch.core import job_queue
from sloeswitch.core.job_priority import PRIORITY_RANKS
from sloeswitch.core.job_queue import STARVATION_LEASES, GuaranteeLedger, QueueKey, StarvationRank
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec
from tests.support.single_controller import JOB, World, register_machine

LEASE_S = 10.0


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def names(store: Store, wall_s: float) -> list[str]:
    return [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), int(wall_s * 1000))]


def test_a_job_that_has_not_started_goes_first_after_a_bounded_wait(store: Store) -> None:
    store.job(spec("wk-000001", urgency="best_effort", visits=5000))
    store.job(spec("wk-000002", urgency="critical", visits=9))  # more than the guarantee
    assert names(store, STARVATION_LEASES * LEASE_S - 1) == ["wk-000002", "wk-000001"]
    assert names(store, STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"
    # Once it has started, it goes behind the other job again until it has waited twice as long.
    store.progress("wk-000001", done=0b1)
    store.progress("wk-000002", done=0b1)
    assert names(store, STARVATION_LEASES * LEASE_S + 1) == ["wk-000002", "wk-000001"]
    assert names(store, 2 * STARVATION_LEASES * LEASE_S + 1) == ["wk-000001", "wk-000002"]


def test_a_job_past_all_targets_goes_behind_others_for_a_bounded_time(store: Store) -> None:
    store.job(spec("wk-000001", dueS=20.0))
    store.progress("wk-000001", done=0b1)
    store.job(spec("wk-000002", dueS=500.0))
    store.progress("wk-000002", done=0b1)
    assert names(store, 60.0)[0] == "wk-000002"
    assert names(store, 2 * STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"


def test_jobs_of_every_team_and_class_start_within_four_minutes(store: Store) -> None:
    """The wait of a job that has not started is bounded, whatever other jobs arrive."""
    store.job(spec("wk-000001", urgency="best_effort", crew="red", visits=300))
    for number in range(2, 40):
        store.job(spec(f"wk-{number:06d}", urgency="critical", dueS=1000.0))
        store.progress(f"wk-{number:06d}", done=0b1)
    assert STARVATION_LEASES * 14.0 < 0.5 * 240.0
    assert names(store, STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"


def test_only_a_part_of_a_starved_job_goes_first(world: World) -> None:
    world.store.job(spec(visits=16, cores=0.1, memoryGb=0.0))
    job, again = job_queue.queue_order(
        world.store.tables, world.settings, int((STARVATION_LEASES * LEASE_S + 1) * 1000)
    )
    assert job is again and job.starved
    world.machines.queue.jobs = [job]
    assert world.claim_requests()[0].task_counts == {JOB: 2}
    # At its ordinary position it gets the rest of the free capacity.
    world.machines.queue.jobs = [job, job]
    assert world.claim_requests()[0].task_counts == {JOB: 16}


def test_a_job_whose_claimed_tasks_are_not_placed_has_not_started(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1)
    assert not world.machines.queue._has_started(world.store.tables.jobs[JOB])
    world.store.progress(JOB, c1_2=0b1)
    assert world.machines.queue._has_started(world.store.tables.jobs[JOB])


def test_starvation_rank_depends_on_age_and_on_started_tasks() -> None:
    first_s, last_s = STARVATION_LEASES * LEASE_S, 2 * STARVATION_LEASES * LEASE_S
    rank = job_queue.starvation_rank
    assert rank(False, first_s - 0.1, LEASE_S) is rank(True, first_s, LEASE_S) is StarvationRank.ORDINARY
    assert rank(False, first_s, LEASE_S) is rank(False, 2 * last_s, LEASE_S) is StarvationRank.NOT_STARTED
    assert rank(True, last_s, LEASE_S) is StarvationRank.ORDINARY
    assert rank(True, last_s + 0.1, LEASE_S) is StarvationRank.NOT_DONE


def test_rank_excludes_the_tie_breaker_and_marks_jobs_ordered_by_age(store: Store) -> None:
    store.job(spec("wk-000001", visits=1))
    store.job(spec("wk-000002", visits=1))
    store.job(spec("wk-000003", visits=1, urgency="best_effort"))
    names(store, 1.0)
    jobs = store.tables.jobs
    assert jobs["wk-000001"].queue_rank == jobs["wk-000002"].queue_rank != jobs["wk-000003"].queue_rank
    key = QueueKey(StarvationRank.ORDINARY, False, True, 2, 0, 7.5)
    assert key == (2, False, True, 2, 0, 7.5) and key.rank == (2, False, True, 2, 0)
    assert not job_queue.is_ordered_by_age(jobs["wk-000001"])
    names(store, 2 * STARVATION_LEASES * LEASE_S + 1)
    assert not job_queue.is_ordered_by_age(jobs["wk-000001"])  # not started: a part of it goes first instead
    store.progress("wk-000001", done=0b1)
    names(store, 2 * STARVATION_LEASES * LEASE_S + 1)
    assert job_queue.is_ordered_by_age(jobs["wk-000001"])


def test_urgent_jobs_count_against_urgent_jobs_only_and_other_jobs_against_all(store: Store) -> None:
    """Of a team's 8 guaranteed cores, standard jobs get only what older jobs leave; an urgent job ignores those."""
    ledger = GuaranteeLedger(parse(SETTINGS))
    for number, urgency in enumerate(("standard", "critical", "standard")):
        store.job(spec(f"wk-00000{number}", urgency=urgency, visits=4, cores=1.0))
    first, urgent, second = store.tables.jobs.values()
    found = [
        (demand.cores, ledger.covers(job, demand))
        for job in (first, urgent, second)
        for demand in [ledger.add_demand(job, PRIORITY_RANKS[job.spec.priority])]
    ]
    assert found == [(4.0, True), (4.0, True), (12.0, False)]
