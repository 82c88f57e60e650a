"""Tests of `search.OwnerTransport`."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Any
import unittest

import result
import trio

from geraniumstair import configuration
from geraniumstair import search
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders_search

_KEY = configuration.ShardKey("acme/s0", "p0", "r1")
_build_reply = builders_search.build_reply


@dataclasses.dataclass
class _CallFailure:
    sent: bool
    detail: str = "closed"


class _OwnerView:
    """A view of membership whose ranked nodes the test sets."""

    def __init__(self, *owners: str) -> None:
        self.ranked: Sequence[str] = owners

    def owners(self, key: configuration.ShardKey) -> Sequence[str]:
        return self.ranked

    async def wait_for_change(self, last_change_count: int) -> int:
        await trio.sleep(0.01)
        return last_change_count + 1


class _FakeNetwork:
    """Streams to peers whose handlers the test sets."""

    def __init__(self, **peers: Callable[[Any], Awaitable[Any]]) -> None:
        self.peers = peers
        self.unresponsive: set[str] = set()
        self.calls: list[tuple[str, Any]] = []
        self.sent_messages: list[tuple[str, Any]] = []
        self.started_calls: list[tuple[str, Any]] = []

    async def call(
        self, node_id: str, request: Any, timeout_ms: float
    ) -> result.Result[Any, Any]:
        self.calls.append((node_id, request))
        with trio.move_on_after(timeout_ms / 1000):
            reply = await self.peers[node_id](request)
            if isinstance(reply, _CallFailure):
                return result.Err(reply)
            return result.Ok(reply)
        return result.Err(_CallFailure(sent=True, detail="timeout"))

    def start_call(
        self, node_id: str, request: Any, on_result: Any
    ) -> result.Result[Any, Any]:
        if node_id not in self.peers:
            return result.Err(_CallFailure(sent=False))
        self.started_calls.append((node_id, on_result))
        return result.Ok(lambda: False)

    def send(self, node_id: str, message: Any) -> bool:
        self.sent_messages.append((node_id, message))
        return True

    def connected_nodes(self) -> frozenset[str]:
        return frozenset(self.peers)

    def is_responsive(self, node_id: str) -> bool:
        return node_id not in self.unresponsive


class _FakeDispatcher:
    """A local dispatcher whose handler the test sets."""

    def __init__(self, handler: builders_search.ShardHandler | None = None):
        self.handler = handler or builders_search.build_handler()
        self.requests: list[messages.ShardRequest] = []
        self.cancelled_search_ids: list[bytes] = []

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        self.requests.append(request)
        return await self.handler(request)

    def start_request(
        self, request: messages.ShardRequest, on_reply: Any
    ) -> None:
        self.requests.append(request)
        on_reply(_build_reply(request))

    def cancel_search(self, search_id: bytes) -> None:
        self.cancelled_search_ids.append(search_id)

    def snapshots(self, key: configuration.ShardKey) -> Sequence[int]:
        return [3]


def _build_request(**changes: Any) -> messages.ShardRequest:
    values: dict[str, Any] = {
        "search_id": b"i" * 16,
        "service": _KEY.service,
        "shard": _KEY.shard,
        "region": _KEY.region,
        "route": "search",
        "snapshot": 7,
        "body": b"{}",
        "deadline_ms": 1000.0,
        "priority": 5,
        "repeatable": True,
        "provisional": False,
    }
    return messages.ShardRequest(**{**values, **changes})


def _build_handler(delay_s: float = 0.0, **changes: Any) -> Any:
    return builders_search.build_handler(delay_s, **changes)


def _build_failing_handler(sent: bool, delay_s: float = 0.0) -> Any:
    async def fail(request: Any) -> _CallFailure:
        await trio.sleep(delay_s)
        return _CallFailure(sent)

    return fail


async def _submit_with_watchdog(
    transport: search.OwnerTransport, request: messages.ShardRequest
) -> messages.ShardReply:
    """Submits a request while the watchdog of the transport runs."""
    async with trio.open_nursery() as nursery:
        await nursery.start(transport.run)
        reply = await transport.submit(request)
        # Gives the tasks of the transport time to end.
        await trio.sleep(0.001)
        nursery.cancel_scope.cancel()
    return reply


class OwnerTransportTest(unittest.TestCase):
    """A request is served by its deadline, or `not_run` is stated correctly."""

    def _submit(
        self,
        owner_view: _OwnerView,
        network: _FakeNetwork,
        dispatcher: _FakeDispatcher | None = None,
        *,
        shard_routing: Any = "owner",
        **changes: Any,
    ) -> messages.ShardReply:
        transport = search.OwnerTransport(
            owner_view,
            network,
            dispatcher or _FakeDispatcher(),
            "n1",
            shard_routing=shard_routing,
        )

        reply = builders_search.run_on_mock_clock(
            lambda: _submit_with_watchdog(transport, _build_request(**changes))
        )
        self.assertEqual(transport.pending_attempts, 0)
        return reply

    def _called_nodes(self, network: _FakeNetwork) -> list[tuple[str, bool]]:
        return [(node, sent.provisional) for node, sent in network.calls]

    def test_local_owner_uses_the_local_dispatcher(self) -> None:
        dispatcher = _FakeDispatcher()
        network = _FakeNetwork(n2=_build_handler())
        reply = self._submit(_OwnerView("n1", "n2"), network, dispatcher)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(len(dispatcher.requests), 1)
        self.assertEqual(network.calls, [])

    def test_local_routing_ignores_owners(self) -> None:
        dispatcher = _FakeDispatcher()
        network = _FakeNetwork(n2=_build_handler())
        self._submit(
            _OwnerView("n2"), network, dispatcher, shard_routing="local"
        )
        self.assertEqual(len(dispatcher.requests), 1)
        self.assertEqual(network.calls, [])

    def test_disconnected_owner_is_replaced_by_the_second_node(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                network = _FakeNetwork(n3=_build_handler())
                reply = self._submit(
                    _OwnerView("n2", "n3"), network, repeatable=repeatable
                )
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(self._called_nodes(network), [("n3", True)])

    def test_stream_closed_before_sending(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                network = _FakeNetwork(
                    n2=_build_failing_handler(False), n3=_build_handler()
                )
                reply = self._submit(
                    _OwnerView("n2", "n3"), network, repeatable=repeatable
                )
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(
                    self._called_nodes(network), [("n2", False), ("n3", True)]
                )

    def test_stream_closed_after_sending(self) -> None:
        network = _FakeNetwork(
            n2=_build_failing_handler(True), n3=_build_handler()
        )
        reply = self._submit(_OwnerView("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(
            self._called_nodes(network), [("n2", False), ("n3", True)]
        )

    def test_not_repeatable_is_never_sent_twice(self) -> None:
        network = _FakeNetwork(
            n2=_build_failing_handler(True), n3=_build_handler()
        )
        reply = self._submit(_OwnerView("n2", "n3"), network, repeatable=False)
        self.assertEqual(reply.code, codes.Code.OWNER_LOST)
        self.assertFalse(reply.not_run)
        self.assertEqual(self._called_nodes(network), [("n2", False)])

    def test_unresponsive_owner_while_the_call_waits(self) -> None:
        network = _FakeNetwork(n2=_build_handler(60.0), n3=_build_handler())
        network.unresponsive = {"n2"}
        reply = self._submit(_OwnerView("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(
            self._called_nodes(network), [("n2", False), ("n3", True)]
        )

    def test_not_repeatable_waits_for_the_unresponsive_owner(self) -> None:
        network = _FakeNetwork(n2=_build_handler(60.0), n3=_build_handler())
        network.unresponsive = {"n2"}
        reply = self._submit(_OwnerView("n2", "n3"), network, repeatable=False)
        self.assertEqual(reply.code, codes.Code.DEADLINE_EXCEEDED)
        self.assertFalse(reply.not_run)
        self.assertEqual(self._called_nodes(network), [("n2", False)])

    def test_second_node_refuses_while_the_owner_is_alive(self) -> None:
        network = _FakeNetwork(
            n2=_build_handler(0.4), n3=_build_handler(code=codes.Code.NOT_OWNER)
        )
        network.unresponsive = {"n2"}
        reply = self._submit(_OwnerView("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)

    def test_second_node_is_asked_again_until_it_serves(self) -> None:
        async def serve_later(request: Any) -> Any:
            serves = trio.current_time() - start_s > 0.4
            code = codes.Code.OK if serves else codes.Code.NOT_OWNER
            return _build_reply(request, code=code)

        start_s = 0.0
        network = _FakeNetwork(n2=_build_handler(60.0), n3=serve_later)
        network.unresponsive = {"n2"}
        transport = search.OwnerTransport(
            _OwnerView("n2", "n3"), network, _FakeDispatcher(), "n1"
        )

        async def run() -> messages.ShardReply:
            nonlocal start_s
            start_s = trio.current_time()
            return await _submit_with_watchdog(transport, _build_request())

        self.assertEqual(
            builders_search.run_on_mock_clock(run).code, codes.Code.OK
        )
        self.assertEqual(transport.pending_attempts, 0)

    def test_shard_moves_while_the_owner_is_unresponsive(self) -> None:
        owner_view = _OwnerView("n2")

        async def move_shard(request: Any) -> Any:
            await trio.sleep(0.5)
            owner_view.ranked = ("n3", "n4")
            await trio.sleep(60.0)

        network = _FakeNetwork(n2=move_shard, n3=_build_handler())
        network.unresponsive = {"n2"}
        reply = self._submit(owner_view, network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(
            self._called_nodes(network), [("n2", False), ("n3", False)]
        )

    def test_not_repeatable_avoids_an_owner_known_to_be_unresponsive(
        self,
    ) -> None:
        network = _FakeNetwork(n2=_build_handler(60.0), n3=_build_handler())
        network.unresponsive = {"n2"}
        owner_view = _OwnerView("n2")
        transport = search.OwnerTransport(
            owner_view, network, _FakeDispatcher(), "n1"
        )

        async def run() -> messages.ShardReply:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(transport.submit, _build_request())
                await trio.sleep(0.3)
                owner_view.ranked = ("n2", "n3")
                reply = await transport.submit(_build_request(repeatable=False))
                nursery.cancel_scope.cancel()
            return reply

        reply = builders_search.run_on_mock_clock(run)
        self.assertEqual(reply.code, codes.Code.OK)
        unrepeatable_nodes = [
            node for node, sent in network.calls if not sent.repeatable
        ]
        self.assertEqual(unrepeatable_nodes, ["n3"])

    def test_slow_but_responsive_owner_keeps_the_request(self) -> None:
        network = _FakeNetwork(n2=_build_handler(0.9), n3=_build_handler())
        reply = self._submit(_OwnerView("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(self._called_nodes(network), [("n2", False)])

    def test_moved_shard_is_retried_on_the_new_owner(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                owner_view = _OwnerView("n2", "n3")

                async def move_shard(
                    request: Any, owner_view: _OwnerView = owner_view
                ) -> Any:
                    owner_view.ranked = ("n3", "n2")
                    return _build_reply(request, code=codes.Code.NOT_OWNER)

                network = _FakeNetwork(n2=move_shard, n3=_build_handler())
                reply = self._submit(owner_view, network, repeatable=repeatable)
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(
                    self._called_nodes(network), [("n2", False), ("n3", False)]
                )

    def test_shard_without_owner_ends_at_the_deadline(self) -> None:
        network = _FakeNetwork(n2=_build_handler(code=codes.Code.NOT_OWNER))
        reply = self._submit(_OwnerView("n2"), network)
        self.assertEqual(reply.code, codes.Code.NOT_OWNER)
        self.assertTrue(reply.not_run)

    def test_refusal_after_a_lost_owner_is_not_reported_as_not_run(
        self,
    ) -> None:
        network = _FakeNetwork(
            n2=_build_failing_handler(True),
            n3=_build_handler(code=codes.Code.QUEUE_FULL),
        )
        reply = self._submit(_OwnerView("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OWNER_LOST)
        self.assertFalse(reply.not_run)

    def test_other_messages_become_failed_replies(self) -> None:
        async def reply_with_failure(request: Any) -> Any:
            return messages.Failure(int(codes.Code.PEER_UNSUPPORTED), "no")

        async def reply_with_other_message(request: Any) -> Any:
            return messages.CancelSearch(b"")

        reply = self._submit(
            _OwnerView("n2"), _FakeNetwork(n2=reply_with_failure)
        )
        self.assertTrue(reply.not_run)
        reply = self._submit(
            _OwnerView("n2"), _FakeNetwork(n2=reply_with_other_message)
        )
        self.assertEqual(reply.code, codes.Code.RESPONSE_INVALID)
        self.assertFalse(reply.not_run)

    def test_cancel_reaches_each_node_with_open_calls(self) -> None:
        network = _FakeNetwork(n2=_build_handler(60.0))
        dispatcher = _FakeDispatcher(_build_handler(60.0))
        owner_view = _OwnerView("n2")
        transport = search.OwnerTransport(owner_view, network, dispatcher, "n1")

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(transport.submit, _build_request())
                nursery.start_soon(transport.submit, _build_request())
                await trio.sleep(0.01)
                owner_view.ranked = ("n1",)
                nursery.start_soon(transport.submit, _build_request())
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            transport.cancel(b"i" * 16)

        builders_search.run_on_mock_clock(run)
        cancelled = messages.CancelSearch(b"i" * 16)
        self.assertEqual(network.sent_messages, [("n2", cancelled)])
        self.assertEqual(dispatcher.cancelled_search_ids, [b"i" * 16])
        self.assertEqual(transport.pending_attempts, 0)

    def test_cancel_reaches_the_fallback_of_an_unresponsive_owner(self) -> None:
        network = _FakeNetwork(n2=_build_handler(60.0), n3=_build_handler(60.0))
        network.unresponsive = {"n2"}
        transport = search.OwnerTransport(
            _OwnerView("n2", "n3"), network, _FakeDispatcher(), "n1"
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(transport.run)
                with trio.move_on_after(0.5):
                    await transport.submit(_build_request())
                await trio.sleep(0.1)
                transport.cancel(b"i" * 16)
                nursery.cancel_scope.cancel()

        builders_search.run_on_mock_clock(run)
        nodes = sorted(node for node, _ in network.sent_messages)
        self.assertEqual(nodes, ["n2", "n3"])
        self.assertEqual(transport.pending_attempts, 0)

    def test_snapshots_leave_out_late_and_unasked_shards(self) -> None:
        other = configuration.ShardKey("acme/s9", "p0", "r1")

        async def reply_with_snapshots(request: messages.SnapshotQuery) -> Any:
            unasked = messages.ShardName("acme/s9", "p0", "r1")
            return messages.SnapshotReply(
                [
                    messages.ShardSnapshots(shard, [4, 5])
                    for shard in (*request.shards, unasked)
                ]
            )

        owner_view = _OwnerView("n2")
        network = _FakeNetwork(n2=reply_with_snapshots)
        transport = search.OwnerTransport(
            owner_view, network, _FakeDispatcher(), "n1"
        )

        async def run() -> Any:
            first = await transport.snapshots([_KEY], 100.0)
            network.peers["n2"] = _build_handler(60.0)
            late = await transport.snapshots([_KEY], 100.0)
            owner_view.ranked = ("n1",)
            local = await transport.snapshots([other], 100.0)
            return first, late, local

        first, late, local = builders_search.run_on_mock_clock(run)
        self.assertEqual(first, {_KEY: [4, 5]})
        self.assertEqual(late, {})
        self.assertEqual(local, {other: [3]})


class OwnerTransportStartTest(unittest.TestCase):
    """A started request gets one reply, or is left to `submit`."""

    def setUp(self) -> None:
        self.network = _FakeNetwork(n2=_build_handler(), n3=_build_handler())
        self.dispatcher = _FakeDispatcher()
        self.replies: list[tuple[messages.ShardReply, bool]] = []

    def _run(self, scenario: Any, *owners: str) -> None:
        async def main() -> None:
            transport = search.OwnerTransport(
                _OwnerView(*owners), self.network, self.dispatcher, "n1"
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(transport.run)
                await scenario(transport)
                nursery.cancel_scope.cancel()
            self.assertEqual(transport.pending_attempts, 0)

        builders_search.run_on_mock_clock(main)

    def _start(self, transport: search.OwnerTransport, **changes: Any) -> bool:
        return transport.start(
            _build_request(**changes),
            lambda reply, final: self.replies.append((reply, final)),
        )

    def test_local_owner_answers(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.assertTrue(self._start(transport))

        self._run(scenario, "n1", "n2")
        self.assertEqual(len(self.dispatcher.requests), 1)
        self.assertEqual(self.replies, [(_build_reply(_build_request()), True)])

    def test_start_without_a_connected_owner_sends_nothing(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.assertFalse(self._start(transport))
            self.assertFalse(self._start(transport, repeatable=False))

        self._run(scenario, "n4")
        self._run(scenario)
        self.assertEqual(self.replies, [])

    def test_only_answers_and_refusals_are_final(self) -> None:
        not_owner = _build_reply(_build_request(), code=codes.Code.NOT_OWNER)
        queue_full = _build_reply(_build_request(), code=codes.Code.QUEUE_FULL)
        for outcome, final, not_run in (
            (result.Ok(_build_reply(_build_request())), True, False),
            (result.Ok(queue_full), True, True),
            (result.Ok(not_owner), False, True),
            (result.Err(_CallFailure(sent=False)), False, True),
            (result.Err(_CallFailure(sent=True)), False, False),
        ):
            with self.subTest(outcome=outcome):

                async def scenario(
                    transport: search.OwnerTransport, outcome: Any = outcome
                ) -> None:
                    self._start(transport)
                    self.network.started_calls[-1][1](outcome)

                self._run(scenario, "n2", "n3")
                reply, was_final = self.replies[-1]
                self.assertEqual(was_final, final)
                self.assertEqual(reply.not_run, not_run)

    def test_cancelled_search_gets_no_reply(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self._start(transport)
            transport.cancel(b"i" * 16)
            self.network.started_calls[0][1](
                result.Ok(_build_reply(_build_request()))
            )

        self._run(scenario, "n2", "n3")
        self.assertEqual(self.replies, [])
        self.assertEqual(
            self.network.sent_messages,
            [("n2", messages.CancelSearch(b"i" * 16))],
        )

    def test_unresponsive_owner_is_reported_once(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.network.unresponsive.add("n2")
            self._start(transport)
            await trio.sleep(0.2)
            self.assertEqual(self.replies, [])
            await trio.sleep(0.2)
            # The second node is asked at once, because the owner is already
            # known to be unresponsive.
            before_s = trio.current_time()
            reply = await transport.submit(_build_request())
            self.assertEqual(reply.code, codes.Code.OK)
            self.assertLess(trio.current_time() - before_s, 0.1)
            self.network.started_calls[0][1](
                result.Ok(_build_reply(_build_request()))
            )

        never = builders_search.build_handler(60.0)
        self.network.peers["n2"] = never
        self._run(scenario, "n2", "n3")
        self.assertEqual(len(self.replies), 1)
        reply, final = self.replies[0]
        self.assertFalse(final)
        self.assertFalse(reply.not_run)
