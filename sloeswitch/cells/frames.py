"""Encoding of the messages between cells as mesh frames.

A request is a fixed part followed by three texts: the name of the requesting cell, the name of the job and, for an
offer, the job specification in the JSON form in which users submit it. An answer has a fixed part only. Summaries are
sent as JSON because their size depends on the number of machine types and teams of the cell.
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
# The codes on the wire follow the order of the members of `Request` and `Answer`.
REQUEST_CODES = {request: code for code, request in enumerate(Request, 1)}
ANSWER_CODES = {answer: code for code, answer in enumerate(Answer, 1)}
REQUESTS = {code: request for request, code in REQUEST_CODES.items()}
ANSWERS = {code: answer for answer, code in ANSWER_CODES.items()}
# The target cannot answer now, for example because it has not read its tables or could not store its decision.
NO_ANSWER = 0
# The length of a cell or job name is encoded in one byte.
MAX_NAME_BYTES = 255
# The largest job specification that fits into a frame beside the fixed part and two names.
MAX_SPEC_BYTES = MAX_BODY_BYTES - REQUEST.size - 2 * MAX_NAME_BYTES


@dataclass(frozen=True)
class Offer:
    """The job that an offer hands over."""

    spec: JobSpec
    submitted_ms: int


@dataclass(frozen=True)
class CellRequest:
    """A request from one cell to another."""

    message: RequestMessage
    # The incarnation of the requesting cell.
    incarnation: int
    offer: Offer | None = None

    def pack(self) -> bytes:
        """Returns the body of the frame."""
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
        """Decodes a frame body; raises FrameError if it is not a valid request."""
        try:
            number, incarnation, submitted_ms, code, *lengths = REQUEST.unpack_from(body)
            texts = _split_texts(body[REQUEST.size :], lengths)
            handoff = HandoffId(texts[0].decode(), texts[1].decode(), number)
            offer = Offer(msgspec.json.decode(texts[2], type=JobSpec), submitted_ms) if texts[2] else None
            return CellRequest(RequestMessage(handoff, REQUESTS[code]), incarnation, offer)
        except (struct.error, UnicodeDecodeError, KeyError, msgspec.MsgspecError) as error:
            raise FrameError(f"cell request: {error!r}") from None


def _split_texts(data: bytes, lengths: list[int]) -> list[bytes]:
    if sum(lengths) != len(data):
        raise FrameError(f"cell request: {len(data)} bytes for {lengths}")
    texts: list[bytes] = []
    for length in lengths:
        texts.append(data[:length])
        data = data[length:]
    return texts


@dataclass(frozen=True)
class CellAnswer:
    """The answer to a request; `answer` is None if the target cannot answer now."""

    incarnation: int
    answer: Answer | None

    def pack(self) -> bytes:
        """Returns the body of the frame."""
        return ANSWER.pack(self.incarnation, NO_ANSWER if self.answer is None else ANSWER_CODES[self.answer])

    @staticmethod
    def unpack(body: bytes) -> CellAnswer:
        """Decodes a frame body; raises FrameError if it is not a valid answer."""
        try:
            incarnation, code = ANSWER.unpack(body)
            return CellAnswer(incarnation, None if code == NO_ANSWER else ANSWERS[code])
        except (struct.error, KeyError) as error:
            raise FrameError(f"cell answer: {error!r}") from None


def pack_summary(summary: Summary | None) -> bytes:
    """Encodes a summary; an empty body means that the cell has no summary now."""
    return b"" if summary is None else msgspec.json.encode(summary)


def unpack_summary(body: bytes) -> Summary | None:
    """Decodes a frame body; None if it is empty. Raises FrameError if it is not a valid summary."""
    if not body:
        return None
    try:
        return msgspec.json.decode(body, type=Summary)
    except msgspec.MsgspecError as error:
        raise FrameError(f"summary: {error}") from None
