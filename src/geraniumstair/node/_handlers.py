"""Handlers of the messages that other nodes send."""

from collections.abc import Callable

from geraniumstair import configuration
from geraniumstair import dispatch
from geraniumstair import peers
from geraniumstair._generated import messages


class PeerHandlers:
    """Passes messages from other nodes to the dispatcher."""

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self._dispatcher = dispatcher

    def register(self, network: peers.PeerNetwork) -> None:
        """Registers the handlers at the peer network."""
        network.register_sync_handler(
            messages.ShardRequest, self._handle_shard_request
        )
        network.register_handler(
            messages.CancelSearch, self._handle_cancel_search
        )
        network.register_handler(
            messages.SnapshotQuery, self._handle_snapshot_query
        )
        network.register_handler(messages.ShardState, self._handle_shard_state)

    def _handle_shard_request(
        self,
        sender: str,
        message: messages.ShardRequest,
        reply: Callable[[messages.ShardReply], None],
    ) -> Callable[[], None]:
        del sender
        pending = self._dispatcher.start_request(message, reply)
        return lambda: self._dispatcher.cancel_request(pending)

    async def _handle_cancel_search(
        self, sender: str, message: messages.CancelSearch
    ) -> None:
        del sender
        self._dispatcher.cancel_search(message.search_id)

    async def _handle_snapshot_query(
        self, sender: str, message: messages.SnapshotQuery
    ) -> messages.SnapshotReply:
        del sender
        return messages.SnapshotReply(
            [self._list_snapshots(name) for name in message.shards]
        )

    def _list_snapshots(
        self, name: messages.ShardName
    ) -> messages.ShardSnapshots:
        key = configuration.ShardKey(name.service, name.shard, name.region)
        return messages.ShardSnapshots(
            name, list(self._dispatcher.snapshots(key))
        )

    async def _handle_shard_state(
        self, sender: str, message: messages.ShardState
    ) -> None:
        del sender
        self._dispatcher.apply_shard_state(message)
