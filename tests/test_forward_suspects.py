"""Tests of requests that end the endpoints that run them."""

import unittest

import trio
import trio.testing

from geraniumstair import forward
from tests import builders_gateway as builders

SHARDS = 20
# The site allows no more calls of a request after it ended three endpoints.
MAX_ENDED = 3
CRASHING = b"crash"


def _entries() -> list:
    return [
        builders.endpoint_entry(f"{copy}{i}", service=f"s{i}")
        for i in range(SHARDS)
        for copy in "xy"
    ]


def _route(**changes: object):
    names = [f"s{i}" for i in range(SHARDS)]
    return builders.search_route(names, min_coverage=0.9, **changes)


def _crashing_request(number: int = 0, **changes: object):
    return builders.caller_request(
        request_id=CRASHING, target=b"/p/%d" % number, **changes
    )


class _Nodes:
    """Two nodes that share the endpoints."""

    def __init__(self, nursery: trio.Nursery, routes) -> None:
        self.site = builders.FakeSite()
        self.site.crashing_ids.add(CRASHING)
        networks: dict[str, builders.FakeNetwork] = {}
        self.fixtures = [
            builders.ForwarderFixture(
                nursery,
                _entries(),
                routes,
                site=self.site,
                node_id=name,
                network=builders.FakeNetwork(name, networks),
            )
            for name in ("n1", "n2")
        ]

    async def ask(self, node: int, request, route) -> forward.ForwardResult:
        return await self.fixtures[node].forwarder.forward(request, route)


class CrashingRequestTest(unittest.TestCase):
    """Guards against a request that ends one endpoint after the other."""

    def test_a_search_is_not_repeated_while_it_only_ends_endpoints(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            outcome = await nodes.ask(0, _crashing_request(), route)
            assert isinstance(outcome, forward.Refused)
            self.assertFalse(outcome.not_run)
            # One call for each shard, and no repeat.
            self.assertEqual(len(nodes.site.sent), SHARDS)
            # The caller returns through both nodes.
            for node in (0, 1):
                await trio.sleep(0.01)
                again = await nodes.ask(node, _crashing_request(), route)
                assert isinstance(again, forward.Refused)
                self.assertTrue(again.not_run)
            self.assertEqual(len(nodes.site.sent), SHARDS)

        builders.run_on_virtual_clock(test)

    def test_later_searches_are_tried_on_one_endpoint_first(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            await nodes.ask(0, _crashing_request(0), route)
            for number in range(1, 5):
                before = len(nodes.site.crashed)
                # Endpoints start again.
                for behaviour in nodes.site.behaviours.values():
                    behaviour.connects = True
                await trio.sleep(2)
                for node in (0, 1, 0):
                    await nodes.ask(node, _crashing_request(number), route)
                    await trio.sleep(0.05)
                ended = len(nodes.site.crashed) - before
                self.assertLess(ended, MAX_ENDED)
            # Other searches of the route are served as before.
            outcome = await nodes.ask(1, builders.caller_request(), route)
            assert isinstance(outcome, forward.SearchResult)
            self.assertGreaterEqual(len(outcome.signatures), 0.9 * SHARDS)

        builders.run_on_virtual_clock(test)

    def test_a_trial_ends_some_seconds_after_the_last_crash(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            await nodes.ask(0, _crashing_request(0), route)
            for behaviour in nodes.site.behaviours.values():
                behaviour.connects = True
                behaviour.delay_s = 0.03
            await trio.sleep(5)
            for wait_s, least_s in ((0, 0.06), (8, 0.03)):
                await trio.sleep(wait_s)
                started_s = trio.current_time()
                outcome = await nodes.ask(0, builders.caller_request(), route)
                assert isinstance(outcome, forward.SearchResult)
                self.assertAlmostEqual(
                    trio.current_time() - started_s, least_s, delta=0.005
                )

        builders.run_on_virtual_clock(test)

    def test_a_slow_first_endpoint_does_not_delay_the_search(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            await nodes.ask(0, _crashing_request(0), route)
            for behaviour in nodes.site.behaviours.values():
                behaviour.connects = True
            await trio.sleep(2)
            # The first call takes long, the others do not.
            sent = len(nodes.site.sent)
            nursery.start_soon(nodes.ask, 0, builders.caller_request(), route)
            for behaviour in nodes.site.behaviours.values():
                behaviour.delay_s = 1.0
            await trio.sleep(0.005)
            self.assertEqual(len(nodes.site.sent), sent + 1)
            for behaviour in nodes.site.behaviours.values():
                behaviour.delay_s = 0.01
            await trio.sleep(0.19)
            self.assertGreaterEqual(len(nodes.site.sent), sent + SHARDS)

        builders.run_on_virtual_clock(test)

    def test_a_single_request_ends_less_than_three_endpoints(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(max_attempts=2)
            site = builders.FakeSite()
            site.crashing_ids.add(CRASHING)
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry(f"e{i}") for i in range(6)],
                [route],
                site=site,
            )
            for _ in range(4):
                await fixture.forwarder.forward(_crashing_request(), route)
                await trio.sleep(0.1)
            self.assertLess(len(site.crashed), MAX_ENDED)

        builders.run_on_virtual_clock(test)

    def test_other_requests_of_an_ended_endpoint_are_repeated(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            results = []

            async def ask() -> None:
                results.append(
                    await nodes.ask(1, builders.caller_request(), route)
                )

            nodes.site.behaviour("x3").delay_s = 0.05
            nodes.site.behaviour("y3").delay_s = 0.05
            nursery.start_soon(ask)
            await trio.sleep(0.03)
            ended = [e for e, c, _ in nodes.site.sent if e.endswith("3")]
            nodes.site.crash(next(e for e in ended if e in ("x3", "y3")))
            await trio.sleep(0.3)
            (outcome,) = results
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)

        builders.run_on_virtual_clock(test)

    def test_silent_endpoints_of_the_own_zone_are_hedged_in_time(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            fixture = builders.ForwarderFixture(
                nursery,
                [
                    builders.endpoint_entry(
                        f"{zone}{i}", service=f"s{i}", availability_zone=zone
                    )
                    for i in range(SHARDS)
                    for zone in "ab"
                ],
                [route],
            )
            for i in range(SHARDS):
                fixture.site.behaviour(f"a{i}").reply = None
            outcome = await fixture.forwarder.forward(
                builders.caller_request(), route
            )
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)

        builders.run_on_virtual_clock(test)

    def test_closed_connections_of_a_live_endpoint_are_no_end(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = _route()
            nodes = _Nodes(nursery, [route])
            for behaviour in list(nodes.site.behaviours.values()):
                behaviour.delay_s = 0.03
            results = []

            async def ask() -> None:
                results.append(
                    await nodes.ask(0, builders.caller_request(), route)
                )

            nursery.start_soon(ask)
            await trio.sleep(0.005)
            for link in list(nodes.site.links):
                link.reset()
            await trio.sleep(0.5)
            (outcome,) = results
            assert isinstance(outcome, forward.SearchResult)
            again = await nodes.ask(1, builders.caller_request(), route)
            self.assertIsInstance(again, forward.SearchResult)

        builders.run_on_virtual_clock(test)

    def test_content_that_was_answered_is_not_refused(self) -> None:
        # All callers sent the same request, and two endpoints were stopped at
        # the same time. The request was refused for 30 s.
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(parts=(builders.split_part("s0"),))
            nodes = _Nodes(nursery, [route])
            nodes.site.behaviour("x0").delay_s = 0.05
            nodes.site.behaviour("y0").delay_s = 0.05
            first = await nodes.ask(0, builders.caller_request(), route)
            self.assertIsInstance(first, forward.SingleResult)

            async def ask() -> None:
                await nodes.ask(0, builders.caller_request(), route)

            for _ in range(4):
                nursery.start_soon(ask)
            await trio.sleep(0.02)
            for endpoint_id in ("x0", "y0"):
                nodes.site.crash(endpoint_id)
            await trio.sleep(0.5)
            self.assertFalse(
                nodes.fixtures[0].forwarder._context.suspects.is_blocked(
                    builders.caller_request()
                )
            )
            # After some time, endpoints that end count again.
            await trio.sleep(5)
            suspects = nodes.fixtures[0].forwarder._context.suspects
            suspects.report_ends(
                builders.caller_request(), route.name, {"x0@1", "y0@1"}
            )
            self.assertTrue(suspects.is_blocked(builders.caller_request()))

        builders.run_on_virtual_clock(test)


if __name__ == "__main__":
    unittest.main()
