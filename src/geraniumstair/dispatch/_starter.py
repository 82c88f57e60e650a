"""Starts requests at the endpoints of one shard, and hedges them."""

import itertools

import trio

from geraniumstair import configuration
from geraniumstair import verdict
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
# Hedging all requests beyond the 95th percentile uses up a budget of 5%, and
# stragglers then find none left. While less than half of the bucket is left,
# only requests that are more probably stragglers are hedged.
SCARCE_HEDGE_QUANTILE = 0.98
# A hedge needs a measured delay; fewer answers don't show the tail.
_MIN_HEDGE_SAMPLES = 20
_HEDGE_CAPACITY = 10.0
_RETRY_CAPACITY = 20.0
# Lets a quiet shard survive the loss of an endpoint.
_RETRY_INITIAL = 2.0
# Each such dispatch favours a cold endpoint, so that it warms up although
# warm ones in the own availability zone are free.
_COLD_TURN = 8
_FULL = _authority.Authority.FULL
_LIMITED = _authority.Authority.LIMITED


class AttemptStarter:
    """Keeps account of the attempts of one shard.

    Attributes:
        hedges: Budget of hedges.
        retries: Budget of retries.
        in_flight: Attempts that hold a slot.
        released: Nothing may be sent until the shard is owned anew.
    """

    def __init__(
        self,
        key: configuration.ShardKey,
        replicas: _replicas.Replicas,
        surroundings: _replicas.Surroundings,
    ) -> None:
        self.hedges = _budget.TokenBucket(0, capacity=_HEDGE_CAPACITY)
        self.retries = _budget.TokenBucket(
            0, capacity=_RETRY_CAPACITY, initial=_RETRY_INITIAL
        )
        self.in_flight = 0
        self.released = False
        self._key = key
        self._replicas = replicas
        self._latency = replicas.latency
        self._surroundings = surroundings
        self._quiet = trio.Event()
        self._cold_turn = itertools.count(1)
        self._owners: dict[_connection.Attempt, _pending.Pending] = {}

    def finish(self, attempt: _connection.Attempt) -> _pending.Pending:
        """Forgets an attempt that has ended; returns its request."""
        self.in_flight -= 1
        pending = self._owners.pop(attempt)
        pending.attempts.pop(attempt, None)
        if self.in_flight == 0:
            self._quiet.set()
            self._quiet = trio.Event()
        return pending

    async def wait_quiet(self) -> None:
        """Waits until nothing is in flight."""
        while self.in_flight:
            await self._quiet.wait()

    def needs(
        self, pending: _pending.Pending, warm_only: bool
    ) -> _choice.Needs:
        """Returns what the request needs from an endpoint."""
        return _choice.Needs(
            availability_zone=self._surroundings.availability_zone,
            snapshot=pending.request.snapshot,
            warm_only=warm_only,
            prefer_cold=next(self._cold_turn) % _COLD_TURN == 0,
            refused=pending.refused,
            tried=pending.tried,
            gate=self._gate(),
        )

    def _gate(self) -> verdict.VersionGate | None:
        """Returns the gate, unless it would leave the shard unserved.

        When all traffic has moved and no endpoint of the new version can be
        used, the old version's endpoints serve the shard. A shard without
        endpoints of another version is served by the new one.
        """
        gate = self._surroundings.versions.gate(self._key.service)
        if gate is None:
            return None
        if all(gate.is_new(e.spec.version) for e in self._replicas.endpoints):
            return None
        if not gate.is_complete():
            return gate
        for endpoint in self._replicas.endpoints:
            if gate.is_new(endpoint.spec.version) and endpoint.prospective():
                return gate
        return None

    def start(
        self,
        pending: _pending.Pending,
        endpoint: _endpoint.Endpoint,
        now_s: float,
    ) -> None:
        """Gives a request to an endpoint with a free slot."""
        request = pending.request
        number = next(self._surroundings.request_numbers)
        call = _client.EndpointCall(
            request_id=b"%s-%x" % (self._surroundings.request_prefix, number),
            route=request.route,
            snapshot=request.snapshot,
            body=request.body,
            remaining_ms=(pending.deadline_s - now_s) * 1000,
        )
        attempt = _connection.Attempt(call, pending.deadline_s, self._permit)
        if not pending.tried:
            _metrics.queue_wait(now_s - pending.arrived_s)
            self.hedges.earn()
            self.retries.earn()
        pending.attempts[attempt] = endpoint
        pending.tried.append(endpoint)
        self._owners[attempt] = pending
        gate = self._surroundings.versions.gate(self._key.service)
        if gate is not None:
            gate.count(endpoint.spec.version)
        self.in_flight += 1
        _metrics.attempt()
        endpoint.start(attempt)

    def _permit(self, attempt: _connection.Attempt) -> bool:
        """Decides right before sending; the process may have been paused."""
        pending = self._owners.get(attempt)
        if pending is None or pending.reply is not None or self.released:
            return False
        endpoint = pending.attempts[attempt]
        now_s = trio.current_time()
        if now_s >= attempt.deadline_s or endpoint.excluded:
            return False
        authority = self.authority(pending.request.provisional)
        if authority is _LIMITED:
            return endpoint.is_warm(now_s)
        return authority is _FULL

    def authority(self, provisional: bool) -> _authority.Authority:
        """Reads the authority that holds right now."""
        return self._surroundings.authority(self._key, provisional)

    def arm_hedge(self, pending: _pending.Pending, now_s: float) -> bool:
        """Sets when a hedge of the request is due; False if none may be."""
        if not pending.request.repeatable or pending.hedged:
            return False
        if len(self._latency) < _MIN_HEDGE_SAMPLES:
            return False
        scarce = self.hedges.tokens < _HEDGE_CAPACITY / 2
        quantile = SCARCE_HEDGE_QUANTILE if scarce else HEDGE_QUANTILE
        delay_ms = max(MIN_HEDGE_DELAY_MS, self._latency.quantile(quantile))
        pending.hedge_at_s = now_s + delay_ms / 1000
        return True

    def hedge(self, pending: _pending.Pending, now_s: float) -> bool:
        """Sends a hedge if budget and a free slot of another replica allow.

        Returns:
            False if it may be possible later.
        """
        if not pending.attempts or pending.hedged or self.released:
            return True
        authority = self.authority(pending.request.provisional)
        if authority not in (_FULL, _LIMITED) or self.hedges.tokens < 1:
            return False
        needs = self.needs(pending, True)
        needs.refused = [*pending.refused, *pending.tried]
        # A hedge is no reason to use an endpoint that may be leaving.
        staying = [e for e in self._replicas.endpoints if not e.on_leaving_vm]
        endpoint = _choice.choose(staying, needs, now_s)
        if endpoint is None:
            return False
        self.hedges.take()
        pending.hedged = True
        _metrics.hedge()
        self.start(pending, endpoint, now_s)
        return True
