"""One request to one endpoint; the answer is returned unchanged."""

from collections.abc import Mapping
import math
from typing import Any

import trio

from geraniumstair import routing
from geraniumstair.forward import _call
from geraniumstair.forward import _context
from geraniumstair.forward import _replica
from geraniumstair.forward import _result
from geraniumstair.forward import _timing

RETRY_DELAY_S = 0.02
# Limit of attempts that certainly did not run.
MAX_REFUSALS = 8
_FIRST_SERVER_ERROR = 500


class Single:
    """Forwards one request to an endpoint of a service.

    Args:
        context: Dependencies of every request.
        request: The caller's request.
        route: Its route.
        service: The service that was selected.
    """

    def __init__(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
        service: str,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._prepared = context.dialect.prepare(request)
        self._deadlines = _timing.compute_deadlines(
            request, route, context.margins
        )
        self._open_calls: dict[_call.Call, _replica.Replica] = {}
        self._tried: set[str] = set()
        self._runs = 0
        self._refusals = 0
        self._retry_at_s = math.inf
        self._hedge_at_s = math.inf
        self._result: _result.ForwardResult | None = None
        # Returned to the caller if no later call is answered.
        self._last_failure: _call.Reply | None = None
        self.repeats = 0
        self._wake = trio.Event()

    async def run(self) -> _result.ForwardResult:
        """Returns the endpoint's answer, or why there is none."""
        pool = self._context.pool
        if not pool.has_usable_endpoint(self._service) or pool.is_known_down(
            self._service
        ):
            return self._build_refusal(
                _result.RefusalReason.NO_ENDPOINT,
                f"no endpoint of {self._service} is available",
            )
        granted: _replica.Replica | None = None
        if pool.is_at_stated_limit(self._service):
            granted = await self._request_grant()
            if granted is None:
                return self._build_refusal(
                    _result.RefusalReason.OVERLOADED,
                    f"the endpoints of {self._service} accept no more requests "
                    "at present",
                )
        try:
            self._start(granted)
            while self._result is None:
                with trio.move_on_at(self._next_wakeup_s()):
                    await self._wake.wait()
                self._wake = trio.Event()
                if self._result is None:
                    self._run_due_actions()
            return self._result
        finally:
            now_s = trio.current_time()
            for call, replica in self._open_calls.items():
                replica.abandon(call, now_s)

    async def _request_grant(self) -> _replica.Replica | None:
        grants = self._context.grants
        if grants is None:
            return None
        return await grants.request(self._service, self._route.latency_goal_ms)

    def describe(self) -> Mapping[str, Any]:
        """Returns the data that the decisions were based on, for the log."""
        failure = self._last_failure
        return {
            "service": self._service,
            "idempotent": self._route.idempotent,
            "tried": sorted(self._tried),
            "runs": self._runs,
            "failure": failure.detail if failure is not None else "",
        }

    def _start(self, granted: _replica.Replica | None) -> None:
        now_s = trio.current_time()
        self._context.budget.record_request(self._service)
        if self._route.idempotent:
            delay_ms = self._context.hedge_delays.delay_ms(self._route)
            self._hedge_at_s = now_s + delay_ms / 1000
        if granted is not None:
            self._submit(granted, _call.Cause.FIRST)
        elif not self._try_call(_call.Cause.FIRST):
            self._retry_at_s = now_s + RETRY_DELAY_S

    def _try_call(self, cause: _call.Cause) -> bool:
        replica = self._context.pool.choose_replica(self._service, self._tried)
        if replica is None:
            return False
        self._submit(replica, cause)
        return True

    def _submit(self, replica: _replica.Replica, cause: _call.Cause) -> None:
        call = _call.Call(
            prepared=self._prepared,
            deadline_s=self._deadlines.caller_s,
            priority=self._route.priority,
            idempotent=self._route.idempotent,
            on_finished=self._on_finished,
            service=self._service,
            route=self._route.name,
            cause=cause,
        )
        self._tried.add(replica.entry.endpoint_id)
        self._runs += 1
        self._open_calls[call] = replica
        self._context.record_call(call)
        replica.submit(call)

    def _on_finished(self, call: _call.Call, reply: _call.Reply) -> None:
        self._open_calls.pop(call, None)
        if self._result is not None:
            return
        if reply.outcome is _call.Outcome.ANSWERED or (
            reply.outcome is _call.Outcome.FAILED
            and reply.status < _FIRST_SERVER_ERROR
        ):
            took_ms = (trio.current_time() - call.submitted_s) * 1000
            self._context.hedge_delays.add(self._route, took_ms)
            self._result = _result.SingleResult(reply)
        else:
            self._handle_failure(call, reply)
        if self._result is not None:
            self._wake.set()

    def _handle_failure(self, call: _call.Call, reply: _call.Reply) -> None:
        outcome = reply.outcome
        blocked = False
        if reply.endpoint_ended:
            suspects = self._context.suspects
            suspects.report_ends(
                self._request, self._route.name, {call.instance_name}
            )
            blocked = suspects.is_blocked(self._request)
        if outcome.not_run:
            self._runs -= 1
            self._refusals += 1
        if self._last_failure is None or reply.outcome is _call.Outcome.FAILED:
            self._last_failure = reply
        if self._open_calls:
            return
        may_repeat = outcome.not_run or self._route.idempotent
        was_sent = outcome is not _call.Outcome.NOT_SENT
        if (
            not may_repeat
            or blocked
            or self._runs >= self._route.max_attempts
            or self._refusals > MAX_REFUSALS
            or (
                was_sent and not self._context.budget.try_consume(self._service)
            )
        ):
            self._fail()
            return
        self._context.metrics.extra_calls.labels("retry").inc()
        self.repeats += 1
        if not self._try_call(_call.Cause.RETRY):
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        """Retries all endpoints later; fails if that is known to be in vain."""
        if self._runs or self._context.pool.is_known_down(self._service):
            self._fail()
            return
        self._tried.clear()
        self._retry_at_s = trio.current_time() + RETRY_DELAY_S
        self._wake.set()

    def _run_due_actions(self) -> None:
        now_s = trio.current_time()
        if now_s >= self._deadlines.final_s:
            self._time_out()
        elif now_s >= self._retry_at_s:
            self._retry_at_s = math.inf
            self._refusals += 1
            if self._refusals > MAX_REFUSALS:
                self._fail()
            elif not self._try_call(_call.Cause.RETRY):
                self._retry_at_s = now_s + RETRY_DELAY_S
        elif now_s >= self._hedge_at_s:
            self._hedge()

    def _hedge(self) -> None:
        self._hedge_at_s = math.inf
        if self._runs >= self._route.max_attempts or not self._open_calls:
            return
        # A chosen endpoint counts against its limits, so the budget is checked
        # before.
        budget = self._context.budget
        if not budget.has_token(self._service):
            return
        replica = self._context.pool.choose_replica(
            self._service, self._tried, only_healthy=True
        )
        if replica is not None and budget.try_consume(self._service):
            self._context.metrics.extra_calls.labels("hedge").inc()
            self.repeats += 1
            self._submit(replica, _call.Cause.HEDGE)

    def _next_wakeup_s(self) -> float:
        return min(self._deadlines.final_s, self._retry_at_s, self._hedge_at_s)

    def _time_out(self) -> None:
        any_sent = any(call.sent for call in self._open_calls)
        if not any_sent:
            # Queued calls are dropped when they are abandoned, so they never
            # run.
            self._runs -= len(self._open_calls)
        self._fail(_result.RefusalReason.TIMEOUT)

    def _fail(
        self,
        reason: _result.RefusalReason = _result.RefusalReason.ENDPOINT_FAILED,
    ) -> None:
        failure = self._last_failure
        if failure is not None and failure.outcome is _call.Outcome.FAILED:
            self._result = _result.SingleResult(failure)
            return
        detail = failure.detail if failure is not None else "no answer in time"
        self._result = self._build_refusal(reason, detail)

    def _build_refusal(
        self, reason: _result.RefusalReason, detail: str
    ) -> _result.Refused:
        return _result.Refused(
            reason,
            self._runs <= 0,
            self._context.retry_after_s(self._service),
            detail,
        )
