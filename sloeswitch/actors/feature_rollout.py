"""Rollouts: which configured controllers have run with a layout or feature, and whether all of them have.

Each rollout is one stored row. A controller adds its member name to the row once it runs with the layout or feature.
When the row contains all configured members it is permanently complete; only then may rows and frames of the new form
be written. A controller that is down, runs an earlier version or has another configuration may come back and ignore or
wrongly rewrite data that it does not understand, so the rollout waits for it.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from sloeswitch.actors.context import ControllerContext
from sloeswitch.core import keys
from sloeswitch.core.records import FeatureStatus
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import TransactionOutcome

log = logging.getLogger("features")


@dataclass(frozen=True)
class RolloutRow:
    """The stored row of one rollout, as last read by the replica."""

    key: str
    status: FeatureStatus
    # Whether the row may be marked complete when it contains every configured member.
    may_complete: bool
    priority: RequestPriority


async def record_in_rollout(context: ControllerContext, row: RolloutRow) -> FeatureStatus | None:
    """Adds this member to a rollout's row, on condition that neither the row nor the view has changed.

    Returns:
        The stored status; None if there was nothing to add or the write failed.
    """
    known_members = set(row.status.members)
    members = {*known_members, context.settings.member}
    complete = members >= set(context.settings.members) and row.may_complete
    if members == known_members and not complete:
        return None
    status = FeatureStatus(tuple(sorted(members)), complete)
    transaction = Transaction(
        {row.key: context.tables.mod_revision(row.key), **context.leadership.view_conditions()},
        {row.key: {"seen": list(status.members), "complete": status.complete}},
    )
    outcome, _revision = await context.client.compare_and_swap(transaction, row.priority)
    context.replica.request_read()
    return status if outcome is TransactionOutcome.COMMITTED else None


class FeatureRollout:
    """The rollout of one feature from the features file. Its owner checks `is_complete` before using the feature."""

    def __init__(self, feature: str, context: ControllerContext) -> None:
        self.feature = feature
        self.context = context

    @property
    def status(self) -> FeatureStatus:
        """Which controllers have run with the feature, as last read by the replica."""
        return self.context.tables.features.get(self.feature, FeatureStatus())

    @property
    def is_complete(self) -> bool:
        """Whether every configured controller has run with the feature."""
        return self.status.complete

    async def record_member(self) -> None:
        """Records that this controller runs with the feature."""
        status = self.status
        # Controllers of an earlier layout cannot read the rows of features.
        if status.complete or not (self.context.leadership.is_leader and self.context.tables.layout_complete):
            return
        stored = await record_in_rollout(
            self.context,
            RolloutRow(keys.feature_key(self.feature), status, may_complete=True, priority=RequestPriority.CLAIM),
        )
        if stored is not None:
            # Operators wait for this line before they go on (docs/operations).
            log.info(
                "%s: run by %s%s", self.feature, ", ".join(stored.members), "; it is on" if stored.complete else ""
            )
