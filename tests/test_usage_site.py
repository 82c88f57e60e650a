"""Tests of the usage reports of several nodes, on a virtual clock.

Each test injects one failure and checks what the platform's API received.
"""

import json
import unittest

import trio

from geraniumstair import usage
from tests import builders_usage as builders

_FAILED = usage.ApiOutcome.FAILED
_THROTTLED = usage.ApiOutcome.THROTTLED


class UsageSiteTest(builders.UsageSiteTestCase):
    """Guards against reports that are wrong, late, doubled or out of order."""

    def test_each_window_is_reported_once_by_one_holder(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            await site.run_load(40)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 5)
        self.check_due(site, 0)
        calls = site.api.calls
        self.assertEqual(len({call.window for call in calls}), len(calls))
        self.assertEqual(len({call.token for call in calls}), 1)

    def test_without_accounts_nothing_is_sent(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.has_accounts = False
            await trio.sleep(30)

        site = builders.run_site(test)
        self.assertEqual(site.api.calls, [])
        self.assertEqual(site.messages, {})
        self.assertEqual(site.store.calls, 0)

    def test_few_messages_and_store_calls_on_a_large_site(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            await trio.sleep(10)
            site.messages.clear()
            site.store.calls = 0
            for number in range(25 * 20):
                node_id = f"n{number * 7 % 80}"
                site.count(node_id, f"t{number % 82}")
                await trio.sleep(0.04)

        site = builders.run_site(test, (0.0,) * 80)
        # 25 requests a second to two receivers; each node repeats a window
        # once.
        self.assertLess(site.messages["UsageTotals"] / 20, 85)
        # Three renewals in 3 s, and a record for each window.
        self.assertLess(site.store.calls / 20, 1.5)

    # ---- failures of the holder ----

    def test_a_holder_killed_before_the_record_loses_no_window(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 50)
            await builders.wait_for(lambda: len(site.api.calls) == 3)
            site.idle_nodes.add(site.find_holder().node_id)
            await trio.sleep(builders.WINDOW_S - 0.3)
            site.kill(site.find_holder().node_id)
            await trio.sleep(40)
            # The former holder has sent the window before.
            reports = site.find_holder().reports.dump()["reports"]
            self.assertEqual(
                [m["reason"] for m in reports["missed"]], ["not_repeated"]
            )

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 6)
        self.check_due(site, 0)
        self.assertEqual(len({call.node_id for call in site.api.calls}), 2)

    def test_a_holder_killed_before_the_call_is_repeated_unchanged(
        self,
    ) -> None:
        recorded = []

        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 50)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            known = site.store.find_record()
            await builders.wait_for(lambda: site.store.find_record() != known)
            recorded.append(site.store.find_record())
            site.kill(site.find_holder().node_id)
            self.assertEqual(len(site.api.calls), 2)
            await trio.sleep(25)

        site = builders.run_site(test)
        self.check_promises(site)
        self.assertEqual(
            site.api.reported()[recorded[0]["window"]], recorded[0]["counts"]
        )
        self.check_counts(site, 0, 4)

    def test_a_holder_killed_after_the_call_is_repeated_exactly(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 40)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            site.kill(site.find_holder().node_id)
            await trio.sleep(25)

        site = builders.run_site(test)
        self.check_promises(site)
        self.assertEqual(site.api.calls[1].window, site.api.calls[2].window)
        self.check_counts(site, 0, 4)

    def test_a_restarted_holder_waits_as_others_do(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            await builders.wait_for(lambda: site.api.calls)
            node_id = site.find_holder().node_id
            site.kill(node_id)
            await trio.sleep(0.3)
            site.start(node_id)
            await trio.sleep(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.assertGreater(len(site.api.calls), 4)

    def test_holders_that_stop_one_after_the_other_keep_the_order(self) -> None:
        # A, B and A again in a rolling restart of two nodes.
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 80)
            for _ in range(6):
                await trio.sleep(7)
                node = site.find_holder()
                node.stopping = True
                await trio.sleep(3)
                site.kill(node.node_id)
                await trio.sleep(1)
                site.start(node.node_id)
            await trio.sleep(20)

        site = builders.run_site(test, (0.0, 0.0))
        self.check_promises(site)
        self.assertGreater(len({call.token for call in site.api.calls}), 5)
        self.check_due(site, 0)

    def test_holders_that_give_up_after_each_call_keep_the_order(self) -> None:
        # A, B and A again as fast as the duty can move. The first report is
        # late, so the next one follows a second later.
        async def test(site: builders.UsageSite) -> None:
            site.api.outcomes = [_THROTTLED] * 4
            for _ in range(6):
                calls = len(site.api.calls)
                await builders.wait_for(
                    lambda calls=calls: len(site.api.calls) > calls
                )
                node = site.find_holder()
                node.stopping = True
                await trio.sleep(0.5)
                node.stopping = False

        site = builders.run_site(test, (0.0, 0.0))
        self.check_promises(site)
        holders = [call.node_id for call in site.api.calls]
        self.assertGreater(sum(h == "n0" for h in holders), 1)
        self.assertGreater(sum(h == "n1" for h in holders), 1)

    def test_a_frozen_holder_does_not_act_after_its_lease(self) -> None:
        # It is frozen between its decision and its call, and wakes while the
        # report is still due.
        frozen = []

        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 45)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            holder = site.find_holder()
            thawed = holder.api.thawed = trio.Event()
            known = site.store.find_record()
            await builders.wait_for(lambda: site.store.find_record() != known)
            await trio.sleep(0.05)
            holder.access.thawed = thawed
            site.store.unfollow(holder.mirror)
            frozen.append(holder.node_id)
            await trio.sleep(6.7)
            # Its successor has reported the window.
            self.assertGreater(len(site.api.calls), 2)
            thawed.set()
            await trio.sleep(0.2)
            site.store.follow(holder.mirror)
            await trio.sleep(20)

        site = builders.run_site(test)
        self.check_promises(site)
        after = site.api.calls[2:]
        self.assertNotIn(frozen[0], [call.node_id for call in after])

    # ---- failures of the API ----

    def test_an_api_that_fails_gets_the_same_report_again(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.api.outcomes = [_FAILED, _FAILED, _FAILED]
            await site.run_load(25)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 2)
        self.assertEqual([c.window for c in site.api.calls[:4]].count(
            site.api.calls[0].window), 4)  # fmt: skip

    def test_an_api_that_takes_no_more_calls_is_asked_later(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.api.outcomes = [_THROTTLED] * 3
            await site.run_load(25)
            self.assertEqual(site.api.outcomes, [])

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 2)
        # The first window is due at 8 s; three refusals take 3 s.
        self.assertGreaterEqual(site.api.calls[0].time_s, 11)

    def test_an_api_that_is_down_loses_windows_with_a_log_line(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 70)
            await builders.wait_for(lambda: len(site.api.calls) == 2)
            holder = site.find_holder()
            site.api.down = True
            await trio.sleep(25)
            site.api.down = False
            await trio.sleep(20)
            # Nothing else depends on the API.
            self.assertIs(site.find_holder(), holder)
            missed = holder.reports.dump()["reports"]["missed"]
            self.assertEqual({m["reason"] for m in missed}, {"not_confirmed"})
            self.assertGreater(missed[0]["requests"], 0)

        with self.assertLogs("geraniumstair.usage") as logs:
            site = builders.run_site(test)
        self.check_promises(site)
        self.assertIn("no confirmed report", "\n".join(logs.output))
        self.check_due(site, 0)

    def test_a_slow_api_holds_up_neither_lease_nor_counts(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.api.delay_s = 2.4
            await site.run_load(40)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 5)
        self.assertEqual(len({call.token for call in site.api.calls}), 1)

    # ---- messages ----

    def test_lost_totals_are_sent_again(self) -> None:
        # The last messages of each window are lost, so it needs the repeat.
        async def test(site: builders.UsageSite) -> None:
            def is_lost(message: object) -> bool:
                since_end_s = (trio.current_time() + 0.6) % builders.WINDOW_S
                return since_end_s < 1.2

            site.is_lost = is_lost
            await site.run_load(40)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 5)

    def test_repeated_totals_count_once(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.copies = 3
            await site.run_load(30)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 0, 3)

    def test_what_a_killed_node_has_sent_is_counted(self) -> None:
        # Its restarted process begins with zero, which replaces nothing.
        async def test(site: builders.UsageSite) -> None:
            await trio.sleep(6)
            holder = site.find_holder().node_id
            node_id = next(n for n in site.nodes if n != holder)
            site.count(node_id, "a", 7)
            await trio.sleep(1)
            site.kill(node_id)
            site.start(node_id)
            site.count(node_id, "a", 4)
            await trio.sleep(14)

        site = builders.run_site(test)
        self.check_promises(site)
        self.check_counts(site, 1, 1)

    # ---- clocks ----

    def test_wrong_and_jumping_clocks_do_not_move_the_windows(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            site.nursery.start_soon(site.run_load, 42)
            await trio.sleep(12)
            for error_s in (-4.0, 3.0, 0.0):
                site.nodes["n2"].clock_error_s = error_s
                await trio.sleep(10)

        site = builders.run_site(test, (2.0, 0.0, 0.0, -3.0, 0.1))
        self.check_promises(site)
        # Before the first messages, a node has its own clock only.
        self.check_counts(site, 1, 5)

    # ---- what operators see ----

    def test_the_dump_names_the_holder_and_the_newest_window(self) -> None:
        async def test(site: builders.UsageSite) -> None:
            await site.run_load(20)
            holder = site.find_holder()
            for node in site.nodes.values():
                dump = node.reports.dump()
                json.dumps(dump)
                self.assertEqual(dump["duty"]["holder"], holder.node_id)
                self.assertGreater(dump["duty"]["since_s"], 10)
                self.assertEqual(
                    dump["reports"]["recorded_window"],
                    site.api.calls[-1].window,
                )

        builders.run_site(test)


if __name__ == "__main__":
    unittest.main()
