"""Tests of the byte counts of peer streams."""

import unittest

import msgpack
import trio
import trio.testing

from geraniumstair import wire
from geraniumstair._generated import messages
from geraniumstair.wire import _traffic


class IsSearchTest(unittest.TestCase):
    """Guards against search traffic that is counted as control traffic."""

    def test_call_has_the_class_of_the_message_in_its_body(self) -> None:
        search_body = wire.encode(messages.SnapshotQuery([]))
        control_body = wire.encode(messages.ConfigurationRequest(1))
        for wrapper in (messages.Call, messages.Return):
            self.assertTrue(_traffic.is_search(wrapper(1, search_body)))
            self.assertFalse(_traffic.is_search(wrapper(1, control_body)))
            self.assertFalse(_traffic.is_search(wrapper(1, b"")))

    def test_search_message_is_recognised_by_its_tag(self) -> None:
        for message in (
            messages.ClaimRequest(b"k", 1),
            messages.CancelSearch(b"s"),
            messages.SnapshotReply([]),
        ):
            call = messages.Call(1, wire.encode(message))
            self.assertTrue(_traffic.is_search(message))
            self.assertTrue(_traffic.is_search(call))


async def _receive_three(
    stream: wire.MessageStream, received: list[object]
) -> None:
    for _ in range(3):
        received.append(await stream.receive())


class SharedUnpackerTest(unittest.TestCase):
    """Guards against bytes that leak from one stream into another.

    Streams share unpackers through a pool.
    """

    def test_partial_frames_of_two_streams_are_not_mixed(self) -> None:
        # The first stream gets the data cut at each byte in turn, also within a
        # frame header. Between the two pieces the other stream gets messages,
        # for which it uses any unpacker that is back in the pool.
        async def main() -> None:
            sent = [messages.ViewRequest(i) for i in range(3)]
            content = b"".join(
                msgpack.packb(wire.encode(message)) for message in sent
            )
            for cut in range(len(content) + 1):
                one, to_one = trio.testing.memory_stream_pair()
                other, to_other = trio.testing.memory_stream_pair()
                streams = wire.MessageStream(one), wire.MessageStream(other)
                await to_one.send_all(content[:cut])
                received: list[object] = []

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_receive_three, streams[0], received)
                    await trio.testing.wait_all_tasks_blocked()
                    await to_other.send_all(content)
                    for message in sent:
                        self.assertEqual(await streams[1].receive(), message)
                    await to_one.send_all(content[cut:])
                self.assertEqual(received, sent)

        trio.run(main)

    def test_idle_stream_has_no_unpacker(self) -> None:
        async def main() -> None:
            one, other = trio.testing.memory_stream_pair()
            stream = wire.MessageStream(other)
            await wire.MessageStream(one).send(messages.Ping(answer=True))
            await stream.receive()
            self.assertIsNone(stream._unpacker)

        trio.run(main)


class TrafficCountersTest(unittest.TestCase):
    """Guards against messages that a stream does not count."""

    def test_sender_and_receiver_count_a_message(self) -> None:
        def control_bytes(direction: str) -> float:
            (family,) = _traffic.TRAFFIC.collect()
            return sum(
                s.value
                for s in family.samples
                if s.labels == {"direction": direction, "class": "control"}
            )

        async def main() -> None:
            one, other = trio.testing.memory_stream_pair()
            sender = wire.MessageStream(one)
            receiver = wire.MessageStream(other)
            sent_before, received_before = (
                control_bytes("sent"),
                control_bytes("received"),
            )
            await sender.send(messages.Ping(answer=True))
            await receiver.receive()
            self.assertGreater(control_bytes("sent"), sent_before)
            self.assertGreater(control_bytes("received"), received_before)

        trio.run(main)
