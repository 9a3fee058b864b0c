"""Matches linearizable reads with the callers that wait for them; used only by `replica`.

A read is valid only for callers that requested it before it was sent. Reads are numbered in the order in which they are
sent, and a caller waits for the next number. Numbers are used rather than times, because with a coarse clock a request
and an earlier read may have the same time.
"""

from __future__ import annotations

import anyio


class LinearizableReads:
    """The sequence of linearizable reads, and the callers that wait for the next one.

    One read serves all callers that are waiting when it is sent. At most one read is in flight.
    """

    def __init__(self) -> None:
        self._last_sent = 0
        self._last_answered = 0
        self._requested = anyio.Event()
        # Set when the next attempt has ended; None if no caller waits for it.
        self._attempt_ended: anyio.Event | None = None

    # -- callers

    @property
    def next_number(self) -> int:
        """The number of the next read to be sent, which is the first one valid for a caller that asks now."""
        return self._last_sent + 1

    def is_answered(self, number: int) -> bool:
        """Whether the read with this number or a later one has been answered."""
        return self._last_answered >= number

    def request(self) -> None:
        """Requests a read without waiting for it."""
        self._requested.set()

    async def wait_for_attempt(self) -> None:
        """Requests a read, and returns when the next attempt has succeeded or failed."""
        if self._attempt_ended is None:
            self._attempt_ended = anyio.Event()
        attempt_ended = self._attempt_ended
        self._requested.set()
        await attempt_ended.wait()

    # -- the task that reads

    async def wait_for_request(self) -> anyio.Event:
        """Waits until a read is requested; the caller must set the returned event when its attempt has ended."""
        await self._requested.wait()
        self._requested = anyio.Event()
        attempt_ended, self._attempt_ended = self._attempt_ended, None
        return attempt_ended if attempt_ended is not None else anyio.Event()

    def record_sent(self) -> int:
        """Records that a read is being sent, and returns its number."""
        self._last_sent += 1
        return self._last_sent

    def record_answered(self, number: int) -> None:
        """Records that the read with this number was answered and its changes were applied to the tables."""
        self._last_answered = number
