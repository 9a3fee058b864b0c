"""What the rows of the state service hold, as this controller works with it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import NamedTuple

from sloeswitch.cells.handoff import OriginRow
from sloeswitch.core import taskset
from sloeswitch.core.keys import incarnation_id_of
from sloeswitch.core.rendezvous import owner
from sloeswitch.wire import JobSpec


class JobState(StrEnum):
    """The state of a job in its row; the values are the stored words."""

    LIVE = "live"
    DONE = "done"
    CANCELLED = "withdrawn"


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


class DelegationOrigin(NamedTuple):
    """Which handoff of another cell a job came with."""

    origin: str
    number: int


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
        return self.status == JobState.DONE

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
        return self.prerequisite_cancelled or self.status == JobState.CANCELLED

    @property
    def is_runnable(self) -> bool:
        """Whether its tasks may start. One that is condemned waits for ever."""
        return (
            self.status == JobState.LIVE
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


@dataclass
class MemberRow:
    incarnation: int
    recovered_view: int
    layout: int


class FeatureStatus(NamedTuple):
    """Which controllers have run with a feature turned on, and whether all configured ones have."""

    seen: tuple[str, ...] = ()
    complete: bool = False
