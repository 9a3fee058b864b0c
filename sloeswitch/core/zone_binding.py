"""The zones in which the tasks of a zone-bound job may run, given the zone that is stored for the job.

The tasks of a `one_zone` job run in the stored zone. Of a `spread` job, no zone may hold more than half of the tasks,
rounded up, at any moment; tasks that are done are in no zone. Each task that is not done belongs to one of two sets,
or to both: those that may run in the stored zone, and those that may run in the other zones. Neither set is larger than
half of the tasks, so that controllers need not count each other's tasks.

Both sets follow from the stored zone and the stored completions alone. As tasks complete, a set loses only these, and
gains others: a controller that has not read the latest completions uses subsets of the present sets. So does an earlier
version, which lets the lower half of the task indexes run in the stored zone and the others elsewhere.
"""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch.core import taskset
from sloeswitch.core.records import Job
from sloeswitch.core.taskset import TaskSet
from sloeswitch.wire import JobSpec


class SpreadTasks(NamedTuple):
    """The tasks of a `spread` job that may run in its stored zone, and those that may run in the other zones."""

    in_job_zone: TaskSet
    elsewhere: TaskSet


def max_tasks_in_zone(spec: JobSpec) -> int:
    """The largest number of tasks of a `spread` job in one zone: half of the tasks, rounded up."""
    return (spec.tasks + 1) // 2


def spread_tasks(spec: JobSpec, done: TaskSet) -> SpreadTasks:
    """Divides the tasks of a `spread` job that are not done.

    The lower half of the indexes may run in the stored zone, and the others elsewhere. As many of the other half as
    make up for completed tasks may run there too: in the stored zone those with the lowest indexes, elsewhere those
    with the highest.
    """
    limit = max_tasks_in_zone(spec)
    remaining = taskset.full(spec.tasks) & ~done
    lower = remaining & taskset.full(limit)
    upper = remaining & ~lower
    return SpreadTasks(
        lower | taskset.lowest(upper, limit - lower.bit_count()),
        upper | taskset.highest(lower, limit - upper.bit_count()),
    )


def tasks_allowed_in_zone(spec: JobSpec, zone: str, job_zone: str | None, done: TaskSet = 0) -> TaskSet:
    """The tasks of a zone-bound job that may run in a zone.

    Args:
        spec: The job.
        zone: The zone of a machine.
        job_zone: The zone that is stored for the job. Without it, the tasks may not run anywhere.
        done: The tasks of the job that are stored as done.
    """
    if job_zone is None:
        return 0
    if spec.one_zone:
        return taskset.full(spec.tasks) if zone == job_zone else 0
    tasks = spread_tasks(spec, done)
    return tasks.in_job_zone if zone == job_zone else tasks.elsewhere


def unrestricted_tasks(spec: JobSpec, done: TaskSet) -> TaskSet:
    """The tasks of a `spread` job that may run in its stored zone as well as in the others; none of another job."""
    if not spec.spread:
        return 0
    tasks = spread_tasks(spec, done)
    return tasks.in_job_zone & tasks.elsewhere


class ZoneLimits:
    """How many more tasks of a `spread` job the autoscaler may count on machines of each zone.

    While the job has no stored zone, each zone has the same limit. With one, that zone has a limit of its own, and all
    other zones have one together.
    """

    def __init__(self, job_zone: str | None, in_job_zone: float, elsewhere: float) -> None:
        self._job_zone = job_zone
        self._in_job_zone = in_job_zone
        self._elsewhere = elsewhere
        # By zone, the tasks counted in it; all zones but the stored one count as None together.
        self._counted: dict[str | None, float] = {}

    @classmethod
    def of_job(cls, job: Job) -> ZoneLimits | None:
        """The limits of a job; None if any zone may hold all of its remaining tasks."""
        spec = job.spec
        limit = max_tasks_in_zone(spec)
        if not spec.spread or job.remaining_tasks <= limit:
            return None
        if job.progress.zone is None:
            return cls(None, limit, limit)
        tasks = spread_tasks(spec, job.progress.done)
        return cls(job.progress.zone, tasks.in_job_zone.bit_count(), tasks.elsewhere.bit_count())

    def copy(self) -> ZoneLimits:
        """A copy that counts on its own."""
        copied = ZoneLimits(self._job_zone, self._in_job_zone, self._elsewhere)
        copied._counted = dict(self._counted)
        return copied

    def tasks_left(self, zone: str) -> float:
        """How many more tasks may be counted in the zone."""
        limit = self._in_job_zone if zone == self._job_zone else self._elsewhere
        return limit - self._counted.get(self._counted_as(zone), 0.0)

    def count(self, zone: str, tasks: float) -> None:
        """Counts tasks in the zone."""
        key = self._counted_as(zone)
        self._counted[key] = self._counted.get(key, 0.0) + tasks

    def _counted_as(self, zone: str) -> str | None:
        return zone if self._job_zone in (None, zone) else None
