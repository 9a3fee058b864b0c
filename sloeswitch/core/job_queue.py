"""The queue of runnable jobs: in which order jobs get free capacity.

A job is runnable when its join counter is zero (`core/dependency_graph.py`). The queue is built anew at every tick from
the stored tables; nothing of it is stored. A job's targets are in `core/slo_targets.py`, its priority and what passes
upstream in `core/job_priority.py`, and the order in which each of several controllers claims in `core/claim_order.py`.

Oldest first, where a job that has time to its next target counts as younger by the time that it can wait: short jobs
have little, and would be late behind long ones. Before that, in this order:

1. Starvation. A job that waited too long for its beginning is in the queue twice, in front for a part of its tasks
   (`Job.starved`) and in its ordinary place for the rest. One that is not done for very long goes by age alone.
2. Urgent work within its team's guarantee, also before what goes by age alone.
3. Work that can still meet a target before work that cannot (`QueueKey.past_all_targets`).
4. The team's guarantee: what lay within it when it came need not wait for others (`GuaranteeLedger`).
5. Priority, then the number of targets missed so far.
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
    # All other jobs.
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
        if job.guaranteed is None or job.incoming_handoff is not None:
            job.guaranteed = guarantees.covers(job, demand)
        starvation = ORDINARY
        # Work of another cell does not go first for having waited; its origin takes it back in time.
        if job.incoming_handoff is None:
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

    Whether a job is guaranteed is decided once, when it first comes. Decided anew at every tick, the oldest work of a
    team with more than its guarantee would always count as guaranteed, and urgent jobs would wait behind it.

    Work more urgent than standard counts only against its like, as a team's urgent work has the guarantee first: a
    small stage of a pipeline would otherwise wait behind what came within other guarantees. Standard work counts
    against all of the team's work.
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
        if job.incoming_handoff is None:
            decisive.add(spec, spec.tasks)
            if priority < STANDARD:
                decisive = self._urgent_demand[spec.team]
                decisive.add(spec, spec.tasks)
        return decisive

    def covers(self, job: Job, demand: ResourceUsage) -> bool:
        """Whether the demand that decides on a job lies within its team's guarantee."""
        team = self.teams.get(job.spec.team)
        return job.incoming_handoff is None and team is not None and within_guarantee(team, demand.cores, demand.gpus)


def _queue_key(job: Job, starvation: StarvationRank, priority: int, settings: Settings, wall_clock_ms: int) -> QueueKey:
    """A job's ordinary place in the queue."""
    missed, start_by_s = next_target(job, settings.objectives, (wall_clock_ms - job.submitted_ms) / 1000)
    is_urgent = priority < STANDARD
    start_or_ready_s = job.ready_ms / 1000 if start_by_s is None else job.submitted_ms / 1000 + start_by_s
    if job.guaranteed and is_urgent:
        # Also before what goes by age alone: on a day with more work than capacity that is most of the queue, and small
        # urgent stages would wait behind it. The guarantees bound it.
        return QueueKey(NOT_BEGUN, False, False, priority, missed, start_or_ready_s)
    if starvation is NOT_DONE:
        return QueueKey(starvation, False, False, 0, 0, float(job.ready_revision))
    if missed and start_by_s is None and not is_urgent:
        # A job that can meet no target any more goes behind those that can: when a class comes faster than its team's
        # limit allows, plain age would make every job late. Only the end of all work is at stake for it: the longest
        # tasks first, so that none is left over. Not so what is more urgent than standard: the stages of a pipeline
        # whose deadline has passed by its estimates would wait behind everything else.
        return QueueKey(starvation, True, False, 0, 0, -job.spec.estimate_s)
    return QueueKey(starvation, False, not job.guaranteed, priority, missed, start_or_ready_s)
