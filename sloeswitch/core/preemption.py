"""Preemption: decides which attempts of lower priority stop so that a task of a more urgent job fits a machine.

Also decides which attempts can move to another machine at little cost. The functions keep no state;
`actors.gang_preemption` and the machines actor carry out the decisions.
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

# The share of its running tasks that a job which is ordered by age alone can lose to jobs of higher priority.
PREEMPTIBLE_SHARE = 0.5


@dataclass(frozen=True)
class Preemption:
    """The attempts to stop on one machine."""

    machine: str
    attempts: list[Attempt]


@dataclass(frozen=True)
class QueueOrder:
    """Decides by the positions in the queue which jobs may be preempted for which.

    Attributes:
        positions: The positions of jobs in the queue; a job without one is last.
        preemptible_counts: By job that is ordered by age alone, how many of its running tasks may be stopped.
    """

    positions: Mapping[str, int]
    preemptible_counts: Mapping[str, int] = field(default_factory=dict)

    @staticmethod
    def of(queue: Iterable[Job], placed_tasks: Mapping[str, int]) -> QueueOrder:
        """Creates the order of a queue.

        A share of the tasks of a job that is ordered by age alone may be stopped. Otherwise large machines would stay
        full of old best-effort tasks, and gangs that fit only those machines would wait until they are starved
        themselves. The rest of the tasks must continue, so that the bound on the delay of the job holds.

        Args:
            queue: The jobs in the order in which they get capacity.
            placed_tasks: By job, the set of its tasks that are on machines.
        """
        positions: dict[str, int] = {}
        preemptible_counts: dict[str, int] = {}
        for position, job in enumerate(queue):
            name = job.spec.id
            positions.setdefault(name, position)
            if job_queue.is_ordered_by_age(job):
                preemptible_counts[name] = int(PREEMPTIBLE_SHARE * placed_tasks.get(name, 0).bit_count())
        return QueueOrder(positions, preemptible_counts)

    def precedes(self, job: str, other: str) -> bool:
        """Whether `job` goes before `other` in the queue."""
        last = len(self.positions)
        return self.positions.get(other, last) > self.positions.get(job, last)


def preemptible(job: Job, attempts: Iterable[Attempt], order: QueueOrder) -> list[Attempt]:
    """The attempts that may be stopped for a job, the most recently placed first.

    They have a lower priority, and belong to jobs behind it in the queue or, up to a limit, to jobs ordered by age.
    """
    preempted: Counter[str] = Counter()
    candidates: list[Attempt] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.placed_at):
        if attempt.spec.gang or attempt.kill_grace_s is not None:
            continue
        if PRIORITY_RANKS[attempt.spec.priority] <= effective_priority(job):
            continue
        if not order.precedes(job.spec.id, attempt.job):
            if preempted[attempt.job] >= order.preemptible_counts.get(attempt.job, 0):
                continue
            preempted[attempt.job] += 1
        candidates.append(attempt)
    return candidates


def is_movable(attempt: Attempt, now: float) -> bool:
    """Whether an attempt can move to another machine at little cost: it writes checkpoints and is not new."""
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
    """The first of the candidates, as many as have to stop so that one task of the job fits the machine.

    Empty if the task would not fit even with all candidates stopped.
    """
    trial = capacity.copy()
    victims: list[Attempt] = []
    for attempt in candidates:
        if trial.max_tasks(spec):
            break
        trial.take(attempt.spec, -1)
        victims.append(attempt)
    return victims if trial.max_tasks(spec) else []


def choose_quota_victims(
    spec: JobSpec, shortfall: ResourceUsage, candidates: Iterable[Attempt]
) -> list[Attempt] | None:
    """The attempts of the job's own team that have to stop so that the team's limit covers the shortfall.

    Without this, a team whose tasks of lower priority use up its limit could not start its more urgent jobs.

    Returns:
        The attempts; None if stopping all candidates is not enough.
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
    """Chooses the machine on which the fewest attempts have to stop so that a task of the job fits.

    Args:
        job: The job that needs capacity.
        machines: The free capacity of eligible machines, each with the attempts on it.
        order: Decides which jobs may be preempted for which.
        at_limit: Whether the job waits because of its team's limit. A machine that has enough free capacity, so that
            nothing has to stop there, is then accepted too.

    Returns:
        The machine and the attempts to stop; None if no machine qualifies.
    """
    best: Preemption | None = None
    for capacity, attempts in machines:
        if at_limit and capacity.max_tasks(job.spec):
            return Preemption(capacity.machine, [])
        victims = choose_victims(job.spec, capacity, preemptible(job, attempts, order))
        if victims and (best is None or len(victims) < len(best.attempts)):
            best = Preemption(capacity.machine, victims)
    return best
