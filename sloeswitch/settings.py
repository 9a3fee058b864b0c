"""The settings file that the platform hands to every controller: read, checked, and the ratios that follow from it.

The platform's page on deployment describes the file. Its fields keep their names there; `parse` maps them to the fields
of `Settings`. Unknown fields are ignored, since later versions of the platform may add some.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sloeswitch.toml_reader import Address, SettingsError, TableReader, read_file, read_toml

__all__ = ["Address", "Objective", "ObjectiveKind", "Settings", "SettingsError", "Sibling", "Team", "load", "parse"]

# Of the largest value that the state service takes, what is used; the rest is for what it may count besides the value.
STORED_VALUE_SHARE = 0.9
# A controller's lease is short beside the workers' leases, so that a crashed controller's machines are taken over
# while their tasks still live.
CONTROLLER_LEASE_SHARE = 0.3
MIN_CONTROLLER_LEASE_S = 0.1
# Report intervals after which a machine that was not heard has missed a report, the spread of the interval allowed for.
MISSED_REPORT_INTERVALS = 2.2
# A machine may be silent for so many of its report intervals, and for this share of a worker's lease.
MAX_SILENCE_REPORT_INTERVALS = 3.5
MAX_SILENCE_LEASE_SHARE = 0.35
# Added to the end of a worker's lease before its tasks count as gone.
LEASE_END_MARGIN_S = 0.1


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


class ObjectiveKind(StrEnum):
    """What an objective expects of a job."""

    # Done by the job's own deadline, its time stretched by the objective's factor.
    DEADLINE = "deadline"
    # Begun, or done, within the objective's time.
    BEGUN = "wait"
    DONE = "finished"


@dataclass(frozen=True)
class Objective:
    """What is expected of one class of jobs: a part of them, `share` (0 to 1), must meet it.

    `kind` is an `ObjectiveKind` as text, since kinds that are not known are passed over; `times` is the factor of a
    deadline.
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
    def max_silence_s(self) -> float:
        """For so long a machine may neither report nor be answered before it counts as not responding."""
        return max(MAX_SILENCE_REPORT_INTERVALS * self.report_s, MAX_SILENCE_LEASE_SHARE * self.lease_s)

    @property
    def worker_gone_s(self) -> float:
        """After this long without an answer a worker has certainly dropped its tasks."""
        return self.lease_s * (1 + 2 * self.clock_drift) + LEASE_END_MARGIN_S

    @property
    def takeover_gone_s(self) -> float:
        """The same for a worker whose former owner may have answered until its permission ended."""
        return self.controller_lease_s * (1 + 2 * self.clock_drift) + self.worker_gone_s


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
    limit = tables.state.number(key, least=0.1)
    return min(limit, tables.announced_state.number(key, least=0.1)) if key in tables.announced_state else limit


def _lesser_transaction_size(tables: _Tables) -> int:
    """The same for the number of changes in a transaction."""
    changes = tables.state.integer("txn_ops", least=2)
    if "txn_ops" not in tables.announced_state:
        return changes
    return min(changes, tables.announced_state.integer("txn_ops", least=2))


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
        report_s=workers.number("report_s", least=0.01),
        lease_s=workers.number("lease_s", least=0.1),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        state_rps=_lesser_limit(tables, "rps"),
        state_write_rps=_lesser_limit(tables, "write_rps"),
        value_kb=_lesser_limit(tables, "value_kb"),
        txn_ops=_lesser_transaction_size(tables),
        cloud_rps=tables.cloud.number("rps", least=0.01),
        list_lag_s=tables.cloud.number("list_lag_s"),
        controller_cores=tables.machine_limits.number("cores", least=0.01),
        controller_memory_mb=tables.machine_limits.number("memory_mb", least=1),
        fd_limit=tables.machine_limits.integer("fd_limit", least=16),
    )
    if top.faults:
        raise SettingsError(top.faults)
    return settings


def load(path: str) -> Settings:
    """Settings from a file; raises SettingsError."""
    return parse(read_file(path))
