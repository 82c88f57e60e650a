"""Counters of pending calls by search attempt and by node."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

import trio


class CallsBySearch:
    """Counts the pending calls of each search attempt by node."""

    def __init__(self) -> None:
        self._counts: dict[bytes, collections.Counter[str]] = {}

    def __len__(self) -> int:
        """Returns the number of search attempts with pending calls."""
        return len(self._counts)

    @contextlib.contextmanager
    def track(self, search_id: bytes, node_id: str) -> Iterator[None]:
        """Counts a call; a cancelled call stays counted until `pop_nodes`."""
        counts = self._counts.setdefault(search_id, collections.Counter())
        counts[node_id] += 1
        try:
            yield
        except Exception:
            self.end_call(search_id, node_id)
            raise
        self.end_call(search_id, node_id)

    def end_call(self, search_id: bytes, node_id: str) -> None:
        """Removes one call from the count, if its attempt is still known."""
        counts = self._counts.get(search_id)
        if counts is None:
            return
        counts[node_id] -= 1
        if counts[node_id] <= 0:
            del counts[node_id]
        if not counts:
            del self._counts[search_id]

    def pop_nodes(self, search_id: bytes) -> Sequence[str]:
        """Removes an attempt and returns the nodes with pending calls."""
        return list(self._counts.pop(search_id, ()))


class WaitingCalls:
    """Tracks since when at least one call has been waiting for each node."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._since_s: dict[str, float] = {}

    @contextlib.contextmanager
    def track(self, node_id: str) -> Iterator[None]:
        """Counts a call while it waits."""
        self.begin_call(node_id)
        try:
            yield
        finally:
            self.end_call(node_id)

    def begin_call(self, node_id: str) -> None:
        """Counts a call that starts to wait."""
        if not self._counts[node_id]:
            self._since_s[node_id] = trio.current_time()
        self._counts[node_id] += 1

    def end_call(self, node_id: str) -> None:
        """Removes a call that no longer waits from the count."""
        self._counts[node_id] -= 1
        if not self._counts[node_id]:
            del self._counts[node_id]
            del self._since_s[node_id]

    def waiting_since_s(self, node_id: str) -> float:
        """Returns the clock time since when calls wait; now if none waits."""
        return self._since_s.get(node_id, trio.current_time())
