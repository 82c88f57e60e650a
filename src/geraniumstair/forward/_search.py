"""One search: a call to each shard, repeats, and the merged answer."""

from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Any

import trio

from geraniumstair import routing
from geraniumstair.forward import _admission
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _delegation
from geraniumstair.forward import _result
from geraniumstair.forward import _search_calls
from geraniumstair.forward import _search_completion
from geraniumstair.forward import _search_ends
from geraniumstair.forward import _search_groups
from geraniumstair.forward import _search_state
from geraniumstair.forward import _shard

# A wake-up that is this late shows that the process was paused.
PAUSE_S = 0.25
# Missing shards that are listed in one log line.
MAX_LOGGED_SHARDS = 6


class Search:
    """Collects the parts of one search.

    Args:
        context: Dependencies of every request.
        request: The caller's request.
        route: The route of the request, the same until the answer.
        shards: The shards to call.
        min_parts: Number of parts that an answer needs.
        delegation: Lets nodes near the endpoints call some shards; None calls
            all shards from this node.
        for_node: Another node called these shards' search, and knows its other
            parts.
    """

    def __init__(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: Sequence[str],
        min_parts: int,
        delegation: _delegation.Delegation | None = None,
        *,
        for_node: bool = False,
    ) -> None:
        self._context = context
        self._state = _search_state.SearchState(
            context, request, route, shards, min_parts, for_node=for_node
        )
        self._calls = _search_calls.SearchCalls(self._state, self._on_finished)
        self._ends = _search_ends.SearchEnds(self._state, self._calls)
        self._groups = _search_groups.SearchGroups(
            self._state,
            self._calls,
            self._ends,
            delegation,
            self._on_group_ended,
        )
        self._result: _result.ForwardResult | None = None
        self._parts_at_goal: int | None = None
        # True while the first calls are made.
        self._starting = False
        # When the next hedged call may be sent while no part has arrived.
        self._next_single_hedge_s = -math.inf

    @property
    def waited_ms(self) -> float:
        """How long the caller waited before this attempt, estimated."""
        return self._state.waited_ms

    @property
    def repeats(self) -> int:
        """Number of calls beyond the first of each shard."""
        return self._state.repeats

    async def run(self) -> _result.ForwardResult:
        """Returns the merged answer, or why there is none."""
        state = self._state
        self._groups.plan()
        refused = _search_completion.refuse_unserved(
            state, self._groups.planned_shards
        )
        if refused is not None:
            return refused
        try:
            self._start()
            while not _search_completion.is_decided(state):
                wakeup_s = state.next_wakeup_s()
                with trio.move_on_at(wakeup_s):
                    await state.wake.wait()
                state.wake = trio.Event()
                if trio.current_time() > wakeup_s + PAUSE_S:
                    state.postpone_repeats()
                self._run_due_actions()
            self._result = _search_completion.build_result(state)
            return self._result
        finally:
            self._ends.report_suspect()
            self._abandon_all()

    def judge(self) -> _admission.Evidence:
        """Returns what the finished search shows about the endpoints' load."""
        return _admission.judge_search(
            len(self._state.shards),
            self._parts_at_goal,
            answered=isinstance(self._result, _result.SearchResult),
        )

    def _start(self) -> None:
        now_s = trio.current_time()
        state = self._state
        suspects = self._context.suspects
        if not state.for_node and suspects.needs_trial(state.route.name):
            self._start_trial(now_s)
        else:
            self._start_all(now_s)

    def _start_all(self, now_s: float) -> None:
        """Calls all shards that have not been called yet."""
        state = self._state
        self._starting = True
        state.schedule_hedge(now_s)
        self._groups.start(now_s)
        for shard in state.shards.values():
            if not shard.delegated and shard.service not in state.trial_shards:
                self._calls.start(shard, now_s)
        state.trial_shards.clear()
        self._starting = False

    def _start_trial(self, now_s: float) -> None:
        self._ends.start_trial(self._groups.planned_shards, now_s)

    # ---- outcomes of calls ----

    def _on_finished(self, call: _call.Call, reply: _call.Reply) -> None:
        shard = self._state.shards[call.service]
        shard.open_calls.pop(call, None)
        if not shard.pending:
            return
        now_s = trio.current_time()
        if reply.outcome is _call.Outcome.ANSWERED:
            self._accept_part(shard, reply, (now_s - call.submitted_s) * 1000)
        else:
            self._handle_failure(shard, call, reply, now_s)
        if self._state.ended or self._state.trial_shards:
            self._continue_without_calls(now_s)
        self._wake_if_decided()

    def _on_group_ended(self) -> None:
        if self._state.ended:
            self._ends.release_held(trio.current_time())
            self._continue_without_calls(trio.current_time())
        self._wake_if_decided()

    def _wake_if_decided(self) -> None:
        if _search_completion.is_decided(self._state):
            self._state.wake.set()

    def _accept_part(
        self, shard: _shard.Shard, reply: _call.Reply, took_ms: float
    ) -> None:
        shard.part = reply
        self._state.answered_count += 1
        self._context.hedge_delays.add(self._state.route, took_ms)
        self._calls.abandon(shard)
        if self._state.trial_shards:
            self._start_all(trio.current_time())
        if self._state.ended:
            self._ends.release_held(trio.current_time())

    def _handle_failure(
        self,
        shard: _shard.Shard,
        call: _call.Call,
        reply: _call.Reply,
        now_s: float,
    ) -> None:
        shard.failure = f"{call.endpoint_id}: {reply.detail}"
        if reply.outcome.not_run:
            shard.ran_on.discard(call.endpoint_id)
            shard.runs -= 1
            shard.refusals += 1
        if reply.endpoint_ended:
            shard.ended.add(call.instance_name)
            self._state.ended.add(call.instance_name)
        if shard.open_calls:
            return
        if shard.ended and not self._ends.may_repeat(shard):
            return
        self._calls.repeat_failed(shard, reply, now_s)

    def _continue_without_calls(self, now_s: float) -> None:
        """Ends waits for calls if none is left, or tries another shard."""
        state = self._state
        if self._starting or self._has_open_calls():
            return
        if state.trial_shards and not state.ended:
            self._start_trial(now_s)
            return
        for shard in state.shards.values():
            if shard.pending:
                state.fail_shard(shard)

    def _has_open_calls(self) -> bool:
        return self._groups.is_pending or any(
            shard.open_calls or shard.retry_at_s < math.inf
            for shard in self._state.shards.values()
            if shard.pending
        )

    # ---- actions at certain times ----

    def _run_due_actions(self) -> None:
        now_s = trio.current_time()
        state = self._state
        if self._parts_at_goal is None and now_s >= state.deadlines.goal_s:
            self._parts_at_goal = state.answered_count
        self._calls.run_due_retries(now_s)
        if now_s >= state.hedge_at_s:
            self._hedge(now_s)
        if now_s >= state.check_groups_at_s:
            self._groups.check(now_s)
        if state.ended or state.trial_shards:
            self._continue_without_calls(now_s)

    def _hedge(self, now_s: float) -> None:
        """Sends hedged calls for shards whose calls take long."""
        state = self._state
        state.hedge_at_s = math.inf
        if state.trial_shards:
            if self._ends.may_try_another:
                self._start_trial(now_s)
            return
        is_suspicious = self._ends.is_suspicious()
        if is_suspicious:
            state.hedge_at_s = now_s + _search_state.RETRY_DELAY_S
            if state.ended or now_s < self._next_single_hedge_s:
                return
        for shard in state.shards.values():
            if not shard.pending or not shard.open_calls:
                continue
            if shard.runs >= state.route.max_attempts:
                continue
            if self._calls.hedge(shard, now_s) and is_suspicious:
                # Its answer shows whether the others may be hedged.
                delay_ms = self._context.hedge_delays.delay_ms(state.route)
                self._next_single_hedge_s = now_s + delay_ms / 1000
                return

    # ---- after the search ----

    def describe(self) -> Mapping[str, Any]:
        """Returns the data that the decisions were based on, for the log."""
        state = self._state
        missing = [s for s in state.shards.values() if s.part is None]
        return {
            "parts": state.answered_count,
            "shards": len(state.shards),
            "least_parts": state.min_parts,
            "asked_nodes": self._groups.asked_nodes,
            "missing": [
                {
                    "shard": shard.service,
                    "tried": sorted(shard.tried),
                    "failure": shard.failure,
                }
                for shard in missing[:MAX_LOGGED_SHARDS]
            ],
        }

    def list_shard_outcomes(self) -> list[_shard.ShardOutcome]:
        """Returns the outcome of each shard, in the order of the request."""
        return [
            _shard.ShardOutcome(
                shard.part is not None,
                frozenset(shard.ran_on),
                frozenset(shard.ended),
            )
            for shard in self._state.shards.values()
        ]

    def _abandon_all(self) -> None:
        is_late = trio.current_time() >= self._state.deadlines.goal_s
        self._groups.abort(failed=is_late)
        for shard in self._state.shards.values():
            self._calls.abandon(shard)
