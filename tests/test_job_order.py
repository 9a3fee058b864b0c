"""The order of the queue, and the order in which each controller claims its jobs."""

from __future__ import annotations

from sloeswitch.core import claim_order, job_queue, keys
from sloeswitch.core.records import JobState
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec


def test_order_is_guarantee_then_priority_then_age(store: Store) -> None:
    store.job(spec("wk-000001", urgency="best_effort"))
    store.job(spec("wk-000002", visits=3))
    store.job(spec("wk-000003", visits=3))
    store.job(spec("wk-000004", urgency="urgent"))
    names = [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), 0)]
    assert names == ["wk-000004", "wk-000001", "wk-000002", "wk-000003"]


def test_a_job_with_less_slack_goes_before_an_older_one_with_more(store: Store) -> None:
    """Guards against short jobs that miss their targets behind long jobs of the same class."""
    store.job(spec("wk-000001", expectedS=100.0, dueS=260.0, visits=5))
    store.job(spec("wk-000002", expectedS=10.0, dueS=35.0, visits=5))
    assert [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), 0)] == [
        "wk-000002",
        "wk-000001",
    ]


def test_backlog_beyond_the_guarantee_does_not_become_guaranteed_when_older_jobs_finish(store: Store) -> None:
    """Guards against a backlog whose oldest jobs always count as guaranteed, whatever their priority.

    Jobs with little time left would wait behind it.
    """
    for number in range(1, 4):
        store.job(spec(f"wk-{number:06d}", visits=4, urgency="best_effort"))  # each job wants all 8 guaranteed cores
    store.job(spec("wk-000004", visits=4, urgency="standard"))

    def queued() -> list[str]:
        return [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), 1000)]

    assert queued() == ["wk-000001", "wk-000004", "wk-000002", "wk-000003"]
    store.put(keys.job_key("wk-000001"), {"s": JobState.DONE, "n": 4})
    assert queued() == ["wk-000004", "wk-000002", "wk-000003"]


def test_rotation_keeps_every_job_once(store: Store) -> None:
    for number in range(5):
        store.job(spec(f"wk-00000{number}"))
    jobs = list(store.tables.jobs.values())
    for position in range(3):
        assert {job.spec.id for job in claim_order.rotate(jobs, 3, position)} == {job.spec.id for job in jobs}
    assert claim_order.rotate(jobs, 3, 1)[0] is jobs[1]


def test_jobs_with_image_affinity_come_first_among_jobs_of_equal_rank_only(store: Store) -> None:
    for number in range(30):
        urgency = "critical" if number < 6 else "standard"
        store.job(spec(f"wk-{number:06d}", urgency=urgency, kit=f"img-{number % 2}", cores=0.01))
    queue = job_queue.queue_order(store.tables, parse(SETTINGS), 1000)
    ordered = list(claim_order.order_by_affinity(queue, 2, 0, lambda job: job.spec.image == "img-1"))
    assert {job.spec.id for job in ordered} == {job.spec.id for job in queue} and len(ordered) == 30
    assert [job.spec.image for job in ordered[:6]] == ["img-1"] * 3 + ["img-0"] * 3
    assert {job.spec.priority for job in ordered[:6]} == {"critical"}
    # No job moves by as much as the size of a window.
    assert all(
        abs(queue.index(job) - position) < claim_order.AFFINITY_WINDOW_PER_CONTROLLER * 2
        for position, job in enumerate(ordered)
    )


def test_a_job_that_can_meet_no_target_goes_behind_those_that_can(store: Store) -> None:
    store.job(spec("wk-000001", dueS=60.0))
    store.job(spec("wk-000002", dueS=90.0))
    settings = parse(SETTINGS)
    assert [job.spec.id for job in job_queue.queue_order(store.tables, settings, 10_000)] == ["wk-000001", "wk-000002"]
    assert [job.spec.id for job in job_queue.queue_order(store.tables, settings, 30_000)] == ["wk-000002", "wk-000001"]
