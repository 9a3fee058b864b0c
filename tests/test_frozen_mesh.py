"""Tests of every frame that controllers and cells exchange, byte by byte.

The literals in frozen/mesh.json never change. The Python names may; only the maps below use them.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import pytest

from sloeswitch import frame_link, mesh, mesh_frames
from sloeswitch.admission import frames as admission_frames
from sloeswitch.admission.capacity import IdleCapacity
from sloeswitch.cells import frames as cell_frames
from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.summary import MachinePool, Resources, Summary
from sloeswitch.core.cancellation_log import Cancellation, CancellationDelta, CancellationLog
from sloeswitch.core.scaling import InstanceKind
from sloeswitch.settings import Address
from sloeswitch.wire import JobSpec

FROZEN: dict[str, dict[str, Any]] = json.loads((Path(__file__).parent / "frozen" / "mesh.json").read_text())


@dataclass(frozen=True)
class FrameCase:
    """A value with the functions that encode and decode it."""

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


SPEC = JobSpec(
    "wk-000412",
    "train",
    "vision",
    "sweep",
    "urgent",
    16,
    8.0,
    1.0,
    64.0,
    "img-07",
    6.2,
    False,
    True,
    True,
    240.0,
    30.0,
    4.0,
    ["g8"],
    "a",
    900.0,
)
HANDOFF = HandoffId("north", "wk-000412", 0x0102030405060708)
STATUS = mesh.ControllerStatus(3, True, 9, True, True)
CALLBACKS = mesh.MeshCallbacks(lambda: STATUS, lambda _found: None)
CANCELLED = [Cancellation("wk-000001", 5), Cancellation("wk-000022", 0x0A0B0C)]
SUMMARY = Summary(
    "north",
    2,
    431,
    (MachinePool("g8", True, Resources(96.0, 8.0, 768.0), 1.5, 3),),
    Resources(1.0, 2.0, 3.0),
    61.5,
    (("red", 4.0, 5.0),),
    (("wk-000412", 7),),
)


def status_case(answer: mesh_frames.StatusFrame) -> FrameCase:
    """A status between controllers, with its header."""
    return FrameCase(
        answer,
        mesh_frames.StatusFrame.pack,
        lambda frame: mesh_frames.StatusFrame.unpack(frame[mesh_frames.HEADER.size :]),
    )


def cell_request(request: Request, offer: cell_frames.Offer | None = None) -> FrameCase:
    """A request between cells."""
    value = cell_frames.CellRequest(RequestMessage(HANDOFF, request), 2, offer)
    return FrameCase(value, cell_frames.CellRequest.pack, cell_frames.CellRequest.unpack)


def cell_answer(answer: Answer | None) -> FrameCase:
    """An answer between cells."""
    return FrameCase(cell_frames.CellAnswer(2, answer), cell_frames.CellAnswer.pack, cell_frames.CellAnswer.unpack)


def summary(value: Summary | None) -> FrameCase:
    """The summary that a cell sends of its free capacity."""
    return FrameCase(value, cell_frames.pack_summary, cell_frames.unpack_summary)


def idle_capacity(*capacities: IdleCapacity) -> FrameCase:
    """The idle capacity that a controller reports."""
    return FrameCase(list(capacities), admission_frames.pack_idle_capacity, admission_frames.unpack_idle_capacity)


def fixed_length(body: Any, kind: int, value: tuple[Any, ...], encode: Callable[..., bytes]) -> FrameCase:
    """A frame of fixed length."""

    def decode(frame: bytes) -> Any:
        assert mesh_frames.check_header(frame[: mesh_frames.HEADER.size], kind, body.size) == body.size
        return body.unpack(frame[mesh_frames.HEADER.size :])

    return FrameCase(value, lambda fields: encode(*fields), decode)


FRAME_CASES: dict[str, FrameCase] = {
    "ask": fixed_length(
        mesh_frames.VIEW_REQUEST,
        mesh_frames.FrameType.VIEW_REQUEST,
        (0x0102030405060708,),
        mesh_frames.pack_view_request,
    ),
    "tell": fixed_length(mesh_frames.VIEW, mesh_frames.FrameType.VIEW, (9, True), mesh_frames.pack_view),
    "tell without state service": fixed_length(
        mesh_frames.VIEW, mesh_frames.FrameType.VIEW, (9, False), mesh_frames.pack_view
    ),
    "tell that confirms nothing": fixed_length(
        mesh_frames.VIEW,
        mesh_frames.FrameType.VIEW,
        (mesh_frames.UNCONFIRMING_VIEW_NUMBER, True),
        mesh_frames.pack_view,
    ),
    "inquire": fixed_length(
        mesh_frames.STATUS_REQUEST,
        mesh_frames.FrameType.STATUS_REQUEST,
        (1, 2, 3, 0x0102030405060708),
        lambda *fields: mesh_frames.StatusRequest(*fields).pack(),
    ),
    "inform of nothing": status_case(mesh_frames.StatusFrame(3, False, False, 7, CancellationDelta([], 9))),
    "inform with state service": status_case(mesh_frames.StatusFrame(3, True, False, 7, CancellationDelta([], 9))),
    "inform by a whole reader": status_case(mesh_frames.StatusFrame(3, False, True, 7, CancellationDelta([], 9))),
    "inform with more to come": status_case(
        mesh_frames.StatusFrame(3, False, False, 7, CancellationDelta(CANCELLED, 9, True))
    ),
    "inform with all": status_case(
        mesh_frames.StatusFrame(1 << 63, True, True, (1 << 63) + 7, CancellationDelta(CANCELLED, 1 << 40, True))
    ),
    "offer": cell_request(Request.OFFER, cell_frames.Offer(SPEC, 1_700_000_000_123)),
    "query": cell_request(Request.QUERY),
    "withdraw": cell_request(Request.WITHDRAW),
    "stop": cell_request(Request.STOP),
    "acknowledge": cell_request(Request.ACKNOWLEDGE),
    "unknown": cell_answer(Answer.UNKNOWN),
    "refused": cell_answer(Answer.REFUSED),
    "accepted": cell_answer(Answer.ACCEPTED),
    "begun": cell_answer(Answer.BEGUN),
    "withdrawn": cell_answer(Answer.WITHDRAWN),
    "stopping": cell_answer(Answer.STOPPING),
    "stopped": cell_answer(Answer.STOPPED),
    "done": cell_answer(Answer.DONE),
    "no answer": cell_answer(None),
    "summary": summary(SUMMARY),
    "summary of nothing": summary(Summary("north", 2, 431)),
    "no summary": summary(None),
    "idle room": idle_capacity(
        IdleCapacity(InstanceKind("g8", "a", True), 2.5, 61.5),
        IdleCapacity(InstanceKind("small", "zone-b", False), 0.25, 0.0),
    ),
    "no idle room": idle_capacity(),
}

CONSTANTS: dict[str, Callable[[], Any]] = {
    "header": lambda: [mesh_frames.HEADER.format, mesh_frames.MAGIC.decode(), mesh_frames.VERSION],
    "types": lambda: [
        mesh_frames.FrameType.VIEW_REQUEST,
        mesh_frames.FrameType.VIEW,
        mesh_frames.FrameType.STATUS_REQUEST,
        mesh_frames.FrameType.STATUS,
        mesh_frames.FrameType.CELL_REQUEST,
        mesh_frames.FrameType.CELL_ANSWER,
        mesh_frames.FrameType.SUMMARY_REQUEST,
        mesh_frames.FrameType.SUMMARY,
        mesh_frames.FrameType.IDLE_CAPACITY_REQUEST,
        mesh_frames.FrameType.IDLE_CAPACITY,
    ],
    "types of answers": lambda: {str(asked): answer for asked, answer in mesh_frames.ANSWER_TYPES.items()},
    "flags": lambda: [
        mesh_frames.StatusFlag.STATE_REACHABLE,
        mesh_frames.StatusFlag.FULLY_READ,
        mesh_frames.StatusFlag.MORE_CANCELLATIONS,
    ],
    "limits": lambda: [
        mesh_frames.MAX_BODY_BYTES,
        mesh_frames.MAX_CANCELLATIONS,
        cell_frames.MAX_SPEC_BYTES,
        admission_frames.MAX_ENTRIES,
    ],
    "request codes": lambda: {request.value: code for request, code in cell_frames.REQUEST_CODES.items()},
    "answer codes": lambda: {answer.value: code for answer, code in cell_frames.ANSWER_CODES.items()},
}


def test_nothing_frozen_is_left_out() -> None:
    assert set(FROZEN) == {"frames", "constants", "refused", "exchanges", "served"}
    assert set(FROZEN["frames"]) == set(FRAME_CASES)
    assert set(FROZEN["constants"]) == set(CONSTANTS)


def test_every_request_and_answer_of_cells_is_frozen() -> None:
    requests = {
        case.value.message.request for case in FRAME_CASES.values() if isinstance(case.value, cell_frames.CellRequest)
    }
    answers = {case.value.answer for case in FRAME_CASES.values() if isinstance(case.value, cell_frames.CellAnswer)}
    assert requests == set(Request) and answers == {None, *Answer}


def test_every_type_number_is_frozen() -> None:
    numbers = {frame_type.value for frame_type in mesh_frames.FrameType}
    assert numbers == set(FROZEN["constants"]["types"])


@pytest.mark.parametrize("name", FROZEN["frames"])
def test_the_encoding_of_a_frame_is_unchanged(name: str) -> None:
    case, literal = FRAME_CASES[name], bytes.fromhex(FROZEN["frames"][name])
    assert case.encode(case.value).hex() == literal.hex()
    decoded = case.decode(literal)
    assert decoded == case.value
    assert case.encode(decoded).hex() == literal.hex()


@pytest.mark.parametrize("name", FROZEN["constants"])
def test_a_constant_is_unchanged(name: str) -> None:
    assert CONSTANTS[name]() == FROZEN["constants"][name]


@pytest.mark.parametrize("name", FROZEN["refused"])
def test_a_frame_that_is_truncated_or_too_long_or_has_an_unknown_code_is_rejected(name: str) -> None:
    frame = bytes.fromhex(FROZEN["refused"][name])
    with pytest.raises(mesh_frames.FrameError):
        FRAME_CASES[name.partition(":")[0]].decode(frame)


class ScriptedStream:
    """The other side of a connection: records what is sent and returns a literal answer once."""

    def __init__(self, answer: bytes = b"") -> None:
        self.sent = b""
        self.answer = answer

    async def send(self, data: bytes) -> None:
        self.sent += data

    async def receive(self, _max_bytes: int = 65536) -> bytes:
        answer, self.answer = self.answer, b""
        if not answer:
            raise anyio.EndOfStream
        return answer

    async def aclose(self) -> None:
        pass


@pytest.mark.parametrize("kind", FROZEN["exchanges"])
def test_the_exchange_of_a_feature_is_unchanged(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Compares the frame that is sent, with its header, and the returned body of the answer."""
    question, answer = map(bytes.fromhex, FROZEN["exchanges"][kind])
    other_side: Any = ScriptedStream(answer)

    async def connect(_host: str, _port: int) -> Any:
        return other_side

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    link = frame_link.FrameLink("south", (Address("127.0.0.1", 9081),), 60.0)
    assert anyio.run(link.exchange, int(kind), question[mesh_frames.HEADER.size :]) == answer[mesh_frames.HEADER.size :]
    assert other_side.sent.hex() == question.hex()


@pytest.mark.parametrize("kind", FROZEN["exchanges"])
def test_the_answer_of_the_mesh_for_a_feature_is_unchanged(kind: str) -> None:
    question, answer = map(bytes.fromhex, FROZEN["exchanges"][kind])
    asked: list[tuple[int, bytes]] = []

    async def handle(number: int, body: bytes) -> bytes:
        asked.append((number, body))
        return answer[mesh_frames.HEADER.size :]

    served_mesh = mesh.Mesh((), 60.0, lambda: 0.0, CALLBACKS, CancellationLog(9, 7))
    served_mesh.handlers[int(kind)] = handle
    connection: Any = ScriptedStream(question)
    anyio.run(served_mesh.serve, connection)
    assert asked == [(int(kind), question[mesh_frames.HEADER.size :])] and connection.sent.hex() == answer.hex()


@pytest.mark.parametrize(("question", "answer"), [("ask", "tell that confirms nothing"), ("inquire", "inform served")])
def test_the_answer_of_the_mesh_to_controllers_is_unchanged(question: str, answer: str) -> None:
    literals = FROZEN["frames"] | FROZEN["served"]
    connection: Any = ScriptedStream(bytes.fromhex(literals[question]))
    served_mesh = mesh.Mesh((), 60.0, lambda: 0.0, CALLBACKS, CancellationLog(9, 7))
    anyio.run(served_mesh.serve, connection)
    assert connection.sent.hex() == literals[answer]
