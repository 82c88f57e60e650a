"""Runs a caller's request on endpoints and returns the result."""

from collections.abc import Sequence

import trio

from geraniumstair import routing
from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _delegation
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _metrics
from geraniumstair.forward import _report
from geraniumstair.forward import _result
from geraniumstair.forward import _search
from geraniumstair.forward import _shard
from geraniumstair.forward import _single
from geraniumstair.forward import _timing

SWEEP_INTERVAL_S = 0.05
# The cache of weighted splits also holds those of earlier route versions; it is
# cleared at this size.
_MAX_SPLITS = 2000


class Forwarder:
    """Serves callers' requests from this node's own view of the endpoints.

    Args:
        pool: The endpoints.
        budget: Budget of repeats for this node.
        dialect: Protocol of the endpoints.
        metrics: Counts requests.
        delegation: Lets nodes near the endpoints call some shards; None calls
            all shards from this node.
        margins: Time reserved for work after a decision; None uses the
            margins for one core.
    """

    def __init__(
        self,
        pool: _endpoints.EndpointPool,
        budget: _budget.RetryBudget,
        dialect: _call.Dialect,
        metrics: _metrics.ForwardMetrics,
        delegation: _delegation.Delegation | None = None,
        margins: _timing.Margins | None = None,
    ) -> None:
        self._delegation = delegation
        self._context = _context.Context(
            pool,
            budget,
            dialect,
            metrics,
            _timing.HedgeDelays(),
            margins or _timing.Margins.for_cores(1.0),
            _timing.CallerWaitEstimator(),
        )
        self._splits: dict[
            tuple[routing.SplitPart, ...], routing.ServiceSplit
        ] = {}
        self.in_progress_count = 0

    async def run(self) -> None:
        """Sweeps the endpoint pool whenever needed, until cancelled."""
        pool = self._context.pool
        while True:
            await pool.wait_for_sweep()
            await trio.sleep(SWEEP_INTERVAL_S)
            pool.sweep()

    async def forward(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> _result.ForwardResult:
        """Serves one request.

        If the task is cancelled because the caller disconnected, its calls are
        abandoned.
        """
        self.in_progress_count += 1
        try:
            handler = self._create_handler(request, route)
            result = await handler.run()
        finally:
            self.in_progress_count -= 1
        _report.report_request(
            self._context.metrics, request, route, result, handler
        )
        return result

    def _create_handler(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> _search.Search | _single.Single:
        if route.is_search:
            return _search.Search(
                self._context,
                request,
                route,
                route.shards,
                _search.compute_required_parts(route),
                self._delegation,
            )
        service = self._get_split(route).next_service()
        return _single.Single(self._context, request, route, service)

    async def gather(
        self,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: tuple[str, ...],
    ) -> tuple[_result.ForwardResult, Sequence[_shard.ShardOutcome]]:
        """Calls some shards of a search on behalf of another node.

        Returns at the latency goal if any part has arrived, because the other
        node knows which parts are missing, and may still call those shards.

        Returns:
            The result, and the outcome of each shard, in order. The answered
            ones are in the order of the signatures.
        """
        self.in_progress_count += 1
        try:
            search = _search.Search(self._context, request, route, shards, 1)
            return await search.run(), search.list_shard_outcomes()
        finally:
            self.in_progress_count -= 1

    def _get_split(self, route: routing.Route) -> routing.ServiceSplit:
        split = self._splits.get(route.parts)
        if split is None:
            if len(self._splits) >= _MAX_SPLITS:
                self._splits.clear()
            split = routing.ServiceSplit(route.parts)
            self._splits[route.parts] = split
        return split
