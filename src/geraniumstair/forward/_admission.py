"""Limits the searches in progress when the endpoints' queues grow.

Every search calls all its shards. If more searches arrive than the endpoints
bear, their queues grow until hardly any search has enough parts in time. This
module answers that load: it learns from finished searches how many this node
may work on at once, and refuses the others before they call any shard.

Slow endpoints also delay searches, but refusing searches does not make those
endpoints faster. They delay a part of the shards, and a queue delays nearly all
of them, so only a search that lacks many of its parts at its latency goal
lowers the limit.
"""

from collections.abc import Callable
import dataclasses
import enum
import math

# Factor for the searches in progress when a search shows an overload.
DECREASE_FACTOR = 0.7
MIN_LIMIT = 2.0
MAX_LIMIT = 1000.0
# Share of the limit for new callers of less urgent routes. The rest is for the
# most urgent route and for callers that return after a refusal.
NEW_CALLER_SHARE = 0.8
# A search shows an overload if it has less than this share of its parts at its
# latency goal.
OVERLOAD_PART_SHARE = 0.65
# With fewer shards, one slow shard would be a large share of them.
MIN_SHARDS = 4
# Weight of a new sample in the moving average of the duration of a search.
DURATION_WEIGHT = 0.1
INITIAL_DURATION_S = 0.1
# Limits are forgotten when the routes have named this many sets of shards.
MAX_SHARD_SETS = 100


class Evidence(enum.Enum):
    """What a finished search shows about the load of its endpoints."""

    IN_TIME = "in_time"
    OVERLOADED = "overloaded"
    UNCLEAR = "unclear"


def judge_search(
    shard_count: int, parts_at_goal: int | None, *, answered: bool
) -> Evidence:
    """Returns what a finished search shows.

    Args:
        shard_count: Number of its shards.
        parts_at_goal: Parts that had arrived at its latency goal; None if it
            ended before.
        answered: True if the caller got an answer.
    """
    if parts_at_goal is None:
        return Evidence.IN_TIME if answered else Evidence.UNCLEAR
    if (
        shard_count >= MIN_SHARDS
        and parts_at_goal < OVERLOAD_PART_SHARE * shard_count
    ):
        return Evidence.OVERLOADED
    return Evidence.UNCLEAR


@dataclasses.dataclass(slots=True)
class _Limit:
    """Searches of one set of shards.

    Attributes:
        limit: Searches that may be in progress.
        in_progress: Searches that are in progress.
        duration_s: Moving average of the duration of a search.
        decreased_at_s: When the limit was last lowered.
        next_return_s: When the next refused caller is expected to find room.
    """

    limit: float = MAX_LIMIT
    in_progress: int = 0
    duration_s: float = INITIAL_DURATION_S
    decreased_at_s: float = -math.inf
    next_return_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """A search that may call its shards.

    Attributes:
        started_s: When it was admitted, on the monotonic clock.
    """

    started_s: float
    limit: _Limit


class AdmissionControl:
    """Decides whether a search may call its shards.

    Args:
        clock: Returns a monotonic time in s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limits: dict[tuple[str, ...], _Limit] = {}

    def admit(
        self, shards: tuple[str, ...], *, preferred: bool
    ) -> Permit | float:
        """Admits a search, or returns the time until a retry makes sense, in s.

        Args:
            shards: The shards of the search.
            preferred: The search belongs to the most urgent route, or its
                caller returns after a refusal.
        """
        limit = self._get_limit(shards)
        share = 1.0 if preferred else NEW_CALLER_SHARE
        if limit.in_progress >= max(1.0, share * limit.limit):
            return self._schedule_return(limit)
        limit.in_progress += 1
        return Permit(self._clock(), limit)

    def finish(self, permit: Permit, evidence: Evidence) -> None:
        """Learns from a search that was admitted and has ended."""
        limit = permit.limit
        now_s = self._clock()
        took_s = now_s - permit.started_s
        limit.duration_s += DURATION_WEIGHT * (took_s - limit.duration_s)
        if evidence is Evidence.IN_TIME:
            limit.limit = min(MAX_LIMIT, limit.limit + 1 / limit.limit)
        elif (
            evidence is Evidence.OVERLOADED
            and permit.started_s >= limit.decreased_at_s
        ):
            # Searches that began before the last decrease show nothing about
            # the present limit.
            limit.limit = max(MIN_LIMIT, DECREASE_FACTOR * limit.in_progress)
            limit.decreased_at_s = now_s
        limit.in_progress -= 1

    def _get_limit(self, shards: tuple[str, ...]) -> _Limit:
        limit = self._limits.get(shards)
        if limit is None:
            if len(self._limits) >= MAX_SHARD_SETS:
                self._limits.clear()
            limit = self._limits[shards] = _Limit()
        return limit

    def _schedule_return(self, limit: _Limit) -> float:
        """Spreads refused callers over the rate at which searches end."""
        now_s = self._clock()
        interval_s = limit.duration_s / limit.limit
        limit.next_return_s = max(now_s, limit.next_return_s) + interval_s
        return limit.next_return_s - now_s
