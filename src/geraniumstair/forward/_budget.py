"""Token buckets that keep repeated calls within the site's budget.

For each service, the site allows repeats up to a ratio of the requests in any
window, plus a fixed number. Each node gains tokens by the ratio from its own
requests. The fixed number is divided among the nodes, so they exchange no
messages, and their repeats together stay within the limits for any distribution
of callers.
"""

from collections.abc import Callable
import dataclasses

# Share of the allowed repeats that the nodes use. The rest is for repeats that
# cross the edge of a window, and for nodes that have just joined.
USED_SHARE = 0.85
# Share of the fixed number that can be consumed at once; the rest is refilled
# over the window.
BURST_SHARE = 0.6
# Share of the burst with which a process starts.
INITIAL_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on repeats for each service, over all nodes.

    Attributes:
        ratio: Repeats for each request.
        window_s: Window in which repeats are counted.
        extra_repeats: Repeats in a window in addition to the ratio.
    """

    ratio: float
    window_s: float
    extra_repeats: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUsage:
    """What this node sent to one service since the previous report.

    Attributes:
        service: The service.
        requests: First calls of requests.
        calls: All calls, repeats included.
        repeats: Calls that consumed a token.
        node_extra_repeats: This node's part of the fixed number of repeats in a
            window.
    """

    service: str
    requests: int
    calls: int
    repeats: int
    node_extra_repeats: float


class _Bucket:
    __slots__ = ("calls", "refilled_at_s", "repeats", "requests", "tokens")

    def __init__(self, tokens: float, refilled_at_s: float) -> None:
        self.tokens = tokens
        self.refilled_at_s = refilled_at_s
        self.requests = 0
        self.calls = 0
        self.repeats = 0


class RetryBudget:
    """This node's token buckets for repeats, one for each service.

    Args:
        limits: Limits of the site.
        clock: Returns a monotonic time in s.
    """

    def __init__(
        self, limits: BudgetLimits, clock: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._started_s = clock()
        self._buckets: dict[str, _Bucket] = {}
        self._find_share: Callable[[str], float] = _take_all

    def set_limits(self, limits: BudgetLimits) -> None:
        """Replaces the limits of the site."""
        self._limits = limits

    def set_share_finder(self, find_share: Callable[[str], float]) -> None:
        """Sets the function that returns this node's share of the fixed number.

        Args:
            find_share: Returns the share for a service, 0 to 1.
        """
        self._find_share = find_share

    def _compute_node_extra_repeats(self, service: str) -> float:
        return (
            USED_SHARE * self._limits.extra_repeats * self._find_share(service)
        )

    def record_request(self, service: str) -> None:
        """Adds tokens for the first call of a request to a service."""
        bucket = self._refill_bucket(service)
        tokens = bucket.tokens + USED_SHARE * self._limits.ratio
        bucket.tokens = min(self._compute_capacity(service), tokens)
        bucket.requests += 1

    def record_call(self, service: str) -> None:
        """Counts a call for the report, whether it is a repeat or not."""
        self._refill_bucket(service).calls += 1

    def has_token(self, service: str) -> bool:
        """Returns whether the budget allows a repeat now."""
        return self._refill_bucket(service).tokens >= 1

    def try_consume(self, service: str) -> bool:
        """Consumes a token for a repeat; returns False if none is left."""
        if not self.has_token(service):
            return False
        bucket = self._buckets[service]
        bucket.tokens -= 1
        bucket.repeats += 1
        return True

    @property
    def window_s(self) -> float:
        """Window in which the site counts repeats."""
        return self._limits.window_s

    def collect_usage(self) -> list[ServiceUsage]:
        """Returns the services called since the previous report."""
        usage = []
        for service, bucket in self._buckets.items():
            if not bucket.calls and not bucket.requests:
                continue
            usage.append(
                ServiceUsage(
                    service,
                    bucket.requests,
                    bucket.calls,
                    bucket.repeats,
                    self._compute_node_extra_repeats(service),
                )
            )
            bucket.requests = bucket.calls = bucket.repeats = 0
        return usage

    def _compute_burst(self, service: str) -> float:
        return BURST_SHARE * self._compute_node_extra_repeats(service)

    def _compute_capacity(self, service: str) -> float:
        return max(1.0, self._compute_burst(service))

    def _refill_bucket(self, service: str) -> _Bucket:
        now_s = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            # The previous process of this node may have used its share shortly
            # before, so a new process starts with few tokens. It has gained
            # more since then.
            tokens = INITIAL_SHARE * self._compute_burst(service)
            bucket = _Bucket(tokens, self._started_s)
            self._buckets[service] = bucket
        elapsed_s = now_s - bucket.refilled_at_s
        bucket.refilled_at_s = now_s
        per_s = (
            (1 - BURST_SHARE)
            * self._compute_node_extra_repeats(service)
            / self._limits.window_s
        )
        tokens = bucket.tokens + per_s * elapsed_s
        bucket.tokens = min(self._compute_capacity(service), tokens)
        return bucket


def _take_all(service: str) -> float:
    return 1.0
