"""Significance tests of whether a new version is worse than the old one.

The tests of failures and of slow requests use the exact upper tail of a
binomial distribution. They run twice a second during the whole rollout, for
all routes together and for each route, so the threshold of a single test is
very low to avoid false positives. Each node applies the same tests to its
local counts.
"""

from collections.abc import Iterable
import math

from geraniumstair.canary import _evidence

FAULT_P_VALUE = 1e-5
# Evidence with a p-value below this limit keeps the rollout at its step, but
# does not roll it back.
WEAK_EVIDENCE_P_VALUE = 0.01
MIN_FAILURES = 4
MIN_SLOW = 6
TOLERATED_FAILURE_SHARE = 0.02
TOLERATED_SLOW_SHARE = 0.12
MAX_TOLERATED_SHARE = 0.95
# At a late step the old version gets few requests, so a slowdown of both
# versions shows later in its counts. The new version counts as slower only if
# the old version's counts are significantly below this fraction of the new
# version's slow share.
SHARED_SLOWDOWN_RATIO = 0.85
SHARED_SLOWDOWN_P_VALUE = 0.02
# Above this mean the exact sum underflows, and the normal approximation is
# close.
MAX_EXACT_POISSON_MEAN = 500.0


def binomial_upper_tail(
    successes: int, trials: int, probability: float
) -> float:
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


def _exceeds_significantly(
    count: int,
    total: int,
    expected: float,
    min_limit: float,
    significance_level: float,
) -> bool:
    # Both versions are subject to the same noise, so twice the old version's
    # share is tolerated.
    limit = min(max(2 * expected, min_limit), MAX_TOLERATED_SHARE)
    if count <= limit * total:
        return False
    return binomial_upper_tail(count, total, limit) < significance_level


def poisson_lower_tail(count: int, mean: float) -> float:
    """Returns P(X <= count) for a Poisson X.

    Args:
        count: Upper end of the tail.
        mean: Mean of the distribution.

    Returns:
        The probability.
    """
    if mean > MAX_EXACT_POISSON_MEAN:
        deviations = (mean - count - 0.5) / math.sqrt(mean)
        return 0.5 * math.erfc(deviations / math.sqrt(2))
    term = math.exp(-mean)
    total = term
    for k in range(1, count + 1):
        term *= mean / k
        total += term
    return min(total, 1.0)


def _is_shared_slowdown(comparison: _evidence.Comparison) -> bool:
    """Returns True if the old version may be as slow as the new one."""
    expected = SHARED_SLOWDOWN_RATIO * comparison.old_slow_at_new_share
    if not expected:
        # The old version completed no requests in the windows in which the
        # new version was slow.
        return False
    p_value = poisson_lower_tail(comparison.old_slow, expected)
    return p_value >= SHARED_SLOWDOWN_P_VALUE


def _fails_more_often(
    comparison: _evidence.Comparison, significance_level: float
) -> bool:
    new = comparison.new
    if new.failed < MIN_FAILURES:
        return False
    expected = comparison.expected_failed_share
    return _exceeds_significantly(
        new.failed,
        new.total,
        expected,
        TOLERATED_FAILURE_SHARE,
        significance_level,
    )


def _is_slower(
    comparison: _evidence.Comparison, significance_level: float
) -> bool:
    new = comparison.new
    if new.slow < MIN_SLOW:
        return False
    expected = comparison.expected_slow_share
    if not _exceeds_significantly(
        new.slow,
        new.completed,
        expected,
        TOLERATED_SLOW_SHARE,
        significance_level,
    ):
        return False
    return not _is_shared_slowdown(comparison)


def find_fault(
    comparisons: Iterable[_evidence.Comparison],
    significance_level: float = FAULT_P_VALUE,
) -> str:
    """Tests whether the new version is significantly worse than the old one.

    Args:
        comparisons: Comparisons of both versions, most general first.
        significance_level: Maximum probability that a version at the limit
            of tolerance yields the same or worse counts.

    Returns:
        The reason for the first fault found, or an empty string.
    """
    for comparison in comparisons:
        where = f" on route {comparison.route}" if comparison.route else ""
        new = comparison.new
        if _fails_more_often(comparison, significance_level):
            return f"FAILING: {new.failed} of {new.total} failed{where}"
        if _is_slower(comparison, significance_level):
            return f"SLOW: {new.slow} of {new.completed} were slow{where}"
    return ""
