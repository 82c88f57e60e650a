"""Tests of the parser of endpoint responses."""

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
