"""Applies the contents and the changes of the store to the mirror."""

from collections.abc import Sequence
import logging
import math
from typing import Protocol

import result
import trio

from geraniumstair import store
from geraniumstair.mirror import _completeness
from geraniumstair.mirror import _freshness
from geraniumstair.mirror import _mirror
from geraniumstair.mirror import _watcher_selection

_LOG = logging.getLogger(__name__)
# A longer wait makes fewer calls; a shorter one detects sooner that the store
# has stopped answering this node.
WATCH_WAIT_MS = 1500
SELECTION_CHECK_INTERVAL_S = 0.5
# A call returns at the first change. Changes come in groups, so the next call
# is delayed to return several of them.
BATCH_DELAY_S = 0.1
_RETRY_MIN_S = 0.1
# A node without any data retries more often than one that receives changes
# from its peers.
_FIRST_READ_RETRY_MAX_S = 0.25
_WATCH_RETRY_MAX_S = 1.0
_WATCH_RETRY_MAX_WITH_LIVE_WATCHER_S = 3.0
# A watch is taken to work if the store answered it within this time.
WATCHING_TIMEOUT_S = WATCH_WAIT_MS / 1000 + 1.0


class StoreReader(Protocol):
    """Reads the contents of the store and its later changes."""

    async def read_all(
        self,
    ) -> result.Result[
        tuple[Sequence[_mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Returns all items and the revision at which the read began."""
        ...

    async def wait_for_changes(
        self, after: int, wait_ms: int
    ) -> result.Result[
        tuple[Sequence[_mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Waits for changes after a revision.

        Returns:
            The changes and the revision up to which they are complete.

        Raises:
            WatchCompactedError: The store has discarded some of the changes.
        """
        ...


class StoreWatcher:
    """Reads the store once, then watches it while this node is a watcher.

    Args:
        source: The store.
        mirror: Receives the items and changes.
        selection: Decides whether this node is a watcher.
        completeness: Learns when the mirror is complete; None starts a new one.
        freshness: Learns up to when it certainly is; None starts a new one.

    Attributes:
        answered_s: When the store last answered, on trio's clock; None before
            its first answer.
    """

    def __init__(
        self,
        source: StoreReader,
        mirror: _mirror.Mirror,
        selection: _watcher_selection.WatcherSelection,
        completeness: _completeness.Completeness | None = None,
        freshness: _freshness.Freshness | None = None,
    ) -> None:
        self._freshness = freshness or _freshness.Freshness(trio.current_time)
        self._source = source
        self._mirror = mirror
        self._selection = selection
        self._completeness = completeness or _completeness.Completeness(
            trio.current_time
        )
        self._retry_s = _RETRY_MIN_S
        self._restagger = True
        self.answered_s: float | None = None

    @property
    def age_s(self) -> float:
        """Time since the store last answered; infinite before that."""
        if self.answered_s is None:
            return math.inf
        return trio.current_time() - self.answered_s

    @property
    def watching(self) -> bool:
        """True while this node is a watcher and its watch works."""
        return self._selection.is_watcher and self.age_s < WATCHING_TIMEOUT_S

    async def run(self) -> None:
        """Updates the mirror from the store until cancelled."""
        while not self._mirror.position and not await self._read_all():
            await self._back_off(_FIRST_READ_RETRY_MAX_S)
        while True:
            if not self._selection.is_watcher:
                await trio.sleep(SELECTION_CHECK_INTERVAL_S)
                continue
            if not await self._watch_once():
                has_live_watcher = self._selection.has_live_watcher
                await self._back_off(
                    _WATCH_RETRY_MAX_WITH_LIVE_WATCHER_S
                    if has_live_watcher
                    else _WATCH_RETRY_MAX_S
                )

    async def _back_off(self, max_s: float) -> None:
        await trio.sleep(self._retry_s)
        self._retry_s = min(2 * self._retry_s, max_s)

    async def _read_all(self) -> bool:
        sent_s = self._freshness.now_s()
        reply = await self._source.read_all()
        if isinstance(reply, result.Err):
            _LOG.warning(
                "mirror: cannot read the store: %s", reply.err_value.detail
            )
            self._completeness.record_failure()
            return False
        items, position = reply.ok_value
        if not self._mirror.replace(items, position):
            # The mirror may hold more than the read returned, and no less.
            self._freshness.record(_freshness.FreshnessSource.READ, sent_s)
            # Without a newer revision, the next watch fails as the last one.
            _LOG.warning(
                "mirror: the read of the store brought no newer revision"
            )
            return False
        self._record_answer()
        self._completeness.record_complete()
        self._freshness.record(_freshness.FreshnessSource.READ, sent_s)
        return True

    async def read_changes(self) -> bool:
        """Applies the changes that this node lacks, also if it is no watcher.

        Returns:
            False if the store gave no valid answer.
        """
        return await self._watch_once()

    async def _watch_once(self) -> bool:
        wait_ms = self._choose_wait_ms()
        sent_s = self._freshness.now_s()
        try:
            changes = await self._source.wait_for_changes(
                self._mirror.position, wait_ms
            )
        except store.WatchCompactedError as compacted:
            _LOG.warning("mirror: %s; reading the whole store again", compacted)
            return await self._read_all()
        if isinstance(changes, result.Err):
            _LOG.warning(
                "mirror: the watch failed: %s", changes.err_value.detail
            )
            self._completeness.record_failure()
            return False
        items, position = changes.ok_value
        self._record_answer()
        advanced = self._mirror.apply(items, position)
        self._completeness.record_complete()
        self._freshness.record_watch(sent_s, wait_ms / 1000, empty=not items)
        self._restagger = bool(items)
        if advanced and items:
            await trio.sleep(BATCH_DELAY_S)
        return True

    def _choose_wait_ms(self) -> int:
        """Returns how long the store should wait for changes.

        A change ends all watches at once. Without an offset the next ones would
        end together as well, and the freshness of all nodes would be as old as
        a whole watch before it is renewed.
        """
        if not (self._restagger and self._freshness.is_needed):
            return WATCH_WAIT_MS
        return round(WATCH_WAIT_MS * self._selection.watch_stagger)

    def _record_answer(self) -> None:
        self._retry_s = _RETRY_MIN_S
        self.answered_s = trio.current_time()
