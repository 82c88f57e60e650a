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
# Loads are forgotten when the routes have named this many sets of shards.
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
class _Load:
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
        load: Searches of the same shards.
    """

    started_s: float
    load: _Load


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A search that must not call its shards now.

    Attributes:
        retry_after_s: Time until a retry makes sense.
    """

    retry_after_s: float


class AdmissionControl:
    """Decides whether a search may call its shards.

    Args:
        clock: Returns a monotonic time in s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._loads: dict[tuple[str, ...], _Load] = {}

    def admit(
        self, shards: tuple[str, ...], *, preferred: bool
    ) -> Permit | Rejection:
        """Admits or rejects a search.

        Args:
            shards: The shards of the search.
            preferred: The search belongs to the most urgent route, or its
                caller returns after a refusal.
        """
        load = self._get_load(shards)
        share = 1.0 if preferred else NEW_CALLER_SHARE
        if load.in_progress >= max(1.0, share * load.limit):
            return Rejection(self._schedule_return(load))
        load.in_progress += 1
        return Permit(self._clock(), load)

    def finish(self, permit: Permit, evidence: Evidence) -> None:
        """Learns from a search that was admitted and has ended."""
        load = permit.load
        now_s = self._clock()
        took_s = now_s - permit.started_s
        load.duration_s += DURATION_WEIGHT * (took_s - load.duration_s)
        if evidence is Evidence.IN_TIME:
            load.limit = min(MAX_LIMIT, load.limit + 1 / load.limit)
        elif (
            evidence is Evidence.OVERLOADED
            and permit.started_s >= load.decreased_at_s
        ):
            # Searches that began before the last decrease show nothing about
            # the present limit.
            load.limit = max(MIN_LIMIT, DECREASE_FACTOR * load.in_progress)
            load.decreased_at_s = now_s
        load.in_progress -= 1

    def _get_load(self, shards: tuple[str, ...]) -> _Load:
        load = self._loads.get(shards)
        if load is None:
            if len(self._loads) >= MAX_SHARD_SETS:
                self._loads.clear()
            load = self._loads[shards] = _Load()
        return load

    def _schedule_return(self, load: _Load) -> float:
        """Spreads refused callers over the rate at which searches end."""
        now_s = self._clock()
        interval_s = load.duration_s / load.limit
        load.next_return_s = max(now_s, load.next_return_s) + interval_s
        return load.next_return_s - now_s
