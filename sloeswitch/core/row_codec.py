"""How rows of the state service are encoded: jobs, their handoffs, specs in chunks, and groups of machines."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any

import msgspec

from sloeswitch.cells.handoff import OriginRow, Placement
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.core import taskset
from sloeswitch.core.records import Job, MachineRow, Progress
from sloeswitch.wire import JobSpec


def encode_job(status: str, spec: JobSpec, submitted_ms: int, parts: tuple[str, int] | None = None) -> dict[str, Any]:
    """A job that is not over, as it is stored."""
    value: dict[str, Any] = {"s": status, "n": spec.tasks, "t": submitted_ms}
    if parts is not None:
        return {**value, "parts": list(parts)}
    return {**value, "spec": msgspec.to_builtins(spec)}


def encode_job_links(job: Job, over: bool = False) -> dict[str, Any]:
    """What a job's row keeps of other cells, whatever else is written to it."""
    links: dict[str, Any] = {}
    if job.delegated is not None:
        links["o"] = list(job.delegated)
    if job.handoff is not None and (job.handoff.placements or not over):
        links["h"] = encode_handoff(job.handoff, job.returned_ms)
    return links


def encode_finished_job(status: str, spec: JobSpec, ended_ms: int) -> dict[str, Any]:
    """A job that is over. The time is that from which the times of jobs that await it count."""
    return {"s": status, "n": spec.tasks, "t": ended_ms}


def encode_handoff(row: OriginRow, returned_ms: int = 0) -> dict[str, Any]:
    """What a job's row keeps of its handoffs to other cells."""
    value: dict[str, Any] = {"p": row.policy.value}
    if row.away is not None:
        value["a"] = [row.away.target, row.away.number]
    if row.recalls:
        value["r"] = [[each.target, each.number] for each in row.recalls]
    if row.cancelling:
        value["c"] = True
    if returned_ms:
        value["t"] = returned_ms
    return value


def decode_handoff(job: str, value: dict[str, Any] | None) -> OriginRow | None:
    """The handoffs that a job's row tells of. The cell's own name is not stored."""
    if value is None:
        return None
    away = Placement(*value["a"]) if "a" in value else None
    recalls = tuple(Placement(*each) for each in value.get("r", ()))
    return OriginRow("", job, MovePolicy(value["p"]), away, recalls, cancelling=value.get("c", False))


def encode_progress(progress: Progress, dense: bool = False) -> dict[str, Any]:
    """As it is stored; `dense` once no controller of an earlier layout can come back."""
    pack = taskset.pack_dense if dense else taskset.pack
    value: dict[str, Any] = {
        "d": pack(progress.done),
        "c": {tag: pack(mask) for tag, mask in progress.claims.items() if mask},
    }
    if progress.zone is not None:
        value["z"] = progress.zone
    if progress.attempt:
        value["a"] = progress.attempt
    return value


def decode_progress(value: dict[str, Any]) -> Progress:
    """Progress from its stored value."""
    return Progress(
        taskset.unpack(value["d"]),
        {tag: taskset.unpack(runs) for tag, runs in value["c"].items()},
        value.get("z"),
        value.get("a", 0),
        value.get("e", 0),
    )


def encode_machine(row: MachineRow) -> list[Any]:
    """A machine as it stands in its group."""
    return [row.address, row.type, row.zone, row.spot]


def split_spec(spec: JobSpec, most_bytes: int) -> list[str]:
    """A spec as texts, each of which is a value within the limit."""
    text = b64encode(msgspec.json.encode(spec)).decode()
    step = max(1, most_bytes - 2)  # with its quotation marks
    return [text[start : start + step] for start in range(0, len(text), step)]


def join_spec(texts: list[str]) -> JobSpec:
    return msgspec.json.decode(b64decode("".join(texts), validate=True), type=JobSpec)


def split_machine_groups(rows: dict[str, list[Any]], most_bytes: int) -> list[dict[str, list[Any]]]:
    """The machines' rows parted into groups that are each a value within the limit."""
    groups: list[dict[str, list[Any]]] = []
    room = 0
    for name, row in rows.items():
        size = len(msgspec.json.encode({name: row}))
        if size > room or not groups:
            groups.append({})
            room = most_bytes - len('{"m":}')
        groups[-1][name] = row
        room -= size
    return groups
