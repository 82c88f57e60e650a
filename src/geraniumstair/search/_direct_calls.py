"""Shard requests that wait for a node's reply without a task each."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Any

import result
import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.search import _node_calls
from geraniumstair.search import _protocols
from geraniumstair.search import _replies

# After these codes, `OwnerTransport.submit` may find another node.
_NOT_FINAL_CODES = frozenset({codes.Code.NOT_OWNER, codes.Code.UNKNOWN_SHARD})


def _cancel_nothing() -> bool:
    return False


@dataclasses.dataclass(slots=True, eq=False)
class _DirectCall:
    """One request that its node has not answered yet.

    Attributes:
        node_id: Node that received the request.
        search_id: Search attempt that the request belongs to.
        deadline_s: Clock time of the request's deadline.
        on_reply: Called with the reply and whether it is final.
        cancel: Cancels the call; returns True if no byte of it was sent.
        failed_as_unresponsive: `on_reply` was called because the node did not
            respond, so a later reply is dropped.
    """

    node_id: str
    search_id: bytes
    deadline_s: float
    on_reply: _protocols.ReplyCallback
    cancel: Callable[[], bool] = _cancel_nothing
    failed_as_unresponsive: bool = False


class DirectCalls:
    """Sends requests to nodes and passes the replies to callbacks.

    Used in the common case, in which the owner answers. `RequestRouter` needs
    a task for each request, which costs several times as much.

    Args:
        node_calls: Detects unresponsive nodes.
        network: Streams to the other nodes.
        dispatcher: The dispatcher of this node.
        node_id: Id of this node.
    """

    def __init__(
        self,
        node_calls: _node_calls.NodeCalls,
        network: _protocols.CallNetwork,
        dispatcher: _protocols.ShardDispatcher,
        node_id: str,
    ) -> None:
        self._node_calls = node_calls
        self._network = network
        self._dispatcher = dispatcher
        self._node_id = node_id
        self._by_search: dict[bytes, set[_DirectCall]] = {}
        self._by_node: dict[str, set[_DirectCall]] = {}

    def __len__(self) -> int:
        """Returns the number of search attempts with pending calls."""
        return len(self._by_search)

    def start(
        self,
        node_id: str,
        request: messages.ShardRequest,
        on_reply: _protocols.ReplyCallback,
    ) -> bool:
        """Sends a request to one node; returns False if there is no stream."""
        deadline_s = trio.current_time() + request.deadline_ms / 1000
        call = _DirectCall(node_id, request.search_id, deadline_s, on_reply)
        self._by_search.setdefault(call.search_id, set()).add(call)
        if node_id == self._node_id:

            def on_local_reply(reply: messages.ShardReply) -> None:
                self._complete(call, _node_calls.NodeReply(reply))

            self._dispatcher.start_request(request, on_local_reply)
            return True

        def on_result(called: result.Result[Any, Any]) -> None:
            self._complete(call, _node_calls.read_result(called, deadline_s))

        started = self._network.start_call(node_id, request, on_result)
        if isinstance(started, result.Err):
            self._remove_from_search(call)
            return False
        call.cancel = started.ok_value
        self._by_node.setdefault(node_id, set()).add(call)
        self._node_calls.waiting_calls.begin_call(node_id)
        return True

    def cancel_search(self, search_id: bytes) -> Sequence[str]:
        """Cancels the calls of an attempt and returns the nodes to notify."""
        calls = self._by_search.pop(search_id, ())
        for call in calls:
            call.cancel()
            self._remove_from_node(call)
        return [call.node_id for call in calls]

    def fail_unresponsive(self) -> None:
        """Fails calls to unresponsive nodes with a non-final OWNER_LOST."""
        for node_id, calls in list(self._by_node.items()):
            if not self._node_calls.is_unresponsive(node_id):
                continue
            for call in list(calls):
                if call.failed_as_unresponsive:
                    continue
                # The call still counts as waiting, so that the next request
                # finds the owner unresponsive at once.
                call.failed_as_unresponsive = True
                reply = _replies.build_failure_reply(
                    codes.Code.OWNER_LOST,
                    "The owner does not respond.",
                    not_run=False,
                )
                call.on_reply(reply, False)

    def _complete(
        self, call: _DirectCall, node_reply: _node_calls.NodeReply
    ) -> None:
        if call not in self._by_search.get(call.search_id, ()):
            return  # The attempt was cancelled.
        self._remove_from_search(call)
        self._remove_from_node(call)
        if call.failed_as_unresponsive:
            return
        is_final = (
            not node_reply.stream_lost
            and node_reply.reply.code not in _NOT_FINAL_CODES
        )
        call.on_reply(node_reply.reply, is_final)

    def _remove_from_search(self, call: _DirectCall) -> None:
        calls = self._by_search[call.search_id]
        calls.discard(call)
        if not calls:
            del self._by_search[call.search_id]

    def _remove_from_node(self, call: _DirectCall) -> None:
        calls = self._by_node.get(call.node_id)
        if calls is None or call not in calls:
            return
        self._node_calls.waiting_calls.end_call(call.node_id)
        calls.discard(call)
        if not calls:
            del self._by_node[call.node_id]
