"""Membership: this controller's lease, the election of the coordinator, and the numbered views.

Every controller holds a lease at the state service; its member row is bound to that lease and vanishes with it. The
coordinator is elected by a key that is bound to its lease too: whoever writes the key while it is free is elected, and
is so until the key vanishes with its lease (leader election by a leased key). The coordinator watches the member
rows and writes a new view, the numbered list of members that own machines, whenever members come or go.

The membership actor alone writes `Leadership`, by which all others know what this run may do.
"""

from __future__ import annotations

import contextlib
import logging
from dataclasses import dataclass

import anyio

from sloeswitch import wire
from sloeswitch.actors.base import Actor
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.feature_rollout import RolloutRow, record_in_rollout
from sloeswitch.core import keys
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.records import FeatureStatus, MemberRow
from sloeswitch.core.transaction import Transaction
from sloeswitch.http_client import HttpTransportError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("membership")

# The lease is renewed so many times within its span.
RENEWALS_PER_LEASE = 4
# Two renewals are at least this part of a lease's span apart, however long the one before took.
MIN_RENEWAL_PAUSE_LEASES = 1 / 16
# How often the member row is tried when another write got there first.
MEMBER_ROW_ATTEMPTS = 3


@dataclass
class ShardRecovered:
    """Recovery after a view change is over: every machine that the view gives this controller is accounted for."""

    view_number: int


class Membership(Actor[ShardRecovered]):
    """Keeps this run's lease and member row, and writes views while this run is the elected coordinator."""

    name = "membership"

    def __init__(self, context: ControllerContext) -> None:
        super().__init__(context.settings.fd_limit)
        self.context = context
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.leadership = context.leadership
        # The last view under which this run has recovered its shard; stored in the member row.
        self.recovered_view = 0

    async def handle(self, message: ShardRecovered) -> None:
        """Stores the view under which this shard has recovered, so that others need not wait for it any more."""
        if message.view_number != self.recovered_view:
            self.recovered_view = message.view_number
            await self._write_member()

    # -- the lease

    async def keep_lease(self) -> None:
        """Renews the lease and reads the view afresh, several times within a lease's span, until cancelled."""
        period_s = self.settings.controller_lease_s / RENEWALS_PER_LEASE
        while True:
            while not self.replica.loaded:
                await self.replica.wait_change(period_s)
            started = self.client.now()
            with contextlib.suppress(HttpTransportError, StaleReplicaError):
                await self._renew()
                await self.replica.read_linearizable(self.client.timeout_s)
                if self.leadership.incarnation and not self._row_is_current(self.leadership.incarnation):
                    await self._write_member()
                if self.leadership.is_leader and not self.replica.tables.layout_complete:
                    await self._record_layout()
            pause_s = period_s - (self.client.now() - started)
            await anyio.sleep(max(pause_s, self.settings.controller_lease_s * MIN_RENEWAL_PAUSE_LEASES))

    async def _renew(self) -> None:
        """Renews the lease, or joins with a new one if there is none or the former is over."""
        if self.leadership.incarnation:
            await self._renew_lease()
        if not self.leadership.incarnation:
            await self._join()

    async def _renew_lease(self) -> None:
        """Renews the lease; this run has no incarnation any more if the state service says that the lease is over."""
        leadership = self.leadership
        sent_at = self.client.now()
        reply = await self.client.call("POST", f"/grants/{leadership.incarnation}/renew", b"{}", RequestPriority.LEASE)
        if reply.status == 200:
            leadership.lease_renewed_at = sent_at
        elif reply.status == 404:
            # Others may already have acted on our absence: whatever this run held is no longer its own.
            log.info("lease expired, joining again: lease=%d", leadership.incarnation)
            leadership.incarnation = 0

    async def _join(self) -> None:
        """Takes a new lease and stores the member row under it."""
        leadership = self.leadership
        sent_at = self.client.now()
        body = wire.encode({"lifeMs": int(self.settings.controller_lease_s * 1000)})
        reply = await self.client.call("POST", "/grants", body, RequestPriority.LEASE)
        if reply.status != 200:
            return
        try:
            lease_id = wire.decode(reply.body, wire.LeaseGrant).lease_id
        except wire.MalformedError as error:
            log.error("lease grant malformed: error=%s", error)
            return
        self.recovered_view = 0
        if await self._write_member(lease_id):
            leadership.incarnation = lease_id
            leadership.lease_renewed_at = sent_at
            log.info("joined: incarnation=%s", leadership.incarnation_id)

    # -- the member row

    def _current_row(self, lease_id: int) -> MemberRow:
        """The member row as this run would store it."""
        return MemberRow(lease_id, self.recovered_view, keys.LAYOUT_VERSION)

    def _row_is_current(self, lease_id: int) -> bool:
        return self.replica.tables.members.get(self.settings.member) == self._current_row(lease_id)

    async def _write_member(self, lease_id: int | None = None) -> bool:
        """Stores this run's member row, on condition of what is there; True once it is stored.

        Guards against a former run of this member, killed a moment ago, whose own write is carried out only now: it
        must not take the row from us, nor may the row vanish with that run's lease. Should it have come first, ours
        follows.
        """
        lease_id = lease_id or self.leadership.incarnation
        if not lease_id:
            return False
        key = keys.member_key(self.settings.member)
        for _ in range(MEMBER_ROW_ATTEMPTS):
            if self._row_is_current(lease_id):
                return True
            row = self._current_row(lease_id)
            value = {"boot": row.incarnation, "settled": row.recovered_view, "layout": row.layout}
            change = Transaction({key: self.replica.tables.mod_revision(key)}, {key: value})
            outcome = await self._commit(change, {key: lease_id})
            if outcome in (TransactionOutcome.COMMITTED, TransactionOutcome.NO_LEASE):
                self.replica.request_read()
                return outcome is TransactionOutcome.COMMITTED
            await self._refresh_replica()
        return False

    async def _record_layout(self) -> None:
        """Stores that this controller has run with this layout of the rows.

        Complete for good once every configured controller has, and none of an earlier layout is a member. Guards
        against a controller that is down: it has not been seen, so it may come back old, and would ignore what a job
        awaits.
        """
        tables = self.replica.tables
        row = RolloutRow(
            keys.LAYOUT_KEY,
            FeatureStatus(tables.layout_members),
            may_complete=all(member.layout >= keys.LAYOUT_VERSION for member in tables.members.values()),
            priority=RequestPriority.LEASE,
        )
        stored = await record_in_rollout(self.context, row)
        if stored is not None:
            # Operators wait for this line before they go on (docs/operations).
            log.info(
                "layout %d: run by %s%s",
                keys.LAYOUT_VERSION,
                ", ".join(stored.members),
                "; all are upgraded" if stored.complete else "",
            )

    # -- the coordinator and the view

    async def coordinate(self) -> None:
        """Stands for election while the coordinator's key is free, and writes views while elected, until cancelled."""
        while True:
            await self.replica.wait_change(self.settings.controller_lease_s / RENEWALS_PER_LEASE)
            if not self.leadership.incarnation or not self.replica.loaded:
                continue
            try:
                await self._coordinate()
            except Exception:
                log.exception("coordination failed")

    async def _coordinate(self) -> None:
        """One step: stands for election, or writes the view that the member rows call for."""
        tables, own = self.replica.tables, self.leadership.own_incarnation
        row = tables.members.get(own.member)
        if row is None or row.incarnation != own.lease_id:
            return
        if tables.coordinator is None or self._is_former_run(tables.coordinator):
            await self._stand_for_election()
        elif tables.coordinator == own:
            await self._write_view()

    def _is_former_run(self, incarnation: Incarnation) -> bool:
        """Whether it is an earlier run of this very member. That process is gone, so the key that it held is free."""
        own = self.leadership.own_incarnation
        return incarnation.member == own.member and incarnation.lease_id != own.lease_id

    async def _stand_for_election(self) -> None:
        """Writes the coordinator's key, bound to this run's lease, on condition that nobody has written it since."""
        own, key = self.leadership.own_incarnation, keys.COORDINATOR_KEY
        change = Transaction(
            {key: self.replica.tables.mod_revision(key)}, {key: {"member": own.member, "boot": own.lease_id}}
        )
        outcome = await self._commit(change, {key: own.lease_id})
        await self._refresh_replica()
        if outcome is TransactionOutcome.COMMITTED:
            log.info("elected coordinator: incarnation=%s", own.id)

    async def _write_view(self) -> None:
        """Writes the next view if members have come or gone, on condition of still being the coordinator."""
        tables = self.replica.tables
        members = tuple(sorted(Incarnation(member, row.incarnation) for member, row in tables.members.items()))
        if members == tables.view.members:
            return
        number = tables.view.number + 1
        change = Transaction(
            {key: tables.mod_revision(key) for key in (keys.COORDINATOR_KEY, keys.VIEW_KEY)},
            {keys.VIEW_KEY: {"n": number, "members": [list(member) for member in members]}},
        )
        outcome = await self._commit(change)
        if outcome is TransactionOutcome.COMMITTED:
            log.info("view changed: view=%d members=%s", number, ",".join(member.id for member in members))
        await self._refresh_replica()

    async def _commit(self, change: Transaction, leases: dict[str, int] | None = None) -> TransactionOutcome:
        """One transaction of the most urgent priority. `leases`: the lease that each key is bound to, by key."""
        outcome, _revision = await self.client.compare_and_swap(change, RequestPriority.LEASE, leases=leases)
        return outcome

    async def _refresh_replica(self) -> None:
        """Reads what is stored by now; no matter if that fails, as the next step tries again."""
        with contextlib.suppress(StaleReplicaError):
            await self.replica.read_linearizable(self.client.timeout_s)
