"""Deadlines of a request, and when a repeat of a call pays."""

import dataclasses

from geraniumstair import calls
from geraniumstair import routing
from geraniumstair.forward import _call

# Time that a request and its answer spend on the network, connecting included.
# The latency goal counts from the caller's first byte.
NETWORK_MARGIN_MS = 7.0
# Processor time, at one core, that reading a request, merging its parts and
# writing the answer take.
PROCESSOR_MARGIN_MS = 6.0
# The same for the parts that another node merges.
HOP_NETWORK_MARGIN_MS = 3.0
HOP_PROCESSOR_MARGIN_MS = 3.0
LEAST_CORES = 0.25
# The final answer leaves this long before the caller stops waiting.
DEADLINE_MARGIN_MS = 20.0
# A caller that does not say how long it waits is given this time.
DEFAULT_REMAINING_MS = 30_000.0
# A call is repeated when it lasts longer than this part of recent ones.
HEDGE_QUANTILE = 0.9
HEDGE_MARGIN_MS = 2.0
# Bounds of the delay as a part of the latency goal.
HEDGE_LEAST_PART = 0.12
HEDGE_GREATEST_PART = 0.4
# Used before there are enough samples.
HEDGE_INITIAL_PART = 0.3
LEAST_SAMPLES = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Deadlines:
    """Times on the monotonic clock.

    Attributes:
        goal_s: An incomplete answer is sent if enough parts are in.
        final_s: The request gets its final answer.
        caller_s: The caller stops waiting.
    """

    goal_s: float
    final_s: float
    caller_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Margins:
    """Time that is kept back for what happens after the decision.

    Attributes:
        answer_ms: Between the decision and the caller.
        hop_ms: Between another node's decision and this one's.
    """

    answer_ms: float
    hop_ms: float

    @classmethod
    def for_cores(cls, cores: float) -> "Margins":
        """Returns the margins of a node that may use so many cores."""
        cores = max(cores, LEAST_CORES)
        return cls(
            NETWORK_MARGIN_MS + PROCESSOR_MARGIN_MS / cores,
            HOP_NETWORK_MARGIN_MS + HOP_PROCESSOR_MARGIN_MS / cores,
        )


def deadlines(
    request: _call.CallerRequest, route: routing.Route, margins: Margins
) -> Deadlines:
    """Returns the deadlines of a request."""
    remaining_ms = request.remaining_ms
    if remaining_ms is None:
        remaining_ms = max(route.timeout_ms, DEFAULT_REMAINING_MS)
    limit_ms = min(remaining_ms, route.timeout_ms)
    margin_ms = min(DEADLINE_MARGIN_MS, limit_ms / 4)
    goal_ms = route.latency_goal_ms
    goal_ms -= min(margins.answer_ms, goal_ms / 3)
    return Deadlines(
        goal_s=request.received_s + min(goal_ms, limit_ms - margin_ms) / 1000,
        final_s=request.received_s + (limit_ms - margin_ms) / 1000,
        caller_s=request.received_s + remaining_ms / 1000,
    )


class HedgeDelays:
    """Delays after which calls are repeated, learnt for each route."""

    def __init__(self) -> None:
        self._windows: dict[str, calls.LatencyWindow] = {}

    def add(self, route: routing.Route, latency_ms: float) -> None:
        """Adds the time of one call."""
        window = self._windows.get(route.name)
        if window is None:
            window = self._windows[route.name] = calls.LatencyWindow()
        window.add(latency_ms)

    def delay_ms(self, route: routing.Route) -> float:
        """Returns the delay for calls of a route."""
        goal_ms = route.latency_goal_ms
        window = self._windows.get(route.name)
        if window is None or len(window) < LEAST_SAMPLES:
            return HEDGE_INITIAL_PART * goal_ms
        delay_ms = window.quantile(HEDGE_QUANTILE) + HEDGE_MARGIN_MS
        least_ms = HEDGE_LEAST_PART * goal_ms
        return min(max(delay_ms, least_ms), HEDGE_GREATEST_PART * goal_ms)
