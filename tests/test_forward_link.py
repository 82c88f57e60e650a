"""Tests of connections to endpoints, over socket pairs on the real clock."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import functools
import socket
import unittest

import trio
import trio.testing

from geraniumstair import endpoint_http
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import routing
from geraniumstair.forward import _link
from geraniumstair.platform import _http
from tests import builders_gateway as builders

_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Attempt-Id: %b\r\n"
)


def _response(request_id: bytes, body: bytes) -> bytes:
    head = _RESPONSE_HEAD % request_id
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


async def _start_forwarder(
    nursery: trio.Nursery,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    route: routing.Route,
) -> forward.Forwarder:
    """Starts an endpoint that serves connections, and a forwarder that uses it.

    Args:
        nursery: Runs both.
        serve: Serves one connection to the endpoint.
        route: Leads to the endpoint.
    """
    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    port = listeners[0].socket.getsockname()[1]
    dialect = _http.PlatformDialect()
    fixture = builders.ForwarderFixture(
        nursery,
        [builders.endpoint_entry(address="127.0.0.1", port=port)],
        [route],
        site=_link.TcpLinkFactory(dialect),
    )
    return forward.Forwarder(
        fixture.pool, fixture.budget, dialect, fixture.metrics
    )


class _Owner:
    """Records what a link reports."""

    def __init__(self) -> None:
        self.replies: list[tuple[bytes, forward.Reply]] = []
        self.free_count = 0
        self.closed = trio.Event()
        self.changed = trio.Event()

    def on_link_free(self, link: forward.Link) -> None:
        self.free_count += 1

    def on_link_closed(self, link: forward.Link) -> None:
        self.closed.set()

    def on_call_ended(self, call: forward.Call, reply: forward.Reply) -> None:
        self.replies.append((call.prepared.request_id, reply))
        self.changed.set()
        self.changed = trio.Event()


class TcpLinkTest(unittest.TestCase):
    """Guards against answers that are truncated, mixed up or duplicated."""

    def _exchange(self, *writes, idempotent: bool = True, reset: bool = False):
        """Sends one call for each byte string that the endpoint writes."""
        owners = []

        async def run() -> None:
            local, remote = socket.socketpair()
            local.setblocking(False)
            owner = _Owner()
            owners.append(owner)
            link = _link.TcpLink(local, _http.PlatformDialect())
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(link.run, owner)
                    for number, data in enumerate(writes, 1):
                        call = forward.Call(
                            prepared=builders.Prepared(b"q%d" % number),
                            deadline_s=0.0,
                            priority=0,
                            idempotent=idempotent,
                            on_finished=lambda call, reply: None,
                            service="s",
                        )
                        changed = owner.changed
                        if not link.start(call, b"request"):
                            owner.replies.append((b"not sent", None))
                            break
                        remote.sendall(data)
                        if data.endswith(b"END"):
                            remote.shutdown(socket.SHUT_WR)
                        await changed.wait()
                        await trio.testing.wait_all_tasks_blocked(0.01)
                    remote.close()
                    await owner.closed.wait()

        trio.run(run)
        return owners[0]

    def test_answers_reach_their_calls(self) -> None:
        owner = self._exchange(
            _response(b"q1", b"one"), _response(b"q2", b"two")
        )
        bodies = [(name, reply.body) for name, reply in owner.replies]
        self.assertEqual(bodies, [(b"q1", b"one"), (b"q2", b"two")])
        self.assertEqual(owner.free_count, 2)

    def test_a_second_answer_to_an_earlier_call_is_skipped(self) -> None:
        owner = self._exchange(
            _response(b"q0", b"late") + _response(b"q1", b"own")
        )
        self.assertEqual(owner.replies[0][1].body, b"own")

    def test_a_late_copy_without_request_id_reaches_no_other_call(self) -> None:
        # An endpoint may send an answer twice. If the copy does not name its
        # request and arrives after the next call was sent, that call must not
        # get it.
        def unnamed(status: bytes, signature: bytes, body: bytes) -> bytes:
            stamp = b"X-Response-Stamp: %b\r\n" % signature
            return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
                status,
                stamp if signature else b"X-Not-Executed: 1\r\n",
                len(body),
                body,
            )

        first = unnamed(b"200 OK", b"s1", b"one")
        owner = self._exchange(first, first + unnamed(b"200 OK", b"s2", b"two"))
        bodies = [(name, reply.body) for name, reply in owner.replies]
        self.assertEqual(bodies, [(b"q1", b"one"), (b"q2", b"two")])
        # A refusal may be a copy too, so the next call may have run.
        refusal = unnamed(b"503 Busy", b"", b"")
        owner = self._exchange(refusal, refusal)
        outcomes = [reply.outcome for _, reply in owner.replies]
        self.assertEqual(
            outcomes, [forward.Outcome.REJECTED, forward.Outcome.LOST]
        )

    def test_bytes_after_an_answer_end_the_connection(self) -> None:
        for extra in (b"junk", _response(b"q1", b"again"), b"HTTP/1.1 2"):
            with self.subTest(extra=extra):
                owner = self._exchange(_response(b"q1", b"one") + extra)
                self.assertEqual(owner.replies[0][1].body, b"one")
                self.assertEqual(owner.free_count, 0)

    def test_a_truncated_answer_loses_the_call(self) -> None:
        cut = _RESPONSE_HEAD % b"q1" + b"Content-Length: 9\r\n\r\nEND"
        owner = self._exchange(cut)
        self.assertIs(owner.replies[0][1].outcome, forward.Outcome.LOST)

    def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        owner = self._exchange(_RESPONSE_HEAD % b"q1" + b"\r\nwhole END")
        self.assertEqual(owner.replies[0][1].body, b"whole END")

    def test_malformed_bytes_lose_the_call(self) -> None:
        owner = self._exchange(b"\x00\x01 what\r\n\r\n")
        self.assertIs(owner.replies[0][1].outcome, forward.Outcome.LOST)

    def test_a_closed_connection_refuses_a_non_idempotent_call(self) -> None:
        async def run() -> None:
            local, remote = socket.socketpair()
            local.setblocking(False)
            remote.close()
            link = _link.TcpLink(local, _http.PlatformDialect())
            call = forward.Call(
                builders.Prepared(b"q"), 0.0, 0, False, lambda c, r: None, "s"
            )
            self.assertFalse(link.start(call, b"request"))

        trio.run(run)


class TruncatedHeadTest(unittest.TestCase):
    """Guards against an answer cut within its head that callers get as 200."""

    _HEAD = _RESPONSE_HEAD % b"q1" + b"Content-Length: 0\r\n\r\n"

    def _forward(
        self, route: routing.Route, answers: Sequence[bytes]
    ) -> list[gateway.HttpResponse]:
        """Returns what callers get from endpoints that send these bytes."""
        responses = []
        codec = _http.PlatformCodec()
        unsent = list(answers)

        async def answer(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some(65536)
                await stream.send_all(unsent[0])

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                while unsent:
                    forwarder = await _start_forwarder(nursery, answer, route)
                    outcome = await forwarder.forward(
                        builders.caller_request(), route
                    )
                    responses.append(codec.render(outcome))
                    del unsent[0]
                nursery.cancel_scope.cancel()

        trio.run(run)
        return responses

    def test_no_cut_of_a_head_is_an_answer(self) -> None:
        # Without the length, the end of the connection would be the end of the
        # body.
        for head in (self._HEAD, _RESPONSE_HEAD % b"q1" + b"\r\n"):
            cuts = [head[:length] for length in range(1, len(head))]
            for route in (
                builders.route(idempotent=False),
                builders.search_route(["s1"], max_attempts=1),
            ):
                for response in self._forward(route, cuts):
                    self.assertIn(response.status, (502, 504))
                    names = {name.lower() for name, _ in response.headers}
                    self.assertNotIn(b"x-response-stamp", names)

    def test_the_whole_head_is_an_answer(self) -> None:
        route = builders.route(idempotent=False)
        responses = self._forward(route, [self._HEAD])
        self.assertEqual([r.status for r in responses], [200])


class StatusRangeTest(unittest.TestCase):
    """Guards against a status outside the protocol that callers are given.

    Statuses below 100 were skipped like informational responses, so the bytes
    after them answered the call. Statuses of 600 and above reached callers.
    """

    _BODIES = {
        "no body": b"Content-Length: 0\r\n\r\n",
        "body": b"Content-Length: 3\r\n\r\nbad",
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
        "until the end": b"\r\nbad",
    }

    def _forward(
        self, data: bytes, route: routing.Route
    ) -> tuple[gateway.HttpResponse, int]:
        """Forwards a request to an endpoint that keeps its connections open.

        Returns:
            What the caller gets, and the number of connections that stay open.
        """
        responses = []
        open_connections = 0
        closed = trio.Event()

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal open_connections
            open_connections += 1
            async with stream:
                while await stream.receive_some(65536):
                    await stream.send_all(data)
            open_connections -= 1
            closed.set()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                forwarder = await _start_forwarder(nursery, serve, route)
                request = builders.caller_request(remaining_ms=300.0)
                outcome = await forwarder.forward(request, route)
                responses.append(_http.PlatformCodec().render(outcome))
                with trio.move_on_after(1):
                    await closed.wait()
                nursery.cancel_scope.cancel()

        trio.run(run)
        return responses[0], open_connections

    def test_the_call_is_lost_and_its_connection_closed(self) -> None:
        route = builders.route(idempotent=False)
        for status in (b"000", b"099", b"600", b"999"):
            head = _RESPONSE_HEAD.replace(b"200 OK", status + b" Bad") % b"q1"
            for name, body in self._BODIES.items():
                for after in (b"", _response(b"q1", b"good")):
                    with self.subTest(status, body=name, after=bool(after)):
                        response, open_connections = self._forward(
                            head + body + after, route
                        )
                        self.assertEqual(response.status, 502)
                        self.assertEqual(response.body, b"endpoint_failed")
                        self.assertEqual(open_connections, 0)


class LateRejectionTest(unittest.TestCase):
    """Guards against late copies of a rejection that answer another call."""

    _REJECTION = (
        b"HTTP/1.1 503 Busy\r\nX-Attempt-Id: q1\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )

    def _forward(self, route: routing.Route) -> tuple[int, int]:
        """Forwards a request to an endpoint that rejects its first call.

        The endpoint sends a second copy of the rejection when the next request
        has arrived on the same connection.

        Returns:
            How often the request ran, and the status that the caller got.
        """
        rejections_left = 1
        runs = 0
        statuses = []

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal rejections_left, runs
            copy = b""
            async with stream:
                while await stream.receive_some(65536):
                    if copy:
                        await stream.send_all(copy)
                    if rejections_left:
                        rejections_left -= 1
                        copy = self._REJECTION
                        await stream.send_all(copy)
                        continue
                    copy = b""
                    runs += 1
                    await trio.sleep(0.05)
                    await stream.send_all(_response(b"q1", b"r" * 16))

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                forwarder = await _start_forwarder(nursery, serve, route)
                outcome = await forwarder.forward(
                    builders.caller_request(), route
                )
                statuses.append(_http.PlatformCodec().render(outcome).status)
                # A repeat of a request that runs already arrives by then.
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        trio.run(run)
        return runs, statuses[0]

    def test_a_rejected_request_runs_once_and_is_answered(self) -> None:
        for route in (
            builders.route(idempotent=False),
            builders.search_route(["s1"]),
        ):
            with self.subTest(route=route.name):
                self.assertEqual(self._forward(route), (1, 200))


class ResponseParserTest(unittest.TestCase):
    """Guards against truncated responses that count as complete."""

    def test_several_responses_in_one_read_are_separated(self) -> None:
        parser = endpoint_http.ResponseParser(1000)
        data = _response(b"q1", b"one") + _response(b"q2", b"two")
        bodies = [r.body for r in parser.parse_all(data)]
        self.assertEqual(bodies, [b"one", b"two"])
        self.assertTrue(parser.reusable)
        self.assertFalse(parser.has_partial_response)

    def test_the_end_completes_only_a_response_without_length(self) -> None:
        parser = endpoint_http.ResponseParser(1000)
        self.assertIsNone(parser.finish())
        parser = endpoint_http.ResponseParser(1000)
        parser.parse_all(_RESPONSE_HEAD % b"q1" + b"\r\nbody")
        self.assertEqual(parser.finish().body, b"body")
        parser = endpoint_http.ResponseParser(1000)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
        # Its bytes count in the limit of the process until it is closed.
        self.addCleanup(parser.close)
        parser.parse_all(_RESPONSE_HEAD % b"q1" + chunked)
        self.assertIsNone(parser.finish())
