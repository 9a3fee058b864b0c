"""Inspection and deletion of machines that may hold cancelled tasks while no controller may answer workers."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.actors.commands import InspectionReply
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.core import keys
from sloeswitch.core.cancellation_guard import MAX_FAILED_INSPECTIONS, OVERDUE_SHARE, CancellationGuard
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import JobState, Progress
from sloeswitch.core.row_codec import encode_progress
from sloeswitch.mesh import Mesh, MeshCallbacks
from sloeswitch.settings import Settings
from tests.conftest import Store, spec, worker_report
from tests.support.single_controller import JOB, Cloud, World, run_deletions

NOW = 1000.0
CANCELLED_MS = 1
MACHINES = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in range(8)}


def store_cancelled_job(store: Store, tag: str, cancelled_ms: int = CANCELLED_MS) -> None:
    """Stores a cancelled job with a task that the incarnation `tag` claims."""
    store.job(spec(JOB))
    store.put(keys.progress_key(JOB), encode_progress(Progress(0, {tag: 1})))
    row = store.rows[keys.job_key(JOB)][0]
    store.put(keys.job_key(JOB), {**row, "s": JobState.CANCELLED, "x": cancelled_ms})


def store_two_members(store: Store) -> None:
    store.view(4, ("c0", 1), ("c1", 2))
    store.put(keys.machine_group_key("c1.2.1"), {"m": MACHINES})


def machines_owned_by(store: Store, member: str) -> set[str]:
    return {name for name in MACHINES if store.tables.view.owner(name) == member}


def overdue_ms(settings: Settings) -> int:
    return CANCELLED_MS + int(1000 * OVERDUE_SHARE * settings.cancel_s) + 1


def test_machines_of_the_incarnation_that_holds_the_claims_are_suspected(settings: Settings, store: Store) -> None:
    store_two_members(store)
    store_cancelled_job(store, "c1.2")
    guard = CancellationGuard(settings)
    assert (
        guard.outage_suspects(store.tables, "c0.1", NOW, overdue_ms(settings))
        == machines_owned_by(store, "c1")
        != set()
    )
    assert guard.outage_suspects(store.tables, "c1.2", NOW, overdue_ms(settings)) == set(), "its own registry says more"
    assert guard.outage_suspects(store.tables, "c0.1", NOW, overdue_ms(settings) - 2) == set(), "not overdue yet"


def test_tasks_claimed_by_a_departed_incarnation_may_be_on_any_machine(settings: Settings, store: Store) -> None:
    store_two_members(store)
    store_cancelled_job(store, "c1.1")
    guard = CancellationGuard(settings)
    assert guard.outage_suspects(store.tables, "c0.1", NOW, overdue_ms(settings)) == set(MACHINES)


def test_cancellation_known_only_from_a_sibling_is_overdue_by_the_local_clock(settings: Settings, store: Store) -> None:
    """The job's row has not been read, so its claims are unknown."""
    store_two_members(store)
    store.tables.apply_peer_cancellation(Cancellation("wk-000077", 99))
    guard = CancellationGuard(settings)
    guard.observe_cancellations(store.tables, NOW)
    later = NOW + OVERDUE_SHARE * settings.cancel_s
    assert guard.outage_suspects(store.tables, "c0.1", later - 0.1, CANCELLED_MS) == set()
    assert guard.outage_suspects(store.tables, "c0.1", later, CANCELLED_MS) == machines_owned_by(store, "c1")


def test_machine_that_holds_a_cancelled_task_or_does_not_answer_is_deletable(settings: Settings, store: Store) -> None:
    store_two_members(store)
    store_cancelled_job(store, "c1.2")
    guard = CancellationGuard(settings)
    names = ["vm-1", "vm-2", "vm-3"]
    assert guard.begin_inspections(names, NOW) == names
    assert guard.begin_inspections(names, NOW) == [], "asked once at a time"
    guard.record_answer(worker_report(1, 4, (f"{JOB}/0", 7, "running"), name="vm-1"), store.tables, NOW)
    guard.record_answer(worker_report(1, 4, (f"{JOB}/0", 7, "ended", "halted"), name="vm-2"), store.tables, NOW)
    for _ in range(MAX_FAILED_INSPECTIONS):
        assert "vm-3" not in guard.deletable()
        guard.record_no_answer("vm-3", NOW)
    assert guard.deletable() == ["vm-1", "vm-3"]
    assert guard.begin_inspections(["vm-2", "vm-3"], NOW + settings.lease_s) == ["vm-2"], "asked again later"
    assert guard.deletable() == ["vm-3"], "vm-1 is suspected no more"


class Outage:
    """c0.1 without the state service, and sibling c1 that answers over the mesh.

    Machines of c1 may hold a cancelled task.
    """

    def __init__(self, store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
        store_two_members(store)
        store_cancelled_job(store, "c1.2")
        self.world = world = World(store)
        store.view(5, ("c0", 1), ("c1", 2))
        monkeypatch.setattr(world.clock, "wall_clock_ms", lambda: overdue_ms(world.settings))
        world.leadership.mesh = Mesh(
            world.settings.siblings,
            1.0,
            world.clock.now,
            MeshCallbacks(world.leadership.peer_status, lambda _: None),
            store.tables.cancellations,
        )
        self.peer = world.leadership.mesh.peers["c1"]
        self.inspected_machines: list[str] = []
        self.deleted: list[str] = []
        world.machines.group = self  # type: ignore[assignment]
        world.machines.termination.autoscaler = self  # type: ignore[assignment]
        world.client.failing_since = world.clock.time
        world.clock.time += 2 * world.settings.controller_lease_s
        self.set_sibling_status(view=0, state_ok=False)

    def set_sibling_status(self, view: int, state_ok: bool) -> None:
        self.peer.requested_at, self.peer.view_number, self.peer.state_reachable = self.world.clock.time, view, state_ok

    def start_soon(self, call: Any, *args: Any) -> None:
        assert call.__name__ == "_inspect"
        self.inspected_machines.append(args[0])

    def request_termination(self, machine: str, urgent: bool) -> bool:
        self.deleted.append(machine)
        return urgent

    def run_inspection_round(self, silent: set[str]) -> None:
        """One round of inspections, answered by all machines except the silent ones."""
        self.world.machines.cancellations.inspect_suspects(self.world.clock.time, self.world.clock.wall_clock_ms())
        for name in self.inspected_machines:
            answer = None if name in silent else worker_report(1, 5, name=name)
            anyio.run(self.world.machines.handle, InspectionReply(name, answer))
        self.inspected_machines.clear()
        self.world.clock.time += self.world.settings.report_s
        self.world.machines.cancellations.inspect_suspects(self.world.clock.time, self.world.clock.wall_clock_ms())


def test_only_the_silent_machine_of_a_restarted_sibling_is_deleted(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    outage = Outage(store, monkeypatch)
    silent = sorted(machines_owned_by(store, "c1"))[0]
    for _ in range(MAX_FAILED_INSPECTIONS):
        outage.run_inspection_round({silent})
    assert set(outage.deleted) == {silent}


def test_no_inspection_while_a_sibling_reaches_the_state_service_or_knows_a_newer_view(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    outage = Outage(store, monkeypatch)
    for view, state_ok in ((5, True), (6, False)):
        outage.set_sibling_status(view, state_ok)
        outage.run_inspection_round(set())
        assert not outage.world.machines.cancellations.guard.inspections
    outage.set_sibling_status(0, False)
    outage.run_inspection_round(set())
    assert outage.world.machines.cancellations.guard.inspections


def test_autoscaler_deletes_a_siblings_machine_for_a_cancellation_only_while_no_controller_may_answer(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    outage = Outage(store, monkeypatch)
    cloud: Any = Cloud()
    world = outage.world
    autoscaler = ScaleIn(world.context, cloud)
    autoscaler.machines = world.machines
    urgent, not_urgent = sorted(machines_owned_by(store, "c1"))[:2]
    autoscaler.request_termination(urgent, urgent=True)
    autoscaler.request_termination(not_urgent)
    outage.set_sibling_status(5, True)
    assert run_deletions(world, autoscaler) == []
    outage.set_sibling_status(0, False)
    autoscaler.wake = anyio.Event()  # each run of an event loop needs its own event
    assert run_deletions(world, autoscaler) == [urgent]


def test_controller_without_contact_to_any_machine_deletes_none(store: Store, monkeypatch: pytest.MonkeyPatch) -> None:
    outage = Outage(store, monkeypatch)
    for _ in range(2 * MAX_FAILED_INSPECTIONS):
        outage.run_inspection_round(set(MACHINES))
    assert outage.deleted == []
    outage.world.machines.cancellations.last_machine_contact_at = outage.world.clock.time
    outage.run_inspection_round(set(MACHINES))
    assert set(outage.deleted) == machines_owned_by(store, "c1")
