"""The ASGI lifespan scope."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any


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
