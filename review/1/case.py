"""All controllers crash and come back together, in a deployment that has served for a day (see claim.txt)."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from cluster import Cluster, Recorder, free_ports  # noqa: E402
from fleet import Cloud, Jobs, Kind, Timing, Worker  # noqa: E402
from httpd import serve  # noqa: E402
from state import Limits, StateService  # noqa: E402

# Fjordvik submits 7.7 + 3.1 + 18 jobs a minute (BRIEF): this many a day, each of which has to stay known.
FINISHED_JOBS = int(os.environ.get("FINISHED_JOBS", "41472"))
# "back about 6 s after an end" (BRIEF).
BACK_AFTER_S = 6.0
# "a job about which no question is answered for 75 s counts as forgotten" (hunt/LATER.md).
FORGOTTEN_AFTER_S = 75.0
POLL_EVERY_S = 2.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
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


def submission(name: str, tasks: int) -> dict[str, object]:
    """A job of the class credit-check."""
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
    }


class Case:
    """The deployment and the course of the case."""

    def __init__(self) -> None:
        self.record = Recorder(HERE / "record.txt")
        ports = iter(free_ports(60))
        deployment = (HERE.parent / "standins" / "fjordvik.toml").read_text(encoding="utf-8")
        self.cluster = Cluster(["akureyri", "reykjavik", "keflavik"], deployment, lambda: next(ports), self.record)
        self.state = StateService(Limits(rps=60.0, write_rps=20.0, value_kb=16.0, txn_ops=12))
        self.jobs = Jobs()
        timing = Timing(report_s=1.0, lease_s=12.0)
        self.kinds = [(Kind(LUNDI, zone, True), 4) for zone in ("reykjavik", "keflavik")]

        def make_worker(name: str, kind: Kind) -> Worker:
            return Worker(name, kind, self.cluster.ports, timing, self.jobs, self.record)

        self.cloud = Cloud(self.kinds, make_worker, lambda: next(ports))

    async def start(self) -> bool:
        """Starts the services and the controllers, one after the other; returns whether all are healthy."""
        now_ms = int(time.time() * 1000)
        day_ms = 24 * 3600 * 1000
        self.state.preload(
            {
                f"s1/j/wk-{number:06d}": {"s": "done", "n": 36, "t": now_ms - day_ms + number}
                for number in range(1, FINISHED_JOBS + 1)
            }
        )
        await serve(self.cluster.state_port, self.state.handle)
        await serve(self.cluster.cloud_port, self.cloud.handle)
        self.expiry = asyncio.create_task(self.state.expire_forever())
        for kind, _ in self.kinds:
            self.cloud.rent(kind, 0.1)
        for member in self.cluster.nodes:
            self.cluster.start(member)
            if not await self.cluster.wait_ready(member, 15.0):
                return False
        return True

    async def submit(self, name: str, tasks: int, run_s: float) -> bool:
        """Uploads and submits a job; returns whether it was accepted."""
        spec = submission(name, tasks)
        self.jobs.specs[name], self.jobs.run_s[name] = spec, run_s
        return await self.cluster.submit(spec)

    async def ask(self, name: str) -> str | None:
        """Asks all controllers about a job; returns the status that one of them answers, or None."""
        answers = await self.cluster.poll(name)
        shown = {member: answer and (answer[0], (answer[1] or {}).get("status")) for member, answer in answers.items()}
        self.record(f"user: GET {name}: {shown}")
        return next((answer[1]["status"] for answer in answers.values() if answer is not None and answer[0] == 200), None)

    async def wait_done(self, name: str, timeout_s: float) -> bool:
        """Asks about a job until it is done; returns whether it was in time."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.ask(name) == "done":
                return True
            await asyncio.sleep(1.0)
        return False

    async def crash(self) -> None:
        """Kills all controllers, and starts each of them again after the time that the brief names."""
        for member in self.cluster.nodes:
            self.cluster.kill(member)
        await asyncio.sleep(BACK_AFTER_S)
        for member in self.cluster.nodes:
            self.cluster.start(member)

    async def run(self) -> int:
        """Plays the case; returns the exit status."""
        if not await self.start():
            return 2
        old = f"wk-{FINISHED_JOBS // 2:06d}"
        if not await self.submit("wk-900001", 4, 2.0) or not await self.wait_done("wk-900001", 15.0):
            return 2
        if await self.ask(old) != "done" or not await self.submit("wk-900002", 4, 10.0):
            return 2
        await asyncio.sleep(3.0)
        if TROUBLE:
            await self.crash()
        self.record("the trouble is over")
        unanswered_since = time.monotonic()
        ends_at = unanswered_since + FORGOTTEN_AFTER_S + 1.0
        answered = 0
        while time.monotonic() < ends_at:
            asked_at = time.monotonic()
            statuses = [await self.ask("wk-900002"), await self.ask(old)]
            if None not in statuses:
                answered += 1
                if statuses == ["done", "done"] and answered >= 3:
                    self.record("both jobs are answered, the accepted one is done: the rule held")
                    return 0
            await asyncio.sleep(max(0.0, POLL_EVERY_S - (time.monotonic() - asked_at)))
        self.record(f"rounds of questions that were answered: {answered}")
        self.record(f"answers of the state service: {dict(self.state.answers)}")
        return 1 if not answered else 2


async def main() -> int:
    """Runs the case and ends all processes."""
    case = Case()
    try:
        status = await case.run()
        case.record(f"answers of the state service: {dict(case.state.answers)}")
        case.record(f"exit {status}")
        return status
    finally:
        for worker in case.cloud.workers():
            worker.stop()
        case.cluster.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
