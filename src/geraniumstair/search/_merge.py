"""Merges the outcomes of an attempt into one answer."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from geraniumstair._generated import codes
from geraniumstair.search import _answer
from geraniumstair.search import _gather
from geraniumstair.search import _plan

# Coverage is rounded down, so that only a complete answer states 100 %.
_COVERAGE_STEPS_PER_PCT = 1000

_LATE_OUTCOME = _gather.ShardOutcome(
    codes.Code.DEADLINE_EXCEEDED, not_run=False
)


def _compute_coverage(
    plan: _plan.Plan, outcomes: Mapping[str, _gather.ShardOutcome]
) -> _answer.Coverage:
    answered = 0
    partly_answered = []
    missing = []
    coverage_sum_pct = 0.0
    for shard in plan.shards:
        outcome = outcomes.get(shard.name)
        if outcome is None or outcome.code != codes.Code.OK:
            missing.append(shard.name)
            continue
        coverage_sum_pct += outcome.coverage_pct
        if outcome.coverage_pct >= 100:
            answered += 1
            continue
        partly_answered.append(
            _answer.PartlyAnswered(shard.name, outcome.coverage_pct)
        )
    asked = len(plan.shards)
    mean_pct = 100.0
    if answered < asked:
        mean_pct = coverage_sum_pct / asked
        mean_pct = (
            math.floor(mean_pct * _COVERAGE_STEPS_PER_PCT)
            / _COVERAGE_STEPS_PER_PCT
        )
    return _answer.Coverage(
        asked=asked,
        answered=answered,
        partly_answered=partly_answered,
        missing=missing,
        coverage_pct=mean_pct,
    )


def choose_failure_code(
    outcomes: Iterable[_gather.ShardOutcome], *, not_run: bool
) -> codes.Code:
    """Returns the most frequent code whose own `not_run` equals the given one.

    Args:
        outcomes: Outcomes of shards without an answer.
        not_run: Whether the whole search certainly did not run.
    """
    counts = collections.Counter(
        outcome.code
        for outcome in outcomes
        if codes.INFO[outcome.code].not_run == not_run
    )
    if not counts:
        if not_run:
            return codes.Code.DEADLINE_TOO_SHORT
        return codes.Code.DEADLINE_EXCEEDED
    return max(counts, key=lambda code: (counts[code], -code))


def _choose_result_code(
    plan: _plan.Plan,
    coverage: _answer.Coverage,
    outcomes: Mapping[str, _gather.ShardOutcome],
    not_run: bool,
) -> codes.Code:
    if coverage.answered == coverage.asked:
        return codes.Code.OK
    if len(coverage.missing) == coverage.asked:
        return choose_failure_code(
            (outcomes.get(shard.name, _LATE_OUTCOME) for shard in plan.shards),
            not_run=not_run,
        )
    if _sum_coverage_pct(outcomes) < plan.least_coverage_pct * coverage.asked:
        return codes.Code.COVERAGE_TOO_LOW
    return codes.Code.PARTIAL


def _sum_coverage_pct(outcomes: Mapping[str, _gather.ShardOutcome]) -> float:
    # Without the rounding of the answer, so that the sum equals the one that
    # `Attempt` compares with the least coverage.
    return sum(outcome.coverage_pct for outcome in outcomes.values())


def _choose_empty_reason(
    complete: bool, hit_count: int
) -> _answer.EmptyReason | None:
    if hit_count:
        return None
    return "NONE_EXIST" if complete else "NONE_FOUND_SO_FAR"


def merge(
    plan: _plan.Plan,
    snapshot: int,
    outcomes: Mapping[str, _gather.ShardOutcome],
    *,
    may_have_run: bool,
) -> _answer.SearchAnswer:
    """Returns the answer made from the outcomes of one attempt.

    Args:
        plan: The plan of the attempt.
        snapshot: The pinned snapshot.
        outcomes: Outcomes by qualified shard name; a shard without one did
            not reply in time.
        may_have_run: An endpoint may have acted on a request of this or an
            earlier attempt.
    """
    coverage = _compute_coverage(plan, outcomes)
    not_run = not may_have_run
    code = _choose_result_code(plan, coverage, outcomes, not_run)
    hits = [
        _answer.Hit(shard.name, hit)
        for shard in plan.shards
        if shard.name in outcomes
        for hit in outcomes[shard.name].hits
    ]
    complete = code == codes.Code.OK
    detail = "" if complete else codes.INFO[code].meaning
    any_answered = len(coverage.missing) < coverage.asked
    return _answer.SearchAnswer(
        result_code=int(code),
        result_name=code.name,
        detail=detail,
        not_run=not_run,
        snapshot=snapshot,
        complete=complete,
        empty=_choose_empty_reason(complete, len(hits))
        if any_answered
        else None,
        coverage=coverage,
        hits=hits,
    )
