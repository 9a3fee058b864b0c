"""Admission decisions: all controllers derive the same ones from the stored cuts, which are never lowered."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from sloeswitch.admission import cuts
from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut, Ticket
from sloeswitch.admission.decisions import DecisionReason, decide
from sloeswitch.core import keys
from tests.conftest import Store
from tests.support.admission_cluster import Cluster, ScriptedLink, overloaded_world
from tests.support.single_controller import World


def test_controllers_that_have_read_different_jobs_decide_alike() -> None:
    cluster = Cluster()
    names = cluster.overload()
    other_store = Store()
    for key, (value, revision) in cluster.store.rows.items():
        # The other controller has read only every second job.
        if not key.startswith(keys.job_key("")) or int(key[-1]) % 2:
            other_store.tables.apply(key, value, revision)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    for _ in range(3):
        cluster.epoch()
        cluster.advance_time(cluster.limits.starvation_timeout_s)
    key = keys.admission_key(cuts.ROOT_PATH)
    other_store.tables.apply(key, *cluster.store.rows[key])
    first, second = decide(cluster.store.tables), decide(other_store.tables)
    assert {first[name].admitted for name in names} == {True, False}
    assert second and all(first[name] == decision for name, decision in second.items())


def test_a_controller_with_stale_rows_admits_a_subset() -> None:
    cluster = Cluster()
    cluster.overload()
    lagging = cluster.store.read_again()
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    stale = {name for name, decision in decide(lagging).items() if decision.admitted}
    assert stale < set(cluster.admitted())


def test_equal_submission_times_are_ordered_by_job_id() -> None:
    cluster = Cluster()
    cluster.overload(0)
    for name in ("wk-000003", "wk-000001", "wk-000002"):
        cluster.submit(name)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    for count in (1, 2, 3):
        cluster.epoch()
        assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-000002", "wk-000003"][: count + 1]
        cluster.advance_time(cluster.limits.starvation_timeout_s)


def test_clock_errors_defer_nothing_without_overload_and_old_tickets_are_admitted() -> None:
    cluster = Cluster()
    error_ms = int(1000 * cluster.settings.clock_error_s)
    cluster.advance_time(2 * cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.epoch()
    cluster.advance_time(cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.submit("wk-000001", at_ms=cluster.now_ms + 2 * error_ms, visits=1)
    assert cluster.admitted() == ["wk-000001"]
    names = cluster.overload(3)
    cluster.advance_time(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    # Accepted only now, by a controller whose clock is behind.
    cluster.submit("wk-000099", at_ms=cluster.now_ms - 10**6)
    assert {"wk-000099", names[0]} <= set(cluster.admitted()) and names[-1] not in cluster.admitted()


def test_only_begun_jobs_are_admitted_while_the_row_is_not_read() -> None:
    cluster = Cluster()
    cluster.store.put(keys.admission_key(cuts.ROOT_PATH), None)
    cluster.submit("wk-000001")
    cluster.submit("wk-000002")
    cluster.store.progress("wk-000002", c0_1=1)
    assert [decision.reason for _, decision in sorted(decide(cluster.store.tables).items())] == [
        DecisionReason.DEFERRED,
        DecisionReason.BEGUN,
    ]


def test_raising_a_row_never_lowers_a_cut() -> None:
    lane, other_lane = Lane("red", "train", "urgent"), Lane("red", "index", "urgent")
    row = AdmissionRow().raised(LaneCut(Ticket(50, ""), 1), {lane: LaneCut(Ticket(90, "b"), 2)}, {})
    lower = row.raised(
        LaneCut(Ticket(40, ""), 3), {lane: LaneCut(Ticket(60, "a"), 3), other_lane: LaneCut(Ticket(9, ""), 3)}, {}
    )
    assert lower.cut_of(lane).ticket == Ticket(90, "b") and lower.cut_of(other_lane).ticket == Ticket(50, "")
    assert row.raised(row.common, row.lanes, row.deficits) is row
    higher = row.raised(LaneCut(Ticket(95, ""), 3), {}, {})
    assert higher.cut_of(lane).ticket == Ticket(95, "") and not higher.lanes and higher.number == row.number + 1
    assert AdmissionRow.from_stored(msgspec.json.decode(msgspec.json.encode(row.stored()))) == row


def advance_time(world: World, seconds: float) -> None:
    world.clock.time += seconds
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time


def test_a_late_write_of_an_older_epoch_is_rejected(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    world, coordinator = overloaded_world(store, monkeypatch)
    world.client.lose_answers = 1
    anyio.run(coordinator.run_epoch)
    before = store.tables.admission_rows
    advance_time(world, coordinator.limits.starvation_timeout_s)
    anyio.run(coordinator.run_epoch)
    newer = store.tables.admission_rows
    assert newer != before and len(world.client.lost_transactions) == 1
    outcome, _ = world.client.apply(*world.client.lost_transactions[0])
    assert outcome.value == "conflict" and store.tables.admission_rows == newer


def test_the_write_of_a_deposed_coordinator_is_rejected(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a coordinator that is deposed between computing and writing.

    The condition on the row's revision alone has to reject its write.
    """
    world, coordinator = overloaded_world(store, monkeypatch)
    world.client.lose_answers = 1
    anyio.run(coordinator.run_epoch)
    conditions, writes, deletes = world.client.lost_transactions[0]
    conditions = {key: revision for key, revision in conditions.items() if key != keys.COORDINATOR_KEY}
    store.put(keys.COORDINATOR_KEY, {"member": "c1", "boot": 9})
    anyio.run(coordinator.run_epoch)  # no longer the coordinator, so it computes no epoch
    assert store.tables.admission_rows[cuts.ROOT_PATH].number == 1
    row = AdmissionRow.from_stored(writes[keys.admission_key(cuts.ROOT_PATH)])
    store.put(keys.admission_key(cuts.ROOT_PATH), row.raised(row.common, {}, {"red": 1.0}).stored())
    assert world.client.apply(conditions, writes, deletes)[0].value == "conflict"


def test_nothing_is_requested_stored_or_deferred_before_the_rollout_is_complete(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    _world, coordinator = overloaded_world(store, monkeypatch)
    store.put(keys.feature_key("admission"), {"seen": ["c0"], "complete": False})
    link = ScriptedLink()
    coordinator.links = {"c1": link}
    before = store.revision
    anyio.run(coordinator.request_idle_capacity, "c1")
    anyio.run(coordinator.run_epoch)
    assert not coordinator.switched_on and link.asked == 0 and store.revision == before
    store.put_complete_layout()
    anyio.run(coordinator.rollout.record_member)
    assert not coordinator.switched_on, "c1 has not run with it"
