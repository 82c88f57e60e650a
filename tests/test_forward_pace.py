"""Tests of the pace of endpoints that start or return."""

import unittest

import trio

from geraniumstair import forward
from geraniumstair.forward import _pace
from tests import builders_gateway as builders
from tests import builders_pace

ANSWERED = forward.Outcome.ANSWERED
REJECTED = forward.Outcome.REJECTED
USUAL_MS = 30.0


def _start(
    cause: _pace.Cause = _pace.Cause.STARTED,
    slots: int = 8,
    nodes: int = 1,
    credit: float = 0.0,
) -> _pace.Pace:
    pace = _pace.Pace(cause, slots, nodes, credit, 0.0)
    pace.usual_ms = USUAL_MS
    return pace


def _count_calls(pace: _pace.Pace, choices: int, now_s: float) -> int:
    calls = 0
    for _ in range(choices):
        pace.earn(2, now_s)
        if pace.allows(0, now_s):
            pace.spend()
            calls += 1
    return calls


class PaceTest(unittest.TestCase):
    """Guards against a pace that floods an endpoint or leaves it idle."""

    def test_starts_with_one_slot_and_doubles_without_bad_news(self) -> None:
        pace = _start()
        self.assertEqual(pace.share(0.0), 1 / 8)
        self.assertEqual(pace.share(_pace.DOUBLING_S), 1 / 4)
        self.assertEqual(pace.share(9.0), 1.0)

    def test_an_endpoint_of_one_slot_has_a_pace_too(self) -> None:
        self.assertEqual(_start(slots=1).share(0.0), _pace.MAX_START_SHARE)

    def test_answers_in_time_add_one_slot_each(self) -> None:
        pace = _start()
        pace.record(ANSWERED, 1.6 * USUAL_MS, 0.0)
        self.assertEqual(pace.share(0.0), 2 / 8)
        pace.record(ANSWERED, 2.5 * USUAL_MS, 0.0)
        self.assertEqual(pace.share(0.0), 2 / 8)

    def test_bad_news_lowers_the_share_and_stops_its_rise(self) -> None:
        for outcome, took_ms, expected in (
            (REJECTED, 1.0, 0.5),
            (ANSWERED, 4 * USUAL_MS, 0.5),
            (forward.Outcome.LOST, 1.0, 1 / 8),
        ):
            with self.subTest(outcome=outcome, took_ms=took_ms):
                pace = _start()
                self.assertEqual(pace.share(3.0), 1.0)
                pace.record(outcome, took_ms, 3.0)
                self.assertEqual(pace.share(3.0 + _pace.HOLD_S), expected)
                later_s = 3.0 + _pace.HOLD_S + _pace.DOUBLING_S
                self.assertEqual(pace.share(later_s), 2 * expected)

    def test_many_nodes_together_keep_to_the_share(self) -> None:
        # With one call in flight for each node, 60 nodes would send 60 calls.
        calls = sum(
            _count_calls(
                _start(slots=8, nodes=60, credit=(i + 0.5) / 60), 1, 0.0
            )
            for i in range(60)
        )
        self.assertEqual(calls, round(60 / 2 / 8))

    def test_one_node_keeps_to_the_share(self) -> None:
        self.assertEqual(_count_calls(_start(), 64, 0.0), 64 // 2 // 8)

    def test_calls_in_flight_are_bounded(self) -> None:
        pace = _start(credit=1.0)
        self.assertTrue(pace.allows(0, 0.0))
        self.assertFalse(pace.allows(1, 0.0))
        self.assertTrue(pace.allows(3, 2.0))
        self.assertFalse(pace.allows(4, 2.0))

    def test_a_node_without_own_answers_keeps_sending_its_part(self) -> None:
        pace = _start()
        self.assertFalse(pace.has_ended(5.0))
        for _ in range(_pace.MIN_ANSWERS):
            pace.record(ANSWERED, USUAL_MS, 5.0)
        self.assertTrue(pace.has_ended(5.0))
        self.assertTrue(_start().has_ended(_pace.MAX_PACE_S))

    def test_an_endpoint_that_failed_gets_no_calls_at_any_cost(self) -> None:
        # One that fails often would get them after each failure.
        self.assertFalse(_start(_pace.Cause.AVOIDED).ensures_calls)
        pace = _start()
        self.assertTrue(pace.ensures_calls)
        pace.record(forward.Outcome.FAILED, 1.0, 0.0)
        self.assertFalse(pace.ensures_calls)


class EndpointPacingTest(unittest.TestCase):
    """Guards against paces without a reason, and reasons that never lapse."""

    def test_an_answer_beside_a_failure_needs_no_pace(self) -> None:
        pacing = _pace.EndpointPacing()
        pacing.record_failure(0.0, is_down=False)
        self.assertFalse(pacing.is_settled)
        pacing.record(ANSWERED, 1.0, 0.1)
        self.assertTrue(pacing.is_settled)

    def test_an_endpoint_that_was_down_gets_a_pace_after_its_probe(
        self,
    ) -> None:
        pacing = _pace.EndpointPacing()
        pacing.record_failure(0.0, is_down=True)
        pacing.record(ANSWERED, 1.0, 0.1)
        self.assertIs(pacing.cause, _pace.Cause.DOWN)

    def test_an_endpoint_without_siblings_needs_no_pace_later(self) -> None:
        pacing = _pace.EndpointPacing()
        pacing.expect(_pace.Cause.STARTED, 0.0)
        pacing.drop_old_cause(_pace.MAX_PACE_S - 0.1)
        self.assertFalse(pacing.is_settled)
        pacing.drop_old_cause(_pace.MAX_PACE_S)
        self.assertTrue(pacing.is_settled)


class PacedChoiceTest(unittest.TestCase):
    """Guards against calls beyond the pace, and requests refused by it."""

    async def _start_endpoint(
        self, nursery: trio.Nursery
    ) -> builders.ForwarderFixture:
        fixture = builders.ForwarderFixture(
            nursery, [builders.endpoint_entry("old")], [builders.route()]
        )
        await trio.sleep(6.0)
        fixture.registry.put(builders.endpoint_entry("new"))
        fixture.pool.apply_registry_changes()
        return fixture

    def _choose(
        self, fixture: builders.ForwarderFixture, tried: tuple[str, ...] = ()
    ) -> str:
        replica = fixture.pool.choose_replica("s1", tried)
        assert replica is not None
        return replica.entry.endpoint_id

    def test_siblings_get_the_calls_beyond_the_pace(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            fixture = await self._start_endpoint(nursery)
            with self.assertLogs("geraniumstair.forward", "INFO") as logs:
                chosen = [self._choose(fixture) for _ in range(40)]
            self.assertLessEqual(chosen.count("new"), 40 / 2 / 2 + 1)
            self.assertGreaterEqual(chosen.count("new"), 1)
            self.assertIn("gets calls at a pace", logs.output[0])
            diverted = fixture.diverted_calls
            self.assertGreater(diverted, 0)
            states = {e["endpoint"]: e for e in fixture.pool.dump()["s1"]}
            self.assertIsNone(states["old"]["pace"])
            self.assertEqual(states["new"]["pace"]["diverted"], diverted)

        builders.run_on_virtual_clock(test)

    def test_the_pace_gives_way_without_another_endpoint(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            fixture = await self._start_endpoint(nursery)
            self._choose(fixture)
            for _ in range(10):
                self.assertEqual(self._choose(fixture, ("old",)), "new")

        builders.run_on_virtual_clock(test)

    def test_the_stated_rate_of_a_cold_endpoint_stays_a_bound(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry("old")],
                [builders.route()],
                limits={"warmup_per_s": 5.0, "warmup_s": 9.0},
            )
            await trio.sleep(6.0)
            fixture.registry.put(
                builders.endpoint_entry("new", warmup_left_ms=9000.0)
            )
            fixture.pool.apply_registry_changes()
            chosen = []
            for _ in range(400):
                chosen.append(self._choose(fixture))
                await trio.sleep(0.01)
            self.assertGreaterEqual(chosen.count("new"), 4)
            self.assertLessEqual(chosen.count("new"), 4 * 5 + 1)

        builders.run_on_virtual_clock(test)

    def test_endpoints_that_a_node_finds_at_its_start_have_no_pace(
        self,
    ) -> None:
        # They may have served for long; after a restart of all nodes, one of
        # them would get the calls of all.
        async def test(nursery: trio.Nursery) -> None:
            fixture = builders.ForwarderFixture(
                nursery, [builders.endpoint_entry("a")], [builders.route()]
            )
            fixture.registry.put(builders.endpoint_entry("b"))
            fixture.pool.apply_registry_changes()
            for _ in range(10):
                self._choose(fixture)
            states = fixture.pool.dump()["s1"]
            self.assertEqual([s["pace"] for s in states], [None, None])

        builders.run_on_virtual_clock(test)


class PaceModelTest(unittest.TestCase):
    """Guards against endpoints that are flooded or idle after their start."""

    def test_sixty_nodes_do_not_flood_an_endpoint_that_starts(self) -> None:
        case = builders_pace.Case(nodes=60)
        paced = builders_pace.play(case)
        unpaced = builders_pace.play(case, paced=False)
        self.assertGreater(unpaced.rejections, 0)
        self.assertLess(paced.rejections, unpaced.rejections / 2)
        self.assertGreater(
            paced.in_time / paced.requests, unpaced.in_time / unpaced.requests
        )
        assert paced.carries_after_s is not None
        self.assertLess(paced.carries_after_s, builders_pace.COLD_S)

    def test_sixty_nodes_do_not_leave_a_fast_endpoint_idle(self) -> None:
        case = builders_pace.Case(nodes=60, mean_work_s=0.01)
        paced = builders_pace.play(case)
        assert paced.carries_after_s is not None
        self.assertLess(paced.carries_after_s, builders_pace.COLD_S)
        self.assertIsNone(builders_pace.play(case, paced=False).carries_after_s)

    def test_one_and_seven_nodes_lose_nothing(self) -> None:
        for nodes in (1, 7):
            for returns in (False, True):
                with self.subTest(nodes=nodes, returns=returns):
                    case = builders_pace.Case(nodes=nodes, returns=returns)
                    paced = builders_pace.play(case)
                    self.assertGreaterEqual(
                        paced.in_time, 0.99 * paced.requests
                    )
                    assert paced.carries_after_s is not None
                    self.assertLess(
                        paced.carries_after_s, 2 * builders_pace.COLD_S
                    )

    def test_an_endpoint_without_siblings_has_no_pace(self) -> None:
        case = builders_pace.Case(
            nodes=7, requests_per_s=30.0, siblings=0, returns=True
        )
        paced = builders_pace.play(case)
        self.assertEqual(paced.diverted, 0)
        unpaced = builders_pace.play(case, paced=False)
        self.assertGreaterEqual(paced.in_time, 0.99 * unpaced.in_time)
