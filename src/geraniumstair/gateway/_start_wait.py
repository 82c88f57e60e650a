"""Decides how long a request waits for a node that is starting.

After all processes of a site were killed at once, callers reach nodes that have
opened their listener and not yet read the store. A refusal would send them to
another node that knows as little.
"""

import logging

import trio

from geraniumstair import forward
from geraniumstair import observe

_LOG = logging.getLogger(__name__)
# Longer than one call to the store that gets no answer (1.5 s), so a request
# survives one lost call. Callers then try another node.
MAX_WAIT_S = 2.0
# Part of the caller's remaining time that is left for the refusal.
REFUSAL_MARGIN_S = 0.05


def compute_wait_end_s(request: forward.CallerRequest) -> float:
    """Returns how long a request may wait, as a time on trio's clock."""
    wait_s = MAX_WAIT_S
    if request.remaining_ms is not None:
        wait_s = min(wait_s, request.remaining_ms / 1000 - REFUSAL_MARGIN_S)
    return request.received_s + wait_s


class StartWait:
    """Lets requests wait until the node has read the contents of the store.

    Args:
        contents_known: Set when the node knows all routes and endpoints that
            the store held.
        registry: Registry of the metrics; None creates a separate one.
    """

    def __init__(
        self,
        contents_known: trio.Event,
        registry: observe.MetricsRegistry | None = None,
    ) -> None:
        self._contents_known = contents_known
        registry = registry or observe.MetricsRegistry()
        self._requests = registry.counter(
            "gateway",
            "start_waits",
            "Requests that waited for a starting node, by how the wait ended.",
            ["outcome"],
        )

    @property
    def is_over(self) -> bool:
        """True if requests have nothing to wait for."""
        return self._contents_known.is_set()

    async def wait(self, request: forward.CallerRequest) -> None:
        """Waits until the contents are known, or the request's wait is over."""
        outcome = "left"
        try:
            with trio.move_on_at(compute_wait_end_s(request)):
                await self._contents_known.wait()
            outcome = "known" if self.is_over else "timeout"
        finally:
            self._requests.labels(outcome).inc()
            waited_s = trio.current_time() - request.received_s
            _LOG.info(
                "gateway: a request waited for the contents of the store",
                extra=observe.fields(
                    request_id=request.request_id.decode("latin-1"),
                    outcome=outcome,
                    waited_ms=round(waited_s * 1000, 1),
                ),
            )
