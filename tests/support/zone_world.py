"""A simulated cluster with one zone-bound job and machines in some zones, which stop and are not replaced."""

from __future__ import annotations

from sloeswitch.wire import JobSpec
from tests.conftest import SETTINGS
from tests.support.cluster import World
from tests.support.cluster_worker import Worker

MEMBERS = ("c0", "c1", "c2")
ZONES = ("a", "b")
MACHINES = 12
# No accepted job waits longer than this while a machine that fits has room and its team is under its limit.
MAX_WAIT_S = 90.0


class ZoneWorld(World):
    """The cluster. Each start is checked against the rules for the zones of the job's other tasks."""

    def __init__(self, seed: int, job: JobSpec, zones: tuple[str, ...] = ZONES) -> None:
        self.zones = zones
        text = SETTINGS.replace("cpus_max = 20.0", "cpus_max = 100.0")
        super().__init__(seed, members=MEMBERS, machines=MACHINES, text=text)
        self.job = job
        self.task_end_probability = 0.02

    def new_worker(self, name: str) -> Worker:
        """Returns a new worker; the zones take turns."""
        number = int(name.partition("-")[2])
        return Worker(self, name, zone=self.zones[number % len(self.zones)])

    def coordinate(self) -> None:
        """Does the coordinator's work, and elects one when there is none."""
        super().coordinate()
        self.elect_coordinator()

    def check_start(self, worker: Worker, task: str) -> None:
        """Checks a start against the zones of the job's other tasks at this moment."""
        super().check_start(worker, task)
        zones = {machine.name: machine.zone for machine in self.workers}
        present = [zones[machine] for _, machine in self.present_tasks(leased=True)]
        if self.job.spread:
            assert present.count(worker.zone) < (self.job.tasks + 1) // 2, f"wrong_place: {task}"
        if self.job.one_zone:
            assert all(zone == worker.zone for zone in present), f"wrong_place: {task}"

    def run_until_started(self, tasks: int) -> None:
        """Submits the job, and advances the simulation until so many of its tasks have started."""
        self.start()
        while not self.submit(self.nodes["c0"], self.job):
            self.step(fault_free=True)
        while self.starts < tasks:
            self.step(fault_free=True)

    def stop_machines(self, zone: str, count: int = MACHINES) -> None:
        """Stops the first machines of a zone with all that is on them."""
        for worker in [worker for worker in self.workers if worker.zone == zone][:count]:
            self.workers.remove(worker)

    def restart_controllers(self) -> None:
        """Replaces the process of every controller."""
        for name in self.members:
            self.nodes[name] = self.new_node(name)

    def run_to_the_end(self) -> None:
        """Advances the simulation until the job is done; fails if it waits for longer than MAX_WAIT_S."""
        waiting_since = self.clock.time
        while self.unfinished():
            if self.present_tasks():
                waiting_since = self.clock.time
            assert self.clock.time < waiting_since + MAX_WAIT_S
            self.step(fault_free=True)
