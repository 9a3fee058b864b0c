"""What the rows of the state service say, as this controller works with it.

Records are made and changed by the tables (`core.row_application`) and by the scheduling that annotates jobs
(`core.job_queue`, `admission.gate`). How they are stored is `core.row_codec`'s business.
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
    """The state of a job in its row; the values are the stored words.

    A row may hold a word that this version does not know. It is kept as text, so that it is written back as it was
    read, and such a job is neither live, done nor cancelled.
    """

    LIVE = "live"
    DONE = "done"
    CANCELLED = "withdrawn"


# Looked up once: looking up a member of an enum costs more than the comparisons that scheduling makes for every job.
_LIVE = JobState.LIVE
_CANCELLED = JobState.CANCELLED


@dataclass(frozen=True)
class View:
    """The numbered list of the controllers that own machines; a later view has a larger number."""

    number: int
    members: tuple[Incarnation, ...]

    @cached_property
    def incarnation_ids(self) -> frozenset[str]:
        """The incarnation ids under which members of this view claim tasks."""
        return frozenset(incarnation_id_of(member, incarnation) for member, incarnation in self.members)

    def owner(self, machine: str) -> str | None:
        """The member that owns a machine under this view; None when the view is empty."""
        return owner(machine, self.members)

    def incarnation_of(self, member: str) -> int | None:
        """The incarnation of a member in this view; None when it is not in the view."""
        return next((incarnation for name, incarnation in self.members if name == member), None)


NO_VIEW = View(0, ())


@dataclass
class Progress:
    """The part of a job that changes as its tasks run, stored as one row beside the job's."""

    done: TaskSet = 0
    # Tasks by the incarnation id of the controller that claims them.
    claims: dict[str, TaskSet] = field(default_factory=dict)
    # The zone that claimed tasks bind the others to, for a job whose tasks share a zone.
    zone: str | None = None
    # Part of the stored form that nothing in this version sets; kept as it was read.
    attempt: int = 0
    # Adoptions stored up to this revision are in the claims.
    adoption_revision: int = 0

    def copy(self) -> Progress:
        """A copy that can be changed without changing this one."""
        return Progress(self.done, dict(self.claims), self.zone, self.attempt, self.adoption_revision)

    def adopt(self, incarnation_id: str, tasks: TaskSet) -> None:
        """The tasks were found on machines of this controller: they are its claims, whoever had them."""
        tasks &= ~self.done
        claims = {holder: claimed & ~tasks for holder, claimed in self.claims.items()}
        claims[incarnation_id] = claims.get(incarnation_id, 0) | tasks
        self.claims = {holder: claimed for holder, claimed in claims.items() if claimed}

    def claimed_tasks(self) -> TaskSet:
        """The tasks that any controller claims."""
        claimed = 0
        for tasks in self.claims.values():
            claimed |= tasks
        return claimed


class Adoption(NamedTuple):
    """Tasks of one job that a controller found on machines which it took over. Sorts by revision."""

    mod_revision: int
    incarnation_id: str
    tasks: TaskSet


class SpecChunks(NamedTuple):
    """Where the spec of a job is stored that is too large for one value."""

    # Names the try that stored the chunks; a try that failed may have left some under another name.
    attempt: str
    chunk_count: int


class DelegationOrigin(NamedTuple):
    """Which handoff of another cell a job came with."""

    origin: str
    number: int


class InheritedDeadlines(NamedTuple):
    """The times by which a job must be done for the first and for the last target of those that need it."""

    # Milliseconds since 1970.
    first_ms: float
    last_ms: float


class FinishedJob(NamedTuple):
    """A job that is over, kept for good."""

    status: JobState | str
    tasks: int
    # Milliseconds since 1970, by the clock of whoever stored it; 0 where an earlier layout stored no time.
    finished_ms: int = 0
    mod_revision: int = 0
    # Handoffs that are still to be stopped, and the handoff that it came with, until that is acknowledged.
    handoff: OriginRow | None = None
    delegated: DelegationOrigin | None = None

    @property
    def is_done(self) -> bool:
        """Whether all its tasks are done, as against cancelled."""
        return self.status == JobState.DONE

    @property
    def is_final(self) -> bool:
        """Whether its row changes no more."""
        return self.handoff is None and self.delegated is None


@dataclass
class Job:
    """A job that is not over, or is cancelled with tasks not yet accounted for.

    Times ending in `_ms` are milliseconds since 1970, by the clock of the controller that stored them.
    """

    # What its row says.
    spec: JobSpec
    status: JobState | str
    # The revision of the row as read last; writes are conditional on it.
    mod_revision: int
    # The revision from which its age in the queue counts: of its first row, or of the end of the last job that it
    # needs, whichever is later.
    ready_revision: int
    submitted_ms: int
    progress: Progress = field(default_factory=Progress)
    # The revision of its progress row; 0 while none is stored.
    progress_revision: int = 0
    # Where its spec is stored, when that is in chunks.
    spec_chunks: SpecChunks | None = None
    # When its user cancelled it; 0 when it is not cancelled, or an earlier version stored no time.
    cancelled_ms: int = 0

    # What it needs (kept by core.dependency_graph).
    # The join counter: how many of the jobs that it needs are not stored as done.
    unfinished_prerequisites: int = 0
    # Whether one that it needs, directly or through others, is cancelled.
    prerequisite_cancelled: bool = False
    # When the last that it needs was done; its submission when it needs none.
    ready_ms: int = 0

    # What follows from the jobs that need it, and what it aims at (kept by core.job_queue).
    # The highest priority among those that need it, as a rank; the smallest rank goes first.
    inherited_rank: int | None = None
    # When it must be done for their targets; None when they have none.
    inherited_ms: InheritedDeadlines | None = None
    # When it should be done, in seconds from submission, the earliest first; None until computed.
    targets: list[float] | None = None

    # Its relation to other cells (stored with its row).
    # Its handoffs to other cells, and when the last of them came back; 0 when none did.
    handoff: OriginRow | None = None
    returned_ms: int = 0
    # The handoff that it came with.
    delegated: DelegationOrigin | None = None

    # Its place in the queue (kept by core.job_queue and admission.gate).
    # Whether admission keeps it out of the queue for now.
    deferred: bool = False
    # Whether it goes first now since nothing of it has begun for long; only a part of it does.
    starved: bool = False
    # Whether it fitted its team's guarantee, with the team's earlier jobs, when it was first queued; None until then.
    guaranteed: bool | None = None
    # The sort key of its place in the queue, without its age.
    queue_rank: tuple[float, ...] = ()

    # The answer of has_unclaimed_tasks, and the progress that it was computed from.
    _unclaimed_checked_for: Progress | None = None
    _has_unclaimed_tasks: bool = True

    @cached_property
    def all_tasks(self) -> TaskSet:
        """The tasks of the job, in whatever state."""
        return taskset.full(self.spec.tasks)

    @property
    def is_cancelled(self) -> bool:
        """Whether its user cancelled it, or a job that it needs is cancelled."""
        return self.prerequisite_cancelled or self.status == _CANCELLED

    @property
    def is_runnable(self) -> bool:
        """Whether its tasks may start.

        A job that needs a cancelled one never is: its join counter does not reach zero.
        """
        return (
            self.status == _LIVE
            and not self.unfinished_prerequisites
            and (self.handoff is None or self.handoff.startable)
        )

    @property
    def has_unclaimed_tasks(self) -> bool:
        """Whether a task is neither done nor claimed; computed once for each progress that is stored."""
        if self._unclaimed_checked_for is not self.progress:
            self._unclaimed_checked_for = self.progress
            self._has_unclaimed_tasks = self.all_tasks != self.progress.done | self.progress.claimed_tasks()
        return self._has_unclaimed_tasks

    @property
    def remaining_tasks(self) -> int:
        """How many tasks are not done."""
        return self.spec.tasks - self.progress.done.bit_count()


@dataclass
class MachineRow:
    """A machine that may hold tasks."""

    # Host and port of its agent.
    address: str
    type: str
    zone: str
    spot: bool
    # The key of the row that holds it: its group's, or its own under layout 1.
    key: str


@dataclass
class MemberRow:
    """A live controller; the row is bound to its lease."""

    incarnation: int
    # The number of the latest view under which it has accounted for all its machines.
    recovered_view: int
    # The layout of stored rows that it reads and writes.
    layout: int


class FeatureStatus(NamedTuple):
    """Which controllers have run with a feature turned on, and whether all configured ones have."""

    seen: tuple[str, ...] = ()
    complete: bool = False
