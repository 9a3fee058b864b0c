"""Stand-ins for the cloud and for the workers on its machines (PROTOCOL)."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from httpd import Connection, serve

Reply = tuple[int, Any]
Record = Callable[[str], None]
MAX_INSTANCES_PER_REQUEST = 50
ANSWER_TIMEOUT_S = 4.0
MIN_REPORT_PAUSE_S = 0.5


@dataclass
class Timing:
    """The times of `deployment.workers`, and how long fetches take."""

    report_s: float
    lease_s: float
    fetch_s: float = 0.5
    # How long a faulty machine runs a task before it fails.
    fail_s: float = 0.5


@dataclass
class Kind:
    """A kind of machine: its type in the catalog, its zone, whether it is a spot machine."""

    build: dict[str, Any]
    zone: str
    spot: bool


@dataclass
class Task:
    """A task on a machine."""

    name: str
    attempt: int
    status: str = "fetching"
    cause: str | None = None
    runner: asyncio.Task[None] | None = None


@dataclass
class Jobs:
    """The jobs that users uploaded, with the true run time of a task, and what ran."""

    specs: dict[str, dict[str, Any]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)
    started: Counter[str] = field(default_factory=Counter)
    finished: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)


@dataclass
class World:
    """What all workers share: the ports of the controllers, the times, the jobs and the record."""

    nodes: dict[str, int]
    timing: Timing
    jobs: Jobs
    record: Record


class Worker:
    """The agent of one machine: reports, executes commands, and drops its tasks when its lease is over."""

    def __init__(self, name: str, kind: Kind, world: World) -> None:
        self.name, self.kind = name, kind
        self.timing, self.jobs, self.record, self.nodes = world.timing, world.jobs, world.record, world.nodes
        self.port = 0
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.node = sorted(self.nodes)[hash(name) % len(self.nodes)]
        self.connection: Connection | None = None
        self.lease_from = time.monotonic()
        self.changed = asyncio.Event()
        self.loops: list[asyncio.Task[None]] = []
        self.server: asyncio.Server | None = None
        # Whether the machine fails every task that it starts.
        self.sick = False

    async def start(self) -> None:
        """Begins to serve commands, on a free port, and to report."""
        self.lease_from = time.monotonic()
        self.server = await serve(0, self.handle)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.loops = [asyncio.create_task(self._report_forever()), asyncio.create_task(self._expire_forever())]

    def stop(self) -> None:
        """Ends the machine with all that is on it."""
        for loop in self.loops:
            loop.cancel()
        if self.server is not None:
            self.server.close()
        if self.connection is not None:
            self.connection.close()
        for task in self.tasks.values():
            if task.runner is not None:
                task.runner.cancel()
        self.tasks.clear()

    # -- reports

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.tally += 1
        visits = []
        for task in self.tasks.values():
            visit = {"visit": task.name, "try": task.attempt, "status": task.status}
            if task.cause is not None:
                visit["cause"] = task.cause
            visits.append(visit)
        return {
            "host": self.name,
            "address": f"127.0.0.1:{self.port}",
            "build": self.kind.build["name"],
            "district": self.kind.zone,
            "loaners": self.kind.spot,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "warningS": None,
            "visits": visits,
        }

    async def _report_forever(self) -> None:
        while True:
            pause_s = await self._report()
            self.changed.clear()
            await asyncio.sleep(min(pause_s, MIN_REPORT_PAUSE_S))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.01, pause_s - MIN_REPORT_PAUSE_S))

    async def _report(self) -> float:
        """Sends one report; returns the pause before the next one."""
        if self.connection is None:
            self.connection = Connection(self.nodes[self.node])
        sent_at, shift = time.monotonic(), self.shift
        reply = await self.connection.request("POST", "/agent/beat", self.report(), ANSWER_TIMEOUT_S)
        if reply is not None and reply[0] == 200:
            if shift == self.shift and reply[1].get("baton", -1) >= self.baton:
                self.baton = reply[1]["baton"]
                self.lease_from = sent_at
                self.execute(reply[1].get("orders") or [])
            return self.timing.report_s
        self.connection.close()
        self.connection = None
        target = (reply[1] or {}).get("foreman") if reply is not None and reply[0] == 421 else None
        if target in self.nodes and target != self.node:
            self.node = target
            return 0.1
        names = sorted(self.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        return 1.0

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.timing.lease_s:
                if self.tasks:
                    self.record(f"{self.name} lease over, drops {len(self.tasks)} tasks")
                for task in self.tasks.values():
                    if task.runner is not None:
                        task.runner.cancel()
                self.tasks.clear()
                self.shift += 1
                self.lease_from = time.monotonic()
                self.changed.set()

    # -- commands

    async def handle(self, method: str, path: str, _query: dict[str, str], body: Any) -> Reply:
        """Answers a direct command or an inspection."""
        if method == "GET":
            return 200, self.report()
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "field missing"}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.baton = body["baton"]
        self.execute(body.get("orders") or [])
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Executes commands in order."""
        for order in orders:
            key = (order["visit"], order["try"])
            if order["verb"] == "start" and key not in self.tasks:
                self._start(*key)
            elif order["verb"] == "kill" and key in self.tasks:
                self._end(self.tasks[key], "halted")
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key].status == "ended":
                del self.tasks[key]

    def _start(self, name: str, attempt: int) -> None:
        task = self.tasks[name, attempt] = Task(name, attempt)
        spec = self.jobs.specs.get(name.rpartition("/")[0])
        if spec is None:
            self._end(task, "no_such")
        elif any(each.name == name and each.status != "ended" for each in self.tasks.values() if each is not task):
            self._end(task, "busy")
        else:
            task.runner = asyncio.create_task(self._run(task, spec))
        self.changed.set()

    async def _run(self, task: Task, spec: dict[str, Any]) -> None:
        if spec["kit"] not in self.images:
            await asyncio.sleep(self.timing.fetch_s)
            self.images.add(spec["kit"])
        task.status = "running"
        self.jobs.started[spec["id"]] += 1
        self.changed.set()
        if self.sick:
            await asyncio.sleep(self.timing.fail_s)
            self.record(f"{self.name} fails {task.name}, attempt {task.attempt}")
            self.jobs.failed[spec["id"]] += 1
            self._end(task, "error")
            return
        await asyncio.sleep(self.jobs.run_s[spec["id"]])
        self.jobs.finished[spec["id"]] += 1
        self._end(task, "done")

    def _end(self, task: Task, cause: str) -> None:
        if task.status != "ended":
            task.status, task.cause = "ended", cause
            if task.runner is not None and task.runner is not asyncio.current_task():
                task.runner.cancel()
            self.changed.set()


@dataclass
class Instance:
    """A rented machine; `worker` is set once it is up."""

    kind: Kind
    rented_at: float
    worker: Worker | None = None


class Cloud:
    """The cloud: rents machines up to a number of each kind, lists and deletes them."""

    def __init__(self, kinds: list[tuple[Kind, int]], make_worker: Callable[[str, Kind], Worker]) -> None:
        self.kinds, self.make_worker = kinds, make_worker
        self.instances: dict[str, Instance] = {}
        self.bookings: dict[str, list[str]] = {}
        self.count = 0
        self.boots: set[asyncio.Task[None]] = set()

    def rent(self, kind: Kind, boot_s: float) -> str:
        """Rents one machine, which is up after `boot_s`."""
        self.count += 1
        name = f"vm-{self.count:06d}"
        instance = self.instances[name] = Instance(kind, time.monotonic())
        boot = asyncio.create_task(self._boot(name, instance, boot_s))
        self.boots.add(boot)
        boot.add_done_callback(self.boots.discard)
        return name

    async def _boot(self, name: str, instance: Instance, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if name in self.instances:
            instance.worker = self.make_worker(name, instance.kind)
            await instance.worker.start()

    def _find(self, body: dict[str, Any]) -> tuple[Kind, int] | None:
        return next(
            (
                (kind, most)
                for kind, most in self.kinds
                if (kind.build["name"], kind.zone, kind.spot) == (body["build"], body["district"], body["loaners"])
            ),
            None,
        )

    async def handle(self, method: str, path: str, query: dict[str, str], body: Any) -> Reply:
        """Answers one request of a controller."""
        if path == "/catalog":
            builds = {kind.build["name"]: kind.build for kind, _ in self.kinds}
            return 200, {"builds": list(builds.values())}
        if path == "/machines/delete":
            for name in body["hosts"]:
                instance = self.instances.pop(name, None)
                if instance is not None and instance.worker is not None:
                    instance.worker.stop()
            return 200, {}
        if method == "POST":
            return self._create(body)
        return self._list(query)

    def _create(self, body: Any) -> Reply:
        if body["booking"] in self.bookings:
            return 200, {"hosts": self.bookings[body["booking"]]}
        found = self._find(body)
        held = sum(instance.kind is found[0] for instance in self.instances.values()) if found else 0
        count = min(body["count"], MAX_INSTANCES_PER_REQUEST, found[1] - held) if found else 0
        if found is None or count <= 0:
            return 503, {"error": "no capacity"}
        names = self.bookings[body["booking"]] = [self.rent(found[0], found[0].build["readyS"]) for _ in range(count)]
        return 200, {"hosts": names}

    def _list(self, query: dict[str, str]) -> Reply:
        page = min(int(query.get("page", "500")), 500)
        names = [name for name in sorted(self.instances) if name > query.get("after", "")]
        now = time.monotonic()
        hosts = [
            {
                "id": name,
                "address": f"127.0.0.1:{instance.worker.port}" if instance.worker is not None else "",
                "build": instance.kind.build["name"],
                "district": instance.kind.zone,
                "loaners": instance.kind.spot,
                "status": "running" if instance.worker is not None else "starting",
                "heldS": now - instance.rented_at,
            }
            for name, instance in ((name, self.instances[name]) for name in names[:page])
        ]
        return 200, {"hosts": hosts, "hasNext": len(names) > page}

    def workers(self) -> list[Worker]:
        """The workers of the machines that are up."""
        return [instance.worker for instance in self.instances.values() if instance.worker is not None]
