"""The deferred jobs by lane, and the resources that admitting one of them takes.

A lane queues the jobs of one team, class and priority in ticket (submission) order; its cut is the highest admitted
ticket. Admitting a job raises the cut to the job's ticket.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from sloeswitch.admission.capacity import SPREAD_ADMITTED, Capacity
from sloeswitch.admission.cuts import AdmissionRow, Lane, LaneCut, Ticket, row_of
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

    head: Job
    released: tuple[Job, ...]

    @property
    def cost(self) -> float:
        """The deficit that admitting the bundle takes: the cores of all its remaining tasks."""
        return sum(job.remaining_tasks * job.spec.cores for job in self.released)

    def use_of(self, team: str) -> ResourceUsage:
        """Returns what the bundle uses of a team's guarantee."""
        use = ResourceUsage()
        for job in self.released:
            if job.spec.team == team:
                use.add(job.spec, job.remaining_tasks)
        return use

    def fits(self, capacity: Capacity) -> bool:
        """Tells whether each released job can start at least one task on what is left; a gang needs all its tasks."""
        for job in self.released:
            least = job.spec.tasks if job.spec.gang else 1
            if capacity.tasks_that_fit(job.spec, least) < least:
                return False
        return True

    def take(self, capacity: Capacity, settings: Settings, wall_clock_ms: int) -> None:
        """Takes the capacity of the tasks that should run concurrently."""
        for job in self.released:
            capacity.take(job.spec, scaling.parallel_or_gang_tasks(job, settings, wall_clock_ms, SPREAD_ADMITTED))


@dataclass
class LaneQueue:
    """A lane's deferred jobs in ticket order, and its cut, which admissions of this epoch raise."""

    lane: Lane
    cut: LaneCut
    waiting: list[tuple[Ticket, Job]] = field(default_factory=list)
    risen: bool = False
    # The jobs before this index do not fit the free capacity of this epoch.
    looked: int = 0

    @property
    def head(self) -> Job | None:
        """The job with the lowest ticket."""
        return self.waiting[0][1] if self.waiting else None

    def since_ms(self) -> int:
        """Returns since when the head has been the first job of its lane, in Unix milliseconds."""
        return max(self.waiting[0][0].submitted_ms, self.cut.risen_ms)

    def raise_to(self, place: int, wall_clock_ms: int) -> None:
        """Admits the job at this index and those before it."""
        self.cut = LaneCut(self.waiting[place][0], wall_clock_ms)
        del self.waiting[: place + 1]
        self.looked, self.risen = 0, True


class Backlog:
    """All deferred jobs, by lane."""

    def __init__(self, tables: Tables, decisions: Mapping[str, Decision]) -> None:
        self.tables = tables
        self.decisions = decisions
        self.lanes: dict[Lane, LaneQueue] = {}
        rows: Mapping[str, AdmissionRow] = tables.admission_rows
        for name, decision in decisions.items():
            job = tables.jobs[name]
            if decision.admitted or not _may_enter(job):
                continue
            lane = lane_of(job.spec)
            queue = self.lanes.get(lane)
            if queue is None:
                path = row_of(rows, lane)
                if path is None:
                    continue
                queue = self.lanes[lane] = LaneQueue(lane, rows[path].of(lane))
            queue.waiting.append((ticket_of(job), job))
        self._of_team: dict[str, list[LaneQueue]] = {}
        for queue in self.lanes.values():
            queue.waiting.sort(key=_ticket)
            self._of_team.setdefault(queue.lane.team, []).append(queue)

    def __bool__(self) -> bool:
        return any(queue.waiting for queue in self.lanes.values())

    @property
    def teams(self) -> list[str]:
        """Teams with deferred jobs."""
        return sorted({lane.team for lane, queue in self.lanes.items() if queue.waiting})

    def of_team(self, team: str) -> list[LaneQueue]:
        """Returns a team's lanes with deferred jobs, ordered by priority, then by the ticket of the head."""
        found = [queue for queue in self._of_team.get(team, ()) if queue.waiting]
        return sorted(found, key=lambda queue: (PRIORITY_RANKS[queue.lane.priority], queue.waiting[0][0], queue.lane))

    def bundle(self, job: Job) -> JobBundle:
        """Returns the job with its deferred prerequisites, direct and indirect."""
        needed = (each for each in ancestors(job, self.tables) if not self.decisions[each.spec.id].admitted)
        released = [each for each in (job, *(needed if job.unfinished_prerequisites else ())) if each.is_runnable]
        return JobBundle(job, tuple(released))

    def risen(self) -> Iterator[LaneQueue]:
        """Returns the lanes whose cuts this epoch raised."""
        return (queue for queue in self.lanes.values() if queue.risen)


def _ticket(entry: tuple[Ticket, Job]) -> Ticket:
    return entry[0]


def _may_enter(job: Job) -> bool:
    """Tells whether the job still has to run here: live, not cancelled, and not handed to another cell."""
    return (
        job.status == JobState.LIVE and not job.is_cancelled and bool(job.is_runnable or job.unfinished_prerequisites)
    )


def admitted_use(jobs: Iterable[Job], decisions: Mapping[str, Decision]) -> dict[str, ResourceUsage]:
    """Returns what each team's admitted jobs use of its guarantee: the remaining tasks of released jobs.

    Jobs that another cell delegated to this one use none of it.
    """
    uses: dict[str, ResourceUsage] = {}
    for job in jobs:
        decision = decisions.get(job.spec.id)
        if decision is not None and decision.admitted and job.is_runnable and job.delegated is None:
            uses.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
    return uses
