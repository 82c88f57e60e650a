"""Tests of the endpoint stand-in over TCP connections on loopback."""

import json
from typing import Any
import unittest

import httpcore
import trio

from standins import endpoint

_HEADERS = {"x-request-id": "r1", "x-deadline-ms": "900", "x-snapshot": "1"}


class ServeTest(unittest.TestCase):
    """Guards against a stand-in that violates the endpoint protocol."""

    def setUp(self) -> None:
        self.control = ""
        self.url = ""

    def _run(self, steps: Any, **fields: Any) -> None:
        settings = endpoint.ProcessSettings(
            endpoints=(endpoint.EndpointSettings(name="e1", **fields),)
        )

        async def run() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    ports = await nursery.start(endpoint.serve, settings)
                    self.control = f"http://127.0.0.1:{ports.control}/control"
                    self.url = f"http://127.0.0.1:{ports.endpoints['e1']}"
                    async with httpcore.AsyncConnectionPool() as pool:
                        await steps(pool)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _send_search(
        self, pool: httpcore.AsyncConnectionPool
    ) -> httpcore.Response:
        return await pool.request(
            "POST",
            f"{self.url}/search/q",
            headers=_HEADERS,
            content=b'{"query": "oak"}',
        )

    async def _send_command(
        self, pool: httpcore.AsyncConnectionPool, **command: Any
    ) -> int:
        content = json.dumps(command).encode()
        reply = await pool.request("POST", self.control, content=content)
        return reply.status

    def test_search_reply_has_protocol_headers(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            reply = await self._send_search(pool)
            headers = dict(reply.headers)
            self.assertEqual(reply.status, 200)
            self.assertEqual(headers[b"x-request-id"], b"r1")
            self.assertEqual(headers[b"x-snapshots"], b"1,2")
            self.assertEqual(headers[b"x-coverage-pct"], b"75")
            self.assertNotIn(b"x-draining", headers)

        self._run(steps, snapshots=(1, 2), coverage_pct=75.0)

    def test_malformed_search_is_rejected_as_not_run(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            reply = await pool.request("POST", f"{self.url}/search/q")
            self.assertEqual(reply.status, 400)
            self.assertIn((b"x-not-run", b"1"), reply.headers)

        self._run(steps)

    def test_connections_beyond_the_limit_are_closed(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            await self._send_search(pool)
            port = int(self.url.rsplit(":", 1)[1])
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                self.assertEqual(await stream.receive_some(1), b"")

        self._run(steps, connections=1)

    def test_killed_endpoint_restarts_with_new_boot_id(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            headers_before = dict((await self._send_search(pool)).headers)
            await self._send_command(pool, action="kill")
            with self.assertRaises(
                (httpcore.NetworkError, httpcore.RemoteProtocolError)
            ):
                await self._send_search(pool)
            await self._send_command(pool, action="start")
            headers_after = dict((await self._send_search(pool)).headers)
            self.assertNotEqual(
                headers_before[b"x-boot-id"], headers_after[b"x-boot-id"]
            )

        self._run(steps)

    def test_control_counts_executed_requests(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            await self._send_search(pool)
            await self._send_search(pool)
            reply = await pool.request("GET", f"{self.control}?executed")
            report = json.loads(reply.content)["endpoints"]["e1"]
            self.assertEqual(report["executed_ids"], {"r1": 2})
            self.assertEqual(report["executed_queries"], {"oak": 2})

        self._run(steps)

    def test_control_drains_and_rejects_unknown_settings(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            self.assertEqual(
                await self._send_command(pool, action="drain"), 200
            )
            reply = await self._send_search(pool)
            self.assertIn((b"x-draining", b"1"), reply.headers)
            status = await self._send_command(
                pool, action="configure", settings={"slotz": 3}
            )
            self.assertEqual(status, 400)

        self._run(steps)

    def test_status_reports_previous_state_during_health_lag(self) -> None:
        async def steps(pool: httpcore.AsyncConnectionPool) -> None:
            await pool.request("GET", f"{self.url}/status")
            await self._send_command(pool, action="drain")
            reply = await pool.request("GET", f"{self.url}/status")
            self.assertNotIn((b"x-draining", b"1"), reply.headers)

        self._run(steps, health_lag_ms=600000.0)
