"""Timing and size limits of admission, derived from the settings, and the resulting bounds on a deferred job's wait.

An epoch is one computation of the cuts, which are the lanes' admission watermarks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from sloeswitch.settings import Settings

# The first job of a lane (its head) is admitted without regard to free capacity after STARVATION_LEASES worker leases,
# or after STARVATION_FRACTION_OF_MAX_WAIT of MAX_WAIT_WITH_CAPACITY_S, whichever is shorter. MAX_WAIT_WITH_CAPACITY_S
# is the longest that the protocol lets a job wait while there is free capacity for it.
STARVATION_LEASES = 2.0
MAX_WAIT_WITH_CAPACITY_S = 90.0
STARVATION_FRACTION_OF_MAX_WAIT = 0.4
# Epochs per worker lease. Epochs are never more frequent than the reports of the machines.
EPOCHS_PER_LEASE = 8.0
# The fraction of the state service's write rate that epochs may use.
WRITE_RATE_FRACTION = 0.1
# The lead of the common cut over the clock (see `AdmissionLimits.lead_s`), as a multiple of the time until every
# controller has read the cuts of an epoch.
LEAD_ROUNDS = 2.0
# The fraction by which admitted work may exceed the machines, so that no machine runs empty between two epochs.
OVERCOMMIT_FRACTION = 0.25
# A low estimate of the admissions that one processor core computes per second. Computing an epoch's admissions may take
# at most EPOCH_TIME_FRACTION of the interval between epochs. Without this limit an epoch could outlast the controller's
# lease when thousands of jobs fit.
ADMISSIONS_PER_CORE_S = 4000
EPOCH_TIME_FRACTION = 0.25
# An epoch uses reported idle capacity only once it has been idle for this many report intervals.
MIN_IDLE_REPORTS = 2.0


@dataclass(frozen=True)
class AdmissionLimits:
    """Limits of epochs; times are in seconds."""

    starvation_timeout_s: float
    epoch_s: float
    # Without overload, the common cut is kept between one and two leads ahead of the clock.
    lead_s: float
    clock_error_s: float
    min_idle_s: float
    max_row_writes: int
    # The most jobs that one epoch admits by guarantee and round robin; the next epoch continues from there.
    max_admissions: int

    @staticmethod
    def from_settings(settings: Settings) -> AdmissionLimits:
        """Derives the limits from a deployment's settings."""
        epoch_s = max(settings.report_s, settings.lease_s / EPOCHS_PER_LEASE)
        read_s = epoch_s + settings.controller_lease_s + 2 * settings.clock_error_s
        return AdmissionLimits(
            starvation_timeout_s=min(
                STARVATION_LEASES * settings.lease_s, STARVATION_FRACTION_OF_MAX_WAIT * MAX_WAIT_WITH_CAPACITY_S
            ),
            epoch_s=epoch_s,
            lead_s=LEAD_ROUNDS * read_s,
            clock_error_s=settings.clock_error_s,
            min_idle_s=MIN_IDLE_REPORTS * settings.report_s,
            max_row_writes=max(1, int(WRITE_RATE_FRACTION * settings.state_write_rps * epoch_s)),
            max_admissions=max(
                1, int(EPOCH_TIME_FRACTION * ADMISSIONS_PER_CORE_S * settings.controller_cores * epoch_s)
            ),
        )

    def _row_write_delay_s(self, rows: int) -> float:
        """Returns the longest time until a row that is to change is stored.

        That is one epoch, plus the number of epochs that it takes to write all rows, at most `max_row_writes` in each.
        """
        return (1 + math.ceil(rows / self.max_row_writes)) * self.epoch_s

    def head_bound_s(self, rows: int = 1) -> float:
        """Returns the longest wait of a lane's head for admission, outside outages.

        The wait begins with the job's submission or when the lane's cut was last raised, whichever is later.
        """
        return self.starvation_timeout_s + self._row_write_delay_s(rows) + 2 * self.clock_error_s

    def bound_s(self, jobs_before: int, rows: int = 1) -> float:
        """Returns the longest wait for admission of a job that is behind `jobs_before` others in its lane."""
        return (jobs_before + 1) * self.head_bound_s(rows)

    def guarantee_bound_s(self, rows: int = 1) -> float:
        """Returns the longest wait for admission of a head that fits its team's guarantee.

        Holds while no more than `max_admissions` such jobs wait.
        """
        return self._row_write_delay_s(rows) + 2 * self.clock_error_s
