"""Deadlines of a request, and when a repeat of a call pays."""

import dataclasses

from geraniumstair import calls
from geraniumstair import routing
from geraniumstair.forward import _call

# Time that a request and its answer spend on the network, connecting included.
# The latency goal counts from the caller's first byte.
NETWORK_MARGIN_MS = 9.5
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
HEDGE_QUANTILE = 0.95
HEDGE_MARGIN_MS = 2.0
# Bounds of the delay as a part of the latency goal.
HEDGE_LEAST_PART = 0.12
HEDGE_GREATEST_PART = 0.4
# Used before there are enough samples.
HEDGE_INITIAL_PART = 0.3
LEAST_SAMPLES = 40
# Part of a route's callers that have to wait equally long before a shorter
# time is taken to mean that some of it has passed.
LEAST_EQUAL_WAITS = 0.6
# Weight of a new sample in the moving average of that part.
EQUAL_WAITS_WEIGHT = 0.05
# Callers give their time in whole milliseconds.
WAIT_TOLERANCE_MS = 1.0


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
    request: _call.CallerRequest,
    route: routing.Route,
    margins: Margins,
    waited_ms: float = 0.0,
) -> Deadlines:
    """Returns the deadlines of a request.

    Args:
        request: The request.
        route: Its route.
        margins: Time that is kept back.
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


class _Wait:
    __slots__ = ("equal_part", "longest_ms")

    def __init__(self) -> None:
        self.longest_ms = 0.0
        self.equal_part = 0.0


class CallerWaits:
    """Tells how long callers have waited before their request arrived.

    A latency goal counts from a caller's first attempt. One that comes back
    after a failure, or had to connect first, has less time left than the
    others of its route.
    """

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}

    def waited_ms(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> float:
        """Returns the time in ms; 0 if it is not known."""
        remaining_ms = request.remaining_ms
        if remaining_ms is None:
            return 0.0
        wait = self._waits.setdefault(route.name, _Wait())
        if remaining_ms > wait.longest_ms + WAIT_TOLERANCE_MS:
            wait.longest_ms = remaining_ms
            wait.equal_part = 0.0
        passed_ms = wait.longest_ms - remaining_ms
        equal = passed_ms <= WAIT_TOLERANCE_MS
        wait.equal_part += EQUAL_WAITS_WEIGHT * (equal - wait.equal_part)
        if equal or wait.equal_part < LEAST_EQUAL_WAITS:
            return 0.0
        # A caller beyond its goal may just be one that waits less long.
        return passed_ms if passed_ms < route.latency_goal_ms else 0.0
