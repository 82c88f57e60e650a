"""A callers' listener on loopback with a small application."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import trio

from geraniumstair import listeners
from geraniumstair import routing

LIMITS = routing.CallerLimits(
    max_body_bytes=100_000,
    max_header_bytes=1000,
    header_timeout_s=0.3,
    idle_timeout_s=0.6,
)
RESOURCES = listeners.ResourceLimits(
    max_bytes=8 * 1024 * 1024, max_connections=50
)
_TEST_TIMEOUT_S = 20.0


@dataclasses.dataclass
class ListenerFixture:
    """A listener whose application answers with the body of the request.

    Attributes:
        bodies: Bodies of the requests that ran, in order.
        left: Number of clients that left while their requests ran.
        release: Requests for `/wait` are answered when it is set.
        close: The listener closes when it is set.
        ended: Set when the listener has ended.
        port: Its port.
        server: The listener.
    """

    limits: routing.CallerLimits = LIMITS
    resources: listeners.ResourceLimits = RESOURCES
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    left: int = 0
    release: trio.Event = dataclasses.field(default_factory=trio.Event)
    close: trio.Event = dataclasses.field(default_factory=trio.Event)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)
    port: int = 0

    async def run(self, *, task_status) -> None:
        """Serves until `close` is set."""
        self.server = listeners.HttpServer(
            self._application, lambda: self.limits, self.resources
        )
        listener = await listeners.open_socket("127.0.0.1", 0)
        self.port = listener.socket.getsockname()[1]
        task_status.started()
        await self.server.serve(
            listener, self.close.wait, graceful_timeout_s=2.0
        )
        self.ended.set()

    async def _application(self, scope, receive, send) -> None:
        body = (await receive())["body"]
        self.bodies.append(body)
        if scope["path"] == "/wait" and not await self._wait(receive):
            return
        start = {
            "type": "http.response.start",
            "status": 204 if scope["path"] == "/empty" else 200,
            "headers": [(b"content-length", b"%d" % (len(body) + 1))],
        }
        await send(start)
        await send({"type": "http.response.body", "body": body + b"!"})

    async def _wait(self, receive) -> bool:
        """Returns whether the client stayed until `release` was set."""
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await receive()
                self.left += 1
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await self.release.wait()
            nursery.cancel_scope.cancel()
        return self.release.is_set()

    async def connect(self) -> trio.SocketStream:
        """Opens a connection to the listener."""
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def exchange(self, *parts: bytes, pause_s: float = 0.0) -> bytes:
        """Sends bytes on a new connection; returns all that comes back.

        Args:
            parts: What is sent, in order.
            pause_s: Pause before each part but the first.
        """
        received = b""
        async with await self.connect() as stream:
            for i, part in enumerate(parts):
                await trio.sleep(pause_s if i else 0)
                try:
                    await stream.send_all(part)
                except trio.BrokenResourceError:
                    break
            async for data in stream:
                received += data
        return received


def run(
    test: Callable[[ListenerFixture], Awaitable[None]], **options: object
) -> None:
    """Runs a test with a listener.

    Args:
        test: The test.
        options: Fields of the fixture.
    """

    async def main() -> None:
        with trio.fail_after(_TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                fixture = ListenerFixture(**options)
                await nursery.start(fixture.run)
                await test(fixture)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def read_response(stream: trio.SocketStream, end: bytes) -> bytes:
    """Returns what is received until it ends with the given bytes."""
    received = b""
    while not received.endswith(end):
        data = await stream.receive_some()
        if not data:
            break
        received += data
    return received
