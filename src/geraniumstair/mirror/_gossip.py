"""Spreads changes of the mirror between nodes by gossip.

A node whose mirror advances sends its neighbours a notice with the newest
revision only. A node that is behind requests the changes from one of the nodes
that notified it, so it receives each change once, however many neighbours it
has. A node that has read the whole store does not know which keys were deleted
before, and can't tell a node that is behind. That node then waits for another
one that can, and fetches the whole contents if there is none.

A node whose calls the store refuses loses its registration, and other nodes no
longer select it as a neighbour. The notices that it sends to its own neighbours
ask them to keep notifying it.
"""

from collections.abc import Sequence
import logging
import math
from typing import Protocol
import zlib

import msgspec
import trio

from geraniumstair import _struct
from geraniumstair import peers
from geraniumstair._generated import messages
from geraniumstair.mirror import _completeness
from geraniumstair.mirror import _exchange
from geraniumstair.mirror import _mirror
from geraniumstair.mirror import _store_watcher
from geraniumstair.mirror import _watcher_selection

_LOG = logging.getLogger(__name__)
NOTICE_INTERVAL_S = 0.5
# While changes keep coming, notices of them are at least this far apart. Most
# neighbours then know a change already when their notice is due, and need none.
MIN_NOTICE_INTERVAL_S = 0.2
REQUEST_TIMEOUT_MS = 500.0
# A peer that requested notices within this time, which is four notice
# intervals, receives them even if it is not a neighbour.
NOTICE_REQUEST_TTL_S = 2.0
# Ages beyond this are not reported. Longer than any time for which a node may
# be behind without an outage of the store.
MAX_REPORTED_AGE_S = 10.0
# How long a node that is behind waits for a peer that knows all changes, before
# it fetches the whole contents. A change reaches most nodes within this time.
COPY_DELAY_S = 0.5
# Large enough for a whole mirror with hundreds of endpoints and routes.
MAX_CHANGES_BYTES = 32 * 1024 * 1024


class Network(Protocol):
    """The operations of the peer network that the gossip uses."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> object:
        """Sends a request and returns a `Result` with the reply."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


class MirrorGossip:
    """Notifies peers of changes and fetches those that this node lacks."""

    def __init__(
        self,
        network: Network,
        mirror: _mirror.Mirror,
        watcher: _store_watcher.StoreWatcher,
        selection: _watcher_selection.WatcherSelection,
        completeness: _completeness.Completeness | None = None,
        exchange: _exchange.FreshnessExchange | None = None,
    ) -> None:
        self._exchange = exchange
        self._completeness = completeness or _completeness.Completeness(
            trio.current_time
        )
        self._network = network
        self._mirror = mirror
        self._watcher = watcher
        self._selection = selection
        self._notified_revision = 0
        self._neighbours: frozenset[str] | None = None
        # Newest revision that each peer is known to hold.
        self._peer_revisions: dict[str, int] = {}
        # Revision of each peer that notified this node of newer changes.
        self._peers_ahead: dict[str, int] = {}
        # Peers that are ahead but do not know all changes since the position.
        self._incomplete_peers: set[str] = set()
        self._copy_due_s = math.inf
        # Node id to the time of its last request for notices.
        self._notices_requested_s: dict[str, float] = {}
        self._items_changed = trio.Event()
        self._fetch_needed = trio.Event()
        network.register_handler(messages.MirrorNotice, self._on_notice)
        network.register_handler(messages.MirrorRequest, self._on_request)
        mirror.subscribe(self._on_items_changed)

    async def run(self) -> None:
        """Sends notices and fetches changes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._notice_loop)
            nursery.start_soon(self._fetch_loop)

    def set_neighbours(self, neighbours: frozenset[str]) -> None:
        """Sets the peers to notify; before the first call, all are notified."""
        self._neighbours = neighbours

    def send_notices(self, *, periodic: bool) -> None:
        """Sends this node's newest revision to its neighbours.

        Args:
            periodic: Also notifies the peers that know this revision already,
                because a notice also reports the age of the watch.
        """
        newest = self._notified_revision = self._mirror.newest_revision
        # The age counts from the store's last answer, so it also grows while
        # the calls of a watch hang or fail.
        age_s = min(self._watcher.age_s, self._selection.watch_age_s)
        neighbours = self._neighbours
        complete_age_ms = _encode_age(self._completeness.age_s)
        failure_age_ms = _encode_age(self._completeness.failure_age_s)
        targets = self._select_notice_targets()
        if self._exchange:
            self._exchange.start_round(self._network.connected_nodes())
        for node_id in targets:
            if periodic or self._peer_revisions.get(node_id, 0) < newest:
                notice = messages.MirrorNotice(
                    newest=newest,
                    watch_age_ms=round(age_s * 1000),
                    wants_notices=neighbours is None or node_id in neighbours,
                    complete_age_ms=complete_age_ms,
                    watch_failure_age_ms=failure_age_ms,
                    exchange=(
                        self._exchange.compose(node_id)
                        if self._exchange
                        else []
                    ),
                )
                self._network.send(node_id, notice)
                self._peer_revisions[node_id] = newest

    def _select_notice_targets(self) -> frozenset[str]:
        connected = self._network.connected_nodes()
        if self._neighbours is None:
            return connected
        cutoff_s = trio.current_time() - NOTICE_REQUEST_TTL_S
        self._notices_requested_s = {
            n: at_s
            for n, at_s in self._notices_requested_s.items()
            if at_s > cutoff_s
        }
        return connected & (self._neighbours | self._notices_requested_s.keys())

    def _on_items_changed(self, items: Sequence[_mirror.MirrorItem]) -> None:
        self._settle_claims()
        self._items_changed.set()

    async def _notice_loop(self) -> None:
        next_s = 0.0
        sent_s = -math.inf
        while True:
            with trio.move_on_at(next_s):
                await self._items_changed.wait()
                await trio.sleep_until(sent_s + MIN_NOTICE_INTERVAL_S)
            self._items_changed = trio.Event()
            sent_s = now_s = trio.current_time()
            periodic = now_s >= next_s
            if (
                periodic
                or self._mirror.newest_revision > self._notified_revision
            ):
                self.send_notices(periodic=periodic)
            if now_s >= next_s:
                next_s = now_s + NOTICE_INTERVAL_S

    async def _on_notice(
        self, sender: str, notice: messages.MirrorNotice
    ) -> None:
        if notice.watch_age_ms >= 0:
            self._selection.record_watch_answer(notice.watch_age_ms / 1000)
        failure_age_s = _decode_age(notice.watch_failure_age_ms)
        if failure_age_s is not None:
            self._completeness.record_failure(failure_age_s)
        if notice.wants_notices:
            self._notices_requested_s[sender] = trio.current_time()
        for exchange in notice.exchange or ():
            if self._exchange:
                self._exchange.accept(
                    sender, notice.newest, exchange, self._mirror.position
                )
        known = self._peer_revisions.get(sender, 0)
        self._peer_revisions[sender] = max(known, notice.newest)
        if notice.newest > self._mirror.position:
            self._peers_ahead[sender] = notice.newest
            self._fetch_needed.set()
        else:
            self._peers_ahead.pop(sender, None)
            # The age of the watch says nothing about the sender's mirror, which
            # may not have the changes that the watch returned.
            complete_age_s = _decode_age(notice.complete_age_ms)
            if complete_age_s is not None:
                self._completeness.record_complete(complete_age_s)

    async def _on_request(
        self, sender: str, request: messages.MirrorRequest
    ) -> messages.MirrorChanges:
        return encode_changes(self._mirror, request.after)

    async def _fetch_loop(self) -> None:
        while True:
            with trio.move_on_at(self._copy_due_s):
                await self._fetch_needed.wait()
            await self._fetch_once()

    async def _fetch_once(self) -> None:
        position = self._mirror.position
        sender = self._pop_peer_ahead(position)
        after = position
        if sender is None:
            self._fetch_needed = trio.Event()
            if trio.current_time() < self._copy_due_s:
                return
            sender = self._incomplete_peers.pop()
            self._reset_copy()
            after = 0
            _LOG.info(
                "mirror: fetching the whole contents from %s; no peer knows "
                "all changes since revision %d",
                sender,
                position,
            )
        reply = await self._network.call(
            sender, messages.MirrorRequest(after=after), REQUEST_TIMEOUT_MS
        )
        changes = getattr(reply, "ok_value", None)
        if isinstance(changes, messages.MirrorChanges):
            self._apply_changes(sender, changes)
        else:
            _LOG.debug("mirror: fetching changes from %s failed", sender)

    def _pop_peer_ahead(self, position: int) -> str | None:
        """Returns a peer that notified this node of changes it lacks."""
        while self._peers_ahead:
            sender = next(iter(self._peers_ahead))
            if self._peers_ahead.pop(sender) > position:
                return sender
        return None

    def _apply_changes(
        self, sender: str, changes: messages.MirrorChanges
    ) -> None:
        items = decode_changes(changes)
        if items is None:
            _LOG.warning("mirror: cannot decode the changes from %s", sender)
            return
        if changes.after > self._mirror.position:
            return
        if not changes.after:
            advanced = self._mirror.replace(items, changes.position)
        elif changes.position > changes.after:
            advanced = self._mirror.apply(items, changes.position)
        else:
            self._incomplete_peers.add(sender)
            due_s = trio.current_time() + COPY_DELAY_S
            self._copy_due_s = min(self._copy_due_s, due_s)
            return
        if advanced:
            self._settle_claims()
            self._reset_copy()

    def _settle_claims(self) -> None:
        if self._exchange:
            self._exchange.settle(self._mirror.position)

    def _reset_copy(self) -> None:
        self._incomplete_peers.clear()
        self._copy_due_s = math.inf


def _encode_age(age_s: float) -> int:
    """Returns an age in ms; negative if it is unknown or too old to matter."""
    return round(age_s * 1000) if age_s < MAX_REPORTED_AGE_S else -1


def _decode_age(age_ms: float | msgspec.UnsetType) -> float | None:
    if isinstance(age_ms, msgspec.UnsetType) or age_ms < 0:
        return None
    return age_ms / 1000


def encode_changes(
    mirror: _mirror.Mirror, after: int
) -> messages.MirrorChanges:
    """Encodes the changes after a revision; 0 encodes the whole contents.

    If some of the changes are not known, there are none in the message, and its
    position is the revision that was asked for.
    """
    items = mirror.changes_since(after)
    rows = [(i.key, i.value, i.revision) for i in items or ()]
    return messages.MirrorChanges(
        after=after,
        position=after if items is None else mirror.position,
        items=zlib.compress(msgspec.msgpack.encode(rows), 1),
    )


def decode_changes(
    changes: messages.MirrorChanges,
) -> list[_mirror.MirrorItem] | None:
    """Decodes changes; None if they are damaged or too large."""
    try:
        decompressor = zlib.decompressobj()
        encoded_rows = decompressor.decompress(changes.items, MAX_CHANGES_BYTES)
        rows = msgspec.msgpack.decode(
            encoded_rows, type=list[tuple[str, bytes | None, int]]
        )
    except (zlib.error, msgspec.MsgspecError):
        return None
    return [_mirror.MirrorItem(*row) for row in rows]
