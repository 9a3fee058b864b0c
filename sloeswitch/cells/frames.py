"""What cells say to each other, packed for the mesh.

A request is a fixed part and three texts: the asking cell, the job, and for an offer the job as its user submitted it.
An answer is a fixed part. Summaries are sent as JSON, since they grow with what a cell has.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import msgspec

from sloeswitch.cells.messages import Answer, HandoffId, Request, RequestMessage
from sloeswitch.cells.summary import Summary
from sloeswitch.mesh_frames import MAX_BODY_BYTES, FrameError
from sloeswitch.wire import JobSpec

REQUEST = struct.Struct("!QQQBBBH")
ANSWER = struct.Struct("!QB")
REQUEST_CODES = {request: code for code, request in enumerate(Request, 1)}
ANSWER_CODES = {answer: code for code, answer in enumerate(Answer, 1)}
REQUESTS = {code: request for request, code in REQUEST_CODES.items()}
ANSWERS = {code: answer for answer, code in ANSWER_CODES.items()}
# The answerer cannot tell now: it has not read its tables, or could not store what follows.
NO_ANSWER = 0
# Names of cells and jobs are told with one byte for their length.
LONGEST_NAME = 255
# An offer's job must leave place for the rest of the frame.
MOST_SPEC_BYTES = MAX_BODY_BYTES - REQUEST.size - 2 * LONGEST_NAME


@dataclass(frozen=True)
class Offer:
    """A job as it is handed over."""

    spec: JobSpec
    submitted_ms: int


@dataclass(frozen=True)
class CellRequest:
    """A request of another cell."""

    message: RequestMessage
    # Of the asking cell.
    incarnation: int
    offer: Offer | None = None

    def pack(self) -> bytes:
        """The body of a frame."""
        handoff = self.message.handoff
        origin, job = handoff.origin.encode(), handoff.job.encode()
        spec = msgspec.json.encode(self.offer.spec) if self.offer is not None else b""
        submitted_ms = self.offer.submitted_ms if self.offer is not None else 0
        fixed = REQUEST.pack(
            handoff.number,
            self.incarnation,
            submitted_ms,
            REQUEST_CODES[self.message.request],
            len(origin),
            len(job),
            len(spec),
        )
        return fixed + origin + job + spec

    @staticmethod
    def unpack(body: bytes) -> CellRequest:
        """Raises FrameError for what is no request."""
        try:
            number, incarnation, submitted_ms, code, *lengths = REQUEST.unpack_from(body)
            texts = _texts(body[REQUEST.size :], lengths)
            handoff = HandoffId(texts[0].decode(), texts[1].decode(), number)
            offer = Offer(msgspec.json.decode(texts[2], type=JobSpec), submitted_ms) if texts[2] else None
            return CellRequest(RequestMessage(handoff, REQUESTS[code]), incarnation, offer)
        except (struct.error, UnicodeDecodeError, KeyError, msgspec.MsgspecError) as error:
            raise FrameError(f"cell request: {error!r}") from None


def _texts(data: bytes, lengths: list[int]) -> list[bytes]:
    if sum(lengths) != len(data):
        raise FrameError(f"cell request: {len(data)} bytes for {lengths}")
    texts: list[bytes] = []
    for length in lengths:
        texts.append(data[:length])
        data = data[length:]
    return texts


@dataclass(frozen=True)
class CellAnswer:
    """The answer to a request; None: it cannot be told now."""

    incarnation: int
    answer: Answer | None

    def pack(self) -> bytes:
        """The body of a frame."""
        return ANSWER.pack(self.incarnation, NO_ANSWER if self.answer is None else ANSWER_CODES[self.answer])

    @staticmethod
    def unpack(body: bytes) -> CellAnswer:
        """Raises FrameError for what is no answer."""
        try:
            incarnation, code = ANSWER.unpack(body)
            return CellAnswer(incarnation, None if code == NO_ANSWER else ANSWERS[code])
        except (struct.error, KeyError) as error:
            raise FrameError(f"cell answer: {error!r}") from None


def pack_summary(summary: Summary | None) -> bytes:
    """A summary, or nothing where it cannot be told now."""
    return b"" if summary is None else msgspec.json.encode(summary)


def unpack_summary(body: bytes) -> Summary | None:
    """Raises FrameError for what is no summary."""
    if not body:
        return None
    try:
        return msgspec.json.decode(body, type=Summary)
    except msgspec.MsgspecError as error:
        raise FrameError(f"summary: {error}") from None
