"""The replicated tables: rows read in any order, and which tasks and quota are free to claim."""

from __future__ import annotations

from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import JobState, Progress
from sloeswitch.core.row_codec import encode_progress
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, Store, spec

JOB = "wk-000001"


def test_progress_read_before_its_job_is_kept(store: Store) -> None:
    store.progress(JOB, done=0b1)
    store.job(spec())
    assert store.tables.jobs[JOB].progress.done == 0b1


def test_an_older_change_is_ignored(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, done=0b11)
    store.tables.apply(keys.progress_key(JOB), encode_progress(Progress(0b1)), 1)
    assert store.tables.jobs[JOB].progress.done == 0b11


def test_an_older_read_does_not_restore_a_finished_job(store: Store) -> None:
    store.job(spec())
    store.put(keys.job_key(JOB), {"s": JobState.DONE, "n": 4})
    store.job(spec())  # An overlapping read returns an earlier version of the row.
    assert store.tables.finished_jobs[JOB][:2] == (JobState.DONE, 4)
    assert JOB not in store.tables.jobs


def test_malformed_stored_value_does_not_stop_the_rest(store: Store) -> None:
    store.put(keys.job_key(JOB), {"s": JobState.LIVE, "n": 4, "t": 0, "spec": {"id": 7}})
    store.job(spec("wk-000002"))
    assert list(store.tables.jobs) == ["wk-000002"]


def test_claims_of_a_departed_controller_are_valid_until_recovery_is_complete(store: Store) -> None:
    store.job(spec())
    store.progress(JOB, c0_1=0b1, c1_2=0b10)
    store.view(2, ("c0", 1))
    store.member("c0", 1, recovered_view=1)
    job = store.tables.jobs[JOB]
    assert not store.tables.recovery_complete()
    assert store.tables.unclaimed_tasks(job, store.tables.recovery_complete()) == 0b1100
    store.member("c0", 1, recovered_view=2)
    assert store.tables.recovery_complete()
    assert store.tables.unclaimed_tasks(job, True) == 0b1110
    assert store.tables.departed_claim_holders(job) == ["c1.2"]


def test_recovery_by_an_earlier_incarnation_does_not_count(store: Store) -> None:
    store.view(2, ("c0", 5))
    store.member("c0", 1, recovered_view=2)
    assert not store.tables.recovery_complete()


def test_allocations_of_departed_controllers_are_free_once_recovery_is_complete(store: Store) -> None:
    """Guards against a team whose jobs never start again after a crash of all controllers.

    The allocations of the crashed incarnations use up the team's quota and no controller requests more.
    """
    red = parse(SETTINGS).teams["red"]
    store.put(keys.quota_key("red"), {"c0.1": [14.0, 0.0], "c1.2": [6.0, 0.0]})
    store.view(2, ("c0", 3))
    store.member("c0", 3, recovered_view=1)
    assert store.tables.unallocated_quota(red)[0] == 0.0
    store.member("c0", 3, recovered_view=2)
    assert store.tables.unallocated_quota(red)[0] == 20.0


def test_a_cancellation_reported_while_a_snapshot_is_read_is_not_lost(store: Store) -> None:
    """Guards against a job that goes on although it is cancelled, because its page was read before the cancellation."""
    dependent = "wk-000002"
    store.job(spec())
    store.job(spec(dependent, awaits=[JOB]))
    snapshot = store.read_again()
    store.tables.apply_peer_cancellation(Cancellation(JOB, 99))
    store.tables.replace_by_snapshot(snapshot)
    assert store.tables.jobs[JOB].is_cancelled and store.tables.jobs[dependent].is_cancelled
    assert JOB in store.tables.peer_cancellations


def test_a_reported_cancellation_that_a_snapshot_shows_is_settled(store: Store) -> None:
    store.job(spec())
    store.tables.apply_peer_cancellation(Cancellation(JOB, 99))
    store.job(spec(), JobState.CANCELLED)
    store.tables.peer_cancellations[JOB] = 99  # The replica has not read the row before the snapshot.
    store.tables.replace_by_snapshot(store.read_again())
    assert store.tables.jobs[JOB].is_cancelled and not store.tables.peer_cancellations


def test_a_snapshot_replaces_all_rows_and_keeps_the_cancellation_log(store: Store) -> None:
    store.job(spec())
    cancellations = store.tables.cancellations
    snapshot = store.read_again()
    store.job(spec("wk-000002"))
    store.tables.replace_by_snapshot(snapshot)
    assert list(store.tables.jobs) == [JOB] and store.tables.cancellations is cancellations
    # The graph of the dependencies belongs to the replaced rows.
    assert store.tables.graph.jobs is store.tables.jobs
