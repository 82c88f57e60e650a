"""Interfaces of byte stream transports and message handlers."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import socket
from typing import Any
from typing import Protocol

import trio

from geraniumstair import _struct


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PeerAddress:
    """IP address and TCP port of a node's peer listener."""

    address: str
    port: int


class AsyncHandler(Protocol):
    """Callback for the messages of one type."""

    async def __call__(
        self, sender: str, message: Any, /
    ) -> _struct.Message | None:
        """Handles a message.

        Args:
            sender: Node id of the authenticated peer.
            message: The message, of the registered type.

        Returns:
            The reply to a call; ignored for a one-way message.
        """


class SyncHandler(Protocol):
    """Callback for the requests of one type, called without a task."""

    def __call__(
        self, sender: str, message: Any, reply: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Starts a request.

        Args:
            sender: Node id of the peer.
            message: The request.
            reply: Sends the reply; may be called before this returns.

        Returns:
            A function that aborts the request, called if the stream ends
            before the reply.
        """


class Transport(Protocol):
    """Opens and accepts byte streams."""

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Opens a stream.

        Raises:
            OSError: The address does not accept a connection.
        """

    async def listen(
        self, address: PeerAddress
    ) -> Sequence[trio.abc.Listener[Any]]:
        """Returns listeners that are bound to the address."""

    def bound_port(self, listener: trio.abc.Listener[Any]) -> int:
        """Returns the port of a listener."""


class TcpTransport:
    """Transport over TCP with Nagle's algorithm disabled."""

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Opens a TCP connection.

        Raises:
            OSError: The address does not accept a connection.
        """
        stream = await trio.open_tcp_stream(address.address, address.port)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return stream

    async def listen(
        self, address: PeerAddress
    ) -> Sequence[trio.abc.Listener[Any]]:
        """Listens on the address; port 0 lets the system choose one."""
        return await trio.open_tcp_listeners(address.port, host=address.address)

    def bound_port(self, listener: trio.abc.Listener[Any]) -> int:
        """Returns the TCP port of a listener."""
        assert isinstance(listener, trio.SocketListener)
        return int(listener.socket.getsockname()[1])
