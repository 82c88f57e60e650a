"""Passes the mirror's changes on between nodes.

A node whose mirror advances tells its neighbours the newest revision only;
each one that is behind asks one of those that told it. So each node receives
each change once, whatever the number of neighbours.

A node that the store turns away loses its registration, and is no longer a
neighbour of any other. Its own notices to its neighbours keep it told.
"""

from collections.abc import Sequence
import logging
from typing import Protocol
import zlib

import msgspec
import trio

from geraniumstair import _struct
from geraniumstair import peers
from geraniumstair._generated import messages
from geraniumstair.mirror import _feed
from geraniumstair.mirror import _mirror
from geraniumstair.mirror import _watchers

_LOG = logging.getLogger(__name__)
NOTICE_INTERVAL_S = 0.5
REQUEST_TIMEOUT_MS = 500.0
# A node that asked for notices this recently is told, also if it is no
# neighbour. The time of four notices.
ASKED_LIFETIME_S = 2.0
# A reply holds whole mirrors of hundreds of endpoints and routes.
MAX_CHANGES_BYTES = 32 * 1024 * 1024


class Network(Protocol):
    """The part of the peer network that the gossip uses."""

    def connected(self) -> frozenset[str]:
        """Returns the ids of the nodes that a stream is open to."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> object:
        """Sends a request and returns a `Result` with the reply."""

    def register(self, message_type: type, handler: peers.Handler) -> None:
        """Sets the handler of a message type."""


class MirrorGossip:
    """Tells peers of changes and fetches those that this node lacks."""

    def __init__(
        self,
        network: Network,
        mirror: _mirror.Mirror,
        feed: _feed.StoreFeed,
        duty: _watchers.WatchDuty,
    ) -> None:
        self._network = network
        self._mirror = mirror
        self._feed = feed
        self._duty = duty
        self._told = 0
        self._neighbours: frozenset[str] | None = None
        self._known: dict[str, int] = {}
        self._ahead: dict[str, int] = {}
        # When each node last asked for notices.
        self._asked_s: dict[str, float] = {}
        self._changed = trio.Event()
        self._behind = trio.Event()
        network.register(messages.MirrorNotice, self._on_notice)
        network.register(messages.MirrorRequest, self._on_request)
        mirror.subscribe(self._on_change)

    async def run(self) -> None:
        """Sends notices and fetches changes for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_loop)
            nursery.start_soon(self._fetch_loop)

    def set_neighbours(self, neighbours: frozenset[str]) -> None:
        """Sets the peers that are told; before that, all of them are."""
        self._neighbours = neighbours

    def tell(self, *, periodic: bool) -> None:
        """Sends this node's newest revision to its neighbours.

        Args:
            periodic: Also tells those that know this revision already, since
                the notice says that a watch works.
        """
        newest = self._told = self._mirror.newest
        # A watch whose calls hang or fail grows old like one that has ended.
        age_s = min(self._feed.age_s, self._duty.heard_age_s)
        neighbours = self._neighbours
        for node_id in self._told_nodes():
            if periodic or self._known.get(node_id, 0) < newest:
                notice = messages.MirrorNotice(
                    newest=newest,
                    watch_age_ms=round(age_s * 1000),
                    wants_notices=neighbours is None or node_id in neighbours,
                )
                self._network.send(node_id, notice)
                self._known[node_id] = newest

    def _told_nodes(self) -> frozenset[str]:
        connected = self._network.connected()
        if self._neighbours is None:
            return connected
        before_s = trio.current_time() - ASKED_LIFETIME_S
        self._asked_s = {
            n: at_s for n, at_s in self._asked_s.items() if at_s > before_s
        }
        return connected & (self._neighbours | self._asked_s.keys())

    def _on_change(self, items: Sequence[_mirror.MirrorItem]) -> None:
        self._changed.set()

    async def _report_loop(self) -> None:
        next_s = 0.0
        while True:
            with trio.move_on_at(next_s):
                await self._changed.wait()
            self._changed = trio.Event()
            now_s = trio.current_time()
            periodic = now_s >= next_s
            if periodic or self._mirror.newest > self._told:
                self.tell(periodic=periodic)
            if now_s >= next_s:
                next_s = now_s + NOTICE_INTERVAL_S

    async def _on_notice(
        self, sender: str, notice: messages.MirrorNotice
    ) -> None:
        if notice.watch_age_ms >= 0:
            self._duty.heard(notice.watch_age_ms / 1000)
        if notice.wants_notices:
            self._asked_s[sender] = trio.current_time()
        known = self._known.get(sender, 0)
        self._known[sender] = max(known, notice.newest)
        if notice.newest > self._mirror.position:
            self._ahead[sender] = notice.newest
            self._behind.set()
        else:
            self._ahead.pop(sender, None)

    async def _on_request(
        self, sender: str, request: messages.MirrorRequest
    ) -> messages.MirrorChanges:
        return encode_changes(self._mirror, request.after)

    async def _fetch_loop(self) -> None:
        while True:
            await self._behind.wait()
            await self._fetch_once()

    async def _fetch_once(self) -> None:
        position = self._mirror.position
        behind = [n for n, at in self._ahead.items() if at > position]
        if not behind:
            self._ahead.clear()
            self._behind = trio.Event()
            return
        sender = behind[0]
        del self._ahead[sender]
        reply = await self._network.call(
            sender, messages.MirrorRequest(after=position), REQUEST_TIMEOUT_MS
        )
        changes = getattr(reply, "ok_value", None)
        if not isinstance(changes, messages.MirrorChanges):
            _LOG.debug("mirror: no changes from %s", sender)
            return
        items = decode_changes(changes)
        if items is None:
            _LOG.warning("mirror: changes of %s cannot be read", sender)
            return
        if changes.after <= self._mirror.position:
            self._mirror.apply(items, changes.position)


def encode_changes(
    mirror: _mirror.Mirror, after: int
) -> messages.MirrorChanges:
    """Encodes what changed after a revision."""
    rows = [(i.key, i.value, i.revision) for i in mirror.since(after)]
    return messages.MirrorChanges(
        after=after,
        position=mirror.position,
        items=zlib.compress(msgspec.msgpack.encode(rows), 1),
    )


def decode_changes(
    changes: messages.MirrorChanges,
) -> list[_mirror.MirrorItem] | None:
    """Decodes changes; None if they are damaged or too large."""
    try:
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(changes.items, MAX_CHANGES_BYTES)
        rows = msgspec.msgpack.decode(
            raw, type=list[tuple[str, bytes | None, int]]
        )
    except (zlib.error, msgspec.MsgspecError):
        return None
    return [_mirror.MirrorItem(*row) for row in rows]
