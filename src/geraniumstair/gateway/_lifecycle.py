"""Readiness and graceful shutdown of a node."""

import logging

import trio

_LOG = logging.getLogger(__name__)
# Share of the grace time in which the listener still accepts connections. The
# load balancer checks readiness each second and sends new connections until two
# checks have failed; the listener stays open a little longer.
ACCEPT_GRACE_SHARE = 0.45
# Share of the grace time that is reserved at its end for closing, which takes a
# node with half a core up to a second.
CLOSE_GRACE_SHARE = 0.2


class Lifecycle:
    """Tracks whether the node accepts requests, and times its shutdown.

    Args:
        grace_s: Time between the termination signal and the kill.

    Attributes:
        loaded: True once the routes and the mirror have been loaded.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._stopping_at_s: float | None = None
        self._listener_close = trio.Event()
        self.loaded = False

    @property
    def ready(self) -> bool:
        """True if the load balancer may send new connections."""
        return self.loaded and self._stopping_at_s is None

    @property
    def stopping(self) -> bool:
        """True after the termination signal."""
        return self._stopping_at_s is not None

    @property
    def drain_timeout_s(self) -> float:
        """Time for requests in progress after the listener has closed."""
        return self._grace_s * (1 - ACCEPT_GRACE_SHARE - CLOSE_GRACE_SHARE)

    async def wait_for_listener_close(self) -> None:
        """Waits until the listener for callers has to close."""
        await self._listener_close.wait()

    async def stop(self) -> None:
        """Starts the shutdown; returns when the listener has to close."""
        if self._stopping_at_s is not None:
            return
        self._stopping_at_s = trio.current_time()
        _LOG.info("gateway: shutting down within %.1f s", self._grace_s)
        await trio.sleep(self._grace_s * ACCEPT_GRACE_SHARE)
        self._listener_close.set()
