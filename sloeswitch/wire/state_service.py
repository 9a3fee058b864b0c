"""Rows, changes, transactions and leases of the state service."""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from sloeswitch.wire.codec import encode


class StoredRow(Struct, rename={"key": "k", "value": "v", "mod_revision": "stamp"}):
    """A stored value, and the store's revision at its last change."""

    key: str
    value: Any
    mod_revision: int


class StoredRowPage(Struct, rename={"revision": "epoch", "more": "hasNext"}):
    """A page of stored values, by key (GET /kv), read at a revision of the store."""

    rows: list[StoredRow]
    revision: int
    more: bool


class ChangeEvent(Struct, rename={"mod_revision": "stamp", "value": "v"}):
    """A change of one key: a write of a value, or a drop."""

    mod_revision: int
    write: str | None = None
    drop: str | None = None
    value: Any = None


class ChangeFeed(Struct, rename={"revision": "epoch"}):
    """All changes since a revision of the store, up to another (GET /changes)."""

    revision: int
    events: list[ChangeEvent]


class RevisionReply(Struct, rename={"revision": "epoch"}):
    """The store's revision after a transaction."""

    revision: int


class LeaseGrant(Struct, rename={"lease_id": "permit"}):
    """A lease that the state service granted (POST /grants)."""

    lease_id: int


def commit_body(conditions: dict[str, int], writes: dict[str, Any], drops: list[str], lease: dict[str, int]) -> bytes:
    """The body of a transaction (POST /multi).

    It is carried out if each key in `conditions` has this modification revision, 0 if it is absent. `lease` has the
    lease to which a written key is bound.
    """
    then: list[dict[str, Any]] = []
    for key, value in writes.items():
        item = {"write": key, "v": value}
        if key in lease:
            item["permit"] = lease[key]
        then.append(item)
    then.extend({"drop": key} for key in drops)
    return encode({"if": [{"k": key, "stamp": stamp} for key, stamp in conditions.items()], "then": then})
