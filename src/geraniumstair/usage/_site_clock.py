"""The time of day that the nodes of a site agree on.

Clocks of machines differ and may jump by seconds. A node compares its own time
of day and those of its neighbours with a clock that does not jump, and uses the
median, so fewer than half of the clocks cannot move it.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

# A sample is too low by the time for which its message was under way. The
# greatest of a neighbour's last samples is the one that was delayed least.
SAMPLES_PER_NODE = 3
# Interval of a node's messages; samples of nodes that have sent nothing for
# four intervals are not used.
SEND_INTERVAL_S = 5.0
SAMPLE_TTL_S = 20.0
# Ticks further apart than this show that the process was paused. Messages that
# arrived meanwhile are read within the settling time and are not used.
PAUSE_S = 1.0
SETTLING_S = 1.0


def read_boot_clock_s() -> float:
    """Returns the time since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SiteClock:
    """The median of the clocks of this node and its neighbours.

    Args:
        boot_clock: Returns a time in s that does not jump and counts
            suspensions.
        wall_clock: Returns this node's time of day, in s since 1970.
    """

    def __init__(
        self,
        boot_clock: Callable[[], float] = read_boot_clock_s,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._boot_clock = boot_clock
        self._wall_clock = wall_clock
        # Offsets to the boot clock by node, newest last, and when the last one
        # was received.
        self._samples: dict[str, tuple[collections.deque[float], float]] = {}
        self._ticked_s = boot_clock()
        self._settled_s = self._ticked_s

    def read_own_s(self) -> float:
        """Returns this node's own time of day, in s since 1970."""
        return self._wall_clock()

    def now_s(self) -> float:
        """Returns the site's time, in s since 1970."""
        return self._boot_clock() + self._compute_offset_s()

    def tick(self) -> None:
        """Detects pauses of the process; called at least each half second."""
        now_s = self._boot_clock()
        if now_s > self._ticked_s + PAUSE_S:
            self._settled_s = now_s + SETTLING_S
        self._ticked_s = now_s
        self._samples = {
            node_id: entry
            for node_id, entry in self._samples.items()
            if entry[1] > now_s - SAMPLE_TTL_S
        }

    def record(self, node_id: str, time_s: float) -> bool:
        """Records a neighbour's time of day.

        Returns:
            True if the neighbour had no sample, so it may have none of this
            node either.
        """
        now_s = self._boot_clock()
        if now_s > self._ticked_s + PAUSE_S or now_s < self._settled_s:
            return False
        known = self._samples.get(node_id)
        offsets = known[0] if known else collections.deque[float]()
        offsets.append(time_s - now_s)
        while len(offsets) > SAMPLES_PER_NODE:
            offsets.popleft()
        self._samples[node_id] = (offsets, now_s)
        return known is None

    def _compute_offset_s(self) -> float:
        own_s = self._wall_clock() - self._boot_clock()
        return _find_median(
            [own_s, *(max(offsets) for offsets, _ in self._samples.values())]
        )

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        own_s = self._wall_clock() - self._boot_clock()
        return {
            "time_s": round(self.now_s(), 3),
            "own_error_s": round(own_s - self._compute_offset_s(), 3),
            "clocks": 1 + len(self._samples),
        }


def _find_median(values: Sequence[float]) -> float:
    """Returns the median; `statistics` takes long to import."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
