"""Tests of rollouts across all nodes of a site."""

import unittest

import trio
import trio.testing

from geraniumstair import canary
from tests import builders_gateway_rollouts as builders

GOING_ON = canary.Progress.GOING_ON
DONE = canary.Progress.DONE
TAKEN_BACK = canary.Progress.TAKEN_BACK


def _run(test) -> None:
    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(builders.RolloutSite(nursery))
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


class RolloutsTest(unittest.TestCase):
    """Guards against bad versions with many requests, and open orders."""

    def test_a_good_version_completes_in_time_within_its_exposure_share(
        self,
    ) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            count_before = site.request_count
            site.order_rollout()
            await trio.sleep(8)
            self.assertEqual(site.store.history, [GOING_ON])
            share = len(site.new_version_sent_s) / (
                site.request_count - count_before
            )
            self.assertGreater(len(site.new_version_sent_s), 0)
            self.assertLessEqual(share, builders.EXPOSURE_SHARE)
            await trio.sleep(4)
            self.assertEqual(site.store.history, [GOING_ON, DONE])
            sent = len(site.new_version_sent_s), site.request_count
            await trio.sleep(2)
            # From then on, all requests go to the new version.
            self.assertEqual(
                len(site.new_version_sent_s) - sent[0],
                site.request_count - sent[1],
            )

        _run(test)

    def _assert_rolled_back(self, failure_share: float, slow: bool) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.failure_share = failure_share
            site.slow = slow
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(12)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            # The version stops well before the ordered time ends.
            self.assertLess(site.new_version_sent_s[-1], 5 + 10)
            self.assertLess(len(site.new_version_sent_s), 50)

        _run(test)

    def test_a_failing_version_is_rolled_back(self) -> None:
        self._assert_rolled_back(0.5, False)

    def test_a_slow_version_is_rolled_back(self) -> None:
        self._assert_rolled_back(0.0, True)

    def test_a_rollout_completes_without_two_of_three_judges(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order_rollout()
            for name in site.judges()[:2]:
                site.networks[name].cut = True
                site.store.nodes.remove(site.nodes[name])
                site.nodes[name].remove_order(builders.SERVICE)
            await trio.sleep(12)
            self.assertEqual(site.store.history, [GOING_ON, DONE])

        _run(test)

    def test_a_deadline_during_a_store_outage_rolls_the_version_back(
        self,
    ) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(4)
            site.store.down = True
            await trio.sleep(20)
            last_s = site.new_version_sent_s[-1]
            self.assertLess(last_s, 5 + 12)
            site.store.down = False
            await trio.sleep(5)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            self.assertEqual(site.new_version_sent_s[-1], last_s)

        _run(test)

    def test_a_version_gets_no_requests_before_its_rollout_is_recorded(
        self,
    ) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.store.down = True
            site.order_rollout()
            await trio.sleep(20)
            self.assertEqual(site.new_version_sent_s, [])

        _run(test)

    def test_a_final_record_stays_and_a_later_order_starts_again(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            site.failure_share = 0.5
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(30)
            self.assertEqual(site.store.history, [GOING_ON, TAKEN_BACK])
            site.failure_share = 0.0
            site.order_rollout()
            await trio.sleep(12)
            self.assertEqual(
                site.store.history, [GOING_ON, TAKEN_BACK, GOING_ON, DONE]
            )

        _run(test)

    def test_a_record_that_a_restore_lost_is_written_again(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(12)
            self.assertEqual(site.store.history, [GOING_ON, DONE])
            site.store.restore()
            await trio.sleep(4)
            self.assertEqual(site.store.history, [GOING_ON, DONE, DONE])

        _run(test)

    def test_an_order_that_is_written_again_does_not_start_again(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(6)
            site.store.restore()
            site.order_rollout()
            await trio.sleep(6)
            self.assertEqual(site.store.history, [GOING_ON, GOING_ON, DONE])
            sent = len(site.new_version_sent_s), site.request_count
            await trio.sleep(2)
            self.assertEqual(
                len(site.new_version_sent_s) - sent[0],
                site.request_count - sent[1],
            )

        _run(test)

    def test_failures_after_the_end_do_not_stop_a_version(self) -> None:
        async def test(site: builders.RolloutSite) -> None:
            await trio.sleep(5)
            site.order_rollout()
            await trio.sleep(13)
            site.failure_share = 0.9
            count_before = site.request_count
            await trio.sleep(5)
            self.assertEqual(site.store.history, [GOING_ON, DONE])
            self.assertGreater(site.request_count, count_before)
            gates = [
                n.versions.find_gate(builders.SERVICE)
                for n in site.nodes.values()
            ]
            self.assertTrue(all(g and g.allows("v2") for g in gates))
            # Later, no version is limited, so another one may be deployed.
            await trio.sleep(15)
            gates = [
                n.versions.find_gate(builders.SERVICE)
                for n in site.nodes.values()
            ]
            self.assertEqual(set(gates), {None})

        _run(test)
