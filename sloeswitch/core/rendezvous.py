"""Rendezvous hashing: assigns machines to the members of a view, and images to the member that prefers to claim them.

The owner of a name is the member for which the hash of name and member is highest. A change of the view therefore
reassigns only the names of members that left and those that go to members that joined.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

# The cache must hold every name looked up under one view: several thousand machines, and the images. If it held one
# entry less, a repeated pass over all names would miss on every lookup, because the least recently used entry goes
# first.
OWNER_CACHE_SIZE = 1 << 15


@lru_cache(maxsize=OWNER_CACHE_SIZE)
def owner(name: str, members: tuple[tuple[str, int], ...]) -> str | None:
    """Returns the member that owns a machine or an image, or None if there are no members.

    Args:
        name: The machine or the image.
        members: The members of the view, each with its lease id. The lease id is not hashed, so that a restarted
            controller keeps its machines.
    """
    highest: tuple[bytes, str] | None = None
    for member, _lease_id in members:
        weight = (blake2b(f"{name}|{member}".encode(), digest_size=8).digest(), member)
        if highest is None or weight > highest:
            highest = weight
    return highest[1] if highest else None
