"""Runs one case: starts the state service, the cloud and three controllers on loopback, and records what happens.

The settings are those of a small deployment, with the figures of Cuidamos on the coast.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

from fleet import Cloud, Kind, Worker, World
from httpkit import HOST, Answer, Connection, NoAnswerError
from state import StateService

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("puntarenas", "guanacaste")
MEMBERS = ("worker-0", "worker-1", "worker-2")
WORKERS = {"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 36.0}
LIST_LAG_S = 6.0
# A controller that ended is back after this time.
BACK_S = 3.0
BUILD = {"accelerators": 0, "cacheGb": 60.0, "fetchGbPerS": 0.5, "districts": list(ZONES)}
BUILDS: dict[str, dict[str, Any]] = {
    "cas": {"name": "cas", "cores": 8, "memoryGb": 32, "rate": 0.37, "marketPrice": 0.11, "readyS": 25, **BUILD},
    "mamon": {"name": "mamon", "cores": 32, "memoryGb": 64, "rate": 1.3, "marketPrice": 0.33, "readyS": 30, **BUILD},
}
TEAMS = {"terapia": (400.0, 1200.0), "calidad": (12.0, 30.0)}

HEAD = """member = "{member}"
zone = "{zone}"
bind = "{bind}"
mesh_addr = "{mesh}"
{siblings}
[outside]
cloud = "{cloud}"
state = "{state}"
[deployment]
count = 3
zones = ["puntarenas", "guanacaste"]
clock_error_ms = 100.0
{teams}
[deployment.workers]
{workers}
[deployment.state]
rps = 100.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 16
[deployment.cloud]
rps = 6.0
list_lag_s = 6.0
[deployment.machine_limits]
cores = 0.18
memory_mb = 106.0
fd_limit = 600
"""


def first_number(*owners: int) -> int:
    """Picks the number of the first machine, so that the machines that follow have given owners.

    The cloud names machines in the order of their creation and may begin anywhere. A controller owns a machine by a
    hash of both names, so any pattern of owners is found among few numbers.

    Args:
        owners: For each machine in turn, a label; machines with the same label have the same owner, others differ.
    """
    for number in range(231, 100_000):
        names = [f"vm-{number + index:06d}" for index in range(len(owners))]
        found = [
            max((blake2b(f"{name}|{each}".encode(), digest_size=8).digest(), each) for each in MEMBERS)
            for name in names
        ]
        members = [member for _hash, member in found]
        if len({*zip(owners, members, strict=True)}) == len(set(owners)) == len(set(members)):
            return number
    raise NotRunError("no names")


class NotRunError(Exception):
    """The case could not run."""


def free_addresses(count: int) -> list[str]:
    """Loopback addresses with ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    addresses = [f"{HOST}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


class Lab:
    """The processes and stand-ins of one case."""

    def __init__(self, folder: Path, capacity: Callable[[Kind], int], first_number: int) -> None:
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._scratch = tempfile.TemporaryDirectory()
        self.binds = dict(zip(MEMBERS, free_addresses(3), strict=True))
        self.meshes = dict(zip(MEMBERS, free_addresses(3), strict=True))
        self.world = World(self.record, self.binds, WORKERS, BUILDS)
        self.cloud = Cloud(self.world, capacity, first_number)
        self.cloud.list_lag_s = LIST_LAG_S
        # The machines that are up when the controllers start.
        self.up_at_start: list[Kind] = []
        self.state = StateService(value_kb=16.0, txn_ops=16)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.connections: dict[str, Connection] = {}
        self.statuses: dict[str, dict[str, Any]] = {}

    def record(self, text: str) -> None:
        """Writes one line of the record, with the time since the start."""
        self._file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self._file.flush()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    # -- processes

    async def start(self) -> None:
        """Starts the services and the controllers, and waits until one of them is healthy."""
        await self.state.start()
        await self.cloud.server.start()
        for kind in self.up_at_start:
            self.cloud.add_at_start(kind)
        for member in MEMBERS:
            self._settings_file(member).write_text(self._settings(member), encoding="utf-8")
            await self.start_controller(member)
        await self.wait_for(self._all_healthy, 25.0, "controllers healthy")

    def _settings_file(self, member: str) -> Path:
        return Path(self._scratch.name) / f"{member}.toml"

    def _settings(self, member: str) -> str:
        siblings = "".join(
            f'[[siblings]]\nmember = "{each}"\nzone = "{self.zone_of(each)}"\naddress = "{self.meshes[each]}"\n'
            for each in MEMBERS
            if each != member
        )
        teams = "".join(
            f'[[deployment.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {limit}\ngpus = 0.0\ngpus_max = 0.0\n'
            for name, (cpus, limit) in TEAMS.items()
        )
        return HEAD.format(
            member=member,
            zone=self.zone_of(member),
            bind=self.binds[member],
            mesh=self.meshes[member],
            siblings=siblings,
            cloud=self.cloud.server.address,
            state=self.state.server.address,
            teams=teams,
            workers="\n".join(f"{name} = {value}" for name, value in WORKERS.items()),
        )

    @staticmethod
    def zone_of(member: str) -> str:
        """The zone of a controller."""
        return ZONES[MEMBERS.index(member) % len(ZONES)]

    async def start_controller(self, member: str) -> None:
        """Starts a controller with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))["run"].split()
        with (Path(self._scratch.name) / f"{member}.log").open("ab") as log:
            self.processes[member] = await asyncio.create_subprocess_exec(
                *command, str(self._settings_file(member)), cwd=ROOT, stderr=log, stdout=log
            )
        self.record(f"controller starts: member={member} pid={self.processes[member].pid}")

    async def kill_controller(self, member: str, back_s: float | None = BACK_S) -> None:
        """Kills a controller; it is started again after `back_s`."""
        self.processes[member].send_signal(signal.SIGKILL)
        await self.processes[member].wait()
        self.record(f"controller killed: member={member}")
        if back_s is not None:
            await asyncio.sleep(back_s)
            await self.start_controller(member)

    async def close(self) -> None:
        """Ends everything that was started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for worker in self.world.machines.values():
            worker.remove()
        self.cloud.server.close()
        self.state.server.close()
        for member in MEMBERS:
            log = Path(self._scratch.name) / f"{member}.log"
            if log.exists():
                text = log.read_text(encoding="utf-8", errors="replace").replace(self._scratch.name, "TMP")
                self._file.write(f"-- log of {member}\n{text.replace(str(ROOT), 'ROOT')}")
        self._file.close()
        self._scratch.cleanup()

    # -- waiting

    async def wait_for(self, check: Callable[[], Awaitable[bool]], limit_s: float, what: str) -> None:
        """Waits until a check passes.

        Raises:
            NotRunError: It did not pass in time.
        """
        ends_at = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > ends_at:
                raise NotRunError(what)
            await asyncio.sleep(0.1)

    async def wait_for_running(self, job: str, machines: int) -> None:
        """Waits until tasks of the job run on so many machines at once.

        Raises:
            NotRunError: They do not within half a minute.
        """

        async def check() -> bool:
            return len(self.world.running(job)) >= machines

        await self.wait_for(check, 30.0, f"{job} runs")

    def machine_of(self, visit: str) -> Worker:
        """The machine that reports a task."""
        return next(
            worker
            for worker in self.world.machines.values()
            if any(task.visit == visit for task in worker.tasks.values())
        )

    async def _all_healthy(self) -> bool:
        for member in MEMBERS:
            try:
                answer = await self.connection(member).request("GET", "/healthz", timeout_s=1.0)
            except NoAnswerError:
                return False
            if answer.status != 200:
                return False
        return True

    # -- users

    def connection(self, member: str) -> Connection:
        """The users' connection to a controller."""
        return self.connections.setdefault(member, Connection(self.binds[member]))

    async def ask(self, method: str, path: str, body: Any = None, timeout_s: float = 5.0) -> Answer | None:
        """Sends a user's request to the first controller that answers it with other than 503; None if none does."""
        for member in MEMBERS:
            try:
                answer = await self.connection(member).request(method, path, body, timeout_s)
            except NoAnswerError:
                continue
            if answer.status not in (429, 503, 504):
                return answer
        return None

    async def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Submits a job, again after a second, for up to a minute, until it is accepted.

        Raises:
            NotRunError: It was not accepted.
        """
        self.world.jobs[job["id"]], self.world.run_s[job["id"]] = job, run_s
        ends_at = time.monotonic() + 60.0
        while time.monotonic() < ends_at:
            answer = await self.ask("POST", "/submissions", job)
            if answer is not None:
                self.record(f"submission: {job} answer={answer.status} {answer.body}")
                if answer.status in (200, 201):
                    return
                raise NotRunError(f"submission of {job['id']}: {answer.status}")
            await asyncio.sleep(1.0)
        raise NotRunError(f"submission of {job['id']}")

    async def poll(self, job: str) -> dict[str, Any]:
        """Asks for the status of a job; returns the last known one if no controller answers now."""
        answer = await self.ask("GET", f"/submissions/{job}", timeout_s=2.0)
        if answer is not None and answer.status == 200 and answer.body != self.statuses.get(job):
            self.statuses[job] = answer.body
            self.record(f"poll: {answer.body}")
        return self.statuses.get(job, {"status": "queued", "done": 0})

    async def is_done(self, job: str) -> bool:
        """Whether a poll says that the job is done."""
        return (await self.poll(job))["status"] == "done"

    async def is_done_by(self, job: str, at_s: float) -> bool:
        """Polls until the job is done or the time since the start is over."""
        while not await self.is_done(job):
            if self.now() > at_s:
                return False
            await asyncio.sleep(1.0)
        return True


def submission(number: int, **fields: Any) -> dict[str, Any]:
    """A submission with the figures of the class `circuit-solve`, except for the given fields."""
    job = {
        "id": f"wk-{number:06d}",
        "roster": "circuit-solve",
        "crew": "terapia",
        "shape": "group",
        "urgency": "standard",
        "visits": 1,
        "cores": 30.0,
        "accelerators": 0,
        "memoryGb": 51.0,
        "kit": "img-01",
        "pullGb": 0.1,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "loaners": False,
        "expectedS": 20.0,
        "snapshotS": 60.0,
        "stashS": 2.0,
        "dueS": None,
    }
    return job | fields


def main(
    folder: Path,
    body: Callable[[Lab], Awaitable[int]],
    capacity: Callable[[Kind], int],
    first_number: int,
    up_at_start: tuple[Kind, ...] = (),
) -> None:
    """Runs a case and exits with its result."""

    async def run() -> int:
        lab = Lab(folder, capacity, first_number)
        lab.up_at_start = list(up_at_start)
        try:
            async with asyncio.timeout(116.0):
                await lab.start()
                result = await body(lab)
        except (NotRunError, TimeoutError) as error:
            lab.record(f"not run: {error!r}")
            result = NOT_RUN
        finally:
            await lab.close()
        return result

    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
