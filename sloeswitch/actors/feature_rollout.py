"""Rollouts: which configured controllers have run with a layout or feature, and whether all have.

A rollout is one stored row. Every controller adds its member name once it runs with what is rolled out; when all
configured members are in it the row is complete, for good, and rows and frames that others would not know may be
written. Guards against a controller that is down, of an earlier version or of another configuration: it has not been
seen yet, so it may come back and ignore, or wrongly rewrite, what it does not know.
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
    """The stored row of one rollout, as the replica has it."""

    key: str
    status: FeatureStatus
    # Whether it may become complete once every configured member is in it.
    may_complete: bool
    priority: RequestPriority


async def record_in_rollout(context: ControllerContext, row: RolloutRow) -> FeatureStatus | None:
    """Adds this member to a rollout's row, on condition of the row and of the view.

    Returns the status that was stored; None if there was nothing to add, or if it was not stored.
    """
    known_members = set(row.status.members)
    members = {*known_members, context.settings.member}
    complete = members >= set(context.settings.members) and row.may_complete
    if members == known_members and not complete:
        return None
    status = FeatureStatus(tuple(sorted(members)), complete)
    change = Transaction(
        {row.key: context.tables.mod_revision(row.key), **context.leadership.view_conditions()},
        {row.key: {"seen": list(status.members), "complete": status.complete}},
    )
    outcome, _revision = await context.client.compare_and_swap(change, row.priority)
    context.replica.request_read()
    return status if outcome is TransactionOutcome.COMMITTED else None


class FeatureRollout:
    """The rollout of one feature of the features file; its owner asks `is_complete` before it uses the feature."""

    def __init__(self, feature: str, context: ControllerContext) -> None:
        self.feature = feature
        self.context = context

    @property
    def status(self) -> FeatureStatus:
        """Who has run with the feature, as the replica has it."""
        return self.context.tables.features.get(self.feature, FeatureStatus())

    @property
    def is_complete(self) -> bool:
        """Whether every configured controller has run with the feature."""
        return self.status.complete

    async def record_member(self) -> None:
        """Stores that this controller runs with the feature; complete once every configured one does."""
        status = self.status
        # An earlier layout does not know rows of features.
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
