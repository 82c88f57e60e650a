"""Decides when a search is complete, and what its caller gets."""

import math

import trio

from geraniumstair import routing
from geraniumstair.forward import _records
from geraniumstair.forward import _result
from geraniumstair.forward import _search_state


def compute_required_parts(route: routing.Route) -> int:
    """Returns the number of parts that an answer needs."""
    # The small term keeps a product such as 0.9 * 20 from rounding up.
    return max(1, math.ceil(route.min_coverage * len(route.shards) - 1e-9))


def is_decided(state: _search_state.SearchState) -> bool:
    """Returns whether a search waits for nothing more."""
    total = len(state.shards)
    if state.answered_count + state.failed_count >= total:
        return True
    if total - state.failed_count < state.min_parts:
        return True
    now_s = trio.current_time()
    if now_s >= state.deadlines.final_s:
        return True
    return now_s >= state.deadlines.goal_s and (
        state.answered_count >= state.min_parts
    )


def refuse_unserved(
    state: _search_state.SearchState, delegated: set[str]
) -> _result.Refused | None:
    """Refuses at once if too many shards have no endpoint that answers.

    Args:
        state: The search.
        delegated: Shards that other nodes shall call. They know their own parts
            of the endpoints' limits.
    """
    pool = state.context.pool
    down = [
        name
        for name in state.shards
        if not pool.has_usable_endpoint(name) or pool.is_known_down(name)
    ]
    excluded = delegated.union(down)
    limited = [
        name
        for name in state.shards
        if name not in excluded and pool.is_at_stated_limit(name)
    ]
    unserved = down + limited
    if len(state.shards) - len(unserved) >= state.min_parts:
        return None
    retry_after_s = max(state.context.retry_after_s(n) for n in unserved)
    if limited:
        return _result.Refused(
            _result.RefusalReason.OVERLOADED,
            True,
            retry_after_s,
            f"the endpoints of {len(limited)} of {len(state.shards)} "
            f"shards accept no more requests at present, for example "
            f"{limited[0]}",
        )
    return _result.Refused(
        _result.RefusalReason.NO_ENDPOINT,
        True,
        retry_after_s,
        f"{len(unserved)} of {len(state.shards)} shards have no available "
        f"endpoint, for example {unserved[0]}",
    )


def build_result(state: _search_state.SearchState) -> _result.ForwardResult:
    """Returns the merged answer, or the refusal if parts are missing."""
    parts = [s.part for s in state.shards.values() if s.part is not None]
    if len(parts) >= state.min_parts:
        return _result.SearchResult(
            [part.signature for part in parts],
            len(state.shards) - len(parts),
            _records.merge_greatest_records(
                (part.body for part in parts), state.route.top_k
            ),
        )
    return _build_refusal(state, len(parts))


def _build_refusal(
    state: _search_state.SearchState, part_count: int
) -> _result.Refused:
    may_have_run = any(shard.may_have_run for shard in state.shards.values())
    timed_out = trio.current_time() >= state.deadlines.final_s
    reasons = _result.RefusalReason
    missing = next(s for s in state.shards.values() if s.part is None)
    return _result.Refused(
        reasons.TIMEOUT if timed_out else reasons.ENDPOINT_FAILED,
        not may_have_run,
        state.context.retry_after_s(missing.service),
        f"{part_count} of {len(state.shards)} parts, "
        f"{state.min_parts} needed, "
        f"{state.failed_count} failed",
    )
