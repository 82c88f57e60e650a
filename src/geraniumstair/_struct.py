"""Base class of the generated messages between nodes."""

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True):
    """A message, encoded as a msgpack array that starts with its class name."""
