"""The rules that the users added: nothing starves, nothing is forgotten, late copies, one-way silence,
cut-off controllers and quick restarts."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch import wire
from sloeswitch.actors.autoscaler import Autoscaler
from sloeswitch.actors.base import MAX_MESSAGES_PER_TURN, Actor, InboxFullError
from sloeswitch.actors.jobs import ClaimRequest
from sloeswitch.actors.machines import HeartbeatRequest
from sloeswitch.actors.users import Users
from sloeswitch.core import job_queue, keys
from sloeswitch.core.job_queue import STARVATION_LEASES
from sloeswitch.core.records import View
from sloeswitch.core.rendezvous import owner
from sloeswitch.http import Answer, Request
from sloeswitch.settings import parse
from sloeswitch.state_client import TransactionOutcome
from tests.conftest import SETTINGS, Store, report, spec, submission
from tests.test_actors import JOB, World, machine_up, meshed

LEASE_S = 10.0


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    machine_up(world)
    yield world


def heartbeat(world: World, heard: wire.WorkerReport, received: bool = True) -> Any:
    message = HeartbeatRequest(report=heard, last_answer_received=received)
    anyio.run(world.machines.handle, message)
    return message.answer


def later(world: World, seconds: float) -> None:
    """Time passes and the controller keeps its lease."""
    world.clock.time += seconds
    world.leadership.lease_renewed_at = world.replica.linearizable_at = world.clock.time


def verbs(answer: Any) -> list[str]:
    return [order.verb for order in wire.decode(answer.body, wire.WorkerCommands).commands]


def running(world: World) -> tuple[str, int]:
    """One task of a job runs on vm-1, as its report 4 tells."""
    world.store.job(spec(visits=1))
    world.round(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": (8.0, 0.0)}))
    start = world.heartbeat(report(3, 3)).commands[0]
    world.heartbeat(report(4, 3, (start.task, start.attempt, "running")))
    return start.task, start.attempt


# -- no starvation


def names(store: Store, wall_s: float) -> list[str]:
    return [job.spec.id for job in job_queue.queue_order(store.tables, parse(SETTINGS), int(wall_s * 1000))]


def test_a_job_with_nothing_begun_goes_first_after_a_bounded_wait(store: Store) -> None:
    store.job(spec("wk-000001", urgency="best_effort", visits=5000))
    store.job(spec("wk-000002", urgency="critical", visits=9))  # more than the guarantee
    assert names(store, STARVATION_LEASES * LEASE_S - 1) == ["wk-000002", "wk-000001"]
    assert names(store, STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"
    store.progress("wk-000001", done=0b1)  # begun: others first again, for a while
    store.progress("wk-000002", done=0b1)
    assert names(store, STARVATION_LEASES * LEASE_S + 1) == ["wk-000002", "wk-000001"]
    assert names(store, 2 * STARVATION_LEASES * LEASE_S + 1) == ["wk-000001", "wk-000002"]


def test_a_hopeless_job_stands_back_for_a_bounded_time(store: Store) -> None:
    store.job(spec("wk-000001", dueS=20.0))
    store.progress("wk-000001", done=0b1)
    store.job(spec("wk-000002", dueS=500.0))
    store.progress("wk-000002", done=0b1)
    assert names(store, 60.0)[0] == "wk-000002"
    assert names(store, 2 * STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"


def test_every_waiting_team_and_class_begins_within_four_minutes(store: Store) -> None:
    """Whatever keeps coming, the longest that a job with nothing begun waits for its turn is bounded."""
    store.job(spec("wk-000001", urgency="best_effort", crew="red", visits=300))
    for number in range(2, 40):
        store.job(spec(f"wk-{number:06d}", urgency="critical", dueS=1000.0))
        store.progress(f"wk-{number:06d}", done=0b1)
    assert STARVATION_LEASES * 14.0 < 0.5 * 240.0
    assert names(store, STARVATION_LEASES * LEASE_S + 1)[0] == "wk-000001"


def test_only_a_part_of_a_job_goes_first_for_having_waited(world: World) -> None:
    world.store.job(spec(visits=16, cores=0.1, memoryGb=0.0))
    job, again = job_queue.queue_order(
        world.store.tables, world.settings, int((STARVATION_LEASES * LEASE_S + 1) * 1000)
    )
    assert job is again and job.starved
    world.machines.queue = [job]
    assert world.claim_requests()[0].task_counts == {JOB: 2}
    # In its ordinary place it gets what room is left.
    world.machines.queue = [job, job]
    assert world.claim_requests()[0].task_counts == {JOB: 16}


def test_a_job_claimed_and_placed_nowhere_has_not_begun(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1)
    assert not world.machines._has_begun(world.store.tables.jobs[JOB])
    world.store.progress(JOB, c1_2=0b1)
    assert world.machines._has_begun(world.store.tables.jobs[JOB])


# -- reports arrive, answers do not


def test_no_start_is_told_to_a_machine_not_seen_to_have_received_an_answer(world: World) -> None:
    world.store.job(spec())
    world.round(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": (8.0, 0.0)}))
    assert verbs(heartbeat(world, report(3, 3), received=False)) == []
    assert verbs(heartbeat(world, report(4, 3), received=True)) == ["start"] * 4


def test_what_was_never_sent_goes_elsewhere_and_what_was_sent_counts_as_present(world: World) -> None:
    task = running(world)
    machine = world.machines.registry.machines["vm-1"]
    world.store.job(spec("wk-000002", visits=2))
    world.round(ClaimRequest(task_counts={"wk-000002": 2}, quota_increases={"red": (8.0, 0.0)}))
    assert world.machines.registry.placed_tasks["wk-000002"] == 0b11
    heartbeat(world, report(5, 3, (*task, "running")), received=False)
    world.machines._check_machine(machine, world.clock.time)
    assert "wk-000002" not in world.machines.registry.placed_tasks  # to be placed again
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    # Its reports go on, so its lease may be alive: it counts until it is reported gone.
    later(world, 2.0)
    heartbeat(world, report(9, 3, (*task, "running")), received=False)
    world.machines._check_machine(machine, world.clock.time)
    assert world.machines.registry.placed_tasks[JOB] == 0b1
    heartbeat(world, report(10, 3, session=2), received=False)
    assert JOB not in world.machines.registry.placed_tasks


def test_a_machine_that_nothing_reaches_is_returned_after_two_leases(world: World) -> None:
    machine = world.machines.registry.machines["vm-1"]
    returned: list[str] = []
    world.machines.drain_and_scale_in = lambda machine, why, pressing=False: returned.append(why)  # type: ignore[method-assign]
    serial = 3
    for _ in range(int(2.5 * LEASE_S)):
        later(world, 1.0)
        heartbeat(world, report(serial, 3), received=serial < 5)
        serial += 1
        world.machines._check_machine(machine, world.clock.time)
        assert bool(returned) == (world.clock.time - machine.reachable_at > 2 * LEASE_S)
    assert returned and set(returned) == {"unreached"}


def test_only_a_prompt_report_on_the_same_connection_shows_that_an_answer_came(world: World) -> None:
    users = Users(world.settings, world.client, world.replica, world.leadership, world.jobs, world.machines)
    seen: list[bool] = []

    async def ask(message: HeartbeatRequest) -> Answer:
        seen.append(message.last_answer_received)
        return Answer(200)

    world.machines.ask = ask  # type: ignore[assignment]

    async def talk(serial: int, connection: dict[str, float]) -> None:
        await users.handle(Request("POST", "/agent/beat", wire.encode(report(serial, 3)), connection))

    connection: dict[str, float] = {}
    anyio.run(talk, 3, connection)
    anyio.run(talk, 4, connection)
    anyio.run(talk, 5, {})
    world.clock.time += 30.0  # held up on the way
    anyio.run(talk, 6, connection)
    assert seen == [False, True, False, False]


# -- late copies


def test_a_late_copy_renews_no_lease_and_is_answered_no_orders(world: World) -> None:
    running(world)
    machine = world.machines.registry.machines["vm-1"]
    gone_at = machine.lease_expires_at
    later(world, 5.0)
    assert heartbeat(world, report(3, 3)).status == 503
    assert machine.lease_expires_at == gone_at and machine.last_heard_at < world.clock.time
    assert world.machines.registry.placed_tasks[JOB] == 0b1


def test_a_report_held_up_beyond_its_lease_revives_nothing(world: World) -> None:
    task = running(world)
    machine = world.machines.registry.machines["vm-1"]
    later(world, machine.lease_expires_at + 0.1 - world.clock.time)
    world.machines._check_machine(machine, world.clock.time)
    assert JOB not in world.machines.registry.placed_tasks
    # A number never seen, of the session that is over: the task may run elsewhere by now.
    assert heartbeat(world, report(99, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks and not machine.reconciled
    assert heartbeat(world, report(100, 3, session=2), received=False).status == 200
    assert machine.reconciled and not machine.reachable


def test_a_copy_of_an_earlier_session_says_nothing(world: World) -> None:
    task = running(world)
    heartbeat(world, report(1, 3, session=2))
    assert JOB not in world.machines.registry.placed_tasks
    assert heartbeat(world, report(50, 3, (*task, "running"))).status == 503
    assert JOB not in world.machines.registry.placed_tasks


def test_a_task_that_turns_up_after_its_machine_was_accounted_for_is_stopped_not_adopted(world: World) -> None:
    world.store.job(spec(visits=1))
    world.store.progress(JOB, c1_9=0b1)
    answer = heartbeat(world, report(3, 3, (f"{JOB}/0", 5, "running")))
    assert verbs(answer) == ["kill"] and JOB not in world.machines.registry.placed_tasks
    assert not world.machines.registry.adopting


def test_a_copy_is_no_evidence_that_a_start_was_not_carried_out(world: World) -> None:
    world.store.job(spec(visits=1))
    world.round(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": (8.0, 0.0)}))
    assert verbs(heartbeat(world, report(3, 3))) == ["start"]
    heartbeat(world, report(2, 3))
    heartbeat(world, report(3, 3))
    (attempt,) = world.machines.registry.machines["vm-1"].attempts.values()
    assert attempt.sent_sequence == 3


def test_a_copy_from_a_deleted_machine_is_refused_also_after_a_restart(world: World) -> None:
    world.store.put(keys.machine_key("vm-1"), None)
    assert heartbeat(world, report(9, 3)).status == 503
    # A restarted controller does not remember it; the copy bears an earlier token and counts for nothing.
    world.store.tables.deleted_machines.clear()
    world.machines.registry.reset()
    world.store.view(4, ("c0", 1))
    world.machines.followed_view = 0
    assert heartbeat(world, report(10, 3)).status == 200
    machine = world.machines.registry.machines["vm-1"]
    assert not machine.reconciled and not world.machines.registry.is_schedulable(machine)


# -- a controller without state service and siblings


def cut_off(world: World) -> Users:
    mesh = meshed(world)
    mesh.peers["c1"].asked_at = world.clock.time
    world.clock.time += 2 * world.settings.controller_lease_s
    world.client.failing_since = world.clock.time - world.settings.controller_lease_s
    return Users(world.settings, world.client, world.replica, world.leadership, world.jobs, world.machines)


def test_a_cut_off_controller_sends_workers_and_users_elsewhere_at_once(world: World) -> None:
    users = cut_off(world)
    assert heartbeat(world, report(9, 3)).status == 503
    asked = [
        Request("GET", "/healthz", b""),
        Request("POST", "/submissions", wire.encode(submission())),
        Request("GET", f"/submissions/{JOB}", b""),
    ]
    for request in asked:
        answer = anyio.run(users.handle, request)
        assert answer.status == 503 and dict(answer.headers)["Retry-After"], request.path


def test_in_an_outage_that_siblings_share_a_controller_stays_healthy(world: World) -> None:
    users = cut_off(world)
    mesh = world.leadership.mesh
    assert mesh is not None
    mesh.peers["c1"].asked_at, mesh.peers["c1"].state_reachable = world.clock.time, False
    assert users._healthz().status == 200
    mesh.peers["c1"].state_reachable = True
    assert users._healthz().status == 503


# -- a controller back within a fraction of a second


def test_the_former_runs_late_write_does_not_take_the_member_row(world: World) -> None:
    world.membership.recovered_view = 4
    world.client.lose_answers = 3
    assert not anyio.run(world.membership._write_member)  # on its way when the former run is killed
    world.leadership.incarnation = 7
    world.membership.recovered_view = 0
    assert anyio.run(world.membership._write_member)
    for write in world.client.late:
        assert world.client.apply(*write)[0] is TransactionOutcome.CONFLICT
    assert world.store.tables.members["c0"].incarnation == 7


def test_a_member_row_lost_to_the_former_run_is_written_again(world: World) -> None:
    world.leadership.incarnation = 7
    world.store.member("c0", 1, settled=3)
    assert not world.membership._row_is_current(7)
    assert anyio.run(world.membership._write_member)
    assert world.membership._row_is_current(7)


def test_a_new_run_takes_the_coordinators_key_and_the_view_from_its_former_one(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    world.leadership.incarnation = 7
    assert anyio.run(world.membership._write_member)
    anyio.run(world.membership._coordinate)
    assert world.store.tables.coordinator == ("c0", 7)
    anyio.run(world.membership._coordinate)
    assert world.store.tables.view == View(4, (("c0", 7),))


def test_the_former_runs_claims_are_nobodys_only_once_all_is_settled(world: World) -> None:
    world.store.job(spec())
    world.store.progress(JOB, c0_1=0b1111)
    job = world.store.tables.jobs[JOB]
    world.store.view(4, ("c0", 7))
    world.store.member("c0", 7, settled=0)
    assert world.store.tables.unclaimed_tasks(job, world.store.tables.recovery_complete()) == 0
    world.store.member("c0", 7, settled=4)
    assert world.store.tables.unclaimed_tasks(job, world.store.tables.recovery_complete()) == 0b1111


# -- nothing forgotten


def test_a_settled_view_whose_telling_was_lost_is_told_again(world: World) -> None:
    """An unsettled view would leave the claims of a departed controller standing for ever."""
    world.store.member("c0", 1, settled=0)
    world.membership.recovered_view = 3
    world.client.lose_answers = 3
    assert not anyio.run(world.membership._write_member)
    assert not world.membership._row_is_current(1)  # so that the next renewal writes it
    assert anyio.run(world.membership._write_member)
    assert world.store.tables.members["c0"].recovered_view == 3


def test_a_wave_of_machines_is_one_change(world: World) -> None:
    fresh = [report(1, 0, name=f"vm-{number}") for number in range(100, 140)]
    for heard in fresh:
        heartbeat(world, heard, received=False)
        heard.sequence, heard.fencing_token = 2, 3
        heartbeat(world, heard)
    before = world.store.epoch

    async def register() -> None:
        async with anyio.create_task_group() as group:
            world.machines.group = group
            world.machines._register()

    anyio.run(register)
    assert world.store.epoch == before + 1
    assert {f"vm-{number}" for number in range(100, 140)} <= world.store.tables.machines.keys()


def test_deleted_machines_leave_their_group_and_the_last_one_ends_it(world: World) -> None:
    rows = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in (7, 8, 9)}
    world.store.put(keys.group_key("c0.1.1"), {"m": rows})
    assert {"vm-7", "vm-8", "vm-9"} <= world.store.tables.machines.keys()

    async def unregister(*names: str) -> None:
        world.machines.registration.pending_removals |= set(names)
        with anyio.CancelScope() as scope:

            async def pause(seconds: float) -> None:
                if not world.machines.registration.pending_removals & world.store.tables.machines.keys():
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            world.machines.registration.sleep = pause
            await world.machines.registration.unregister_forever()

    anyio.run(unregister, "vm-7", "vm-8")
    assert "vm-9" in world.store.tables.machines and {"vm-7", "vm-8"} <= world.store.tables.deleted_machines
    anyio.run(unregister, "vm-9")
    assert world.store.tables.mod_revision(keys.group_key("c0.1.1")) == 0
    # One machine of each of many full groups: more than one transaction takes.
    for group in range(12):
        rows = {
            f"vm-{group}-{number:012d}": ["10.111.222.133:9000", "guayaba-grande", "san-jose-oeste", True]
            for number in range(81)
        }
        world.store.put(keys.group_key(f"c0.1.{group + 2}"), {"m": rows})
    lost = {f"vm-{group}-000000000000" for group in range(12)}
    anyio.run(unregister, *lost)
    assert lost <= world.store.tables.deleted_machines and len(world.store.tables.machines) == 12 * 80 + 1


def test_machines_are_stored_one_by_one_while_a_controller_knows_no_groups(world: World) -> None:
    world.store.put(keys.member_key("c1"), {"boot": 5, "settled": 0})
    heartbeat(world, report(1, 0, name="vm-9"), received=False)
    heartbeat(world, report(2, 3, name="vm-9"))

    async def register() -> None:
        async with anyio.create_task_group() as group:
            world.machines.group = group
            world.machines._register()

    anyio.run(register)
    assert world.store.tables.machines["vm-9"].key == keys.machine_key("vm-9")


# -- a controller that stood still


class Cloud:
    """Takes deletions and says which."""

    def __init__(self) -> None:
        self.deleted: list[str] = []

    async def delete_instances(self, machines: list[str]) -> None:
        self.deleted += machines


def deletions(world: World, fleet: Autoscaler) -> list[str]:
    async def run() -> None:
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(fleet.terminate_forever)
                await anyio.wait_all_tasks_blocked()
                scope.cancel()

    anyio.run(run)
    assert isinstance(fleet.cloud, Cloud)
    return fleet.cloud.deleted


def test_after_a_freeze_no_machine_is_deleted_on_what_was_known_before(world: World) -> None:
    cloud: Any = Cloud()
    fleet = Autoscaler(world.settings, world.client, cloud, world.replica, world.leadership, world.clock)
    fleet.machines = world.machines
    both = (("c0", 1), ("c1", 2))
    name = next(f"vm-{number}" for number in range(99) if owner(f"vm-{number}", both) == "c1")
    fleet.scale_in(name)
    world.clock.time += 2 * world.settings.controller_lease_s
    assert deletions(world, fleet) == []  # its lease is over
    # Awake again, it learns that the machine has another owner.
    world.store.view(4, *both)
    later(world, 0.0)
    assert deletions(world, fleet) == [] and not fleet.terminating
    world.store.view(5, ("c0", 1))
    fleet.scale_in(name)
    assert deletions(world, fleet) == [name]


def test_after_a_freeze_nothing_is_answered_claimed_or_settled_on_what_was_known_before(world: World) -> None:
    world.store.job(spec(visits=1))
    world.clock.time += 2 * world.settings.controller_lease_s
    assert heartbeat(world, report(3, 3)).status == 503
    assert not world.leadership.is_leader and not world.leadership.is_coordinator
    epoch = world.store.epoch
    world.round(ClaimRequest(task_counts={JOB: 1}, quota_increases={"red": (8.0, 0.0)}))
    assert world.store.epoch == epoch


# -- a fleet at once


def test_a_report_with_one_bad_entry_among_hundreds_is_refused_and_named_once(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    tasks = [(f"{JOB}/{index}", 1, "running") for index in range(300)]
    for serial in range(3, 9):
        assert heartbeat(world, report(serial, 3, *tasks, ("nonsense", 1, "running"))).status == 400
    assert sum("vm-1" in record.getMessage() for record in caplog.records) == 1
    assert heartbeat(world, report(9, 3)).status == 200


def test_a_take_over_asks_few_machines_at_once_and_all_in_the_end(world: World) -> None:
    asked: list[str] = []
    most = 0

    async def run() -> None:
        nonlocal most
        under_way = 0
        go = anyio.Event()

        async def send(machine: Any) -> None:
            nonlocal under_way, most
            under_way += 1
            most = max(most, under_way)
            await go.wait()
            under_way -= 1
            asked.append(machine.name)

        world.machines.commands._send_commands = send  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            world.machines.group = group
            for number in range(400):
                machine = world.machines.registry.add_machine(
                    f"vm-{number + 100}", "127.0.0.1:9000", "small", "a", True, 3, 9e9
                )
                world.machines.commands.probe(machine, world.clock.time)
            await anyio.wait_all_tasks_blocked()
            go.set()

    anyio.run(run)
    assert len(asked) == 400 and most <= world.settings.fd_limit / 8


def test_a_machine_has_one_command_waiting_however_many_tasks_are_to_be_stopped(world: World) -> None:
    """And what is decided once a command is being made up goes with another one."""
    waiting: list[Any] = []
    world.machines.commands.spawn = lambda call, *args: waiting.append((call, args))
    machine = world.machines.registry.machines["vm-1"]
    for _ in range(300):
        world.machines.commands.send(machine)
    assert len(waiting) == 1
    world.machines.commands.record_begun(machine)
    world.machines.commands.send(machine)
    assert len(waiting) == 2


def test_an_actor_lets_others_have_their_turn_and_says_when_it_is_full() -> None:
    handled: list[int] = []
    turns = 0

    class Counting(Actor):
        async def handle(self, message: Any) -> None:
            handled.append(message)

    async def run() -> None:
        nonlocal turns
        actor = Counting(most=100)
        for number in range(100):
            actor.tell(number)
        with pytest.raises(InboxFullError):
            actor.tell(100)
        async with anyio.create_task_group() as group:
            group.start_soon(actor.run)
            while len(handled) < 100:
                turns += 1
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()

    anyio.run(run)
    assert handled == list(range(100)) and turns > 100 / MAX_MESSAGES_PER_TURN
