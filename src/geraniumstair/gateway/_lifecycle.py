"""Readiness and graceful shutdown of a node."""

from collections.abc import Callable
import logging

import trio

_LOG = logging.getLogger(__name__)
# Share of the grace time in which the listener still accepts connections. The
# load balancer checks readiness each second and sends new connections until two
# checks have failed; the listener stays open a little longer.
ACCEPT_GRACE_SHARE = 0.45
# Share of the grace time after which requests in progress get a final answer.
# Endpoints may work on them until five sixths of it have passed.
FINAL_ANSWER_GRACE_SHARE = 0.85
# Share of the grace time that is reserved at its end for closing. With requests
# in progress until then, a node with half a core needs half a second.
CLOSE_GRACE_SHARE = 0.12


class Lifecycle:
    """Tracks whether the node accepts requests, and times its shutdown.

    Args:
        grace_s: Time between the termination signal and the kill.

    Attributes:
        loaded: True once the routes and the mirror have been loaded.
        can_judge_keys: Returns whether callers' keys can be judged now.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._stopping_at_s: float | None = None
        self._listener_close = trio.Event()
        self._stop_started = trio.Event()
        self.loaded = False
        self.can_judge_keys: Callable[[], bool] = lambda: True

    @property
    def ready(self) -> bool:
        """True if the load balancer may send new connections."""
        return (
            self.loaded
            and self._stopping_at_s is None
            and self.can_judge_keys()
        )

    @property
    def stopping(self) -> bool:
        """True after the termination signal."""
        return self._stopping_at_s is not None

    @property
    def drain_timeout_s(self) -> float:
        """Time for requests in progress after the listener has closed."""
        return self._grace_s * (1 - ACCEPT_GRACE_SHARE - CLOSE_GRACE_SHARE)

    @property
    def final_answers_due(self) -> bool:
        """True if requests in progress must be answered now."""
        return (
            self._stopping_at_s is not None
            and trio.current_time() >= self._compute_final_answers_at_s()
        )

    def _compute_final_answers_at_s(self) -> float:
        assert self._stopping_at_s is not None
        return self._stopping_at_s + self._grace_s * FINAL_ANSWER_GRACE_SHARE

    async def wait_for_final_answers(self) -> None:
        """Waits until requests in progress must be answered."""
        await self._stop_started.wait()
        await trio.sleep_until(self._compute_final_answers_at_s())

    async def wait_for_listener_close(self) -> None:
        """Waits until the listener for callers has to close."""
        await self._listener_close.wait()

    async def stop(self) -> None:
        """Starts the shutdown; returns when the listener has to close."""
        if self._stopping_at_s is not None:
            return
        self._stopping_at_s = trio.current_time()
        self._stop_started.set()
        _LOG.info("gateway: shutting down within %.1f s", self._grace_s)
        await trio.sleep(self._grace_s * ACCEPT_GRACE_SHARE)
        self._listener_close.set()
