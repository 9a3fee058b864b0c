"""The gate before the line: marks deferred jobs, and logs what this controller applies."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.admission.decision_log import DecisionLog
from sloeswitch.admission.decisions import Decision, Ground, decide
from sloeswitch.core.tables import Tables


class AdmissionGate:
    """Owns this controller's view of the decisions; `Job.deferred` follows from it.

    Decisions are taken anew when a row changes, but for what its own cut admits, and for jobs that are new. Nothing
    else can change them but a dependent that is cancelled, which counts with the next row.
    """

    def __init__(self, tables: Tables, log: DecisionLog, switched_on: Callable[[], bool]) -> None:
        self.tables = tables
        self.log = log
        self.switched_on = switched_on
        self._rows: Mapping[str, AdmissionRow] | None = None
        # By job, and the job's object: the tables make new ones when they are read afresh.
        self._decided: dict[str, tuple[int, Decision]] = {}

    def apply(self) -> None:
        """Brings the marks up to date."""
        if not self.switched_on():
            self._open()
            return
        rows = self.tables.admission
        changed = rows is not self._rows
        if changed:
            self.log.epochs(self._rows or {}, rows)
            self._rows = rows
        decided = self._decided
        names = {
            name for name, job in self.tables.jobs.items()
            if (known := decided.get(name)) is None or known[0] != id(job)
            or (changed and (_may_change(known[1]) or job.waits))
        }  # fmt: skip
        if names:
            self._decide(names | self._dependents(names))
        if len(decided) > 2 * len(self.tables.jobs) + 1:
            self._decided = {name: known for name, known in decided.items() if name in self.tables.jobs}

    def _dependents(self, names: set[str]) -> set[str]:
        """The jobs that need these, directly or through others: an admitted one admits what it needs."""
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
            if before is None or before[1].ground is not decision.ground:
                self.log.decision(name, decision)
            self._decided[name] = (id(job), decision)
            job.deferred = not decision.admitted

    def _open(self) -> None:
        """The feature is off: everything is admitted."""
        if self._rows is None and not self._decided:
            return
        for job in self.tables.jobs.values():
            job.deferred = False
        self._rows = None
        self._decided = {}


def _may_change(decision: Decision) -> bool:
    """Whether another row may change it: cuts only rise, so that what a cut admits stays admitted."""
    return decision.ground is not Ground.CUT
