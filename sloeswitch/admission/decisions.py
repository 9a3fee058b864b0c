"""Which jobs are admitted, derived from the tables alone, so that all controllers agree.

A job is admitted if its ticket (place in the order of submission) is at or below the stored cut (admission watermark)
of its lane, which holds the jobs of one team, class and priority. An admitted job also admits its prerequisites. A job
that has begun is admitted without regard to the cut.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from sloeswitch.admission.cuts import FIRST_TICKET, AdmissionRow, Lane, Ticket, row_path
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.wire import JobSpec


class DecisionReason(Enum):
    """The reason why a job is admitted or deferred."""

    CUT = "cut"  # admitted: its ticket is at or below the cut of its lane
    NEEDED = "needed"  # admitted as a prerequisite of an admitted job
    BEGUN = "begun"  # admitted above the cut, because its work has begun
    DEFERRED = "deferred"


class Decision(NamedTuple):
    """The decision on one job, and the row that it depends on.

    A tuple, which is cheap to create, since there is one for each unfinished job.
    """

    reason: DecisionReason
    # The path and version of the row; None and 0 while the row has not been read.
    row: str | None = None
    number: int = 0
    # The job whose lane's cut decided: this job, or one that has it as a prerequisite.
    decided_by: str = ""

    @property
    def admitted(self) -> bool:
        """Whether the job may enter the queue."""
        return self.reason is not DecisionReason.DEFERRED


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
        self._cache: dict[tuple[str, str, str], tuple[str | None, int, Ticket]] = {}

    def lookup_lane(self, lane: Lane) -> tuple[str | None, int, Ticket]:
        """Returns the path and version of a lane's row, and its cut.

        None, 0 and the first ticket while the row has not been read.
        """
        path = row_path(self.rows, lane)
        if path is None:
            return None, 0, FIRST_TICKET
        return path, self.rows[path].number, self.rows[path].cut_of(lane).ticket

    def lookup_lane_of(self, spec: JobSpec) -> tuple[str | None, int, Ticket]:
        """As `lookup_lane`, for the lane of a job, from a cache."""
        key = (spec.team, spec.job_class, spec.priority)
        entry = self._cache.get(key)
        if entry is None:
            entry = self._cache[key] = self.lookup_lane(lane_of(spec))
        return entry

    def decide(self, job: Job) -> Decision:
        """Decides on a job by the cut of its lane and by whether its work has begun."""
        path, number, cut = self.lookup_lane_of(job.spec)
        if path is not None and (job.submitted_ms, job.spec.id) <= cut:
            reason = DecisionReason.CUT
        elif job.progress_revision:
            # The job began under a cut that this controller has not read yet, or before the feature was enabled.
            # Deferring it now would stall it.
            reason = DecisionReason.BEGUN
        else:
            reason = DecisionReason.DEFERRED
        return Decision(reason, path, number, job.spec.id)


def ancestors(job: Job, tables: Tables) -> Iterable[Job]:
    """Yields the unfinished prerequisites of a job, direct and indirect."""
    seen: set[str] = set()
    stack = list(job.spec.prerequisites)
    while stack:
        name = stack.pop()
        prerequisite = tables.jobs.get(name)
        if name in seen or prerequisite is None:
            continue
        seen.add(name)
        yield prerequisite
        stack += prerequisite.spec.prerequisites


def decide(tables: Tables, names: Iterable[str] | None = None) -> dict[str, Decision]:
    """Returns the decisions on all unfinished jobs; with `names`, on these and prerequisites of the admitted ones."""
    reader = CutReader(tables.admission_rows)
    decisions: dict[str, Decision] = {}
    waiting: list[Job] = []
    for name in tables.jobs if names is None else names:
        job = tables.jobs.get(name)
        if job is None:
            continue
        decisions[name] = decision = reader.decide(job)
        if job.unfinished_prerequisites and not job.is_cancelled and decision.admitted:
            waiting.append(job)
    for job in waiting:
        cause = decisions[job.spec.id]
        for prerequisite in ancestors(job, tables):
            name = prerequisite.spec.id
            if name not in decisions:
                decisions[name] = reader.decide(prerequisite)
            if not decisions[name].admitted:
                decisions[name] = Decision(DecisionReason.NEEDED, cause.row, cause.number, cause.decided_by)
    return decisions
