"""A simulated cluster that scales out and in at a fake cloud.

The cloud sometimes has no capacity, loses requests, and starts instances late or never.
"""

from __future__ import annotations

from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.actors.scale_in import ScaleIn
from sloeswitch.actors.scale_out import ScaleOut
from sloeswitch.cloud import CloudClient, CloudError
from tests.conftest import MACHINE_TYPE, spec
from tests.support.cluster import World
from tests.support.cluster_node import Node
from tests.support.cluster_worker import Worker

LARGE_TYPE = wire.MachineType("large", 16.0, 0.0, 64.0, 50.0, 0.5, 0.9, 0.3, 15.0, ["a", "b"])
# Iterations of the event loop that suffice to send the deletions that are due.
EVENT_LOOP_ITERATIONS = 12


class ScriptedInstance:
    """An instance at the cloud; its worker starts at `running_at`."""

    def __init__(self, name: str, request: wire.InstanceRequest, created_at: float, running_at: float) -> None:
        self.name = name
        self.request = request
        self.created_at = created_at
        self.running_at = running_at


class RecordingCloud(CloudClient):
    """One controller's client of the simulated cloud; records each call."""

    node: AutoscalingNode

    def _record_call(self, call: str, body: bytes) -> None:
        """Records a call; one in twenty is lost on its way to the cloud and gets no answer."""
        world = self.node.world
        world.recorder.record(f"cloud {call}", self.node.settings.member, body)
        if world.rng.random() < 0.05:
            raise CloudError("no answer")

    async def read_catalog(self) -> wire.MachineTypeCatalog:
        self._record_call("catalog", b"")
        return wire.MachineTypeCatalog([MACHINE_TYPE, LARGE_TYPE])

    async def list_instances(self) -> list[wire.Instance]:
        self._record_call("list", b"")
        world = self.node.world
        return [
            wire.Instance(
                each.name,
                "127.0.0.1:9000",
                each.request.type,
                each.request.zone,
                each.request.spot,
                "up" if each.running_at <= world.clock.time else "pending",
                world.clock.time - each.created_at,
            )
            for each in world.instances.values()
        ]

    async def create_instances(self, request: wire.InstanceRequest) -> list[str] | None:
        self._record_call("rent", wire.encode(request))
        return self.node.world.create(request)

    async def delete_instances(self, machines: list[str]) -> None:
        self._record_call("delete", wire.delete_body(machines))
        for name in machines:
            self.node.world.destroy(name)


class AutoscalingNode(Node):
    """One process of a controller, with its own client of the cloud."""

    world: AutoscalingWorld

    def __init__(self, world: AutoscalingWorld, name: str) -> None:
        super().__init__(world, name)
        cloud = RecordingCloud(self.settings, lambda: self.leadership.is_coordinator, world.clock.now)
        cloud.node = self
        self.scale_in = ScaleIn(self.context, cloud)
        self.scale_out = ScaleOut(self.context, cloud, self.scale_in)
        self.machines.termination.autoscaler, self.scale_in.machines = self.scale_in, self.machines

    def scale(self) -> None:
        """Runs one iteration of the scale-out and scale-in loops."""
        anyio.run(self._scale)

    async def _scale(self) -> None:
        if self.leadership.is_coordinator and self.replica.loaded:
            await self._scale_out()
        self.scale_in.scale_in_idle()
        if self.scale_in.terminating:
            async with anyio.create_task_group() as group:
                group.start_soon(self.scale_in.terminate_forever)
                for _ in range(EVENT_LOOP_ITERATIONS):
                    await anyio.lowlevel.checkpoint()
                group.cancel_scope.cancel()
        while self.machines._inbox:
            self.inbox.append(self.machines._inbox.popleft())

    async def _scale_out(self) -> None:
        try:
            await self.scale_out._read_catalog()
            await self.scale_out._list_instances()
            while await self.scale_out._scale_out():
                pass
        except CloudError:
            return


class AutoscalingWorld(World):
    """A cluster whose machines are all instances that its controllers create at the fake cloud."""

    nodes: dict[str, Any]

    def __init__(self, seed: int) -> None:
        self.instances: dict[str, ScriptedInstance] = {}
        super().__init__(seed, machines=0)

    def new_node(self, name: str) -> Node:
        return AutoscalingNode(self, name)

    def coordinate(self) -> None:
        super().coordinate()
        if not self.outage:
            self.elect_coordinator()

    def perform_event(self, draw: float, node: Node) -> None:
        """Submits a job of one, four or thirty tasks with a probability of 4%; else as in the base class."""
        if 0.1 <= draw < 0.14 and len(self.accepted_jobs) < 60:
            self.last_job_number += 1
            one_zone, spot = self.rng.random() < 0.3, self.rng.random() < 0.7
            visits = self.rng.choice((1, 4, 30))
            job = spec(f"wk-{self.last_job_number:06d}", visits=visits, together=one_zone, loaners=spot, pullGb=0.1)
            self.submit(node, job)
        else:
            super().perform_event(draw, node)

    def create(self, request: wire.InstanceRequest) -> list[str] | None:
        """Creates instances, sometimes one fewer than requested; None if there is no capacity."""
        if self.rng.random() < 0.1:
            return None
        names = []
        for number in range(max(1, request.count - (self.rng.random() < 0.1))):
            name = f"{request.name}-{number}"
            delay = 8 * self.rng.random() if self.rng.random() < 0.95 else 1e9
            self.instances[name] = ScriptedInstance(name, request, self.clock.time, self.clock.time + delay)
            names.append(name)
        return names

    def destroy(self, name: str) -> None:
        """Removes an instance together with its worker."""
        self.instances.pop(name, None)
        worker = self.worker(name)
        if worker is not None:
            self.workers.remove(worker)

    def delete(self, name: str) -> None:
        self.destroy(name)

    def step(self, fault_free: bool = False) -> None:
        """Adds up to half a second to the base step, starts the workers of new instances, and runs the scaling."""
        self.clock.time += 0.5 * self.rng.random()
        for instance in list(self.instances.values()):
            if instance.running_at <= self.clock.time and self.worker(instance.name) is None:
                self.workers.append(
                    Worker(self, instance.name, instance.request.type, instance.request.zone, instance.request.spot)
                )
        super().step(fault_free)
        for node in self.nodes.values():
            node.scale()
