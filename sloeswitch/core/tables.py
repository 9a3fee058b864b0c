"""The replicated tables: what the state service holds, as this controller last saw it (its keys: see core.keys)."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.core import keys, taskset
from sloeswitch.core.cancellation_log import Cancellation, CancellationLog
from sloeswitch.core.dependency_graph import DependencyGraph
from sloeswitch.core.records import (
    NO_VIEW,
    DelegationOrigin,
    FeatureStatus,
    FinishedJob,
    Job,
    JobState,
    MachineRow,
    MemberRow,
    Progress,
    View,
)
from sloeswitch.core.row_codec import decode_handoff, decode_progress, join_spec
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec, MachineType, MachineTypeCatalog

log = logging.getLogger("tables")


class Tables:
    """Written by the replica only; everybody else in the process reads."""

    def __init__(self, cancellations: CancellationLog | None = None) -> None:
        # What is told to siblings, and what they told that is not read yet; both outlast a reading of everything.
        self.cancellations = cancellations or CancellationLog(1, 0)
        self.peer_cancellations: dict[str, int] = {}
        self.clear()

    def clear(self) -> None:
        self.mod_revisions: dict[str, int] = {}
        self.members: dict[str, MemberRow] = {}
        self.coordinator: tuple[str, int] | None = None
        self.view = NO_VIEW
        self.machine_types: dict[str, MachineType] = {}
        self._catalog: dict[str, MachineType] = {}
        self._single_types: dict[str, MachineType] = {}
        self.jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, FinishedJob] = {}
        # Those of them whose row may still change.
        self.unsettled_jobs: set[str] = set()
        self.graph = DependencyGraph(self.jobs, self.finished_jobs)
        # Who has run with this layout, and whether all have (the mark).
        self.layout_members: tuple[str, ...] = ()
        self.layout_complete = False
        self.features: dict[str, FeatureStatus] = {}
        # Cuts of admission by the path of their row; replaced as a whole, so that a reader can tell a change.
        self.admission_rows: dict[str, AdmissionRow] = {}
        # For each other cell: its handoffs up to this number that are not on record are refused for ever.
        self.handoff_floors: dict[str, int] = {}
        self.machines: dict[str, MachineRow] = {}
        self.machine_groups: dict[str, set[str]] = {}
        self.deleted_machines: set[str] = set()
        self.quota_allocations: dict[str, dict[str, tuple[float, float]]] = {}
        # Jobs that are over and whose progress is still stored.
        self.leftover_progress: set[str] = set()
        # Stored parts of specs: job -> try -> number -> text.
        self.spec_chunks: dict[str, dict[str, dict[int, str]]] = {}
        # Stored adoptions: job -> [(stamp, tag, tasks)], the earliest first; and their keys.
        self.adoptions: dict[str, list[tuple[int, str, int]]] = {}
        self.adoption_keys: dict[str, str] = {}
        self._early: dict[str, tuple[Progress, int]] = {}
        self._partial: dict[str, tuple[dict[str, Any], int]] = {}

    def mod_revision(self, key: str) -> int:
        return self.mod_revisions.get(key, 0)

    def apply(self, key: str, value: Any, stamp: int) -> None:
        """One change; `value` None means the key is gone. Older than what is known: ignored."""
        if not key.startswith(keys.KEY_PREFIX):
            return
        name = key[len(keys.KEY_PREFIX) :]
        kind, _, rest = name.partition("/")
        if kind == "j" and rest in self.finished_jobs and self.finished_jobs[rest].is_final:
            return  # final; an overlapping read may still bring what was before
        if stamp <= self.mod_revisions.get(key, 0):
            return
        if value is None:
            self.mod_revisions.pop(key, None)
        else:
            self.mod_revisions[key] = stamp
        try:
            self._apply(kind, rest, value, stamp)
        except (KeyError, TypeError, ValueError, AttributeError, msgspec.MsgspecError) as error:
            # A value that this version cannot read must not stop the rest.
            log.error("stored value %s is malformed: %r", key, error)

    def _apply(self, kind: str, rest: str, value: Any, stamp: int) -> None:
        if kind == "j":
            self._apply_job(rest, value, stamp)
        elif kind == "r":
            self._apply_progress(rest, value, stamp)
        elif kind == "a":
            self._apply_adoptions(rest, value, stamp)
        elif kind == "p":
            self._apply_part(rest, value)
        elif kind == "h":
            if value is None:
                self.machines.pop(rest, None)
                self.deleted_machines.add(rest)
            else:
                self.machines[rest] = MachineRow(value["a"], value["t"], value["z"], value["s"], keys.machine_key(rest))
                self.deleted_machines.discard(rest)
        elif kind == "g":
            self._apply_group(rest, {} if value is None else value["m"])
        elif kind == "q":
            self.quota_allocations[rest] = {tag: (cores, gpus) for tag, (cores, gpus) in (value or {}).items()}
        elif kind == "m":
            if value is None:
                self.members.pop(rest, None)
            else:
                self.members[rest] = MemberRow(value["boot"], value["settled"], value.get("layout", 1))
        elif kind == "view" and value is not None:
            self.view = View(value["n"], tuple((member, boot) for member, boot in value["members"]))
        elif kind == "coord":
            self.coordinator = None if value is None else (value["member"], value["boot"])
        elif kind == "f":
            self.handoff_floors[rest] = 0 if value is None else value["n"]
        elif kind == "admission":
            self._apply_admission(rest.removeprefix("r"), value)
        elif kind == "feature" and value is not None:
            self.features[rest] = FeatureStatus(tuple(value["seen"]), bool(value["complete"]))
        elif kind == "layout" and value is not None:
            self.layout_members = tuple(value["seen"])
            self.layout_complete = bool(value["complete"])
        elif kind == "catalog":
            kinds = [] if value is None else msgspec.convert(value, MachineTypeCatalog).types
            self._catalog = {item.name: item for item in kinds}
            self.machine_types = self._catalog | self._single_types
        elif kind == "c":
            if value is None:
                self._single_types.pop(rest, None)
            else:
                self._single_types[rest] = msgspec.convert(value, MachineType)
            self.machine_types = self._catalog | self._single_types

    def _apply_admission(self, path: str, value: Any) -> None:
        rows = dict(self.admission_rows)
        if value is None:
            rows.pop(path, None)
        else:
            rows[path] = AdmissionRow.from_stored(value)
        self.admission_rows = rows

    def _apply_group(self, group: str, rows: dict[str, list[Any]]) -> None:
        gone = self.machine_groups.pop(group, set()) - rows.keys()
        if rows:
            self.machine_groups[group] = set(rows)
        # A group too large for a value is parted, and a write repeated after no answer makes another group, so
        # that a machine may be in several. The last of them by name holds it, whatever order they were read in:
        # left out of the others by different controllers, it is still in that one.
        for name in gone:
            other = max((other for other, members in self.machine_groups.items() if name in members), default=None)
            if other is not None:
                self.machines[name].key = keys.group_key(other)
            else:
                self.machines.pop(name, None)
                self.deleted_machines.add(name)
        for name, (address, kind, zone, spot) in rows.items():
            known = self.machines.get(name)
            key = keys.group_key(group)
            if (
                known is not None
                and known.key > key
                and name in self.machine_groups.get(keys.group_name(known.key), ())
            ):
                key = known.key
            self.machines[name] = MachineRow(address, kind, zone, spot, key)
            self.deleted_machines.discard(name)

    def apply_peer_cancellation(self, told: Cancellation) -> None:
        """A sibling knows this cancellation to be stored. It is acted on and answered before the row is read; the
        stamp stays that of the row as read, so that no write relies on more."""
        name = told.job
        job = self.jobs.get(name)
        if (
            name in self.finished_jobs
            or name in self.peer_cancellations
            or (job is not None and job.status == JobState.CANCELLED)
        ):
            return
        self.peer_cancellations[name] = told.revision
        self.cancellations.add(name, told.revision)
        if job is not None:
            job.status = JobState.CANCELLED
        self.graph.cancel(name)

    def _apply_job(self, name: str, value: Any, stamp: int) -> None:
        if value is None:
            self.jobs.pop(name, None)
            self.finished_jobs.pop(name, None)
            self.unsettled_jobs.discard(name)
            return
        handoff = decode_handoff(name, value.get("h"))
        delegated = DelegationOrigin(*value["o"]) if "o" in value else None
        if value["s"] == JobState.CANCELLED and name not in self.finished_jobs:
            known = self.jobs.get(name)
            if known is None or known.status != JobState.CANCELLED:
                self.cancellations.add(name, stamp)
            self.peer_cancellations.pop(name, None)
        if "spec" not in value and "parts" not in value:
            self.jobs.pop(name, None)
            self._early.pop(name, None)
            self._partial.pop(name, None)
            if self.mod_revision(keys.progress_key(name)):
                self.leftover_progress.add(name)
            ended = self.finished_jobs[name] = FinishedJob(
                value["s"], value["n"], value.get("t", 0), stamp, handoff, delegated
            )
            (self.unsettled_jobs.discard if ended.is_final else self.unsettled_jobs.add)(name)
            if ended.is_final:
                self.mod_revisions.pop(keys.job_key(name), None)
            if ended.is_done:
                self.graph.finish(name, ended)
            else:
                self.graph.cancel(name)
            return
        known = self.jobs.get(name)
        if known is not None:
            known.status = JobState.CANCELLED if name in self.peer_cancellations else value["s"]
            known.mod_revision = stamp
            known.cancelled_ms = value.get("x", 0)
            known.handoff, known.returned_ms = handoff, value.get("h", {}).get("t", 0)
            if known.is_cancelled:
                self.graph.cancel(name)
            return
        parts = None
        if "parts" in value:
            attempt, count = parts = value["parts"][0], value["parts"][1]
            texts = self.spec_chunks.get(name, {}).get(attempt, {})
            if len(texts) < count:
                self._partial[name] = (value, stamp)  # the first reading is by key, not by age
                return
            spec = join_spec([texts[number] for number in range(count)])
        else:
            spec = msgspec.convert(value["spec"], JobSpec)
        # Guards against a reading that was under way when a sibling told of the cancellation.
        status = JobState.CANCELLED if name in self.peer_cancellations else value["s"]
        job = Job(spec, status, stamp, stamp, value["t"], spec_chunks=parts, ready_ms=value["t"])
        job.cancelled_ms = value.get("x", 0)
        job.handoff, job.returned_ms, job.delegated = handoff, value.get("h", {}).get("t", 0), delegated
        if name in self._early:
            job.progress, job.progress_revision = self._early.pop(name)
        self.jobs[name] = job
        self.graph.add_job(job)

    def _apply_part(self, rest: str, value: Any) -> None:
        name, attempt, number = rest.split("/")
        texts = self.spec_chunks.setdefault(name, {}).setdefault(attempt, {})
        if value is None:
            texts.pop(int(number), None)
            if not texts:
                del self.spec_chunks[name][attempt]
            if not self.spec_chunks[name]:
                del self.spec_chunks[name]
            return
        texts[int(number)] = value
        if name in self._partial:
            self._apply_job(name, *self._partial.pop(name))

    def _apply_adoptions(self, rest: str, value: Any, stamp: int) -> None:
        """Each row is written once, so that none brings back what was given up since. It goes when its
        controller's run is over and what it claimed is void or stored with the jobs."""
        tag = rest.rpartition("/")[0]
        key = f"{keys.KEY_PREFIX}a/{rest}"
        if value is None:
            self.adoption_keys.pop(key, None)
            if tag not in self.adoption_keys.values():
                kept = {name: [each for each in found if each[1] != tag] for name, found in self.adoptions.items()}
                self.adoptions = {name: found for name, found in kept.items() if found}
            return
        self.adoption_keys[key] = tag
        for name, packed in value["m"].items():
            tasks = taskset.unpack(packed)
            found = self.adoptions.setdefault(name, [])
            found.append((stamp, tag, tasks))
            found.sort()
            job = self.jobs.get(name)
            if job is not None and stamp > job.progress.adoption_revision:
                job.progress = job.progress.copy()
                job.progress.adopt(tag, tasks)

    def _apply_progress(self, name: str, value: Any, stamp: int) -> None:
        if value is None:
            self.leftover_progress.discard(name)
        if name in self.finished_jobs:
            if value is not None:
                self.leftover_progress.add(name)
            return
        progress = Progress() if value is None else decode_progress(value)
        for since, tag, tasks in self.adoptions.get(name, ()):
            if since > progress.adoption_revision:
                progress.adopt(tag, tasks)
        job = self.jobs.get(name)
        if job is not None:
            job.progress = progress
            job.progress_revision = 0 if value is None else stamp
        elif value is not None:
            self._early[name] = (progress, stamp)

    def recovery_complete(self) -> bool:
        """Whether every machine has been heard, or surely lost its tasks, under the present view.
        From then on a task claimed by a controller outside the view, and adopted by nobody, is nowhere."""
        return bool(self.view.members) and all(
            (row := self.members.get(member)) is not None
            and row.incarnation == boot
            and row.recovered_view == self.view.number
            for member, boot in self.view.members
        )

    def void_claim_holders(self, job: Job) -> list[str]:
        """Tags whose claims on the job are void. Only valid while all_settled()."""
        tags = self.view.incarnation_ids
        return [tag for tag in job.progress.claims if tag not in tags]

    def unclaimed_tasks(self, job: Job, settled: bool) -> int:
        """Tasks nobody has claimed. A claim of a departed controller stands until all is settled,
        since the task may still run on one of its machines."""
        progress = job.progress
        taken = progress.done
        tags = self.view.incarnation_ids if settled else None
        for tag, mask in progress.claims.items():
            if tags is None or tag in tags:
                taken |= mask
        return job.all_tasks & ~taken

    def quota_allocation(self, team: str, tag: str) -> tuple[float, float]:
        """What tasks of the team on this controller's machines may use together."""
        return self.quota_allocations.get(team, {}).get(tag, (0.0, 0.0))

    def unallocated_quota(self, team: Team) -> tuple[float, float]:
        """What is left of the team's limit for any controller to take. Once all is settled, nothing that
        a departed controller's allowance covered exists. Found on the bench: counted on, such allowances
        used up a limit, nobody asked for more, and the team stood still."""
        settled = self.recovery_complete()
        tags = self.view.incarnation_ids
        held = [
            amounts for tag, amounts in self.quota_allocations.get(team.name, {}).items() if tag in tags or not settled
        ]
        return (
            team.cpus_max - sum(cores for cores, _ in held),
            team.gpus_max - sum(gpus for _, gpus in held),
        )
