"""Bounds the memory that all connections of a listener hold together.

Connections wait before they read more of a body or run a request while memory
is short. Connections are dropped only if nothing becomes free, or at once if
responses exceed the bound.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import trio

from geraniumstair.listeners import _eviction

# Connections wait beyond this share. The rest is for responses, whose size is
# not known before they arrive.
_WAIT_SHARE = 0.75
# Time without any grant after which slow clients are dropped.
_STALL_S = 0.1
# Time without any grant after which others are dropped, too.
_DEADLOCK_S = 1.0
_CHECK_INTERVAL_S = 0.05
# At least this share of the bound is freed at once when connections are
# dropped, so that a crowd does not take a stall for each of its members.
_FREED_SHARE = 0.125

Candidates = Callable[[], Iterable[_eviction.Candidate["Account"]]]


class Account:
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

    async def reserve(self, added_bytes: int) -> None:
        """Waits until the connection may hold more memory."""
        await self._budget.reserve(added_bytes, self)
        self.held_bytes += added_bytes

    def drop(self) -> None:
        """Ends the connection; called by the budget only."""
        self.dropped = True
        self._drop()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    account: Account
    added_bytes: int
    since_s: float
    granted: trio.Event


class MemoryBudget:
    """The bound over all connections of a listener.

    Args:
        max_bytes: The bound.
        list_candidates: Returns all connections, oldest first.
        report_dropped: Gets the number of connections that were dropped, and
            the bytes that they held.

    Attributes:
        used_bytes: Memory that the connections hold.
    """

    def __init__(
        self,
        max_bytes: int,
        list_candidates: Candidates,
        report_dropped: Callable[[int, int], None],
    ) -> None:
        self.used_bytes = 0
        self._max_bytes = max_bytes
        self._wait_bytes = int(max_bytes * _WAIT_SHARE)
        self._list_candidates = list_candidates
        self._report_dropped = report_dropped
        # Memory of connections that were dropped and have not ended yet.
        self._freeing_bytes = 0
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._has_waiters = trio.Event()
        self._last_grant_s = -1.0

    @property
    def waiting(self) -> int:
        """Number of connections that wait for memory."""
        return len(self._waiters)

    def change(self, change_bytes: int, account: Account) -> None:
        """Adds to the memory in use, or subtracts from it."""
        self.used_bytes += change_bytes
        if account.dropped:
            self._freeing_bytes += change_bytes
        elif change_bytes > 0:
            excess_bytes = self.used_bytes - self._freeing_bytes
            excess_bytes -= self._max_bytes
            if excess_bytes > 0:
                self._drop_for_memory(
                    _eviction.select_for_memory(
                        self._candidates(), excess_bytes
                    )
                )
        if change_bytes < 0:
            self._grant()

    async def reserve(self, added_bytes: int, account: Account) -> None:
        """Waits until memory is free, and adds it to that in use."""
        if not self._waiters and self._fits(added_bytes):
            self._add(added_bytes, account)
            return
        waiter = _Waiter(
            account, added_bytes, trio.current_time(), trio.Event()
        )
        self._waiters.append(waiter)
        self._has_waiters.set()
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            if not waiter.granted.is_set():
                self._waiters.remove(waiter)
            self._grant()
            raise

    async def run(self) -> None:
        """Drops connections while others wait and nothing becomes free."""
        while True:
            if not self._waiters:
                self._has_waiters = trio.Event()
                await self._has_waiters.wait()
            await trio.sleep(_CHECK_INTERVAL_S)
            if self._waiters:
                self._relieve(self._waiters[0])

    def _relieve(self, first: _Waiter) -> None:
        stalled_s = trio.current_time() - max(first.since_s, self._last_grant_s)
        if stalled_s < _STALL_S:
            return
        others = [c for c in self._candidates() if c.key is not first.account]
        needed_bytes = max(
            self.used_bytes
            - self._freeing_bytes
            + first.added_bytes
            - self._wait_bytes,
            int(self._max_bytes * _FREED_SHARE),
        )
        deadlock = stalled_s >= _DEADLOCK_S
        selected = _eviction.select_when_stalled(
            others, needed_bytes, deadlock=deadlock
        )
        self._drop_for_memory(selected)
        if not others:
            # A single request may exceed the share for waiting connections.
            self._grant_first()

    def _candidates(self) -> list[_eviction.Candidate[Account]]:
        return [c for c in self._list_candidates() if not c.key.dropped]

    def drop(self, accounts: Iterable[Account]) -> int:
        """Ends connections; returns the bytes that become free."""
        freed_bytes = 0
        for account in accounts:
            if not account.dropped:
                freed_bytes += account.held_bytes
                account.drop()
        self._freeing_bytes += freed_bytes
        return freed_bytes

    def _drop_for_memory(self, accounts: list[Account]) -> None:
        if accounts:
            self._report_dropped(len(accounts), self.drop(accounts))

    def _add(self, added_bytes: int, account: Account) -> None:
        self.used_bytes += added_bytes
        if account.dropped:
            self._freeing_bytes += added_bytes

    def _fits(self, added_bytes: int) -> bool:
        return self.used_bytes + added_bytes <= self._wait_bytes

    def _grant(self) -> None:
        while self._waiters and self._fits(self._waiters[0].added_bytes):
            self._grant_first()

    def _grant_first(self) -> None:
        waiter = self._waiters.popleft()
        self._add(waiter.added_bytes, waiter.account)
        self._last_grant_s = trio.current_time()
        waiter.granted.set()
