"""One controller of the simulated cluster: the real actors with fake external services, advanced step by step."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machine_messages import MachinesMessage
from sloeswitch.actors.machines import Machines
from sloeswitch.actors.membership import Membership, ShardRecovered
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.tables import Tables
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.mesh import Mesh, MeshCallbacks
from sloeswitch.settings import parse
from tests.support.cluster_cloud import ScriptedCloud, ScriptedTaskGroup
from tests.support.cluster_state import ClusterReplica, ClusterStateClient
from tests.support.settings_text import settings_text

if TYPE_CHECKING:
    from tests.support.cluster import World


class Node:
    """One process of a controller."""

    client_class = ClusterStateClient

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.settings = parse(settings_text(name, world.members, world.text))
        clock = world.clock
        # Whether the state service rejects the requests of this controller.
        self.refused = False
        # Number of changes of the world's log that were applied.
        self.log_position = 0
        self.tables = Tables(CancellationLog(50, world.rng.getrandbits(40) + 1))
        self.client = self.client_class(self.settings, lambda: len(world.members), clock.now)
        self.client.node = self
        self.replica = ClusterReplica(self.client, self.tables, clock.now)
        self.replica.node = self
        self.leadership = Leadership(self.settings, self.tables, self.replica, clock.now)
        self.mesh = Mesh(
            self.settings.siblings,
            1.0,
            clock.now,
            MeshCallbacks(self.leadership.peer_status, self.leadership.apply_peer_cancellations),
            self.tables.cancellations,
        )
        self.leadership.mesh = self.mesh
        self.context = ControllerContext(self.settings, self.client, self.replica, self.leadership, clock)
        self.membership = Membership(self.context)
        self.jobs = Jobs(self.context)
        self.machines = Machines(self.context, self.jobs, self.membership)
        # These delays would wait in real time.
        self.machines.claims.tick_interval_s = self.machines.registration.write_pause_s = (
            self.jobs.commit_interval_s
        ) = 0.0
        self.inbox: list[MachinesMessage] = []
        if world.extra_faults:
            self.machines.termination.autoscaler = ScriptedCloud(self)
        self.group = ScriptedTaskGroup(self)
        self.machines.group = self.group  # type: ignore[assignment]
        self.asked: list[ClaimRequest] = []

        async def ask_for(request: ClaimRequest) -> None:
            raise AssertionError("claim requests are intercepted in the task group")

        self.machines.claims._await_claims = ask_for  # type: ignore[method-assign]

    @property
    def reaches_service(self) -> bool:
        return not self.refused and not self.world.outage

    def read(self) -> None:
        """Applies all changes since the last read, as a linearizable read that is sent and answered now."""
        if not self.reaches_service:
            return
        while self.log_position < len(self.world.log):
            key, value, revision = self.world.log[self.log_position]
            self.tables.apply(key, value, revision)
            self.log_position += 1
        self.replica.applied_revision = self.world.store.revision
        self.replica.loaded = self.replica.fully_read = True
        self.replica.linearizable_at = self.world.clock.time

    def renew(self) -> None:
        if not self.reaches_service:
            return
        name, now = self.settings.member, self.world.clock.time
        if not self.leadership.incarnation or (name, self.leadership.incarnation) not in self.world.leases:
            self.world.incarnations += 1
            self.leadership.incarnation = self.world.incarnations
            self.membership.recovered_view = 0
            self.world.store.member(name, self.leadership.incarnation)
        self.world.leases[name, self.leadership.incarnation] = now
        self.leadership.lease_renewed_at = now
        self.read()
        self.store_member()

    def store_member(self) -> None:
        """Stores the member row if the stored one differs."""
        self.world.run(self.membership._write_member)

    def tick(self) -> None:
        """Runs a tick of the machines actor and a commit of the jobs actor with the claims that the tick requested."""
        for message in self.inbox:
            self.world.run(self.machines.handle, message)
        self.inbox.clear()
        self.world.run(self._commit, self._tick_machines())
        self.machines.claims.claim_in_flight = False

    def _tick_machines(self) -> list[ClaimRequest]:
        """Runs one tick of the machines actor and returns the claims that it requests from the jobs actor."""
        group = self.group
        start_soon = group.start_soon
        requests: list[ClaimRequest] = []

        def take(call: Any, *args: Any) -> None:
            if call is self.machines.claims._await_claims:
                requests.append(args[0])
            else:
                start_soon(call, *args)

        group.start_soon = take  # type: ignore[method-assign]
        self.machines._tick()
        group.start_soon = start_soon  # type: ignore[method-assign]
        return requests

    async def _commit(self, requests: list[ClaimRequest]) -> None:
        """Runs the calls that the tick started, delivers the actors' messages, and commits."""
        for call, args in self.group.pending:
            await call(*args)
        self.group.pending.clear()
        await self._deliver_messages()
        for request in requests:
            await self.jobs.handle(request)
            await self.jobs._commit_round()
            for name, tasks in request.granted.items():
                if name in self.machines.task_updates.unstored_releases:
                    self.machines.task_updates.unstored_releases[name] &= ~tasks
        if not requests:
            await self.jobs._commit_round()

    async def _deliver_messages(self) -> None:
        """Lets the membership and jobs actors handle the messages in their inboxes."""
        while self.membership._inbox:
            message = self.membership._inbox.popleft()
            assert isinstance(message, ShardRecovered)
            await self.membership.handle(message)
        while self.jobs._inbox:
            updates = self.jobs._inbox.popleft()
            assert isinstance(updates, TaskUpdates)
            await self.jobs.handle(updates)
