"""Membership: this controller's lease, the coordinator's key, and the numbered views.

Owns the standing: who this run of the controller is, and until when it may act and answer.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor
from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import Cancellation
from sloeswitch.core.records import MemberRow, View
from sloeswitch.core.tables import Tables
from sloeswitch.http import NoAnswerError
from sloeswitch.mesh import Mesh, PeerStatus
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import Replica, StaleReplicaError
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient, TransactionOutcome

log = logging.getLogger("membership")


@dataclass
class ShardRecovered:
    """All machines of this controller under the view are heard or accounted for."""

    view_number: int


class Leadership:
    """What this controller is entitled to. Written by the membership actor; others read it.

    `may_act`: inside the own lease and knowing of no newer view, both counted from when the question
    was *sent*. `may_answer`: besides, while every sibling confirms over the mesh that it knows of no
    newer view and has told us all cancellations that its users may know; that keeps workers alive through
    an outage of the state service. A sibling that becomes a new owner waits one controller lease longer
    than its confirmation could matter (see registry).
    """

    def __init__(self, settings: Settings, tables: Tables, replica: Replica, now: Callable[[], float]) -> None:
        self.settings = settings
        self.tables = tables
        self.replica = replica
        self.now = now
        self.incarnation = 0
        self.lease_renewed_at = float("-inf")
        self.mesh: Mesh | None = None
        self.lease_span_s = settings.controller_lease_s * (1 - settings.clock_drift)

    @property
    def incarnation_id(self) -> str:
        return keys.incarnation_id_of(self.settings.member, self.incarnation)

    @property
    def view(self) -> View:
        return self.tables.view

    @property
    def is_member(self) -> bool:
        return self.incarnation != 0 and self.view.incarnation_of(self.settings.member) == self.incarnation

    @property
    def is_leader(self) -> bool:
        # The fresh read bounds how long a newer view can have gone unseen; the renewal bounds the lease.
        return (
            self.is_member and self.now() < min(self.lease_renewed_at, self.replica.linearizable_at) + self.lease_span_s
        )

    @property
    def may_answer_workers(self) -> bool:
        if self.is_leader:
            return True
        if not self.is_member or self.mesh is None or not self.mesh.peers:
            return False
        peers = self.mesh.peers.values()
        return all(
            peer.cancellations_complete
            and peer.view_number <= self.view.number
            and self.now() < peer.asked_at + self.lease_span_s
            for peer in peers
        )

    @property
    def is_leaderless(self) -> bool:
        """Whether, as far as can be known here, no controller may answer machines: the state service does not answer,
        some sibling confirms nothing, and none tells that it reaches the state service or knows of a newer view."""
        if self.may_answer_workers or not self.replica.fully_read or self.replica.client.is_reachable:
            return False
        now = self.now()
        peers = self.mesh.peers.values() if self.mesh is not None else ()
        return not any(
            peer.view_number > self.view.number or (peer.state_reachable and now < peer.asked_at + self.lease_span_s)
            for peer in peers
        )

    def peer_status(self) -> PeerStatus:
        """What siblings are told."""
        replica = self.replica
        return PeerStatus(
            self.view.number,
            replica.client.is_reachable,
            replica.applied_revision,
            replica.fully_read,
            self.tables.layout_complete,
        )

    def apply_peer_cancellations(self, cancellations: list[Cancellation]) -> None:
        """What a sibling told."""
        for cancellation in cancellations:
            self.tables.apply_peer_cancellation(cancellation)
        log.info("told of %d cancellations by a sibling", len(cancellations))
        self.replica.notify_peer_update()

    @property
    def is_coordinator(self) -> bool:
        return self.is_leader and self.tables.coordinator == (self.settings.member, self.incarnation)

    def owner_of(self, machine: str) -> str | None:
        return self.view.owner(machine)

    def view_conditions(self) -> dict[str, int]:
        """What a write that relies on the view is conditional on."""
        return {keys.VIEW_KEY: self.tables.mod_revision(keys.VIEW_KEY)}


class Membership(Actor):
    name = "membership"

    def __init__(self, settings: Settings, client: StateClient, replica: Replica, leadership: Leadership) -> None:
        super().__init__(settings.fd_limit)
        self.settings = settings
        self.client = client
        self.replica = replica
        self.leadership = leadership
        self.recovered_view = 0

    async def handle(self, message: Any) -> None:
        if isinstance(message, ShardRecovered) and message.view_number != self.recovered_view:
            self.recovered_view = message.view_number
            await self._write_member()

    async def keep_lease(self) -> None:
        """Renews the lease and reads the view afresh, four times in a lease's span."""
        while True:
            while not self.replica.loaded:
                await self.replica.wait_change(self.settings.controller_lease_s / 4)
            started = self.client.now()
            try:
                await self._renew()
                await self.replica.read_linearizable(self.client.timeout_s)
                if self.leadership.incarnation and not self._row_is_current(self.leadership.incarnation):
                    await self._write_member()
                if self.leadership.is_leader and not self.replica.tables.layout_complete:
                    await self._record_layout()
            except (NoAnswerError, StaleReplicaError):
                pass
            pause = self.settings.controller_lease_s / 4 - (self.client.now() - started)
            await anyio.sleep(max(pause, self.settings.controller_lease_s / 16))

    async def _renew(self) -> None:
        leadership = self.leadership
        if leadership.incarnation:
            sent = self.client.now()
            reply = await self.client.call(
                "POST", f"/grants/{leadership.incarnation}/renew", b"{}", RequestPriority.LEASE
            )
            if reply.status == 200:
                leadership.lease_renewed_at = sent
                return
            if reply.status != 404:
                return
            # Others may already have acted on our absence: whatever was ours is so no more.
            log.info("lease %d is over: joining anew", leadership.incarnation)
            leadership.incarnation = 0
        sent = self.client.now()
        body = wire.encode({"lifeMs": int(self.settings.controller_lease_s * 1000)})
        reply = await self.client.call("POST", "/grants", body, RequestPriority.LEASE)
        if reply.status != 200:
            return
        try:
            boot = wire.decode(reply.body, wire.LeaseGrant).lease_id
        except wire.MalformedError as error:
            log.error("grant is malformed: %s", error)
            return
        self.recovered_view = 0
        if await self._write_member(boot):
            leadership.incarnation = boot
            leadership.lease_renewed_at = sent
            log.info("joined as %s", leadership.incarnation_id)

    def _row_is_current(self, boot: int) -> bool:
        return self.replica.tables.members.get(self.settings.member) == MemberRow(
            boot, self.recovered_view, keys.LAYOUT_VERSION
        )

    async def _write_member(self, boot: int | None = None) -> bool:
        """Stores this run's row, on condition of what is there. Guards against a former run of this member,
        killed a moment ago, whose own write is carried out only now: it must not take the row from us, nor
        may it vanish with that run's lease. Should it have come first, ours follows."""
        boot = boot or self.leadership.incarnation
        if not boot:
            return False
        key = keys.member_key(self.settings.member)
        for _ in range(3):
            if self._row_is_current(boot):
                return True
            value = {"boot": boot, "settled": self.recovered_view, "layout": keys.LAYOUT_VERSION}
            conditions = {key: self.replica.tables.mod_revision(key)}
            outcome, _epoch = await self.client.compare_and_swap(
                conditions, {key: value}, [], RequestPriority.LEASE, {key: boot}
            )
            if outcome in (TransactionOutcome.COMMITTED, TransactionOutcome.NO_LEASE):
                self.replica.request_read()
                return outcome is TransactionOutcome.COMMITTED
            with contextlib.suppress(StaleReplicaError):
                await self.replica.read_linearizable(self.client.timeout_s)
        return False

    async def _record_layout(self) -> None:
        """Notes that this controller has run with this layout. Once every configured one has, and none of an
        earlier layout is left, the mark is complete for good. Guards against a controller that is down: it has
        not been seen, so it may come back old, and would ignore what a job awaits."""
        tables = self.replica.tables
        seen = {*tables.layout_members, self.settings.member}
        complete = seen >= set(self.settings.members) and all(
            row.layout >= keys.LAYOUT_VERSION for row in tables.members.values()
        )
        if seen == set(tables.layout_members) and not complete:
            return
        conditions = {keys.LAYOUT_KEY: tables.mod_revision(keys.LAYOUT_KEY), **self.leadership.view_conditions()}
        value = {"seen": sorted(seen), "complete": complete}
        outcome, _epoch = await self.client.compare_and_swap(
            conditions, {keys.LAYOUT_KEY: value}, [], RequestPriority.LEASE
        )
        self.replica.request_read()
        if outcome is TransactionOutcome.COMMITTED:
            log.info(
                "layout %d: run by %s%s",
                keys.LAYOUT_VERSION,
                ", ".join(sorted(seen)),
                "; all are upgraded" if complete else "",
            )

    async def coordinate(self) -> None:
        """Takes the coordinator's key when it is free, and writes a new view when members come or go."""
        while True:
            await self.replica.wait_change(self.settings.controller_lease_s / 4)
            if not self.leadership.incarnation or not self.replica.loaded:
                continue
            try:
                await self._coordinate()
            except Exception:
                log.exception("while coordinating")

    async def _coordinate(self) -> None:
        tables, boot, me = self.replica.tables, self.leadership.incarnation, self.settings.member
        known = tables.coordinator
        if tables.members.get(me) is None or tables.members[me].incarnation != boot:
            return
        # A coordinator's key of an earlier run of this very member is free as well: that process is gone.
        if known is None or (known[0] == me and known[1] != boot):
            conditions = {keys.COORDINATOR_KEY: tables.mod_revision(keys.COORDINATOR_KEY)}
            value = {"member": me, "boot": boot}
            outcome, _ = await self.client.compare_and_swap(
                conditions, {keys.COORDINATOR_KEY: value}, [], RequestPriority.LEASE, {keys.COORDINATOR_KEY: boot}
            )
            await self._refresh_replica()
            if outcome is TransactionOutcome.COMMITTED:
                log.info("coordinating")
            return
        if known != (me, boot):
            return
        members = tuple(sorted((name, row.incarnation) for name, row in tables.members.items()))
        if members == tables.view.members:
            return
        conditions = {
            keys.COORDINATOR_KEY: tables.mod_revision(keys.COORDINATOR_KEY),
            keys.VIEW_KEY: tables.mod_revision(keys.VIEW_KEY),
        }
        number = tables.view.number + 1
        value = {"n": number, "members": [list(pair) for pair in members]}
        outcome, _ = await self.client.compare_and_swap(conditions, {keys.VIEW_KEY: value}, [], RequestPriority.LEASE)
        if outcome is TransactionOutcome.COMMITTED:
            log.info("view %d: %s", number, ", ".join(keys.incarnation_id_of(*pair) for pair in members))
        await self._refresh_replica()

    async def _refresh_replica(self) -> None:
        with contextlib.suppress(StaleReplicaError):
            await self.replica.read_linearizable(self.client.timeout_s)
