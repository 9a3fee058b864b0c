"""Priorities of jobs, and the propagation of priorities and deadlines upstream in a pipeline.

A job inherits the highest priority and the earliest deadlines of the jobs that depend on it, directly or indirectly.
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


# The default priority. Jobs of a lower rank are called urgent; the queue treats them differently in several places.
STANDARD = PriorityRank.STANDARD
# By the name of the priority in the protocol.
PRIORITY_RANKS: dict[str, PriorityRank] = {name: PriorityRank[name.upper()] for name in Priority}


def effective_priority(job: Job) -> int:
    """The rank of a job's own priority, or of the priority that it inherits if that is higher."""
    own = PRIORITY_RANKS[job.spec.priority]
    return own if job.inherited_rank is None else min(own, job.inherited_rank)


class InheritedValues(NamedTuple):
    """The priority and the deadlines that a job inherits from the jobs that depend on it."""

    rank: int | None
    # When the job must be done for the first and for the last of their deadlines, in milliseconds since the Unix epoch.
    deadlines_ms: tuple[float, float] | None


def propagate_priorities(tables: Tables, settings: Settings) -> None:
    """Propagates priorities and deadlines from each job to all its prerequisites.

    This is the backward pass of the critical path method: a job inherits the highest priority of all jobs that depend
    on it, and their deadlines less the duration of the path to them. It runs when the graph has changed. It does not
    recurse, since chains of jobs may be long.
    """
    tables.graph.priorities_stale = False
    _CriticalPathPass(tables, settings).run()


class _CriticalPathPass:
    """One backward pass over the graph: visits every job once, after all jobs that depend on it."""

    def __init__(self, tables: Tables, settings: Settings) -> None:
        self.jobs = tables.jobs
        self.settings = settings
        # The image fetch rate of the slowest machine type, in GB/s; 0 if not known.
        self.fetch_gb_s = min(
            (each.fetch_gb_s for each in tables.machine_types.values() if each.fetch_gb_s > 0), default=0.0
        )
        # By job: its successors that are neither cancelled nor visited yet.
        self.unvisited_successors = {
            name: {each for each in successors if each in self.jobs and not self.jobs[each].is_cancelled}
            for name, successors in tables.graph.successors.items()
            if name in self.jobs
        }

    def run(self) -> None:
        """Recomputes what jobs inherit; resets the targets and the guarantee of each job for which that changed."""
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

    def _clear_inherited(self) -> dict[str, InheritedValues]:
        """Clears the inherited values of all jobs.

        Returns:
            The values that the jobs had, by job: all jobs that had any, and all that have successors.
        """
        before: dict[str, InheritedValues] = {}
        for name, job in self.jobs.items():
            if (
                job.inherited_rank is not None
                or job.inherited_deadlines is not None
                or name in self.unvisited_successors
            ):
                before[name] = InheritedValues(job.inherited_rank, job.inherited_deadlines)
                job.inherited_rank = job.inherited_deadlines = None
        return before

    def _visit(self, job: Job) -> list[str]:
        """Propagates a job's priority and deadlines to its prerequisites; returns those that can be visited next."""
        inherited = InheritedValues(effective_priority(job), self._start_by_ms(job))
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
        """When a job's prerequisites must be done for its first and its last deadline; None if it has none.

        One step of the path takes the job's estimate, the time to fetch its image and one report interval.
        """
        spec = job.spec
        deadlines_s = deadlines(spec, self.settings.objectives)
        if spec.deadline_s is not None and not deadlines_s:
            deadlines_s.add(spec.deadline_s)
        deadlines_ms = [job.submitted_ms + 1000 * each_s for each_s in deadlines_s]
        if job.inherited_deadlines is not None:
            deadlines_ms += job.inherited_deadlines
        if not deadlines_ms:
            return None
        fetch_s = spec.image_gb / self.fetch_gb_s if self.fetch_gb_s else 0.0
        step_ms = 1000 * (spec.estimate_s + self.settings.report_s + fetch_s)
        return min(deadlines_ms) - step_ms, max(deadlines_ms) - step_ms


def _inherit(job: Job, inherited: InheritedValues) -> None:
    """Merges into a job what it inherits from one successor.

    Keeps the highest priority, the earliest of the first deadlines and the earliest of the last deadlines.
    """
    if inherited.rank is not None:
        job.inherited_rank = inherited.rank if job.inherited_rank is None else min(inherited.rank, job.inherited_rank)
    if inherited.deadlines_ms is not None:
        first, last = inherited.deadlines_ms
        known = job.inherited_deadlines or (first, last)
        job.inherited_deadlines = InheritedDeadlines(min(first, known[0]), min(last, known[1]))
