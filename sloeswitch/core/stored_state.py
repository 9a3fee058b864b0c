"""What the state service holds, as this controller last saw it: the decoded rows, without the rules that apply them.

`core.row_application` writes these fields, `core.tables.Tables` adds the changes' entry point and the queries, and it
is `Tables` that the rest of the process uses.
"""

from __future__ import annotations

from typing import NamedTuple

from sloeswitch.admission.cuts import AdmissionRow
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.dependency_graph import DependencyGraph
from sloeswitch.core.incarnation import Incarnation
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import (
    NO_VIEW,
    Adoption,
    FeatureStatus,
    FinishedJob,
    Job,
    MachineRow,
    MemberRow,
    Progress,
    View,
)
from sloeswitch.core.row_codec import JobRow
from sloeswitch.wire import MachineType


class UnmatchedProgress(NamedTuple):
    """Progress that was read before its job's row."""

    progress: Progress
    mod_revision: int


class StoredState:
    """The decoded rows of the state service."""

    def __init__(self, cancellations: CancellationLog | None = None) -> None:
        # The stored cancellations as they are sent to siblings, and those that came from siblings and whose rows are
        # not read yet, with their revisions. Both outlast a reading of everything.
        self.cancellations = cancellations or CancellationLog(1, 0)
        self.peer_cancellations: dict[str, int] = {}
        self.clear()

    def clear(self) -> None:
        """Forgets all rows, before everything is read again."""
        # The revision of each key's row as read last.
        self.mod_revisions: dict[str, int] = {}
        self._clear_controllers()
        self._clear_jobs()
        self._clear_machines()

    def _clear_controllers(self) -> None:
        """Controllers, what they agree on, and how they share quotas."""
        self.members: dict[str, MemberRow] = {}
        self.coordinator: Incarnation | None = None
        self.view: View = NO_VIEW
        # The members that have run with the present layout, and whether all configured ones have.
        self.layout_members: tuple[str, ...] = ()
        self.layout_complete = False
        self.features: dict[str, FeatureStatus] = {}
        # Cuts of admission by the path of their row; replaced as a whole, so that a reader can tell a change.
        self.admission_rows: dict[str, AdmissionRow] = {}
        # For each other cell: its handoffs up to this number that are not on record are refused for ever.
        self.handoff_floors: dict[str, int] = {}
        # Each team's quota as allocations by incarnation id.
        self.quota_allocations: dict[str, dict[str, ResourceAmount]] = {}

    def _clear_jobs(self) -> None:
        """Jobs, their progress, and the rows that belong to them."""
        # Jobs that are not over, and those that are.
        self.jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, FinishedJob] = {}
        # Finished jobs whose row may still change.
        self.unsettled_jobs: set[str] = set()
        self.graph = DependencyGraph(self.jobs, self.finished_jobs)
        # Jobs that are over and whose progress is still stored.
        self.leftover_progress: set[str] = set()
        # Stored chunks of specs: job -> attempt to store them -> number -> text.
        self.spec_chunks: dict[str, dict[str, dict[int, str]]] = {}
        # Stored adoptions by job, the earliest first; and the incarnation id of each adoption's key.
        self.adoptions: dict[str, list[Adoption]] = {}
        self.adoption_keys: dict[str, str] = {}
        # Progress read before its job's row, and rows of jobs read before the last chunk of their spec: a first
        # reading goes by key, not by age.
        self.unmatched_progress: dict[str, UnmatchedProgress] = {}
        self.unmatched_job_rows: dict[str, JobRow] = {}

    def _clear_machines(self) -> None:
        """Machines and machine types."""
        self.machines: dict[str, MachineRow] = {}
        # The machines of each group's row.
        self.machine_groups: dict[str, set[str]] = {}
        # Machines that were stored and are no more.
        self.deleted_machines: set[str] = set()
        # All machine types; and apart those of the catalog's row and those that have a row of their own.
        self.machine_types: dict[str, MachineType] = {}
        self.catalog_types: dict[str, MachineType] = {}
        self.single_types: dict[str, MachineType] = {}

    def mod_revision(self, key: str) -> int:
        """The revision of a key's row, on which a write can be conditional; 0 when there is none."""
        return self.mod_revisions.get(key, 0)
