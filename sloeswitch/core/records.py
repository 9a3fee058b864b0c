"""In-memory records decoded from the rows of the state service.

`core.row_application` creates and updates them as rows change. Scheduling adds computed fields to jobs
(`core.job_queue`, `admission.gate`). `core.row_codec` defines the stored form.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import NamedTuple

from sloeswitch.cells.handoff import OriginRow
from sloeswitch.core import taskset
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.keys import incarnation_id_of
from sloeswitch.core.rendezvous import owner
from sloeswitch.core.taskset import TaskSet
from sloeswitch.wire import JobSpec


class JobState(StrEnum):
    """The state of a job; each value is the text stored in the job's row.

    A state that this version does not know is kept as a plain string, so that it is written back unchanged. Such a job
    is neither live, done nor cancelled.
    """

    LIVE = "live"
    DONE = "done"
    CANCELLED = "withdrawn"


# Module constants, because looking up an enum member costs more than the comparisons that scheduling makes per job.
_LIVE = JobState.LIVE
_CANCELLED = JobState.CANCELLED


@dataclass(frozen=True)
class View:
    """A numbered list of the controllers that own machines; each new view has a larger number."""

    number: int
    members: tuple[Incarnation, ...]

    @cached_property
    def incarnation_ids(self) -> frozenset[str]:
        """The incarnation ids of the members; claims and quota allocations are stored under these ids."""
        return frozenset(incarnation_id_of(member, lease_id) for member, lease_id in self.members)

    def owner(self, machine: str) -> str | None:
        """Returns the member that owns a machine under this view, or None if the view is empty."""
        return owner(machine, self.members)

    def lease_id_of(self, member: str) -> int | None:
        """Returns the lease id of a member in this view, or None if it is not in the view."""
        return next((lease_id for name, lease_id in self.members if name == member), None)


NO_VIEW = View(0, ())


@dataclass
class Progress:
    """The state of a job's tasks, stored in a row of its own because it changes more often than the job's row."""

    done: TaskSet = 0
    # Claimed tasks by the incarnation id of the controller that claims them.
    claims: dict[str, TaskSet] = field(default_factory=dict)
    # For a job whose tasks must share a zone: the zone of its claimed tasks.
    zone: str | None = None
    # Not used by this version; a stored value is written back unchanged.
    attempt: int = 0
    # `claims` contains the adoptions stored up to this revision.
    adoption_revision: int = 0

    def copy(self) -> Progress:
        """Returns a copy that can be changed without changing this one."""
        return Progress(self.done, dict(self.claims), self.zone, self.attempt, self.adoption_revision)

    def adopt(self, incarnation_id: str, tasks: TaskSet) -> None:
        """Moves the claims on tasks to the controller that found them on its machines; done tasks are left out."""
        tasks &= ~self.done
        claims = {holder: claimed & ~tasks for holder, claimed in self.claims.items()}
        claims[incarnation_id] = claims.get(incarnation_id, 0) | tasks
        self.claims = {holder: claimed for holder, claimed in claims.items() if claimed}

    def claimed_tasks(self) -> TaskSet:
        """Returns the tasks claimed by any controller."""
        claimed = 0
        for tasks in self.claims.values():
            claimed |= tasks
        return claimed


class Adoption(NamedTuple):
    """Tasks of one job that a controller found on machines that it took over. Sorts by revision."""

    mod_revision: int
    incarnation_id: str
    tasks: TaskSet


class SpecChunks(NamedTuple):
    """Identifies the stored chunks of a job's spec that is too large for one value."""

    # The attempt that stored the chunks. A failed attempt may have left chunks under its own name.
    attempt: str
    chunk_count: int


class IncomingHandoff(NamedTuple):
    """The handoff by which another cell handed a job over to this one."""

    origin: str
    number: int


class InheritedDeadlines(NamedTuple):
    """Deadlines of a job derived from the deadlines of the jobs that depend on it.

    `first_ms` is the earliest of their first deadlines and `last_ms` the earliest of their last deadlines. From each
    deadline, the estimated duration of the path to the dependent job, including that job, is subtracted. Both are in
    milliseconds since the Unix epoch.
    """

    first_ms: float
    last_ms: float


class FinishedJob(NamedTuple):
    """A job that is done, or cancelled with no claimed tasks left.

    It is kept permanently, except that the row of a job from another cell is deleted once that cell acknowledges it.
    """

    status: JobState | str
    # The number of its tasks.
    tasks: int
    # Milliseconds since the Unix epoch, by the clock of the controller that stored it; 0 if an earlier layout stored no
    # time.
    finished_ms: int = 0
    mod_revision: int = 0
    # Handoffs to other cells that must still be stopped.
    outgoing_handoffs: OriginRow | None = None
    # The handoff by which the job came from another cell, until that cell acknowledges the end of the job.
    incoming_handoff: IncomingHandoff | None = None

    @property
    def is_done(self) -> bool:
        """Whether all its tasks are done; False if the job was cancelled."""
        return self.status == JobState.DONE

    @property
    def is_final(self) -> bool:
        """Whether its row never changes again."""
        return self.outgoing_handoffs is None and self.incoming_handoff is None


@dataclass
class Job:
    """A job that is not finished: live, or cancelled while some of its tasks may still run.

    Fields ending in `_ms` are milliseconds since the Unix epoch, by the clock of the controller that stored them.
    """

    # Fields decoded from its rows.
    spec: JobSpec
    status: JobState | str
    # The revision of the row that was read last; writes are conditional on it.
    mod_revision: int
    # Orders jobs by age in the queue: the revision of the job's first row, or of the row that marked its last
    # prerequisite as done, whichever is later.
    ready_revision: int
    submitted_ms: int
    progress: Progress = field(default_factory=Progress)
    # The revision of its progress row; 0 if none is stored.
    progress_revision: int = 0
    # The chunks that hold its spec; None if the spec is in the job's row.
    spec_chunks: SpecChunks | None = None
    # When its user cancelled it; 0 if it is not cancelled, or if an earlier version stored no time.
    cancelled_ms: int = 0

    # Prerequisites, maintained by core.dependency_graph.
    # The join counter: the number of prerequisites that are not stored as done.
    unfinished_prerequisites: int = 0
    # Whether a direct or indirect prerequisite is cancelled.
    prerequisite_cancelled: bool = False
    # When its last prerequisite was done; the time of submission if it has no prerequisites.
    ready_ms: int = 0

    # Priority and deadlines, computed by core.job_priority and core.slo_targets.
    # The highest priority among the jobs that depend on it, as a rank: the smallest rank goes first.
    inherited_rank: int | None = None
    # The deadlines that it must meet for the jobs that depend on it; None if they have none.
    inherited_deadlines: InheritedDeadlines | None = None
    # Its target completion times in seconds from submission, the earliest first; None until computed.
    slo_targets_s: list[float] | None = None

    # Handoffs between cells, stored in the job's row.
    # Its handoffs to other cells.
    outgoing_handoffs: OriginRow | None = None
    # When another cell last returned the job; 0 if none did.
    returned_ms: int = 0
    # The handoff by which the job came from another cell.
    incoming_handoff: IncomingHandoff | None = None

    # Its place in the queue, computed by core.job_queue and admission.gate.
    # Whether admission control keeps it out of the queue at present.
    deferred: bool = False
    # Whether a part of its tasks goes first because none of its tasks has started for a long time.
    starved: bool = False
    # Whether it fitted within its team's guarantee, together with the team's earlier jobs, when it was first queued;
    # None until then, and after its inherited priority or deadlines have changed.
    guaranteed: bool | None = None
    # The sort key of its place in the queue, without the tie breaker (`QueueKey.rank`).
    queue_rank: tuple[float, ...] = ()

    # The cached value of has_unclaimed_tasks, and the progress that it was computed from.
    _unclaimed_checked_for: Progress | None = None
    _has_unclaimed_tasks: bool = True

    @cached_property
    def all_tasks(self) -> TaskSet:
        """All tasks of the job, in any state."""
        return taskset.full(self.spec.tasks)

    def completed_with(self, tasks: TaskSet) -> TaskSet:
        """All tasks that are done if the given ones have completed.

        The tasks of a gang complete together, so the completion of one shows that of all. The machines of the others
        may be lost before they report it.
        """
        completed = tasks & self.all_tasks
        return self.all_tasks if self.spec.gang and completed else completed

    @property
    def is_cancelled(self) -> bool:
        """Whether its user cancelled it, or a direct or indirect prerequisite is cancelled."""
        return self.prerequisite_cancelled or self.status == _CANCELLED

    @property
    def is_runnable(self) -> bool:
        """Whether its tasks may start.

        A job with a cancelled prerequisite is never runnable, because its join counter does not reach zero.
        """
        return (
            self.status == _LIVE
            and not self.unfinished_prerequisites
            and (self.outgoing_handoffs is None or self.outgoing_handoffs.startable)
        )

    @property
    def has_unclaimed_tasks(self) -> bool:
        """Whether any task is neither done nor claimed; computed once per `Progress` object."""
        if self._unclaimed_checked_for is not self.progress:
            self._unclaimed_checked_for = self.progress
            self._has_unclaimed_tasks = self.all_tasks != self.progress.done | self.progress.claimed_tasks()
        return self._has_unclaimed_tasks

    @property
    def remaining_tasks(self) -> int:
        """The number of tasks that are not done."""
        return self.spec.tasks - self.progress.done.bit_count()


@dataclass
class MachineRow:
    """A stored machine, on which tasks may run."""

    # Host and port of the worker agent on the machine.
    address: str
    type: str
    zone: str
    spot: bool
    # The key of the row that stores it: its group's row, or under layout 1 a row of its own.
    key: str


@dataclass
class MemberRow:
    """A live controller; its row is deleted when its lease ends."""

    # The id of its lease, which identifies its incarnation.
    lease_id: int
    # The number of the latest view for which it has completed the recovery of its machines.
    recovered_view: int
    # The version of the stored layout that it writes.
    layout: int


class FeatureStatus(NamedTuple):
    """The controllers that have run with a feature turned on, and whether this includes all configured ones."""

    members: tuple[str, ...] = ()
    complete: bool = False
