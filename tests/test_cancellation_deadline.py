"""The deadline for cancelled tasks on hung machines, and the safety of healthy machines.

The deadline counts from the cancellation and does not restart when the machine's owner changes.
"""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.actors.commands import CommandReply, InspectionReply
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.core import keys
from sloeswitch.core.cancellation_guard import MAX_FAILED_INSPECTIONS, OVERDUE_SHARE, URGENT_SHARE
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import JobState
from tests.conftest import Store, spec, worker_report
from tests.support.fleet import FleetWorld
from tests.support.single_controller import JOB, Cloud, World, ask, run_deletions
from tests.support.takeover_world import TakeoverKind, simulate

CANCEL_S = 30.0
MACHINES = [f"vm-{number}" for number in range(8)]


class Takeover:
    """c0.1 has just taken over machines and has no contact with them; a job claimed by departed c1.9 is cancelled."""

    def __init__(self, store: Store, stored: dict[str, int], holder: str = "c1_9", spot: bool = True) -> None:
        self.store = store
        self.world = World(store)
        self.deleted: list[str] = []
        # Machines deleted because they do not respond, regardless of cancelled tasks.
        self.silent: set[str] = set()
        self.world.machines.termination.autoscaler = self
        self.world.machines.commands.spawn = self.start
        self.inspected_machines: list[str] = []
        self.other_machines_in_contact = True
        store.put(
            keys.machine_group_key("c1.9.1"), {"m": {name: ["127.0.0.1:9000", "small", "a", True] for name in MACHINES}}
        )
        store.job(spec(visits=2, loaners=spot))
        store.progress(JOB, **{holder: 0b01})
        row = {**store.rows[keys.job_key(JOB)][0], "s": JobState.CANCELLED, **stored}
        store.put(keys.job_key(JOB), row)
        self.tick()

    def start(self, call: Any, *args: Any) -> None:
        """Records inspections, and lets every command fail without an answer."""
        if call.__name__ == "_inspect":
            self.inspected_machines.append(args[0])
            return
        commands = self.world.machines.commands
        commands.record_sending(args[0])
        commands.record_failure(args[0])
        commands.record_ended(args[0])

    def request_termination(self, machine: str, by_coordinator: bool = False, urgent: bool = False) -> bool:
        """Records machines deleted for a cancellation in `deleted`, and all others in `silent`."""
        if not urgent:
            self.silent.add(machine)
        is_new = urgent and machine not in self.deleted
        if is_new:
            self.deleted.append(machine)
        return is_new

    def tick(self, seconds: float = 0.0) -> None:
        """Advances the time; the controller keeps its lease and, by default, has contact with another machine."""
        world = self.world
        world.clock.time += seconds
        world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time
        if self.other_machines_in_contact:
            world.machines.cancellations.last_machine_contact_at = world.clock.time
        world.machines.monitor.next_check_at = 0.0
        world.machines._tick()

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds)):
            self.tick(1.0)


@pytest.mark.parametrize("seed", [2, 4, 16, 17, 23, 27])
def test_only_the_hung_machine_is_deleted_and_in_time_despite_owner_changes(seed: int) -> None:
    """Guards against a wait that restarts at each takeover: in these seeds the task then outlasts `cancel_s`."""
    world = simulate(seed)
    kinds = {str(kind) for kind in TakeoverKind}
    assert kinds & world.event_counts.keys() and world.event_counts["deleted"] == 1


@pytest.mark.parametrize("stored", [{}, {"x": 0}, {"x": 10**15}, {"x": -5}])
def test_deadline_without_a_usable_stored_time_counts_from_first_observation(
    store: Store, stored: dict[str, int]
) -> None:
    """Guards against a stored time that is missing or in the future, with which the deadline would never pass."""
    takeover = Takeover(store, stored)
    takeover.pass_time(OVERDUE_SHARE * CANCEL_S - 1)
    assert takeover.deleted == []
    takeover.pass_time(2)
    assert set(takeover.deleted) == set(MACHINES)


def test_cancellation_known_only_from_a_sibling_has_a_deadline_at_a_new_owner(store: Store) -> None:
    """Guards against an owner that waits forever because no row holds the time of the cancellation."""
    takeover = Takeover(store, {})
    job = store.rows[keys.job_key(JOB)][0]
    store.put(keys.job_key(JOB), {**job, "s": JobState.LIVE})
    store.tables.apply_peer_cancellation(Cancellation(JOB, 99))
    takeover.pass_time(OVERDUE_SHARE * CANCEL_S + 2)
    assert set(takeover.deleted) == set(MACHINES)


def test_deadline_of_a_reported_cancelled_task_counts_from_first_observation(store: Store) -> None:
    """Guards against a full new wait at each owner of a machine that reports a cancelled task but receives nothing."""
    takeover = Takeover(store, {})
    takeover.pass_time(0.4 * CANCEL_S)
    message = CommandReply(worker_report(1, 3, (f"{JOB}/0", 1, "running"), name=MACHINES[0]))
    anyio.run(takeover.world.machines.handle, message)
    takeover.pass_time(0.2 * CANCEL_S)
    assert MACHINES[0] in takeover.deleted


def test_inspection_answered_by_another_machine_counts_as_unanswered(store: Store) -> None:
    """Guards against an address that was reassigned: the new machine's answer would clear the hung machine."""
    sibling = Sibling(store, 0.3 * CANCEL_S)
    first, second = sorted(sibling.owner_machines)[:2]
    sibling.pass_time_answering(4, {first, second})
    guard = sibling.world.machines.cancellations.guard
    failures = guard.inspections[first].failures
    anyio.run(sibling.world.machines.handle, InspectionReply(second, worker_report(1, 4, name=first)))
    assert guard.inspections[first].failures == failures > 0


def test_stored_time_far_in_the_past_deletes_no_machine_that_answers(store: Store) -> None:
    """Guards against a wrong stored time that makes every machine of a takeover overdue at once."""
    takeover = Takeover(store, {"x": 1})
    world = takeover.world
    for name in MACHINES[1:]:
        anyio.run(world.machines.handle, CommandReply(worker_report(1, 3, name=name)))
    takeover.pass_time(10)
    assert takeover.deleted == [MACHINES[0]]


def test_a_machine_that_answers_commands_under_a_newer_token_is_kept(store: Store) -> None:
    """Guards against the deletion of machines fenced by a newer owner: their answers have no other effect here."""
    takeover = Takeover(store, {"x": 1})
    for _ in range(10):
        for name in MACHINES:
            anyio.run(takeover.world.machines.handle, CommandReply(worker_report(1, 9, name=name)))
        takeover.tick(1.0)
    assert takeover.deleted == []


def test_machine_whose_first_command_still_waits_is_kept(store: Store) -> None:
    """Guards against mass deletion after a takeover of thousands of machines, when commands wait for a free socket."""
    takeover = Takeover(store, {"x": 1})
    commands = takeover.world.machines.commands
    commands._failed_at.clear()
    commands._queued.update(MACHINES[1:])
    commands.probe_at.update(dict.fromkeys(MACHINES[1:], float("inf")))
    takeover.pass_time(10)
    assert takeover.deleted == [MACHINES[0]]


def test_no_machine_is_deleted_while_the_controllers_own_network_is_suspected(store: Store) -> None:
    """Guards against a new owner without network access, which would delete every machine that it took over."""
    takeover = Takeover(store, {"x": 1})
    takeover.other_machines_in_contact = False
    takeover.pass_time(10)
    assert takeover.deleted == [] and not takeover.silent
    takeover.other_machines_in_contact = True
    takeover.pass_time(10)
    assert set(takeover.deleted) == set(MACHINES) == takeover.silent


@pytest.mark.parametrize("case", ["own claims", "no spot machines"])
def test_machine_excluded_by_stored_claims_or_job_constraints_is_kept(store: Store, case: str) -> None:
    """Guards against the deletion of machines that cannot hold the task.

    In one case c0.1 itself claims the task; in the other the job accepts no spot machines.
    """
    takeover = Takeover(store, {"x": 1}, holder="c0_1" if case == "own claims" else "c1_9", spot=case == "own claims")
    takeover.pass_time(10)
    assert takeover.deleted == []


class Sibling(Takeover):
    """c0.1 as the sibling of c1.2, which owns machines under the present view and has not accounted for them."""

    def __init__(self, store: Store, cancelled_s: float) -> None:
        self.owner_machines = set(MACHINES)
        self.report_count = 0
        super().__init__(store, {"x": int(1000 * (1000.0 - cancelled_s))})
        store.view(4, ("c0", 1), ("c1", 2))
        store.member("c0", 1, recovered_view=4)
        store.member("c1", 2, recovered_view=3)
        self.owner_machines = {name for name in MACHINES if store.tables.view.owner(name) == "c1"}
        self.tick()
        self.inspected_machines.clear()

    def tick(self, seconds: float = 0.0) -> None:
        """Advances the time while the machines of c0.1 report."""
        super().tick(seconds)
        self.report_count += 1
        for name in set(MACHINES) - self.owner_machines:
            message = HeartbeatRequest(report=worker_report(self.report_count, 4, name=name), last_answer_received=True)
            anyio.run(self.world.machines.handle, message)

    def answer_inspections(self, silent: set[str]) -> None:
        for name in self.inspected_machines:
            message = InspectionReply(name, None if name in silent else worker_report(1, 4, name=name))
            anyio.run(self.world.machines.handle, message)
        self.inspected_machines.clear()

    def pass_time_answering(self, seconds: float, silent: set[str]) -> None:
        for _ in range(int(seconds)):
            self.tick(1.0)
            self.answer_inspections(silent)


def test_sibling_deletes_a_silent_machine_that_its_owner_never_accounts_for(store: Store) -> None:
    """Guards against an owner that restarts repeatedly, so that none of its processes detects the hung machine."""
    sibling = Sibling(store, 0.4 * CANCEL_S)
    silent = sorted(sibling.owner_machines)[0]
    assert len(sibling.owner_machines) > 1
    sibling.pass_time_answering(10, {silent})
    assert sibling.deleted == [silent]


def test_sibling_does_not_inspect_machines_that_their_owner_accounts_for(store: Store) -> None:
    sibling = Sibling(store, 0.4 * CANCEL_S)
    store.member("c1", 2, recovered_view=4)
    for _ in range(10):
        sibling.tick(1.0)
    assert sibling.inspected_machines == [] and sibling.deleted == []


def test_sibling_gives_the_owner_time_to_account_for_machines_before_it_inspects(store: Store) -> None:
    sibling = Sibling(store, 0.4 * CANCEL_S)
    sibling.tick(0.5)
    assert sibling.inspected_machines == []
    sibling.pass_time(3)
    assert set(sibling.inspected_machines) == sibling.owner_machines


def test_near_the_deadline_machines_are_inspected_at_once(store: Store) -> None:
    sibling = Sibling(store, URGENT_SHARE * CANCEL_S - 0.2)
    sibling.tick(0.5)
    assert set(sibling.inspected_machines) == sibling.owner_machines


def test_controller_that_lost_its_lease_inspects_again_before_it_deletes(store: Store) -> None:
    """Guards against outdated failures: the machine may have answered its owner while the lease was lost."""
    sibling = Sibling(store, 0.3 * CANCEL_S)
    sibling.pass_time_answering(5, sibling.owner_machines)
    guard = sibling.world.machines.cancellations.guard
    assert set(guard.deletable()) == sibling.owner_machines and sibling.deleted == []
    world = sibling.world
    world.clock.time += 10.0  # its lease and its last linearizable read have expired
    world.machines._tick()
    assert guard.deletable() == [] and set(guard.inspections) == sibling.owner_machines
    sibling.inspected_machines.clear()
    sibling.pass_time_answering(MAX_FAILED_INSPECTIONS, set())
    assert sibling.deleted == []


def test_the_autoscaler_deletes_a_siblings_machine_only_while_it_is_unaccounted_for(store: Store) -> None:
    """Guards against a request dropped because a sibling owns the machine, and one executed after its reason ended."""
    sibling = Sibling(store, 0.4 * CANCEL_S)
    cloud: Any = Cloud()
    scale_in = ScaleIn(sibling.world.context, cloud)
    scale_in.machines = sibling.world.machines
    sibling.world.machines.termination.autoscaler = scale_in
    silent = sorted(sibling.owner_machines)[0]
    sibling.pass_time_answering(10, {silent})
    assert list(scale_in.terminating) == [silent]
    store.member("c1", 2, recovered_view=4)
    sibling.tick(1.0)
    scale_in.wake = anyio.Event()
    assert run_deletions(sibling.world, scale_in) == [], "its owner accounts for it"
    store.member("c1", 2, recovered_view=3)
    sibling.pass_time_answering(10, {silent})
    scale_in.wake = anyio.Event()
    assert run_deletions(sibling.world, scale_in) == [silent]


def test_takeover_of_a_fleet_deletes_only_the_hung_machine() -> None:
    """Guards against mass deletion, when one overdue cancellation makes every machine of a takeover a suspect."""
    world = FleetWorld(200)
    outcome = world.take_over_with_a_hung_machine()
    assert outcome.deleted == [outcome.hung]
    assert outcome.deleted_after_s < world.settings.max_silence_s + 2 * world.settings.report_s
    assert outcome.commands <= 1.1 * world.machine_count


def test_metrics_show_the_machine_the_job_and_the_wait(store: Store) -> None:
    takeover = Takeover(store, {"x": int(1000 * (1000.0 - 0.4 * CANCEL_S))})
    takeover.pass_time(4)
    body = ask(takeover.world, "GET", "/metrics").body.decode()
    assert f'sloeswitch_cancelled_task_wait_seconds{{job="{JOB}",machine="vm-0"}} 16.0' in body
    assert "sloeswitch_cancelled_task_machines 8.0" in body
