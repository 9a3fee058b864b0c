"""Reads of the state service: the pages of a snapshot, and the errors for unusable answers."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from sloeswitch.http_client import Reply
from sloeswitch.settings import parse
from sloeswitch.state_client import StateClient
from sloeswitch.state_reads import (
    ChangesDiscardedError,
    MalformedAnswerError,
    StateReadError,
    UnexpectedStatusError,
    read_changes,
    read_snapshot,
)
from sloeswitch.wire import StoredRow
from tests.conftest import SETTINGS


class ScriptedClient(StateClient):
    """Returns the given answers in order and records the paths of the requests."""

    def __init__(self, *answers: Reply) -> None:
        super().__init__(parse(SETTINGS), lambda: 1, lambda: 0.0)
        self.answers = list(answers)
        self.paths: list[str] = []

    async def call(self, method: str, path: str, body: Any, priority: Any, hold_s: float = 0.0) -> Reply:
        self.paths.append(path)
        return self.answers.pop(0)


def test_a_snapshot_has_the_revision_of_its_first_page() -> None:
    """Changes made while later pages are read must be read again from the change feed."""
    client = ScriptedClient(
        Reply(200, b'{"rows":[{"k":"s1/a","v":1,"stamp":2}],"hasNext":true,"epoch":7}'),
        Reply(200, b'{"rows":[{"k":"s1/b","v":2,"stamp":8}],"hasNext":false,"epoch":9}'),
    )
    keys_by_request: list[tuple[int, str]] = []

    def record_page(rows: list[StoredRow]) -> None:
        keys_by_request.extend((len(client.paths), row.key) for row in rows)

    revision = anyio.run(read_snapshot, client, record_page)
    # Each page is handed over before the next one is requested, so that the rows of one page are held at a time.
    assert revision == 7 and keys_by_request == [(1, "s1/a"), (2, "s1/b")]
    assert client.paths == ["/kv?starts=s1/&page=1000", "/kv?starts=s1/&page=1000&after=s1/a"]


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [(503, b"{}", UnexpectedStatusError), (200, b"{}", MalformedAnswerError), (410, b"{}", ChangesDiscardedError)],
)
def test_an_unusable_answer_raises_an_error_that_gives_the_reason(
    status: int, body: bytes, error: type[StateReadError]
) -> None:
    with pytest.raises(error) as caught:
        anyio.run(read_changes, ScriptedClient(Reply(status, body)), 431, 10.0)
    if isinstance(caught.value, UnexpectedStatusError):
        assert caught.value.status == status
    if isinstance(caught.value, ChangesDiscardedError):
        assert caught.value.after_revision == 431
