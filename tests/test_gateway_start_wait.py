"""Tests of requests that arrive while a node starts."""

import unittest

import trio

from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import routing
from geraniumstair.gateway import _start_wait
from geraniumstair.platform import _http
from tests import builders_gateway as builders

_STORE_READ_S = 0.4


class _State:
    table: routing.RouteTable | None = None


class WaitEndTest(unittest.TestCase):
    """Guards against callers that wait beyond their own time."""

    def test_the_shorter_of_both_limits_counts(self) -> None:
        for remaining_ms, end_s in (
            (None, 10 + _start_wait.MAX_WAIT_S),
            (60_000.0, 10 + _start_wait.MAX_WAIT_S),
            (1000.0, 11 - _start_wait.REFUSAL_MARGIN_S),
        ):
            request = builders.caller_request(
                received_s=10.0, remaining_ms=remaining_ms
            )
            self.assertEqual(_start_wait.compute_wait_end_s(request), end_s)


class StartWaitTest(unittest.TestCase):
    """Guards against 503 for callers whose endpoints are about to be known."""

    def _serve(
        self,
        items: list[mirror.MirrorItem] | None,
        table: routing.RouteTable | None = None,
        remaining_ms: int = 1000,
        disconnect_s: float = 60.0,
    ) -> tuple[int, float]:
        """Sends a request to a node that is still reading the store.

        Args:
            items: What the read returns after `_STORE_READ_S`; None if it does
                not return.
            table: Routes that the items hold.
            remaining_ms: Remaining time of the caller.
            disconnect_s: When the caller leaves.

        Returns:
            Status of the response, or 0, and when it came, in s.
        """
        sent = [(0, 0.0)]

        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [builders.route()]
            )
            contents = mirror.Mirror()
            state = _State()
            application = gateway.CallerApplication(
                state,
                fixture.forwarder,
                _http.PlatformCodec(),
                gateway.Lifecycle(6.0),
                start_wait=_start_wait.StartWait(contents.complete),
            )
            started_s = trio.current_time()
            messages = [{"type": "http.request", "body": b""}]

            async def read_store() -> None:
                await trio.sleep(_STORE_READ_S)
                if items is not None:
                    state.table = table
                    contents.replace(items, 5)

            async def receive():
                if messages:
                    return messages.pop()
                await trio.sleep_until(started_s + disconnect_s)
                return {"type": "http.disconnect"}

            async def send(message):
                if message["type"] == "http.response.start":
                    now_s = trio.current_time()
                    sent.append((message["status"], now_s - started_s))

            headers = [
                (b"host", b"h.example"),
                (b"x-attempt-id", b"q1"),
                (b"x-time-remaining", b"%d" % remaining_ms),
            ]
            scope = {
                "type": "http",
                "method": "GET",
                "raw_path": b"/p/x",
                "query_string": b"",
                "headers": headers,
            }
            nursery.start_soon(read_store)
            await application(scope, receive, send)
            sent.append((sent[-1][0], trio.current_time() - started_s))

        builders.run_on_virtual_clock(test)
        return sent[-1]

    def _table(self) -> routing.RouteTable:
        return builders.table([builders.route()])

    def test_the_request_is_forwarded_once_the_store_has_been_read(
        self,
    ) -> None:
        items = [mirror.MirrorItem("k", b"v", 4)]
        status, at_s = self._serve(items, self._table())
        self.assertEqual(status, 200)
        self.assertGreaterEqual(at_s, _STORE_READ_S)
        self.assertLess(at_s, _STORE_READ_S + 0.1)

    def test_a_store_without_routes_ends_the_wait(self) -> None:
        status, at_s = self._serve([])
        self.assertEqual((status, round(at_s, 6)), (503, _STORE_READ_S))

    def test_the_caller_gets_503_while_it_still_waits(self) -> None:
        for remaining_ms, limit_s in (
            (300, 0.3 - _start_wait.REFUSAL_MARGIN_S),
            (20, 0.0),
            (60_000, _start_wait.MAX_WAIT_S),
        ):
            with self.subTest(remaining_ms):
                status, at_s = self._serve(None, remaining_ms=remaining_ms)
                self.assertEqual(status, 503)
                self.assertAlmostEqual(at_s, limit_s)

    def test_a_caller_that_leaves_ends_its_wait(self) -> None:
        status, at_s = self._serve(None, disconnect_s=0.2)
        self.assertEqual((status, round(at_s, 6)), (0, 0.2))


if __name__ == "__main__":
    unittest.main()
