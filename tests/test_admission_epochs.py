"""Admission epochs: which jobs are admitted by guarantee, round robin, starvation timeout and free capacity."""

from __future__ import annotations

import msgspec
import pytest

from sloeswitch.admission import cuts
from sloeswitch.admission import epoch as epochs
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.cuts import Lane, Ticket, row_path
from sloeswitch.admission.decisions import DecisionReason, decide, lane_of
from sloeswitch.admission.limits import MAX_WAIT_WITH_CAPACITY_S
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from sloeswitch.core.scaling import InstanceKind
from tests.conftest import spec
from tests.support.admission_cluster import START_MS, Cluster


def test_without_overload_nothing_is_deferred_and_rows_are_written_once_per_lead() -> None:
    cluster = Cluster()
    written = 0
    for number in range(200):
        cluster.advance_time(cluster.limits.epoch_s)
        cluster.submit(f"wk-{number:06d}", visits=1)
        assert f"wk-{number:06d}" in cluster.admitted()
        cluster.store.put(keys.job_key(f"wk-{number:06d}"), {"s": JobState.DONE, "n": 1, "t": cluster.now_ms})
        written += cluster.epoch()
    assert written <= 200 * cluster.limits.epoch_s / cluster.limits.lead_s + 1


def test_a_job_within_its_guarantee_is_admitted_in_one_epoch_during_a_flood() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (4.0, 400.0)})
    cluster.overload(10_000)
    cluster.submit("wk-990000", crew="blue", urgency="urgent", visits=3)
    cluster.submit("wk-990001", crew="blue", urgency="urgent", visits=3)
    assert "wk-990000" not in cluster.admitted()
    cluster.advance_time(cluster.limits.guarantee_bound_s())
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-990000"], "what is beyond the guarantee waits for its turn"


@pytest.mark.parametrize("before", [0, 3])
def test_wait_bound_holds_for_the_head_of_a_lane_and_jobs_behind_it(before: int) -> None:
    """Without any free capacity only the starvation timeout admits jobs."""
    cluster = Cluster()
    names = cluster.overload(before + 1)
    submitted_ms = cluster.now_ms
    # The first epoch runs as late as is allowed.
    while names[-1] not in cluster.admitted():
        cluster.advance_time(cluster.limits.epoch_s)
        cluster.epoch()
        assert cluster.now_ms - submitted_ms <= 1000 * cluster.limits.bound_s(before)
    assert (before == 0) or cluster.now_ms - submitted_ms > 1000 * cluster.limits.head_bound_s()
    assert cluster.limits.starvation_timeout_s < MAX_WAIT_WITH_CAPACITY_S / 2


def test_an_epoch_admits_at_most_max_admissions_and_the_next_one_continues() -> None:
    """Guards against an epoch that takes longer than a controller's lease, as with thousands of jobs that fit."""
    cluster = Cluster(machines=3000)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS)
    for number in range(1500):
        cluster.submit(f"wk-1{number:05d}", visits=4)
    cluster.epoch()
    max_admissions = cluster.limits.max_admissions
    assert len(cluster.admitted()) == max_admissions + 1 < 1500
    cluster.advance_time(cluster.limits.epoch_s)
    cluster.epoch()
    assert len(cluster.admitted()) == min(1501, 2 * max_admissions + 1)


def test_no_lane_starves_during_a_flood_of_higher_priority() -> None:
    cluster = Cluster()
    cluster.overload(50, urgency="critical")
    cluster.submit("wk-990000", urgency="best_effort")
    cluster.submit("wk-990001", crew="blue", roster="index")
    cluster.advance_time(cluster.limits.head_bound_s())
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-990000", "wk-990001"]


def test_a_class_first_seen_during_overload_has_the_common_cut() -> None:
    cluster = Cluster()
    cluster.overload(3)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    cluster.submit("wk-990000", roster="fresh")
    row = cluster.store.tables.admission_rows[cuts.ROOT_PATH]
    fresh = lane_of(cluster.store.tables.jobs["wk-990000"].spec)
    assert fresh not in row.lanes and "wk-990000" not in cluster.admitted()
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    assert fresh in cluster.store.tables.admission_rows[cuts.ROOT_PATH].lanes and "wk-990000" in cluster.admitted()


def test_cancelled_jobs_in_a_lane_do_not_delay_its_cut() -> None:
    cluster = Cluster()
    names = cluster.overload(100)
    for name in names[:90]:
        cluster.cancel(name)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    assert names[90] in cluster.admitted() and names[91] not in cluster.admitted()


def test_admitted_jobs_stay_admitted_when_machines_are_lost() -> None:
    cluster = Cluster(machines=40)
    cluster.after_lead()
    names = [f"wk-{number:06d}" for number in range(20)]
    for name in names:
        cluster.submit(name)
    cluster.epoch()
    before = cluster.admitted()
    assert 5 < len(before) < len(names)
    cluster.machines("small", 1)
    cluster.advance_time(cluster.limits.epoch_s)
    cluster.epoch()
    assert cluster.admitted() == before
    cluster.submit("wk-990000")
    cluster.epoch()
    assert cluster.admitted() == before


def test_capacity_goes_to_other_teams_when_one_is_at_its_limit() -> None:
    cluster = Cluster({"red": (0.0, 8.0), "blue": (0.0, 400.0)}, machines=4)
    names = cluster.overload(2)
    cluster.submit("wk-990000", crew="blue", visits=4)
    cluster.epoch()
    assert "wk-990000" in cluster.admitted() and names[0] not in cluster.admitted()


def test_a_head_that_fits_only_a_full_machine_type_does_not_block_other_jobs() -> None:
    """Large machines are full and small ones idle, which a sum of free cores would not show."""
    cluster = Cluster(machines=0)
    cluster.machines("large", 1)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=100, builds=["large"])
    cluster.submit("wk-000001", visits=4, builds=["large"])
    cluster.advance_time(0.01)
    cluster.submit("wk-000002", visits=4)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000"], "the large machine is full, and there is no other"
    cluster.machines("small", 1)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-000002"]


def test_free_capacity_of_an_unsuitable_machine_type_admits_no_job() -> None:
    """A sum of free cores would admit the job to the queue although it cannot start."""
    cluster = Cluster(machines=4)
    cluster.machines("large", 1)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=100, builds=["large"])
    cluster.submit("wk-000001", builds=["large"])
    cluster.submit("wk-000002", crew="blue", builds=["large"])
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000"]


def test_reported_idle_capacity_admits_jobs_once_it_is_old_enough() -> None:
    """The tables do not show that admitted work cannot use it, for example after failures or for lack of quota."""
    cluster = Cluster()
    names = cluster.overload(3)
    kind = InstanceKind("small", "a", True)
    cluster.epoch([IdleCapacity(kind, 1.0, cluster.limits.min_idle_s / 2)])
    assert cluster.admitted() == ["wk-000000"]
    cluster.epoch([IdleCapacity(kind, 1.0, cluster.limits.min_idle_s)])
    assert cluster.admitted() == ["wk-000000", names[0]]


def test_a_gang_needs_capacity_for_all_tasks_and_is_not_starved_by_small_jobs() -> None:
    cluster = Cluster(machines=4)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=25, expectedS=400.0)
    cluster.submit("wk-000001", shape="group", visits=5, cores=6.0)
    cluster.submit("wk-000002", crew="blue", visits=4)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000002"]
    cluster.advance_time(cluster.limits.head_bound_s())
    cluster.epoch()
    assert "wk-000001" in cluster.admitted()


def test_teams_share_capacity_in_proportion_to_their_guarantees() -> None:
    cluster = Cluster({"red": (30.0, 4000.0), "blue": (10.0, 4000.0)}, machines=50)
    cluster.after_lead()
    cluster.submit("wk-900000", visits=30, at_ms=START_MS)
    cluster.submit("wk-900001", visits=10, at_ms=START_MS, crew="blue")
    for number in range(200):
        cluster.submit(f"wk-{number:06d}", crew="blue" if number % 2 else "red", visits=10)
    cluster.epoch()
    counts = [sum(int(name[-1]) % 2 == odd for name in cluster.admitted() if name < "wk-9") for odd in (0, 1)]
    assert sum(counts) > 20 and 2 <= counts[0] / counts[1] <= 4


def test_an_admitted_job_admits_its_prerequisites() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (300.0, 400.0)})
    cluster.overload(5)
    cluster.submit("wk-990000", crew="blue", urgency="best_effort", visits=295)
    cluster.advance_time(0.01)
    cluster.submit("wk-990001", urgency="best_effort", crew="blue", visits=10)
    cluster.advance_time(0.01)
    cluster.submit("wk-990002", urgency="urgent", crew="blue", awaits=["wk-990001"], visits=2)
    assert not {"wk-990000", "wk-990001", "wk-990002"} & set(cluster.admitted())
    cluster.epoch()
    decisions = decide(cluster.store.tables)
    assert decisions["wk-990002"].reason is DecisionReason.CUT
    assert (decisions["wk-990001"].reason, decisions["wk-990001"].decided_by) == (DecisionReason.NEEDED, "wk-990002")
    # The prerequisite took its part of the guarantee first, so the job before it in its lane no longer fits.
    assert not decisions["wk-990000"].admitted


def test_a_delegated_job_is_admitted_without_a_guarantee() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (300.0, 400.0)})
    cluster.overload(5)
    cluster.submit("wk-990000", crew="blue")
    key = keys.job_key("wk-990000")
    cluster.store.put(key, None)
    job = spec("wk-990000", crew="blue")
    value = {"s": JobState.LIVE, "n": 4, "t": cluster.now_ms, "spec": msgspec.to_builtins(job), "o": ["south", 7]}
    cluster.store.put(key, value)
    cluster.epoch()
    assert "wk-990000" not in cluster.admitted()
    cluster.advance_time(cluster.limits.head_bound_s())
    cluster.epoch()
    assert "wk-990000" in cluster.admitted()


@pytest.mark.parametrize("value_bytes", [2048])
def test_rows_of_64_teams_with_16_classes_stay_below_the_smallest_value_limit(value_bytes: int) -> None:
    teams = {f"tenant-{number:02d}": (0.0, 400.0) for number in range(64)}
    cluster = Cluster(teams)
    cluster.overload(0, crew="tenant-00")
    lanes = [(team, f"class-{number:02d}") for team in teams for number in range(16)]
    for number, (team, job_class) in enumerate(lanes):
        for turn in range(2):
            cluster.submit(f"wk-{turn}{number:05d}", crew=team, roster=job_class)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    highest: dict[Lane, Ticket] = {}
    rounds = 0
    written_at: dict[str, float] = {}
    while not {f"wk-0{number:05d}" for number in range(len(lanes))} <= set(cluster.admitted()):
        rounds += 1
        cluster.advance_time(cluster.limits.epoch_s)
        chosen = epochs.select_changes(
            cluster.changes(value_bytes=value_bytes), written_at, cluster.limits.max_row_writes, 12
        )
        assert 0 < sum(len(change.rows) for change in chosen) <= 12
        for change in chosen:
            written_at[change.path] = cluster.now_ms
            for path, row in change.rows.items():
                assert row.size_bytes <= value_bytes
                cluster.store.put(keys.admission_key(path), row.stored())
        for team, job_class in lanes:
            lane = Lane(team, job_class, "standard")
            leaf = row_path(cluster.store.tables.admission_rows, lane)
            assert leaf is not None
            cut = cluster.store.tables.admission_rows[leaf].cut_of(lane).ticket
            assert cut >= highest.get(lane, cut)
            highest[lane] = cut
    rows = cuts.leaf_rows(cluster.store.tables.admission_rows)
    assert len(rows) > 16 and rounds < 2 * len(rows)
