"""The replica: keeps this controller's tables up to date with the state service, and serves linearizable reads.

It loads a snapshot once, then follows the change feed. Actors read the tables freely; `Replica.read_linearizable`
comes first where an action must not rest on a state that is out of date.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.core.tables import Tables
from sloeswitch.http_client import HttpTransportError
from sloeswitch.linearizable_reads import LinearizableReads
from sloeswitch.own_writes import OwnWrites
from sloeswitch.state_client import StateClient
from sloeswitch.state_reads import ChangesDiscardedError, StateReadError, read_changes, read_snapshot

log = logging.getLogger("state")

# The pauses are such that of its part of the request rate a controller spends about one request in so many on the
# change feed, and at most one in so many on linearizable reads.
REQUESTS_PER_WATCH = 4.0
REQUESTS_PER_LINEARIZABLE_READ = 2.0


class StaleReplicaError(Exception):
    """A linearizable read could not be had in time."""


class Replica:
    """Owns the tables: keeps them up to date by watching, and serves linearizable reads.

    A linearizable read is one request for all changes since the last applied revision, which both says what the
    present state is and brings the tables there.

    Attributes:
        tables: What the state service holds, as far as it is known here. Only the replica changes them.
        applied_revision: Up to where all changes are in the tables.
        loaded: Whether the tables hold a snapshot that the change feed can follow.
        fully_read: Whether a snapshot has been loaded since this process started; it stays true.
        linearizable_at: The tables hold everything that the state service held at this time.
        changed: Set, and replaced by a new event, at each change of the tables.
        watch_pause_s: How long after each answer the change feed is not read again. Reading again at once after each
            change would use up the request rate.
    """

    def __init__(self, client: StateClient, tables: Tables, now: Callable[[], float]) -> None:
        self.client = client
        self.tables = tables
        self.now = now
        self.applied_revision = 0
        self.loaded = False
        self.fully_read = False
        self.linearizable_at = float("-inf")
        self.changed = anyio.Event()
        self.watch_pause_s = REQUESTS_PER_WATCH / client.settings.state_rps * client.settings.controller_count
        self._listeners: list[Callable[[], None]] = []
        self._reads = LinearizableReads()
        self._own_writes = OwnWrites()

    def start(self, group: TaskGroup) -> None:
        """Starts the tasks that keep the tables up to date."""
        group.start_soon(self._watch)
        group.start_soon(self._serve_reads)

    # -- observers

    async def wait_change(self, timeout_s: float) -> None:
        """Returns at the next change of the tables, or after the timeout."""
        with anyio.move_on_after(timeout_s):
            await self.changed.wait()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has `listener` called after each change of the tables."""
        self._listeners.append(listener)

    def notify_peer_update(self) -> None:
        """Wakes the observers, because the tables hold something that a sibling sent."""
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
        for listener in self._listeners:
            listener()

    # -- linearizable reads

    async def read_linearizable(self, timeout_s: float) -> None:
        """Returns once the tables hold everything that was stored when this was called.

        Guards against a clock that goes in steps: only a read that is sent after the call serves it, by its number.

        Raises:
            StaleReplicaError: No read was answered within the timeout, or the state service cannot be reached.
        """
        needed = self._reads.next_number
        try:
            with anyio.fail_after(timeout_s):
                while not self._reads.is_answered(needed):
                    await self._reads.wait_attempt()
                    if not self._reads.is_answered(needed) and not self.client.is_reachable:
                        raise StaleReplicaError("the state service cannot be reached")
        except TimeoutError:
            raise StaleReplicaError(f"no linearizable read within {timeout_s:.3f} s") from None

    def request_read(self) -> None:
        """Asks for a linearizable read soon, because something was stored; does not wait for it."""
        self._reads.request()

    @property
    def read_pause_s(self) -> float:
        """The time between linearizable reads, which take at most half of the requests.

        With hundreds of jobs polled by users there is always a caller waiting for one, and the claims' own requests
        must not wait behind them.
        """
        return REQUESTS_PER_LINEARIZABLE_READ / self.client.request_tokens.rate

    async def _serve_reads(self) -> None:
        while True:
            attempt_over = await self._reads.wait_request()
            try:
                await self._serve_read()
            except (HttpTransportError, StateReadError):
                await anyio.sleep(self.watch_pause_s / 4)
            finally:
                attempt_over.set()
            await anyio.sleep(self.read_pause_s)

    async def _serve_read(self) -> None:
        if not self.loaded:
            return
        sent_at = self.now()
        number = self._reads.record_sent()
        await self._read_changes(0.0)
        self._reads.record_answered(number)
        self.linearizable_at = max(self.linearizable_at, sent_at)

    # -- own writes

    def apply_own_write(self, revision: int, writes: dict[str, Any]) -> None:
        """Applies a transaction of this controller that was committed, before it is read back.

        A job accepted or claimed, or the end of one that others wait for, need not wait for a read to be acted on.
        Each row is as it was stored, whatever else changed before; what a controller may do is decided by conditions
        and linearizable reads.

        Args:
            revision: The revision that the state service answered.
            writes: The rows that were stored.
        """
        if not self.loaded:
            return
        for key, value in writes.items():
            if revision > self.applied_revision:
                self._own_writes.add(key, revision)
                self.tables.apply(key, value, revision)
        self.request_read()
        self._notify()

    def _confirm_own_writes(self, events: list[wire.ChangeEvent]) -> None:
        missing = self._own_writes.confirm(events, self.applied_revision)
        if missing is not None:
            log.error("own write not found, reading all again: key=%s revision=%d", missing.key, missing.revision)
            self._own_writes.clear()
            self.loaded = False

    # -- the change feed and snapshots

    async def _watch(self) -> None:
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._read_changes(self.client.settings.lease_s)
                await anyio.sleep(self.watch_pause_s)
                while (wait_s := self.linearizable_at + self.watch_pause_s - self.now()) > 0:
                    await anyio.sleep(wait_s)  # linearizable reads bring the same
            except (HttpTransportError, StateReadError) as error:
                log.debug("change feed interrupted: error=%s", error)
                await anyio.sleep(self.watch_pause_s)

    async def _load(self) -> None:
        """Replaces the tables by a snapshot; changes made while it is read follow with the change feed.

        Nothing counts as read afresh until they have. Guards against a snapshot that has a view and not a group of
        machines stored just before it, since rows are read by key: nobody may lead under that view yet.
        """
        snapshot = await read_snapshot(self.client)
        self._own_writes.clear()
        self.tables.clear()
        for row in snapshot.rows:
            self.tables.apply(row.key, row.value, row.mod_revision)
        self.applied_revision = snapshot.revision
        self.loaded = self.fully_read = True
        self.linearizable_at = float("-inf")
        self.request_read()
        log.info("snapshot loaded: rows=%d revision=%d", len(snapshot.rows), snapshot.revision)
        self._notify()

    async def _read_changes(self, hold_s: float) -> None:
        """Reads the changes since the last applied revision and applies them."""
        try:
            changes = await read_changes(self.client, self.applied_revision, hold_s)
        except ChangesDiscardedError as error:
            log.info("changes discarded, reading all again: after_revision=%d", error.after_revision)
            self.loaded = False
            raise
        # Another read may have found meanwhile that all must be loaded anew.
        if self.loaded:
            self._apply_changes(changes)

    def _apply_changes(self, changes: wire.ChangeFeed) -> None:
        """Applies what is new; the watch and a linearizable read may bring the same changes."""
        for event in sorted(changes.events, key=lambda event: event.mod_revision):
            if event.mod_revision <= self.applied_revision:
                continue
            if event.write is not None:
                self.tables.apply(event.write, event.value, event.mod_revision)
            elif event.drop is not None:
                self.tables.apply(event.drop, None, event.mod_revision)
        self.applied_revision = max(self.applied_revision, changes.revision)
        self._confirm_own_writes(changes.events)
        if changes.events:
            self._notify()
