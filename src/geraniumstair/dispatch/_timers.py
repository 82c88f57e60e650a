"""Timers for the deadlines and hedges of pending requests."""

import heapq
import itertools
import logging

import trio

from geraniumstair.dispatch import _pending

_logger = logging.getLogger(__name__)


class Timers:
    """Calls the `on_timer` handlers of requests at given times, in one task.

    A cancel scope and a task for each request would cost more processor time
    than the rest of the dispatch.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _pending.PendingRequest]] = []
        self._sequence = itertools.count()
        self._scope: trio.CancelScope | None = None

    def add(self, wake_s: float, pending: _pending.PendingRequest) -> None:
        """Sets a timer for a request; it is ignored if the request has ended.

        Args:
            wake_s: Time on the monotonic clock.
            pending: The request.
        """
        heapq.heappush(self._heap, (wake_s, next(self._sequence), pending))
        if self._scope is not None and wake_s < self._scope.deadline:
            self._scope.deadline = wake_s

    def discard_finished(self) -> None:
        """Removes the timers of ended requests from the front of the heap.

        Waking up for such a timer costs several times as much as moving the
        deadline of the next wake-up.
        """
        heap = self._heap
        if not heap or heap[0][2].reply is None:
            return
        while heap and heap[0][2].reply is not None:
            heapq.heappop(heap)
        if self._scope is not None:
            self._scope.deadline = heap[0][0] if heap else float("inf")

    async def run(self) -> None:
        """Runs the timers until cancelled."""
        while True:
            self._wake_due_requests()
            wake_s = self._heap[0][0] if self._heap else float("inf")
            with trio.CancelScope(deadline=wake_s) as self._scope:
                await trio.sleep_forever()
            self._scope = None

    def _wake_due_requests(self) -> None:
        now_s = trio.current_time()
        heap = self._heap
        while heap and (heap[0][0] <= now_s or heap[0][2].reply is not None):
            pending = heapq.heappop(heap)[2]
            if pending.reply is not None:
                continue
            try:
                pending.shard.on_timer(pending)
            except Exception:
                # An error of one request must not stop the timers of others.
                _logger.exception("dispatch: the timer of a request failed")
