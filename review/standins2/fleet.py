"""Stand-ins of the cloud and of the workers on its machines.

Source: PROTOCOL-sloeswitch.md, "Workers -> controller nodes", "Controller nodes -> workers", "Gangs" and "Controller
nodes -> cloud". A machine that stops is silent from then on: its port stays open, and nothing answers there.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from httpkit import Answer, Connection, NoAnswerError, Server

# How long a machine that died is still listed as running.
LISTED_AS_RUNNING_S = 30.0
BOOT_S = 1.5
FETCH_S = 0.3


@dataclass
class Task:
    """One attempt of a task on a machine."""

    visit: str
    number: int
    spec: dict[str, Any]
    state: str = "fetching"
    cause: str | None = None
    saved: bool = False
    timer: asyncio.Task[None] | None = None

    @property
    def job(self) -> str:
        """The id of its job."""
        return self.visit.partition("/")[0]

    def report(self) -> dict[str, Any]:
        """Its entry in a report."""
        entry: dict[str, Any] = {"visit": self.visit, "try": self.number, "status": self.state}
        if self.state == "ended":
            entry |= {"cause": self.cause, "saved": self.saved}
        return entry


@dataclass
class World:
    """What all machines share.

    Attributes:
        record: Writes one line of the record.
        nodes: The addresses of the controllers, by member.
        workers: The settings of workers.
        builds: The machine types, by name.
        jobs: The descriptions that users uploaded, by job.
        run_s: By job, how long one of its tasks runs.
        results: Tasks whose result is kept.
        on_done: Called when a task has completed, before its worker can report it.
    """

    record: Callable[[str], None]
    nodes: dict[str, str]
    workers: dict[str, float]
    builds: dict[str, dict[str, Any]]
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    results: set[str] = field(default_factory=set)
    machines: dict[str, Worker] = field(default_factory=dict)
    on_done: Callable[[str], None] = lambda _job: None

    def gang(self, job: str, number: int) -> list[tuple[Worker, Task]]:
        """The tasks of one attempt of a gang that have not ended, with their machines."""
        return [
            (worker, task)
            for worker in self.machines.values()
            if not worker.stopped
            for task in worker.tasks.values()
            if task.job == job and task.number == number and task.state != "ended"
        ]

    def running(self, job: str) -> list[Worker]:
        """The machines on which a task of the job runs."""
        return [
            worker
            for worker in self.machines.values()
            if not worker.stopped and any(task.job == job and task.state == "running" for task in worker.tasks.values())
        ]


class Worker:
    """The agent of one machine."""

    def __init__(self, world: World, name: str, build: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.build, self.zone, self.spot = world, name, build, zone, spot
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.stopped = False
        self.stopped_at = self.lease_at = time.monotonic()
        self.node = next(iter(world.nodes))
        # The node that answered the last report with 200.
        self.owner: str | None = None
        self.changed = asyncio.Event()
        self.server = Server(self._serve)
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the port and begins to report."""
        await self.server.start()
        self.lease_at = time.monotonic()
        self._loops = [asyncio.create_task(self._report_forever()), asyncio.create_task(self._lease_forever())]
        self.world.record(f"machine up: host={self.name} build={self.build} district={self.zone}")

    def stop(self) -> None:
        """Stops the machine with all that is on it; it is silent from now on."""
        if self.stopped:
            return
        self.stopped, self.stopped_at = True, time.monotonic()
        lost = [task for task in self.tasks.values() if task.state != "ended"]
        self.world.record(f"machine stops: host={self.name} tasks={[task.visit for task in self.tasks.values()]}")
        self._clear()
        for loop in self._loops:
            loop.cancel()
        for task in lost:
            self._break_gang(task)

    def remove(self) -> None:
        """Deletes the machine."""
        self.stop()
        self.server.close()

    def _clear(self) -> None:
        for task in self.tasks.values():
            if task.timer is not None:
                task.timer.cancel()
        self.tasks = {}

    # -- reports

    def report(self) -> dict[str, Any]:
        """Returns the next report."""
        self.tally += 1
        return {
            "host": self.name,
            "address": self.server.address,
            "build": self.build,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "warningS": None,
            "visits": [task.report() for task in self.tasks.values()],
        }

    async def _report_forever(self) -> None:
        connection, current = None, ""
        while True:
            self.changed.clear()
            if connection is None or current != self.node:
                connection, current = Connection(self.world.nodes[self.node]), self.node
            sent, shift, pause_s = time.monotonic(), self.shift, 1.0
            try:
                answer = await connection.request("POST", "/agent/beat", self.report(), 4.0)
                pause_s = self._apply_answer(answer, sent, shift)
            except NoAnswerError as error:
                self.world.record(f"no answer to a report: host={self.name} node={self.node} error={error}")
                self._next_node()
            await asyncio.sleep(min(pause_s, 0.5))
            if pause_s > 0.5:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), pause_s - 0.5)

    def _next_node(self) -> None:
        names = list(self.world.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]

    def _apply_answer(self, answer: Answer, sent: float, shift: int) -> float:
        """Applies the answer to a report; returns the pause before the next one."""
        if answer.status == 421 and answer.body.get("foreman") in set(self.world.nodes) - {self.node}:
            self.node = answer.body["foreman"]
            return 0.1
        if answer.status != 200:
            self._next_node()
            return 1.0
        baton = answer.body.get("baton", -1)
        if baton >= self.baton and shift == self.shift:
            self.baton, self.owner = baton, self.node
            self.lease_at = max(self.lease_at, sent)
            self._execute(answer.body.get("orders", []))
        return self.world.workers["report_s"] * random.uniform(0.75, 1.25)

    async def _lease_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_at > self.world.workers["lease_s"]:
                self.world.record(f"lease ends: host={self.name} tasks={[task.visit for task in self.tasks.values()]}")
                lost = [task for task in self.tasks.values() if task.state != "ended"]
                self._clear()
                self.shift += 1
                self.lease_at = time.monotonic()
                for task in lost:
                    self._break_gang(task)

    # -- direct commands

    async def _serve(self, method: str, path: str, body: Any) -> Answer:
        while self.stopped:
            await asyncio.sleep(60)
        if method == "GET" and path == "/inspect":
            return Answer(200, self.report())
        if "baton" not in body or "shift" not in body:
            return Answer(400, {})
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return Answer(409, self.report())
        self.baton = body["baton"]
        self._execute(body.get("orders", []))
        return Answer(200, self.report())

    # -- tasks

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["visit"], order["try"])
            if order["verb"] == "start" and key not in self.tasks:
                self._start(*key)
            elif order["verb"] == "kill" and key in self.tasks:
                self._kill(self.tasks[key], order.get("windDownS") or 0.0)
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]

    def _start(self, visit: str, number: int) -> None:
        task = Task(visit, number, self.world.jobs.get(visit.partition("/")[0], {}))
        refusal = self._refusal(task)
        self.tasks[visit, number] = task
        self.world.record(f"start: visit={visit} try={number} host={self.name} refused={refusal}")
        if refusal is not None:
            self._end(task, refusal)
            return
        task.timer = asyncio.create_task(self._run(task))

    def _refusal(self, task: Task) -> str | None:
        if not task.spec:
            return "no_such"
        live = [each for each in self.tasks.values() if each.state != "ended"]
        if any(each.visit == task.visit for each in live):
            return "busy"
        room = self.world.builds[self.build]
        for name in ("cores", "memoryGb"):
            if sum(each.spec[name] for each in [*live, task]) > room[name]:
                return "no_room"
        return None

    async def _run(self, task: Task) -> None:
        await asyncio.sleep(FETCH_S)
        if task.visit in self.world.results:
            self._end(task, "done")
        elif task.spec["shape"] == "sweep":
            self._set(task, "running")
            await asyncio.sleep(self.world.run_s[task.job])
            self._complete(task)
        else:
            self._set(task, "gathering")
            self._gather(task)
            await asyncio.sleep(self.world.workers["gang_wait_s"])
            self._end(task, "alone")

    def _gather(self, task: Task) -> None:
        """Starts the gang once its last task has its image."""
        gang = self.world.gang(task.job, task.number)
        if sum(each.state == "gathering" for _worker, each in gang) < task.spec["visits"]:
            return
        for worker, each in gang:
            worker.begin_gang_task(each)

    def begin_gang_task(self, task: Task) -> None:
        """Lets a task of a complete gang run; all of them are done together."""
        if task.timer is not None:
            task.timer.cancel()
        self._set(task, "running")
        task.timer = asyncio.create_task(self._run_gang(task))

    async def _run_gang(self, task: Task) -> None:
        await asyncio.sleep(self.world.run_s[task.job])
        for worker, each in self.world.gang(task.job, task.number):
            worker.complete_gang_task(each)
        self.world.on_done(task.job)

    def complete_gang_task(self, task: Task) -> None:
        """Ends a task of a gang that is done."""
        self._complete(task, is_gang=True)

    def _complete(self, task: Task, is_gang: bool = False) -> None:
        self.world.results.add(task.visit)
        self._end(task, "done")
        if not is_gang:
            self.world.on_done(task.job)

    def _break_gang(self, lost: Task) -> None:
        """The other tasks of a running gang notice that one has gone."""
        if lost.spec.get("shape") != "group" or lost.state != "running":
            return
        for worker, task in self.world.gang(lost.job, lost.number):
            worker.lose_peer(task)

    def lose_peer(self, task: Task) -> None:
        """Ends a task of a running gang some time after another one of it has gone."""

        async def end_later() -> None:
            await asyncio.sleep(self.world.workers["gang_peer_s"] / 2)
            self._end(task, "mates_gone")

        if task.timer is not None:
            task.timer.cancel()
        task.timer = asyncio.create_task(end_later())

    def _kill(self, task: Task, grace_s: float) -> None:
        if task.state == "ended":
            return
        saves = task.state == "running" and task.spec["snapshotS"] > 0 and grace_s >= task.spec["stashS"]
        if not saves:
            if task.state == "flushing" and grace_s > 0:
                return
            self._end(task, "halted")
            self._break_gang(task)
            return

        async def save() -> None:
            await asyncio.sleep(task.spec["stashS"])
            task.saved = True
            self._end(task, "halted")

        if task.timer is not None:
            task.timer.cancel()
        self._set(task, "flushing")
        task.timer = asyncio.create_task(save())

    def _end(self, task: Task, cause: str) -> None:
        if task.timer is not None and task.timer is not asyncio.current_task():
            task.timer.cancel()
        task.cause = cause
        self._set(task, "ended")

    def _set(self, task: Task, state: str) -> None:
        if task.state != state:
            task.state = state
            cause = f" cause={task.cause}" if state == "ended" else ""
            self.world.record(f"task: visit={task.visit} try={task.number} host={self.name} status={state}{cause}")
            self.changed.set()


@dataclass
class Kind:
    """A type, a zone, and whether machines are spot machines."""

    build: str
    zone: str
    spot: bool


class Cloud:
    """The cloud's API; `server` has its address.

    Attributes:
        capacity: Returns how many machines of a kind may exist at once.
        next_number: The number of the next machine's name.
    """

    def __init__(self, world: World, capacity: Callable[[Kind], int], first_number: int) -> None:
        self.world = world
        self.capacity = capacity
        self.next_number = first_number
        self.list_lag_s = 0.0
        self.bookings: dict[str, list[str]] = {}
        self.requested_at: dict[str, float] = {}
        self.deleted_at: dict[str, float] = {}
        self.kinds: dict[str, Kind] = {}
        self.boots: list[asyncio.Task[None]] = []
        self.server = Server(self.handle)

    def rent(self, kind: Kind, count: int, boot_s: float = BOOT_S) -> list[str]:
        """Creates machines, whose workers begin to report after `boot_s`."""
        names = []
        for _ in range(count):
            name = f"vm-{self.next_number:06d}"
            self.next_number += 1
            worker = Worker(self.world, name, kind.build, kind.zone, kind.spot)
            self.kinds[name], self.requested_at[name] = kind, time.monotonic()
            self.boots.append(asyncio.create_task(self._boot(worker, boot_s)))
            names.append(name)
        return names

    def add_at_start(self, kind: Kind) -> None:
        """Creates a machine that has been up for a while when the day begins."""
        (name,) = self.rent(kind, 1, boot_s=0.0)
        self.requested_at[name] -= 10 * self.list_lag_s

    async def _boot(self, worker: Worker, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if worker.name not in self.deleted_at:
            self.world.machines[worker.name] = worker
            await worker.start()

    async def handle(self, method: str, path: str, body: Any) -> Answer:
        """Answers one request."""
        parts = urlsplit(path)
        if parts.path == "/catalog":
            return Answer(200, {"builds": list(self.world.builds.values())})
        if parts.path == "/machines/delete":
            return self._delete(body["hosts"])
        if method == "POST":
            return self._create(body)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        return self._list(query.get("after", ""), int(query.get("page", "500")))

    def _create(self, body: dict[str, Any]) -> Answer:
        booking, kind = body["booking"], Kind(body["build"], body["district"], body["loaners"])
        if booking not in self.bookings:
            existing = sum(each == kind and name not in self.deleted_at for name, each in self.kinds.items())
            count = min(body["count"], 50, self.capacity(kind) - existing)
            self.world.record(f"rental: {kind} count={body['count']} granted={max(0, count)}")
            if count <= 0:
                return Answer(503, {"error": "no capacity"})
            self.bookings[booking] = self.rent(kind, count)
        return Answer(200, {"hosts": self.bookings[booking]})

    def _delete(self, names: list[str]) -> Answer:
        for name in names:
            if name in self.kinds and name not in self.deleted_at:
                self.world.record(f"machine deleted: host={name}")
                self.deleted_at[name] = time.monotonic()
                if name in self.world.machines:
                    self.world.machines[name].remove()
        return Answer(200, {})

    def _list(self, after: str, page: int) -> Answer:
        """Lists the machines as they were `list_lag_s` ago."""
        at = time.monotonic() - self.list_lag_s
        names = [
            name
            for name in sorted(self.kinds)
            if name > after and self.requested_at[name] <= at and self.deleted_at.get(name, at + 1) > at
        ]
        hosts = [self._listed(name, at) for name in names[:page]]
        return Answer(200, {"hosts": hosts, "hasNext": len(names) > page})

    def _listed(self, name: str, at: float) -> dict[str, Any]:
        kind, worker = self.kinds[name], self.world.machines.get(name)
        status = "starting" if worker is None else "running"
        if worker is not None and worker.stopped and at - worker.stopped_at > LISTED_AS_RUNNING_S:
            status = "failed"
        return {
            "id": name,
            "address": "" if worker is None else worker.server.address,
            "build": kind.build,
            "district": kind.zone,
            "loaners": kind.spot,
            "status": status,
            "heldS": at - self.requested_at[name],
        }
