"""Tests of the forwarder's decisions, on a virtual clock without network."""

import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from tests import builders_gateway as builders


def _two_zone_entries(shards: int) -> list[discovery.EndpointEntry]:
    """Returns two endpoints for each shard, in availability zones a and b."""
    return [
        builders.endpoint_entry(
            f"{zone}{i}", service=f"s{i}", availability_zone=zone
        )
        for i in range(shards)
        for zone in ("a", "b")
    ]


def _shard_names(shards: int) -> list[str]:
    return [f"s{i}" for i in range(shards)]


class GreatestRecordsTest(unittest.TestCase):
    """Guards against records that are lost, doubled or cut in a merge."""

    def test_equal_records_are_kept_and_a_remainder_is_dropped(self) -> None:
        low, high = b"a" * 16, b"z" * 16
        merged = forward.merge_greatest_records(
            [low + high, high + low + b"zzz", b"zz"], 3
        )
        self.assertEqual(merged, high + high + low)


class RetryBudgetTest(unittest.TestCase):
    """Guards against repeats beyond what the site allows in a window."""

    def test_uneven_nodes_together_stay_within_the_limits(self) -> None:
        now_s = 0.0
        limits = forward.BudgetLimits(
            ratio=0.2, window_s=10.0, extra_repeats=54.0
        )
        budgets = [forward.RetryBudget(limits, lambda: now_s) for _ in range(7)]
        for budget in budgets:
            budget.set_share_finder(lambda service: 1 / 7)
        repeats_s: list[float] = []
        requests_s: list[float] = []
        for tick in range(4000):
            now_s = tick / 100
            # The first node gets most requests and repeats each of them.
            for index, budget in enumerate(budgets):
                if index == 0 or tick % (20 * index) == 0:
                    budget.record_request("s")
                    requests_s.append(now_s)
                    if budget.try_consume("s"):
                        repeats_s.append(now_s)
        for end in range(10, 41):
            window = [t for t in repeats_s if end - 10 < t <= end]
            requests = [t for t in requests_s if end - 10 < t <= end]
            allowed = limits.ratio * len(requests) + limits.extra_repeats
            self.assertLessEqual(len(window), allowed)
            # The nodes also use more than half of the repeats that the ratio
            # allows.
            self.assertGreater(len(window), 0.5 * limits.ratio * len(requests))

    def test_tokens_saved_without_repeats_stay_within_limits(self) -> None:
        # Endpoints became slow after some seconds without repeats, and all
        # nodes used their saved tokens at once: 138 repeats where 137 were
        # allowed.
        now_s = 0.0
        limits = forward.BudgetLimits(
            ratio=0.2, window_s=10.0, extra_repeats=54.0
        )
        budgets = [forward.RetryBudget(limits, lambda: now_s) for _ in range(7)]
        for budget in budgets:
            budget.set_share_finder(lambda service: 1 / 7)
        repeats = 0
        requests = 0
        for tick in range(3000):
            now_s = tick / 100
            for index, budget in enumerate(budgets):
                if (tick + index) % 17:
                    continue
                budget.record_request("s")
                if tick < 2000:
                    continue
                requests += 1
                repeats += sum(budget.try_consume("s") for _ in range(3))
        self.assertLessEqual(
            repeats, limits.ratio * requests + limits.extra_repeats
        )


class RepeatReportTest(unittest.TestCase):
    """Guards against repeats that no log line explains."""

    def test_repeats_are_reported_with_the_services_that_got_most(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route()
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [route]
            )
            fixture.site.behaviour("x").reply = forward.Reply(
                forward.Outcome.REJECTED, "full", 503
            )
            await fixture.forwarder.forward(builders.caller_request(), route)
            with self.assertLogs("geraniumstair.forward") as logs:
                await trio.sleep(11)
            (usage,) = logs.records[0].fields["most_repeated"]
            self.assertEqual(usage["service"], "s1")
            self.assertEqual(usage["requests"], 1)
            self.assertEqual(usage["calls"], usage["repeats"] + 1)
            self.assertGreater(usage["repeats"], 1)
            with self.assertNoLogs("geraniumstair.forward"):
                await trio.sleep(10)

        builders.run_on_virtual_clock(test)


class SearchTest(unittest.TestCase):
    """Guards against false, late or needlessly incomplete answers."""

    def test_all_parts_are_merged(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(_shard_names(4))
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(4), [route]
            )
            for i in range(4):
                behaviour = fixture.site.behaviour(f"a{i}")
                behaviour.reply = builders.endpoint_reply(
                    b"%d" % i * 16, signature=b"p%d" % i
                )
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(
                sorted(outcome.signatures), [b"p0", b"p1", b"p2", b"p3"]
            )
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(outcome.records, b"3" * 16 + b"2" * 16 + b"1" * 16)

        builders.run_on_virtual_clock(test)

    def test_a_silent_endpoint_is_hedged_within_the_goal(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(_shard_names(4), min_coverage=1.0)
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(4), [route]
            )
            fixture.site.behaviour("a2").reply = None
            started_s = trio.current_time()
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertIn(b"b2", outcome.signatures)
            self.assertLess(trio.current_time() - started_s, 0.2)

        builders.run_on_virtual_clock(test)

    def test_an_incomplete_answer_is_sent_at_the_goal_and_says_so(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(_shard_names(4), min_coverage=0.75)
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(4), [route]
            )
            for name in ("a1", "b1"):
                fixture.site.behaviour(name).reply = None
            started_s = trio.current_time()
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)
            self.assertEqual(len(outcome.signatures), 3)
            self.assertLess(trio.current_time() - started_s, 0.2)

        builders.run_on_virtual_clock(test)

    def test_a_search_that_cannot_be_served_is_refused_at_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(_shard_names(4), min_coverage=0.75)
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(2), [route]
            )
            started_s = trio.current_time()
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.Refused)
            self.assertTrue(outcome.not_run)
            self.assertIsNotNone(outcome.retry_after_s)
            self.assertEqual(trio.current_time(), started_s)
            self.assertEqual(fixture.site.sent, [])

        builders.run_on_virtual_clock(test)

    def test_a_shard_runs_on_no_more_endpoints_than_allowed(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(["s0"], max_attempts=2)
            entries = [
                builders.endpoint_entry(name, service="s0") for name in "vwxyz"
            ]
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            for name in "vwxyz":
                fixture.site.behaviour(name).reply = forward.Reply(
                    forward.Outcome.FAILED, "", 500
                )
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.Refused)
            self.assertFalse(outcome.not_run)
            self.assertEqual(len(fixture.site.sent), 2)

        builders.run_on_virtual_clock(test)

    def test_a_search_whose_calls_were_never_sent_has_not_run(self) -> None:
        # Such searches got 504, after which callers do not retry requests that
        # may run once only, and which counts against the endpoints.
        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery,
                _two_zone_entries(4),
                [route := builders.search_route(_shard_names(4))],
            )
            for i in range(4):
                for zone in ("a", "b"):
                    fixture.site.behaviour(f"{zone}{i}").connect_s = 60.0
            outcome = await fixture.forwarder.forward(
                builders.caller_request(remaining_ms=400.0), route
            )
            assert isinstance(outcome, forward.Refused)
            self.assertEqual(fixture.site.sent, [])
            self.assertTrue(outcome.not_run)

        builders.run_on_virtual_clock(test)

    def test_nothing_is_repeated_without_budget(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(_shard_names(2), min_coverage=0.5)
            fixture = builders.ForwarderFixture(
                nursery,
                _two_zone_entries(2),
                [route],
                budget=forward.BudgetLimits(0.0, 10.0, 0.0),
            )
            fixture.budget.try_consume("s1")
            fixture.site.behaviour("a1").reply = None
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 1)
            self.assertNotIn("b1", fixture.site.sent_to())

        builders.run_on_virtual_clock(test)

    def test_calls_of_a_disconnected_caller_are_aborted(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(["s0"])
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(1), [route]
            )
            for name in ("a0", "b0"):
                fixture.site.behaviour(name).delay_s = 5.0
            with trio.move_on_after(0.1):
                await fixture.forwarder.forward(
                    builders.caller_request(), route
                )
            # The endpoints' work has to end within half a second after the
            # caller disconnects.
            await trio.sleep(0.5)
            self.assertTrue(fixture.site.sent)
            self.assertEqual([r.load for r in fixture.pool.replicas()], [0, 0])

        builders.run_on_virtual_clock(test)


class CallerWaitEstimatorTest(unittest.TestCase):
    """Guards against late answers to callers that retry."""

    def _search(self, remaining_ms: float, usual_ms: float) -> float:
        """Returns the time until an answer that lacks one part."""
        took_s = []

        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route(
                _shard_names(4), latency_goal_ms=200.0, min_coverage=0.75
            )
            fixture = builders.ForwarderFixture(
                nursery, _two_zone_entries(4), [route]
            )
            for zone in "ab":
                fixture.site.behaviour(f"{zone}0").reply = None
            for i in range(30):
                usual = usual_ms if i % 2 else 1500.0
                with trio.move_on_after(0.001):
                    await fixture.forwarder.forward(
                        builders.caller_request(remaining_ms=usual), route
                    )
            started_s = trio.current_time()
            await fixture.forwarder.forward(
                builders.caller_request(remaining_ms=remaining_ms), route
            )
            took_s.append(trio.current_time() - started_s)

        builders.run_on_virtual_clock(test)
        return took_s[0]

    def test_the_goal_counts_from_the_first_attempt(self) -> None:
        first_s = self._search(1500.0, 1500.0)
        again_s = self._search(1400.0, 1500.0)
        self.assertGreater(first_s, 0.15)
        self.assertAlmostEqual(first_s - again_s, 0.1, delta=0.01)

    def test_shorter_timeouts_do_not_shorten_the_goal(self) -> None:
        self.assertGreater(self._search(1400.0, 1400.0), 0.15)
        self.assertGreater(self._search(1000.0, 1500.0), 0.15)


class SingleTest(unittest.TestCase):
    """Guards against requests that run twice, and false refusals."""

    def _forward(self, behaviours, **route_fields):
        outcomes = []

        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(**route_fields)
            entries = [builders.endpoint_entry(name) for name in behaviours]
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            fixture.site.behaviours.update(behaviours)
            outcomes.append(
                await fixture.forwarder.forward(
                    builders.caller_request(), route
                )
            )
            await trio.sleep(1)
            outcomes.append(fixture.site.sent_to())

        builders.run_on_virtual_clock(test)
        return outcomes

    def test_a_request_with_a_lost_answer_is_not_repeated(self) -> None:
        lost = forward.Reply(forward.Outcome.LOST, "reset")
        outcome, sent = self._forward(
            {n: builders.Behaviour(reply=lost) for n in "xy"},
            idempotent=False,
        )
        assert isinstance(outcome, forward.Refused)
        self.assertFalse(outcome.not_run)
        self.assertEqual(len(sent), 1)

    def test_an_idempotent_request_is_repeated_elsewhere(self) -> None:
        lost = forward.Reply(forward.Outcome.LOST, "reset")
        outcome, sent = self._forward(
            {"x": builders.Behaviour(reply=lost), "y": builders.Behaviour()}
        )
        self.assertIsInstance(outcome, forward.SingleResult)
        self.assertEqual(sent[-1], "y")

    def test_a_rejected_request_goes_to_another_endpoint(self) -> None:
        rejected = forward.Reply(forward.Outcome.REJECTED, "full", 503)
        outcome, sent = self._forward(
            {
                "x": builders.Behaviour(reply=rejected),
                "y": builders.Behaviour(),
            },
            idempotent=False,
        )
        self.assertIsInstance(outcome, forward.SingleResult)
        self.assertEqual(sent[-1], "y")

    def test_a_request_that_no_endpoint_received_has_not_run(self) -> None:
        outcome, sent = self._forward(
            {n: builders.Behaviour(connects=False) for n in "xy"},
            idempotent=False,
        )
        assert isinstance(outcome, forward.Refused)
        self.assertTrue(outcome.not_run)
        self.assertEqual(sent, [])

    def test_requests_do_not_wait_for_endpoints_that_are_down(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(idempotent=False)
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("a1")], [route]
            )
            fixture.site.behaviour("a1").connects = False
            for _ in range(5):
                await trio.sleep(0.5)
                await fixture.forwarder.forward(
                    builders.caller_request(), route
                )
            started_s = trio.current_time()
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.Refused)
            self.assertTrue(outcome.not_run)
            self.assertEqual(trio.current_time(), started_s)
            fixture.site.behaviour("a1").connects = True
            await trio.sleep(0.5)
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            self.assertIsInstance(outcome, forward.SingleResult)

        builders.run_on_virtual_clock(test)

    def test_a_failure_of_the_endpoint_is_passed_on(self) -> None:
        failed = forward.Reply(forward.Outcome.FAILED, "", 500, [], b"f", b"s")
        outcome, sent = self._forward(
            {n: builders.Behaviour(reply=failed) for n in "xy"},
            idempotent=False,
        )
        self.assertEqual(outcome, forward.SingleResult(failed))
        self.assertEqual(len(sent), 1)

    def test_silence_times_out_and_the_request_may_have_run(self) -> None:
        outcome, sent = self._forward(
            {"x": builders.Behaviour(reply=None)}, idempotent=False
        )
        assert isinstance(outcome, forward.Refused)
        self.assertIs(outcome.reason, forward.RefusalReason.TIMEOUT)
        self.assertFalse(outcome.not_run)
        self.assertEqual(len(sent), 1)


class EndpointWishesTest(unittest.TestCase):
    """Guards against requests that an endpoint asked this node not to send."""

    def _run(self, reply: forward.Reply, test) -> None:
        async def start(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("x"), builders.endpoint_entry("y")],
                [builders.route(max_attempts=1)],
            )
            fixture.site.behaviour("x").reply = reply
            fixture.site.behaviour("y").delay_s = 0.05
            while "x" not in fixture.site.sent_to():
                await self._ask(fixture)
            await trio.sleep(0.4)
            fixture.site.sent.clear()
            await test(fixture)

        builders.run_on_virtual_clock(start)

    async def _ask(
        self, fixture: builders.ForwarderFixture
    ) -> forward.ForwardResult:
        return await fixture.forwarder.forward(
            builders.caller_request(), builders.route(max_attempts=1)
        )

    def test_an_endpoint_that_shuts_down_gets_no_more_requests(self) -> None:
        leaving = forward.Reply(
            forward.Outcome.ANSWERED, "", 200, [], b"", b"s", leaving=True
        )

        async def test(fixture: builders.ForwarderFixture) -> None:
            for _ in range(10):
                await self._ask(fixture)
                await trio.sleep(1)
            self.assertEqual(set(fixture.site.sent_to()), {"y"})
            # Its registration lapses and returns.
            await fixture.remove("x")
            await trio.sleep(5)
            fixture.registry.put(builders.endpoint_entry("x"))
            fixture.pool.apply_registry_changes()
            for _ in range(10):
                await self._ask(fixture)
            self.assertEqual(set(fixture.site.sent_to()), {"y"})
            # Its next start is another instance.
            fixture.registry.put(builders.endpoint_entry("x", started_ms=2))
            fixture.pool.apply_registry_changes()
            for _ in range(10):
                await self._ask(fixture)
            self.assertIn("x", fixture.site.sent_to())

        self._run(leaving, test)

    def test_an_endpoint_that_asks_for_a_pause_gets_no_requests(self) -> None:
        rejected = forward.Reply(
            forward.Outcome.REJECTED, "full", 503, pause_s=5.0
        )

        async def test(fixture: builders.ForwarderFixture) -> None:
            fixture.site.behaviours["x"] = builders.Behaviour()
            for _ in range(4):
                await self._ask(fixture)
                await trio.sleep(1)
            self.assertEqual(set(fixture.site.sent_to()), {"y"})
            await trio.sleep(2)
            fixture.site.behaviour("y").delay_s = 0.3
            for _ in range(10):
                await self._ask(fixture)
            self.assertIn("x", fixture.site.sent_to())

        self._run(rejected, test)

    def test_requests_are_refused_at_once_if_all_endpoints_pause(self) -> None:
        rejected = forward.Reply(
            forward.Outcome.REJECTED, "full", 503, pause_s=1.5
        )

        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("x"), builders.endpoint_entry("y")],
                [builders.route()],
            )
            for name in "xy":
                fixture.site.behaviour(name).reply = rejected
            await self._ask(fixture)
            await trio.sleep(0.5)
            sent = len(fixture.site.sent)
            started_s = trio.current_time()
            outcome = await self._ask(fixture)
            assert isinstance(outcome, forward.Refused)
            self.assertEqual(trio.current_time(), started_s)
            self.assertTrue(outcome.not_run)
            self.assertAlmostEqual(outcome.retry_after_s, 1.0, delta=0.1)
            self.assertEqual(len(fixture.site.sent), sent)

        builders.run_on_virtual_clock(test)


class EndpointPoolTest(unittest.TestCase):
    """Guards against calls to endpoints that must not get any."""

    def test_draining_endpoints_and_zones_out_get_no_calls(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            draining = discovery.EndpointState.DRAINING
            entries = [
                builders.endpoint_entry("x", state=draining),
                builders.endpoint_entry("y", availability_zone="b"),
            ]
            fixture = builders.ForwarderFixture(
                nursery, entries, [builders.route()]
            )
            self.assertEqual(
                fixture.pool.choose_replica("s1", ()).entry.endpoint_id, "y"
            )
            fixture.pool.set_zones_out(frozenset("b"))
            self.assertIsNone(fixture.pool.choose_replica("s1", ()))
            self.assertFalse(fixture.pool.has_usable_endpoint("s1"))

        builders.run_on_virtual_clock(test)

    def test_an_endpoint_whose_address_was_reused_gets_one_call(self) -> None:
        # Calls to a reused address counted as repeats at the service that has
        # the address now.
        async def test(nursery: trio.Nursery) -> None:
            entries = [
                builders.endpoint_entry("x"),
                builders.endpoint_entry("y"),
            ]
            route = builders.route()
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            fixture.site.behaviour("x").reply = forward.Reply(
                forward.Outcome.MISDIRECTED, "another one", 421
            )
            for _ in range(20):
                fixture.site.behaviour("y").delay_s = 0.2
                await fixture.forwarder.forward(
                    builders.caller_request(), route
                )
                await trio.sleep(0.5)
            self.assertEqual(fixture.site.sent_to().count("x"), 1)

        builders.run_on_virtual_clock(test)

    def test_the_local_zone_is_preferred_until_it_is_busier(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            entries = [
                builders.endpoint_entry("x"),
                builders.endpoint_entry("y", availability_zone="b"),
            ]
            route = builders.route()
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            for name in "xy":
                fixture.site.behaviour(name).delay_s = 0.1
            for _ in range(4):
                nursery.start_soon(
                    fixture.forwarder.forward, builders.caller_request(), route
                )
                await trio.sleep(0.001)
            self.assertEqual(fixture.site.sent_to()[0], "x")
            self.assertIn("y", fixture.site.sent_to())

        builders.run_on_virtual_clock(test)

    def test_all_nodes_together_limit_calls_to_a_cold_endpoint(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(1, 41)]
            sent = 0
            for member in members:
                fixture = builders.ForwarderFixture(
                    nursery,
                    [builders.endpoint_entry("x", warmup_left_ms=9000.0)],
                    [builders.route()],
                    limits={"warmup_per_s": 10.0, "warmup_s": 9.0},
                    members=members,
                    node_id=member,
                )
                sent += sum(
                    fixture.pool.choose_replica("s1", ()) is not None
                    for _ in range(50)
                )
            self.assertGreater(sent, 0)
            self.assertLessEqual(sent, 10 * 1.5 + 5)

        builders.run_on_virtual_clock(test)

    def test_many_nodes_do_not_save_up_calls_to_a_cold_endpoint(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(195)]
            for warmup_per_s in (5.0, 10.0, 41.0, 100.0):
                limits = {"warmup_per_s": warmup_per_s, "warmup_s": 9.0}
                pools = [
                    builders.ForwarderFixture(
                        nursery,
                        [builders.endpoint_entry("x", warmup_left_ms=9000.0)],
                        [builders.route()],
                        limits=limits,
                        members=members,
                        node_id=member,
                    ).pool
                    for member in members
                ]
                sent = 0
                for _ in range(2):
                    for pool in pools:
                        while pool.choose_replica("s1", ()) is not None:
                            sent += 1
                    await trio.sleep(0.99)
                with self.subTest(warmup_per_s=warmup_per_s):
                    self.assertGreaterEqual(sent, 0.9 * warmup_per_s)
                    self.assertLessEqual(sent, 1.5 * warmup_per_s + 5)

        builders.run_on_virtual_clock(test)

    def test_a_node_that_lost_its_registration_still_counts_as_a_user(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(1, 81)]
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("x")],
                [builders.route()],
                members=members,
            )
            # The store removes the registrations of a third of the nodes, which
            # continue to serve.
            fixture.set_members(members[:50])
            self.assertEqual(fixture.pool.node_count("s1"), 80)
            await trio.sleep(60)
            fixture.pool.apply_registry_changes()
            self.assertEqual(fixture.pool.node_count("s1"), 50)

        builders.run_on_virtual_clock(test)

    def test_an_abandoned_call_to_a_removed_endpoint_is_aborted(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [builders.route()]
            )
            fixture.site.behaviour("x").reply = None
            with trio.move_on_after(0.3):
                nursery.start_soon(fixture.remove, "x")
                await fixture.forwarder.forward(
                    builders.caller_request(), builders.route()
                )
            await trio.sleep(1)
            self.assertTrue(all(link.closed for link in fixture.site.links))

        builders.run_on_virtual_clock(test)

    def test_a_long_request_does_not_count_as_a_failure(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(timeout_ms=400.0)
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [route]
            )

            async def ask() -> None:
                await fixture.forwarder.forward(
                    builders.caller_request(), route
                )

            fixture.site.behaviour("x").reply = None
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            # Other requests are answered while the first one takes long.
            fixture.site.behaviours["x"] = builders.Behaviour()
            await ask()
            await trio.sleep(0.4)
            state = fixture.pool.dump()["s1"][0]
            self.assertEqual(state["running"], 0)
            self.assertEqual(state["avoided_for_s"], 0)
            self.assertEqual(state["failure_share"], 0)

        builders.run_on_virtual_clock(test)

    def test_a_silent_endpoint_is_avoided_when_a_request_times_out(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(timeout_ms=400.0)
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [route]
            )
            fixture.site.behaviour("x").reply = None
            await fixture.forwarder.forward(builders.caller_request(), route)
            await trio.sleep(0.1)
            state = fixture.pool.dump()["s1"][0]
            self.assertEqual(state["running"], 0)
            self.assertGreater(state["avoided_for_s"], 0)

        builders.run_on_virtual_clock(test)

    def test_connections_of_all_nodes_fit_the_endpoint(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(1, 81)]
            entries = [builders.endpoint_entry(f"e{i}") for i in range(4)]
            used: dict[str, int] = {}
            for member in members:
                fixture = builders.ForwarderFixture(
                    nursery,
                    entries,
                    [builders.route()],
                    limits={"max_connections": 50},
                    members=members,
                    node_id=member,
                )
                for replica in fixture.pool._by_service["s1"]:
                    name = replica.entry.endpoint_id
                    used[name] = used.get(name, 0) + replica.max_links
            self.assertLessEqual(max(used.values()), 50)

        builders.run_on_virtual_clock(test)

    def test_no_connection_is_kept_if_the_endpoints_have_too_few(self) -> None:
        # 195 nodes kept connections to two endpoints that accept 120. The
        # endpoints reset those beyond, and calls on them were lost.
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(1, 196)]
            for cap, kept in ((120, 0), (1200, 2)):
                with self.subTest(cap=cap):
                    fixture = builders.ForwarderFixture(
                        nursery,
                        [builders.endpoint_entry(f"e{i}") for i in range(2)],
                        [route := builders.route()],
                        limits={"max_connections": cap},
                        members=members,
                    )
                    await trio.sleep(0.1)
                    self.assertEqual(fixture.site.connections, kept)
                    for i in range(3):
                        request = builders.caller_request(request_id=b"q%d" % i)
                        outcome = await fixture.forwarder.forward(
                            request, route
                        )
                        self.assertIsInstance(outcome, forward.SingleResult)
                        await trio.sleep(0.1)
                    links = [r.link_count for r in fixture.pool.replicas()]
                    self.assertEqual(sum(links), kept)

        builders.run_on_virtual_clock(test)

    def test_only_nodes_that_call_for_others_keep_links_to_shards(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            names = _shard_names(60)
            route = builders.search_route(names)
            for calls_groups in (True, False):
                with self.subTest(calls_groups=calls_groups):
                    fixture = builders.ForwarderFixture(
                        nursery,
                        _two_zone_entries(60),
                        [route],
                        limits={"max_connections": 120},
                        members=[f"n{i}" for i in range(1, 196)],
                    )
                    fixture.pool.set_group_nodes(
                        {"a": ["n1" if calls_groups else "n2"]}
                    )
                    await fixture.forwarder.forward(
                        builders.caller_request(), route
                    )
                    await trio.sleep(0.1)
                    links = [r.link_count for r in fixture.pool.replicas()]
                    self.assertEqual(sum(links), 60 if calls_groups else 0)

        builders.run_on_virtual_clock(test)

    def test_a_restart_of_another_node_refreshes_no_endpoint(self) -> None:
        # When 195 nodes restarted one after the other, each of them processed
        # all endpoints twice for each restart.
        async def test(nursery: trio.Nursery) -> None:
            members = [f"n{i}" for i in range(1, 40)]
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("x1")],
                [builders.route()],
                members=members,
            )
            refreshed = []
            users = fixture.pool.node_count

            def count(service: str) -> int:
                refreshed.append(service)
                return users(service)

            fixture.pool.node_count = count
            for restarting in members[1:]:
                fixture.set_members([m for m in members if m != restarting])
                fixture.set_members(members)
            self.assertEqual(refreshed, [])
            fixture.set_members([*members, "new"])
            self.assertEqual(set(refreshed), {"s1"})

        builders.run_on_virtual_clock(test)

    def test_a_registration_refreshes_only_its_own_service(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            # 225 services of three endpoints, as on the large sites. They
            # register one after the other while the nodes start.
            entries = [
                builders.endpoint_entry(f"{copy}{i}", service=f"s{i}")
                for i in range(225)
                for copy in "xyz"
            ]
            route = builders.search_route([f"s{i}" for i in range(225)])
            fixture = builders.ForwarderFixture(nursery, entries, [route])
            refreshed = []
            users = fixture.pool.node_count

            def count(service: str) -> int:
                refreshed.append(service)
                return users(service)

            fixture.pool.node_count = count
            fixture.registry.put(builders.endpoint_entry("w7", service="s7"))
            fixture.pool.apply_registry_changes()
            self.assertEqual(set(refreshed), {"s7"})
            self.assertEqual(fixture.pool.endpoint_count("s7"), 4)

        builders.run_on_virtual_clock(test)

    def test_a_removed_endpoint_gets_no_more_calls(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("x")], [builders.route()]
            )
            replica = fixture.pool.choose_replica("s1", ())
            fixture.registry.mark_lapsed("x")
            await trio.sleep(3)
            list(fixture.registry.remove_expired())
            fixture.pool.apply_registry_changes()
            self.assertIsNone(fixture.pool.choose_replica("s1", ()))
            await trio.sleep(0.1)
            self.assertEqual(replica.link_count, 0)

        builders.run_on_virtual_clock(test)
