"""Groups of a search's shards that other nodes call."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import math

import trio

from geraniumstair.forward import _call
from geraniumstair.forward import _delegation
from geraniumstair.forward import _parts
from geraniumstair.forward import _search_calls
from geraniumstair.forward import _search_ends
from geraniumstair.forward import _search_state
from geraniumstair.forward import _shard

# Interval of the checks of nodes that were asked for groups. The answer to a
# ping takes a few ms; a node of half a core may not run at all for 50 ms.
GROUP_CHECK_INTERVAL_S = 0.1


class SearchGroups:
    """Asks nodes near the endpoints for shards, and takes over what fails.

    Args:
        state: The search.
        calls: Makes its calls.
        ends: Decides on further calls after endpoints ended.
        delegation: Asks other nodes; None calls all shards from this node.
        on_changed: Called after a group's reply.

    Attributes:
        asked_nodes: The nodes that were asked, for the log.
    """

    def __init__(
        self,
        state: _search_state.SearchState,
        calls: _search_calls.SearchCalls,
        ends: _search_ends.SearchEnds,
        delegation: _delegation.Delegation | None,
        on_changed: Callable[[], None],
    ) -> None:
        self._state = state
        self._calls = calls
        self._ends = ends
        self._delegation = delegation
        self._on_changed = on_changed
        self._planned: Sequence[_parts.ShardGroup] = ()
        self._pending: list[_delegation.PendingGroup] = []
        self.asked_nodes: list[str] = []

    def plan(self) -> None:
        """Decides which shards other nodes shall call."""
        if self._delegation is not None:
            self._planned = self._delegation.plan_groups(self._state.route)

    @property
    def planned_shards(self) -> set[str]:
        """Shards that other nodes shall call."""
        return {shard for group in self._planned for shard in group.shards}

    @property
    def is_pending(self) -> bool:
        """True while a node was asked and has not replied."""
        return bool(self._pending)

    def start(self, now_s: float) -> None:
        """Asks the nodes for the groups, without shards called already."""
        if self._delegation is None:
            return
        for planned in self._planned:
            names = [
                s for s in planned.shards if s not in self._state.trial_shards
            ]
            if names:
                group = dataclasses.replace(planned, shards=tuple(names))
                self._start_group(self._delegation, group, now_s)

    def _start_group(
        self,
        delegation: _delegation.Delegation,
        group: _parts.ShardGroup,
        now_s: float,
    ) -> None:
        state = self._state
        for name in group.shards:
            state.shards[name].delegated = True
        pending = state.context.start_group(
            delegation,
            group,
            state.request,
            state.route,
            functools.partial(self._on_reply, group),
        )
        if pending is None:
            for name in group.shards:
                state.shards[name].delegated = False
        else:
            self._pending.append(pending)
            self.asked_nodes.append(group.node_id)
            state.check_groups_at_s = now_s + GROUP_CHECK_INTERVAL_S

    def _on_reply(
        self, group: _parts.ShardGroup, reply: _parts.GroupReply
    ) -> None:
        self._pending = [p for p in self._pending if p.group is not group]
        state = self._state
        state.ended |= reply.ended
        # The merged records of the whole group are kept with its first part.
        records = reply.records
        for name, signature in reply.signatures.items():
            shard = state.shards[name]
            if shard.pending:
                shard.part = _call.Reply(
                    _call.Outcome.ANSWERED, body=records, signature=signature
                )
                records = b""
                state.answered_count += 1
        for name in group.shards:
            if state.shards[name].pending:
                self._take_over(state.shards[name], reply)
        self._on_changed()

    def _take_over(self, shard: _shard.Shard, reply: _parts.GroupReply) -> None:
        """Calls a shard that another node did not call successfully."""
        shard.failure = reply.failure or "the other node returned no part"
        shard.delegated = False
        shard.may_have_run_remotely = (
            reply.may_have_run and reply.tried.get(shard.service) != frozenset()
        )
        budget = self._state.context.budget
        now_s = trio.current_time()
        if not reply.may_have_run:
            budget.record_request(shard.service)
        elif not self._record_remote_runs_and_check_attempts(shard, reply):
            self._state.fail_shard(shard)
            return
        elif reply.ended and not self._ends.may_repeat(shard):
            return
        elif not budget.try_consume(shard.service):
            self._state.fail_shard(shard)
            return
        self._state.schedule_hedge(now_s)
        self._calls.start_first_call(shard, now_s)

    def _record_remote_runs_and_check_attempts(
        self, shard: _shard.Shard, reply: _parts.GroupReply
    ) -> bool:
        """Counts the other node's calls; False if no attempt is left."""
        attempts = self._state.route.max_attempts
        tried = reply.tried.get(shard.service)
        pool = self._state.context.pool
        if tried is not None:
            shard.tried |= tried
            shard.runs += len(tried)
        elif pool.endpoint_count(shard.service) > attempts:
            # A node that stopped responding may have used all attempts. If the
            # shard has no more endpoints than attempts, further calls can't
            # exceed the limit.
            shard.runs = attempts if reply.acknowledged else 1
        return shard.runs < attempts

    def check(self, now_s: float) -> None:
        """Takes over the groups of nodes that do not respond."""
        state = self._state
        state.check_groups_at_s = math.inf
        for pending in list(self._pending):
            if not pending.acknowledged and self._can_call_again(pending.group):
                reply = _parts.GroupReply(
                    {},
                    b"",
                    "the node did not acknowledge the request",
                    acknowledged=False,
                )
            elif not pending.is_responsive:
                reply = _parts.GroupReply(
                    {}, b"", "the node does not answer pings"
                )
            else:
                state.check_groups_at_s = now_s + GROUP_CHECK_INTERVAL_S
                continue
            pending.abort(failed=True)
            self._on_reply(pending.group, reply)

    def _can_call_again(self, group: _parts.ShardGroup) -> bool:
        """Returns whether all shards of a group may be called again from here.

        If not, a late reply is better than none.
        """
        if self._state.route.max_attempts < 2:
            return False
        budget = self._state.context.budget
        return all(budget.has_token(shard) for shard in group.shards)

    def abort(self, *, failed: bool) -> None:
        """Stops waiting for the nodes.

        Args:
            failed: The nodes took too long.
        """
        for pending in self._pending:
            pending.abort(failed=failed)
