"""Spread jobs in a simulated cluster whose machines in a zone stop."""

from __future__ import annotations

import pytest

from tests.conftest import SETTINGS, spec
from tests.support.cluster import World
from tests.support.cluster_worker import Worker

# No accepted job waits longer than this while a machine that fits has room and its team is under its limit.
MAX_WAIT_S = 90.0
JOB = "wk-000001"
ZONES = ("a", "b")
MACHINES = 12


class SpreadWorld(World):
    """A cluster with machines in two zones, and one spread job. Its starts are checked against the zones' limit."""

    def __init__(self, seed: int, tasks: int) -> None:
        text = SETTINGS.replace("cpus_max = 20.0", "cpus_max = 100.0")
        super().__init__(seed, members=("c0", "c1", "c2"), machines=MACHINES, text=text)
        self.max_tasks_in_zone = (tasks + 1) // 2
        self.task_end_probability = 0.02

    def new_worker(self, name: str) -> Worker:
        """Returns a new worker; the zones take turns."""
        number = int(name.partition("-")[2])
        return Worker(self, name, zone=ZONES[number % len(ZONES)])

    def check_start(self, worker: Worker, task: str) -> None:
        """Checks a start against the limit of its zone."""
        super().check_start(worker, task)
        present = {machine.name: machine.zone for machine in self.workers}
        there = sum(present[machine] == worker.zone for _, machine in self.present_tasks(leased=True))
        assert there + 1 <= self.max_tasks_in_zone, f"wrong_place: {task}"

    def stop_machines(self, zone: str, count: int) -> None:
        """Stops the first machines of a zone with all that is on them; none replaces them."""
        for worker in [worker for worker in self.workers if worker.zone == zone][:count]:
            self.workers.remove(worker)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("crash", [False, True])
@pytest.mark.parametrize("zone", ZONES)
@pytest.mark.parametrize(("tasks", "stopped"), [(2, MACHINES), (5, MACHINES), (8, 4), (30, MACHINES)])
def test_all_tasks_of_a_spread_job_run_after_machines_of_a_zone_have_stopped(
    tasks: int, stopped: int, zone: str, crash: bool, seed: int
) -> None:
    """Guards against a half of the job that never runs again: its tasks were bound to a zone by their indexes."""
    world = SpreadWorld(seed, tasks)
    world.start()
    while not world.submit(world.nodes["c0"], spec(JOB, spread=True, visits=tasks, cores=2.0, memoryGb=0.5)):
        world.step(fault_free=True)
    while world.starts < tasks // 2:
        world.step(fault_free=True)
    world.stop_machines(zone, stopped)
    if crash:
        for name in world.members:
            world.nodes[name] = world.new_node(name)
    waiting_since, starts = world.clock.time, world.starts
    while world.unfinished():
        if world.starts > starts or world.present_tasks():
            waiting_since, starts = world.clock.time, world.starts
        assert world.clock.time < waiting_since + MAX_WAIT_S
        world.step(fault_free=True)
