"""A single controller with four thousand machines: bounds on commands, stored data and cloud calls."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import pytest

from sloeswitch import wire
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.scale_out import ScaleOut
from sloeswitch.cloud import CloudClient
from sloeswitch.core import keys, placement
from sloeswitch.core.claim_planner import ClaimPlanner, PlanLimits
from sloeswitch.core.rendezvous import owner
from sloeswitch.http_client import Reply
from tests.conftest import MACHINE_TYPE, spec
from tests.support.clock import Clock
from tests.support.fleet import FleetWorld, machine_name

MACHINES = 4000
PAGE_SIZE = 500


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[FleetWorld]:
    world = FleetWorld(MACHINES)
    world.take_over()
    yield world


def test_takeover_stores_all_adoptions_in_one_round_and_completes_recovery(fleet: FleetWorld) -> None:
    rounds = fleet.commit_all()
    assert rounds == 1 and all(size < wire.MAX_BODY_BYTES for _, size in fleet.transactions)
    fleet.tick()
    claims = [job.progress.claims for job in fleet.store.tables.jobs.values()]
    assert all(set(job_claims) == {"c0.1"} for job_claims in claims) and len(claims) == fleet.job_count
    assert fleet.machines.registry.is_recovered(fleet.store.tables, "c0.1")
    assert fleet.store.tables.quota_allocations["red"]["c0.1"] == (2.0 * MACHINES, 0.0)


def test_many_cancellations_send_one_command_to_each_machine(fleet: FleetWorld) -> None:
    fleet.commit_all()
    fleet.cancel_all()
    fleet.tick()
    fleet.tick()
    assert len(fleet.commands) == MACHINES
    assert fleet.report_all(4) == {200}


def test_all_machines_are_unregistered_in_few_transactions(fleet: FleetWorld) -> None:
    groups = len(fleet.store.tables.machine_groups)
    transactions = fleet.delete_all()
    assert transactions <= -(-groups // 4) + 1
    assert not fleet.store.tables.machines and not fleet.store.tables.machine_groups
    assert all(size < wire.MAX_BODY_BYTES for _, size in fleet.transactions)


def claim_planner(fleet: FleetWorld) -> ClaimPlanner:
    machines = fleet.machines
    limits = PlanLimits.from_settings(
        fleet.settings, fleet.client.max_transaction_changes, machines.claims.tick_interval_s
    )
    return ClaimPlanner(machines.claims.capacity_snapshot(fleet.clock.time), limits, fleet.store.tables)


def test_planning_claims_is_bounded_and_returns_no_allocation_in_use(fleet: FleetWorld) -> None:
    """Covers four thousand machines with free capacity and five hundred jobs that could use it."""
    fleet.commit_all()
    fleet.store.put(keys.quota_key("red"), {"c0.1": [78.0 * MACHINES, 0.0]})
    for number in range(500):
        fleet.store.job(spec(f"wk-{900000 + number}", visits=100, cores=1.0))
    fleet.tick()
    machines = fleet.machines
    machines.queue.queued_since = {job.spec.id: fleet.clock.time - 100 for job in machines.queue.jobs}
    planner = claim_planner(fleet)
    claims = planner.plan(machines.queue.jobs, 1, 0)
    assert len(claims.task_counts) == planner.limits.max_jobs
    assert planner.capacities_scanned <= planner.limits.max_capacities_scanned + planner.limits.max_jobs * MACHINES
    request = ClaimRequest()
    # Usage by jobs later in the queue is not counted. Even so, quota that the free capacity can use is not returned.
    for later_s in (0.0, 3 * fleet.settings.report_s):
        machines.quota.request_allocations(request, claims.usable_quota, 1, fleet.clock.time + later_s)
    _, kept_cores, _ = request.quota_decreases["red"]
    assert 0.95 * 8.0 * MACHINES < kept_cores < 1.05 * 8.0 * MACHINES


def test_jobs_that_fit_on_no_machine_are_packed_once_for_each_shape(
    fleet: FleetWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.commit_all()
    for number in range(50):
        fleet.store.job(spec(f"wk-{900000 + number}", visits=3, cores=7.0))
    fleet.store.job(spec("wk-800000", visits=3, cores=1.0))
    fleet.tick()
    machines = fleet.machines
    machines.queue.queued_since = {job.spec.id: fleet.clock.time - 100 for job in machines.queue.jobs}
    packings = 0
    pack_tasks = placement.pack_tasks

    def counting_pack_tasks(*args: Any) -> Any:
        nonlocal packings
        packings += 1
        return pack_tasks(*args)

    monkeypatch.setattr(placement, "pack_tasks", counting_pack_tasks)
    planner = claim_planner(fleet)
    planner.plan(machines.queue.jobs, 1, 0)
    # The job that fits is in the queue twice because it has waited for a long time.
    assert packings == 3 and planner.planned_tasks["wk-800000"]


class PacedCloud:
    """A cloud with many machines; each call takes as long as the cloud's rate requires."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self.clock = clock
        self.rate = rate
        self.calls: list[str] = []

    async def request(self, method: str, path: str, body: bytes | None, timeout_s: float) -> Reply:
        self.clock.time += 1 / self.rate
        self.calls.append("list" if path.startswith("/machines?") else "rent")
        if method == "POST":
            count = wire.decode(body or b"", wire.InstanceRequest).count
            return Reply(200, wire.encode(wire.InstancesCreated([f"new-{len(self.calls)}-{n}" for n in range(count)])))
        _, _, after = path.partition("&after=")
        first = int(after.removeprefix("vm-")) + 1 if after else 0
        hosts = [
            wire.Instance(machine_name(number), "127.0.0.1:9000", "small", "a", True, "running", 99.0)
            for number in range(first, min(first + PAGE_SIZE, MACHINES))
        ]
        return Reply(200, wire.encode(wire.InstancePage(hosts, first + PAGE_SIZE < MACHINES)))


def test_lists_with_many_pages_leave_most_of_the_rate_to_instance_requests(
    fleet: FleetWorld, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against only one instance request per list: renting thousands of machines would take too long.

    A full list takes eight calls, which count against the same rate.
    """
    cloud = CloudClient(fleet.settings, lambda: True, fleet.clock.now)
    paced = PacedCloud(fleet.clock, fleet.settings.cloud_rps)
    cloud.http = paced  # type: ignore[assignment]
    monkeypatch.setattr(cloud.call_tokens, "acquire", lambda *_: 0.0)
    scale_out = ScaleOut(fleet.context, cloud, ScaleIn(fleet.context, cloud))
    scale_out.types = {"small": MACHINE_TYPE}
    fleet.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    for number in range(400):
        fleet.store.job(spec(f"wk-{900000 + number}", visits=1000, cores=1.0))
    until = fleet.clock.time + 200 / paced.rate

    async def rent() -> None:
        while fleet.clock.time < until:
            fleet.renew()
            await scale_out._list_instances()
            while await scale_out._scale_out():
                fleet.renew()
            fleet.clock.time += fleet.settings.list_lag_s / 10

    anyio.run(rent)
    assert paced.calls.count("list") <= 0.4 * len(paced.calls)
    assert paced.calls.count("list") >= 2 * MACHINES // PAGE_SIZE


def test_owners_of_all_machines_stay_cached(fleet: FleetWorld) -> None:
    """A second pass over all machines computes no owner again."""
    members = (("c0", 1), ("c1", 2))
    names = [machine_name(number) for number in range(3 * MACHINES)]
    for name in names:
        owner(name, members)
    before = owner.cache_info().misses
    for name in names:
        owner(name, members)
    assert owner.cache_info().misses == before
