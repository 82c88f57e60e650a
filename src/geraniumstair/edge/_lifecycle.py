"""Readiness of a node and its graceful end."""

import logging

import trio

_LOG = logging.getLogger(__name__)
# The balancer asks each second and needs two misses; new connections arrive
# until then. The listener stays open a little longer.
ACCEPT_PART = 0.45
# The end of the grace time is left for closing, which takes a node of half a
# core up to a second.
RESERVE_PART = 0.2


class Lifecycle:
    """Tells whether the node takes requests, and times its end.

    Args:
        grace_s: Time between the signal to end and the kill.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._stopping_at_s: float | None = None
        self._close = trio.Event()
        self.loaded = False

    @property
    def ready(self) -> bool:
        """True if the balancer may send new connections."""
        return self.loaded and self._stopping_at_s is None

    @property
    def stopping(self) -> bool:
        """True after the signal to end."""
        return self._stopping_at_s is not None

    @property
    def drain_timeout_s(self) -> float:
        """Time that requests in progress have after the listener closed."""
        return self._grace_s * (1 - ACCEPT_PART - RESERVE_PART)

    async def wait_closing(self) -> None:
        """Returns when the listener for callers has to close."""
        await self._close.wait()

    async def stop(self) -> None:
        """Ends taking requests; returns when the listener closes."""
        if self._stopping_at_s is not None:
            return
        self._stopping_at_s = trio.current_time()
        _LOG.info("edge: stopping within %.1f s", self._grace_s)
        await trio.sleep(self._grace_s * ACCEPT_PART)
        self._close.set()
