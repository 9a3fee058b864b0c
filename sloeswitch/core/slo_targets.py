"""Targets of jobs: the times by which a job should be done.

They follow from the objectives of its class, from its deadline and from the deadlines of the jobs that depend on it.
All targets are in seconds since the submission of the job.
"""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch.core.records import Job
from sloeswitch.settings import Objective, ObjectiveKind
from sloeswitch.wire import JobSpec


def deadlines(spec: JobSpec, objectives: tuple[Objective, ...]) -> set[float]:
    """The deadlines of a job in seconds since its submission, one for each deadline objective of its class."""
    if spec.deadline_s is None:
        return set()
    factors = {
        objective.deadline_factor
        for objective in objectives
        if objective.kind == ObjectiveKind.DEADLINE and objective.job_class == spec.job_class
    }
    return {factor * spec.deadline_s for factor in factors}


def slo_targets(job: Job, objectives: tuple[Objective, ...]) -> list[float]:
    """The targets of a job in seconds since its submission, the earliest first; cached in the job.

    Deadlines count from the submission. Targets for the wait and for the completion count from the time at which the
    last prerequisite of the job was done. The deadline of a job whose class has no objectives is a target itself.
    """
    if job.slo_targets_s is not None:
        return job.slo_targets_s
    spec = job.spec
    found = deadlines(spec, objectives)
    waited_s = (job.ready_ms - job.submitted_ms) / 1000
    for objective in objectives:
        if objective.job_class != spec.job_class or objective.within_s is None:
            continue
        if objective.kind == ObjectiveKind.DONE:
            found.add(waited_s + objective.within_s)
        elif objective.kind == ObjectiveKind.STARTED:
            found.add(waited_s + objective.within_s + spec.estimate_s)
    if spec.deadline_s is not None and not found:
        found.add(spec.deadline_s)
    if job.inherited_deadlines is not None:
        found.update((by_ms - job.submitted_ms) / 1000 for by_ms in job.inherited_deadlines)
    job.slo_targets_s = sorted(found)
    return job.slo_targets_s


class NextTarget(NamedTuple):
    """How many targets of a job are missed, and the latest start for the next one."""

    # How many targets the job can no longer meet.
    missed: int
    # The age of the job, in seconds, by which its last tasks must start to meet the next target; None if none is left.
    start_by_s: float | None


def next_target(job: Job, objectives: tuple[Objective, ...], age_s: float) -> NextTarget:
    """How many targets the job can no longer meet at this age, and when it must start to meet the next one."""
    targets = slo_targets(job, objectives)
    needed_s = job.spec.estimate_s if job.has_unclaimed_tasks else 0.0
    for missed, target in enumerate(targets):
        if target >= age_s + needed_s:
            return NextTarget(missed, target - needed_s)
    return NextTarget(len(targets), None)
