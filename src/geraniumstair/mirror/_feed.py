"""Keeps the mirror up from the store."""

from collections.abc import Sequence
import logging
import math
from typing import Protocol

import result
import trio

from geraniumstair import store
from geraniumstair.mirror import _mirror
from geraniumstair.mirror import _watchers

_LOG = logging.getLogger(__name__)
# A longer wait makes fewer calls; a shorter one notices sooner that the store
# does not answer this node any more.
WAIT_MS = 1500
DUTY_CHECK_S = 0.5
# Changes come in groups; each call returns as soon as there is one.
BATCH_S = 0.1
_RETRY_MIN_S = 0.1
# A node that has nothing to serve from tries more often than one whose peers
# tell it of changes.
_RETRY_START_MAX_S = 0.25
_RETRY_MAX_S = 1.0
_RETRY_INFORMED_S = 3.0
# A watch that answered this recently is taken to work.
WORKING_S = WAIT_MS / 1000 + 1.0


class StoreSource(Protocol):
    """Reads everything in the store, and what changes later."""

    async def read_all(
        self,
    ) -> result.Result[
        tuple[Sequence[_mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Returns all items and the revision at which the reading began."""
        ...

    async def changes(
        self, after: int, wait_ms: int
    ) -> result.Result[
        tuple[Sequence[_mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Waits for changes after a revision.

        Returns:
            The changes and the revision up to which they are complete.

        Raises:
            WatchCompacted: The changes are no longer held.
        """
        ...


class StoreFeed:
    """Reads the store once, then watches it while that is this node's duty.

    Attributes:
        working_at_s: When the store last answered; None before.
    """

    def __init__(
        self,
        source: StoreSource,
        mirror: _mirror.Mirror,
        duty: _watchers.WatchDuty,
    ) -> None:
        self._source = source
        self._mirror = mirror
        self._duty = duty
        self._retry_s = _RETRY_MIN_S
        self.working_at_s: float | None = None

    @property
    def age_s(self) -> float:
        """Time since the store last answered; infinite before it did."""
        if self.working_at_s is None:
            return math.inf
        return trio.current_time() - self.working_at_s

    @property
    def working(self) -> bool:
        """True while this node's own watch works."""
        return self._duty.required and self.age_s < WORKING_S

    async def run(self) -> None:
        """Feeds the mirror for ever."""
        while not self._mirror.position and not await self._read_all():
            await self._pause(_RETRY_START_MAX_S)
        while True:
            if not self._duty.required:
                await trio.sleep(DUTY_CHECK_S)
                continue
            if not await self._follow():
                informed = self._duty.informed
                await self._pause(
                    _RETRY_INFORMED_S if informed else _RETRY_MAX_S
                )

    async def _pause(self, most_s: float) -> None:
        await trio.sleep(self._retry_s)
        self._retry_s = min(2 * self._retry_s, most_s)

    async def _read_all(self) -> bool:
        reading = await self._source.read_all()
        if isinstance(reading, result.Err):
            _LOG.warning(
                "mirror: cannot read the store: %s", reading.err_value.detail
            )
            return False
        items, position = reading.ok_value
        self._note_answer()
        self._mirror.replace(items, position)
        return True

    async def _follow(self) -> bool:
        try:
            changes = await self._source.changes(self._mirror.position, WAIT_MS)
        except store.WatchCompacted as compacted:
            _LOG.warning("mirror: %s; reading the store anew", compacted)
            return await self._read_all()
        if isinstance(changes, result.Err):
            _LOG.warning(
                "mirror: the watch failed: %s", changes.err_value.detail
            )
            return False
        items, position = changes.ok_value
        self._note_answer()
        if self._mirror.apply(items, position) and items:
            await trio.sleep(BATCH_S)
        return True

    def _note_answer(self) -> None:
        self._retry_s = _RETRY_MIN_S
        self.working_at_s = trio.current_time()
