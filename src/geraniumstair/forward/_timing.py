"""Deadlines of requests, and delays of hedged calls."""

import dataclasses

from geraniumstair import endpoint_http
from geraniumstair import routing
from geraniumstair.forward import _call

# Time that a request and its answer spend on the network, including the
# connection setup. The latency goal counts from the caller's first byte.
NETWORK_MARGIN_MS = 9.5
# Processor time on one core for reading a request, merging its parts and
# writing the answer.
PROCESSOR_MARGIN_MS = 6.0
# The same margins for the parts that another node merges.
HOP_NETWORK_MARGIN_MS = 3.0
HOP_PROCESSOR_MARGIN_MS = 3.0
MIN_CORES = 0.25
# The final answer is sent this long before the caller stops waiting.
DEADLINE_MARGIN_MS = 20.0
# Remaining time that is assumed if the caller does not state it.
DEFAULT_REMAINING_MS = 30_000.0
# A call is hedged when it lasts longer than this quantile of recent latencies,
# plus the margin.
HEDGE_QUANTILE = 0.95
HEDGE_MARGIN_MS = 2.0
# Bounds of the delay, as shares of the latency goal.
HEDGE_MIN_SHARE = 0.12
HEDGE_MAX_SHARE = 0.4
# Delay that is used before there are enough samples.
HEDGE_INITIAL_SHARE = 0.3
MIN_SAMPLES = 40
# Share of a route's callers that must have the same timeout before a shorter
# remaining time is taken to mean that some of it has passed.
MIN_EQUAL_SHARE = 0.6
# Weight of a new sample in the moving average of that share.
EQUAL_SHARE_WEIGHT = 0.05
# Callers state their remaining time in whole milliseconds.
WAIT_TOLERANCE_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deadlines:
    """Deadlines of a request, on the monotonic clock.

    Attributes:
        goal_s: When an incomplete answer is sent if it has enough parts.
        final_s: When the request gets its final answer.
        caller_s: When the caller stops waiting.
    """

    goal_s: float
    final_s: float
    caller_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Margins:
    """Time that is reserved for work after a decision.

    Attributes:
        answer_ms: From the decision until the caller has the answer.
        hop_ms: From another node's decision until this node's decision.
    """

    answer_ms: float
    hop_ms: float

    @classmethod
    def for_cores(cls, cores: float) -> "Margins":
        """Returns the margins of a node that may use this many cores."""
        cores = max(cores, MIN_CORES)
        return cls(
            NETWORK_MARGIN_MS + PROCESSOR_MARGIN_MS / cores,
            HOP_NETWORK_MARGIN_MS + HOP_PROCESSOR_MARGIN_MS / cores,
        )


def compute_deadlines(
    request: _call.CallerRequest,
    route: routing.Route,
    margins: Margins,
    waited_ms: float = 0.0,
) -> Deadlines:
    """Returns the deadlines of a request.

    Args:
        request: The request.
        route: Its route.
        margins: Time that is reserved.
        waited_ms: How long the caller had waited when the request arrived.
    """
    remaining_ms = request.remaining_ms
    if remaining_ms is None:
        remaining_ms = max(route.timeout_ms, DEFAULT_REMAINING_MS)
    limit_ms = min(remaining_ms, route.timeout_ms)
    margin_ms = min(DEADLINE_MARGIN_MS, limit_ms / 4)
    goal_ms = route.latency_goal_ms
    goal_ms -= min(margins.answer_ms, goal_ms / 3)
    goal_ms = max(0.0, goal_ms - waited_ms)
    return Deadlines(
        goal_s=request.received_s + min(goal_ms, limit_ms - margin_ms) / 1000,
        final_s=request.received_s + (limit_ms - margin_ms) / 1000,
        caller_s=request.received_s + remaining_ms / 1000,
    )


class HedgeDelays:
    """Delays of hedged calls, based on recent latencies of each route."""

    def __init__(self) -> None:
        self._windows: dict[str, endpoint_http.LatencyWindow] = {}

    def add(self, route: routing.Route, latency_ms: float) -> None:
        """Adds the latency of one call."""
        window = self._windows.get(route.name)
        if window is None:
            window = self._windows[route.name] = endpoint_http.LatencyWindow()
        window.add(latency_ms)

    def delay_ms(self, route: routing.Route) -> float:
        """Returns the delay before a call of a route is hedged."""
        goal_ms = route.latency_goal_ms
        window = self._windows.get(route.name)
        if window is None or len(window) < MIN_SAMPLES:
            return HEDGE_INITIAL_SHARE * goal_ms
        delay_ms = window.quantile(HEDGE_QUANTILE) + HEDGE_MARGIN_MS
        min_ms = HEDGE_MIN_SHARE * goal_ms
        return min(max(delay_ms, min_ms), HEDGE_MAX_SHARE * goal_ms)


class _TimeoutStats:
    """Remaining times that the callers of one route state.

    Attributes:
        longest_remaining_ms: Longest remaining time so far.
        equal_share: Moving average of the share of callers that state this
            longest time.
    """

    __slots__ = ("equal_share", "longest_remaining_ms")

    def __init__(self) -> None:
        self.longest_remaining_ms = 0.0
        self.equal_share = 0.0


class CallerWaitEstimator:
    """Estimates how long callers waited before their request arrived.

    A latency goal counts from a caller's first attempt. A caller that retries
    after a failure, or had to connect first, has less time left than the other
    callers of its route.
    """

    def __init__(self) -> None:
        self._stats_by_route: dict[str, _TimeoutStats] = {}

    def estimate_waited_ms(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> float:
        """Returns how long the caller has waited, in ms; 0 if unknown."""
        remaining_ms = request.remaining_ms
        if remaining_ms is None:
            return 0.0
        stats = self._stats_by_route.setdefault(route.name, _TimeoutStats())
        if remaining_ms > stats.longest_remaining_ms + WAIT_TOLERANCE_MS:
            stats.longest_remaining_ms = remaining_ms
            stats.equal_share = 0.0
        passed_ms = stats.longest_remaining_ms - remaining_ms
        is_equal = passed_ms <= WAIT_TOLERANCE_MS
        stats.equal_share += EQUAL_SHARE_WEIGHT * (is_equal - stats.equal_share)
        if is_equal or stats.equal_share < MIN_EQUAL_SHARE:
            return 0.0
        # A caller that seems to be past its goal may only have a shorter
        # timeout.
        return passed_ms if passed_ms < route.latency_goal_ms else 0.0
