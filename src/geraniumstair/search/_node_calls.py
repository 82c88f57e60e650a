"""Calls to the nodes that may serve a shard, including this node."""

from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec
import result
import trio

from geraniumstair import configuration
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.search import _pending_calls
from geraniumstair.search import _protocols
from geraniumstair.search import _replies

# An owner that does not respond for this time while calls wait for it is
# unresponsive, and the second ranked node is tried too.
_UNRESPONSIVE_AFTER_S = 0.25
# A call that fails this close to its deadline counts as timed out.
_TIMEOUT_MARGIN_S = 0.001


@dataclasses.dataclass(frozen=True)
class NodeReply:
    """Reply of one node, or one made here for a failed call.

    Attributes:
        reply: The reply; its result code states why a call failed.
        stream_lost: There is no stream to the node or it failed, so another
            node may serve the request.
    """

    reply: messages.ShardReply
    stream_lost: bool = False


class NodeCalls:
    """Sends shard requests to single nodes and tracks the pending calls.

    Args:
        membership: Ranks the nodes for each shard.
        network: Streams to the other nodes.
        dispatcher: The dispatcher of this node.
        node_id: Id of this node.
    """

    def __init__(
        self,
        membership: _protocols.OwnerView,
        network: _protocols.CallNetwork,
        dispatcher: _protocols.ShardDispatcher,
        node_id: str,
    ) -> None:
        self._membership = membership
        self._network = network
        self._dispatcher = dispatcher
        self._node_id = node_id
        self._change_count = 0
        self.calls_by_search = _pending_calls.CallsBySearch()
        self.waiting_calls = _pending_calls.WaitingCalls()

    def owners(self, request: messages.ShardRequest) -> Sequence[str]:
        """Returns the ranked nodes of a request's shard."""
        key = configuration.ShardKey(
            request.service, request.shard, request.region
        )
        return self._membership.owners(key)

    def is_disconnected(self, node_id: str) -> bool:
        """Returns whether there is no stream to another node."""
        if node_id == self._node_id:
            return False
        return node_id not in self._network.connected_nodes()

    def is_unresponsive(self, node_id: str) -> bool:
        """Returns whether a node does not respond although calls wait for it.

        An idle stream carries pings only at long intervals, so a node can only
        be unresponsive once calls have been waiting for at least
        `_UNRESPONSIVE_AFTER_S`.
        """
        if node_id == self._node_id:
            return False
        waited_s = trio.current_time() - self.waiting_calls.waiting_since_s(
            node_id
        )
        if waited_s < _UNRESPONSIVE_AFTER_S:
            return False
        return not self._network.is_responsive(node_id)

    def end_call(self, search_id: bytes, node_id: str) -> None:
        """Removes a cancelled call of a search that continues."""
        self.calls_by_search.end_call(search_id, node_id)

    def is_self(self, node_id: str) -> bool:
        """Returns whether a node is this node."""
        return node_id == self._node_id

    async def wait_for_membership_change(self, timeout_s: float) -> None:
        """Returns after a membership change or the timeout."""
        with trio.move_on_after(timeout_s):
            self._change_count = await self._membership.wait_for_change(
                self._change_count
            )

    async def call_node(
        self, node_id: str, request: messages.ShardRequest, deadline_s: float
    ) -> NodeReply:
        """Sends a request to one node and returns its reply."""
        remaining_ms = (deadline_s - trio.current_time()) * 1000
        if remaining_ms <= 0:
            return NodeReply(_build_no_time_reply())
        request = msgspec.structs.replace(request, deadline_ms=remaining_ms)
        if node_id == self._node_id:
            with self.calls_by_search.track(request.search_id, node_id):
                return NodeReply(await self._dispatcher.submit(request))
        with (
            self.calls_by_search.track(request.search_id, node_id),
            self.waiting_calls.track(node_id),
        ):
            called = await self._network.call(node_id, request, remaining_ms)
        return read_result(called, deadline_s)


def read_result(
    called: result.Result[Any, Any], deadline_s: float
) -> NodeReply:
    """Returns the reply of a finished call, or one made for its failure."""
    if isinstance(called, result.Err):
        timed_out = trio.current_time() >= deadline_s - _TIMEOUT_MARGIN_S
        return _read_failure(called.err_value, timed_out=timed_out)
    return NodeReply(_read_message(called.ok_value))


def build_unreachable_reply(detail: str) -> messages.ShardReply:
    """Returns the reply to a request that was not sent."""
    return _replies.build_failure_reply(
        codes.Code.OWNER_UNREACHABLE, detail, not_run=True
    )


def _build_no_time_reply() -> messages.ShardReply:
    return _replies.build_failure_reply(
        codes.Code.DEADLINE_TOO_SHORT,
        "No time is left to send the request to the owner.",
        not_run=True,
    )


def _read_failure(
    failure: _protocols.CallFailure, *, timed_out: bool
) -> NodeReply:
    if not failure.sent:
        return NodeReply(build_unreachable_reply(failure.detail), True)
    code = codes.Code.DEADLINE_EXCEEDED if timed_out else codes.Code.OWNER_LOST
    reply = _replies.build_failure_reply(code, failure.detail, not_run=False)
    return NodeReply(reply, not timed_out)


def _read_message(reply: object) -> messages.ShardReply:
    """Returns the shard reply in a node's message, or one for its failure."""
    if isinstance(reply, messages.ShardReply):
        return reply
    if isinstance(reply, messages.Failure):
        try:
            code = codes.Code(reply.code)
        except ValueError:
            code = codes.Code.INTERNAL_ERROR
        not_run = codes.INFO[code].not_run
        return _replies.build_failure_reply(code, reply.detail, not_run=not_run)
    return _replies.build_failure_reply(
        codes.Code.RESPONSE_INVALID,
        "The owner returned a message that is not a shard reply.",
        not_run=False,
    )
