"""The coordinator's part: asks owners for idle capacity, computes the next cuts, and stores them."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, replace

import anyio

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.feature_rollout import FeatureRollout
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.epoch import chosen_changes, next_rows
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

# For how many epochs a report of a sibling counts.
REPORT_VALID_EPOCHS = 3.0


@dataclass(frozen=True)
class ReportedIdleCapacity:
    """A sibling's idle capacity, and when it was asked for."""

    asked_at: float
    rooms: list[IdleCapacity]


class AdmissionCoordinator:
    """Owns the idle capacity that siblings reported, and when each row was last written.

    All else is in the tables, so that the next coordinator goes on from there.
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
        self.limits = AdmissionLimits.of(context.settings)
        self.feature = FeatureRollout("admission", context)
        self.reported: dict[str, ReportedIdleCapacity] = {}
        self.written_at: dict[str, float] = {}

    @property
    def switched_on(self) -> bool:
        """Whether jobs are deferred here: turned on, and every configured controller has run with the feature."""
        return self.features.deferring and self.feature.is_complete

    # -- loops

    async def coordinate_forever(self) -> None:
        """Marks that this controller runs with the feature, and runs an epoch while it coordinates."""
        while True:
            await self.sleep(self.limits.epoch_s)
            try:
                await self.feature.record_member()
                await self.epoch()
            except StaleReplicaError:
                pass
            except Exception:
                log.exception("epoch failed")

    async def ask_forever(self, member: str) -> None:
        """Asks one sibling for its idle room while this controller coordinates."""
        while True:
            await self.sleep(self.limits.epoch_s)
            try:
                await self.ask(member)
            except NoAnswerError as error:
                log.debug("%s", error)
            except Exception:
                log.exception("while asking %s", member)

    async def ask(self, member: str) -> None:
        """One question to a sibling. Sent only once every controller knows the frame."""
        if not (self.switched_on and self.leadership.is_coordinator):
            self.reported.pop(member, None)
            return
        asked_at = self.now()
        self.reported[member] = ReportedIdleCapacity(asked_at, await self.links[member].idle_capacity())

    # -- epochs

    async def epoch(self) -> None:
        """Reckons the cuts from the tables as they are, and stores what rises, on condition of what was read."""
        if not (self.switched_on and self.leadership.is_coordinator):
            return
        # Guards against tables that lag: cuts computed from them would fail or be low.
        await self.replica.read_linearizable(self.client.timeout_s)
        tables = self.replica.tables
        changes = next_rows(
            tables,
            self.settings,
            self.limits,
            self._known_idle_capacity(),
            self.clock.wall_clock_ms(),
            self.client.max_value_bytes,
        )
        chosen = chosen_changes(changes, self.written_at, self.limits.max_changes, self.client.max_transaction_changes)
        if not chosen:
            return
        writes = {keys.admission_key(path): row.stored() for change in chosen for path, row in change.rows.items()}
        # On the rows' own stamps rests that no cut falls (docs/admission.md); the coordinator's key only spares a
        # deposed one its changes.
        conditions = {key: tables.mod_revision(key) for key in (keys.COORDINATOR_KEY, *writes)}
        outcome, epoch = await self.client.compare_and_swap(Transaction(conditions, writes), RequestPriority.CLAIM)
        now = self.now()
        self.written_at |= {change.path: now for change in chosen}
        if outcome is TransactionOutcome.COMMITTED:
            self.replica.apply_own_write(epoch, writes)
        else:
            self.replica.request_read()

    def _known_idle_capacity(self) -> list[IdleCapacity]:
        """All idle capacity that was reported lately, each as old as it is by now."""
        now = self.now()
        found = list(self.own_idle_capacity())
        for reported in self.reported.values():
            age_s = now - reported.asked_at
            if age_s <= REPORT_VALID_EPOCHS * self.limits.epoch_s:
                found += [replace(room, age_s=room.age_s + age_s) for room in reported.rooms]
        return found
