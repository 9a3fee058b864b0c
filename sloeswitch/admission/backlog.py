"""Deferred jobs by lane, and what admitting one of them takes."""

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
    """The jobs that are admitted together: one, and the deferred ones among the jobs that it needs.

    Only released jobs take capacity; those that wait for others cost nothing.
    """

    head: Job
    released: tuple[Job, ...]

    @property
    def cost(self) -> float:
        """What it costs the round robin: the cores of all remaining tasks."""
        return sum(job.remaining_tasks * job.spec.cores for job in self.released)

    def use_of(self, team: str) -> ResourceUsage:
        """What it uses of a team's guarantee."""
        use = ResourceUsage()
        for job in self.released:
            if job.spec.team == team:
                use.add(job.spec, job.remaining_tasks)
        return use

    def fits(self, capacity: Capacity) -> bool:
        """Whether each of its released jobs could put some of what is left to use: a gang only with all its tasks."""
        for job in self.released:
            least = job.spec.tasks if job.spec.gang else 1
            if capacity.tasks_that_fit(job.spec, least) < least:
                return False
        return True

    def take(self, capacity: Capacity, settings: Settings, wall_clock_ms: int) -> None:
        """Takes what should run at once."""
        for job in self.released:
            capacity.take(job.spec, scaling.parallel_or_gang_tasks(job, settings, wall_clock_ms, SPREAD_ADMITTED))


@dataclass
class LaneQueue:
    """A lane's deferred jobs in the order of their tickets, and its cut as it rises in this epoch."""

    lane: Lane
    cut: LaneCut
    waiting: list[tuple[Ticket, Job]] = field(default_factory=list)
    risen: bool = False
    # Jobs before this place found no room in this epoch.
    looked: int = 0

    @property
    def head(self) -> Job | None:
        """The job with the earliest ticket."""
        return self.waiting[0][1] if self.waiting else None

    def since_ms(self) -> int:
        """Since when the head waits as a head."""
        return max(self.waiting[0][0].submitted_ms, self.cut.risen_ms)

    def raise_to(self, place: int, wall_clock_ms: int) -> None:
        """Admits all up to this place in the queue."""
        self.cut = LaneCut(self.waiting[place][0], wall_clock_ms)
        del self.waiting[: place + 1]
        self.looked, self.risen = 0, True


class Backlog:
    """All deferred jobs."""

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
        """A team's lanes with deferred jobs: by priority, then by the ticket of the head."""
        found = [queue for queue in self._of_team.get(team, ()) if queue.waiting]
        return sorted(found, key=lambda queue: (PRIORITY_RANKS[queue.lane.priority], queue.waiting[0][0], queue.lane))

    def bundle(self, job: Job) -> JobBundle:
        """The job with all deferred ones that it needs."""
        needed = (each for each in ancestors(job, self.tables) if not self.decisions[each.spec.id].admitted)
        released = [each for each in (job, *(needed if job.unfinished_prerequisites else ())) if each.is_runnable]
        return JobBundle(job, tuple(released))

    def risen(self) -> Iterator[LaneQueue]:
        """Lanes whose cuts rose in this epoch."""
        return (queue for queue in self.lanes.values() if queue.risen)


def _ticket(entry: tuple[Ticket, Job]) -> Ticket:
    return entry[0]


def _may_enter(job: Job) -> bool:
    """Whether there is anything to be admitted: not cancelled, and not with another cell."""
    return (
        job.status == JobState.LIVE and not job.is_cancelled and bool(job.is_runnable or job.unfinished_prerequisites)
    )


def admitted_use(jobs: Iterable[Job], decisions: Mapping[str, Decision]) -> dict[str, ResourceUsage]:
    """What each team's admitted jobs use of its guarantee: all that is left of those that are released.

    Jobs that another cell handed over use nothing of a guarantee.
    """
    uses: dict[str, ResourceUsage] = {}
    for job in jobs:
        decision = decisions.get(job.spec.id)
        if decision is not None and decision.admitted and job.is_runnable and job.incoming_handoff is None:
            uses.setdefault(job.spec.team, ResourceUsage()).add(job.spec, job.remaining_tasks)
    return uses
