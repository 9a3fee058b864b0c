"""Read requests to the state service and the decoding of their answers; used only by `replica`.

An unusable answer raises a subclass of StateReadError. A request without an answer raises
`http_client.HttpTransportError`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

import anyio

from sloeswitch import wire
from sloeswitch.backoff import ExponentialBackoff
from sloeswitch.core.keys import KEY_PREFIX
from sloeswitch.http_client import HttpTransportError, Reply
from sloeswitch.rate_budget import RequestPriority
from sloeswitch.state_client import StateClient

log = logging.getLogger("state")

# The maximum number of rows in one answer of the state service (PROTOCOL-sloeswitch.md).
SNAPSHOT_PAGE_ROWS = 1000
# The bounds of the pauses before a page of a snapshot is requested again.
MIN_PAGE_RETRY_PAUSE_S = 0.1
MAX_PAGE_RETRY_PAUSE_S = 2.0
# Answers after which the same request may succeed later (PROTOCOL-sloeswitch.md, "Limits and errors").
TRANSIENT_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


class StateReadError(Exception):
    """The state service's answer to a read cannot be used."""


class UnexpectedStatusError(StateReadError):
    """A read was answered with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")
        self.status = status


class MalformedAnswerError(StateReadError):
    """The body of an answer does not follow the protocol."""


class ChangesDiscardedError(StateReadError):
    """The state service has discarded changes after the given revision; a new snapshot is needed."""

    def __init__(self, after_revision: int) -> None:
        super().__init__(f"changes after revision {after_revision} are discarded")
        self.after_revision = after_revision


async def read_snapshot(client: StateClient, apply_page: Callable[[list[wire.StoredRow]], None]) -> int:
    """Reads all rows of this cell in key order, page by page; a page that is refused or gets no answer is read again.

    The pages that were read before stay valid however long that takes, because all changes since the first page follow
    through the change feed.

    Args:
        client: The client of the state service.
        apply_page: Called with the rows of each page before the next page is requested, so that only one page is held
            in memory.

    Returns:
        The revision of the first page. Later pages may include later changes, so the change feed must be read from this
        revision.

    Raises:
        StateReadError: An answer was unusable, and the same request would get the same answer again.
    """
    page = await _read_page_with_retries(client, after_key="")
    revision = page.revision
    apply_page(page.rows)
    while page.more and page.rows:
        page = await _read_page_with_retries(client, after_key=page.rows[-1].key)
        apply_page(page.rows)
    return revision


async def _read_page_with_retries(client: StateClient, after_key: str) -> wire.StoredRowPage:
    backoff = ExponentialBackoff(MIN_PAGE_RETRY_PAUSE_S, MAX_PAGE_RETRY_PAUSE_S)
    while True:
        try:
            return await _read_page(client, after_key)
        except (HttpTransportError, UnexpectedStatusError) as error:
            if isinstance(error, UnexpectedStatusError) and error.status not in TRANSIENT_STATUSES:
                raise
            pause_s = backoff.next_pause_s()
            log.info("snapshot page not read, retrying: after=%s error=%s pause_s=%.2f", after_key, error, pause_s)
        await anyio.sleep(pause_s)


async def _read_page(client: StateClient, after_key: str) -> wire.StoredRowPage:
    """Reads one page, with the lowest priority.

    A snapshot takes one request for every thousand rows. With a higher priority it would exceed the controller's share
    of the request rate, and the state service would refuse the requests of all controllers, lease renewals included.
    """
    path = f"/kv?starts={KEY_PREFIX}&page={SNAPSHOT_PAGE_ROWS}" + (f"&after={after_key}" if after_key else "")
    return _decode(await client.call("GET", path, None, RequestPriority.PROGRESS), wire.StoredRowPage)


async def read_changes(client: StateClient, after_revision: int, hold_s: float) -> wire.ChangeFeed:
    """Reads all changes after a revision.

    Args:
        client: The client of the state service.
        after_revision: The last known revision.
        hold_s: How long the state service may wait for a change, in seconds; 0: it answers immediately.

    Raises:
        http_client.HttpTransportError: The request had no answer.
        ChangesDiscardedError: The state service has discarded changes after this revision.
        StateReadError: The answer was unusable.
    """
    path = f"/changes?starts={KEY_PREFIX}&after={after_revision}&holdMs={int(hold_s * 1000)}"
    priority = RequestPriority.CLAIM if hold_s else RequestPriority.USER
    reply = await client.call("GET", path, None, priority, hold_s)
    if reply.status == HTTPStatus.GONE:
        raise ChangesDiscardedError(after_revision)
    return _decode(reply, wire.ChangeFeed)


def _decode(reply: Reply, message: type[wire.T]) -> wire.T:
    if reply.status != HTTPStatus.OK:
        raise UnexpectedStatusError(reply.status)
    try:
        return wire.decode(reply.body, message)
    except wire.MalformedError as error:
        log.error("answer of the state service is malformed: message=%s error=%s", message.__name__, error)
        raise MalformedAnswerError(str(error)) from None
