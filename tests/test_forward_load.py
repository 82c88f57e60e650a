"""Plays loads on one node of a site and checks what its callers get."""

import random
import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from tests import builders_edge as builders

# One of seven nodes, as on the small sites: 20 shards of two endpoints, 6.4
# searches a second, a latency goal of 183 ms and 18 parts at least.
SHARDS = 20
NODES = 7
SEARCHES_PER_S = 6.4
LATENCY_GOAL_MS = 183.0
LEAST_COVERAGE = 0.89
# Work of 30 ms, now and then five times as long.
MEAN_WORK_S = 0.030
WORK_SHAPE = 8.0
LONG_WORK_PART = 0.01
LONG_WORK_FACTOR = 5
# Endpoints pause for 200 ms each 4.5 s.
PAUSE_S = 0.2
PAUSE_EVERY_S = 4.5
PLAYED_S = 60.0
# The site allows a service a fifth of its requests as repeats, and 54 more in
# ten seconds.
BUDGET = forward.BudgetLimits(0.2, 10.0, 54.0)


class _Pausing(builders.Behaviour):
    """An endpoint of random speed that pauses now and then."""

    def __init__(self, rng: random.Random, slow: float = 1.0) -> None:
        super().__init__()
        self._rng = rng
        self._slow = slow
        self._phase_s = rng.uniform(0.0, PAUSE_EVERY_S)

    @property  # type: ignore[override]
    def delay_s(self) -> float:
        """Time that the next call takes."""
        work_s = self._rng.gammavariate(WORK_SHAPE, MEAN_WORK_S / WORK_SHAPE)
        work_s *= self._slow
        if self._rng.random() < LONG_WORK_PART:
            work_s *= LONG_WORK_FACTOR
        into_s = (trio.current_time() + self._phase_s) % PAUSE_EVERY_S
        if into_s < PAUSE_S:
            return PAUSE_S - into_s + work_s
        if into_s + work_s > PAUSE_EVERY_S:
            return work_s + PAUSE_S
        return work_s

    @delay_s.setter
    def delay_s(self, value: float) -> None:
        pass


class _Answers:
    """What the callers of a load got."""

    def __init__(self) -> None:
        self.asked = 0
        self.complete = 0
        self.in_time = 0
        self.credit = 0.0

    def add(self, outcome: forward.ForwardResult, took_ms: float) -> None:
        self.asked += 1
        if not isinstance(outcome, forward.SearchResult):
            return
        self.complete += not outcome.missing
        if took_ms <= LATENCY_GOAL_MS:
            self.in_time += 1
            self.credit += (1 - outcome.missing / SHARDS) ** 2


def _play(slow: dict[str, float] | None = None) -> tuple[_Answers, int]:
    """Returns the answers, and the calls that endpoints got.

    Args:
        slow: Times as long as usual that endpoints take.
    """
    rng = random.Random(1)
    answers = _Answers()
    calls = []

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            names = [f"s{i}" for i in range(SHARDS)]
            route = builders.search_route(
                names,
                latency_goal_ms=LATENCY_GOAL_MS,
                min_coverage=LEAST_COVERAGE,
                timeout_ms=1500.0,
            )
            entries: list[discovery.EndpointEntry] = [
                builders.entry(f"{zone}{i}", service=f"s{i}")
                for i in range(SHARDS)
                for zone in "ab"
            ]
            edge = builders.Edge(nursery, entries, [route], budget=BUDGET)
            edge.budget.set_users(lambda service: NODES)
            for entry in entries:
                name = entry.endpoint_id
                factor = (slow or {}).get(name, 1.0)
                edge.site.behaviours[name] = _Pausing(rng, factor)

            async def ask() -> None:
                started_s = trio.current_time()
                outcome = await edge.forwarder.forward(
                    builders.caller_request(remaining_ms=1500.0), route
                )
                answers.add(outcome, (trio.current_time() - started_s) * 1000)

            while trio.current_time() < PLAYED_S:
                await trio.sleep(rng.expovariate(SEARCHES_PER_S))
                nursery.start_soon(ask)
            await trio.sleep(2.0)
            calls.append(len(edge.site.sent))
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    return answers, calls[0]


class SearchLoadTest(unittest.TestCase):
    """Guards against repeats and choices that serve callers badly."""

    def test_pauses_and_stragglers_cost_few_answers(self) -> None:
        answers, calls = _play()
        # The association and the cooperative ask for 99 in 100 in time.
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.asked)
        self.assertGreaterEqual(answers.credit, 0.97 * answers.asked)
        allowed = BUDGET.ratio * answers.asked
        allowed += BUDGET.slack / NODES * PLAYED_S / BUDGET.window_s
        self.assertLessEqual(calls, SHARDS * (answers.asked + allowed))

    def test_slow_endpoints_beside_sound_ones_cost_few_answers(self) -> None:
        # A quarter of the endpoints, none with its only sibling.
        answers, _ = _play({f"a{i}": 8.0 for i in range(SHARDS // 2)})
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.asked)
