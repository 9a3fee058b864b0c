"""How rows of the state service are encoded and decoded.

The letters of the stored form (see `core.keys`) stand in this module only; elsewhere the records of `core.records` are
used. Decoding raises KeyError, TypeError, ValueError, AttributeError or msgspec.MsgspecError on a row that this version
cannot read; whoever applies rows catches these.
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
    DelegationOrigin,
    FinishedJob,
    Job,
    JobState,
    MachineRow,
    MemberRow,
    Progress,
    SpecChunks,
    View,
)
from sloeswitch.wire import JobSpec, MachineType, MachineTypeCatalog

# One row as the state service holds it: a JSON object by its stored letters.
StoredRow: TypeAlias = dict[str, Any]
# A machine as it stands in its group's row: address, type, zone, spot.
StoredMachine: TypeAlias = list[Any]

_JOB_STATES: dict[str, JobState] = {state.value: state for state in JobState}


# -- jobs


def encode_job(status: JobState | str, spec: JobSpec, submitted_ms: int, chunks: SpecChunks | None = None) -> StoredRow:
    """A job that is not over, as it is stored.

    Args:
        status: Its state; a word that this version does not know is written as it was read.
        spec: What its user asked for.
        submitted_ms: When it was submitted, in milliseconds since 1970.
        chunks: Where its spec is stored, when that is in chunks.
    """
    value: StoredRow = {"s": status, "n": spec.tasks, "t": submitted_ms}
    if chunks is not None:
        return {**value, "parts": list(chunks)}
    return {**value, "spec": msgspec.to_builtins(spec)}


def encode_job_links(job: Job, over: bool = False) -> StoredRow:
    """What a job's row keeps of other cells, whatever else is written to it.

    Args:
        job: The job.
        over: Whether the row says from now on that the job is over.
    """
    links: StoredRow = {}
    if job.delegated is not None:
        links["o"] = list(job.delegated)
    if job.handoff is not None and (job.handoff.open_handoffs or not over):
        links["h"] = encode_handoff(job.handoff, job.returned_ms)
    return links


def encode_finished_job(status: JobState | str, spec: JobSpec, finished_ms: int) -> StoredRow:
    """A job that is over, as it is stored; the times of jobs that need it count from `finished_ms`."""
    return {"s": status, "n": spec.tasks, "t": finished_ms}


def has_spec(value: StoredRow) -> bool:
    """Whether a job's row keeps its spec, in it or in chunks: the job is not over."""
    return "spec" in value or "parts" in value


@dataclass(slots=True)
class JobRow:
    """A job's row with what every use of it needs, decoded at once, and the rest as it is stored."""

    value: StoredRow
    mod_revision: int
    status: JobState | str
    # Its handoffs to other cells, and the handoff that it came with.
    handoff: OriginRow | None
    delegated: DelegationOrigin | None

    @property
    def has_spec(self) -> bool:
        """Whether the row keeps the spec, in itself or in chunks: the job is not over."""
        return "spec" in self.value or "parts" in self.value


def decode_job_row(job_id: str, value: StoredRow, mod_revision: int) -> JobRow:
    """A job's row, whether the job is over or not; a state that this version does not know stays text."""
    handoff = _decode_handoff(job_id, value.get("h"))
    delegated = DelegationOrigin(*value["o"]) if "o" in value else None
    word: str = value["s"]
    status = _JOB_STATES.get(word, word) if isinstance(word, str) else word
    return JobRow(value, mod_revision, status, handoff, delegated)


def decode_spec_chunks(row: JobRow) -> SpecChunks | None:
    """Where the spec of a job that is not over is stored in chunks; None when it is in the row itself."""
    return SpecChunks(row.value["parts"][0], row.value["parts"][1]) if "parts" in row.value else None


def decode_spec(row: JobRow) -> JobSpec:
    """The spec that a job's row holds itself."""
    return msgspec.convert(row.value["spec"], JobSpec)


def decode_job(row: JobRow, spec: JobSpec, chunks: SpecChunks | None) -> Job:
    """A job that is not over and was not known yet; it counts as ready from its submission on."""
    submitted_ms = row.value["t"]
    job = Job(spec, row.status, row.mod_revision, row.mod_revision, submitted_ms)
    job.spec_chunks = chunks
    job.ready_ms = submitted_ms
    job.cancelled_ms = decode_cancelled_ms(row)
    job.handoff, job.returned_ms, job.delegated = row.handoff, decode_returned_ms(row), row.delegated
    return job


def decode_cancelled_ms(row: JobRow) -> int:
    """When a job's user cancelled it; 0 when that is not stored."""
    cancelled_ms: int = row.value.get("x", 0)
    return cancelled_ms


def decode_returned_ms(row: JobRow) -> int:
    """When the last handoff of a job came back; 0 when none did."""
    returned_ms: int = row.value.get("h", {}).get("t", 0)
    return returned_ms


def decode_finished_job(row: JobRow) -> FinishedJob:
    """A job that is over; an earlier layout stored no time of its end."""
    value = row.value
    return FinishedJob(row.status, value["n"], value.get("t", 0), row.mod_revision, row.handoff, row.delegated)


# -- handoffs between cells


def encode_handoff(row: OriginRow, returned_ms: int = 0) -> StoredRow:
    """What a job's row keeps of its handoffs to other cells.

    Args:
        row: The handoffs.
        returned_ms: When the last of them came back, in milliseconds since 1970; 0 when none did.
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


def _decode_handoff(job_id: str, stored: StoredRow | None) -> OriginRow | None:
    """The handoffs that a job's row names; None when it was never offered. The cell's own name is not stored."""
    if stored is None:
        return None
    moved_to = OpenHandoff(*stored["a"]) if "a" in stored else None
    recalled = tuple(OpenHandoff(*each) for each in stored.get("r", ()))
    return OriginRow("", job_id, MovePolicy(stored["p"]), moved_to, recalled, cancelling=stored.get("c", False))


# -- specs in chunks


def split_spec(spec: JobSpec, max_bytes: int) -> list[str]:
    """A spec as texts, each of which is a value within the limit."""
    text = b64encode(msgspec.json.encode(spec)).decode()
    step = max(1, max_bytes - len('""'))
    return [text[start : start + step] for start in range(0, len(text), step)]


def join_spec(texts: list[str]) -> JobSpec:
    """The spec that was split into these texts."""
    return msgspec.json.decode(b64decode("".join(texts), validate=True), type=JobSpec)


# -- progress and adoptions


def encode_progress(progress: Progress, dense: bool = False) -> StoredRow:
    """A job's progress, as it is stored.

    Args:
        progress: The progress; its adoption revision is the writer's to add ("e").
        dense: Whether sets of tasks take the form of layout 3, which no earlier one reads.
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
    """A job's progress from its row, adoptions that are stored by themselves not included."""
    return Progress(
        taskset.unpack(value["d"]),
        {incarnation_id: taskset.unpack(runs) for incarnation_id, runs in value["c"].items()},
        value.get("z"),
        value.get("a", 0),
        value.get("e", 0),
    )


def decode_adoption(value: StoredRow) -> dict[str, list[int | str]]:
    """The adopted tasks by job, each set still packed (see `taskset.unpack`)."""
    packed_tasks: dict[str, list[int | str]] = value["m"]
    return packed_tasks


# -- machines


def encode_machine(row: MachineRow) -> StoredMachine:
    """A machine as it stands in its group."""
    return [row.address, row.type, row.zone, row.spot]


def decode_machine(value: StoredRow, key: str) -> MachineRow:
    """A machine that has a row of its own (layout 1)."""
    return MachineRow(value["a"], value["t"], value["z"], value["s"], key)


def decode_machine_group(value: StoredRow) -> dict[str, StoredMachine]:
    """The machines of a group, by name."""
    machines: dict[str, StoredMachine] = value["m"]
    return machines


def decode_grouped_machine(stored: StoredMachine, key: str) -> MachineRow:
    """A machine as it stands in its group, whose row is at `key`."""
    address, machine_type, zone, spot = stored
    return MachineRow(address, machine_type, zone, spot, key)


def split_machine_groups(rows: dict[str, StoredMachine], max_bytes: int) -> list[dict[str, StoredMachine]]:
    """The machines' rows split into groups, each of which is a value within the limit."""
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
    """The machine types of a catalog."""
    return msgspec.convert(value, MachineTypeCatalog).types


# -- controllers


def decode_member(value: StoredRow) -> MemberRow:
    """A live controller; layout 1 did not name itself."""
    return MemberRow(value["boot"], value["settled"], value.get("layout", 1))


def decode_view(value: StoredRow) -> View:
    """The view."""
    return View(value["n"], tuple(Incarnation(member, incarnation) for member, incarnation in value["members"]))


def decode_coordinator(value: StoredRow) -> Incarnation:
    """The coordinator's run."""
    return Incarnation(value["member"], value["boot"])


def decode_seen_members(value: StoredRow) -> tuple[str, ...]:
    """The members that have run with a feature, or with the present layout."""
    return tuple(value["seen"])


def decode_complete(value: StoredRow) -> bool:
    """Whether all configured members have run with a feature, or with the present layout."""
    return bool(value["complete"])


def decode_floor(value: StoredRow) -> int:
    """The number up to which another cell's unrecorded handoffs are refused."""
    number: int = value["n"]
    return number


def decode_quota_allocations(value: StoredRow) -> dict[str, ResourceAmount]:
    """A team's quota, as allocations by incarnation id."""
    return {incarnation_id: ResourceAmount(cores, gpus) for incarnation_id, (cores, gpus) in value.items()}
