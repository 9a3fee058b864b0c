"""Which jobs are admitted, derived from the tables alone, so that all controllers agree.

A job is admitted if its ticket (place in the order of submission) is at or below the stored cut (admission watermark)
of its lane, which holds the jobs of one team, class and priority. An admitted job also admits its prerequisites. A job
that has begun is admitted without regard to the cut.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from sloeswitch.admission.cuts import FIRST_TICKET, AdmissionRow, Lane, Ticket, row_of
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.wire import JobSpec


class Ground(Enum):
    """The reason why a job is admitted or deferred."""

    CUT = "cut"
    NEEDED = "needed"
    BEGUN = "begun"
    DEFERRED = "deferred"


class Decision(NamedTuple):
    """The decision on one job, and the row that it depends on.

    A tuple, which is cheap to create, since there is one for each unfinished job.
    """

    ground: Ground
    # The path and version of the row; None and 0 while the row has not been read.
    row: str | None = None
    number: int = 0
    # The job whose lane's cut decided: this job, or one that has it as a prerequisite.
    by: str = ""

    @property
    def admitted(self) -> bool:
        """Whether the job may enter the queue."""
        return self.ground is not Ground.DEFERRED


def lane_of(spec: JobSpec) -> Lane:
    """Returns the lane of a job."""
    return Lane(spec.team, spec.job_class, spec.priority)


def ticket_of(job: Job) -> Ticket:
    """Returns a job's ticket, which orders it within its lane."""
    return Ticket(job.submitted_ms, job.spec.id)


class CutReader:
    """Decides on jobs by a fixed set of rows; looks up each lane only once."""

    def __init__(self, rows: Mapping[str, AdmissionRow]) -> None:
        self.rows = rows
        self._lanes: dict[tuple[str, str, str], tuple[str | None, int, Ticket]] = {}

    def cut_of(self, lane: Lane) -> tuple[str | None, int, Ticket]:
        """Returns the path and version of a lane's row, and its cut.

        None, 0 and the first ticket while the row has not been read.
        """
        path = row_of(self.rows, lane)
        if path is None:
            return None, 0, FIRST_TICKET
        return path, self.rows[path].number, self.rows[path].of(lane).cut

    def cut(self, spec: JobSpec) -> tuple[str | None, int, Ticket]:
        """As `cut_of`, for the lane of a job, from a cache."""
        key = (spec.team, spec.job_class, spec.priority)
        found = self._lanes.get(key)
        if found is None:
            found = self._lanes[key] = self.cut_of(lane_of(spec))
        return found

    def decide(self, job: Job) -> Decision:
        """Decides on a job by the cut of its lane, or since its work has begun."""
        path, number, cut = self.cut(job.spec)
        if path is not None and (job.submitted_ms, job.spec.id) <= cut:
            ground = Ground.CUT
        elif job.progress_revision:
            # The job began under a cut that this controller has not read yet, or before the feature was enabled.
            # Deferring it now would stall it.
            ground = Ground.BEGUN
        else:
            ground = Ground.DEFERRED
        return Decision(ground, path, number, job.spec.id)


def ancestors(job: Job, tables: Tables) -> Iterable[Job]:
    """Yields the unfinished prerequisites of a job, direct and indirect."""
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
    """Returns the decisions on all unfinished jobs; with `names`, on these and prerequisites of the admitted ones."""
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
