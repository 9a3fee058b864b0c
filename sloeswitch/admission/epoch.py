"""The next cuts: a pure function of the stored rows, the time of day and the idle capacity that owners reported."""

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

# What a team without any guarantee counts in the round robin, as a part of an even share.
LEAST_WEIGHT = 0.1


@dataclass(frozen=True)
class RowChange:
    """One change of a row, or its split: the rows to be written on condition that the first is as it was read."""

    path: str
    rows: Mapping[str, AdmissionRow]


class Epoch:
    """One computation of the cuts."""

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
        # What found no room in this epoch: nothing alike does. Room only becomes less.
        self.no_room: set[tuple[object, ...]] = set()

    def changes(self, value_bytes: int) -> list[RowChange]:
        """What is to be stored: nothing where no cut rises. Rows that would pass the value limit are split."""
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
        """The common cut while nothing is deferred: ahead of the clock, so that nothing will be for a while."""
        return LaneCut(Ticket(self.wall_clock_ms + int(2000 * self.limits.lead_s), ""), self.wall_clock_ms)

    def _stored_deficits(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for team in self.settings.teams:
            path = row_of(self.tables.admission_rows, team_lane(team))
            if path is not None:
                found[team] = self.tables.admission_rows[path].deficits.get(team, 0.0)
        return found

    # -- guarantees

    def _admit_guaranteed(self) -> None:
        """Heads that fit their team's guarantee, beside its admitted unfinished work: that is promised."""
        for team in self.backlog.teams:
            promised = self.settings.teams.get(team)
            if promised is None:
                continue
            for queue in self.backlog.of_team(team):
                while queue.head is not None and self._may_go_on and self._guaranteed(queue.head, promised):
                    self._admit(queue, 0, self.backlog.bundle(queue.head))

    def _guaranteed(self, job: Job, team: Team) -> bool:
        if job.incoming_handoff is not None:
            return False
        use = self.uses.get(team.name, ResourceUsage())
        more = self.backlog.bundle(job).use_of(team.name)
        return within_guarantee(team, use.cores + more.cores, use.gpus + more.gpus)

    def _admit(self, queue: LaneQueue, place: int, bundle: JobBundle) -> None:
        """Raises a lane up to a job, and takes the room of what enters the line with it."""
        bundle.take(self.capacity, self.settings, self.wall_clock_ms)
        for job in bundle.released:
            if job.incoming_handoff is None:
                self.uses.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
        queue.raise_to(place, self.wall_clock_ms)
        self.admissions += 1

    @property
    def _may_go_on(self) -> bool:
        return self.admissions < self.limits.max_admissions

    # -- the budget

    def _spend_budget(self) -> None:
        """Deficit round robin over the teams, for as long as something that is left fits a waiting job.

        Rounds in which nobody could pay are granted at once: a job of thousands of tasks waits for many of them.
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
            # Room only becomes less: what fitted may not fit any more, and what did not still does not.
            found = {
                other: each if other != team and each is not None and each[2].fits(self.capacity) else None
                for other, each in found.items()
            }
            found |= {other: self._next_fitting(other) for other in fitting if found[other] is None}

    def _grant(self, fitting: Mapping[str, tuple[LaneQueue, int, JobBundle]], weights: Mapping[str, float]) -> None:
        """As many rounds as it takes until one team can pay."""
        rounds = min(
            max(1, math.ceil((bundle.cost - self.deficits.get(team, 0.0)) / self._quantum(team, weights)))
            for team, (_, _, bundle) in fitting.items()
        )
        for team in fitting:
            self.deficits[team] = self.deficits.get(team, 0.0) + rounds * self._quantum(team, weights)

    def _quantum(self, team: str, weights: Mapping[str, float]) -> float:
        return max(1.0, self.capacity.cores / 16) * weights[team]

    def _weights(self) -> dict[str, float]:
        """Each team's share of all guarantees."""
        teams = self.settings.teams.values()
        cores = sum(team.cpus for team in teams) or 1.0
        gpus = sum(team.gpus for team in teams) or 1.0
        least = LEAST_WEIGHT / max(1, len(self.settings.teams))
        weights = {team.name: max(least, team.cpus / cores, team.gpus / gpus) for team in teams}
        return {team: weights.get(team, least) for team in {*weights, *self.backlog.teams}}

    def _next_fitting(self, team: str) -> tuple[LaneQueue, int, JobBundle] | None:
        """The team's next job that could use what is left. Those before it in its lane cannot, and are passed over."""
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

    # -- patience

    def _admit_patient(self) -> None:
        """One job of each lane that has not risen for long, whatever the room: no lane waits for ever."""
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
    """The changes of one epoch."""
    return Epoch(tables, settings, limits, idle, wall_clock_ms).changes(value_bytes)


def chosen_changes(
    changes: Iterable[RowChange], written_at: Mapping[str, float], max_changes: int, txn_ops: int
) -> list[RowChange]:
    """What one transaction takes: the rows that were written longest ago first.

    A split comes once and may exceed the share of the state service's changes, so that it is over soon.
    """
    found: list[RowChange] = []
    count = 0
    for change in sorted(changes, key=lambda change: (written_at.get(change.path, float("-inf")), change.path)):
        most = txn_ops if len(change.rows) > 1 else max_changes
        if count + len(change.rows) <= max(most, 1) or not found:
            found.append(change)
            count += len(change.rows)
    return found
