"""Tests of the parts of a node that serve callers and track other nodes."""

import unittest

import result
import trio
import trio.testing

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair import store
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from tests import builders_gateway as builders


class _RecordingListener:
    """Records the changes that it receives."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.zones: frozenset[str] = frozenset()
        self.refresh_count = 0

    def set_route_table(self, table: routing.RouteTable) -> None:
        self.versions.append(table.version)

    def set_zones_out(self, zones: frozenset[str]) -> None:
        self.zones = zones

    def apply_registry_changes(self) -> None:
        self.refresh_count += 1


def _config(version: int) -> bytes:
    return b'{"Version":%d,"Routes":[]}' % version


class _RecordingRollouts:
    """Records the changes of rollouts that it receives."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, object]] = []

    def apply_order(self, order: gateway.RolloutOrder) -> None:
        self.calls.append(("order", order))

    def remove_order(self, service: str) -> None:
        self.calls.append(("no order", service))

    def apply_record(self, record: gateway.RolloutRecord) -> None:
        self.calls.append(("record", record))

    def remove_record(self, service: str) -> None:
        self.calls.append(("no record", service))


class DesiredStateTest(unittest.TestCase):
    """Guards against older versions and invalid entries that take effect."""

    def setUp(self) -> None:
        self.listener = _RecordingListener()
        self.rollouts = _RecordingRollouts()
        self.registry = discovery.EndpointRegistry(lambda: 0.0)
        self.state = gateway.DesiredState(
            _decoder.PlatformDecoder(),
            self.registry,
            self.listener,
            self.rollouts,
        )

    def _apply(self, key: str, value: bytes | None) -> None:
        self.state.apply([mirror.MirrorItem(key, value, 1)])

    def test_only_a_greater_version_is_applied(self) -> None:
        for version in (5, 3, 5, 9):
            self._apply("op/config", _config(version))
        self.assertEqual(self.listener.versions, [5, 9])

    def test_an_invalid_entry_lapses_only_its_own_endpoint(self) -> None:
        self._apply("servers/i-1", builders.server_value())
        self._apply("servers/i-2", builders.server_value())
        self._apply("servers/i-1", b"junk")
        states = {e.endpoint_id: e.state for e in self.registry.entries()}
        self.assertIs(states["i-1"], discovery.EndpointState.LAPSED)
        self.assertIs(states["i-2"], discovery.EndpointState.READY)
        self.assertEqual(self.listener.refresh_count, 3)

    def test_two_zones_can_be_out_at_once(self) -> None:
        self._apply("op/evacuate/x", b"{}")
        self._apply("op/evacuate/y", b"{}")
        self.assertEqual(self.listener.zones, {"x", "y"})
        self._apply("op/evacuate/x", None)
        self.assertEqual(self.listener.zones, {"y"})

    def _apply_at(self, generation: int, key: str, value: bytes | None) -> None:
        revision = store.order_revision(generation, 5)
        self.state.apply([mirror.MirrorItem(key, value, revision)])

    def test_a_zone_stays_out_while_a_restored_store_lacks_its_order(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            nursery.start_soon(self.state.run_expiry_loop)
            self._apply_at(1, "op/evacuate/x", b"{}")
            self._apply_at(2, "op/evacuate/x", None)
            await trio.sleep(2.0)
            self.assertEqual(self.listener.zones, {"x"})
            # The operator writes the order again.
            self._apply_at(2, "op/evacuate/x", b"{}")
            await trio.sleep(3.0)
            self.assertEqual(self.listener.zones, {"x"})
            self._apply_at(2, "op/evacuate/x", None)
            self.assertEqual(self.listener.zones, set())

        builders.run_on_virtual_clock(test)

    def test_an_order_that_is_not_written_again_ends(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            nursery.start_soon(self.state.run_expiry_loop)
            self._apply_at(1, "op/evacuate/x", b"{}")
            self._apply_at(2, "op/evacuate/x", None)
            await trio.sleep(3.0)
            self.assertEqual(self.listener.zones, set())

        builders.run_on_virtual_clock(test)

    def test_rollout_orders_and_records_reach_the_rollouts(self) -> None:
        self._apply(
            "op/rollout/s",
            b'{"Service":"s","TargetVersion":"v2","DurationS":9}',
        )
        self._apply(
            "status/rollout/s", b'{"State":"completed","TargetVersion":"v2"}'
        )
        self._apply("op/rollout/s", b'{"TargetVersion":2}')
        self._apply("status/rollout/s", b'{"State":"x","TargetVersion":"v2"}')
        self._apply("op/rollout/s", None)
        self._apply("status/rollout/s", None)
        self.assertEqual(
            self.rollouts.calls,
            [
                ("order", gateway.RolloutOrder("s", "v2", 9.0, 1)),
                (
                    "record",
                    gateway.RolloutRecord("s", "v2", canary.Progress.DONE, 1),
                ),
                ("no order", "s"),
                ("no record", "s"),
            ],
        )


class NeighboursTest(unittest.TestCase):
    """Guards against a partitioned site, and against too many streams."""

    def test_a_large_site_is_connected_with_few_streams(self) -> None:
        zones = {f"n{i}": f"z{i % 6}" for i in range(790)}
        links = {m: gateway.select_neighbours(m, zones) for m in zones}
        self.assertLessEqual(max(map(len, links.values())), 40)
        cross_zone_count = sum(
            zones[m] != zones[n]
            for m, neighbours in links.items()
            for n in neighbours
        )
        self.assertLess(cross_zone_count, 0.1 * sum(map(len, links.values())))
        reached, frontier, hops = {"n0"}, {"n0"}, 0
        while frontier:
            frontier = {n for m in frontier for n in links[m]} - reached
            reached |= frontier
            hops += bool(frontier)
        self.assertEqual(len(reached), 790)
        self.assertLessEqual(hops, 10)

    def test_two_zones_share_few_streams_that_two_losses_do_not_cut(
        self,
    ) -> None:
        zones = {f"n{i}": f"z{i % 5}" for i in range(195)}
        links = {m: gateway.select_neighbours(m, zones) for m in zones}
        pairs = [
            (m, n)
            for m, neighbours in links.items()
            for n in neighbours
            if (zones[m], zones[n]) == ("z1", "z2")
        ]
        self.assertEqual(len(pairs), 3)
        self.assertEqual(len({m for m, _ in pairs}), 3)
        self.assertEqual(len({n for _, n in pairs}), 3)
        for m, n in pairs:
            self.assertIn(m, links[n])

    def test_a_small_site_is_a_full_mesh(self) -> None:
        zones = {"a": "x", "b": "x", "c": "y"}
        self.assertEqual(gateway.select_neighbours("a", zones), {"b", "c"})


class _Leases:
    """A fake store of leases that can lose its keys."""

    def __init__(self, local_mirror: mirror.Mirror) -> None:
        self._mirror = local_mirror
        self._revision = 10
        self.lease_alive = True
        self.commit_count = 0

    async def grant_lease(self, ttl_s: int):
        return result.Ok(7)

    async def keep_alive(self, lease_id: int):
        return result.Ok(self.lease_alive)

    async def commit(self, transaction: store.Transaction):
        self.commit_count += 1
        self.lease_alive = True
        for put in transaction.puts:
            self.write(put.key, put.value)
        return result.Ok(store.CommitOutcome(True, 1))

    async def revoke_lease(self, lease_id: int):
        return result.Ok(None)

    def write(self, key: str, value: bytes | None) -> None:
        """Changes the mirror as a watch of the store would."""
        self._revision += 1
        item = mirror.MirrorItem(key, value, self._revision)
        self._mirror.apply([item], self._revision)


class _Network:
    def __init__(self) -> None:
        self.connected_node_ids: frozenset[str] = frozenset()
        self.peers: dict[str, peers.PeerAddress] = {}

    def connected_nodes(self) -> frozenset[str]:
        return self.connected_node_ids

    def set_peers(self, addresses) -> None:
        self.peers = dict(addresses)


class PresenceTest(unittest.TestCase):
    """Guards against running nodes that are lost together with their keys."""

    def test_a_registration_that_a_restore_lost_is_written_at_once(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            local_mirror = mirror.Mirror()
            leases = _Leases(local_mirror)
            presence = gateway.Presence(
                "n1",
                gateway.Member(
                    peers.PeerAddress("10.0.0.1", 3),
                    forward.NodeInfo("z1", 0.5),
                ),
                leases,
                local_mirror,
                _Network(),
                lambda members: None,
            )
            nursery.start_soon(presence.run)
            await trio.sleep(1)
            self.assertEqual(leases.commit_count, 1)
            leases.write("geraniumstair/nodes/n1", None)
            await trio.sleep(0.5)
            self.assertEqual(leases.commit_count, 2)

        builders.run_on_virtual_clock(test)

    def test_lost_keys_cause_a_new_registration_and_keep_connected_peers(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            local_mirror = mirror.Mirror()
            leases = _Leases(local_mirror)
            network = _Network()
            seen_members: list[dict[str, forward.NodeInfo]] = []
            presence = gateway.Presence(
                "n1",
                gateway.Member(
                    peers.PeerAddress("10.0.0.1", 3),
                    forward.NodeInfo("z1", 0.5),
                ),
                leases,
                local_mirror,
                network,
                seen_members.append,
            )
            nursery.start_soon(presence.run)
            await trio.sleep(1)
            other = "geraniumstair/nodes/n2"
            leases.write(
                other,
                b'{"address":"10.0.0.2","port":3,"availability_zone":"z2",'
                b'"processor_cores":2.0}',
            )
            leases.write("geraniumstair/nodes/n3", b"junk")
            leases.write("geraniumstair/nodes/n4", b"[" * 100_000)
            leases.write(
                "geraniumstair/nodes/n5", b'{"address":"x","port":1e999}'
            )
            network.connected_node_ids = frozenset(["n2"])
            await trio.sleep(1)
            self.assertEqual(
                seen_members[-1],
                {
                    "n1": forward.NodeInfo("z1", 0.5),
                    "n2": forward.NodeInfo("z2", 2.0),
                },
            )
            self.assertEqual(network.peers["n2"].port, 3)
            leases.write(other, None)
            leases.write("geraniumstair/nodes/n1", None)
            await trio.sleep(10)
            self.assertEqual(
                seen_members[-1],
                {
                    "n1": forward.NodeInfo("z1", 0.5),
                    "n2": forward.NodeInfo(""),
                },
            )
            self.assertEqual(leases.commit_count, 2)

        builders.run_on_virtual_clock(test)


class LifecycleTest(unittest.TestCase):
    """Guards against a shutdown that aborts requests or takes too long."""

    def test_readiness_ends_before_the_listener_closes(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            lifecycle = gateway.Lifecycle(6.0)
            self.assertFalse(lifecycle.ready)
            lifecycle.loaded = True
            self.assertTrue(lifecycle.ready)
            started_s = trio.current_time()
            nursery.start_soon(lifecycle.stop)
            await trio.sleep(0.01)
            self.assertFalse(lifecycle.ready)
            self.assertTrue(lifecycle.stopping)
            await lifecycle.wait_for_listener_close()
            accepting_s = trio.current_time() - started_s
            # The load balancer needs two failed checks, a second apart.
            self.assertGreater(accepting_s, 2.0)
            drained_s = accepting_s + lifecycle.drain_timeout_s
            self.assertLess(drained_s, 6.0)
            # Endpoints may work on requests until then.
            self.assertGreaterEqual(drained_s, 6.0 * 5 / 6)
            await lifecycle.wait_for_final_answers()
            answers_s = trio.current_time() - started_s
            self.assertGreaterEqual(answers_s, 6.0 * 5 / 6)
            self.assertLess(answers_s, drained_s)

        builders.run_on_virtual_clock(test)


class _State:
    def __init__(self, table: routing.RouteTable | None) -> None:
        self.table = table


class CallerApplicationTest(unittest.TestCase):
    """Guards against callers that get no response, or a wrong one."""

    def _serve(self, table, messages, path=b"/p/x", headers=(), hang=False):
        sent = []

        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [builders.route()]
            )
            if hang:
                fixture.site.behaviour("x").reply = None
            application = gateway.CallerApplication(
                _State(table),
                fixture.forwarder,
                _http.PlatformCodec(),
                gateway.Lifecycle(6.0),
            )
            pending_messages = list(messages)

            async def receive():
                if pending_messages:
                    return pending_messages.pop(0)
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

        builders.run_on_virtual_clock(test)
        return sent

    def _table(self, **limits: int) -> routing.RouteTable:
        return routing.RouteTable(
            1, [builders.route()], {}, routing.CallerLimits(**limits)
        )

    _WHOLE = ({"type": "http.request", "body": b"", "more_body": False},)

    def test_without_routes_the_caller_gets_503_with_retry_after(self) -> None:
        sent = self._serve(None, self._WHOLE)
        self.assertEqual(sent[0]["status"], 503)
        self.assertIn(b"retry-after", dict(sent[0]["headers"]))

    def test_an_unknown_path_gets_404(self) -> None:
        sent = self._serve(self._table(), self._WHOLE, path=b"/other")
        self.assertEqual(sent[0]["status"], 404)

    def test_an_oversized_body_gets_413(self) -> None:
        chunk = {"type": "http.request", "body": b"x" * 60, "more_body": True}
        sent = self._serve(self._table(max_body_bytes=100), [chunk, chunk])
        self.assertEqual(sent[0]["status"], 413)

    def test_a_response_has_its_content_length(self) -> None:
        sent = self._serve(self._table(), self._WHOLE)
        self.assertEqual(sent[0]["status"], 200)
        self.assertEqual(dict(sent[0]["headers"])[b"content-length"], b"0")

    def _stop_during_request(self, *, endpoint_s: float, idempotent: bool):
        """Returns what a caller gets 2.9 s after the signal, and when."""
        sent = []

        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(
                idempotent=idempotent, max_attempts=1, timeout_ms=10_000.0
            )
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [route]
            )
            fixture.site.behaviour("x").delay_s = endpoint_s
            lifecycle = gateway.Lifecycle(6.0)
            application = gateway.CallerApplication(
                _State(
                    routing.RouteTable(1, [route], {}, routing.CallerLimits())
                ),
                fixture.forwarder,
                _http.PlatformCodec(),
                lifecycle,
            )
            nursery.start_soon(application.answer_rest_at_shutdown)
            started_s = trio.current_time()
            nursery.start_soon(lifecycle.stop)
            await trio.sleep(2.9)
            pending_messages = list(self._WHOLE)

            async def receive():
                if pending_messages:
                    return pending_messages.pop(0)
                return await trio.sleep_forever()

            async def send(message):
                sent.append((trio.current_time() - started_s, message))

            scope = {
                "type": "http",
                "method": "POST",
                "raw_path": b"/p/x",
                "query_string": b"",
                "headers": [(b"host", b"h.example"), (b"x-attempt-id", b"q1")],
            }
            # The nursery of the server ends its connections at this time.
            with trio.move_on_at(
                started_s + 6.0 * 0.45 + lifecycle.drain_timeout_s
            ):
                await application(scope, receive, send)

        builders.run_on_virtual_clock(test)
        return sent

    def test_a_late_request_in_a_planned_stop_is_not_cut_without_an_answer(
        self,
    ) -> None:
        for idempotent in (True, False):
            sent = self._stop_during_request(
                endpoint_s=9.0, idempotent=idempotent
            )
            self.assertEqual(len(sent), 2)
            # The endpoint may have run the request.
            self.assertEqual(sent[0][1]["status"], 504)
            self.assertGreaterEqual(sent[0][0], 6.0 * 5 / 6)

    def test_an_endpoint_may_answer_until_five_sixths_of_the_grace_time(
        self,
    ) -> None:
        sent = self._stop_during_request(endpoint_s=2.0, idempotent=False)
        self.assertEqual(sent[0][1]["status"], 200)

    def test_nothing_is_sent_to_a_disconnected_caller(self) -> None:
        disconnect = {"type": "http.disconnect"}
        self.assertEqual(self._serve(self._table(), [disconnect]), [])
        self.assertEqual(self._serve(self._table(), self._WHOLE, hang=True), [])


class ReadinessApplicationTest(unittest.TestCase):
    """Guards against a load balancer that uses a node too early."""

    def test_readiness_follows_the_lifecycle(self) -> None:
        lifecycle = gateway.Lifecycle(6.0)
        application = gateway.ReadinessApplication(
            lifecycle, "/ready", lambda: b"metrics", lambda: b"state"
        )
        sent_values = []

        async def send(message) -> None:
            sent_values.append(message.get("status", message.get("body")))

        async def request(path: str) -> None:
            scope = {"type": "http", "path": path}
            await application(scope, None, send)

        trio.run(request, "/ready")
        lifecycle.loaded = True
        trio.run(request, "/ready")
        trio.run(request, "/metrics")
        trio.run(request, "/x")
        trio.run(request, "/state")
        self.assertEqual(sent_values[::2], [503, 200, 200, 404, 200])
        self.assertEqual(sent_values[5], b"metrics")
        self.assertEqual(sent_values[9], b"state")

    def test_only_three_outcomes_say_that_a_request_has_not_run(self) -> None:
        not_run = {o for o in forward.Outcome if o.not_run}
        self.assertEqual(
            not_run,
            {
                forward.Outcome.REJECTED,
                forward.Outcome.MISDIRECTED,
                forward.Outcome.NOT_SENT,
            },
        )
