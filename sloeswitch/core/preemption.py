"""Which tasks of lower priority stop so that a task of a more urgent job finds room, and which move for little."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sloeswitch.core.placement import Room
from sloeswitch.core.ready import RANK, urgency
from sloeswitch.core.registry import RUNNING, Attempt
from sloeswitch.core.tables import Job
from sloeswitch.wire import JobSpec


@dataclass(frozen=True)
class Preemption:
    """Attempts to be stopped on one machine."""

    machine: str
    attempts: list[Attempt]


def preemptible(job: Job, attempts: Iterable[Attempt], positions: Mapping[str, int]) -> list[Attempt]:
    """The attempts that may be stopped for a job: of lower priority, and of jobs behind it in the line, so that the
    bounds on standing back hold for those too. `positions`: the places in the line; a job without one is last."""
    last = len(positions)
    position = positions[job.spec.id]
    return [
        attempt for attempt in attempts
        if not attempt.spec.gang and attempt.kill_grace_s is None
        and RANK[attempt.spec.priority] > urgency(job) and positions.get(attempt.job, last) > position
    ]  # fmt: skip


def movable(attempt: Attempt, now: float) -> bool:
    """Whether an attempt can be stopped and go on elsewhere for little: it saves, and is not new."""
    spec = attempt.spec
    return (
        spec.checkpoint_s > 0 and not spec.gang and attempt.state == RUNNING and attempt.kill_grace_s is None
        and attempt.running_at is not None and now - attempt.running_at > 2 * spec.checkpoint_s
    )  # fmt: skip


def victims(spec: JobSpec, room: Room, attempts: list[Attempt]) -> list[Attempt]:
    """Which of the attempts have to stop, the youngest first, so that one task of the job fits the machine; none
    if it does not fit then either."""
    trial = Room(**vars(room))
    chosen: list[Attempt] = []
    for attempt in sorted(attempts, key=lambda attempt: -attempt.placed_at):
        if trial.count(spec):
            break
        trial.take(attempt.spec, -1)
        chosen.append(attempt)
    return chosen if trial.count(spec) else []


def choose(
    job: Job, rooms: Iterable[tuple[Room, Iterable[Attempt]]], positions: Mapping[str, int]
) -> Preemption | None:  # fmt: skip
    """The machine on which the fewest attempts have to stop for a task of the job."""
    best: Preemption | None = None
    for room, attempts in rooms:
        stopped = victims(job.spec, room, preemptible(job, attempts, positions))
        if stopped and (best is None or len(stopped) < len(best.attempts)):
            best = Preemption(room.machine, stopped)
    return best
