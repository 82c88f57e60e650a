"""Encoding and decoding of the generated messages."""

from typing import Any
from typing import Union

import msgspec

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair._generated import messages


def _message_types() -> tuple[type[_struct.Message], ...]:
    found = [
        value
        for value in vars(messages).values()
        if isinstance(value, type)
        and issubclass(value, _struct.Message)
        and value is not _struct.Message
    ]
    return tuple(found)


_ENCODER = msgspec.msgpack.Encoder()
_ANY_MESSAGE: Any = Union[_message_types()]  # noqa: UP007
_DECODER = msgspec.msgpack.Decoder(_ANY_MESSAGE)


def encode(message: _struct.Message) -> bytes:
    """Returns the message as a msgpack array that starts with its tag."""
    return _ENCODER.encode(message)


def decode(body: bytes) -> _struct.Message:
    """Returns the message encoded in `body`.

    Raises:
        errors.WireError: The bytes are not a valid message.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.WireError(f"invalid message: {error}") from error
