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
_reply = builders_search.build_reply


@dataclasses.dataclass
class _Failure:
    sent: bool
    detail: str = "closed"


class _View:
    """Ranked nodes that the test replaces."""

    def __init__(self, *owners: str) -> None:
        self.ranked: Sequence[str] = owners

    def owners(self, key: configuration.ShardKey) -> Sequence[str]:
        return self.ranked

    async def wait_changed(self, seen: int) -> int:
        await trio.sleep(0.01)
        return seen + 1


class _Network:
    """Streams whose peers behave as the test says."""

    def __init__(self, **peers: Callable[[Any], Awaitable[Any]]) -> None:
        self.peers = peers
        self.silent: set[str] = set()
        self.calls: list[tuple[str, Any]] = []
        self.sent: list[tuple[str, Any]] = []
        self.started: list[tuple[str, Any]] = []

    async def call(
        self, node_id: str, request: Any, timeout_ms: float
    ) -> result.Result[Any, Any]:
        self.calls.append((node_id, request))
        with trio.move_on_after(timeout_ms / 1000):
            reply = await self.peers[node_id](request)
            if isinstance(reply, _Failure):
                return result.Err(reply)
            return result.Ok(reply)
        return result.Err(_Failure(sent=True, detail="timeout"))

    def start_call(
        self, node_id: str, request: Any, answered: Any
    ) -> result.Result[Any, Any]:
        if node_id not in self.peers:
            return result.Err(_Failure(sent=False))
        self.started.append((node_id, answered))
        return result.Ok(lambda: False)

    def send(self, node_id: str, message: Any) -> bool:
        self.sent.append((node_id, message))
        return True

    def connected(self) -> frozenset[str]:
        return frozenset(self.peers)

    def responsive(self, node_id: str) -> bool:
        return node_id not in self.silent


class _Dispatcher:
    """The local dispatcher."""

    def __init__(self, behaviour: builders_search.Behaviour | None = None):
        self.behaviour = behaviour or builders_search.behaviour()
        self.requests: list[messages.ShardRequest] = []
        self.cancelled: list[bytes] = []

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        self.requests.append(request)
        return await self.behaviour(request)

    def start(self, request: messages.ShardRequest, done: Any) -> None:
        self.requests.append(request)
        done(_reply(request))

    def cancel(self, search_id: bytes) -> None:
        self.cancelled.append(search_id)

    def snapshots(self, key: configuration.ShardKey) -> Sequence[int]:
        return [3]


def _request(**changes: Any) -> messages.ShardRequest:
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


def _answers(delay_s: float = 0.0, **changes: Any) -> Any:
    return builders_search.behaviour(delay_s, **changes)


def _fails(sent: bool, delay_s: float = 0.0) -> Any:
    async def fail(request: Any) -> _Failure:
        await trio.sleep(delay_s)
        return _Failure(sent)

    return fail


async def _watched(
    transport: search.OwnerTransport, request: messages.ShardRequest
) -> messages.ShardReply:
    """Submits a request while the transport watches the owners."""
    async with trio.open_nursery() as nursery:
        await nursery.start(transport.run)
        reply = await transport.submit(request)
        # Lets the tasks of the transport end.
        await trio.sleep(0.001)
        nursery.cancel_scope.cancel()
    return reply


class OwnerTransportTest(unittest.TestCase):
    """Requests reach the owner, or truthfully nobody, within the deadline."""

    def _submit(
        self,
        view: _View,
        network: _Network,
        dispatcher: _Dispatcher | None = None,
        *,
        shard_routing: Any = "owner",
        **changes: Any,
    ) -> messages.ShardReply:
        transport = search.OwnerTransport(
            view,
            network,
            dispatcher or _Dispatcher(),
            "n1",
            shard_routing=shard_routing,
        )

        reply = builders_search.run(
            lambda: _watched(transport, _request(**changes))
        )
        self.assertEqual(transport.pending_attempts, 0)
        return reply

    def _nodes(self, network: _Network) -> list[tuple[str, bool]]:
        return [(node, sent.provisional) for node, sent in network.calls]

    def test_local_owner_is_called_directly(self) -> None:
        dispatcher = _Dispatcher()
        network = _Network(n2=_answers())
        reply = self._submit(_View("n1", "n2"), network, dispatcher)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(len(dispatcher.requests), 1)
        self.assertEqual(network.calls, [])

    def test_local_routing_ignores_owners(self) -> None:
        dispatcher = _Dispatcher()
        network = _Network(n2=_answers())
        self._submit(_View("n2"), network, dispatcher, shard_routing="local")
        self.assertEqual(len(dispatcher.requests), 1)
        self.assertEqual(network.calls, [])

    def test_dead_owner(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                network = _Network(n3=_answers())
                reply = self._submit(
                    _View("n2", "n3"), network, repeatable=repeatable
                )
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(self._nodes(network), [("n3", True)])

    def test_stream_closed_before_sending(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                network = _Network(n2=_fails(False), n3=_answers())
                reply = self._submit(
                    _View("n2", "n3"), network, repeatable=repeatable
                )
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(
                    self._nodes(network), [("n2", False), ("n3", True)]
                )

    def test_stream_closed_after_sending(self) -> None:
        network = _Network(n2=_fails(True), n3=_answers())
        reply = self._submit(_View("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(self._nodes(network), [("n2", False), ("n3", True)])

    def test_not_repeatable_is_never_sent_twice(self) -> None:
        network = _Network(n2=_fails(True), n3=_answers())
        reply = self._submit(_View("n2", "n3"), network, repeatable=False)
        self.assertEqual(reply.code, codes.Code.OWNER_LOST)
        self.assertFalse(reply.not_run)
        self.assertEqual(self._nodes(network), [("n2", False)])

    def test_unresponsive_owner_while_the_call_waits(self) -> None:
        network = _Network(n2=_answers(60.0), n3=_answers())
        network.silent = {"n2"}
        reply = self._submit(_View("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(self._nodes(network), [("n2", False), ("n3", True)])

    def test_not_repeatable_waits_for_the_unresponsive_owner(self) -> None:
        network = _Network(n2=_answers(60.0), n3=_answers())
        network.silent = {"n2"}
        reply = self._submit(_View("n2", "n3"), network, repeatable=False)
        self.assertEqual(reply.code, codes.Code.DEADLINE_EXCEEDED)
        self.assertFalse(reply.not_run)
        self.assertEqual(self._nodes(network), [("n2", False)])

    def test_second_node_sees_the_owner_alive(self) -> None:
        network = _Network(
            n2=_answers(0.4), n3=_answers(code=codes.Code.NOT_OWNER)
        )
        network.silent = {"n2"}
        reply = self._submit(_View("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)

    def test_second_node_notices_the_silence_later(self) -> None:
        async def late_to_notice(request: Any) -> Any:
            serves = trio.current_time() - start_s > 0.4
            code = codes.Code.OK if serves else codes.Code.NOT_OWNER
            return _reply(request, code=code)

        start_s = 0.0
        network = _Network(n2=_answers(60.0), n3=late_to_notice)
        network.silent = {"n2"}
        transport = search.OwnerTransport(
            _View("n2", "n3"), network, _Dispatcher(), "n1"
        )

        async def run() -> messages.ShardReply:
            nonlocal start_s
            start_s = trio.current_time()
            return await _watched(transport, _request())

        self.assertEqual(builders_search.run(run).code, codes.Code.OK)
        self.assertEqual(transport.pending_attempts, 0)

    def test_shard_moves_while_the_owner_is_silent(self) -> None:
        view = _View("n2")

        async def silent(request: Any) -> Any:
            await trio.sleep(0.5)
            view.ranked = ("n3", "n4")
            await trio.sleep(60.0)

        network = _Network(n2=silent, n3=_answers())
        network.silent = {"n2"}
        reply = self._submit(view, network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(self._nodes(network), [("n2", False), ("n3", False)])

    def test_not_repeatable_avoids_an_owner_known_to_be_silent(self) -> None:
        network = _Network(n2=_answers(60.0), n3=_answers())
        network.silent = {"n2"}
        view = _View("n2")
        transport = search.OwnerTransport(view, network, _Dispatcher(), "n1")

        async def run() -> messages.ShardReply:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(transport.submit, _request())
                await trio.sleep(0.3)
                view.ranked = ("n2", "n3")
                reply = await transport.submit(_request(repeatable=False))
                nursery.cancel_scope.cancel()
            return reply

        reply = builders_search.run(run)
        self.assertEqual(reply.code, codes.Code.OK)
        once = [node for node, sent in network.calls if not sent.repeatable]
        self.assertEqual(once, ["n3"])

    def test_slow_but_responsive_owner_keeps_the_request(self) -> None:
        network = _Network(n2=_answers(0.9), n3=_answers())
        reply = self._submit(_View("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OK)
        self.assertEqual(self._nodes(network), [("n2", False)])

    def test_moved_shard_is_retried_on_the_new_owner(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                view = _View("n2", "n3")

                async def moved(request: Any, view: _View = view) -> Any:
                    view.ranked = ("n3", "n2")
                    return _reply(request, code=codes.Code.NOT_OWNER)

                network = _Network(n2=moved, n3=_answers())
                reply = self._submit(view, network, repeatable=repeatable)
                self.assertEqual(reply.code, codes.Code.OK)
                self.assertEqual(
                    self._nodes(network), [("n2", False), ("n3", False)]
                )

    def test_shard_without_owner_ends_at_the_deadline(self) -> None:
        network = _Network(n2=_answers(code=codes.Code.NOT_OWNER))
        reply = self._submit(_View("n2"), network)
        self.assertEqual(reply.code, codes.Code.NOT_OWNER)
        self.assertTrue(reply.not_run)

    def test_refusal_after_a_lost_owner_is_not_called_not_run(self) -> None:
        network = _Network(
            n2=_fails(True), n3=_answers(code=codes.Code.QUEUE_FULL)
        )
        reply = self._submit(_View("n2", "n3"), network)
        self.assertEqual(reply.code, codes.Code.OWNER_LOST)
        self.assertFalse(reply.not_run)

    def test_other_messages_are_failures(self) -> None:
        async def unsupported(request: Any) -> Any:
            return messages.Failure(int(codes.Code.PEER_UNSUPPORTED), "no")

        async def odd(request: Any) -> Any:
            return messages.CancelSearch(b"")

        reply = self._submit(_View("n2"), _Network(n2=unsupported))
        self.assertTrue(reply.not_run)
        reply = self._submit(_View("n2"), _Network(n2=odd))
        self.assertEqual(reply.code, codes.Code.RESPONSE_INVALID)
        self.assertFalse(reply.not_run)

    def test_cancel_reaches_each_node_with_open_calls(self) -> None:
        network = _Network(n2=_answers(60.0))
        dispatcher = _Dispatcher(_answers(60.0))
        view = _View("n2")
        transport = search.OwnerTransport(view, network, dispatcher, "n1")

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(transport.submit, _request())
                nursery.start_soon(transport.submit, _request())
                await trio.sleep(0.01)
                view.ranked = ("n1",)
                nursery.start_soon(transport.submit, _request())
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            transport.cancel(b"i" * 16)

        builders_search.run(run)
        cancelled = messages.CancelSearch(b"i" * 16)
        self.assertEqual(network.sent, [("n2", cancelled)])
        self.assertEqual(dispatcher.cancelled, [b"i" * 16])
        self.assertEqual(transport.pending_attempts, 0)

    def test_cancel_reaches_a_substitute_of_a_silent_owner(self) -> None:
        network = _Network(n2=_answers(60.0), n3=_answers(60.0))
        network.silent = {"n2"}
        transport = search.OwnerTransport(
            _View("n2", "n3"), network, _Dispatcher(), "n1"
        )

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(transport.run)
                with trio.move_on_after(0.5):
                    await transport.submit(_request())
                await trio.sleep(0.1)
                transport.cancel(b"i" * 16)
                nursery.cancel_scope.cancel()

        builders_search.run(run)
        nodes = sorted(node for node, _ in network.sent)
        self.assertEqual(nodes, ["n2", "n3"])
        self.assertEqual(transport.pending_attempts, 0)

    def test_snapshots_leave_out_late_and_unasked_shards(self) -> None:
        other = configuration.ShardKey("acme/s9", "p0", "r1")

        async def lists(request: messages.SnapshotQuery) -> Any:
            unasked = messages.ShardName("acme/s9", "p0", "r1")
            return messages.SnapshotReply(
                [
                    messages.ShardSnapshots(shard, [4, 5])
                    for shard in (*request.shards, unasked)
                ]
            )

        view = _View("n2")
        network = _Network(n2=lists)
        transport = search.OwnerTransport(view, network, _Dispatcher(), "n1")

        async def run() -> Any:
            first = await transport.snapshots([_KEY], 100.0)
            network.peers["n2"] = _answers(60.0)
            late = await transport.snapshots([_KEY], 100.0)
            view.ranked = ("n1",)
            own = await transport.snapshots([other], 100.0)
            return first, late, own

        first, late, own = builders_search.run(run)
        self.assertEqual(first, {_KEY: [4, 5]})
        self.assertEqual(late, {})
        self.assertEqual(own, {other: [3]})


class OwnerTransportStartTest(unittest.TestCase):
    """Requests without a task get one reply, or are left to `submit`."""

    def setUp(self) -> None:
        self.network = _Network(n2=_answers(), n3=_answers())
        self.dispatcher = _Dispatcher()
        self.replies: list[tuple[messages.ShardReply, bool]] = []

    def _run(self, scenario: Any, *owners: str) -> None:
        async def main() -> None:
            transport = search.OwnerTransport(
                _View(*owners), self.network, self.dispatcher, "n1"
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(transport.run)
                await scenario(transport)
                nursery.cancel_scope.cancel()
            self.assertEqual(transport.pending_attempts, 0)

        builders_search.run(main)

    def _start(self, transport: search.OwnerTransport, **changes: Any) -> bool:
        return transport.start(
            _request(**changes),
            lambda reply, final: self.replies.append((reply, final)),
        )

    def test_local_owner_answers(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.assertTrue(self._start(transport))

        self._run(scenario, "n1", "n2")
        self.assertEqual(len(self.dispatcher.requests), 1)
        self.assertEqual(self.replies, [(_reply(_request()), True)])

    def test_not_started(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.assertFalse(self._start(transport))
            self.assertFalse(self._start(transport, repeatable=False))

        self._run(scenario, "n4")
        self._run(scenario)
        self.assertEqual(self.replies, [])

    def test_which_results_are_final(self) -> None:
        moved = _reply(_request(), code=codes.Code.NOT_OWNER)
        full = _reply(_request(), code=codes.Code.QUEUE_FULL)
        for outcome, final, not_run in (
            (result.Ok(_reply(_request())), True, False),
            (result.Ok(full), True, True),
            (result.Ok(moved), False, True),
            (result.Err(_Failure(sent=False)), False, True),
            (result.Err(_Failure(sent=True)), False, False),
        ):
            with self.subTest(outcome=outcome):

                async def scenario(
                    transport: search.OwnerTransport, outcome: Any = outcome
                ) -> None:
                    self._start(transport)
                    self.network.started[-1][1](outcome)

                self._run(scenario, "n2", "n3")
                reply, was_final = self.replies[-1]
                self.assertEqual(was_final, final)
                self.assertEqual(reply.not_run, not_run)

    def test_cancelled_search_gets_no_reply(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self._start(transport)
            transport.cancel(b"i" * 16)
            self.network.started[0][1](result.Ok(_reply(_request())))

        self._run(scenario, "n2", "n3")
        self.assertEqual(self.replies, [])
        self.assertEqual(
            self.network.sent, [("n2", messages.CancelSearch(b"i" * 16))]
        )

    def test_silent_owner_is_given_up_once(self) -> None:
        async def scenario(transport: search.OwnerTransport) -> None:
            self.network.silent.add("n2")
            self._start(transport)
            await trio.sleep(0.2)
            self.assertEqual(self.replies, [])
            await trio.sleep(0.2)
            # The second node is asked without a new wait for silence.
            before_s = trio.current_time()
            reply = await transport.submit(_request())
            self.assertEqual(reply.code, codes.Code.OK)
            self.assertLess(trio.current_time() - before_s, 0.1)
            self.network.started[0][1](result.Ok(_reply(_request())))

        never = builders_search.behaviour(60.0)
        self.network.peers["n2"] = never
        self._run(scenario, "n2", "n3")
        self.assertEqual(len(self.replies), 1)
        reply, final = self.replies[0]
        self.assertFalse(final)
        self.assertFalse(reply.not_run)
