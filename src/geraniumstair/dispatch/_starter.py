"""Attempts and hedges of the requests of one shard."""

import itertools

import trio

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair.dispatch import _budget
from geraniumstair.dispatch import _choice
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _endpoint
from geraniumstair.dispatch import _metrics
from geraniumstair.dispatch import _pending
from geraniumstair.dispatch import _replicas
from geraniumstair.membership import _authority

MIN_HEDGE_DELAY_MS = 2.0
HEDGE_QUANTILE = 0.95
# Hedging all requests beyond the 95th percentile uses up a budget of 5%, so
# that no hedge is left for stragglers. While less than half of the budget is
# left, the delay is longer, so that hedged requests are more probably
# stragglers.
SCARCE_HEDGE_QUANTILE = 0.98
# The hedge delay is a high quantile of measured latencies, which cannot be
# estimated from fewer answers than this.
_MIN_HEDGE_SAMPLES = 20
_HEDGE_BUDGET_CAPACITY = 10.0
_RETRY_BUDGET_CAPACITY = 20.0
# Allow a shard with little traffic to retry after it lost an endpoint, although
# its requests have added few tokens.
_INITIAL_RETRY_TOKENS = 2.0
# One in this many selections prefers a cold endpoint, so that it warms up even
# while warm endpoints in the node's availability zone are free.
_PREFER_COLD_INTERVAL = 8
_FULL = _authority.Authority.FULL
_LIMITED = _authority.Authority.LIMITED


class AttemptStarter:
    """Starts attempts for the requests of one shard and tracks them.

    Attributes:
        hedge_budget: Limits hedges.
        retry_budget: Limits retries.
        in_flight: Number of attempts that hold a slot.
        released: Whether the shard was released, so that nothing may be sent
            until this node owns it again.
    """

    def __init__(
        self,
        key: configuration.ShardKey,
        replicas: _replicas.Replicas,
        context: _replicas.DispatchContext,
    ) -> None:
        self.hedge_budget = _budget.TokenBucket(
            0, capacity=_HEDGE_BUDGET_CAPACITY
        )
        self.retry_budget = _budget.TokenBucket(
            0, capacity=_RETRY_BUDGET_CAPACITY, initial=_INITIAL_RETRY_TOKENS
        )
        self.in_flight = 0
        self.released = False
        self._key = key
        self._replicas = replicas
        self._latency = replicas.latency
        self._context = context
        self._idle_event = trio.Event()
        self._selection_numbers = itertools.count(1)
        self._pending_by_attempt: dict[
            _connection.Attempt, _pending.PendingRequest
        ] = {}

    def finish_attempt(
        self, attempt: _connection.Attempt
    ) -> _pending.PendingRequest:
        """Removes an ended attempt and returns its request."""
        self.in_flight -= 1
        pending = self._pending_by_attempt.pop(attempt)
        pending.attempts.pop(attempt, None)
        if self.in_flight == 0:
            self._idle_event.set()
            self._idle_event = trio.Event()
        return pending

    async def wait_idle(self) -> None:
        """Waits until no attempt is in flight."""
        while self.in_flight:
            await self._idle_event.wait()

    def build_criteria(
        self, pending: _pending.PendingRequest, warm_only: bool
    ) -> _choice.SelectionCriteria:
        """Returns the criteria for the next endpoint of a request."""
        return _choice.SelectionCriteria(
            availability_zone=self._context.availability_zone,
            snapshot=pending.request.snapshot,
            warm_only=warm_only,
            prefer_cold=next(self._selection_numbers) % _PREFER_COLD_INTERVAL
            == 0,
            ineligible=pending.without_snapshot,
            tried=pending.tried,
            gate=self._select_gate(),
        )

    def _select_gate(self) -> canary.VersionGate | None:
        """Returns the version gate, unless it would leave the shard unserved.

        If the new version's share is 100% and none of its endpoints can be
        used, the endpoints of the old version serve the shard. If all endpoints
        of the shard have the new version, they serve it whatever the share.
        """
        gate = self._context.versions.find_gate(self._key.service)
        if gate is None:
            return None
        if all(gate.is_new(e.spec.version) for e in self._replicas.endpoints):
            return None
        if not gate.is_complete():
            return gate
        for endpoint in self._replicas.endpoints:
            if gate.is_new(endpoint.spec.version) and endpoint.is_usable():
                return gate
        return None

    def start_attempt(
        self,
        pending: _pending.PendingRequest,
        endpoint: _endpoint.Endpoint,
        now_s: float,
    ) -> None:
        """Starts an attempt at an endpoint, which must have a free slot."""
        request = pending.request
        number = next(self._context.request_numbers)
        endpoint_request = _client.EndpointRequest(
            request_id=b"%s-%x" % (self._context.request_prefix, number),
            route=request.route,
            snapshot=request.snapshot,
            body=request.body,
            remaining_ms=(pending.deadline_s - now_s) * 1000,
        )
        attempt = _connection.Attempt(
            endpoint_request, pending.deadline_s, self._may_send
        )
        if not pending.tried:
            _metrics.observe_queue_wait(now_s - pending.arrived_s)
            self.hedge_budget.refill()
            self.retry_budget.refill()
        pending.attempts[attempt] = endpoint
        pending.tried.append(endpoint)
        self._pending_by_attempt[attempt] = pending
        gate = self._context.versions.find_gate(self._key.service)
        if gate is not None:
            gate.count_request(endpoint.spec.version)
        self.in_flight += 1
        _metrics.count_attempt()
        endpoint.start_attempt(attempt)

    def _may_send(self, attempt: _connection.Attempt) -> bool:
        """Returns whether an attempt may still be sent.

        This is checked right before sending, because the process may have been
        paused since the endpoint was selected.
        """
        pending = self._pending_by_attempt.get(attempt)
        if pending is None or pending.reply is not None or self.released:
            return False
        endpoint = pending.attempts[attempt]
        now_s = trio.current_time()
        if now_s >= attempt.deadline_s or endpoint.excluded:
            return False
        authority = self.read_authority(pending.request.provisional)
        if authority is _LIMITED:
            return endpoint.is_warm(now_s)
        return authority is _FULL

    def read_authority(self, provisional: bool) -> _authority.Authority:
        """Returns the node's current authority for the shard."""
        return self._context.read_authority(self._key, provisional)

    def schedule_hedge(
        self, pending: _pending.PendingRequest, now_s: float
    ) -> bool:
        """Sets when a hedge is due; returns False if none may be sent."""
        if not pending.request.repeatable or pending.hedged:
            return False
        if len(self._latency) < _MIN_HEDGE_SAMPLES:
            return False
        scarce = self.hedge_budget.tokens < _HEDGE_BUDGET_CAPACITY / 2
        quantile = SCARCE_HEDGE_QUANTILE if scarce else HEDGE_QUANTILE
        delay_ms = max(MIN_HEDGE_DELAY_MS, self._latency.quantile(quantile))
        pending.hedge_at_s = now_s + delay_ms / 1000
        return True

    def try_hedge(self, pending: _pending.PendingRequest, now_s: float) -> bool:
        """Sends a hedge if the budget allows and another endpoint is free.

        Returns:
            False if the hedge was not sent but may be sent later.
        """
        if not pending.attempts or pending.hedged or self.released:
            return True
        authority = self.read_authority(pending.request.provisional)
        if authority not in (_FULL, _LIMITED) or self.hedge_budget.tokens < 1:
            return False
        criteria = self.build_criteria(pending, True)
        criteria.ineligible = [*pending.without_snapshot, *pending.tried]
        # Hedges are optional, so they avoid endpoints on leaving VMs.
        staying = [e for e in self._replicas.endpoints if not e.on_leaving_vm]
        endpoint = _choice.select_endpoint(staying, criteria, now_s)
        if endpoint is None:
            return False
        self.hedge_budget.try_consume()
        pending.hedged = True
        _metrics.count_hedge()
        self.start_attempt(pending, endpoint, now_s)
        return True
