"""Which tasks of lower priority stop so that a task of a more urgent job finds room, and which move for little."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sloeswitch.core import job_queue
from sloeswitch.core.job_priority import PRIORITY_RANKS, effective_priority
from sloeswitch.core.machine_registry import RUNNING, Attempt
from sloeswitch.core.placement import FreeCapacity
from sloeswitch.core.quota import ResourceUsage
from sloeswitch.core.records import Job
from sloeswitch.wire import JobSpec

# The part of its running tasks that a job which goes by age lends to jobs of higher priority.
PREEMPTIBLE_SHARE = 0.5


@dataclass(frozen=True)
class Preemption:
    """Attempts to be stopped on one machine."""

    machine: str
    attempts: list[Attempt]


@dataclass(frozen=True)
class QueueOrder:
    """Who may be stopped for whom, by the line."""

    # The places of jobs in the line; a job without one is last.
    positions: Mapping[str, int]
    # How many running tasks may stop of jobs that stand where they do by their age alone.
    preemptible_counts: Mapping[str, int] = field(default_factory=dict)

    @staticmethod
    def of(line: Iterable[Job], placed: Mapping[str, int]) -> QueueOrder:
        """The order of a line. `placed`: the sets of tasks, by job, that are on machines.

        Of a job that goes by age a part must go on, so that the bounds on standing back hold. Guards against large
        machines that stay full of old best-effort work: gangs that fit nowhere else waited for eight leases until they
        went first themselves (found on the bench).
        """
        positions: dict[str, int] = {}
        lendable: dict[str, int] = {}
        for position, job in enumerate(line):
            name = job.spec.id
            positions.setdefault(name, position)
            if job_queue.is_ordered_by_age(job):
                lendable[name] = int(PREEMPTIBLE_SHARE * placed.get(name, 0).bit_count())
        return QueueOrder(positions, lendable)

    def is_behind(self, job: str, other: str) -> bool:
        """Whether the other job stands behind this one."""
        last = len(self.positions)
        return self.positions.get(other, last) > self.positions.get(job, last)


def preemptible(job: Job, attempts: Iterable[Attempt], order: QueueOrder) -> list[Attempt]:
    """The attempts that may be stopped for a job, the youngest first: of lower priority, and of jobs behind it in the
    line or, for a part of their tasks, of jobs that go by age."""
    lent: Counter[str] = Counter()
    found: list[Attempt] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.placed_at):
        if attempt.spec.gang or attempt.kill_grace_s is not None:
            continue
        if PRIORITY_RANKS[attempt.spec.priority] <= effective_priority(job):
            continue
        if not order.is_behind(job.spec.id, attempt.job):
            if lent[attempt.job] >= order.preemptible_counts.get(attempt.job, 0):
                continue
            lent[attempt.job] += 1
        found.append(attempt)
    return found


def is_movable(attempt: Attempt, now: float) -> bool:
    """Whether an attempt can be stopped and go on elsewhere for little: it saves, and is not new."""
    spec = attempt.spec
    return (
        spec.checkpoint_s > 0
        and not spec.gang
        and attempt.state == RUNNING
        and attempt.kill_grace_s is None
        and attempt.running_at is not None
        and now - attempt.running_at > 2 * spec.checkpoint_s
    )


def choose_victims(spec: JobSpec, room: FreeCapacity, attempts: list[Attempt]) -> list[Attempt]:
    """Which of the attempts have to stop, in their order, so that one task of the job fits the machine; none if it
    does not fit then either."""
    trial = FreeCapacity(**vars(room))
    chosen: list[Attempt] = []
    for attempt in attempts:
        if trial.max_tasks(spec):
            break
        trial.take(attempt.spec, -1)
        chosen.append(attempt)
    return chosen if trial.max_tasks(spec) else []


def victims_within_limit(spec: JobSpec, short: ResourceUsage, attempts: Iterable[Attempt]) -> list[Attempt] | None:
    """Which of the attempts have to stop so that the team's limit has so much more room: tasks of its own. None when
    they do not suffice.

    Guards against a team that is at its limit through its own work of lower priority, for which nothing was stopped.
    """
    chosen: list[Attempt] = []
    freed = ResourceUsage()
    for attempt in attempts:
        if freed.cores >= short.cores and freed.gpus >= short.gpus:
            break
        if attempt.spec.team == spec.team:
            freed.add(attempt.spec)
            chosen.append(attempt)
    return chosen if freed.cores >= short.cores and freed.gpus >= short.gpus else None


def plan_preemption(
    job: Job, rooms: Iterable[tuple[FreeCapacity, Iterable[Attempt]]], order: QueueOrder, at_limit: bool = False
) -> Preemption | None:
    """The machine on which the fewest attempts have to stop for a task of the job. `at_limit`: the team's limit keeps
    the job from room that is there, so that a machine with room will do."""
    best: Preemption | None = None
    for room, attempts in rooms:
        if at_limit and room.max_tasks(job.spec):
            return Preemption(room.machine, [])
        stopped = choose_victims(job.spec, room, preemptible(job, attempts, order))
        if stopped and (best is None or len(stopped) < len(best.attempts)):
            best = Preemption(room.machine, stopped)
    return best
