"""Readiness for the load balancer, and graceful drain of searches."""

from typing import Protocol

import trio


class ReadinessState(Protocol):
    """Readiness that the load balancer's checks read."""

    def is_ready(self) -> bool:
        """Returns whether new searches should be sent to this node."""


class DrainableSearcher(Protocol):
    """The part of a searcher that a drain needs."""

    def close(self) -> None:
        """Refuses new searches."""

    async def wait_idle(self) -> None:
        """Returns when no search is in progress."""


class Readiness:
    """Readiness of one node, which is not ready at first."""

    def __init__(self) -> None:
        self._ready = False
        self._draining = False

    def is_ready(self) -> bool:
        """Returns whether new searches should be sent to this node."""
        return self._ready and not self._draining

    def set_ready(self, ready: bool) -> None:
        """Sets the readiness; a draining node stays not ready."""
        self._ready = ready

    def begin_drain(self) -> None:
        """Makes the node not ready until the process ends."""
        self._draining = True


async def drain(
    readiness: Readiness, searcher: DrainableSearcher, grace_ms: float
) -> None:
    """Stops the entry role of a node without interrupting a search.

    New searches are still served during the grace time, because the load
    balancer sends searches until its next readiness check.

    Args:
        readiness: Readiness of this node; becomes not ready at once.
        searcher: Refuses new searches after the grace time.
        grace_ms: Time during which new searches are still served.
    """
    readiness.begin_drain()
    await trio.sleep(grace_ms / 1000)
    searcher.close()
    await searcher.wait_idle()
