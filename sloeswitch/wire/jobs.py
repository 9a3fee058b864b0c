"""Messages of users (job submissions, polls, cancellations) and the names of tasks."""

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
# The maximum number of tasks per job.
MAX_TASKS = 100_000


class JobStatus(StrEnum):
    """The status of a job as reported to users."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


class JobShape(StrEnum):
    """Whether the tasks of a job are independent (array) or must all run at the same time (gang)."""

    ARRAY = "sweep"
    GANG = "group"


class Priority(StrEnum):
    """The priorities of jobs, in descending order."""

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

    The shape and the priority are strings and not enums, so that `check_spec` can reject an unknown value with its own
    error text.
    """

    # The job id, the class whose objectives apply, and the team whose guarantee and limit apply.
    id: str
    job_class: str
    team: str
    shape: str
    priority: str
    # The number of tasks.
    tasks: int
    # The resources that each task needs.
    cores: float
    gpus: float
    memory: float
    # The image that a machine has to fetch before a task can start, and its size.
    image: str
    image_gb: float
    # Whether all tasks must be in one zone, whether at most half of them may be in the same zone, and whether spot
    # machines are allowed.
    one_zone: bool
    spread: bool
    spot: bool
    # The user's estimate of a task's run time without fetching the image, often wrong by half; the interval of
    # checkpoints, 0 if the task saves none; and the time that a task needs to save its progress when it is stopped.
    estimate_s: float
    checkpoint_s: float
    save_s: float
    # The allowed machine types and the allowed zone; None allows any.
    types: list[str] | None = None
    zone: str | None = None
    # The deadline of the job, counted from its submission; None for no deadline.
    deadline_s: float | None = None
    # The jobs that must be done before any task of this job starts.
    prerequisites: tuple[str, ...] = ()

    @property
    def gang(self) -> bool:
        """Whether all tasks must run at the same time."""
        return self.shape == JobShape.GANG

    @property
    def zone_bound(self) -> bool:
        """Whether the zone of a task depends on the zones of the other tasks."""
        return self.one_zone or self.spread


def submitted_id(data: bytes) -> str | None:
    """Returns the job id of a submission without checking its other fields, or None if the id is missing or invalid.

    Raises:
        MalformedError: The body is not a JSON object.
    """
    body = decode(data, dict[str, Any])
    job = body.get("id")
    return job if isinstance(job, str) and JOB_ID_PATTERN.fullmatch(job) else None


# The amounts in a submission that are checked, by their names in error texts to users.
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
    """Checks the values of a decoded submission.

    Returns:
        The spec without repeated prerequisites.

    Raises:
        MalformedError: A value is invalid; the user receives the text of the error.
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
    """Returns the name of a task on the wire; the tasks of a job are numbered from 0."""
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Splits the name of a task into its job and its number; raises MalformedError for an invalid name."""
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise MalformedError(f"task name {name!r} is not in the form JOB/INDEX")
    return job, int(index)


def submission_reply(job: str, status: str) -> bytes:
    """Encodes the answer to a submission or a cancellation."""
    return encode({"id": job, "status": status})


def poll_reply(job: str, status: str, done: int, running: int, cell: str | None = None) -> bytes:
    """Encodes the answer to a poll: the counts of tasks, and the cell if the job runs in another cell."""
    reply = {"id": job, "status": status, "done": done, "running": running}
    if cell is not None:
        reply["cell"] = cell
    return encode(reply)
