"""Reads and checks the settings file that the platform passes to every controller, and derives limits from it.

The platform's page on deployment describes the file. `parse` maps the names of its fields to those of `Settings`.
Unknown fields are ignored, since later versions of the platform may add some.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sloeswitch.toml_reader import Address, SettingsError, TableReader, read_file, read_toml

__all__ = ["Address", "Objective", "ObjectiveKind", "Settings", "SettingsError", "Sibling", "Team", "load", "parse"]

# The fraction of the state service's limit on the size of a value that is used. The rest is a margin, since the service
# may count more than the value itself.
STORED_VALUE_SHARE = 0.9
# A controller's lease as a fraction of a worker's lease. It is short, so that the machines of a crashed controller are
# taken over before their workers' leases expire and their tasks are lost.
CONTROLLER_LEASE_SHARE = 0.3
MIN_CONTROLLER_LEASE_S = 0.1
# A machine has missed a report if none arrived for this many report intervals; the value allows for jitter.
MISSED_REPORT_INTERVALS = 2.2
# A machine may be silent for this many report intervals or this fraction of a worker's lease, whichever is longer.
MAX_SILENCE_REPORT_INTERVALS = 3.5
MAX_SILENCE_LEASE_SHARE = 0.35
# The margin after the end of a worker's lease before its tasks count as ended.
LEASE_EXPIRY_MARGIN_S = 0.1


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
    """What has to happen in time for a job to meet an objective."""

    # The job is done by its own deadline; the time until the deadline is multiplied by the objective's factor.
    DEADLINE = "deadline"
    # The job starts, or is done, within the objective's time.
    STARTED = "wait"
    DONE = "finished"


@dataclass(frozen=True)
class Objective:
    """A service level objective of one class of jobs: the fraction `share` (0 to 1) of the jobs has to meet it.

    `kind` is the text of an `ObjectiveKind`, and not the enum, since unknown kinds are ignored. The kind `deadline`
    multiplies the time until a job's own deadline by `deadline_factor`; the other kinds have the time limit `within_s`.
    """

    kind: str
    job_class: str
    within_s: float | None
    share: float
    deadline_factor: float


@dataclass(frozen=True)
class Settings:
    """One controller's settings. Durations are in seconds, rates in requests or changes per second."""

    # This controller: its name, its zone, its address for users and workers, and its address for siblings.
    member: str
    zone: str
    http_address: Address
    mesh_address: Address
    siblings: tuple[Sibling, ...]

    # The services outside the cluster.
    cloud_address: Address
    state_address: Address

    # The deployment: the number of controllers, the zones of the machines, the maximum error of the wall clock, the
    # teams by name, and the objectives of the job classes.
    controller_count: int
    zones: tuple[str, ...]
    clock_error_s: float
    teams: dict[str, Team]
    objectives: tuple[Objective, ...]

    # Workers: the interval of their reports, their lease, how long a task of a gang waits for the other tasks, how long
    # it takes to notice that one of them is gone, and the time limit for ending the tasks of a cancelled job.
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float

    # The limits of the state service: requests per second, changes per second, the size of a value in KiB, and changes
    # per transaction. Each is the lower one of the current limit and the announced limit (`state.next`), because the
    # change takes effect without notice, and values stored before it must remain writable after it.
    state_rps: float
    state_write_rps: float
    value_kb: float
    txn_ops: int

    # The cloud: requests per second, and by how much its list of machines lags behind.
    cloud_rps: float
    list_lag_s: float

    # The machine that this controller runs on: its CPU cores, possibly fractional, its memory in MB, and the limit on
    # open file descriptors.
    controller_cores: float
    controller_memory_mb: float
    fd_limit: int

    # A monotonic clock drifts by at most 0.05% (protocol); twice that bounds the drift between two clocks.
    max_clock_drift: float = 0.001

    @property
    def members(self) -> tuple[str, ...]:
        """All configured controllers, this one first."""
        return (self.member, *(sibling.member for sibling in self.siblings))

    @property
    def value_bytes(self) -> int:
        """The maximum size of a stored value, in bytes."""
        return int(self.value_kb * 1024 * STORED_VALUE_SHARE)

    @property
    def controller_lease_s(self) -> float:
        """The lease of a controller in the state service."""
        return max(MIN_CONTROLLER_LEASE_S, CONTROLLER_LEASE_SHARE * self.lease_s)

    @property
    def missed_report_s(self) -> float:
        """The time without a report after which a machine has missed at least one."""
        return MISSED_REPORT_INTERVALS * self.report_s

    @property
    def max_silence_s(self) -> float:
        """How long a machine may neither report nor be answered before it counts as unresponsive."""
        return max(MAX_SILENCE_REPORT_INTERVALS * self.report_s, MAX_SILENCE_LEASE_SHARE * self.lease_s)

    @property
    def worker_expiry_s(self) -> float:
        """The time without an answer after which a worker's lease has certainly expired and its tasks have ended."""
        return self.lease_s * (1 + 2 * self.max_clock_drift) + LEASE_EXPIRY_MARGIN_S

    @property
    def takeover_expiry_s(self) -> float:
        """The same for a worker whose previous owner may have answered it until the owner's own lease expired."""
        return self.controller_lease_s * (1 + 2 * self.max_clock_drift) + self.worker_expiry_s


class _Tables:
    """The tables of a settings file, read in the order in which missing tables are reported."""

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
        deadline_factor=table.number("times") if "times" in table else 1.0,
    )


def _lesser_limit(tables: _Tables, key: str) -> float:
    """Returns the lower one of the current and the announced value of a limit of the state service."""
    limit = tables.state.number(key, minimum=0.1)
    return min(limit, tables.announced_state.number(key, minimum=0.1)) if key in tables.announced_state else limit


def _lesser_transaction_size(tables: _Tables) -> int:
    """The same for the number of changes per transaction, which is an integer."""
    changes = tables.state.integer("txn_ops", minimum=2)
    if "txn_ops" not in tables.announced_state:
        return changes
    return min(changes, tables.announced_state.integer("txn_ops", minimum=2))


def parse(text: str) -> Settings:
    """Parses settings from TOML text; raises SettingsError with every fault."""
    tables = _Tables(read_toml(text))
    top, deployment, workers = tables.top, tables.deployment, tables.workers
    # Read first, because faults are reported in the order in which the fields are read.
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
        report_s=workers.number("report_s", minimum=0.01),
        lease_s=workers.number("lease_s", minimum=0.1),
        gang_wait_s=workers.number("gang_wait_s"),
        gang_peer_s=workers.number("gang_peer_s"),
        cancel_s=workers.number("cancel_s"),
        state_rps=_lesser_limit(tables, "rps"),
        state_write_rps=_lesser_limit(tables, "write_rps"),
        value_kb=_lesser_limit(tables, "value_kb"),
        txn_ops=_lesser_transaction_size(tables),
        cloud_rps=tables.cloud.number("rps", minimum=0.01),
        list_lag_s=tables.cloud.number("list_lag_s"),
        controller_cores=tables.machine_limits.number("cores", minimum=0.01),
        controller_memory_mb=tables.machine_limits.number("memory_mb", minimum=1),
        fd_limit=tables.machine_limits.integer("fd_limit", minimum=16),
    )
    if top.faults:
        raise SettingsError(top.faults)
    return settings


def load(path: str) -> Settings:
    """Loads settings from a file; raises SettingsError with every fault."""
    return parse(read_file(path))
