"""One search: a call to each shard, repeats, and the merged answer."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools
import math
from typing import Any

import trio
import xxhash

from geraniumstair import routing
from geraniumstair.forward import _admission
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _delegation
from geraniumstair.forward import _records
from geraniumstair.forward import _replica
from geraniumstair.forward import _result
from geraniumstair.forward import _shard
from geraniumstair.forward import _suspects
from geraniumstair.forward import _timing

# Delay before another call to a shard whose endpoints rejected the call or
# could not be reached, and before another attempt at a hedge that found no
# healthy endpoint.
RETRY_DELAY_S = 0.015
# Delay before another attempt at a hedge that the budget did not allow. In this
# time, a busy node gains about one token.
BUDGET_RETRY_DELAY_S = 0.1
# A wake-up that is this late shows that the process was paused.
PAUSE_S = 0.25
# Delay of repeats after a pause. Answers, and messages that stop the search,
# arrived meanwhile and are read first.
RESUME_DELAY_S = 0.05
# Limit of calls and attempts for one shard that certainly did not run.
MAX_REFUSALS = 6
# Interval of the checks of nodes that were asked for groups. The answer to a
# ping takes a few ms; a node of half a core may not run at all for 50 ms.
GROUP_CHECK_INTERVAL_S = 0.1
# Shards on which a request is tried that may end endpoints. The second one is
# called if the first one takes long.
MAX_TRIAL_SHARDS = 2
# With fewer calls, slow endpoints alone may leave all of them without an answer
# until the delay of hedged calls.
MIN_SUSPICIOUS_CALLS = 4
# Missing shards that are listed in one log line.
MAX_LOGGED_SHARDS = 6


def compute_required_parts(route: routing.Route) -> int:
    """Returns the number of parts that an answer needs."""
    # The small term keeps a product such as 0.9 * 20 from rounding up.
    return max(1, math.ceil(route.min_coverage * len(route.shards) - 1e-9))


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
        self._for_node = for_node
        self._request = request
        self._route = route
        self._prepared = context.dialect.prepare(request)
        self.waited_ms = context.wait_estimator.estimate_waited_ms(
            request, route
        )
        self._deadlines = _timing.compute_deadlines(
            request, route, context.margins, self.waited_ms
        )
        self._shards = {name: _shard.Shard(name) for name in shards}
        self._min_parts = min_parts
        self._delegation = delegation
        self._result: _result.ForwardResult | None = None
        self._planned_groups: Sequence[_delegation.ShardGroup] = ()
        self._groups: list[_delegation.PendingGroup] = []
        self._check_groups_at_s = math.inf
        self._asked_nodes: list[str] = []
        self.repeats = 0
        self._answered_count = 0
        self._failed_count = 0
        self._parts_at_goal: int | None = None
        self._hedge_at_s = math.inf
        # Shards that are called first, to see whether the request ends
        # endpoints; the others wait.
        self._trial_shards: set[str] = set()
        # True while the first calls are made.
        self._starting = False
        # When the next hedged call may be sent while no part has arrived.
        self._next_single_hedge_s = -math.inf
        # Endpoints that ended while they ran the request, with their starts.
        self._ended: set[str] = set()
        self._wake = trio.Event()

    async def run(self) -> _result.ForwardResult:
        """Returns the merged answer, or why there is none."""
        if self._delegation is not None:
            self._planned_groups = self._delegation.plan_groups(self._route)
        refused = self._refuse_unserved()
        if refused is not None:
            return refused
        try:
            self._start()
            while not self._is_decided():
                wakeup_s = self._next_wakeup_s()
                with trio.move_on_at(wakeup_s):
                    await self._wake.wait()
                self._wake = trio.Event()
                if trio.current_time() > wakeup_s + PAUSE_S:
                    self._postpone_repeats()
                self._run_due_actions()
            self._result = self._build_result()
            return self._result
        finally:
            self._report_suspect()
            self._abandon_all()

    def judge(self) -> _admission.Evidence:
        """Returns what the finished search shows about the endpoints' load."""
        return _admission.judge_search(
            len(self._shards),
            self._parts_at_goal,
            answered=isinstance(self._result, _result.SearchResult),
        )

    def _refuse_unserved(self) -> _result.Refused | None:
        """Refuses at once if too many shards have no endpoint that answers."""
        pool = self._context.pool
        down = [
            name
            for name in self._shards
            if not pool.has_usable_endpoint(name) or pool.is_known_down(name)
        ]
        excluded = set(down)
        # Another node knows its own part of a limit.
        for group in self._planned_groups:
            excluded.update(group.shards)
        limited = [
            name
            for name in self._shards
            if name not in excluded and pool.is_at_stated_limit(name)
        ]
        unserved = down + limited
        if len(self._shards) - len(unserved) >= self._min_parts:
            return None
        retry_after_s = max(self._context.retry_after_s(n) for n in unserved)
        if limited:
            return _result.Refused(
                _result.RefusalReason.OVERLOADED,
                True,
                retry_after_s,
                f"the endpoints of {len(limited)} of {len(self._shards)} "
                f"shards accept no more requests at present, for example "
                f"{limited[0]}",
            )
        return _result.Refused(
            _result.RefusalReason.NO_ENDPOINT,
            True,
            retry_after_s,
            f"{len(unserved)} of {len(self._shards)} shards have no available "
            f"endpoint, for example {unserved[0]}",
        )

    def _start(self) -> None:
        now_s = trio.current_time()
        suspects = self._context.suspects
        if not self._for_node and suspects.needs_trial(self._route.name):
            self._start_trial(now_s)
        else:
            self._start_all(now_s)

    def _start_all(self, now_s: float) -> None:
        """Calls all shards that have not been called yet."""
        self._starting = True
        self._schedule_hedge(now_s)
        if self._delegation is not None:
            self._start_groups(self._delegation, now_s)
        for shard in self._shards.values():
            if not shard.delegated and shard.service not in self._trial_shards:
                self._start_shard(shard, now_s)
        self._trial_shards.clear()
        self._starting = False

    def _start_shard(self, shard: _shard.Shard, now_s: float) -> None:
        self._context.budget.record_request(shard.service)
        self._start_first_call(shard, now_s)

    def _start_trial(self, now_s: float) -> None:
        """Calls one more shard; the others follow when one has answered.

        Shards that this node calls itself come first.
        """
        self._hedge_at_s = math.inf
        self._schedule_hedge(now_s)
        planned = {s for group in self._planned_groups for s in group.shards}
        candidates = [
            shard
            for shard in self._shards.values()
            if shard.service not in self._trial_shards
        ]
        # The hash spreads the trials of different requests over the shards.
        request_id = self._request.request_id
        candidates.sort(
            key=lambda shard: (
                shard.service in planned,
                xxhash.xxh64_intdigest(request_id + shard.service.encode()),
            )
        )
        for shard in candidates:
            self._trial_shards.add(shard.service)
            self._start_shard(shard, now_s)
            if shard.pending:
                return

    # ---- delegated shards ----

    def _start_groups(
        self, delegation: _delegation.Delegation, now_s: float
    ) -> None:
        for planned in self._planned_groups:
            names = [s for s in planned.shards if s not in self._trial_shards]
            if not names:
                continue
            group = dataclasses.replace(planned, shards=tuple(names))
            for name in group.shards:
                self._shards[name].delegated = True
            pending = self._context.start_group(
                delegation,
                group,
                self._request,
                functools.partial(self._on_group_reply, group),
            )
            if pending is None:
                for name in group.shards:
                    self._shards[name].delegated = False
            else:
                self._groups.append(pending)
                self._asked_nodes.append(group.node_id)
                self._check_groups_at_s = now_s + GROUP_CHECK_INTERVAL_S

    def _on_group_reply(
        self, group: _delegation.ShardGroup, reply: _delegation.GroupReply
    ) -> None:
        self._groups = [p for p in self._groups if p.group is not group]
        self._ended |= reply.ended
        # The merged records of the whole group are kept with its first part.
        records = reply.records
        for name, signature in reply.signatures.items():
            shard = self._shards[name]
            if shard.pending:
                shard.part = _call.Reply(
                    _call.Outcome.ANSWERED, body=records, signature=signature
                )
                records = b""
                self._answered_count += 1
        group_shards = [self._shards[n] for n in group.shards]
        for shard in group_shards:
            if shard.pending:
                self._take_over(shard, reply)
        if self._ended:
            self._release_held(trio.current_time())
            self._continue_without_calls(trio.current_time())
        if self._is_decided():
            self._wake.set()

    def _take_over(
        self, shard: _shard.Shard, reply: _delegation.GroupReply
    ) -> None:
        """Calls a shard that another node did not call successfully."""
        shard.failure = reply.failure or "the other node returned no part"
        shard.delegated = False
        shard.may_have_run_remotely = (
            reply.may_have_run and reply.tried.get(shard.service) != frozenset()
        )
        budget = self._context.budget
        now_s = trio.current_time()
        if not reply.may_have_run:
            budget.record_request(shard.service)
        elif not self._record_remote_runs_and_check_attempts(shard, reply):
            self._fail_shard(shard)
            return
        elif reply.ended and not self._may_repeat_after_end(shard):
            return
        elif not budget.try_consume(shard.service):
            self._fail_shard(shard)
            return
        self._schedule_hedge(now_s)
        self._start_first_call(shard, now_s)

    def _record_remote_runs_and_check_attempts(
        self, shard: _shard.Shard, reply: _delegation.GroupReply
    ) -> bool:
        """Counts the other node's calls; False if no attempt is left."""
        attempts = self._route.max_attempts
        tried = reply.tried.get(shard.service)
        if tried is not None:
            shard.tried |= tried
            shard.runs += len(tried)
        elif self._context.pool.endpoint_count(shard.service) > attempts:
            # A node that stopped responding may have used all attempts. If the
            # shard has no more endpoints than attempts, further calls can't
            # exceed the limit.
            shard.runs = attempts if reply.acknowledged else 1
        return shard.runs < attempts

    def _schedule_hedge(self, now_s: float) -> None:
        delay_s = self._context.hedge_delays.delay_ms(self._route) / 1000
        self._hedge_at_s = min(self._hedge_at_s, now_s + delay_s)
        self._wake.set()

    def _check_groups(self, now_s: float) -> None:
        self._check_groups_at_s = math.inf
        for pending in list(self._groups):
            if not pending.acknowledged and self._can_call_again(pending.group):
                reply = _delegation.GroupReply(
                    {},
                    b"",
                    "the node did not acknowledge the request",
                    acknowledged=False,
                )
            elif not pending.is_responsive:
                reply = _delegation.GroupReply(
                    {}, b"", "the node does not answer pings"
                )
            else:
                self._check_groups_at_s = now_s + GROUP_CHECK_INTERVAL_S
                continue
            pending.abort(failed=True)
            self._on_group_reply(pending.group, reply)

    def _can_call_again(self, group: _delegation.ShardGroup) -> bool:
        """Returns whether all shards of a group may be called again from here.

        If not, a late reply is better than none.
        """
        if self._route.max_attempts < 2:
            return False
        budget = self._context.budget
        return all(budget.has_token(shard) for shard in group.shards)

    # ---- calls ----

    def _start_first_call(self, shard: _shard.Shard, now_s: float) -> None:
        pool = self._context.pool
        # A shard that can't be called fails at once, so that the other parts
        # do not wait for it.
        if pool.is_known_down(shard.service):
            shard.failure = "all endpoints are down"
            self._fail_shard(shard)
        elif self._try_call(shard, _call.Cause.FIRST):
            return
        elif pool.is_at_stated_limit(shard.service):
            shard.failure = "the endpoints accept no more requests at present"
            self._fail_shard(shard)
        else:
            self._schedule_retry(shard, now_s)

    def _try_call(self, shard: _shard.Shard, cause: _call.Cause) -> bool:
        replica = self._context.pool.choose_replica(shard.service, shard.tried)
        if replica is None:
            return False
        self._submit(shard, replica, cause)
        return True

    def _submit(
        self, shard: _shard.Shard, replica: _replica.Replica, cause: _call.Cause
    ) -> None:
        call = _call.Call(
            prepared=self._prepared,
            deadline_s=self._deadlines.caller_s,
            priority=self._route.priority,
            idempotent=True,
            on_finished=self._on_finished,
            service=shard.service,
            route=self._route.name,
            cause=cause,
        )
        shard.tried.add(replica.entry.endpoint_id)
        shard.ran_on.add(replica.entry.endpoint_id)
        shard.runs += 1
        shard.open_calls[call] = replica
        self._context.record_call(call)
        replica.submit(call)

    def _on_finished(self, call: _call.Call, reply: _call.Reply) -> None:
        shard = self._shards[call.service]
        shard.open_calls.pop(call, None)
        if not shard.pending:
            return
        now_s = trio.current_time()
        if reply.outcome is _call.Outcome.ANSWERED:
            self._accept_part(shard, reply, (now_s - call.submitted_s) * 1000)
        else:
            self._handle_failure(shard, call, reply, now_s)
        if self._ended or self._trial_shards:
            self._continue_without_calls(now_s)
        if self._is_decided():
            self._wake.set()

    def _accept_part(
        self, shard: _shard.Shard, reply: _call.Reply, took_ms: float
    ) -> None:
        shard.part = reply
        self._answered_count += 1
        self._context.hedge_delays.add(self._route, took_ms)
        self._abandon_shard(shard)
        if self._trial_shards:
            self._start_all(trio.current_time())
        if self._ended:
            self._release_held(trio.current_time())

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
            self._ended.add(call.instance_name)
        if shard.open_calls:
            return
        if shard.ended and not self._may_repeat_after_end(shard):
            return
        self._repeat_failed(shard, reply, now_s)

    # ---- requests that may end endpoints ----

    def _may_repeat_after_end(self, shard: _shard.Shard) -> bool:
        """Returns whether a shard may be called again after an endpoint ended.

        If not, the shard has failed, or waits for a part that shows that the
        request does not end each endpoint that runs it.
        """
        if len(self._ended) >= _suspects.MAX_ENDED:
            shard.failure = "endpoints ended while they ran the request"
            self._fail_shard(shard)
            return False
        shard.held = not self._answered_count
        return not shard.held

    def _release_held(self, now_s: float) -> None:
        """Calls held shards again once a part has arrived."""
        if not self._answered_count:
            return
        for shard in self._shards.values():
            if shard.held and shard.pending:
                shard.held = False
                if self._may_repeat_after_end(shard):
                    lost = _call.Reply(_call.Outcome.LOST, shard.failure)
                    self._repeat_failed(shard, lost, now_s)

    def _continue_without_calls(self, now_s: float) -> None:
        """Ends waits for calls if none is left, or tries another shard."""
        if self._starting or self._has_open_calls():
            return
        if self._trial_shards and not self._ended:
            self._start_trial(now_s)
            return
        for shard in self._shards.values():
            if shard.pending:
                self._fail_shard(shard)

    def _has_open_calls(self) -> bool:
        return bool(self._groups) or any(
            shard.open_calls or shard.retry_at_s < math.inf
            for shard in self._shards.values()
            if shard.pending
        )

    def _is_suspicious(self) -> bool:
        """Returns whether the request may be the reason for missing parts.

        No part has arrived from any of several endpoints. More calls would end
        more endpoints if the request ends them. Endpoints that are silent look
        the same.
        """
        return not self._answered_count and (
            bool(self._ended)
            or sum(bool(s.open_calls) for s in self._shards.values())
            >= MIN_SUSPICIOUS_CALLS
        )

    def _report_suspect(self) -> None:
        if self._ended and not self._answered_count and not self._for_node:
            self._context.suspects.report_ends(
                self._request, self._route.name, self._ended
            )

    # ---- repeats ----

    def _repeat_failed(
        self, shard: _shard.Shard, reply: _call.Reply, now_s: float
    ) -> None:
        """Calls a shard again after a failure, or gives it up."""
        was_sent = reply.outcome is not _call.Outcome.NOT_SENT
        if (
            shard.runs >= self._route.max_attempts
            or shard.refusals > MAX_REFUSALS
            or (
                was_sent and not self._context.budget.try_consume(shard.service)
            )
        ):
            self._fail_shard(shard)
            return
        self._context.metrics.extra_calls.labels("retry").inc()
        self.repeats += 1
        if not self._try_call(shard, _call.Cause.RETRY):
            # Every endpoint was tried. If none ran the request, all of them may
            # be called again a little later.
            pool = self._context.pool
            if shard.runs == 0 and not pool.is_known_down(shard.service):
                shard.tried.clear()
                self._schedule_retry(shard, now_s)
            else:
                self._fail_shard(shard)

    def _schedule_retry(self, shard: _shard.Shard, now_s: float) -> None:
        shard.retry_at_s = now_s + RETRY_DELAY_S
        self._wake.set()

    def _fail_shard(self, shard: _shard.Shard) -> None:
        shard.failed = True
        self._failed_count += 1

    def _postpone_repeats(self) -> None:
        resume_s = trio.current_time() + RESUME_DELAY_S
        self._hedge_at_s = max(self._hedge_at_s, resume_s)
        self._check_groups_at_s = max(self._check_groups_at_s, resume_s)
        for shard in self._shards.values():
            shard.retry_at_s = max(shard.retry_at_s, resume_s)

    def _run_due_actions(self) -> None:
        now_s = trio.current_time()
        if self._parts_at_goal is None and now_s >= self._deadlines.goal_s:
            self._parts_at_goal = self._answered_count
        for shard in self._shards.values():
            if shard.pending and shard.retry_at_s <= now_s:
                shard.retry_at_s = math.inf
                self._retry_now(shard, now_s)
        if now_s >= self._hedge_at_s:
            self._hedge(now_s)
        if now_s >= self._check_groups_at_s:
            self._check_groups(now_s)
        if self._ended or self._trial_shards:
            self._continue_without_calls(now_s)

    def _retry_now(self, shard: _shard.Shard, now_s: float) -> None:
        cause = _call.Cause.RETRY if shard.refusals else _call.Cause.FIRST
        if self._try_call(shard, cause):
            return
        shard.refusals += 1
        if shard.refusals > MAX_REFUSALS:
            self._fail_shard(shard)
        else:
            self._schedule_retry(shard, now_s)

    def _hedge(self, now_s: float) -> None:
        """Sends hedged calls for shards whose calls take long."""
        self._hedge_at_s = math.inf
        if self._trial_shards:
            if not self._ended and len(self._trial_shards) < MAX_TRIAL_SHARDS:
                self._start_trial(now_s)
            return
        is_suspicious = self._is_suspicious()
        if is_suspicious:
            self._hedge_at_s = now_s + RETRY_DELAY_S
            if self._ended or now_s < self._next_single_hedge_s:
                return
        for shard in self._shards.values():
            if not shard.pending or not shard.open_calls:
                continue
            if shard.runs >= self._route.max_attempts:
                continue
            if self._hedge_shard(shard, now_s) and is_suspicious:
                # Its answer shows whether the others may be hedged.
                delay_ms = self._context.hedge_delays.delay_ms(self._route)
                self._next_single_hedge_s = now_s + delay_ms / 1000
                return

    def _hedge_shard(self, shard: _shard.Shard, now_s: float) -> bool:
        """Sends a hedged call for a shard; returns False if none was sent."""
        budget = self._context.budget
        # A chosen endpoint counts against its limits, so the budget is checked
        # before.
        if not budget.has_token(shard.service):
            shard.failure = "the retry budget is exhausted"
            self._hedge_at_s = min(
                self._hedge_at_s, now_s + BUDGET_RETRY_DELAY_S
            )
            return False
        replica = self._context.pool.choose_replica(
            shard.service, shard.tried, only_healthy=True
        )
        if replica is None:
            shard.failure = "no other healthy endpoint for a hedged call"
            self._hedge_at_s = min(self._hedge_at_s, now_s + RETRY_DELAY_S)
            return False
        if not budget.try_consume(shard.service):
            return False
        shard.failure = ""
        self._context.metrics.extra_calls.labels("hedge").inc()
        self.repeats += 1
        self._submit(shard, replica, _call.Cause.HEDGE)
        return True

    # ---- completion ----

    def _next_wakeup_s(self) -> float:
        now_s = trio.current_time()
        next_s = self._deadlines.final_s
        if now_s < self._deadlines.goal_s:
            next_s = min(next_s, self._deadlines.goal_s)
        next_s = min(next_s, self._hedge_at_s, self._check_groups_at_s)
        for shard in self._shards.values():
            if shard.retry_at_s < next_s:
                next_s = shard.retry_at_s
        return next_s

    def _is_decided(self) -> bool:
        total = len(self._shards)
        if self._answered_count + self._failed_count >= total:
            return True
        if total - self._failed_count < self._min_parts:
            return True
        now_s = trio.current_time()
        if now_s >= self._deadlines.final_s:
            return True
        return now_s >= self._deadlines.goal_s and (
            self._answered_count >= self._min_parts
        )

    def _build_result(self) -> _result.ForwardResult:
        parts = [s.part for s in self._shards.values() if s.part is not None]
        if len(parts) >= self._min_parts:
            return _result.SearchResult(
                [part.signature for part in parts],
                len(self._shards) - len(parts),
                _records.merge_greatest_records(
                    (part.body for part in parts), self._route.top_k
                ),
            )
        return self._build_refusal(len(parts))

    def _build_refusal(self, part_count: int) -> _result.Refused:
        may_have_run = any(
            shard.may_have_run for shard in self._shards.values()
        )
        timed_out = trio.current_time() >= self._deadlines.final_s
        reasons = _result.RefusalReason
        missing = next(s for s in self._shards.values() if s.part is None)
        return _result.Refused(
            reasons.TIMEOUT if timed_out else reasons.ENDPOINT_FAILED,
            not may_have_run,
            self._context.retry_after_s(missing.service),
            f"{part_count} of {len(self._shards)} parts, "
            f"{self._min_parts} needed, "
            f"{self._failed_count} failed",
        )

    def _abandon_shard(self, shard: _shard.Shard) -> None:
        now_s = trio.current_time()
        for call, replica in shard.open_calls.items():
            replica.abandon(call, now_s)
        shard.open_calls.clear()

    def describe(self) -> Mapping[str, Any]:
        """Returns the data that the decisions were based on, for the log."""
        missing = [s for s in self._shards.values() if s.part is None]
        return {
            "parts": self._answered_count,
            "shards": len(self._shards),
            "least_parts": self._min_parts,
            "asked_nodes": self._asked_nodes,
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
            for shard in self._shards.values()
        ]

    def _abandon_all(self) -> None:
        is_late = trio.current_time() >= self._deadlines.goal_s
        for pending in self._groups:
            pending.abort(failed=is_late)
        for shard in self._shards.values():
            self._abandon_shard(shard)
