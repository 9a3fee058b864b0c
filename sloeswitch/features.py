"""The features file: optional features that operators turn on.

Every controller of a cell gets the same file (`--features`). Operators write it, so an unknown field in it is reported
as a fault. In the settings unknown fields are allowed: the platform writes them, and a later version may add fields.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from sloeswitch.cells.policy import MovePolicy
from sloeswitch.settings import Address, Settings, SettingsError
from sloeswitch.toml_reader import TableReader, read_file, read_toml

FILE_TABLES = {"cells", "admission"}
CELL_FIELDS = {"name", "incarnation", "moving", "most_under_way", "classes", "peers"}
ADMISSION_FIELDS = {"deferring"}
PEER_FIELDS = {"name", "addresses"}


@dataclass(frozen=True)
class PeerCell:
    """Another cell and the mesh addresses of its controllers."""

    name: str
    addresses: tuple[Address, ...]


@dataclass(frozen=True)
class CellFeatures:
    """Settings for moving jobs between cells: this cell, its peers, and the job classes that may move."""

    name: str
    # Operators increase it when the cell's state was restored from a copy.
    incarnation: int
    # Whether jobs are offered and accepted. Handoffs in flight are completed even if this is off.
    moving: bool
    # The number of jobs that may be moved to one peer at a time: offered there and not yet ended.
    max_in_flight: int
    peers: tuple[PeerCell, ...]
    # By job class. Jobs of other classes stay in the cell where they were submitted.
    policies: dict[str, MovePolicy] = field(default_factory=dict)

    def policy(self, job_class: str) -> MovePolicy:
        """Whether and how jobs of a class may move."""
        return self.policies.get(job_class, MovePolicy.NEVER)


@dataclass(frozen=True)
class AdmissionFeatures:
    """Settings for coordinated admission control under overload (docs/admission.md)."""

    # Whether jobs are deferred. If not, all jobs are admitted and the stored cuts stay unchanged.
    deferring: bool


@dataclass(frozen=True)
class Features:
    """The features that the file turns on; None for a feature that is off."""

    cells: CellFeatures | None = None
    admission: AdmissionFeatures | None = None


def parse(text: str, settings: Settings) -> Features:
    """Parses TOML text; raises SettingsError with every fault."""
    top = read_toml(text)
    top.report_unknown(FILE_TABLES)
    cells = _cells(top.table("cells"), settings) if "cells" in top else None
    admission = _admission(top.table("admission")) if "admission" in top else None
    if top.faults:
        raise SettingsError(top.faults)
    return Features(cells, admission)


def load(path: str, settings: Settings) -> Features:
    """Reads and parses a file; raises SettingsError."""
    return parse(read_file(path), settings)


def _admission(table: TableReader) -> AdmissionFeatures:
    table.report_unknown(ADMISSION_FIELDS)
    return AdmissionFeatures(deferring=table.boolean("deferring"))


def _cells(table: TableReader, settings: Settings) -> CellFeatures:
    table.report_unknown(CELL_FIELDS)
    name = table.text("name")
    peers = tuple(_peers(table.tables("peers"), name))
    return CellFeatures(
        name=name,
        incarnation=table.integer("incarnation"),
        moving=table.boolean("moving"),
        max_in_flight=table.integer("most_under_way"),
        peers=peers,
        policies=_policies(table.optional_table("classes"), {objective.job_class for objective in settings.objectives}),
    )


def _peers(tables: list[TableReader], own_name: str) -> Iterable[PeerCell]:
    names: set[str] = set()
    for table in tables:
        table.report_unknown(PEER_FIELDS)
        name = table.text("name")
        if name == own_name and name:
            table.add_fault("name", f"{name!r} is this cell itself")
        if name in names:
            table.add_fault("name", f"{name!r} appears twice")
        names.add(name)
        yield PeerCell(name, table.addresses("addresses"))


def _policies(table: TableReader, known_classes: set[str]) -> dict[str, MovePolicy]:
    policies: dict[str, MovePolicy] = {}
    allowed = ", ".join(policy.value for policy in MovePolicy)
    for job_class, value in table.values.items():
        if job_class not in known_classes:
            table.add_fault(job_class, "no such class in the settings' objectives")
        try:
            policies[job_class] = MovePolicy(value)
        except ValueError:
            table.add_fault(job_class, f"must be one of {allowed}, is {value!r}")
    return policies
