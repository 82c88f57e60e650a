"""Tests of the etcd client against a stand-in server over loopback."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import json
import logging
import unittest

import httpcore
import result
import trio
import trio.testing

from geraniumstair import observe
from geraniumstair import store
from geraniumstair.store import _transport
from standins import key_value

# Ends a test that hangs; no passing test waits for it.
_TEST_TIMEOUT_S = 20


class _StandIn:
    """Runs a stand-in server in a nursery and creates clients of it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.state = key_value.KeyValueState()
        self.faults = key_value.FaultPlan()
        self.port = 0

    async def start(self) -> None:
        self.port = await self.nursery.start(
            key_value.serve, self.state, self.faults
        )

    def create_client(self, *, timeout_ms: float = 5000, urls=(), **options):
        return store.EtcdStore(
            [*urls, f"http://127.0.0.1:{self.port}"],
            timeout_ms=timeout_ms,
            prefix="site/",
            **options,
        )

    async def wait_calls(self, kind: str, count: int) -> None:
        while self.faults.calls[kind] < count:
            await trio.sleep(0.005)


@contextlib.asynccontextmanager
async def _run_stand_in() -> AsyncIterator[_StandIn]:
    async with trio.open_nursery() as nursery:
        with trio.fail_after(_TEST_TIMEOUT_S):
            stand_in = _StandIn(nursery)
            await stand_in.start()
            yield stand_in
            nursery.cancel_scope.cancel()


async def get_closed_port_url() -> str:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return f"http://127.0.0.1:{port}"


def _build_put(key: str, value: bytes, expected: int | None = None):
    compares = []
    if expected is not None:
        target = store.CompareTarget.MOD_REVISION
        compares.append(store.Compare(key, target, expected))
    return store.Transaction(compares, [store.Put(key, value)])


class EtcdStoreTest(unittest.TestCase):
    """Guards against misread replies and failures of the service."""

    def test_transactions_and_reads(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client()
                first = (
                    await client.commit(_build_put("a/1", b"x", 0))
                ).unwrap()
                self.assertTrue(first.committed)
                stale = (
                    await client.commit(_build_put("a/1", b"y", 0))
                ).unwrap()
                self.assertFalse(stale.committed)
                await client.commit(_build_put("a/2", b""))
                await client.commit(_build_put("b", b"other"))
                found = (await client.get("a/1")).unwrap()
                self.assertEqual(
                    found,
                    store.KeyValue("a/1", b"x", first.revision, first.revision),
                )
                listed = (await client.get_prefix("a/")).unwrap()
                self.assertEqual([r.key for r in listed], ["a/1", "a/2"])
                deletion = store.Transaction(deletes=[store.Delete("a/1")])
                self.assertTrue((await client.commit(deletion)).is_ok())
                self.assertIsNone((await client.get("a/1")).unwrap())
                self.assertEqual(stand_in.state.read(b"a/2"), [])

        trio.run(main)

    def test_lease_lifecycle(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client()
                lease = (await client.grant_lease(60)).unwrap()
                put = store.Put("l", b"v", lease)
                await client.commit(store.Transaction(puts=[put]))
                self.assertEqual(
                    (await client.get("l")).unwrap().lease_id, lease
                )
                self.assertTrue((await client.keep_alive(lease)).unwrap())
                stand_in.state.end_lease(lease)
                self.assertFalse((await client.keep_alive(lease)).unwrap())
                self.assertIsNone((await client.get("l")).unwrap())
                self.assertTrue((await client.revoke_lease(lease)).is_ok())
                rejected = await client.commit(store.Transaction(puts=[put]))
                self.assertEqual(
                    rejected.unwrap_err().effect, store.Effect.NONE
                )

        trio.run(main)

    def test_effect_of_failures(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                closed = await get_closed_port_url()
                unreachable_client = store.EtcdStore([closed], timeout_ms=5000)
                failed = (
                    await unreachable_client.commit(_build_put("k", b"1"))
                ).unwrap_err()
                self.assertEqual(failed.effect, store.Effect.NONE)
                stand_in.faults.lose_next_answers = 1
                short_timeout_client = stand_in.create_client(timeout_ms=200)
                failed = (
                    await short_timeout_client.commit(_build_put("k", b"1"))
                ).unwrap_err()
                self.assertEqual(failed.effect, store.Effect.UNKNOWN)
                found = (await stand_in.create_client().get("k")).unwrap()
                self.assertEqual(found.value, b"1")
                stand_in.faults.down = "refuse"
                failed = (
                    await short_timeout_client.commit(_build_put("k", b"2"))
                ).unwrap_err()
                self.assertEqual(failed.effect, store.Effect.UNKNOWN)

        trio.run(main)

    def test_write_of_unknown_effect_does_not_fail_over(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                closed = await get_closed_port_url()
                client = stand_in.create_client(urls=[closed])
                outcome = (await client.commit(_build_put("k", b"1"))).unwrap()
                self.assertTrue(outcome.committed)
                first, second = _StandIn(stand_in.nursery), stand_in
                await first.start()
                first.faults.down = "refuse"
                url = f"http://127.0.0.1:{first.port}"
                reader = second.create_client(urls=[url])
                self.assertEqual((await reader.get("k")).unwrap().value, b"1")
                calls = second.faults.calls["txn"]
                writer = second.create_client(urls=[url])
                failed = (
                    await writer.commit(_build_put("k", b"2"))
                ).unwrap_err()
                self.assertEqual(failed.effect, store.Effect.UNKNOWN)
                self.assertEqual(second.faults.calls["txn"], calls)

        trio.run(main)

    def test_concurrent_calls_are_limited(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                stand_in.faults.paused = True
                client = stand_in.create_client(max_concurrency=1)
                outcomes = []

                async def write() -> None:
                    outcomes.append(await client.commit(_build_put("k", b"1")))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(write)
                    nursery.start_soon(write)
                    await stand_in.wait_calls("txn", 1)
                    await trio.testing.wait_all_tasks_blocked(0.02)
                    self.assertEqual(stand_in.faults.calls["txn"], 1)
                    stand_in.faults.paused = False
                self.assertEqual([o.is_ok() for o in outcomes], [True, True])

        trio.run(main)

    def test_watch_resumes_after_an_outage(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client()
                seen = []

                async def collect_changes() -> None:
                    async with client.watch("w", 1) as changes:
                        async for change in changes:
                            seen.append((change.value, change.deleted))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(collect_changes)
                    await client.commit(_build_put("w", b"1"))
                    while len(seen) < 1:
                        await trio.sleep(0.005)
                    stand_in.faults.down = "refuse"
                    await stand_in.wait_calls("watch", 2)
                    stand_in.faults.down = ""
                    await client.commit(_build_put("w", b"2"))
                    delete = store.Transaction(deletes=[store.Delete("w")])
                    await client.commit(delete)
                    while len(seen) < 3:
                        await trio.sleep(0.005)
                    nursery.cancel_scope.cancel()
                expected = [(b"1", False), (b"2", False), (b"", True)]
                self.assertEqual(seen, expected)

        trio.run(main)

    def test_outage_is_logged_once(self) -> None:
        # A line for each failed call would hide the other lines.
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client(timeout_ms=1000)
                stand_in.faults.down = "refuse"
                for _ in range(5):
                    await client.get("k")
                stand_in.faults.down = ""
                await client.get("k")
                await client.get("k")

        with self.assertLogs("geraniumstair.store", logging.INFO) as logs:
            trio.run(main)
        outage_start, outage_end = logs.records
        self.assertIn("Service does not answer", outage_start.getMessage())
        self.assertIn("Service answers again", outage_end.getMessage())

    def test_watch_reports_compaction(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client()
                await client.commit(_build_put("w", b"1"))
                await client.commit(_build_put("w", b"2"))
                stand_in.state.compact(stand_in.state.revision)
                async with client.watch("w", 1) as changes:
                    with self.assertRaises(store.WatchCompactedError) as caught:
                        await anext(changes)
                self.assertEqual(
                    caught.exception.compact_revision, stand_in.state.revision
                )

        trio.run(main)

    def test_calls_are_counted(self) -> None:
        async def main() -> None:
            metrics = observe.MetricsRegistry()
            registry = metrics.registry
            async with _run_stand_in() as stand_in:
                client = stand_in.create_client(registry=metrics)
                await client.get("k")
                await client.get("k")
            labels = {"kind": "range"}
            self.assertEqual(
                registry.get_sample_value(
                    "geraniumstair_store_calls_total", labels
                ),
                2,
            )
            self.assertEqual(
                registry.get_sample_value(
                    "geraniumstair_store_latency_seconds_count", labels
                ),
                2,
            )

        trio.run(main)


class SilentConnectionTest(unittest.TestCase):
    """Guards against calls that wait on connections which went silent."""

    def test_a_call_after_a_timeout_uses_no_earlier_connection(self) -> None:
        for transport in (store.PlainTransport, store.HttpcoreTransport):
            with self.subTest(transport.__name__):
                self._check_silence(transport)

    def _check_silence(
        self, transport: Callable[[int], _transport.Transport]
    ) -> None:
        # All open connections to the store went silent while new ones worked.
        # Each idle one cost another timeout, and nodes learned of endpoints
        # that left only after four seconds.
        connections = []
        silent = set()

        async def serve(stream: trio.SocketStream) -> None:
            connections.append(stream)
            async with stream:
                while await stream.receive_some(65536):
                    if stream in silent:
                        await trio.sleep_forever()
                    await trio.sleep(0.05)
                    await stream.send_all(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
                    )

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    functools.partial(
                        trio.serve_tcp, serve, 0, host="127.0.0.1"
                    )
                )
                port = listeners[0].socket.getsockname()[1]
                exchanges = transport(8)
                connection = store.StoreConnection(
                    [f"http://127.0.0.1:{port}"],
                    timeout_ms=300,
                    max_concurrency=8,
                    transport=exchanges,
                    metrics=store.StoreMetrics(),
                )

                async def call() -> bool:
                    reply = await connection.send_request(
                        "get", "/x", b"", repeatable=True, method="GET"
                    )
                    return isinstance(reply, result.Ok)

                async with trio.open_nursery() as calls:
                    for _ in range(3):
                        calls.start_soon(call)
                self.assertEqual(len(connections), 3)
                silent.update(connections)
                self.assertEqual([await call(), await call()], [False, True])
                await exchanges.close_idle()
                nursery.cancel_scope.cancel()

        trio.run(test)


class ControlTest(unittest.TestCase):
    """Guards the stand-in's control path, which process tests use."""

    def test_control_path_sets_and_reports_faults(self) -> None:
        async def main() -> None:
            async with _run_stand_in() as stand_in:
                url = f"http://127.0.0.1:{stand_in.port}/control"
                client = stand_in.create_client()
                lease = (await client.grant_lease(60)).unwrap()
                request = {"delay_ms": 1, "expire_lease": lease, "paused": True}
                async with httpcore.AsyncConnectionPool() as pool:
                    await pool.request(
                        "POST", url, content=json.dumps(request).encode()
                    )
                    reply = json.loads((await pool.request("GET", url)).content)
                self.assertEqual(reply["calls"], {"lease_grant": 1})
                self.assertEqual(reply["leases"], [])
                self.assertTrue(reply["paused"])

        trio.run(main)
