"""Tests of rollouts that are judged by all nodes of a site."""

import unittest

import trio
import trio.testing

from geraniumstair import verdict
from tests import builders_edge_rollouts as builders

GOING_ON = verdict.Progress.GOING_ON
DONE = verdict.Progress.DONE
TAKEN_BACK = verdict.Progress.TAKEN_BACK


def _run(test) -> None:
    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(builders.RolloutSite(nursery))
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


class RolloutsTest(unittest.TestCase):
    """Guards against bad versions that get much, and orders left open."""

    def test_a_good_version_is_done_in_time_and_has_little_before(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            before = site.all
            site.order()
            await trio.sleep(8)
            self.assertEqual(site.store.history, [GOING_ON])
            share = len(site.sent) / (site.all - before)
            self.assertGreater(len(site.sent), 0)
            self.assertLessEqual(share, builders.EXPOSURE_SHARE)
            await trio.sleep(4)
            self.assertEqual(site.store.history, [GOING_ON, DONE])
            sent = len(site.sent), site.all
            await trio.sleep(2)
            # All requests go to the new version from then on.
            self.assertEqual(len(site.sent) - sent[0], site.all - sent[1])

        _run(test)

    def _assert_taken_back(self, failing: float, slow: bool) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.failing = failing
            site.slow = slow
            await trio.sleep(5)
            site.order()
            await trio.sleep(12)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            # Long before the time is over.
            self.assertLess(site.sent[-1], 5 + 10)
            self.assertLess(len(site.sent), 50)

        _run(test)

    def test_a_failing_version_is_taken_back(self) -> None:
        self._assert_taken_back(0.5, False)

    def test_a_slow_version_is_taken_back(self) -> None:
        self._assert_taken_back(0.0, True)

    def test_two_of_three_judges_may_be_lost(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order()
            for name in site.judges()[:2]:
                site.networks[name].cut = True
                site.store.nodes.remove(site.nodes[name])
                site.nodes[name].withdraw_order(builders.SERVICE)
            await trio.sleep(12)
            self.assertEqual(site.store.history, [GOING_ON, DONE])

        _run(test)

    def test_time_that_ends_in_an_outage_takes_the_version_back(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order()
            await trio.sleep(4)
            site.store.down = True
            await trio.sleep(20)
            last_s = site.sent[-1]
            self.assertLess(last_s, 5 + 12)
            site.store.down = False
            await trio.sleep(5)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            self.assertEqual(site.sent[-1], last_s)

        _run(test)

    def test_a_version_gets_nothing_before_its_rollout_is_recorded(
        self,
    ) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.store.down = True
            site.order()
            await trio.sleep(20)
            self.assertEqual(site.sent, [])

        _run(test)

    def test_a_final_record_stays_and_a_later_order_starts_anew(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.failing = 0.5
            await trio.sleep(5)
            site.order()
            await trio.sleep(30)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            site.failing = 0.0
            site.order()
            await trio.sleep(12)
            self.assertEqual(
                site.store.history, [GOING_ON, TAKEN_BACK, GOING_ON, DONE]
            )

        _run(test)

    def test_a_version_that_is_done_is_not_stopped_by_failures(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order()
            await trio.sleep(13)
            site.failing = 0.9
            before = site.all
            await trio.sleep(5)
            self.assertEqual(site.store.history, [GOING_ON, DONE])
            self.assertGreater(site.all, before)
            gates = [
                n.versions.gate(builders.SERVICE) for n in site.nodes.values()
            ]
            self.assertTrue(all(g and g.allows("v2") for g in gates))
            # A later deployment of another version is not held back.
            await trio.sleep(15)
            gates = [
                n.versions.gate(builders.SERVICE) for n in site.nodes.values()
            ]
            self.assertEqual(set(gates), {None})

        _run(test)
