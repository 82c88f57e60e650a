"""Judges from calls and connections how an endpoint fares."""

# Weight of a new sample in the moving averages.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
# Latency that is assumed before the first sample.
INITIAL_LATENCY_MS = 30.0
# Without replies, the part of the average above the initial latency halves in
# this time, so that an endpoint that was slow is tried again.
LATENCY_HALF_LIFE_S = 2.0
# A call that has lasted this many times the average latency, plus the margin,
# shows that its endpoint makes no progress.
STALLED_FACTOR = 2.5
STALLED_MARGIN_MS = 25.0
# An endpoint that failed is avoided for this time, which doubles with each
# failure in a row.
AVOID_MIN_S = 0.2
AVOID_MAX_S = 3.0
# Failures in a row that are counted at most.
MAX_CONSECUTIVE_FAILURES = 10
# An endpoint is down after this many failures in a row, if it has also sent no
# reply for this time. Slow and paused endpoints reply sooner.
DOWN_FAILURES = 3
DOWN_SILENCE_S = 1.0
# Interval of calls that probe whether an endpoint that is down has recovered.
# With a shorter interval, more callers wait in vain for such a call while the
# endpoint is down; with a longer one, callers are still refused after it has
# recovered.
PROBE_INTERVAL_S = 0.5


class Health:
    """Health of one endpoint, as the outcomes of this node's calls show it.

    All times are on the monotonic clock.

    Attributes:
        latency_ms: Moving average of the latency of a call.
        failure_share: Moving average of failed calls, 0 to 1.
        last_reply_s: When the endpoint last answered a call.
    """

    def __init__(self) -> None:
        self.latency_ms = INITIAL_LATENCY_MS
        self.failure_share = 0.0
        self.last_reply_s = 0.0
        self._avoid_until_s = 0.0
        self._consecutive_failures = 0

    def expected_ms(self, now_s: float, *, has_running_calls: bool) -> float:
        """Returns the expected latency of a call."""
        excess_ms = self.latency_ms - INITIAL_LATENCY_MS
        if excess_ms <= 0 or has_running_calls:
            return self.latency_ms
        idle_s = now_s - self.last_reply_s
        return INITIAL_LATENCY_MS + excess_ms * 0.5 ** (
            idle_s / LATENCY_HALF_LIFE_S
        )

    def is_stalled(self, now_s: float, oldest_sent_s: float) -> bool:
        """Returns whether running calls show no progress of the endpoint.

        Args:
            now_s: Present time.
            oldest_sent_s: When the oldest running call was sent.
        """
        # A reply after that call was sent shows progress.
        since_s = max(oldest_sent_s, self.last_reply_s)
        limit_ms = STALLED_FACTOR * self.latency_ms + STALLED_MARGIN_MS
        return (now_s - since_s) * 1000 > limit_ms

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether the endpoint is avoided after a recent failure."""
        return now_s < self._avoid_until_s

    def avoided_for_s(self, now_s: float) -> float:
        """Returns how much longer the endpoint is avoided."""
        return max(0.0, self._avoid_until_s - now_s)

    def is_down(self, now_s: float) -> bool:
        """Returns whether the next call would fail as the last ones did."""
        return (
            self._consecutive_failures >= DOWN_FAILURES
            and now_s - self.last_reply_s >= DOWN_SILENCE_S
        )

    def record_reply(self, now_s: float, took_ms: float) -> None:
        """Records that the endpoint ran a call."""
        self.last_reply_s = now_s
        self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms)

    def record_result(self, *, failed: bool) -> None:
        """Adds a call to the share of failed calls."""
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)

    def record_failure(self, now_s: float) -> None:
        """Avoids the endpoint for some time, unless it is avoided already."""
        if self.is_avoided(now_s):
            return
        avoid_s = min(AVOID_MIN_S * 2**self._consecutive_failures, AVOID_MAX_S)
        self._consecutive_failures = min(
            self._consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES
        )
        self._avoid_until_s = now_s + avoid_s

    def assume(self, latency_ms: float) -> None:
        """Forgets the latencies and failed calls so far."""
        self.latency_ms = latency_ms
        self.failure_share = 0.0

    def end_avoidance(self) -> None:
        """Forgets the failures in a row."""
        self._consecutive_failures = 0
        self._avoid_until_s = 0.0
