"""The order of the queue, and which controller begins where in it."""

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


def test_a_job_with_little_time_goes_before_an_older_one_with_much(store: Store) -> None:
    """Failure found on the bench: short jobs were late behind long ones of the same class."""
    store.job(spec("wk-000001", expectedS=100.0, dueS=260.0, visits=5))
    store.job(spec("wk-000002", expectedS=10.0, dueS=35.0, visits=5))
    assert [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), 0)] == [
        "wk-000002",
        "wk-000001",
    ]


def test_a_team_that_had_too_much_is_promised_nothing_for_what_is_left(store: Store) -> None:
    """Failure found on the bench: with a backlog the oldest work of each team counted as guaranteed.

    It did so whatever its priority, and visits with little time waited behind refreshes.
    """
    for number in range(1, 4):
        store.job(spec(f"wk-{number:06d}", visits=4, urgency="best_effort"))  # 8 of the 8 cores guaranteed
    store.job(spec("wk-000004", visits=4, urgency="standard"))

    def queued() -> list[str]:
        return [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), 1000)]

    assert queued() == ["wk-000001", "wk-000004", "wk-000002", "wk-000003"]
    store.put(keys.job_key("wk-000001"), {"s": JobState.DONE, "n": 4})
    assert queued() == ["wk-000004", "wk-000002", "wk-000003"]


def test_dealt_out_order_keeps_every_job_once(store: Store) -> None:
    for number in range(5):
        store.job(spec(f"wk-00000{number}"))
    jobs = list(store.tables.jobs.values())
    for turn in range(3):
        assert {job.spec.id for job in claim_order.rotate(jobs, 3, turn)} == {job.spec.id for job in jobs}
    assert claim_order.rotate(jobs, 3, 1)[0] is jobs[1]


def test_jobs_whose_image_is_at_home_come_first_among_equals_only(store: Store) -> None:
    for number in range(30):
        urgency = "critical" if number < 6 else "standard"
        store.job(spec(f"wk-{number:06d}", urgency=urgency, kit=f"img-{number % 2}", cores=0.01))
    queue = job_queue.queue_order(store.tables, parse(SETTINGS), 1000)
    dealt = list(claim_order.order_by_affinity(queue, 2, 0, lambda job: job.spec.image == "img-1"))
    assert {job.spec.id for job in dealt} == {job.spec.id for job in queue} and len(dealt) == 30
    assert [job.spec.image for job in dealt[:6]] == ["img-1"] * 3 + ["img-0"] * 3
    assert {job.spec.priority for job in dealt[:6]} == {"critical"}
    # Nobody's turn moves by more than the window.
    assert all(
        abs(queue.index(job) - place) < claim_order.AFFINITY_WINDOW_PER_CONTROLLER * 2
        for place, job in enumerate(dealt)
    )


def test_a_job_that_cannot_be_in_time_any_more_stands_back(store: Store) -> None:
    store.job(spec("wk-000001", dueS=60.0))
    store.job(spec("wk-000002", dueS=90.0))
    settings = parse(SETTINGS)
    assert [job.spec.id for job in job_queue.queue_order(store.tables, settings, 10_000)] == ["wk-000001", "wk-000002"]
    assert [job.spec.id for job in job_queue.queue_order(store.tables, settings, 30_000)] == ["wk-000002", "wk-000001"]
