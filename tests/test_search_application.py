"""Tests of `search.build_caller_application` and `search.parse_request`."""

from collections.abc import Mapping
from collections.abc import Sequence
import json
import pathlib
from typing import Any
import unittest

import prometheus_client
import result
import trio
import trio.testing

from geraniumstair import search
from geraniumstair._generated import codes
from geraniumstair._generated import settings as settings_models
from tests import builders_search

_GOLDEN = pathlib.Path(__file__).parent / "golden" / "search_session.json"
_SEARCH = {"subsidiary": "acme", "services": ["s0"], "query": {"motif": "ivy"}}


def _build_settings(
    max_concurrent_searches: int = 512,
) -> settings_models.Settings:
    listener = settings_models.Listener(address="127.0.0.1", port=0)
    return settings_models.Settings(
        node_id="n1",
        region="r1",
        availability_zone="az-a",
        peer_listener=listener,
        caller_listener=listener,
        operator_listener=listener,
        cluster_key="k" * 16,
        operator_token="t" * 16,
        store=settings_models.Store(urls=["http://127.0.0.1:1"]),
        max_request_body_bytes=2048,
        request_body_timeout_ms=500,
        max_concurrent_searches=max_concurrent_searches,
    )


class _ApplicationCaller:
    """Sends ASGI events to the application as an HTTP server does."""

    def __init__(
        self,
        fixture: builders_search.SearcherFixture,
        *,
        max_concurrent_searches: int = 512,
    ) -> None:
        self.readiness = search.Readiness()
        self.readiness.set_ready(True)
        self.application = search.build_caller_application(
            fixture.searcher,
            self.readiness,
            _build_settings(max_concurrent_searches),
        )

    async def request(
        self,
        method: str = "POST",
        path: str = "/v1/search",
        body: bytes | None = None,
        *,
        headers: Sequence[tuple[bytes, bytes]] = (),
        complete: bool = True,
        disconnect_after_s: float = 1e6,
    ) -> list[dict[str, Any]]:
        """Returns the events that the application sent."""
        events: list[dict[str, Any]] = []
        if body is None:
            body = json.dumps(_SEARCH).encode()
        incoming = [
            {"type": "http.request", "body": body, "more_body": not complete}
        ]

        async def receive() -> Mapping[str, Any]:
            await trio.lowlevel.checkpoint()
            if incoming:
                return incoming.pop(0)
            await trio.sleep(disconnect_after_s)
            return {"type": "http.disconnect"}

        async def send(event: dict[str, Any]) -> None:
            await trio.lowlevel.checkpoint()
            events.append(event)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": list(headers),
        }
        await self.application(scope, receive, send)
        return events


def _decode_response(events: list[dict[str, Any]]) -> dict[str, Any]:
    headers = {n.decode(): v.decode() for n, v in events[0]["headers"]}
    return {
        "status": events[0]["status"],
        "headers": headers,
        "body": json.loads(events[1]["body"]),
    }


class CallerApplicationTest(unittest.TestCase):
    """Invalid requests get their result code and leave no task running."""

    def _call_refused(self, **arguments: Any) -> dict[str, Any]:
        fixture = builders_search.build_fixture()
        caller = _ApplicationCaller(fixture)

        async def run() -> dict[str, Any]:
            tasks_before = trio.lowlevel.current_statistics().tasks_living
            response = _decode_response(await caller.request(**arguments))
            await trio.testing.wait_all_tasks_blocked()
            tasks_after = trio.lowlevel.current_statistics().tasks_living
            self.assertEqual(tasks_after, tasks_before)
            return response

        response = builders_search.run_on_mock_clock(run)
        self.assertEqual(fixture.searcher.in_progress_count, 0)
        self.assertEqual(fixture.transport.requests, [])
        return response

    def _assert_refused(self, code: codes.Code, **arguments: Any) -> None:
        response = self._call_refused(**arguments)
        self.assertEqual(response["body"]["result_name"], code.name)
        self.assertEqual(response["status"], codes.INFO[code].http_status)
        self.assertTrue(response["body"]["not_run"])

    def test_malformed_bodies_are_refused(self) -> None:
        malformed: list[bytes] = [
            b"",
            b"[]",
            b"{",
            b"\xff",
            b'{"subsidiary":"acme","services":["s0"]}',
            b'{"query":' * 200,
            json.dumps({**_SEARCH, "route": "../x"}).encode(),
            json.dumps({**_SEARCH, "route": "x\n"}).encode(),
            json.dumps({**_SEARCH, "services": "s0"}).encode(),
            json.dumps({**_SEARCH, "service_set": "all"}).encode(),
            json.dumps({**_SEARCH, "services": []}).encode(),
            json.dumps({**_SEARCH, "least_coverage_pct": 101}).encode(),
            json.dumps({**_SEARCH, "repeatable": "no"}).encode(),
            json.dumps({**_SEARCH, "unknown": 1}).encode(),
        ]
        for body in malformed:
            with self.subTest(body=body[:60]):
                self._assert_refused(codes.Code.MALFORMED_BODY, body=body)

    def test_invalid_deadlines_are_refused(self) -> None:
        for deadline in ("0", "-1", "60001", "true", '"9"', "1e300", "[]"):
            body = json.dumps(_SEARCH)[:-1] + f', "deadline_ms": {deadline}}}'
            with self.subTest(deadline=deadline):
                self._assert_refused(
                    codes.Code.INVALID_DEADLINE, body=body.encode()
                )

    def test_unknown_names_are_refused(self) -> None:
        body = json.dumps({**_SEARCH, "subsidiary": "x"}).encode()
        self._assert_refused(codes.Code.UNKNOWN_SUBSIDIARY, body=body)
        body = json.dumps({**_SEARCH, "services": ["x"]}).encode()
        self._assert_refused(codes.Code.UNKNOWN_SERVICE, body=body)

    def test_not_repeatable_needs_a_key_and_one_shard(self) -> None:
        body = json.dumps({**_SEARCH, "repeatable": False}).encode()
        self._assert_refused(codes.Code.MISSING_IDEMPOTENCY_KEY, body=body)
        self._assert_refused(
            codes.Code.NOT_REPEATABLE_SCOPE,
            body=body,
            headers=[(b"idempotency-key", b"k")],
        )

    def test_large_and_slow_bodies_are_refused(self) -> None:
        code = codes.Code.BODY_TOO_LARGE
        self._assert_refused(code, body=b" " * 2049, complete=False)
        self._assert_refused(
            code, body=b"", headers=[(b"content-length", b"4096")]
        )
        self._assert_refused(codes.Code.BODY_TOO_SLOW, complete=False)

    def test_invalid_headers_are_refused(self) -> None:
        key = b"idempotency-key"
        cases: list[list[tuple[bytes, bytes]]] = [
            [(b"x", b"y")] * 65,
            [(b"x", b"y" * 9000)],
            [(key, b"a"), (b"Idempotency-Key", b"b")],
            [(key, b"")],
            [(key, b"k" * 129)],
            [(key, b"caf\xe9")],
            [(b"content-type", b"text/plain")],
            [(b"content-encoding", b"gzip")],
            [(b"content-length", b"-5")],
        ]
        for headers in cases:
            with self.subTest(headers=headers[:2]):
                self._assert_refused(codes.Code.INVALID_HEADER, headers=headers)

    def test_unknown_paths_and_methods_are_refused(self) -> None:
        self._assert_refused(codes.Code.NOT_FOUND, path="/v1/other")
        self._assert_refused(codes.Code.METHOD_NOT_ALLOWED, method="GET")
        self._assert_refused(codes.Code.METHOD_NOT_ALLOWED, path="/ready")

    def test_disconnect_cancels_the_search(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s0/p0": builders_search.build_handler(0.5)}
        )
        caller = _ApplicationCaller(fixture)

        async def run() -> list[dict[str, Any]]:
            return await caller.request(disconnect_after_s=0.1)

        self.assertEqual(builders_search.run_on_mock_clock(run), [])
        registry = fixture.searcher.metrics.registry
        cancelled_count = registry.get_sample_value(
            "geraniumstair_search_results_total", {"code": "CANCELLED"}
        )
        self.assertEqual(cancelled_count, 1)
        self.assertEqual(fixture.searcher.in_progress_count, 0)
        self.assertEqual(fixture.transport.running_count, 0)
        self.assertEqual(len(fixture.transport.cancelled_search_ids), 1)

    def test_unexpected_exception_becomes_an_answer(self) -> None:
        fixture = builders_search.build_fixture()
        fixture.configuration_holder.current = object()  # type: ignore[assignment]
        caller = _ApplicationCaller(fixture)

        async def run() -> dict[str, Any]:
            return _decode_response(await caller.request())

        with self.assertLogs("geraniumstair.search", "ERROR"):
            response = builders_search.run_on_mock_clock(run)
        self.assertEqual(response["body"]["result_name"], "INTERNAL_ERROR")
        self.assertFalse(response["body"]["not_run"])

    def test_open_requests_above_the_limit_are_refused(self) -> None:
        fixture = builders_search.build_fixture()
        caller = _ApplicationCaller(fixture, max_concurrent_searches=1)
        names: list[str] = []

        async def send_incomplete() -> None:
            response = _decode_response(await caller.request(complete=False))
            names.append(response["body"]["result_name"])

        async def run() -> dict[str, Any]:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(send_incomplete)
            return _decode_response(await caller.request())

        response = builders_search.run_on_mock_clock(run)
        self.assertEqual(names, ["OVERLOADED"] + ["BODY_TOO_SLOW"] * 2)
        self.assertEqual(response["status"], 200)

    def test_lifespan_is_answered(self) -> None:
        caller = _ApplicationCaller(builders_search.build_fixture())
        incoming = ["lifespan.startup", "lifespan.shutdown"]
        sent: list[str] = []

        async def receive() -> Mapping[str, Any]:
            return {"type": incoming.pop(0)}

        async def send(event: dict[str, Any]) -> None:
            sent.append(event["type"])

        async def run() -> None:
            await caller.application({"type": "lifespan"}, receive, send)

        builders_search.run_on_mock_clock(run)
        self.assertEqual(
            sent, ["lifespan.startup.complete", "lifespan.shutdown.complete"]
        )

    def test_metrics_count_results_by_code(self) -> None:
        fixture = builders_search.build_fixture()
        caller = _ApplicationCaller(fixture)

        async def run() -> None:
            await caller.request()
            await caller.request(body=b"{")
            await caller.request(path="/nope")

        builders_search.run_on_mock_clock(run)
        registry = fixture.searcher.metrics.registry
        text = prometheus_client.generate_latest(registry).decode()
        for code in ("OK", "MALFORMED_BODY", "NOT_FOUND"):
            line = f'geraniumstair_search_results_total{{code="{code}"}} 1.0'
            self.assertIn(line, text)
        self.assertIn("geraniumstair_search_in_progress 0.0", text)

    def test_responses_equal_the_golden_session(self) -> None:
        fixture = builders_search.build_fixture(
            {"acme/s1/p1": builders_search.build_handler(60.0)}
        )
        caller = _ApplicationCaller(fixture)
        unrepeatable = {**_SEARCH, "repeatable": False, "service_set": "all"}
        del unrepeatable["services"]
        steps: list[dict[str, Any]] = [
            {"method": "GET", "path": "/ready"},
            {"method": "GET", "path": "/healthz"},
            {"body": _SEARCH},
            {"body": {**_SEARCH, "services": ["s0", "s1"]}},
            {"body": {**_SEARCH, "deadline_ms": 0}},
            {"body": unrepeatable},
            {"method": "PUT"},
            {"drain": True},
            {"method": "GET", "path": "/ready"},
            {"body": _SEARCH},
        ]
        session: list[dict[str, Any]] = []

        async def run() -> None:
            for step in steps:
                if step.get("drain"):
                    await search.drain(
                        caller.readiness, fixture.searcher, 100.0
                    )
                    session.append({"drain": True})
                    continue
                arguments = dict(step)
                arguments["body"] = json.dumps(step.get("body")).encode()
                events = await caller.request(**arguments)
                session.append(
                    {"request": step, "response": _decode_response(events)}
                )

        builders_search.run_on_mock_clock(run)
        self.assertEqual(session, json.loads(_GOLDEN.read_text()))


class ParseRequestTest(unittest.TestCase):
    """The query reaches endpoints unchanged, as valid JSON."""

    def test_query_is_passed_on_as_written(self) -> None:
        for query in ('{"a": [1.50, "\\u00e9"]}', '"é"', "null", "12345678901"):
            text = f'{{"subsidiary":"a","services":["s"],"query":{query}}}'
            parsed = search.parse_request(text.encode())
            assert isinstance(parsed, result.Ok)
            body = parsed.ok_value.endpoint_body
            self.assertEqual(json.loads(body), {"query": json.loads(query)})

    def test_query_with_invalid_utf_8_is_refused(self) -> None:
        text = b'{"subsidiary":"a","services":["s"],"query":"\xff"}'
        self.assertIsInstance(search.parse_request(text), result.Err)

    def test_broken_query_is_refused(self) -> None:
        for query in ("{", "NaN", "01", '"\x01"', "{} {}", "tru"):
            text = f'{{"subsidiary":"a","services":["s"],"query":{query}}}'
            with self.subTest(query=query):
                parsed = search.parse_request(text.encode())
                self.assertIsInstance(parsed, result.Err)
