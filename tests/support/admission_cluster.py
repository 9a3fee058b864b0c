"""Fixtures of admission tests: stored rows of a cluster without controllers, and a controller that coordinates."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.admission import epoch as epochs
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.admission.coordinator import AdmissionCoordinator
from sloeswitch.admission.decisions import decide
from sloeswitch.admission.limits import AdmissionLimits
from sloeswitch.core import keys
from sloeswitch.core.records import JobState
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.features import AdmissionFeatures
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.settings import Settings, parse
from sloeswitch.wire import MachineType
from tests.conftest import MACHINE_TYPE, Store, spec
from tests.support.admission import cluster_text
from tests.support.single_controller import World, advance_time

START_MS = 1_000_000

LARGE = MachineType("large", 32.0, 0.0, 64.0, 50.0, 0.5, 1.3, 0.4, 25.0, ["a"])


class Cluster:
    """Stored rows and a clock that only the test moves; by default two small machines with 16 cores together."""

    def __init__(self, teams: dict[str, tuple[float, float]] | None = None, machines: int = 2) -> None:
        self.store = Store()
        self.store.put(keys.CATALOG_KEY, msgspec.to_builtins(wire.MachineTypeCatalog([MACHINE_TYPE, LARGE])))
        self.settings: Settings = parse(cluster_text(teams or {"red": (0.0, 4000.0), "blue": (0.0, 4000.0)}))
        self.limits = AdmissionLimits.from_settings(self.settings)
        self.now_ms = START_MS
        self.machines("small", machines)
        self.epoch()

    def machines(self, kind: str, count: int) -> None:
        rows = {f"vm-{kind}-{n}": ["127.0.0.1:9000", kind, "a", True] for n in range(count)}
        self.store.put(keys.machine_group_key(kind), {"m": rows})

    def advance_time(self, seconds: float) -> None:
        self.now_ms += int(1000 * seconds)

    def after_lead(self) -> None:
        """Moves the clock past the common cut, so that new jobs are deferred."""
        self.advance_time(2 * self.limits.lead_s + 1)

    def submit(self, name: str, at_ms: int | None = None, **changes: Any) -> None:
        changes = {"visits": 100, "cores": 1.0, "expectedS": 40.0, "dueS": None, **changes}
        job = spec(name, **changes)
        value = {"s": JobState.LIVE, "n": job.tasks, "t": at_ms or self.now_ms, "spec": msgspec.to_builtins(job)}
        self.store.put(keys.job_key(name), value)

    def cancel(self, name: str) -> None:
        self.store.put(keys.job_key(name), {**self.store.rows[keys.job_key(name)][0], "s": JobState.CANCELLED})

    def changes(self, idle: list[IdleCapacity] | None = None, value_bytes: int = 10000) -> list[epochs.RowChange]:
        return epochs.compute_changes(
            self.store.tables, self.settings, self.limits, idle or [], self.now_ms, value_bytes
        )

    def epoch(self, idle: list[IdleCapacity] | None = None, value_bytes: int = 10000) -> int:
        """Stores all changes of an epoch; returns the number of rows written."""
        count = 0
        for change in self.changes(idle, value_bytes):
            for path, row in change.rows.items():
                self.store.put(keys.admission_key(path), row.stored())
                count += 1
        return count

    def overload(self, count: int = 20, **changes: Any) -> list[str]:
        """Submits more work than fits: an admitted job that fills the machines, and then `count` deferred ones."""
        self.after_lead()
        self.submit("wk-000000", at_ms=START_MS, visits=1000)
        names = [f"wk-{number + 1:06d}" for number in range(count)]
        for name in names:
            self.advance_time(0.001)
            self.submit(name, **changes)
        return names

    def admitted(self) -> list[str]:
        return sorted(name for name, decision in decide(self.store.tables).items() if decision.admitted)


def coordinator(world: World) -> AdmissionCoordinator:
    world.store.put(keys.feature_key("admission"), {"seen": ["c0", "c1"], "complete": True})
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    return AdmissionCoordinator(world.context, AdmissionFeatures(True), list, {})


def overloaded_world(store: Store, monkeypatch: pytest.MonkeyPatch) -> tuple[World, AdmissionCoordinator]:
    """A controller that coordinates, with a lane of deferred jobs and without machines."""
    world = World(store, cluster_text({"red": (0.0, 40.0)}))
    admission = coordinator(world)
    anyio.run(admission.run_epoch)
    advance_time(world, 2 * admission.limits.lead_s + 1)
    for number in range(5):
        job = spec(f"wk-{number:06d}")
        value = {
            "s": JobState.LIVE,
            "n": 4,
            "t": int(1000 * world.clock.time) + number,
            "spec": msgspec.to_builtins(job),
        }
        store.put(keys.job_key(job.id), value)
    advance_time(world, admission.limits.starvation_timeout_s + 1)
    return world, admission


class ScriptedLink:
    """A sibling that reports one kind of idle capacity, or does not answer."""

    def __init__(self) -> None:
        self.asked = 0
        self.capacities: list[IdleCapacity] | None = [IdleCapacity(InstanceKind("small", "a", True), 2.0, 1.0)]

    async def idle_capacity(self) -> list[IdleCapacity]:
        self.asked += 1
        if self.capacities is None:
            raise NoAnswerError("lost")
        return self.capacities
