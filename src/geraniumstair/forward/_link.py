"""One connection to an endpoint: a task that reads it, one call at a time.

A call is written by the task that makes it, and its reply is delivered by the
task that reads the connection. So a search of many shards costs one task and
one wake-up for each reply, whatever is waited for.
"""

import socket
from typing import Protocol

import trio

from geraniumstair import calls
from geraniumstair import discovery
from geraniumstair.forward import _call

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
# A connection is not used in the last part of its idle time, because the
# endpoint may close it while the request is on its way.
IDLE_MARGIN_S = 0.5
# Idle time that is assumed where the endpoint does not tell its own.
DEFAULT_IDLE_S = 4.0
# A peer that vanished without a reset is noticed after this time.
USER_TIMEOUT_MS = 4000


class LinkOwner(Protocol):
    """What a link reports to its replica."""

    def link_free(self, link: "Link") -> None:
        """The link can take a call."""

    def link_closed(self, link: "Link") -> None:
        """The link is closed and carries nothing."""

    def call_ended(self, call: _call.Call, reply: _call.Reply) -> None:
        """A call has ended, also one that nobody waits for."""


class Link(Protocol):
    """One open connection; carries one call at a time."""

    call: _call.Call | None

    @property
    def usable(self) -> bool:
        """True if a call can be sent now."""

    def start(self, call: _call.Call, data: bytes) -> bool:
        """Sends a call; False if no byte of it was sent."""

    def close(self) -> None:
        """Closes the connection; a call on it is lost."""

    async def run(self, owner: LinkOwner) -> None:
        """Reads replies until the connection is closed."""


class LinkFactory(Protocol):
    """Opens connections to endpoints."""

    async def connect(self, entry: discovery.EndpointEntry) -> Link:
        """Opens a connection.

        Raises:
            OSError: The endpoint cannot be reached in time.
        """


class TcpLinkFactory:
    """Opens TCP connections that carry HTTP/1.1."""

    def __init__(self, dialect: _call.Dialect) -> None:
        self._dialect = dialect

    async def connect(self, entry: discovery.EndpointEntry) -> "TcpLink":
        """Opens a connection; see `LinkFactory.connect`."""
        endpoint_socket = await calls.connect(
            entry.address,
            entry.port,
            CONNECT_TIMEOUT_S,
            user_timeout_ms=USER_TIMEOUT_MS,
        )
        return TcpLink(endpoint_socket, self._dialect)


class TcpLink:
    """A link over a connected, non-blocking socket."""

    def __init__(
        self, endpoint_socket: socket.socket, dialect: _call.Dialect
    ) -> None:
        self.call: _call.Call | None = None
        self._socket = endpoint_socket
        self._dialect = dialect
        self._reader = calls.ResponseReader(MAX_RESPONSE_BYTES)
        self._open = True
        self._idle_s = DEFAULT_IDLE_S
        self._idle_since_s = trio.current_time()
        self._unsent = b""
        self._flush = trio.Event()
        self._detail = ""

    @property
    def usable(self) -> bool:
        """True if a call can be sent now."""
        if not self._open or self.call is not None:
            return False
        idle_s = trio.current_time() - self._idle_since_s
        return idle_s < self._idle_s - IDLE_MARGIN_S

    def start(self, call: _call.Call, data: bytes) -> bool:
        """Sends a call; False if no byte of it was sent."""
        if not call.idempotent and self._has_input():
            # The endpoint has closed the connection. Sending would leave it
            # open whether the request has run.
            self.close()
            return False
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return False
        self.call = call
        call.sent = True
        call.sent_s = trio.current_time()
        if sent < len(data):
            self._unsent = data[sent:]
            self._flush.set()
        return True

    def close(self) -> None:
        """Closes the connection; a call on it is lost."""
        if self._open:
            self._open = False
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def _has_input(self) -> bool:
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def run(self, owner: LinkOwner) -> None:
        """Reads replies until the connection is closed."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write_loop)
                await self._read_loop(owner)
                nursery.cancel_scope.cancel()
        finally:
            self.close()
            self._lose(owner)
            owner.link_closed(self)

    async def _write_loop(self) -> None:
        """Writes what the socket did not take at once."""
        while True:
            await self._flush.wait()
            self._flush = trio.Event()
            try:
                await self._write_unsent()
            except (OSError, trio.ClosedResourceError):
                # The reading task meets the same end, and may still find an
                # answer that was sent before it.
                return

    async def _write_unsent(self) -> None:
        while self._unsent:
            await trio.lowlevel.wait_writable(self._socket)
            try:
                sent = self._socket.send(self._unsent)
            except BlockingIOError:
                continue
            self._unsent = self._unsent[sent:]

    async def _read_loop(self, owner: LinkOwner) -> None:
        while self._open:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as error:
                self._detail = f"connection lost: {error}"
                return
            if not data:
                self._finish(owner)
                return
            self._feed(owner, data)

    def _finish(self, owner: LinkOwner) -> None:
        response = self._reader.finish()
        self._detail = "the endpoint closed the connection"
        if response is not None:
            self.close()
            self._deliver(owner, response)

    def _feed(self, owner: LinkOwner, data: bytes) -> None:
        try:
            responses = self._reader.feed_all(data)
        except calls.InvalidResponse as error:
            self._detail = f"malformed response: {error}"
            self.close()
            return
        for response in responses:
            self._deliver(owner, response)
        if not self._reader.reusable or (
            self.call is None and (self._reader.started or not responses)
        ):
            # Bytes that belong to no call leave the connection out of step.
            self.close()
        elif self.call is None and self._open:
            owner.link_free(self)

    def _deliver(self, owner: LinkOwner, response: calls.Response) -> None:
        call = self.call
        if call is None:
            self.close()
            return
        reply = self._dialect.classify(response, call.prepared.request_id)
        if reply is None:
            # A second answer to an earlier call; the own one follows.
            return
        self.call = None
        idle_s = self._dialect.idle_limit_s(response)
        if idle_s is not None:
            self._idle_s = idle_s
        self._idle_since_s = trio.current_time()
        if self._unsent or reply.outcome is _call.Outcome.LOST:
            # The endpoint still expects the rest of the request, or the
            # answer was not valid.
            self._unsent = b""
            self.close()
        owner.call_ended(call, reply)

    def _lose(self, owner: LinkOwner) -> None:
        call, self.call = self.call, None
        if call is not None:
            detail = self._detail or "the connection was closed"
            owner.call_ended(call, _call.Reply(_call.Outcome.LOST, detail))
