"""A controller whose writes are kept as texts, and tables as plain values. Frozen rows are told by it (tests/frozen).

A row is one line: its key, and unless it is dropped a space and its JSON.
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
# Stamps of rows that a test gives begin above those that are there at its start.
FIRST_STAMP = 1000


def frozen(name: str) -> dict[str, Any]:
    """A data file."""
    value: dict[str, Any] = json.loads((DATA / f"{name}.json").read_text())
    return value


def line_of(key: str, value: Any) -> str:
    """A row as a line, as the code encodes it."""
    return key if value is None else f"{key} {wire.encode(value).decode()}"


def parse_line(line: str) -> tuple[str, Any]:
    """The key and the value of a line; None if the row is dropped."""
    key, _, text = line.partition(" ")
    return key, json.loads(text) if text else None


class Recorder(World):
    """One controller, c0.1, alone in view 3; what it writes is kept."""

    def __init__(self, text: str = SETTINGS) -> None:
        super().__init__(Store(), text)
        self.store.epoch = FIRST_STAMP
        self.lines: list[str] = []
        apply = self.client.apply

        def record(conditions: dict[str, int], writes: dict[str, Any], drops: list[str]) -> TransactionResult:
            outcome = apply(conditions, writes, drops)
            assert outcome[0] is TransactionOutcome.COMMITTED, (outcome, conditions)
            self.lines += [line_of(key, value) for key, value in writes.items()]
            self.lines += sorted(drops)  # one transaction: their order means nothing
            return outcome

        self.client.apply = record  # type: ignore[method-assign]

    def given(self, *names: str) -> None:
        """Rows of the frozen ones, by their name in rows_read."""
        for name in names:
            for line in frozen("rows_read")[name]:
                self.store.put(*parse_line(line))

    def run(self, call: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """What a coroutine function gives."""
        return anyio.run(call, *args)

    def later(self, seconds: float) -> None:
        """Time passes, and the lease is renewed."""
        self.clock.time += seconds
        self.leadership.lease_renewed_at = self.replica.linearizable_at = self.clock.time


# -- tables as plain values; the only place with Python names of what is read


def dump(tables: Tables) -> str:
    """All that was read, as JSON that does not depend on Python names; what is empty is left out."""
    found = {
        "members": {name: [row.lease_id, row.recovered_view, row.layout] for name, row in tables.members.items()},
        "coordinator": tables.coordinator,
        "view": [tables.view.number, tables.view.members] if tables.view.number else None,
        "types": {name: dump_type(kind) for name, kind in tables.machine_types.items()},
        "jobs": {name: dump_job(job) for name, job in tables.jobs.items()},
        "over": {name: dump_over(over) for name, over in tables.finished_jobs.items()},
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
            job: [[stamp, tag, hex(tasks)] for stamp, tag, tasks in each] for job, each in tables.adoptions.items()
        },
        "adoption keys": tables.adoption_keys,
    }
    return json.dumps({name: value for name, value in found.items() if value}, sort_keys=True)


def dump_type(kind: wire.MachineType) -> list[Any]:
    """A machine type."""
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
    """What a user asked for."""
    return {
        "names": [spec.id, spec.job_class, spec.team, spec.shape, spec.priority, spec.image, spec.zone],
        "amounts": [spec.tasks, spec.cores, spec.gpus, spec.memory, spec.image_gb],
        "flags": [spec.one_zone, spec.spread, spec.spot],
        "times": [spec.estimate_s, spec.checkpoint_s, spec.save_s, spec.deadline_s],
        "types": spec.types,
        "awaits": spec.prerequisites,
    }


def dump_job(job: Job) -> dict[str, Any]:
    """A job that is not over."""
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


def dump_over(over: FinishedJob) -> dict[str, Any]:
    """A job that is over."""
    return {
        "end": [over.status, over.tasks, over.finished_ms, over.mod_revision, over.is_done, over.is_final],
        "handoff": dump_handoff(over.outgoing_handoffs),
        "delegated": over.incoming_handoff and [over.incoming_handoff.origin, over.incoming_handoff.number],
    }


def dump_handoff(row: OriginRow | None) -> list[Any] | None:
    """Handoffs to other cells."""
    if row is None:
        return None
    placements = [[each.target, each.number] for each in row.recalled]
    away = row.moved_to and [row.moved_to.target, row.moved_to.number]
    return [row.job, row.policy.value, away, placements, row.cancelling]


def dump_admission(row: AdmissionRow) -> dict[str, Any]:
    """Cuts of admission."""
    cuts = {
        f"{lane.team} {lane.job_class} {lane.priority}": [cut.ticket.submitted_ms, cut.ticket.job, cut.raised_ms]
        for lane, cut in row.lanes.items()
    }
    common = [row.common.ticket.submitted_ms, row.common.ticket.job, row.common.raised_ms]
    return {"number": row.number, "common": common, "lanes": cuts, "owed": dict(row.deficits), "split": row.split}
