"""Selects the jobs to move and the cell for each.

A job moves if it would miss its next service level target in this cell and meet it in the other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from sloeswitch.cells.summary import Resources, Summary, task_resources
from sloeswitch.core.records import Job
from sloeswitch.core.slo_targets import next_target
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import JobSpec


@dataclass(frozen=True)
class MoveLimits:
    """Limits on moving jobs."""

    # A job moves if it would miss its target in this cell and meet it in the other, both by at least this margin.
    margin_s: float
    # The time until the target has stored the job: the offer, its answer, and up to one interval of the request loop.
    transfer_s: float
    # The number of jobs that may be moved to one peer at a time: offered there and not yet ended.
    max_in_flight: int


def move_limits(settings: Settings, max_in_flight: int) -> MoveLimits:
    """Derives the limits from a cell's settings."""
    return MoveLimits(settings.lease_s, settings.controller_lease_s + settings.report_s, max_in_flight)


@dataclass(frozen=True)
class Candidate:
    """A queued job that may move, and its expected completion in this cell."""

    spec: JobSpec
    # Seconds until its next target; None if it has no target that can still be met.
    until_target_s: float | None
    # Seconds until all its tasks would be done in this cell.
    local_completion_s: float


@dataclass(frozen=True)
class Move:
    """A job to offer, and the cell to offer it to."""

    job: str
    cell: str


def find_candidates(
    queue: Iterable[Job], movable: set[str], tables: Tables, settings: Settings, wall_clock_ms: int
) -> list[Candidate]:
    """The movable jobs in queue order; the expected completion of each includes the work queued before it."""
    cores = sum(
        tables.machine_types[row.type].cores for row in tables.machines.values() if row.type in tables.machine_types
    )
    recovered = tables.recovery_complete()
    free = cores - _claimed_cores(tables)
    ahead_core_s = 0.0
    candidates: list[Candidate] = []
    seen: set[str] = set()
    for job in queue:
        spec = job.spec
        if spec.id in seen:
            continue  # a job may be in the queue twice
        seen.add(spec.id)
        waiting_cores = tables.unclaimed_tasks(job, recovered).bit_count() * spec.cores
        work_core_s = waiting_cores * spec.estimate_s
        wait_s = 0.0
        if free < waiting_cores:
            wait_s = (ahead_core_s + work_core_s) / cores if cores > 0 else math.inf
        free -= waiting_cores
        ahead_core_s += work_core_s
        if spec.id in movable:
            age_s = (wall_clock_ms - job.submitted_ms) / 1000
            _, start_by_s = next_target(job, settings.objectives, age_s)
            until_target_s = None if start_by_s is None else start_by_s + spec.estimate_s - age_s
            candidates.append(Candidate(spec, until_target_s, wait_s + spec.estimate_s))
    return candidates


def _claimed_cores(tables: Tables) -> float:
    return sum(
        (job.progress.claimed_tasks() & ~job.progress.done).bit_count() * job.spec.cores for job in tables.jobs.values()
    )


def is_zone_independent(spec: JobSpec) -> bool:
    """Whether the job is not bound to a zone: zone names are not shared between cells."""
    return spec.zone is None


def peer_completion_s(spec: JobSpec, peer: Summary, free: Resources, limits: MoveLimits) -> float | None:
    """Seconds until all tasks of the job would be done in another cell; None if it cannot start there now."""
    task = task_resources(spec)
    pools = [pool for pool in peer.pools if pool.can_run(spec)]
    if not pools or peer.saturated:
        return None
    team = peer.free_for_team(spec.team)
    machines = sum(pool.machines * task.max_copies_in(pool.size) for pool in pools)
    at_once = min(spec.tasks, machines, task.max_copies_in(free), task.max_copies_in(team))
    if at_once < (spec.tasks if spec.gang else 1):
        return None
    fetch_gb_s = min(pool.fetch_gb_s for pool in pools)
    fetch_s = spec.image_gb / fetch_gb_s if fetch_gb_s > 0 else 0.0
    return limits.transfer_s + fetch_s + math.ceil(spec.tasks / at_once) * spec.estimate_s


def choose_moves(
    candidates: Iterable[Candidate], peers: Iterable[Summary], in_flight: dict[str, int], limits: MoveLimits
) -> list[Move]:
    """The moves to make now. Capacity used by one job is subtracted before the next job is considered."""
    remaining = {peer.cell: peer for peer in peers}
    counts = dict(in_flight)
    moves: list[Move] = []
    for candidate in candidates:
        spec = candidate.spec
        if candidate.until_target_s is None or not is_zone_independent(spec):
            continue
        if candidate.local_completion_s <= candidate.until_target_s + limits.margin_s:
            continue
        best = _best_peer(candidate, remaining, counts, limits)
        if best is None:
            continue
        moves.append(Move(spec.id, best))
        counts[best] = counts.get(best, 0) + 1
        remaining[best] = _subtract_job(remaining[best], spec)
    return moves


def _best_peer(
    candidate: Candidate, remaining: dict[str, Summary], counts: dict[str, int], limits: MoveLimits
) -> str | None:
    """The cell in which the job would be done first, among those that would meet its target by the margin."""
    best: tuple[float, str] | None = None
    for cell, peer in sorted(remaining.items()):
        if counts.get(cell, 0) >= limits.max_in_flight:
            continue
        done_s = peer_completion_s(candidate.spec, peer, peer.free, limits)
        assert candidate.until_target_s is not None
        if done_s is None or done_s + limits.margin_s > candidate.until_target_s:
            continue
        if best is None or (done_s, cell) < best:
            best = (done_s, cell)
    return None if best is None else best[1]


def _subtract_job(peer: Summary, spec: JobSpec) -> Summary:
    """Returns the summary with the job's resources subtracted from its free capacity."""
    task = task_resources(spec)
    count = min(spec.tasks, task.max_copies_in(peer.free))
    free = peer.free.plus(task, -count)
    teams = tuple(
        (name, cores - count * spec.cores, gpus - count * spec.gpus) if name == spec.team else (name, cores, gpus)
        for name, cores, gpus in peer.team_room
    )
    return replace(peer, free=free, team_room=teams)
