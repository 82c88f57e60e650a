"""Watchdog for owners that stop responding while calls wait for them."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging

import trio

from geraniumstair.search import _direct_calls
from geraniumstair.search import _node_calls

_LOGGER = logging.getLogger(__name__)

_CHECK_INTERVAL_S = 0.02
# A call that starts while no call waits is first checked after this time,
# which is shorter than the time after which a node counts as unresponsive.
_IDLE_CHECK_INTERVAL_S = 0.1

Fallback = Callable[[], Awaitable[None]]


class _WatchedCall:
    """A waiting call and its fallback for an unresponsive owner."""

    def __init__(self, fallback: Fallback) -> None:
        self.fallback = fallback
        self.fallback_started = False


class Watchdog:
    """Starts the fallbacks of calls to unresponsive nodes.

    One task checks all calls, because a nursery and a timer for each call
    cost several times as much as the rest of the routing.

    Args:
        node_calls: Detects unresponsive nodes.
        direct_calls: Calls without a task; those to unresponsive nodes are
            failed by the watchdog.
    """

    def __init__(
        self,
        node_calls: _node_calls.NodeCalls,
        direct_calls: _direct_calls.DirectCalls,
    ) -> None:
        self._node_calls = node_calls
        self._direct_calls = direct_calls
        self._watched: dict[str, set[_WatchedCall]] = {}

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Checks the calls until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                busy = bool(self._watched or len(self._direct_calls))
                await trio.sleep(
                    _CHECK_INTERVAL_S if busy else _IDLE_CHECK_INTERVAL_S
                )
                for node_id, watched in self._watched.items():
                    if self._node_calls.is_unresponsive(node_id):
                        self._start_fallbacks(nursery, watched)
                self._direct_calls.fail_unresponsive()

    def _start_fallbacks(
        self, nursery: trio.Nursery, calls: set[_WatchedCall]
    ) -> None:
        for watched in calls:
            if not watched.fallback_started:
                watched.fallback_started = True
                nursery.start_soon(_run_fallback, watched.fallback)

    @contextlib.contextmanager
    def watch(self, node_id: str, fallback: Fallback) -> Iterator[None]:
        """Watches a call until the context exits.

        Args:
            node_id: Node that the call waits for.
            fallback: Started at most once, in a task of the watchdog.
        """
        watched = _WatchedCall(fallback)
        calls = self._watched.setdefault(node_id, set())
        calls.add(watched)
        try:
            yield
        finally:
            calls.discard(watched)
            if not calls:
                self._watched.pop(node_id, None)


async def _run_fallback(fallback: Fallback) -> None:
    try:
        await fallback()
    except Exception:
        _LOGGER.exception("search: asking another node failed")
