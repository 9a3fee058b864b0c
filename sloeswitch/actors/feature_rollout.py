"""The mark of a feature: on once every configured controller has run with it."""

from __future__ import annotations

import logging

from sloeswitch.actors.leadership import Leadership
from sloeswitch.core import keys
from sloeswitch.core.records import FeatureStatus
from sloeswitch.core.transaction import Transaction
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import Replica
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient, TransactionOutcome

log = logging.getLogger("features")


class FeatureRollout:
    """Guards against a controller of a version or a configuration that doesn't know the feature's rows and frames."""

    def __init__(
        self, feature: str, settings: Settings, client: StateClient, replica: Replica, leadership: Leadership
    ) -> None:
        self.feature = feature
        self.settings = settings
        self.client = client
        self.replica = replica
        self.leadership = leadership

    @property
    def is_complete(self) -> bool:
        """Whether every configured controller has run with the feature."""
        return self.replica.tables.features.get(self.feature, FeatureStatus()).complete

    async def record_member(self) -> None:
        """Notes that this controller runs with the feature; complete once every configured one does."""
        tables = self.replica.tables
        known = tables.features.get(self.feature, FeatureStatus())
        if known.complete or not (self.leadership.is_leader and tables.layout_complete):
            return
        seen = {*known.seen, self.settings.member}
        complete = seen >= set(self.settings.members)
        if seen == set(known.seen) and not complete:
            return
        key = keys.feature_key(self.feature)
        value = {"seen": sorted(seen), "complete": complete}
        conditions = {key: tables.mod_revision(key), **self.leadership.view_conditions()}
        outcome, _ = await self.client.compare_and_swap(Transaction(conditions, {key: value}), RequestPriority.CLAIM)
        self.replica.request_read()
        if outcome is TransactionOutcome.COMMITTED:
            log.info("%s: run by %s%s", self.feature, ", ".join(sorted(seen)), "; it is on" if complete else "")
