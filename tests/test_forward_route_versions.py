"""Tests of searches that meet a change of the routes."""

import dataclasses
import random
from typing import Any
import unittest

import trio

from geraniumstair import forward
from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _forwarder
from tests import builders_delegation
from tests import builders_gateway as builders

_SHARDS = tuple(f"s{i}" for i in range(8))
_ALL_RECORDS = b"".join(b"%d" % i * 16 for i in range(7, -1, -1))
_RECORD_BYTES = 16
# Fields that have no effect on the calls of a group of shards.
_FIELDS_OF_THE_SENDER = {
    "host",
    "prefix",
    "parts",
    "shards",
    "min_coverage",
    "keyless",
}


def _wide_route(**changes: Any) -> routing.Route:
    return builders.search_route(_SHARDS, **({"top_k": 8} | changes))


def _narrow_route(**changes: Any) -> routing.Route:
    """Returns a route that matches a part of the wide route's paths."""
    fields = {"name": "r2", "prefix": "/p/x/", "top_k": 1} | changes
    return builders.search_route(_SHARDS, **fields)


def _request(path: str = "/p/x/1", **changes: Any) -> forward.CallerRequest:
    return builders.caller_request(path=path, target=path.encode(), **changes)


class _RecordingGatherer:
    """Records the routes by which shards are called, and refuses them."""

    def __init__(self) -> None:
        self.routes: list[routing.Route] = []

    async def gather(
        self, request: forward.CallerRequest, route: routing.Route, shards: Any
    ) -> Any:
        """Records a route."""
        self.routes.append(_forwarder._apply_priority(request, route))
        refusal = forward.Refused(
            forward.RefusalReason.NO_ENDPOINT, True, None, ""
        )
        return refusal, []


class DelegatedPartsTest(unittest.TestCase):
    """Guards against parts that follow other terms than the search's."""

    def test_a_newer_route_of_the_other_node_does_not_cut_the_records(
        self,
    ) -> None:
        # The other node merged its parts to the fewer records of a route that
        # had just been added, and the answer lacked greater records.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            site.remote_node.table = builders.table(
                [site.route, _narrow_route()], version=2
            )
            outcome = await site.forwarder.forward(_request(), site.route)
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(outcome.records, _ALL_RECORDS)
            self.assertEqual(len(site.remote.site.sent), 6)

        builders.run_on_virtual_clock(test)

    def test_a_node_with_earlier_routes_calls_the_shards_it_knows(self) -> None:
        # It declined each newer version, also one with the same shards, and was
        # not asked again for 1.5 s.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            narrow = _narrow_route(top_k=5)
            outcome = await site.forwarder.forward(_request(), narrow)
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.missing, 0)
            self.assertEqual(outcome.records, _ALL_RECORDS[: 5 * _RECORD_BYTES])
            self.assertEqual(len(site.remote.site.sent), 6)

        builders.run_on_virtual_clock(test)

    def test_the_other_node_takes_all_terms_from_the_search(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery, version=3)
            gatherer = _RecordingGatherer()
            network = builders.DirectNetwork("n2", site.networks)
            forward.PartsServer(
                network, site.remote_node, gatherer, site.remote_node
            )
            changed = _wide_route(
                top_k=1,
                max_attempts=1,
                timeout_ms=50.0,
                latency_goal_ms=10.0,
                priority=9,
                min_coverage=1.0,
            )
            site.remote_node.table = builders.table([changed], version=2)
            terms = {f.name for f in dataclasses.fields(routing.Route)}
            terms -= _FIELDS_OF_THE_SENDER
            for account_priority in (None, 0):
                request = _request(priority=account_priority)
                expected = _forwarder._apply_priority(request, site.route)
                await site.forwarder.forward(request, site.route)
                for term in sorted(terms):
                    with self.subTest(term, priority=account_priority):
                        self.assertEqual(
                            getattr(gatherer.routes[-1], term),
                            getattr(expected, term),
                        )

        builders.run_on_virtual_clock(test)

    def test_a_request_without_terms_is_declined(self) -> None:
        # Nodes of an earlier build send none. Without its terms, a part of the
        # search may be cut by another route.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            request = builders_delegation.parts_request(
                ["s2", "s3"], max_attempts=0
            )
            reply = await site.remote_network.handlers[messages.PartsRequest](
                "n1", request
            )
            self.assertTrue(reply.declined)
            self.assertFalse(reply.ran)
            self.assertEqual(site.remote.site.sent, [])

        builders.run_on_virtual_clock(test)

    def test_a_node_that_lacks_the_shards_is_asked_again_soon(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            site.remote_node.table = builders.table(
                [builders.search_route(["t0", "t1"])]
            )
            outcome = await site.search()
            assert isinstance(outcome, forward.SearchResult)
            self.assertEqual(outcome.records, _ALL_RECORDS)
            self.assertEqual(site.remote.site.sent, [])
            site.remote_node.table = builders.table([site.route], version=2)
            await trio.sleep(0.3)
            await site.search()
            self.assertEqual(len(site.remote.site.sent), 6)

        builders.run_on_virtual_clock(test)


class ChangedShardsTest(unittest.TestCase):
    """Guards against searches that fail because the routes have changed."""

    def test_a_plan_of_earlier_shards_is_not_used(self) -> None:
        # The plan of a route was kept by the route's name. A search of the next
        # version within 0.1 s ended with 502.
        async def test(nursery: trio.Nursery) -> None:
            site = builders_delegation.TwoNodeSite(nursery)
            await site.search()
            fewer = builders.search_route(_SHARDS[:5], top_k=8)
            for route in (fewer, site.route, fewer):
                site.remote_node.table = builders.table([route], version=2)
                outcome = await site.forwarder.forward(_request(), route)
                assert isinstance(outcome, forward.SearchResult)
                self.assertEqual(outcome.missing, 0)
                self.assertEqual(len(outcome.signatures), len(route.shards))

        builders.run_on_virtual_clock(test)


class ChangeStormTest(unittest.TestCase):
    """Guards against mixed, partial or failed answers during many changes."""

    def _draw_table(
        self, rng: random.Random, version: int
    ) -> routing.RouteTable:
        shards = _SHARDS[: rng.choice((5, 8, 8))]
        routes = [
            dataclasses.replace(
                _wide_route(top_k=rng.choice((3, 8))), shards=shards
            )
        ]
        if rng.random() < 0.5:
            narrow = _narrow_route(top_k=rng.choice((1, 5)))
            routes.append(dataclasses.replace(narrow, shards=shards))
        return builders.table(routes, version=version)

    def test_each_answer_follows_the_route_of_its_search(self) -> None:
        async def play(nursery: trio.Nursery, seed: int) -> None:
            rng = random.Random(seed)
            site = builders_delegation.TwoNodeSite(nursery)
            tables = [self._draw_table(rng, v) for v in range(1, 12)]
            for step in range(40):
                newest = step // 4
                local, remote = (
                    tables[max(0, newest - rng.choice((0, 0, 1, 2)))]
                    for _ in range(2)
                )
                site.remote_node.table = remote
                route = local.match("h.example", "/p/x/1")
                assert route is not None
                outcome = await site.forwarder.forward(_request(), route)
                assert isinstance(outcome, forward.SearchResult), outcome
                self.assertEqual(outcome.missing, 0)
                first = _RECORD_BYTES * (len(_SHARDS) - len(route.shards))
                wanted = _ALL_RECORDS[first:][: route.top_k * _RECORD_BYTES]
                self.assertEqual(outcome.records, wanted)
                await trio.sleep(rng.choice((0.0, 0.01, 0.06)))

        for seed in range(30):
            with self.subTest(seed=seed):

                async def test(nursery: trio.Nursery, seed: int = seed) -> None:
                    await play(nursery, seed)

                builders.run_on_virtual_clock(test)


class RequestInProgressTest(unittest.TestCase):
    """Guards against requests that fail when their services leave the routes.

    Their first calls are lost, so the repeats follow the change.
    """

    def _forward_during_change(self, route: routing.Route) -> Any:
        outcomes: list[forward.ForwardResult] = []

        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery,
                [
                    builders.endpoint_entry(f"{copy}-{name}", service=name)
                    for name in route.services
                    for copy in "xy"
                ],
                [route],
            )
            lost = forward.Reply(forward.Outcome.LOST, "lost")
            for name in route.services:
                for copy in "xy":
                    behaviour = fixture.site.behaviour(f"{copy}-{name}")
                    behaviour.delay_s = 0.05
                    behaviour.reply = builders.endpoint_reply(
                        name[-1:].encode() * _RECORD_BYTES, name.encode()
                    )

            async def search() -> None:
                outcomes.append(
                    await fixture.forwarder.forward(_request("/p/x"), route)
                )

            nursery.start_soon(search)
            await trio.sleep(0.02)
            for endpoint_id in fixture.site.sent_to():
                fixture.site.behaviour(endpoint_id).reply = lost
            other = builders.search_route(["t0"], top_k=1, max_attempts=1)
            fixture.pool.set_route_table(builders.table([other], version=2))
            await trio.sleep(1)
            calls = 2 * len(route.services)
            self.assertEqual(len(fixture.site.sent), calls)

        builders.run_on_virtual_clock(test)
        return outcomes[0]

    def test_a_search_keeps_its_shards_and_terms(self) -> None:
        outcome = self._forward_during_change(_wide_route())
        self.assertIsInstance(outcome, forward.SearchResult)
        self.assertEqual(outcome.missing, 0)
        self.assertEqual(outcome.records, _ALL_RECORDS)

    def test_a_request_to_one_endpoint_keeps_its_service(self) -> None:
        outcome = self._forward_during_change(builders.route())
        self.assertIsInstance(outcome, forward.SingleResult)
        self.assertEqual(outcome.reply.signature, b"s1")
