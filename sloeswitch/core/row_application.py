"""What one changed row does to the state that this controller holds: one function for each kind of row.

Called by `core.tables.Tables.apply` only, which has sorted out changes older than what is known. Rows may come in any
order, since a first reading goes by key; an overlapping read may bring a row twice.

Each function takes the state, the key's part after its kind, the row's value (None when the key was deleted) and the
revision of the change. A row that cannot be decoded raises one of `UNREADABLE`; what was applied
of it until then stays.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.core import keys, row_codec, taskset
from sloeswitch.core.keys import RowKind
from sloeswitch.core.records import (
    Adoption,
    FeatureStatus,
    JobState,
    Progress,
    SpecChunks,
)
from sloeswitch.core.row_codec import JobRow, StoredMachine, StoredRow
from sloeswitch.core.stored_state import StoredState, UnmatchedProgress
from sloeswitch.wire import JobSpec, MachineType

UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, msgspec.MsgspecError)

# Looked up once: a member of an enum is slow to look up, and every row of a job is compared with it.
_CANCELLED = JobState.CANCELLED

RowFunction = Callable[[StoredState, str, Any, int], None]


# -- jobs and their specs


def apply_job(state: StoredState, job_id: str, value: StoredRow | None, revision: int) -> None:
    """A job was accepted, changed, ended, or is no longer kept."""
    if value is None:
        state.jobs.pop(job_id, None)
        state.finished_jobs.pop(job_id, None)
        state.unsettled_jobs.discard(job_id)
        return
    row = row_codec.decode_job_row(job_id, value, revision)
    if row.status == _CANCELLED and job_id not in state.finished_jobs:
        _record_cancellation(state, job_id, revision)
    if not row.has_spec:
        _finish_job(state, job_id, row)
    elif job_id in state.jobs:
        _update_job(state, job_id, row)
    else:
        _add_job(state, job_id, row)


def _record_cancellation(state: StoredState, job_id: str, revision: int) -> None:
    """A job's row says that it is cancelled: it is logged for siblings, unless it was known."""
    known = state.jobs.get(job_id)
    if known is None or known.status != _CANCELLED:
        state.cancellations.add(job_id, revision)
    state.peer_cancellations.pop(job_id, None)


def _finish_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """A job is over: of what was known of it, the number of its tasks and how it ended are kept."""
    state.jobs.pop(job_id, None)
    state.unmatched_progress.pop(job_id, None)
    state.unmatched_job_rows.pop(job_id, None)
    if state.mod_revision(keys.progress_key(job_id)):
        state.leftover_progress.add(job_id)
    finished = row_codec.decode_finished_job(row)
    state.finished_jobs[job_id] = finished
    if finished.is_final:
        state.unsettled_jobs.discard(job_id)
        # Nothing is conditional on a row that changes no more. Finished jobs are kept for good, their revisions not.
        state.mod_revisions.pop(keys.job_key(job_id), None)
    else:
        state.unsettled_jobs.add(job_id)
    if finished.is_done:
        state.graph.finish(job_id, finished)
    else:
        state.graph.cancel(job_id)


def _update_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """The row of a known job changed; its spec and its times of submission and readiness stay."""
    job = state.jobs[job_id]
    job.status = _effective_status(state, job_id, row)
    job.mod_revision = row.mod_revision
    job.cancelled_ms = row_codec.decode_cancelled_ms(row)
    job.handoff, job.returned_ms = row.handoff, row_codec.decode_returned_ms(row)
    if job.is_cancelled:
        state.graph.cancel(job_id)


def _add_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """A job that is not over was read for the first time; it waits where chunks of its spec are missing."""
    chunks = row_codec.decode_spec_chunks(row)
    spec = row_codec.decode_spec(row) if chunks is None else _join_chunks(state, job_id, chunks)
    if spec is None:
        state.unmatched_job_rows[job_id] = row
        return
    job = row_codec.decode_job(row, spec, chunks)
    job.status = _effective_status(state, job_id, row)
    if job_id in state.unmatched_progress:
        job.progress, job.progress_revision = state.unmatched_progress.pop(job_id)
    state.jobs[job_id] = job
    state.graph.add_job(job)


def _join_chunks(state: StoredState, job_id: str, chunks: SpecChunks) -> JobSpec | None:
    """The spec that is stored in chunks; None when some of them are not read yet."""
    texts = state.spec_chunks.get(job_id, {}).get(chunks.attempt, {})
    if len(texts) < chunks.chunk_count:
        return None
    return row_codec.join_spec([texts[number] for number in range(chunks.chunk_count)])


def _effective_status(state: StoredState, job_id: str, row: JobRow) -> JobState | str:
    """The state that a job's row names, unless a sibling knows a cancellation that the row does not show.

    Guards against a reading that was under way when the sibling sent it: what it brings is older than the
    cancellation, and must not bring the job back to life.
    """
    return _CANCELLED if job_id in state.peer_cancellations else row.status


def apply_spec_chunk(state: StoredState, name: str, value: str | None, _revision: int) -> None:
    """A chunk of a spec was stored or deleted; a job's row that waited for it is applied now."""
    job_id, attempt, number = name.split("/")
    texts = state.spec_chunks.setdefault(job_id, {}).setdefault(attempt, {})
    if value is None:
        texts.pop(int(number), None)
        if not texts:
            del state.spec_chunks[job_id][attempt]
        if not state.spec_chunks[job_id]:
            del state.spec_chunks[job_id]
        return
    texts[int(number)] = value
    if job_id in state.unmatched_job_rows:
        row = state.unmatched_job_rows.pop(job_id)
        apply_job(state, job_id, row.value, row.mod_revision)


# -- progress and adoptions


def apply_progress(state: StoredState, job_id: str, value: StoredRow | None, revision: int) -> None:
    """A job's progress was stored or deleted; adoptions that the row does not contain are added to it."""
    if value is None:
        state.leftover_progress.discard(job_id)
    if job_id in state.finished_jobs:
        if value is not None:
            state.leftover_progress.add(job_id)
        return
    progress = Progress() if value is None else row_codec.decode_progress(value)
    for adoption in state.adoptions.get(job_id, ()):
        if adoption.mod_revision > progress.adoption_revision:
            progress.adopt(adoption.incarnation_id, adoption.tasks)
    job = state.jobs.get(job_id)
    if job is not None:
        job.progress = progress
        job.progress_revision = 0 if value is None else revision
    elif value is not None:
        state.unmatched_progress[job_id] = UnmatchedProgress(progress, revision)


def apply_adoption(state: StoredState, name: str, value: StoredRow | None, revision: int) -> None:
    """A controller stored tasks that it found on machines which it took over, or such a row was deleted.

    Each row is written once, so that none brings back what was given up since. It is deleted when its controller's
    run is over and what it claimed is void or stored with the jobs.
    """
    incarnation_id = name.rpartition("/")[0]
    key = f"{keys.KEY_PREFIX}{RowKind.ADOPTION}/{name}"
    if value is None:
        state.adoption_keys.pop(key, None)
        if incarnation_id not in state.adoption_keys.values():
            _forget_adoptions(state, incarnation_id)
        return
    state.adoption_keys[key] = incarnation_id
    for job_id, packed in row_codec.decode_adoption(value).items():
        tasks = taskset.unpack(packed)
        adoptions = state.adoptions.setdefault(job_id, [])
        adoptions.append(Adoption(revision, incarnation_id, tasks))
        adoptions.sort()
        job = state.jobs.get(job_id)
        if job is not None and revision > job.progress.adoption_revision:
            # A new object, since has_unclaimed_tasks is computed once for each.
            job.progress = job.progress.copy()
            job.progress.adopt(incarnation_id, tasks)


def _forget_adoptions(state: StoredState, incarnation_id: str) -> None:
    """All adoptions of a controller's run are deleted; what is in the jobs' progress stays there."""
    kept = {
        job_id: [adoption for adoption in adoptions if adoption.incarnation_id != incarnation_id]
        for job_id, adoptions in state.adoptions.items()
    }
    state.adoptions = {job_id: adoptions for job_id, adoptions in kept.items() if adoptions}


# -- machines


def apply_machine(state: StoredState, machine: str, value: StoredRow | None, _revision: int) -> None:
    """A machine with a row of its own (layout 1) was stored or deleted."""
    if value is None:
        state.machines.pop(machine, None)
        state.deleted_machines.add(machine)
    else:
        state.machines[machine] = row_codec.decode_machine(value, keys.machine_key(machine))
        state.deleted_machines.discard(machine)


def apply_machine_group(state: StoredState, group: str, value: StoredRow | None, _revision: int) -> None:
    """A group of machines was stored or deleted.

    A group that exceeds the limit of a value is split, and a write repeated after no answer makes another group, so
    that a machine may be in several. The last of them by name holds it, whatever order they were read in: left out of
    the others by different controllers, it is still in that one.
    """
    rows: Mapping[str, StoredMachine] = {} if value is None else row_codec.decode_machine_group(value)
    left_out = state.machine_groups.pop(group, set()) - rows.keys()
    if rows:
        state.machine_groups[group] = set(rows)
    for machine in left_out:
        _leave_group(state, machine)
    key = keys.group_key(group)
    for machine, stored in rows.items():
        row = row_codec.decode_grouped_machine(stored, key)
        known = state.machines.get(machine)
        if (
            known is not None
            and known.key > key
            and machine in state.machine_groups.get(keys.group_name(known.key), ())
        ):
            row.key = known.key
        state.machines[machine] = row
        state.deleted_machines.discard(machine)


def _leave_group(state: StoredState, machine: str) -> None:
    """A machine is in one group less; it is deleted when that was its last."""
    other = max((group for group, machines in state.machine_groups.items() if machine in machines), default=None)
    if other is not None:
        state.machines[machine].key = keys.group_key(other)
    else:
        state.machines.pop(machine, None)
        state.deleted_machines.add(machine)


def apply_catalog(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """The machine types that the cloud lists were stored together, or deleted."""
    listed = [] if value is None else row_codec.decode_machine_types(value)
    state.catalog_types = {machine_type.name: machine_type for machine_type in listed}
    state.machine_types = state.catalog_types | state.single_types


def apply_machine_type(state: StoredState, name: str, value: StoredRow | None, _revision: int) -> None:
    """One machine type was stored by itself, or deleted."""
    if value is None:
        state.single_types.pop(name, None)
    else:
        state.single_types[name] = msgspec.convert(value, MachineType)
    state.machine_types = state.catalog_types | state.single_types


# -- controllers


def apply_member(state: StoredState, member: str, value: StoredRow | None, _revision: int) -> None:
    """A controller is live, or its lease has ended."""
    if value is None:
        state.members.pop(member, None)
    else:
        state.members[member] = row_codec.decode_member(value)


def apply_view(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """The coordinator wrote a new view; a view stays when its row is deleted."""
    if value is not None:
        state.view = row_codec.decode_view(value)


def apply_coordinator(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """A controller became the coordinator, or its lease has ended."""
    state.coordinator = None if value is None else row_codec.decode_coordinator(value)


def apply_layout(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """One more member has run with the present layout; that is not forgotten when the row is deleted."""
    if value is not None:
        state.layout_members = row_codec.decode_seen_members(value)
        state.layout_complete = row_codec.decode_complete(value)


def apply_feature(state: StoredState, feature: str, value: StoredRow | None, _revision: int) -> None:
    """One more member has run with a feature; that is not forgotten when the row is deleted."""
    if value is not None:
        state.features[feature] = FeatureStatus(row_codec.decode_seen_members(value), row_codec.decode_complete(value))


def apply_admission(state: StoredState, name: str, value: StoredRow | None, _revision: int) -> None:
    """Cuts of admission changed; the rows are replaced as a whole, so that a reader can tell a change."""
    path = name.removeprefix("r")
    rows = dict(state.admission_rows)
    if value is None:
        rows.pop(path, None)
    else:
        rows[path] = AdmissionRow.from_stored(value)
    state.admission_rows = rows


def apply_handoff_floor(state: StoredState, cell: str, value: StoredRow | None, _revision: int) -> None:
    """Another cell's unrecorded handoffs are refused up to a higher number."""
    state.handoff_floors[cell] = 0 if value is None else row_codec.decode_floor(value)


def apply_quota(state: StoredState, team: str, value: StoredRow | None, _revision: int) -> None:
    """The allocations of a team's quota changed."""
    state.quota_allocations[team] = row_codec.decode_quota_allocations(value or {})


# A kind that is not listed was written by a later version; its rows are skipped.
ROW_FUNCTIONS: Mapping[str, RowFunction] = {
    RowKind.JOB: apply_job,
    RowKind.SPEC_CHUNK: apply_spec_chunk,
    RowKind.PROGRESS: apply_progress,
    RowKind.ADOPTION: apply_adoption,
    RowKind.MACHINE: apply_machine,
    RowKind.MACHINE_GROUP: apply_machine_group,
    RowKind.CATALOG: apply_catalog,
    RowKind.MACHINE_TYPE: apply_machine_type,
    RowKind.MEMBER: apply_member,
    RowKind.VIEW: apply_view,
    RowKind.COORDINATOR: apply_coordinator,
    RowKind.LAYOUT: apply_layout,
    RowKind.FEATURE: apply_feature,
    RowKind.ADMISSION: apply_admission,
    RowKind.HANDOFF_FLOOR: apply_handoff_floor,
    RowKind.QUOTA: apply_quota,
}
