"""Encodes and decodes the rows of the state service.

This module converts between the stored field names (mostly single letters, see `core.keys`) and the records of
`core.records`. Decoding raises KeyError, TypeError, ValueError, AttributeError or msgspec.MsgspecError on a row that
this version cannot read; `core.tables.Tables.apply` catches these.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec

from sloeswitch.cells.handoff import OpenHandoff, OriginRow
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.core import taskset
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import (
    FinishedJob,
    IncomingHandoff,
    Job,
    JobState,
    MachineRow,
    MemberRow,
    Progress,
    SpecChunks,
    View,
)
from sloeswitch.wire import JobSpec, MachineType, MachineTypeCatalog

# The value of one row: a JSON object with the stored field names.
StoredRow: TypeAlias = dict[str, Any]
# A machine in its group's row: address, type, zone, spot.
StoredMachine: TypeAlias = list[Any]

_JOB_STATES: dict[str, JobState] = {state.value: state for state in JobState}


# -- jobs


def encode_job(status: JobState | str, spec: JobSpec, submitted_ms: int, chunks: SpecChunks | None = None) -> StoredRow:
    """Encodes the row of a job that is not finished.

    Args:
        status: Its state; a state that this version does not know is written back unchanged.
        spec: Its spec, as the user submitted it.
        submitted_ms: When it was submitted, in milliseconds since the Unix epoch.
        chunks: The chunks that hold its spec; None to store the spec in the row.
    """
    value: StoredRow = {"s": status, "n": spec.tasks, "t": submitted_ms}
    if chunks is not None:
        return {**value, "parts": list(chunks)}
    return {**value, "spec": msgspec.to_builtins(spec)}


def encode_job_handoffs(job: Job, finished: bool = False) -> StoredRow:
    """Encodes the fields with a job's handoffs from and to other cells, which every write of its row must include.

    Args:
        job: The job.
        finished: Whether the written row marks the job as finished. Such a row keeps only handoffs that must still be
            stopped.
    """
    handoffs: StoredRow = {}
    if job.incoming_handoff is not None:
        handoffs["o"] = list(job.incoming_handoff)
    if job.outgoing_handoffs is not None and (job.outgoing_handoffs.open_handoffs or not finished):
        handoffs["h"] = encode_handoffs(job.outgoing_handoffs, job.returned_ms)
    return handoffs


def encode_finished_job(status: JobState | str, spec: JobSpec, finished_ms: int) -> StoredRow:
    """Encodes the row of a finished job; jobs that depend on it count as ready from `finished_ms` on."""
    return {"s": status, "n": spec.tasks, "t": finished_ms}


@dataclass(slots=True)
class JobRow:
    """A job's row, with the fields decoded that every caller needs."""

    value: StoredRow
    mod_revision: int
    status: JobState | str
    # Its handoffs to other cells.
    outgoing_handoffs: OriginRow | None
    # The handoff by which the job came from another cell.
    incoming_handoff: IncomingHandoff | None

    @property
    def has_spec(self) -> bool:
        """Whether the row holds the spec or refers to chunks of it, which means that the job is not finished."""
        return "spec" in self.value or "parts" in self.value


def decode_job_row(job_id: str, value: StoredRow, mod_revision: int) -> JobRow:
    """Decodes the row of a job in any state; a state that this version does not know stays a plain string."""
    outgoing_handoffs = _decode_handoffs(job_id, value.get("h"))
    incoming_handoff = IncomingHandoff(*value["o"]) if "o" in value else None
    stored_status: str = value["s"]
    status = _JOB_STATES.get(stored_status, stored_status) if isinstance(stored_status, str) else stored_status
    return JobRow(value, mod_revision, status, outgoing_handoffs, incoming_handoff)


def decode_spec_chunks(row: JobRow) -> SpecChunks | None:
    """Decodes the reference to the chunks of a spec; None if the spec is in the row itself."""
    return SpecChunks(row.value["parts"][0], row.value["parts"][1]) if "parts" in row.value else None


def decode_spec(row: JobRow) -> JobSpec:
    """Decodes the spec in a job's row."""
    return msgspec.convert(row.value["spec"], JobSpec)


def decode_job(row: JobRow, spec: JobSpec, chunks: SpecChunks | None) -> Job:
    """Creates the record of an unfinished job that was not known before; it counts as ready from its submission on."""
    submitted_ms = row.value["t"]
    job = Job(spec, row.status, row.mod_revision, row.mod_revision, submitted_ms)
    job.spec_chunks = chunks
    job.ready_ms = submitted_ms
    job.cancelled_ms = decode_cancelled_ms(row)
    job.outgoing_handoffs, job.returned_ms, job.incoming_handoff = (
        row.outgoing_handoffs,
        decode_returned_ms(row),
        row.incoming_handoff,
    )
    return job


def decode_cancelled_ms(row: JobRow) -> int:
    """Decodes the time at which a job's user cancelled it; 0 if none is stored."""
    cancelled_ms: int = row.value.get("x", 0)
    return cancelled_ms


def decode_returned_ms(row: JobRow) -> int:
    """Decodes the time at which another cell last returned a job; 0 if none did."""
    returned_ms: int = row.value.get("h", {}).get("t", 0)
    return returned_ms


def decode_finished_job(row: JobRow) -> FinishedJob:
    """Decodes a finished job; an earlier layout did not store the time at which it finished."""
    value = row.value
    return FinishedJob(
        row.status, value["n"], value.get("t", 0), row.mod_revision, row.outgoing_handoffs, row.incoming_handoff
    )


# -- handoffs between cells


def encode_handoffs(row: OriginRow, returned_ms: int = 0) -> StoredRow:
    """Encodes the handoffs of a job to other cells, a field of the job's row.

    Args:
        row: The handoffs.
        returned_ms: When another cell last returned the job, in milliseconds since the Unix epoch; 0 if none did.
    """
    value: StoredRow = {"p": row.policy.value}
    if row.moved_to is not None:
        value["a"] = [row.moved_to.target, row.moved_to.number]
    if row.recalled:
        value["r"] = [[each.target, each.number] for each in row.recalled]
    if row.cancelling:
        value["c"] = True
    if returned_ms:
        value["t"] = returned_ms
    return value


def _decode_handoffs(job_id: str, stored: StoredRow | None) -> OriginRow | None:
    """Decodes the handoffs in a job's row; None if it was never offered to another cell.

    The name of this cell is not stored and is left empty.
    """
    if stored is None:
        return None
    moved_to = OpenHandoff(*stored["a"]) if "a" in stored else None
    recalled = tuple(OpenHandoff(*each) for each in stored.get("r", ()))
    return OriginRow("", job_id, MovePolicy(stored["p"]), moved_to, recalled, cancelling=stored.get("c", False))


# -- specs in chunks


def split_spec(spec: JobSpec, max_bytes: int) -> list[str]:
    """Splits an encoded spec into texts that each fit within `max_bytes` as a JSON value."""
    text = b64encode(msgspec.json.encode(spec)).decode()
    step = max(1, max_bytes - len('""'))
    return [text[start : start + step] for start in range(0, len(text), step)]


def join_spec(texts: list[str]) -> JobSpec:
    """Decodes the spec from all of its chunks, in order."""
    return msgspec.json.decode(b64decode("".join(texts), validate=True), type=JobSpec)


# -- progress and adoptions


def encode_progress(progress: Progress, dense: bool = False) -> StoredRow:
    """Encodes a job's progress.

    Args:
        progress: The progress. Its adoption revision (field "e") is not encoded; the caller adds it.
        dense: Whether sets of tasks take the form of layout 3, which earlier layouts cannot read.
    """
    pack = taskset.pack_dense if dense else taskset.pack
    value: StoredRow = {
        "d": pack(progress.done),
        "c": {incarnation_id: pack(tasks) for incarnation_id, tasks in progress.claims.items() if tasks},
    }
    if progress.zone is not None:
        value["z"] = progress.zone
    if progress.attempt:
        value["a"] = progress.attempt
    return value


def decode_progress(value: StoredRow) -> Progress:
    """Decodes a job's progress, without the adoptions that are stored in rows of their own."""
    return Progress(
        taskset.unpack(value["d"]),
        {incarnation_id: taskset.unpack(runs) for incarnation_id, runs in value["c"].items()},
        value.get("z"),
        value.get("a", 0),
        value.get("e", 0),
    )


def decode_adoption(value: StoredRow) -> dict[str, list[int | str]]:
    """Decodes an adoption to the adopted tasks by job, each set still packed (see `taskset.unpack`)."""
    packed_tasks: dict[str, list[int | str]] = value["m"]
    return packed_tasks


# -- machines


def encode_machine(row: MachineRow) -> StoredMachine:
    """Encodes a machine for its group's row."""
    return [row.address, row.type, row.zone, row.spot]


def decode_machine(value: StoredRow, key: str) -> MachineRow:
    """Decodes a machine from a row of its own (layout 1)."""
    return MachineRow(value["a"], value["t"], value["z"], value["s"], key)


def decode_machine_group(value: StoredRow) -> dict[str, StoredMachine]:
    """Decodes the row of a group to its machines by name; each machine is still encoded."""
    machines: dict[str, StoredMachine] = value["m"]
    return machines


def decode_grouped_machine(stored: StoredMachine, key: str) -> MachineRow:
    """Decodes a machine from its group's row, whose key is `key`."""
    address, machine_type, zone, spot = stored
    return MachineRow(address, machine_type, zone, spot, key)


def split_machine_groups(rows: dict[str, StoredMachine], max_bytes: int) -> list[dict[str, StoredMachine]]:
    """Splits encoded machines into groups whose rows each fit within `max_bytes`."""
    groups: list[dict[str, StoredMachine]] = []
    free_bytes = 0
    for name, row in rows.items():
        row_bytes = len(msgspec.json.encode({name: row}))
        if row_bytes > free_bytes or not groups:
            groups.append({})
            free_bytes = max_bytes - len('{"m":}')
        groups[-1][name] = row
        free_bytes -= row_bytes
    return groups


def decode_machine_types(value: StoredRow) -> list[MachineType]:
    """Decodes the machine types in the catalog row."""
    return msgspec.convert(value, MachineTypeCatalog).types


# -- controllers


def decode_member(value: StoredRow) -> MemberRow:
    """Decodes the row of a live controller; layout 1 did not store its layout number."""
    return MemberRow(value["boot"], value["settled"], value.get("layout", 1))


def decode_view(value: StoredRow) -> View:
    """Decodes the view."""
    return View(value["n"], tuple(Incarnation(member, lease_id) for member, lease_id in value["members"]))


def decode_coordinator(value: StoredRow) -> Incarnation:
    """Decodes the incarnation of the coordinator."""
    return Incarnation(value["member"], value["boot"])


def decode_seen_members(value: StoredRow) -> tuple[str, ...]:
    """Decodes the members that have run with a feature, or with the present layout."""
    return tuple(value["seen"])


def decode_complete(value: StoredRow) -> bool:
    """Decodes whether all configured members have run with a feature, or with the present layout."""
    return bool(value["complete"])


def decode_handoff_floor(value: StoredRow) -> int:
    """Decodes the number up to which another cell's handoffs that are not on record are refused."""
    number: int = value["n"]
    return number


def decode_quota_allocations(value: StoredRow) -> dict[str, ResourceAmount]:
    """Decodes the allocations of a team's quota, by incarnation id."""
    return {incarnation_id: ResourceAmount(cores, gpus) for incarnation_id, (cores, gpus) in value.items()}
