"""Budget of repeated calls, kept to by all nodes together.

The site allows each service, in any window, a share of its requests and a
fixed number of repeats on top. The share is earned by each node with its own
requests. The fixed number is divided by the number of nodes, so no message is
needed and the sum holds with any distribution of callers.
"""

from collections.abc import Callable
import dataclasses

# Part of what is allowed that is used. The rest is for repeats that cross the
# edge of a window, and for nodes that have just joined.
USED_PART = 0.85
# Part of the fixed number that can be spent at once; the rest comes back over
# the window.
BURST_PART = 0.6
# Part of the burst that a process starts with.
START_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What the site allows each service.

    Attributes:
        ratio: Repeats for each request.
        window_s: Window in which repeats are counted.
        slack: Repeats in a window beyond the ratio.
    """

    ratio: float
    window_s: float
    slack: float


class _Bucket:
    __slots__ = ("filled_s", "tokens")

    def __init__(self, tokens: float, filled_s: float) -> None:
        self.tokens = tokens
        self.filled_s = filled_s


class RetryBudget:
    """This node's part of the budget of each service.

    Args:
        limits: What the site allows.
        clock: Returns a monotonic time in s.
    """

    def __init__(
        self, limits: BudgetLimits, clock: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._users: Callable[[str], int] = _one

    def set_limits(self, limits: BudgetLimits) -> None:
        """Sets what the site allows from now on."""
        self._limits = limits

    def set_users(self, users: Callable[[str], int]) -> None:
        """Sets what tells how many nodes call a service."""
        self._users = users

    def _slack(self, service: str) -> float:
        return USED_PART * self._limits.slack / max(1, self._users(service))

    def earn(self, service: str) -> None:
        """Counts the first call of a request to a service."""
        bucket = self._bucket(service)
        earned = bucket.tokens + USED_PART * self._limits.ratio
        bucket.tokens = min(self._capacity(service), earned)

    def has(self, service: str) -> bool:
        """Tells whether a repeat is left."""
        return self._bucket(service).tokens >= 1

    def take(self, service: str) -> bool:
        """Takes a repeat from the budget; False if there is none left."""
        if not self.has(service):
            return False
        self._buckets[service].tokens -= 1
        return True

    def _capacity(self, service: str) -> float:
        return max(1.0, BURST_PART * self._slack(service))

    def _bucket(self, service: str) -> _Bucket:
        now_s = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            # A process that has just started may follow one that has spent
            # its part, so it starts with little.
            capacity = self._capacity(service)
            bucket = _Bucket(max(1.0, START_PART * capacity), now_s)
            self._buckets[service] = bucket
            return bucket
        refill_s = now_s - bucket.filled_s
        bucket.filled_s = now_s
        per_s = (1 - BURST_PART) * self._slack(service) / self._limits.window_s
        filled = bucket.tokens + per_s * refill_s
        bucket.tokens = min(self._capacity(service), filled)
        return bucket


def _one(service: str) -> int:
    return 1
