"""The metrics of a controller, computed from its current state on each request."""

from __future__ import annotations

import anyio
import pytest

from sloeswitch.core import keys
from sloeswitch.core.machine import AttemptKey, Machine
from sloeswitch.core.transaction import Transaction
from sloeswitch.http import encode_with_cached_head
from sloeswitch.http_client import HttpTransportError, Reply
from sloeswitch.metrics import MachineCondition, machine_condition
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.settings import Settings
from sloeswitch.state_client import StateClient
from tests.conftest import Store, spec
from tests.support.single_controller import JOB, World, ask, register_machine, start_task


@pytest.fixture
def world(store: Store) -> World:
    world = World(store)
    register_machine(world)
    return world


def scrape(world: World) -> dict[str, float]:
    """Requests the metrics and returns each sample by its name and labels."""
    answer = ask(world, "GET", "/metrics")
    assert answer.status == 200
    lines = answer.body.decode().splitlines()
    return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines if not line.startswith("#"))}


def test_metrics_report_leadership_and_the_applied_revision(world: World) -> None:
    world.store.put(keys.COORDINATOR_KEY, {"member": "c0", "boot": 1})
    world.replica.linearizable_at -= 1.5
    samples = scrape(world)
    assert samples["sloeswitch_leader"] == samples["sloeswitch_coordinator"] == 1
    assert samples["sloeswitch_view"] == 3 and samples["sloeswitch_recovery_complete"] == 1
    assert samples["sloeswitch_revision"] == world.store.revision
    assert samples["sloeswitch_revision_age_seconds"] == pytest.approx(1.5)
    world.leadership.lease_renewed_at -= 100.0
    assert scrape(world)["sloeswitch_leader"] == 0


def test_metrics_report_the_quota_and_the_usage_of_a_team(world: World) -> None:
    start_task(world)
    world.machines.registry.handed_off_tasks[JOB] = 0b10
    world.machines.quota.update_handed_off_usage()
    world.machines.registry.machines["vm-1"].foreign_attempts[AttemptKey(f"{JOB}/3", 9)] = None
    samples = scrape(world)
    cores = {
        name: samples[f'sloeswitch_team_{name}{{resource="cores",team="red"}}']
        for name in ("limit", "allocation", "usage", "handed_off", "foreign")
    }
    assert cores == {"limit": 20.0, "allocation": 8.0, "usage": 4.0, "handed_off": 2.0, "foreign": 2.0}
    assert samples['sloeswitch_tasks{condition="running"}'] == 1
    assert samples['sloeswitch_tasks{condition="foreign"}'] == samples['sloeswitch_tasks{condition="handed_off"}'] == 1
    assert samples['sloeswitch_machines{condition="schedulable"}'] == 1


@pytest.mark.parametrize(
    ("fields", "condition"),
    [
        ({}, MachineCondition.UNRECOVERED),
        ({"accounted_for": True}, MachineCondition.SILENT),
        ({"reconciled": True}, MachineCondition.UNREACHABLE),
        ({"reconciled": True, "reachable": True, "draining": True}, MachineCondition.DRAINING),
        ({"reconciled": True, "reachable": True, "preemption_notice_s": 9.0}, MachineCondition.DRAINING),
        ({"reconciled": True, "reachable": True}, MachineCondition.SCHEDULABLE),
    ],
)
def test_each_machine_is_in_one_condition(fields: dict[str, bool | float], condition: MachineCondition) -> None:
    machine = Machine("vm-1", "127.0.0.1:9000", "small", "a", True)
    for name, value in fields.items():
        setattr(machine, name, value)
    assert machine_condition(machine) == condition


def test_requests_transactions_and_outages_are_counted(world: World, settings: Settings) -> None:
    client = StateClient(settings, lambda: 1, lambda: 0.0)
    replies: list[Reply | None] = [Reply(200, b'{"epoch":7}'), Reply(409, b'{"epoch":7}'), Reply(503, b"{}"), None]

    async def request(*_: object) -> Reply:
        reply = replies.pop(0)
        if reply is None:
            raise HttpTransportError("reset")
        return reply

    client.http.request = request  # type: ignore[method-assign, assignment]

    async def commit_all() -> None:
        while replies:
            await client.compare_and_swap(Transaction({}, {"s1/x": 1}), RequestPriority.CLAIM)

    anyio.run(commit_all)
    world.client.requests_by_status = client.requests_by_status
    world.client.transactions_by_outcome = client.transactions_by_outcome
    world.client.outages = client.outages
    samples = scrape(world)
    requests = [samples[f'sloeswitch_state_requests_total{{status="{status}"}}'] for status in ("200", "409", "503")]
    assert requests == [1, 1, 1] and samples['sloeswitch_state_requests_total{status="none"}'] == 1
    outcomes = ("committed", "conflict", "rejected", "unknown")
    assert [samples[f'sloeswitch_state_transactions_total{{outcome="{name}"}}'] for name in outcomes] == [1, 1, 1, 1]
    assert samples["sloeswitch_state_outages_total"] == 1


def test_metrics_are_answered_as_text_and_jobs_as_json(world: World) -> None:
    assert b"Content-Type: text/plain; version=0.0.4" in encode_with_cached_head(ask(world, "GET", "/metrics"))
    world.store.job(spec())
    assert b"Content-Type: application/json" in encode_with_cached_head(ask(world, "GET", f"/submissions/{JOB}"))
    assert ask(world, "POST", "/metrics").status == 405
