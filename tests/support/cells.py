"""A seeded simulation of three cells with three controllers each, in one process.

The tables, jobs actor, origins and targets are the real ones; the state services, machines and network are scripted.
Requests and answers between cells are lost, delayed and duplicated; a link may be cut in one direction; a cell's state
service may be out, lose its answer, or apply a transaction late; controllers crash and lose all that is not stored.
The checks cover what users were answered and what machines ran, not the state of controllers.
"""

from __future__ import annotations

import contextlib
import random
import sys
from collections import Counter
from collections.abc import Iterator
from typing import Any

import anyio

from sloeswitch import wire
from sloeswitch.cells.frames import CellRequest
from sloeswitch.cells.messages import AnswerMessage
from sloeswitch.cells.policy import MovePolicy
from sloeswitch.frame_link import NoAnswerError
from tests.conftest import spec
from tests.support.cell import CELLS, CLASSES, MEMBERS, TEAM_LIMIT, Cell, Controller, shared_settings
from tests.support.cell_state import CellState
from tests.support.clock import Clock
from tests.support.recorder import TraceRecorder
from tests.support.seeds import run_seeds


class RuleError(AssertionError):
    """The answers to users or the tasks on machines violate a rule of the protocol."""


class CellWorld:
    """The simulated clock, cells, network and users, and what users and machines observed."""

    def __init__(self, seed: int, moving: bool = True, faults_enabled: bool = True) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.moving = moving
        self.faults_enabled = faults_enabled
        self.recorder = TraceRecorder()
        self.cuts: set[tuple[str, str]] = set()
        self.late_transactions: list[tuple[float, Cell, CellState, tuple[Any, Any, Any]]] = []
        self.request_copies: list[tuple[str, CellRequest]] = []
        self.answer_copies: list[tuple[str, AnswerMessage]] = []
        self.messages = 0
        self.cells = {name: Cell(self, name) for name in CELLS}
        # Users: where each job was submitted, when it was accepted, and the final status that was answered and when.
        self.origins: dict[str, str] = {}
        self.specs: dict[str, wire.JobSpec] = {}
        self.cores: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.reported: dict[str, tuple[str, float]] = {}
        # Machines: how many tasks of a job started in each cell, and which were completed in each.
        self.starts: dict[str, Counter[str]] = {}
        self.results: dict[tuple[str, str], set[int]] = {}
        self.event_counts = Counter[str]()

    # -- machines

    def started(self, cell: str, job: str) -> None:
        """Records that a task starts, and checks that it may."""
        status, _ = self.reported.get(job, ("", 0.0))
        if status == wire.JobStatus.CANCELLED:
            raise RuleError(f"{job} starts in {cell} after its cancellation was confirmed")
        where = self.starts.setdefault(job, Counter())
        where[cell] += 1
        policy = CLASSES[self.specs[job].job_class]
        if policy is not MovePolicy.REPEATABLE and len(where) > 1:
            raise RuleError(f"{job} may start in one cell only but started in {', '.join(where)}")
        if policy is MovePolicy.NEVER and cell != self.origins[job]:
            raise RuleError(f"{job} must not move but started in {cell}")
        if self.cells[cell].used_cores() > TEAM_LIMIT:
            raise RuleError(f"the team's limit is exceeded in {cell}")

    def completed(self, cell: str, job: str, index: int) -> None:
        """Records that a task is done."""
        self.results.setdefault((cell, job), set()).add(index)

    # -- users

    async def submit(self, cell: str, name: str, job_class: str, **changes: Any) -> None:
        """A user submits a job."""
        job = spec(name, roster=job_class, **changes)
        self.specs[name], self.cores[name] = job, job.cores
        self.origins[name] = cell
        accepted = await self.cells[cell].random_controller().jobs.submit(job)
        # A submission that was not confirmed may still be stored late, but no check relies on it.
        if accepted is not None:
            self.accepted_at[name] = self.clock.time

    async def cancel(self, name: str) -> None:
        """A user requests a cancellation; the answer is checked if it is a final status."""
        cell = self.cells[self.origins[name]]
        if not cell.outage:
            status = await cell.random_controller().jobs.cancel(name)
            if status in (wire.JobStatus.CANCELLED, wire.JobStatus.DONE):
                self.report_status(name, status)

    def report_status(self, name: str, status: str) -> None:
        """Records that a user was answered a final status, and checks it."""
        known = self.reported.get(name)
        if known is None:
            self.reported[name] = (status, self.clock.time)
            self.event_counts[status] += 1
        elif known[0] != status:
            raise RuleError(f"{name} was reported as {known[0]} and now as {status}")
        everything = set(range(self.specs[name].tasks))
        if status == wire.JobStatus.DONE and not any(
            self.results.get((cell, name), set()) >= everything for cell in CELLS
        ):
            raise RuleError(f"{name} is reported as done but no cell completed all its tasks")

    def poll_statuses(self) -> None:
        """Queries the status of each job in the cell where it was submitted."""
        for name, origin in self.origins.items():
            cell = self.cells[origin]
            status = cell.random_controller().jobs.status(name)
            self.recorder.record("status", origin, name, None if status is None else str(status))
            if status is None and name in self.accepted_at:
                raise RuleError(f"{name} was accepted but its cell does not know it")
            if status in (wire.JobStatus.DONE, wire.JobStatus.CANCELLED):
                self.report_status(name, status)

    def check_cancelled_tasks_stopped(self) -> None:
        """Checks that tasks leave their machines within `cancel_s` after the cancellation was confirmed."""
        for cell in self.cells.values():
            for job, index, _incarnation_id in cell.running:
                status, at = self.reported.get(job, ("", 0.0))
                if status == wire.JobStatus.CANCELLED and self.clock.time - at > shared_settings().cancel_s:
                    raise RuleError(f"{job}/{index} is on a machine of {cell.name} long after its cancellation")

    # -- the network

    async def deliver(self, target: str, request: CellRequest) -> Any:
        """Delivers a request to a random controller of a cell."""
        return await self.cells[target].random_controller().target.answer(request)

    async def deliver_copies(self) -> None:
        """Delivers random copies of earlier requests and answers."""
        if self.request_copies and self.rng.random() < 0.3:
            target, request = self.rng.choice(self.request_copies)
            await self.deliver(target, request)
            self.event_counts["copy of a request"] += 1
        if self.answer_copies and self.rng.random() < 0.3:
            origin, message = self.rng.choice(self.answer_copies)
            controller = self.cells[origin].random_controller()
            link = controller.origin.links[message.target]
            self.event_counts["copy of an answer"] += 1
            with contextlib.suppress(NoAnswerError):
                await controller.origin._apply_answer(message.handoff.job, message, link)

    # -- steps

    async def step(self) -> None:
        """Advances the simulation by 0.3 to 0.7 s."""
        self.clock.time += 0.3 + 0.4 * self.rng.random()
        for item in [item for item in self.late_transactions if item[0] <= self.clock.time and not item[1].outage]:
            self.late_transactions.remove(item)
            item[2].apply(*item[3])
            self.event_counts["late change"] += 1
        for cell in self.cells.values():
            cell.renew()
            await cell.run_machines()
            for controller in list(cell.controllers.values()):
                if self.rng.random() < 0.5:
                    await controller.run_interval()
        if self.faults_enabled:
            await self.deliver_copies()
        self.check_cancelled_tasks_stopped()
        self.poll_statuses()

    def inject_fault(self) -> None:
        """Starts or ends a random fault, with some probability."""
        draw = self.rng.random()
        if draw < 0.04:
            sender, receiver = self.rng.sample(CELLS, 2)
            self.cuts ^= {(sender, receiver)}
            self.event_counts["cut in one direction"] += 1
        elif draw < 0.06:
            isolated = self.rng.choice(CELLS)
            links = {link for other in CELLS if other != isolated for link in ((isolated, other), (other, isolated))}
            self.cuts = self.cuts - links if links <= self.cuts else self.cuts | links
            self.event_counts["cell cut off"] += 1
        elif draw < 0.08:
            cell = self.cells[self.rng.choice(CELLS)]
            cell.outage = not cell.outage
            self.event_counts["outage"] += 1
        elif draw < 0.14:
            cell = self.cells[self.rng.choice(CELLS)]
            member = self.rng.choice(MEMBERS)
            cell.controllers[member] = Controller(cell, member, 1)
            self.event_counts["crash"] += 1
        elif draw < 0.16:
            # Their tasks are started again in the same cell.
            running = self.cells[self.rng.choice(CELLS)].running
            for key in [key for key in running if self.rng.random() < 0.5]:
                del running[key]
            self.event_counts["machines failed"] += 1

    def clear_faults(self) -> None:
        """Ends all faults."""
        self.faults_enabled = False
        self.cuts.clear()
        for cell in self.cells.values():
            cell.outage = False

    def unfinished(self) -> set[str]:
        """Accepted jobs for which no final status was answered."""
        return set(self.accepted_at) - set(self.reported)

    def leftovers(self) -> Iterator[str]:
        """Yields jobs and handoff records that should have been deleted once all jobs have ended."""
        for cell in self.cells.values():
            for name in sorted(cell.store.tables.finished_jobs_with_handoffs):
                yield f"{name} in {cell.name}"
            for name, job in cell.store.tables.jobs.items():
                yield f"{name} in {cell.name}: {job.status}"


async def play(seed: int, steps: int = 300, fault_free_steps: int = 900) -> CellWorld:
    """Runs a simulation in which the north is overloaded, first with faults and then without."""
    world = CellWorld(seed)
    for number in range(steps):
        if world.rng.random() < 0.5 and len(world.origins) < 80:
            cell = "north" if world.rng.random() < 0.9 else world.rng.choice(CELLS)
            name = f"wk-{len(world.specs):06d}"
            visits = world.rng.randint(1, 6)
            await world.submit(
                cell, name, world.rng.choice(list(CLASSES)), visits=visits, expectedS=12.0, dueS=60.0, pullGb=0.1
            )
        if world.rng.random() < 0.05 and world.accepted_at:
            await world.cancel(world.rng.choice(sorted(world.accepted_at)))
        if number > 20:
            world.inject_fault()
        await world.step()
    world.clear_faults()
    for _ in range(fault_free_steps):
        await world.step()
        if not world.unfinished() and not list(world.leftovers()):
            break
    return world


def check_seed(seed: int) -> None:
    """Runs a simulation; raises RuleError also for jobs and records that are left at the end."""
    world = anyio.run(play, seed)
    left = [*sorted(world.unfinished()), *world.leftovers()]
    if left:
        raise RuleError(f"left at the end: {left[:3]}")


if __name__ == "__main__":
    sys.exit(run_seeds(check_seed, int(sys.argv[1]), int(sys.argv[2])))
