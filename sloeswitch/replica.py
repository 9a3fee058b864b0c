"""The replica: keeps the tables up to date by watching the state service, and serves linearizable reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from sloeswitch import wire
from sloeswitch.core.keys import KEY_PREFIX
from sloeswitch.core.tables import Tables
from sloeswitch.http import NoAnswerError
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import StateClient

log = logging.getLogger("state")


class StaleReplicaError(Exception):
    """A fresh read could not be had in time."""


class Replica:
    """Owns the tables: keeps them up to date by watching, and serves fresh reads.

    A fresh read is one request for all changes since the last applied epoch, which both says what
    the present state is and brings the tables there. One serves all who wait for it.
    """

    def __init__(self, client: StateClient, tables: Tables, now: Callable[[], float]) -> None:
        self.client = client
        self.tables = tables
        self.now = now
        self.applied_revision = 0
        self.loaded = False
        # Whether everything has been read since this process started.
        self.fully_read = False
        # The tables hold everything the state service held at this time.
        self.linearizable_at = float("-inf")
        # Fresh reads by number: the last one that was sent, and the last that was answered.
        self._sent = 0
        self._read = 0
        self.changed = anyio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._next: anyio.Event | None = None
        self._wanted = anyio.Event()
        # What this controller stored and has not read yet: key -> epoch.
        self._own_writes: dict[str, int] = {}
        # Watching again at once after each change would use up the request rate.
        self.gap_s = 8.0 / client.settings.state_rps * client.settings.controller_count / 2

    def start(self, group: TaskGroup) -> None:
        group.start_soon(self._watch)
        group.start_soon(self._serve_reads)

    async def read_linearizable(self, timeout_s: float) -> None:
        """Returns once the tables hold all that was stored when this was called; StaleError otherwise. Guards against a
        clock that goes in steps: only a read that is sent after the call serves it, by its number."""
        needed = self._sent + 1
        try:
            with anyio.fail_after(timeout_s):
                while self._read < needed:
                    if self._next is None:
                        self._next = anyio.Event()
                    waiter = self._next
                    self._wanted.set()
                    await waiter.wait()
                    if self._read < needed and not self.client.is_reachable:
                        raise StaleReplicaError
        except TimeoutError:
            raise StaleReplicaError from None

    def request_read(self) -> None:
        """Something was stored: read it soon."""
        self._wanted.set()

    def apply_own_write(self, epoch: int, writes: dict[str, Any]) -> None:
        """This controller's own transaction was carried out: known before it is read. A job accepted or claimed,
        or the end of one that others wait for, need not wait for a read to be acted on. Each row is as it was
        stored, whatever else changed before; what a controller may do is decided by conditions and fresh reads."""
        if not self.loaded:
            return
        for key, value in writes.items():
            if epoch > self.applied_revision:
                self._own_writes[key] = epoch
                self.tables.apply(key, value, epoch)
        self.request_read()
        self._notify()

    def _check_own_writes(self, events: list[wire.ChangeEvent]) -> None:
        """Guards against an epoch told with an answer that is not the stamp of what was stored: conditions on it
        would fail for ever."""
        seen = {(event.write or event.drop, event.mod_revision) for event in events}
        for key, epoch in list(self._own_writes.items()):
            if (key, epoch) in seen:
                del self._own_writes[key]
            elif epoch <= self.applied_revision:
                log.error("%s is not stored at epoch %d as told: reading all again", key, epoch)
                self._own_writes.clear()
                self.loaded = False
                return

    def notify_peer_update(self) -> None:
        """Something was learnt from a sibling."""
        self._notify()

    async def wait_change(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self.changed.wait()

    def add_listener(self, listener: Callable[[], None]) -> None:
        self._listeners.append(listener)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
        for listener in self._listeners:
            listener()

    @property
    def read_gap_s(self) -> float:
        """Fresh reads take at most half of the requests: with hundreds of jobs asked about there is always
        one wanted, and the claims' own requests waited for seconds behind them (found on the bench)."""
        return 2.0 / self.client.request_tokens.rate

    async def _serve_reads(self) -> None:
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            waiter, self._next = self._next, None
            try:
                sent = self.now()
                if self.loaded:
                    self._sent += 1
                    await self._read_changes(0.0)
                    self._read = self._sent
                    self.linearizable_at = max(self.linearizable_at, sent)
            except NoAnswerError:
                await anyio.sleep(self.gap_s / 4)
            finally:
                if waiter is not None:
                    waiter.set()
            await anyio.sleep(self.read_gap_s)

    async def _watch(self) -> None:
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._read_changes(self.client.settings.lease_s)
                await anyio.sleep(self.gap_s)
                while (wait := self.linearizable_at + self.gap_s - self.now()) > 0:
                    await anyio.sleep(wait)  # fresh reads bring the same
            except NoAnswerError as error:
                log.debug("watch: %s", error)
                await anyio.sleep(self.gap_s)

    async def _read_changes(self, hold_s: float) -> None:
        path = f"/changes?starts={KEY_PREFIX}&after={self.applied_revision}&holdMs={int(hold_s * 1000)}"
        reply = await self.client.call(
            "GET", path, None, RequestPriority.CLAIM if hold_s else RequestPriority.USER, hold_s
        )
        if reply.status == 410:
            log.info("changes since %d are no longer kept: reading all again", self.applied_revision)
            self.loaded = False
            raise NoAnswerError("too old")
        if reply.status != 200:
            raise NoAnswerError(f"status {reply.status}")
        try:
            changes = wire.decode(reply.body, wire.ChangeFeed)
        except wire.MalformedError as error:
            log.error("changes are malformed: %s", error)
            raise NoAnswerError("malformed") from None
        if not self.loaded:
            return
        for event in sorted(changes.events, key=lambda event: event.mod_revision):
            if event.mod_revision <= self.applied_revision:
                continue
            if event.write is not None:
                self.tables.apply(event.write, event.value, event.mod_revision)
            elif event.drop is not None:
                self.tables.apply(event.drop, None, event.mod_revision)
        self.applied_revision = max(self.applied_revision, changes.revision)
        if self._own_writes:
            self._check_own_writes(changes.events)
        if changes.events:
            self._notify()

    async def _load(self) -> None:
        """Reads everything, page by page; changes made meanwhile follow from the first page's epoch."""
        first_epoch: int | None = None
        after = ""
        rows: list[wire.StoredRow] = []
        while True:
            path = f"/kv?starts={KEY_PREFIX}&page=1000" + (f"&after={after}" if after else "")
            reply = await self.client.call("GET", path, None, RequestPriority.LEASE)
            if reply.status != 200:
                raise NoAnswerError(f"status {reply.status}")
            try:
                page = wire.decode(reply.body, wire.StoredRowPage)
            except wire.MalformedError as error:
                log.error("rows are malformed: %s", error)
                raise NoAnswerError("malformed") from None
            if first_epoch is None:
                first_epoch = page.revision
            rows += page.rows
            if not page.more or not page.rows:
                break
            after = page.rows[-1].key
        self._own_writes.clear()
        self.tables.clear()
        for row in rows:
            self.tables.apply(row.key, row.value, row.mod_revision)
        self.applied_revision = first_epoch
        self.loaded = self.fully_read = True
        log.info("read %d stored values at epoch %d", len(rows), first_epoch)
        self._notify()
