"""Limits the response bytes that all connections of a process buffer."""

from typing import Protocol

# A quarter of the memory of a small VM.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BufferOwner(Protocol):
    """Buffers the body of a response."""

    def drop(self) -> None:
        """Discards the buffered bytes and refuses further ones."""


class BufferLimit:
    """Total size of the bodies that are being received.

    One connection may use all of it. If several together exceed the limit, the
    owner of the largest body is dropped, so that an endpoint that sends without
    end does not cost other endpoints their answers.

    Args:
        max_bytes: Limit of the total.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._sizes_bytes: dict[BufferOwner, int] = {}
        self._total_bytes = 0

    def set_max_bytes(self, max_bytes: int) -> None:
        """Sets the limit for what is recorded from now on."""
        self._max_bytes = max_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes that are buffered."""
        return self._total_bytes

    def record(self, owner: BufferOwner, size_bytes: int) -> None:
        """Records the size of an owner's body; drops the largest if needed."""
        self._total_bytes += size_bytes - self._sizes_bytes.get(owner, 0)
        self._sizes_bytes[owner] = size_bytes
        while self._total_bytes > self._max_bytes:
            largest = max(self._sizes_bytes, key=self._sizes_bytes.__getitem__)
            self.release(largest)
            largest.drop()

    def release(self, owner: BufferOwner) -> None:
        """Forgets an owner whose body is complete or discarded."""
        self._total_bytes -= self._sizes_bytes.pop(owner, 0)


PROCESS_LIMIT = BufferLimit(MAX_BUFFERED_BYTES)
