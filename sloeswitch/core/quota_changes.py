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
    """A smaller allocation, and the revision of the team's row that it was computed from.

    It is relative to that row: what the row's allocation has above it is returned.
    """

    mod_revision: int
    cores: float
    gpus: float


# The allocations of one team by the incarnation that holds them.
TeamAllocations = dict[str, ResourceAmount]


class QuotaChangeReason(StrEnum):
    """Why a team's allocations change, as logged."""

    ADOPTION = "adoption"
    INCREASE = "increase"
    DECREASE = "decrease"
    # A departed controller's allocation is dropped, since the recovery is complete.
    DEPARTED = "departed"


@dataclass(frozen=True)
class QuotaRowChange:
    """How a transaction changes the allocations of one team.

    Attributes:
        team: The team.
        before: The stored allocations.
        after: The allocations that are written.
        reasons: Why, each once, in the order in which they were planned.
    """

    team: str
    before: Mapping[str, ResourceAmount]
    after: Mapping[str, ResourceAmount]
    reasons: Sequence[QuotaChangeReason]


class QuotaChanges:
    """The teams whose allocations one transaction touches, and their allocations after it."""

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
        """The team's allocations so far, without departed controllers' once no task that those covered can exist."""
        if team in self._allocations:
            return self._allocations[team]
        stored = self._stored(team)
        if not self._recovery_complete:
            return dict(stored)
        members = self._tables.view.incarnation_ids
        return {holder: amount for holder, amount in stored.items() if holder in members}

    def move_with_adoption(self, job: Job, adopted: int) -> None:
        """Moves the part of the limit that adopted tasks use from their former holders to this controller."""
        allocations = self._current(job.spec.team)
        for holder, tasks in job.progress.claims.items():
            if holder != self._incarnation_id and tasks & adopted:
                allocations = quota.transfer(
                    allocations, holder, self._incarnation_id, job.spec, (tasks & adopted).bit_count()
                )
        self._set(job.spec.team, allocations, QuotaChangeReason.ADOPTION)

    def increase(self, team: Team, wanted: ResourceAmount) -> None:
        """Raises this controller's allocation to what is wanted, as far as the team's limit has it."""
        allocations = self._current(team.name)
        # An adoption may have raised it since the request was made; only the requester knows when less will do.
        cores, gpus = allocations.get(self._incarnation_id, ResourceAmount())
        amount = ResourceAmount(max(wanted.cores, cores), max(wanted.gpus, gpus))
        changed = quota.reallocate(allocations, quota.team_limit(team), self._incarnation_id, amount)
        self._set(team.name, changed, QuotaChangeReason.INCREASE)

    def decrease(self, team: str, decrease: QuotaDecrease) -> None:
        """Returns a part of this controller's allocation, unless the team's row changed since that was computed."""
        if decrease.mod_revision != self._tables.mod_revision(keys.quota_key(team)):
            return
        stored = self._tables.quota_allocation(team, self._incarnation_id)
        allocations = dict(self._current(team))
        # What this transaction's adoptions brought was not there to be returned when the decrease was computed.
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
        """The teams whose stored allocations change, for the log."""
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
        """Adds the rows of teams whose allocations change, or are to be rewritten; returns whether there is any."""
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
    """The value of a team's row; an empty allocation is left out."""
    return {holder: list(amount) for holder, amount in allocations.items() if amount.cores > 0 or amount.gpus > 0}
