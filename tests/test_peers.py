"""Tests of `geraniumstair.peers`."""

from collections.abc import AsyncIterator
import contextlib
import logging
import random
from typing import Any
import unittest

import trio
import trio.testing

from geraniumstair import peers
from geraniumstair import wire
from geraniumstair._generated import messages
from tests import memory_transport


def run_with_mock_clock(test: Any) -> None:
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def build_network(
    memory: memory_transport.MemoryNetwork,
    name: str,
    port: int,
    incarnation: int = 1,
) -> peers.PeerNetwork:
    return peers.PeerNetwork(
        wire.Identity(name, incarnation, "az-a", "k" * 16),
        "127.0.0.1",
        port,
        transport=memory.transport(port),
        rng=random.Random(port),
    )


@contextlib.asynccontextmanager
async def connect_pair() -> AsyncIterator[Any]:
    """Runs two connected networks, `a` at port 1 and `b` at port 2."""
    memory = memory_transport.MemoryNetwork()
    a = build_network(memory, "a", 1)
    b = build_network(memory, "b", 2)
    addresses = {
        "a": peers.PeerAddress("127.0.0.1", 1),
        "b": peers.PeerAddress("127.0.0.1", 2),
    }
    async with trio.open_nursery() as nursery:
        await nursery.start(a.run)
        await nursery.start(b.run)
        a.set_peers(addresses)
        b.set_peers(addresses)
        await trio.sleep(5)
        yield memory, a, b
        nursery.cancel_scope.cancel()


async def echo(sender: str, message: messages.ClaimRequest) -> Any:
    """Replies with the key after a delay of `deadline_ms`."""
    await trio.sleep(message.deadline_ms / 1000)
    return messages.ClaimReply(code=0, detail="", outcome=message.key)


class PeerNetworkTest(unittest.TestCase):
    """Each reply reaches its own call, and failures have the right `sent`."""

    def test_out_of_order_replies_reach_their_calls(self) -> None:
        async def test() -> None:
            async with connect_pair() as (_memory, a, b):
                b.register_handler(messages.ClaimRequest, echo)

                async def call(number: int) -> None:
                    request = messages.ClaimRequest(
                        bytes([number]), 50 - number
                    )
                    reply = (await a.call("b", request, 1000)).unwrap()
                    self.assertEqual(reply.outcome, bytes([number]))

                async with trio.open_nursery() as nursery:
                    for number in range(50):
                        nursery.start_soon(call, number)

        run_with_mock_clock(test)

    def test_late_reply_is_dropped(self) -> None:
        async def test() -> None:
            async with connect_pair() as (_memory, a, b):
                b.register_handler(messages.ClaimRequest, echo)
                late = await a.call("b", messages.ClaimRequest(b"1", 500), 100)
                self.assertTrue(late.unwrap_err().sent)
                reply = await a.call("b", messages.ClaimRequest(b"2", 600), 900)
                self.assertEqual(reply.unwrap().outcome, b"2")

        run_with_mock_clock(test)

    def test_calls_fail_with_correct_sent_flag_if_the_stream_breaks(
        self,
    ) -> None:
        async def test() -> None:
            async with connect_pair() as (memory, a, b):
                b.register_handler(messages.ClaimRequest, echo)
                outcomes = []

                async def call() -> None:
                    request = messages.ClaimRequest(b"1", 9000)
                    outcomes.append(await a.call("b", request, 9000))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await trio.sleep(0.1)
                    memory.cut(1, 2)
                self.assertTrue(outcomes[0].unwrap_err().sent)
                await trio.sleep(0.01)
                self.assertEqual(a.connected_nodes(), frozenset())
                request = messages.ClaimRequest(b"1", 1)
                unsent = await a.call("b", request, 100)
                self.assertFalse(unsent.unwrap_err().sent)
                self.assertFalse(a.send("b", messages.CancelSearch(b"1")))
                memory.heal(1, 2)
                await trio.sleep(10)
                self.assertEqual(a.connected_nodes(), {"b"})
                (await a.call("b", request, 100)).unwrap()

        run_with_mock_clock(test)

    def test_handler_exception_returns_failure_and_keeps_the_stream(
        self,
    ) -> None:
        async def raise_error(sender: str, message: Any) -> Any:
            raise ValueError("fault")

        async def test() -> None:
            async with connect_pair() as (_memory, a, b):
                b.register_handler(messages.ClaimRequest, raise_error)
                b.register_handler(messages.CancelSearch, raise_error)
                with self.assertLogs("geraniumstair.peers", "ERROR"):
                    a.send("b", messages.CancelSearch(b"1"))
                    reply = await a.call(
                        "b", messages.ClaimRequest(b"1", 1), 100
                    )
                    await trio.sleep(0.1)
                self.assertEqual(reply.unwrap().code, 307)
                unsupported = await a.call("b", messages.SnapshotQuery([]), 100)
                self.assertEqual(unsupported.unwrap().code, 502)
                self.assertEqual(a.connected_nodes(), {"b"})

        run_with_mock_clock(test)

    def test_one_way_messages_arrive_in_order(self) -> None:
        async def test() -> None:
            received = []

            async def record(sender: str, message: Any) -> None:
                received.append((sender, message.search_id[0]))

            async with connect_pair() as (_memory, a, b):
                b.register_handler(messages.CancelSearch, record)
                for number in range(100):
                    sent = a.send("b", messages.CancelSearch(bytes([number])))
                    self.assertTrue(sent)
                await trio.sleep(1)
            self.assertEqual(received, [("a", n) for n in range(100)])

        run_with_mock_clock(test)

    def test_wrong_cluster_key_is_logged_at_both_ends(self) -> None:
        # An operator looks first at the log of the node that cannot join.
        async def test() -> None:
            memory = memory_transport.MemoryNetwork()
            other = wire.Identity("b", 1, "az-a", "x" * 16)
            a = build_network(memory, "a", 1)
            b = peers.PeerNetwork(
                other,
                "127.0.0.1",
                2,
                transport=memory.transport(2),
                rng=random.Random(2),
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(a.run)
                await nursery.start(b.run)
                b.add_seed(peers.PeerAddress("127.0.0.1", 1))
                await trio.sleep(1)
                nursery.cancel_scope.cancel()

        with self.assertLogs("geraniumstair.peers", logging.WARNING) as logs:
            run_with_mock_clock(test)
        text = "\n".join(logs.output)
        self.assertIn("refused a stream: wrong cluster key", text)
        self.assertIn("cannot reach", text)

    def test_one_stream_remains_after_both_nodes_dial_at_once(self) -> None:
        async def test() -> None:
            memory = memory_transport.MemoryNetwork()
            a = build_network(memory, "a", 1)
            b = build_network(memory, "b", 2)
            a.add_seed(peers.PeerAddress("127.0.0.1", 2))
            b.add_seed(peers.PeerAddress("127.0.0.1", 1))
            b.register_handler(messages.ClaimRequest, echo)
            async with trio.open_nursery() as nursery:
                await nursery.start(a.run)
                await nursery.start(b.run)
                for _ in range(40):
                    request = messages.ClaimRequest(b"1", 450)
                    await trio.sleep(0.05)
                    if a.connected_nodes():
                        (await a.call("b", request, 1000)).unwrap()
                await trio.sleep(60)
                self.assertEqual(len(a._peers["b"].connections), 1)
                self.assertEqual(len(b._peers["a"].connections), 1)
                nursery.cancel_scope.cancel()

        run_with_mock_clock(test)

    def test_silent_peer_becomes_unresponsive(self) -> None:
        async def test() -> None:
            memory = memory_transport.MemoryNetwork()
            a = build_network(memory, "a", 1)
            silent_listener = memory.add_listener(2)

            async def accept_without_replies() -> None:
                stream = await silent_listener.accept()
                identity = wire.Identity("b", 1, "az-a", "k" * 16)
                await wire.accept_handshake(stream, identity)

            async with trio.open_nursery() as nursery:
                await nursery.start(a.run)
                nursery.start_soon(accept_without_replies)
                a.add_seed(peers.PeerAddress("127.0.0.1", 2))
                await trio.sleep(1)
                self.assertTrue(a.is_responsive("b"))
                await trio.sleep(0.3)
                self.assertFalse(a.is_responsive("b"))
                self.assertFalse(await a.probe("b"))
                await trio.sleep(6)
                self.assertNotIn("b", a.connected_nodes())
                nursery.cancel_scope.cancel()

        run_with_mock_clock(test)

    def test_a_silent_stream_is_replaced_in_time(self) -> None:
        # Streams went silent while new ones worked. Nodes learned of a change
        # of the routes ten seconds later, and of endpoints that had left.
        async def test() -> None:
            async with connect_pair() as (memory, a, b):
                received = []

                async def record(sender: str, message: Any) -> None:
                    received.append(message.search_id)

                a.register_handler(messages.CancelSearch, record)
                b.register_handler(messages.CancelSearch, record)
                b.register_handler(messages.ClaimRequest, echo)
                # Notices arrive all the time.
                a.send("b", messages.CancelSearch(b"0"))
                b.send("a", messages.CancelSearch(b"0"))
                await trio.sleep(0.1)
                received.clear()
                memory.silence(1, 2)
                await trio.sleep(2.0)
                a.send("b", messages.CancelSearch(b"1"))
                await trio.sleep(0.1)
                self.assertEqual(received, [b"1"])
                await trio.sleep(10)
                for network, peer in ((a, "b"), (b, "a")):
                    self.assertEqual(len(network._peers[peer].connections), 1)
                # The same while a call is in progress.
                memory.silence(1, 2)
                call = messages.ClaimRequest(b"1", 1)
                started_s = trio.current_time()
                failed = await a.call("b", call, 5000)
                self.assertTrue(failed.unwrap_err().sent)
                self.assertLess(trio.current_time() - started_s, 2.0)
                (await a.call("b", call, 100)).unwrap()

        run_with_mock_clock(test)

    def test_the_stream_of_a_paused_peer_is_kept(self) -> None:
        # A paused peer answers on no stream. Its work must not be given up.
        async def test() -> None:
            async with connect_pair() as (memory, a, b):
                b.register_handler(messages.ClaimRequest, echo)
                memory.silence(1, 2)
                memory.refuse(1, 2)
                replies = []

                async def call() -> None:
                    request = messages.ClaimRequest(b"1", 1)
                    replies.append(await a.call("b", request, 9000))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    await trio.sleep(4)
                    memory.resume()
                self.assertEqual(replies[0].unwrap().outcome, b"1")

        run_with_mock_clock(test)

    def test_peer_stays_responsive_during_a_long_call(self) -> None:
        async def test() -> None:
            async with connect_pair() as (_memory, a, b):
                b.register_handler(messages.ClaimRequest, echo)

                async def call() -> None:
                    request = messages.ClaimRequest(b"1", 20000)
                    (await a.call("b", request, 30000)).unwrap()

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(call)
                    for _ in range(100):
                        await trio.sleep(0.1)
                        self.assertTrue(a.is_responsive("b"))
                self.assertTrue(await a.probe("b"))

        run_with_mock_clock(test)

    def test_newer_incarnation_replaces_the_stream(self) -> None:
        async def test() -> None:
            async with connect_pair() as (memory, a, _b):
                memory.add_listener(2)
                newer = build_network(memory, "b", 2, incarnation=2)
                newer.register_handler(messages.ClaimRequest, echo)
                newer.add_seed(peers.PeerAddress("127.0.0.1", 1))
                async with trio.open_nursery() as nursery:
                    await nursery.start(newer.run)
                    await trio.sleep(2)
                    request = messages.ClaimRequest(b"new", 1)
                    reply = await a.call("b", request, 100)
                    self.assertEqual(reply.unwrap().outcome, b"new")
                    nursery.cancel_scope.cancel()

        run_with_mock_clock(test)


class DirectCallTest(unittest.TestCase):
    """Calls without a task end exactly once, or never if cancelled."""

    def run_with_handler(self, handler: Any, test: Any) -> None:
        async def main() -> None:
            async with connect_pair() as (memory, a, b):
                b.register_sync_handler(messages.ClaimRequest, handler)
                await test(memory, a)

        run_with_mock_clock(main)

    def start_call(self, a: peers.PeerNetwork, results: list[Any]) -> Any:
        request = messages.ClaimRequest(b"k", 5.0)
        return a.start_call("b", request, results.append)

    def test_reply_reaches_the_caller_once(self) -> None:
        def handler(sender: str, message: Any, reply: Any) -> Any:
            reply(messages.ClaimReply(0, sender, message.key))
            reply(messages.ClaimReply(1, "a second reply", b""))
            return lambda: None

        async def test(memory: Any, a: peers.PeerNetwork) -> None:
            results: list[Any] = []
            self.start_call(a, results)
            await trio.sleep(1)
            self.assertEqual(
                [r.ok_value for r in results],
                [messages.ClaimReply(0, "a", b"k")],
            )

        self.run_with_handler(handler, test)

    def test_handler_exception_returns_failure_and_keeps_the_stream(
        self,
    ) -> None:
        def handler(sender: str, message: Any, reply: Any) -> Any:
            raise ValueError

        async def test(memory: Any, a: peers.PeerNetwork) -> None:
            results: list[Any] = []
            self.start_call(a, results)
            await trio.sleep(1)
            self.assertIsInstance(results[0].ok_value, messages.Failure)
            self.assertEqual(a.connected_nodes(), {"b"})

        with self.assertLogs("geraniumstair.peers", "ERROR"):
            self.run_with_handler(handler, test)

    def test_call_cancelled_before_the_write_is_not_sent(self) -> None:
        received: list[Any] = []

        def handler(sender: str, message: Any, reply: Any) -> Any:
            received.append(message)
            return lambda: None

        async def test(memory: Any, a: peers.PeerNetwork) -> None:
            results: list[Any] = []
            cancel_call = self.start_call(a, results).ok_value
            self.assertTrue(cancel_call())
            await trio.sleep(1)
            self.assertEqual((received, results), ([], []))

        self.run_with_handler(handler, test)

    def test_broken_stream_ends_the_call_on_both_sides(self) -> None:
        aborted: list[str] = []

        def handler(sender: str, message: Any, reply: Any) -> Any:
            return lambda: aborted.append(sender)

        async def test(memory: Any, a: peers.PeerNetwork) -> None:
            results: list[Any] = []
            self.start_call(a, results)
            await trio.sleep(1)
            memory.cut(1, 2)
            await trio.sleep(20)
            self.assertTrue(results[0].err_value.sent)
            self.assertEqual(aborted, ["a"])

        self.run_with_handler(handler, test)


class TcpTransportTest(unittest.TestCase):
    """Calls over the TCP transport on the loopback interface."""

    def test_invalid_stream_does_not_disturb_calls_over_tcp(self) -> None:
        async def test() -> None:
            def build_tcp_network(name: str) -> peers.PeerNetwork:
                identity = wire.Identity(name, 1, "az-a", "k" * 16)
                return peers.PeerNetwork(identity, "127.0.0.1", 0)

            a, b = build_tcp_network("a"), build_tcp_network("b")
            b.register_handler(messages.ClaimRequest, echo)
            async with trio.open_nursery() as nursery:
                await nursery.start(a.run)
                port = await nursery.start(b.run)
                a.add_seed(peers.PeerAddress("127.0.0.1", port))
                with trio.fail_after(10):
                    while not a.connected_nodes():
                        await trio.sleep(0.01)
                invalid_stream = await trio.open_tcp_stream("127.0.0.1", port)
                with self.assertLogs("geraniumstair.peers", "WARNING"):
                    await invalid_stream.send_all(b"GET / HTTP/1.1\r\n\r\n")
                    while await invalid_stream.receive_some(1000):
                        pass
                request = messages.ClaimRequest(b"1", 1)
                reply = await a.call("b", request, 5000)
                self.assertEqual(reply.unwrap().outcome, b"1")
                nursery.cancel_scope.cancel()

        trio.run(test)
