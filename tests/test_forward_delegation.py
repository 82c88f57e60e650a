"""Tests of searches whose shards are called by nodes near the endpoints."""

import random
import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair._generated import messages
from tests import builders_delegation
from tests import builders_gateway as builders


class _CountingNetwork(builders.DirectNetwork):
    """Counts the reads of the connected nodes."""

    connected_calls = 0

    def connected_nodes(self) -> frozenset[str]:
        self.connected_calls += 1
        return super().connected_nodes()

    def is_responsive(self, node_id: str) -> bool:
        return True


_ALL_RECORDS = b"".join(b"%d" % i * 16 for i in range(7, -1, -1))


class DelegationTest(unittest.TestCase):
    """Guards against needless bytes between zones, and lost or false parts."""

    def test_remote_shards_are_called_by_a_node_in_their_zone(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(outcome.records, _ALL_RECORDS)
            self.assertEqual(
                sorted(outcome.signatures), [b"p%d" % i for i in range(8)]
            )
            self.assertEqual(len(site.local.site.sent), 2)
            self.assertEqual(len(site.remote.site.sent), 6)

        builders.run_on_virtual_clock(test)

    def test_remote_shards_that_are_down_are_refused_at_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.7)
            for fixture in (site.local, site.remote):
                for shard in (2, 3, 4):
                    for copy in "xy":
                        fixture.site.behaviour(
                            f"{copy}{shard}"
                        ).connects = False
                # A slow part delays the other node's reply.
                for copy in "xy":
                    fixture.site.behaviour(f"{copy}5").delay_s = 0.5
            at_once = 0
            for search in range(100):
                started_s = trio.current_time()
                outcome = await site.search()
                self.assertIsInstance(outcome, forward.Refused)
                took_s = trio.current_time() - started_s
                # The failures of the first three seconds show that the shards
                # are down.
                if search >= 30 and took_s < 0.01 and outcome.not_run:
                    at_once += 1
                await trio.sleep_until(started_s + 0.1)
            # Two searches a second probe whether the shards have recovered.
            self.assertGreaterEqual(at_once, 50)

        builders.run_on_virtual_clock(test)

    def test_a_plan_reads_the_connected_nodes_once(self) -> None:
        # With 87 nodes and 23 groups, a search spent most of its processor time
        # on reading the connected nodes once for each group.
        async def test(nursery: trio.Nursery) -> None:
            names = [f"s{i}" for i in range(60)]
            route = builders.search_route(names)
            entries = [
                builders.endpoint_entry(f"x{n}", service=n) for n in names
            ]
            site = builders_delegation.TwoNodeSite(nursery)
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            network = _CountingNetwork("n1", site.networks)
            delegation = forward.Delegation(
                "n1",
                "a",
                fixture.pool,
                network,
                random.Random(1),
            )
            delegation.set_nodes(builders.node_infos(n1="a", n2="a"))
            groups = delegation.plan_groups(route)
            self.assertTrue(groups)
            self.assertEqual(network.connected_calls, 1)

        builders.run_on_virtual_clock(test)

    def test_a_node_that_declines_or_is_cut_off_is_replaced(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            for fault in ("stopping", "version", "cut"):
                with self.subTest(fault=fault):
                    site = builders_delegation.TwoNodeSite(nursery)
                    site.remote_node.stopping = fault == "stopping"
                    if fault == "version":
                        site.remote_node.table = None
                    site.remote_network.cut = fault == "cut"
                    outcome = await site.search()
                    assert isinstance(outcome, forward.SearchResult)
                    self.assertEqual(outcome.missing, 0)
                    self.assertEqual(outcome.records, _ALL_RECORDS)
                    self.assertEqual(site.remote.site.sent, [])

        builders.run_on_virtual_clock(test)

    def test_a_silent_node_is_replaced_within_the_time_limit(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.9)
            site.remote_network.drops_replies = True
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(trio.current_time() - started_s, 0.2)
            # The silent node is not asked again at once.
            calls = site.local_network.calls
            await site.search()
            self.assertEqual(site.local_network.calls, calls)

        builders.run_on_virtual_clock(test)

    def test_a_node_that_did_not_get_the_request_is_replaced(
        self,
    ) -> None:
        # Machines lost power. Until every node had detected this, searches
        # through the lost nodes failed, because these might have used all
        # attempts on three endpoints.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(
                nursery, copies="xyz", min_coverage=0.9
            )
            site.remote_network.drops_requests = True
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertLess(trio.current_time() - started_s, 0.2)
            # The other node may still make one call for each shard.
            self.assertEqual(len(site.local.site.sent), 8)

        builders.run_on_virtual_clock(test)

    def test_endpoints_that_only_other_nodes_use_count_as_attempts(
        self,
    ) -> None:
        # A node that freezes and wakes again makes the calls of a request that
        # was repeated meanwhile, to other endpoints of the shard.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(
                nursery, copies="xyz", min_coverage=0.2
            )
            site.local.set_members([f"n{i}" for i in range(40)])
            site.remote_network.drops_requests = True
            for i in range(2, 8):
                for copy in "xyz":
                    site.local.site.behaviour(f"{copy}{i}").reply = None
            await site.search()
            called = [call.service for _, call, _ in site.local.site.sent]
            for i in range(2, 8):
                self.assertEqual(called.count(f"s{i}"), 1)

        builders.run_on_virtual_clock(test)

    def test_a_node_that_was_paused_does_not_repeat_what_has_ended(
        self,
    ) -> None:
        # The hedges of a node that woke from a pause came before it read that
        # the request had been repeated elsewhere.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(
                nursery, copies="xyz", min_coverage=0.9
            )
            for i in range(2, 8):
                for copy in "xyz":
                    site.remote.site.behaviour(f"{copy}{i}").reply = None
            nursery.start_soon(site.search)
            await trio.sleep(0.02)
            clock = trio.lowlevel.current_clock()
            assert isinstance(clock, trio.testing.MockClock)
            clock.jump(0.8)
            await trio.sleep(0.005)
            for call_id in (1, 2):
                end = messages.PartsEnd(parts_id=call_id)
                await site.remote_network.handlers[messages.PartsEnd]("n1", end)
            await trio.sleep(0.5)
            called = [call.service for _, call, _ in site.remote.site.sent]
            for i in range(2, 8):
                self.assertEqual(called.count(f"s{i}"), 1)

        builders.run_on_virtual_clock(test)

    def test_a_request_that_ended_before_it_is_handled_is_not_run(self) -> None:
        # A node that wakes reads a request and its end at once. It made calls
        # and repeats that had been made elsewhere.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            handlers = site.remote_network.handlers
            handle_request = handlers[messages.PartsRequest]
            handle_end = handlers[messages.PartsEnd]
            for parts_id, called in ((7, 0), (8, 2)):
                request = builders_delegation.parts_request(
                    ["s2", "s3"], parts_id=parts_id
                )
                await handle_end("n1", messages.PartsEnd(parts_id=7))
                reply = await handle_request("n1", request)
                self.assertEqual(reply.ran, called > 0)
                self.assertEqual(len(site.remote.site.sent), called)

        builders.run_on_virtual_clock(test)

    def test_a_busy_node_is_waited_for_without_retry_budget(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(
                nursery, copies="xyz", min_coverage=0.9
            )
            site.local.budget.set_limits(forward.BudgetLimits(0.0, 10.0, 0.0))
            while site.local.budget.try_consume("s5"):
                pass
            site.remote_network.read_delay_s = 0.15
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(len(site.remote.site.sent), 6)

        builders.run_on_virtual_clock(test)

    def test_a_zone_without_power_is_bypassed(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=1.0)
            # Node n2 and one endpoint of each remote shard stop responding.
            site.remote_network.drops_replies = True
            for i in range(2, 8):
                site.local.site.behaviour(f"x{i}").reply = None
            for _ in range(6):
                outcome = await site.search()
                assert isinstance(outcome, forward.SearchResult)
                self.assertEqual(outcome.missing, 0)
            started_s = trio.current_time()
            await site.search()
            # The silent endpoints are avoided by now.
            self.assertLess(trio.current_time() - started_s, 0.1)

        builders.run_on_virtual_clock(test)

    def test_parts_that_the_other_node_lacks_are_missing(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.75)
            for copy in "xy":
                site.remote.site.behaviour(f"{copy}5").reply = None
            started_s = trio.current_time()
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)
            self.assertNotIn(b"p5", outcome.signatures)
            self.assertEqual(len(outcome.signatures), 7)
            self.assertLess(trio.current_time() - started_s, 0.2)

        builders.run_on_virtual_clock(test)

    def test_a_shard_is_called_if_the_other_node_has_no_part(
        self,
    ) -> None:
        # A search failed at its latency goal, because the other node lacked
        # parts that it was allowed to leave out.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.75)
            failed = forward.Reply(forward.Outcome.FAILED, "", 500)
            # One attempt is left, but the other node's budget allows no repeat.
            site.remote.budget.set_limits(forward.BudgetLimits(0.0, 10.0, 0.0))
            for i in (5, 6):
                while site.remote.budget.try_consume(f"s{i}"):
                    pass
            for copy in "xy":
                site.local.site.behaviour(f"{copy}0").reply = failed
                for i in (5, 6):
                    site.remote.site.behaviour(f"{copy}{i}").reply = failed
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)

        builders.run_on_virtual_clock(test)

    def test_both_nodes_together_keep_to_max_attempts(self) -> None:
        # An endpoint had been replaced, and a shard ran on two endpoints for
        # the other node and on a third one for this node.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.75)
            failed = forward.Reply(forward.Outcome.FAILED, "", 500)
            for fixture in (site.local, site.remote):
                for copy in "xy":
                    fixture.site.behaviour(f"{copy}5").reply = failed
            # Only the other node has been notified that z5 replaced x5.
            draining = discovery.EndpointState.DRAINING
            for name, state in (
                ("x5", draining),
                ("z5", discovery.EndpointState.READY),
            ):
                site.remote.registry.put(
                    builders.endpoint_entry(
                        name,
                        service="s5",
                        availability_zone="b",
                        state=state,
                    )
                )
            site.remote.pool.apply_registry_changes()
            site.remote.site.behaviour("z5").reply = failed
            await site.search()
            ran = {
                endpoint_id
                for fixture in (site.local, site.remote)
                for endpoint_id in fixture.site.sent_to()
                if endpoint_id.endswith("5")
            }
            self.assertLessEqual(len(ran), 2)

        builders.run_on_virtual_clock(test)

    def test_the_other_node_stops_when_the_caller_disconnects(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            for i in range(8):
                for copy in "xy":
                    site.remote.site.behaviour(f"{copy}{i}").delay_s = 5.0
                    site.local.site.behaviour(f"{copy}{i}").delay_s = 5.0
            with trio.move_on_after(0.05):
                await site.search()
            await trio.sleep(0.5)
            loads = [r.load for r in site.remote.pool.replicas()]
            self.assertEqual(sum(loads), 0)

        builders.run_on_virtual_clock(test)

    def test_shards_of_another_version_are_not_mixed(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            other = builders.search_route(["t0", "t1"])
            site.remote_node.table = builders.table([other], version=2)
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(len(outcome.signatures), 8)
            self.assertEqual(site.remote.site.sent, [])

        builders.run_on_virtual_clock(test)

    def test_a_call_of_a_silent_node_may_have_run(self) -> None:
        # Without retry budget, the caller was told that nothing had run,
        # although the other node had sent all calls and only its reply was
        # lost.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, min_coverage=0.9)
            site.local.budget.set_limits(forward.BudgetLimits(0.0, 10.0, 0.0))
            for i in range(8):
                while site.local.budget.try_consume(f"s{i}"):
                    pass
            for shard in (0, 1):
                for copy in "xy":
                    behaviour = site.local.site.behaviour(f"{copy}{shard}")
                    behaviour.connects = False

            async def lose_replies() -> None:
                await trio.sleep(0.005)
                site.remote_network.drops_replies = True

            nursery.start_soon(lose_replies)
            outcome = await site.search()
            assert isinstance(outcome, forward.Refused)
            self.assertEqual(len(site.remote.site.sent), 6)
            self.assertFalse(outcome.not_run)

        builders.run_on_virtual_clock(test)

    def test_another_zone_gets_one_message_for_a_large_search(self) -> None:
        # On a day of 195 nodes, a search sent 25 messages to other zones.
        async def test(nursery: trio.Nursery) -> None:
            names = [f"s{i}" for i in range(60)]
            route = builders.search_route(names)
            entries = [
                builders.endpoint_entry(
                    f"x{i}", service=n, availability_zone="ab"[i % 2]
                )
                for i, n in enumerate(names)
            ]
            site = builders_delegation.TwoNodeSite(nursery)
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            nodes = {f"a{i}": "a" for i in range(1, 5)}
            nodes |= {f"b{i}": "b" for i in range(1, 5)}
            network = _CountingNetwork("n1", site.networks)
            for name in nodes:
                builders.DirectNetwork(name, site.networks)
            delegation = forward.Delegation(
                "n1",
                "a",
                fixture.pool,
                network,
                random.Random(1),
            )
            delegation.set_nodes(builders.node_infos(n1="a", **nodes))
            groups = delegation.plan_groups(route)
            shards = [s for group in groups for s in group.shards]
            self.assertEqual(len(shards), len(set(shards)))
            asked = [group.node_id for group in groups]
            self.assertEqual(len(asked), len(set(asked)))
            self.assertEqual(sum(nodes[n] == "b" for n in asked), 1)

        builders.run_on_virtual_clock(test)
