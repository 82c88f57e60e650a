"""Takes a caller's request to its endpoints and returns what came of it."""

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
# Splits that routes of earlier versions used are forgotten beyond this.
_MAX_SPLITS = 2000


class Forwarder:
    """Serves requests on this node's own view of the endpoints.

    Args:
        pool: The endpoints.
        budget: Repeats that this node may make.
        dialect: What endpoints speak.
        metrics: Where requests are counted.
        delegation: Lets nodes near the endpoints ask some shards; None asks
            all of them from here.
        margins: Time that is kept back; None is for one core.
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
            _timing.CallerWaits(),
        )
        self._splits: dict[
            tuple[routing.SplitPart, ...], routing.ServiceSplit
        ] = {}
        self.in_progress = 0

    async def run(self) -> None:
        """Ends abandoned calls for ever."""
        pool = self._context.pool
        while True:
            await pool.sweep_wanted()
            await trio.sleep(SWEEP_INTERVAL_S)
            pool.sweep()

    async def forward(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> _result.ForwardResult:
        """Serves one request.

        If the task is cancelled, because the caller has gone, its calls are
        abandoned.
        """
        self.in_progress += 1
        try:
            run = self._plan(request, route)
            result = await run.run()
        finally:
            self.in_progress -= 1
        _report.report(self._context.metrics, request, route, result, run)
        return result

    def _plan(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> _search.Search | _single.Single:
        if route.is_search:
            return _search.Search(
                self._context,
                request,
                route,
                route.shards,
                _search.least_parts(route),
                self._delegation,
            )
        service = self._split(route).next()
        return _single.Single(self._context, request, route, service)

    async def gather(
        self,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: tuple[str, ...],
    ) -> tuple[_result.ForwardResult, Sequence[_shard.ShardOutcome]]:
        """Asks some shards of a search for another node.

        Returns at the latency goal with any part, because the other node
        knows what it lacks, and may still ask for it.

        Returns:
            The outcome, and that of each shard, in order. The answered ones
            are in the order of the signatures.
        """
        self.in_progress += 1
        try:
            search = _search.Search(self._context, request, route, shards, 1)
            return await search.run(), search.shard_outcomes()
        finally:
            self.in_progress -= 1

    def _split(self, route: routing.Route) -> routing.ServiceSplit:
        split = self._splits.get(route.parts)
        if split is None:
            if len(self._splits) >= _MAX_SPLITS:
                self._splits.clear()
            split = routing.ServiceSplit(route.parts)
            self._splits[route.parts] = split
        return split
