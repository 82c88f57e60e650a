"""Makes the calls of a search: first calls, retries and hedged calls."""

from collections.abc import Callable
import math

import trio

from geraniumstair.forward import _call
from geraniumstair.forward import _replica
from geraniumstair.forward import _search_state
from geraniumstair.forward import _shard

# Delay before another attempt at a hedge that the budget did not allow. In this
# time, a busy node gains about one token.
BUDGET_RETRY_DELAY_S = 0.1
# Limit of calls and attempts for one shard that certainly did not run.
MAX_REFUSALS = 6


class SearchCalls:
    """Calls shards within the route's attempts and the budget.

    Args:
        state: The search.
        on_finished: Called with each call and its reply.
    """

    def __init__(
        self,
        state: _search_state.SearchState,
        on_finished: Callable[[_call.Call, _call.Reply], None],
    ) -> None:
        self._state = state
        self._context = state.context
        self._pool = state.context.pool
        self._on_finished = on_finished
        self._prepared = state.context.dialect.prepare(state.request)

    def start(self, shard: _shard.Shard, now_s: float) -> None:
        """Calls a shard for the first time."""
        self._context.budget.record_request(shard.service)
        self.start_first_call(shard, now_s)

    def start_first_call(self, shard: _shard.Shard, now_s: float) -> None:
        """Calls a shard for which the budget has counted a request."""
        # A shard that can't be called fails at once, so that the other parts
        # do not wait for it.
        if self._pool.is_known_down(shard.service):
            shard.failure = "all endpoints are down"
            self._state.fail_shard(shard)
        elif self._try_call(shard, _call.Cause.FIRST):
            return
        elif self._pool.is_at_stated_limit(shard.service):
            shard.failure = "the endpoints accept no more requests at present"
            self._state.fail_shard(shard)
        else:
            self._state.schedule_retry(shard, now_s)

    def _try_call(self, shard: _shard.Shard, cause: _call.Cause) -> bool:
        replica = self._pool.choose_replica(shard.service, shard.tried)
        if replica is None:
            return False
        self._submit(shard, replica, cause)
        return True

    def _submit(
        self, shard: _shard.Shard, replica: _replica.Replica, cause: _call.Cause
    ) -> None:
        state = self._state
        call = _call.Call(
            prepared=self._prepared,
            deadline_s=state.deadlines.caller_s,
            priority=state.route.priority,
            idempotent=True,
            on_finished=self._on_finished,
            service=shard.service,
            route=state.route.name,
            cause=cause,
        )
        shard.tried.add(replica.entry.endpoint_id)
        shard.ran_on.add(replica.entry.endpoint_id)
        shard.runs += 1
        shard.open_calls[call] = replica
        self._context.record_call(call)
        replica.submit(call)

    def repeat_failed(
        self, shard: _shard.Shard, reply: _call.Reply, now_s: float
    ) -> None:
        """Calls a shard again after a failure, or gives it up."""
        was_sent = reply.outcome is not _call.Outcome.NOT_SENT
        if (
            shard.runs >= self._state.route.max_attempts
            or shard.refusals > MAX_REFUSALS
            or (
                was_sent and not self._context.budget.try_consume(shard.service)
            )
        ):
            self._state.fail_shard(shard)
            return
        self._context.metrics.extra_calls.labels("retry").inc()
        self._state.repeats += 1
        if not self._try_call(shard, _call.Cause.RETRY):
            # Every endpoint was tried. If none ran the request, all of them may
            # be called again a little later.
            if shard.runs == 0 and not self._pool.is_known_down(shard.service):
                shard.tried.clear()
                self._state.schedule_retry(shard, now_s)
            else:
                self._state.fail_shard(shard)

    def run_due_retries(self, now_s: float) -> None:
        """Calls the shards again whose delay has passed."""
        for shard in self._state.shards.values():
            if shard.pending and shard.retry_at_s <= now_s:
                shard.retry_at_s = math.inf
                self._retry_now(shard, now_s)

    def _retry_now(self, shard: _shard.Shard, now_s: float) -> None:
        cause = _call.Cause.RETRY if shard.refusals else _call.Cause.FIRST
        if self._try_call(shard, cause):
            return
        shard.refusals += 1
        if shard.refusals > MAX_REFUSALS:
            self._state.fail_shard(shard)
        else:
            self._state.schedule_retry(shard, now_s)

    def hedge(self, shard: _shard.Shard, now_s: float) -> bool:
        """Sends a hedged call for a shard; returns False if none was sent."""
        state = self._state
        budget = self._context.budget
        # A chosen endpoint counts against its limits, so the budget is checked
        # before.
        if not budget.has_token(shard.service):
            shard.failure = "the retry budget is exhausted"
            state.hedge_at_s = min(
                state.hedge_at_s, now_s + BUDGET_RETRY_DELAY_S
            )
            return False
        replica = self._pool.choose_replica(
            shard.service, shard.tried, only_healthy=True
        )
        if replica is None:
            shard.failure = "no other healthy endpoint for a hedged call"
            state.hedge_at_s = min(
                state.hedge_at_s, now_s + _search_state.RETRY_DELAY_S
            )
            return False
        if not budget.try_consume(shard.service):
            return False
        shard.failure = ""
        self._context.metrics.extra_calls.labels("hedge").inc()
        state.repeats += 1
        self._submit(shard, replica, _call.Cause.HEDGE)
        return True

    def abandon(self, shard: _shard.Shard) -> None:
        """Abandons the open calls of a shard."""
        now_s = trio.current_time()
        for call, replica in shard.open_calls.items():
            replica.abandon(call, now_s)
        shard.open_calls.clear()
