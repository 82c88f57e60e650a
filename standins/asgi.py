"""Helper functions for the ASGI applications of the stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import json
import socket
from typing import Any

from hypercorn import config as hypercorn_config
import hypercorn.trio
import trio

Application = Callable[..., Awaitable[None]]


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Confirms the events of the ASGI lifespan scope."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Any) -> bytes:
    """Reads a complete request body."""
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


async def start_json_response(send: Any, status: int) -> None:
    """Sends the status and headers of a JSON response."""
    headers: Sequence[tuple[bytes, bytes]] = [
        (b"content-type", b"application/json")
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def send_json_response(send: Any, status: int, body: Any) -> None:
    """Sends a complete JSON response."""
    await start_json_response(send, status)
    await send(
        {"type": "http.response.body", "body": json.dumps(body).encode()}
    )


async def serve_application(
    application: Application,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application on loopback until cancelled.

    Args:
        application: The ASGI application.
        port: TCP port; 0 selects a free one.
        task_status: Reports the bound port.
    """
    listener = socket.socket()
    # Without TCP_NODELAY each response on a persistent connection takes
    # up to 40 ms.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    bound_port = listener.getsockname()[1]
    settings = hypercorn_config.Config()
    settings.bind = [f"fd://{listener.detach()}"]
    settings.errorlog = None
    settings.graceful_timeout = 0
    settings.keep_alive_timeout = 60
    async with trio.open_nursery() as nursery:
        await nursery.start(hypercorn.trio.serve, application, settings)
        task_status.started(bound_port)
