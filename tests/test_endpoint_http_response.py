"""Tests of the parser of endpoint responses."""

import tracemalloc
import unittest

from geraniumstair import endpoint_http

_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nX-A: 1\r\n\r\nbody"


class ResponseParserTest(unittest.TestCase):
    """Guards against responses that are misread, or invalid but accepted."""

    def test_response_in_pieces_of_any_size(self) -> None:
        for size in range(1, len(_RESPONSE) + 1):
            parser = endpoint_http.ResponseParser(100)
            responses = [
                parser.feed(_RESPONSE[at : at + size])
                for at in range(0, len(_RESPONSE), size)
            ]
            self.assertTrue(all(r is None for r in responses[:-1]))
            last = responses[-1]
            self.assertEqual((last.status, last.body), (200, b"body"))
            self.assertEqual(last.headers[b"x-a"], b"1")
            self.assertTrue(parser.reusable)

    def test_one_reader_reads_many_responses(self) -> None:
        parser = endpoint_http.ResponseParser(4)
        for _ in range(3):
            self.assertEqual(parser.feed(_RESPONSE).body, b"body")
        self.assertFalse(parser.has_partial_response)

    def test_bytes_after_the_response_end_the_connection(self) -> None:
        parser = endpoint_http.ResponseParser(100)
        self.assertEqual(parser.feed(_RESPONSE + _RESPONSE).body, b"body")
        self.assertFalse(parser.reusable)

    def test_informational_response_is_skipped(self) -> None:
        parser = endpoint_http.ResponseParser(100)
        early = b"HTTP/1.1 103 Early Hints\r\nx-a: 0\r\n\r\n"
        response = parser.feed(early + _RESPONSE)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers[b"x-a"], b"1")

    def test_a_status_out_of_range_is_no_response(self) -> None:
        # Statuses below 100 were skipped, so the next response counted.
        for status in (b"000", b"020", b"099", b"600", b"999"):
            for body in (
                b"content-length: 0\r\n\r\n",
                b"content-length: 3\r\n\r\nbad",
                b"transfer-encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
                b"\r\n",
            ):
                for after in (b"", _RESPONSE):
                    with self.subTest(status, body=body, after=after):
                        parser = endpoint_http.ResponseParser(100)
                        data = b"HTTP/1.1 %b Bad\r\n%b%b" % (
                            status,
                            body,
                            after,
                        )
                        with self.assertRaises(endpoint_http.InvalidResponse):
                            parser.feed(data)
                        self.assertFalse(parser.reusable)
                        self.assertIsNone(parser.finish())

    def test_a_status_out_of_range_does_not_undo_a_response(self) -> None:
        parser = endpoint_http.ResponseParser(100)
        bad = _RESPONSE.replace(b"200", b"600")
        self.assertEqual(parser.feed(_RESPONSE + bad).status, 200)
        self.assertFalse(parser.reusable)

    def test_each_status_in_range_is_a_response(self) -> None:
        for status in range(200, 600):
            parser = endpoint_http.ResponseParser(100)
            data = b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
            self.assertEqual(parser.feed(data).status, status)

    def test_connection_close_ends_reuse(self) -> None:
        parser = endpoint_http.ResponseParser(100)
        parser.feed(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        )
        self.assertFalse(parser.reusable)

    def test_invalid_bytes_are_refused(self) -> None:
        cases = {
            "garbage": b"\x00\x01\x02\r\n\r\n",
            "two lengths": b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n"
            b"content-length: 5\r\n\r\nbody",
            "chunked and length": b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "large body": b"HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n"
            + b"x" * 200,
            "large headers": b"HTTP/1.1 200 OK\r\nx-a: " + b"x" * 40000,
            "upgrade": b"HTTP/1.1 101 S\r\nupgrade: w\r\n"
            b"connection: upgrade\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                parser = endpoint_http.ResponseParser(100)
                with self.assertRaises(endpoint_http.InvalidResponse):
                    parser.feed(data)


class _Endless:
    """Feeds a parser until it refuses; counts the bytes that it accepted."""

    LIMIT_BYTES = 4 * 1024 * 1024

    def __init__(self, parser: endpoint_http.ResponseParser) -> None:
        self.parser = parser
        self.accepted_bytes = 0

    def send(self, start: bytes, repeated: bytes, piece_bytes: int) -> None:
        """Sends a start, then the same bytes again and again, in pieces."""
        self.parser.parse_all(start)
        block = repeated * (1 + piece_bytes // len(repeated))
        while self.accepted_bytes < self.LIMIT_BYTES:
            self.parser.parse_all(block[:piece_bytes])
            self.accepted_bytes += piece_bytes


class EndlessResponseTest(unittest.TestCase):
    """Guards against responses without end that fill the node's memory."""

    _CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    _CASES = {
        "headers": (b"HTTP/1.1 200 OK\r\n", b"x-a: 1\r\n"),
        "one header": (b"HTTP/1.1 200 OK\r\nx-a: ", b"x"),
        "informational": (b"", b"HTTP/1.1 103 E\r\nx-a: 1\r\n\r\n"),
        "trailers": (_CHUNKED + b"0\r\n", b"x-a: 1\r\n"),
        "one trailer": (_CHUNKED + b"0\r\nx-a: ", b"x"),
        "chunk extension": (_CHUNKED + b"4;x=", b"x"),
        "leading zeros": (_CHUNKED, b"0"),
    }

    def test_only_a_body_may_be_large(self) -> None:
        for name, (start, repeated) in self._CASES.items():
            for piece_bytes in (1, 1000, 65536):
                with self.subTest(name, piece_bytes=piece_bytes):
                    if name == "informational" and piece_bytes == 1:
                        continue  # One byte repeated is no message.
                    endless = _Endless(endpoint_http.ResponseParser(10**9))
                    with self.assertRaises(endpoint_http.InvalidResponse):
                        endless.send(start, repeated, piece_bytes)
                    self.assertLessEqual(endless.accepted_bytes, 64 * 1024)

    def test_a_body_in_chunks_of_one_byte_is_accepted(self) -> None:
        parser = endpoint_http.ResponseParser(10**6)
        body = b"1;a=b\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
        data = self._CHUNKED + body
        responses = []
        for at in range(0, len(data), 4096):
            responses += parser.parse_all(data[at : at + 4096])
        self.assertEqual(len(responses[0].body), 20_000)

    def test_a_body_in_small_chunks_takes_no_more_memory(self) -> None:
        # Each chunk was kept as an object of 50 bytes. An endless body in
        # chunks of two bytes filled the memory long before its limit.
        parser = endpoint_http.ResponseParser(10**7)
        parser.parse_all(self._CHUNKED)
        piece = b"2\r\nxx\r\n" * 5000
        body_bytes = 0
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        while body_bytes < 500_000:
            parser.parse_all(piece)
            body_bytes += 10_000
        _, peak_bytes = tracemalloc.get_traced_memory()
        # Room for a larger buffer while it grows.
        self.assertLess(peak_bytes, 3 * body_bytes)
        parser.close()

    def test_trailers_do_not_replace_headers(self) -> None:
        parser = endpoint_http.ResponseParser(100)
        head = self._CHUNKED.replace(b"\r\n\r\n", b"\r\nx-a: 1\r\n\r\n")
        response = parser.feed(head + b"1\r\nx\r\n0\r\nx-a: 2\r\n\r\n")
        self.assertEqual(response.headers[b"x-a"], b"1")


class BufferLimitTest(unittest.TestCase):
    """Guards against many endless bodies that fill the memory together."""

    _HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"

    def test_the_largest_body_is_dropped_and_the_others_arrive(self) -> None:
        limit = endpoint_http.BufferLimit(1500)
        parsers = [
            endpoint_http.ResponseParser(10_000, limit) for _ in range(3)
        ]
        for parser, size in zip(parsers, (900, 300, 400), strict=True):
            parser.parse_all(self._HEAD + b"x" * size)
        self.assertLessEqual(limit.total_bytes, 1500)
        with self.assertRaises(endpoint_http.InvalidResponse):
            parsers[0].parse_all(b"x")
        self.assertIsNone(parsers[0].finish())
        for parser, size in ((parsers[1], 700), (parsers[2], 600)):
            (response,) = parser.parse_all(b"x" * size)
            self.assertEqual(len(response.body), 1000)
        self.assertEqual(limit.total_bytes, 0)

    def test_a_closed_connection_frees_its_bytes(self) -> None:
        limit = endpoint_http.BufferLimit(1500)
        parser = endpoint_http.ResponseParser(10_000, limit)
        parser.parse_all(self._HEAD + b"x" * 900)
        parser.close()
        self.assertEqual(limit.total_bytes, 0)
