"""Tests of the endpoint HTTP adapter against a raw server."""

from collections.abc import Awaitable
from collections.abc import Callable
import socket
import unittest

import trio

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair.endpoint_http import _buffer_limit

_Outcome = dispatch.Outcome
_Script = Callable[[trio.SocketStream], Awaitable[None]]


def _build_spec(port: int) -> configuration.EndpointSpec:
    return configuration.EndpointSpec(
        name="e0",
        address="127.0.0.1",
        port=port,
        availability_zone="az-a",
        vm="",
        version="v1",
        slots=2,
        connections=4,
    )


def _build_request(body: bytes = b"{}") -> dispatch.EndpointRequest:
    return dispatch.EndpointRequest(b"id-1", "motif", 7, body, 100.0)


def _build_response(
    status: int = 200, body: bytes = b'{"hits": []}', **headers: str
) -> bytes:
    values = {"content-length": str(len(body))}
    if status == 200:
        values |= {
            "x-request-id": "id-1",
            "x-snapshot": "7",
            "x-coverage-pct": "90",
            "x-snapshots": "6,7",
            "x-boot-id": "b1",
        }
    values |= {k.replace("_", "-"): v for k, v in headers.items()}
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in values.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_request(stream: trio.SocketStream) -> tuple[bytes, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some()
        if not chunk:
            return data, b""
        data += chunk
    head, body = data.split(b"\r\n\r\n", 1)
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await stream.receive_some()
    return head, body


def _answer_with(*responses: bytes) -> _Script:
    async def serve(stream: trio.SocketStream) -> None:
        for response in responses:
            await _read_request(stream)
            await stream.send_all(response)
        await _read_request(stream)

    return serve


def _run(
    script: _Script,
    scenario: Callable[[dispatch.HttpConnection], Awaitable[None]],
    max_response_bytes: int = 1_000_000,
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, script, 0)
            port = listeners[0].socket.getsockname()[1]
            client = dispatch.HttpClient(
                _build_spec(port), max_response_bytes=max_response_bytes
            )
            with trio.fail_after(10):
                connection = await client.connect()
                await scenario(connection)
                await connection.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


class HttpConnectionTest(unittest.TestCase):
    """Guards against wrong outcomes and answers to other requests."""

    def _exchange(self, response: bytes, max_response_bytes: int = 1_000_000):
        found = []

        async def scenario(connection: dispatch.HttpConnection) -> None:
            reply = await connection.search(_build_request())
            found.append((reply, connection.usable))

        _run(_answer_with(response), scenario, max_response_bytes)
        return found[0]

    def test_whole_and_split_responses_give_the_same_reply(self) -> None:
        """Guards against replies that depend on how a response is split."""
        usual = _build_response()
        for response in (
            usual,
            _build_response(503, b"", x_not_run="1"),
            _build_response(409, b"", x_not_run="1"),
            _build_response(499, b"late"),
            _build_response(500, b"x"),
            _build_response(connection="close"),
            _build_response(x_snapshots=" 7 , 6 "),
            _build_response(x_boot_id=""),
            _build_response(content_length="-1"),
            _build_response(content_length="1_3"),
            usual.replace(b"content-length", b"Content-LENGTH"),
            usual.replace(b"x-boot-id: b1", b"x-boot-id : b1"),
            usual.replace(b"x-boot-id: b1", b"x-boot-id: a\x00b"),
            usual.replace(b"x-boot-id: b1", b" folded"),
            usual.replace(b"HTTP/1.1", b"HTTP/1.0"),
            usual.replace(b"HTTP/1.1", b"HTTP/9"),
            usual.replace(b"HTTP/1.1 200 X", b"HTTP/1.1 200"),
            usual.replace(b"200 X", b"204 X"),
            usual.replace(b"200 X", b"2000 X"),
            usual.replace(b"x-snapshot: 7", b"x-snapshot: 7\r\nx-snapshot: 8"),
            usual + b"more",
        ):
            with self.subTest(response=response):
                whole = self._exchange(response)
                split = self._exchange_split(response)
                self.assertEqual(whole[0].outcome, split[0].outcome)
                if split[0].outcome is not _Outcome.INVALID:
                    self.assertEqual(whole, split)

    def _exchange_split(self, response: bytes):
        found = []

        async def serve(stream: trio.SocketStream) -> None:
            await _read_request(stream)
            await stream.send_all(response[:9])
            # Lets the client read the first part separately.
            await trio.sleep(0.01)
            await stream.send_all(response[9:])
            await _read_request(stream)

        async def scenario(connection: dispatch.HttpConnection) -> None:
            reply = await connection.search(_build_request())
            found.append((reply, connection.usable))

        _run(serve, scenario)
        return found[0]

    def test_answer_is_read_whole_and_the_connection_kept(self) -> None:
        body = b'{"hits": [' + b"1," * 200_000 + b"1]}"
        request_body = b"x" * 3_000_000
        received = []

        async def serve(stream: trio.SocketStream) -> None:
            for _ in range(2):
                received.append(await _read_request(stream))
                await stream.send_all(_build_response(body=body))
            await _read_request(stream)

        async def scenario(connection: dispatch.HttpConnection) -> None:
            for _ in range(2):
                reply = await connection.search(_build_request(request_body))
                self.assertIs(reply.outcome, _Outcome.ANSWERED)
                self.assertEqual(reply.body, body)
                self.assertEqual(reply.coverage_pct, 90)
                self.assertEqual(reply.snapshots, (6, 7))
                self.assertEqual(reply.boot_id, "b1")
                self.assertTrue(connection.usable)

        _run(serve, scenario)
        self.assertEqual([b for _, b in received], [request_body] * 2)
        self.assertIn(b"POST /search/motif HTTP/1.1", received[0][0])
        self.assertIn(b"x-deadline-ms: 100.0", received[0][0])

    def test_mismatched_or_malformed_answers_are_invalid(self) -> None:
        cases = {
            "other request": _build_response(x_request_id="id-2"),
            "other snapshot": _build_response(x_snapshot="6"),
            "no coverage": _build_response(x_coverage_pct=""),
            "coverage out of range": _build_response(x_coverage_pct="101"),
            "coverage not a number": _build_response(x_coverage_pct="nan"),
            "bad snapshots": _build_response(x_snapshots="6,a"),
            "shed for another": _build_response(
                503, x_not_run="1", x_request_id="id-2"
            ),
            "not HTTP": b"garbage\r\n\r\n",
            "long header": b"HTTP/1.1 200 X\r\nx: " + b"y" * 100_000,
        }
        for name, response in cases.items():
            with self.subTest(name):
                reply, usable = self._exchange(response)
                self.assertIs(reply.outcome, _Outcome.INVALID)
                self.assertFalse(reply.not_run)
                self.assertFalse(usable)
                self.assertEqual(reply.body, b"")

    def test_oversized_answer_is_invalid(self) -> None:
        reply, usable = self._exchange(_build_response(body=b"x" * 5000), 4000)
        self.assertIs(reply.outcome, _Outcome.INVALID)
        self.assertFalse(usable)

    def test_statuses_give_their_outcomes(self) -> None:
        cases = [
            (_build_response(503, x_not_run="1"), _Outcome.SHED, True),
            (
                _build_response(409, x_not_run="1"),
                _Outcome.SNAPSHOT_UNAVAILABLE,
                True,
            ),
            (_build_response(503), _Outcome.FAILED, False),
            (_build_response(409), _Outcome.FAILED, False),
            (_build_response(500, x_not_run="1"), _Outcome.FAILED, False),
            (_build_response(499), _Outcome.CANCELLED, False),
        ]
        for response, outcome, not_run in cases:
            with self.subTest(response=response):
                reply, usable = self._exchange(response)
                self.assertIs(reply.outcome, outcome)
                self.assertEqual(reply.not_run, not_run)
                self.assertTrue(usable)

    def test_connection_closed_after_the_request_is_an_unknown_outcome(
        self,
    ) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await _read_request(stream)

        async def scenario(connection: dispatch.HttpConnection) -> None:
            reply = await connection.search(_build_request())
            self.assertIs(reply.outcome, _Outcome.CONNECTION_LOST)
            self.assertFalse(reply.not_run)

        _run(serve, scenario)

    def test_truncated_answer_is_not_passed_on(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await _read_request(stream)
            await stream.send_all(_build_response()[:-3])

        async def scenario(connection: dispatch.HttpConnection) -> None:
            reply = await connection.search(_build_request())
            self.assertFalse(reply.not_run)
            self.assertIsNot(reply.outcome, _Outcome.ANSWERED)
            self.assertEqual(reply.body, b"")

        _run(serve, scenario)

    def test_unsolicited_bytes_make_an_idle_connection_unusable(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.send_all(_build_response())
            await _read_request(stream)

        async def scenario(connection: dispatch.HttpConnection) -> None:
            while connection.usable:
                await trio.sleep(0.01)

        _run(serve, scenario)

    def test_request_of_which_no_byte_was_sent_is_not_run(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            stream.socket.close()

        async def scenario(connection: dispatch.HttpConnection) -> None:
            while connection.usable:
                await trio.sleep(0.01)
            reply = await connection.search(_build_request())
            self.assertIs(reply.outcome, _Outcome.NOT_SENT)
            self.assertTrue(reply.not_run)

        _run(serve, scenario)

    def test_truncated_answer_does_not_stay_buffered(self) -> None:
        # The bodies of all connections share a limit.
        async def serve(stream: trio.SocketStream) -> None:
            await _read_request(stream)
            await stream.send_all(_build_response()[:-3])

        async def scenario(connection: dispatch.HttpConnection) -> None:
            await connection.search(_build_request())

        _run(serve, scenario)
        self.assertEqual(_buffer_limit.PROCESS_LIMIT.total_bytes, 0)

    def test_cancelled_search_closes_the_connection(self) -> None:
        async def scenario(connection: dispatch.HttpConnection) -> None:
            with trio.move_on_after(0.05):
                await connection.search(_build_request())
            self.assertFalse(connection.usable)

        _run(_answer_with(), scenario)

    def test_cancel_and_status(self) -> None:
        heads = []

        async def serve(stream: trio.SocketStream) -> None:
            for _ in range(2):
                heads.append((await _read_request(stream))[0])
                await stream.send_all(_build_response(body=b"", x_draining="1"))
            await _read_request(stream)

        async def scenario(connection: dispatch.HttpConnection) -> None:
            await connection.cancel(b"id-9")
            reply = await connection.status()
            self.assertTrue(reply.draining)
            self.assertEqual(reply.boot_id, "b1")
            self.assertTrue(connection.usable)

        _run(serve, scenario)
        self.assertTrue(heads[0].startswith(b"POST /cancel/id-9 "))
        self.assertTrue(heads[1].startswith(b"GET /status "))


class HttpClientTest(unittest.TestCase):
    """Guards against hanging on an endpoint that is down."""

    def test_refused_connection_raises_os_error(self) -> None:
        async def main() -> None:
            with socket.socket() as bound:
                bound.bind(("127.0.0.1", 0))
                port = bound.getsockname()[1]
                with self.assertRaises(OSError):
                    await dispatch.HttpClient(_build_spec(port)).connect()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
