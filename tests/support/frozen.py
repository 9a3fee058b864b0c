"""Records the rows that a controller writes and dumps the tables that it reads, for comparison with tests/frozen.

A row is one line of text: its key, followed by a space and its JSON unless the row is deleted.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.cells.handoff import OriginRow
from sloeswitch.core.records import FinishedJob, Job
from sloeswitch.core.tables import Tables
from sloeswitch.state_client import TransactionOutcome, TransactionResult
from tests.conftest import SETTINGS, Store
from tests.support.single_controller import World

DATA = Path(__file__).parent.parent / "frozen"
# Rows that a test adds get revisions above this one, so above those of the rows that each simulation starts with.
BASE_REVISION = 1000


def frozen(name: str) -> dict[str, Any]:
    """Returns the content of a data file."""
    value: dict[str, Any] = json.loads((DATA / f"{name}.json").read_text())
    return value


def format_line(key: str, value: Any) -> str:
    """Formats a row as a line, with the value encoded as the code encodes it."""
    return key if value is None else f"{key} {wire.encode(value).decode()}"


def parse_line(line: str) -> tuple[str, Any]:
    """Returns the key and the value of a line; the value is None if the row is deleted."""
    key, _, text = line.partition(" ")
    return key, json.loads(text) if text else None


class RowRecorder(World):
    """Controller c0.1, alone in view 3; records the rows that it writes."""

    def __init__(self, text: str = SETTINGS) -> None:
        super().__init__(Store(), text)
        self.store.revision = BASE_REVISION
        self.lines: list[str] = []
        apply = self.client.apply

        def record(conditions: dict[str, int], writes: dict[str, Any], deletes: list[str]) -> TransactionResult:
            outcome = apply(conditions, writes, deletes)
            assert outcome[0] is TransactionOutcome.COMMITTED, (outcome, conditions)
            self.lines += [format_line(key, value) for key, value in writes.items()]
            self.lines += sorted(deletes)  # the order within a transaction has no meaning
            return outcome

        self.client.apply = record  # type: ignore[method-assign]

    def put_frozen(self, *names: str) -> None:
        """Stores frozen rows, selected by their names in rows_read.json."""
        for name in names:
            for line in frozen("rows_read")[name]:
                self.store.put(*parse_line(line))

    def run(self, call: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Runs a coroutine function and returns its result."""
        return anyio.run(call, *args)

    def advance_time(self, seconds: float) -> None:
        """Advances the clock and renews the lease."""
        self.clock.time += seconds
        self.leadership.lease_renewed_at = self.replica.linearizable_at = self.clock.time


# -- dumps of the tables; only this code depends on the Python names of their fields


def dump(tables: Tables) -> str:
    """Returns the tables as JSON without Python names; empty parts are left out."""
    parts = {
        "members": {name: [row.lease_id, row.recovered_view, row.layout] for name, row in tables.members.items()},
        "coordinator": tables.coordinator,
        "view": [tables.view.number, tables.view.members] if tables.view.number else None,
        "types": {name: dump_type(kind) for name, kind in tables.machine_types.items()},
        "jobs": {name: dump_job(job) for name, job in tables.jobs.items()},
        "over": {name: dump_finished_job(job) for name, job in tables.finished_jobs.items()},
        "over and open": sorted(tables.finished_jobs_with_handoffs),
        "layout seen": tables.layout_members,
        "layout complete": tables.layout_complete,
        "features": {name: [each.members, each.complete] for name, each in tables.features.items()},
        "admission": {path: dump_admission(row) for path, row in tables.admission_rows.items()},
        "floors": tables.handoff_floors,
        "machines": {
            name: [row.address, row.type, row.zone, row.spot, row.key] for name, row in tables.machines.items()
        },
        "deleted": sorted(tables.deleted_machines),
        "limits": tables.quota_allocations,
        "leftover progress": sorted(tables.leftover_progress),
        "parts": {
            f"{job} {attempt} {number}": text
            for job, attempts in tables.spec_chunks.items()
            for attempt, texts in attempts.items()
            for number, text in texts.items()
        },
        "adoptions": {
            job: [[revision, tag, hex(tasks)] for revision, tag, tasks in each]
            for job, each in tables.adoptions.items()
        },
        "adoption keys": tables.adoption_keys,
    }
    return json.dumps({name: value for name, value in parts.items() if value}, sort_keys=True)


def dump_type(kind: wire.MachineType) -> list[Any]:
    """Returns the fields of a machine type."""
    return [
        kind.name,
        kind.cores,
        kind.gpus,
        kind.memory,
        kind.cache_gb,
        kind.fetch_gb_s,
        kind.price,
        kind.spot_price,
        kind.boot_s,
        kind.zones,
    ]


def dump_spec(spec: wire.JobSpec) -> dict[str, Any]:
    """Returns the fields of a job spec."""
    return {
        "names": [spec.id, spec.job_class, spec.team, spec.shape, spec.priority, spec.image, spec.zone],
        "amounts": [spec.tasks, spec.cores, spec.gpus, spec.memory, spec.image_gb],
        "flags": [spec.one_zone, spec.spread, spec.spot],
        "times": [spec.estimate_s, spec.checkpoint_s, spec.save_s, spec.deadline_s],
        "types": spec.types,
        "awaits": spec.prerequisites,
    }


def dump_job(job: Job) -> dict[str, Any]:
    """Returns the fields of a live job."""
    progress = job.progress
    return {
        "spec": dump_spec(job.spec),
        "status": job.status,
        "stamps": [job.mod_revision, job.ready_revision, job.progress_revision],
        "times": [job.submitted_ms, job.ready_ms, job.cancelled_ms, job.returned_ms],
        "parts": job.spec_chunks,
        "waits": job.unfinished_prerequisites,
        "flags": [job.is_cancelled, job.prerequisite_cancelled, job.is_runnable],
        "done": hex(progress.done),
        "claims": {tag: hex(tasks) for tag, tasks in progress.claims.items()},
        "progress": [progress.zone, progress.attempt, progress.adoption_revision],
        "handoff": dump_handoff(job.outgoing_handoffs),
        "delegated": job.incoming_handoff and [job.incoming_handoff.origin, job.incoming_handoff.number],
    }


def dump_finished_job(job: FinishedJob) -> dict[str, Any]:
    """Returns the fields of a finished job."""
    return {
        "end": [job.status, job.tasks, job.finished_ms, job.mod_revision, job.is_done, job.is_final],
        "handoff": dump_handoff(job.outgoing_handoffs),
        "delegated": job.incoming_handoff and [job.incoming_handoff.origin, job.incoming_handoff.number],
    }


def dump_handoff(row: OriginRow | None) -> list[Any] | None:
    """Returns the handoffs of a job to other cells."""
    if row is None:
        return None
    placements = [[each.target, each.number] for each in row.recalled]
    away = row.moved_to and [row.moved_to.target, row.moved_to.number]
    return [row.job, row.policy.value, away, placements, row.cancelling]


def dump_admission(row: AdmissionRow) -> dict[str, Any]:
    """Returns the admission cuts of a row."""
    cuts = {
        f"{lane.team} {lane.job_class} {lane.priority}": [cut.ticket.submitted_ms, cut.ticket.job, cut.raised_ms]
        for lane, cut in row.lanes.items()
    }
    common = [row.common.ticket.submitted_ms, row.common.ticket.job, row.common.raised_ms]
    return {"number": row.number, "common": common, "lanes": cuts, "owed": dict(row.deficits), "split": row.split}
