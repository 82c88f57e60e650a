"""HTTP listeners of a process, served by hypercorn."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket
from typing import Any

import hypercorn
import hypercorn.trio
import hypercorn.trio.run
import hypercorn.trio.tcp_server
import trio

# Hypercorn closes a connection after this many requests. Its default of 1,000
# would make busy callers reconnect every few seconds.
KEEP_ALIVE_MAX_REQUESTS = 10_000_000
KEEP_ALIVE_TIMEOUT_S = 75
GRACEFUL_TIMEOUT_S = 30.0
# Time after the listener has closed in which idle connections stay open. A
# caller may have connected, or have sent a request on an idle connection, just
# before.
LINGER_S = 0.3
BACKLOG = 1024


class _LingeringTcpServer(hypercorn.trio.tcp_server.TCPServer):
    """A connection that still serves a request shortly after the shutdown.

    Hypercorn closes idle connections at the moment at which the listener
    closes, also those that were accepted just before and whose first request is
    in transit.
    """

    async def _idle_timeout(self) -> None:
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
            # A request that arrives cancels this task.
            await trio.sleep(LINGER_S)
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()


# Hypercorn has no setting for the class of its connections.
hypercorn.trio.run.TCPServer = _LingeringTcpServer  # type: ignore[misc]


def _build_config(
    address: str, port: int, max_body_bytes: int, graceful_timeout_s: float
) -> hypercorn.Config:
    config = hypercorn.Config()
    host = f"[{address}]" if ":" in address else address
    config.bind = [f"{host}:{port}"]
    config.keep_alive_max_requests = KEEP_ALIVE_MAX_REQUESTS
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = graceful_timeout_s
    config.backlog = BACKLOG
    config.h11_max_incomplete_size = max(16 * 1024, min(max_body_bytes, 65536))
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    return config


async def serve_http(
    application: Any,
    address: str,
    port: int,
    max_body_bytes: int,
    shutdown: Callable[[], Awaitable[None]],
    *,
    graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
    listener: socket.socket | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until a shutdown is requested.

    Args:
        application: ASGI application.
        address: IP address to listen at.
        port: TCP port; 0 lets the system choose.
        max_body_bytes: Largest request body that the application accepts.
        shutdown: Returns when the listener has to close. Requests in
            progress then have `graceful_timeout_s` to finish.
        graceful_timeout_s: Time for requests in progress, in s.
        listener: Listening socket, which is closed with the listener; None
            opens one at the address.
        task_status: Reports the URLs that are served.
    """
    config = _build_config(address, port, max_body_bytes, graceful_timeout_s)
    if listener is not None:
        config.bind = [f"fd://{listener.detach()}"]
    await hypercorn.trio.serve(
        application,
        config,
        shutdown_trigger=shutdown,
        task_status=task_status,
    )


async def serve_lifespan(
    receive: Callable[[], Awaitable[Any]],
    send: Callable[[dict[str, Any]], Awaitable[None]],
) -> None:
    """Serves the ASGI lifespan scope; start-up and shutdown do nothing."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif message["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
