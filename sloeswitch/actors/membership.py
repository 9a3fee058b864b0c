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
from sloeswitch.core import tables as t
from sloeswitch.core.cancellations import Cancellation
from sloeswitch.http import NoAnswerError
from sloeswitch.mesh import Mesh, PeerStatus
from sloeswitch.settings import Settings
from sloeswitch.state import Replica, RequestPriority, StaleReplicaError, StateClient, TransactionOutcome

log = logging.getLogger("membership")


@dataclass
class ShardRecovered:
    """All machines of this controller under the view are heard or accounted for."""

    view: int


class Leadership:
    """What this controller is entitled to. Written by the membership actor; others read it.

    `may_act`: inside the own lease and knowing of no newer view, both counted from when the question
    was *sent*. `may_answer`: besides, while every sibling confirms over the mesh that it knows of no
    newer view and has told us all cancellations that its users may know; that keeps workers alive through
    an outage of the state service. A sibling that becomes a new owner waits one controller lease longer
    than its confirmation could matter (see registry).
    """

    def __init__(self, settings: Settings, tables: t.Tables, replica: Replica, now: Callable[[], float]) -> None:
        self.settings = settings
        self.tables = tables
        self.replica = replica
        self.now = now
        self.boot = 0
        self.renewed_at = float("-inf")
        self.mesh: Mesh | None = None
        self.span_s = settings.controller_lease_s * (1 - settings.drift)

    @property
    def tag(self) -> str:
        return t.incarnation_id_of(self.settings.member, self.boot)

    @property
    def view(self) -> t.View:
        return self.tables.view

    @property
    def included(self) -> bool:
        return self.boot != 0 and self.view.boot_of(self.settings.member) == self.boot

    @property
    def may_act(self) -> bool:
        # The fresh read bounds how long a newer view can have gone unseen; the renewal bounds the lease.
        return self.included and self.now() < min(self.renewed_at, self.replica.fresh_at) + self.span_s

    @property
    def may_answer(self) -> bool:
        if self.may_act:
            return True
        if not self.included or self.mesh is None or not self.mesh.peers:
            return False
        peers = self.mesh.peers.values()
        return all(
            peer.whole and peer.view <= self.view.number and self.now() < peer.asked_at + self.span_s for peer in peers
        )

    @property
    def unattended(self) -> bool:
        """Whether, as far as can be known here, no controller may answer machines: the state service does not answer,
        some sibling confirms nothing, and none tells that it reaches the state service or knows of a newer view."""
        if self.may_answer or not self.replica.whole or self.replica.client.reachable:
            return False
        now = self.now()
        peers = self.mesh.peers.values() if self.mesh is not None else ()
        return not any(
            peer.view > self.view.number or (peer.state_ok and now < peer.asked_at + self.span_s) for peer in peers
        )

    def known(self) -> PeerStatus:
        """What siblings are told."""
        replica = self.replica
        return PeerStatus(
            self.view.number, replica.client.reachable, replica.applied, replica.whole, self.tables.upgraded
        )

    def learn(self, cancellations: list[Cancellation]) -> None:
        """What a sibling told."""
        for cancellation in cancellations:
            self.tables.apply_peer_cancellation(cancellation)
        log.info("told of %d cancellations by a sibling", len(cancellations))
        self.replica.told()

    @property
    def coordinating(self) -> bool:
        return self.may_act and self.tables.coordinator == (self.settings.member, self.boot)

    def owner(self, machine: str) -> str | None:
        return self.view.owner(machine)

    def claim_conditions(self) -> dict[str, int]:
        """What a write that relies on the view is conditional on."""
        return {t.VIEW_KEY: self.tables.stamp(t.VIEW_KEY)}


class Membership(Actor):
    name = "membership"

    def __init__(self, settings: Settings, client: StateClient, replica: Replica, leadership: Leadership) -> None:
        super().__init__(settings.fd_limit)
        self.settings = settings
        self.client = client
        self.replica = replica
        self.leadership = leadership
        self.settled = 0

    async def handle(self, message: Any) -> None:
        if isinstance(message, ShardRecovered) and message.view != self.settled:
            self.settled = message.view
            await self._write_member()

    async def keep_lease(self) -> None:
        """Renews the lease and reads the view afresh, four times in a lease's span."""
        while True:
            while not self.replica.loaded:
                await self.replica.wait_change(self.settings.controller_lease_s / 4)
            started = self.client.now()
            try:
                await self._renew()
                await self.replica.fresh(self.client.timeout_s)
                if self.leadership.boot and not self._row_stands(self.leadership.boot):
                    await self._write_member()
                if self.leadership.may_act and not self.replica.tables.upgraded:
                    await self._mark()
            except (NoAnswerError, StaleReplicaError):
                pass
            pause = self.settings.controller_lease_s / 4 - (self.client.now() - started)
            await anyio.sleep(max(pause, self.settings.controller_lease_s / 16))

    async def _renew(self) -> None:
        leadership = self.leadership
        if leadership.boot:
            sent = self.client.now()
            reply = await self.client.call("POST", f"/grants/{leadership.boot}/renew", b"{}", RequestPriority.LEASE)
            if reply.status == 200:
                leadership.renewed_at = sent
                return
            if reply.status != 404:
                return
            # Others may already have acted on our absence: whatever was ours is so no more.
            log.info("lease %d is over: joining anew", leadership.boot)
            leadership.boot = 0
        sent = self.client.now()
        body = wire.encode({"lifeMs": int(self.settings.controller_lease_s * 1000)})
        reply = await self.client.call("POST", "/grants", body, RequestPriority.LEASE)
        if reply.status != 200:
            return
        try:
            boot = wire.decode(reply.body, wire.LeaseGrant).permit
        except wire.MalformedError as error:
            log.error("grant is malformed: %s", error)
            return
        self.settled = 0
        if await self._write_member(boot):
            leadership.boot = boot
            leadership.renewed_at = sent
            log.info("joined as %s", leadership.tag)

    def _row_stands(self, boot: int) -> bool:
        return self.replica.tables.members.get(self.settings.member) == t.MemberRow(
            boot, self.settled, t.LAYOUT_VERSION
        )

    async def _write_member(self, boot: int | None = None) -> bool:
        """Stores this run's row, on condition of what is there. Guards against a former run of this member,
        killed a moment ago, whose own write is carried out only now: it must not take the row from us, nor
        may it vanish with that run's lease. Should it have come first, ours follows."""
        boot = boot or self.leadership.boot
        if not boot:
            return False
        key = t.member_key(self.settings.member)
        for _ in range(3):
            if self._row_stands(boot):
                return True
            value = {"boot": boot, "settled": self.settled, "layout": t.LAYOUT_VERSION}
            conditions = {key: self.replica.tables.stamp(key)}
            outcome, _epoch = await self.client.commit(conditions, {key: value}, [], RequestPriority.LEASE, {key: boot})
            if outcome in (TransactionOutcome.DONE, TransactionOutcome.NO_LEASE):
                self.replica.hint()
                return outcome is TransactionOutcome.DONE
            with contextlib.suppress(StaleReplicaError):
                await self.replica.fresh(self.client.timeout_s)
        return False

    async def _mark(self) -> None:
        """Notes that this controller has run with this layout. Once every configured one has, and none of an
        earlier layout is left, the mark is complete for good. Guards against a controller that is down: it has
        not been seen, so it may come back old, and would ignore what a job awaits."""
        tables = self.replica.tables
        seen = {*tables.seen, self.settings.member}
        complete = seen >= set(self.settings.members) and all(
            row.layout >= t.LAYOUT_VERSION for row in tables.members.values()
        )
        if seen == set(tables.seen) and not complete:
            return
        conditions = {t.LAYOUT_KEY: tables.stamp(t.LAYOUT_KEY), **self.leadership.claim_conditions()}
        value = {"seen": sorted(seen), "complete": complete}
        outcome, _epoch = await self.client.commit(conditions, {t.LAYOUT_KEY: value}, [], RequestPriority.LEASE)
        self.replica.hint()
        if outcome is TransactionOutcome.DONE:
            log.info(
                "layout %d: run by %s%s",
                t.LAYOUT_VERSION,
                ", ".join(sorted(seen)),
                "; all are upgraded" if complete else "",
            )

    async def coordinate(self) -> None:
        """Takes the coordinator's key when it is free, and writes a new view when members come or go."""
        while True:
            await self.replica.wait_change(self.settings.controller_lease_s / 4)
            if not self.leadership.boot or not self.replica.loaded:
                continue
            try:
                await self._coordinate()
            except Exception:
                log.exception("while coordinating")

    async def _coordinate(self) -> None:
        tables, boot, me = self.replica.tables, self.leadership.boot, self.settings.member
        known = tables.coordinator
        if tables.members.get(me) is None or tables.members[me].boot != boot:
            return
        # A coordinator's key of an earlier run of this very member is free as well: that process is gone.
        if known is None or (known[0] == me and known[1] != boot):
            conditions = {t.COORDINATOR_KEY: tables.stamp(t.COORDINATOR_KEY)}
            value = {"member": me, "boot": boot}
            outcome, _ = await self.client.commit(
                conditions, {t.COORDINATOR_KEY: value}, [], RequestPriority.LEASE, {t.COORDINATOR_KEY: boot}
            )
            await self._catch_up()
            if outcome is TransactionOutcome.DONE:
                log.info("coordinating")
            return
        if known != (me, boot):
            return
        members = tuple(sorted((name, row.boot) for name, row in tables.members.items()))
        if members == tables.view.members:
            return
        conditions = {t.COORDINATOR_KEY: tables.stamp(t.COORDINATOR_KEY), t.VIEW_KEY: tables.stamp(t.VIEW_KEY)}
        number = tables.view.number + 1
        value = {"n": number, "members": [list(pair) for pair in members]}
        outcome, _ = await self.client.commit(conditions, {t.VIEW_KEY: value}, [], RequestPriority.LEASE)
        if outcome is TransactionOutcome.DONE:
            log.info("view %d: %s", number, ", ".join(t.incarnation_id_of(*pair) for pair in members))
        await self._catch_up()

    async def _catch_up(self) -> None:
        with contextlib.suppress(StaleReplicaError):
            await self.replica.fresh(self.client.timeout_s)
