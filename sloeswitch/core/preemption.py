"""Preemption: which attempts of lower priority stop so that a task of a more urgent job fits a machine.

Also which attempts can move at little cost. Decisions without state; `actors.gang_preemption` and the machines actor
carry them out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sloeswitch.core import job_queue
from sloeswitch.core.job_priority import PRIORITY_RANKS, effective_priority
from sloeswitch.core.machine import Attempt, AttemptState
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.records import Job
from sloeswitch.wire import JobSpec

# The part of its running tasks that a job which is ordered by age alone yields to jobs of higher priority.
PREEMPTIBLE_SHARE = 0.5


@dataclass(frozen=True)
class Preemption:
    """Attempts to be stopped on one machine."""

    machine: str
    attempts: list[Attempt]


@dataclass(frozen=True)
class QueueOrder:
    """Who may be preempted for whom, by the queue.

    Attributes:
        positions: The positions of jobs in the queue; a job without one is last.
        preemptible_counts: How many running tasks may stop of jobs that stand where they do by their age alone.
    """

    positions: Mapping[str, int]
    preemptible_counts: Mapping[str, int] = field(default_factory=dict)

    @staticmethod
    def of(queue: Iterable[Job], placed_tasks: Mapping[str, int]) -> QueueOrder:
        """The order of a queue.

        Of a job that is ordered by age a part must go on, so that the bounds on its delay hold. Guards against large
        machines that stay full of old best-effort work: gangs that fit nowhere else would wait until they go first
        themselves.

        Args:
            queue: The jobs in the order in which they get capacity.
            placed_tasks: The sets of tasks, by job, that are on machines.
        """
        positions: dict[str, int] = {}
        preemptible_counts: dict[str, int] = {}
        for position, job in enumerate(queue):
            name = job.spec.id
            positions.setdefault(name, position)
            if job_queue.is_ordered_by_age(job):
                preemptible_counts[name] = int(PREEMPTIBLE_SHARE * placed_tasks.get(name, 0).bit_count())
        return QueueOrder(positions, preemptible_counts)

    def is_behind(self, job: str, other: str) -> bool:
        """Whether the other job stands behind this one."""
        last = len(self.positions)
        return self.positions.get(other, last) > self.positions.get(job, last)


def preemptible(job: Job, attempts: Iterable[Attempt], order: QueueOrder) -> list[Attempt]:
    """The attempts that may be stopped for a job, the youngest first.

    Of lower priority, and of jobs behind it in the queue or, for a part of their tasks, of jobs ordered by age.
    """
    preempted: Counter[str] = Counter()
    candidates: list[Attempt] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.placed_at):
        if attempt.spec.gang or attempt.kill_grace_s is not None:
            continue
        if PRIORITY_RANKS[attempt.spec.priority] <= effective_priority(job):
            continue
        if not order.is_behind(job.spec.id, attempt.job):
            if preempted[attempt.job] >= order.preemptible_counts.get(attempt.job, 0):
                continue
            preempted[attempt.job] += 1
        candidates.append(attempt)
    return candidates


def is_movable(attempt: Attempt, now: float) -> bool:
    """Whether an attempt can be stopped and go on elsewhere at little cost: it has checkpoints, and is not new."""
    spec = attempt.spec
    return (
        spec.checkpoint_s > 0
        and not spec.gang
        and attempt.state == AttemptState.RUNNING
        and attempt.kill_grace_s is None
        and attempt.running_at is not None
        and now - attempt.running_at > 2 * spec.checkpoint_s
    )


def choose_victims(spec: JobSpec, capacity: FreeCapacity, candidates: list[Attempt]) -> list[Attempt]:
    """Which of the attempts have to stop, in their order, so that one task of the job fits the machine.

    Empty if it does not fit then either.
    """
    trial = capacity.trial()
    victims: list[Attempt] = []
    for attempt in candidates:
        if trial.max_tasks(spec):
            break
        trial.take(attempt.spec, -1)
        victims.append(attempt)
    return victims if trial.max_tasks(spec) else []


def victims_within_limit(
    spec: JobSpec, shortfall: ResourceUsage, candidates: Iterable[Attempt]
) -> list[Attempt] | None:
    """Which attempts of the job's own team have to stop so that its limit covers the shortfall; None if all do not.

    Guards against a team that is at its limit through its own work of lower priority, for which nothing was stopped.
    """
    victims: list[Attempt] = []
    freed = ResourceUsage()
    for attempt in candidates:
        if freed.cores >= shortfall.cores and freed.gpus >= shortfall.gpus:
            break
        if attempt.spec.team == spec.team:
            freed.add(attempt.spec)
            victims.append(attempt)
    return victims if freed.cores >= shortfall.cores and freed.gpus >= shortfall.gpus else None


def plan_preemption(
    job: Job,
    machines: Iterable[tuple[FreeCapacity, Iterable[Attempt]]],
    order: QueueOrder,
    at_limit: bool = False,
) -> Preemption | None:
    """The machine on which the fewest attempts have to stop for a task of the job; None if there is none.

    Args:
        job: The job that is to get capacity.
        machines: What eligible machines have free, each with its attempts.
        order: Who may be preempted for whom.
        at_limit: The team's limit keeps the job from capacity that is there, so that a machine where nothing has to
            stop will do.
    """
    best: Preemption | None = None
    for capacity, attempts in machines:
        if at_limit and capacity.max_tasks(job.spec):
            return Preemption(capacity.machine, [])
        victims = choose_victims(job.spec, capacity, preemptible(job, attempts, order))
        if victims and (best is None or len(victims) < len(best.attempts)):
            best = Preemption(capacity.machine, victims)
    return best
