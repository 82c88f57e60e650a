"""Tests of searches whose shards are asked by nodes near the endpoints."""

import random
import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import routing
from tests import builders_edge as builders


def _run(test) -> None:
    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


class _Node:
    """Routes in force and readiness of one node."""

    def __init__(self, table: routing.RouteTable) -> None:
        self.table: routing.RouteTable | None = table
        self.stopping = False


class _Site:
    """Node n1 in zone a and node n2 in zone b.

    Six of the eight shards have endpoints in zone b only.
    """

    def __init__(
        self, nursery: trio.Nursery, copies: str = "xy", **route: object
    ) -> None:
        names = [f"s{i}" for i in range(8)]
        self.route = builders.search_route(names, top_k=8, **route)
        entries: list[discovery.EndpointEntry] = []
        for i, name in enumerate(names):
            for copy in copies:
                zone = "a" if i < 2 else "b"
                entries.append(
                    builders.entry(
                        f"{copy}{i}", service=name, availability_zone=zone
                    )
                )
        self.near = builders.Edge(nursery, entries, [self.route])
        self.far = builders.Edge(nursery, entries, [self.route])
        self.networks: dict[str, builders.FakeNetwork] = {}
        self.near_network = builders.DirectNetwork("n1", self.networks)
        self.far_network = builders.DirectNetwork("n2", self.networks)
        self.near_node = _Node(builders.table([self.route]))
        self.far_node = _Node(builders.table([self.route]))
        self.delegation = forward.Delegation(
            "n1",
            "a",
            self.near.pool,
            self.near_network,
            self.near_node,
            random.Random(1),
        )
        self.delegation.set_zones({"n1": "a", "n2": "b"})
        self.forwarder = forward.Forwarder(
            self.near.pool,
            self.near.budget,
            builders.FakeDialect(),
            self.near.metrics,
            self.delegation,
        )
        forward.PartsServer(
            self.far_network, self.far_node, self.far.forwarder, self.far_node
        )
        for i in range(8):
            for edge in (self.near, self.far):
                for copy in copies:
                    edge.site.behaviour(f"{copy}{i}").reply = builders.answer(
                        b"%d" % i * 16, signature=b"p%d" % i
                    )

    async def search(self) -> forward.ForwardResult:
        """Runs one search at node n1."""
        return await self.forwarder.forward(
            builders.caller_request(), self.route
        )


class _CountingNetwork(builders.DirectNetwork):
    """Counts the questions for the connected nodes."""

    asked = 0

    def connected(self) -> frozenset[str]:
        self.asked += 1
        return super().connected()

    def responsive(self, node_id: str) -> bool:
        return True


_ALL = b"".join(b"%d" % i * 16 for i in range(7, -1, -1))


class DelegationTest(unittest.TestCase):
    """Guards against needless bytes between zones, and lost or false parts."""

    def test_remote_shards_are_asked_by_a_node_beside_them(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(outcome.records, _ALL)
            self.assertEqual(
                sorted(outcome.signatures), [b"p%d" % i for i in range(8)]
            )
            self.assertEqual(len(site.near.site.sent), 2)
            self.assertEqual(len(site.far.site.sent), 6)

        _run(test)

    def test_shards_that_are_down_elsewhere_are_soon_known_here(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=0.7)
            for edge in (site.near, site.far):
                for shard in (2, 3, 4):
                    for copy in "xy":
                        edge.site.behaviour(f"{copy}{shard}").connects = False
                # Slow parts hold the other node's reply back.
                for copy in "xy":
                    edge.site.behaviour(f"{copy}5").delay_s = 0.5
            at_once = 0
            for search in range(100):
                started_s = trio.current_time()
                outcome = await site.search()
                self.assertIsInstance(outcome, forward.Refused)
                took_s = trio.current_time() - started_s
                # The first three seconds show that they are down.
                if search >= 30 and took_s < 0.01 and outcome.not_run:
                    at_once += 1
                await trio.sleep_until(started_s + 0.1)
            # Two searches a second find out whether they are back.
            self.assertGreaterEqual(at_once, 50)

        _run(test)

    def test_a_plan_asks_for_the_connected_nodes_once(self) -> None:
        # With 87 nodes and 23 groups a search spent most of its processor
        # time on one such answer for each group.
        async def test(nursery: trio.Nursery) -> None:
            names = [f"s{i}" for i in range(60)]
            route = builders.search_route(names)
            entries = [builders.entry(f"x{n}", service=n) for n in names]
            site = _Site(nursery)
            edge = builders.Edge(nursery, entries, [route])
            network = _CountingNetwork("n1", site.networks)
            delegation = forward.Delegation(
                "n1",
                "a",
                edge.pool,
                network,
                site.near_node,
                random.Random(1),
            )
            delegation.set_zones({"n1": "a", "n2": "a"})
            groups = delegation.plan(route)
            self.assertTrue(groups)
            self.assertEqual(network.asked, 1)

        _run(test)

    def test_a_node_that_cannot_help_is_replaced_at_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            for spoil in ("stopping", "version", "cut"):
                with self.subTest(spoil=spoil):
                    site = _Site(nursery)
                    site.far_node.stopping = spoil == "stopping"
                    if spoil == "version":
                        site.far_node.table = None
                    site.far_network.cut = spoil == "cut"
                    outcome = await site.search()
                    assert isinstance(outcome, forward.SearchResult)
                    self.assertEqual(outcome.missing, 0)
                    self.assertEqual(outcome.records, _ALL)
                    self.assertEqual(site.far.site.sent, [])

        _run(test)

    def test_a_silent_node_is_replaced_within_the_time_limit(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=0.9)
            site.far_network.silent = True
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(trio.current_time() - started_s, 0.2)
            # It is not asked again at once.
            calls = site.near_network.calls
            await site.search()
            self.assertEqual(site.near_network.calls, calls)

        _run(test)

    def test_a_node_that_never_got_the_request_is_replaced_in_time(
        self,
    ) -> None:
        # A grown day on the bench: machines lost power. Until each node had
        # noticed, searches through them failed, because the lost nodes might
        # have used all attempts of three endpoints.
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, copies="xyz", min_coverage=0.9)
            site.far_network.dark = True
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(trio.current_time() - started_s, 0.2)
            # The other node may yet make one call for each shard.
            self.assertEqual(len(site.near.site.sent), 8)

        _run(test)

    def test_a_busy_node_is_waited_for_if_no_repeats_are_left(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, copies="xyz", min_coverage=0.9)
            site.near.budget.set_limits(forward.BudgetLimits(0.0, 10.0, 0.0))
            while site.near.budget.take("s5"):
                pass
            site.far_network.busy_s = 0.15
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(len(site.far.site.sent), 6)

        _run(test)

    def test_a_zone_without_power_is_bypassed(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=1.0)
            # Node n2 and one endpoint of each remote shard fall silent.
            site.far_network.silent = True
            for i in range(2, 8):
                site.near.site.behaviour(f"x{i}").reply = None
            for _ in range(6):
                outcome = await site.search()
                assert isinstance(outcome, forward.SearchResult)
                self.assertEqual(outcome.missing, 0)
            started_s = trio.current_time()
            await site.search()
            # The silent endpoints are known by now.
            self.assertLess(trio.current_time() - started_s, 0.1)

        _run(test)

    def test_parts_that_the_other_node_lacks_are_missing(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=0.75)
            for copy in "xy":
                site.far.site.behaviour(f"{copy}5").reply = None
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)
            self.assertNotIn(b"p5", outcome.signatures)
            self.assertEqual(len(outcome.signatures), 7)
            self.assertLess(trio.current_time() - started_s, 0.2)

        _run(test)

    def test_a_shard_is_asked_here_if_the_other_node_has_no_part(
        self,
    ) -> None:
        # An incident: a search was given up at its latency goal, because the
        # other node lacked parts that it was allowed to miss.
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=0.75)
            failed = forward.Reply(forward.Outcome.FAILED, "", 500)
            # One attempt is left, but not in the other node's budget.
            site.far.budget.set_limits(forward.BudgetLimits(0.0, 10.0, 0.0))
            for i in (5, 6):
                while site.far.budget.take(f"s{i}"):
                    pass
            for copy in "xy":
                site.near.site.behaviour(f"{copy}0").reply = failed
                for i in (5, 6):
                    site.far.site.behaviour(f"{copy}{i}").reply = failed
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)

        _run(test)

    def test_both_nodes_together_keep_to_the_attempts(self) -> None:
        # A day on the bench: an endpoint had been replaced, and a shard ran
        # on two endpoints for the other node and a third one from here.
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, min_coverage=0.75)
            failed = forward.Reply(forward.Outcome.FAILED, "", 500)
            for edge in (site.near, site.far):
                for copy in "xy":
                    edge.site.behaviour(f"{copy}5").reply = failed
            # Only the other node knows yet that x5 was replaced by z5.
            draining = discovery.EndpointState.DRAINING
            for name, state in (
                ("x5", draining),
                ("z5", discovery.EndpointState.READY),
            ):
                site.far.registry.put(
                    builders.entry(
                        name,
                        service="s5",
                        availability_zone="b",
                        state=state,
                    )
                )
            site.far.pool.refresh()
            site.far.site.behaviour("z5").reply = failed
            await site.search()
            ran = {
                endpoint_id
                for edge in (site.near, site.far)
                for endpoint_id in edge.site.sent_to()
                if endpoint_id.endswith("5")
            }
            self.assertLessEqual(len(ran), 2)

        _run(test)

    def test_the_other_node_stops_when_the_caller_has_gone(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            for i in range(8):
                for copy in "xy":
                    site.far.site.behaviour(f"{copy}{i}").delay_s = 5.0
                    site.near.site.behaviour(f"{copy}{i}").delay_s = 5.0
            with trio.move_on_after(0.05):
                await site.search()
            await trio.sleep(0.5)
            loads = [r.load for r in site.far.pool.replicas()]
            self.assertEqual(sum(loads), 0)

        _run(test)

    def test_shards_of_another_version_are_not_mixed(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            other = builders.search_route(["t0", "t1"])
            site.far_node.table = builders.table([other], version=2)
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(len(outcome.signatures), 8)
            self.assertEqual(site.far.site.sent, [])

        _run(test)
