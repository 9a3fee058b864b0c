"""What goes over HTTP. Wire names live in this module only; the rest of the code uses its own terms.

On the wire a machine is a `host`, a task a `visit`, an attempt a `try`, an array a `sweep`, a gang a
`group`, a token a `baton`, a lease a `permit`, a session a `shift` and a zone a `district`.
"""

from __future__ import annotations

import math
import re
from typing import Any, TypeVar

import msgspec
from msgspec import Struct

T = TypeVar("T")

ID_FORM = re.compile(r"wk-[0-9]{1,32}")
PRIORITIES = ("critical", "urgent", "standard", "best_effort")
ARRAY, GANG = "sweep", "group"
QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "withdrawn"
MAX_TASKS = 100_000
MAX_BODY = 64 * 1024


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
    id: str
    job_class: str
    team: str
    shape: str
    priority: str
    tasks: int
    cores: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    # Jobs that have to be done before any task of this one starts.
    prerequisites: tuple[str, ...] = ()

    @property
    def gang(self) -> bool:
        return self.shape == GANG

    @property
    def zone_bound(self) -> bool:
        """Whether the zones of its tasks depend on each other."""
        return self.one_zone or self.spread


class ReportedTask(Struct, rename={"task": "visit", "attempt": "try", "state": "status"}):
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
    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    agent_epoch: int
    sequence: int
    fencing_token: int
    tasks: list[ReportedTask]
    preemption_notice_s: float | None = None


class WorkerCommand(Struct, omit_defaults=True, rename={"task": "visit", "attempt": "try", "grace_s": "windDownS"}):
    verb: str
    task: str
    attempt: int
    grace_s: float | None = None


class WorkerCommands(
    Struct, omit_defaults=True, rename={"fencing_token": "baton", "commands": "orders", "agent_epoch": "shift"}
):
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
    name: str
    cores: float
    gpus: float
    memory: float
    cache_gb: float
    fetch_gb_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


class MachineTypeCatalog(Struct, rename={"types": "builds"}):
    types: list[MachineType]


class InstanceRequest(Struct, rename={"name": "booking", "type": "build", "zone": "district", "spot": "loaners"}):
    name: str
    type: str
    zone: str
    spot: bool
    count: int


class InstancesCreated(Struct, rename={"instances": "hosts"}):
    instances: list[str]


class Instance(
    Struct, rename={"type": "build", "zone": "district", "spot": "loaners", "state": "status", "age_s": "heldS"}
):
    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class InstancePage(Struct, rename={"instances": "hosts", "more": "hasNext"}):
    instances: list[Instance]
    more: bool


class StoredRow(Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    key: str
    value: Any
    mod_revision: int


class StoredRowPage(Struct, rename={"revision": "epoch", "more": "hasNext"}):
    rows: list[StoredRow]
    revision: int
    more: bool


class ChangeEvent(Struct, rename={"mod_revision": "stamp", "value": "v"}):
    mod_revision: int
    write: str | None = None
    drop: str | None = None
    value: Any = None


class ChangeFeed(Struct, rename={"revision": "epoch"}):
    revision: int
    events: list[ChangeEvent]


class RevisionReply(Struct, rename={"revision": "epoch"}):
    revision: int


class LeaseGrant(Struct, rename={"lease_id": "permit"}):
    lease_id: int


_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(data: bytes, kind: type[T]) -> T:
    """A message of the given kind, or MalformedError saying what is wrong with it."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.json.Decoder(kind)
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


def check_spec(spec: JobSpec) -> JobSpec:
    """Refuses what has the right types and still cannot be a job."""
    if not ID_FORM.fullmatch(spec.id):
        raise MalformedError("id: not in the form wk-000412")
    if spec.shape not in (ARRAY, GANG):
        raise MalformedError("shape: neither sweep nor group")
    if spec.priority not in PRIORITIES:
        raise MalformedError("urgency: unknown")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise MalformedError(f"visits: not between 1 and {MAX_TASKS}")
    for name in ("cores", "gpus", "memory", "image_gb", "estimate_s", "checkpoint_s", "save_s"):
        amount = getattr(spec, name)
        if not math.isfinite(amount) or amount < 0:
            raise MalformedError(f"{name}: negative or not finite")
    if spec.deadline_s is not None and not (math.isfinite(spec.deadline_s) and spec.deadline_s >= 0):
        raise MalformedError("dueS: negative or not finite")
    if not all(ID_FORM.fullmatch(name) for name in spec.prerequisites):
        raise MalformedError("awaits: not all are job ids")
    if len(set(spec.prerequisites)) < len(spec.prerequisites):
        spec = msgspec.structs.replace(spec, prerequisites=tuple(dict.fromkeys(spec.prerequisites)))
    return spec


def task_name(job: str, index: int) -> str:
    return f"{job}/{index}"


def split_task(name: str) -> tuple[str, int]:
    job, _, index = name.rpartition("/")
    if not job or not index.isdigit():
        raise MalformedError(f"task name {name!r}")
    return job, int(index)


def submission_reply(job: str, status: str) -> bytes:
    return encode({"id": job, "status": status})


def poll_reply(job: str, status: str, done: int, running: int, cell: str | None = None) -> bytes:
    reply = {"id": job, "status": status, "done": done, "running": running}
    if cell is not None:
        reply["cell"] = cell
    return encode(reply)


def redirect_reply(member: str | None) -> bytes:
    return encode({"foreman": member}) if member else b"{}"


def delete_body(machines: list[str]) -> bytes:
    return encode({"hosts": machines})


def commit_body(conditions: dict[str, int], writes: dict[str, Any], drops: list[str], lease: dict[str, int]) -> bytes:
    then: list[dict[str, Any]] = []
    for key, value in writes.items():
        item = {"write": key, "v": value}
        if key in lease:
            item["permit"] = lease[key]
        then.append(item)
    then.extend({"drop": key} for key in drops)
    return encode({"if": [{"k": key, "stamp": stamp} for key, stamp in conditions.items()], "then": then})
