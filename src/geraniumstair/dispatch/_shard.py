"""Admission, queue and dispatch of the requests of one shard."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import trio

from geraniumstair import configuration
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.dispatch import _choice
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _endpoint
from geraniumstair.dispatch import _metrics
from geraniumstair.dispatch import _pending
from geraniumstair.dispatch import _queue
from geraniumstair.dispatch import _replicas
from geraniumstair.dispatch import _shedding
from geraniumstair.dispatch import _starter
from geraniumstair.dispatch import _timers
from geraniumstair.membership import _authority

# Time after the last provisional request for which a node that doesn't own the
# shard keeps its connections open.
_PROVISIONAL_SERVICE_S = 5.0
_LIMITED = _authority.Authority.LIMITED
_WAITING = _authority.Authority.WAITING
_NONE = _authority.Authority.NONE


class Shard:
    """Queue of one shard, and dispatch from it to all endpoints of the shard.

    Attributes:
        key: Key of the shard.
        policy: Policy of the service; None if the shard is not configured.
        provisional_until_s: Time until which connections stay open for
            provisional requests, which this node serves while the owner is
            unreachable.
        last_used_s: Time when the shard was last used: a request arrived, a
            state was loaded, or ownership was applied without this shard.
    """

    def __init__(
        self,
        key: configuration.ShardKey,
        context: _replicas.DispatchContext,
        timers: _timers.Timers,
    ) -> None:
        self.key = key
        self._timers = timers
        self.policy: configuration.ServicePolicy | None = None
        self.last_used_s = trio.current_time()
        self.provisional_until_s = 0.0
        self._context = context
        self._queue: _queue.RequestQueue[_pending.PendingRequest] = (
            _queue.RequestQueue(1)
        )
        # Requests whose hedge is due but has not been sent for lack of a slot
        # or of budget.
        self._due_hedges: list[_pending.PendingRequest] = []
        self._replicas = _replicas.Replicas(key, context, self)
        self._latency = self._replicas.latency
        self._shedder = _shedding.LoadShedder()
        self._starter = _starter.AttemptStarter(key, self._replicas, context)

    @property
    def released(self) -> bool:
        """Whether the shard was released and this node doesn't own it again."""
        return self._starter.released

    def resume(self) -> None:
        """Ends a release, after this node became the owner again."""
        self._starter.released = False

    @property
    def endpoints(self) -> list[_endpoint.Endpoint]:
        """Endpoints in the order of the operators' document."""
        return self._replicas.endpoints

    def snapshots(self) -> list[int]:
        """Returns the snapshots that the shard can serve, newest first."""
        return self._replicas.snapshots()

    # Topology.

    def configure(
        self,
        policy: configuration.ServicePolicy | None,
        specs: Sequence[configuration.EndpointSpec],
        is_excluded: Callable[[configuration.EndpointSpec], bool],
        serving: bool,
    ) -> None:
        """Applies policy and endpoints; queued requests stay queued.

        Args:
            policy: Policy of the service; None if the shard is removed.
            specs: Specifications of the shard's endpoints.
            is_excluded: Returns whether an endpoint must get no new requests.
            serving: Whether this node serves the shard or is about to.
        """
        self.policy = policy
        self._replicas.configure(specs, is_excluded)
        for endpoint in self.endpoints:
            endpoint.set_serving(serving)
        if policy is None or not self.endpoints:
            self.refuse_queued(
                codes.Code.UNKNOWN_SHARD, "the shard is not configured"
            )
        else:
            self._queue.limit = policy.queue_limit
            self._starter.hedge_budget.pct = policy.hedge_budget_pct
            self._starter.retry_budget.pct = policy.retry_budget_pct
        self.dispatch_waiting()

    # Submitting.

    def submit(self, pending: _pending.PendingRequest) -> None:
        """Admits or refuses a request, which is finished by its deadline."""
        self.last_used_s = trio.current_time()
        self._admit(pending)
        if pending.reply is None:
            self._timers.add(pending.deadline_s, pending)

    def _admit(self, pending: _pending.PendingRequest) -> None:
        if self.policy is None or not self.endpoints:
            self._refuse(
                pending, codes.Code.UNKNOWN_SHARD, "the shard is not configured"
            )
            return
        provisional = pending.request.provisional
        if self.released or self._starter.read_authority(provisional) is _NONE:
            self._refuse(
                pending,
                codes.Code.NOT_OWNER,
                "this node does not own the shard",
            )
            return
        if provisional:
            self._extend_provisional_service()
        if not any(e.is_usable() for e in self.endpoints):
            self._refuse(
                pending, codes.Code.NO_ENDPOINT, "no endpoint can be used now"
            )
            return
        now_s = trio.current_time()
        remaining_ms = (pending.deadline_s - now_s) * 1000
        wait_ms = self._estimate_wait_ms(pending)
        needed_ms = self._latency.quantile(0) + wait_ms
        self._shedder.record_offered(now_s)
        if remaining_ms > 0 and not self._shedder.admits(
            _shedding.search_rank(pending.request.search_id),
            wait_ms / remaining_ms,
            now_s,
        ):
            self._refuse(
                pending,
                codes.Code.OVERLOADED,
                "the shard is overloaded and sheds load",
            )
            return
        if remaining_ms <= 0 or remaining_ms < needed_ms:
            self._refuse(
                pending,
                codes.Code.DEADLINE_TOO_SHORT,
                f"the request needs about {needed_ms:.0f} ms",
            )
            return
        if len(self._queue) >= self._queue.limit and not self._evict(pending):
            self._refuse(pending, codes.Code.QUEUE_FULL, "the queue is full")
            return
        self._queue.push(pending)
        self.dispatch_waiting()

    def _estimate_wait_ms(self, pending: _pending.PendingRequest) -> float:
        if not len(self._queue):
            return 0.0
        ahead = self._queue.count_ahead(pending.priority)
        return self._replicas.estimate_wait_ms(ahead)

    def _extend_provisional_service(self) -> None:
        now_s = trio.current_time()
        if now_s > self.provisional_until_s:
            self.set_serving(True)
        self.provisional_until_s = now_s + _PROVISIONAL_SERVICE_S

    def _evict(self, pending: _pending.PendingRequest) -> bool:
        """Refuses the least urgent request if `pending` is more urgent."""
        least_urgent = self._queue.least_urgent()
        if least_urgent is None or least_urgent.priority <= pending.priority:
            return False
        self._refuse(
            least_urgent,
            codes.Code.QUEUE_FULL,
            "a more urgent request took the place in the full queue",
        )
        return True

    def _refuse(
        self, pending: _pending.PendingRequest, code: codes.Code, detail: str
    ) -> None:
        """Ends a request with a refusal.

        A reply must not state that the request has not run if an earlier
        attempt may have run it. The code of that attempt then replaces `code`.
        """
        self._queue.remove(pending)
        if pending.failure_code is not None and codes.INFO[code].not_run:
            code = pending.failure_code
        reply = _pending.build_refusal(
            pending.request,
            code,
            detail,
            snapshots=self._replicas.snapshots(),
            retry_after_ms=self._latency.quantile(0.5),
        )
        reply.hedged = pending.hedged
        pending.finish(reply)

    def refuse_queued(self, code: codes.Code, detail: str) -> None:
        """Refuses all queued requests."""
        for pending in self._queue.items():
            self._refuse(pending, code, detail)

    def on_timer(self, pending: _pending.PendingRequest) -> None:
        """Handles a deadline that has passed or a hedge that is due."""
        now_s = trio.current_time()
        if now_s >= pending.deadline_s:
            if any(a.sent_s for a in pending.attempts):
                pending.failure_code = codes.Code.DEADLINE_EXCEEDED
            self._refuse(
                pending,
                codes.Code.DEADLINE_TOO_SHORT,
                "the deadline passed",
            )
        elif now_s >= pending.hedge_at_s:
            pending.hedge_at_s = float("inf")
            self._due_hedges.append(pending)
            self._send_due_hedges(now_s)

    def _send_due_hedges(self, now_s: float) -> None:
        """Sends the hedges that are due, oldest first.

        Hedges are sent before queued requests, since their deadlines are
        usually earlier and the budget bounds their number. While a straggler
        holds a slot, requests are queued most of the time, so hedges that
        waited for an empty queue would come too late. No hedges are sent under
        a backlog, since extra requests would waste capacity.
        """
        if not self._due_hedges or self._has_backlog():
            return
        self._due_hedges = [
            pending
            for pending in self._due_hedges
            if pending.reply is None
            and not self._starter.try_hedge(pending, now_s)
        ]

    def _has_backlog(self) -> bool:
        return len(self._queue) > sum(e.ramp.limit for e in self.endpoints)

    def clean_up(self, pending: _pending.PendingRequest) -> None:
        """Removes an ended request from the queue; abandons its attempts."""
        self._queue.remove(pending)
        for attempt, endpoint in pending.attempts.items():
            endpoint.abandon_attempt(attempt)
        pending.attempts.clear()

    def cancel(self, pending: _pending.PendingRequest) -> None:
        """Ends a request whose caller no longer waits."""
        if any(a.sent_s for a in pending.attempts):
            code = codes.Code.CANCELLED
        else:
            code = codes.Code.CANCELLED_IN_QUEUE
        self._refuse(pending, code, "the search was cancelled")

    # Dispatching.

    def on_slot_available(self) -> None:
        """Dispatches waiting requests after an endpoint changed."""
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Dispatches due hedges and queued requests to free slots."""
        if self._due_hedges:
            self._send_due_hedges(trio.current_time())
        if not len(self._queue):
            return
        if not any(e.is_usable() for e in self.endpoints):
            self.refuse_queued(
                codes.Code.NO_ENDPOINT, "no endpoint can be used now"
            )
            return
        while True:
            pending = self._queue.peek()
            if pending is None or not self._dispatch_request(pending):
                return

    def _dispatch_request(self, pending: _pending.PendingRequest) -> bool:
        """Dispatches or refuses a request; returns False if it has to wait."""
        authority = self._starter.read_authority(pending.request.provisional)
        if authority is _NONE:
            self._refuse(
                pending,
                codes.Code.NOT_OWNER,
                "this node does not own the shard",
            )
            return True
        if authority is _WAITING or self.released:
            return False
        now_s = trio.current_time()
        if (
            pending.deadline_s - now_s
        ) * 1000 <= self._compute_min_remaining_ms():
            self._refuse(
                pending,
                codes.Code.DEADLINE_TOO_SHORT,
                "the time until the deadline is too short",
            )
            return True
        if len(pending.without_snapshot) and all(
            e in pending.without_snapshot
            for e in self.endpoints
            if e.is_usable()
        ):
            self._refuse(
                pending,
                codes.Code.SNAPSHOT_UNAVAILABLE,
                "no endpoint has the snapshot",
            )
            return True
        endpoint = _choice.select_endpoint(
            self.endpoints,
            self._starter.build_criteria(pending, authority is _LIMITED),
            now_s,
        )
        if endpoint is None:
            return False
        self._queue.remove(pending)
        self._starter.start_attempt(pending, endpoint, now_s)
        if self._starter.schedule_hedge(pending, now_s):
            self._timers.add(pending.hedge_at_s, pending)
        return True

    def _compute_min_remaining_ms(self) -> float:
        """Returns the remaining time that a request needs to be dispatched.

        Requests of the same priority are dispatched in the order of their
        deadlines, so those most likely to miss theirs come first. Under a
        backlog, only requests that will probably finish in time get a slot.
        """
        return self._latency.quantile(0.75 if self._has_backlog() else 0)

    # Outcomes.

    def on_attempt_finished(
        self,
        endpoint: _endpoint.Endpoint,
        attempt: _connection.Attempt,
        reply: _client.EndpointReply,
        withdrawn: bool,
    ) -> None:
        """Handles the end of an attempt and dispatches waiting requests."""
        pending = self._starter.finish_attempt(attempt)
        if not withdrawn:
            self._replicas.record_outcome(endpoint, pending, attempt, reply)
        if pending.reply is None:
            if reply.outcome is _client.Outcome.ANSWERED:
                self._shedder.record_answered(trio.current_time())
                pending.finish(self._build_answer(pending, endpoint, reply))
            else:
                self._handle_failed_attempt(pending, endpoint, reply, withdrawn)
        self.dispatch_waiting()

    def _build_answer(
        self,
        pending: _pending.PendingRequest,
        endpoint: _endpoint.Endpoint,
        reply: _client.EndpointReply,
    ) -> messages.ShardReply:
        return messages.ShardReply(
            code=int(codes.Code.OK),
            detail="",
            not_run=False,
            snapshot=pending.request.snapshot,
            coverage_pct=reply.coverage_pct,
            body=reply.body,
            endpoint=endpoint.spec.name,
            version=endpoint.spec.version,
            snapshots=self._replicas.snapshots(),
            hedged=pending.hedged,
            retry_after_ms=0.0,
        )

    def _handle_failed_attempt(
        self,
        pending: _pending.PendingRequest,
        endpoint: _endpoint.Endpoint,
        reply: _client.EndpointReply,
        withdrawn: bool,
    ) -> None:
        code = _pending.code_for_outcome(reply.outcome)
        if reply.outcome is _client.Outcome.SNAPSHOT_UNAVAILABLE:
            pending.without_snapshot.append(endpoint)
        if not reply.not_run:
            pending.failure_code = code
        if pending.attempts:
            return  # The other attempt may still answer.
        if self.released:
            self._refuse(
                pending,
                codes.Code.NOT_OWNER,
                "the shard is moving to another node",
            )
        elif withdrawn:
            # Nothing was sent, so the retry budget is not charged.
            self._queue.push(pending)
        elif self._may_retry(pending):
            _metrics.count_retry()
            pending.hedge_at_s = float("inf")
            self._queue.push(pending)
        else:
            self._refuse(pending, code, reply.detail)

    def _may_retry(self, pending: _pending.PendingRequest) -> bool:
        if pending.failure_code is not None and not pending.request.repeatable:
            return False
        remaining_ms = (pending.deadline_s - trio.current_time()) * 1000
        if remaining_ms <= self._latency.quantile(0):
            return False
        return self._starter.retry_budget.try_consume()

    # State.

    def load_state(self, state: messages.ShardState, *, owned: bool) -> None:
        """Applies the endpoint states that another owner has measured.

        Args:
            state: States of the shard's endpoints.
            owned: Whether this node owns the shard.
        """
        self.last_used_s = trio.current_time()
        self._replicas.load_state(state, owned=owned)

    def export_state(self) -> messages.ShardState:
        """Returns the endpoint states for the next owner."""
        return self._replicas.export_state()

    async def release(self) -> messages.ShardState:
        """Stops dispatching and waits until no attempt is in flight."""
        self._starter.released = True
        self.refuse_queued(
            codes.Code.NOT_OWNER, "the shard is moving to another node"
        )
        await self._starter.wait_idle()
        state = self.export_state()
        if self.released:
            self.set_serving(False)
        return state

    def tick(self, now_s: float) -> None:
        """Probes endpoints without traffic and dispatches waiting requests."""
        for endpoint in self.endpoints:
            endpoint.adjust_connections()
            endpoint.probe_if_idle(now_s)
        self.dispatch_waiting()

    def set_serving(self, serving: bool) -> None:
        """Sets whether this node serves the shard."""
        for endpoint in self.endpoints:
            endpoint.set_serving(serving)

    def is_idle(self) -> bool:
        """Returns whether no request is queued and no attempt in flight."""
        return not len(self._queue) and not self._starter.in_flight

    def dump(self) -> dict[str, Any]:
        """Returns the state of the shard for the state dump."""
        now_s = trio.current_time()
        return {
            "service": self.key.service,
            "shard": self.key.shard,
            "region": self.key.region,
            "authority": self._starter.read_authority(False).value,
            "released": self.released,
            "queued": len(self._queue),
            "in_flight": self._starter.in_flight,
            "p50_ms": round(self._latency.quantile(0.5), 3),
            "p95_ms": round(self._latency.quantile(0.95), 3),
            "hedge_tokens": round(self._starter.hedge_budget.tokens, 3),
            "retry_tokens": round(self._starter.retry_budget.tokens, 3),
            "endpoints": [e.dump(now_s) for e in self.endpoints],
        }
