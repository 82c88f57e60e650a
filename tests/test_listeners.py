"""Tests of the HTTP listeners at the end of a process."""

import functools
import unittest

import trio

from geraniumstair import listeners
from geraniumstair.listeners import asgi

_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


async def _answer(scope, receive, send) -> None:
    if scope["type"] == "lifespan":
        await listeners.serve_lifespan(receive, send)
        return
    headers = [(b"content-length", b"5")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"whole"})


async def _exchange(stream: trio.SocketStream) -> bytes:
    """Sends a request and returns the response."""
    await stream.send_all(_REQUEST)
    response = b""
    while not response.endswith(b"whole"):
        data = await stream.receive_some()
        if not data:
            break
        response += data
    return response


class _Listener:
    """Serves an application until `close` is set."""

    def __init__(self) -> None:
        self.close = trio.Event()
        self.ended = trio.Event()
        self.port = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts to listen."""
        urls = await nursery.start(
            functools.partial(self._serve, nursery=nursery)
        )
        self.port = int(urls[0].rpartition(":")[2])

    async def _serve(self, nursery, *, task_status) -> None:
        await asgi.serve_http(
            _answer,
            "127.0.0.1",
            0,
            1024,
            self.close.wait,
            graceful_timeout_s=2.0,
            task_status=task_status,
        )
        self.ended.set()


class ShutdownTest(unittest.TestCase):
    """Guards against requests that are cut off when the listener closes."""

    def _run(self, test) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    listener = _Listener()
                    await listener.start(nursery)
                    await test(listener)

        trio.run(run)

    def test_a_request_shortly_after_the_close_is_answered(self) -> None:
        # Hypercorn closed connections at once on which a request was in
        # transit: those just accepted, and idle ones.
        async def test(listener: _Listener) -> None:
            fresh = await trio.open_tcp_stream("127.0.0.1", listener.port)
            idle = await trio.open_tcp_stream("127.0.0.1", listener.port)
            self.assertIn(b"whole", await _exchange(idle))
            await trio.sleep(0.05)
            listener.close.set()
            await trio.sleep(0.05)
            for stream in (fresh, idle):
                self.assertIn(b"whole", await _exchange(stream))
                self.assertEqual(await stream.receive_some(), b"")
            await listener.ended.wait()

        self._run(test)

    def test_idle_connections_do_not_delay_the_end_for_long(self) -> None:
        async def test(listener: _Listener) -> None:
            await trio.open_tcp_stream("127.0.0.1", listener.port)
            await trio.sleep(0.05)
            listener.close.set()
            with trio.fail_after(1.5):
                await listener.ended.wait()

        self._run(test)

    def test_new_connections_are_refused_after_the_close(self) -> None:
        async def test(listener: _Listener) -> None:
            listener.close.set()
            await trio.sleep(0.1)
            with self.assertRaises(OSError):
                await trio.open_tcp_stream("127.0.0.1", listener.port)

        self._run(test)


if __name__ == "__main__":
    unittest.main()
