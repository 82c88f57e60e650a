"""Reads from and writes to the socket of one client, with time limits."""

import math
import select

import trio

from geraniumstair.listeners import _pace

READ_BYTES = 16 * 1024
# A piece of a response between two checks of the client's pace.
_WRITE_BYTES = 64 * 1024


class ClientGone(Exception):
    """The client has closed its connection, or it is lost."""


class TimedOut(Exception):
    """The client took too long."""


class Transport:
    """The socket of one client.

    Args:
        stream: The connection.

    Attributes:
        buffer: Bytes that were received and not used yet.
        pace: Progress of the present request or response.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.buffer = b""
        self.pace = _pace.TransferPace()
        self._stream = stream
        self._wait_scope: trio.CancelScope | None = None

    def limit_wait(self, deadline_s: float) -> None:
        """Brings the end of the present wait for bytes forward."""
        if self._wait_scope is not None:
            scope = self._wait_scope
            scope.deadline = min(scope.deadline, deadline_s)

    async def wait_readable(self, deadline_s: float = math.inf) -> None:
        """Waits until bytes or the end of the connection can be received.

        Args:
            deadline_s: When to give up; infinite for the limit of the pace.

        Raises:
            TimedOut: The client sent nothing in time.
        """
        socket = self._stream.socket
        if is_ready(socket, select.POLLIN):
            return
        pace_deadline_s = self.pace.start_wait(trio.current_time())
        if deadline_s == math.inf:
            deadline_s = pace_deadline_s
        try:
            with trio.CancelScope(deadline=deadline_s) as self._wait_scope:
                await trio.lowlevel.wait_readable(socket)
        finally:
            self.pace.end_wait(trio.current_time())
            scope, self._wait_scope = self._wait_scope, None
        # A process that was frozen finds both the limit exceeded and bytes
        # that arrived in time.
        if (
            scope is not None
            and scope.cancelled_caught
            and not is_ready(socket, select.POLLIN)
        ):
            raise TimedOut

    async def receive(self) -> bytes:
        """Returns received bytes; waits without a time limit.

        Raises:
            ClientGone: The client sends no more.
        """
        try:
            data = bytes(await self._stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise ClientGone from None
        if not data:
            raise ClientGone
        self.pace.moved_bytes += len(data)
        return data

    async def send(self, data: bytes) -> None:
        """Sends bytes within the limits of the pace.

        Raises:
            ClientGone: The connection is lost.
            TimedOut: The client reads too slowly.
        """
        with memoryview(data) as view:
            position = 0
            while position < len(view):
                piece = view[position : position + _WRITE_BYTES]
                position += await self._send_piece(piece)

    async def _send_piece(self, piece: memoryview) -> int:
        socket = self._stream.socket
        if not is_ready(socket, select.POLLOUT):
            await self._wait_writable()
        try:
            sent_bytes = await socket.send(piece)
        except OSError:
            raise ClientGone from None
        self.pace.moved_bytes += sent_bytes
        return sent_bytes

    async def _wait_writable(self) -> None:
        socket = self._stream.socket
        deadline_s = self.pace.start_wait(trio.current_time())
        try:
            with trio.CancelScope(deadline=deadline_s) as scope:
                await trio.lowlevel.wait_writable(socket)
        finally:
            self.pace.end_wait(trio.current_time())
        # A process that was frozen finds both the limit exceeded and a client
        # that has read in time.
        if scope.cancelled_caught and not is_ready(socket, select.POLLOUT):
            raise TimedOut

    async def discard_rest(self, limit_s: float, limit_bytes: int) -> None:
        """Ends the sending side, and discards what the client still sends.

        Closing a socket with unread bytes resets the connection, and the
        client may lose the response.
        """
        with trio.move_on_after(limit_s):
            try:
                await self._stream.send_eof()
                while limit_bytes > 0:
                    limit_bytes -= len(await self.receive())
            except (ClientGone, OSError, trio.BrokenResourceError):
                return


def is_ready(socket: trio.socket.SocketType, event: int) -> bool:
    """Returns whether an event of `select.poll` holds for a socket now."""
    poll = select.poll()
    poll.register(socket.fileno(), event)
    return bool(poll.poll(0))
