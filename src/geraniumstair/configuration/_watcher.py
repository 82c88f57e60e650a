"""Loads new configurations from the store and from peers."""

from collections.abc import Sequence
import logging
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import store as store_package
from geraniumstair._generated import messages
from geraniumstair.configuration import _accept
from geraniumstair.configuration import _holder
from geraniumstair.configuration import _record

WATCHER_COUNT = 5
POLL_INTERVAL_S = 2.0
COMPACTION_PAUSE_S = 0.1
PEER_TIMEOUT_MS = 1000.0
START_TIMEOUT_S = 1.5

_logger = logging.getLogger(__name__)


class MemberRanking(Protocol):
    """The part of `membership.Membership` that the watcher needs."""

    def ranked_members(self, name: str) -> Sequence[str]:
        """Returns node ids by rendezvous hash, highest ranked first."""
        ...


class PeerCaller(Protocol):
    """The part of `peers.PeerNetwork` that the watcher needs."""

    async def call(
        self, node_id: str, request: Any, timeout_ms: float
    ) -> result.Result[Any, Any]:
        """Sends a request and waits for the reply."""
        ...

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""
        ...


class ConfigurationWatcher:
    """Keeps a node's configuration up to date.

    The first `WATCHER_COUNT` nodes in the ranking of the name `configuration`
    watch and poll the key in the store. All other nodes fetch a record from a
    peer whose heartbeat reports a newer revision, so the number of store calls
    does not grow with the number of nodes.
    """

    def __init__(
        self,
        node_id: str,
        store: store_package.KeyValueStore,
        holder: _holder.ConfigurationHolder,
        ranking: MemberRanking,
        network: PeerCaller,
    ) -> None:
        self._node_id = node_id
        self._store = store
        self._holder = holder
        self._ranking = ranking
        self._network = network
        self._reported_revisions: dict[str, int] = {}
        self._report_received = trio.Event()
        self._next_mod_revision = 0
        self._compact_revision = 0

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Loads the newest configuration, then keeps it up to date.

        The task counts as started after the first attempt to load, whether or
        not a configuration was found.
        """
        await self.load_newest()
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_store)
            nursery.start_soon(self._watch_store)
            nursery.start_soon(self._fetch_reported_revisions)

    def handle_peer_revision(self, node_id: str, revision: int) -> None:
        """Schedules a fetch if a peer's heartbeat reports a newer revision."""
        if revision <= self._holder.revision:
            return
        self._reported_revisions[node_id] = revision
        self._report_received.set()

    async def handle_request(
        self, sender: str, message: Any
    ) -> messages.ConfigurationReply:
        """Replies to a peer's `ConfigurationRequest`.

        The reply holds the record only if it is newer than the peer's.
        """
        del sender
        record = self._holder.record
        if record is None or record.revision <= message.have_revision:
            return messages.ConfigurationReply(self._holder.revision, b"")
        return messages.ConfigurationReply(
            record.revision, _record.encode_record(record)
        )

    async def load_newest(self) -> bool:
        """Loads the newest record from the store.

        If the store cannot be read within `START_TIMEOUT_S`, the record is
        loaded from the connected peers.

        Returns:
            Whether a configuration is in force.
        """
        read_ok = False
        with trio.move_on_after(START_TIMEOUT_S):
            read_ok = await self._read_store()
        if not read_ok:
            async with trio.open_nursery() as nursery:
                for node_id in self._network.connected_nodes():
                    nursery.start_soon(self._fetch_from_peer, node_id)
        return self._holder.current is not None

    def _is_selected(self) -> bool:
        """Returns whether this node is one of those that watch the store."""
        ranked = self._ranking.ranked_members(_accept.CONFIGURATION_KEY)
        return self._node_id in ranked[:WATCHER_COUNT]

    async def _apply(self, record: messages.ConfigurationRecord) -> None:
        if record.revision <= self._holder.revision:
            return
        # A thread does this, since a record without compact content is parsed,
        # which takes about half a second at 4,500 endpoints.
        indexed = await trio.to_thread.run_sync(_record.index_record, record)
        if isinstance(indexed, result.Err):
            _logger.error(
                "configuration: Revision %d is not valid: %s",
                record.revision,
                indexed.err_value,
            )
            return
        self._holder.apply_indexed(indexed.ok_value)

    async def _read_store(self) -> bool:
        read = await _accept.read_stored(self._store)
        if isinstance(read, result.Err):
            _logger.debug("configuration: %s", read.err_value)
            return False
        if read.ok_value.record is not None:
            self._next_mod_revision = read.ok_value.mod_revision + 1
            await self._apply(read.ok_value.record)
        return True

    async def _poll_store(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            # Without a configuration, a node polls even if it is not selected,
            # since it may have no peers to fetch one from.
            if self._is_selected() or self._holder.current is None:
                await self._read_store()

    async def _watch_store(self) -> None:
        while True:
            if not self._is_selected():
                await trio.sleep(POLL_INTERVAL_S)
                continue
            await self._watch_while_selected()

    async def _watch_while_selected(self) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_not_selected, scope)
                await self._watch()
                nursery.cancel_scope.cancel()

    async def _cancel_when_not_selected(self, scope: trio.CancelScope) -> None:
        while self._is_selected():
            await trio.sleep(POLL_INTERVAL_S)
        scope.cancel()

    async def _watch(self) -> None:
        # The watch begins at the revision after the one that was read, so that
        # a change between the read and the watch does not wait for a poll.
        if not await self._read_store():
            await trio.sleep(POLL_INTERVAL_S)
            return
        from_revision = max(self._next_mod_revision, self._compact_revision)
        watch = self._store.watch(_accept.CONFIGURATION_KEY, from_revision)
        # The error is caught here, because the nursery would wrap it in an
        # exception group.
        try:
            async with watch as changes:
                async for change in changes:
                    await self._apply_change(change)
        except store_package.WatchCompactedError as error:
            # The key is read again before the next watch, which may then
            # begin at the oldest revision that the store still has.
            self._compact_revision = error.compact_revision
            await trio.sleep(COMPACTION_PAUSE_S)
            return
        await trio.sleep(POLL_INTERVAL_S)

    async def _apply_change(self, change: store_package.KeyValue) -> None:
        if change.deleted:
            _logger.error(
                "configuration: The key was deleted; "
                "the current revision stays in force."
            )
            return
        decoded = _record.decode_record(change.value)
        if isinstance(decoded, result.Err):
            _logger.error("configuration: %s", decoded.err_value)
            return
        await self._apply(decoded.ok_value)

    async def _fetch_reported_revisions(self) -> None:
        while True:
            await self._report_received.wait()
            self._report_received = trio.Event()
            revisions, self._reported_revisions = self._reported_revisions, {}
            ordered = sorted(revisions.items(), key=lambda item: -item[1])
            for node_id, revision in ordered:
                if revision > self._holder.revision:
                    await self._fetch_from_peer(node_id)

    async def _fetch_from_peer(self, node_id: str) -> None:
        request = messages.ConfigurationRequest(self._holder.revision)
        called = await self._network.call(node_id, request, PEER_TIMEOUT_MS)
        if isinstance(called, result.Err):
            _logger.info("configuration: No answer from peer %s.", node_id)
            return
        reply = called.ok_value
        if not isinstance(reply, messages.ConfigurationReply):
            return
        if not reply.record:
            return
        decoded = _record.decode_record(reply.record)
        if isinstance(decoded, result.Err):
            _logger.warning(
                "configuration: The record of peer %s cannot be read: %s",
                node_id,
                decoded.err_value,
            )
            return
        await self._apply(decoded.ok_value)
