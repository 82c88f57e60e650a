"""Tests of the dispatcher on the virtual clock."""

import itertools
import unittest

import trio

from geraniumstair import dispatch
from geraniumstair import membership
from geraniumstair._generated import codes
from tests import builders_dispatch

_Authority = membership.Authority
_Code = codes.Code


def _codes(replies) -> set[int]:
    return {reply.code for reply in replies}


class LimitsTest(unittest.TestCase):
    """Guards against endpoints that get more than they can handle."""

    def test_slots_are_never_exceeded(self) -> None:
        async def scenario(harness) -> None:
            for index, fake in enumerate(harness.fakes.values()):
                fake.service_s = builders_dispatch.build_service_times(index, 5)
            replies = await harness.submit_many(600, 0.002)
            self.assertGreater(sum(r.code == _Code.OK for r in replies), 300)
            for fake in harness.fakes.values():
                self.assertLessEqual(fake.peak_running, 2)

        builders_dispatch.run_scenario(scenario)

    def test_cold_endpoint_gets_one_request_at_a_time(self) -> None:
        async def scenario(harness) -> None:
            await harness.submit_many(7, 0.001)
            for fake in harness.fakes.values():
                self.assertLessEqual(fake.peak_running, 1)
            await harness.warm_up()
            await harness.submit_many(50, 0.001)
            self.assertEqual(harness.fake(0).peak_running, 2)

        builders_dispatch.run_scenario(scenario)

    def test_changed_boot_id_resets_the_limit(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).boot_id = "boot-2"
            await harness.submit_many(1, 0.05)
            self.assertFalse(harness.endpoint_dump(0)["warm"])
            harness.fake(0).peak_running = 0
            await harness.submit_many(6, 0.001)
            self.assertLessEqual(harness.fake(0).peak_running, 1)

        builders_dispatch.run_scenario(scenario)

    def test_endpoint_gets_one_request_at_a_time_after_a_fast_restart(
        self,
    ) -> None:
        """Guards against using the old limit until the boot id is known."""

        async def scenario(harness) -> None:
            await harness.warm_up()
            for fake in harness.fakes.values():
                fake.restart()
                fake.peak_running = 0
            replies = await harness.submit_many(6, 0.0)
            self.assertEqual(_codes(replies), {_Code.OK})
            for fake in harness.fakes.values():
                self.assertEqual(fake.peak_running, 1)

        builders_dispatch.run_scenario(scenario)

    def test_slow_endpoint_is_ramped_but_never_more_than_half(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.050
            await harness.submit_many(60, 0.030)
            warm = [harness.endpoint_dump(i)["warm"] for i in range(4)]
            self.assertGreaterEqual(sum(warm), 2)
            self.assertLess(sum(warm), 4)

        builders_dispatch.run_scenario(scenario, replica_count=4)

    def test_probe_detects_a_restart_without_traffic(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(1).boot_id = "boot-2"
            await trio.sleep(3)
            self.assertGreater(harness.fake(1).probes, 0)
            self.assertEqual(harness.endpoint_dump(1)["limit"], 1)

        builders_dispatch.run_scenario(scenario)


class HedgeTest(unittest.TestCase):
    """Guards against too many hedges and attempts that run on after a reply."""

    def test_stragglers_are_hedged_within_the_budget(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            for index, fake in enumerate(harness.fakes.values()):
                fake.service_s = builders_dispatch.build_service_times(index, 2)
            before = harness.total_requests()
            replies = await harness.submit_many(1000, 0.010)
            extra = harness.total_requests() - before - 1000
            self.assertEqual(_codes(replies), {_Code.OK})
            self.assertGreater(extra, 5)
            self.assertLessEqual(extra, 50 + 10)
            self.assertEqual(extra, sum(r.hedged for r in replies))

        builders_dispatch.run_scenario(scenario)

    def test_slower_attempt_is_cancelled_and_its_connection_kept(self) -> None:
        async def scenario(harness) -> None:
            for index, fake in enumerate(harness.fakes.values()):
                fake.service_s = builders_dispatch.build_service_times(index)
            await harness.warm_up()
            await harness.submit_many(50, 0.02)
            slow, fast = harness.fake(0), harness.fake(1)
            opened = slow.open_connections
            slow.service_s = lambda: 0.5
            (reply,) = await harness.submit_many(1, 0.1)
            self.assertTrue(reply.hedged)
            self.assertEqual(reply.endpoint, fast.spec.name)
            self.assertEqual(len(slow.cancelled), 1)
            self.assertFalse(slow.running)
            self.assertEqual(slow.open_connections, opened)

        builders_dispatch.run_scenario(scenario)

    def test_hedge_is_sent_before_queued_requests(self) -> None:
        """Guards against a straggler whose hedge waits for an empty queue."""

        async def scenario(
            harness: builders_dispatch.DispatcherHarness,
        ) -> None:
            await harness.warm_up()
            harness.change_policy(hedge_budget_pct=50.0)
            await harness.submit_many(60, 0.004)
            service_s = itertools.chain([5.0], itertools.repeat(0.025))
            for fake in harness.fakes.values():
                fake.service_s = lambda: next(service_s)
            slots = sum(harness.endpoint_dump(i)["slots"] for i in range(2))
            start_s = trio.current_time()
            ended_s: dict[int, float] = {}

            async def submit(number: int) -> None:
                request = builders_dispatch.build_request(deadline_ms=9000.0)
                await harness.dispatcher.submit(request)
                ended_s[number] = trio.current_time() - start_s

            async with trio.open_nursery() as nursery:
                for number in range(slots + 4):
                    nursery.start_soon(submit, number)
                    await trio.sleep(0.001)
            # The hedge of the straggler is sent when the first slot is free.
            self.assertLess(ended_s[0], 0.06)

        builders_dispatch.run_scenario(scenario)

    def test_non_repeatable_request_is_never_hedged(self) -> None:
        async def scenario(harness) -> None:
            await harness.warm_up()
            harness.fake(0).service_s = lambda: 0.5
            harness.fake(1).service_s = lambda: 0.5
            before = harness.total_requests()
            (reply,) = await harness.submit_many(1, 0.1, repeatable=False)
            self.assertEqual(reply.code, _Code.OK)
            self.assertEqual(harness.total_requests(), before + 1)

        builders_dispatch.run_scenario(scenario)


class RetryTest(unittest.TestCase):
    """Guards against requests that run twice and against retry storms."""

    def test_unknown_outcome_is_not_retried_if_not_repeatable(self) -> None:
        for outcome in (
            dispatch.Outcome.FAILED,
            dispatch.Outcome.CONNECTION_LOST,
            dispatch.Outcome.INVALID,
        ):
            with self.subTest(outcome=outcome):
                self._check_not_retried(outcome)

    def _check_not_retried(self, outcome: dispatch.Outcome) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.outcome = lambda: outcome
            (reply,) = await harness.submit_many(1, 0.1, repeatable=False)
            self.assertFalse(reply.not_run)
            self.assertGreaterEqual(reply.code, 300)
            self.assertEqual(harness.total_requests(), 1)

        builders_dispatch.run_scenario(scenario)

    def test_shed_request_is_retried_at_another_endpoint(self) -> None:
        async def scenario(harness) -> None:
            harness.fake(0).outcome = lambda: dispatch.Outcome.SHED
            (reply,) = await harness.submit_many(1, 0.1, repeatable=False)
            self.assertEqual(reply.code, _Code.OK)
            self.assertEqual(reply.endpoint, harness.fake(1).spec.name)

        builders_dispatch.run_scenario(scenario)

    def test_request_with_an_invalid_answer_is_retried_at_another_endpoint(
        self,
    ) -> None:
        async def scenario(harness) -> None:
            harness.fake(0).outcome = lambda: dispatch.Outcome.INVALID
            (reply,) = await harness.submit_many(1, 0.1)
            self.assertEqual(reply.code, _Code.OK)
            self.assertEqual(reply.endpoint, harness.fake(1).spec.name)

        builders_dispatch.run_scenario(scenario)

    def test_shed_request_of_a_single_endpoint_is_retried_soon(self) -> None:
        async def scenario(harness) -> None:
            outcomes = iter([dispatch.Outcome.SHED])
            harness.fake(0).outcome = lambda: next(
                outcomes, dispatch.Outcome.ANSWERED
            )
            (reply,) = await harness.submit_many(1, 0.0, deadline_ms=80)
            self.assertEqual(reply.code, _Code.OK)

        builders_dispatch.run_scenario(scenario, replica_count=1)

    def test_retries_stay_within_the_budget(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.outcome = lambda: dispatch.Outcome.FAILED
            replies = await harness.submit_many(200, 0.03)
            ran = sum(not r.not_run for r in replies)
            # 10% of the requests and the two initial tokens.
            self.assertLessEqual(harness.total_requests() - ran, ran * 0.1 + 2)

        builders_dispatch.run_scenario(scenario)

    def test_refusal_after_an_unknown_outcome_does_not_state_not_run(
        self,
    ) -> None:
        async def scenario(harness) -> None:
            outcomes = iter([dispatch.Outcome.FAILED, dispatch.Outcome.SHED])

            def next_outcome() -> dispatch.Outcome:
                return next(outcomes, dispatch.Outcome.SHED)

            for fake in harness.fakes.values():
                fake.outcome = next_outcome
            (reply,) = await harness.submit_many(1, 0.1)
            self.assertGreaterEqual(harness.total_requests(), 2)
            self.assertEqual(reply.code, _Code.ENDPOINT_FAILED)
            self.assertFalse(reply.not_run)

        builders_dispatch.run_scenario(scenario)

    def test_each_endpoint_is_asked_once_for_a_missing_snapshot(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.outcome = lambda: dispatch.Outcome.SNAPSHOT_UNAVAILABLE
            (reply,) = await harness.submit_many(1, 0.1, snapshot=9)
            self.assertEqual(reply.code, _Code.SNAPSHOT_UNAVAILABLE)
            self.assertTrue(reply.not_run)
            self.assertEqual(reply.snapshots, [7])
            self.assertEqual(harness.total_requests(), 2)

        builders_dispatch.run_scenario(scenario)


class RefusalTest(unittest.TestCase):
    """Guards against wrong refusals and against dispatch after a deadline."""

    def test_request_past_its_deadline_is_not_dispatched(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.1
            replies = await harness.submit_many(10, 0.0, deadline_ms=50)
            await trio.sleep(1)
            self.assertEqual(harness.total_requests(), 2)
            not_run = [r for r in replies if r.not_run]
            self.assertEqual(len(not_run), 8)
            self.assertEqual(_codes(not_run), {_Code.DEADLINE_TOO_SHORT})
            ran = [r for r in replies if not r.not_run]
            self.assertEqual(_codes(ran), {_Code.DEADLINE_EXCEEDED})

        builders_dispatch.run_scenario(scenario)

    def test_full_queue_refuses_the_least_urgent_request(self) -> None:
        async def scenario(harness) -> None:
            harness.change_policy(queue_limit=2)
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.1
            replies = {}

            async def submit(name: str, priority: int) -> None:
                request = builders_dispatch.build_request(priority=priority)
                replies[name] = await harness.dispatcher.submit(request)

            async with trio.open_nursery() as nursery:
                for number, priority in enumerate([5, 5, 5, 5, 5, 1]):
                    nursery.start_soon(submit, str(number), priority)
                    await trio.sleep(0.001)
            self.assertEqual(replies["4"].code, _Code.QUEUE_FULL)
            self.assertEqual(replies["5"].code, _Code.OK)
            self.assertEqual(
                sorted(r.code for r in replies.values()),
                [0, 0, 0, 0, _Code.QUEUE_FULL, _Code.QUEUE_FULL],
            )

        builders_dispatch.run_scenario(scenario)

    def test_unreachable_endpoints_refuse_at_once_as_not_run(self) -> None:
        async def scenario(harness) -> None:
            for replica in range(2):
                harness.change_endpoint(replica, port=30000 + replica)
                harness.fake(replica).reachable = False
            await trio.sleep(0.1)
            started_s = trio.current_time()
            reply = await harness.dispatcher.submit(
                builders_dispatch.build_request()
            )
            self.assertEqual(reply.code, _Code.NO_ENDPOINT)
            self.assertTrue(reply.not_run)
            self.assertLess(trio.current_time() - started_s, 0.5)

        builders_dispatch.run_scenario(scenario)

    def test_invalid_requests_are_refused_with_their_codes(self) -> None:
        async def scenario(harness) -> None:
            cases = [
                ({"route": "a b"}, _Code.MALFORMED_BODY),
                ({"deadline_ms": float("nan")}, _Code.INVALID_DEADLINE),
                ({"deadline_ms": -1.0}, _Code.DEADLINE_TOO_SHORT),
                ({"shard": "other"}, _Code.UNKNOWN_SHARD),
                ({"region": "r2"}, _Code.UNKNOWN_SHARD),
                ({"service": "acme/s1"}, _Code.NOT_OWNER),
            ]
            for fields, code in cases:
                request = builders_dispatch.build_request(**fields)
                reply = await harness.dispatcher.submit(request)
                self.assertEqual(reply.code, code)
                self.assertTrue(reply.not_run)
            self.assertEqual(harness.total_requests(), 0)

        builders_dispatch.run_scenario(scenario)

    def test_cancel_distinguishes_queued_from_running_requests(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.5
            with trio.move_on_after(1):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._cancel_later, harness.dispatcher, b"x" * 16
                    )
                    replies = await harness.submit_many(
                        3, 0.001, search_id=b"x" * 16
                    )
            self.assertEqual(
                sorted(r.code for r in replies),
                [_Code.CANCELLED, _Code.CANCELLED, _Code.CANCELLED_IN_QUEUE],
            )
            await trio.sleep(0.01)
            self.assertFalse(any(f.running for f in harness.fakes.values()))

        builders_dispatch.run_scenario(scenario)

    def test_request_of_a_cancelled_task_leaves_nothing_behind(self) -> None:
        async def scenario(harness) -> None:
            for fake in harness.fakes.values():
                fake.service_s = lambda: 0.5
            with trio.move_on_after(0.05):
                await harness.submit_many(5, 0.0)
            await trio.sleep(0.05)
            dump = harness.dispatcher.dump()
            self.assertEqual(dump["searches"], 0)
            self.assertEqual(dump["shards"][0]["queued"], 0)
            self.assertEqual(dump["shards"][0]["in_flight"], 0)
            self.assertFalse(any(f.running for f in harness.fakes.values()))

        builders_dispatch.run_scenario(scenario)

    async def _cancel_later(self, dispatcher, search_id: bytes) -> None:
        await trio.sleep(0.05)
        dispatcher.cancel_search(search_id)


if __name__ == "__main__":
    unittest.main()
