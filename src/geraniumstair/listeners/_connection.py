"""Serves the requests of one connection in order."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import math
from typing import Any
from typing import Protocol

import trio

from geraniumstair import observe
from geraniumstair.listeners import _body
from geraniumstair.listeners import _eviction
from geraniumstair.listeners import _exchange
from geraniumstair.listeners import _head
from geraniumstair.listeners import _limits
from geraniumstair.listeners import _memory
from geraniumstair.listeners import _metrics
from geraniumstair.listeners import _pace
from geraniumstair.listeners import _transport

_LOG = logging.getLogger(__name__)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# What a client may still send after its request was refused.
_DISCARD_LIMIT_S = 1.0
_DISCARD_LIMIT_BYTES = 1024 * 1024
# Heads of ordinary requests do not wait for memory.
_MAX_FREE_HEAD_BYTES = 8 * 1024
# Blank lines that a client may send before a request.
_MAX_BLANK_LINES = 8
_EMPTY_FIELDS = [(b"content-length", b"0"), (b"connection", b"close")]

Application = Callable[
    [
        dict[str, Any],
        Callable[[], Awaitable[dict[str, Any]]],
        Callable[[dict[str, Any]], Awaitable[None]],
    ],
    Awaitable[None],
]


class ConnectionContext(Protocol):
    """What the connections of a listener share.

    Attributes:
        application: ASGI application.
        budget: The bound over all connections.
        metrics: Counters of the listener.
    """

    application: Application
    budget: _memory.MemoryBudget
    metrics: _metrics.ListenerMetrics

    @property
    def limits(self) -> _limits.RequestLimits:
        """The limits in force."""
        ...

    @property
    def closing(self) -> bool:
        """Connections close after their next response."""
        ...

    @property
    def idle_until_s(self) -> float:
        """When idle connections close at the latest; infinite if not known."""
        ...

    @property
    def expected_response_bytes(self) -> int:
        """Mean size of recent responses."""
        ...

    def record_response(self, size_bytes: int) -> None:
        """Records the size of a response."""
        ...


class Connection:
    """One connection of a client.

    Args:
        stream: The connection.
        context: What all connections share.

    Attributes:
        memory: The memory that it holds.
    """

    def __init__(
        self, stream: trio.SocketStream, context: ConnectionContext
    ) -> None:
        self._context = context
        self._transport = _transport.Transport(stream)
        self._scope = trio.CancelScope()
        self._phase = _eviction.Phase.TRANSFER
        self._since_s = trio.current_time()
        self._gone = False
        # Nothing of the next request has arrived.
        self._awaits_head = True
        # Memory of the request and the response, without received bytes.
        self._message_bytes = 0
        self.memory = _memory.MemoryUsage(context.budget, self._scope.cancel)

    @property
    def closing(self) -> bool:
        """The connection has to close after its present response."""
        return self._context.closing

    def describe(self) -> _eviction.Candidate[_memory.MemoryUsage]:
        """Returns what decides whether this connection is dropped."""
        now_s = trio.current_time()
        if self._phase == _eviction.Phase.IDLE:
            waited_s = now_s - self._since_s
        else:
            waited_s = self._transport.pace.waited_s(now_s)
        return _eviction.Candidate(
            self.memory, self._phase, self.memory.held_bytes, waited_s
        )

    def limit_idle_wait(self, deadline_s: float) -> None:
        """Closes the connection at that time if it carries no request."""
        if self._awaits_head:
            self._transport.limit_wait(deadline_s)

    async def serve(self) -> None:
        """Serves requests until the connection ends."""
        self._update_memory()
        try:
            with self._scope:
                while await self._serve_next():
                    self._phase = _eviction.Phase.IDLE
                    self._since_s = trio.current_time()
        except (_transport.ClientGone, _transport.TimedOut):
            pass
        finally:
            self.memory.set_held(0)

    async def _serve_next(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        limits = self._context.limits
        try:
            head = await self._read_head(limits)
            if head is None:
                return False
            received_s = trio.current_time()
            body = await self._read_body(head, limits)
        except _head.RefusedRequest as refusal:
            await self._refuse(refusal)
            return False
        return await self._run(head, body, received_s)

    async def _read_head(
        self, limits: _limits.RequestLimits
    ) -> _head.Head | None:
        """Returns the next head; None if the connection is to close."""
        transport = self._transport
        transport.pace = _pace.TransferPace()
        idle_deadline_s = min(
            trio.current_time() + limits.idle_timeout_s,
            self._context.idle_until_s,
        )
        head_deadline_s = math.inf
        blank_lines = 0
        while True:
            while transport.buffer.startswith(b"\r\n"):
                blank_lines += 1
                if blank_lines > _MAX_BLANK_LINES:
                    raise _head.RefusedRequest(400, "too many blank lines")
                transport.buffer = transport.buffer[2:]
            self._awaits_head = not transport.buffer
            if transport.buffer:
                if head_deadline_s == math.inf:
                    self._phase = _eviction.Phase.TRANSFER
                    # The time before the first byte does not count.
                    transport.pace = _pace.TransferPace()
                    now_s = trio.current_time()
                    head_deadline_s = now_s + limits.header_timeout_s
                data = self._take_head(limits.max_header_bytes)
                if data:
                    await self._reserve_head(data)
                    return _head.parse_head(data)
            try:
                await transport.wait_readable(
                    head_deadline_s if transport.buffer else idle_deadline_s
                )
            except _transport.TimedOut:
                if transport.buffer:
                    raise _head.RefusedRequest(
                        408, "the head took too long"
                    ) from None
                self._context.metrics.dropped.labels(
                    _metrics.DropReason.IDLE
                ).inc()
                return None
            transport.buffer += await transport.receive()
            self._update_memory()

    async def _reserve_head(self, data: bytes) -> None:
        """Reserves the memory of a head before it is parsed."""
        needed_bytes = _head.estimate_parsed_bytes(data)
        self._message_bytes = needed_bytes
        if needed_bytes > _MAX_FREE_HEAD_BYTES:
            # Many heads may arrive before any connection can be dropped.
            self._message_bytes = len(data)
            self._update_memory()
            self._message_bytes += await self.memory.reserve(
                needed_bytes - len(data)
            )

    def _take_head(self, max_header_bytes: int) -> bytes:
        """Takes a head from the buffer; returns no bytes if it is partial."""
        buffer = self._transport.buffer
        found = buffer.find(_head.HEAD_END, 0, max_header_bytes)
        if found < 0:
            _head.check_partial_head(buffer)
            if len(buffer) >= max_header_bytes:
                raise _head.RefusedRequest(431, "the head is too large")
            return b""
        end = found + len(_head.HEAD_END)
        self._transport.buffer = buffer[end:]
        return buffer[:end]

    async def _read_body(
        self, head: _head.Head, limits: _limits.RequestLimits
    ) -> bytes:
        reader = _body.make_reader(head, limits)
        try:
            return await self._fill(reader, head, limits)
        finally:
            reader.close()

    async def _fill(
        self,
        reader: _body.BodyReader,
        head: _head.Head,
        limits: _limits.RequestLimits,
    ) -> bytes:
        transport = self._transport
        transport.buffer = reader.feed(transport.buffer)
        self._message_bytes += reader.held_bytes
        self._update_memory()
        body_bytes = reader.held_bytes
        if not reader.complete:
            body_bytes = max(
                head.length or limits.max_body_bytes, _body.BLOCK_BYTES
            )
        # The node holds the body, a copy for an endpoint, and the response.
        self._message_bytes += await self.memory.reserve(
            2 * body_bytes
            - reader.held_bytes
            + self._context.expected_response_bytes
        )
        if head.expects_continue and not reader.complete:
            await transport.send(_CONTINUE)
        while not reader.complete:
            try:
                await transport.wait_readable()
            except _transport.TimedOut:
                raise _head.RefusedRequest(
                    408, "the body came too slowly"
                ) from None
            transport.buffer = reader.feed(await transport.receive())
        return reader.take()

    async def _run(
        self, head: _head.Head, body: bytes, received_s: float
    ) -> bool:
        exchange = _exchange.Exchange(head, body, received_s, self)
        del body
        self._phase = _eviction.Phase.RUNNING
        scope = exchange.build_scope()
        try:
            await self._context.application(
                scope, exchange.receive, exchange.send
            )
        except Exception:
            _LOG.exception("listeners: an application failed")
            if not exchange.started:
                await self.write([_exchange.encode_head(500, _EMPTY_FIELDS)])
            return False
        self._message_bytes = 0
        self._update_memory()
        return exchange.keep_alive and not self._gone

    async def write(self, parts: list[bytes]) -> None:
        """Sends parts of the response; does nothing if the client is gone."""
        if self._gone:
            return
        size_bytes = sum(map(len, parts))
        if self._phase == _eviction.Phase.RUNNING:
            self._context.record_response(size_bytes)
        self._message_bytes = size_bytes
        self._phase = _eviction.Phase.TRANSFER
        self._transport.pace = _pace.TransferPace()
        self._update_memory()
        try:
            for part in parts:
                await self._transport.send(part)
        except _transport.ClientGone:
            self._gone = True
        except _transport.TimedOut:
            self._gone = True
            reason = _metrics.DropReason.SLOW_READER
            self._context.metrics.dropped.labels(reason).inc()
            _LOG.info(
                "listeners: closed the connection of a slow reader",
                extra=observe.fields(
                    response_bytes=size_bytes,
                    read_bytes=self._transport.pace.moved_bytes,
                ),
            )

    async def wait_for_disconnect(self) -> None:
        """Returns when the client has closed its connection."""
        transport = self._transport
        while len(transport.buffer) < _transport.READ_BYTES:
            try:
                transport.buffer += await transport.receive()
            except _transport.ClientGone:
                self._gone = True
                return
            self._update_memory()
        # Further requests wait in the kernel until this one is answered.
        await trio.sleep_forever()

    async def _refuse(self, refusal: _head.RefusedRequest) -> None:
        self._context.metrics.refused.labels(str(refusal.status)).inc()
        _LOG.info(
            "listeners: refused a request",
            extra=observe.fields(status=refusal.status, reason=refusal.reason),
        )
        self._transport.buffer = b""
        await self.write([_exchange.encode_head(refusal.status, _EMPTY_FIELDS)])
        self._message_bytes = 0
        self._update_memory()
        if not self._gone:
            await self._transport.discard_rest(
                _DISCARD_LIMIT_S, _DISCARD_LIMIT_BYTES
            )

    def _update_memory(self) -> None:
        self.memory.set_held(
            _limits.CONNECTION_BYTES
            + len(self._transport.buffer)
            + self._message_bytes
        )
