"""Load shedding that refuses the same searches on all overloaded shards.

A search is useful only if most of its shards answer. If each shard chose on its
own which searches to refuse, few searches would be complete at a load of three
times the capacity. Each shard therefore refuses by a rank derived from the
search id, so that all shards admit the same searches.
"""

import math

# Time constant of the exponential decay of counts.
_DECAY_TIME_S = 1.0
# With fewer offered requests than this, all are admitted.
_MIN_OFFERED = 20.0
# Waits up to this share of the remaining time count as a burst, not as
# overload.
_TOLERATED_WAIT_SHARE = 0.1
# The admitted share is the answered share times a gain that falls as the wait
# grows. With these two values, the queue settles at a wait of a quarter of the
# remaining time.
_GAIN_AT_NO_WAIT = 1.1
_GAIN_SLOPE = 0.4
_RANK_BYTES = 4


def search_rank(search_id: bytes) -> float:
    """Returns the rank of a search, 0 to 1, which is the same on all shards."""
    return int.from_bytes(search_id[:_RANK_BYTES]) / 256**_RANK_BYTES


class _DecayingCount:
    def __init__(self) -> None:
        self._value = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        self._value = self.value(now_s) + 1.0
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        age_s = now_s - self._updated_s
        return self._value * math.exp(-age_s / _DECAY_TIME_S)


class LoadShedder:
    """Admission control of a shard.

    While the shard is overloaded, the admitted share of requests follows the
    share that is answered.
    """

    def __init__(self) -> None:
        self._offered = _DecayingCount()
        self._answered = _DecayingCount()

    def record_offered(self, now_s: float) -> None:
        """Counts a request that arrived, whether it is admitted or not."""
        self._offered.add(now_s)

    def record_answered(self, now_s: float) -> None:
        """Counts an answered request."""
        self._answered.add(now_s)

    def admits(self, rank: float, wait_share: float, now_s: float) -> bool:
        """Returns whether a request is admitted.

        Args:
            rank: Rank of the search, 0 to 1; the lowest are admitted.
            wait_share: Expected wait as a share of the request's remaining
                time; 0 if the queue is empty.
            now_s: Monotonic time in s.
        """
        offered = self._offered.value(now_s)
        if wait_share <= _TOLERATED_WAIT_SHARE or offered < _MIN_OFFERED:
            return True
        answered_share = self._answered.value(now_s) / offered
        gain = max(0.0, _GAIN_AT_NO_WAIT - _GAIN_SLOPE * wait_share)
        return rank <= answered_share * gain
