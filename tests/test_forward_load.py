"""Simulates the load of one node or site and checks what its callers get."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import random
import statistics
import unittest

import trio
import trio.testing

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import routing
from tests import builders_gateway as builders

# One of seven nodes, as on the small sites: 20 shards of two endpoints, 6.4
# searches a second, a latency goal of 183 ms, and at least 18 parts in an
# answer.
SHARDS = 20
NODES = 7
SEARCHES_PER_S = 6.4
LATENCY_GOAL_MS = 183.0
TIMEOUT_S = 1.5
MIN_COVERAGE = 0.89
# A call takes 30 ms on average, and sometimes five times as long.
MEAN_WORK_S = 0.030
WORK_SHAPE = 8.0
LONG_WORK_SHARE = 0.01
LONG_WORK_FACTOR = 5
# Endpoints pause for 200 ms every 4.5 s.
PAUSE_S = 0.2
PAUSE_INTERVAL_S = 4.5
SIMULATED_S = 60.0
# Both endpoints of more shards than an answer may leave out fail during this
# time.
FAILING_SHARDS = 3
FAILURE_START_S = 20.0
FAILURE_END_S = 40.0
# Limit of connections to an endpoint on the small sites.
MAX_CONNECTIONS = 26
# Two endpoints of two slots can serve 133 calls a second; seven nodes send 45
# usually and 179 in a burst.
BURST_FACTOR = 4
BURST_S = 8.0
# Load of each node as a multiple of the mean.
UNEVEN_SHARES = (3.0, 2.0, 1.0, 0.5, 0.3, 0.1, 0.1)
# A tenth of the shards has one slow endpoint of two.
SLOW_SHARDS = 2
SLOW_FACTOR = 8.0
# Failures in a row and a second without a reply show that an endpoint is down.
DETECTION_S = 4.0
# Searches that may call endpoints which are down. More probes would keep their
# callers waiting in vain; with fewer probes, recovered endpoints would be used
# too late.
PROBES_PER_S = 2
# After the recovery, callers are served once the longest Retry-After has
# passed.
RECOVERY_S = 2.0
# A caller who is refused within this share of the latency goal has most of it
# left for another attempt.
EARLY_SHARE = 0.25
# The site allows a service a fifth of its requests as repeats, and 54 more in
# ten seconds.
BUDGET = forward.BudgetLimits(0.2, 10.0, 54.0)


class _PausingBehaviour(builders.Behaviour):
    """An endpoint of random speed that pauses regularly."""

    def __init__(self, rng: random.Random, slowdown: float = 1.0) -> None:
        super().__init__()
        self._rng = rng
        self._slowdown = slowdown
        self._phase_s = rng.uniform(0.0, PAUSE_INTERVAL_S)

    @property  # type: ignore[override]
    def delay_s(self) -> float:
        """Time until the next call is answered."""
        work_s = self._rng.gammavariate(WORK_SHAPE, MEAN_WORK_S / WORK_SHAPE)
        work_s *= self._slowdown
        if self._rng.random() < LONG_WORK_SHARE:
            work_s *= LONG_WORK_FACTOR
        into_interval_s = (
            trio.current_time() + self._phase_s
        ) % PAUSE_INTERVAL_S
        if into_interval_s < PAUSE_S:
            return PAUSE_S - into_interval_s + work_s
        if into_interval_s + work_s > PAUSE_INTERVAL_S:
            return work_s + PAUSE_S
        return work_s

    @delay_s.setter
    def delay_s(self, value: float) -> None:
        pass


class _AnswerStats:
    """Counts what the callers of a load got."""

    def __init__(self) -> None:
        self.requests = 0
        self.complete = 0
        self.in_time = 0
        self.value = 0.0
        self.refused: list[tuple[float, forward.Refused]] = []
        self.took_ms: list[float] = []

    def add(self, outcome: forward.ForwardResult, took_ms: float) -> None:
        self.requests += 1
        if not isinstance(outcome, forward.SearchResult):
            self.refused.append((took_ms, outcome))
            return
        self.complete += not outcome.missing
        self.took_ms.append(took_ms)
        if took_ms <= LATENCY_GOAL_MS:
            self.in_time += 1
            self.value += (1 - outcome.missing / SHARDS) ** 2

    @property
    def early_refusals(self) -> int:
        """Callers who were refused early, whose search did not run."""
        return sum(
            took_ms <= EARLY_SHARE * LATENCY_GOAL_MS
            and refused.not_run
            and refused.retry_after_s is not None
            for took_ms, refused in self.refused
        )


def _build_site() -> tuple[routing.Route, list[discovery.EndpointEntry]]:
    """Returns a search over all shards, and their endpoints."""
    route = builders.search_route(
        [f"s{i}" for i in range(SHARDS)],
        latency_goal_ms=LATENCY_GOAL_MS,
        min_coverage=MIN_COVERAGE,
        timeout_ms=TIMEOUT_S * 1000,
    )
    entries = [
        builders.endpoint_entry(f"{zone}{i}", service=f"s{i}")
        for i in range(SHARDS)
        for zone in "ab"
    ]
    return route, entries


async def _send_search(
    fixture: builders.ForwarderFixture,
    route: routing.Route,
    answers: _AnswerStats,
) -> None:
    """Sends one search and records what its caller gets."""
    started_s = trio.current_time()
    outcome = await fixture.forwarder.forward(
        builders.caller_request(remaining_ms=TIMEOUT_S * 1000), route
    )
    answers.add(outcome, (trio.current_time() - started_s) * 1000)


def _simulate_node(
    slow: dict[str, float] | None = None,
    break_endpoint: Callable[[builders.Behaviour], None] | None = None,
    failing_shards: int = FAILING_SHARDS,
) -> tuple[dict[str, _AnswerStats], int]:
    """Returns the answers by phase, and the number of calls to endpoints.

    The phases are `usual`, and `failing` and `recovered` with failing
    endpoints. The first seconds of the latter two, in which the node detects
    the change, count as `detecting`.

    Args:
        slow: Factors by which the calls to endpoints take longer.
        break_endpoint: Changes the behaviour of an endpoint to a failing one.
        failing_shards: Number of shards whose endpoints fail.
    """
    rng = random.Random(1)
    answers = collections.defaultdict(_AnswerStats)
    calls = []

    async def simulate() -> None:
        async with trio.open_nursery() as nursery:
            route, entries = _build_site()
            fixture = builders.ForwarderFixture(
                nursery, entries, [route], budget=BUDGET
            )
            fixture.budget.set_share_finder(lambda service: 1 / NODES)
            for entry in entries:
                name = entry.endpoint_id
                slowdown = (slow or {}).get(name, 1.0)
                fixture.site.behaviours[name] = _PausingBehaviour(rng, slowdown)

            async def send_search() -> None:
                now_s = trio.current_time()
                phase = _phase(now_s) if break_endpoint is not None else "usual"
                await _send_search(fixture, route, answers[phase])

            async def break_and_restore() -> None:
                if break_endpoint is None:
                    return
                await trio.sleep_until(FAILURE_START_S)
                intact = dict(fixture.site.behaviours)
                for i in range(failing_shards):
                    for zone in "ab":
                        failing = builders.Behaviour()
                        break_endpoint(failing)
                        fixture.site.behaviours[f"{zone}{i}"] = failing
                await trio.sleep_until(FAILURE_END_S)
                fixture.site.behaviours.update(intact)

            nursery.start_soon(break_and_restore)
            while trio.current_time() < SIMULATED_S:
                await trio.sleep(rng.expovariate(SEARCHES_PER_S))
                nursery.start_soon(send_search)
            await trio.sleep(2.0)
            calls.append(len(fixture.site.sent))
            nursery.cancel_scope.cancel()

    trio.run(simulate, clock=trio.testing.MockClock(autojump_threshold=0))
    return answers, calls[0]


def _phase(now_s: float) -> str:
    if now_s < FAILURE_START_S:
        return "usual"
    if FAILURE_START_S + DETECTION_S <= now_s < FAILURE_END_S - TIMEOUT_S:
        return "failing"
    return "recovered" if now_s >= FAILURE_END_S + RECOVERY_S else "detecting"


class SearchLoadTest(unittest.TestCase):
    """Guards against hedges and load balancing that delay answers."""

    def test_pauses_and_stragglers_cost_few_answers(self) -> None:
        phases, calls = _simulate_node()
        answers = phases["usual"]
        # The association and the cooperative require 99 of 100 answers in time.
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.requests)
        self.assertGreaterEqual(answers.value, 0.97 * answers.requests)
        allowed = BUDGET.ratio * answers.requests
        allowed += BUDGET.extra_repeats / NODES * SIMULATED_S / BUDGET.window_s
        self.assertLessEqual(calls, SHARDS * (answers.requests + allowed))

    def test_slow_endpoints_beside_healthy_ones_cost_few_answers(self) -> None:
        # A quarter of the endpoints are slow; the other endpoint of each of
        # their shards is not.
        phases, _ = _simulate_node({f"a{i}": 8.0 for i in range(SHARDS // 2)})
        answers = phases["usual"]
        self.assertGreaterEqual(answers.in_time, 0.99 * answers.requests)

    def test_slow_endpoints_without_healthy_ones_still_serve(self) -> None:
        slow = {f"{z}{i}": 12.0 for i in range(FAILING_SHARDS) for z in "ab"}
        phases, _ = _simulate_node(slow)
        answers = phases["usual"]
        # Late answers are worth more than refusals.
        self.assertLessEqual(len(answers.refused), 0.05 * answers.requests)


class FailingShardLoadTest(unittest.TestCase):
    """Guards against callers who wait for shards that are known to be down."""

    def test_silent_shards_are_refused_at_once_until_they_return(
        self,
    ) -> None:
        self._check_refusals(_make_silent)

    def test_unreachable_shards_are_refused_at_once_until_they_return(
        self,
    ) -> None:
        self._check_refusals(_make_unreachable)

    def test_other_parts_do_not_wait_for_a_shard_that_is_down(self) -> None:
        usual = statistics.median(_simulate_node()[0]["usual"].took_ms)
        for break_endpoint in (_make_silent, _make_unreachable):
            phases, _ = _simulate_node(
                break_endpoint=break_endpoint, failing_shards=1
            )
            failing = phases["failing"]
            self.assertEqual(failing.refused, [])
            # Only the searches that probe the shard wait for it.
            self.assertLess(statistics.median(failing.took_ms), 1.2 * usual)

    def _check_refusals(
        self, break_endpoint: Callable[[builders.Behaviour], None]
    ) -> None:
        phases, _ = _simulate_node(break_endpoint=break_endpoint)
        failing = phases["failing"]
        self.assertEqual(failing.complete, 0)
        # Some searches probe whether the endpoints have recovered.
        others = failing.requests - PROBES_PER_S * (
            FAILURE_END_S - FAILURE_START_S
        )
        self.assertGreaterEqual(failing.early_refusals, 0.95 * others)
        recovered = phases["recovered"]
        self.assertGreaterEqual(recovered.in_time, 0.99 * recovered.requests)


def _make_silent(behaviour: builders.Behaviour) -> None:
    behaviour.reply = None


def _make_unreachable(behaviour: builders.Behaviour) -> None:
    behaviour.reply = None
    behaviour.connects = False


class BurstLoadTest(unittest.TestCase):
    """Guards against a burst in which fewer callers are served than before."""

    def test_more_callers_than_endpoints_bear_do_not_cost_answers(
        self,
    ) -> None:
        usual = _simulate_site(SEARCHES_PER_S)
        burst = _simulate_site(BURST_FACTOR * SEARCHES_PER_S)
        self.assertGreaterEqual(usual.in_time, 0.99 * usual.requests)
        # Searches that cannot be served are refused, so that the others are
        # answered in time.
        self.assertGreaterEqual(burst.in_time, usual.in_time)

    def test_eight_times_the_usual_load(self) -> None:
        usual = _simulate_site(SEARCHES_PER_S)
        burst = _simulate_site(2 * BURST_FACTOR * SEARCHES_PER_S)
        self.assertGreaterEqual(burst.in_time, usual.in_time)

    def test_callers_are_spread_unevenly_over_the_nodes(self) -> None:
        usual = _simulate_site(SEARCHES_PER_S)
        burst = _simulate_site(
            BURST_FACTOR * SEARCHES_PER_S, node_shares=UNEVEN_SHARES
        )
        self.assertGreaterEqual(burst.in_time, usual.in_time)

    def test_some_shards_have_one_slow_endpoint_of_two(self) -> None:
        usual = _simulate_site(SEARCHES_PER_S)
        burst = _simulate_site(
            BURST_FACTOR * SEARCHES_PER_S, slow_shards=SLOW_SHARDS
        )
        self.assertGreaterEqual(burst.in_time, usual.in_time)


def _simulate_site(
    searches_per_s: float,
    *,
    node_shares: Sequence[float] = (1.0,) * NODES,
    slow_shards: int = 0,
) -> _AnswerStats:
    """Simulates the load of all nodes, whose endpoints have queues.

    Args:
        searches_per_s: Mean of all nodes.
        node_shares: Load of each node as a multiple of the mean.
        slow_shards: Shards of which one endpoint is slow.
    """
    rng = random.Random(2)
    answers = _AnswerStats()
    route, entries = _build_site()
    nodes = [f"n{i}" for i in range(NODES)]

    def work_s() -> float:
        return rng.gammavariate(WORK_SHAPE, MEAN_WORK_S / WORK_SHAPE)

    def slow_work_s() -> float:
        return SLOW_FACTOR * work_s()

    async def send_searches(
        fixture: builders.ForwarderFixture,
        nursery: trio.Nursery,
        node_share: float,
    ) -> None:
        while trio.current_time() < BURST_S:
            await trio.sleep(rng.expovariate(searches_per_s * node_share))
            nursery.start_soon(_send_search, fixture, route, answers)

    async def simulate() -> None:
        site = builders.FakeSite()
        for entry in entries:
            site.behaviours[entry.endpoint_id] = builders.QueueingBehaviour(
                entry.slots, work_s
            )
        for entry in entries[: 2 * slow_shards : 2]:
            site.behaviours[entry.endpoint_id] = builders.QueueingBehaviour(
                entry.slots, slow_work_s
            )
        async with trio.open_nursery() as nursery:
            for node_id, node_share in zip(nodes, node_shares, strict=True):
                fixture = builders.ForwarderFixture(
                    nursery,
                    entries,
                    [route],
                    budget=BUDGET,
                    limits={"max_connections": MAX_CONNECTIONS},
                    members=nodes,
                    node_id=node_id,
                    site=site,
                )
                fixture.budget.set_share_finder(lambda service: 1 / NODES)
                nursery.start_soon(send_searches, fixture, nursery, node_share)
            await trio.sleep(BURST_S + 2 * TIMEOUT_S)
            nursery.cancel_scope.cancel()

    trio.run(simulate, clock=trio.testing.MockClock(autojump_threshold=0))
    return answers
