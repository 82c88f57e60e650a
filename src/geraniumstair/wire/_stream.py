"""Message framing over a byte stream."""

import msgpack
import trio

from geraniumstair import _struct
from geraniumstair import errors
from geraniumstair.wire import _codec
from geraniumstair.wire import _traffic

MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024
_RECEIVE_BYTES = 64 * 1024
# An unpacker allocates a buffer of this size when it is created.
_UNPACKER_READ_BYTES = 4096
_HEADER_BYTES = 5
# All streams share one packer, because each packer has its own buffer.
_PACKER = msgpack.Packer()
# An unpacker takes 45 KB, which would be two thirds of the memory of an idle
# stream. Streams therefore share a pool, and a stream has an unpacker only
# while it holds received bytes.
_IDLE_UNPACKERS: list[msgpack.Unpacker] = []
_MAX_IDLE_UNPACKERS = 16


def _acquire_unpacker(limit_bytes: int) -> msgpack.Unpacker:
    if limit_bytes == MESSAGE_LIMIT_BYTES and _IDLE_UNPACKERS:
        return _IDLE_UNPACKERS.pop()
    # Only `bin` objects are allowed, so that nested containers are rejected
    # before they are allocated.
    return msgpack.Unpacker(
        read_size=_UNPACKER_READ_BYTES,
        max_buffer_size=limit_bytes + _RECEIVE_BYTES + _HEADER_BYTES,
        max_bin_len=limit_bytes,
        max_str_len=0,
        max_array_len=0,
        max_map_len=0,
        max_ext_len=0,
    )


def _return_unpacker(unpacker: msgpack.Unpacker, limit_bytes: int) -> None:
    if limit_bytes == MESSAGE_LIMIT_BYTES and (
        len(_IDLE_UNPACKERS) < _MAX_IDLE_UNPACKERS
    ):
        _IDLE_UNPACKERS.append(unpacker)


class MessageStream:
    """A stream of messages, each framed as one msgpack `bin` object.

    Attributes:
        limit_bytes: Maximum size of a received message. A handshake lowers the
            limit until the peer is authenticated.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        limit_bytes: int = MESSAGE_LIMIT_BYTES,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._stream = stream
        self._unpacker_limit_bytes = limit_bytes
        self._unpacker: msgpack.Unpacker | None = None
        # Value of `unpacker.tell()` once all received bytes are consumed.
        self._unpacker_input_bytes = 0
        self._buffered_bytes = 0
        self._queue: dict[int, bytes] = {}
        self._queued_bytes = 0
        self._next_ticket = 0
        self._write_lock = trio.Lock()
        self._closed = False

    @property
    def queued_bytes(self) -> int:
        """Bytes that are queued and not yet passed to the byte stream."""
        return self._queued_bytes

    @property
    def flushed(self) -> bool:
        """True if all queued messages have been written to the byte stream."""
        return not self._queue and not self._write_lock.locked()

    def enqueue(self, message: _struct.Message) -> int:
        """Queues a message for the next `flush`.

        Returns:
            A ticket for `remove_queued`.

        Raises:
            errors.StreamClosedError: The stream is closed.
        """
        if self._closed:
            raise errors.StreamClosedError("the stream is closed")
        frame = _PACKER.pack(_codec.encode(message))
        ticket = self._next_ticket
        self._next_ticket += 1
        self._queue[ticket] = frame
        self._queued_bytes += len(frame)
        _traffic.TRAFFIC.count_sent(message, len(frame))
        return ticket

    def remove_queued(self, ticket: int) -> bool:
        """Removes a queued message; returns False if it may have been sent."""
        frame = self._queue.pop(ticket, None)
        if frame is None:
            return False
        self._queued_bytes -= len(frame)
        return True

    async def flush(self) -> None:
        """Writes all queued messages in as few writes as possible.

        Raises:
            errors.StreamClosedError: The stream is closed or broken.
        """
        async with self._write_lock:
            while self._queue:
                if self._closed:
                    raise errors.StreamClosedError("the stream is closed")
                await self._write(self._drain_queue())

    def _drain_queue(self) -> bytes:
        data = b"".join(self._queue.values())
        self._queue.clear()
        self._queued_bytes = 0
        return data

    async def _write(self, data: bytes) -> None:
        written = False
        try:
            await self._stream.send_all(data)
            written = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise errors.StreamClosedError("the stream is broken") from error
        finally:
            if not written:
                # An interrupted write may end within a message. The peer could
                # then not find the start of the next message.
                await self._abort()

    async def _abort(self) -> None:
        self._closed = True
        await trio.aclose_forcefully(self._stream)

    async def send(self, message: _struct.Message) -> None:
        """Sends a message.

        Concurrent sends share one write. Cancellation during the write closes
        the stream.

        Raises:
            errors.StreamClosedError: The stream is closed or broken.
        """
        self.enqueue(message)
        await self.flush()

    async def receive(self) -> _struct.Message:
        """Returns the next message.

        Raises:
            errors.WireError: The peer sent an invalid frame or message.
            errors.StreamClosedError: The stream has ended.
        """
        while True:
            unpacker = self._unpacker
            if unpacker is None:
                await self._read()
                continue
            try:
                body = unpacker.unpack()
            except msgpack.OutOfData:
                await self._read()
                continue
            except (ValueError, msgpack.UnpackException) as error:
                raise errors.WireError(f"invalid frame: {error}") from error
            if not isinstance(body, bytes):
                raise errors.WireError("a frame is not a msgpack bin object")
            self._buffered_bytes -= len(body)
            self._release_unpacker(unpacker, len(body))
            if len(body) > self.limit_bytes:
                raise errors.WireError("a message exceeds the size limit")
            message = _codec.decode(body)
            _traffic.TRAFFIC.count_received(message, len(body) + _HEADER_BYTES)
            return message

    def _release_unpacker(
        self, unpacker: msgpack.Unpacker, body_bytes: int
    ) -> None:
        """Returns the unpacker to the pool if it has no part of a next frame.

        This check is valid only directly after a message was unpacked. At other
        times the unpacker may have consumed all bytes and yet keep the parsed
        header of the next frame.
        """
        if unpacker.tell() != self._unpacker_input_bytes:
            return
        self._unpacker = None
        # The buffer does not shrink after a large message, so this unpacker is
        # not returned to the pool.
        if body_bytes <= _RECEIVE_BYTES:
            _return_unpacker(unpacker, self._unpacker_limit_bytes)

    async def _read(self) -> None:
        self._buffered_bytes = max(0, self._buffered_bytes)
        if self._buffered_bytes > self.limit_bytes + _RECEIVE_BYTES:
            raise errors.WireError("a message exceeds the size limit")
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise errors.StreamClosedError("the stream is broken") from error
        if not data:
            raise errors.StreamClosedError("the peer closed the stream")
        self._buffered_bytes += len(data)
        if self._unpacker is None:
            self._unpacker = _acquire_unpacker(self._unpacker_limit_bytes)
            self._unpacker_input_bytes = self._unpacker.tell()
        self._unpacker_input_bytes += len(data)
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise errors.WireError(
                "a message exceeds the size limit"
            ) from error

    async def aclose(self) -> None:
        """Closes the stream; queued messages are dropped."""
        self._closed = True
        await self._stream.aclose()
