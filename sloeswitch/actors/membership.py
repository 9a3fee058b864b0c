"""Membership: this controller's lease, the coordinator's key, and the numbered views.

Owns the standing: who this run of the controller is, and until when it may act and answer.
"""

from __future__ import annotations

import contextlib
import logging
from dataclasses import dataclass
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor
from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.records import MemberRow
from sloeswitch.core.transaction import Transaction
from sloeswitch.http_client import HttpTransportError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("membership")


@dataclass
class ShardRecovered:
    """All machines of this controller under the view are heard or accounted for."""

    view_number: int


class Membership(Actor):
    name = "membership"

    def __init__(self, context: ControllerContext) -> None:
        super().__init__(context.settings.fd_limit)
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.leadership = context.leadership
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
            except (HttpTransportError, StaleReplicaError):
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
                Transaction(conditions, {key: value}), RequestPriority.LEASE, leases={key: boot}
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
            Transaction(conditions, {keys.LAYOUT_KEY: value}), RequestPriority.LEASE
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
                Transaction(conditions, {keys.COORDINATOR_KEY: value}),
                RequestPriority.LEASE,
                leases={keys.COORDINATOR_KEY: boot},
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
        outcome, _ = await self.client.compare_and_swap(
            Transaction(conditions, {keys.VIEW_KEY: value}), RequestPriority.LEASE
        )
        if outcome is TransactionOutcome.COMMITTED:
            log.info("view %d: %s", number, ", ".join(keys.incarnation_id_of(*pair) for pair in members))
        await self._refresh_replica()

    async def _refresh_replica(self) -> None:
        with contextlib.suppress(StaleReplicaError):
            await self.replica.read_linearizable(self.client.timeout_s)
