"""Which jobs are admitted, from the tables alone: a comparison with a stored cut, and what follows along pipelines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from sloeswitch.admission.cuts import FIRST_TICKET, AdmissionRow, Lane, Ticket, row_of
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.wire import JobSpec


class Ground(Enum):
    """Why a job is admitted, or not."""

    CUT = "cut"
    NEEDED = "needed"
    BEGUN = "begun"
    DEFERRED = "deferred"


class Decision(NamedTuple):
    """One job's decision, and the row that it depends on. A tuple, since there is one for each job that is not over."""

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
    return Lane(spec.team, spec.job_class, spec.priority)


def ticket_of(job: Job) -> Ticket:
    """A job's place in its lane."""
    return Ticket(job.submitted_ms, job.spec.id)


class CutReader:
    """Looks decisions up by the rows as they are now; each lane's row and cut once."""

    def __init__(self, rows: Mapping[str, AdmissionRow]) -> None:
        self.rows = rows
        self._lanes: dict[tuple[str, str, str], tuple[str | None, int, Ticket]] = {}

    def cut_of(self, lane: Lane) -> tuple[str | None, int, Ticket]:
        """The path and number of a lane's row, and its cut; None, 0 and the first ticket while that is not known."""
        path = row_of(self.rows, lane)
        if path is None:
            return None, 0, FIRST_TICKET
        return path, self.rows[path].number, self.rows[path].of(lane).cut

    def cut(self, spec: JobSpec) -> tuple[str | None, int, Ticket]:
        """The same for a job's lane."""
        key = (spec.team, spec.job_class, spec.priority)
        found = self._lanes.get(key)
        if found is None:
            found = self._lanes[key] = self.cut_of(lane_of(spec))
        return found

    def decide(self, job: Job) -> Decision:
        """A job's decision by its own cut, or since work on it has begun."""
        path, number, cut = self.cut(job.spec)
        if path is not None and (job.submitted_ms, job.spec.id) <= cut:
            ground = Ground.CUT
        elif job.progress_revision:
            # Begun under a cut that is not read yet here, or before the feature was on: it must not stand still.
            ground = Ground.BEGUN
        else:
            ground = Ground.DEFERRED
        return Decision(ground, path, number, job.spec.id)


def ancestors(job: Job, tables: Tables) -> Iterable[Job]:
    """The jobs that this one needs, directly or through others, and that are not over."""
    seen: set[str] = set()
    stack = list(job.spec.prerequisites)
    while stack:
        name = stack.pop()
        needed = tables.jobs.get(name)
        if name in seen or needed is None:
            continue
        seen.add(name)
        yield needed
        stack += needed.spec.prerequisites


def decide(tables: Tables, names: Iterable[str] | None = None) -> dict[str, Decision]:
    """The decisions of the jobs that are not over. `names`: only these, and those that they need."""
    reader = CutReader(tables.admission_rows)
    found: dict[str, Decision] = {}
    waiting: list[Job] = []
    for name in tables.jobs if names is None else names:
        job = tables.jobs.get(name)
        if job is None:
            continue
        found[name] = decision = reader.decide(job)
        if job.unfinished_prerequisites and not job.is_cancelled and decision.admitted:
            waiting.append(job)
    for job in waiting:
        cause = found[job.spec.id]
        for needed in ancestors(job, tables):
            name = needed.spec.id
            if name not in found:
                found[name] = reader.decide(needed)
            if not found[name].admitted:
                found[name] = Decision(Ground.NEEDED, cause.row, cause.number, cause.by)
    return found
