"""Summaries of a cell's free capacity and backlog, computed from its tables alone.

All controllers of a cell compute the same summary from the same tables, so that a peer may ask any of them.

The fields of `Resources`, `MachinePool` and `Summary` are encoded under their own names in frames between cells
(`frames.py`): renaming a field changes the wire format.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from sloeswitch.core.quota import ROUNDING_TOLERANCE
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec, MachineType


@dataclass(frozen=True)
class Resources:
    """Amounts of the resources that tasks use."""

    cores: float = 0.0
    gpus: float = 0.0
    memory: float = 0.0

    def plus(self, other: Resources, factor: float = 1.0) -> Resources:
        """Returns the sum of this and `factor` times the other."""
        return Resources(
            self.cores + factor * other.cores, self.gpus + factor * other.gpus, self.memory + factor * other.memory
        )

    def max_copies_in(self, capacity: Resources) -> int:
        """How many times this fits into `capacity`; 0 if this uses no finite resource."""
        pairs = ((self.cores, capacity.cores), (self.gpus, capacity.gpus), (self.memory, capacity.memory))
        counts = [
            int((available + ROUNDING_TOLERANCE) // amount)
            for amount, available in pairs
            if amount > 0 and math.isfinite(available)
        ]
        return max(0, min(counts, default=0))


def task_resources(spec: JobSpec) -> Resources:
    """The resources that one task of a job uses."""
    return Resources(spec.cores, spec.gpus, spec.memory)


@dataclass(frozen=True)
class MachinePool:
    """The machines of a cell of one type, either all spot or all on-demand."""

    type: str
    spot: bool
    size: Resources
    fetch_gb_s: float
    machines: int

    def can_run(self, spec: JobSpec) -> bool:
        """Whether a task of the job may run on a machine of this pool and fits on it."""
        allowed = spec.types is None or self.type in spec.types
        return allowed and (spec.spot or not self.spot) and task_resources(spec).max_copies_in(self.size) >= 1


@dataclass(frozen=True)
class Summary:
    """A cell's free capacity and backlog at one revision of its tables."""

    cell: str
    incarnation: int
    # The revision of the tables from which the summary was computed.
    sequence: int
    pools: tuple[MachinePool, ...] = ()
    # The capacity left after all claimed and all waiting tasks of the cell.
    free: Resources = field(default_factory=Resources)
    # The time for which the waiting tasks would use all cores, in seconds.
    backlog_s: float = 0.0
    # By team: the cores and accelerators left under its limit after its claimed and waiting tasks.
    team_room: tuple[tuple[str, float, float], ...] = ()
    # Handoffs of the requesting cell in a final state that it has not acknowledged: job and number.
    ended: tuple[tuple[str, int], ...] = ()

    @property
    def saturated(self) -> bool:
        """Whether tasks of the cell wait for free capacity."""
        return self.backlog_s > 0

    def free_for_team(self, team: str) -> Resources:
        """What the team may still use in the cell; nothing if the cell does not know the team."""
        for name, cores, gpus in self.team_room:
            if name == team:
                return Resources(cores, gpus, math.inf)
        return Resources()


def summarise(tables: Tables, settings: Settings, cell: str, incarnation: int, sequence: int) -> Summary:
    """Computes the summary of a cell from its tables."""
    pools = _machine_pools(tables)
    total = Resources()
    for pool in pools:
        total = total.plus(pool.size, pool.machines)
    used, wanted = Resources(), Resources()
    wanted_core_s = 0.0
    teams = {name: [team.cpus_max, team.gpus_max] for name, team in settings.teams.items()}
    recovered = tables.recovery_complete()
    for job in tables.jobs.values():
        if not job.is_runnable:
            continue
        spec = job.spec
        claimed = (job.progress.claimed_tasks() & ~job.progress.done).bit_count()
        waiting = tables.unclaimed_tasks(job, recovered).bit_count()
        used = used.plus(task_resources(spec), claimed)
        wanted = wanted.plus(task_resources(spec), waiting)
        wanted_core_s += waiting * spec.cores * spec.estimate_s
        if spec.team in teams:
            teams[spec.team][0] -= (claimed + waiting) * spec.cores
            teams[spec.team][1] -= (claimed + waiting) * spec.gpus
    free = _subtract(total, used.plus(wanted))
    # Waiting tasks that fit into the free cores are no backlog.
    has_backlog = wanted.cores > max(0.0, total.cores - used.cores)
    backlog_s = wanted_core_s / total.cores if has_backlog and total.cores > 0 else 0.0
    team_room = tuple((name, max(0.0, cores), max(0.0, gpus)) for name, (cores, gpus) in sorted(teams.items()))
    return Summary(cell, incarnation, sequence, pools, free, backlog_s, team_room)


def _subtract(total: Resources, taken: Resources) -> Resources:
    left = total.plus(taken, -1.0)
    return Resources(max(0.0, left.cores), max(0.0, left.gpus), max(0.0, left.memory))


def _machine_pools(tables: Tables) -> tuple[MachinePool, ...]:
    counts: dict[tuple[str, bool], int] = {}
    for row in tables.machines.values():
        if row.type in tables.machine_types:
            counts[row.type, row.spot] = counts.get((row.type, row.spot), 0) + 1
    return tuple(
        _machine_pool(tables.machine_types[type_name], spot, count)
        for (type_name, spot), count in sorted(counts.items())
    )


def _machine_pool(machine_type: MachineType, spot: bool, count: int) -> MachinePool:
    return MachinePool(
        machine_type.name,
        spot,
        Resources(machine_type.cores, machine_type.gpus, machine_type.memory),
        machine_type.fetch_gb_s,
        count,
    )


@dataclass
class SummaryCache:
    """The latest summary of each peer."""

    max_age_s: float
    _summaries: dict[str, tuple[float, Summary]] = field(default_factory=dict)

    def add(self, summary: Summary, requested_at: float) -> bool:
        """Stores a summary that was requested at `requested_at`; returns False if a newer one is already stored.

        Guards against delayed answers, and against a cell that was restored from an old copy of its state.
        """
        known = self._summaries.get(summary.cell)
        if known is not None:
            last_at, last = known
            if (summary.incarnation, summary.sequence) < (last.incarnation, last.sequence) or requested_at < last_at:
                return False
        self._summaries[summary.cell] = (requested_at, summary)
        return True

    def current(self, now: float) -> list[Summary]:
        """The summaries that are at most `max_age_s` old, ordered by cell name."""
        return [summary for _, (at, summary) in sorted(self._summaries.items()) if now - at <= self.max_age_s]
