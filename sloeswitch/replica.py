"""The replica: keeps this controller's tables up to date with the state service, and serves linearizable reads.

It loads a snapshot once, then follows the change feed. Actors may read the tables at any time. Before an action that
must not be based on stale data, they call `Replica.read_linearizable`.
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

# About one in this many of the requests within a controller's share of the rate limit reads the change feed.
REQUESTS_PER_WATCH = 4.0
# At most one in this many of the same requests is a linearizable read.
REQUESTS_PER_LINEARIZABLE_READ = 2.0


class StaleReplicaError(Exception):
    """A linearizable read did not succeed in time."""


class Replica:
    """Owns the tables: keeps them up to date from the change feed, and serves linearizable reads.

    A linearizable read is one request for all changes since the last applied revision. Applying its answer brings the
    tables to the current state.

    Attributes:
        tables: The local copy of the rows in the state service. Only the replica applies rows to them.
        applied_revision: The revision up to which all changes are applied to the tables.
        loaded: Whether the tables hold a snapshot to which changes can be applied.
        fully_read: Whether a snapshot has been loaded since this process started; it stays true.
        linearizable_at: The tables contain everything that was stored at this time or earlier.
        changed: Set at each change of the tables, and then replaced by a new event.
        watch_pause_s: The pause between an answer of the change feed and the next request. Requesting again immediately
            after each change would use up the request rate.
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

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns at the next change of the tables, or after the timeout."""
        with anyio.move_on_after(timeout_s):
            await self.changed.wait()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback that is called after each change of the tables."""
        self._listeners.append(listener)

    def notify_peer_update(self) -> None:
        """Notifies the observers that data from a sibling was applied to the tables."""
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
        for listener in self._listeners:
            listener()

    # -- linearizable reads

    async def read_linearizable(self, timeout_s: float) -> None:
        """Returns once the tables contain everything that was stored when this was called.

        Only a read that is sent after the call counts. Reads are ordered by number rather than by time, because a
        clock with a coarse resolution may give both events the same time.

        Raises:
            StaleReplicaError: No read was answered within the timeout, or the state service cannot be reached.
        """
        needed = self._reads.next_number
        try:
            with anyio.fail_after(timeout_s):
                while not self._reads.is_answered(needed):
                    await self._reads.wait_for_attempt()
                    if not self._reads.is_answered(needed) and not self.client.is_reachable:
                        raise StaleReplicaError("the state service cannot be reached")
        except TimeoutError:
            raise StaleReplicaError(f"no linearizable read within {timeout_s:.3f} s") from None

    def request_read(self) -> None:
        """Requests a linearizable read after a write; does not wait for it."""
        self._reads.request()

    @property
    def read_pause_s(self) -> float:
        """The pause between linearizable reads, which limits them to half of the request rate.

        When users poll hundreds of jobs, a caller is always waiting for a read. Without the limit, requests for claims
        would be delayed.
        """
        return REQUESTS_PER_LINEARIZABLE_READ / self.client.request_tokens.rate

    async def _serve_reads(self) -> None:
        while True:
            attempt_ended = await self._reads.wait_for_request()
            try:
                await self._serve_read()
            except (HttpTransportError, StateReadError):
                await anyio.sleep(self.watch_pause_s / 4)
            finally:
                attempt_ended.set()
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
        """Applies a committed transaction of this controller before it is read back.

        Accepted jobs, claims and completed prerequisites thus take effect without waiting for a read. Each row is
        exactly what was stored, although earlier changes of other rows may be missing. That is safe, because every
        decision is protected by transaction conditions or a linearizable read.

        Args:
            revision: The revision from the state service's answer.
            writes: The stored values by key.
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
                    await anyio.sleep(wait_s)  # A linearizable read has already fetched the changes.
            except (HttpTransportError, StateReadError) as error:
                log.debug("change feed interrupted: error=%s", error)
                await anyio.sleep(self.watch_pause_s)

    async def _load(self) -> None:
        """Replaces the tables with a snapshot; changes made during the read follow through the change feed.

        Each page is applied to tables of its own as soon as it is read, and other tasks run between the pages. Until
        the last page is applied, `tables` holds the rows from before.

        The tables do not count as linearizable until those changes are applied. Pages are read in key order, so a
        snapshot can contain a view but lack a group of machines that was stored just before the view. This controller
        must not lead under that view until it has the group.
        """
        started_at = self.now()
        snapshot = Tables(self.tables.cancellations)
        rows = 0

        def apply_page(page: list[wire.StoredRow]) -> None:
            nonlocal rows
            rows += len(page)
            for row in page:
                snapshot.apply(row.key, row.value, row.mod_revision)

        revision = await read_snapshot(self.client, apply_page)
        self._own_writes.clear()
        self.tables.replace_by_snapshot(snapshot)
        self.applied_revision = revision
        self.loaded = self.fully_read = True
        self.linearizable_at = float("-inf")
        self.request_read()
        log.info("snapshot loaded: rows=%d revision=%d read_s=%.1f", rows, revision, self.now() - started_at)
        self._notify()

    async def _read_changes(self, hold_s: float) -> None:
        """Reads and applies the changes since the last applied revision."""
        try:
            changes = await read_changes(self.client, self.applied_revision, hold_s)
        except ChangesDiscardedError as error:
            log.info("changes discarded, reading all again: after_revision=%d", error.after_revision)
            self.loaded = False
            raise
        # A concurrent read may have found that a new snapshot is needed.
        if self.loaded:
            self._apply_changes(changes)

    def _apply_changes(self, changes: wire.ChangeFeed) -> None:
        """Applies changes that are new; the watch and a linearizable read may return the same changes."""
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
