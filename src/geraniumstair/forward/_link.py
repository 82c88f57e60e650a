"""One connection to an endpoint, which carries one call at a time.

The task that makes a call writes the request, and the task that reads the
connection delivers the reply. So a search needs one task however many shards it
waits for, and each reply wakes one task.
"""

import collections
import socket
from typing import Protocol

import trio

from geraniumstair import discovery
from geraniumstair import endpoint_http
from geraniumstair.forward import _call

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
# A connection is not used in the last part of its idle time, because the
# endpoint may close it while the request is in transit.
IDLE_MARGIN_S = 0.5
# Idle limit that is assumed if the endpoint does not state its own.
DEFAULT_IDLE_LIMIT_S = 4.0
# A peer that disappeared without a reset is detected after this time.
USER_TIMEOUT_MS = 4000
# Requests that a connection remembers. A late copy of an answer arrives while
# one of the next calls waits for its own.
MAX_ANSWERED_REQUESTS = 32


class LinkOwner(Protocol):
    """Callbacks for the events of a link."""

    def on_link_free(self, link: "Link") -> None:
        """Called when the link can carry another call."""

    def on_link_closed(self, link: "Link") -> None:
        """Called when the link is closed and no call is left on it."""

    def on_call_ended(self, call: _call.Call, reply: _call.Reply) -> None:
        """Called when a call has ended, even if it was abandoned."""


class Link(Protocol):
    """One open connection, which carries one call at a time."""

    call: _call.Call | None

    @property
    def usable(self) -> bool:
        """True if a call can be sent now."""

    def has_answered(self, request_id: bytes) -> bool:
        """Returns whether an answer to this request arrived recently.

        A late copy of that answer can't be told from the answer to another call
        of the request.
        """

    def start(self, call: _call.Call, data: bytes) -> bool:
        """Sends a call; returns False if no byte of it was sent."""

    def close(self) -> None:
        """Closes the connection; a call on it ends as lost."""

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
        endpoint_socket = await endpoint_http.connect(
            entry.address,
            entry.port,
            CONNECT_TIMEOUT_S,
            user_timeout_ms=USER_TIMEOUT_MS,
        )
        return TcpLink(endpoint_socket, self._dialect)


class TcpLink:
    """A connection over a non-blocking TCP socket."""

    def __init__(
        self, endpoint_socket: socket.socket, dialect: _call.Dialect
    ) -> None:
        self.call: _call.Call | None = None
        self._socket = endpoint_socket
        self._dialect = dialect
        self._parser = endpoint_http.ResponseParser(MAX_RESPONSE_BYTES)
        self._open = True
        self._idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._idle_since_s = trio.current_time()
        # Signature of the last answer; None before the first one.
        self._last_signature: bytes | None = None
        self._answered_requests: collections.deque[bytes] = collections.deque(
            maxlen=MAX_ANSWERED_REQUESTS
        )
        self._unsent = b""
        self._has_unsent = trio.Event()
        self._close_reason = ""
        self._closed_by_peer = False

    @property
    def usable(self) -> bool:
        """True if a call can be sent now."""
        if not self._open or self.call is not None:
            return False
        idle_s = trio.current_time() - self._idle_since_s
        return idle_s < self._idle_limit_s - IDLE_MARGIN_S

    def has_answered(self, request_id: bytes) -> bool:
        """Returns whether an answer to this request arrived recently."""
        return request_id in self._answered_requests

    def start(self, call: _call.Call, data: bytes) -> bool:
        """Sends a call; returns False if no byte of it was sent."""
        if not call.idempotent and self._has_unread_input():
            # The endpoint has closed the connection. If the request were sent,
            # it would be unknown whether it has run.
            self.close()
            return False
        try:
            sent_bytes = self._socket.send(data)
        except BlockingIOError:
            sent_bytes = 0
        except OSError:
            self.close()
            return False
        self.call = call
        call.sent = True
        call.sent_s = trio.current_time()
        if sent_bytes < len(data):
            self._unsent = data[sent_bytes:]
            self._has_unsent.set()
        return True

    def close(self) -> None:
        """Closes the connection; a call on it ends as lost."""
        if self._open:
            self._open = False
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def _has_unread_input(self) -> bool:
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
            self._parser.close()
            self._report_lost_call(owner)
            owner.on_link_closed(self)

    async def _write_loop(self) -> None:
        """Writes the bytes that the socket did not accept at once."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent = trio.Event()
            try:
                await self._write_unsent()
            except (OSError, trio.ClosedResourceError):
                # The reading task detects the lost connection as well, and may
                # still find an answer that was sent before.
                return

    async def _write_unsent(self) -> None:
        while self._unsent:
            await trio.lowlevel.wait_writable(self._socket)
            try:
                sent_bytes = self._socket.send(self._unsent)
            except BlockingIOError:
                continue
            self._unsent = self._unsent[sent_bytes:]

    async def _read_loop(self, owner: LinkOwner) -> None:
        while self._open:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as error:
                self._close_reason = f"connection lost: {error}"
                self._closed_by_peer = isinstance(error, OSError)
                return
            if not data:
                self._handle_eof(owner)
                return
            self._handle_data(owner, data)

    def _handle_eof(self, owner: LinkOwner) -> None:
        response = self._parser.finish()
        self._close_reason = "the endpoint closed the connection"
        self._closed_by_peer = True
        if response is not None:
            self.close()
            self._deliver_response(owner, response)

    def _handle_data(self, owner: LinkOwner, data: bytes) -> None:
        try:
            responses = self._parser.parse_all(data)
        except endpoint_http.InvalidResponse as error:
            self._close_reason = f"malformed response: {error}"
            self.close()
            return
        for response in responses:
            self._deliver_response(owner, response)
        if not self._parser.reusable or (
            self.call is None
            and (self._parser.has_partial_response or not responses)
        ):
            # After bytes that belong to no call, responses can't be matched to
            # calls any more.
            self.close()
        elif self.call is None and self._open:
            owner.on_link_free(self)

    def _deliver_response(
        self, owner: LinkOwner, response: endpoint_http.Response
    ) -> None:
        call = self.call
        if call is None:
            self.close()
            return
        reply = self._dialect.classify(response, call.prepared.request_id)
        if reply is None:
            # This is a second answer to an earlier call; the answer to this
            # call follows.
            return
        if not reply.names_request and self._last_signature is not None:
            if reply.signature and reply.signature == self._last_signature:
                # A second copy of the last answer.
                return
            if not reply.signature:
                # It may be a second copy as well, so the call may have run.
                reply = _call.Reply(
                    _call.Outcome.LOST,
                    "a response without request id on a reused connection",
                )
        self._last_signature = reply.signature
        self._answered_requests.append(call.prepared.request_id)
        self.call = None
        idle_s = self._dialect.idle_limit_s(response)
        if idle_s is not None:
            self._idle_limit_s = idle_s
        self._idle_since_s = trio.current_time()
        if self._unsent or reply.outcome is _call.Outcome.LOST:
            # The endpoint still expects the rest of the request, or the
            # answer was not valid.
            self._unsent = b""
            self.close()
        owner.on_call_ended(call, reply)

    def _report_lost_call(self, owner: LinkOwner) -> None:
        call, self.call = self.call, None
        if call is not None:
            detail = self._close_reason or "the connection was closed"
            owner.on_call_ended(
                call,
                _call.Reply(
                    _call.Outcome.LOST,
                    detail,
                    connection_lost=self._closed_by_peer,
                ),
            )
