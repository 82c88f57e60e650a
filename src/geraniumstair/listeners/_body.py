"""Collects the body of a request in blocks of a fixed size."""

from typing import Protocol

import httptools

from geraniumstair.listeners import _head
from geraniumstair.listeners import _limits

# Blocks of one size leave no gaps in the heap when bodies of many sizes come
# and go. A list of small chunks would take many times their size.
BLOCK_BYTES = 16 * 1024
_CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# Framing of a chunk of one byte takes five bytes, with a short extension twice
# as many. What exceeds this factor and `max_header_bytes` is refused, because
# the body that is received does not bound its processor time.
_MAX_FRAMING_FACTOR = 16


class BodyReader(Protocol):
    """Takes the bytes after a head until the body is complete.

    Attributes:
        complete: The body is complete.
        held_bytes: Memory that the body holds.
    """

    complete: bool

    @property
    def held_bytes(self) -> int:
        """Memory that the body holds."""
        ...

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; returns those that follow the body.

        Raises:
            RefusedRequest: The body is too large or not valid.
        """
        ...

    def take(self) -> bytes:
        """Returns the whole body, and forgets it."""
        ...

    def close(self) -> None:
        """Frees what is held."""
        ...


class _Blocks:
    """Bytes in blocks."""

    def __init__(self) -> None:
        self.size_bytes = 0
        self.blocks: list[bytearray] = []
        # Unused bytes of the last block.
        self._room_bytes = 0

    @property
    def held_bytes(self) -> int:
        return len(self.blocks) * BLOCK_BYTES

    def append(self, data: bytes) -> None:
        self.size_bytes += len(data)
        while data:
            if self._room_bytes == 0:
                # A block that grows would be moved, and leave gaps.
                self.blocks.append(bytearray(BLOCK_BYTES))
                self._room_bytes = BLOCK_BYTES
            piece = data[: self._room_bytes]
            start = BLOCK_BYTES - self._room_bytes
            self.blocks[-1][start : start + len(piece)] = piece
            self._room_bytes -= len(piece)
            data = data[len(piece) :]

    def take(self) -> bytes:
        if self._room_bytes:
            del self.blocks[-1][BLOCK_BYTES - self._room_bytes :]
        body = b"".join(self.blocks)
        self.blocks = []
        return body


class LengthReader:
    """Reads a body whose length is known."""

    def __init__(self, length_bytes: int) -> None:
        self._blocks = _Blocks()
        self._length_bytes = length_bytes
        self.complete = length_bytes == 0

    @property
    def held_bytes(self) -> int:
        """Memory that the body holds."""
        return self._blocks.held_bytes

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; returns those that follow the body."""
        missing_bytes = self._length_bytes - self._blocks.size_bytes
        self._blocks.append(data[:missing_bytes])
        self.complete = self._blocks.size_bytes == self._length_bytes
        return data[missing_bytes:]

    def take(self) -> bytes:
        """Returns the whole body, and forgets it."""
        return self._blocks.take()

    def close(self) -> None:
        """Frees what is held."""
        self._blocks.blocks.clear()


class ChunkedReader:
    """Reads a chunked body.

    Args:
        max_body_bytes: Largest body.
        max_header_bytes: Largest trailers and chunk extensions between two
            parts of the body.
    """

    def __init__(self, max_body_bytes: int, max_header_bytes: int) -> None:
        self._blocks = _Blocks()
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._received_bytes = 0
        # Framing since the body grew, at the end of the last piece.
        self._received_at_growth_bytes = 0
        self._tail = b""
        self.complete = False
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    @property
    def held_bytes(self) -> int:
        """Memory that the body holds."""
        return self._blocks.held_bytes

    def on_body(self, data: bytes) -> None:
        """Takes bytes of the body from the parser."""
        if self._blocks.size_bytes + len(data) > self._max_body_bytes:
            raise _head.RefusedRequest(413, "the body is too large")
        self._blocks.append(data)
        self._received_at_growth_bytes = self._received_bytes

    def on_message_complete(self) -> None:
        """Notes the end of the body."""
        self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; returns those that follow the body.

        The parser does not tell where a body ends. A body ends with an empty
        line, so the parser gets the bytes up to each of them in turn.

        Raises:
            RefusedRequest: The body is too large or not valid.
        """
        position = 0
        while position < len(data) and not self.complete:
            end = self._find_empty_line(data, position)
            piece = data[position:end]
            self._received_bytes += len(piece)
            self._parse(piece)
            self._tail = (self._tail + piece)[1 - len(_head.HEAD_END) :]
            position = end
        self._check_framing()
        return data[position:]

    def _find_empty_line(self, data: bytes, position: int) -> int:
        """Returns the end of the next empty line, or the end of the data."""
        near_end = position + len(_head.HEAD_END) - 1
        near = self._tail + data[position:near_end]
        found = near.find(_head.HEAD_END)
        if found >= 0:
            return position + found + len(_head.HEAD_END) - len(self._tail)
        found = data.find(_head.HEAD_END, position)
        return len(data) if found < 0 else found + len(_head.HEAD_END)

    def _parse(self, piece: bytes) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if isinstance(cause, _head.RefusedRequest):
                raise cause from None
            raise
        except httptools.HttpParserError as error:
            raise _head.RefusedRequest(400, str(error)) from None

    def _check_framing(self) -> None:
        since_growth = self._received_bytes - self._received_at_growth_bytes
        framing_bytes = self._received_bytes - self._blocks.size_bytes
        if since_growth > self._max_header_bytes or framing_bytes > (
            self._max_header_bytes
            + _MAX_FRAMING_FACTOR * self._blocks.size_bytes
        ):
            raise _head.RefusedRequest(400, "the chunk framing is too large")

    def take(self) -> bytes:
        """Returns the whole body, and forgets it."""
        return self._blocks.take()

    def close(self) -> None:
        """Frees what is held.

        The parser refers to this object, so the blocks would stay until the
        next run of the garbage collector.
        """
        self._blocks.blocks.clear()
        del self._parser


def make_reader(head: _head.Head, limits: _limits.RequestLimits) -> BodyReader:
    """Returns the reader for the body of a request.

    Raises:
        RefusedRequest: The head states a body that is too large.
    """
    if head.length is None:
        return ChunkedReader(limits.max_body_bytes, limits.max_header_bytes)
    if head.length > limits.max_body_bytes:
        raise _head.RefusedRequest(413, "the body is too large")
    return LengthReader(head.length)
