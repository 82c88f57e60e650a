"""Decides whether a new version is worse than the old one.

Both rules use the exact upper tail of a binomial distribution. The evidence
is looked at twice a second for the whole rollout and for each route, so the
error probability of a single look is tiny. Owners use the same rules on their
own evidence.
"""

from collections.abc import Iterable
import math

from geraniumstair.verdict import _evidence

ERROR_PROBABILITY = 1e-5
# Evidence that is this unlikely for a good version holds the step.
SUSPICION_PROBABILITY = 0.01
LEAST_FAILURES = 4
LEAST_SLOW = 6
TOLERATED_FAILURE_SHARE = 0.02
TOLERATED_SLOW_SHARE = 0.12
GREATEST_LIMIT = 0.95
# At a late step the old version gets few requests, and a slowdown of both
# versions reaches its counts later. The new version is blamed only if the old
# one's counts contradict this part of the new version's share.
SHARED_PART = 0.85
SHARED_PROBABILITY = 0.02
# The exact sum underflows at greater means; the normal one is close there.
GREATEST_EXACT_MEAN = 500.0


def upper_tail(successes: int, trials: int, probability: float) -> float:
    """Returns P(X >= successes) for a binomial X.

    Args:
        successes: Lower end of the tail.
        trials: Number of trials.
        probability: Probability of success, strictly between 0 and 1.

    Returns:
        The probability.
    """
    if successes <= 0:
        return 1.0
    log_p = math.log(probability)
    log_q = math.log1p(-probability)
    log_n = math.lgamma(trials + 1)
    total = 0.0
    for k in range(successes, trials + 1):
        log_choose = log_n - math.lgamma(k + 1) - math.lgamma(trials - k + 1)
        term = math.exp(log_choose + k * log_p + (trials - k) * log_q)
        total += term
        if k > trials * probability and term < total * 1e-9:
            break
    return min(total, 1.0)


def _exceeds(
    count: int,
    total: int,
    expected: float,
    least: float,
    probability: float,
) -> bool:
    # Twice the old share is tolerated: both versions share the same noise.
    limit = min(max(2 * expected, least), GREATEST_LIMIT)
    if count <= limit * total:
        return False
    return upper_tail(count, total, limit) < probability


def lower_tail(count: int, mean: float) -> float:
    """Returns P(X <= count) for a Poisson X.

    Args:
        count: Upper end of the tail.
        mean: Mean of the distribution.

    Returns:
        The probability.
    """
    if mean > GREATEST_EXACT_MEAN:
        deviations = (mean - count - 0.5) / math.sqrt(mean)
        return 0.5 * math.erfc(deviations / math.sqrt(2))
    term = math.exp(-mean)
    total = term
    for k in range(1, count + 1):
        term *= mean / k
        total += term
    return min(total, 1.0)


def _is_shared(comparison: _evidence.Comparison) -> bool:
    """Tells whether the old version may be as slow as the new one."""
    expected = SHARED_PART * comparison.shared_slow
    if not expected:
        # Without requests of the old version there is nothing to compare.
        return False
    as_few = lower_tail(comparison.old_slow, expected)
    return as_few >= SHARED_PROBABILITY


def _fails_more(comparison: _evidence.Comparison, probability: float) -> bool:
    new = comparison.new
    if new.failed < LEAST_FAILURES:
        return False
    expected = comparison.expected_failed_share
    return _exceeds(
        new.failed, new.total, expected, TOLERATED_FAILURE_SHARE, probability
    )


def _is_slower(comparison: _evidence.Comparison, probability: float) -> bool:
    new = comparison.new
    if new.slow < LEAST_SLOW:
        return False
    expected = comparison.expected_slow_share
    if not _exceeds(
        new.slow, new.completed, expected, TOLERATED_SLOW_SHARE, probability
    ):
        return False
    return not _is_shared(comparison)


def find_fault(
    comparisons: Iterable[_evidence.Comparison],
    probability: float = ERROR_PROBABILITY,
) -> str:
    """Looks for evidence that the new version is worse.

    Args:
        comparisons: Both versions over the same windows.
        probability: Greatest probability of such evidence about a version
            that is just tolerable.

    Returns:
        The reason, or an empty string if there is no clear evidence.
    """
    for comparison in comparisons:
        where = f" on route {comparison.route}" if comparison.route else ""
        new = comparison.new
        if _fails_more(comparison, probability):
            return f"FAILING: {new.failed} of {new.total} failed{where}"
        if _is_slower(comparison, probability):
            return f"SLOW: {new.slow} of {new.completed} were slow{where}"
    return ""
