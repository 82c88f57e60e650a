"""Transport of shard requests to the nodes that own the shards."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Literal

import result
import trio

from geraniumstair import configuration
from geraniumstair._generated import messages
from geraniumstair.search import _direct_calls
from geraniumstair.search import _node_calls
from geraniumstair.search import _protocols
from geraniumstair.search import _routing
from geraniumstair.search import _watchdog


class OwnerTransport:
    """A `ShardTransport` on top of membership, peers and the dispatcher.

    Args:
        membership: Ranks the nodes for each shard.
        network: Streams to the other nodes.
        dispatcher: The dispatcher of this node.
        node_id: Id of this node.
        shard_routing: `owner` sends requests to the shards' owners; `local`
            sends every request to this node's dispatcher.
    """

    def __init__(
        self,
        membership: _protocols.OwnerView,
        network: _protocols.CallNetwork,
        dispatcher: _protocols.ShardDispatcher,
        node_id: str,
        *,
        shard_routing: Literal["owner", "local"] = "owner",
    ) -> None:
        self._membership = membership
        self._network = network
        self._dispatcher = dispatcher
        self._node_id = node_id
        self._routes_locally = shard_routing == "local"
        self._node_calls = _node_calls.NodeCalls(
            membership, network, dispatcher, node_id
        )
        self._direct_calls = _direct_calls.DirectCalls(
            self._node_calls, network, dispatcher, node_id
        )
        self._watchdog = _watchdog.Watchdog(
            self._node_calls, self._direct_calls
        )

    @property
    def pending_attempts(self) -> int:
        """Number of search attempts with pending calls."""
        return len(self._node_calls.calls_by_search) + len(self._direct_calls)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the watchdog of the owners' streams until cancelled.

        Unless this runs, a request that waits for an owner that stopped
        responding is not sent to another node.
        """
        await self._watchdog.run(task_status=task_status)

    def start(
        self, request: messages.ShardRequest, on_reply: _protocols.ReplyCallback
    ) -> bool:
        """Sends a request to the owner without starting a task.

        A request that must run at most once is not started here, because
        `submit` sends a started request again after most failures.

        Args:
            request: The request; `deadline_ms` counts from this call. The
                caller must cancel the search at the deadline.
            on_reply: Called once with the reply and whether it is final,
                possibly before `start` returns. After a reply that is not
                final, `submit` may find another node.

        Returns:
            False if nothing was sent and `submit` must be used.
        """
        if not request.repeatable:
            return False
        if self._routes_locally:
            return self._direct_calls.start(self._node_id, request, on_reply)
        owners = self._node_calls.owners(request)
        if not owners:
            return False
        return self._direct_calls.start(owners[0], request, on_reply)

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Sends a shard request to the owner and returns its reply.

        A failure is a reply with a result code. `not_run` is true only if no
        node that received the request can have run it.

        Args:
            request: The request; `deadline_ms` counts from this call.
        """
        deadline_s = trio.current_time() + request.deadline_ms / 1000
        if self._routes_locally:
            node_reply = await self._node_calls.call_node(
                self._node_id, request, deadline_s
            )
            return node_reply.reply
        return await _routing.RequestRouter(
            self._node_calls, self._watchdog, request, deadline_s
        ).route()

    async def snapshots(
        self, keys: Sequence[configuration.ShardKey], timeout_ms: float
    ) -> Mapping[configuration.ShardKey, Sequence[int]]:
        """Asks the owners for the snapshots of their shards.

        Args:
            keys: The shards.
            timeout_ms: Owners that do not answer within this time are left
                out.
        """
        found: dict[configuration.ShardKey, Sequence[int]] = {}
        by_node: dict[str, list[configuration.ShardKey]] = {}
        for key in keys:
            node_id = self._find_snapshot_node(key)
            if node_id is not None:
                by_node.setdefault(node_id, []).append(key)
        for key in by_node.pop(self._node_id, []):
            found[key] = self._dispatcher.snapshots(key)
        with trio.move_on_after(timeout_ms / 1000):
            async with trio.open_nursery() as nursery:
                for node_id, node_keys in by_node.items():
                    nursery.start_soon(
                        self._query_snapshots,
                        node_id,
                        node_keys,
                        timeout_ms,
                        found,
                    )
        return found

    def cancel(self, search_id: bytes) -> None:
        """Notifies the nodes with pending calls that an attempt has ended."""
        nodes = set(self._node_calls.calls_by_search.pop_nodes(search_id))
        nodes.update(self._direct_calls.cancel_search(search_id))
        for node_id in sorted(nodes):
            if node_id == self._node_id:
                self._dispatcher.cancel_search(search_id)
            else:
                self._network.send(node_id, messages.CancelSearch(search_id))

    def _find_snapshot_node(self, key: configuration.ShardKey) -> str | None:
        if self._routes_locally:
            return self._node_id
        connected = self._network.connected_nodes()
        for node_id in self._membership.owners(key)[:2]:
            if node_id == self._node_id:
                return node_id
            if node_id in connected and not self._node_calls.is_unresponsive(
                node_id
            ):
                return node_id
        return None

    async def _query_snapshots(
        self,
        node_id: str,
        keys: Sequence[configuration.ShardKey],
        timeout_ms: float,
        found: dict[configuration.ShardKey, Sequence[int]],
    ) -> None:
        names = [
            messages.ShardName(key.service, key.shard, key.region)
            for key in keys
        ]
        with self._node_calls.waiting_calls.track(node_id):
            called = await self._network.call(
                node_id, messages.SnapshotQuery(names), timeout_ms
            )
        if isinstance(called, result.Err):
            return
        reply = called.ok_value
        if not isinstance(reply, messages.SnapshotReply):
            return
        asked = set(keys)
        for entry in reply.shards:
            name = entry.shard
            key = configuration.ShardKey(name.service, name.shard, name.region)
            if key in asked:
                found[key] = entry.snapshots
