"""Messages to and from their JSON bodies."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
# The largest body of a request.
MAX_BODY_BYTES = 64 * 1024


class MalformedError(Exception):
    """A message that is not what the protocol says."""


_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(data: bytes, message_type: type[T]) -> T:
    """A message of the given type, or MalformedError saying what is wrong with it."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        result: T = decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedError(str(error)) from None
    return result


encode = msgspec.json.encode
