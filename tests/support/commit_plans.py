"""Helpers for tests of the commit planner: snapshots to plan from, and the claims and conditions of a plan."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from sloeswitch.core import keys, taskset
from sloeswitch.core.commit_planner import CommitLimits, CommitPlan, CommitSnapshot, RequestedClaims
from sloeswitch.core.uncommitted_updates import JobUpdates
from sloeswitch.settings import Team
from tests.conftest import Store

JOB, OTHER, THIRD = "wk-000001", "wk-000002", "wk-000003"
OWN, SIBLING, DEPARTED = "c0.1", "c1.2", "c1.1"
NOW_MS = 1_700_000_000_000
LARGE_LIMITS = CommitLimits(changes=12, transaction_changes=12, value_bytes=16_000, total_bytes=100_000)
TEAMS = {"red": Team("red", 8.0, 20.0, 0.0, 0.0), "blue": Team("blue", 8.0, 20.0, 0.0, 0.0)}


def store_recovered_view(store: Store) -> None:
    """Stores view 3, whose members are this controller and a sibling, both with recovery complete."""
    store.view(3, ("c0", 1), ("c1", 2))
    store.member("c0", 1, recovered_view=3)
    store.member("c1", 2, recovered_view=3)


def snapshot(store: Store, updates: dict[str, JobUpdates] | None = None, **changes: Any) -> CommitSnapshot:
    """Returns the snapshot of the leader c0.1, with `changes` to its fields."""
    tables = store.tables
    base = CommitSnapshot(
        tables=tables,
        teams=TEAMS,
        incarnation_id=OWN,
        updates=updates or {},
        limits=LARGE_LIMITS,
        is_leader=True,
        recovery_complete=tables.recovery_complete(),
        view_conditions={keys.VIEW_KEY: tables.mod_revision(keys.VIEW_KEY)},
        applied_revision=store.revision,
        wall_clock_ms=NOW_MS,
    )
    return replace(base, **changes)


def claim_request(count: int, job: str = JOB, **changes: Any) -> RequestedClaims:
    return RequestedClaims(task_counts={job: count}, **changes)


def stored_claims(plan: CommitPlan, name: str = JOB) -> dict[str, int]:
    """Returns the claims in the progress row that a plan writes."""
    packed = plan.transaction.writes[keys.progress_key(name)]["c"]
    return {holder: taskset.unpack(tasks) for holder, tasks in packed.items()}


def row_conditions(store: Store, name: str = JOB) -> dict[str, int]:
    job = store.tables.jobs[name]
    return {keys.job_key(name): job.mod_revision, keys.progress_key(name): job.progress_revision}
