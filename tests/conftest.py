"""Builders that the tests share: submissions, worker reports and stored rows. They use no clock and no network."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.core import keys
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.records import JobState, Progress
from sloeswitch.core.row_codec import encode_progress
from sloeswitch.core.tables import Tables
from sloeswitch.settings import Settings, parse

SETTINGS = """
member = "c0"
zone = "a"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
[[siblings]]
member = "c1"
zone = "b"
address = "127.0.0.1:8082"
[outside]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[deployment]
count = 2
zones = ["a", "b"]
clock_error_ms = 100.0
[[deployment.teams]]
name = "red"
cpus = 8.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0
[deployment.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[deployment.cloud]
rps = 1.0
list_lag_s = 10.0
[deployment.machine_limits]
cores = 0.5
memory_mb = 200.0
fd_limit = 500
"""


@pytest.fixture
def settings() -> Settings:
    return parse(SETTINGS)


def submission(name: str = "wk-000001", **changes: Any) -> dict[str, Any]:
    """Returns the body of a submission as a user sends it; a field changed to `...` is left out."""
    body: dict[str, Any] = {
        "id": name,
        "roster": "train",
        "crew": "red",
        "shape": "sweep",
        "urgency": "standard",
        "visits": 4,
        "cores": 2.0,
        "accelerators": 0,
        "memoryGb": 1.0,
        "kit": "img-1",
        "pullGb": 1.0,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectedS": 40.0,
        "snapshotS": 0.0,
        "stashS": 0.0,
    }
    body.update(changes)
    return {key: value for key, value in body.items() if value is not ...}


def spec(name: str = "wk-000001", **changes: Any) -> wire.JobSpec:
    return wire.check_spec(wire.decode(wire.encode(submission(name, **changes)), wire.JobSpec))


def worker_report(
    sequence: int, fencing_token: int, *tasks: tuple[Any, ...], agent_epoch: int = 1, name: str = "vm-1"
) -> wire.WorkerReport:
    """Returns a worker's report; each task is (name, attempt, state) or (name, attempt, "ended", cause)."""
    items = [wire.ReportedTask(*item) for item in tasks]
    return wire.WorkerReport(name, "127.0.0.1:9000", "small", "a", True, agent_epoch, sequence, fencing_token, items)


MACHINE_TYPE = wire.MachineType("small", 8.0, 0.0, 16.0, 50.0, 0.5, 0.4, 0.1, 25.0, ["a", "b"])


class Store:
    """Rows of the state service with their revisions; each change is applied to tables as a watch does."""

    def __init__(self) -> None:
        self.revision = 0
        self.tables = Tables(CancellationLog(100, 7))
        self.rows: dict[str, tuple[Any, int]] = {}

    def put(self, key: str, value: Any) -> int:
        self.revision += 1
        self.rows[key] = (value, self.revision)
        if value is None:
            del self.rows[key]
        self.tables.apply(key, value, self.revision)
        return self.revision

    def read_again(self) -> Tables:
        """Returns the tables of a controller that reads all rows in the order of their keys."""
        tables = Tables()
        for key, (value, revision) in sorted(self.rows.items()):
            tables.apply(key, value, revision)
        return tables

    def job(self, job: wire.JobSpec, status: str = JobState.LIVE) -> None:
        value = {"s": status, "n": job.tasks, "t": 0, "spec": msgspec.to_builtins(job)}
        self.put(keys.job_key(job.id), value)

    def progress(self, name: str, done: int = 0, **claims: int) -> None:
        """Stores a job's progress row; the claims of incarnation "c0.1" are passed as c0_1=mask."""
        held = {tag.replace("_", "."): mask for tag, mask in claims.items()}
        self.put(keys.progress_key(name), encode_progress(Progress(done, held)))

    def view(self, number: int, *members: tuple[str, int]) -> None:
        self.put(keys.VIEW_KEY, {"n": number, "members": [list(member) for member in members]})

    def member(self, name: str, incarnation: int, recovered_view: int = 0) -> None:
        self.put(keys.member_key(name), {"boot": incarnation, "settled": recovered_view, "layout": keys.LAYOUT_VERSION})

    def put_complete_layout(self) -> None:
        """Stores that every configured controller has run with this layout version."""
        self.put(keys.LAYOUT_KEY, {"seen": ["c0", "c1"], "complete": True})

    def put_machine_types(self) -> None:
        self.put(keys.CATALOG_KEY, msgspec.to_builtins(wire.MachineTypeCatalog([MACHINE_TYPE])))


@pytest.fixture
def store() -> Store:
    store = Store()
    store.put_machine_types()
    return store
