"""Token buckets that keep repeated calls within the site's budget.

For each service, the site allows repeats up to a ratio of the requests in any
window, plus a fixed number. Each node gains tokens by the ratio from its own
requests. The fixed number is divided among the nodes, so they exchange no
messages, and their repeats together stay within the limits for any distribution
of callers.
"""

from collections.abc import Callable
import dataclasses
import math

# Share of the allowed repeats that the nodes use. The rest is for repeats that
# cross the edge of a window, and for nodes that have just joined.
USED_SHARE = 0.85
# Share of the fixed number that can be consumed at once; the rest is refilled
# over the window.
BURST_SHARE = 0.6
# How long a node's share of the fixed number is used before it is looked up
# again. Each call of a search asks for it several times.
SHARE_TTL_S = 0.5
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
    __slots__ = (
        "calls",
        "node_extra_repeats",
        "refilled_at_s",
        "repeats",
        "requests",
        "share_found_s",
        "tokens",
    )

    def __init__(self, refilled_at_s: float) -> None:
        self.tokens = 0.0
        self.refilled_at_s = refilled_at_s
        # This node's part of the fixed number, and when it was computed.
        self.node_extra_repeats = 0.0
        self.share_found_s = -math.inf
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

    def _update_share(
        self, bucket: _Bucket, service: str, now_s: float
    ) -> None:
        if now_s < bucket.share_found_s + SHARE_TTL_S:
            return
        bucket.share_found_s = now_s
        bucket.node_extra_repeats = (
            USED_SHARE * self._limits.extra_repeats * self._find_share(service)
        )

    def record_request(self, service: str) -> None:
        """Adds tokens for the first call of a request to a service."""
        bucket = self._refill_bucket(service)
        tokens = bucket.tokens + USED_SHARE * self._limits.ratio
        bucket.tokens = min(_compute_capacity(bucket), tokens)
        bucket.requests += 1

    def record_call(self, service: str) -> None:
        """Counts a call for the report, whether it is a repeat or not."""
        bucket = self._buckets.get(service) or self._refill_bucket(service)
        bucket.calls += 1

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
                    bucket.node_extra_repeats,
                )
            )
            bucket.requests = bucket.calls = bucket.repeats = 0
        return usage

    def _refill_bucket(self, service: str) -> _Bucket:
        now_s = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(self._started_s)
            self._update_share(bucket, service, now_s)
            # The previous process of this node may have used its share shortly
            # before, so a new process starts with few tokens. It has gained
            # more since then.
            bucket.tokens = INITIAL_SHARE * BURST_SHARE
            bucket.tokens *= bucket.node_extra_repeats
        else:
            self._update_share(bucket, service, now_s)
        elapsed_s = now_s - bucket.refilled_at_s
        bucket.refilled_at_s = now_s
        per_s = (
            (1 - BURST_SHARE)
            * bucket.node_extra_repeats
            / self._limits.window_s
        )
        tokens = bucket.tokens + per_s * elapsed_s
        bucket.tokens = min(_compute_capacity(bucket), tokens)
        return bucket


def _compute_capacity(bucket: _Bucket) -> float:
    return max(1.0, BURST_SHARE * bucket.node_extra_repeats)


def _take_all(service: str) -> float:
    return 1.0
