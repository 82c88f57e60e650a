"""Tests of usage reports with failures of links and the store.

Each test injects one failure and checks what the platform's API received.
"""

import itertools
import unittest

import trio

from geraniumstair import store
from geraniumstair import usage
from tests import builders_usage as builders

_FAILED = usage.ApiOutcome.FAILED


class UsageStoreTest(builders.UsageSiteTestCase):
    """Guards against two acting holders, and reports that are lost."""

    def test_a_holder_cut_off_from_the_store_stops_by_its_own_clock(
        self,
    ) -> None:
        cut = []

        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 40)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            holder = site.find_holder()
            holder.access.cut = True
            site.store.unfollow(holder.mirror)
            cut.append((holder.node_id, trio.current_time()))
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 5)
        node_id, at_s = cut[0]
        late = [c for c in site.api.calls if c.time_s > at_s + builders.LEASE_S]
        self.assertTrue(late)
        self.assertNotIn(node_id, [call.node_id for call in late])

    def test_a_holder_cut_off_from_other_nodes_gives_the_duty_up(self) -> None:
        # Its own counts are a third of the truth.
        cut = []

        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 40)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            holder = site.find_holder()
            # It gets no requests, because its counts reach nobody.
            site.idle_nodes.add(holder.node_id)
            await trio.sleep(1.2)
            holder.network.cut = True
            cut.append((holder.node_id, trio.current_time()))
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 5)
        node_id, at_s = cut[0]
        late = [c.node_id for c in site.api.calls if c.time_s > at_s]
        self.assertTrue(late)
        self.assertNotIn(node_id, late)

    def test_a_holder_that_repeats_a_report_stops_with_its_lease(self) -> None:
        # The record exists, so only the lease ends the repeats.
        cut = []

        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 40)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            site.api.outcomes = [_FAILED] * 40
            await builders.wait_for(lambda: len(site.api.calls) == 3)
            holder = site.find_holder()
            holder.access.cut = True
            site.store.unfollow(holder.mirror)
            cut.append((holder.node_id, trio.current_time()))
            await trio.sleep(12)

        site = builders.run_site(test)
        self.check_promises(site)
        node_id, at_s = cut[0]
        late = [c for c in site.api.calls if c.time_s > at_s + builders.LEASE_S]
        self.assertTrue(late)
        self.assertNotIn(node_id, [call.node_id for call in late])

    def test_without_the_store_nothing_is_sent_and_gaps_are_logged(
        self,
    ) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 60)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            site.store.down = True
            await trio.sleep(1)
            sent = len(site.api.calls)
            calls = site.store.calls
            await trio.sleep(25)
            self.assertEqual(len(site.api.calls), sent)
            self.assertLess(site.store.calls - calls, 200)
            site.store.down = False
            await trio.sleep(20)

        with self.assertLogs("geraniumstair.usage") as logs:
            site = builders.run_site(test)
        self.check_promises(site)
        self.assertIn("no confirmed report", "\n".join(logs.output))
        # The last windows are reported again.
        self.assertGreater(len(site.api.calls), 4)

    def test_a_record_with_unknown_result_is_repeated_unchanged(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 40)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            access = site.find_holder().access
            lost = iter(["lost"])
            access.commit_fault = lambda transaction: next(lost, "")
            await trio.sleep(20)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 4)
        self.assertEqual(len({call.token for call in site.api.calls}), 1)

    def test_a_store_that_loses_answers_makes_no_report_late(self) -> None:
        # The mirror shows the record, and every second renewal is confirmed.
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 50)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            access = site.find_holder().access
            access.commit_fault = lambda transaction: "lost"
            lost = itertools.cycle([True, False])
            access.loses_renewal = lambda: next(lost)
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 6)
        self.assertEqual(len({call.token for call in site.api.calls}), 1)
        for call in site.api.calls:
            end_s = builders.windows().end_s(call.window)
            self.assertLess(builders.START_S + call.time_s - end_s, 5.0)

    def test_a_record_that_is_written_late_changes_no_report(self) -> None:
        # The store executes the transaction 4 s after the call timed out.
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 50)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            access = site.find_holder().access
            late = iter([4.0])
            access.commit_fault = lambda transaction: next(late, "")
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 6)

    def test_a_late_record_of_a_killed_holder_has_no_effect(self) -> None:
        # Its condition, the creation of the holder's key, fails by then.
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 50)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            holder = site.find_holder()
            sent: list[store.Transaction] = []

            def delay(transaction: store.Transaction) -> float:
                sent.append(transaction)
                return 9.0

            holder.access.commit_fault = delay
            await builders.wait_for(lambda: sent)
            site.kill(holder.node_id)
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 6)

    def test_a_key_whose_creation_has_an_unknown_result(self) -> None:
        # The node must find out that it holds the duty; no other would act.
        async def test(site: builders.UsageSite) -> None:
            lost = iter(["lost"])
            for node in site.nodes.values():
                node.access.commit_fault = lambda transaction: next(lost, "")
            await site.run_load(20)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 1)

    def test_a_key_that_is_created_late_has_no_holder(self) -> None:
        # The lease was ended, so the late creation fails.
        async def test(site: builders.UsageSite) -> None:
            late = iter([2.0])
            for node in site.nodes.values():
                node.access.commit_fault = lambda transaction: next(late, "")
            await site.run_load(25)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 1, 2)

    def test_a_restored_store_without_the_last_records(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 70)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            copy = site.store.copy()
            await builders.wait_for(lambda: len(site.api.calls) == 4)
            site.store.restore(copy)
            await trio.sleep(40)
            # The newest record is in the store again.
            record = site.store.find_record()
            self.assertEqual(record["window"], site.api.calls[-1].window)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 9)
        self.assertGreater(len(site.api.calls), 8)

    def test_a_holder_that_started_after_the_restore(self) -> None:
        # It knows the restored record only; the other nodes know the newer one.
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 70)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            copy = site.store.copy()
            await builders.wait_for(lambda: len(site.api.calls) == 4)
            site.store.restore(copy)
            node_id = next(
                n for n in site.nodes if n != site.api.calls[3].node_id
            )
            site.kill(node_id)
            for node in site.nodes.values():
                node.stopping = True
            fresh = site.start(node_id)
            await builders.wait_for(lambda: len(site.api.calls) > 4)
            self.assertEqual(site.find_holder(), fresh)
            await trio.sleep(10)

        site = builders.run_site(test)
        self.check_promises(site)

    def test_a_restored_store_without_any_key(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            copy = site.store.copy()
            site.nursery.start_soon(site.run_load, 70)
            await builders.wait_for(lambda: len(site.api.calls) == 3)
            site.store.restore(copy)
            await trio.sleep(40)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 8)


if __name__ == "__main__":
    unittest.main()
