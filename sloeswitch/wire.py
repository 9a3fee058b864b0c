"""The messages of the protocol (docs/PROTOCOL) over HTTP, to and from users, workers, the cloud and the state service.

This is the only module that knows the protocol's own words. The rest of the code uses the terms of the field, and each
message maps its fields to the words on the wire in the table `rename` at its head; a field that is not in the table has
the same name on the wire. Words that are values, such as the status of a job, are the values of the enumerations below.

On the wire a machine is a `host`, a machine type a `build`, a task a `visit`, an attempt a `try`, an array a `sweep`, a
gang a `group`, a class of jobs a `roster`, a team a `crew`, a priority an `urgency`, an image a `kit`, a spot machine
a `loaner`, a zone a `district`, a fencing token a `baton`, the epoch of a worker's agent a `shift`, a command an
`order`, a checkpoint a `snapshot`, a lease a `permit`, the revision of a key a `stamp`, that of the store an `epoch`.

Units: durations (`_s`) are in seconds, `memory` and sizes of images (`_gb`) in GB, `cores` and `gpus` in processor
cores and accelerators, whole or in part. Any field that may be None may be left out on the wire.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any, TypeVar

import msgspec
from msgspec import Struct

T = TypeVar("T")

ID_FORM = re.compile(r"wk-[0-9]{1,32}")
# The most tasks of one job.
MAX_TASKS = 100_000
# The largest body of a request.
MAX_BODY = 64 * 1024


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


class CommandVerb(StrEnum):
    """What a worker is told to do with an attempt of a task; CLEAR removes one that ended from its reports."""

    START = "start"
    KILL = "kill"
    CLEAR = "clear"


# Short names, for modules that use them still.
QUEUED, RUNNING, DONE, CANCELLED = JobStatus
PRIORITIES: tuple[str, ...] = tuple(Priority)


class MalformedError(Exception):
    """A message that is not what the protocol says."""


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


class ReportedTask(Struct, rename={"task": "visit", "attempt": "try", "state": "status"}):
    """One attempt of a task in a worker's report.

    The cause says why it ended; `saved` is true if its progress was saved when it was stopped.
    """

    task: str
    attempt: int
    state: str
    cause: str | None = None
    saved: bool | None = None


class WorkerReport(
    Struct,
    rename={
        "machine": "host",
        "type": "build",
        "zone": "district",
        "spot": "loaners",
        "agent_epoch": "shift",
        "sequence": "tally",
        "fencing_token": "baton",
        "preemption_notice_s": "warningS",
        "tasks": "visits",
    },
):
    """A worker's report (POST /agent/beat), and its answer to a direct command or an inspection."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    # The worker's epoch begins at 1 and rises when its lease ends; the sequence rises with each report. Of two reports
    # the one with the larger pair is the newer.
    agent_epoch: int
    sequence: int
    # The highest that the worker has seen; 0 at first.
    fencing_token: int
    # All attempts on the machine, those that ended included until they are cleared.
    tasks: list[ReportedTask]
    # Until the cloud takes the machine away; None: no notice.
    preemption_notice_s: float | None = None


class WorkerCommand(Struct, omit_defaults=True, rename={"task": "visit", "attempt": "try", "grace_s": "windDownS"}):
    """A command to a worker. The grace of a kill is the time in which the task may save its progress."""

    verb: str
    task: str
    attempt: int
    grace_s: float | None = None


class WorkerCommands(
    Struct, omit_defaults=True, rename={"fencing_token": "baton", "commands": "orders", "agent_epoch": "shift"}
):
    """The answer to a report, or a direct command (POST /commands), which names the worker's epoch.

    The worker executes the commands in order, and drops all if the token is lower than the highest it has seen.
    """

    fencing_token: int
    commands: list[WorkerCommand]
    agent_epoch: int | None = None


class MachineType(
    Struct,
    rename={
        "gpus": "accelerators",
        "memory": "memoryGb",
        "cache_gb": "cacheGb",
        "fetch_gb_s": "fetchGbPerS",
        "price": "rate",
        "spot_price": "marketPrice",
        "boot_s": "readyS",
        "zones": "districts",
    },
):
    """A machine type that the cloud rents out."""

    name: str
    cores: float
    gpus: float
    memory: float
    # Room for images, and how many GB of an image are fetched a second, give or take a third.
    cache_gb: float
    fetch_gb_s: float
    # Per hour, charged by the second; the spot price moves by up to a third.
    price: float
    spot_price: float
    # Usually 0.6 to 1.5 times as long.
    boot_s: float
    zones: list[str]


class MachineTypeCatalog(Struct, rename={"types": "builds"}):
    """The cloud's machine types (GET /catalog)."""

    types: list[MachineType]


class InstanceRequest(Struct, rename={"name": "booking", "type": "build", "zone": "district", "spot": "loaners"}):
    """Asks the cloud for instances (POST /machines).

    A repeated name gets the first answer and rents nothing; it is never used for another request.
    """

    name: str
    type: str
    zone: str
    spot: bool
    count: int


class InstancesCreated(Struct, rename={"instances": "hosts"}):
    """The names of the instances that the cloud created; fewer than asked for if there was no room for more."""

    instances: list[str]


class Instance(
    Struct, rename={"type": "build", "zone": "district", "spot": "loaners", "state": "status", "age_s": "heldS"}
):
    """An instance in the cloud's list: `starting`, `running` or `failed`; its age counts from the request."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class InstancePage(Struct, rename={"instances": "hosts", "more": "hasNext"}):
    """A page of the cloud's instances, by name (GET /machines). The list lags behind."""

    instances: list[Instance]
    more: bool


class StoredRow(Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A stored value, and the store's revision at its last change."""

    key: str
    value: Any
    mod_revision: int


class StoredRowPage(Struct, rename={"revision": "epoch", "more": "hasNext"}):
    """A page of stored values, by key (GET /kv), read at a revision of the store."""

    rows: list[StoredRow]
    revision: int
    more: bool


class ChangeEvent(Struct, rename={"mod_revision": "stamp", "value": "v"}):
    """A change of one key: a write of a value, or a drop."""

    mod_revision: int
    write: str | None = None
    drop: str | None = None
    value: Any = None


class ChangeFeed(Struct, rename={"revision": "epoch"}):
    """All changes since a revision of the store, up to another (GET /changes)."""

    revision: int
    events: list[ChangeEvent]


class RevisionReply(Struct, rename={"revision": "epoch"}):
    """The store's revision after a transaction."""

    revision: int


class LeaseGrant(Struct, rename={"lease_id": "permit"}):
    """A lease that the state service granted (POST /grants)."""

    lease_id: int


_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(data: bytes, message_type: type[T]) -> T:
    """A message of the given type, or MalformedError saying what is wrong with it."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        result: T = decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedError(str(error)) from None
    return result


encode = msgspec.json.encode


def submitted_id(data: bytes) -> str | None:
    """The job id of a submission whatever else is in it; MalformedError unless it is a JSON object."""
    body = decode(data, dict[str, Any])
    job = body.get("id")
    return job if isinstance(job, str) and ID_FORM.fullmatch(job) else None


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
    if not ID_FORM.fullmatch(spec.id):
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
    if not all(ID_FORM.fullmatch(name) for name in spec.prerequisites):
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


def redirect_reply(member: str | None) -> bytes:
    """The body of a 421: the controller to which the worker should report, if it is known."""
    return encode({"foreman": member}) if member else b"{}"


def delete_body(machines: list[str]) -> bytes:
    """The body that asks the cloud to delete instances (POST /machines/delete)."""
    return encode({"hosts": machines})


def commit_body(conditions: dict[str, int], writes: dict[str, Any], drops: list[str], lease: dict[str, int]) -> bytes:
    """The body of a transaction (POST /multi).

    It is carried out if each key in `conditions` has this modification revision, 0 if it is absent. `lease` has the
    lease to which a written key is bound.
    """
    then: list[dict[str, Any]] = []
    for key, value in writes.items():
        item = {"write": key, "v": value}
        if key in lease:
            item["permit"] = lease[key]
        then.append(item)
    then.extend({"drop": key} for key in drops)
    return encode({"if": [{"k": key, "stamp": stamp} for key, stamp in conditions.items()], "then": then})
