"""Tests of a real node process with clients that misbehave in numbers.

The clients and the bounds were fixed before the listener that keeps to them.
No test depends on the speed of the machine.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import tempfile
import unittest

import trio

from tests import builders_untrusted

_BODY_CLIENTS = 400
_CHUNK_CLIENTS = 400
_SMALL_CHUNK_CLIENTS = 560
_READING_CLIENTS = 200
_SILENT_CLIENTS = 800
_HEADERS = 3900
_HOLD_S = 8.0
# The processor time of very small chunks delays the growth of memory.
_SMALL_CHUNKS_HOLD_S = 20.0
_PIECE_BYTES = 4096
_LARGE_CHUNK_BYTES = 8192
# All but the last byte, so that the request never becomes complete.
_SENT_BYTES = builders_untrusted.MAX_BODY_BYTES - 1


class CrowdTest(unittest.TestCase):
    """Guards against clients that exhaust a node's memory or descriptors."""

    def _run(
        self,
        count: int,
        client: Callable[[int], Awaitable[None]],
        hold_s: float = _HOLD_S,
    ) -> None:
        """Checks a node during and after a crowd.

        Args:
            count: Number of clients.
            client: Runs one client; gets the port of the node.
            hold_s: How long the clients stay.
        """

        async def run(directory: str) -> None:
            node = builders_untrusted.NodeProcess(pathlib.Path(directory))
            async with trio.open_nursery() as nursery:
                try:
                    await node.start(nursery)
                    await builders_untrusted.run_crowd(
                        count, lambda _: client(node.port), hold_s
                    )
                    answered = await node.is_caller_answered()
                    self.assertTrue(node.running)
                    peak_mb = node.read_peak_memory_mb()
                finally:
                    node.end()
                    nursery.cancel_scope.cancel()
            with self.subTest("memory"):
                self.assertLess(peak_mb, builders_untrusted.MEMORY_MB)
            with self.subTest("descriptors"):
                self.assertLess(node.max_fds, builders_untrusted.MAX_FDS)
            with self.subTest("an ordinary request afterwards"):
                self.assertTrue(answered)

        with tempfile.TemporaryDirectory() as directory:
            trio.run(run, directory)

    def test_large_bodies_that_stop_short(self) -> None:
        # 1,500 of these took 573 MB.
        async def client(port: int) -> None:
            head = _build_length_head()
            pieces = [head, bytes(_SENT_BYTES)]
            await builders_untrusted.send_and_hold(port, pieces, 0)

        self._run(_BODY_CLIENTS, client)

    def test_large_bodies_piece_by_piece_that_stop_short(self) -> None:
        # 1,500 of these took 551 MB.
        async def client(port: int) -> None:
            pieces = [bytes(_PIECE_BYTES)] * (_SENT_BYTES // _PIECE_BYTES)
            await builders_untrusted.send_and_hold(
                port, [_build_length_head(), *pieces], 0.05
            )

        self._run(_BODY_CLIENTS, client)

    def test_large_chunks_that_stop_short(self) -> None:
        # 1,500 of these took 578 MB.
        async def client(port: int) -> None:
            chunk = _build_chunk(_LARGE_CHUNK_BYTES)
            count = builders_untrusted.MAX_BODY_BYTES // _LARGE_CHUNK_BYTES
            await builders_untrusted.send_and_hold(
                port, [_build_chunked_head(), chunk * count], 0
            )

        self._run(_CHUNK_CLIENTS, client)

    def test_very_small_chunks_that_stop_short(self) -> None:
        # One such body cost 4 s of processor time, and each chunk an object.
        async def client(port: int) -> None:
            chunks = _build_chunk(2) * (builders_untrusted.MAX_BODY_BYTES // 2)
            await builders_untrusted.send_and_hold(
                port, [_build_chunked_head(), chunks], 0
            )

        self._run(_SMALL_CHUNK_CLIENTS, client, _SMALL_CHUNKS_HOLD_S)

    def test_slow_readers_of_long_responses(self) -> None:
        # 600 of these took 648 MB.
        async def client(port: int) -> None:
            request = builders_untrusted.build_head(
                builders_untrusted.LARGE_PATH, b"Content-Length: 0"
            )
            await builders_untrusted.read_slowly(port, request, 50, 0.25)

        self._run(_READING_CLIENTS, client)

    def test_heads_of_many_headers_that_stop_short_of_the_body(self) -> None:
        # Each header takes many times its size.
        async def client(port: int) -> None:
            fields = [b"A:"] * _HEADERS
            fields.append(b"Content-Length: 1")
            head = builders_untrusted.build_head(
                builders_untrusted.SMALL_PATH, *fields
            )
            await builders_untrusted.send_and_hold(port, [head], 0)

        self._run(_BODY_CLIENTS, client)

    def test_connections_that_send_nothing(self) -> None:
        async def client(port: int) -> None:
            await builders_untrusted.send_and_hold(port, [], 0)

        self._run(_SILENT_CLIENTS, client)


def _build_length_head() -> bytes:
    length = b"Content-Length: %d" % builders_untrusted.MAX_BODY_BYTES
    return builders_untrusted.build_head(builders_untrusted.SMALL_PATH, length)


def _build_chunked_head() -> bytes:
    return builders_untrusted.build_head(
        builders_untrusted.SMALL_PATH, b"Transfer-Encoding: chunked"
    )


def _build_chunk(size_bytes: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size_bytes, bytes(size_bytes))


if __name__ == "__main__":
    unittest.main()
