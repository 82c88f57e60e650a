"""Bounds the memory that all connections of a listener hold together.

A request reserves what it needs until it is answered before the rest of its
body is read, so that requests that have begun can end. While memory is short,
further requests wait unread. Connections are dropped only if nothing becomes
free, or at once if responses exceed the bound.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import trio

from geraniumstair.listeners import _eviction

# Requests wait beyond these shares. The rest is for responses, whose size is
# not known before they arrive. Small requests have a share of their own, so
# that they do not wait behind a crowd of large bodies.
_LARGE_SHARE = 0.6
_SMALL_SHARE = 0.75
_MAX_SMALL_BYTES = 64 * 1024
# Time without any grant after which slow clients are dropped.
_STALL_S = 0.1
# Time without any grant after which others are dropped, too.
_DEADLOCK_S = 1.0
_CHECK_INTERVAL_S = 0.05
# At least this share of the bound is freed at once when connections are
# dropped, so that a crowd does not take a stall for each of its members.
_FREED_SHARE = 0.125

Candidates = Callable[[], Iterable[_eviction.Candidate["MemoryUsage"]]]


class MemoryUsage:
    """The memory of one connection.

    Args:
        budget: The bound to which it counts.
        drop: Ends the connection.

    Attributes:
        held_bytes: Memory that the connection holds.
        dropped: The connection is ending to free its memory.
    """

    __slots__ = ("_budget", "_drop", "dropped", "held_bytes")

    def __init__(
        self, budget: "MemoryBudget", drop: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._drop = drop
        self.held_bytes = 0
        self.dropped = False

    def set_held(self, held_bytes: int) -> None:
        """Records the memory that the connection holds now."""
        change_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        if change_bytes:
            self._budget.change(change_bytes, self)

    async def reserve(self, added_bytes: int) -> int:
        """Waits until the connection may hold more memory.

        Returns:
            The bytes by which `held_bytes` has grown.
        """
        return await self._budget.reserve(added_bytes, self)

    def drop(self) -> None:
        """Ends the connection; called by the budget only."""
        self.dropped = True
        self._drop()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    usage: MemoryUsage
    added_bytes: int
    since_s: float
    granted: trio.Event


class _Lane:
    """Requests that wait for memory, in order.

    Args:
        max_bytes: Memory in use beyond which they wait.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.waiters: collections.deque[_Waiter] = collections.deque()
        self.last_grant_s = -math.inf

    def stalled_s(self, now_s: float) -> float:
        """Returns how long the first of them has waited without any grant."""
        if not self.waiters:
            return 0.0
        return now_s - max(self.waiters[0].since_s, self.last_grant_s)


class MemoryBudget:
    """The bound over all connections of a listener.

    Args:
        max_bytes: The bound.
        list_candidates: Returns all connections, oldest first.
        report_dropped: Gets the number of connections that were dropped, and
            the bytes that they held.

    Attributes:
        used_bytes: Memory that the connections hold or have reserved.
    """

    def __init__(
        self,
        max_bytes: int,
        list_candidates: Candidates,
        report_dropped: Callable[[int, int], None],
    ) -> None:
        self.used_bytes = 0
        self._max_bytes = max_bytes
        self._list_candidates = list_candidates
        self._report_dropped = report_dropped
        # Memory of connections that were dropped and have not ended yet.
        self._freeing_bytes = 0
        self._small = _Lane(int(max_bytes * _SMALL_SHARE))
        self._large = _Lane(int(max_bytes * _LARGE_SHARE))
        self._has_waiters = trio.Event()

    @property
    def waiting(self) -> int:
        """Number of connections that wait for memory."""
        return len(self._small.waiters) + len(self._large.waiters)

    def change(self, change_bytes: int, usage: MemoryUsage) -> None:
        """Adds to the memory in use, or subtracts from it."""
        self._add(change_bytes, usage)
        if change_bytes < 0:
            self._grant()
        elif not usage.dropped:
            excess_bytes = self.used_bytes - self._freeing_bytes
            excess_bytes -= self._max_bytes
            if excess_bytes > 0:
                self._drop_for_memory(
                    _eviction.select_for_memory(
                        self._candidates(), excess_bytes
                    )
                )

    async def reserve(self, added_bytes: int, usage: MemoryUsage) -> int:
        """Waits until memory is free, and adds it to that in use.

        Args:
            added_bytes: Memory that the request needs until it is answered.
            usage: Its connection.

        Returns:
            The bytes that were added. They are less than those asked for if
            one request would need most of the bound.
        """
        lane = self._small if added_bytes <= _MAX_SMALL_BYTES else self._large
        added_bytes = min(added_bytes, lane.max_bytes // 2)
        if not lane.waiters and self._fits(added_bytes, lane):
            self._hold(added_bytes, usage)
            return added_bytes
        waiter = _Waiter(usage, added_bytes, trio.current_time(), trio.Event())
        lane.waiters.append(waiter)
        self._has_waiters.set()
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            # What was granted is part of what the connection holds, and is
            # given back at its end.
            if waiter in lane.waiters:
                lane.waiters.remove(waiter)
            self._grant()
            raise
        return added_bytes

    async def run(self) -> None:
        """Drops connections while others wait and nothing becomes free."""
        while True:
            if not self.waiting:
                self._has_waiters = trio.Event()
                await self._has_waiters.wait()
            await trio.sleep(_CHECK_INTERVAL_S)
            for lane in (self._small, self._large):
                stalled_s = lane.stalled_s(trio.current_time())
                if stalled_s >= _STALL_S:
                    self._relieve(lane, stalled_s >= _DEADLOCK_S)

    def _relieve(self, lane: _Lane, deadlock: bool) -> None:
        first = lane.waiters[0]
        others = [c for c in self._candidates() if c.key is not first.usage]
        if not others:
            # A single request may exceed the share.
            self._grant_first(lane)
            return
        used_bytes = self.used_bytes - self._freeing_bytes
        needed_bytes = max(
            used_bytes + first.added_bytes - lane.max_bytes,
            int(self._max_bytes * _FREED_SHARE),
        )
        self._drop_for_memory(
            _eviction.select_when_stalled(
                others, needed_bytes, deadlock=deadlock
            )
        )

    def _candidates(self) -> list[_eviction.Candidate[MemoryUsage]]:
        return [c for c in self._list_candidates() if not c.key.dropped]

    def drop(self, selected: Iterable[MemoryUsage]) -> int:
        """Ends connections; returns the bytes that become free."""
        freed_bytes = 0
        for usage in selected:
            if not usage.dropped:
                freed_bytes += usage.held_bytes
                usage.drop()
        self._freeing_bytes += freed_bytes
        return freed_bytes

    def _drop_for_memory(self, selected: list[MemoryUsage]) -> None:
        if selected:
            self._report_dropped(len(selected), self.drop(selected))

    def _hold(self, added_bytes: int, usage: MemoryUsage) -> None:
        usage.held_bytes += added_bytes
        self._add(added_bytes, usage)

    def _add(self, added_bytes: int, usage: MemoryUsage) -> None:
        self.used_bytes += added_bytes
        if usage.dropped:
            self._freeing_bytes += added_bytes

    def _fits(self, added_bytes: int, lane: _Lane) -> bool:
        return self.used_bytes + added_bytes <= lane.max_bytes

    def _grant(self) -> None:
        for lane in (self._small, self._large):
            while lane.waiters:
                if lane.waiters[0].usage.dropped:
                    lane.waiters.popleft()
                elif self._fits(lane.waiters[0].added_bytes, lane):
                    self._grant_first(lane)
                else:
                    break

    def _grant_first(self, lane: _Lane) -> None:
        waiter = lane.waiters.popleft()
        self._hold(waiter.added_bytes, waiter.usage)
        lane.last_grant_s = trio.current_time()
        waiter.granted.set()
