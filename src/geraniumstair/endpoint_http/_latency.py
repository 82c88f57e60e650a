"""Sliding window of recent latencies."""

import bisect
import collections

WINDOW_SAMPLES = 200


class LatencyWindow:
    """Quantiles over the most recent samples, in ms."""

    def __init__(self, window_samples: int = WINDOW_SAMPLES) -> None:
        self._window_samples = window_samples
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, latency_ms: float) -> None:
        """Adds a sample, and evicts the oldest one beyond the window."""
        self._recent.append(latency_ms)
        bisect.insort(self._sorted, latency_ms)
        if len(self._recent) > self._window_samples:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def quantile(self, fraction: float) -> float:
        """Returns a quantile in ms; 0 if there is no sample.

        Args:
            fraction: Between 0 (minimum) and 1 (maximum).
        """
        if not self._sorted:
            return 0.0
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]
