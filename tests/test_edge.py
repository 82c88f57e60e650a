"""Tests of the node's parts that face callers and other nodes."""

import unittest

import result
import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import edge
from geraniumstair import forward
from geraniumstair import mirror
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair import store
from geraniumstair import verdict
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from tests import builders_edge as builders


def _run(test) -> None:
    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


class _User:
    """Notes what the desired state tells."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.zones: frozenset[str] = frozenset()
        self.refreshed = 0

    def adopt_table(self, table: routing.RouteTable) -> None:
        self.versions.append(table.version)

    def set_zones_out(self, zones: frozenset[str]) -> None:
        self.zones = zones

    def refresh(self) -> None:
        self.refreshed += 1


def _config(version: int) -> bytes:
    return b'{"Version":%d,"Routes":[]}' % version


class _Rollouts:
    def __init__(self) -> None:
        self.calls: list[tuple[str, object]] = []

    def adopt_order(self, order: edge.RolloutOrder) -> None:
        self.calls.append(("order", order))

    def withdraw_order(self, service: str) -> None:
        self.calls.append(("no order", service))

    def adopt_record(self, record: edge.RolloutRecord) -> None:
        self.calls.append(("record", record))

    def forget_record(self, service: str) -> None:
        self.calls.append(("no record", service))


class DesiredStateTest(unittest.TestCase):
    """Guards against versions that go back and entries that do harm."""

    def setUp(self) -> None:
        self.user = _User()
        self.rollouts = _Rollouts()
        self.registry = discovery.EndpointRegistry(lambda: 0.0)
        self.state = edge.DesiredState(
            _decoder.PlatformDecoder(),
            self.registry,
            self.user,
            self.rollouts,
        )

    def _adopt(self, key: str, value: bytes | None) -> None:
        self.state.adopt([mirror.MirrorItem(key, value, 1)])

    def test_only_a_greater_version_is_adopted(self) -> None:
        for version in (5, 3, 5, 9):
            self._adopt("op/config", _config(version))
        self.assertEqual(self.user.versions, [5, 9])

    def test_junk_under_an_identity_takes_only_that_endpoint(self) -> None:
        self._adopt("servers/i-1", builders.server_value())
        self._adopt("servers/i-2", builders.server_value())
        self._adopt("servers/i-1", b"junk")
        states = {e.endpoint_id: e.state for e in self.registry.entries()}
        self.assertIs(states["i-1"], discovery.EndpointState.LAPSED)
        self.assertIs(states["i-2"], discovery.EndpointState.READY)
        self.assertEqual(self.user.refreshed, 3)

    def test_two_zones_can_be_out(self) -> None:
        self._adopt("op/evacuate/x", b"{}")
        self._adopt("op/evacuate/y", b"{}")
        self.assertEqual(self.user.zones, {"x", "y"})
        self._adopt("op/evacuate/x", None)
        self.assertEqual(self.user.zones, {"y"})

    def test_orders_and_records_of_rollouts_are_passed_on(self) -> None:
        self._adopt(
            "op/rollout/s",
            b'{"Service":"s","TargetVersion":"v2","DurationS":9}',
        )
        self._adopt(
            "status/rollout/s", b'{"State":"completed","TargetVersion":"v2"}'
        )
        self._adopt("op/rollout/s", b'{"TargetVersion":2}')
        self._adopt("status/rollout/s", b'{"State":"x","TargetVersion":"v2"}')
        self._adopt("op/rollout/s", None)
        self._adopt("status/rollout/s", None)
        self.assertEqual(
            self.rollouts.calls,
            [
                ("order", edge.RolloutOrder("s", "v2", 9.0, 1)),
                (
                    "record",
                    edge.RolloutRecord("s", "v2", verdict.Progress.DONE, 1),
                ),
                ("no order", "s"),
                ("no record", "s"),
            ],
        )


class NeighboursTest(unittest.TestCase):
    """Guards against sites that fall apart, or need too many streams."""

    def test_a_large_site_is_connected_with_few_streams(self) -> None:
        zones = {f"n{i}": f"z{i % 6}" for i in range(790)}
        links = {m: edge.neighbours(m, zones) for m in zones}
        self.assertLessEqual(max(map(len, links.values())), 40)
        between = sum(
            zones[m] != zones[n] for m, named in links.items() for n in named
        )
        self.assertLess(between, 0.1 * sum(map(len, links.values())))
        reached, front, hops = {"n0"}, {"n0"}, 0
        while front:
            front = {n for m in front for n in links[m]} - reached
            reached |= front
            hops += bool(front)
        self.assertEqual(len(reached), 790)
        self.assertLessEqual(hops, 10)

    def test_a_small_site_is_a_full_mesh(self) -> None:
        zones = {"a": "x", "b": "x", "c": "y"}
        self.assertEqual(edge.neighbours("a", zones), {"b", "c"})


class _Leases:
    """A store of leases that can lose everything."""

    def __init__(self, copy: mirror.Mirror) -> None:
        self._copy = copy
        self._revision = 10
        self.kept = True
        self.registrations = 0

    async def grant_lease(self, ttl_s: int):
        return result.Ok(7)

    async def keep_alive(self, lease_id: int):
        return result.Ok(self.kept)

    async def commit(self, transaction: store.Transaction):
        self.registrations += 1
        self.kept = True
        for put in transaction.puts:
            self.write(put.key, put.value)
        return result.Ok(store.CommitOutcome(True, 1))

    async def revoke_lease(self, lease_id: int):
        return result.Ok(None)

    def write(self, key: str, value: bytes | None) -> None:
        """Changes the mirror as the store would."""
        self._revision += 1
        item = mirror.MirrorItem(key, value, self._revision)
        self._copy.apply([item], self._revision)


class _Network:
    def __init__(self) -> None:
        self.open: frozenset[str] = frozenset()
        self.peers: dict[str, peers.PeerAddress] = {}

    def connected(self) -> frozenset[str]:
        return self.open

    def set_peers(self, addresses) -> None:
        self.peers = dict(addresses)


class PresenceTest(unittest.TestCase):
    """Guards against nodes that vanish with their keys."""

    def test_a_node_registers_again_and_connected_peers_stay(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            copy = mirror.Mirror()
            leases = _Leases(copy)
            network = _Network()
            seen: list[dict[str, str]] = []
            presence = edge.Presence(
                "n1",
                edge.Member(peers.PeerAddress("10.0.0.1", 3), "z1"),
                leases,
                copy,
                network,
                seen.append,
            )
            nursery.start_soon(presence.run)
            await trio.sleep(1)
            other = "geraniumstair/nodes/n2"
            leases.write(
                other,
                b'{"address":"10.0.0.2","port":3,"availability_zone":"z2"}',
            )
            leases.write("geraniumstair/nodes/n3", b"junk")
            network.open = frozenset(["n2"])
            await trio.sleep(1)
            self.assertEqual(seen[-1], {"n1": "z1", "n2": "z2"})
            self.assertEqual(network.peers["n2"].port, 3)
            leases.write(other, None)
            leases.write("geraniumstair/nodes/n1", None)
            await trio.sleep(10)
            self.assertEqual(seen[-1], {"n1": "z1", "n2": ""})
            self.assertEqual(leases.registrations, 2)

        _run(test)


class LifecycleTest(unittest.TestCase):
    """Guards against a shutdown that cuts requests or lasts too long."""

    def test_readiness_ends_at_once_and_the_listener_later(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            lifecycle = edge.Lifecycle(6.0)
            self.assertFalse(lifecycle.ready)
            lifecycle.loaded = True
            self.assertTrue(lifecycle.ready)
            started_s = trio.current_time()
            nursery.start_soon(lifecycle.stop)
            await trio.sleep(0.01)
            self.assertFalse(lifecycle.ready)
            self.assertTrue(lifecycle.stopping)
            await lifecycle.wait_closing()
            accepted_s = trio.current_time() - started_s
            # The balancer needs two misses, a second apart.
            self.assertGreater(accepted_s, 2.0)
            self.assertLess(accepted_s + lifecycle.drain_timeout_s, 6.0)

        _run(test)


class _State:
    def __init__(self, table: routing.RouteTable | None) -> None:
        self.table = table


class CallerApplicationTest(unittest.TestCase):
    """Guards against callers that get no answer, or a wrong one."""

    def _call(self, table, messages, path=b"/p/x", headers=(), hang=False):
        sent = []

        async def test(nursery: trio.Nursery) -> None:
            site = builders.Edge(
                nursery, [builders.entry("x")], [builders.route()]
            )
            if hang:
                site.site.behaviour("x").reply = None
            application = edge.CallerApplication(
                _State(table),
                site.forwarder,
                _http.PlatformCodec(),
                edge.Lifecycle(6.0),
            )
            queue = list(messages)

            async def receive():
                if queue:
                    return queue.pop(0)
                await trio.sleep(0.05)
                if hang:
                    return {"type": "http.disconnect"}
                await trio.sleep_forever()
                raise AssertionError

            async def send(message):
                sent.append(message)

            scope = {
                "type": "http",
                "method": "GET",
                "raw_path": path,
                "query_string": b"",
                "headers": [
                    (b"host", b"h.example"),
                    (b"x-attempt-id", b"q1"),
                    *headers,
                ],
            }
            await application(scope, receive, send)

        _run(test)
        return sent

    def _table(self, **limits: int) -> routing.RouteTable:
        return routing.RouteTable(
            1, [builders.route()], {}, routing.CallerLimits(**limits)
        )

    _WHOLE = ({"type": "http.request", "body": b"", "more_body": False},)

    def test_without_routes_the_caller_may_come_back(self) -> None:
        sent = self._call(None, self._WHOLE)
        self.assertEqual(sent[0]["status"], 503)
        self.assertIn(b"retry-after", dict(sent[0]["headers"]))

    def test_an_unknown_path_is_not_found(self) -> None:
        sent = self._call(self._table(), self._WHOLE, path=b"/other")
        self.assertEqual(sent[0]["status"], 404)

    def test_an_oversized_body_is_refused(self) -> None:
        chunk = {"type": "http.request", "body": b"x" * 60, "more_body": True}
        sent = self._call(self._table(max_body_bytes=100), [chunk, chunk])
        self.assertEqual(sent[0]["status"], 413)

    def test_an_answer_has_its_length(self) -> None:
        sent = self._call(self._table(), self._WHOLE)
        self.assertEqual(sent[0]["status"], 200)
        self.assertEqual(dict(sent[0]["headers"])[b"content-length"], b"0")

    def test_nothing_is_sent_to_a_caller_that_has_gone(self) -> None:
        gone = {"type": "http.disconnect"}
        self.assertEqual(self._call(self._table(), [gone]), [])
        self.assertEqual(self._call(self._table(), self._WHOLE, hang=True), [])


class ReadinessApplicationTest(unittest.TestCase):
    """Guards against a balancer that uses a node too early."""

    def test_readiness_follows_the_lifecycle(self) -> None:
        lifecycle = edge.Lifecycle(6.0)
        application = edge.ReadinessApplication(
            lifecycle, "/ready", lambda: b"metrics", lambda: b"state"
        )
        statuses = []

        async def send(message) -> None:
            statuses.append(message.get("status", message.get("body")))

        async def ask(path: str) -> None:
            scope = {"type": "http", "path": path}
            await application(scope, None, send)

        trio.run(ask, "/ready")
        lifecycle.loaded = True
        trio.run(ask, "/ready")
        trio.run(ask, "/metrics")
        trio.run(ask, "/x")
        trio.run(ask, "/state")
        self.assertEqual(statuses[::2], [503, 200, 200, 404, 200])
        self.assertEqual(statuses[5], b"metrics")
        self.assertEqual(statuses[9], b"state")

    def test_outcomes_name_what_has_not_run(self) -> None:
        not_run = {o for o in forward.Outcome if o.not_run}
        self.assertEqual(
            not_run,
            {
                forward.Outcome.REJECTED,
                forward.Outcome.MISDIRECTED,
                forward.Outcome.NOT_SENT,
            },
        )
