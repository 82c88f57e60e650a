"""Tests of the bound on the time until a revoked key stops working."""

import math
import time
import unittest
from unittest import mock

import trio
import trio.testing

from geraniumstair import accounts
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair.gateway import _key_revocation
from geraniumstair.mirror import _echoes
from tests import builders_accounts
from tests import builders_gateway
from tests import builders_key_freshness as builders

USABLE_S = accounts.RevocationLimits(
    True, builders_accounts.REVOKE_S
).usable_age_s


class FreshnessTest(unittest.TestCase):
    """Guards against times at which the mirror did not hold every change."""

    def test_only_a_whole_wait_without_changes_proves_its_end(self) -> None:
        for empty, answered_s, expected_s in (
            (True, 11.5, 11.5),
            (True, 11.4, 10.0),
            (False, 11.5, 10.0),
        ):
            now_s = answered_s
            freshness = mirror.Freshness(lambda: now_s)  # noqa: B023
            freshness.record_watch(10.0, 1.5, empty=empty)
            with self.subTest(empty=empty, answered_s=answered_s):
                self.assertEqual(freshness.fresh_s, expected_s)

    def test_an_echo_of_an_earlier_process_proves_nothing(self) -> None:
        first = _echoes.EchoTracker(lambda: 1.0)
        second = _echoes.EchoTracker(lambda: 2.0)
        echo = _echoes.Echo(first.start_round(), 0.1)
        second.start_round()
        self.assertEqual(first.prove_sent_s(echo), 1.0)
        self.assertIsNone(second.prove_sent_s(echo))

    def test_an_old_counter_proves_nothing(self) -> None:
        # A clock that is fast by 1% makes 0.1 s of ten.
        times_s = [0.0]
        tracker = _echoes.EchoTracker(lambda: times_s[-1])
        counter = tracker.start_round()
        for now_s, proven_s in ((9.9, 9.8), (10.1, None)):
            times_s.append(now_s)
            echo = _echoes.Echo(counter, now_s - 0.1)
            proven = tracker.prove_sent_s(echo)
            if proven_s is None:
                self.assertIsNone(proven)
            else:
                self.assertAlmostEqual(proven, proven_s)

    def test_a_claim_counts_once_this_mirror_holds_its_changes(self) -> None:
        sender, receiver = (
            mirror.FreshnessExchange(mirror.Freshness(clock, lambda: True))
            for clock in (lambda: 50.0, lambda: 100.0)
        )
        sender._freshness.record(mirror.FreshnessSource.WATCH, 48.0)
        receiver.start_round(frozenset("s"))
        (request,) = receiver.compose("s")
        sender.accept("r", 0, request, 0)
        sender.start_round(frozenset("r"))
        (notice,) = sender.compose("r")
        receiver.accept("s", 5, notice, 4)
        self.assertEqual(receiver._freshness.age_s, math.inf)
        receiver.settle(5)
        self.assertEqual(receiver._freshness.age_s, 2.0)

    def test_a_suspension_counts(self) -> None:
        with mock.patch.object(time, "clock_gettime", return_value=7.0) as read:
            revocation = _key_revocation.KeyRevocation(
                accounts.RevocationLimits(True, 5.0)
            )
            self.assertEqual(revocation.freshness.now_s(), 7.0)
        read.assert_called_with(time.CLOCK_BOOTTIME)


class KeyFreshnessTest(unittest.TestCase):
    """Guards against nodes that accept a revoked key, or refuse needlessly.

    The nodes check every 10 ms that they hold each configuration that was
    confirmed at the time up to which they claim to know it.
    """

    def test_calm_sites_never_refuse_and_hardly_ask(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 5)
            await trio.sleep(2)
            for _ in range(200):
                await trio.sleep(0.1)
                self.assertEqual(len(site.allowed), 5)
            self.assertEqual(site.store.calls["get"], 0)
            for version in range(2, 402):
                await trio.sleep(0.1)
                self.assertEqual(len(site.allowed), 5)
                if version % 20 == 0:
                    site.store.put_version(version)
            # An answer with changes proves no more than its call's start.
            # Without an offset of the next watches, the freshness would grow
            # old enough to read the store after each change.
            self.assertEqual(site.store.calls["get"], 0)

        builders_gateway.run_on_virtual_clock(test)

    def test_without_strict_revocation_notices_and_calls_are_as_before(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 3, accounts.RevocationLimits())
            await trio.sleep(5)
            site.store.down = True
            await trio.sleep(20)
            self.assertEqual(len(site.allowed), 3)
            self.assertEqual(site.store.calls["get"], 0)
            for node in site.nodes.values():
                self.assertEqual(node.network.last_sent.exchange, [])

        builders_gateway.run_on_virtual_clock(test)

    def test_an_outage_of_the_store_stops_keys_until_its_first_answer(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 20)
            await trio.sleep(10)
            site.store.down = True
            await trio.sleep(2)
            self.assertEqual(len(site.allowed), 20)
            await trio.sleep(USABLE_S - 2)
            self.assertEqual(site.allowed, [])
            site.store.calls.clear()
            await trio.sleep(60)
            # Each of 20 nodes waits about 5 s between its calls.
            self.assertLess(site.store.calls["get"], 20 * 60 / 4)
            site.store.down = False
            await trio.sleep(3)
            self.assertEqual(len(site.allowed), 20)

        builders_gateway.run_on_virtual_clock(test)

    def test_data_that_was_held_up_renews_nothing(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 5)
            await trio.sleep(10)
            node = site.cut_off("n0")
            await trio.sleep(2)
            self.assertTrue(node.allowed)
            # The peers send nothing more, and what they sent is on its way.
            sent_s = trio.current_time()
            node.network.cut = True
            site.store.put_version(2)
            await trio.sleep(USABLE_S)
            self.assertFalse(node.allowed)
            site.links.release()
            await trio.testing.wait_all_tasks_blocked()
            self.assertLess(node.revocation.freshness.fresh_s, sent_s)
            self.assertFalse(node.allowed)
            node.network.cut = False
            await trio.sleep(1.2)
            self.assertEqual(len(site.allowed), 5)

        builders_gateway.run_on_virtual_clock(test)

    def test_a_node_that_was_frozen_refuses_until_an_exchange(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 5)
            await trio.sleep(10)
            # Its messages wait as they do for a stopped process, until its
            # peers close the streams, and its clock goes on.
            node = site.cut_off("n0")
            node.store.refusing = True
            await trio.sleep(2)
            node.network.cut = True
            await trio.sleep(10)
            site.store.put_version(2)
            self.assertFalse(node.allowed)
            site.reconnect()
            await trio.testing.wait_all_tasks_blocked()
            self.assertFalse(node.allowed)
            node.network.cut = False
            await trio.sleep(1.2)
            self.assertTrue(node.allowed)

        builders_gateway.run_on_virtual_clock(test)

    def test_a_node_without_peers_asks_the_store(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 12)
            await trio.sleep(10)
            node = site.nodes["n0"]
            site.links.hold("n0", site.nodes.keys() - {"n0"})
            node.store.refuses_watches = True
            site.store.calls.clear()
            for _ in range(300):
                await trio.sleep(0.1)
                self.assertTrue(node.allowed)
            # One call in about 3 s.
            self.assertGreaterEqual(site.store.calls["get"], 6)
            self.assertLessEqual(site.store.calls["get"], 15)
            # An answer that was held up says nothing of the time since.
            calls = site.store.calls["get"]
            while site.store.calls["get"] == calls:
                await trio.sleep(0.001)
            node.store.held = True
            await trio.sleep(0.1)
            site.store.put_version(2)
            await trio.sleep(1.0)
            node.store.release()
            await trio.sleep(0.05)
            self.assertGreater(node.revocation.freshness.age_s, 1.0)
            # A newer version stops keys until its changes can be read.
            await trio.sleep(USABLE_S)
            self.assertFalse(node.allowed)
            node.store.refuses_watches = False
            await trio.sleep(6)
            self.assertTrue(node.allowed)
            item = node.mirror.get(builders.CONFIGURATION_KEY)
            self.assertEqual(item.value, b"2")

        builders_gateway.run_on_virtual_clock(test)

    def test_a_refused_node_relies_on_its_peers(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site = builders.Site(nursery, 5)
            await trio.sleep(10)
            site.nodes["n0"].store.refusing = True
            for version in range(2, 40):
                await trio.sleep(0.5)
                self.assertTrue(site.nodes["n0"].allowed)
                site.store.put_version(version)

        builders_gateway.run_on_virtual_clock(test)


class RestoredConfigurationTest(unittest.TestCase):
    """Guards against a restored store that brings a revoked key back."""

    def test_the_newer_version_stays_in_force(self) -> None:
        for_versions = {7: ["old"], 8: ["new"]}
        state = builders_accounts.desired_state()
        for version, generation in ((7, 1), (8, 1), (7, 2)):
            state.apply(
                [
                    builders_accounts.configuration_item(
                        version, generation, a=for_versions[version]
                    )
                ]
            )
        assert isinstance(state, gateway.DesiredState)
        self.assertIsNone(state.table.accounts.find_by_key(b"old"))
        self.assertIsNotNone(state.table.accounts.find_by_key(b"new"))


if __name__ == "__main__":
    unittest.main()
