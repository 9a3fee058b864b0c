"""A small Fjordvik deployment: the services around three controllers, and what users do."""

from __future__ import annotations

import asyncio
import signal
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cluster import Cluster, Recorder, free_ports
from fleet import Cloud, Jobs, Kind, Timing, Worker, World
from httpd import serve
from state import Limits, StateService

ZONES = ["akureyri", "reykjavik", "keflavik"]
LUNDI = {
    "name": "lundi",
    "cores": 32,
    "accelerators": 0,
    "memoryGb": 128,
    "cacheGb": 25,
    "fetchGbPerS": 0.5,
    "rate": 1.25,
    "marketPrice": 0.33,
    "readyS": 20,
    "districts": ["reykjavik", "keflavik"],
}
START_TIMEOUT_S = 15.0
# The exit status of a case that found its rule broken; Python itself exits with 1 for a fault of the case.
BROKEN = 10


def submission(name: str, tasks: int, **fields: Any) -> dict[str, Any]:
    """A job of the class credit-check (BRIEF), with other fields where they are given."""
    return {
        "id": name,
        "roster": "credit-check",
        "crew": "risk",
        "shape": "sweep",
        "urgency": "standard",
        "visits": tasks,
        "cores": 1.0,
        "accelerators": 0,
        "memoryGb": 2.1,
        "kit": "img-01",
        "pullGb": 1.8,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "expectedS": 15.0,
        "snapshotS": 0,
        "stashS": 0,
        "dueS": 120.0,
        **fields,
    }


class Deployment:
    """The state service, the cloud with its workers, and three controllers."""

    def __init__(self, record_path: Path, machines_per_zone: int, most_per_zone: int, zones: int = 2) -> None:
        self.record = Recorder(record_path)
        ports = iter(free_ports(10))
        settings = (Path(__file__).resolve().parent / "fjordvik.toml").read_text(encoding="utf-8")
        self.cluster = Cluster(ZONES, settings, lambda: next(ports), self.record)
        self.state = StateService(Limits(rps=60.0, write_rps=20.0, value_kb=16.0, txn_ops=12))
        self.jobs = Jobs()
        self.machines_per_zone = machines_per_zone
        self.tasks: list[asyncio.Task[None]] = []
        world = World(self.cluster.ports, Timing(report_s=1.0, lease_s=12.0), self.jobs, self.record)

        def make_worker(name: str, kind: Kind) -> Worker:
            return Worker(name, kind, world)

        kinds = [(Kind(LUNDI, zone, True), most_per_zone) for zone in LUNDI["districts"][:zones]]
        self.cloud = Cloud(kinds, make_worker)

    def rent(self) -> None:
        """Adds the machines that are up at the start."""
        for kind, _ in self.cloud.kinds:
            for _ in range(self.machines_per_zone):
                self.cloud.rent(kind, 0.1)

    async def start(self, machines_last: bool = False) -> bool:
        """Starts the services and the controllers, one after the other; returns whether all are healthy.

        With `machines_last` the machines come up once the controllers are healthy.
        """
        await serve(self.cluster.state_port, self.state.handle)
        await serve(self.cluster.cloud_port, self.cloud.handle)
        self.tasks.append(asyncio.create_task(self.state.expire_forever()))
        if not machines_last:
            self.rent()
        for member in self.cluster.nodes:
            self.cluster.start(member)
            if not await self.cluster.wait_ready(member, START_TIMEOUT_S):
                return False
        if machines_last:
            self.rent()
        return True

    async def submit(self, spec: dict[str, Any], run_s: float) -> bool:
        """Uploads and submits a job; returns whether it was accepted."""
        self.jobs.specs[spec["id"]], self.jobs.run_s[spec["id"]] = spec, run_s
        return await self.cluster.submit(spec)

    async def ask(self, name: str) -> str | None:
        """Asks all controllers about a job; returns the status that one of them answers, or None."""
        answers = await self.cluster.poll(name)
        shown = {member: answer and (answer[0], (answer[1] or {}).get("status")) for member, answer in answers.items()}
        self.record(f"user: GET {name}: {shown}")
        found = [answer[1]["status"] for answer in answers.values() if answer is not None and answer[0] == 200]
        return "done" if "done" in found else next(iter(found), None)

    async def wait_done(self, name: str, timeout_s: float) -> bool:
        """Asks about a job until it is done; returns whether it was in time."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.ask(name) == "done":
                return True
            await asyncio.sleep(1.0)
        return False

    def close(self) -> None:
        """Ends the machines and all processes, and completes the record."""
        self.record(f"tasks that started, by job: {dict(self.jobs.started)}")
        self.record(f"tasks that completed, by job: {dict(self.jobs.finished)}")
        self.record(f"answers of the state service: {dict(self.state.answers)}")
        for worker in self.cloud.workers():
            worker.stop()
        for task in self.tasks:
            task.cancel()
        self.cluster.close()


def play(deployment: Deployment, course: Callable[[Deployment], Awaitable[int]]) -> int:
    """Plays the course of a case and ends all processes.

    Returns:
        0 if the rule held, `BROKEN` if the course returns 1, and 2 if it could not be played to its end.
    """

    async def run() -> int:
        try:
            status = await course(deployment)
        except Exception:
            deployment.record(traceback.format_exc())
            status = 2
        finally:
            deployment.close()
        deployment.record(f"exit {status}")
        return status

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = asyncio.run(run())
        return BROKEN if status == 1 else status
    except KeyboardInterrupt:
        return 2
