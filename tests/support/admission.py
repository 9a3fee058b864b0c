"""A seeded simulation of four controllers with admission enabled, under overload.

Checks logs, stored rows, answers to users, and what machines ran: all controllers decide alike, no stored cut (a lane's
admission watermark) is lowered, no lane waits longer than its bound, and without failures no job waits for long while
there is free capacity for it.

    python3 -m tests.support.admission FIRST LAST    # long simulations of these seeds, outside CI
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import anyio

from sloeswitch.admission import compare
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.coordinator import AdmissionCoordinator
from sloeswitch.admission.cuts import ROOT_PATH, Lane, LaneCut, Ticket, row_path
from sloeswitch.admission.decision_log import DecisionLog, DecisionRecord, EpochRecord, encode
from sloeswitch.admission.decisions import Decision, decide, lane_of, ticket_of
from sloeswitch.admission.frames import pack_idle_capacity
from sloeswitch.admission.gate import AdmissionGate
from sloeswitch.admission.idle_capacity import IdleCapacityTracker
from sloeswitch.admission.limits import MAX_WAIT_WITH_CAPACITY_S, AdmissionLimits
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from sloeswitch.features import AdmissionFeatures
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.replica import StaleReplicaError
from sloeswitch.settings import parse
from tests.conftest import SETTINGS, spec
from tests.support.cluster import World
from tests.support.cluster_node import Node
from tests.support.cluster_worker import CORES
from tests.support.seeds import run_seeds
from tests.support.settings_text import settings_text

MEMBERS = ("c0", "c1", "c2", "c3")
MACHINES = 4
TEAMS = {"red": (8.0, 24.0), "blue": (4.0, 16.0), "green": (2.0, 12.0)}
TASK_CORES = 2.0
CLASSES = ("train", "index", "post")


def cluster_text(teams: dict[str, tuple[float, float]] | None = None) -> str:
    """Settings with these teams: by name, the guarantee and the limit in cores."""
    rows = "".join(
        f'[[deployment.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {most}\ngpus = 0.0\ngpus_max = 0.0\n'
        for name, (cpus, most) in (teams or TEAMS).items()
    )
    head, _, rest = SETTINGS.partition("[[deployment.teams]]")
    _, _, tail = rest.partition("[deployment.workers]")
    return head + rows + "[deployment.workers]" + tail


class RecordingLog(DecisionLog):
    """Appends what a controller logs to a list, as lines of its log."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines

    def log_changed_rows(self, before: Any, after: Any) -> None:
        for path, row in after.items():
            if before.get(path) != row:
                self._add(EpochRecord("r" + path, row.number, row.digest))

    def log_decision(self, job: str, decision: Decision) -> None:
        row = "" if decision.row is None else "r" + decision.row
        self._add(DecisionRecord(job, row, decision.number, decision.reason.value, decision.decided_by))

    def _add(self, record: Any) -> None:
        self.lines.append(f"I admission: {encode(record)}\n")


class ScriptedIdleLink:
    """The connection from one controller to another; it may be interrupted."""

    def __init__(self, world: AdmissionWorld, sender: str, receiver: str) -> None:
        self.world = world
        self.sender = sender
        self.receiver = receiver

    async def idle_capacity(self) -> list[IdleCapacity]:
        """Asks for idle capacity; there is no answer if a message is lost in either direction."""
        world = self.world
        lost = world.extra_faults and world.rng.random() < 0.1
        if (
            lost
            or (self.sender, self.receiver) in world.broken_links
            or (self.receiver, self.sender) in world.broken_links
        ):
            raise NoAnswerError("lost")
        node = world.nodes[self.receiver]
        assert isinstance(node, AdmissionNode)
        capacities = node.idle.report(world.clock.time)
        world.recorder.record("idle room", self.receiver, self.sender, pack_idle_capacity(capacities))
        return capacities


class AdmissionNode(Node):
    """A controller process with admission."""

    world: AdmissionWorld

    def __init__(self, world: AdmissionWorld, name: str) -> None:
        super().__init__(world, name)
        self.idle = IdleCapacityTracker()
        links = {other: ScriptedIdleLink(world, name, other) for other in world.members if other != name}
        self.admission = AdmissionCoordinator(
            self.context, AdmissionFeatures(world.deferring), lambda: self.idle.report(world.clock.time), links
        )
        lines = world.logs.setdefault(f"{name}.{len(world.logs)}", [])
        self.machines.queue.admission = AdmissionGate(
            self.tables, RecordingLog(lines), lambda: self.admission.switched_on
        )
        self.machines.claims.on_remaining_capacities = lambda capacities, at: self.idle.observe(
            capacities, self.tables.machine_types, at
        )
        self.next_epoch_at = 0.0

    def run_epoch_when_due(self) -> None:
        """Runs the coordinator's loops once, about once in an epoch."""
        if self.world.clock.time < self.next_epoch_at:
            return
        self.next_epoch_at = self.world.clock.time + 0.8 * self.admission.limits.epoch_s

        async def loops() -> None:
            await self.admission.rollout.record_member()
            for member in self.admission.links:
                try:
                    await self.admission.request_idle_capacity(member)
                except NoAnswerError:
                    continue
            try:
                await self.admission.run_epoch()
            except StaleReplicaError:
                return
            if self.admission.switched_on and self.leadership.is_coordinator and self.reaches_service:
                self.world.count_epoch()

        anyio.run(loops)


class AdmissionWorld(World):
    """The simulated cluster, with checks of admission in addition to those of the protocol."""

    nodes: dict[str, Any]

    def __init__(
        self,
        seed: int,
        extra_faults: bool = True,
        deferring: bool = True,
        text: str | None = None,
        machines: int = MACHINES,
    ) -> None:
        self.deferring = deferring
        self.logs: dict[str, list[str]] = {}
        self.broken_links: set[tuple[str, str]] = set()
        # The highest stored cut, by lane.
        self.highest: dict[Lane, Ticket] = {}
        # Since when each deferred head of a lane has been the head, in the time of `coordinated_s`.
        self.head_since: dict[str, float] = {}
        self.longest_as_head_s = 0.0
        self.coordinated_s = 0.0
        self.last_epoch_at = 0.0
        # Since when each machine has had free capacity, and since when each job could have started but has not.
        self.free_since: dict[str, float] = {}
        self.startable_since: dict[str, float] = {}
        self.limits = AdmissionLimits.from_settings(parse(settings_text("c0", MEMBERS, text or cluster_text())))
        super().__init__(seed, extra_faults, MEMBERS, machines, text or cluster_text())
        self.task_end_probability = 0.012
        self.store.put(keys.LAYOUT_KEY, {"seen": list(MEMBERS), "complete": True})

    def new_node(self, name: str) -> Node:
        return AdmissionNode(self, name)

    # -- the coordinator

    def coordinate(self) -> None:
        super().coordinate()
        if not self.outage and self.elect_coordinator():
            self.event_counts["coordinator"] += 1

    def count_epoch(self) -> None:
        """Counts an epoch of a coordinator that reaches the state service."""
        self.coordinated_s += min(self.limits.epoch_s, self.clock.time - self.last_epoch_at)
        self.last_epoch_at = self.clock.time
        self.event_counts["look"] += 1

    # -- steps

    def perform_event(self, draw: float, node: Node) -> None:
        """Injects failures of controllers, links and the state service, cancellations, and mesh status requests."""
        if not self.extra_faults:
            return
        if draw < 0.003 or (self.outage and draw < 0.03):
            self.outage = not self.outage
            self.event_counts["outage"] += 1
        elif draw < 0.01 or (node.refused and draw < 0.1):
            node.refused = not node.refused
        elif draw < 0.02:
            self.nodes[node.settings.member] = self.new_node(node.settings.member)
            self.event_counts["crash"] += 1
        elif draw < 0.022:
            for name in self.members:
                self.nodes[name] = self.new_node(name)
            self.event_counts["all crash"] += 1
        elif draw < 0.03:
            one, other = self.rng.sample(self.members, 2)
            self.broken_links ^= {(one, other)}
        elif draw < 0.045 and self.accepted_jobs:
            self.cancel(self.rng.choice(sorted(self.accepted_jobs)), node)
        elif draw < 0.3:
            self.request_peer_status(node)

    @property
    def past_common_cut(self) -> bool:
        """Whether the common cut is behind the clock, so that new jobs may be deferred."""
        root = self.store.tables.admission_rows.get(ROOT_PATH)
        return root is not None and root.common.ticket.submitted_ms < 1000 * self.clock.time

    def submit_at_random(self, most: int) -> None:
        """Submits a job of a random team and class from time to time; some have a prerequisite."""
        if (
            self.rng.random() > 0.35
            or len(self.accepted_jobs) >= most
            or (len(self.accepted_jobs) >= most / 2 and not self.past_common_cut)
        ):
            return
        self.last_job_number += 1
        team = self.rng.choices(list(TEAMS), weights=[6, 2, 1])[0]
        awaits = (
            [self.rng.choice(sorted(self.accepted_jobs))] if self.accepted_jobs and self.rng.random() < 0.1 else ...
        )
        job = spec(
            f"wk-{self.last_job_number:06d}",
            crew=team,
            roster=self.rng.choice(CLASSES),
            visits=self.rng.randint(1, 5),
            urgency=self.rng.choice(("urgent", "standard", "best_effort")),
            awaits=awaits,
            expectedS=12.0,
            pullGb=0.1,
        )
        node = self.nodes[self.rng.choice(self.members)]
        self.submit(node, job)

    def step(self, fault_free: bool = False) -> None:
        super().step(fault_free)
        for node in self.nodes.values():
            node.run_epoch_when_due()
        self.check_cuts()
        self.check_bound()
        if fault_free:
            self.check_idle_capacity()

    def end_faults(self) -> None:
        super().end_faults()
        self.extra_faults = False
        self.broken_links.clear()
        self.startable_since.clear()

    # -- checks

    def check_cuts(self) -> None:
        """Checks that no stored cut is lowered, and that no controller has a higher one than is stored."""
        rows = self.store.tables.admission_rows
        for lane in {lane_of(job.spec) for job in self.store.tables.jobs.values()} | self.highest.keys():
            path = row_path(rows, lane)
            stored = rows[path].cut_of(lane).ticket if path is not None else Ticket(0, "")
            assert stored >= self.highest.get(lane, stored), f"a cut was lowered: {lane}"
            self.highest[lane] = stored
            for node in self.nodes.values():
                held = row_path(node.tables.admission_rows, lane)
                cut: LaneCut | None = None if held is None else node.tables.admission_rows[held].cut_of(lane)
                assert cut is None or cut.ticket <= stored, f"{node.settings.member} exceeds the stored cut: {lane}"

    def check_bound(self) -> None:
        """Checks that each head of a lane is admitted within its bound, in time with a working coordinator."""
        tables = self.store.tables
        heads: dict[Lane, Any] = {}
        for name, decision in decide(tables).items():
            job = tables.jobs[name]
            if not decision.admitted and job.status == JobState.LIVE and not job.is_cancelled:
                lane = lane_of(job.spec)
                if lane not in heads or ticket_of(job) < ticket_of(heads[lane]):
                    heads[lane] = job
        names = {job.spec.id for job in heads.values()}
        self.head_since = {name: since for name, since in self.head_since.items() if name in names}
        for name in names:
            since = self.head_since.setdefault(name, self.coordinated_s)
            waited = self.coordinated_s - since
            self.longest_as_head_s = max(self.longest_as_head_s, waited)
            # Each lost or late write costs one epoch; several may follow one another.
            allowed = self.limits.head_bound_s(len(tables.admission_rows)) + 6 * self.limits.epoch_s
            assert waited <= allowed, f"a lane starves: {name}"

    def check_idle_capacity(self) -> None:
        """Checks that no job within its team's limit waits for long while a machine has free capacity for it.

        It has to be the same machine all the time: at most moments some machine has capacity, since tasks end.
        """
        now = self.clock.time
        tasks = [task for task, _ in self.present_tasks()]
        cores: Counter[str] = Counter()
        for task, machine in self.present_tasks():
            cores[machine] += int(self.specs[task.partition("/")[0]].cores)
        names = {worker.name for worker in self.workers if cores[worker.name] + TASK_CORES <= CORES}
        self.free_since = {name: self.free_since.get(name, now) for name in names}
        earliest_free = min(self.free_since.values(), default=now)
        waiting = {name for name in self.unfinished() if self._could_start(name, tasks)}
        self.startable_since = {name: self.startable_since.get(name, now) for name in waiting}
        for name, since in self.startable_since.items():
            assert now - max(since, earliest_free) < MAX_WAIT_WITH_CAPACITY_S, f"waits beside free capacity: {name}"

    def _could_start(self, name: str, tasks: list[str]) -> bool:
        """Whether the job has an unclaimed task that its team's limit allows."""
        job = self.store.tables.jobs.get(name)
        if job is None or not job.is_runnable or not self.store.tables.unclaimed_tasks(job, True):
            return False
        limit = self.nodes[self.members[0]].settings.teams[job.spec.team].cpus_max
        return bool(self.used(job.spec.team, tasks) + job.spec.cores <= limit)

    def check_logs(self) -> None:
        """Checks that all controllers logged the same decisions."""
        difference = compare.compare(list(self.logs.items()))
        assert difference is None, f"decisions differ: {difference.one} | {difference.other}"

    def deferred(self) -> int:
        """Returns how many jobs any controller logged as deferred."""
        lines = [line for lines in self.logs.values() for line in lines]
        return len({line.partition('"job":')[2].partition(",")[0] for line in lines if '"deferred"' in line})


def play(seed: int, steps: int, fault_free_steps: int = 0, jobs: int = 120) -> AdmissionWorld:
    """Simulates overload with failures, then a time without failures in which all jobs have to end."""
    world = AdmissionWorld(seed)
    world.start()
    for _ in range(steps):
        world.submit_at_random(jobs)
        world.step()
    world.end_faults()
    for _ in range(fault_free_steps):
        world.step(fault_free=True)
        if not world.unfinished():
            break
    world.check_logs()
    return world


def play_long(seed: int) -> None:
    """Simulates ten minutes of overload, and then a time without failures."""
    world = play(seed, 4000, 16_000, jobs=600)
    left = sorted(world.unfinished())
    assert not left, f"left: {len(left)} of {len(world.accepted_jobs)}, first {left[:3]}"


if __name__ == "__main__":
    # Long simulations of these seeds.
    sys.exit(run_seeds(play_long, int(sys.argv[1]), int(sys.argv[2])))
