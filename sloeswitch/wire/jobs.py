"""Submissions of jobs by users, polls, cancellations, and the names of tasks."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct

from sloeswitch.wire.codec import MalformedError, decode, encode

JOB_ID_PATTERN = re.compile(r"wk-[0-9]{1,32}")
# The most tasks of one job.
MAX_TASKS = 100_000


class JobStatus(StrEnum):
    """What users are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


class JobShape(StrEnum):
    """Whether a job's tasks are independent (array), or run at the same time or not at all (gang)."""

    ARRAY = "sweep"
    GANG = "group"


class Priority(StrEnum):
    """Priorities of jobs, the highest first."""

    CRITICAL = "critical"
    URGENT = "urgent"
    STANDARD = "standard"
    BEST_EFFORT = "best_effort"


class JobSpec(
    Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "job_class": "roster",
        "prerequisites": "awaits",
        "team": "crew",
        "priority": "urgency",
        "tasks": "visits",
        "gpus": "accelerators",
        "memory": "memoryGb",
        "image": "kit",
        "image_gb": "pullGb",
        "types": "builds",
        "zone": "district",
        "one_zone": "together",
        "spot": "loaners",
        "estimate_s": "expectedS",
        "checkpoint_s": "snapshotS",
        "save_s": "stashS",
        "deadline_s": "dueS",
    },
):
    """A job as its user submits it (POST /submissions).

    Its shape and priority are plain texts, since a submission with others is refused in the words of `check_spec`.
    """

    # The job, and whose guarantee, limit and objectives apply to it.
    id: str
    job_class: str
    team: str
    shape: str
    priority: str
    # The number of tasks.
    tasks: int
    # What each task takes of its machine.
    cores: float
    gpus: float
    memory: float
    # What a machine has to fetch before a task can start.
    image: str
    image_gb: float
    # All tasks in one zone; at most half of them in any zone; whether spot machines are allowed.
    one_zone: bool
    spread: bool
    spot: bool
    # The owner's estimate of a task's run time without the image, often wrong by half; the interval of checkpoints, 0
    # if the task saves none; and how long it takes to save when it is stopped.
    estimate_s: float
    checkpoint_s: float
    save_s: float
    # The machine types and the zone that are allowed; None: any.
    types: list[str] | None = None
    zone: str | None = None
    # When the job should be complete, from its submission; None: no deadline.
    deadline_s: float | None = None
    # Jobs that have to be done before any task of this one starts.
    prerequisites: tuple[str, ...] = ()

    @property
    def gang(self) -> bool:
        """Whether its tasks run together or not at all."""
        return self.shape == JobShape.GANG

    @property
    def zone_bound(self) -> bool:
        """Whether the zones of its tasks depend on each other."""
        return self.one_zone or self.spread


def submitted_id(data: bytes) -> str | None:
    """The job id of a submission whatever else is in it; MalformedError unless it is a JSON object."""
    body = decode(data, dict[str, Any])
    job = body.get("id")
    return job if isinstance(job, str) and JOB_ID_PATTERN.fullmatch(job) else None


# Amounts that a submission must give, by the words in which a fault of theirs is told to users.
_AMOUNTS: dict[str, Callable[[JobSpec], float]] = {
    "cores": lambda spec: spec.cores,
    "gpus": lambda spec: spec.gpus,
    "memory": lambda spec: spec.memory,
    "image_gb": lambda spec: spec.image_gb,
    "estimate_s": lambda spec: spec.estimate_s,
    "checkpoint_s": lambda spec: spec.checkpoint_s,
    "save_s": lambda spec: spec.save_s,
}


def check_spec(spec: JobSpec) -> JobSpec:
    """Refuses what has the right types and still cannot be a job.

    Returns the spec with each prerequisite named once. Raises MalformedError, whose text is told to the user.
    """
    if not JOB_ID_PATTERN.fullmatch(spec.id):
        raise MalformedError("id: not in the form wk-000412")
    if spec.shape not in tuple(JobShape):
        raise MalformedError("shape: neither sweep nor group")
    if spec.priority not in tuple(Priority):
        raise MalformedError("urgency: unknown")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise MalformedError(f"visits: not between 1 and {MAX_TASKS}")
    for name, amount in _AMOUNTS.items():
        if not _is_amount(amount(spec)):
            raise MalformedError(f"{name}: negative or not finite")
    if spec.deadline_s is not None and not _is_amount(spec.deadline_s):
        raise MalformedError("dueS: negative or not finite")
    if not all(JOB_ID_PATTERN.fullmatch(name) for name in spec.prerequisites):
        raise MalformedError("awaits: not all are job ids")
    if len(set(spec.prerequisites)) < len(spec.prerequisites):
        spec = msgspec.structs.replace(spec, prerequisites=tuple(dict.fromkeys(spec.prerequisites)))
    return spec


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def task_name(job: str, index: int) -> str:
    """The task's name on the wire; tasks of a job are numbered from 0."""
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """The job and the number of a task; MalformedError if the name is not a task's."""
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise MalformedError(f"task name {name!r}")
    return job, int(index)


def submission_reply(job: str, status: str) -> bytes:
    """The body that answers a submission or a cancellation."""
    return encode({"id": job, "status": status})


def poll_reply(job: str, status: str, done: int, running: int, cell: str | None = None) -> bytes:
    """The body that answers a poll: counts of tasks, and the cell if the job runs in another one."""
    reply = {"id": job, "status": status, "done": done, "running": running}
    if cell is not None:
        reply["cell"] = cell
    return encode(reply)
