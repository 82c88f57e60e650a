"""Checks the hits and the coverage of a node's answer."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

from standins import endpoint as endpoint_standin

_COVERAGE_TOLERANCE_PCT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCheck:
    """Result of checking an answer.

    Attributes:
        hits_match: Every hit belongs to this query and to the answer's
            snapshot.
        complete: The answer has all hits of every shard that it does not
            report as missing.
        coverage_correct: The reported coverage and missing shards are
            correct.
        coverage_pct: True coverage of the requested shards.
    """

    hits_match: bool
    complete: bool
    coverage_correct: bool
    coverage_pct: float


def check_answer(
    answer: Mapping[str, Any],
    shards: Sequence[str],
    query: str,
    endpoint_coverage_pct: float = 100.0,
) -> AnswerCheck:
    """Compares a node's answer with the hits that the stand-ins generate.

    Args:
        answer: Decoded answer with `snapshot`, `coverage` and `hits`.
        shards: Qualified names of the requested shards.
        query: Text of the query.
        endpoint_coverage_pct: Coverage that the endpoint stand-ins report.
    """
    snapshot = int(answer.get("snapshot") or 0)
    found_ids = {str(item["hit"]["id"]) for item in answer.get("hits", ())}
    coverage = answer.get("coverage", {})
    answered = []
    complete = True
    expected_ids: set[str] = set()
    missing = {str(name) for name in coverage.get("missing", ())}
    for shard in shards:
        shard_ids = {
            hit.id
            for hit in endpoint_standin.compute_hits(
                shard, snapshot, query, endpoint_coverage_pct
            )
        }
        expected_ids |= shard_ids
        if shard_ids & found_ids:
            answered.append(shard)
        if shard not in missing and not shard_ids <= found_ids:
            complete = False
    share = len(answered) / max(1, len(shards))
    coverage_pct = share * endpoint_coverage_pct
    reported_pct = float(coverage.get("coverage_pct", -1.0))
    coverage_correct = abs(
        reported_pct - coverage_pct
    ) <= _COVERAGE_TOLERANCE_PCT and missing == set(shards) - set(answered)
    return AnswerCheck(
        hits_match=found_ids <= expected_ids,
        complete=complete,
        coverage_correct=coverage_correct,
        coverage_pct=coverage_pct,
    )
