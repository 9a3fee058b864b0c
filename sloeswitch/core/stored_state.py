"""The fields of the replicated tables: this controller's decoded copy of the rows in the state service.

`core.row_application` updates these fields. `core.tables.Tables` adds the entry point for changes and the queries; the
rest of the process uses `Tables`.
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
    """Progress that was read before the row of its job."""

    progress: Progress
    mod_revision: int


class StoredState:
    """The decoded rows of the state service."""

    def __init__(self, cancellations: CancellationLog | None = None) -> None:
        # `clear` and `replace_rows` keep both of these fields.
        # The stored cancellations, for sending to siblings.
        self.cancellations = cancellations or CancellationLog(1, 0)
        # Cancellations received from siblings whose rows are not read yet: job -> revision.
        self.peer_cancellations: dict[str, int] = {}
        self.clear()

    def clear(self) -> None:
        """Drops all rows; keeps both cancellation fields."""
        # The latest revision read of each row, by key; rows of jobs that are final are left out.
        self.mod_revisions: dict[str, int] = {}
        self._clear_controllers()
        self._clear_jobs()
        self._clear_machines()

    def replace_rows(self, other: StoredState) -> None:
        """Takes over all rows of another state, which must not be used afterwards; keeps both cancellation fields."""
        cancellations, peer_cancellations = self.cancellations, self.peer_cancellations
        vars(self).update(vars(other))
        self.cancellations, self.peer_cancellations = cancellations, peer_cancellations

    def _clear_controllers(self) -> None:
        """Clears the rows of controllers, features, admission, handoff floors and quotas."""
        self.members: dict[str, MemberRow] = {}
        self.coordinator: Incarnation | None = None
        self.view: View = NO_VIEW
        # The members that have run with the present layout, and whether this includes all configured ones.
        self.layout_members: tuple[str, ...] = ()
        self.layout_complete = False
        self.features: dict[str, FeatureStatus] = {}
        # Admission cuts by the path of their row. Each change replaces the dict, so that a reader can detect it.
        self.admission_rows: dict[str, AdmissionRow] = {}
        # By origin cell: handoffs with a number up to this one that are not on record are refused permanently.
        self.handoff_floors: dict[str, int] = {}
        # The allocations of each team's quota: team -> incarnation id -> amount.
        self.quota_allocations: dict[str, dict[str, ResourceAmount]] = {}

    def _clear_jobs(self) -> None:
        """Clears jobs, their progress, and the rows that belong to them."""
        self.jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, FinishedJob] = {}
        # Finished jobs with handoffs between cells that are not closed yet; their rows may still change.
        self.finished_jobs_with_handoffs: set[str] = set()
        self.graph = DependencyGraph(self.jobs, self.finished_jobs)
        # Finished jobs whose progress row is not deleted yet.
        self.leftover_progress: set[str] = set()
        # Stored chunks of specs: job -> attempt that stored them -> chunk number -> text.
        self.spec_chunks: dict[str, dict[str, dict[int, str]]] = {}
        # Stored adoptions by job, the earliest first.
        self.adoptions: dict[str, list[Adoption]] = {}
        # The incarnation id of each stored adoption row, by key.
        self.adoption_keys: dict[str, str] = {}
        # A full read returns rows in the order of their keys, so that a row may be read before one that it depends on:
        # progress before the job's row, and a job's row before the last chunk of its spec.
        self.unmatched_progress: dict[str, UnmatchedProgress] = {}
        self.unmatched_job_rows: dict[str, JobRow] = {}

    def _clear_machines(self) -> None:
        """Clears machines and machine types."""
        self.machines: dict[str, MachineRow] = {}
        # The names of the machines in each group's row, by group.
        self.machine_groups: dict[str, set[str]] = {}
        # Machines whose row was deleted, or whose deletion the cloud confirmed.
        self.deleted_machines: set[str] = set()
        # All machine types by name: the union of the next two.
        self.machine_types: dict[str, MachineType] = {}
        # The types in the catalog row.
        self.catalog_types: dict[str, MachineType] = {}
        # The types that have a row of their own.
        self.single_types: dict[str, MachineType] = {}

    def mod_revision(self, key: str) -> int:
        """Returns the revision of a key's row, for conditional writes; 0 if there is no such row."""
        return self.mod_revisions.get(key, 0)
