"""Which member of a view owns a machine, and at which one an image is at home: the highest hash of the
pair, so that a change of the view moves only what was at members that came or went."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b


# Names asked about under one view: some thousand machines, and the images. One name more than there are places would
# have a pass over all of them miss each time.
@lru_cache(maxsize=1 << 15)
def owner(machine: str, members: tuple[tuple[str, int], ...]) -> str | None:
    best: tuple[bytes, str] | None = None
    for member, _boot in members:
        weight = (blake2b(f"{machine}|{member}".encode(), digest_size=8).digest(), member)
        if best is None or weight > best:
            best = weight
    return best[1] if best else None
