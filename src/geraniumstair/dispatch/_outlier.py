"""Outlier detection: ejects endpoints that fail or are far too slow."""

from collections.abc import Sequence
import statistics
from typing import Protocol

CONSECUTIVE_FAULTS_TO_EJECT = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# An endpoint is too slow if its mean latency exceeds the median of its siblings
# by this factor.
SLOW_FACTOR = 4.0
MIN_SAMPLES = 20
_MEAN_WEIGHT = 0.1
# Consecutive answers after which the next ejection has the initial duration.
_EJECTION_RESET_ANSWERS = 200


class Health:
    """Recent faults and mean latency of one endpoint.

    Attributes:
        ejected_until_s: End of the ejection on the monotonic clock.
        samples: Answers since the last ejection or start of the ramp.
        mean_ms: Exponentially weighted mean latency of recent answers.
    """

    def __init__(self) -> None:
        self.ejected_until_s = 0.0
        self.samples = 0
        self.mean_ms = 0.0
        self._consecutive_faults = 0
        self._consecutive_answers = 0
        self._ejections = 0

    def record_answer(self, latency_ms: float) -> None:
        """Counts an answer and adds its latency to the mean."""
        self._consecutive_faults = 0
        self._consecutive_answers += 1
        if self._consecutive_answers >= _EJECTION_RESET_ANSWERS:
            self._ejections = 0
        if not self.samples:
            self.mean_ms = latency_ms
        self.samples += 1
        self.mean_ms += (latency_ms - self.mean_ms) * _MEAN_WEIGHT

    def record_fault(self) -> bool:
        """Counts a fault; returns True if the endpoint should be ejected."""
        self._consecutive_faults += 1
        self._consecutive_answers = 0
        return self._consecutive_faults >= CONSECUTIVE_FAULTS_TO_EJECT

    def eject(self, now_s: float) -> None:
        """Ejects the endpoint, for twice as long each time up to a maximum."""
        duration_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self._ejections
        )
        self._ejections = min(self._ejections + 1, 16)
        self.ejected_until_s = now_s + duration_s
        self.samples = 0
        self._consecutive_faults = 0
        self._consecutive_answers = 0


class _HasHealth(Protocol):
    health: Health


def is_slow_outlier(health: Health, siblings: Sequence[_HasHealth]) -> bool:
    """Returns whether an endpoint is much slower than its siblings.

    Args:
        health: Health of the endpoint.
        siblings: All endpoints of the shard; those with fewer than
            `MIN_SAMPLES` answers are ignored.
    """
    if health.samples < MIN_SAMPLES:
        return False
    means = [
        sibling.health.mean_ms
        for sibling in siblings
        if sibling.health is not health
        and sibling.health.samples >= MIN_SAMPLES
    ]
    if not means:
        return False
    return health.mean_ms > SLOW_FACTOR * statistics.median(means)


def may_eject(siblings: Sequence[_HasHealth], now_s: float) -> bool:
    """Returns whether one more may be ejected; at most half are at a time."""
    ejected = sum(1 for s in siblings if s.health.ejected_until_s > now_s)
    return 2 * (ejected + 1) <= len(siblings)
