"""The settings file of a controller: read, checked, and the ratios that follow from it."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from typing import Any


class SettingsError(Exception):
    """Carries one line for each fault found in a settings file."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True)
class Address:
    host: str
    port: int


@dataclass(frozen=True)
class Sibling:
    member: str
    zone: str
    address: Address


@dataclass(frozen=True)
class Team:
    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True)
class Objective:
    kind: str
    job_class: str
    within_s: float | None
    share: float
    times: float


@dataclass(frozen=True)
class Settings:
    member: str
    zone: str
    bind: Address
    mesh: Address
    siblings: tuple[Sibling, ...]
    cloud: Address
    state: Address
    count: int
    zones: tuple[str, ...]
    clock_error_s: float
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float
    # Of the state service's limits now and those announced (`state.next`) the lesser: they fall without notice,
    # and what is stored before must be writable after.
    state_rps: float
    state_write_rps: float
    value_kb: float
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    cores: float
    memory_mb: float
    fd_limit: int

    # Steady clocks drift apart by at most 0.05% (protocol); twice that covers a pair of them.
    clock_drift: float = 0.001

    @property
    def members(self) -> tuple[str, ...]:
        """All configured controllers, this one first."""
        return (self.member, *(sibling.member for sibling in self.siblings))

    @property
    def value_bytes(self) -> int:
        """The largest value to be stored; a tenth is left for what the state service may count besides."""
        return int(self.value_kb * 1024 * 0.9)

    @property
    def controller_lease_s(self) -> float:
        """Lease of a controller in the state service; short beside the workers' own leases, so
        that a crashed controller's machines are taken over while their tasks still live."""
        return max(0.1, 0.3 * self.lease_s)

    @property
    def late_s(self) -> float:
        """A machine that was not heard for so long has missed a report, the spread of their interval allowed for."""
        return 2.2 * self.report_s

    @property
    def worker_gone_s(self) -> float:
        """After this long without an answer a worker has certainly dropped its tasks."""
        return self.lease_s * (1 + 2 * self.clock_drift) + 0.1

    @property
    def takeover_gone_s(self) -> float:
        """The same for a worker whose former owner may have answered until its permission ended."""
        return self.controller_lease_s * (1 + 2 * self.clock_drift) + self.worker_gone_s


class Reader:
    """Takes fields out of TOML tables and gathers what is wrong with them."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def text(self, table: dict[str, Any], key: str, where: str) -> str:
        value = table.get(key)
        if isinstance(value, str) and value:
            return value
        self.faults.append(f"{where}{key}: must be a non-empty string, is {value!r}")
        return ""

    def number(self, table: dict[str, Any], key: str, where: str, least: float = 0.0) -> float:
        value = table.get(key)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and least <= value < math.inf:
            return float(value)
        self.faults.append(f"{where}{key}: must be a number of at least {least:g}, is {value!r}")
        return max(least, 1.0)

    def whole(self, table: dict[str, Any], key: str, where: str, least: int = 1) -> int:
        value = table.get(key)
        if isinstance(value, int) and not isinstance(value, bool) and value >= least:
            return value
        self.faults.append(f"{where}{key}: must be a whole number of at least {least}, is {value!r}")
        return least

    def lesser(
        self, state: dict[str, Any], coming: dict[str, Any], key: str, least: float, whole: bool = False
    ) -> float:
        """A limit of the state service: what holds now or what is announced, whichever is less."""

        def read(table: dict[str, Any], where: str) -> float:
            return self.whole(table, key, where, int(least)) if whole else self.number(table, key, where, least)

        now = read(state, "deployment.state.")
        return min(now, read(coming, "deployment.state.next.")) if key in coming else now

    def address(self, table: dict[str, Any], key: str, where: str) -> Address:
        value = table.get(key)
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            if colon and host and port.isdigit() and 0 < int(port) < 65536:
                return Address(host, int(port))
        self.faults.append(f"{where}{key}: must be HOST:PORT, is {value!r}")
        return Address("", 0)

    def table(self, table: dict[str, Any], key: str, where: str) -> dict[str, Any]:
        value = table.get(key)
        if isinstance(value, dict):
            return value
        self.faults.append(f"{where}{key}: table is missing")
        return {}

    def tables(self, table: dict[str, Any], key: str, where: str) -> list[dict[str, Any]]:
        value = table.get(key, [])
        if isinstance(value, list) and all(isinstance(item, dict) for item in value):
            return value
        self.faults.append(f"{where}{key}: must be a list of tables")
        return []


def parse(text: str) -> Settings:
    """Settings from TOML text; raises SettingsError naming every fault."""
    try:
        top = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"not TOML: {error}"]) from None
    read = Reader()
    outside = read.table(top, "outside", "")
    deployment = read.table(top, "deployment", "")
    workers = read.table(deployment, "workers", "deployment.") if deployment else {}
    state = read.table(deployment, "state", "deployment.") if deployment else {}
    coming = read.table(state, "next", "deployment.state.") if "next" in state else {}
    cloud = read.table(deployment, "cloud", "deployment.") if deployment else {}
    limits = read.table(deployment, "machine_limits", "deployment.") if deployment else {}
    siblings = []
    for number, item in enumerate(read.tables(top, "siblings", "")):
        where = f"siblings[{number}]."
        siblings.append(
            Sibling(
                read.text(item, "member", where),
                read.text(item, "zone", where),
                read.address(item, "address", where),
            )
        )
    teams = {}
    for number, item in enumerate(read.tables(deployment, "teams", "deployment.")):
        where = f"deployment.teams[{number}]."
        team = Team(
            read.text(item, "name", where),
            *(read.number(item, key, where) for key in ("cpus", "cpus_max", "gpus", "gpus_max")),
        )
        if team.name in teams:
            read.faults.append(f"{where}name: {team.name!r} appears twice")
        teams[team.name] = team
    objectives = []
    for number, item in enumerate(read.tables(deployment, "objectives", "deployment.")):
        where = f"deployment.objectives[{number}]."
        klass = item.get("class")
        objectives.append(
            Objective(
                read.text(item, "kind", where),
                klass if isinstance(klass, str) else "",
                read.number(item, "within_s", where) if "within_s" in item else None,
                read.number(item, "share", where) if "share" in item else 0.0,
                read.number(item, "times", where) if "times" in item else 1.0,
            )
        )
    zones = deployment.get("zones", [])
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        read.faults.append("deployment.zones: must be a list of strings")
        zones = []
    settings = Settings(
        member=read.text(top, "member", ""),
        zone=read.text(top, "zone", ""),
        bind=read.address(top, "bind", ""),
        mesh=read.address(top, "mesh_addr", ""),
        siblings=tuple(siblings),
        cloud=read.address(outside, "cloud", "outside."),
        state=read.address(outside, "state", "outside."),
        count=read.whole(deployment, "count", "deployment."),
        zones=tuple(zones),
        clock_error_s=read.number(deployment, "clock_error_ms", "deployment.") / 1000,
        teams=teams,
        objectives=tuple(objectives),
        report_s=read.number(workers, "report_s", "deployment.workers.", 0.01),
        lease_s=read.number(workers, "lease_s", "deployment.workers.", 0.1),
        gang_wait_s=read.number(workers, "gang_wait_s", "deployment.workers."),
        gang_peer_s=read.number(workers, "gang_peer_s", "deployment.workers."),
        cancel_s=read.number(workers, "cancel_s", "deployment.workers."),
        state_rps=read.lesser(state, coming, "rps", 0.1),
        state_write_rps=read.lesser(state, coming, "write_rps", 0.1),
        value_kb=read.lesser(state, coming, "value_kb", 0.1),
        txn_ops=int(read.lesser(state, coming, "txn_ops", 2, whole=True)),
        cloud_rps=read.number(cloud, "rps", "deployment.cloud.", 0.01),
        list_lag_s=read.number(cloud, "list_lag_s", "deployment.cloud."),
        cores=read.number(limits, "cores", "deployment.machine_limits.", 0.01),
        memory_mb=read.number(limits, "memory_mb", "deployment.machine_limits.", 1),
        fd_limit=read.whole(limits, "fd_limit", "deployment.machine_limits.", 16),
    )
    if read.faults:
        raise SettingsError(read.faults)
    return settings


def load(path: str) -> Settings:
    """Settings from a file; raises SettingsError."""
    try:
        with open(path, "rb") as file:
            return parse(file.read().decode())
    except OSError as error:
        raise SettingsError([f"cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError:
        raise SettingsError(["not UTF-8 text"]) from None
