"""Routing of one shard request to a node that serves it."""

from collections.abc import Sequence

import msgspec
import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.search import _node_calls
from geraniumstair.search import _watchdog

# Without a membership change, the owner is asked again after this time,
# because it may take the shard over without a change that this node can see.
_NOT_OWNER_RETRY_S = 0.02
_NOT_OWNER_RETRY_MAX_S = 0.16


class _Race:
    """State of a request to the owner and of its fallback to other nodes.

    Attributes:
        replies: Replies by node id.
        owner_scope: Cancelled when another node has answered.
        fallback_scope: Cancelled when the owner has answered.
        fallback_done: Set when the fallback has ended; None before it starts.
        fallback_pending: Other nodes with a pending call.
        cancelled: The whole search was cancelled.
    """

    def __init__(self) -> None:
        self.replies: dict[str, _node_calls.NodeReply] = {}
        self.owner_scope = trio.CancelScope()
        self.fallback_scope = trio.CancelScope()
        self.fallback_done: trio.Event | None = None
        self.fallback_pending: set[str] = set()
        self.cancelled = False


class RequestRouter:
    """Sends one shard request to its owner or to the second ranked node.

    Args:
        node_calls: Calls to the nodes.
        watchdog: Starts the fallback while the owner is unresponsive.
        request: The request.
        deadline_s: Clock time of the request's deadline.
    """

    def __init__(
        self,
        node_calls: _node_calls.NodeCalls,
        watchdog: _watchdog.Watchdog,
        request: messages.ShardRequest,
        deadline_s: float,
    ) -> None:
        self._node_calls = node_calls
        self._watchdog = watchdog
        self._request = request
        self._deadline_s = deadline_s
        # Number of calls whose node may have run the request.
        self._maybe_run_count = 0

    async def route(self) -> messages.ShardReply:
        """Returns the reply of the owner or of the second ranked node."""
        pause_s = _NOT_OWNER_RETRY_S
        while True:
            node_reply = await self._try_ranked_nodes()
            if not (self._may_retry() and _may_have_moved(node_reply)):
                return self._correct_not_run(node_reply.reply)
            remaining_s = self._deadline_s - trio.current_time()
            if remaining_s <= pause_s:
                return self._correct_not_run(node_reply.reply)
            await self._node_calls.wait_for_membership_change(pause_s)
            pause_s = min(pause_s * 2, _NOT_OWNER_RETRY_MAX_S)

    def _may_retry(self) -> bool:
        return self._request.repeatable or not self._maybe_run_count

    def _correct_not_run(
        self, reply: messages.ShardReply
    ) -> messages.ShardReply:
        """Clears `not_run` if another node may have run the request."""
        if not (reply.not_run and self._maybe_run_count):
            return reply
        return msgspec.structs.replace(
            reply,
            code=int(codes.Code.OWNER_LOST),
            detail="An owner was lost after the request was sent to it.",
            not_run=False,
        )

    async def _try_ranked_nodes(self) -> _node_calls.NodeReply:
        owners = self._node_calls.owners(self._request)
        if not owners:
            return _node_calls.NodeReply(
                _node_calls.build_unreachable_reply("No node owns the shard."),
                True,
            )
        owner = owners[0]
        if self._node_calls.is_self(owner):
            return await self._call_node(owner, provisional=False)
        if self._node_calls.is_disconnected(owner):
            owner_reply = _node_calls.NodeReply(
                _node_calls.build_unreachable_reply("No stream to the owner."),
                True,
            )
            return await self._try_second_node(owners, owner_reply)
        if self._request.repeatable:
            node_reply = await self._race_nodes(owners)
        else:
            node_reply = await self._try_unrepeatable(owners)
        if node_reply.stream_lost and self._may_retry():
            return await self._try_second_node(owners, node_reply)
        return node_reply

    async def _call_node(
        self, node_id: str, *, provisional: bool
    ) -> _node_calls.NodeReply:
        request = self._request
        if provisional:
            request = msgspec.structs.replace(request, provisional=True)
        self._maybe_run_count += 1
        node_reply = await self._node_calls.call_node(
            node_id, request, self._deadline_s
        )
        if node_reply.reply.not_run:
            self._maybe_run_count -= 1
        return node_reply

    async def _try_second_node(
        self, owners: Sequence[str], owner_reply: _node_calls.NodeReply
    ) -> _node_calls.NodeReply:
        """Asks the second ranked node, if it is connected.

        Args:
            owners: The ranked nodes.
            owner_reply: Returned if the second node cannot be asked.
        """
        if len(owners) < 2 or self._node_calls.is_disconnected(owners[1]):
            return owner_reply
        return await self._call_node(owners[1], provisional=True)

    async def _try_unrepeatable(
        self, owners: Sequence[str]
    ) -> _node_calls.NodeReply:
        """Asks a further node only while the request certainly has not run."""
        if self._node_calls.is_unresponsive(owners[0]):
            owner_reply = _node_calls.NodeReply(
                _node_calls.build_unreachable_reply(
                    "The owner does not respond."
                ),
                True,
            )
            node_reply = await self._try_second_node(owners, owner_reply)
            if not node_reply.reply.not_run:
                return node_reply
        return await self._call_node(owners[0], provisional=False)

    async def _race_nodes(self, owners: Sequence[str]) -> _node_calls.NodeReply:
        """Asks the owner, and other nodes while the owner is unresponsive."""
        owner = owners[0]
        race = _Race()

        async def run_fallback() -> None:
            await self._run_fallback(owner, race)

        try:
            with self._watchdog.watch(owner, run_fallback):
                await self._call_owner(owner, race)
        except BaseException:
            race.cancelled = True
            raise
        finally:
            race.fallback_scope.cancel()
        return min(race.replies.values(), key=_reply_sort_key)

    async def _call_owner(self, owner: str, race: _Race) -> None:
        with race.owner_scope:
            node_reply = await self._call_node(owner, provisional=False)
            race.replies[owner] = node_reply
            if (
                node_reply.stream_lost
                and race.fallback_pending
                and race.fallback_done
            ):
                await race.fallback_done.wait()
        if owner not in race.replies:
            self._node_calls.end_call(self._request.search_id, owner)

    async def _run_fallback(self, owner: str, race: _Race) -> None:
        race.fallback_done = trio.Event()
        try:
            with race.fallback_scope:
                await self._call_other_nodes(owner, race)
        finally:
            race.fallback_done.set()
            # The calls of a cancelled search stay counted until
            # `OwnerTransport.cancel` notifies their nodes.
            if not race.cancelled:
                for node_id in race.fallback_pending:
                    self._node_calls.end_call(self._request.search_id, node_id)

    async def _call_other_nodes(self, owner: str, race: _Race) -> None:
        # A node that refuses may not have noticed yet that the owner is
        # unresponsive, so it is asked again.
        node_reply = None
        pause_s = _NOT_OWNER_RETRY_S
        while node_reply is None or _may_have_moved(node_reply):
            ranked = self._node_calls.owners(self._request)[:2]
            for node_id in ranked:
                if node_id == owner or self._node_calls.is_disconnected(
                    node_id
                ):
                    continue
                race.fallback_pending.add(node_id)
                node_reply = await self._call_node(
                    node_id, provisional=node_id != ranked[0]
                )
                race.fallback_pending.discard(node_id)
                race.replies[node_id] = node_reply
                if _is_ok(node_reply):
                    race.owner_scope.cancel()
                if owner in race.replies or _is_ok(node_reply):
                    return
            await trio.sleep(pause_s)
            pause_s = min(pause_s * 2, _NOT_OWNER_RETRY_MAX_S)
            while not self._node_calls.is_unresponsive(owner):
                await trio.sleep(pause_s)


def _is_ok(node_reply: _node_calls.NodeReply) -> bool:
    return node_reply.reply.code == codes.Code.OK


def _reply_sort_key(node_reply: _node_calls.NodeReply) -> tuple[bool, bool]:
    """Returns the sort key of a reply: code OK first, lost streams last."""
    return (not _is_ok(node_reply), node_reply.stream_lost)


def _may_have_moved(node_reply: _node_calls.NodeReply) -> bool:
    """Returns whether another node may serve after a membership change."""
    if node_reply.stream_lost:
        return True
    return node_reply.reply.code == codes.Code.NOT_OWNER
