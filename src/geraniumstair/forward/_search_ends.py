"""Keeps a search from ending one endpoint after the other.

A request may end each endpoint that runs it. After such an end, a search of the
same route first tries its request on one shard.
"""

from collections.abc import Set
import math

import xxhash

from geraniumstair.forward import _call
from geraniumstair.forward import _search_calls
from geraniumstair.forward import _search_state
from geraniumstair.forward import _shard
from geraniumstair.forward import _suspects

# Shards on which a request is tried that may end endpoints. The second one is
# called if the first one takes long.
MAX_TRIAL_SHARDS = 2
# With fewer calls, slow endpoints alone may leave all of them without an answer
# until the delay of hedged calls.
MIN_SUSPICIOUS_CALLS = 4


class SearchEnds:
    """Decides on further calls of a request that may end endpoints.

    Args:
        state: The search.
        calls: Makes its calls.
    """

    def __init__(
        self,
        state: _search_state.SearchState,
        calls: _search_calls.SearchCalls,
    ) -> None:
        self._state = state
        self._calls = calls

    def start_trial(self, planned: Set[str], now_s: float) -> None:
        """Calls one more shard; the others follow when one has answered.

        Args:
            planned: Shards that other nodes shall call. Those that this node
                calls itself come first.
            now_s: Present time.
        """
        state = self._state
        state.hedge_at_s = math.inf
        state.schedule_hedge(now_s)
        candidates = [
            shard
            for shard in state.shards.values()
            if shard.service not in state.trial_shards
        ]
        # The hash spreads the trials of different requests over the shards.
        request_id = state.request.request_id
        candidates.sort(
            key=lambda shard: (
                shard.service in planned,
                xxhash.xxh64_intdigest(request_id + shard.service.encode()),
            )
        )
        for shard in candidates:
            state.trial_shards.add(shard.service)
            self._calls.start(shard, now_s)
            if shard.pending:
                return

    @property
    def may_try_another(self) -> bool:
        """True if the trial may be extended to a further shard."""
        state = self._state
        return not state.ended and len(state.trial_shards) < MAX_TRIAL_SHARDS

    def may_repeat(self, shard: _shard.Shard) -> bool:
        """Returns whether a shard may be called again after an endpoint ended.

        If not, the shard has failed, or waits for a part that shows that the
        request does not end each endpoint that runs it.
        """
        if len(self._state.ended) >= _suspects.MAX_ENDED:
            shard.failure = "endpoints ended while they ran the request"
            self._state.fail_shard(shard)
            return False
        shard.held = not self._state.answered_count
        return not shard.held

    def release_held(self, now_s: float) -> None:
        """Calls held shards again once a part has arrived."""
        if not self._state.answered_count:
            return
        for shard in self._state.shards.values():
            if shard.held and shard.pending:
                shard.held = False
                if self.may_repeat(shard):
                    lost = _call.Reply(_call.Outcome.LOST, shard.failure)
                    self._calls.repeat_failed(shard, lost, now_s)

    def is_suspicious(self) -> bool:
        """Returns whether the request may be the reason for missing parts.

        No part has arrived from any of several endpoints. More calls would end
        more endpoints if the request ends them. Endpoints that are silent look
        the same.
        """
        state = self._state
        return not state.answered_count and (
            bool(state.ended)
            or sum(bool(s.open_calls) for s in state.shards.values())
            >= MIN_SUSPICIOUS_CALLS
        )

    def report_suspect(self) -> None:
        """Reports a request under which endpoints ended and none answered."""
        state = self._state
        if state.ended and not state.answered_count and not state.for_node:
            state.context.suspects.report_ends(
                state.request, state.route.name, state.ended
            )
