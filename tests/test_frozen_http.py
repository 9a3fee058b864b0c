"""HTTP paths, methods and whole exchanges, byte by byte: what a controller answers, and what it asks of the state
service, the cloud and workers. The literals in frozen/http.json never change; the names of the code may.
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
    """A connection in memory: gives literal bytes, keeps what is sent."""

    def __init__(self, given: bytes = b"") -> None:
        self.given = given
        self.sent = b""

    async def receive(self, _max_bytes: int = 65536) -> bytes:
        given, self.given = self.given, b""
        if not given:
            raise anyio.EndOfStream
        return given

    async def send(self, data: bytes) -> None:
        self.sent += data

    async def aclose(self) -> None:
        pass


# -- what a controller answers


class Answering:
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
        self.server = Server(users.handle, idle_s=60, request_s=60, max_connections=4, now=world.clock.now)

    async def ask(self, message: HeartbeatRequest) -> Any:
        """The machines' actor, in this turn; each report shows that the answer before it was received."""
        message.last_answer_received = True
        await self.world.machines.handle(message)
        return message.answer

    def exchange(self, request: str) -> str:
        """The answer to one request on a connection of its own."""
        stream: Any = Stream(request.encode())
        anyio.run(self.server.serve, stream)
        sent: bytes = stream.sent
        return sent.decode()


# What happens in the controller between requests.
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
def test_a_controller_answers_as_ever(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests one after another, each with its whole answer, and then what is stored."""
    answering = Answering(monkeypatch)
    for request, answer in FROZEN["sessions"][name]["exchanges"]:
        if request in STEPS:
            STEPS[request](answering.world)
        else:
            assert answering.exchange(request) == answer, request
    rows = {key: value for key, (value, _stamp) in answering.world.store.rows.items()}
    assert wire.encode(rows).decode() == FROZEN["sessions"][name]["stored"]


# -- what a controller asks


class Asking:
    """The clients of one controller, whose connections all lead to one scripted peer."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answers: list[tuple[int, str]]) -> None:
        self.answers = list(answers)
        self.streams: list[Stream] = []
        monkeypatch.setattr(anyio, "connect_tcp", self.connect)
        self.settings = settings = parse(SETTINGS.replace("rps = 2.0", "rps = 1000.0"))
        self.tables = Tables(CancellationLog(9, 7))
        self.client = StateClient(settings, lambda: 1, self.now)
        self.replica = Replica(self.client, self.tables, self.now)
        self.replica.read_linearizable = self.fresh  # type: ignore[method-assign]
        self.leadership = Leadership(settings, self.tables, self.replica, self.now)
        context = ControllerContext(settings, self.client, self.replica, self.leadership, Clock())
        self.membership = Membership(context)
        self.cloud = CloudClient(settings, lambda: True, self.now)
        self.told: list[Any] = []
        registry = MachineRegistry()
        self.machine = registry.add_machine(
            Machine("vm-000231", "10.1.0.232:9000", "g8", "a", True, owned_since_token=3, lease_expires_at=9e9)
        )
        self.commands = CommandSender(context, registry, lambda *_: None, self.told.append)
        # A busy machine may take long over an exchange in memory.
        self.client.timeout_s = self.cloud.timeout_s = self.commands.timeout_s = 60.0

    @staticmethod
    def now() -> float:
        return 1000.0

    async def fresh(self, timeout_s: float) -> None:
        """All is read."""

    async def connect(self, host: str, port: int) -> Any:
        status, body = self.answers.pop(0)
        head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        self.streams.append(Stream((head + body).encode()))
        self.streams[-1].sent = f"{host}:{port} ".encode()
        return self.streams[-1]

    def store(self, *rows: tuple[str, Any]) -> None:
        """What is read of the state service."""
        for stamp, (key, value) in enumerate(rows, 5):
            self.tables.apply(key, value, stamp)
        self.replica.loaded = True

    def act(self) -> None:
        """This controller may act and answer, under view 3 and lease 7."""
        self.store(("s1/m/c0", {"boot": 7, "settled": 3, "layout": 3}), ("s1/view", {"n": 3, "members": [["c0", 7]]}))
        self.leadership.incarnation, self.leadership.lease_renewed_at, self.replica.linearizable_at = 7, 1000.0, 1000.0


async def inspect(asking: Asking) -> Any:
    await asking.commands._inspect("vm-000231", "10.1.0.232:9000")
    return asking.told[0].report


async def command(asking: Asking) -> Any:
    asking.act()
    asking.machine.reconciled, asking.machine.agent_epoch = True, 2
    asking.machine.foreign_attempts[AttemptKey("wk-000377/1", 4)] = None
    await asking.commands._send_commands(asking.machine)
    return [reply.report for reply in asking.told]


async def renew(asking: Asking) -> Any:
    asking.leadership.incarnation = 7
    await asking.membership._renew()
    return [asking.leadership.incarnation, asking.leadership.lease_renewed_at]


async def join(asking: Asking) -> Any:
    asking.replica.loaded = True
    await asking.membership._renew()
    return [asking.leadership.incarnation, asking.leadership.lease_renewed_at]


async def coordinate(asking: Asking) -> Any:
    asking.act()
    await asking.membership._coordinate()


async def write_view(asking: Asking) -> Any:
    asking.act()
    asking.store(("s1/coord", {"member": "c0", "boot": 7}), ("s1/m/c1", {"boot": 8, "settled": 0, "layout": 3}))
    await asking.membership._coordinate()


async def mark(asking: Asking) -> Any:
    asking.act()
    await asking.membership._record_layout()


async def commit(asking: Asking) -> Any:
    outcome, epoch = await asking.client.compare_and_swap(
        Transaction({"a/b": 0}, {"a/b": {"x": 1}}, ["c/d"]), RequestPriority.USER, leases={"a/b": 7}
    )
    return [outcome.value, epoch]


async def load(asking: Asking) -> Any:
    await asking.replica._load()
    return [asking.replica.applied_revision, asking.tables.view.number]


async def watch(asking: Asking) -> Any:
    asking.replica.loaded, asking.replica.applied_revision = True, 431
    await asking.replica._read_changes(10.0)
    return [asking.replica.applied_revision, asking.tables.view.number]


async def read_fresh(asking: Asking) -> Any:
    asking.replica.loaded, asking.replica.applied_revision = True, 431
    await asking.replica._read_changes(0.0)
    return [asking.replica.applied_revision, asking.tables.view.number]


# By what is asked for; what follows a colon tells the answers apart.
CALLS: dict[str, Callable[[Asking], Awaitable[Any]]] = {
    "catalog": lambda asking: asking.cloud.read_catalog(),
    "rent": lambda asking: asking.cloud.create_instances(wire.InstanceRequest("r-17", "g8", "a", True, 12)),
    "delete": lambda asking: asking.cloud.delete_instances(["vm-000231", "vm-000232"]),
    "machines": lambda asking: asking.cloud.list_instances(),
    "commit": commit,
    "read all": load,
    "watch": watch,
    "fresh read": read_fresh,
    "renew lease": renew,
    "join": join,
    "become coordinator": coordinate,
    "write view": write_view,
    "note layout": mark,
    "command": command,
    "inspect": inspect,
}


def test_every_call_is_frozen() -> None:
    assert {name.partition(":")[0] for name in FROZEN["calls"]} == set(CALLS)


@pytest.mark.parametrize("name", FROZEN["calls"])
def test_a_controller_asks_as_ever(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The address and bytes of each request, and what its answer gives."""
    frozen = FROZEN["calls"][name]
    asking = Asking(monkeypatch, frozen["answers"])
    result = anyio.run(CALLS[name.partition(":")[0]], asking)
    assert [stream.sent.decode() for stream in asking.streams] == frozen["sent"]
    assert msgspec.to_builtins(result) == frozen["result"] and not asking.answers


# -- what workers report


def heard(state: str, cause: str | None) -> list[int]:
    """How many tasks a report of this state and cause shows to be done, and failed."""
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
def test_a_task_state_is_taken_as_ever(state: str) -> None:
    if FROZEN["task states"][state] is None:
        with pytest.raises(wire.MalformedError):
            heard(state, None)
    else:
        assert heard(state, "done") == FROZEN["task states"][state]


@pytest.mark.parametrize("cause", FROZEN["causes"])
def test_a_cause_is_taken_as_ever(cause: str) -> None:
    assert heard("ended", cause) == FROZEN["causes"][cause]
