"""Join counters and cancellations with rows that arrive in any order."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from tests.conftest import Store, spec

JOB_A, JOB_B, JOB_C = "wk-000001", "wk-000002", "wk-000003"


def chain(store: Store, order: tuple[str, ...]) -> None:
    """Stores a chain of jobs: JOB_C depends on JOB_B, JOB_B on JOB_A. Their rows are read in the given order."""
    prerequisites: dict[str, list[str]] = {JOB_A: [], JOB_B: [JOB_A], JOB_C: [JOB_B]}
    for name in order:
        store.job(spec(name, awaits=prerequisites[name]))


def finish(store: Store, name: str, state: JobState, finished_ms: int = 0) -> None:
    """Stores the job as finished in the given state."""
    row: dict[str, Any] = {"s": state, "n": 4, "t": finished_ms}
    store.put(keys.job_key(name), row)


@pytest.mark.parametrize("order", list(itertools.permutations((JOB_A, JOB_B, JOB_C))))
def test_a_completion_releases_the_successors_once(store: Store, order: tuple[str, ...]) -> None:
    chain(store, order)
    jobs = store.tables.jobs
    assert [jobs[name].unfinished_prerequisites for name in (JOB_A, JOB_B, JOB_C)] == [0, 1, 1]
    finish(store, JOB_A, JobState.DONE, 5000)
    finish(store, JOB_A, JobState.DONE, 5000)
    assert jobs[JOB_B].is_runnable and jobs[JOB_B].ready_ms == 5000 and not jobs[JOB_C].is_runnable
    assert jobs[JOB_B].ready_revision > jobs[JOB_B].mod_revision


@pytest.mark.parametrize("order", list(itertools.permutations((JOB_A, JOB_B, JOB_C))))
def test_a_cancellation_cancels_all_dependent_jobs(store: Store, order: tuple[str, ...]) -> None:
    chain(store, order)
    finish(store, JOB_A, JobState.CANCELLED)
    assert all(store.tables.jobs[name].is_cancelled for name in (JOB_B, JOB_C))
    assert not store.tables.graph.successors and store.tables.graph.priorities_stale


def test_a_job_read_after_the_completion_or_cancellation_of_its_prerequisite(store: Store) -> None:
    finish(store, JOB_A, JobState.DONE, 5000)
    store.job(spec(JOB_B, awaits=[JOB_A]))
    assert store.tables.jobs[JOB_B].is_runnable and store.tables.jobs[JOB_B].ready_ms == 5000
    store.job(spec(JOB_B, awaits=[JOB_A]), JobState.CANCELLED)
    store.job(spec(JOB_C, awaits=[JOB_B]))
    assert store.tables.jobs[JOB_C].prerequisite_cancelled and not store.tables.jobs[JOB_C].is_runnable


def test_a_completion_without_a_stored_time_keeps_the_submission_as_the_ready_time(store: Store) -> None:
    store.job(spec(JOB_B, awaits=[JOB_A]))
    finish(store, JOB_A, JobState.DONE)
    assert store.tables.jobs[JOB_B].ready_ms == store.tables.jobs[JOB_B].submitted_ms


def test_a_long_chain_is_cancelled_without_recursion(store: Store) -> None:
    names = [f"wk-{number:06d}" for number in range(3000)]
    for prerequisite, name in itertools.pairwise(names):
        store.job(spec(name, awaits=[prerequisite]))
    finish(store, names[0], JobState.CANCELLED)
    assert store.tables.jobs[names[-1]].is_cancelled
