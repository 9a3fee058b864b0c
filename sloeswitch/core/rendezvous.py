"""Rendezvous hashing: which member of a view owns a machine, and which one preferably claims the jobs of an image.

The owner is the member with the highest hash of the pair, so that a change of the view moves only what belonged to
members that came or went.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

# Names looked up under one view: some thousand machines, and the images. The cache must hold all of them: with one
# name more than there are places, a pass over all of them would miss each time.
CACHED_NAMES = 1 << 15


@lru_cache(maxsize=CACHED_NAMES)
def owner(name: str, members: tuple[tuple[str, int], ...]) -> str | None:
    """The member that owns a machine or an image; None when there is no member.

    Args:
        name: The machine or the image.
        members: Members of the view, each with its incarnation, which does not count: a controller that restarts
            keeps its machines.
    """
    highest: tuple[bytes, str] | None = None
    for member, _incarnation in members:
        weight = (blake2b(f"{name}|{member}".encode(), digest_size=8).digest(), member)
        if highest is None or weight > highest:
            highest = weight
    return highest[1] if highest else None
