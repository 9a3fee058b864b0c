"""What follows from the settings: how often cuts are reckoned, how long a lane stands still at most, and the bounds."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sloeswitch.settings import Settings

# A lane with a head rises after so many worker leases, and after this part of the longest that the users let a job wait
# beside room that fits (90 s, a rule of the protocol) at the latest.
STARVATION_LEASES = 2.0
LONGEST_WAIT_S = 90.0
PATIENCE_OF_LONGEST_WAIT = 0.4
# Cuts are reckoned so many times in a worker lease, but not more often than machines report.
EPOCHS_PER_LEASE = 8.0
# The part of the state service's changes that epochs may take.
CHANGE_SHARE = 0.1
# A lead is so many times what passes until all have read an epoch.
LEAD_ROUNDS = 2.0
# Admitted work may exceed the machines by this part, so that none falls empty within an epoch.
SURPLUS = 0.25
# How many jobs a processor core admits on paper in a second, at the least; an epoch takes no more than a quarter of the
# time between two for it. Guards against an epoch that outlasts the controller's lease when thousands of jobs fit.
ADMISSIONS_PER_CORE_S = 4000
EPOCH_SHARE = 0.25
# Room counts as idle when it was left over for so many reports.
IDLE_REPORTS = 2.0


@dataclass(frozen=True)
class AdmissionLimits:
    """Times in seconds."""

    patience_s: float
    epoch_s: float
    # The common cut runs ahead of the clock by one to two of these while nothing is deferred.
    lead_s: float
    clock_error_s: float
    idle_s: float
    max_changes: int
    # Jobs that one epoch admits by guarantee and budget; the others follow with the next.
    max_admissions: int

    @staticmethod
    def of(settings: Settings) -> AdmissionLimits:
        """The limits by a deployment's settings."""
        epoch_s = max(settings.report_s, settings.lease_s / EPOCHS_PER_LEASE)
        read_s = epoch_s + settings.controller_lease_s + 2 * settings.clock_error_s
        return AdmissionLimits(
            patience_s=min(STARVATION_LEASES * settings.lease_s, PATIENCE_OF_LONGEST_WAIT * LONGEST_WAIT_S),
            epoch_s=epoch_s,
            lead_s=LEAD_ROUNDS * read_s,
            clock_error_s=settings.clock_error_s,
            idle_s=IDLE_REPORTS * settings.report_s,
            max_changes=max(1, int(CHANGE_SHARE * settings.state_write_rps * epoch_s)),
            max_admissions=max(1, int(EPOCH_SHARE * ADMISSIONS_PER_CORE_S * settings.controller_cores * epoch_s)),
        )

    def _looks_s(self, rows: int) -> float:
        """Until a row that is to change is stored: a look, and its turn among the others."""
        return (1 + math.ceil(rows / self.max_changes)) * self.epoch_s

    def head_bound_s(self, rows: int = 1) -> float:
        """Until a lane's head is admitted, from its submission or its lane's last rise, outside outages."""
        return self.patience_s + self._looks_s(rows) + 2 * self.clock_error_s

    def bound_s(self, before: int, rows: int = 1) -> float:
        """Until a job with so many before it in its lane is admitted."""
        return (before + 1) * self.head_bound_s(rows)

    def guarantee_bound_s(self, rows: int = 1) -> float:
        """Until a lane's head is admitted that fits its team's guarantee, while no more than `max_admissions` do."""
        return self._looks_s(rows) + 2 * self.clock_error_s
