"""The deferred jobs by lane, and the resources that admitting one of them takes.

A lane queues the jobs of one team, class and priority in ticket (submission) order; its cut is the highest admitted
ticket. Admitting a job raises the cut to the job's ticket.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from sloeswitch.admission.capacity import ADMITTED_SPREAD, Capacity
from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut, Ticket, row_path
from sloeswitch.admission.decisions import Decision, ancestors, lane_of, ticket_of
from sloeswitch.core import scaling
from sloeswitch.core.job_priority import PRIORITY_RANKS
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.records import Job, JobState
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings


@dataclass(frozen=True)
class JobBundle:
    """The jobs that are admitted together: a job and its deferred prerequisites.

    Only released jobs, which wait for no prerequisite, take capacity; the others cost nothing.
    """

    job: Job
    released: tuple[Job, ...]

    @property
    def cost(self) -> float:
        """The deficit that admitting the bundle takes: the cores of all its remaining tasks."""
        return sum(job.remaining_tasks * job.spec.cores for job in self.released)

    def usage_of(self, team: str) -> ResourceUsage:
        """Returns what the bundle uses of a team's guarantee."""
        usage = ResourceUsage()
        for job in self.released:
            if job.spec.team == team:
                usage.add(job.spec, job.remaining_tasks)
        return usage

    def fits(self, capacity: Capacity) -> bool:
        """Tells whether each released job can start at least one task on what is left; a gang needs all its tasks."""
        for job in self.released:
            min_tasks = job.spec.tasks if job.spec.gang else 1
            if capacity.tasks_that_fit(job.spec, min_tasks) < min_tasks:
                return False
        return True

    def take(self, capacity: Capacity, settings: Settings, wall_clock_ms: int) -> None:
        """Takes the capacity of the tasks that should run concurrently."""
        for job in self.released:
            capacity.take(job.spec, scaling.parallel_or_gang_tasks(job, settings, wall_clock_ms, ADMITTED_SPREAD))


@dataclass
class LaneQueue:
    """A lane's deferred jobs in ticket order, and its cut, which admissions of this epoch raise."""

    lane: Lane
    cut: LaneCut
    waiting: list[tuple[Ticket, Job]] = field(default_factory=list)
    is_raised: bool = False
    # The jobs before this index do not fit the free capacity of this epoch.
    scanned: int = 0

    @property
    def head(self) -> Job | None:
        """The job with the lowest ticket."""
        return self.waiting[0][1] if self.waiting else None

    def head_since_ms(self) -> int:
        """Returns since when the head has been the first job of its lane, in Unix milliseconds."""
        return max(self.waiting[0][0].submitted_ms, self.cut.raised_ms)

    def admit_through(self, index: int, wall_clock_ms: int) -> None:
        """Admits the job at this index and those before it."""
        self.cut = LaneCut(self.waiting[index][0], wall_clock_ms)
        del self.waiting[: index + 1]
        self.scanned, self.is_raised = 0, True


class Backlog:
    """All deferred jobs, by lane."""

    def __init__(self, tables: Tables, decisions: Mapping[str, Decision]) -> None:
        self.tables = tables
        self.decisions = decisions
        self.lanes: dict[Lane, LaneQueue] = {}
        rows: Mapping[str, AdmissionRow] = tables.admission_rows
        for name, decision in decisions.items():
            job = tables.jobs[name]
            if decision.admitted or not _is_admissible(job):
                continue
            lane = lane_of(job.spec)
            queue = self.lanes.get(lane)
            if queue is None:
                path = row_path(rows, lane)
                if path is None:
                    continue
                queue = self.lanes[lane] = LaneQueue(lane, rows[path].cut_of(lane))
            queue.waiting.append((ticket_of(job), job))
        self._lanes_by_team: dict[str, list[LaneQueue]] = {}
        for queue in self.lanes.values():
            queue.waiting.sort(key=_entry_ticket)
            self._lanes_by_team.setdefault(queue.lane.team, []).append(queue)

    def __bool__(self) -> bool:
        return any(queue.waiting for queue in self.lanes.values())

    @property
    def teams(self) -> list[str]:
        """Teams with deferred jobs."""
        return sorted({lane.team for lane, queue in self.lanes.items() if queue.waiting})

    def lanes_of_team(self, team: str) -> list[LaneQueue]:
        """Returns a team's lanes with deferred jobs, ordered by priority, then by the ticket of the head."""
        queues = [queue for queue in self._lanes_by_team.get(team, ()) if queue.waiting]
        return sorted(queues, key=lambda queue: (PRIORITY_RANKS[queue.lane.priority], queue.waiting[0][0], queue.lane))

    def bundle(self, job: Job) -> JobBundle:
        """Returns the job with its deferred prerequisites, direct and indirect."""
        prerequisites = (each for each in ancestors(job, self.tables) if not self.decisions[each.spec.id].admitted)
        released = [
            each for each in (job, *(prerequisites if job.unfinished_prerequisites else ())) if each.is_runnable
        ]
        return JobBundle(job, tuple(released))

    def raised_lanes(self) -> Iterator[LaneQueue]:
        """Returns the lanes whose cuts this epoch raised."""
        return (queue for queue in self.lanes.values() if queue.is_raised)


def _entry_ticket(entry: tuple[Ticket, Job]) -> Ticket:
    return entry[0]


def _is_admissible(job: Job) -> bool:
    """Tells whether the job still has to run here: live, not cancelled, and not handed to another cell."""
    return (
        job.status == JobState.LIVE and not job.is_cancelled and bool(job.is_runnable or job.unfinished_prerequisites)
    )


def admitted_usage(jobs: Iterable[Job], decisions: Mapping[str, Decision]) -> dict[str, ResourceUsage]:
    """Returns what each team's admitted jobs use of its guarantee: the remaining tasks of released jobs.

    Jobs that another cell delegated to this one use none of it.
    """
    usages: dict[str, ResourceUsage] = {}
    for job in jobs:
        decision = decisions.get(job.spec.id)
        if decision is not None and decision.admitted and job.is_runnable and job.incoming_handoff is None:
            usages.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
    return usages
