"""Cancellations during an outage of the state service.

The state service first refuses one controller while the others confirm cancellations to users; then it is down for
all. A controller that continues to answer workers must know every confirmed cancellation, or stop answering in time.
See "Cancellations in an outage" in docs/design.md.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio
import pytest

from sloeswitch import mesh_frames, wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.users import Users
from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation, CancellationLog
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import JobState
from sloeswitch.core.tables import Tables
from sloeswitch.http import Request
from sloeswitch.mesh import Mesh, MeshCallbacks
from sloeswitch.mesh_frames import StatusFrame, StatusRequest
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store, spec, worker_report
from tests.support.clock import Clock
from tests.support.single_controller import JOB, World, apply_sibling_status, register_machine, start_task, state_outage


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def poll(world: World, name: str = JOB) -> Any:
    users = Users(world.context, world.jobs, world.machines)
    answer = anyio.run(users.handle, Request("GET", f"/submissions/{name}", b""))
    return wire.decode(answer.body, dict[str, Any]).get("status") if answer.status == 200 else answer.status


def test_cancellation_confirmed_by_a_sibling_reaches_a_controller_that_cannot_read_it(world: World) -> None:
    task = start_task(world)
    log = CancellationLog(100, 9)
    log.add(JOB, world.replica.applied_revision + 1)  # c1 stored it and confirmed it to its user
    state_outage(world)
    apply_sibling_status(log, world)
    assert world.leadership.may_answer_workers and not world.leadership.is_leader
    commands = world.heartbeat(worker_report(5, 3, (*task, "running"))).commands
    assert commands == []  # the cancellation is known; the task is marked for kill at the next tick
    world.machines.registry.machines["vm-1"].reconciled = False  # no direct command in this test
    world.machines.cancelled_tasks.stop_all()
    world.machines.registry.machines["vm-1"].reconciled = True
    commands = world.heartbeat(worker_report(6, 3, (*task, "running"))).commands
    assert [command.verb for command in commands] == ["kill"]
    assert poll(world) == wire.JobStatus.CANCELLED


def test_claimed_tasks_of_a_job_cancelled_at_a_sibling_are_not_started(world: World) -> None:
    world.store.job(spec())
    world.commit_and_place(ClaimRequest(task_counts={JOB: 4}, quota_increases={"red": ResourceAmount(8.0, 0.0)}))
    world.machines.registry.remove_unsent(world.machines.registry.machines["vm-1"])
    log = CancellationLog(100, 9)
    log.add(JOB, world.replica.applied_revision + 1)
    state_outage(world)
    apply_sibling_status(log, world)
    world.machines.queue.rebuild()
    world.machines.task_placement.place_unplaced()
    assert world.heartbeat(worker_report(3, 3)).commands == []


def test_sibling_without_a_full_read_confirms_nothing(world: World) -> None:
    start_task(world)
    state_outage(world)
    apply_sibling_status(CancellationLog(100, 9), world, fully_read=False)
    assert not world.leadership.may_answer_workers
    apply_sibling_status(CancellationLog(100, 9), world)
    assert world.leadership.may_answer_workers
    apply_sibling_status(CancellationLog(100, 9), world, view_number=4)
    assert not world.leadership.may_answer_workers


def test_confirmation_counts_only_once_all_its_cancellations_are_received(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sloeswitch.mesh.MAX_CANCELLATIONS", 2)
    log = CancellationLog(100, 9)
    for number in range(5):
        log.add(f"wk-{number}", world.replica.applied_revision + 1)
    state_outage(world)
    received_jobs = []
    for _ in range(3):
        answer = apply_sibling_status(log, world)
        received_jobs += [entry.job for entry in answer.delta.cancellations]
        assert world.leadership.may_answer_workers == (len(received_jobs) == 5)
    assert received_jobs == [f"wk-{number}" for number in range(5)]
    assert apply_sibling_status(log, world).delta.cancellations == []


def test_cancellation_known_from_a_sibling_persists_until_its_row_is_read(store: Store) -> None:
    store.job(spec("wk-000001"))
    store.job(spec("wk-000002", awaits=["wk-000001"]))
    tables = store.tables
    tables.apply_peer_cancellation(Cancellation("wk-000001", 90))
    tables.apply_peer_cancellation(Cancellation("wk-000003", 91))
    assert tables.jobs["wk-000001"].is_cancelled and tables.jobs["wk-000002"].prerequisite_cancelled
    # A read that was in flight returns the row as it was before the cancellation.
    store.job(spec("wk-000003"))
    assert tables.jobs["wk-000003"].is_cancelled
    tables.clear()
    store.revision = 100
    store.job(spec("wk-000001"))
    assert tables.jobs["wk-000001"].is_cancelled
    store.job(spec("wk-000001"), JobState.CANCELLED)
    assert tables.jobs["wk-000001"].is_cancelled and "wk-000001" not in tables.peer_cancellations


def test_every_cancellation_that_may_be_confirmed_to_users_is_in_the_log(store: Store) -> None:
    log = store.tables.cancellations
    store.job(spec("wk-000001"))
    store.job(spec("wk-000001"), JobState.CANCELLED)  # read
    store.job(spec("wk-000002"), JobState.CANCELLED)  # read at start
    store.put(keys.job_key("wk-000003"), {"s": JobState.CANCELLED, "n": 1, "t": 5})  # finished at once
    store.job(spec("wk-000004"))
    store.tables.apply_peer_cancellation(Cancellation("wk-000004", 99))  # learnt from a sibling
    store.put(keys.job_key("wk-000001"), {"s": JobState.CANCELLED, "n": 1, "t": 5})
    assert [entry.job for entry in log.since(0, 0, 0, 10).cancellations] == [f"wk-{n:06d}" for n in range(1, 5)]


THREE_MEMBER_SETTINGS = SETTINGS.replace(
    "[outside]", '[[siblings]]\nmember = "c2"\nzone = "b"\naddress = "127.0.0.1:8083"\n[outside]'
)


@dataclass
class StateService:
    """The state service, reduced to the stored cancellations and the current revision."""

    epoch: int = 0
    rows: list[Cancellation] = field(default_factory=list)


class ControllerProcess:
    """One process of a controller, with the real leadership, tables, cancellation log and mesh."""

    def __init__(self, name: str, clock: Clock, log_id: int) -> None:
        sibling_names = [member for member in ("c0", "c1", "c2") if member != name]
        text = THREE_MEMBER_SETTINGS.replace('member = "c0"', f'member = "{name}"', 1)
        for placeholder, sibling in zip(("c1", "c2"), sibling_names, strict=True):
            text = text.replace(f'[[siblings]]\nmember = "{placeholder}"', f'[[siblings]]\nmember = "#{sibling}"')
        self.settings = parse(text.replace('"#', '"'))
        self.clock = clock
        log = CancellationLog(6, log_id)
        self.tables = Tables(log)
        self.replica = Replica(StateClient(self.settings, lambda: 3, clock.now), self.tables, clock.now)
        self.leadership = Leadership(self.settings, self.tables, self.replica, clock.now)
        self.mesh = Mesh(
            self.settings.siblings,
            1.0,
            clock.now,
            MeshCallbacks(self.leadership.peer_status, self.leadership.apply_peer_cancellations),
            log,
        )
        self.leadership.mesh = self.mesh

    def join(self) -> None:
        """Joins a view of all three members, which never changes here."""
        self.leadership.incarnation = 1
        members = [["c0", 1], ["c1", 1], ["c2", 1]]
        self.tables.apply(keys.VIEW_KEY, {"n": 3, "members": members}, 1)

    def read(self, service: StateService) -> None:
        """A linearizable read, sent now and answered immediately."""
        for row in service.rows:
            if row.revision > self.replica.applied_revision:
                self.tables.apply(keys.job_key(row.job), {"s": JobState.CANCELLED, "n": 1, "t": 5}, row.revision)
        self.replica.applied_revision = service.epoch
        self.replica.loaded = self.replica.fully_read = True
        self.replica.linearizable_at = self.leadership.lease_renewed_at = self.clock.time

    def knows_of(self, job: str) -> bool:
        return job in self.tables.finished_jobs or job in self.tables.peer_cancellations


def test_controller_that_may_answer_workers_knows_all_cancellations_confirmed_a_lease_ago(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller that may answer workers must know every cancellation confirmed more than a lease ago.

    Random order of cancellations, lost answers, reads, refusals by the state service, frames in flight, and process
    restarts. A process may have confirmed a cancellation that its successor does not know.
    """
    monkeypatch.setattr("sloeswitch.mesh.MAX_CANCELLATIONS", 2)
    # The tested case does occur: a controller answers workers only because its siblings confirm that it may.
    assert sum(OutageScenario(random.Random(seed)).run() for seed in range(40)) > 1000


class StatusPoll(NamedTuple):
    """A status request in flight from one process to a member, and the answer that it will get."""

    requester: ControllerProcess
    member: str
    sent_at: float
    answer: StatusFrame


class OutageScenario:
    """Random steps of three controllers and the state service."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.clock = Clock()
        self.service = StateService(epoch=5)
        names = ("c0", "c1", "c2")
        self.members = {name: ControllerProcess(name, self.clock, number + 1) for number, name in enumerate(names)}
        for member in self.members.values():
            member.read(self.service)
            member.join()
        self.lease_validity_s = self.members["c0"].leadership.lease_validity_s
        self.reaches_service = dict.fromkeys(self.members, True)
        # When each cancellation was confirmed to a user.
        self.confirmed: dict[str, float] = {}
        self.polls_in_flight: list[StatusPoll] = []
        # The number of checks in which a controller that had not read all rows could answer workers.
        self.answering_without_full_read_count = 0

    def run(self) -> int:
        for step in range(400):
            self.clock.time += self.rng.random() * 0.3
            self.apply_random_event(step, self.rng.choice(list(self.members)))
            self.deliver_answers()
            self.check_invariant(step)
        return self.answering_without_full_read_count

    def apply_random_event(self, step: int, name: str) -> None:
        """A random event at one member, or a status request to another one."""
        draw = self.rng.random()
        if draw < 0.06:
            self.reaches_service[name] = not self.reaches_service[name]
        elif draw < 0.08:
            self.reaches_service = dict.fromkeys(self.members, False)
        elif draw < 0.2 and self.reaches_service[name] and self.members[name].replica.fully_read:
            self.store_cancellation(f"wk-{step}", self.members[name])
        elif draw < 0.35 and self.reaches_service[name]:
            self.read(self.members[name])
        elif draw < 0.37:
            self.restart(name, 100 + step)
        else:
            self.send_status_request(name)

    def store_cancellation(self, job: str, member: ControllerProcess) -> None:
        """Stores a cancellation; if the answer is lost, a later read by any member confirms it to the user."""
        self.service.epoch += 1
        self.service.rows.append(Cancellation(job, self.service.epoch))
        if self.rng.random() < 0.7:
            member.tables.apply(keys.job_key(job), {"s": JobState.CANCELLED, "n": 1, "t": 5}, self.service.epoch)
            self.confirmed[job] = self.clock.time

    def read(self, member: ControllerProcess) -> None:
        member.read(self.service)
        for row in self.service.rows:
            self.confirmed.setdefault(row.job, self.clock.time)

    def restart(self, name: str, log_id: int) -> None:
        """Ends a process and starts its successor at once, which joins only if it can read."""
        former = self.members[name]
        successor = self.members[name] = ControllerProcess(name, self.clock, log_id)
        self.polls_in_flight = [
            status_poll for status_poll in self.polls_in_flight if status_poll.requester is not former
        ]
        if self.rng.random() < 0.5 and self.reaches_service[name]:
            successor.read(self.service)
            successor.join()

    def send_status_request(self, name: str) -> None:
        member = self.members[name]
        peer_name = self.rng.choice([sibling for sibling in self.members if sibling != name])
        peer = member.mesh.peers[peer_name]
        request = StatusRequest(3, member.replica.applied_revision, peer.log_id, peer.log_position)
        answer = self.members[peer_name].mesh.status_for(request)
        self.polls_in_flight.append(StatusPoll(member, peer_name, self.clock.time, answer))

    def deliver_answers(self) -> None:
        """Delivers answers with a random delay, with at most one request at a time between two members."""
        while self.polls_in_flight and (self.rng.random() < 0.6 or self.has_duplicate_poll()):
            status_poll = self.polls_in_flight.pop(0)
            status_poll.requester.mesh.apply_status(
                status_poll.requester.mesh.peers[status_poll.member],
                status_poll.sent_at,
                StatusFrame.unpack(status_poll.answer.pack()[mesh_frames.HEADER.size :]),
            )

    def has_duplicate_poll(self) -> bool:
        """Whether an earlier request between the same two members is still in flight."""
        return any(status_poll[:2] == self.polls_in_flight[-1][:2] for status_poll in self.polls_in_flight[:-1])

    def check_invariant(self, step: int) -> None:
        for member in self.members.values():
            if not member.leadership.may_answer_workers:
                continue
            self.answering_without_full_read_count += member.replica.applied_revision < self.service.epoch
            for job, confirmed_at in self.confirmed.items():
                assert member.knows_of(job) or self.clock.time <= confirmed_at + self.lease_validity_s, (step, job)
