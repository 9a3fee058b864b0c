"""The queue of runnable jobs: the order in which jobs get free capacity.

A job is runnable when its join counter is zero (`core/dependency_graph.py`). The queue is rebuilt from the stored
tables at every tick and is not stored itself. Related modules: `core/slo_targets.py` computes the targets of a job,
`core/job_priority.py` its priority, including the priority inherited from jobs that depend on it, and
`core/claim_order.py` the order in which each of several controllers claims jobs.

Jobs are sorted by these criteria, the first one being the most significant:

1. Starved jobs go first. A job that has started no task for too long is in the queue twice: at the front for a part of
   its tasks (`Job.starved`) and at its ordinary position for the rest.
2. Urgent jobs within their team's guarantee go before other jobs.
3. Jobs that are not done after twice the time until starvation (STARVATION_LEASES) come next, ordered by age alone.
4. Jobs that can no longer meet any of their targets go last, the longest tasks first, unless they are urgent
   (`QueueKey.past_all_targets`).
5. Jobs that were within their team's guarantee when they became runnable go before other jobs (`GuaranteeLedger`).
6. Priority, then the number of targets that the job has missed.
7. The latest time at which the job can start and still meet its next target, or the time at which it became runnable
   if it has no target left. Short jobs have little slack and would miss their targets behind long jobs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from enum import IntEnum
from operator import attrgetter, itemgetter
from typing import NamedTuple

from sloeswitch.core.job_priority import STANDARD, PriorityRank, effective_priority, propagate_priorities
from sloeswitch.core.quota import ResourceUsage, within_guarantee
from sloeswitch.core.records import Job
from sloeswitch.core.slo_targets import next_target
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings

# Prevents starvation by priority, guarantees or missed targets. If a job has started no task after this many worker
# leases, a part of it goes before all other jobs until a task has started. A job that is not done after twice this many
# leases is ordered by age alone. Eight leases are at most two minutes, so every job starts well within four minutes.
STARVATION_LEASES = 8.0
# The share of a starved job's tasks that goes to the front of the queue.
STARVED_SHARE = 0.125


class StarvationRank(IntEnum):
    """How far a job moves ahead in the queue because it has waited too long; the lowest value goes first."""

    # No task has started after STARVATION_LEASES.
    NOT_STARTED = 0
    # The job is not done after twice STARVATION_LEASES: it is ordered by age alone.
    NOT_DONE = 1
    # All other jobs.
    ORDINARY = 2


# Module constants avoid an attribute lookup for every job at every tick.
NOT_STARTED, NOT_DONE, ORDINARY = StarvationRank


class QueueKey(NamedTuple):
    """The sort key of a job in the queue; the lowest key goes first."""

    starvation: int
    # Whether the job can no longer meet any of its targets. False for urgent jobs, jobs without targets, and jobs that
    # are starved or ordered by age alone.
    past_all_targets: bool
    outside_guarantee: bool
    # The effective priority of the job (see `effective_priority`), STARVED_PART_PRIORITY for the part of a starved job
    # that goes to the front, or 0 where the priority does not count.
    priority: int
    missed_targets: int
    # Orders jobs of equal rank: the latest start or the ready time in seconds since the Unix epoch, a revision of the
    # store, or a negated estimate in seconds. The other fields determine which, so that jobs of equal rank have the
    # same kind of value here.
    tie_breaker: float

    @property
    def rank(self) -> tuple[int, ...]:
        """All fields but the tie breaker, which alone orders jobs of equal rank."""
        return self[:-1]


# The priority of the part of a starved job that goes to the front: higher than every other.
STARVED_PART_PRIORITY = PriorityRank.CRITICAL - 1


def has_started_tasks(job: Job) -> bool:
    """Whether any task of the job is claimed or done according to the stored tables."""
    return bool(job.progress.done or job.progress.claims)


def starvation_rank(started: bool, age_s: float, lease_s: float) -> StarvationRank:
    """The starvation rank of a job.

    Args:
        started: Whether any task of the job has started.
        age_s: Seconds since the job became runnable.
        lease_s: The duration of a worker's lease in seconds.
    """
    if age_s < STARVATION_LEASES * lease_s:
        return ORDINARY
    if not started:
        return NOT_STARTED
    return NOT_DONE if age_s > 2 * STARVATION_LEASES * lease_s else ORDINARY


def is_ordered_by_age(job: Job) -> bool:
    """Whether the job has waited so long for its completion that it is ordered by age alone."""
    return job.queue_rank[:1] == (NOT_DONE,)


def queue_order(
    tables: Tables, settings: Settings, wall_clock_ms: int, has_started: Callable[[Job], bool] = has_started_tasks
) -> list[Job]:
    """Returns the runnable jobs in the order in which they get free capacity; a starved job is listed twice.

    Sets the fields `guaranteed` (unless set, or for a job from another cell), `starved` and `queue_rank` of the jobs.
    """
    if tables.graph.priorities_stale:
        propagate_priorities(tables, settings)
    guarantees = GuaranteeLedger(settings)
    entries: list[tuple[QueueKey, Job]] = []
    for job in sorted([job for job in tables.jobs.values() if job.is_runnable], key=attrgetter("ready_revision")):
        priority = effective_priority(job)
        # A deferred job counts too: a team's guarantee is compared with the demand of all its jobs.
        demand = guarantees.add_demand(job, priority)
        if job.deferred:
            continue
        if job.guaranteed is None or job.incoming_handoff is not None:
            job.guaranteed = guarantees.covers(job, demand)
        starvation = ORDINARY
        # A job delegated by another cell is never starved here: its origin takes it back in time.
        if job.incoming_handoff is None:
            starvation = starvation_rank(has_started(job), (wall_clock_ms - job.ready_ms) / 1000, settings.lease_s)
        job.starved = starvation is NOT_STARTED
        if job.starved:
            key = QueueKey(NOT_STARTED, False, False, STARVED_PART_PRIORITY, 0, float(job.ready_revision))
            entries.append((key, job))
            starvation = ORDINARY
        key = _queue_key(job, starvation, priority, settings, wall_clock_ms)
        job.queue_rank = key.rank
        entries.append((key, job))
    entries.sort(key=itemgetter(0))
    return [job for _key, job in entries]


class GuaranteeLedger:
    """Compares the demand of each team's jobs, added up from the oldest job on, with the team's guarantee.

    Whether a job is guaranteed is decided once, when it becomes runnable. If it were decided again at every tick, the
    oldest jobs of a team with a backlog beyond its guarantee would always count as guaranteed, and the team's urgent
    jobs would wait behind them.

    A job that is more urgent than standard counts only against the team's other urgent jobs, which have the first claim
    to the guarantee. Otherwise a small urgent stage of a pipeline would wait behind less urgent jobs that are within a
    guarantee. Any other job counts against all jobs of the team.
    """

    def __init__(self, settings: Settings) -> None:
        self.teams = settings.teams
        # By team: the demand of all its jobs, and of its urgent jobs alone.
        self._all_demand: defaultdict[str, ResourceUsage] = defaultdict(ResourceUsage)
        self._urgent_demand: defaultdict[str, ResourceUsage] = defaultdict(ResourceUsage)

    def add_demand(self, job: Job, priority: int) -> ResourceUsage:
        """Adds a job's demand; returns the sum of it and of the demand of the older jobs that it counts against.

        A job delegated by another cell has no guarantee here and adds nothing to its team's demand.
        """
        spec = job.spec
        counted_demand = self._all_demand[spec.team]
        if job.incoming_handoff is None:
            counted_demand.add(spec, spec.tasks)
            if priority < STANDARD:
                counted_demand = self._urgent_demand[spec.team]
                counted_demand.add(spec, spec.tasks)
        return counted_demand

    def covers(self, job: Job, demand: ResourceUsage) -> bool:
        """Whether the guarantee of the job's team covers the demand that `add_demand` returned for the job."""
        team = self.teams.get(job.spec.team)
        return job.incoming_handoff is None and team is not None and within_guarantee(team, demand.cores, demand.gpus)


def _queue_key(job: Job, starvation: StarvationRank, priority: int, settings: Settings, wall_clock_ms: int) -> QueueKey:
    """The key of a job's ordinary position in the queue."""
    missed, start_by_s = next_target(job, settings.objectives, (wall_clock_ms - job.submitted_ms) / 1000)
    is_urgent = priority < STANDARD
    start_or_ready_s = job.ready_ms / 1000 if start_by_s is None else job.submitted_ms / 1000 + start_by_s
    if job.guaranteed and is_urgent:
        # The job gets the same starvation rank as starved jobs, so that it goes before jobs that are ordered by age
        # alone. Under overload these are most of the queue, and small urgent stages of pipelines would wait behind
        # them. The guarantees limit how much work goes first this way.
        return QueueKey(NOT_STARTED, False, False, priority, missed, start_or_ready_s)
    if starvation is NOT_DONE:
        return QueueKey(starvation, False, False, 0, 0, float(job.ready_revision))
    if missed and start_by_s is None and not is_urgent:
        # A job that can no longer meet any target goes behind those that can: when jobs of a class arrive faster than
        # their team's limit allows, ordering by age would make every job late. Among jobs that are late anyway only the
        # time until all are done matters, so the longest tasks go first and none is left over at the end. Jobs more
        # urgent than standard are exempt: the stages of a pipeline whose deadline, by its estimates, can't be met would
        # wait behind everything else.
        return QueueKey(starvation, True, False, 0, 0, -job.spec.estimate_s)
    return QueueKey(starvation, False, not job.guaranteed, priority, missed, start_or_ready_s)
