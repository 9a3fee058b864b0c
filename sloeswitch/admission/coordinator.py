"""Runs admission epochs on the controller that is the coordinator.

In an epoch the coordinator computes higher cuts, which are the admission watermarks of the lanes, and stores them. For
this it asks the other controllers (siblings) for the idle capacity of the machines that they own.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace

import anyio

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.feature_rollout import FeatureRollout
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.epoch import compute_changes, select_changes
from sloeswitch.admission.frames import IdleCapacityLink
from sloeswitch.admission.limits import AdmissionLimits
from sloeswitch.core import keys
from sloeswitch.core.transaction import Transaction
from sloeswitch.features import AdmissionFeatures
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import StaleReplicaError
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("admission")

# For how many epochs a sibling's report remains valid.
REPORT_VALID_EPOCHS = 3.0


@dataclass(frozen=True)
class ReportedIdleCapacity:
    """A sibling's idle capacity, and when it was requested, in seconds of this controller's clock."""

    requested_at: float
    capacities: list[IdleCapacity]


class AdmissionCoordinator:
    """Runs the epochs while this controller is the coordinator.

    Keeps only the idle capacity that siblings reported, and when each row was last written. All other state is in the
    tables, so that a new coordinator continues from there.
    """

    def __init__(
        self,
        context: ControllerContext,
        features: AdmissionFeatures,
        own_idle_capacity: Callable[[], list[IdleCapacity]],
        links: Mapping[str, IdleCapacityLink],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.settings = context.settings
        self.features = features
        self.client = context.client
        self.replica = context.replica
        self.leadership = context.leadership
        self.own_idle_capacity = own_idle_capacity
        self.links = links
        self.clock = context.clock
        self.now = context.clock.now
        self.sleep = sleep
        self.limits = AdmissionLimits.from_settings(context.settings)
        self.rollout = FeatureRollout("admission", context)
        self.reported: dict[str, ReportedIdleCapacity] = {}
        self.written_at: dict[str, float] = {}

    @property
    def switched_on(self) -> bool:
        """Whether jobs are deferred: the setting is on, and every configured controller has run with the feature."""
        return self.features.deferring and self.rollout.is_complete

    # -- loops

    async def coordinate_forever(self) -> None:
        """Records that this controller runs the feature, and runs epochs while it is the coordinator."""
        while True:
            await self.sleep(self.limits.epoch_s)
            try:
                await self.rollout.record_member()
                await self.run_epoch()
            except StaleReplicaError:
                pass
            except Exception:
                log.exception("admission epoch failed")

    async def request_idle_capacity_forever(self, member: str) -> None:
        """Asks one sibling for its idle capacity, repeatedly, while this controller is the coordinator."""
        while True:
            await self.sleep(self.limits.epoch_s)
            try:
                await self.request_idle_capacity(member)
            except NoAnswerError as error:
                log.debug("idle capacity request not answered: error=%s", error)
            except Exception:
                log.exception("idle capacity request failed: member=%s", member)

    async def request_idle_capacity(self, member: str) -> None:
        """Asks a sibling once for its idle capacity, if jobs are deferred and this controller is the coordinator.

        Otherwise drops the sibling's last report. The frame is not sent before every controller knows it, since jobs
        are deferred only once every controller has run with the feature.
        """
        if not (self.switched_on and self.leadership.is_coordinator):
            self.reported.pop(member, None)
            return
        requested_at = self.now()
        self.reported[member] = ReportedIdleCapacity(requested_at, await self.links[member].idle_capacity())

    # -- epochs

    async def run_epoch(self) -> None:
        """Computes the cuts from the tables, and stores the raised ones if the rows are unchanged since the read."""
        if not (self.switched_on and self.leadership.is_coordinator):
            return
        # With stale tables the cuts would be too low, or the conditional write would fail.
        await self.replica.read_linearizable(self.client.timeout_s)
        tables = self.replica.tables
        changes = compute_changes(
            tables,
            self.settings,
            self.limits,
            self._valid_idle_capacity(),
            self.clock.wall_clock_ms(),
            self.client.max_value_bytes,
        )
        chosen = select_changes(
            changes, self.written_at, self.limits.max_row_writes, self.client.max_transaction_changes
        )
        if not chosen:
            return
        writes = {keys.admission_key(path): row.stored() for change in chosen for path, row in change.rows.items()}
        # The conditions on the rows' revisions ensure that no cut is lowered (docs/admission.md). The condition on the
        # coordinator's key only avoids useless writes by a controller that is no longer the coordinator.
        conditions = {key: tables.mod_revision(key) for key in (keys.COORDINATOR_KEY, *writes)}
        outcome, revision = await self.client.compare_and_swap(Transaction(conditions, writes), RequestPriority.CLAIM)
        now = self.now()
        self.written_at |= {change.path: now for change in chosen}
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(revision, writes)
        else:
            self.replica.request_read()

    def _valid_idle_capacity(self) -> list[IdleCapacity]:
        """Returns this controller's idle capacity and the valid reports of siblings, with their ages as of now."""
        now = self.now()
        capacities = list(self.own_idle_capacity())
        for reported in self.reported.values():
            age_s = now - reported.requested_at
            if age_s <= REPORT_VALID_EPOCHS * self.limits.epoch_s:
                capacities += [replace(entry, age_s=entry.age_s + age_s) for entry in reported.capacities]
        return capacities
