"""Runs a caller's request on endpoints and returns the result."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

import trio

from geraniumstair import routing
from geraniumstair.forward import _admission
from geraniumstair.forward import _budget
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _delegation
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _grants
from geraniumstair.forward import _metrics
from geraniumstair.forward import _report
from geraniumstair.forward import _result
from geraniumstair.forward import _search
from geraniumstair.forward import _search_completion
from geraniumstair.forward import _shard
from geraniumstair.forward import _single
from geraniumstair.forward import _suspects
from geraniumstair.forward import _timing
from geraniumstair.forward import _usage

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
        grants: Asks other nodes for requests of their parts of limits; None
            uses this node's parts only.
        suspects: Requests under which endpoints ended; None remembers those of
            this node only.
        usage: Counts requests that endpoints ran; None counts none.
    """

    def __init__(
        self,
        pool: _endpoints.EndpointPool,
        budget: _budget.RetryBudget,
        dialect: _call.Dialect,
        metrics: _metrics.ForwardMetrics,
        delegation: _delegation.Delegation | None = None,
        margins: _timing.Margins | None = None,
        grants: _grants.LimitGrants | None = None,
        suspects: _suspects.SuspectRequests | None = None,
        usage: _usage.UsageRecorder | None = None,
    ) -> None:
        self._open_requests = _usage.OpenRequests(usage)
        self._delegation = delegation
        self._context = _context.Context(
            pool,
            budget,
            dialect,
            metrics,
            _timing.HedgeDelays(),
            margins or _timing.Margins.for_cores(1.0),
            _timing.CallerWaitEstimator(),
            suspects or _suspects.SuspectRequests(trio.current_time),
            grants,
        )
        self._splits: dict[
            tuple[routing.SplitPart, ...], routing.ServiceSplit
        ] = {}
        self._admission = _admission.AdmissionControl(trio.current_time)
        # Lowest priority number of the routes to each set of shards so far.
        self._urgent_priorities: dict[tuple[str, ...], float] = {}

    async def run(self) -> None:
        """Sweeps the endpoint pool and reports repeats, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep_loop)
            nursery.start_soon(self._report_loop)
            nursery.start_soon(self._open_requests.run)

    async def _report_loop(self) -> None:
        budget = self._context.budget
        while True:
            await trio.sleep(budget.window_s)
            _report.report_repeats(budget.collect_usage())

    async def _sweep_loop(self) -> None:
        pool = self._context.pool
        while True:
            await pool.wait_for_sweep()
            await trio.sleep(SWEEP_INTERVAL_S)
            pool.sweep()

    async def forward(
        self, request: _call.CallerRequest, route: routing.Route
    ) -> _result.ForwardResult:
        """Serves one request.

        The request's priority replaces the route's. If the task is cancelled
        because the caller disconnected, its calls are abandoned.
        """
        self._record_priority(route)
        route = _apply_priority(request, route)
        runs = self._open_requests.begin(request)
        if runs is None:
            return await self._forward(self._context, request, route)
        context = dataclasses.replace(self._context, runs=runs)
        try:
            return await self._forward(context, request, route)
        finally:
            self._open_requests.end(runs)

    async def _forward(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
    ) -> _result.ForwardResult:
        if context.suspects.is_blocked(request):
            return self._report(
                request, route, _build_suspect_refusal(), _NO_HANDLER
            )
        if not route.is_search:
            service = self._get_split(route).next_service()
            single = _single.Single(context, request, route, service)
            return self._report(request, route, await single.run(), single)
        search = self._create_search(context, request, route)
        permit = self._admission.admit(
            route.shards,
            preferred=self._is_most_urgent(route) or search.waited_ms > 0,
        )
        if isinstance(permit, _admission.Rejection):
            refusal = _build_overload_refusal(permit.retry_after_s)
            return self._report(request, route, refusal, search)
        evidence = _admission.Evidence.UNCLEAR
        try:
            result = await search.run()
            evidence = search.judge()
        finally:
            self._admission.finish(permit, evidence)
        return self._report(request, route, result, search)

    def _report(
        self,
        request: _call.CallerRequest,
        route: routing.Route,
        result: _result.ForwardResult,
        handler: _report.RequestHandler,
    ) -> _result.ForwardResult:
        _report.report_request(
            self._context.metrics, request, route, result, handler
        )
        if _result.is_answered(result):
            self._context.suspects.record_answer(request)
        return result

    def _record_priority(self, route: routing.Route) -> None:
        urgent = self._urgent_priorities.get(route.shards)
        if route.is_search and (urgent is None or route.priority < urgent):
            if len(self._urgent_priorities) >= _admission.MAX_SHARD_SETS:
                self._urgent_priorities.clear()
            self._urgent_priorities[route.shards] = route.priority

    def _is_most_urgent(self, route: routing.Route) -> bool:
        """Returns whether no other route of the same shards is more urgent.

        The priorities of accounts do not count as those of routes: an urgent
        account may use the whole limit, and takes nothing from the others.
        """
        urgent = self._urgent_priorities.get(route.shards, route.priority)
        return route.priority <= urgent

    def _create_search(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
    ) -> _search.Search:
        return _search.Search(
            context,
            request,
            route,
            route.shards,
            _search_completion.compute_required_parts(route),
            self._delegation,
        )

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
        route = _apply_priority(request, route)
        search = _search.Search(
            self._context, request, route, shards, 1, for_node=True
        )
        return await search.run(), search.list_shard_outcomes()

    def _get_split(self, route: routing.Route) -> routing.ServiceSplit:
        split = self._splits.get(route.parts)
        if split is None:
            if len(self._splits) >= _MAX_SPLITS:
                self._splits.clear()
            split = routing.ServiceSplit(route.parts)
            self._splits[route.parts] = split
        return split


class _Unhandled:
    """A request that was refused before any decision on its calls."""

    repeats = 0

    def describe(self) -> Mapping[str, Any]:
        """Returns nothing, because nothing was tried."""
        return {}


_NO_HANDLER = _Unhandled()


def _apply_priority(
    request: _call.CallerRequest, route: routing.Route
) -> routing.Route:
    """Returns the route with the priority of the caller's account."""
    if request.priority is None or request.priority == route.priority:
        return route
    return dataclasses.replace(route, priority=request.priority)


def _build_suspect_refusal() -> _result.Refused:
    return _result.Refused(
        _result.RefusalReason.SUSPECT,
        True,
        _suspects.RETENTION_S,
        "several endpoints ended while they ran this request",
    )


def _build_overload_refusal(retry_after_s: float) -> _result.Refused:
    return _result.Refused(
        _result.RefusalReason.OVERLOADED,
        True,
        min(
            max(retry_after_s, _context.MIN_RETRY_AFTER_S),
            _context.MAX_RETRY_AFTER_S,
        ),
        "the endpoints bear no more searches at present",
    )
