"""Accepts the connections of one listener and ends them at the shutdown."""

from collections.abc import Awaitable
from collections.abc import Callable
import errno
import logging
import math
import select
from typing import Any

import trio

from geraniumstair import observe
from geraniumstair.listeners import _connection
from geraniumstair.listeners import _eviction
from geraniumstair.listeners import _limits
from geraniumstair.listeners import _memory
from geraniumstair.listeners import _metrics
from geraniumstair.listeners import _transport

_LOG = logging.getLogger(__name__)
BACKLOG = 1024
GRACEFUL_TIMEOUT_S = 30.0
# Time after the listener has closed in which idle connections stay open. A
# caller may have connected, or have sent a request on an idle connection, just
# before.
LINGER_S = 0.3
_CAPACITY_ERRORS = frozenset(
    [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS]
)
# A connection that was reset before it was accepted.
_ABORTED_ERRORS = frozenset([errno.ECONNABORTED, errno.EPROTO, errno.EPERM])
_CAPACITY_RETRY_S = 0.1
# Time without a free place after which connections are dropped for a new one.
_FULL_S = 0.1
# Share of the connections that are dropped at once.
_DROPPED_SHARE = 0.0625
# Weight of the newest response in the mean size.
_RESPONSE_WEIGHT = 0.05
_INITIAL_RESPONSE_BYTES = 8 * 1024


async def open_socket(address: str, port: int) -> trio.SocketListener:
    """Returns a listener at an address.

    Args:
        address: IP address.
        port: TCP port; 0 lets the system choose.
    """
    listeners = await trio.open_tcp_listeners(
        port, host=address, backlog=BACKLOG
    )
    return listeners[0]


class HttpServer:
    """Serves an ASGI application at one listener.

    Args:
        application: ASGI application. It gets each request with its whole
            body.
        find_limits: Returns the limits in force.
        resources: What all connections may use together.
        metrics: Counters; None uses private ones.
    """

    def __init__(
        self,
        application: _connection.Application,
        find_limits: Callable[[], _limits.RequestLimits],
        resources: _limits.ResourceLimits,
        metrics: _metrics.ListenerMetrics | None = None,
    ) -> None:
        self.application = application
        self.metrics = metrics or _metrics.ListenerMetrics()
        self.budget = _memory.MemoryBudget(
            resources.max_bytes, self._list_candidates, self._report_dropped
        )
        self.closing = False
        self.idle_until_s = math.inf
        self._find_limits = find_limits
        self._resources = resources
        # Connections in the order of their start.
        self._connections: dict[_connection.Connection, None] = {}
        self._ended = trio.Event()
        self._mean_response_bytes = float(_INITIAL_RESPONSE_BYTES)
        self.metrics.register_gauges(
            lambda: len(self._connections),
            lambda: self.budget.used_bytes,
            lambda: self.budget.waiting,
        )

    @property
    def limits(self) -> _limits.RequestLimits:
        """The limits in force."""
        return self._find_limits()

    @property
    def expected_response_bytes(self) -> int:
        """Mean size of recent responses."""
        return int(self._mean_response_bytes)

    def record_response(self, size_bytes: int) -> None:
        """Records the size of a response."""
        self._mean_response_bytes += _RESPONSE_WEIGHT * (
            size_bytes - self._mean_response_bytes
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        return {
            "connections": len(self._connections),
            "max_connections": self._resources.max_connections,
            "held_bytes": self.budget.used_bytes,
            "max_bytes": self._resources.max_bytes,
            "waiting": self.budget.waiting,
            "mean_response_bytes": self.expected_response_bytes,
        }

    async def serve(
        self,
        listener: trio.SocketListener,
        shutdown: Callable[[], Awaitable[None]],
        *,
        graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until a shutdown is requested and all connections ended.

        Args:
            listener: Where connections are accepted; it is closed.
            shutdown: Returns when the listener has to close. Requests in
                progress then have `graceful_timeout_s` to finish.
            graceful_timeout_s: Time for requests in progress, in s.
            task_status: Reports the port that is served.
        """
        async with trio.open_nursery() as nursery:
            try:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(self._accept, listener, nursery)
                    nursery.start_soon(self.budget.run)
                    task_status.started(listener.socket.getsockname()[1])
                    await shutdown()
                    accepting.cancel_scope.cancel()
                await self._accept_backlog(listener, nursery)
            finally:
                listener.socket.close()
            self.closing = True
            self.idle_until_s = trio.current_time() + LINGER_S
            for connection in self._connections:
                connection.limit_idle_wait(self.idle_until_s)
            with trio.move_on_after(graceful_timeout_s):
                while self._connections:
                    await self._wait_for_end()
            nursery.cancel_scope.cancel()

    async def _wait_for_end(self) -> None:
        self._ended = trio.Event()
        await self._ended.wait()

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        while True:
            # A connection is accepted only when there is a place for it.
            if not _transport.is_ready(listener.socket, select.POLLIN):
                await trio.lowlevel.wait_readable(listener.socket)
            if len(self._connections) >= self._resources.max_connections:
                await self._make_room()
                continue
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno in _ABORTED_ERRORS:
                    continue
                if error.errno not in _CAPACITY_ERRORS:
                    raise
                _LOG.warning("listeners: cannot accept a connection: %s", error)
                self._drop_for_descriptors()
                await trio.sleep(_CAPACITY_RETRY_S)
                continue
            self._start_connection(stream, nursery)

    def _start_connection(
        self, stream: trio.SocketStream, nursery: trio.Nursery
    ) -> None:
        connection = _connection.Connection(stream, self)
        self._connections[connection] = None
        nursery.start_soon(self._serve_connection, connection, stream)

    async def _accept_backlog(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accepts what has connected before the listener closes.

        Closing the listener resets the connections that wait in its backlog.
        """
        while len(
            self._connections
        ) < self._resources.max_connections and _transport.is_ready(
            listener.socket, select.POLLIN
        ):
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno in _ABORTED_ERRORS:
                    continue
                _LOG.warning("listeners: cannot accept a connection: %s", error)
                return
            self._start_connection(stream, nursery)

    async def _make_room(self) -> None:
        """Waits until a connection ends; drops some after a while."""
        with trio.move_on_after(_FULL_S):
            await self._wait_for_end()
            return
        self._drop_for_descriptors()
        with trio.move_on_after(_FULL_S):
            await self._wait_for_end()

    def _drop_for_descriptors(self) -> None:
        count = max(1, int(self._resources.max_connections * _DROPPED_SHARE))
        selected = _eviction.select_for_descriptors(
            [c for c in self._list_candidates() if not c.key.dropped], count
        )
        self.budget.drop(selected)
        if selected:
            reason = _metrics.DropReason.DESCRIPTORS
            self.metrics.dropped.labels(reason).inc(len(selected))
            _LOG.warning(
                "listeners: dropped connections to accept new ones",
                extra=observe.fields(
                    dropped=len(selected), connections=len(self._connections)
                ),
            )

    async def _serve_connection(
        self, connection: _connection.Connection, stream: trio.SocketStream
    ) -> None:
        try:
            await connection.serve()
        except Exception:
            _LOG.exception("listeners: a connection failed")
        finally:
            del self._connections[connection]
            self._ended.set()
            await trio.aclose_forcefully(stream)

    def _list_candidates(
        self,
    ) -> list[_eviction.Candidate[_memory.MemoryUsage]]:
        return [c.describe() for c in self._connections]

    def _report_dropped(self, count: int, freed_bytes: int) -> None:
        self.metrics.dropped.labels(_metrics.DropReason.MEMORY).inc(count)
        _LOG.warning(
            "listeners: dropped connections to free memory",
            extra=observe.fields(
                dropped=count,
                freed_bytes=freed_bytes,
                held_bytes=self.budget.used_bytes,
                connections=len(self._connections),
            ),
        )
