"""One search: a call to each shard, repeats, and the merged answer."""

from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math
from typing import Any

import trio

from geraniumstair import routing
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _delegation
from geraniumstair.forward import _records
from geraniumstair.forward import _replica
from geraniumstair.forward import _result
from geraniumstair.forward import _shard
from geraniumstair.forward import _timing

# A shard whose endpoints refused or could not be reached is tried again
# after this time, and a repeat that found no healthy endpoint as well.
RETRY_PAUSE_S = 0.015
# A repeat that the budget did not allow is tried again after this time, in
# which a busy node earns about one.
BUDGET_PAUSE_S = 0.1
# Repeats of one shard that certainly did not run.
MAX_REFUSALS = 6
# How often a node that asks shards is checked. A sign of life takes a few ms;
# a node of half a core may not run at all for half of a tenth of a second.
GROUP_CHECK_S = 0.1
# Missing shards that one log line names.
MAX_LOGGED_SHARDS = 6


def least_parts(route: routing.Route) -> int:
    """Returns the parts that make an answer."""
    # The small term keeps a product such as 0.9 * 20 from rounding up.
    return max(1, math.ceil(route.min_coverage * len(route.shards) - 1e-9))


class Search:
    """Gathers the parts of one search.

    Args:
        context: What all requests share.
        request: The caller's request.
        route: Its route, which stays the same until the answer.
        shards: The shards that are asked.
        least: Parts that make an answer.
        delegation: Lets nodes near the endpoints ask some shards; None asks
            all of them from here.
    """

    def __init__(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: Sequence[str],
        least: int,
        delegation: _delegation.Delegation | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._prepared = context.dialect.prepare(request)
        self._deadlines = _timing.deadlines(
            request,
            route,
            context.margins,
            context.waits.waited_ms(request, route),
        )
        self._shards = {name: _shard.Shard(name) for name in shards}
        self._least = least
        self._delegation = delegation
        self._groups: list[_delegation.PendingGroup] = []
        self._check_s = math.inf
        self._asked_nodes: list[str] = []
        self.repeats = 0
        self._answered = 0
        self._failed = 0
        self._hedge_s = math.inf
        self._wake = trio.Event()

    async def run(self) -> _result.ForwardResult:
        """Returns the merged answer, or why there is none."""
        refused = self._refuse_unserved()
        if refused is not None:
            return refused
        try:
            self._start()
            while not self._decided():
                with trio.move_on_at(self._next_s()):
                    await self._wake.wait()
                self._wake = trio.Event()
                self._repeat_due()
            return self._conclude()
        finally:
            self._abandon()

    def _refuse_unserved(self) -> _result.Refused | None:
        """Refuses at once if too many shards have no endpoint."""
        pool = self._context.pool
        unserved = [
            name
            for name in self._shards
            if not pool.usable(name) or pool.known_down(name)
        ]
        if len(self._shards) - len(unserved) >= self._least:
            return None
        return _result.Refused(
            _result.RefusalReason.NO_ENDPOINT,
            True,
            max(self._context.retry_after_s(name) for name in unserved),
            f"{len(unserved)} of {len(self._shards)} shards have no endpoint "
            f"that answers, {unserved[0]} among them",
        )

    def _start(self) -> None:
        now_s = trio.current_time()
        self._arm_hedge(now_s)
        budget = self._context.budget
        if self._delegation is not None:
            self._start_groups(self._delegation, now_s)
        for shard in self._shards.values():
            if shard.delegated:
                continue
            budget.earn(shard.service)
            self._first_call(shard, now_s)

    # ---- shards that other nodes ask ----

    def _start_groups(
        self, delegation: _delegation.Delegation, now_s: float
    ) -> None:
        for group in delegation.plan(self._route):
            for name in group.shards:
                self._shards[name].delegated = True
            pending = delegation.start(
                group,
                self._request,
                self._context.margins.hop_ms,
                functools.partial(self._group_replied, group),
            )
            if pending is None:
                for name in group.shards:
                    self._shards[name].delegated = False
            else:
                self._groups.append(pending)
                self._asked_nodes.append(group.node_id)
                self._check_s = now_s + GROUP_CHECK_S

    def _group_replied(
        self, group: _delegation.Group, reply: _delegation.GroupReply
    ) -> None:
        self._groups = [p for p in self._groups if p.group is not group]
        # The merged records stand for all parts of the group.
        records = reply.records
        for name, signature in reply.signatures.items():
            shard = self._shards[name]
            if shard.pending:
                shard.part = _call.Reply(
                    _call.Outcome.ANSWERED, body=records, signature=signature
                )
                records = b""
                self._answered += 1
        missing = [self._shards[n] for n in group.shards]
        for shard in missing:
            if shard.pending:
                self._take_over(shard, reply)
        if self._decided():
            self._wake.set()

    def _take_over(
        self, shard: _shard.Shard, reply: _delegation.GroupReply
    ) -> None:
        """Asks a shard that another node did not ask, or in vain."""
        shard.failure = reply.failure or "the other node has no part"
        shard.delegated = False
        budget = self._context.budget
        now_s = trio.current_time()
        if not reply.ran:
            budget.earn(shard.service)
        elif not self._may_run_again(shard, reply) or not budget.take(
            shard.service
        ):
            self._fail(shard)
            return
        self._arm_hedge(now_s)
        self._first_call(shard, now_s)

    def _may_run_again(
        self, shard: _shard.Shard, reply: _delegation.GroupReply
    ) -> bool:
        """Counts the other node's calls; False if no attempt is left."""
        attempts = self._route.max_attempts
        tried = reply.tried.get(shard.service)
        if tried is not None:
            shard.tried |= tried
            shard.runs += len(tried)
        elif self._context.pool.size(shard.service) > attempts:
            # A node that fell silent may have used all of them. It could not
            # on fewer endpoints, whatever is called from here.
            shard.runs = attempts if reply.received else 1
        return shard.runs < attempts

    def _arm_hedge(self, now_s: float) -> None:
        delay_s = self._context.delays.delay_ms(self._route) / 1000
        self._hedge_s = min(self._hedge_s, now_s + delay_s)
        self._wake.set()

    def _check_groups(self, now_s: float) -> None:
        self._check_s = math.inf
        for pending in list(self._groups):
            if not pending.received and self._can_replace(pending.group):
                reply = _delegation.GroupReply(
                    {}, b"", "no sign of receipt", received=False
                )
            elif not pending.responsive:
                reply = _delegation.GroupReply({}, b"", "no answer to pings")
            else:
                self._check_s = now_s + GROUP_CHECK_S
                continue
            pending.give_up(failed=True)
            self._group_replied(pending.group, reply)

    def _can_replace(self, group: _delegation.Group) -> bool:
        """True if all shards of a group may be asked again from here.

        Otherwise a late reply is better than none.
        """
        if self._route.max_attempts < 2:
            return False
        budget = self._context.budget
        return all(budget.has(shard) for shard in group.shards)

    # ---- calls ----

    def _first_call(self, shard: _shard.Shard, now_s: float) -> None:
        if self._context.pool.known_down(shard.service):
            # The other parts do not wait for it.
            shard.failure = "its endpoints are down"
            self._fail(shard)
        elif not self._try_call(shard):
            self._pause(shard, now_s)

    def _try_call(self, shard: _shard.Shard) -> bool:
        replica = self._context.pool.choose(shard.service, shard.tried)
        if replica is None:
            return False
        self._submit(shard, replica)
        return True

    def _submit(self, shard: _shard.Shard, replica: _replica.Replica) -> None:
        call = _call.Call(
            prepared=self._prepared,
            deadline_s=self._deadlines.caller_s,
            priority=self._route.priority,
            idempotent=True,
            finished=self._finished,
            shard=shard.service,
            route=self._route.name,
        )
        shard.tried.add(replica.entry.endpoint_id)
        shard.ran.add(replica.entry.endpoint_id)
        shard.runs += 1
        shard.open[call] = replica
        replica.submit(call)

    def _finished(self, call: _call.Call, reply: _call.Reply) -> None:
        shard = self._shards[call.shard]
        shard.open.pop(call, None)
        if not shard.pending:
            return
        now_s = trio.current_time()
        if reply.outcome is _call.Outcome.ANSWERED:
            self._take_part(shard, reply, (now_s - call.created_s) * 1000)
        else:
            self._retry(shard, call, reply, now_s)
        if self._decided():
            self._wake.set()

    def _take_part(
        self, shard: _shard.Shard, reply: _call.Reply, took_ms: float
    ) -> None:
        shard.part = reply
        self._answered += 1
        self._context.delays.add(self._route, took_ms)
        self._abandon_shard(shard)

    def _retry(
        self,
        shard: _shard.Shard,
        call: _call.Call,
        reply: _call.Reply,
        now_s: float,
    ) -> None:
        shard.failure = f"{call.endpoint_id}: {reply.detail}"
        if reply.outcome.not_run:
            shard.ran.discard(call.endpoint_id)
            shard.runs -= 1
            shard.refusals += 1
        if shard.open:
            return
        arrived = reply.outcome is not _call.Outcome.NOT_SENT
        if (
            shard.runs >= self._route.max_attempts
            or shard.refusals > MAX_REFUSALS
            or (arrived and not self._context.budget.take(shard.service))
        ):
            self._fail(shard)
            return
        self._context.metrics.extra_calls.labels("retry").inc()
        self.repeats += 1
        if not self._try_call(shard):
            # Every endpoint was tried; one that did not run it may be asked
            # again a little later.
            if shard.runs == 0:
                shard.tried.clear()
                self._pause(shard, now_s)
            else:
                self._fail(shard)

    def _pause(self, shard: _shard.Shard, now_s: float) -> None:
        shard.retry_s = now_s + RETRY_PAUSE_S
        self._wake.set()

    def _fail(self, shard: _shard.Shard) -> None:
        shard.failed = True
        self._failed += 1

    def _repeat_due(self) -> None:
        now_s = trio.current_time()
        for shard in self._shards.values():
            if shard.pending and shard.retry_s <= now_s:
                shard.retry_s = math.inf
                self._call_again(shard, now_s)
        if now_s >= self._hedge_s:
            self._hedge(now_s)
        if now_s >= self._check_s:
            self._check_groups(now_s)

    def _call_again(self, shard: _shard.Shard, now_s: float) -> None:
        if self._try_call(shard):
            return
        shard.refusals += 1
        if shard.refusals > MAX_REFUSALS:
            self._fail(shard)
        else:
            self._pause(shard, now_s)

    def _hedge(self, now_s: float) -> None:
        """Repeats the calls that last long on other endpoints."""
        self._hedge_s = math.inf
        for shard in self._shards.values():
            if not shard.pending or not shard.open:
                continue
            if shard.runs >= self._route.max_attempts:
                continue
            replica = self._context.pool.choose(
                shard.service, shard.tried, healthy=True
            )
            if replica is None:
                shard.failure = "no other sound endpoint for a repeat"
                self._hedge_s = min(self._hedge_s, now_s + RETRY_PAUSE_S)
            elif not self._context.budget.take(shard.service):
                shard.failure = "no repeat is left in the budget"
                self._hedge_s = min(self._hedge_s, now_s + BUDGET_PAUSE_S)
            else:
                shard.failure = ""
                self._context.metrics.extra_calls.labels("hedge").inc()
                self.repeats += 1
                self._submit(shard, replica)

    # ---- the end ----

    def _next_s(self) -> float:
        now_s = trio.current_time()
        next_s = self._deadlines.final_s
        if now_s < self._deadlines.goal_s:
            next_s = min(next_s, self._deadlines.goal_s)
        next_s = min(next_s, self._hedge_s, self._check_s)
        for shard in self._shards.values():
            if shard.retry_s < next_s:
                next_s = shard.retry_s
        return next_s

    def _decided(self) -> bool:
        total = len(self._shards)
        if self._answered + self._failed >= total:
            return True
        if total - self._failed < self._least:
            return True
        now_s = trio.current_time()
        if now_s >= self._deadlines.final_s:
            return True
        return now_s >= self._deadlines.goal_s and (
            self._answered >= self._least
        )

    def _conclude(self) -> _result.ForwardResult:
        parts = [s.part for s in self._shards.values() if s.part is not None]
        if len(parts) >= self._least:
            return _result.SearchResult(
                [part.signature for part in parts],
                len(self._shards) - len(parts),
                _records.greatest_records(
                    (part.body for part in parts), self._route.top_k
                ),
            )
        return self._refuse(len(parts))

    def _refuse(self, parts: int) -> _result.Refused:
        ran = any(shard.runs for shard in self._shards.values())
        late = trio.current_time() >= self._deadlines.final_s
        reasons = _result.RefusalReason
        missing = next(s for s in self._shards.values() if s.part is None)
        return _result.Refused(
            reasons.TIMEOUT if late else reasons.ENDPOINT_FAILED,
            not ran,
            self._context.retry_after_s(missing.service),
            f"{parts} of {len(self._shards)} parts, {self._least} needed, "
            f"{self._failed} failed",
        )

    def _abandon_shard(self, shard: _shard.Shard) -> None:
        now_s = trio.current_time()
        for call, replica in shard.open.items():
            replica.abandon(call, now_s)
        shard.open.clear()

    def describe(self) -> Mapping[str, Any]:
        """Returns what the decisions were based on, for the log."""
        missing = [s for s in self._shards.values() if s.part is None]
        return {
            "parts": self._answered,
            "shards": len(self._shards),
            "least_parts": self._least,
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

    def shard_outcomes(self) -> list[_shard.ShardOutcome]:
        """Returns the outcome of each shard, in the order of the request."""
        return [
            _shard.ShardOutcome(shard.part is not None, frozenset(shard.ran))
            for shard in self._shards.values()
        ]

    def _abandon(self) -> None:
        late = trio.current_time() >= self._deadlines.goal_s
        for pending in self._groups:
            pending.give_up(failed=late)
        for shard in self._shards.values():
            self._abandon_shard(shard)
