"""Tests of a controller's HTTP exchanges, byte by byte.

They cover its answers, and its requests to the state service, the cloud and workers. The literals in frozen/http.json
never change; the Python names used here may.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from sloeswitch import wire
from sloeswitch.actors.commands import CommandSender
from sloeswitch.actors.context import ControllerContext
from sloeswitch.actors.job_messages import ClaimRequest
from sloeswitch.actors.leadership import Leadership
from sloeswitch.actors.machine_messages import HeartbeatRequest
from sloeswitch.actors.membership import Membership
from sloeswitch.actors.users import Users
from sloeswitch.cloud import CloudClient
from sloeswitch.core.cancellation_log import CancellationLog
from sloeswitch.core.machine import AttemptKey, Machine
from sloeswitch.core.machine_registry import MachineRegistry
from sloeswitch.core.quota import ResourceAmount
from sloeswitch.core.reconciliation import ReceivedReport, reconcile
from sloeswitch.core.tables import Tables
from sloeswitch.core.transaction import Transaction
from sloeswitch.http import Server
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.replica import Replica
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from tests.conftest import Store
from tests.support.clock import Clock
from tests.support.single_controller import World

FOLDER = Path(__file__).parent / "frozen"
FROZEN: dict[str, Any] = json.loads((FOLDER / "http.json").read_text())
SETTINGS: str = json.loads((FOLDER / "settings.json").read_text())["settings"]["text"]
NOW = 1_700_000_000.0


class Stream:
    """An in-memory connection that returns the given bytes once and records what is sent."""

    def __init__(self, received: bytes = b"") -> None:
        self.received = received
        self.sent = b""

    async def receive(self, _max_bytes: int = 65536) -> bytes:
        received, self.received = self.received, b""
        if not received:
            raise anyio.EndOfStream
        return received

    async def send(self, data: bytes) -> None:
        self.sent += data

    async def aclose(self) -> None:
        pass


# -- answers of a controller


class ServingController:
    """One controller behind its HTTP server, with a scripted state service."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(Clock, "wall_clock_ms", lambda _clock: int(NOW * 1000))
        store = Store()
        for key, value in FROZEN["stored before"].items():
            store.put(key, value)
        self.world = World(store, SETTINGS)
        world = self.world
        world.machines.ask = self.ask  # type: ignore[method-assign, assignment]
        users = Users(world.context, world.jobs, world.machines)
        self.server = Server(
            users.handle, idle_timeout_s=60, request_timeout_s=60, max_connections=4, now=world.clock.now
        )

    async def ask(self, message: HeartbeatRequest) -> Any:
        """Runs the machines' actor at once; every report counts as a receipt for the previous answer."""
        message.last_answer_received = True
        await self.world.machines.handle(message)
        return message.answer

    def exchange(self, request: str) -> str:
        """Sends one request over a new connection and returns the answer."""
        stream: Any = Stream(request.encode())
        anyio.run(self.server.serve, stream)
        sent: bytes = stream.sent
        return sent.decode()


# Events in the controller between requests, by their names in the frozen file.
STEPS: dict[str, Callable[[World], Any]] = {
    "claim": lambda world: world.commit_and_place(
        ClaimRequest(task_counts={"wk-000412": 2}, quota_increases={"red": ResourceAmount(4.0, 0.0)})
    ),
    "stop what is cancelled": lambda world: world.machines.cancelled_tasks.stop_all(),
    "another controller": lambda world: world.store.view(4, ("c0", 1), ("c1", 2)),
    "nothing read": lambda world: setattr(world.replica, "loaded", False),
}


def test_every_step_is_frozen() -> None:
    steps = {
        request for session in FROZEN["sessions"].values() for request, answer in session["exchanges"] if not answer
    }
    assert steps == set(STEPS)


@pytest.mark.parametrize("name", FROZEN["sessions"])
def test_the_answers_of_a_controller_are_unchanged(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Compares the whole answer to each request of a session, and the stored rows at its end."""
    server_side = ServingController(monkeypatch)
    for request, answer in FROZEN["sessions"][name]["exchanges"]:
        if request in STEPS:
            STEPS[request](server_side.world)
        else:
            assert server_side.exchange(request) == answer, request
    rows = {key: value for key, (value, _stamp) in server_side.world.store.rows.items()}
    assert wire.encode(rows).decode() == FROZEN["sessions"][name]["stored"]


# -- requests of a controller


class RequestingController:
    """The clients of one controller; all their connections lead to one scripted peer."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answers: list[tuple[int, str]]) -> None:
        self.answers = list(answers)
        self.streams: list[Stream] = []
        monkeypatch.setattr(anyio, "connect_tcp", self.connect)
        self.settings = settings = parse(SETTINGS.replace("rps = 2.0", "rps = 1000.0"))
        self.tables = Tables(CancellationLog(9, 7))
        self.client = StateClient(settings, lambda: 1, self.now)
        self.replica = Replica(self.client, self.tables, self.now)
        self.replica.read_linearizable = self.read_nothing  # type: ignore[method-assign]
        self.leadership = Leadership(settings, self.tables, self.replica, self.now)
        context = ControllerContext(settings, self.client, self.replica, self.leadership, Clock())
        self.membership = Membership(context)
        self.cloud = CloudClient(settings, lambda: True, self.now)
        self.replies: list[Any] = []
        registry = MachineRegistry()
        self.machine = registry.add_machine(
            Machine("vm-000231", "10.1.0.232:9000", "g8", "a", True, owned_since_token=3, lease_expires_at=9e9)
        )
        self.commands = CommandSender(context, registry, lambda *_: None, self.replies.append)
        # Even in-memory exchanges may take long on a busy machine.
        self.client.timeout_s = self.cloud.timeout_s = self.commands.timeout_s = 60.0

    @staticmethod
    def now() -> float:
        return 1000.0

    async def read_nothing(self, timeout_s: float) -> None:
        """Replaces the read of the latest revision, as if everything was read already."""

    async def connect(self, host: str, port: int) -> Any:
        status, body = self.answers.pop(0)
        head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        self.streams.append(Stream((head + body).encode()))
        self.streams[-1].sent = f"{host}:{port} ".encode()
        return self.streams[-1]

    def store(self, *rows: tuple[str, Any]) -> None:
        """Applies rows as if they were read from the state service."""
        for stamp, (key, value) in enumerate(rows, 5):
            self.tables.apply(key, value, stamp)
        self.replica.loaded = True

    def become_leader(self) -> None:
        """Makes the controller a leader that may answer workers, under view 3 and lease 7."""
        self.store(("s1/m/c0", {"boot": 7, "settled": 3, "layout": 3}), ("s1/view", {"n": 3, "members": [["c0", 7]]}))
        self.leadership.incarnation, self.leadership.lease_renewed_at, self.replica.linearizable_at = 7, 1000.0, 1000.0


async def inspect(client_side: RequestingController) -> Any:
    await client_side.commands._inspect("vm-000231", "10.1.0.232:9000")
    return client_side.replies[0].report


async def command(client_side: RequestingController) -> Any:
    client_side.become_leader()
    client_side.machine.reconciled, client_side.machine.agent_epoch = True, 2
    client_side.machine.foreign_attempts[AttemptKey("wk-000377/1", 4)] = None
    await client_side.commands._send_commands(client_side.machine)
    return [reply.report for reply in client_side.replies]


async def renew(client_side: RequestingController) -> Any:
    client_side.leadership.incarnation = 7
    await client_side.membership._renew_or_join()
    return [client_side.leadership.incarnation, client_side.leadership.lease_renewed_at]


async def join(client_side: RequestingController) -> Any:
    client_side.replica.loaded = True
    await client_side.membership._renew_or_join()
    return [client_side.leadership.incarnation, client_side.leadership.lease_renewed_at]


async def coordinate(client_side: RequestingController) -> Any:
    client_side.become_leader()
    await client_side.membership._coordinate()


async def write_view(client_side: RequestingController) -> Any:
    client_side.become_leader()
    client_side.store(("s1/coord", {"member": "c0", "boot": 7}), ("s1/m/c1", {"boot": 8, "settled": 0, "layout": 3}))
    await client_side.membership._coordinate()


async def record_layout(client_side: RequestingController) -> Any:
    client_side.become_leader()
    await client_side.membership._record_layout()


async def commit(client_side: RequestingController) -> Any:
    outcome, epoch = await client_side.client.compare_and_swap(
        Transaction({"a/b": 0}, {"a/b": {"x": 1}}, ["c/d"]), RequestPriority.USER, leases={"a/b": 7}
    )
    return [outcome.value, epoch]


async def load(client_side: RequestingController) -> Any:
    await client_side.replica._load()
    return [client_side.replica.applied_revision, client_side.tables.view.number]


async def watch(client_side: RequestingController) -> Any:
    client_side.replica.loaded, client_side.replica.applied_revision = True, 431
    await client_side.replica._read_changes(10.0)
    return [client_side.replica.applied_revision, client_side.tables.view.number]


async def read_fresh(client_side: RequestingController) -> Any:
    client_side.replica.loaded, client_side.replica.applied_revision = True, 431
    await client_side.replica._read_changes(0.0)
    return [client_side.replica.applied_revision, client_side.tables.view.number]


# The calls by name. In the frozen file, a colon and the kind of the answer may follow the name.
CALLS: dict[str, Callable[[RequestingController], Awaitable[Any]]] = {
    "catalog": lambda client_side: client_side.cloud.read_catalog(),
    "rent": lambda client_side: client_side.cloud.create_instances(wire.InstanceRequest("r-17", "g8", "a", True, 12)),
    "delete": lambda client_side: client_side.cloud.delete_instances(["vm-000231", "vm-000232"]),
    "machines": lambda client_side: client_side.cloud.list_instances(),
    "commit": commit,
    "read all": load,
    "watch": watch,
    "fresh read": read_fresh,
    "renew lease": renew,
    "join": join,
    "become coordinator": coordinate,
    "write view": write_view,
    "note layout": record_layout,
    "command": command,
    "inspect": inspect,
}


def test_every_call_is_frozen() -> None:
    assert {name.partition(":")[0] for name in FROZEN["calls"]} == set(CALLS)


@pytest.mark.parametrize("name", FROZEN["calls"])
def test_the_requests_of_a_controller_are_unchanged(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Compares the address and the bytes of each request, and the result of its answer."""
    frozen = FROZEN["calls"][name]
    client_side = RequestingController(monkeypatch, frozen["answers"])
    result = anyio.run(CALLS[name.partition(":")[0]], client_side)
    assert [stream.sent.decode() for stream in client_side.streams] == frozen["sent"]
    assert msgspec.to_builtins(result) == frozen["result"] and not client_side.answers


# -- reports of workers


def count_results(state: str, cause: str | None) -> list[int]:
    """Returns the numbers of done and failed tasks that follow from a report of a task with this state and cause."""
    registry, tables = MachineRegistry(), Tables(CancellationLog(9, 7))
    machine = registry.add_machine(
        Machine("vm-000231", "10.1.0.232:9000", "g8", "a", True, owned_since_token=3, lease_expires_at=9e9)
    )
    task = {"visit": "wk-000412/3", "try": 2, "status": state, "cause": cause}
    report = json.loads(FROZEN["report"]) | {"visits": [task]}
    received = ReceivedReport(wire.decode(json.dumps(report).encode(), wire.WorkerReport), True, 1.0, 3)
    found = reconcile(registry, machine, received, tables)
    return [len(found.done), len(found.failed)]


@pytest.mark.parametrize("state", FROZEN["task states"])
def test_the_handling_of_a_task_state_is_unchanged(state: str) -> None:
    if FROZEN["task states"][state] is None:
        with pytest.raises(wire.MalformedError):
            count_results(state, None)
    else:
        assert count_results(state, "done") == FROZEN["task states"][state]


@pytest.mark.parametrize("cause", FROZEN["causes"])
def test_the_handling_of_a_cause_is_unchanged(cause: str) -> None:
    assert count_results("ended", cause) == FROZEN["causes"][cause]
