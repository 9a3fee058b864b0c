"""A digest of everything that the controllers of a seeded simulation send, in the order in which they send it."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import Any

from sloeswitch import wire

SEPARATOR = b"\x00"


class TraceRecorder:
    """Hashes messages as encoded for the wire, so that the digest does not depend on names in the code."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=16)
        # Number of recorded messages by kind.
        self.counts = Counter[str]()

    def record(self, kind: str, *parts: bytes | str | int | None) -> None:
        """Adds one message; `parts` are its sender, its recipient and its content, as far as it has them."""
        self.counts[kind] += 1
        for part in (kind, *parts):
            encoded = part if isinstance(part, bytes) else repr(part).encode()
            self._hash.update(len(encoded).to_bytes(4, "big") + encoded + SEPARATOR)

    def transaction(
        self,
        sender: str,
        conditions: dict[str, int],
        writes: dict[str, Any],
        deletes: list[str],
        leases: dict[str, int] | None,
    ) -> None:
        """Adds a transaction as it is sent to the state service."""
        self.record("transaction", sender, wire.commit_body(conditions, writes, deletes, leases or {}))

    @property
    def digest(self) -> str:
        """Returns the hexadecimal digest of all messages recorded so far."""
        return self._hash.hexdigest()
