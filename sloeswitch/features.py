"""The features file: what is turned on beside the settings that the platform hands over.

Every controller of a cell gets the same file (`--features`). Unlike the settings it is written by operators, so that an
unknown field is a fault and not a field of a later version.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from sloeswitch.cells.policy import MovePolicy
from sloeswitch.settings import Address, Reader, Settings, SettingsError

CELL_FIELDS = {"name", "incarnation", "moving", "most_under_way", "classes", "peers"}
ADMISSION_FIELDS = {"deferring"}
PEER_FIELDS = {"name", "addresses"}


@dataclass(frozen=True)
class PeerCell:
    """Another cell, and the mesh addresses of its controllers."""

    name: str
    addresses: tuple[Address, ...]


@dataclass(frozen=True)
class CellFeatures:
    """This cell, its peers, and which classes of jobs may move."""

    name: str
    # Raised by operators when the cell's state was restored from a copy.
    incarnation: int
    # Whether jobs are offered and accepted; what is under way is settled in any case.
    moving: bool
    # How many jobs may be under way to one peer.
    most_under_way: int
    peers: tuple[PeerCell, ...]
    policies: dict[str, MovePolicy] = field(default_factory=dict)

    def policy(self, klass: str) -> MovePolicy:
        """How far jobs of a class may move."""
        return self.policies.get(klass, MovePolicy.NEVER)


@dataclass(frozen=True)
class AdmissionFeatures:
    """Agreed admission under overload (docs/admission.md)."""

    # Whether jobs are deferred; if not, everything is admitted, and the stored cuts stay as they are.
    deferring: bool


@dataclass(frozen=True)
class Features:
    """Everything that the file turns on; None: off."""

    cells: CellFeatures | None = None
    admission: AdmissionFeatures | None = None


def parse(text: str, settings: Settings) -> Features:
    """Features from TOML text; raises SettingsError naming every fault."""
    try:
        top = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from None
    read = Reader()
    _only(read, top, {"cells", "admission"}, "")
    cells = _cells(read, read.table(top, "cells", ""), settings) if "cells" in top else None
    admission = _admission(read, read.table(top, "admission", "")) if "admission" in top else None
    if read.faults:
        raise SettingsError(read.faults)
    return Features(cells, admission)


def load(path: str, settings: Settings) -> Features:
    """Features from a file; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            return parse(file.read().decode(), settings)
    except OSError as error:
        raise SettingsError([f"cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise SettingsError(["not UTF-8 text"]) from None


def _only(read: Reader, table: dict[str, Any], known: set[str], where: str) -> None:
    read.faults += [f"{where}{key}: unknown field" for key in table if key not in known]


def _switch(read: Reader, table: dict[str, Any], key: str, where: str) -> bool:
    """A field that is true if left out."""
    value = table.get(key, True)
    if not isinstance(value, bool):
        read.faults.append(f"{where}{key}: must be true or false, is {value!r}")
    return value is True


def _admission(read: Reader, table: dict[str, Any]) -> AdmissionFeatures:
    where = "admission."
    _only(read, table, ADMISSION_FIELDS, where)
    return AdmissionFeatures(deferring=_switch(read, table, "deferring", where))


def _cells(read: Reader, table: dict[str, Any], settings: Settings) -> CellFeatures:
    where = "cells."
    _only(read, table, CELL_FIELDS, where)
    name = read.text(table, "name", where)
    peers = tuple(_peers(read, table, name))
    return CellFeatures(
        name=name,
        incarnation=read.whole(table, "incarnation", where),
        moving=_switch(read, table, "moving", where),
        most_under_way=read.whole(table, "most_under_way", where),
        peers=peers,
        policies=_policies(read, table, {objective.job_class for objective in settings.objectives}),
    )


def _peers(read: Reader, table: dict[str, Any], own_name: str) -> Iterable[PeerCell]:
    seen: set[str] = set()
    for number, item in enumerate(read.tables(table, "peers", "cells.")):
        where = f"cells.peers[{number}]."
        _only(read, item, PEER_FIELDS, where)
        name = read.text(item, "name", where)
        if name == own_name and name:
            read.faults.append(f"{where}name: {name!r} is this cell itself")
        if name in seen:
            read.faults.append(f"{where}name: {name!r} appears twice")
        seen.add(name)
        addresses = item.get("addresses")
        if not isinstance(addresses, list) or not addresses:
            read.faults.append(f"{where}addresses: must be a list of HOST:PORT")
            addresses = []
        yield PeerCell(name, tuple(read.address({"addresses": each}, "addresses", where) for each in addresses))


def _policies(read: Reader, table: dict[str, Any], known: set[str]) -> dict[str, MovePolicy]:
    policies: dict[str, MovePolicy] = {}
    classes = read.table(table, "classes", "cells.") if "classes" in table else {}
    words = ", ".join(policy.value for policy in MovePolicy)
    for klass, word in classes.items():
        where = f"cells.classes.{klass}"
        if klass not in known:
            read.faults.append(f"{where}: no such class in the settings' objectives")
        try:
            policies[klass] = MovePolicy(word)
        except ValueError:
            read.faults.append(f"{where}: must be one of {words}, is {word!r}")
    return policies
