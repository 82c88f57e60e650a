"""Calls to one endpoint that wait for a connection, in order of priority."""

import heapq
import itertools

from geraniumstair.forward import _call

# Priority, number in the order of submission, and the call.
QueuedCall = tuple[float, int, _call.Call]


class CallQueue:
    """Queued calls: the most urgent first, then the oldest."""

    def __init__(self) -> None:
        self._queued: list[QueuedCall] = []
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._queued)

    def push(self, call: _call.Call) -> None:
        """Adds a call after all calls of its priority."""
        heapq.heappush(self._queued, (call.priority, next(self._order), call))

    def pop(self) -> QueuedCall:
        """Removes and returns the first call."""
        return heapq.heappop(self._queued)

    def restore(self, queued: QueuedCall) -> None:
        """Returns a call that was removed to its former place."""
        heapq.heappush(self._queued, queued)

    def count_pending(self) -> int:
        """Returns the number of calls that somebody still waits for."""
        return sum(not call.done for _, _, call in self._queued)

    def reject_all(self, detail: str) -> None:
        """Ends all calls without sending them."""
        queued, self._queued = self._queued, []
        for _, _, call in queued:
            call.finish(_call.Reply(_call.Outcome.NOT_SENT, detail))
