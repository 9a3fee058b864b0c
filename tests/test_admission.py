"""Admission decided from stored rows: what is hard about cuts and epochs, each case without an actor's loop."""

from __future__ import annotations

import io
from typing import Any

import anyio
import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.admission import compare, cuts
from sloeswitch.admission import epoch as epochs
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.coordinator import AdmissionCoordinator
from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut, Ticket, row_of
from sloeswitch.admission.decisions import Ground, decide, lane_of
from sloeswitch.admission.frames import MeshIdleCapacityLink, pack_idle_room, unpack_idle_room
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.admission.idle_capacity import IdleCapacityTracker
from sloeswitch.admission.limits import LONGEST_WAIT_S, AdmissionLimits
from sloeswitch.cli import main
from sloeswitch.core import job_queue, keys
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.tables import Tables
from sloeswitch.features import AdmissionFeatures
from sloeswitch.frame_link import FrameLink, NoAnswerError
from sloeswitch.mesh import TYPE_IDLE_ROOM_REQUEST, FrameError, Mesh, PeerStatus
from sloeswitch.settings import Address, Settings, parse
from sloeswitch.wire import MachineType
from tests.conftest import MACHINE_TYPE, Store, spec
from tests.support.admission import RecordingLog, cluster_text
from tests.support.streams import connect_to
from tests.test_actors import World

START_MS = 1_000_000
LARGE = MachineType("large", 32.0, 0.0, 64.0, 50.0, 0.5, 1.3, 0.4, 25.0, ["a"])


class Cluster:
    """What is stored, with a clock that stands where it is put; two small machines for 16 cores."""

    def __init__(self, teams: dict[str, tuple[float, float]] | None = None, machines: int = 2) -> None:
        self.store = Store()
        self.store.put(keys.CATALOG_KEY, msgspec.to_builtins(wire.MachineTypeCatalog([MACHINE_TYPE, LARGE])))
        self.settings: Settings = parse(cluster_text(teams or {"red": (0.0, 4000.0), "blue": (0.0, 4000.0)}))
        self.limits = AdmissionLimits.of(self.settings)
        self.now_ms = START_MS
        self.machines("small", machines)
        self.epoch()

    def machines(self, kind: str, count: int) -> None:
        rows = {f"vm-{kind}-{n}": ["127.0.0.1:9000", kind, "a", True] for n in range(count)}
        self.store.put(keys.group_key(kind), {"m": rows})

    def later(self, seconds: float) -> None:
        self.now_ms += int(1000 * seconds)

    def after_lead(self) -> None:
        """Past the common cut."""
        self.later(2 * self.limits.lead_s + 1)

    def submit(self, name: str, at_ms: int | None = None, **changes: Any) -> None:
        changes = {"visits": 100, "cores": 1.0, "expectedS": 40.0, "dueS": None, **changes}
        job = spec(name, **changes)
        value = {"s": JobState.LIVE, "n": job.tasks, "t": at_ms or self.now_ms, "spec": msgspec.to_builtins(job)}
        self.store.put(keys.job_key(name), value)

    def cancel(self, name: str) -> None:
        self.store.put(keys.job_key(name), {**self.store.rows[keys.job_key(name)][0], "s": JobState.CANCELLED})

    def changes(self, idle: list[IdleCapacity] | None = None, value_bytes: int = 10000) -> list[epochs.RowChange]:
        return epochs.next_rows(self.store.tables, self.settings, self.limits, idle or [], self.now_ms, value_bytes)

    def epoch(self, idle: list[IdleCapacity] | None = None, value_bytes: int = 10000) -> int:
        """Stores all changes of an epoch; how many values that were."""
        count = 0
        for change in self.changes(idle, value_bytes):
            for path, row in change.rows.items():
                self.store.put(keys.admission_key(path), row.stored())
                count += 1
        return count

    def overload(self, count: int = 20, **changes: Any) -> list[str]:
        """More work than room: one job that fills the machines and is admitted, and then others."""
        self.after_lead()
        self.submit("wk-000000", at_ms=START_MS, visits=1000)
        names = [f"wk-{number + 1:06d}" for number in range(count)]
        for name in names:
            self.later(0.001)
            self.submit(name, **changes)
        return names

    def admitted(self) -> list[str]:
        return sorted(name for name, decision in decide(self.store.tables).items() if decision.admitted)


# -- decisions


def test_two_controllers_that_know_different_queues_decide_alike() -> None:
    cluster = Cluster()
    names = cluster.overload()
    other = Store()
    for key, (value, stamp) in cluster.store.rows.items():
        # The other has read every second job only.
        if not key.startswith(keys.job_key("")) or int(key[-1]) % 2:
            other.tables.apply(key, value, stamp)
    cluster.later(cluster.limits.patience_s)
    for _ in range(3):
        cluster.epoch()
        cluster.later(cluster.limits.patience_s)
    key = keys.admission_key(cuts.ROOT)
    other.tables.apply(key, *cluster.store.rows[key])
    mine, theirs = decide(cluster.store.tables), decide(other.tables)
    assert {mine[name].admitted for name in names} == {True, False}
    assert theirs and all(mine[name] == decision for name, decision in theirs.items())


def test_a_controller_that_lags_admits_a_subset_and_claims_under_it() -> None:
    cluster = Cluster()
    cluster.overload()
    lagging = cluster.store.read_again()
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    old = {name for name, decision in decide(lagging).items() if decision.admitted}
    assert old < set(cluster.admitted())


def test_equal_times_of_submission_are_no_tie() -> None:
    cluster = Cluster()
    cluster.overload(0)
    for name in ("wk-000003", "wk-000001", "wk-000002"):
        cluster.submit(name)
    cluster.later(cluster.limits.patience_s)
    for count in (1, 2, 3):
        cluster.epoch()
        assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-000002", "wk-000003"][: count + 1]
        cluster.later(cluster.limits.patience_s)


def test_clocks_apart_defer_nothing_while_there_is_room_and_a_late_ticket_is_admitted_by_all() -> None:
    cluster = Cluster()
    error_ms = int(1000 * cluster.settings.clock_error_s)
    cluster.later(2 * cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.epoch()
    cluster.later(cluster.limits.lead_s - cluster.limits.epoch_s)
    cluster.submit("wk-000001", at_ms=cluster.now_ms + 2 * error_ms, visits=1)
    assert cluster.admitted() == ["wk-000001"]
    names = cluster.overload(3)
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    # Accepted only now, by a clock that is behind.
    cluster.submit("wk-000099", at_ms=cluster.now_ms - 10**6)
    assert {"wk-000099", names[0]} <= set(cluster.admitted()) and names[-1] not in cluster.admitted()


def test_a_row_that_is_not_read_yet_admits_nothing_but_what_began() -> None:
    cluster = Cluster()
    cluster.store.put(keys.admission_key(cuts.ROOT), None)
    cluster.submit("wk-000001")
    cluster.submit("wk-000002")
    cluster.store.progress("wk-000002", c0_1=1)
    assert [decision.ground for _, decision in sorted(decide(cluster.store.tables).items())] == [
        Ground.DEFERRED,
        Ground.BEGUN,
    ]


# -- cuts only rise


def test_no_cut_falls_whatever_is_asked_for() -> None:
    lane, other = Lane("red", "train", "urgent"), Lane("red", "index", "urgent")
    row = AdmissionRow().raised(LaneCut(Ticket(50, ""), 1), {lane: LaneCut(Ticket(90, "b"), 2)}, {})
    lower = row.raised(
        LaneCut(Ticket(40, ""), 3), {lane: LaneCut(Ticket(60, "a"), 3), other: LaneCut(Ticket(9, ""), 3)}, {}
    )
    assert lower.of(lane).cut == Ticket(90, "b") and lower.of(other).cut == Ticket(50, "")
    assert row.raised(row.common, row.lanes, row.deficits) is row
    higher = row.raised(LaneCut(Ticket(95, ""), 3), {}, {})
    assert higher.of(lane).cut == Ticket(95, "") and not higher.lanes and higher.number == row.number + 1
    assert AdmissionRow.from_stored(msgspec.json.decode(msgspec.json.encode(row.stored()))) == row


def coordinator(world: World) -> AdmissionCoordinator:
    world.store.put(keys.feature_key("admission"), {"seen": ["c0", "c1"], "complete": True})
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    return AdmissionCoordinator(
        world.settings, AdmissionFeatures(True), world.client, world.replica, world.leadership, list, {}, world.clock
    )


def overloaded_world(store: Store, monkeypatch: pytest.MonkeyPatch) -> tuple[World, AdmissionCoordinator]:
    """A controller that coordinates, with a lane of deferred jobs and no machine."""
    world = World(store, cluster_text({"red": (0.0, 40.0)}))
    each = coordinator(world)
    anyio.run(each.epoch)
    later(world, 2 * each.limits.lead_s + 1)
    for number in range(5):
        job = spec(f"wk-{number:06d}")
        value = {
            "s": JobState.LIVE,
            "n": 4,
            "t": int(1000 * world.clock.time) + number,
            "spec": msgspec.to_builtins(job),
        }
        store.put(keys.job_key(job.id), value)
    later(world, each.limits.patience_s + 1)
    return world, each


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
    later(world, each.limits.patience_s)
    anyio.run(each.epoch)
    newer = store.tables.admission_rows
    assert newer != before and len(world.client.late) == 1
    outcome, _ = world.client.apply(*world.client.late[0])
    assert outcome.value == "conflict" and store.tables.admission_rows == newer


def test_of_two_that_believe_that_they_coordinate_one_succeeds(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader changes between computing and writing: the deposed one's change fails, by its row's stamp alone."""
    world, each = overloaded_world(store, monkeypatch)
    world.client.lose_answers = 1
    anyio.run(each.epoch)
    conditions, writes, drops = world.client.late[0]
    conditions = {key: stamp for key, stamp in conditions.items() if key != keys.COORDINATOR_KEY}
    store.put(keys.COORDINATOR_KEY, {"member": "c1", "boot": 9})
    anyio.run(each.epoch)  # deposed, so that it reckons no more
    assert store.tables.admission_rows[cuts.ROOT].number == 1
    row = AdmissionRow.from_stored(writes[keys.admission_key(cuts.ROOT)])
    store.put(keys.admission_key(cuts.ROOT), row.raised(row.common, {}, {"red": 1.0}).stored())
    assert world.client.apply(conditions, writes, drops)[0].value == "conflict"


# -- epochs


def test_nothing_is_deferred_while_there_is_room_and_one_change_is_made_a_lead() -> None:
    cluster = Cluster()
    written = 0
    for number in range(200):
        cluster.later(cluster.limits.epoch_s)
        cluster.submit(f"wk-{number:06d}", visits=1)
        assert f"wk-{number:06d}" in cluster.admitted()
        cluster.store.put(keys.job_key(f"wk-{number:06d}"), {"s": JobState.DONE, "n": 1, "t": cluster.now_ms})
        written += cluster.epoch()
    assert written <= 200 * cluster.limits.epoch_s / cluster.limits.lead_s + 1


def test_one_urgent_job_within_its_guarantee_passes_a_flood_in_one_epoch() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (4.0, 400.0)})
    cluster.overload(10_000)
    cluster.submit("wk-990000", crew="blue", urgency="urgent", visits=3)
    cluster.submit("wk-990001", crew="blue", urgency="urgent", visits=3)
    assert "wk-990000" not in cluster.admitted()
    cluster.later(cluster.limits.guarantee_bound_s())
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-990000"], "what is beyond the guarantee waits for its turn"


@pytest.mark.parametrize("before", [0, 3])
def test_the_bound_holds_for_a_lanes_head_and_those_behind_it(before: int) -> None:
    """No room at all: patience alone."""
    cluster = Cluster()
    names = cluster.overload(before + 1)
    submitted_ms = cluster.now_ms
    # The first look is as late as it may be.
    while names[-1] not in cluster.admitted():
        cluster.later(cluster.limits.epoch_s)
        cluster.epoch()
        assert cluster.now_ms - submitted_ms <= 1000 * cluster.limits.bound_s(before)
    assert (before == 0) or cluster.now_ms - submitted_ms > 1000 * cluster.limits.head_bound_s()
    assert cluster.limits.patience_s < LONGEST_WAIT_S / 2


def test_an_epoch_admits_no_more_than_it_has_time_for_and_patience_goes_on() -> None:
    """Failure found by measuring: with thousands of jobs that fit an epoch took longer than a controller's lease."""
    cluster = Cluster(machines=3000)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS)
    for number in range(1500):
        cluster.submit(f"wk-1{number:05d}", visits=4)
    cluster.epoch()
    most = cluster.limits.max_admissions
    assert len(cluster.admitted()) == most + 1 < 1500
    cluster.later(cluster.limits.epoch_s)
    cluster.epoch()
    assert len(cluster.admitted()) == min(1501, 2 * most + 1)


def test_no_lane_starves_beside_a_flood_of_higher_priority() -> None:
    cluster = Cluster()
    cluster.overload(50, urgency="critical")
    cluster.submit("wk-990000", urgency="best_effort")
    cluster.submit("wk-990001", crew="blue", roster="index")
    cluster.later(cluster.limits.head_bound_s())
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-990000", "wk-990001"]


def test_a_class_that_appears_first_during_overload_is_under_the_common_cut() -> None:
    cluster = Cluster()
    cluster.overload(3)
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    cluster.submit("wk-990000", roster="fresh")
    row = cluster.store.tables.admission_rows[cuts.ROOT]
    fresh = lane_of(cluster.store.tables.jobs["wk-990000"].spec)
    assert fresh not in row.lanes and "wk-990000" not in cluster.admitted()
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    assert fresh in cluster.store.tables.admission_rows[cuts.ROOT].lanes and "wk-990000" in cluster.admitted()


def test_a_backlog_of_which_nine_tenths_are_cancelled_holds_up_no_cut() -> None:
    cluster = Cluster()
    names = cluster.overload(100)
    for name in names[:90]:
        cluster.cancel(name)
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    assert names[90] in cluster.admitted() and names[91] not in cluster.admitted()


def test_machines_lost_below_what_is_admitted_take_nothing_back() -> None:
    cluster = Cluster(machines=40)
    cluster.after_lead()
    names = [f"wk-{number:06d}" for number in range(20)]
    for name in names:
        cluster.submit(name)
    cluster.epoch()
    before = cluster.admitted()
    assert 5 < len(before) < len(names)
    cluster.machines("small", 1)
    cluster.later(cluster.limits.epoch_s)
    cluster.epoch()
    assert cluster.admitted() == before
    cluster.submit("wk-990000")
    cluster.epoch()
    assert cluster.admitted() == before


def test_at_a_teams_limit_with_admitted_work_waiting_the_budget_goes_to_others() -> None:
    cluster = Cluster({"red": (0.0, 8.0), "blue": (0.0, 400.0)}, machines=4)
    names = cluster.overload(2)
    cluster.submit("wk-990000", crew="blue", visits=4)
    cluster.epoch()
    assert "wk-990000" in cluster.admitted() and names[0] not in cluster.admitted()


def test_a_head_that_fits_only_a_full_type_holds_up_none_that_fits_an_idle_one() -> None:
    """By cores alone there would be no way to tell: large machines are full, small ones idle."""
    cluster = Cluster(machines=0)
    cluster.machines("large", 1)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=100, builds=["large"])
    cluster.submit("wk-000001", visits=4, builds=["large"])
    cluster.later(0.01)
    cluster.submit("wk-000002", visits=4)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000"], "the large machine is full, and there is no other"
    cluster.machines("small", 1)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000001", "wk-000002"]


def test_room_of_a_type_that_a_job_does_not_fit_is_no_budget_for_it() -> None:
    """Reckoned by cores alone it would be, and the job would stand in a line in which it can't start."""
    cluster = Cluster(machines=4)
    cluster.machines("large", 1)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=100, builds=["large"])
    cluster.submit("wk-000001", builds=["large"])
    cluster.submit("wk-000002", crew="blue", builds=["large"])
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000"]


def test_room_that_an_owner_tells_is_budget_once_it_is_old_enough() -> None:
    """The rows don't tell of it: what is admitted can't use it, for faults or allowances."""
    cluster = Cluster()
    names = cluster.overload(3)
    kind = ("small", "a", True)
    cluster.epoch([IdleCapacity(kind, 1.0, cluster.limits.idle_s / 2)])
    assert cluster.admitted() == ["wk-000000"]
    cluster.epoch([IdleCapacity(kind, 1.0, cluster.limits.idle_s)])
    assert cluster.admitted() == ["wk-000000", names[0]]


def test_a_gang_costs_whole_and_no_small_jobs_starve_it() -> None:
    cluster = Cluster(machines=4)
    cluster.after_lead()
    cluster.submit("wk-000000", at_ms=START_MS, visits=25, expectedS=400.0)
    cluster.submit("wk-000001", shape="group", visits=5, cores=6.0)
    cluster.submit("wk-000002", crew="blue", visits=4)
    cluster.epoch()
    assert cluster.admitted() == ["wk-000000", "wk-000002"]
    cluster.later(cluster.limits.head_bound_s())
    cluster.epoch()
    assert "wk-000001" in cluster.admitted()


def test_teams_share_the_budget_by_their_guarantees() -> None:
    cluster = Cluster({"red": (30.0, 4000.0), "blue": (10.0, 4000.0)}, machines=50)
    cluster.after_lead()
    cluster.submit("wk-900000", visits=30, at_ms=START_MS)
    cluster.submit("wk-900001", visits=10, at_ms=START_MS, crew="blue")
    for number in range(200):
        cluster.submit(f"wk-{number:06d}", crew="blue" if number % 2 else "red", visits=10)
    cluster.epoch()
    counts = [sum(int(name[-1]) % 2 == odd for name in cluster.admitted() if name < "wk-9") for odd in (0, 1)]
    assert sum(counts) > 20 and 2 <= counts[0] / counts[1] <= 4


def test_an_urgent_last_stage_admits_what_it_needs() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (300.0, 400.0)})
    cluster.overload(5)
    cluster.submit("wk-990000", crew="blue", urgency="best_effort", visits=295)
    cluster.later(0.01)
    cluster.submit("wk-990001", urgency="best_effort", crew="blue", visits=10)
    cluster.later(0.01)
    cluster.submit("wk-990002", urgency="urgent", crew="blue", awaits=["wk-990001"], visits=2)
    assert not {"wk-990000", "wk-990001", "wk-990002"} & set(cluster.admitted())
    cluster.epoch()
    decisions = decide(cluster.store.tables)
    assert decisions["wk-990002"].ground is Ground.CUT
    assert (decisions["wk-990001"].ground, decisions["wk-990001"].by) == (Ground.NEEDED, "wk-990002")
    # The first stage's cost came first: the job before it in its lane does not fit the guarantee any more.
    assert not decisions["wk-990000"].admitted


def test_a_delegated_job_passes_as_work_without_guarantee() -> None:
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
    cluster.later(cluster.limits.head_bound_s())
    cluster.epoch()
    assert "wk-990000" in cluster.admitted()


# -- rows that are split


@pytest.mark.parametrize("value_bytes", [2048])
def test_64_teams_of_16_classes_fit_the_smallest_values(value_bytes: int) -> None:
    teams = {f"tenant-{number:02d}": (0.0, 400.0) for number in range(64)}
    cluster = Cluster(teams)
    cluster.overload(0, crew="tenant-00")
    lanes = [(team, f"class-{number:02d}") for team in teams for number in range(16)]
    for number, (team, klass) in enumerate(lanes):
        for turn in range(2):
            cluster.submit(f"wk-{turn}{number:05d}", crew=team, roster=klass)
    cluster.later(cluster.limits.patience_s)
    highest: dict[Lane, Ticket] = {}
    rounds = 0
    written_at: dict[str, float] = {}
    while not {f"wk-0{number:05d}" for number in range(len(lanes))} <= set(cluster.admitted()):
        rounds += 1
        cluster.later(cluster.limits.epoch_s)
        chosen = epochs.chosen_changes(
            cluster.changes(value_bytes=value_bytes), written_at, cluster.limits.max_changes, 12
        )
        assert 0 < sum(len(change.rows) for change in chosen) <= 12
        for change in chosen:
            written_at[change.path] = cluster.now_ms
            for path, row in change.rows.items():
                assert row.size_bytes <= value_bytes
                cluster.store.put(keys.admission_key(path), row.stored())
        for team, klass in lanes:
            lane = Lane(team, klass, "standard")
            leaf = row_of(cluster.store.tables.admission_rows, lane)
            assert leaf is not None
            cut = cluster.store.tables.admission_rows[leaf].of(lane).cut
            assert cut >= highest.get(lane, cut)
            highest[lane] = cut
    rows = cuts.leaves(cluster.store.tables.admission_rows)
    assert len(rows) > 16 and rounds < 2 * len(rows)


# -- the gate, off and on


def gated(cluster: Cluster, lines: list[str], switch: list[bool]) -> AdmissionGate:
    return AdmissionGate(cluster.store.tables, RecordingLog(lines), lambda: switch[0])


def line_of(cluster: Cluster) -> list[str]:
    return sorted(
        {job.spec.id for job in job_queue.queue_order(cluster.store.tables, cluster.settings, cluster.now_ms)}
    )


def test_deferred_jobs_stay_out_of_the_line_and_off_and_on_again_lose_none() -> None:
    cluster = Cluster()
    names = cluster.overload(3)
    lines: list[str] = []
    switch = [True]
    gate = gated(cluster, lines, switch)
    gate.apply()
    assert line_of(cluster) == ["wk-000000"]
    row = cluster.store.tables.admission_rows
    switch[0] = False
    gate.apply()
    assert line_of(cluster) == ["wk-000000", *names]
    cluster.store.progress(names[1], c0_1=1)
    switch[0] = True
    gate.apply()
    # What began meanwhile goes on; the cuts are those that were stored.
    assert line_of(cluster) == ["wk-000000", names[1]] and cluster.store.tables.admission_rows is row
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    gate.apply()
    assert line_of(cluster) == ["wk-000000", names[0], names[1]]


def test_a_pipelines_first_stage_stays_admitted_through_later_epochs() -> None:
    cluster = Cluster({"red": (0.0, 400.0), "blue": (300.0, 400.0)})
    cluster.overload(5)
    lines: list[str] = []
    gate = gated(cluster, lines, [True])
    cluster.submit("wk-990001", urgency="best_effort", crew="blue", visits=299)
    gate.apply()
    cluster.submit("wk-990000", urgency="best_effort", roster="other", crew="blue", visits=290)
    cluster.submit("wk-990002", urgency="urgent", crew="blue", awaits=["wk-990001"], visits=2)
    cluster.epoch()
    for _ in range(3):
        gate.apply()
        assert not cluster.store.tables.jobs["wk-990001"].deferred
        cluster.later(cluster.limits.patience_s)
        cluster.epoch()
    # Its dependent is cancelled: what has not begun is deferred again if its own cut says so.
    fresh = decide(cluster.store.tables)["wk-990001"]
    assert fresh.admitted


def test_jobs_are_decided_anew_when_the_tables_are_read_afresh() -> None:
    cluster = Cluster()
    cluster.overload(2)
    gate = gated(cluster, [], [True])
    gate.apply()
    cluster.later(cluster.limits.patience_s)
    cluster.epoch()
    gate.apply()
    assert line_of(cluster) == ["wk-000000", "wk-000001"]
    cluster.store.tables.clear()
    for key, (value, stamp) in cluster.store.rows.items():
        cluster.store.tables.apply(key, value, stamp)
    # No cut is another one, and yet each job is.
    gate.apply()
    assert line_of(cluster) == ["wk-000000", "wk-000001"]


def test_jobs_that_are_over_are_forgotten() -> None:
    cluster = Cluster()
    names = cluster.overload(50)
    gate = gated(cluster, [], [True])
    gate.apply()
    assert sum(map(len, gate._deferred.values())) == 50
    for name in names[:40]:
        cluster.store.put(keys.job_key(name), {"s": JobState.CANCELLED, "n": 1, "t": cluster.now_ms})
    gate.apply()
    assert len(gate._decided) == len(cluster.store.tables.jobs) == 11
    assert sum(map(len, gate._deferred.values())) == 10


# -- idle room


def test_idle_room_is_as_old_as_the_kind_has_been_left_over() -> None:
    tracker = IdleCapacityTracker()
    types = {MACHINE_TYPE.name: MACHINE_TYPE}
    room = FreeCapacity("vm-1", "small", "a", True, 4.0, 0.0, 16.0)
    full = FreeCapacity("vm-2", "small", "b", True, 0.0, 0.0, 16.0)
    tracker.observe([room, full], types, 10.0)
    tracker.observe([room, full], types, 13.0)
    assert tracker.report(14.0) == [IdleCapacity(("small", "a", True), 0.5, 4.0)]
    tracker.observe([], types, 15.0)
    tracker.observe([room], types, 16.0)
    assert tracker.report(16.0) == [IdleCapacity(("small", "a", True), 0.5, 0.0)]


def test_the_frame_of_idle_room_survives_the_way_and_what_is_none_is_refused() -> None:
    rooms = [IdleCapacity(("small", "a", True), 0.5, 4.0), IdleCapacity(("größe", "", False), 12.25, 0.0)]
    body = pack_idle_room(rooms)
    assert unpack_idle_room(body) == rooms and unpack_idle_room(pack_idle_room([])) == []
    for bad in (
        b"",
        b"\x00",
        body[:-1],
        body + b"x",
        body[:5],
        pack_idle_room([IdleCapacity(("a", "b", True), -1.0, 0.0)]),
    ):
        with pytest.raises(FrameError):
            unpack_idle_room(bad)


# -- comparing logs


def logged(cluster: Cluster, until: int) -> list[str]:
    """The log of a controller that read everything up to an epoch of the state service, change by change."""
    tables = Tables()
    lines: list[str] = ["I machines: 3 machines up\n"]
    gate = AdmissionGate(tables, RecordingLog(lines), lambda: True)
    for key, (value, stamp) in sorted(cluster.store.rows.items(), key=lambda item: item[1][1]):
        if stamp <= until:
            tables.apply(key, value, stamp)
            gate.apply()
    return lines


def test_logs_that_agree_and_the_first_difference_of_those_that_do_not(tmp_path: Any, capsys: Any) -> None:
    cluster = Cluster()
    cluster.overload(3)
    paths = []
    for number, lines in enumerate((logged(cluster, 9), logged(cluster, 99))):
        paths.append(tmp_path / f"c{number}.log")
        paths[-1].write_text("".join(lines))
    names = [str(path) for path in paths]
    assert main(["admission", "compare", *names]) == 0
    text = paths[1].read_text()
    assert '"ground":"deferred"' in text
    paths[1].write_text(text.replace('"ground":"deferred"', '"ground":"cut"', 1))
    assert main(["admission", "compare", *names]) == 1
    one, other = capsys.readouterr().out.splitlines()
    assert one.startswith(names[0]) and other.startswith(names[1])
    assert '"deferred"' in one and '"cut"' in other


def test_what_one_deferred_through_later_numbers_no_other_may_have_admitted_there() -> None:
    def line(kind: str, **fields: Any) -> str:
        return " admission: " + msgspec.json.encode({"type": kind, **fields}).decode()

    def epoch(number: int) -> str:
        return line("epoch", row="r", number=number, digest=str(number))

    def decision(number: int, ground: str) -> str:
        return line("decision", job="wk-1", row="r", number=number, ground=ground, by="wk-1")

    slow = [epoch(1), decision(1, "deferred"), epoch(2), epoch(4), decision(4, "cut")]
    assert compare.compare([("a", slow), ("b", [decision(3, "cut")])]) is None, "between two that it applied"
    difference = compare.compare([("a", slow), ("b", [decision(2, "cut")])])
    assert difference is not None and (difference.one.number, difference.other.number) == (3, 1)
    assert compare.compare([("a", [epoch(1)]), ("b", [line("epoch", row="r", number=1, digest="x")])]) is not None


@pytest.mark.parametrize("line", ['{"type":"epoch"}', "{", '{"type":"other"}', '{"type":"decision","job":3}'])
def test_a_malformed_record_is_named_with_its_file_and_line(line: str, tmp_path: Any) -> None:
    path = tmp_path / "c0.log"
    path.write_text(f"I controller: serves\nI admission: {line}\n")
    errors = io.StringIO()
    assert compare.main([str(path)], io.StringIO(), errors) == 2
    assert errors.getvalue().startswith(f"{path}:2: ")


def test_a_missing_log_and_missing_arguments_are_faults(tmp_path: Any, capsys: Any) -> None:
    assert main(["admission", "compare", str(tmp_path / "none.log")]) == 2
    assert "none.log" in capsys.readouterr().err
    for arguments in (["admission"], ["admission", "compare"], ["admission", "other"]):
        with pytest.raises(SystemExit) as stopped:
            main(arguments)
        assert stopped.value.code == 2


# -- the coordinator's questions


def test_a_sibling_is_asked_over_the_mesh_and_answers_only_where_the_feature_is_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told = [IdleCapacity(("small", "a", True), 0.5, 4.0)]

    async def answer(_kind: int, _body: bytes) -> bytes:
        return pack_idle_room(told)

    async def run() -> None:
        mesh = Mesh(
            (), 1.0, lambda: 0.0, lambda: PeerStatus(1, True, 1, True, True), CancellationLog(1, 1), lambda _: None
        )
        async with anyio.create_task_group() as group:

            async def connect(host: str, port: int) -> Any:
                return connect_to(mesh, group)

            monkeypatch.setattr(anyio, "connect_tcp", connect)
            link = MeshIdleCapacityLink(FrameLink("c1", (Address("peer", 1),), 5.0))
            with pytest.raises(NoAnswerError):
                await link.idle_room()
            mesh.handlers[TYPE_IDLE_ROOM_REQUEST] = answer
            assert await link.idle_room() == told
            group.cancel_scope.cancel()

    anyio.run(run)


class ScriptedLink:
    """A sibling that tells one room, or does not answer."""

    def __init__(self) -> None:
        self.asked = 0
        self.rooms: list[IdleCapacity] | None = [IdleCapacity(("small", "a", True), 2.0, 1.0)]

    async def idle_room(self) -> list[IdleCapacity]:
        self.asked += 1
        if self.rooms is None:
            raise NoAnswerError("lost")
        return self.rooms


def test_only_the_coordinator_asks_and_what_it_heard_is_soon_too_old(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, each = overloaded_world(store, monkeypatch)
    link = ScriptedLink()
    each.links = {"c1": link}
    anyio.run(each.ask, "c1")
    later(world, each.limits.epoch_s)
    assert [room.age_s for room in each._idle_rooms()] == [1.0 + each.limits.epoch_s]
    link.rooms = None
    with pytest.raises(NoAnswerError):
        anyio.run(each.ask, "c1")
    later(world, 3 * each.limits.epoch_s)
    assert each._idle_rooms() == []
    store.put(keys.COORDINATOR_KEY, {"member": "c1", "boot": 9})
    anyio.run(each.ask, "c1")
    assert link.asked == 2


def test_before_every_controller_knows_the_feature_nothing_is_asked_stored_or_deferred(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    _world, each = overloaded_world(store, monkeypatch)
    store.put(keys.feature_key("admission"), {"seen": ["c0"], "complete": False})
    link = ScriptedLink()
    each.links = {"c1": link}
    before = store.epoch
    anyio.run(each.ask, "c1")
    anyio.run(each.epoch)
    assert not each.switched_on and link.asked == 0 and store.epoch == before
    store.upgraded()
    anyio.run(each.feature.record_member)
    assert not each.switched_on, "c1 has not run with it"


def test_deferred_jobs_may_move_to_another_cell_behind_the_line(store: Store) -> None:
    world = World(store)
    store.job(spec("wk-000001"))
    store.job(spec("wk-000002"))
    store.tables.jobs["wk-000001"].deferred = True
    world.machines._rebuild_queue()

    def names(jobs: list[Job]) -> list[str]:
        # Having waited for long, it stands in the line twice.
        return list(dict.fromkeys(job.spec.id for job in jobs))

    assert names(world.machines.queue) == ["wk-000002"]
    assert names(world.machines.waiting_jobs()) == ["wk-000002"], "no gate, no deferred jobs"
    world.machines.admission = AdmissionGate(store.tables, RecordingLog([]), lambda: True)
    assert names(world.machines.waiting_jobs()) == ["wk-000002", "wk-000001"]
