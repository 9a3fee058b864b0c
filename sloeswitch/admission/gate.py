"""The admission gate in front of the queue: marks deferred jobs and logs this controller's decisions.

A lane holds the jobs of one team, class and priority. Its cut, stored in one of the rows, is the highest admitted
ticket (place in the order of submission).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from sloeswitch.admission.cuts import AdmissionRow, Lane
from sloeswitch.admission.decision_log import DecisionLog
from sloeswitch.admission.decisions import CutReader, Decision, DecisionReason, decide, lane_of
from sloeswitch.core.records import Job
from sloeswitch.core.tables import Tables


class AdmissionGate:
    """Caches this controller's decisions and sets `Job.deferred` by them.

    A new job is decided on with its dependents. When a row changes, jobs are decided on again if their lane's cut
    changed, or if their decision depends on another job or on begun work. The only other change that matters, the
    cancellation of a dependent, takes effect with the next change of a row.
    """

    def __init__(self, tables: Tables, log: DecisionLog, switched_on: Callable[[], bool]) -> None:
        self.tables = tables
        self.log = log
        self.switched_on = switched_on
        self._rows: Mapping[str, AdmissionRow] | None = None
        # Decisions by job id, with the job object they were made for. When the tables are read again from the start,
        # they hold new objects under the same ids, whose marks have to be set again.
        self._decided: dict[str, tuple[Job, Decision]] = {}
        # The ids of deferred jobs by lane, and the row's path and cut that each lane had at the last change of a row.
        self._deferred: dict[Lane, set[str]] = {}
        self._cuts: dict[Lane, tuple[str | None, tuple[int, str]]] = {}

    def apply(self) -> None:
        """Updates the marks of all jobs."""
        if not self.switched_on():
            self._clear()
            return
        rows = self.tables.admission_rows
        names: set[str] = set()
        if rows is not self._rows:
            self.log.log_changed_rows(self._rows or {}, rows)
            self._rows = rows
            names = self._jobs_of_changed_lanes() | self._jobs_to_recheck()
        decided = self._decided
        names |= {
            name
            for name, job in self.tables.jobs.items()
            if (known := decided.get(name)) is None or known[0] is not job
        }
        if names:
            self._decide(names | self._dependents(names))
        if len(decided) > 2 * len(self.tables.jobs) + 1:
            self._drop_finished()

    def _drop_finished(self) -> None:
        """Drops what is cached for finished jobs."""
        jobs = self.tables.jobs
        self._decided = {name: known for name, known in self._decided.items() if name in jobs}
        self._deferred = {lane: names & jobs.keys() for lane, names in self._deferred.items()}
        self._deferred = {lane: names for lane, names in self._deferred.items() if names}
        self._cuts = {lane: cut for lane, cut in self._cuts.items() if lane in self._deferred}

    def _jobs_of_changed_lanes(self) -> set[str]:
        """Returns the deferred jobs of lanes whose cut changed; in most epochs a small part of the deferred jobs."""
        reader = CutReader(self.tables.admission_rows)
        found: set[str] = set()
        for lane, names in self._deferred.items():
            path, _, cut = reader.lookup_lane(lane)
            if self._cuts.get(lane) != (path, cut):
                self._cuts[lane] = (path, cut)
                found |= names
        return found

    def _jobs_to_recheck(self) -> set[str]:
        """Returns jobs that were admitted for a dependent or for begun work, or that wait for prerequisites."""
        return {
            name
            for name, (_, decision) in self._decided.items()
            if decision.reason in (DecisionReason.NEEDED, DecisionReason.BEGUN)
            or ((job := self.tables.jobs.get(name)) is not None and job.unfinished_prerequisites)
        }

    def _dependents(self, names: set[str]) -> set[str]:
        """Returns the direct and indirect dependents of these jobs: an admitted job admits its prerequisites."""
        successors = self.tables.graph.successors
        found: set[str] = set()
        stack = [name for name in names if name in successors]
        while stack:
            for name in successors.get(stack.pop(), ()):
                if name not in found and name in self.tables.jobs:
                    found.add(name)
                    stack.append(name)
        return found

    def _decide(self, names: Iterable[str]) -> None:
        for name, decision in decide(self.tables, sorted(names)).items():
            job = self.tables.jobs[name]
            before = self._decided.get(name)
            if before is None or before[1].reason is not decision.reason:
                self.log.log_decision(name, decision)
            self._decided[name] = (job, decision)
            job.deferred = not decision.admitted
            deferred = self._deferred.setdefault(lane_of(job.spec), set())
            (deferred.add if job.deferred else deferred.discard)(name)

    def _clear(self) -> None:
        """Clears all marks while the feature is off."""
        if self._rows is None and not self._decided:
            return
        for job in self.tables.jobs.values():
            job.deferred = False
        self._rows = None
        self._decided, self._deferred, self._cuts = {}, {}, {}
