"""Membership: this controller's lease, the election of the coordinator, and the numbered views.

Every controller holds a lease at the state service. Its member row is bound to that lease and is deleted when the lease
expires. The coordinator is elected by a key that is bound to the coordinator's lease: the first controller to write the
key while it does not exist is elected, until its lease expires and the key is deleted. The coordinator watches the
member rows and writes a new view, the numbered list of members that own machines, whenever a member joins or leaves.

Only the membership actor writes `Leadership`, from which all other actors read what this incarnation is allowed to do.
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

# The number of lease renewals per lease duration.
RENEWALS_PER_LEASE = 4
# The minimum pause between two renewals, as a fraction of the lease duration, even after a slow renewal.
MIN_RENEWAL_PAUSE_LEASES = 1 / 16
# The number of attempts at writing the member row when concurrent writes conflict.
MEMBER_ROW_ATTEMPTS = 3


@dataclass
class ShardRecovered:
    """Recovery after a view change is complete: the tasks on all machines that this controller owns are known.

    Every machine has reported or can no longer run tasks of an earlier owner, and the adoptions and completions found
    are settled (`MachineRegistry.is_recovered`).
    """

    view_number: int


class Membership(Actor[ShardRecovered]):
    """Maintains this incarnation's lease and member row, and writes views while it is the elected coordinator."""

    name = "membership"

    def __init__(self, context: ControllerContext) -> None:
        super().__init__(context.settings.fd_limit)
        self.context = context
        self.settings = context.settings
        self.client = context.client
        self.replica = context.replica
        self.leadership = context.leadership
        # The number of the last view under which this incarnation recovered its shard; stored in the member row.
        self.recovered_view = 0

    async def handle(self, message: ShardRecovered) -> None:
        """Stores the view under which this shard has recovered, so that other members stop waiting for it."""
        if message.view_number != self.recovered_view:
            self.recovered_view = message.view_number
            await self._write_member()

    # -- the lease

    async def keep_lease(self) -> None:
        """Renews the lease and does a linearizable read, RENEWALS_PER_LEASE times per lease, until cancelled.

        The lease is renewed also while all rows are read again, which may take longer than the lease. Joining waits for
        them, because the member row that it replaces has to be known.
        """
        period_s = self.settings.controller_lease_s / RENEWALS_PER_LEASE
        while True:
            while not self.replica.loaded and not self.leadership.incarnation:
                await self.replica.wait_for_change(period_s)
            started = self.client.now()
            with contextlib.suppress(HttpTransportError, StaleReplicaError):
                if self.replica.loaded:
                    await self._renew_or_join()
                else:
                    await self._renew_lease()
                await self.replica.read_linearizable(self.client.timeout_s)
                if self.leadership.incarnation and not self._row_is_current(self.leadership.incarnation):
                    await self._write_member()
                if self.leadership.is_leader and not self.replica.tables.layout_complete:
                    await self._record_layout()
            pause_s = period_s - (self.client.now() - started)
            await anyio.sleep(max(pause_s, self.settings.controller_lease_s * MIN_RENEWAL_PAUSE_LEASES))

    async def _renew_or_join(self) -> None:
        """Renews the lease, or joins with a new one if there is none or the old one has expired."""
        if self.leadership.incarnation:
            await self._renew_lease()
        if not self.leadership.incarnation:
            await self._join()

    async def _renew_lease(self) -> None:
        """Renews the lease; resets the incarnation to 0 if the state service reports that the lease has expired."""
        leadership = self.leadership
        sent_at = self.client.now()
        reply = await self.client.call("POST", f"/grants/{leadership.incarnation}/renew", b"{}", RequestPriority.LEASE)
        if reply.status == 200:
            leadership.lease_renewed_at = sent_at
        elif reply.status == 404:
            # Other controllers may already have taken over what this incarnation owned.
            log.info("lease expired, joining again: lease=%d", leadership.incarnation)
            leadership.incarnation = 0

    async def _join(self) -> None:
        """Obtains a new lease and stores the member row bound to it."""
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
        """The member row that this incarnation should have stored."""
        return MemberRow(lease_id, self.recovered_view, keys.LAYOUT_VERSION)

    def _row_is_current(self, lease_id: int) -> bool:
        return self.replica.tables.members.get(self.settings.member) == self._current_row(lease_id)

    async def _write_member(self, lease_id: int | None = None) -> bool:
        """Stores the member row by compare-and-swap; returns whether it is stored.

        A delayed write of an earlier incarnation of this member, sent just before that process was killed, may be
        carried out at the same time. It must not replace this row, or the row would be deleted when that incarnation's
        lease expires. If the earlier incarnation's write is carried out first, this one conflicts and is retried.
        """
        lease_id = lease_id or self.leadership.incarnation
        if not lease_id:
            return False
        key = keys.member_key(self.settings.member)
        for _ in range(MEMBER_ROW_ATTEMPTS):
            if self._row_is_current(lease_id):
                return True
            row = self._current_row(lease_id)
            value = {"boot": row.lease_id, "settled": row.recovered_view, "layout": row.layout}
            transaction = Transaction({key: self.replica.tables.mod_revision(key)}, {key: value})
            outcome = await self._commit(transaction, {key: lease_id})
            if outcome in (TransactionOutcome.COMMITTED, TransactionOutcome.NO_LEASE):
                self.replica.request_read()
                return outcome is TransactionOutcome.COMMITTED
            await self._refresh_replica()
        return False

    async def _record_layout(self) -> None:
        """Records that this controller has run with the current layout of stored rows.

        The layout is permanently complete once every configured controller has recorded it and no member runs an
        earlier layout. A controller that is down and has not recorded the layout may restart with an earlier version,
        which would ignore the prerequisites of jobs.
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
        """Runs for coordinator while none is elected, and writes views while elected, until cancelled."""
        while True:
            await self.replica.wait_for_change(self.settings.controller_lease_s / RENEWALS_PER_LEASE)
            if not self.leadership.incarnation or not self.replica.loaded:
                continue
            try:
                await self._coordinate()
            except Exception:
                log.exception("coordination failed")

    async def _coordinate(self) -> None:
        """Does one step: runs for coordinator, or writes a view that matches the member rows."""
        tables, own = self.replica.tables, self.leadership.own_incarnation
        row = tables.members.get(own.member)
        if row is None or row.lease_id != own.lease_id:
            return
        if tables.coordinator is None or self._is_earlier_incarnation(tables.coordinator):
            await self._run_for_coordinator()
        elif tables.coordinator == own:
            await self._write_view()

    def _is_earlier_incarnation(self, incarnation: Incarnation) -> bool:
        """Whether this is an earlier incarnation of the same member.

        It no longer acts, because its process has ended or has joined with a new lease. Its coordinator key may
        therefore be replaced.
        """
        own = self.leadership.own_incarnation
        return incarnation.member == own.member and incarnation.lease_id != own.lease_id

    async def _run_for_coordinator(self) -> None:
        """Writes the coordinator key, bound to this incarnation's lease, if it has not changed since it was read."""
        own, key = self.leadership.own_incarnation, keys.COORDINATOR_KEY
        transaction = Transaction(
            {key: self.replica.tables.mod_revision(key)}, {key: {"member": own.member, "boot": own.lease_id}}
        )
        outcome = await self._commit(transaction, {key: own.lease_id})
        await self._refresh_replica()
        if outcome is TransactionOutcome.COMMITTED:
            log.info("elected coordinator: incarnation=%s", own.id)

    async def _write_view(self) -> None:
        """Writes the next view if the members have changed, on condition of still being the coordinator."""
        tables = self.replica.tables
        members = tuple(sorted(Incarnation(member, row.lease_id) for member, row in tables.members.items()))
        if members == tables.view.members:
            return
        number = tables.view.number + 1
        transaction = Transaction(
            {key: tables.mod_revision(key) for key in (keys.COORDINATOR_KEY, keys.VIEW_KEY)},
            {keys.VIEW_KEY: {"n": number, "members": [list(member) for member in members]}},
        )
        outcome = await self._commit(transaction)
        if outcome is TransactionOutcome.COMMITTED:
            log.info("view changed: view=%d members=%s", number, ",".join(member.id for member in members))
        await self._refresh_replica()

    async def _commit(self, transaction: Transaction, leases: dict[str, int] | None = None) -> TransactionOutcome:
        """Commits a transaction with the highest priority; `leases` maps a key to the lease that it is bound to."""
        outcome, _revision = await self.client.compare_and_swap(transaction, RequestPriority.LEASE, leases=leases)
        return outcome

    async def _refresh_replica(self) -> None:
        """Does a linearizable read. A failure is ignored, because the next step retries."""
        with contextlib.suppress(StaleReplicaError):
            await self.replica.read_linearizable(self.client.timeout_s)
