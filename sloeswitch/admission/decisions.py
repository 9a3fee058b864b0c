"""Which jobs are admitted, from the tables alone: a comparison with a stored cut, and what follows along pipelines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from sloeswitch.admission.cuts import AdmissionRow, Lane, Ticket, row_of
from sloeswitch.core.tables import Job, Tables
from sloeswitch.wire import JobSpec


class Ground(Enum):
    """Why a job is admitted, or not."""

    CUT = "cut"
    NEEDED = "needed"
    BEGUN = "begun"
    DEFERRED = "deferred"


@dataclass(frozen=True)
class Decision:
    """One job's decision, and the row that it depends on."""

    ground: Ground
    # The row's path and number; None while the row is not known.
    row: str | None = None
    number: int = 0
    # The job whose cut decided: this one, or one that needs it.
    by: str = ""

    @property
    def admitted(self) -> bool:
        """Whether the job may enter the line."""
        return self.ground is not Ground.DEFERRED


def lane_of(spec: JobSpec) -> Lane:
    """The lane in which a job stands."""
    return Lane(spec.team, spec.klass, spec.priority)


def ticket_of(job: Job) -> Ticket:
    """A job's place in its lane."""
    return Ticket(job.submitted_ms, job.spec.id)


def decide_by_cut(job: Job, rows: Mapping[str, AdmissionRow]) -> Decision:
    """A job's decision by its own lane's cut."""
    lane = lane_of(job.spec)
    path = row_of(rows, lane)
    if path is None:
        return Decision(Ground.DEFERRED, by=job.spec.id)
    row = rows[path]
    ground = Ground.CUT if ticket_of(job) <= row.of(lane).cut else Ground.DEFERRED
    return Decision(ground, path, row.number, job.spec.id)


def ancestors(job: Job, tables: Tables) -> Iterable[Job]:
    """The jobs that this one needs, directly or through others, and that are not over."""
    seen: set[str] = set()
    stack = list(job.spec.awaits)
    while stack:
        name = stack.pop()
        needed = tables.jobs.get(name)
        if name in seen or needed is None:
            continue
        seen.add(name)
        yield needed
        stack += needed.spec.awaits


def decide(tables: Tables, names: Iterable[str] | None = None) -> dict[str, Decision]:
    """The decisions of the jobs that are not over. `names`: only these, and those that they need."""
    rows = tables.admission
    found: dict[str, Decision] = {}
    waiting: list[Job] = []
    for name in tables.jobs if names is None else names:
        job = tables.jobs.get(name)
        if job is None:
            continue
        found[name] = _decide_alone(job, rows)
        if job.waits and not job.cancelled and found[name].admitted:
            waiting.append(job)
    for job in waiting:
        cause = found[job.spec.id]
        for needed in ancestors(job, tables):
            name = needed.spec.id
            if name not in found:
                found[name] = _decide_alone(needed, rows)
            if not found[name].admitted:
                found[name] = Decision(Ground.NEEDED, cause.row, cause.number, cause.by)
    return found


def _decide_alone(job: Job, rows: Mapping[str, AdmissionRow]) -> Decision:
    """A job's decision by its own cut, or since work on it has begun."""
    decision = decide_by_cut(job, rows)
    if not decision.admitted and job.progress_stamp:
        # Begun under a cut that is not read yet here, or before the feature was on: it must not stand still.
        return Decision(Ground.BEGUN, decision.row, decision.number, job.spec.id)
    return decision
