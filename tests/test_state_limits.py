"""Limits of the state service: announced and unannounced reductions, and rows that exceed the value limit."""

from __future__ import annotations

import random
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch import wire
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.scale_out import ScaleOut
from sloeswitch.core import keys, taskset
from sloeswitch.core.transaction import Transaction
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.settings import SettingsError, parse
from sloeswitch.state_client import StateClient
from tests.conftest import SETTINGS, Store, spec
from tests.support.single_controller import (
    SETTINGS_WITH_NEXT_LIMITS,
    World,
    heartbeat_and_register,
    record_writes,
    register_machine,
    submit,
    unregister,
)


def test_the_lower_of_the_current_and_the_announced_limit_applies_from_the_start() -> None:
    settings = parse(SETTINGS_WITH_NEXT_LIMITS)
    assert (settings.value_kb, settings.txn_ops, settings.state_write_rps, settings.state_rps) == (2.0, 4, 15.0, 100.0)
    larger = SETTINGS_WITH_NEXT_LIMITS.replace("txn_ops = 4", "txn_ops = 400").replace("write_rps = 15.0\n", "")
    assert (parse(larger).txn_ops, parse(larger).state_write_rps) == (12, 20.0)
    for wrong, name in (("txn_ops = 1", "txn_ops"), ('value_kb = "2"', "value_kb"), ("write_rps = -1", "write_rps")):
        faulty = SETTINGS.replace("[deployment.cloud]", f"[deployment.state.next]\n{wrong}\n[deployment.cloud]")
        with pytest.raises(SettingsError) as raised:
            parse(faulty)
        assert [fault.split(":")[0] for fault in raised.value.faults] == [f"deployment.state.next.{name}"]
    with pytest.raises(SettingsError):
        parse(SETTINGS.replace("txn_ops = 12", "txn_ops = 12\nnext = 7"))


def test_a_job_with_scattered_completions_progresses_within_the_lower_limits(store: Store) -> None:
    """No value exceeds 2 KiB and no transaction four changes, as the scripted state service checks."""
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    names = [f"wk-{number:06d}" for number in range(8)]
    generator = random.Random(11)
    for name in names:
        store.job(spec(name, visits=600, cores=0.01))
        store.progress(name, c0_1=taskset.full(600))
    remaining = dict.fromkeys(names, taskset.full(600))
    for _ in range(60):
        for name in names:
            ended = sum(1 << index for index in range(600) if generator.random() < 0.1) & remaining[name]
            remaining[name] &= ~ended
            world.send_task_updates(TaskUpdates(done={name: ended}))
        world.clock.time += 20.0
        for _ in range(4):
            world.commit_and_place()
        assert all(store.tables.jobs[n].progress.done == taskset.full(600) & ~remaining[n] for n in store.tables.jobs)
        if not any(remaining.values()):
            break
    world.send_task_updates(TaskUpdates(done=remaining | dict.fromkeys(names, taskset.full(600))))
    world.clock.time += 20.0
    for _ in range(4):
        world.commit_and_place()
    assert set(names) == store.tables.finished_jobs.keys()


def large_group(count: int) -> dict[str, Any]:
    return {"m": {f"vm-{n:06d}": [f"10.1.{n // 250}.{n % 250}:9000", "small", "a", True] for n in range(count)}}


def test_a_machine_group_over_the_value_limit_is_split_when_it_changes_and_loses_no_machine(store: Store) -> None:
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    store.put(keys.machine_group_key("c1.5.1"), large_group(240))
    machines = set(store.tables.machines)
    unregister(world, "vm-000007")
    # Not split until all controllers are upgraded: an earlier version would take moved machines as deleted.
    assert set(store.tables.machines) == machines
    store.put_complete_layout()
    written = record_writes(world)
    missing: list[str] = []
    apply = world.client.apply

    def apply_and_read_again(*transaction: Any) -> Any:
        outcome = apply(*transaction)
        # A controller that reads all rows in key order after any transaction finds every machine.
        restarted = Store()
        for key, value in sorted({keys.machine_group_key("c1.5.1"): large_group(240), **written}.items()):
            restarted.put(key, value)
        missing.extend(machines - {"vm-000007"} - restarted.tables.machines.keys())
        return outcome

    world.client.apply = apply_and_read_again  # type: ignore[method-assign, assignment]
    unregister(world, "vm-000007")
    assert not missing
    assert set(store.tables.machines) == machines - {"vm-000007"} and "vm-000007" in store.tables.deleted_machines
    assert len(store.tables.machine_groups) > 4


def test_a_catalog_over_the_value_limit_is_stored_as_one_row_per_machine_type(store: Store) -> None:
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    cloud: Any = None
    scale_out = ScaleOut(world.context, cloud, ScaleIn(world.context, cloud))
    machine_types = [
        wire.MachineType(f"type-{n}", 8.0, 0.0, 16.0, 50.0, 0.5, 0.4, 0.1, 25.0, ["a", "b"] * 20) for n in range(9)
    ]
    anyio.run(scale_out._store_catalog, machine_types)
    # Unchanged, because a controller of an earlier layout would not read separate rows.
    assert store.tables.machine_types.keys() == {"small"}
    store.put_complete_layout()
    anyio.run(scale_out._store_catalog, machine_types)
    assert store.tables.machine_types == {machine_type.name: machine_type for machine_type in machine_types}
    anyio.run(scale_out._store_catalog, machine_types[:2])
    assert store.tables.machine_types == {machine_type.name: machine_type for machine_type in machine_types[:2]}


@pytest.mark.parametrize(("changes", "size"), [(2, 2048), (4, 300)])
def test_limits_lower_than_announced_are_respected(store: Store, changes: int, size: int) -> None:
    """A takeover, registrations and submissions succeed after the limits fall; no transaction is rejected forever."""
    store.put_complete_layout()
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    for number in range(1, 7):
        store.job(spec(f"wk-00000{number}", visits=1))
        store.progress(f"wk-00000{number}", c1_9=1)
    world.client.enforced_max_changes, world.client.enforced_max_bytes = changes, size
    heartbeat_and_register(world, 12)
    world.send_task_updates(TaskUpdates(adopted={f"wk-00000{number}": 1 for number in range(1, 7)}, view_number=3))
    for _ in range(12):
        world.commit_and_place()
    assert all(job.progress.claims == {"c0.1": 1} for job in store.tables.jobs.values())
    statuses = [submit(world, "wk-000009", kit="x" * 200) for _ in range(6)]
    assert statuses[-1] == 200 and 201 in statuses
    world.send_task_updates(TaskUpdates(done={f"wk-00000{number}": 1 for number in range(1, 7)}))
    world.clock.time += 1.0
    for _ in range(6):
        world.commit_and_place()
    assert len(store.tables.finished_jobs) == 6


def test_a_rejection_for_the_rate_is_distinguished_from_one_for_the_size(store: Store) -> None:
    world = World(store, SETTINGS_WITH_NEXT_LIMITS)
    client = StateClient(world.settings, lambda: 1, world.clock.now)
    answers = [wire.encode({"error": "too many"}), wire.encode({"error": "too large"})]

    class Reply:
        def __init__(self, status: int, body: bytes) -> None:
            self.status, self.body = status, body

    async def call(*_: Any, **__: Any) -> Any:
        return Reply(429 if len(answers) == 2 else 400, answers.pop(0))

    client.call = call  # type: ignore[method-assign]

    async def commit() -> None:
        await client.compare_and_swap(Transaction({}, {"s1/x": 1, "s1/y": 2, "s1/z": 3}), lease_priority())

    anyio.run(commit)
    assert client.write_tokens.tokens <= 0.0 and client.max_transaction_changes == 4
    world.clock.time += 10.0
    anyio.run(commit)
    assert client.max_transaction_changes == 2


def lease_priority() -> Any:
    from sloeswitch.rate_budget import RequestPriority

    return RequestPriority.LEASE


def test_claims_and_quota_allocations_of_many_teams_are_stored_in_small_transactions(store: Store) -> None:
    """Guards against quota allocations that fill every transaction: those of five teams alone exceed four changes."""
    more_teams = "".join(
        f'[[deployment.teams]]\nname = "t{n}"\ncpus = 4.0\ncpus_max = 9.0\ngpus = 0.0\ngpus_max = 0.0\n'
        for n in range(5)
    )
    world = World(store, SETTINGS_WITH_NEXT_LIMITS.replace("[deployment.workers]", more_teams + "[deployment.workers]"))
    register_machine(world)
    for number in range(5):
        store.job(spec(f"wk-00000{number}", crew=f"t{number}", visits=1, cores=1.0))
    for _ in range(8):
        world.machines.queue.rebuild()
        for request in world.claim_requests():
            world.commit_and_place(request)
    assert all(job.progress.claims == {"c0.1": 1} for job in store.tables.jobs.values())
