"""Tests of which requests count as run, on a virtual clock."""

from collections.abc import Sequence
import random
import unittest

import trio

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import routing
from tests import builders_gateway as builders

_REJECTED = forward.Reply(forward.Outcome.REJECTED, "busy", 503)
_LOST = forward.Reply(forward.Outcome.LOST, "no valid answer")
_FAILED = forward.Reply(forward.Outcome.FAILED, "error", 500)


class _Recorder:
    """Remembers when the first call of each counted request was sent.

    Attributes:
        counted_s: Times of the requests by account; windows are positions.
        is_late: Requests can't be taken back any more.
    """

    def __init__(self) -> None:
        self.counted_s: list[tuple[str, float] | None] = []
        self.is_late = False

    def count(self, account: str, age_s: float) -> int:
        sent_s = round(trio.current_time() - age_s, 3)
        self.counted_s.append((account, sent_s))
        return len(self.counted_s) - 1

    def take_back(self, account: str, window: int) -> bool:
        if not self.is_late:
            self.counted_s[window] = None
        return not self.is_late

    def list_counted(self) -> list[tuple[str, float]]:
        return [entry for entry in self.counted_s if entry is not None]


class _Table:
    """Routes in force at one node."""

    stopping = False

    def __init__(self, table: routing.RouteTable) -> None:
        self.table: routing.RouteTable | None = table


def _build_fixture(
    nursery: trio.Nursery,
    entries: Sequence[discovery.EndpointEntry],
    route: routing.Route,
    recorder: _Recorder,
) -> builders.ForwarderFixture:
    """Returns a fixture whose forwarder counts requests."""
    fixture = builders.ForwarderFixture(nursery, entries, [route])
    fixture.forwarder = forward.Forwarder(
        fixture.pool,
        fixture.budget,
        builders.FakeDialect(),
        fixture.metrics,
        usage=recorder,
    )
    nursery.start_soon(fixture.forwarder.run)
    return fixture


class UsageCountTest(unittest.TestCase):
    """Guards against counts that differ from what endpoints ran."""

    def setUp(self) -> None:
        self.recorder = _Recorder()

    def _build(
        self, nursery: trio.Nursery, route: routing.Route, endpoints: int = 2
    ) -> builders.ForwarderFixture:
        services = route.shards or ("s1",)
        entries = [
            builders.endpoint_entry(f"{service}-{index}", service=service)
            for service in services
            for index in range(endpoints)
        ]
        return _build_fixture(nursery, entries, route, self.recorder)

    async def _forward(
        self,
        fixture: builders.ForwarderFixture,
        route: routing.Route,
        account: str = "acme",
    ) -> forward.ForwardResult:
        request = builders.caller_request(account=account, remaining_ms=5000.0)
        return await fixture.forwarder.forward(request, route)

    def test_a_search_counts_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.search_route([f"s{i}" for i in range(6)])
            fixture = self._build(nursery, route)
            await self._forward(fixture, route)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.0)])

        builders.run_on_virtual_clock(test)

    def test_a_request_without_an_account_does_not_count(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route()
            await self._forward(self._build(nursery, route), route, "")
            self.assertEqual(self.recorder.counted_s, [])

        builders.run_on_virtual_clock(test)

    def test_a_request_that_all_endpoints_reject_does_not_count(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            for route in (
                builders.route(),
                builders.search_route(["s1", "s2", "s3"]),
            ):
                fixture = self._build(nursery, route)
                for service in route.shards or ("s1",):
                    for index in range(2):
                        name = f"{service}-{index}"
                        fixture.site.behaviour(name).reply = _REJECTED
                await self._forward(fixture, route)
                self.assertGreater(len(fixture.site.sent), 1)
                self.assertEqual(self.recorder.counted_s, [])

        builders.run_on_virtual_clock(test)

    def test_a_request_that_failed_or_was_lost_counts(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            for reply in (_FAILED, _LOST):
                route = builders.route(idempotent=False)
                fixture = self._build(nursery, route)
                for index in range(2):
                    fixture.site.behaviour(f"s1-{index}").reply = reply
                await self._forward(fixture, route)
            self.assertEqual(len(self.recorder.list_counted()), 2)

        builders.run_on_virtual_clock(test)

    def test_the_window_is_that_of_the_first_accepted_call(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(idempotent=False, timeout_ms=4000.0)
            fixture = self._build(nursery, route, endpoints=1)
            behaviour = fixture.site.behaviour("s1-0")
            behaviour.delay_s, behaviour.reply = 0.5, _REJECTED
            nursery.start_soon(self._forward, fixture, route)
            await trio.sleep(0.51)
            behaviour.reply = builders.endpoint_reply()
            await trio.sleep(2)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.52)])

        builders.run_on_virtual_clock(test)

    def test_a_request_whose_caller_left_counts_if_it_was_sent(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route()
            fixture = self._build(nursery, route)
            for index in range(2):
                fixture.site.behaviour(f"s1-{index}").reply = None
            with trio.move_on_after(0.3):
                await self._forward(fixture, route)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.0)])

        builders.run_on_virtual_clock(test)

    def test_a_request_whose_caller_left_before_a_connection_was_open(
        self,
    ) -> None:
        # Its call is dropped, so no endpoint runs it.
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route()
            fixture = self._build(nursery, route)
            for index in range(2):
                fixture.site.behaviour(f"s1-{index}").connect_s = 1.0
            with trio.move_on_after(0.3):
                await self._forward(fixture, route)
            await trio.sleep(3)
            self.assertEqual(self.recorder.list_counted(), [])

        builders.run_on_virtual_clock(test)

    def test_a_rejection_after_the_caller_left_takes_the_request_back(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(idempotent=False)
            fixture = self._build(nursery, route)
            for index in range(2):
                behaviour = fixture.site.behaviour(f"s1-{index}")
                behaviour.delay_s, behaviour.reply = 0.4, _REJECTED
            with trio.move_on_after(0.3):
                await self._forward(fixture, route)
            self.assertEqual(len(self.recorder.list_counted()), 1)
            await trio.sleep(0.2)
            self.assertEqual(self.recorder.list_counted(), [])

        builders.run_on_virtual_clock(test)

    def test_an_unanswered_call_counts_after_a_second(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(idempotent=False, timeout_ms=4000.0)
            fixture = self._build(nursery, route)
            for index in range(2):
                fixture.site.behaviour(f"s1-{index}").delay_s = 3.0
            nursery.start_soon(self._forward, fixture, route)
            await trio.sleep(0.9)
            self.assertEqual(self.recorder.list_counted(), [])
            await trio.sleep(0.4)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.0)])
            await trio.sleep(4)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.0)])

        builders.run_on_virtual_clock(test)

    def _reject_after_counting(self) -> list[tuple[str, float]]:
        """Rejects a call 1.5 s after it was sent; returns what is counted."""
        counted: list[tuple[str, float]] = []

        async def test(nursery: trio.Nursery) -> None:
            route = builders.route(idempotent=False, timeout_ms=4000.0)
            fixture = self._build(nursery, route, endpoints=1)
            behaviour = fixture.site.behaviour("s1-0")
            behaviour.delay_s, behaviour.reply = 1.5, _REJECTED
            nursery.start_soon(self._forward, fixture, route)
            await trio.sleep(1.4)
            self.assertEqual(self.recorder.list_counted(), [("acme", 0.0)])
            await trio.sleep(0.2)
            counted.extend(self.recorder.list_counted())

        builders.run_on_virtual_clock(test)
        return counted

    def test_a_late_rejection_takes_an_unanswered_call_back(self) -> None:
        self.assertEqual(self._reject_after_counting(), [])

    def test_a_rejection_after_the_report_changes_nothing(self) -> None:
        self.recorder.is_late = True
        self.assertEqual(self._reject_after_counting(), [("acme", 0.0)])


class UsageDelegationTest(unittest.TestCase):
    """Guards against requests that count at two nodes, or at none."""

    def _search(self, *, rejected: bool) -> list[tuple[str, float]]:
        """Searches shards through another node; returns what was counted."""
        recorder = _Recorder()

        async def test(nursery: trio.Nursery) -> None:
            names = [f"s{i}" for i in range(4)]
            route = builders.search_route(names)
            entries = [
                builders.endpoint_entry(n, service=n, availability_zone="b")
                for n in names
            ]
            networks: dict[str, builders.FakeNetwork] = {}
            tables = _Table(builders.table([route]))
            local, remote = (
                _build_fixture(nursery, entries, route, recorder)
                for _ in range(2)
            )
            delegation = forward.Delegation(
                "n1",
                "a",
                local.pool,
                builders.DirectNetwork("n1", networks),
                random.Random(1),
            )
            delegation.set_nodes(builders.node_infos(n1="a", n2="b"))
            forward.PartsServer(
                builders.DirectNetwork("n2", networks),
                tables,
                remote.forwarder,
                tables,
            )
            if rejected:
                for fixture in (local, remote):
                    for name in names:
                        fixture.site.behaviour(name).reply = _REJECTED
            forwarder = forward.Forwarder(
                local.pool,
                local.budget,
                builders.FakeDialect(),
                local.metrics,
                delegation,
                usage=recorder,
            )
            await forwarder.forward(
                builders.caller_request(account="acme"), route
            )
            self.assertTrue(remote.site.sent)

        builders.run_on_virtual_clock(test)
        return recorder.list_counted()

    def test_a_search_through_another_node_counts_once(self) -> None:
        self.assertEqual(self._search(rejected=False), [("acme", 0.0)])

    def test_a_search_that_the_other_endpoints_reject_does_not_count(
        self,
    ) -> None:
        self.assertEqual(self._search(rejected=True), [])


if __name__ == "__main__":
    unittest.main()
