"""Tests of the decisions of usage reports, without a network."""

import unittest

from geraniumstair import usage
from geraniumstair._generated import messages

_WINDOWS = usage.Windows(5.0, 10.0)
_DAY_S = 1_767_225_600.0


class _Clocks:
    """A boot clock and a time of day that a test sets.

    Attributes:
        now_s: Time on the boot clock.
        error_s: Error of the time of day.
    """

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.error_s = 0.0

    def boot(self) -> float:
        """Returns the time on the boot clock."""
        return self.now_s

    def wall(self) -> float:
        """Returns the time of day."""
        return self.true_s() + self.error_s

    def true_s(self) -> float:
        """Returns the true time."""
        return _DAY_S + self.now_s


class WindowsTest(unittest.TestCase):
    """Guards against windows that differ from the platform's."""

    def test_windows_are_numbered_from_1970(self) -> None:
        self.assertEqual(_WINDOWS.find_window(_DAY_S), 353445120)
        self.assertEqual(_WINDOWS.find_window(_DAY_S + 4.99), 353445120)
        self.assertEqual(_WINDOWS.end_s(353445120), _DAY_S + 5)

    def test_a_report_is_sent_before_it_is_due_and_not_after(self) -> None:
        self.assertEqual(_WINDOWS.report_s(0), 8.0)
        self.assertEqual(_WINDOWS.drop_s(0), 15.0)
        self.assertEqual(_WINDOWS.oldest_reportable(14.9), 0)
        self.assertEqual(_WINDOWS.oldest_reportable(15.0), 1)
        # A site with a short delay has less time for the counts.
        self.assertEqual(usage.Windows(5.0, 4.0).report_s(0), 6.6)


class SiteClockTest(unittest.TestCase):
    """Guards against windows that differ between nodes."""

    def setUp(self) -> None:
        self.clocks = _Clocks()
        self.clock = usage.SiteClock(self.clocks.boot, self.clocks.wall)

    def _record(self, *errors_s: float) -> None:
        for index, error_s in enumerate(errors_s):
            self.clock.record(f"n{index}", self.clocks.true_s() + error_s)

    def _error_s(self) -> float:
        return self.clock.now_s() - self.clocks.true_s()

    def _pass_time(self, duration_s: float) -> None:
        for _ in range(round(2 * duration_s)):
            self.clocks.now_s += 0.5
            self.clock.tick()

    def test_fewer_than_half_of_the_clocks_do_not_move_the_time(self) -> None:
        self._record(5.0, 0.0, -7.0, 0.0)
        self.assertAlmostEqual(self._error_s(), 0.0)

    def test_the_own_clock_may_jump(self) -> None:
        self._record(0.0, 0.0)
        self.clocks.error_s = 4.0
        self.assertAlmostEqual(self._error_s(), 0.0)

    def test_a_message_that_was_held_up_does_not_move_the_time(self) -> None:
        self._record(0.0, 0.0)
        self.clocks.error_s = 1.0
        self._pass_time(5)
        # Both were under way for 3 s.
        self._record(-3.0, -3.0)
        self.assertAlmostEqual(self._error_s(), 0.0)

    def test_messages_that_waited_for_a_paused_process_are_not_used(
        self,
    ) -> None:
        self.clocks.now_s += 6.0
        self._record(-5.0, -5.0, -5.0)
        self.clock.tick()
        self._record(-5.0, -5.0, -5.0)
        self.assertAlmostEqual(self._error_s(), 0.0)
        self._pass_time(2)
        self.clocks.error_s = 2.0
        self._record(0.0, 0.0, 0.0)
        self.assertAlmostEqual(self._error_s(), 0.0)

    def test_neighbours_that_fell_silent_are_forgotten(self) -> None:
        self._record(5.0, 5.0)
        self._pass_time(21)
        self.assertAlmostEqual(self._error_s(), 0.0)

    def test_the_first_message_of_a_neighbour_is_recognized(self) -> None:
        self.assertTrue(self.clock.record("a", 0.0))
        self.assertFalse(self.clock.record("a", 0.0))


class UsageCounterTest(unittest.TestCase):
    """Guards against requests in the wrong window, and changed reports."""

    def setUp(self) -> None:
        self.clocks = _Clocks()
        self.counter = usage.UsageCounter(_WINDOWS, self.clocks.true_s)

    def test_a_request_counts_where_its_first_call_was_sent(self) -> None:
        window = self.counter.count("a", 1.0)
        self.assertEqual(window, _WINDOWS.find_window(_DAY_S + 999))
        self.assertEqual(dict(self.counter.get_counts(window)), {"a": 1})

    def test_a_request_is_taken_back_until_the_report(self) -> None:
        window = self.counter.count("a", 0.0)
        other = self.counter.count("a", 0.0)
        self.assertEqual(window, other)
        self.assertTrue(self.counter.take_back("a", window))
        self.clocks.now_s += 8.1
        self.assertFalse(self.counter.take_back("a", window))
        self.assertEqual(dict(self.counter.get_counts(window)), {"a": 1})

    def test_old_windows_are_forgotten(self) -> None:
        self.counter.count("a", 0.0)
        self.clocks.now_s += 30
        self.assertEqual(dict(self.counter.list_versions()), {})


class SiteTotalsTest(unittest.TestCase):
    """Guards against counts that are lost, doubled or outdated."""

    def setUp(self) -> None:
        self.totals = usage.SiteTotals(_WINDOWS)

    def _apply(
        self, sequence: int, count: int, process_id: int = 1, window: int = 3
    ) -> None:
        self.totals.apply(
            usage.NodeTotals("n", process_id, sequence, window, {"a": count}),
            17.0,
        )

    def test_late_and_repeated_messages_change_nothing(self) -> None:
        for sequence, count in ((1, 5), (3, 9), (2, 7), (3, 9)):
            self._apply(sequence, count)
        self.assertEqual(self.totals.sum_counts(3), {"a": 9})

    def test_a_restarted_process_adds_to_the_earlier_one(self) -> None:
        self._apply(9, 5)
        self._apply(1, 2, process_id=2)
        self.assertEqual(self.totals.sum_counts(3), {"a": 7})
        self.assertEqual(self.totals.count_nodes(3), 1)

    def test_accounts_whose_requests_were_taken_back_are_left_out(
        self,
    ) -> None:
        self._apply(1, 0)
        self.assertEqual(self.totals.sum_counts(3), {})

    def test_windows_of_clocks_that_are_far_off_are_not_kept(self) -> None:
        for window in (-1, 6, 10**9):
            self._apply(1, 5, window=window)
            self.assertEqual(self.totals.sum_counts(window), {})


class TotalsSenderTest(unittest.TestCase):
    """Guards against counts that do not reach the holder, and many messages."""

    def setUp(self) -> None:
        self.clocks = _Clocks()
        self.counter = usage.UsageCounter(_WINDOWS, self.clocks.true_s)
        self.sender = usage.TotalsSender(self.counter, _WINDOWS, 1)
        self.sender.set_receivers(["h", "d"], 1)

    def _collect(self) -> dict[str, messages.UsageTotals]:
        return self.sender.collect(self.clocks.true_s(), 5)

    def test_only_changes_are_sent(self) -> None:
        self.counter.count("a", 0.0)
        self.assertEqual(self._collect().keys(), {"h", "d"})
        self.assertEqual(self._collect(), {})

    def test_each_window_is_repeated_once_after_its_end(self) -> None:
        self.counter.count("a", 0.0)
        self._collect()
        self.clocks.now_s += 7
        self.assertEqual(self._collect().keys(), {"h", "d"})
        self.assertEqual(self._collect(), {})

    def test_a_new_holder_gets_all_recent_windows(self) -> None:
        self.counter.count("a", 0.0)
        self.counter.count("a", 5.0)
        self._collect()
        # The same nodes, but the holder's process is another one.
        self.sender.set_receivers(["h", "d"], 2)
        self.assertEqual(len(self._collect()["h"].windows), 2)
        self.sender.set_receivers(["h", "e"], 2)
        self.assertEqual(self._collect().keys(), {"e"})

    def test_a_message_that_was_not_sent_is_sent_later(self) -> None:
        self.counter.count("a", 0.0)
        self._collect()
        self.sender.mark_lost("d")
        self.assertEqual(self._collect().keys(), {"d"})


class ElectionTest(unittest.TestCase):
    """Guards against two nodes that act, and against none that does."""

    def setUp(self) -> None:
        self.clocks = _Clocks()
        self.election = self._build("n1")

    def _build(self, node_id: str) -> usage.Election:
        election = usage.Election(node_id, 3.0, 3.0, self.clocks.boot)
        election.set_candidates(["n1", "n2", "n3"])
        return election

    def _begin(self) -> None:
        self.election.begin_term(7, 1, self.clocks.now_s)

    def _renew(self) -> None:
        self.election.confirm_renewal(1, self.clocks.now_s)

    def test_nobody_tries_before_the_mirror_is_loaded(self) -> None:
        self.clocks.now_s += 100
        self.assertFalse(self.election.should_acquire())
        self.election.mark_loaded()
        self.clocks.now_s += 10
        self.assertTrue(self.election.should_acquire())

    def test_candidates_try_one_after_the_other(self) -> None:
        elections = [self._build(n) for n in ("n1", "n2", "n3")]
        for election in elections:
            election.mark_loaded()
        tries = []
        for _ in range(8):
            tries.append(sum(e.should_acquire() for e in elections))
            self.clocks.now_s += 0.1
        self.assertEqual(tries, [1, 1, 1, 2, 2, 2, 3, 3])

    def test_the_deputy_follows_a_holder_that_was_lost(self) -> None:
        holder = usage.rank_candidates(["n1", "n2", "n3"])[0]
        self.election.observe_key(usage.HolderKey(holder, "x", 5), 5)
        receivers = self.election.list_receivers()
        self.assertEqual(receivers[0], holder)
        self.election.observe_key(None, 6)
        self.assertEqual(self.election.rank_successors()[0], receivers[1])
        self.assertEqual(self.election.rank_successors()[-1], holder)

    def test_a_new_holder_waits_longer_than_the_lease(self) -> None:
        self._begin()
        self._renew()
        self.clocks.now_s += 3.0
        self._renew()
        self.assertIsNone(self.election.find_acting_token(1.0))
        self.clocks.now_s += 0.4
        self.assertEqual(self.election.find_acting_token(1.0), 7)

    def test_a_holder_stops_before_its_lease_can_have_ended(self) -> None:
        self._begin()
        self.clocks.now_s += 10
        self._renew()
        self.clocks.now_s += 1.7
        self.assertEqual(self.election.find_acting_token(1.0), 7)
        self.clocks.now_s += 0.2
        self.assertIsNone(self.election.find_acting_token(1.0))

    def test_a_renewal_counts_from_its_sending(self) -> None:
        self._begin()
        sent_s = self.clocks.now_s
        self.clocks.now_s += 10
        # The answer of a call that was executed long before.
        self.election.confirm_renewal(1, sent_s)
        self.assertIsNone(self.election.find_acting_token(1.0))

    def test_a_replaced_or_removed_key_ends_the_term(self) -> None:
        for key in (None, usage.HolderKey("n1", "x", 8)):
            with self.subTest(key=key):
                self._begin()
                # The mirror may be behind this node.
                self.assertEqual(self.election.observe_key(None, 6), "")
                self.assertEqual(self.election.token, 7)
                self.assertNotEqual(self.election.observe_key(key, 8), "")
                self.assertEqual(self.election.token, 0)

    def test_the_key_of_an_earlier_process_is_removed(self) -> None:
        self.election.observe_key(usage.HolderKey("n1", "x", 5), 5)
        self.assertFalse(self.election.should_remove_key())
        self.clocks.now_s += 1.1
        self.assertTrue(self.election.should_remove_key())
        self.election.observe_key(usage.HolderKey("n2", "x", 6), 6)
        self.clocks.now_s += 5
        self.assertFalse(self.election.should_remove_key())

    def test_a_node_that_is_no_candidate_any_more_gives_up(self) -> None:
        self._begin()
        self.election.set_candidates(["n2", "n3"])
        self.assertFalse(self.election.should_resign())
        self.clocks.now_s += 5.1
        self.assertTrue(self.election.should_resign())

    def test_a_node_that_is_cut_off_from_others_neither_acts_nor_tries(
        self,
    ) -> None:
        # It lacks their totals; its reports would be wrong.
        self._begin()
        self.clocks.now_s += 4
        self._renew()
        self.election.set_reached(2)
        self.assertEqual(self.election.find_acting_token(1.0), 7)
        self.election.set_reached(1)
        self.assertIsNone(self.election.find_acting_token(1.0))
        self.assertFalse(self.election.should_resign())
        self.clocks.now_s += 2.1
        self.assertTrue(self.election.should_resign())
        self.election.end_term()
        self.election.mark_loaded()
        self.clocks.now_s += 9
        self.assertFalse(self.election.should_acquire())
        self.election.set_reached(2)
        self.assertTrue(self.election.should_acquire())

    def test_failed_attempts_become_rare(self) -> None:
        self.election.mark_loaded()
        self.clocks.now_s += 10
        tries = 0
        for _ in range(300):
            if self.election.should_acquire():
                tries += 1
                self.election.note_attempt()
            self.clocks.now_s += 0.1
        self.assertLessEqual(tries, 10)


class ReportQueueTest(unittest.TestCase):
    """Guards against windows that go back, are doubled or silently missing."""

    def setUp(self) -> None:
        self.queue = usage.ReportQueue(_WINDOWS)

    def test_windows_never_go_back(self) -> None:
        self.queue.observe(usage.Report(9, {"a": 1}))
        # The site's time is that of window 7.
        self.assertIsNone(self.queue.find_next(44.0))
        self.assertEqual(self.queue.find_next(58.0), 10)
        self.queue.observe(usage.Report(8, {"a": 2}))
        newest = self.queue.newest
        assert newest is not None
        self.assertEqual(newest.window, 9)

    def test_windows_that_others_know_to_be_recorded_are_not_reported(
        self,
    ) -> None:
        # The store was restored, and this process started afterwards.
        self.queue.observe(usage.Report(9, {"a": 1}))
        self.queue.exclude_through(11, 60.0)
        self.assertIsNone(self.queue.find_next(63.0))
        self.assertEqual(self.queue.find_next(68.0), 12)
        # The clock of another node is wrong.
        self.queue.exclude_through(50, 60.0)
        self.assertEqual(self.queue.find_next(68.0), 12)

    def test_a_successor_repeats_the_recorded_report(self) -> None:
        report = usage.Report(9, {"a": 1})
        self.queue.observe(report)
        self.assertEqual(self.queue.find_unsent(), report)
        self.queue.confirm(report)
        self.assertIsNone(self.queue.find_unsent())

    def test_windows_that_are_too_old_are_listed_with_their_counts(
        self,
    ) -> None:
        self.queue.observe(usage.Report(9, {}))
        self.assertEqual(self.queue.find_expired(69.0), [10])
        with self.assertLogs("geraniumstair.usage"):
            self.queue.give_up(10, usage.Missing.NOT_RECORDED, {"a": 4})
        self.assertEqual(self.queue.find_expired(69.0), [])
        self.assertEqual(
            self.queue.missed[0],
            usage.MissedWindow(10, usage.Missing.NOT_RECORDED, {"a": 4}),
        )

    def test_a_record_that_is_not_valid_is_not_used(self) -> None:
        for value in (b"", b"[]", b'{"window":"1","counts":{}}'):
            self.assertIsNone(usage.decode_report(value))
        report = usage.Report(1, {"a": 2})
        encoded = usage.encode_report(report)
        self.assertEqual(usage.decode_report(encoded), report)


if __name__ == "__main__":
    unittest.main()
