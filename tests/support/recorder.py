"""A digest of everything that leaves the controllers of a seeded world, in the order in which it leaves."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import Any

from sloeswitch import wire

SEPARATOR = b"\x00"


class TraceRecorder:
    """Hashes messages as the bytes that go over the wire, so that it does not depend on names in the code."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=16)
        # How many messages of each kind were recorded.
        self.counts = Counter[str]()

    def record(self, kind: str, *parts: bytes | str | int | None) -> None:
        """Adds one message; `parts` say who sent it, to whom, and what."""
        self.counts[kind] += 1
        for part in (kind, *parts):
            # A word of an enumeration counts as the text that it is on the wire.
            encoded = part if isinstance(part, bytes) else repr(str(part) if isinstance(part, str) else part).encode()
            self._hash.update(len(encoded).to_bytes(4, "big") + encoded + SEPARATOR)

    def transaction(
        self,
        sender: str,
        conditions: dict[str, int],
        writes: dict[str, Any],
        drops: list[str],
        lease: dict[str, int] | None,
    ) -> None:
        """Adds a transaction as it is sent to the state service."""
        self.record("transaction", sender, wire.commit_body(conditions, writes, drops, lease or {}))

    @property
    def digest(self) -> str:
        """The digest over all that was recorded so far, in hexadecimal."""
        return self._hash.hexdigest()
