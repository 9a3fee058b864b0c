"""Messages of the state service: rows, changes, transactions and leases."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from sloeswitch.wire.codec import encode


class StoredRow(Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A key with its value and its modification revision, the store's revision at its last change."""

    key: str
    value: Any
    mod_revision: int


class StoredRowPage(Struct, rename={"revision": "epoch", "more": "hasNext"}):
    """A page of rows sorted by key (GET /kv), and the revision of the store at which it was read."""

    rows: list[StoredRow]
    revision: int
    more: bool


class ChangeEvent(Struct, rename={"mod_revision": "stamp", "value": "v"}):
    """A change of one key: `write` has the key of a written value, `drop` the key of a deletion."""

    mod_revision: int
    write: str | None = None
    drop: str | None = None
    value: Any = None


class ChangeFeed(Struct, rename={"revision": "epoch"}):
    """The changes after the requested revision of the store, up to and including `revision` (GET /changes)."""

    revision: int
    events: list[ChangeEvent]


class RevisionReply(Struct, rename={"revision": "epoch"}):
    """The answer to a transaction: the revision of the store after it."""

    revision: int


class LeaseGrant(Struct, rename={"lease_id": "permit"}):
    """A lease that the state service granted (POST /grants)."""

    lease_id: int


def commit_body(conditions: dict[str, int], writes: dict[str, Any], drops: list[str], lease: dict[str, int]) -> bytes:
    """Encodes the body of a transaction (POST /multi).

    Args:
        conditions: The modification revision that each of these keys must have, 0 for an absent key. Otherwise the
            transaction is not executed.
        writes: The values to write, by key.
        drops: The keys to delete.
        lease: The lease to which a written key is attached, by key.
    """
    then: list[dict[str, Any]] = []
    for key, value in writes.items():
        item = {"write": key, "v": value}
        if key in lease:
            item["permit"] = lease[key]
        then.append(item)
    then.extend({"drop": key} for key in drops)
    return encode({"if": [{"k": key, "stamp": stamp} for key, stamp in conditions.items()], "then": then})
