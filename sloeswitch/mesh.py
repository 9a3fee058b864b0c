"""What controllers say to each other: one question, packed by hand.

A frame is a header (magic, version, type, length of the rest) and a body. ASK carries the view number
the asker acts under; TELL carries the highest view number the answerer knows (0: none yet) and whether
it reaches the state service. Frames of another version, type or length close the connection only.
"""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from sloeswitch.settings import Sibling

log = logging.getLogger("mesh")

HEADER = struct.Struct("!4sBBH")
ASK = struct.Struct("!Q")
TELL = struct.Struct("!QB")
MAGIC, VERSION = b"sloe", 1
TYPE_ASK, TYPE_TELL = 1, 2


class BadFrame(Exception):
    pass


def pack_ask(view: int) -> bytes:
    return HEADER.pack(MAGIC, VERSION, TYPE_ASK, ASK.size) + ASK.pack(view)


def pack_tell(view: int, state_ok: bool) -> bytes:
    return HEADER.pack(MAGIC, VERSION, TYPE_TELL, TELL.size) + TELL.pack(view, state_ok)


def check_header(header: bytes, kind: int, size: int) -> None:
    magic, version, got, length = HEADER.unpack(header)
    if magic != MAGIC or version != VERSION or got != kind or length != size:
        raise BadFrame(f"frame {header!r}")


class FrameReader:
    """Reads exact numbers of bytes from a stream."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.data = b""

    async def exactly(self, size: int) -> bytes:
        while len(self.data) < size:
            self.data += await self.stream.receive()
        part, self.data = self.data[:size], self.data[size:]
        return part


@dataclass
class Peer:
    """What a sibling last told. `asked_at` is when the question was sent."""

    asked_at: float = float("-inf")
    view: int = 0
    state_ok: bool = False


class Mesh:
    """Owns the connections to the siblings and what they told."""

    def __init__(
        self, siblings: tuple[Sibling, ...], pause_s: float, now: Callable[[], float],
        tell: Callable[[], tuple[int, bool]],
    ) -> None:  # fmt: skip
        self.siblings = siblings
        self.pause_s = pause_s
        self.now = now
        self.tell = tell
        self.peers = {sibling.member: Peer() for sibling in siblings}

    async def serve(self, stream: SocketStream) -> None:
        reader = FrameReader(stream)
        try:
            while True:
                with anyio.fail_after(20 * self.pause_s):
                    check_header(await reader.exactly(HEADER.size), TYPE_ASK, ASK.size)
                    await reader.exactly(ASK.size)
                    await stream.send(pack_tell(*self.tell()))
        except BadFrame as error:
            log.error("%s", error)
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    async def ask_forever(self, sibling: Sibling) -> None:
        peer = self.peers[sibling.member]
        while True:
            stream = None
            try:
                with anyio.fail_after(2 * self.pause_s):
                    stream = await anyio.connect_tcp(sibling.address.host, sibling.address.port)
                reader = FrameReader(stream)
                while True:
                    with anyio.fail_after(2 * self.pause_s):
                        asked = self.now()
                        await stream.send(pack_ask(self.tell()[0]))
                        check_header(await reader.exactly(HEADER.size), TYPE_TELL, TELL.size)
                        view, state_ok = TELL.unpack(await reader.exactly(TELL.size))
                    peer.asked_at, peer.view, peer.state_ok = asked, view, bool(state_ok)
                    await anyio.sleep(self.pause_s)
            except BadFrame as error:
                log.error("from %s: %s", sibling.member, error)
            except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass
            finally:
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
            await anyio.sleep(self.pause_s)
