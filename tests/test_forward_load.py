"""Plays loads on one node of a site and checks what its callers get."""

import collections
from collections.abc import Callable
import random
import statistics
import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import routing
from tests import builders_edge as builders

# One of seven nodes, as on the small sites: 20 shards of two endpoints, 6.4
# searches a second, a latency goal of 183 ms and 18 parts at least.
SHARDS = 20
NODES = 7
SEARCHES_PER_S = 6.4
LATENCY_GOAL_MS = 183.0
TIMEOUT_S = 1.5
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
# Both endpoints of more shards than an answer may leave out are gone for this
# part of the time.
DEAD_SHARDS = 3
DEAD_FROM_S = 20.0
DEAD_UNTIL_S = 40.0
# Endpoints of the small sites take so many connections.
MAX_CONNECTIONS = 26
# Two endpoints of two slots bear 133 calls a second; seven nodes send 45
# usually and 179 in a burst.
BURST_FACTOR = 4
BURST_S = 8.0
# Failures in a row and silence for a second show that an endpoint is down.
LEARNING_S = 4.0
# Searches that may try endpoints which are down. More would keep their callers
# waiting in vain; with fewer the others return too late.
PROBES_PER_S = 2
# Callers who return after the longest Retry-After are served.
BACK_S = 2.0
# A caller who is refused within this part of the latency goal has most of it
# left for another attempt.
EARLY_PART = 0.25
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
        self.refused: list[tuple[float, forward.Refused]] = []
        self.took_ms: list[float] = []

    def add(self, outcome: forward.ForwardResult, took_ms: float) -> None:
        self.asked += 1
        if not isinstance(outcome, forward.SearchResult):
            self.refused.append((took_ms, outcome))
            return
        self.complete += not outcome.missing
        self.took_ms.append(took_ms)
        if took_ms <= LATENCY_GOAL_MS:
            self.in_time += 1
            self.credit += (1 - outcome.missing / SHARDS) ** 2

    @property
    def early_refusals(self) -> int:
        """Callers who were told at once that their search did not run."""
        return sum(
            took_ms <= EARLY_PART * LATENCY_GOAL_MS
            and refused.not_run
            and refused.retry_after_s is not None
            for took_ms, refused in self.refused
        )


def _site() -> tuple[routing.Route, list[discovery.EndpointEntry]]:
    """Returns a search over all shards, and their endpoints."""
    route = builders.search_route(
        [f"s{i}" for i in range(SHARDS)],
        latency_goal_ms=LATENCY_GOAL_MS,
        min_coverage=LEAST_COVERAGE,
        timeout_ms=TIMEOUT_S * 1000,
    )
    entries = [
        builders.entry(f"{zone}{i}", service=f"s{i}")
        for i in range(SHARDS)
        for zone in "ab"
    ]
    return route, entries


async def _ask(
    edge: builders.Edge, route: routing.Route, answers: _Answers
) -> None:
    """Sends one search and notes what its caller gets."""
    started_s = trio.current_time()
    outcome = await edge.forwarder.forward(
        builders.caller_request(remaining_ms=TIMEOUT_S * 1000), route
    )
    answers.add(outcome, (trio.current_time() - started_s) * 1000)


def _play(
    slow: dict[str, float] | None = None,
    dead: Callable[[builders.Behaviour], None] | None = None,
    dead_shards: int = DEAD_SHARDS,
) -> tuple[dict[str, _Answers], int]:
    """Returns the answers by phase, and the calls that endpoints got.

    The phases are `usual`, and `failing` and `back` with dead endpoints. The
    first seconds of the latter two, in which nodes learn, count as `learning`.

    Args:
        slow: Times as long as usual that endpoints take.
        dead: Breaks the behaviour of an endpoint.
        dead_shards: Shards whose endpoints are broken.
    """
    rng = random.Random(1)
    answers = collections.defaultdict(_Answers)
    calls = []

    async def play() -> None:
        async with trio.open_nursery() as nursery:
            route, entries = _site()
            edge = builders.Edge(nursery, entries, [route], budget=BUDGET)
            edge.budget.set_users(lambda service: NODES)
            for entry in entries:
                name = entry.endpoint_id
                factor = (slow or {}).get(name, 1.0)
                edge.site.behaviours[name] = _Pausing(rng, factor)

            async def ask() -> None:
                now_s = trio.current_time()
                phase = _phase(now_s) if dead is not None else "usual"
                await _ask(edge, route, answers[phase])

            async def fail() -> None:
                if dead is None:
                    return
                await trio.sleep_until(DEAD_FROM_S)
                sound = dict(edge.site.behaviours)
                for i in range(dead_shards):
                    for zone in "ab":
                        broken = builders.Behaviour()
                        dead(broken)
                        edge.site.behaviours[f"{zone}{i}"] = broken
                await trio.sleep_until(DEAD_UNTIL_S)
                edge.site.behaviours.update(sound)

            nursery.start_soon(fail)
            while trio.current_time() < PLAYED_S:
                await trio.sleep(rng.expovariate(SEARCHES_PER_S))
                nursery.start_soon(ask)
            await trio.sleep(2.0)
            calls.append(len(edge.site.sent))
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    return answers, calls[0]


def _phase(now_s: float) -> str:
    if now_s < DEAD_FROM_S:
        return "usual"
    if DEAD_FROM_S + LEARNING_S <= now_s < DEAD_UNTIL_S - TIMEOUT_S:
        return "failing"
    return "back" if now_s >= DEAD_UNTIL_S + BACK_S else "learning"


class SearchLoadTest(unittest.TestCase):
    """Guards against repeats and choices that serve callers badly."""

    def test_pauses_and_stragglers_cost_few_answers(self) -> None:
        phases, calls = _play()
        answers = phases["usual"]
        # The association and the cooperative ask for 99 in 100 in time.
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.asked)
        self.assertGreaterEqual(answers.credit, 0.97 * answers.asked)
        allowed = BUDGET.ratio * answers.asked
        allowed += BUDGET.slack / NODES * PLAYED_S / BUDGET.window_s
        self.assertLessEqual(calls, SHARDS * (answers.asked + allowed))

    def test_slow_endpoints_beside_sound_ones_cost_few_answers(self) -> None:
        # A quarter of the endpoints, none with its only sibling.
        phases, _ = _play({f"a{i}": 8.0 for i in range(SHARDS // 2)})
        answers = phases["usual"]
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.asked)

    def test_slow_endpoints_without_sound_ones_still_serve(self) -> None:
        slow = {f"{z}{i}": 12.0 for i in range(DEAD_SHARDS) for z in "ab"}
        phases, _ = _play(slow)
        answers = phases["usual"]
        # Late answers are worth more than refusals.
        self.assertLessEqual(len(answers.refused), 0.05 * answers.asked)


class DeadShardLoadTest(unittest.TestCase):
    """Guards against callers who wait for shards that are known to be down."""

    def test_silent_shards_are_refused_at_once_until_they_return(
        self,
    ) -> None:
        self._check_refusals(_silence)

    def test_unreachable_shards_are_refused_at_once_until_they_return(
        self,
    ) -> None:
        self._check_refusals(_cut)

    def test_other_parts_do_not_wait_for_a_shard_that_is_down(self) -> None:
        usual = statistics.median(_play()[0]["usual"].took_ms)
        for dead in (_silence, _cut):
            phases, _ = _play(dead=dead, dead_shards=1)
            failing = phases["failing"]
            self.assertEqual(failing.refused, [])
            # Only the searches that find out whether it is back wait for it.
            self.assertLess(statistics.median(failing.took_ms), 1.2 * usual)

    def _check_refusals(
        self, dead: Callable[[builders.Behaviour], None]
    ) -> None:
        phases, _ = _play(dead=dead)
        failing = phases["failing"]
        self.assertEqual(failing.complete, 0)
        # Some searches find out whether the endpoints are back.
        others = failing.asked - PROBES_PER_S * (DEAD_UNTIL_S - DEAD_FROM_S)
        self.assertGreaterEqual(failing.early_refusals, 0.95 * others)
        back = phases["back"]
        self.assertGreaterEqual(back.in_time, 0.99 * back.asked)


def _silence(behaviour: builders.Behaviour) -> None:
    behaviour.reply = None


def _cut(behaviour: builders.Behaviour) -> None:
    behaviour.reply = None
    behaviour.connects = False


class BurstLoadTest(unittest.TestCase):
    """Guards against a burst in which fewer callers are served than before."""

    def test_more_callers_than_endpoints_bear_do_not_cost_answers(
        self,
    ) -> None:
        usual = _play_site(SEARCHES_PER_S)
        burst = _play_site(BURST_FACTOR * SEARCHES_PER_S)
        self.assertGreaterEqual(usual.in_time, 0.99 * usual.asked)
        # What cannot be served is refused, so that the rest is in time.
        self.assertGreaterEqual(burst.in_time, usual.in_time)


def _play_site(searches_per_s: float) -> _Answers:
    """Plays a load on each of all nodes, whose endpoints have queues."""
    rng = random.Random(2)
    answers = _Answers()
    route, entries = _site()
    nodes = [f"n{i}" for i in range(NODES)]

    def work_s() -> float:
        return rng.gammavariate(WORK_SHAPE, MEAN_WORK_S / WORK_SHAPE)

    async def call(edge: builders.Edge, nursery: trio.Nursery) -> None:
        while trio.current_time() < BURST_S:
            await trio.sleep(rng.expovariate(searches_per_s))
            nursery.start_soon(_ask, edge, route, answers)

    async def play() -> None:
        site = builders.FakeSite()
        for entry in entries:
            site.behaviours[entry.endpoint_id] = builders.QueueingBehaviour(
                entry.slots, work_s
            )
        async with trio.open_nursery() as nursery:
            for node_id in nodes:
                edge = builders.Edge(
                    nursery,
                    entries,
                    [route],
                    budget=BUDGET,
                    limits={"max_connections": MAX_CONNECTIONS},
                    members=nodes,
                    node_id=node_id,
                    site=site,
                )
                edge.budget.set_users(lambda service: NODES)
                nursery.start_soon(call, edge, nursery)
            await trio.sleep(BURST_S + 2 * TIMEOUT_S)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    return answers
