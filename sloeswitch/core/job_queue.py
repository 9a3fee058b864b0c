"""The queue of runnable jobs: in which order jobs get free capacity.

A job is runnable when its
join counter is zero (`core/dependency_graph.py`). The queue is built anew at every tick from the stored tables; nothing
of it is stored.

Oldest first, where a job that has time to its next target counts as younger by the time that it can wait: short jobs
have little, and were late behind long ones (found on the bench). Before that, in this order:

1. Starvation. A job that waited too long for its beginning is in the queue twice, in front for a part of its tasks
   (`Job.starved`) and in its ordinary place for the rest. One that is not done for very long goes by age alone.
2. Urgent work within its team's guarantee, also before what goes by age alone.
3. Work that can still meet a target before work that cannot (`QueueKey.past_all_targets`).
4. The team's guarantee: what lay within it when it came need not wait for others (`GuaranteeLedger`).
5. Priority, then the number of targets missed so far.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from enum import IntEnum
from itertools import compress, takewhile
from operator import attrgetter, itemgetter
from typing import NamedTuple

from sloeswitch.core.quota import ResourceUsage, within_guarantee
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Objective, Settings
from sloeswitch.wire import PRIORITIES, JobSpec


def deadlines(spec: JobSpec, objectives: tuple[Objective, ...]) -> set[float]:
    """Seconds from submission by which the job is due, by the objectives that its class has for deadlines."""
    if spec.deadline_s is None:
        return set()
    times = {aim.times for aim in objectives if aim.kind == "deadline" and aim.job_class == spec.job_class}
    return {each * spec.deadline_s for each in times}


def slo_targets(job: Job, objectives: tuple[Objective, ...]) -> list[float]:
    """Seconds from submission by which the job should be done, the earliest first; kept in the job until it changes.

    Deadlines count from the submission, the other times from when the last job that it needs was done.
    """
    if job.targets is not None:
        return job.targets
    spec = job.spec
    found = deadlines(spec, objectives)
    waited_s = (job.ready_ms - job.submitted_ms) / 1000
    for objective in objectives:
        if objective.job_class != spec.job_class or objective.within_s is None:
            continue
        if objective.kind == "finished":
            found.add(waited_s + objective.within_s)
        elif objective.kind == "wait":
            found.add(waited_s + objective.within_s + spec.estimate_s)
    if spec.deadline_s is not None and not found:
        found.add(spec.deadline_s)
    if job.inherited_ms is not None:
        found.update((by_ms - job.submitted_ms) / 1000 for by_ms in job.inherited_ms)
    job.targets = sorted(found)
    return job.targets


class NextTarget(NamedTuple):
    """Where a job stands in the list of its targets."""

    # How many are missed for certain.
    missed: int
    # The age of the job, in seconds, by which its last tasks must start to meet the next one; None if none is left.
    start_by_s: float | None


def next_target(job: Job, objectives: tuple[Objective, ...], age_s: float) -> NextTarget:
    """How many targets of the job are missed for certain at this age, and when it must start for the next one."""
    targets = slo_targets(job, objectives)
    needed_s = job.spec.estimate_s if job.has_unclaimed_tasks else 0.0
    for missed, target in enumerate(targets):
        if target >= age_s + needed_s:
            return NextTarget(missed, target - needed_s)
    return NextTarget(len(targets), None)


class PriorityRank(IntEnum):
    """The priorities of the protocol; the lowest rank goes first."""

    CRITICAL = 0
    URGENT = 1
    STANDARD = 2
    BEST_EFFORT = 3


# What jobs usually have; more urgent work is treated apart in several places.
STANDARD = PriorityRank.STANDARD
# By the words of the protocol.
PRIORITY_RANKS = {name: PriorityRank[name.upper()] for name in PRIORITIES}


def effective_priority(job: Job) -> int:
    """The rank of a job: its own, or that of any job that needs it if that is higher."""
    own = PRIORITY_RANKS[job.spec.priority]
    return own if job.inherited_rank is None else min(own, job.inherited_rank)


class InheritedTarget(NamedTuple):
    """What a job has from those that need it."""

    rank: int | None
    # When it must be done for the first and for the last of their deadlines, in milliseconds since the Unix epoch.
    due_ms: tuple[float, float] | None


def propagate_priorities(tables: Tables, settings: Settings) -> None:
    """Passes priorities and deadlines upstream, from each job to all that it needs.

    The backward pass over a critical path: a job gets the highest priority of all that need it, and must be done by
    their deadlines less the path between. Done when the graph has changed. No recursion: chains may be long.
    """
    tables.graph.priorities_stale = False
    _CriticalPathPass(tables, settings).run()


class _CriticalPathPass:
    """One backward pass: every job is visited once, after all that need it."""

    def __init__(self, tables: Tables, settings: Settings) -> None:
        self.jobs = tables.jobs
        self.settings = settings
        # The slowest fetch of an image to a machine of any type, in GB/s; 0: not known.
        self.fetch_gb_s = min(
            (kind.fetch_gb_s for kind in tables.machine_types.values() if kind.fetch_gb_s > 0), default=0.0
        )
        # By job: those that need it, are not cancelled and were not visited yet.
        self.unvisited_successors = {
            name: {waiting for waiting in waitings if waiting in self.jobs and not self.jobs[waiting].is_cancelled}
            for name, waitings in tables.graph.successors.items()
            if name in self.jobs
        }

    def run(self) -> None:
        """Renews what jobs inherit; those that inherit something else than before are ordered anew."""
        before = self._clear_inherited()
        ready = deque(
            name
            for name, job in self.jobs.items()
            if job.unfinished_prerequisites and not job.is_cancelled and not self.unvisited_successors.get(name)
        )
        while ready:
            ready.extend(self._visit(self.jobs[ready.popleft()]))
        for name, inherited in before.items():
            job = self.jobs[name]
            if inherited != (job.inherited_rank, job.inherited_ms):
                job.targets = None
                job.guaranteed = None

    def _clear_inherited(self) -> dict[str, InheritedTarget]:
        """What jobs inherited so far, of those that did or may."""
        before: dict[str, InheritedTarget] = {}
        for name, job in self.jobs.items():
            if job.inherited_rank is not None or job.inherited_ms is not None or name in self.unvisited_successors:
                before[name] = InheritedTarget(job.inherited_rank, job.inherited_ms)
                job.inherited_rank = job.inherited_ms = None
        return before

    def _visit(self, job: Job) -> list[str]:
        """Passes a job's priority and deadlines on to what it needs; which of these are ready to be visited."""
        inherited = InheritedTarget(effective_priority(job), self._start_by_ms(job))
        ready: list[str] = []
        for name in job.spec.prerequisites:
            successors = self.unvisited_successors.get(name)
            if successors is None or job.spec.id not in successors:
                continue
            prerequisite = self.jobs[name]
            _inherit(prerequisite, inherited)
            successors.discard(job.spec.id)
            if not successors and prerequisite.unfinished_prerequisites:
                ready.append(name)
        return ready

    def _start_by_ms(self, job: Job) -> tuple[float, float] | None:
        """When what the job needs must be done for its first and last deadline; None if it has none.

        A step of the path takes the job's estimate, the image's way to a machine and a report.
        """
        spec = job.spec
        due_s = deadlines(spec, self.settings.objectives)
        if spec.deadline_s is not None and not due_s:
            due_s.add(spec.deadline_s)
        due_ms = [job.submitted_ms + 1000 * each_s for each_s in due_s]
        if job.inherited_ms is not None:
            due_ms += job.inherited_ms
        if not due_ms:
            return None
        fetch_s = spec.image_gb / self.fetch_gb_s if self.fetch_gb_s else 0.0
        step_ms = 1000 * (spec.estimate_s + self.settings.report_s + fetch_s)
        return min(due_ms) - step_ms, max(due_ms) - step_ms


def _inherit(job: Job, inherited: InheritedTarget) -> None:
    """Keeps the highest priority of all that need the job, and the earliest of their first and of their last times."""
    if inherited.rank is not None:
        job.inherited_rank = inherited.rank if job.inherited_rank is None else min(inherited.rank, job.inherited_rank)
    if inherited.due_ms is not None:
        first, last = inherited.due_ms
        known = job.inherited_ms or (first, last)
        job.inherited_ms = (min(first, known[0]), min(last, known[1]))


# No job starves, whatever the order by priority, guarantee and lateness: a job with nothing begun after so many worker
# leases goes before all others until a part of it is begun, and one still not done after twice as many goes by age
# alone. Eight leases are two minutes or less, so that a job begins well within four minutes.
STARVATION_LEASES = 8.0
# The part of a job's tasks that goes first because the job is starved.
STARVED_SHARE = 0.125


class StarvationRank(IntEnum):
    """How a job goes before others for having waited long; the lowest goes first."""

    # Nothing of it has begun after STARVATION_LEASES.
    NOT_BEGUN = 0
    # It is not done after twice as long: its age alone decides.
    NOT_DONE = 1
    ORDINARY = 2


# Looked up for every job at every tick.
NOT_BEGUN, NOT_DONE, ORDINARY = StarvationRank


class QueueKey(NamedTuple):
    """The key by which the queue is sorted; the lowest goes first."""

    starvation: int
    # It can meet none of its targets any more.
    past_all_targets: bool
    outside_guarantee: bool
    # Of the job and of all that need it; one less than the highest where a part of a starved job goes first.
    priority: int
    missed_targets: int
    # Which of these it is depends on the other fields, so that they are never mixed: seconds since the Unix epoch, a
    # revision of the store, or an estimate in seconds, negated.
    age: float

    @property
    def rank(self) -> tuple[int, ...]:
        """What a job's place in the queue goes by besides age: jobs of equal rank differ by age alone."""
        return self[:-1]


# The priority of the part of a starved job that goes first: before every other.
STARVED_PART_PRIORITY = PriorityRank.CRITICAL - 1


def is_begun(job: Job) -> bool:
    """Whether a task of the job is claimed or done, as the tables have it."""
    return bool(job.progress.done or job.progress.claims)


def starvation_rank(begun: bool, age_s: float, lease_s: float) -> StarvationRank:
    """How a job that waits goes before others, by its age since it became runnable, in seconds."""
    if age_s < STARVATION_LEASES * lease_s:
        return ORDINARY
    if not begun:
        return NOT_BEGUN
    return NOT_DONE if age_s > 2 * STARVATION_LEASES * lease_s else ORDINARY


def is_ordered_by_age(job: Job) -> bool:
    """Whether the job's place in the queue goes by its age alone, since it has not been done for so long."""
    return job.queue_rank[:1] == (NOT_DONE,)


def queue_order(
    tables: Tables, settings: Settings, wall_clock_ms: int, has_begun: Callable[[Job], bool] = is_begun
) -> list[Job]:
    """Jobs that wait for no other and have tasks left, in the order in which they get free capacity.

    Marks jobs: `guaranteed` (once for each job), `starved` and `queue_rank`.
    """
    if tables.graph.priorities_stale:
        propagate_priorities(tables, settings)
    guarantees = GuaranteeLedger(settings)
    entries: list[tuple[QueueKey, Job]] = []
    for job in sorted([job for job in tables.jobs.values() if job.is_runnable], key=attrgetter("ready_revision")):
        priority = effective_priority(job)
        # A deferred job counts too: what its team is promised is measured against all of its work.
        demand = guarantees.add_demand(job, priority)
        if job.deferred:
            continue
        if job.guaranteed is None or job.delegated is not None:
            job.guaranteed = guarantees.covers(job, demand)
        starvation = ORDINARY
        # Work of another cell does not go first for having waited; its origin takes it back in time.
        if job.delegated is None:
            starvation = starvation_rank(has_begun(job), (wall_clock_ms - job.ready_ms) / 1000, settings.lease_s)
        job.starved = starvation is NOT_BEGUN
        if job.starved:
            key = QueueKey(NOT_BEGUN, False, False, STARVED_PART_PRIORITY, 0, float(job.ready_revision))
            entries.append((key, job))
            starvation = ORDINARY
        key = _queue_key(job, starvation, priority, settings, wall_clock_ms)
        job.queue_rank = key.rank
        entries.append((key, job))
    entries.sort(key=itemgetter(0))
    return [job for _key, job in entries]


class GuaranteeLedger:
    """What each team's jobs want so far, the oldest first, against what the team is guaranteed.

    It is decided once for each job, when the job first comes: of a team that has more work than its guarantee the
    oldest is promised nothing; counted as guaranteed it kept urgent jobs waiting (found on the bench).

    Work more urgent than standard counts only against its like, as a team's urgent work has the guarantee first: a
    small stage of a pipeline waited for two minutes behind what had come within other guarantees (found on a recorded
    day). Standard work counts against all of the team's work.
    """

    def __init__(self, settings: Settings) -> None:
        self.teams = settings.teams
        # By team: what all of its work wants, and what its urgent work alone wants.
        self._all_demand: defaultdict[str, ResourceUsage] = defaultdict(ResourceUsage)
        self._urgent_demand: defaultdict[str, ResourceUsage] = defaultdict(ResourceUsage)

    def add_demand(self, job: Job, priority: int) -> ResourceUsage:
        """Adds a job; returns the demand that decides on it: its own and that of the older jobs that it counts against.

        What another cell handed over is promised nothing here, and takes nothing of what its team is promised.
        """
        spec = job.spec
        decisive = self._all_demand[spec.team]
        if job.delegated is None:
            decisive.add(spec, spec.tasks)
            if priority < STANDARD:
                decisive = self._urgent_demand[spec.team]
                decisive.add(spec, spec.tasks)
        return decisive

    def covers(self, job: Job, demand: ResourceUsage) -> bool:
        """Whether the demand that decides on a job lies within its team's guarantee."""
        team = self.teams.get(job.spec.team)
        return job.delegated is None and team is not None and within_guarantee(team, demand.cores, demand.gpus)


def _queue_key(job: Job, starvation: StarvationRank, priority: int, settings: Settings, wall_clock_ms: int) -> QueueKey:
    """A job's ordinary place in the queue."""
    missed, start_by_s = next_target(job, settings.objectives, (wall_clock_ms - job.submitted_ms) / 1000)
    is_urgent = priority < STANDARD
    start_or_ready_s = job.ready_ms / 1000 if start_by_s is None else job.submitted_ms / 1000 + start_by_s
    if job.guaranteed and is_urgent:
        # Also before what goes by age alone: on a day with more work than capacity that is most of the queue, and small
        # urgent stages waited behind it for two minutes (found on a recorded day). The guarantees bound it.
        return QueueKey(NOT_BEGUN, False, False, priority, missed, start_or_ready_s)
    if starvation is NOT_DONE:
        return QueueKey(starvation, False, False, 0, 0, float(job.ready_revision))
    if missed and start_by_s is None and not is_urgent:
        # A job that can meet no target any more goes behind those that can: when a class comes faster than its team's
        # limit allows, plain age would make every job late. Only the end of all work is at stake for it: the longest
        # tasks first, so that none is left over. Not so what is more urgent than standard: the stages of a pipeline
        # whose deadline had passed by its estimates waited for four minutes behind refreshes (found on a recorded day).
        return QueueKey(starvation, True, False, 0, 0, -job.spec.estimate_s)
    return QueueKey(starvation, False, not job.guaranteed, priority, missed, start_or_ready_s)


# A controller takes the jobs whose images have affinity to it first, among so many times as many jobs as there are
# controllers.
AFFINITY_WINDOW_PER_CONTROLLER = 4


def rotate(jobs: list[Job], controllers: int, turn: int) -> list[Job]:
    """The order in which one of so many controllers claims the jobs; `turn` is its place among them.

    Each begins at another of the oldest jobs. No job moves by as many places as there are controllers.
    """
    rotated: list[Job] = []
    for start in range(0, len(jobs), controllers):
        chunk = jobs[start : start + controllers]
        shift = turn % len(chunk)
        rotated += chunk[shift:] + chunk[:shift]
    return rotated


def deal(jobs: list[Job], controllers: int, turn: int, has_image_affinity: Callable[[Job], bool]) -> Iterator[Job]:
    """The order in which one of so many controllers claims the jobs, by the affinity of their images to it.

    Among jobs next to each other that differ by age alone, a few at a time, those whose image has affinity to this
    controller come first: its machines then fetch a part of the images only, and a job is mostly one controller's. The
    others are rotated.
    """
    start = 0
    while start < len(jobs):
        window = _window(jobs, start, AFFINITY_WINDOW_PER_CONTROLLER * controllers)
        start += len(window)
        is_near = [has_image_affinity(job) for job in window]
        yield from compress(window, is_near)
        yield from rotate([job for job, near in zip(window, is_near, strict=True) if not near], controllers, turn)


def _window(jobs: list[Job], start: int, limit: int) -> list[Job]:
    """At most so many jobs from a place in the queue on that differ by age alone."""
    window = jobs[start : start + limit]
    return list(takewhile(lambda job: job.queue_rank == window[0].queue_rank, window))
