"""Computes the cuts of the next epoch from the tables, the wall-clock time and the reported idle capacity.

A cut is a lane's admission watermark: the highest ticket (place in the order of submission) that is admitted. A lane
holds the jobs of one team, class and priority. An epoch is one run of this computation; it raises cuts in three steps:

1. Jobs that fit their team's guarantee.
2. Jobs that fit the free capacity, chosen by deficit round robin between the teams. Each round adds a team's quantum
   (a number of cores in proportion to its guarantee) to its deficit. A job is admitted once the deficit covers the
   cores of all its tasks, which are then subtracted.
3. The first job of each lane whose cut has not been raised for the starvation timeout, whether or not it fits.

The computation does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.admission.backlog import Backlog, JobBundle, LaneQueue, admitted_usage
from sloeswitch.admission.capacity import Capacity, IdleCapacity
from sloeswitch.admission.cuts import (
    ROOT_PATH,
    AdmissionRow,
    Lane,
    LaneCut,
    Ticket,
    deficit_lane,
    leaf_rows,
    row_path,
)
from sloeswitch.admission.decisions import decide
from sloeswitch.admission.limits import OVERCOMMIT_FRACTION, AdmissionLimits
from sloeswitch.core.claim_planner import placement_shape
from sloeswitch.core.quota import ResourceUsage, within_guarantee
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings, Team

# The minimum weight of a team in the round robin, as a fraction of an even share. A team without any guarantee has it.
MIN_WEIGHT = 0.1


@dataclass(frozen=True)
class RowChange:
    """A row to change, or to split into two children, and the rows to write for it in one transaction."""

    path: str
    rows: Mapping[str, AdmissionRow]


class Epoch:
    """One computation of the cuts; it collects admissions and what they take."""

    def __init__(
        self,
        tables: Tables,
        settings: Settings,
        limits: AdmissionLimits,
        idle: Iterable[IdleCapacity],
        wall_clock_ms: int,
    ) -> None:
        self.tables = tables
        self.settings = settings
        self.limits = limits
        self.wall_clock_ms = wall_clock_ms
        self.decisions = decide(tables)
        self.backlog = Backlog(tables, self.decisions)
        admitted = [tables.jobs[name] for name, decision in self.decisions.items() if decision.admitted]
        usable_idle = [entry for entry in idle if entry.age_s >= limits.min_idle_s]
        self.capacity = Capacity(tables, settings, admitted, usable_idle, wall_clock_ms, OVERCOMMIT_FRACTION)
        self.team_usage = admitted_usage(admitted, self.decisions)
        self.deficits = self._stored_deficits()
        self.admission_count = 0
        # Task shapes that did not fit the free capacity. Free capacity only shrinks during an epoch, so that jobs of
        # such a shape need no second check.
        self.unplaceable_shapes: set[tuple[object, ...]] = set()

    def changes(self, value_bytes: int) -> list[RowChange]:
        """Returns the changes to store: none for rows without a raised cut. Splits rows that grow too large."""
        rows = self.tables.admission_rows
        if not rows:
            return [RowChange(ROOT_PATH, {ROOT_PATH: AdmissionRow().raised(self._leading_cut(), {}, {})})]
        self._admit_guaranteed()
        self._admit_round_robin()
        self._admit_starved_heads()
        raised_cuts: dict[str, dict[Lane, LaneCut]] = {}
        for queue in self.backlog.raised_lanes():
            path = row_path(rows, queue.lane)
            if path is not None:
                raised_cuts.setdefault(path, {})[queue.lane] = queue.cut
        changes: list[RowChange] = []
        for path, row in leaf_rows(rows).items():
            change = self._row_change(path, row, raised_cuts.get(path, {}), value_bytes)
            if change is not None:
                changes.append(change)
        return changes

    def _row_change(
        self, path: str, row: AdmissionRow, lanes: Mapping[Lane, LaneCut], value_bytes: int
    ) -> RowChange | None:
        """Returns the change of a row; None if neither the cuts of its lanes nor its common cut are to be raised."""
        common = row.common
        no_overload = not self.backlog and not self.capacity.overloaded
        if no_overload and common.ticket.submitted_ms - self.wall_clock_ms < 1000 * self.limits.lead_s:
            common = self._leading_cut()
        if not lanes and common == row.common:
            return None
        deficits = {
            team: amount
            for team, amount in self.deficits.items()
            if row_path(self.tables.admission_rows, deficit_lane(team)) == path
        }
        after = row.raised(common, lanes, deficits)
        if after.size_bytes <= value_bytes:
            return RowChange(path, {path: after})
        split_row, children = row.children(path)
        return RowChange(path, {path: split_row, **children})

    def _leading_cut(self) -> LaneCut:
        """Returns the common cut for times without overload: two leads ahead of the clock.

        New jobs are then admitted at once, and the row is written only about once per lead.
        """
        return LaneCut(Ticket(self.wall_clock_ms + int(2000 * self.limits.lead_s), ""), self.wall_clock_ms)

    def _stored_deficits(self) -> dict[str, float]:
        deficits: dict[str, float] = {}
        for team in self.settings.teams:
            path = row_path(self.tables.admission_rows, deficit_lane(team))
            if path is not None:
                deficits[team] = self.tables.admission_rows[path].deficits.get(team, 0.0)
        return deficits

    # -- step 1: guarantees

    def _admit_guaranteed(self) -> None:
        """Admits heads of lanes while they and the admitted unfinished work of their team fit the team's guarantee."""
        for team in self.backlog.teams:
            guarantee = self.settings.teams.get(team)
            if guarantee is None:
                continue
            for queue in self.backlog.lanes_of_team(team):
                while (
                    queue.head is not None
                    and self._below_admission_limit
                    and self._fits_guarantee(queue.head, guarantee)
                ):
                    self._admit(queue, 0, self.backlog.bundle(queue.head))

    def _fits_guarantee(self, job: Job, team: Team) -> bool:
        if job.incoming_handoff is not None:
            return False
        usage = self.team_usage.get(team.name, ResourceUsage())
        more = self.backlog.bundle(job).usage_of(team.name)
        return within_guarantee(team, usage.cores + more.cores, usage.gpus + more.gpus)

    def _admit(self, queue: LaneQueue, index: int, bundle: JobBundle) -> None:
        """Raises a lane's cut to the job at an index; counts its bundle against the capacity and the guarantees."""
        bundle.take(self.capacity, self.settings, self.wall_clock_ms)
        for job in bundle.released:
            if job.incoming_handoff is None:
                self.team_usage.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
        queue.admit_through(index, self.wall_clock_ms)
        self.admission_count += 1

    @property
    def _below_admission_limit(self) -> bool:
        return self.admission_count < self.limits.max_admissions

    # -- step 2: deficit round robin

    def _admit_round_robin(self) -> None:
        """Admits jobs by deficit round robin between the teams until no waiting job fits the free capacity.

        While no team's deficit covers its next job, the rounds until one does are added in one step: a job of
        thousands of tasks would need many rounds.
        """
        weights = self._weights()
        candidates = {team: self._next_fitting(team) for team in self.backlog.teams}
        while True:
            fitting = {team: each for team, each in candidates.items() if each is not None}
            if not fitting or not self._below_admission_limit:
                return
            affordable = [
                team for team, (_, _, bundle) in fitting.items() if self.deficits.get(team, 0.0) >= bundle.cost
            ]
            if not affordable:
                self._add_rounds(fitting, weights)
                continue
            team = affordable[0]
            queue, index, bundle = fitting[team]
            self.deficits[team] = self.deficits.get(team, 0.0) - bundle.cost
            self._admit(queue, index, bundle)
            # Free capacity only shrinks: jobs that fitted are checked again, those that did not need no check.
            candidates = {
                other: each if other != team and each is not None and each[2].fits(self.capacity) else None
                for other, each in candidates.items()
            }
            candidates |= {other: self._next_fitting(other) for other in fitting if candidates[other] is None}

    def _add_rounds(
        self, fitting: Mapping[str, tuple[LaneQueue, int, JobBundle]], weights: Mapping[str, float]
    ) -> None:
        """Adds as many rounds of quanta as it takes until one team's deficit covers its next job."""
        rounds = min(
            max(1, math.ceil((bundle.cost - self.deficits.get(team, 0.0)) / self._round_quantum(team, weights)))
            for team, (_, _, bundle) in fitting.items()
        )
        for team in fitting:
            self.deficits[team] = self.deficits.get(team, 0.0) + rounds * self._round_quantum(team, weights)

    def _round_quantum(self, team: str, weights: Mapping[str, float]) -> float:
        """Returns the cores that one round adds to a team's deficit.

        This is a sixteenth of the cores of all machines, but at least one core, times the team's weight.
        """
        return max(1.0, self.capacity.total_cores / 16) * weights[team]

    def _weights(self) -> dict[str, float]:
        """Returns the weight of each team: its share of all guarantees, of cores or GPUs, whichever is larger."""
        teams = self.settings.teams.values()
        cores = sum(team.cpus for team in teams) or 1.0
        gpus = sum(team.gpus for team in teams) or 1.0
        min_weight = MIN_WEIGHT / max(1, len(self.settings.teams))
        weights = {team.name: max(min_weight, team.cpus / cores, team.gpus / gpus) for team in teams}
        return {team: weights.get(team, min_weight) for team in {*weights, *self.backlog.teams}}

    def _next_fitting(self, team: str) -> tuple[LaneQueue, int, JobBundle] | None:
        """Returns the team's next job that fits the free capacity, with its lane and index; None if no job fits.

        Jobs before it in its lane do not fit and are skipped. They are admitted with it, since the cut passes them.
        """
        if not self.capacity.has_free_capacity:
            return None
        for queue in self.backlog.lanes_of_team(team):
            while queue.scanned < len(queue.waiting):
                job = queue.waiting[queue.scanned][1]
                shape = (
                    None
                    if job.unfinished_prerequisites
                    else (job.spec.team, job.spec.gang and job.spec.tasks, placement_shape(job.spec))
                )
                if shape not in self.unplaceable_shapes:
                    bundle = self.backlog.bundle(job)
                    if bundle.fits(self.capacity):
                        return queue, queue.scanned, bundle
                    if shape is not None:
                        self.unplaceable_shapes.add(shape)
                queue.scanned += 1
        return None

    # -- step 3: starvation

    def _admit_starved_heads(self) -> None:
        """Admits the head of each lane that was not raised within the starvation timeout, even if it does not fit."""
        for queue in self.backlog.lanes.values():
            if queue.head is None or queue.is_raised:
                continue
            if self.wall_clock_ms - queue.head_since_ms() >= 1000 * self.limits.starvation_timeout_s:
                self._admit(queue, 0, self.backlog.bundle(queue.head))


def compute_changes(
    tables: Tables,
    settings: Settings,
    limits: AdmissionLimits,
    idle: Iterable[IdleCapacity],
    wall_clock_ms: int,
    value_bytes: int,
) -> list[RowChange]:
    """Computes the changes of one epoch."""
    return Epoch(tables, settings, limits, idle, wall_clock_ms).changes(value_bytes)


def select_changes(
    changes: Iterable[RowChange], written_at: Mapping[str, float], max_row_writes: int, txn_ops: int
) -> list[RowChange]:
    """Selects the changes for one transaction, those of the least recently written rows first.

    A split may exceed `max_row_writes`, the epoch's share of the write rate, up to the operations of a transaction: it
    happens only once for a row and should not be delayed.
    """
    selected: list[RowChange] = []
    count = 0
    for change in sorted(changes, key=lambda change: (written_at.get(change.path, float("-inf")), change.path)):
        max_rows = txn_ops if len(change.rows) > 1 else max_row_writes
        if count + len(change.rows) <= max(max_rows, 1) or not selected:
            selected.append(change)
            count += len(change.rows)
    return selected
