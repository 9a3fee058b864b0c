"""The changes that one transaction makes to the quota allocations of teams.

A team's limit is split into allocations, one for each incarnation of a controller (see `core.quota`). The commit
planner collects a transaction's changes here and then writes the rows of the teams that changed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from sloeswitch.core import keys, quota
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.settings import Team


class QuotaDecrease(NamedTuple):
    """A smaller allocation, and the revision of the team's row from which it was computed.

    The amount to return is the difference between the allocation in that row and this one.
    """

    mod_revision: int
    cores: float
    gpus: float


# The allocations of one team by the incarnation that holds them.
TeamAllocations = dict[str, ResourceAmount]


class QuotaChangeReason(StrEnum):
    """Why a team's allocations change; the values appear in the log."""

    ADOPTION = "adoption"
    INCREASE = "increase"
    DECREASE = "decrease"
    # The allocation of a departed controller is dropped once the recovery is complete.
    DEPARTED = "departed"


@dataclass(frozen=True)
class QuotaRowChange:
    """The change that a transaction makes to the allocations of one team.

    Attributes:
        team: The team.
        before: The stored allocations.
        after: The allocations to write.
        reasons: The reasons for the change, without duplicates, in the order in which they occurred.
    """

    team: str
    before: Mapping[str, ResourceAmount]
    after: Mapping[str, ResourceAmount]
    reasons: Sequence[QuotaChangeReason]


class QuotaChanges:
    """The teams whose allocations one transaction may change, and their allocations after it."""

    def __init__(self, tables: Tables, incarnation_id: str, recovery_complete: bool) -> None:
        self._tables = tables
        self._incarnation_id = incarnation_id
        self._recovery_complete = recovery_complete
        self._allocations: dict[str, TeamAllocations] = {}
        self._reasons: dict[str, list[QuotaChangeReason]] = {}

    def __len__(self) -> int:
        return len(self._allocations)

    def __contains__(self, team: str) -> bool:
        return team in self._allocations

    def _stored(self, team: str) -> TeamAllocations:
        return self._tables.quota_allocations.get(team, {})

    def _current(self, team: str) -> TeamAllocations:
        """The team's allocations with the changes so far.

        Once the recovery is complete, the allocations of departed controllers are left out: no task that they covered
        can still exist.
        """
        if team in self._allocations:
            return self._allocations[team]
        stored = self._stored(team)
        if not self._recovery_complete:
            return dict(stored)
        members = self._tables.view.incarnation_ids
        return {holder: amount for holder, amount in stored.items() if holder in members}

    def move_with_adoption(self, job: Job, adopted: int) -> None:
        """Moves the allocations of adopted tasks from the controllers that claimed them to this one."""
        allocations = self._current(job.spec.team)
        for holder, tasks in job.progress.claims.items():
            if holder != self._incarnation_id and tasks & adopted:
                allocations = quota.transfer(
                    allocations, holder, self._incarnation_id, job.spec, (tasks & adopted).bit_count()
                )
        self._set(job.spec.team, allocations, QuotaChangeReason.ADOPTION)

    def increase(self, team: Team, wanted: ResourceAmount) -> None:
        """Raises this controller's allocation to the wanted amount, as far as the team's limit allows."""
        allocations = self._current(team.name)
        # An adoption may have raised the allocation since the request was made. An increase never lowers it; only the
        # requester can decide that less is enough.
        cores, gpus = allocations.get(self._incarnation_id, ResourceAmount())
        amount = ResourceAmount(max(wanted.cores, cores), max(wanted.gpus, gpus))
        changed = quota.reallocate(allocations, quota.team_limit(team), self._incarnation_id, amount)
        self._set(team.name, changed, QuotaChangeReason.INCREASE)

    def decrease(self, team: str, decrease: QuotaDecrease) -> None:
        """Lowers this controller's allocation, unless the team's row changed after the decrease was computed."""
        if decrease.mod_revision != self._tables.mod_revision(keys.quota_key(team)):
            return
        stored = self._tables.quota_allocation(team, self._incarnation_id)
        allocations = dict(self._current(team))
        # Subtracts the difference, rather than setting the amount, to keep what adoptions in this transaction added.
        cores, gpus = allocations.get(self._incarnation_id, ResourceAmount())
        allocations[self._incarnation_id] = ResourceAmount(
            cores - max(0.0, stored.cores - decrease.cores), gpus - max(0.0, stored.gpus - decrease.gpus)
        )
        self._set(team, allocations, QuotaChangeReason.DECREASE)

    def _set(self, team: str, allocations: TeamAllocations, reason: QuotaChangeReason) -> None:
        self._allocations[team] = allocations
        reasons = self._reasons.setdefault(team, [])
        if reason not in reasons:
            reasons.append(reason)

    def row_changes(self) -> list[QuotaRowChange]:
        """The changes to stored allocations, by team, for the log."""
        changes = []
        for team, after in self._allocations.items():
            before = self._stored(team)
            if after == before:
                continue
            reasons = list(self._reasons[team])
            if before.keys() - after.keys() - {self._incarnation_id}:
                reasons.append(QuotaChangeReason.DEPARTED)
            changes.append(QuotaRowChange(team, before, after, reasons))
        return changes

    def write_rows(self, transaction: Transaction, forced_rewrites: Set[str]) -> bool:
        """Adds writes of the rows of teams whose allocations change or whose row must be rewritten.

        Returns:
            Whether any write was added.
        """
        has_written = False
        for team, allocations in self._allocations.items():
            if allocations == self._stored(team) and team not in forced_rewrites:
                continue
            key = keys.quota_key(team)
            transaction.writes[key] = _encode_allocations(allocations)
            transaction.conditions[key] = self._tables.mod_revision(key)
            has_written = True
        return has_written


def _encode_allocations(allocations: Mapping[str, ResourceAmount]) -> dict[str, list[float]]:
    """The value of a team's row, without empty allocations."""
    return {holder: list(amount) for holder, amount in allocations.items() if amount.cores > 0 or amount.gpus > 0}
