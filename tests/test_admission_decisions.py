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


def test_two_controllers_that_know_different_queues_decide_alike() -> None:
    cluster = Cluster()
    names = cluster.overload()
    other = Store()
    for key, (value, stamp) in cluster.store.rows.items():
        # The other controller has read only every second job.
        if not key.startswith(keys.job_key("")) or int(key[-1]) % 2:
            other.tables.apply(key, value, stamp)
    cluster.later(cluster.limits.starvation_timeout_s)
    for _ in range(3):
        cluster.epoch()
        cluster.later(cluster.limits.starvation_timeout_s)
    key = keys.admission_key(cuts.ROOT_PATH)
    other.tables.apply(key, *cluster.store.rows[key])
    mine, theirs = decide(cluster.store.tables), decide(other.tables)
    assert {mine[name].admitted for name in names} == {True, False}
    assert theirs and all(mine[name] == decision for name, decision in theirs.items())


def test_a_controller_that_lags_admits_a_subset_and_claims_under_it() -> None:
    cluster = Cluster()
    cluster.overload()
    lagging = cluster.store.read_again()
    cluster.later(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    old = {name for name, decision in decide(lagging).items() if decision.admitted}
    assert old < set(cluster.admitted())


def test_equal_times_of_submission_are_no_tie() -> None:
    cluster = Cluster()
    cluster.overload(0)
    for name in ("wk-000003", "wk-000001", "wk-000002"):
        cluster.submit(name)
    cluster.later(cluster.limits.starvation_timeout_s)
    for count in (1, 2, 3):
        cluster.epoch()
        assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-000002", "wk-000003"][: count + 1]
        cluster.later(cluster.limits.starvation_timeout_s)


def test_clocks_apart_defer_nothing_while_there_is_room_and_a_late_ticket_is_admitted_by_all() -> None:
    cluster = Cluster()
    error_ms = int(1000 * cluster.settings.clock_error_s)
    cluster.later(2 * cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.epoch()
    cluster.later(cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.submit("wk-000001", at_ms=cluster.now_ms + 2 * error_ms, visits=1)
    assert cluster.admitted() == ["wk-000001"]
    names = cluster.overload(3)
    cluster.later(cluster.limits.starvation_timeout_s)
    cluster.epoch()
    # Accepted only now, by a controller whose clock is behind.
    cluster.submit("wk-000099", at_ms=cluster.now_ms - 10**6)
    assert {"wk-000099", names[0]} <= set(cluster.admitted()) and names[-1] not in cluster.admitted()


def test_a_row_that_is_not_read_yet_admits_nothing_but_what_began() -> None:
    cluster = Cluster()
    cluster.store.put(keys.admission_key(cuts.ROOT_PATH), None)
    cluster.submit("wk-000001")
    cluster.submit("wk-000002")
    cluster.store.progress("wk-000002", c0_1=1)
    assert [decision.reason for _, decision in sorted(decide(cluster.store.tables).items())] == [
        DecisionReason.DEFERRED,
        DecisionReason.BEGUN,
    ]


def test_no_cut_falls_whatever_is_asked_for() -> None:
    lane, other = Lane("red", "train", "urgent"), Lane("red", "index", "urgent")
    row = AdmissionRow().raised(LaneCut(Ticket(50, ""), 1), {lane: LaneCut(Ticket(90, "b"), 2)}, {})
    lower = row.raised(
        LaneCut(Ticket(40, ""), 3), {lane: LaneCut(Ticket(60, "a"), 3), other: LaneCut(Ticket(9, ""), 3)}, {}
    )
    assert lower.cut_of(lane).ticket == Ticket(90, "b") and lower.cut_of(other).ticket == Ticket(50, "")
    assert row.raised(row.common, row.lanes, row.deficits) is row
    higher = row.raised(LaneCut(Ticket(95, ""), 3), {}, {})
    assert higher.cut_of(lane).ticket == Ticket(95, "") and not higher.lanes and higher.number == row.number + 1
    assert AdmissionRow.from_stored(msgspec.json.decode(msgspec.json.encode(row.stored()))) == row


def later(world: World, seconds: float) -> None:
    world.clock.time += seconds
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time


def test_an_epoch_that_is_carried_out_late_after_a_newer_one_changes_nothing(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, each = overloaded_world(store, monkeypatch)
    world.client.lose_answers = 1
    anyio.run(each.epoch)
    before = store.tables.admission_rows
    later(world, each.limits.starvation_timeout_s)
    anyio.run(each.epoch)
    newer = store.tables.admission_rows
    assert newer != before and len(world.client.late) == 1
    outcome, _ = world.client.apply(*world.client.late[0])
    assert outcome.value == "conflict" and store.tables.admission_rows == newer


def test_of_two_that_believe_that_they_coordinate_one_succeeds(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a coordinator that is deposed between computing and writing.

    The condition on the row's revision alone has to reject its write.
    """
    world, each = overloaded_world(store, monkeypatch)
    world.client.lose_answers = 1
    anyio.run(each.epoch)
    conditions, writes, drops = world.client.late[0]
    conditions = {key: stamp for key, stamp in conditions.items() if key != keys.COORDINATOR_KEY}
    store.put(keys.COORDINATOR_KEY, {"member": "c1", "boot": 9})
    anyio.run(each.epoch)  # no longer the coordinator, so it computes no epoch
    assert store.tables.admission_rows[cuts.ROOT_PATH].number == 1
    row = AdmissionRow.from_stored(writes[keys.admission_key(cuts.ROOT_PATH)])
    store.put(keys.admission_key(cuts.ROOT_PATH), row.raised(row.common, {}, {"red": 1.0}).stored())
    assert world.client.apply(conditions, writes, drops)[0].value == "conflict"


def test_before_every_controller_knows_the_feature_nothing_is_asked_stored_or_deferred(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    _world, each = overloaded_world(store, monkeypatch)
    store.put(keys.feature_key("admission"), {"seen": ["c0"], "complete": False})
    link = ScriptedLink()
    each.links = {"c1": link}
    before = store.epoch
    anyio.run(each.request_idle_capacity, "c1")
    anyio.run(each.epoch)
    assert not each.switched_on and link.asked == 0 and store.epoch == before
    store.upgraded()
    anyio.run(each.feature.record_member)
    assert not each.switched_on, "c1 has not run with it"
