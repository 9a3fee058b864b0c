"""A simulated cell: its controllers, its stored state and the tasks on its machines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.jobs import Jobs
from sloeswitch.actors.leadership import Leadership
from sloeswitch.cells.origin import CellOrigin
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.cells.target import CellTarget
from sloeswitch.core import job_queue, keys
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.records import Job
from sloeswitch.core.uncommitted_updates import TaskUpdates
from sloeswitch.features import CellFeatures, PeerCell
from sloeswitch.frame_link import NoAnswerError
from sloeswitch.replica import StaleReplicaError
from sloeswitch.settings import Settings, parse
from tests.conftest import Store
from tests.support.cell_network import ScriptedLink
from tests.support.cell_state import CellReplica, CellState
from tests.support.settings_text import settings_text

if TYPE_CHECKING:
    from tests.support.cells import CellWorld


CELLS = ("north", "south", "east")

MEMBERS = ("c0", "c1", "c2")

CLASSES = {"once": MovePolicy.ONCE, "again": MovePolicy.REPEATABLE, "stay": MovePolicy.NEVER}

MACHINES = 2

CORES = 8.0

# Fewer cores than the machines have, so that the team's limit takes effect.
TEAM_LIMIT = 12.0

# The member that owns the machines of its cell; all members manage handoffs.
OWNER = "c0"


def member_settings(member: str) -> Settings:
    """Returns the settings of one controller."""
    return parse(settings_text(member, MEMBERS).replace("cpus_max = 20.0", f"cpus_max = {TEAM_LIMIT}"))


class Controller:
    """One controller of a cell. A new one has only the stored state, as after a crash."""

    def __init__(self, cell: Cell, member: str, boot: int) -> None:
        world = cell.world
        settings = member_settings(member)
        client = CellState(settings, lambda: len(MEMBERS), world.clock.now)
        client.store, client.lost_transactions, client.cell = cell.store, [], cell
        self.replica = CellReplica(client, cell.store.tables, world.clock.now)
        self.replica.cell = cell
        self.replica.loaded = self.replica.fully_read = True
        self.leadership = Leadership(settings, cell.store.tables, self.replica, world.clock.now)
        self.leadership.incarnation = boot
        self.context = ControllerContext(settings, client, self.replica, self.leadership, world.clock)
        self.jobs = Jobs(self.context)
        self.jobs.commit_interval_s = 0.0
        peers = tuple(PeerCell(name, ()) for name in CELLS if name != cell.name)
        features = CellFeatures(cell.name, 1, world.moving, 30, peers, CLASSES)
        self.target = CellTarget(self.context, features, self.jobs)
        links: dict[str, Any] = {peer.name: ScriptedLink(world, cell.name, peer.name) for peer in peers}
        self.origin = CellOrigin(self.context, features, cell.queue, links)

    async def run_interval(self) -> None:
        """Runs what the loops of the origin do in one report interval."""
        await self.origin.record_member()
        await self.origin.select_moves()
        for peer in self.origin.links:
            try:
                await self.origin.poll_peer(peer)
            except (NoAnswerError, StaleReplicaError):
                continue


class Cell:
    """One cell: its stored state, its controllers and the tasks on its machines."""

    def __init__(self, world: CellWorld, name: str) -> None:
        self.world = world
        self.name = name
        self.outage = False
        self.store = Store()
        self.store.put_machine_types()
        self.store.put_complete_layout()
        self.store.view(3, *((member, 1) for member in MEMBERS))
        rows = {f"vm-{number}": ["127.0.0.1:9000", "small", "a", True] for number in range(MACHINES)}
        self.store.put(keys.machine_group_key("c0.1.1"), {"m": rows})
        self.store.put(keys.COORDINATOR_KEY, {"member": OWNER, "boot": 1})
        for member in MEMBERS:
            self.store.member(member, 1, recovered_view=3)
        self.controllers = {member: Controller(self, member, 1) for member in MEMBERS}
        # When each running task ends. Key: job, task index and the incarnation id of the controller that claimed it.
        self.running: dict[tuple[str, int, str], float] = {}
        self.ended: set[tuple[str, int, str]] = set()

    def random_controller(self) -> Controller:
        """Returns a random controller of the cell."""
        return self.controllers[self.world.rng.choice(MEMBERS)]

    def queue(self) -> list[Job]:
        """The jobs in queue order."""
        return job_queue.queue_order(self.store.tables, shared_settings(), int(self.world.clock.time * 1000))

    def renew(self) -> None:
        """Renews the controllers' leases unless the state service is out."""
        for controller in self.controllers.values():
            if not self.outage:
                controller.leadership.lease_renewed_at = controller.replica.linearizable_at = self.world.clock.time
            failing = controller.target.client
            failing.failing_since = self.world.clock.time - 100 if self.outage else None

    def used_cores(self) -> float:
        """The cores used by running tasks."""
        return sum(self.world.cores[job] for job, _, _ in self.running)

    async def run_machines(self) -> None:
        """One round of the machines: stops cancelled tasks, completes finished ones, claims and starts new ones."""
        tables, now = self.store.tables, self.world.clock.time
        for key in list(self.running):
            job = tables.jobs.get(key[0])
            if job is None or job.is_cancelled:
                del self.running[key]
                if job is not None:
                    await self._report_end(key, done=False)
            elif now >= self.running[key]:
                del self.running[key]
                self.ended.add(key)
                self.world.completed(self.name, key[0], key[1])
        for key in sorted(self.ended):
            job = tables.jobs.get(key[0])
            if job is None or job.progress.done >> key[1] & 1:
                self.ended.discard(key)
            else:
                await self._report_end(key, done=True)
        await self._release_cancelled()
        if not self.outage:
            await self.controllers[OWNER].jobs._commit_round()
            await self._claim()

    async def _report_end(self, key: tuple[str, int, str], done: bool) -> None:
        """Reports the end of a task to the controller that claimed it, which stores it at once."""
        job, index, incarnation_id = key
        controller = self.controllers[incarnation_id.partition(".")[0]]
        sets = {job: 1 << index}
        await controller.jobs.handle(TaskUpdates(done=sets) if done else TaskUpdates(released=sets))
        await controller.jobs._commit_round()

    async def _release_cancelled(self) -> None:
        """Releases claims on tasks of cancelled jobs that are not running."""
        for job in list(self.store.tables.jobs.values()):
            if not job.is_cancelled:
                continue
            for incarnation_id, mask in job.progress.claims.items():
                if not any(key[0] == job.spec.id and key[2] == incarnation_id for key in self.running):
                    controller = self.controllers[incarnation_id.partition(".")[0]]
                    await controller.jobs.handle(TaskUpdates(released={job.spec.id: mask}))
                    await controller.jobs._commit_round()

    async def _claim(self) -> None:
        for job in self.queue():
            free = MACHINES * CORES - self.used_cores()
            count = min(int(free // job.spec.cores), int((TEAM_LIMIT - self.used_cores()) // job.spec.cores))
            if count <= 0:
                return
            controller = self.controllers[OWNER]
            allocated = self.store.tables.quota_allocation("red", controller.leadership.incarnation_id)[0]
            used_cores = sum(
                self.world.cores[key[0]] for key in self.running if key[2] == controller.leadership.incarnation_id
            )
            want = ResourceAmount(max(allocated, used_cores + count * job.spec.cores))
            await controller.jobs.handle(ClaimRequest(task_counts={job.spec.id: count}, quota_increases={"red": want}))
            await controller.jobs._commit_round()
            self._start(job.spec.id, controller)

    def _start(self, name: str, controller: Controller) -> None:
        """Starts the tasks that this controller has claimed, within its quota allocation."""
        job = self.store.tables.jobs.get(name)
        incarnation_id = controller.leadership.incarnation_id
        if job is None or not job.is_runnable:
            return
        mask = job.progress.claims.get(incarnation_id, 0) & ~job.progress.done
        allowed = self.store.tables.quota_allocation("red", incarnation_id)[0]
        for index in range(job.spec.tasks):
            key = (name, index, incarnation_id)
            if not mask >> index & 1 or key in self.running or key in self.ended:
                continue
            used_cores = sum(self.world.cores[each[0]] for each in self.running if each[2] == incarnation_id)
            if used_cores + job.spec.cores > allowed:
                return
            self.running[key] = self.world.clock.time + job.spec.estimate_s * (0.5 + self.world.rng.random())
            self.world.started(self.name, name)


_cached_settings: list[Settings] = []


def shared_settings() -> Settings:
    """Returns settings for callers that need none of a particular member."""
    if not _cached_settings:
        _cached_settings.append(member_settings("c0"))
    return _cached_settings[0]
