"""Tests of the protocol that callers use with a node."""

import socket
import time
import unittest

import trio

from tests import builders_listener

_CLOSE = b"Connection: close\r\n"


def _request(
    fields: bytes = b"", body: bytes = b"", path: bytes = b"/"
) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: a\r\n%b\r\n%b" % (path, fields, body)


def _length(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n" % len(body)


class FramingTest(unittest.TestCase):
    """Guards against requests that two servers would read differently."""

    def _check(self, request: bytes, status: int, runs: int = 0) -> None:
        async def test(fixture) -> None:
            received = await fixture.exchange(request)
            self.assertTrue(
                received.startswith(b"HTTP/1.1 %d " % status), received
            )
            self.assertIn(b"\r\nconnection: close\r\n", received)
            # What follows a refused head is not taken for a request.
            self.assertEqual(received.count(b"HTTP/1.1"), 1)
            self.assertEqual(len(fixture.bodies), runs)

        builders_listener.run(test)

    def test_ambiguous_requests_get_400(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n"
        for name, request in {
            "length and chunks": _request(
                _length(b"0") + chunked, b"0\r\n\r\n"
            ),
            "repeated length": _request(_length(b"a") * 2, b"a"),
            "two lengths": _request(_length(b"a") + _length(b"ab"), b"ab"),
            "list of lengths": _request(b"Content-Length: 1, 1\r\n", b"a"),
            "signed length": _request(b"Content-Length: +1\r\n", b"a"),
            "folding": _request(b"A: b\r\n c\r\n"),
            "bare line feed": b"POST / HTTP/1.1\r\nHost: a\nA: b\r\n\r\n",
            "only bare line feeds": b"POST / HTTP/1.1\nHost: a\n\n",
            "bare carriage return": _request(b"A: b\rc\r\n"),
            "unknown coding": _request(b"Transfer-Encoding: gzip\r\n"),
            "second coding": _request(b"Transfer-Encoding: gzip, chunked\r\n"),
            "two codings": _request(chunked * 2, b"0\r\n\r\n"),
            "coding of 1.0": b"POST / HTTP/1.0\r\n"
            + chunked
            + b"\r\n0\r\n\r\n",
            "space before the colon": _request(b"A : b\r\n"),
            "no host": b"GET / HTTP/1.1\r\n\r\n",
            "two hosts": _request(b"Host: b\r\n"),
            "no version": b"GET /\r\n\r\n",
            "version 2": b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
            "zero byte": _request(b"A: \0\r\n"),
            "chunk size": _request(chunked, b"x\r\n"),
            "chunk end": _request(chunked, b"1\r\nab\r\n"),
            "chunk line feed": _request(chunked, b"1\na\r\n0\r\n\r\n"),
            "blank lines without end": b"\r\n" * 9,
            "long trailers": _request(
                chunked, b"0\r\n" + b"A: b\r\n" * 300 + b"\r\n"
            ),
        }.items():
            with self.subTest(name):
                self._check(request + _request(), 400)

    def test_too_large_requests_are_refused(self) -> None:
        large = bytes(builders_listener.LIMITS.max_body_bytes + 1)
        chunk = b"%x\r\n%b\r\n" % (len(large), large)
        self._check(_request(_length(large), large), 413)
        self._check(_request(b"Content-Length: %b\r\n" % (b"9" * 15)), 413)
        chunked = b"Transfer-Encoding: chunked\r\n"
        self._check(_request(chunked, chunk + b"0\r\n\r\n"), 413)
        self._check(_request(b"A: %b\r\n" % (b"b" * 1000)), 431)
        self._check(b"GET /" + b"a" * 2000, 431)

    def test_a_slow_head_gets_408(self) -> None:
        self._check(b"GET / HTTP/1.1\r\nHost:", 408)

    def test_a_silent_connection_is_closed_without_a_response(self) -> None:
        async def test(fixture) -> None:
            self.assertEqual(await fixture.exchange(b""), b"")

        builders_listener.run(test)


class RequestTest(unittest.TestCase):
    """Guards against valid requests that are refused or answered wrongly."""

    def test_bodies_with_a_length_and_in_chunks_arrive_whole(self) -> None:
        body = bytes(range(256)) * 300 + b"\r\n\r\n" * 50

        def chunks(size: int) -> bytes:
            pieces = [body[i : i + size] for i in range(0, len(body), size)]
            encoded = [b"%x;e=1\r\n%b\r\n" % (len(p), p) for p in pieces]
            return b"".join(encoded) + b"0\r\nTrailer: t\r\n\r\n"

        async def test(fixture) -> None:
            coding = _CLOSE + b"Transfer-Encoding: chunked\r\n"
            for sent in (
                _request(_CLOSE + _length(body), body),
                *(_request(coding, chunks(size)) for size in (1, 2, 7, 8192)),
            ):
                for step in (len(sent), 4093):
                    parts = [
                        sent[i : i + step] for i in range(0, len(sent), step)
                    ]
                    received = await fixture.exchange(*parts)
                    self.assertTrue(received.endswith(body + b"!"))
                    self.assertEqual(fixture.bodies.pop(), body)

        builders_listener.run(test)

    def test_a_chunked_body_may_be_cut_at_any_byte(self) -> None:
        # The end of the body is found by the empty line that ends it.
        body = b"3\r\na\r\n\r\n4\r\n\r\n\r\n\r\n0\r\nA: b\r\n\r\n"
        sent = _request(b"Transfer-Encoding: chunked\r\n", body)
        following = _request(_CLOSE, path=b"/next")

        async def test(fixture) -> None:
            for i in range(len(sent) - len(body), len(sent) + 1):
                received = await fixture.exchange(
                    sent[:i], sent[i:] + following, pause_s=0.002
                )
                self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2, i)
                self.assertEqual(
                    fixture.bodies, [b"a\r\n\r\n\r\n\r\n"[:7], b""]
                )
                fixture.bodies.clear()

        builders_listener.run(test)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def test(fixture) -> None:
            requests = [
                _request(_length(b"%d" % i), b"%d" % i) for i in range(9)
            ]
            chunked = _request(
                b"Transfer-Encoding: chunked\r\n", b"1\r\nc\r\n0\r\n\r\n"
            )
            last = _request(_CLOSE)
            received = await fixture.exchange(
                b"".join([*requests, chunked, last])
            )
            self.assertEqual(
                fixture.bodies, [b"%d" % i for i in range(9)] + [b"c", b""]
            )
            answers = [
                r.rpartition(b"\r\n\r\n")[2]
                for r in received.split(b"HTTP/1.1 200 OK")
            ]
            self.assertEqual(b"".join(answers), b"0!1!2!3!4!5!6!7!8!c!!")

        builders_listener.run(test)

    def test_a_client_that_expects_continue_gets_it_first(self) -> None:
        async def test(fixture) -> None:
            async with await fixture.connect() as stream:
                fields = _CLOSE + b"Expect: 100-continue\r\n" + _length(b"ab")
                await stream.send_all(_request(fields))
                received = await builders_listener.read_response(
                    stream, b"\r\n\r\n"
                )
                self.assertEqual(received, b"HTTP/1.1 100 Continue\r\n\r\n")
                await stream.send_all(b"ab")
                received = await builders_listener.read_response(stream, b"!")
                self.assertTrue(received.endswith(b"ab!"))

        builders_listener.run(test)

    def test_responses_without_a_body(self) -> None:
        async def test(fixture) -> None:
            received = await fixture.exchange(
                b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"
                + _request(_CLOSE, path=b"/empty")
            )
            head, empty = received.split(b"HTTP/1.1 204 ")
            self.assertIn(b"\r\ncontent-length: 1\r\n", head)
            for response in (head, empty):
                self.assertTrue(response.endswith(b"\r\n\r\n"))
            self.assertNotIn(b"content-length", empty)

        builders_listener.run(test)

    def test_versions_decide_whether_the_connection_stays(self) -> None:
        async def test(fixture) -> None:
            old = b"GET / HTTP/1.0\r\n\r\n"
            received = await fixture.exchange(old + old)
            self.assertEqual(received.count(b"HTTP/1.1 200"), 1)
            kept = b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
            received = await fixture.exchange(kept + old)
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
            self.assertIn(b"\r\nconnection: keep-alive\r\n", received)

        builders_listener.run(test)

    def test_a_connection_that_was_idle_is_reused(self) -> None:
        # Well-behaved clients reuse connections up to four fifths of the limit.
        async def test(fixture) -> None:
            idle_s = 0.8 * builders_listener.LIMITS.idle_timeout_s
            received = await fixture.exchange(
                _request(), _request(), _request(_CLOSE), pause_s=idle_s
            )
            self.assertEqual(received.count(b"HTTP/1.1 200"), 3)

        builders_listener.run(test)

    def test_a_node_that_was_frozen_reads_what_has_arrived(self) -> None:
        async def test(fixture) -> None:
            async with await fixture.connect() as idle:
                async with await fixture.connect() as partial:
                    sent = _request(_CLOSE)
                    await partial.send_all(sent[:9])
                    await trio.sleep(0.05)
                    for stream, data in ((idle, sent), (partial, sent[9:])):
                        await stream.socket.send(data)
                    # Stops the listener, which runs in this thread.
                    time.sleep(2 * builders_listener.LIMITS.idle_timeout_s)
                    for stream in (idle, partial):
                        received = await builders_listener.read_response(
                            stream, b"!"
                        )
                        self.assertIn(b" 200 OK", received)

        builders_listener.run(test)

    def test_a_client_that_leaves_ends_its_request(self) -> None:
        async def test(fixture) -> None:
            async with await fixture.connect() as stream:
                await stream.send_all(_request(path=b"/wait"))
                await trio.sleep(0.05)
            while not fixture.left:
                await trio.sleep(0.01)

        builders_listener.run(test)

    def test_a_body_that_was_cut_off_does_not_run(self) -> None:
        async def test(fixture) -> None:
            async with await fixture.connect() as stream:
                await stream.send_all(_request(_length(b"ab"), b"a"))
                await trio.sleep(0.05)
            await trio.sleep(0.05)
            self.assertEqual(fixture.bodies, [])

        builders_listener.run(test)


class ShutdownTest(unittest.TestCase):
    """Guards against requests that are cut off when the listener closes."""

    def test_requests_in_progress_and_in_transit_are_answered(self) -> None:
        async def test(fixture) -> None:
            streams = [await fixture.connect() for _ in range(4)]
            fresh, idle, running, sending = streams
            await idle.send_all(_request())
            await builders_listener.read_response(idle, b"!")
            await running.send_all(_request(path=b"/wait"))
            await sending.send_all(_request(_length(b"ab"), b"a"))
            await trio.sleep(0.05)
            fixture.close.set()
            await trio.sleep(0.05)
            await fresh.send_all(_request())
            await idle.send_all(_request())
            # Longer than idle connections stay open.
            await trio.sleep(0.5)
            await sending.send_all(b"b")
            fixture.release.set()
            for stream in streams:
                received = await builders_listener.read_response(stream, b"!")
                self.assertIn(b"connection: close", received)
                self.assertTrue(received.endswith(b"!"))
                self.assertEqual(await stream.receive_some(), b"")
                await stream.aclose()
            await fixture.ended.wait()

        builders_listener.run(test)

    def test_connections_in_the_backlog_are_answered(self) -> None:
        # Closing the listener reset what it had not accepted yet.
        async def test(fixture) -> None:
            sockets = [
                socket.create_connection(("127.0.0.1", fixture.port))
                for _ in range(20)
            ]
            for client in sockets:
                client.sendall(_request())
            fixture.close.set()
            for client in sockets:
                client.setblocking(False)
                stream = trio.SocketStream(
                    trio.socket.from_stdlib_socket(client)
                )
                received = await builders_listener.read_response(stream, b"!")
                self.assertTrue(received.endswith(b"!"))
                await stream.aclose()

        builders_listener.run(test)

    def test_idle_connections_do_not_delay_the_end(self) -> None:
        async def test(fixture) -> None:
            async with await fixture.connect():
                await trio.sleep(0.05)
                fixture.close.set()
                with trio.fail_after(1.5):
                    await fixture.ended.wait()
                with self.assertRaises(OSError):
                    await fixture.connect()

        builders_listener.run(test)


if __name__ == "__main__":
    unittest.main()
