"""Slow start: adaptive concurrency limit of an endpoint."""

# An answer that takes longer than this multiple of the baseline counts as slow.
COLD_SLOWDOWN = 3.0
# Number of answers that are not slow before the limit rises by one. After its
# first start, an endpoint has no baseline yet that would show that it is cold.
COMPLETIONS_PER_STEP = 32
# Number of answers that one slow answer subtracts from the progress to the next
# step. Stragglers then delay a ramp only a little, while a cold endpoint, which
# is slow half of the time, stays at limit 1.
SLOW_ANSWER_PENALTY = 8
# Consecutive slow answers after which a warm endpoint is suspected to be cold.
# Stragglers often cause one or two in a row.
SUSPECT_SLOW_ANSWERS = 3
# The same weight for faster and slower answers keeps the baseline at the mean.
# If the baseline fell faster than it rises, it would settle near the fastest
# answers, and three ordinary ones in a row would count as slow.
_BASELINE_WEIGHT = 0.05
# Slow answers of a cold endpoint are expected and have little weight in the
# baseline. Their weight is not 0, so that the limit of an endpoint that has
# become slower permanently rises again in the end.
_COLD_SLOW_WEIGHT = 0.002
# A latency counts as at most this multiple of the baseline.
_MAX_SAMPLE_FACTOR = 2.0


class Ramp:
    """Concurrency limit of one endpoint, which rises while answers are fast.

    Attributes:
        slots: Greatest limit.
        limit: Number of requests allowed at the same time.
        warm: Whether the limit has reached `slots` since the last restart of
            the ramp.
        baseline_ms: Mean service time while warm; 0 if unknown.
        suspected: Whether the ramp was restarted on suspicion, because of slow
            answers or an ejection.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = 1
        self.warm = False
        self.baseline_ms = 0.0
        self.suspected = False
        self._step_progress = 0
        self._consecutive_slow = 0

    def resize(self, slots: int) -> None:
        """Sets the number of slots; the limit only rises in steps."""
        self.slots = slots
        self.limit = min(self.limit, slots)

    def reset(self, *, suspected: bool = False) -> None:
        """Restarts the ramp at limit 1."""
        self.limit = 1
        self.warm = False
        self.suspected = suspected
        self._step_progress = 0
        self._consecutive_slow = 0

    def restore(self, limit: int, warm: bool, baseline_ms: float) -> None:
        """Sets the state that another owner has measured."""
        self.reset()
        self.limit = max(1, min(limit, self.slots))
        self.warm = warm
        self.baseline_ms = max(0.0, baseline_ms)

    def record_completion(self, latency_ms: float, reference_ms: float) -> bool:
        """Updates limit and baseline after an answer.

        Args:
            latency_ms: Measured service time.
            reference_ms: Baseline of warm siblings; 0 if unknown.

        Returns:
            True if the endpoint is warm and should be suspected to be cold.
        """
        # The baseline of a cold endpoint follows its slow answers, so the
        # baseline of its siblings is used instead.
        if reference_ms and not self.warm:
            expected_ms = reference_ms
        else:
            expected_ms = self.baseline_ms or reference_ms
        slow = 0 < expected_ms * COLD_SLOWDOWN < latency_ms
        self._update_baseline(latency_ms, reference_ms, slow)
        if slow:
            return self.record_slow_answer()
        self._consecutive_slow = 0
        self._step_progress += 1
        if self._step_progress >= COMPLETIONS_PER_STEP:
            self._raise_limit()
        return False

    def record_slow_answer(self) -> bool:
        """Counts a slow answer, or an abandoned request that ran for long.

        Returns:
            True if the endpoint is warm and should be suspected to be cold.
        """
        self._consecutive_slow += 1
        self._step_progress = max(0, self._step_progress - SLOW_ANSWER_PENALTY)
        if self._consecutive_slow < SUSPECT_SLOW_ANSWERS:
            return False
        if self.warm:
            return True
        self.reset(suspected=self.suspected)
        return False

    def back_off(self) -> None:
        """Halves the limit, after the endpoint shed a request."""
        self.limit = max(1, self.limit // 2)
        self.warm = False
        self._step_progress = 0

    def _raise_limit(self) -> None:
        self._step_progress = 0
        if self.limit < self.slots:
            self.limit += 1
        if self.limit >= self.slots:
            self.warm = True
            self.suspected = False

    def _update_baseline(
        self, latency_ms: float, reference_ms: float, slow: bool
    ) -> None:
        if not self.baseline_ms:
            self.baseline_ms = reference_ms or latency_ms
            return
        weight = (
            _COLD_SLOW_WEIGHT if slow and not self.warm else _BASELINE_WEIGHT
        )
        sample_ms = min(latency_ms, self.baseline_ms * _MAX_SAMPLE_FACTOR)
        self.baseline_ms += (sample_ms - self.baseline_ms) * weight
