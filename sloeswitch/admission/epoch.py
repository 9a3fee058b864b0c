"""Computes the cuts of the next epoch from the stored rows, the time of day and the reported idle capacity.

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

from sloeswitch.admission.backlog import Backlog, JobBundle, LaneQueue, admitted_use
from sloeswitch.admission.capacity import Capacity, IdleCapacity
from sloeswitch.admission.cuts import (
    ROOT,
    AdmissionRow,
    Lane,
    LaneCut,
    Ticket,
    leaves,
    row_of,
    team_lane,
)
from sloeswitch.admission.decisions import decide
from sloeswitch.admission.limits import SURPLUS, AdmissionLimits
from sloeswitch.core.claim_planner import shape_of
from sloeswitch.core.quota import ResourceUsage, within_guarantee
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings, Team

# The weight of a team without any guarantee in the round robin, as a fraction of an even share.
LEAST_WEIGHT = 0.1


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
        usable_idle = [room for room in idle if room.age_s >= limits.idle_s]
        self.capacity = Capacity(tables, settings, admitted, usable_idle, wall_clock_ms, SURPLUS)
        self.uses = admitted_use(admitted, self.decisions)
        self.deficits = self._stored_deficits()
        self.admissions = 0
        # Task shapes that did not fit the free capacity. It only shrinks during an epoch, so that jobs of such a shape
        # need no second check.
        self.no_room: set[tuple[object, ...]] = set()

    def changes(self, value_bytes: int) -> list[RowChange]:
        """Returns the changes to store: none for rows without a raised cut. Rows above the value limit are split."""
        rows = self.tables.admission_rows
        if not rows:
            return [RowChange(ROOT, {ROOT: AdmissionRow().raised(self._ahead(), {}, {})})]
        self._admit_guaranteed()
        self._spend_budget()
        self._admit_patient()
        risen: dict[str, dict[Lane, LaneCut]] = {}
        for queue in self.backlog.risen():
            path = row_of(rows, queue.lane)
            if path is not None:
                risen.setdefault(path, {})[queue.lane] = queue.cut
        found: list[RowChange] = []
        for path, row in leaves(rows).items():
            change = self._change(path, row, risen.get(path, {}), value_bytes)
            if change is not None:
                found.append(change)
        return found

    def _change(
        self, path: str, row: AdmissionRow, lanes: Mapping[Lane, LaneCut], value_bytes: int
    ) -> RowChange | None:
        common = row.common
        quiet = not self.backlog and not self.capacity.overloaded
        if quiet and common.cut.submitted_ms - self.wall_clock_ms < 1000 * self.limits.lead_s:
            common = self._ahead()
        if not lanes and common == row.common:
            return None
        owed = {
            team: amount
            for team, amount in self.deficits.items()
            if row_of(self.tables.admission_rows, team_lane(team)) == path
        }
        after = row.raised(common, lanes, owed)
        if after.size_bytes <= value_bytes:
            return RowChange(path, {path: after})
        marked, children = row.children(path)
        return RowChange(path, {path: marked, **children})

    def _ahead(self) -> LaneCut:
        """Returns the common cut for times without overload: two leads ahead of the clock.

        New jobs are then admitted at once, and the row is written only about once in a lead.
        """
        return LaneCut(Ticket(self.wall_clock_ms + int(2000 * self.limits.lead_s), ""), self.wall_clock_ms)

    def _stored_deficits(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for team in self.settings.teams:
            path = row_of(self.tables.admission_rows, team_lane(team))
            if path is not None:
                found[team] = self.tables.admission_rows[path].deficits.get(team, 0.0)
        return found

    # -- step 1: guarantees

    def _admit_guaranteed(self) -> None:
        """Admits the heads of lanes that fit their team's guarantee together with its admitted unfinished work."""
        for team in self.backlog.teams:
            promised = self.settings.teams.get(team)
            if promised is None:
                continue
            for queue in self.backlog.of_team(team):
                while queue.head is not None and self._may_go_on and self._guaranteed(queue.head, promised):
                    self._admit(queue, 0, self.backlog.bundle(queue.head))

    def _guaranteed(self, job: Job, team: Team) -> bool:
        if job.delegated is not None:
            return False
        use = self.uses.get(team.name, ResourceUsage())
        more = self.backlog.bundle(job).use_of(team.name)
        return within_guarantee(team, use.cores + more.cores, use.gpus + more.gpus)

    def _admit(self, queue: LaneQueue, place: int, bundle: JobBundle) -> None:
        """Raises a lane's cut to the job at an index, and takes the capacity and guarantee of its bundle."""
        bundle.take(self.capacity, self.settings, self.wall_clock_ms)
        for job in bundle.released:
            if job.delegated is None:
                self.uses.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
        queue.raise_to(place, self.wall_clock_ms)
        self.admissions += 1

    @property
    def _may_go_on(self) -> bool:
        return self.admissions < self.limits.max_admissions

    # -- step 2: deficit round robin

    def _spend_budget(self) -> None:
        """Admits jobs by deficit round robin between the teams until no waiting job fits the free capacity.

        While no team's deficit covers its next job, the rounds until one does are added in one step: a job of
        thousands of tasks would need many rounds.
        """
        weights = self._weights()
        found = {team: self._next_fitting(team) for team in self.backlog.teams}
        while True:
            fitting = {team: each for team, each in found.items() if each is not None}
            if not fitting or not self._may_go_on:
                return
            payable = [team for team, (_, _, bundle) in fitting.items() if self.deficits.get(team, 0.0) >= bundle.cost]
            if not payable:
                self._grant(fitting, weights)
                continue
            team = payable[0]
            queue, place, bundle = fitting[team]
            self.deficits[team] = self.deficits.get(team, 0.0) - bundle.cost
            self._admit(queue, place, bundle)
            # Free capacity only shrinks: jobs that fitted are checked again, those that did not need no check.
            found = {
                other: each if other != team and each is not None and each[2].fits(self.capacity) else None
                for other, each in found.items()
            }
            found |= {other: self._next_fitting(other) for other in fitting if found[other] is None}

    def _grant(self, fitting: Mapping[str, tuple[LaneQueue, int, JobBundle]], weights: Mapping[str, float]) -> None:
        """Adds as many rounds of quanta as it takes until one team's deficit covers its next job."""
        rounds = min(
            max(1, math.ceil((bundle.cost - self.deficits.get(team, 0.0)) / self._quantum(team, weights)))
            for team, (_, _, bundle) in fitting.items()
        )
        for team in fitting:
            self.deficits[team] = self.deficits.get(team, 0.0) + rounds * self._quantum(team, weights)

    def _quantum(self, team: str, weights: Mapping[str, float]) -> float:
        """Returns the cores that one round adds to a team's deficit."""
        return max(1.0, self.capacity.cores / 16) * weights[team]

    def _weights(self) -> dict[str, float]:
        """Returns the weight of each team: its share of all guarantees, of cores or GPUs, whichever is larger."""
        teams = self.settings.teams.values()
        cores = sum(team.cpus for team in teams) or 1.0
        gpus = sum(team.gpus for team in teams) or 1.0
        least = LEAST_WEIGHT / max(1, len(self.settings.teams))
        weights = {team.name: max(least, team.cpus / cores, team.gpus / gpus) for team in teams}
        return {team: weights.get(team, least) for team in {*weights, *self.backlog.teams}}

    def _next_fitting(self, team: str) -> tuple[LaneQueue, int, JobBundle] | None:
        """Returns the team's next job that fits the free capacity, with its lane and index; None if no job fits.

        Jobs before it in its lane do not fit and are skipped. They are admitted with it, since the cut passes them.
        """
        if not self.capacity.any_left:
            return None
        for queue in self.backlog.of_team(team):
            while queue.looked < len(queue.waiting):
                job = queue.waiting[queue.looked][1]
                alike = (
                    None
                    if job.unfinished_prerequisites
                    else (job.spec.team, job.spec.gang and job.spec.tasks, shape_of(job.spec))
                )
                if alike not in self.no_room:
                    bundle = self.backlog.bundle(job)
                    if bundle.fits(self.capacity):
                        return queue, queue.looked, bundle
                    if alike is not None:
                        self.no_room.add(alike)
                queue.looked += 1
        return None

    # -- step 3: starvation

    def _admit_patient(self) -> None:
        """Admits the head of each lane that was not raised within the starvation timeout, even if it does not fit."""
        for queue in self.backlog.lanes.values():
            if queue.head is None or queue.risen:
                continue
            if self.wall_clock_ms - queue.since_ms() >= 1000 * self.limits.patience_s:
                self._admit(queue, 0, self.backlog.bundle(queue.head))


def next_rows(
    tables: Tables,
    settings: Settings,
    limits: AdmissionLimits,
    idle: Iterable[IdleCapacity],
    wall_clock_ms: int,
    value_bytes: int,
) -> list[RowChange]:
    """Computes the changes of one epoch."""
    return Epoch(tables, settings, limits, idle, wall_clock_ms).changes(value_bytes)


def chosen_changes(
    changes: Iterable[RowChange], written_at: Mapping[str, float], max_changes: int, txn_ops: int
) -> list[RowChange]:
    """Selects the changes for one transaction, those of the least recently written rows first.

    A split may exceed `max_changes`, the epoch's share of the write rate, up to the operations of a transaction: it
    happens only once for a row and should not be delayed.
    """
    found: list[RowChange] = []
    count = 0
    for change in sorted(changes, key=lambda change: (written_at.get(change.path, float("-inf")), change.path)):
        most = txn_ops if len(change.rows) > 1 else max_changes
        if count + len(change.rows) <= max(most, 1) or not found:
            found.append(change)
            count += len(change.rows)
    return found
