"""The settings file that the platform hands to every controller: read, checked, and the ratios that follow from it.

The file's form is described in docs/DEPLOY; its fields keep their names there, and the tables below map them to the
fields of `Settings`. Unknown fields are ignored, since later versions of the platform may add some.
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

# Of the largest value that the state service takes, what is used; the rest is for what it may count besides the value.
STORED_VALUE_SHARE = 0.9
# A controller's lease is short beside the workers' leases, so that a crashed controller's machines are taken over
# while their tasks still live.
CONTROLLER_LEASE_SHARE = 0.3
MIN_CONTROLLER_LEASE_S = 0.1
# Report intervals after which a report was certainly missed: two, and the spread that the protocol allows them.
MISSED_REPORT_INTERVALS = 2.2
# Added to the end of a worker's lease before its tasks count as gone.
LEASE_END_MARGIN_S = 0.1


class SettingsError(Exception):
    """A file of settings or features is refused; `faults` has one line for each fault found in it."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True)
class Address:
    """Where a peer listens (IPv4)."""

    host: str
    port: int


@dataclass(frozen=True)
class Sibling:
    """Another controller of this cluster, and its mesh address."""

    member: str
    zone: str
    address: Address


@dataclass(frozen=True)
class Team:
    """A team's guarantees (`cpus`, `gpus`) and its limits (`cpus_max`, `gpus_max`), in cores and accelerators."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class Objective:
    """What is expected of one class of jobs.

    `kind` is `deadline` (done by the job's deadline, its time stretched by the factor `times`), `wait` (begun within
    `within_s` seconds) or `finished` (done within `within_s` seconds); `share` of the jobs, 0 to 1, must meet it.
    """

    kind: str
    job_class: str
    within_s: float | None
    share: float
    times: float


@dataclass(frozen=True)
class Settings:
    """One controller's settings. Durations are in seconds, rates in requests or changes a second."""

    # This controller: its name, its zone, and where users, workers and siblings reach it.
    member: str
    zone: str
    http_address: Address
    mesh_address: Address
    siblings: tuple[Sibling, ...]

    # The services outside the cluster.
    cloud_address: Address
    state_address: Address

    # The deployment: how many controllers it has, the machines' zones, the bound on the error of the time of day, the
    # teams by name, and what is expected of the classes of jobs.
    controller_count: int
    zones: tuple[str, ...]
    clock_error_s: float
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]

    # Workers: the interval of their reports, their lease, how long a gang's task waits for the others, after how long
    # it notices that one is gone, and by when a cancelled job's tasks must be gone.
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float

    # The state service's limits: requests and changes a second, the largest value in KiB, and changes a transaction.
    # Of the limits now and those announced (`state.next`) the lesser: they fall without notice, and what is stored
    # before must be writable after.
    state_rps: float
    state_write_rps: float
    value_kb: float
    txn_ops: int

    # The cloud: requests a second, and how long its list of machines lags behind.
    cloud_rps: float
    list_lag_s: float

    # The machine that this controller runs on: its share of a core, its memory in MB, and its sockets.
    controller_cores: float
    controller_memory_mb: float
    fd_limit: int

    # Steady clocks drift apart by at most 0.05% (protocol); twice that covers a pair of them.
    clock_drift: float = 0.001

    @property
    def members(self) -> tuple[str, ...]:
        """All configured controllers, this one first."""
        return (self.member, *(sibling.member for sibling in self.siblings))

    @property
    def value_bytes(self) -> int:
        """The largest value to be stored."""
        return int(self.value_kb * 1024 * STORED_VALUE_SHARE)

    @property
    def controller_lease_s(self) -> float:
        """Lease of a controller in the state service."""
        return max(MIN_CONTROLLER_LEASE_S, CONTROLLER_LEASE_SHARE * self.lease_s)

    @property
    def late_s(self) -> float:
        """After this long without a report, one of the machine's reports was missed."""
        return MISSED_REPORT_INTERVALS * self.report_s

    @property
    def worker_gone_s(self) -> float:
        """After this long without an answer a worker has certainly dropped its tasks."""
        return self.lease_s * (1 + 2 * self.clock_drift) + LEASE_END_MARGIN_S

    @property
    def takeover_gone_s(self) -> float:
        """The same for a worker whose former owner may have answered until its permission ended."""
        return self.controller_lease_s * (1 + 2 * self.clock_drift) + self.worker_gone_s


class TableReader:
    """Takes checked fields out of one TOML table and adds a line to `faults` for each that is wrong.

    A field that is wrong is replaced by a value of the right type, so that reading goes on and all faults of a file are
    named at once. The readers of a file's tables share one list of faults.
    """

    def __init__(self, values: Mapping[str, Any], faults: list[str], path: str = "") -> None:
        self.values = values
        self.faults = faults
        # What stands before a field's name in faults: empty, or the table's name with a dot.
        self.path = path

    def __contains__(self, key: str) -> bool:
        return key in self.values

    def add_fault(self, key: str, fault: str) -> None:
        """Says what is wrong with a field of this table."""
        self.faults.append(f"{self.path}{key}: {fault}")

    def refuse_unknown(self, known: set[str]) -> None:
        """Adds a fault for each field that is not known."""
        for key in self.values:
            if key not in known:
                self.add_fault(key, "unknown field")

    def text(self, key: str) -> str:
        """A text that is not empty."""
        value = self.values.get(key)
        if isinstance(value, str) and value:
            return value
        self.add_fault(key, f"must be a non-empty string, is {value!r}")
        return ""

    def number(self, key: str, least: float = 0.0) -> float:
        """A finite number of at least `least`."""
        value = self.values.get(key)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and least <= value < math.inf:
            return float(value)
        self.add_fault(key, f"must be a number of at least {least:g}, is {value!r}")
        return max(least, 1.0)

    def integer(self, key: str, least: int = 1) -> int:
        """A whole number of at least `least`."""
        value = self.values.get(key)
        if isinstance(value, int) and not isinstance(value, bool) and value >= least:
            return value
        self.add_fault(key, f"must be a whole number of at least {least}, is {value!r}")
        return least

    def switch(self, key: str) -> bool:
        """True or false; true if left out."""
        value = self.values.get(key, True)
        if not isinstance(value, bool):
            self.add_fault(key, f"must be true or false, is {value!r}")
        return value is True

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of texts; empty if left out."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.add_fault(key, "must be a list of strings")
        return ()

    def address(self, key: str) -> Address:
        """An address as HOST:PORT."""
        return self._address(key, self.values.get(key))

    def addresses(self, key: str) -> tuple[Address, ...]:
        """A list of addresses that is not empty."""
        value = self.values.get(key)
        if not isinstance(value, list) or not value:
            self.add_fault(key, "must be a list of HOST:PORT")
            return ()
        return tuple(self._address(key, item) for item in value)

    def _address(self, key: str, value: object) -> Address:
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            if colon and host and port.isdigit() and 0 < int(port) < 65536:
                return Address(host, int(port))
        self.add_fault(key, f"must be HOST:PORT, is {value!r}")
        return Address("", 0)

    def table(self, key: str) -> TableReader:
        """A table within this one. Within a table that is missing itself, it is not named as missing again."""
        value = self.values.get(key)
        path = f"{self.path}{key}."
        if isinstance(value, dict):
            return TableReader(value, self.faults, path)
        if self.values or not self.path:
            self.add_fault(key, "table is missing")
        return TableReader({}, self.faults, path)

    def optional_table(self, key: str) -> TableReader:
        """The same for a table that may be left out."""
        return self.table(key) if key in self.values else TableReader({}, self.faults, f"{self.path}{key}.")

    def tables(self, key: str) -> list[TableReader]:
        """A list of tables; empty if left out."""
        value = self.values.get(key, [])
        if isinstance(value, list) and all(isinstance(item, dict) for item in value):
            return [TableReader(item, self.faults, f"{self.path}{key}[{index}].") for index, item in enumerate(value)]
        self.add_fault(key, "must be a list of tables")
        return []


def read_toml(text: str) -> TableReader:
    """The top table of a TOML text; raises SettingsError if it is not TOML."""
    try:
        return TableReader(tomllib.loads(text), [])
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from None


def read_file(path: str) -> str:
    """The text of a file; raises SettingsError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read().decode()
    except OSError as error:
        raise SettingsError([f"cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise SettingsError(["not UTF-8 text"]) from None


class _Tables:
    """The tables of a settings file. Those that are missing are named in the order of this list."""

    def __init__(self, top: TableReader) -> None:
        self.top = top
        self.outside = top.table("outside")
        self.deployment = top.table("deployment")
        self.workers = self.deployment.table("workers")
        self.state = self.deployment.table("state")
        self.announced_state = self.state.optional_table("next")
        self.cloud = self.deployment.table("cloud")
        self.machine_limits = self.deployment.table("machine_limits")


def _siblings(top: TableReader) -> tuple[Sibling, ...]:
    return tuple(
        Sibling(table.text("member"), table.text("zone"), table.address("address")) for table in top.tables("siblings")
    )


def _teams(deployment: TableReader) -> dict[str, Team]:
    teams: dict[str, Team] = {}
    for table in deployment.tables("teams"):
        name = table.text("name")
        team = Team(
            name,
            cpus=table.number("cpus"),
            cpus_max=table.number("cpus_max"),
            gpus=table.number("gpus"),
            gpus_max=table.number("gpus_max"),
        )
        if name in teams:
            table.add_fault("name", f"{name!r} appears twice")
        teams[name] = team
    return teams


def _objectives(deployment: TableReader) -> tuple[Objective, ...]:
    return tuple(_objective(table) for table in deployment.tables("objectives"))


def _objective(table: TableReader) -> Objective:
    job_class = table.values.get("class")
    return Objective(
        table.text("kind"),
        job_class if isinstance(job_class, str) else "",
        within_s=table.number("within_s") if "within_s" in table else None,
        share=table.number("share") if "share" in table else 0.0,
        times=table.number("times") if "times" in table else 1.0,
    )


def _lesser_limit(tables: _Tables, key: str) -> float:
    """A limit of the state service: what holds now or what is announced, whichever is less."""
    limit = tables.state.number(key, 0.1)
    return min(limit, tables.announced_state.number(key, 0.1)) if key in tables.announced_state else limit


def _lesser_transaction_size(tables: _Tables) -> int:
    """The same for the number of changes in a transaction. Two is the least with which a job can be accepted."""
    changes = tables.state.integer("txn_ops", 2)
    return (
        min(changes, tables.announced_state.integer("txn_ops", 2)) if "txn_ops" in tables.announced_state else changes
    )


def parse(text: str) -> Settings:
    """Settings from TOML text; raises SettingsError naming every fault."""
    tables = _Tables(read_toml(text))
    top, deployment, workers = tables.top, tables.deployment, tables.workers
    # Read first, since faults are named in the order of reading.
    siblings, teams, objectives = _siblings(top), _teams(deployment), _objectives(deployment)
    zones = deployment.texts("zones")
    settings = Settings(
        member=top.text("member"),
        zone=top.text("zone"),
        http_address=top.address("bind"),
        mesh_address=top.address("mesh_addr"),
        siblings=siblings,
        cloud_address=tables.outside.address("cloud"),
        state_address=tables.outside.address("state"),
        controller_count=deployment.integer("count"),
        zones=zones,
        clock_error_s=deployment.number("clock_error_ms") / 1000,
        teams=teams,
        objectives=objectives,
        report_s=workers.number("report_s", 0.01),
        lease_s=workers.number("lease_s", 0.1),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        state_rps=_lesser_limit(tables, "rps"),
        state_write_rps=_lesser_limit(tables, "write_rps"),
        value_kb=_lesser_limit(tables, "value_kb"),
        txn_ops=_lesser_transaction_size(tables),
        cloud_rps=tables.cloud.number("rps", 0.01),
        list_lag_s=tables.cloud.number("list_lag_s"),
        controller_cores=tables.machine_limits.number("cores", 0.01),
        controller_memory_mb=tables.machine_limits.number("memory_mb", 1),
        fd_limit=tables.machine_limits.integer("fd_limit", 16),
    )
    if top.faults:
        raise SettingsError(top.faults)
    return settings


def load(path: str) -> Settings:
    """Settings from a file; raises SettingsError."""
    return parse(read_file(path))
