"""Direct commands: the limit of those in flight, and at most one queued for each machine."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from sloeswitch.core.machine import Machine
from tests.conftest import Store
from tests.support.single_controller import World, register_machine


@pytest.fixture
def world(store: Store) -> Iterator[World]:
    world = World(store)
    register_machine(world)
    yield world


def test_a_takeover_probes_all_machines_with_limited_concurrency(world: World) -> None:
    probed: list[str] = []
    most = 0

    async def run() -> None:
        nonlocal most
        under_way = 0
        finish = anyio.Event()

        async def send(machine: Any) -> None:
            nonlocal under_way, most
            under_way += 1
            most = max(most, under_way)
            await finish.wait()
            under_way -= 1
            probed.append(machine.name)

        world.machines.commands._send_commands = send  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            world.machines.group = group
            for number in range(400):
                machine = world.machines.registry.add_machine(
                    Machine(
                        f"vm-{number + 100}",
                        "127.0.0.1:9000",
                        "small",
                        "a",
                        True,
                        owned_since_token=3,
                        lease_expires_at=9e9,
                    )
                )
                world.machines.commands.probe(machine, world.clock.time)
            await anyio.wait_all_tasks_blocked()
            finish.set()

    anyio.run(run)
    assert len(probed) == 400 and most <= world.settings.fd_limit / 8


def test_a_machine_has_at_most_one_queued_command(world: World) -> None:
    """A stop that is decided after the content of a command was determined is sent with another command."""
    waiting: list[Any] = []
    world.machines.commands.spawn = lambda call, *args: waiting.append((call, args))
    machine = world.machines.registry.machines["vm-1"]
    for _ in range(300):
        world.machines.commands.send(machine)
    assert len(waiting) == 1
    world.machines.commands.record_sending(machine)
    world.machines.commands.send(machine)
    assert len(waiting) == 2
