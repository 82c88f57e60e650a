"""Tests of the HTTP exchanges with the store, over loopback."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import re
import unittest

import result
import trio

from geraniumstair import store
from tests import test_store

_OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
_TIMEOUT_MS = 300.0
_NONE = store.Effect.NONE
_UNKNOWN = store.Effect.UNKNOWN


class _Service:
    """Answers each request with the next of some byte strings.

    An empty one gets no answer, and one that ends with `END` closes the
    connection.
    """

    def __init__(self, answers: list[bytes]) -> None:
        self.connections = 0
        self.requests: list[bytes] = []
        self._answers = list(answers)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        self.connections += 1
        async with stream:
            while request := await _receive_request(stream):
                self.requests.append(request)
                answer = self._answers.pop(0)
                if not answer:
                    await trio.sleep_forever()
                await stream.send_all(answer.removesuffix(b"END"))
                if answer.endswith(b"END"):
                    return


async def _receive_request(stream: trio.SocketStream) -> bytes:
    received = b""
    while data := await stream.receive_some(65536):
        received += data
        head, end, body = received.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        if end and length and len(body) >= int(length[1]):
            return received
    return b""


class TransportTest(unittest.TestCase):
    """Guards against calls that are misread, or wrongly called not executed."""

    def _run(
        self,
        answers: list[bytes],
        test: Callable[
            [_Service, Callable[..., Awaitable[object]]], Awaitable[None]
        ],
    ) -> None:
        """Runs a test with each transport."""

        async def main(transport: type) -> None:
            service = _Service(answers)
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    functools.partial(
                        trio.serve_tcp, service.serve, 0, host="127.0.0.1"
                    )
                )
                exchanges = transport(8)
                connection = store.StoreConnection(
                    [
                        "http://127.0.0.1:"
                        f"{listeners[0].socket.getsockname()[1]}"
                    ],
                    timeout_ms=_TIMEOUT_MS,
                    max_concurrency=8,
                    transport=exchanges,
                    metrics=store.StoreMetrics(),
                )
                with trio.fail_after(10):
                    await test(
                        service,
                        functools.partial(
                            connection.send_request, "get", repeatable=True
                        ),
                    )
                await exchanges.close_idle()
                nursery.cancel_scope.cancel()

        for transport in (store.PlainTransport, store.HttpcoreTransport):
            with self.subTest(transport.__name__):
                trio.run(main, transport)

    def test_a_request_has_its_length_and_type(self) -> None:
        async def test(service, call) -> None:
            await call("/a?b=c", b"[1]")
            head, _, body = service.requests[0].lower().partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            self.assertEqual(lines[0], b"post /a?b=c http/1.1")
            self.assertIn(b"content-length: 3", lines)
            self.assertIn(b"content-type: application/json", lines)
            self.assertTrue(any(x.startswith(b"host: 127.") for x in lines))
            self.assertEqual(body, b"[1]")

        self._run([_OK], test)

    def test_a_connection_is_used_again(self) -> None:
        async def test(service, call) -> None:
            for _ in range(3):
                self.assertEqual((await call("/", b"")).ok_value.body, b"{}")
            self.assertEqual(service.connections, 1)

        self._run([_OK] * 3, test)

    def test_a_closed_connection_is_replaced(self) -> None:
        closing = _OK.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")
        for first in (_OK + b"END", closing + b"END", closing):

            async def test(service, call) -> None:
                self.assertIsInstance(await call("/", b""), result.Ok)
                await trio.sleep(0.02)
                self.assertIsInstance(await call("/", b""), result.Ok)
                self.assertEqual(service.connections, 2)

            self._run([first, _OK], test)

    def test_failures_and_what_they_say_of_the_execution(self) -> None:
        cases = {
            b"": (_UNKNOWN, 0),
            b"END": (_UNKNOWN, 0),
            b"what\r\n\r\nEND": (_UNKNOWN, 0),
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nxEND": (_UNKNOWN, 0),
            b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n": (_UNKNOWN, 0),
            b"HTTP/1.1 404 N\r\ncontent-length: 0\r\n\r\n": (_NONE, 404),
        }
        for answer, expected in cases.items():

            async def test(service, call, expected=expected) -> None:
                failure = (await call("/", b"")).err_value
                self.assertEqual(
                    (failure.effect, failure.rejected_status), expected
                )
                # The next call does not get what is left of this one.
                self.assertEqual((await call("/", b"")).ok_value.body, b"{}")

            with self.subTest(answer):
                self._run([answer, _OK], test)

    def test_a_refused_connection_executes_nothing(self) -> None:
        async def main(transport: type) -> None:
            connection = store.StoreConnection(
                [await test_store.get_closed_port_url()],
                timeout_ms=_TIMEOUT_MS,
                max_concurrency=8,
                transport=transport(8),
                metrics=store.StoreMetrics(),
            )
            reply = await connection.send_request(
                "get", "/", b"", repeatable=False
            )
            self.assertIs(reply.err_value.effect, _NONE)

        for transport in (store.PlainTransport, store.HttpcoreTransport):
            with self.subTest(transport.__name__):
                trio.run(main, transport)


if __name__ == "__main__":
    unittest.main()
