"""One request to one endpoint, passed through unchanged."""

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

RETRY_PAUSE_S = 0.02
# Tries that certainly did not run.
MAX_REFUSALS = 8
_FIRST_SERVER_ERROR = 500


class Single:
    """Passes one request to an endpoint of a service.

    Args:
        context: What all requests share.
        request: The caller's request.
        route: Its route.
        service: The service that was picked.
    """

    def __init__(
        self,
        context: _context.Context,
        request: _call.CallerRequest,
        route: routing.Route,
        service: str,
    ) -> None:
        self._context = context
        self._route = route
        self._service = service
        self._prepared = context.dialect.prepare(request)
        self._deadlines = _timing.deadlines(request, route, context.margins)
        self._open: dict[_call.Call, _replica.Replica] = {}
        self._tried: set[str] = set()
        self._runs = 0
        self._refusals = 0
        self._retry_s = math.inf
        self._hedge_s = math.inf
        self._result: _result.ForwardResult | None = None
        # What the caller gets if nothing better comes.
        self._failure: _call.Reply | None = None
        self.repeats = 0
        self._wake = trio.Event()

    async def run(self) -> _result.ForwardResult:
        """Returns the endpoint's answer, or why there is none."""
        pool = self._context.pool
        if not pool.usable(self._service) or pool.known_down(self._service):
            return self._refused(
                _result.RefusalReason.NO_ENDPOINT,
                f"no endpoint of {self._service} answers",
            )
        try:
            self._start()
            while self._result is None:
                with trio.move_on_at(self._next_s()):
                    await self._wake.wait()
                self._wake = trio.Event()
                if self._result is None:
                    self._act()
            return self._result
        finally:
            now_s = trio.current_time()
            for call, replica in self._open.items():
                replica.abandon(call, now_s)

    def describe(self) -> Mapping[str, Any]:
        """Returns what the decisions were based on, for the log."""
        failure = self._failure
        return {
            "service": self._service,
            "idempotent": self._route.idempotent,
            "tried": sorted(self._tried),
            "runs": self._runs,
            "failure": failure.detail if failure is not None else "",
        }

    def _start(self) -> None:
        now_s = trio.current_time()
        self._context.budget.earn(self._service)
        if self._route.idempotent:
            delay_ms = self._context.delays.delay_ms(self._route)
            self._hedge_s = now_s + delay_ms / 1000
        if not self._try_call():
            self._retry_s = now_s + RETRY_PAUSE_S

    def _try_call(self) -> bool:
        replica = self._context.pool.choose(self._service, self._tried)
        if replica is None:
            return False
        self._submit(replica)
        return True

    def _submit(self, replica: _replica.Replica) -> None:
        call = _call.Call(
            prepared=self._prepared,
            deadline_s=self._deadlines.caller_s,
            priority=self._route.priority,
            idempotent=self._route.idempotent,
            finished=self._finished,
            shard=self._service,
            route=self._route.name,
        )
        self._tried.add(replica.entry.endpoint_id)
        self._runs += 1
        self._open[call] = replica
        replica.submit(call)

    def _finished(self, call: _call.Call, reply: _call.Reply) -> None:
        self._open.pop(call, None)
        if self._result is not None:
            return
        if reply.outcome is _call.Outcome.ANSWERED or (
            reply.outcome is _call.Outcome.FAILED
            and reply.status < _FIRST_SERVER_ERROR
        ):
            took_ms = (trio.current_time() - call.created_s) * 1000
            self._context.delays.add(self._route, took_ms)
            self._result = _result.SingleResult(reply)
        else:
            self._retry(reply)
        if self._result is not None:
            self._wake.set()

    def _retry(self, reply: _call.Reply) -> None:
        outcome = reply.outcome
        if outcome.not_run:
            self._runs -= 1
            self._refusals += 1
        if self._failure is None or reply.outcome is _call.Outcome.FAILED:
            self._failure = reply
        if self._open:
            return
        may_repeat = outcome.not_run or self._route.idempotent
        arrived = outcome is not _call.Outcome.NOT_SENT
        if (
            not may_repeat
            or self._runs >= self._route.max_attempts
            or self._refusals > MAX_REFUSALS
            or (arrived and not self._context.budget.take(self._service))
        ):
            self._give_up()
            return
        self._context.metrics.extra_calls.labels("retry").inc()
        self.repeats += 1
        if not self._try_call():
            self._try_later()

    def _try_later(self) -> None:
        if self._runs:
            self._give_up()
            return
        self._tried.clear()
        self._retry_s = trio.current_time() + RETRY_PAUSE_S
        self._wake.set()

    def _act(self) -> None:
        now_s = trio.current_time()
        if now_s >= self._deadlines.final_s:
            self._time_out()
        elif now_s >= self._retry_s:
            self._retry_s = math.inf
            self._refusals += 1
            if self._refusals > MAX_REFUSALS:
                self._give_up()
            elif not self._try_call():
                self._retry_s = now_s + RETRY_PAUSE_S
        elif now_s >= self._hedge_s:
            self._hedge()

    def _hedge(self) -> None:
        self._hedge_s = math.inf
        if self._runs >= self._route.max_attempts or not self._open:
            return
        replica = self._context.pool.choose(
            self._service, self._tried, healthy=True
        )
        if replica is not None and self._context.budget.take(self._service):
            self._context.metrics.extra_calls.labels("hedge").inc()
            self.repeats += 1
            self._submit(replica)

    def _next_s(self) -> float:
        return min(self._deadlines.final_s, self._retry_s, self._hedge_s)

    def _time_out(self) -> None:
        sent = any(call.sent for call in self._open)
        if not sent:
            # Calls that still wait are withdrawn when they are abandoned.
            self._runs -= len(self._open)
        self._give_up(_result.RefusalReason.TIMEOUT)

    def _give_up(
        self,
        reason: _result.RefusalReason = _result.RefusalReason.ENDPOINT_FAILED,
    ) -> None:
        failure = self._failure
        if failure is not None and failure.outcome is _call.Outcome.FAILED:
            self._result = _result.SingleResult(failure)
            return
        detail = failure.detail if failure is not None else "no answer in time"
        self._result = self._refused(reason, detail)

    def _refused(
        self, reason: _result.RefusalReason, detail: str
    ) -> _result.Refused:
        return _result.Refused(
            reason,
            self._runs <= 0,
            self._context.retry_after_s(self._service),
            detail,
        )
