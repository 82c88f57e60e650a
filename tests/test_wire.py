"""Tests of `geraniumstair.wire`."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
import unittest

import msgpack
import trio
import trio.testing

from geraniumstair import errors
from geraniumstair import wire
from geraniumstair._generated import messages


def run_with_mock_clock(test: Callable[[], Awaitable[Any]]) -> Any:
    return trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def build_identity(name: str, key: str = "k" * 16) -> wire.Identity:
    return wire.Identity(name, 1, "az-a", key)


class CodecTest(unittest.TestCase):
    """Encoding round trip, and `WireError` for bytes that are not a message."""

    def test_round_trip(self) -> None:
        message = messages.CancelSearch(search_id=b"1")
        self.assertEqual(wire.decode(wire.encode(message)), message)

    def test_invalid_bytes_raise_wire_error(self) -> None:
        for body in (b"", b"\xff", msgpack.packb(["Nothing", 1]), b"\x91" * 9):
            with self.assertRaises(errors.WireError):
                wire.decode(body)


class MessageStreamTest(unittest.TestCase):
    """Messages stay whole, and invalid or oversized input is rejected."""

    def test_concurrent_sends_share_writes_and_keep_messages_whole(self):
        async def test() -> None:
            near, far = trio.testing.memory_stream_pair()
            writes = []
            original_hook = near.send_stream.send_all_hook
            near.send_stream.send_all_hook = _count_writes(
                writes, original_hook
            )
            sender = wire.MessageStream(near)
            receiver = wire.MessageStream(far)
            sent = [messages.CancelSearch(bytes([n])) for n in range(20)]
            async with trio.open_nursery() as nursery:
                for message in sent:
                    nursery.start_soon(sender.send, message)
            received = [await receiver.receive() for _ in sent]
            self.assertCountEqual(
                [m.search_id for m in received], [m.search_id for m in sent]
            )
            self.assertLess(len(writes), len(sent))

        run_with_mock_clock(test)

    def test_removed_message_is_not_sent(self) -> None:
        async def test() -> None:
            near, far = trio.testing.memory_stream_pair()
            sender = wire.MessageStream(near)
            ticket = sender.enqueue(messages.CancelSearch(b"1"))
            self.assertTrue(sender.remove_queued(ticket))
            await sender.send(messages.CancelSearch(b"2"))
            self.assertFalse(sender.remove_queued(ticket))
            received = await wire.MessageStream(far).receive()
            self.assertEqual(received, messages.CancelSearch(b"2"))

        run_with_mock_clock(test)

    def test_invalid_frame_raises_wire_error(self) -> None:
        invalid_frames = [
            b"\xc1",
            msgpack.packb("text"),
            msgpack.packb(7),
            b"\x91" * 1000,
            msgpack.packb(b"nothing"),
        ]

        async def test(data: bytes) -> None:
            near, far = trio.testing.memory_stream_pair()
            await near.send_all(data)
            with self.assertRaises(errors.WireError):
                await wire.MessageStream(far).receive()

        for data in invalid_frames:
            with self.subTest(data=data[:8]):
                trio.run(test, data)

    def test_size_limit_and_end_of_stream(self) -> None:
        async def test() -> None:
            near, far = trio.testing.memory_stream_pair()
            receiver = wire.MessageStream(far, limit_bytes=100)
            await near.send_all(msgpack.packb(b"x" * 101))
            with self.assertRaises(errors.WireError):
                await receiver.receive()
            near, far = trio.testing.memory_stream_pair()
            receiver = wire.MessageStream(far, limit_bytes=100)
            await near.send_all(b"\xc6\xff\xff\xff\xff" + bytes(200000))
            with self.assertRaises(errors.WireError):
                await receiver.receive()
            near, far = trio.testing.memory_stream_pair()
            await near.aclose()
            with self.assertRaises(errors.StreamClosedError):
                await wire.MessageStream(far).receive()

        run_with_mock_clock(test)

    def test_cancelled_write_closes_the_stream(self) -> None:
        async def test() -> None:
            near, _far = trio.testing.lockstep_stream_pair()
            sender = wire.MessageStream(near)
            with trio.move_on_after(1):
                await sender.send(messages.CancelSearch(b"1"))
            with self.assertRaises(errors.StreamClosedError):
                sender.enqueue(messages.CancelSearch(b"2"))

        run_with_mock_clock(test)


def _count_writes(
    writes: list[int], original_hook: Callable[[], Awaitable[object]]
) -> Callable[[], Awaitable[None]]:
    async def hook() -> None:
        writes.append(1)
        await trio.lowlevel.checkpoint()
        await original_hook()

    return hook


async def _run_handshake(
    near_identity: wire.Identity, far_identity: wire.Identity
) -> tuple[Any, Any]:
    outcomes: dict[str, Any] = {}

    async def run_side(
        name: str, handshake: Any, stream: Any, identity: Any
    ) -> None:
        try:
            outcomes[name] = await handshake(stream, identity)
        except errors.GeraniumstairError as error:
            outcomes[name] = error
            await stream.aclose()

    near, far = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            run_side, "near", wire.connect_handshake, near, near_identity
        )
        nursery.start_soon(
            run_side, "far", wire.accept_handshake, far, far_identity
        )
    return outcomes["near"], outcomes["far"]


class HandshakeTest(unittest.TestCase):
    """Peers without the key are refused, and silent peers time out."""

    def test_both_sides_receive_the_node_id_of_the_peer(self) -> None:
        near, far = trio.run(
            _run_handshake, build_identity("a"), build_identity("b")
        )
        self.assertEqual(near.welcome.node_id, "b")
        self.assertEqual(far.hello.node_id, "a")
        self.assertNotIn("k" * 16, repr(build_identity("a")))

    def test_wrong_key_is_refused_on_both_sides(self) -> None:
        near, far = trio.run(
            _run_handshake, build_identity("a", "x" * 16), build_identity("b")
        )
        self.assertIsInstance(near, errors.AuthenticationError)
        self.assertIsInstance(far, errors.AuthenticationError)
        self.assertIn("wrong cluster key", str(near))

    def test_silent_peer_times_out(self) -> None:
        async def test() -> None:
            for handshake in (wire.accept_handshake, wire.connect_handshake):
                near, _far = trio.testing.memory_stream_pair()
                with self.assertRaises(errors.StreamClosedError):
                    await handshake(near, build_identity("a"))

        run_with_mock_clock(test)

    def test_acceptor_that_echoes_the_proof_is_rejected(self) -> None:
        async def test() -> None:
            near, far = trio.testing.memory_stream_pair()

            async def impostor() -> None:
                stream = wire.MessageStream(far)
                await stream.send(messages.Challenge(b"n" * 16))
                hello = await stream.receive()
                await stream.send(messages.Welcome("b", 1, hello.proof))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(impostor)
                with self.assertRaises(errors.AuthenticationError):
                    await wire.connect_handshake(near, build_identity("a"))

        run_with_mock_clock(test)

    def test_invalid_hello_is_refused_with_a_result_code(self) -> None:
        async def test() -> None:
            near, far = trio.testing.memory_stream_pair()
            client = wire.MessageStream(near)
            await near.send_all(msgpack.packb([1, 2]))
            with self.assertRaises(errors.WireError):
                await wire.accept_handshake(far, build_identity("a"))
            self.assertIsInstance(await client.receive(), messages.Challenge)
            refused = await client.receive()
            self.assertEqual(refused.code, 501)

        run_with_mock_clock(test)
