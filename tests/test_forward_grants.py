"""Checks requests that nodes give up to each other within a stated limit."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Any
import unittest

import trio

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair._generated import messages
from tests import builders_gateway as builders

NODE_COUNT = 20
LIMIT_PER_S = 2.0
# What callers may wait for a refusal: a quarter of the latency goal.
REFUSED_WITHIN_S = 0.25 * 0.2


def _limited_reply(limit_per_s: float) -> forward.Reply:
    return dataclasses.replace(
        builders.endpoint_reply(signature=b""), rate_limit_per_s=limit_per_s
    )


class _SilentNetwork(builders.FakeNetwork):
    """A network whose peers seem responsive and never reply."""

    async def call(self, node_id: str, request: Any, timeout_ms: float) -> Any:
        await trio.sleep_forever()


class _SlowNetwork(builders.FakeNetwork):
    """A network whose calls take 20 ms."""

    async def call(self, node_id: str, request: Any, timeout_ms: float) -> Any:
        await trio.sleep(0.02)
        return await super().call(node_id, request, timeout_ms)


class _Site:
    """Nodes in front of endpoint x, the only one of service s1.

    Args:
        nursery: Runs the nodes.
        network_type: Network between the nodes.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        network_type: type[builders.FakeNetwork] = builders.FakeNetwork,
    ) -> None:
        self.nursery = nursery
        self.route = builders.route(idempotent=False, max_attempts=1)
        self.endpoints = builders.FakeSite()
        self.set_limit(LIMIT_PER_S)
        self.results: list[tuple[forward.ForwardResult, float]] = []
        self.networks: dict[str, builders.FakeNetwork] = {}
        names = [f"n{i}" for i in range(NODE_COUNT)]
        self.nodes = {
            name: builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("x")],
                [self.route],
                members=names,
                node_id=name,
                site=self.endpoints,
                network=network_type(name, self.networks),
            )
            for name in names
        }

    def set_limit(self, limit_per_s: float | None) -> None:
        """Sets what the endpoint states in its answers."""
        self.endpoints.behaviour("x").reply = (
            builders.endpoint_reply(signature=b"")
            if limit_per_s is None
            else _limited_reply(limit_per_s)
        )

    async def send(self, name: str) -> None:
        """Sends one request to a node and records its result."""
        started_s = trio.current_time()
        outcome = await self.nodes[name].forwarder.forward(
            builders.caller_request(), self.route
        )
        self.results.append((outcome, trio.current_time() - started_s))

    async def tell_all(self) -> None:
        """Lets each node get an answer that states the limit."""
        for name in self.nodes:
            await self.send(name)
            await trio.sleep(1)

    async def run(self, per_s: float, duration_s: float) -> None:
        """Sends requests to random nodes."""
        rng = random.Random(5)
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            name = rng.choice(list(self.nodes))
            self.nursery.start_soon(self.send, name)

    def served(self) -> Sequence[forward.ForwardResult]:
        """Returns the results that are answers."""
        return [
            r for r, _ in self.results if isinstance(r, forward.SingleResult)
        ]


class LimitGrantsTest(unittest.TestCase):
    """Guards against refusals while a limit has room, and against an excess."""

    def test_callers_of_all_nodes_use_most_of_a_limit(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.tell_all()
            site.results.clear()
            site.endpoints.sent.clear()
            await site.run(5 * LIMIT_PER_S, 60.0)
            self.assertGreaterEqual(len(site.served()), 0.7 * 60 * LIMIT_PER_S)
            sent_s = sorted(call.sent_s for _, call, _ in site.endpoints.sent)
            for first_s in sent_s:
                window = [t for t in sent_s if first_s <= t < first_s + 4]
                self.assertLessEqual(len(window), 1.5 * 4 * LIMIT_PER_S + 5)
            # Each request is sent once at most.
            self.assertEqual(len(sent_s), len(site.served()))

        builders.run_on_virtual_clock(test)

    def test_the_end_of_a_limit_reaches_nodes_without_a_part(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.tell_all()
            site.set_limit(None)
            await site.run(10.0, 10.0)
            site.results.clear()
            await site.run(10.0, 10.0)
            self.assertEqual(len(site.served()), len(site.results))

        builders.run_on_virtual_clock(test)

    def test_nodes_that_do_not_reply_delay_a_refusal_only_shortly(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, _SilentNetwork)
            await site.tell_all()
            site.results.clear()
            await site.run(20.0, 5.0)
            refused = [
                (r, took_s)
                for r, took_s in site.results
                if isinstance(r, forward.Refused)
            ]
            self.assertTrue(refused)
            for refusal, took_s in refused:
                self.assertTrue(refusal.not_run)
                self.assertLessEqual(took_s, REFUSED_WITHIN_S + 1e-6)

        builders.run_on_virtual_clock(test)

    def test_an_endpoint_that_drains_meanwhile_gets_no_request(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery, _SlowNetwork)
            await site.tell_all()
            await trio.sleep(10)
            site.endpoints.sent.clear()
            site.results.clear()
            asking = [
                name
                for name, fixture in site.nodes.items()
                if fixture.pool.is_at_stated_limit("s1")
            ]
            for name in asking:
                nursery.start_soon(site.send, name)
            await trio.sleep(0.01)
            entry = builders.endpoint_entry(
                "x", state=discovery.EndpointState.DRAINING
            )
            for fixture in site.nodes.values():
                fixture.registry.put(entry)
                fixture.pool.apply_registry_changes()
            await trio.sleep(5)
            self.assertEqual(site.endpoints.sent, [])
            self.assertEqual(len(site.results), len(asking))
            for refusal, took_s in site.results:
                self.assertIsInstance(refusal, forward.Refused)
                self.assertLessEqual(took_s, REFUSED_WITHIN_S + 1e-6)

        builders.run_on_virtual_clock(test)

    def test_a_node_that_is_cut_off_keeps_to_its_part(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.tell_all()
            for network in site.networks.values():
                network.cut = True
            site.endpoints.sent.clear()
            await site.run(50.0, 30.0)
            self.assertLessEqual(
                len(site.endpoints.sent), 1.5 * 30 * LIMIT_PER_S + 5
            )

        builders.run_on_virtual_clock(test)

    def test_an_older_report_changes_nothing(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            await site.send("n1")
            replica = site.nodes["n1"].pool.find_replica("x")
            assert replica is not None
            await trio.sleep(3)
            handlers = site.networks["n1"].handlers
            for age_ms, expected_per_s in ((4000, LIMIT_PER_S), (1000, 7.0)):
                report = messages.LimitReport(
                    endpoint="x", limit_per_s=7.0, age_ms=age_ms
                )
                await handlers[messages.LimitReport]("n2", report)
                self.assertEqual(replica.rate_limit_per_s, expected_per_s)

        builders.run_on_virtual_clock(test)

    def test_an_unknown_endpoint_is_not_granted(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = _Site(nursery)
            report = messages.LimitReport(
                endpoint="gone", limit_per_s=7.0, age_ms=0.0
            )
            handler = site.networks["n1"].handlers[messages.GrantRequest]
            reply = await handler("n2", messages.GrantRequest(report=report))
            self.assertFalse(reply.granted)
            self.assertGreater(reply.wait_ms, 0)

        builders.run_on_virtual_clock(test)
