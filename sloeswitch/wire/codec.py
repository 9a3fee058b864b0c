"""Encodes messages to JSON bodies and decodes them."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
# The size limit of a request body.
MAX_BODY_BYTES = 64 * 1024


class MalformedError(Exception):
    """A message does not conform to the protocol."""


_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(data: bytes, message_type: type[T]) -> T:
    """Decodes a message of the given type; raises MalformedError with the reason."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = _decoders[message_type] = msgspec.json.Decoder(message_type)
    try:
        result: T = decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedError(str(error)) from None
    return result


encode = msgspec.json.encode
