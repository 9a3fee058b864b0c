"""A simulated cluster in which several teams are at their quota limits while their machines change owners.

Three controllers compete for the quota of every team; at times a team submits nothing. Controllers freeze, or restart
alone or all at once and are back within seconds. Transactions take time, so heartbeats arrive and views change between
the planning of a transaction and its commit: it may commit next to changes that its plan did not know.

Invariants that are checked after each step, in addition to those of every simulated cluster:
- the tasks of a team that exist on machines are within its limit, whether or not a controller knows them;
- the tasks that a controller accounts for are within its stored allocation, once its adoptions are stored;
- the sum of a team's stored allocations is within its limit.

    python3 -m tests.support.quota_world 1 201          # seeds 1 to 200
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.core.quota import ROUNDING_TOLERANCE
from sloeswitch.core.uncommitted_updates import TaskUpdates
from tests.conftest import SETTINGS, spec
from tests.support.cluster import Args, Result, World, run_steps
from tests.support.cluster_node import Node
from tests.support.cluster_state import ClusterStateClient
from tests.support.cluster_worker import Worker
from tests.support.seeds import run_seeds

MEMBERS = ("c0", "c1", "c2")
TEAMS = ("red", "blue", "green")
MACHINES = 10
MAX_JOBS = 60
STEPS = 1200
# Probability that a fault begins in a step, and the kinds of faults, weighted by repetition.
FAULT_PROBABILITY = 0.015
# Probability that a team that submits jobs stops when its demand changes.
STOP_PROBABILITY = 0.4
FAULTS = ("frozen",) * 4 + ("ended",) * 3 + ("all ended", "outage", "refused", "refused")
# Mean latency of a message to or from the state service, in seconds.
LATENCY_S = 0.2
# Mean time that a transaction waits for the write rate limit before it is planned, in seconds.
RATE_WAIT_S = 1.5
# Probability that a running task completes in a step, and the share of the base class's machine faults that is kept.
TASK_END_PROBABILITY = 0.02
MACHINE_FAULT_SHARE = 0.3


def _team_settings(name: str) -> str:
    return f'[[deployment.teams]]\nname = "{name}"\ncpus = 8.0\ncpus_max = 20.0\ngpus = 0.0\ngpus_max = 0.0\n'


SETTINGS_TEXT = SETTINGS.replace(
    "[deployment.workers]", _team_settings("blue") + _team_settings("green") + "[deployment.workers]"
)


class LaggingStateClient(ClusterStateClient):
    """A state client whose transactions and answers take a random time in transit."""

    node: QuotaNode

    async def acquire_changes(self, changes: int, priority: Any) -> None:
        """Waits a random time, as for the write rate limit."""
        await self.node.pause(RATE_WAIT_S)

    async def wait_in_transit(self) -> None:
        """Waits while a request or its answer is in transit."""
        await self.node.pause(LATENCY_S)


class QuotaNode(Node):
    """A controller that may freeze or be down, and whose transactions take time."""

    world: QuotaWorld
    client_class = LaggingStateClient

    def __init__(self, world: QuotaWorld, name: str, down_until: float = 0.0) -> None:
        super().__init__(world, name)
        self.down_until = down_until
        self.frozen_until = float("-inf")
        # Heartbeats that arrived while it was frozen.
        self.held_heartbeats: list[HeartbeatRequest] = []
        self.background: set[asyncio.Task[None]] = set()
        self.committing: asyncio.Task[None] | None = None
        # Claim requests that wait for the next transaction.
        self.requests: list[ClaimRequest] = []
        self.storing_member: asyncio.Task[None] | None = None

    @property
    def is_down(self) -> bool:
        return self.world.clock.time < self.down_until

    @property
    def is_responsive(self) -> bool:
        return not self.is_down and self.world.clock.time >= self.frozen_until

    async def pause(self, mean_s: float) -> None:
        """Waits a random time if called in a background task of this controller; while frozen it keeps waiting."""
        if asyncio.current_task() in self.background:
            await self.world.wait_for_message(self, mean_s)

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a background task that runs across the steps of the simulation."""
        task = self.world.loop.create_task(work)
        self.background.add(task)
        return task

    def end(self) -> None:
        """Ends the process: cancels its background tasks."""
        for task in self.background:
            task.cancel()

    def handle_held_heartbeats(self) -> None:
        """Handles the heartbeats that arrived while it was frozen; their workers have already timed out."""
        for message in self.held_heartbeats:
            self.world.run(self.machines.handle, message)
        self.held_heartbeats.clear()

    def renew(self) -> None:
        if self.is_responsive:
            super().renew()

    def store_member(self) -> None:
        if self.storing_member is None or self.storing_member.done():
            self.storing_member = self.start(self._store_member())

    async def _store_member(self) -> None:
        await self.membership._write_member()

    def tick(self) -> None:
        """Runs a tick of the machines actor; the jobs actor begins a transaction unless one is in flight."""
        if not self.is_responsive:
            return
        self.handle_held_heartbeats()
        for message in self.inbox:
            self.world.run(self.machines.handle, message)
        self.inbox.clear()
        requests = self._tick_machines()
        for call, args in self.group.pending:
            self.start(call(*args))
        self.group.pending.clear()
        self.deliver_messages()
        self.requests += requests
        if self.committing is None or self.committing.done():
            requests, self.requests = self.requests, []
            self.committing = self.start(self._commit_requests(requests))

    def deliver_messages(self) -> None:
        """Lets the jobs actor handle its messages now and the membership actor handle its own in the background."""
        while self.jobs._inbox:
            updates = self.jobs._inbox.popleft()
            assert isinstance(updates, TaskUpdates)
            self.world.run(self.jobs.handle, updates)
        while self.membership._inbox:
            self.start(self.membership.handle(self.membership._inbox.popleft()))

    async def _commit_requests(self, requests: list[ClaimRequest]) -> None:
        for request in requests:
            await self.jobs.handle(request)
        await self.jobs._commit_round()
        for request in requests:
            self.machines.task_updates.withdraw_releases(request.granted)
            self.machines.claims.claim_in_flight = False


class QuotaWorker(Worker):
    """A worker that keeps results: a task that is started again after it completed is reported as done at once."""

    def execute(self, command: Any) -> None:
        if command.verb == "start" and command.task in self.world.completed_tasks:
            self.tasks.setdefault((command.task, command.attempt), ("ended", "done"))
            return
        super().execute(command)


class QuotaWorld(World):
    """A simulated cluster with transactions that take time, and with checks of the quotas."""

    def __init__(self, seed: int) -> None:
        self.loop = asyncio.new_event_loop()
        # Messages in transit: arrival time, controller, and the future that is resolved on arrival.
        self.messages: list[tuple[float, QuotaNode, asyncio.Future[None]]] = []
        super().__init__(seed, extra_faults=True, members=MEMBERS, machines=MACHINES, text=SETTINGS_TEXT)
        self.nodes: dict[str, QuotaNode]  # type: ignore[assignment]
        self.task_end_probability = TASK_END_PROBABILITY
        # Teams that currently submit jobs.
        self.submitting_teams = set(TEAMS)
        self.limits = {name: team.cpus_max for name, team in self.nodes["c0"].settings.teams.items()}

    # -- the event loop

    def run(self, call: Callable[[*Args], Awaitable[Result]], *args: *Args) -> Result:
        async def run_to_completion() -> Result:
            return await call(*args)

        return self.loop.run_until_complete(run_to_completion())

    async def wait_for_message(self, node: QuotaNode, mean_s: float) -> None:
        """Waits until a message of a controller arrives, after an exponentially distributed time."""
        arrived = self.loop.create_future()
        self.messages.append((self.clock.time + self.rng.expovariate(1 / mean_s), node, arrived))
        await arrived

    def deliver_due_messages(self) -> None:
        """Delivers the messages that are due, except those of frozen controllers, and collects finished tasks."""
        due = [
            item for item in self.messages if item[0] <= self.clock.time and (item[1].is_responsive or item[2].done())
        ]
        for item in due:
            self.messages.remove(item)
            if not item[2].done():
                item[2].set_result(None)
        self.run(asyncio.sleep, 0)
        for node in self.nodes.values():
            ended = [task for task in node.background if task.done()]
            node.background.difference_update(ended)
            for task in ended:
                if not task.cancelled():
                    task.result()

    def close(self) -> None:
        """Cancels all background tasks and closes the event loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep, 0)
        self.loop.close()

    # -- controllers and workers

    def new_node(self, name: str) -> QuotaNode:
        return QuotaNode(self, name)

    def new_worker(self, name: str) -> Worker:
        return QuotaWorker(self, name)

    def restart(self, name: str) -> None:
        """Restarts a controller; it is down for up to 6 s."""
        self.nodes[name].end()
        self.nodes[name] = QuotaNode(self, name, self.clock.time + 6 * self.rng.random())

    def deliver(self, member: str, message: HeartbeatRequest) -> bool:
        node = self.nodes[member]
        if node.is_down:
            return False
        if not node.is_responsive:
            node.held_heartbeats.append(message)
            return False
        node.handle_held_heartbeats()
        return super().deliver(member, message)

    # -- steps

    def perform_event(self, draw: float, node: Node) -> None:
        rng = self.rng
        if draw < FAULT_PROBABILITY:
            self.begin_fault(rng.choice(FAULTS), self.nodes[node.settings.member])
        elif draw < 0.025:
            self.change_demand(rng.choice(TEAMS))
        elif draw < 0.03 and self.accepted_jobs:
            self.cancel(rng.choice(list(self.accepted_jobs)), node)
        elif (
            draw < 0.18
            and self.submitting_teams
            and len(self.accepted_jobs) < MAX_JOBS + len(self.done_jobs) + len(self.cancelled_at)
        ):
            self.last_job_number += 1
            team = rng.choice(sorted(self.submitting_teams))
            cores = float(rng.randint(1, 2))
            self.submit(node, spec(f"wk-{self.last_job_number:06d}", crew=team, visits=rng.randint(1, 12), cores=cores))
        elif draw < 0.3:
            self.request_peer_status(node)

    def change_demand(self, team: str) -> None:
        """Lets a team that submits no jobs resume; one that does may stop."""
        if team not in self.submitting_teams:
            self.submitting_teams.add(team)
        elif self.rng.random() < STOP_PROBABILITY:
            self.submitting_teams.remove(team)

    def begin_fault(self, kind: str, node: QuotaNode) -> None:
        """Begins a fault, which ends by itself."""
        self.event_counts[kind] += 1
        until = self.clock.time + 10 * self.rng.random()
        if kind == "frozen":
            node.frozen_until = until + 2
        elif kind == "ended":
            self.restart(node.settings.member)
        elif kind == "all ended":
            for name in self.members:
                self.restart(name)
        elif kind == "outage":
            self.outage = True
            self.delayed_calls.append((until, self.end_outage))
        elif kind == "refused":
            node.refused = True
            self.delayed_calls.append((until, lambda: setattr(node, "refused", False)))

    def begin_machine_fault(self, node: Node) -> None:
        if self.rng.random() < MACHINE_FAULT_SHARE:
            super().begin_machine_fault(node)

    def end_outage(self) -> None:
        self.outage = False

    def submit(self, node: Node, job: Any) -> bool:
        return self.nodes[node.settings.member].is_responsive and super().submit(node, job)

    def cancel(self, job: str, node: Node) -> None:
        if self.nodes[node.settings.member].is_responsive:
            super().cancel(job, node)

    def request_peer_status(self, node: Node) -> None:
        if all(each.is_responsive for each in self.nodes.values()):
            super().request_peer_status(node)

    def step(self, fault_free: bool = False) -> None:
        self.deliver_due_messages()
        super().step(fault_free)

    def end_faults(self) -> None:
        super().end_faults()
        for node in self.nodes.values():
            node.down_until = node.frozen_until = self.clock.time

    # -- invariants

    def check(self) -> None:
        super().check()
        present = [task for task, _ in self.present_tasks(leased=True)]
        for team, limit in self.limits.items():
            assert self.used(team, present) <= limit + ROUNDING_TOLERANCE, f"quota: {team}"
            stored = sum(amount.cores for amount in self.store.tables.quota_allocations.get(team, {}).values())
            assert stored <= limit + ROUNDING_TOLERANCE, f"allocations above the limit: {team} {stored}"
        for node in self.nodes.values():
            if node.is_responsive:
                self.check_covered(node)

    def check_covered(self, node: QuotaNode) -> None:
        """Checks a controller's accounted cores against its allocation, once its adoptions are stored.

        The allocation and the adoptions are those of the controller's own tables.
        """
        incarnation_id, tables, registry = node.leadership.incarnation_id, node.tables, node.machines.registry
        ownership = node.machines.ownership
        is_current = ownership.incarnation == node.leadership.incarnation and node.leadership.is_member
        if not is_current or ownership.followed_view != tables.view.number:
            return
        if not registry.adoptions_stored(tables, incarnation_id):
            return
        for team in self.limits:
            cores = self.accounted_cores(node, team)
            allocated = tables.quota_allocation(team, incarnation_id).cores
            assert cores <= allocated + ROUNDING_TOLERANCE, f"not covered: {team} {cores} of {allocated}"

    def accounted_cores(self, node: QuotaNode, team: str) -> float:
        """Returns the cores of the tasks that a controller accounts for.

        These are the tasks on its machines and, until recovery is complete, its claimed tasks that were handed off
        with machines that another controller now owns.
        """
        registry, tables = node.machines.registry, node.tables
        placed = [attempt.spec for machine in registry.machines.values() for attempt in machine.attempts.values()]
        cores = sum(each.cores for each in placed if each.team == team)
        if tables.recovery_complete():
            return cores
        for name, tasks in registry.handed_off_tasks.items():
            job = tables.jobs.get(name)
            if job is not None and job.spec.team == team:
                claimed = job.progress.claims.get(node.leadership.incarnation_id, 0)
                cores += job.spec.cores * (tasks & claimed).bit_count()
        return cores


def simulate(seed: int, steps: int = STEPS, fault_free_steps: int = 0) -> QuotaWorld:
    """Runs the simulation of a seed; see `run_steps`."""
    world = QuotaWorld(seed)
    try:
        run_steps(world, steps, fault_free_steps)
    finally:
        world.close()
    return world


if __name__ == "__main__":
    sys.exit(run_seeds(simulate, int(sys.argv[1]), int(sys.argv[2])))
