"""Applies changed rows to the stored state of this controller: one function for each kind of row.

Only `core.tables.Tables.apply` calls these functions; it first drops changes that are not newer than the known row.
Rows may arrive in any order, because a full read returns them sorted by key, and an overlapping read may return a row
twice.

Each function takes the state, the part of the key after the row's kind, the row's value (None if the key was deleted)
and the revision of the change. A row that cannot be decoded raises one of `DECODE_ERRORS`; the part of it that was
applied before the error stays applied.
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

DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, msgspec.MsgspecError)

# A module constant, because looking up an enum member is slow and every row of a job is compared with it.
_CANCELLED = JobState.CANCELLED

RowFunction = Callable[[StoredState, str, Any, int], None]


# -- jobs and their specs


def apply_job(state: StoredState, job_id: str, value: StoredRow | None, revision: int) -> None:
    """Applies the row of a job that was accepted, changed, finished or deleted."""
    if value is None:
        state.jobs.pop(job_id, None)
        state.finished_jobs.pop(job_id, None)
        state.finished_jobs_with_handoffs.discard(job_id)
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
    """Adds a cancellation read from a job's row to the log for siblings, unless it was known before."""
    known = state.jobs.get(job_id)
    if known is None or known.status != _CANCELLED:
        state.cancellations.add(job_id, revision)
    state.peer_cancellations.pop(job_id, None)


def _finish_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """Replaces a job by its record as a finished job and drops its spec and progress."""
    state.jobs.pop(job_id, None)
    state.unmatched_progress.pop(job_id, None)
    state.unmatched_job_rows.pop(job_id, None)
    if state.mod_revision(keys.progress_key(job_id)):
        state.leftover_progress.add(job_id)
    finished = row_codec.decode_finished_job(row)
    state.finished_jobs[job_id] = finished
    if finished.is_final:
        state.finished_jobs_with_handoffs.discard(job_id)
        # No write is conditional on a final row. Finished jobs are kept permanently, so their revisions are dropped to
        # save memory.
        state.mod_revisions.pop(keys.job_key(job_id), None)
    else:
        state.finished_jobs_with_handoffs.add(job_id)
    if finished.is_done:
        state.graph.finish(job_id, finished)
    else:
        state.graph.cancel(job_id)


def _update_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """Updates a known job from its changed row; its spec, submission time and ready time stay."""
    job = state.jobs[job_id]
    job.status = _effective_status(state, job_id, row)
    job.mod_revision = row.mod_revision
    job.cancelled_ms = row_codec.decode_cancelled_ms(row)
    job.outgoing_handoffs, job.returned_ms = row.outgoing_handoffs, row_codec.decode_returned_ms(row)
    if job.is_cancelled:
        state.graph.cancel(job_id)


def _add_job(state: StoredState, job_id: str, row: JobRow) -> None:
    """Adds a job that is read for the first time; its row is set aside while chunks of its spec are missing."""
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
    """Returns the spec that is stored in chunks, or None if some of the chunks are not read yet."""
    texts = state.spec_chunks.get(job_id, {}).get(chunks.attempt, {})
    if len(texts) < chunks.chunk_count:
        return None
    return row_codec.join_spec([texts[number] for number in range(chunks.chunk_count)])


def _effective_status(state: StoredState, job_id: str, row: JobRow) -> JobState | str:
    """Returns the state in a job's row, or cancelled if a sibling reported a cancellation that the row does not show.

    A read that started before the sibling's report may return a row older than the cancellation. Applying the state in
    that row would make the job live again.
    """
    return _CANCELLED if job_id in state.peer_cancellations else row.status


def apply_spec_chunk(state: StoredState, name: str, value: str | None, _revision: int) -> None:
    """Applies a stored or deleted chunk of a spec; retries the job's row if that was set aside for missing chunks."""
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
    """Applies a stored or deleted progress row, and adds the adoptions that it does not contain yet."""
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
    """Applies a stored or deleted adoption: tasks that a controller found on machines that it took over.

    An adoption row is never rewritten, because a rewrite would restore claims that were released in the meantime. It is
    deleted after its incarnation has left the view, when its claims are void or contained in the progress rows.
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
            # A new object, because Job.has_unclaimed_tasks is cached per Progress object.
            job.progress = job.progress.copy()
            job.progress.adopt(incarnation_id, tasks)


def _forget_adoptions(state: StoredState, incarnation_id: str) -> None:
    """Drops all adoptions of an incarnation; claims that the jobs' progress already contains stay there."""
    kept = {
        job_id: [adoption for adoption in adoptions if adoption.incarnation_id != incarnation_id]
        for job_id, adoptions in state.adoptions.items()
    }
    state.adoptions = {job_id: adoptions for job_id, adoptions in kept.items() if adoptions}


# -- machines


def apply_machine(state: StoredState, machine: str, value: StoredRow | None, _revision: int) -> None:
    """Applies a stored or deleted machine row (layout 1: one row per machine)."""
    if value is None:
        state.machines.pop(machine, None)
        state.deleted_machines.add(machine)
    else:
        state.machines[machine] = row_codec.decode_machine(value, keys.machine_key(machine))
        state.deleted_machines.discard(machine)


def apply_machine_group(state: StoredState, group: str, value: StoredRow | None, _revision: int) -> None:
    """Applies a stored or deleted group of machines.

    A machine may be in several groups: a group that exceeds the size limit of a value is split, and a write that is
    retried after a lost response creates another group. Such a machine belongs to the last of its groups by name, in
    whatever order the groups are read. All controllers therefore agree on that group, and a machine that is removed
    from only some of its groups remains stored.
    """
    rows: Mapping[str, StoredMachine] = {} if value is None else row_codec.decode_machine_group(value)
    removed_machines = state.machine_groups.pop(group, set()) - rows.keys()
    if rows:
        state.machine_groups[group] = set(rows)
    for machine in removed_machines:
        _remove_from_group(state, machine)
    key = keys.machine_group_key(group)
    for machine, stored in rows.items():
        row = row_codec.decode_grouped_machine(stored, key)
        known = state.machines.get(machine)
        if (
            known is not None
            and known.key > key
            and machine in state.machine_groups.get(keys.machine_group_name(known.key), ())
        ):
            row.key = known.key
        state.machines[machine] = row
        state.deleted_machines.discard(machine)


def _remove_from_group(state: StoredState, machine: str) -> None:
    """Assigns a machine that left a group to another of its groups; it counts as deleted if there is none."""
    other = max((group for group, machines in state.machine_groups.items() if machine in machines), default=None)
    if other is not None:
        state.machines[machine].key = keys.machine_group_key(other)
    else:
        state.machines.pop(machine, None)
        state.deleted_machines.add(machine)


def apply_catalog(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the stored or deleted catalog, the row with all machine types that the cloud lists."""
    listed = [] if value is None else row_codec.decode_machine_types(value)
    state.catalog_types = {machine_type.name: machine_type for machine_type in listed}
    state.machine_types = state.catalog_types | state.single_types


def apply_machine_type(state: StoredState, name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies a stored or deleted row of a single machine type."""
    if value is None:
        state.single_types.pop(name, None)
    else:
        state.single_types[name] = msgspec.convert(value, MachineType)
    state.machine_types = state.catalog_types | state.single_types


# -- controllers


def apply_member(state: StoredState, member: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the row of a live controller; the row is deleted when the controller's lease ends."""
    if value is None:
        state.members.pop(member, None)
    else:
        state.members[member] = row_codec.decode_member(value)


def apply_view(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies a new view; a deletion of the row is ignored and the last view stays."""
    if value is not None:
        state.view = row_codec.decode_view(value)


def apply_coordinator(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the coordinator's row; the row is deleted when the coordinator's lease ends."""
    state.coordinator = None if value is None else row_codec.decode_coordinator(value)


def apply_layout(state: StoredState, _name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the list of members that have run with the present layout; a deletion of the row is ignored."""
    if value is not None:
        state.layout_members = row_codec.decode_seen_members(value)
        state.layout_complete = row_codec.decode_complete(value)


def apply_feature(state: StoredState, feature: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the list of members that have run with a feature; a deletion of the row is ignored."""
    if value is not None:
        state.features[feature] = FeatureStatus(row_codec.decode_seen_members(value), row_codec.decode_complete(value))


def apply_admission(state: StoredState, name: str, value: StoredRow | None, _revision: int) -> None:
    """Applies a row of admission cuts; replaces the dict of all rows, so that a reader can detect the change."""
    path = name.removeprefix("r")
    rows = dict(state.admission_rows)
    if value is None:
        rows.pop(path, None)
    else:
        rows[path] = AdmissionRow.from_stored(value)
    state.admission_rows = rows


def apply_handoff_floor(state: StoredState, cell: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the number up to which another cell's handoffs that are not on record are refused."""
    state.handoff_floors[cell] = 0 if value is None else row_codec.decode_handoff_floor(value)


def apply_quota(state: StoredState, team: str, value: StoredRow | None, _revision: int) -> None:
    """Applies the allocations of a team's quota."""
    state.quota_allocations[team] = row_codec.decode_quota_allocations(value or {})


# Rows of a kind that is not listed here were written by a later version and are ignored.
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
