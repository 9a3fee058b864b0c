"""The deadline of a cancelled task counts from its cancellation, whoever owns its machine; healthy machines stay."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.core import keys
from sloeswitch.core.cancellation_guard import MAX_FAILED_INSPECTIONS, OVERDUE_SHARE, PRESSING_SHARE
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import JobState
from tests.conftest import Store, report, spec
from tests.support.fleet import FleetWorld
from tests.support.single_controller import JOB, Cloud, World, ask, deletions
from tests.support.takeover_world import TakeoverKind, play

CANCEL_S = 30.0
MACHINES = [f"vm-{number}" for number in range(8)]


class Takeover:
    """c0.1, which has just taken machines over and heard nothing of them; a job of a departed c1.9 is cancelled."""

    def __init__(self, store: Store, stored: dict[str, int], holder: str = "c1_9", spot: bool = True) -> None:
        self.store = store
        self.world = World(store)
        self.deleted: list[str] = []
        # Those that are deleted since they do not respond, whatever may be on them.
        self.silent: set[str] = set()
        self.world.machines.termination.autoscaler = self
        self.world.machines.commands.spawn = self.start
        self.asked: list[str] = []
        self.hears_others = True
        store.put(
            keys.machine_group_key("c1.9.1"), {"m": {name: ["127.0.0.1:9000", "small", "a", True] for name in MACHINES}}
        )
        store.job(spec(visits=2, loaners=spot))
        store.progress(JOB, **{holder: 0b01})
        row = {**store.rows[keys.job_key(JOB)][0], "s": JobState.CANCELLED, **stored}
        store.put(keys.job_key(JOB), row)
        self.tick()

    def start(self, call: Any, *args: Any) -> None:
        """No command finds an answer; which machines are inspected."""
        if call.__name__ == "_inspect":
            self.asked.append(args[0])
            return
        commands = self.world.machines.commands
        commands.record_begun(args[0])
        commands.record_failure(args[0])
        commands.record_ended(args[0])

    def scale_in(self, machine: str, listed: bool = False, pressing: bool = False) -> bool:
        """Takes what is deleted for a cancellation; a machine that is merely silent is another matter."""
        if not pressing:
            self.silent.add(machine)
        is_new = pressing and machine not in self.deleted
        if is_new:
            self.deleted.append(machine)
        return is_new

    def tick(self, seconds: float = 0.0) -> None:
        """Time passes while the controller keeps its lease, and another machine is heard."""
        world = self.world
        world.clock.time += seconds
        world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time
        if self.hears_others:
            world.machines.cancellations.any_heard_at = world.clock.time
        world.machines.monitor.next_check_at = 0.0
        world.machines._tick()

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self.tick(1.0)


@pytest.mark.parametrize("seed", [2, 4, 16, 17, 23, 27])
def test_a_hung_machine_is_deleted_in_time_and_no_other_however_its_owners_change(seed: int) -> None:
    """In each of these seeds the cancelled task outlasted `cancel_s`, as each takeover began the wait anew."""
    world = play(seed)
    kinds = {str(kind) for kind in TakeoverKind}
    assert kinds & world.happened.keys() and world.happened["deleted"] == 1


@pytest.mark.parametrize("stored", [{}, {"x": 0}, {"x": 10**15}, {"x": -5}])
def test_a_cancellation_without_a_usable_time_is_overdue_from_when_it_is_known(
    store: Store, stored: dict[str, int]
) -> None:
    """Guards against a stored time that is missing or in the future: the deadline never came."""
    takeover = Takeover(store, stored)
    takeover.pass_time(OVERDUE_SHARE * CANCEL_S - 1)
    assert takeover.deleted == []
    takeover.pass_time(2)
    assert set(takeover.deleted) == set(MACHINES)


def test_a_cancellation_that_only_a_sibling_reported_has_a_deadline_for_a_new_owner(store: Store) -> None:
    """Guards against an owner that waits for a time which no row tells."""
    takeover = Takeover(store, {})
    job = store.rows[keys.job_key(JOB)][0]
    store.put(keys.job_key(JOB), {**job, "s": JobState.LIVE})
    store.tables.apply_peer_cancellation(Cancellation(JOB, 99))
    takeover.pass_time(OVERDUE_SHARE * CANCEL_S + 2)
    assert set(takeover.deleted) == set(MACHINES)


def test_a_new_owner_counts_from_when_the_cancellation_is_known_though_no_time_is_stored(store: Store) -> None:
    """Guards against a machine that reports a cancelled task and receives nothing: each owner gave it all the time."""
    takeover = Takeover(store, {})
    takeover.pass_time(0.4 * CANCEL_S)
    message = CommandReply(report(1, 3, (f"{JOB}/0", 1, "running"), name=MACHINES[0]))
    anyio.run(takeover.world.machines.handle, message)
    takeover.pass_time(0.2 * CANCEL_S)
    assert MACHINES[0] in takeover.deleted


def test_another_machines_answer_to_an_inspection_is_none(store: Store) -> None:
    """Guards against an address that another machine has by now: its answer would clear the one that hangs."""
    sibling = Sibling(store, 0.3 * CANCEL_S)
    first, second = sorted(sibling.theirs)[:2]
    sibling.pass_time_answering(4, {first, second})
    guard = sibling.world.machines.cancellations.guard
    failures = guard.inspections[first].failures
    anyio.run(sibling.world.machines.handle, InspectionReply(second, report(1, 4, name=first)))
    assert guard.inspections[first].failures == failures > 0


def test_a_time_far_in_the_past_deletes_nothing_that_answers(store: Store) -> None:
    """Guards against a malformed time that makes every machine of a takeover overdue at once."""
    takeover = Takeover(store, {"x": 1})
    world = takeover.world
    for name in MACHINES[1:]:
        anyio.run(world.machines.handle, CommandReply(report(1, 3, name=name)))
    takeover.pass_time(10)
    assert takeover.deleted == [MACHINES[0]]


def test_a_machine_that_answers_commands_under_a_newer_token_is_kept(store: Store) -> None:
    """Guards against the deletion of machines that a newer owner has fenced: their answers count for nothing else."""
    takeover = Takeover(store, {"x": 1})
    for _ in range(10):
        for name in MACHINES:
            anyio.run(takeover.world.machines.handle, CommandReply(report(1, 9, name=name)))
        takeover.tick(1.0)
    assert takeover.deleted == []


def test_a_machine_that_was_not_asked_yet_is_kept(store: Store) -> None:
    """Guards against deletions at large after a takeover of thousands: commands to all of them wait for sockets."""
    takeover = Takeover(store, {"x": 1})
    commands = takeover.world.machines.commands
    commands._failed_at.clear()
    commands._waiting.update(MACHINES[1:])
    commands.probe_at.update(dict.fromkeys(MACHINES[1:], float("inf")))
    takeover.pass_time(10)
    assert takeover.deleted == [MACHINES[0]]


def test_no_machine_is_deleted_while_our_own_network_is_suspected(store: Store) -> None:
    """Guards against a new owner without a network, which would delete all that it took over."""
    takeover = Takeover(store, {"x": 1})
    takeover.hears_others = False
    takeover.pass_time(10)
    assert takeover.deleted == [] and not takeover.silent
    takeover.hears_others = True
    takeover.pass_time(10)
    assert set(takeover.deleted) == set(MACHINES) == takeover.silent


@pytest.mark.parametrize("case", ["own claims", "no spot machines"])
def test_a_machine_that_cannot_hold_the_task_by_the_stored_claims_is_kept(store: Store, case: str) -> None:
    """Guards against the deletion of machines taken over from another owner than the one that claimed the task."""
    takeover = Takeover(store, {"x": 1}, holder="c0_1" if case == "own claims" else "c1_9", spot=case == "own claims")
    takeover.pass_time(10)
    assert takeover.deleted == []


class Sibling(Takeover):
    """c0.1 beside c1.2, which owns machines under the present view and does not account for them."""

    def __init__(self, store: Store, cancelled_s: float) -> None:
        self.theirs = set(MACHINES)
        self.reports = 0
        super().__init__(store, {"x": int(1000 * (1000.0 - cancelled_s))})
        store.view(4, ("c0", 1), ("c1", 2))
        store.member("c0", 1, settled=4)
        store.member("c1", 2, settled=3)
        self.theirs = {name for name in MACHINES if store.tables.view.owner(name) == "c1"}
        self.tick()
        self.asked.clear()

    def tick(self, seconds: float = 0.0) -> None:
        """Its own machines report meanwhile."""
        super().tick(seconds)
        self.reports += 1
        for name in set(MACHINES) - self.theirs:
            message = HeartbeatRequest(report=report(self.reports, 4, name=name), last_answer_received=True)
            anyio.run(self.world.machines.handle, message)

    def answer(self, silent: set[str]) -> None:
        for name in self.asked:
            message = InspectionReply(name, None if name in silent else report(1, 4, name=name))
            anyio.run(self.world.machines.handle, message)
        self.asked.clear()

    def pass_time_answering(self, seconds: float, silent: set[str]) -> None:
        for _ in range(int(seconds)):
            self.tick(1.0)
            self.answer(silent)


def test_a_sibling_deletes_the_silent_machine_that_its_owner_never_accounts_for(store: Store) -> None:
    """Guards against an owner that restarts again and again: none of its processes lives to find out."""
    sibling = Sibling(store, 0.4 * CANCEL_S)
    silent = sorted(sibling.theirs)[0]
    assert len(sibling.theirs) > 1
    sibling.pass_time_answering(10, {silent})
    assert sibling.deleted == [silent]


def test_a_sibling_asks_nothing_of_machines_that_their_owner_accounts_for(store: Store) -> None:
    sibling = Sibling(store, 0.4 * CANCEL_S)
    store.member("c1", 2, settled=4)
    for _ in range(10):
        sibling.tick(1.0)
    assert sibling.asked == [] and sibling.deleted == []


def test_a_sibling_leaves_the_owner_the_time_of_a_report_unless_the_deadline_is_near(store: Store) -> None:
    sibling = Sibling(store, 0.4 * CANCEL_S)
    sibling.tick(0.5)
    assert sibling.asked == []
    sibling.pass_time(3)
    assert set(sibling.asked) == sibling.theirs


def test_near_the_deadline_machines_are_inspected_at_once(store: Store) -> None:
    sibling = Sibling(store, PRESSING_SHARE * CANCEL_S - 0.2)
    sibling.tick(0.5)
    assert set(sibling.asked) == sibling.theirs


def test_a_controller_that_lost_its_lease_confirms_what_it_found_before_it_deletes(store: Store) -> None:
    """Guards against an answer that was missing before: the machine may have answered its owner since."""
    sibling = Sibling(store, 0.3 * CANCEL_S)
    sibling.pass_time_answering(5, sibling.theirs)
    guard = sibling.world.machines.cancellations.guard
    assert set(guard.deletable()) == sibling.theirs and sibling.deleted == []
    world = sibling.world
    world.clock.time += 10.0  # its lease and its last fresh read are over
    world.machines._tick()
    assert guard.deletable() == [] and set(guard.inspections) == sibling.theirs
    sibling.asked.clear()
    sibling.pass_time_answering(MAX_FAILED_INSPECTIONS, set())
    assert sibling.deleted == []


def test_the_autoscaler_deletes_a_siblings_machine_only_while_it_is_unaccounted_for(store: Store) -> None:
    """Guards against a request that was dropped since the machine is another's, and against one that outlived its
    reason."""
    sibling = Sibling(store, 0.4 * CANCEL_S)
    cloud: Any = Cloud()
    scale_in = ScaleIn(sibling.world.context, cloud)
    scale_in.machines = sibling.world.machines
    sibling.world.machines.termination.autoscaler = scale_in
    silent = sorted(sibling.theirs)[0]
    sibling.pass_time_answering(10, {silent})
    assert list(scale_in.terminating) == [silent]
    store.member("c1", 2, settled=4)
    sibling.tick(1.0)
    scale_in.wake = anyio.Event()
    assert deletions(sibling.world, scale_in) == [], "its owner accounts for it"
    store.member("c1", 2, settled=3)
    sibling.pass_time_answering(10, {silent})
    scale_in.wake = anyio.Event()
    assert deletions(sibling.world, scale_in) == [silent]


def test_of_a_fleet_that_is_taken_over_only_the_hung_machine_is_deleted() -> None:
    """Guards against deletions at large: one overdue cancellation made every machine of the takeover a suspect."""
    world = FleetWorld(200)
    outcome = world.take_over_with_a_hung_machine()
    assert outcome.deleted == [outcome.hung]
    assert outcome.deleted_after_s < world.settings.max_silence_s + 2 * world.settings.report_s
    assert outcome.commands <= 1.1 * world.machine_count


def test_metrics_name_the_machine_the_job_and_since_when(store: Store) -> None:
    takeover = Takeover(store, {"x": int(1000 * (1000.0 - 0.4 * CANCEL_S))})
    takeover.pass_time(4)
    body = ask(takeover.world, "GET", "/metrics").body.decode()
    assert f'sloeswitch_cancelled_task_wait_seconds{{job="{JOB}",machine="vm-0"}} 16.0' in body
    assert "sloeswitch_cancelled_task_machines 8.0" in body
