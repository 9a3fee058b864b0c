"""Which linearizable read serves which caller; `replica` alone uses it.

A read serves only callers who asked before it was sent. Reads are therefore numbered in the order in which they are
sent, and a caller needs the next number. That order, unlike a time, is right on a machine whose clock goes in steps.
"""

from __future__ import annotations

import anyio


class LinearizableReads:
    """The sequence of linearizable reads, and the callers who wait for the next one.

    One read serves all who wait when it is sent. At most one is under way.
    """

    def __init__(self) -> None:
        self._last_sent = 0
        self._last_answered = 0
        self._requested = anyio.Event()
        # Set when the next attempt is over; None: nobody waits for it.
        self._attempt_over: anyio.Event | None = None

    # -- callers

    @property
    def next_number(self) -> int:
        """The number of the next read to be sent, which is the first that serves whoever asks now."""
        return self._last_sent + 1

    def is_answered(self, number: int) -> bool:
        """Whether the read of this number, or a later one, was answered."""
        return self._last_answered >= number

    def request(self) -> None:
        """Asks for a read without waiting for it."""
        self._requested.set()

    async def wait_attempt(self) -> None:
        """Asks for a read, and returns when the next attempt at one has succeeded or failed."""
        if self._attempt_over is None:
            self._attempt_over = anyio.Event()
        attempt_over = self._attempt_over
        self._requested.set()
        await attempt_over.wait()

    # -- the task that reads

    async def wait_request(self) -> anyio.Event:
        """Returns when a read is asked for; the event must be set when the attempt at it is over."""
        await self._requested.wait()
        self._requested = anyio.Event()
        attempt_over, self._attempt_over = self._attempt_over, None
        return attempt_over if attempt_over is not None else anyio.Event()

    def record_sent(self) -> int:
        """Notes that a read is sent now, and returns its number."""
        self._last_sent += 1
        return self._last_sent

    def record_answered(self, number: int) -> None:
        """Notes that the read of this number was answered, and the tables hold what it brought."""
        self._last_answered = number
