"""The replicated tables: what the state service holds, as this controller last saw it.

Keys, all under one versioned prefix so that a later layout can be told apart:

    m/MEMBER   {"boot", "settled", "layout"}   a live controller (lease-bound)
    coord      {"member", "boot"}    the coordinator (lease-bound)
    view       {"n", "members"}      the numbered view: [[member, boot], ...]
    catalog    {...}                 machine types, as the cloud last told them
    c/TYPE     {...}                 one machine type, where all together fit no value
    j/JOB      {"s", "n", ...}       a job: "live", "done" or "withdrawn"; the spec until it is over, then
                                     the time of its end; "x" once withdrawn: the time of the cancellation;
                                     "h" once it was offered to another cell, "o" if another cell handed it over
    p/JOB/TRY/N  TEXT                a part of a spec that fits no value; the job's row names the try
    r/JOB      {"d", "c", "z", "e"}  its progress: done tasks, claims by controller, zone; the epoch up to which
                                     adoptions are in it
    a/TAG/N    {"m": {JOB: tasks}}   tasks that this run found on machines which it took over: its claims, in
                                     addition to the jobs' progress rows until these are written next
    q/TEAM     {TAG: [cores, gpus]}  the team's limit, as allowances of the controllers
    g/GROUP    {"m": {MACHINE: [address, type, zone, spot]}}   machines that may hold tasks
    h/MACHINE  {"a", "t", "z", "s"}  the same, one by one: layout 1, written while a controller that
                                     knows no groups is about
    feature/F  {"seen", "complete"}  the same for a feature that is turned on (see features)
    admission/rPATH  {"n", "c", ...} cuts of admission (see admission.cuts), of the lanes whose hash begins with PATH
    f/CELL     {"n"}                 the floor of another cell's handoffs (see cells.delegation)
    layout     {"seen": [MEMBER...], "complete"}   who has run with this layout; complete once all have
"""

from __future__ import annotations

import logging
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from functools import cached_property, lru_cache
from typing import Any, NamedTuple

import msgspec

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.cells.handoff import OriginRow, Placement
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.core import taskset
from sloeswitch.core.cancellation_log import Cancellation, CancellationLog
from sloeswitch.core.dependency_graph import DependencyGraph
from sloeswitch.core.rendezvous import owner
from sloeswitch.settings import Team
from sloeswitch.wire import JobSpec, MachineType, MachineTypeCatalog

log = logging.getLogger("tables")

KEY_PREFIX = "s1/"
VIEW_KEY, COORDINATOR_KEY, CATALOG_KEY, LAYOUT_KEY = (
    KEY_PREFIX + "view",
    KEY_PREFIX + "coord",
    KEY_PREFIX + "catalog",
    KEY_PREFIX + "layout",
)
# What this version writes; each controller tells it in its member row. Groups came with the second. The third
# stores jobs that wait, specs in parts, and sets of tasks as text where that is shorter, all of them only once
# the mark (UPGRADE) says that every configured controller has run with it.
MACHINE_GROUPS_LAYOUT, LAYOUT_VERSION = 2, 3
LIVE, DONE, CANCELLED = "live", "done", "withdrawn"


def member_key(member: str) -> str:
    return f"{KEY_PREFIX}m/{member}"


def job_key(job: str) -> str:
    return f"{KEY_PREFIX}j/{job}"


def progress_key(job: str) -> str:
    return f"{KEY_PREFIX}r/{job}"


def chunk_key(job: str, attempt: str, number: int) -> str:
    return f"{KEY_PREFIX}p/{job}/{attempt}/{number}"


def adoption_key(tag: str, number: int) -> str:
    return f"{KEY_PREFIX}a/{tag}/{number}"


def feature_key(feature: str) -> str:
    return f"{KEY_PREFIX}feature/{feature}"


def admission_key(path: str) -> str:
    return f"{KEY_PREFIX}admission/r{path}"


def floor_key(cell: str) -> str:
    return f"{KEY_PREFIX}f/{cell}"


def team_key(team: str) -> str:
    return f"{KEY_PREFIX}q/{team}"


def machine_key(machine: str) -> str:
    return f"{KEY_PREFIX}h/{machine}"


def type_key(kind: str) -> str:
    return f"{KEY_PREFIX}c/{kind}"


def group_key(group: str) -> str:
    return f"{KEY_PREFIX}g/{group}"


def group_name(key: str) -> str:
    """The group that a key names, or what is no group's name."""
    return key.removeprefix(group_key(""))


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


@lru_cache(maxsize=64)
def incarnation_id_of(member: str, boot: int) -> str:
    """Names one run of one controller: claims carry it, so that a restart never owns old claims."""
    return f"{member}.{boot}"


@dataclass(frozen=True)
class View:
    number: int
    members: tuple[tuple[str, int], ...]

    @cached_property
    def incarnation_ids(self) -> frozenset[str]:
        return frozenset(incarnation_id_of(member, boot) for member, boot in self.members)

    def owner(self, machine: str) -> str | None:
        """The member that owns a machine under this view; None when the view is empty."""
        return owner(machine, self.members)

    def incarnation_of(self, member: str) -> int | None:
        return next((boot for name, boot in self.members if name == member), None)


NO_VIEW = View(0, ())


@dataclass
class Progress:
    """The mutable part of a job, as one stored value."""

    done: int = 0
    claims: dict[str, int] = field(default_factory=dict)
    zone: str | None = None
    attempt: int = 0
    # Adoptions stored up to this epoch are in the claims.
    adoption_revision: int = 0

    def copy(self) -> Progress:
        return Progress(self.done, dict(self.claims), self.zone, self.attempt, self.adoption_revision)

    def adopt(self, tag: str, tasks: int) -> None:
        """The tasks were found on machines of this controller: they are its claims, whoever had them."""
        tasks &= ~self.done
        claims = {holder: mask & ~tasks for holder, mask in self.claims.items()}
        claims[tag] = claims.get(tag, 0) | tasks
        self.claims = {holder: mask for holder, mask in claims.items() if mask}

    def claimed_tasks(self) -> int:
        taken = 0
        for mask in self.claims.values():
            taken |= mask
        return taken

    def stored(self, dense: bool = False) -> dict[str, Any]:
        """As it is stored; `dense` once no controller of an earlier layout can come back."""
        pack = taskset.pack_dense if dense else taskset.pack
        value: dict[str, Any] = {
            "d": pack(self.done),
            "c": {tag: pack(mask) for tag, mask in self.claims.items() if mask},
        }
        if self.zone is not None:
            value["z"] = self.zone
        if self.attempt:
            value["a"] = self.attempt
        return value

    @staticmethod
    def from_stored(value: dict[str, Any]) -> Progress:
        return Progress(
            taskset.unpack(value["d"]),
            {tag: taskset.unpack(runs) for tag, runs in value["c"].items()},
            value.get("z"),
            value.get("a", 0),
            value.get("e", 0),
        )


class DelegationOrigin(NamedTuple):
    """Which handoff of another cell a job came with."""

    origin: str
    number: int


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


class FinishedJob(NamedTuple):
    """A job that is over, kept for good. `at_ms`: 0 where an earlier layout stored no time."""

    status: str
    tasks: int
    finished_ms: int = 0
    mod_revision: int = 0
    # Handoffs that are still to be stopped, and the handoff that it came with, until that is acknowledged.
    handoff: OriginRow | None = None
    delegated: DelegationOrigin | None = None

    @property
    def is_done(self) -> bool:
        return self.status == DONE

    @property
    def is_final(self) -> bool:
        """Whether its row changes no more."""
        return self.handoff is None and self.delegated is None


@dataclass
class Job:
    """A job that is not over, or is cancelled with tasks not yet accounted for."""

    spec: JobSpec
    status: str
    mod_revision: int
    ready_revision: int
    submitted_ms: int
    progress: Progress = field(default_factory=Progress)
    progress_revision: int = 0
    # Where its spec is, if in parts: the try that stored them, and how many there are.
    spec_chunks: tuple[str, int] | None = None
    # How many of those that it awaits are not stored as done: dwork's join counter (see graph).
    unfinished_prerequisites: int = 0
    # Whether one that it needs, directly or through others, is cancelled.
    prerequisite_cancelled: bool = False
    # When its user cancelled it, by the clock of whoever stored that; 0 if it is not told.
    cancelled_ms: int = 0
    # When the last that it needs was done; its submission when it needs none.
    ready_ms: int = 0
    # Of those that need it: the highest priority, and the times by which it must be done for the first and
    # the last of their targets (see ready).
    inherited_rank: int | None = None
    inherited_ms: tuple[float, float] | None = None
    # When it should be done, in seconds from submission; reckoned once (see ready).
    targets: list[float] | None = None
    # Its handoffs to other cells, and when the last of them came back; the handoff that it came with.
    handoff: OriginRow | None = None
    returned_ms: int = 0
    delegated: DelegationOrigin | None = None
    # Whether admission keeps it out of the line for now (see admission.gate).
    deferred: bool = False
    # Whether it goes first just now since nothing of it has begun for long; only a part of it does.
    starved: bool = False
    # Whether it fitted its team's guarantee, with the team's earlier jobs, when it was first lined up.
    guaranteed: bool | None = None
    _reckoned: Progress | None = None
    _unstarted: bool = True
    # What its place in the line goes by besides age (see ready).
    queue_rank: tuple[float, ...] = ()

    @cached_property
    def all_tasks(self) -> int:
        return taskset.full(self.spec.tasks)

    @property
    def is_cancelled(self) -> bool:
        return self.prerequisite_cancelled or self.status == CANCELLED

    @property
    def is_runnable(self) -> bool:
        """Whether its tasks may start. One that is condemned waits for ever."""
        return (
            self.status == LIVE
            and not self.unfinished_prerequisites
            and (self.handoff is None or self.handoff.startable)
        )

    @property
    def has_unclaimed_tasks(self) -> bool:
        """Whether a task is neither done nor claimed. Reckoned once for each progress that is stored."""
        if self._reckoned is not self.progress:
            self._reckoned = self.progress
            self._unstarted = self.all_tasks != self.progress.done | self.progress.claimed_tasks()
        return self._unstarted

    @property
    def remaining_tasks(self) -> int:
        return self.spec.tasks - self.progress.done.bit_count()


@dataclass
class MachineRow:
    address: str
    type: str
    zone: str
    spot: bool
    # The key that holds it.
    key: str

    def stored(self) -> list[Any]:
        return [self.address, self.type, self.zone, self.spot]


@dataclass
class MemberRow:
    incarnation: int
    recovered_view: int
    layout: int


class FeatureStatus(NamedTuple):
    """Which controllers have run with a feature turned on, and whether all configured ones have."""

    seen: tuple[str, ...] = ()
    complete: bool = False


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
        if not key.startswith(KEY_PREFIX):
            return
        name = key[len(KEY_PREFIX) :]
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
                self.machines[rest] = MachineRow(value["a"], value["t"], value["z"], value["s"], machine_key(rest))
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
                self.machines[name].key = group_key(other)
            else:
                self.machines.pop(name, None)
                self.deleted_machines.add(name)
        for name, (address, kind, zone, spot) in rows.items():
            known = self.machines.get(name)
            key = group_key(group)
            if known is not None and known.key > key and name in self.machine_groups.get(group_name(known.key), ()):
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
            or (job is not None and job.status == CANCELLED)
        ):
            return
        self.peer_cancellations[name] = told.revision
        self.cancellations.add(name, told.revision)
        if job is not None:
            job.status = CANCELLED
        self.graph.cancel(name)

    def _apply_job(self, name: str, value: Any, stamp: int) -> None:
        if value is None:
            self.jobs.pop(name, None)
            self.finished_jobs.pop(name, None)
            self.unsettled_jobs.discard(name)
            return
        handoff = decode_handoff(name, value.get("h"))
        delegated = DelegationOrigin(*value["o"]) if "o" in value else None
        if value["s"] == CANCELLED and name not in self.finished_jobs:
            known = self.jobs.get(name)
            if known is None or known.status != CANCELLED:
                self.cancellations.add(name, stamp)
            self.peer_cancellations.pop(name, None)
        if "spec" not in value and "parts" not in value:
            self.jobs.pop(name, None)
            self._early.pop(name, None)
            self._partial.pop(name, None)
            if self.mod_revision(progress_key(name)):
                self.leftover_progress.add(name)
            ended = self.finished_jobs[name] = FinishedJob(
                value["s"], value["n"], value.get("t", 0), stamp, handoff, delegated
            )
            (self.unsettled_jobs.discard if ended.is_final else self.unsettled_jobs.add)(name)
            if ended.is_final:
                self.mod_revisions.pop(job_key(name), None)
            if ended.is_done:
                self.graph.finish(name, ended)
            else:
                self.graph.cancel(name)
            return
        known = self.jobs.get(name)
        if known is not None:
            known.status = CANCELLED if name in self.peer_cancellations else value["s"]
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
        status = CANCELLED if name in self.peer_cancellations else value["s"]
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
        key = f"{KEY_PREFIX}a/{rest}"
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
        progress = Progress() if value is None else Progress.from_stored(value)
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
