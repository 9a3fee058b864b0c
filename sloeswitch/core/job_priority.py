"""Priorities of jobs, and how they and deadlines pass upstream in a pipeline.

A job has the priority of any job that needs it, if that is higher, and is to be done early enough for all of them.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import NamedTuple

from sloeswitch.core.records import InheritedDeadlines, Job
from sloeswitch.core.slo_targets import deadlines
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings
from sloeswitch.wire import Priority


class PriorityRank(IntEnum):
    """The priorities of the protocol; the lowest rank goes first."""

    CRITICAL = 0
    URGENT = 1
    STANDARD = 2
    BEST_EFFORT = 3


# What jobs usually have; more urgent work is treated apart in several places.
STANDARD = PriorityRank.STANDARD
# By the words of the protocol.
PRIORITY_RANKS: dict[str, PriorityRank] = {name: PriorityRank[name.upper()] for name in Priority}


def effective_priority(job: Job) -> int:
    """The rank of a job: its own, or that of any job that needs it if that is higher."""
    own = PRIORITY_RANKS[job.spec.priority]
    return own if job.inherited_rank is None else min(own, job.inherited_rank)


class InheritedTarget(NamedTuple):
    """What a job has from those that need it."""

    rank: int | None
    # When it must be done for the first and for the last of their deadlines, in milliseconds since the Unix epoch.
    due_ms: tuple[float, float] | None


def propagate_priorities(tables: Tables, settings: Settings) -> None:
    """Passes priorities and deadlines upstream, from each job to all that it needs.

    The backward pass over a critical path: a job gets the highest priority of all that need it, and must be done by
    their deadlines less the path between. Done when the graph has changed. No recursion: chains may be long.
    """
    tables.graph.priorities_stale = False
    _CriticalPathPass(tables, settings).run()


class _CriticalPathPass:
    """One backward pass: every job is visited once, after all that need it."""

    def __init__(self, tables: Tables, settings: Settings) -> None:
        self.jobs = tables.jobs
        self.settings = settings
        # The slowest fetch of an image to a machine of any type, in GB/s; 0: not known.
        self.fetch_gb_s = min(
            (kind.fetch_gb_s for kind in tables.machine_types.values() if kind.fetch_gb_s > 0), default=0.0
        )
        # By job: those that need it, are not cancelled and were not visited yet.
        self.unvisited_successors = {
            name: {each for each in successors if each in self.jobs and not self.jobs[each].is_cancelled}
            for name, successors in tables.graph.successors.items()
            if name in self.jobs
        }

    def run(self) -> None:
        """Renews what jobs inherit; those that inherit something else than before are ordered anew."""
        before = self._clear_inherited()
        ready = deque(
            name
            for name, job in self.jobs.items()
            if job.unfinished_prerequisites and not job.is_cancelled and not self.unvisited_successors.get(name)
        )
        while ready:
            ready.extend(self._visit(self.jobs[ready.popleft()]))
        for name, inherited in before.items():
            job = self.jobs[name]
            if inherited != (job.inherited_rank, job.inherited_deadlines):
                job.slo_targets_s = None
                job.guaranteed = None

    def _clear_inherited(self) -> dict[str, InheritedTarget]:
        """What jobs inherited so far, of those that did or may."""
        before: dict[str, InheritedTarget] = {}
        for name, job in self.jobs.items():
            if (
                job.inherited_rank is not None
                or job.inherited_deadlines is not None
                or name in self.unvisited_successors
            ):
                before[name] = InheritedTarget(job.inherited_rank, job.inherited_deadlines)
                job.inherited_rank = job.inherited_deadlines = None
        return before

    def _visit(self, job: Job) -> list[str]:
        """Passes a job's priority and deadlines on to what it needs; which of these are ready to be visited."""
        inherited = InheritedTarget(effective_priority(job), self._start_by_ms(job))
        ready: list[str] = []
        for name in job.spec.prerequisites:
            successors = self.unvisited_successors.get(name)
            if successors is None or job.spec.id not in successors:
                continue
            prerequisite = self.jobs[name]
            _inherit(prerequisite, inherited)
            successors.discard(job.spec.id)
            if not successors and prerequisite.unfinished_prerequisites:
                ready.append(name)
        return ready

    def _start_by_ms(self, job: Job) -> tuple[float, float] | None:
        """When what the job needs must be done for its first and last deadline; None if it has none.

        A step of the path takes the job's estimate, the image's way to a machine and a report.
        """
        spec = job.spec
        due_s = deadlines(spec, self.settings.objectives)
        if spec.deadline_s is not None and not due_s:
            due_s.add(spec.deadline_s)
        due_ms = [job.submitted_ms + 1000 * each_s for each_s in due_s]
        if job.inherited_deadlines is not None:
            due_ms += job.inherited_deadlines
        if not due_ms:
            return None
        fetch_s = spec.image_gb / self.fetch_gb_s if self.fetch_gb_s else 0.0
        step_ms = 1000 * (spec.estimate_s + self.settings.report_s + fetch_s)
        return min(due_ms) - step_ms, max(due_ms) - step_ms


def _inherit(job: Job, inherited: InheritedTarget) -> None:
    """Keeps the highest priority of all that need the job, and the earliest of their first and of their last times."""
    if inherited.rank is not None:
        job.inherited_rank = inherited.rank if job.inherited_rank is None else min(inherited.rank, job.inherited_rank)
    if inherited.due_ms is not None:
        first, last = inherited.due_ms
        known = job.inherited_deadlines or (first, last)
        job.inherited_deadlines = InheritedDeadlines(min(first, known[0]), min(last, known[1]))
