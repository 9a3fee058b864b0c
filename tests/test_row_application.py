"""Application of changed rows to the stored state, for each kind of row."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from sloeswitch.core import keys, taskset
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.keys import RowKind
from sloeswitch.core.records import JobState, SpecChunks
from sloeswitch.core.row_application import ROW_FUNCTIONS
from sloeswitch.core.row_codec import encode_job, split_spec
from tests.conftest import MACHINE_TYPE, Store, spec

JOB = "wk-000001"
ROW = ["127.0.0.1:9000", "small", "a", True]


def adoption(*tasks: int) -> dict[str, Any]:
    """Returns the value of an adoption row with tasks of the job."""
    return {"m": {JOB: taskset.pack(sum(1 << task for task in tasks))}}


def test_every_kind_of_row_has_its_function() -> None:
    assert set(ROW_FUNCTIONS) == set(RowKind)


def test_unknown_row_kinds_and_other_key_prefixes_are_ignored(store: Store) -> None:
    revision = store.put("s1/novelty/x", {"n": 1})
    assert store.tables.mod_revision("s1/novelty/x") == revision
    store.put("s2/j/wk-000001", {"s": "live"})
    assert store.tables.mod_revision("s2/j/wk-000001") == 0 and not store.tables.jobs


def test_a_job_waits_for_the_last_chunk_of_its_spec(store: Store) -> None:
    texts = split_spec(spec(JOB), 100)
    store.put(keys.job_key(JOB), encode_job(JobState.LIVE, spec(JOB), 5, SpecChunks("c0.1.1", len(texts))))
    for number in reversed(range(len(texts))):
        assert JOB not in store.tables.jobs
        store.put(keys.chunk_key(JOB, "c0.1.1", number), texts[number])
    assert store.tables.jobs[JOB].spec == spec(JOB) and not store.tables.unmatched_job_rows
    for number in range(len(texts)):
        store.put(keys.chunk_key(JOB, "c0.1.1", number), None)
    assert not store.tables.spec_chunks


def test_chunks_of_another_attempt_do_not_count(store: Store) -> None:
    texts = split_spec(spec(JOB), 100)
    store.put(keys.job_key(JOB), encode_job(JobState.LIVE, spec(JOB), 5, SpecChunks("c0.1.2", len(texts))))
    for number, text in enumerate(texts):
        store.put(keys.chunk_key(JOB, "c0.1.1", number), text)
    assert JOB not in store.tables.jobs


def test_a_job_in_an_unknown_state_is_kept_and_does_not_run(store: Store) -> None:
    store.job(spec(JOB), "paused")
    job = store.tables.jobs[JOB]
    assert job.status == "paused" and not job.is_runnable and not job.is_cancelled
    store.job(spec(JOB))
    assert job.status is JobState.LIVE and job.is_runnable


def test_a_finished_job_with_a_handoff_may_still_change(store: Store) -> None:
    key = keys.job_key(JOB)
    revision = store.put(key, {"s": JobState.DONE, "n": 4, "t": 9, "o": ["north", 7]})
    assert JOB in store.tables.finished_jobs_with_handoffs and store.tables.mod_revision(key) == revision
    store.put(key, {"s": JobState.DONE, "n": 4, "t": 9})
    assert JOB not in store.tables.finished_jobs_with_handoffs and store.tables.mod_revision(key) == 0
    store.put(key, {"s": JobState.CANCELLED, "n": 4, "t": 9})
    assert store.tables.finished_jobs[JOB].is_done, "it is final"


def test_progress_row_of_a_finished_job_is_tracked_until_it_is_deleted(store: Store) -> None:
    store.progress(JOB, done=0b1)
    store.put(keys.job_key(JOB), {"s": JobState.DONE, "n": 4})
    assert store.tables.leftover_progress == {JOB} and not store.tables.unmatched_progress
    store.put(keys.progress_key(JOB), None)
    assert not store.tables.leftover_progress


def test_adoptions_are_added_to_claims_until_the_progress_row_contains_them(store: Store) -> None:
    store.job(spec(JOB))
    store.progress(JOB, c1_2=0b11)
    revision = store.put(keys.adoption_key("c0.1", 1), adoption(0))
    assert store.tables.jobs[JOB].progress.claims == {"c1.2": 0b10, "c0.1": 0b01}
    store.progress(JOB, c1_2=0b11)
    assert store.tables.jobs[JOB].progress.claims == {"c1.2": 0b10, "c0.1": 0b01}, "not in the row: added again"
    store.put(keys.progress_key(JOB), {"d": [], "c": {"c1.2": [0, 2]}, "e": revision})
    assert store.tables.jobs[JOB].progress.claims == {"c1.2": 0b11}, "in the row: given up since"


def test_adoptions_are_dropped_with_the_last_row_of_their_incarnation(store: Store) -> None:
    store.put(keys.adoption_key("c0.1", 1), adoption(0))
    store.put(keys.adoption_key("c0.1", 2), adoption(1))
    store.put(keys.adoption_key("c1.2", 1), adoption(2))
    store.put(keys.adoption_key("c0.1", 1), None)
    assert [adopted.incarnation_id for adopted in store.tables.adoptions[JOB]] == ["c0.1", "c0.1", "c1.2"]
    store.put(keys.adoption_key("c0.1", 2), None)
    assert [adopted.incarnation_id for adopted in store.tables.adoptions[JOB]] == ["c1.2"]


def test_a_machine_is_deleted_with_its_last_group_and_restored_by_a_later_row(store: Store) -> None:
    for group in ("a", "b"):
        store.put(keys.machine_group_key(group), {"m": {"vm-1": ROW}})
    store.put(keys.machine_group_key("b"), {"m": {"vm-2": ROW}})
    assert store.tables.machines["vm-1"].key == keys.machine_group_key("a") and not store.tables.deleted_machines
    store.put(keys.machine_group_key("a"), None)
    assert set(store.tables.machines) == {"vm-2"} and store.tables.deleted_machines == {"vm-1"}
    store.put(keys.machine_key("vm-1"), {"a": "127.0.0.1:9000", "t": "small", "z": "a", "s": True})
    assert store.tables.machines["vm-1"].key == keys.machine_key("vm-1") and not store.tables.deleted_machines


def test_single_machine_types_are_added_to_those_of_the_catalog(store: Store) -> None:
    large = msgspec.structs.replace(MACHINE_TYPE, name="large")
    store.put(keys.machine_type_key("large"), msgspec.to_builtins(large))
    assert set(store.tables.machine_types) == {"small", "large"}
    store.put(keys.CATALOG_KEY, None)
    assert set(store.tables.machine_types) == {"large"}
    store.put(keys.machine_type_key("large"), None)
    assert not store.tables.machine_types


def test_deletions_of_lease_bound_rows_apply_and_others_are_ignored(store: Store) -> None:
    store.view(2, ("c0", 1))
    store.member("c0", 1)
    store.put_complete_layout()
    store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    store.put(keys.feature_key("cells"), {"seen": ["c0"], "complete": False})
    assert store.tables.coordinator == Incarnation("c0", 1)
    for key in (keys.COORDINATOR_KEY, keys.member_key("c0"), keys.VIEW_KEY, keys.LAYOUT_KEY, keys.feature_key("cells")):
        store.put(key, None)
    assert store.tables.coordinator is None and not store.tables.members
    assert store.tables.view.number == 2 and store.tables.layout_complete
    assert store.tables.features["cells"].members == ("c0",)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (keys.quota_key("red"), {"c0.1": [1.0]}),
        (keys.VIEW_KEY, {"n": 2, "members": [["c0"]]}),
        (keys.progress_key(JOB), {"d": [0], "c": {}}),
        (keys.machine_group_key("a"), ["vm-1"]),
        (keys.chunk_key(JOB, "c0.1.1", 0) + "/0", "text"),
        (keys.job_key(JOB), {"n": 4}),
    ],
)
def test_a_malformed_row_is_logged_and_changes_nothing_else(
    store: Store, caplog: pytest.LogCaptureFixture, key: str, value: Any
) -> None:
    store.put(key, value)
    assert f"stored value is malformed: key={key} error=" in caplog.text
    assert store.tables.view.number == 0 and not store.tables.jobs and not store.tables.quota_allocations
    store.job(spec("wk-000002"))
    assert list(store.tables.jobs) == ["wk-000002"]
