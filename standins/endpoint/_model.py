"""Behaviour of a simulated endpoint, independent of HTTP."""

from collections.abc import Callable
import dataclasses
import random
import time

import msgspec
import trio

from standins.endpoint import _counters
from standins.endpoint import _hits
from standins.endpoint import _settings


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A search request.

    Attributes:
        request_id: Value of `x-request-id`.
        route: Last part of the path.
        snapshot: Requested snapshot of the index.
        deadline_ms: Time until the deadline.
        query: Text of the query.
    """

    request_id: str
    route: str
    snapshot: int
    deadline_ms: float
    query: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a search request.

    Attributes:
        status: HTTP status.
        request_id: Request id in the reply.
        snapshot: Snapshot in the reply.
        not_run: Whether it is certain that the request did not run.
        body: JSON body.
        coverage_pct: Share of its shard that the endpoint covers.
    """

    status: int
    request_id: str
    snapshot: int
    not_run: bool
    body: bytes
    coverage_pct: float


class _InFlightRequest:
    """Cancel scope and state of a request in flight."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.cancelled = False
        self.executed = False
        self.faulted = False


class EndpointModel:
    """Simulates one endpoint.

    A cold endpoint has less capacity than slots, and its capacity grows with
    each group of completed requests. If more requests are in flight than its
    capacity, it collapses: for a time it is slow and requests fail.

    Args:
        settings: Initial settings.
        wall_clock: Returns the time in s since 1970.

    Attributes:
        settings: Current settings.
        counters: Counters since the last reset.
        executed_ids: Number of executions by request id.
        executed_queries: Number of executions by query text.
        draining: Whether replies announce that the endpoint is draining.
        boot_id: Changes with each restart.
        capacity: Number of requests in flight that the endpoint can handle.
    """

    def __init__(
        self,
        settings: _settings.EndpointSettings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.counters = _counters.Counters()
        self.executed_ids: dict[str, int] = {}
        self.executed_queries: dict[str, int] = {}
        self.draining = False
        self._wall_clock = wall_clock
        self._rng = random.Random(f"{settings.seed}/{settings.name}")
        self._boot_count = 0
        self._requests_in_flight: dict[str, _InFlightRequest] = {}
        self._slot_limiter = trio.CapacityLimiter(settings.slots)
        self._collapsed_until_s = -1.0
        self._thawed = trio.Event()
        self._thawed.set()
        self._last_request_id = "none"
        self._first_request_s: float | None = None
        self.restart(cold=settings.cold)

    # ---- state changes through the control port ----

    def restart(self, *, cold: bool) -> None:
        """Simulates a restart of the endpoint's process, with a new boot id."""
        self._boot_count += 1
        self.boot_id = f"{self.settings.name}-{self._boot_count}"
        self.draining = False
        self._first_request_s = None
        if cold:
            self.turn_cold()
        else:
            self.capacity = self.settings.slots
            self._cold_completions = 0

    def turn_cold(self) -> None:
        """Makes the endpoint cold; replies do not reveal the change."""
        self.capacity = min(self.settings.cold_bearing, self.settings.slots)
        self._cold_completions = 0

    def freeze(self) -> None:
        """Makes the endpoint unresponsive until `thaw`."""
        self._thawed = trio.Event()

    def thaw(self) -> None:
        """Ends the effect of `freeze`."""
        self._thawed.set()

    def reset_counters(self) -> None:
        """Resets all counters, but keeps the gauges."""
        previous = self.counters
        self.counters = _counters.Counters(
            in_flight=previous.in_flight,
            peak_in_flight=previous.in_flight,
            connections=previous.connections,
        )
        self.executed_ids.clear()
        self.executed_queries.clear()

    @property
    def cold(self) -> bool:
        """Whether the capacity is less than the number of slots."""
        return self.capacity < self.settings.slots

    @property
    def collapsed(self) -> bool:
        """Whether a collapse after an overload is in progress."""
        return trio.current_time() < self._collapsed_until_s

    # ---- requests ----

    async def wait_thawed(self) -> None:
        """Waits while the endpoint is frozen."""
        if not self._thawed.is_set():
            await self._thawed.wait()

    def cancel(self, request_id: str) -> bool:
        """Cancels a request; returns False if it is not in flight."""
        in_flight_request = self._requests_in_flight.get(request_id)
        if in_flight_request is None:
            return False
        in_flight_request.cancelled = True
        in_flight_request.scope.cancel()
        return True

    async def serve(self, request: Request) -> Reply:
        """Serves one request, after a wait for a slot if all are in use."""
        self.counters.received += 1
        await self.wait_thawed()
        if request.snapshot not in self.settings.snapshots:
            return self._shed_request(request, 409)
        if self._is_queue_full():
            return self._shed_request(request, 503)
        self._admit()
        in_flight_request = _InFlightRequest()
        self._requests_in_flight[request.request_id] = in_flight_request
        deadline_s = trio.current_time() + request.deadline_ms / 1000
        in_flight_request.scope.deadline = deadline_s
        try:
            with in_flight_request.scope:
                return await self._serve_admitted(request, in_flight_request)
            return self._reply_to_aborted_request(request, in_flight_request)
        finally:
            self._requests_in_flight.pop(request.request_id, None)
            self.counters.in_flight -= 1

    def _is_queue_full(self) -> bool:
        limit = self.settings.slots + self.settings.queue_limit
        return self.counters.in_flight >= limit

    def _admit(self) -> None:
        counters = self.counters
        counters.in_flight += 1
        in_flight = counters.in_flight
        counters.peak_in_flight = max(counters.peak_in_flight, in_flight)
        if not self.cold or in_flight <= self.capacity:
            return
        excess = in_flight - self.capacity
        counters.peak_over_bearing = max(counters.peak_over_bearing, excess)
        if not self.collapsed:
            counters.collapses += 1
            self.turn_cold()
        duration_s = self.settings.collapse_ms / 1000
        self._collapsed_until_s = trio.current_time() + duration_s

    async def _serve_admitted(
        self, request: Request, in_flight_request: _InFlightRequest
    ) -> Reply:
        if not await self._acquire_slot(in_flight_request):
            return self._shed_request(request, 503)
        started_s = trio.current_time()
        try:
            in_flight_request.executed = True
            self._count_execution(request)
            failing = self._should_fail(request)
            in_flight_request.faulted = failing and not self.collapsed
            await trio.sleep(
                self._draw_service_time_s(request, in_flight_request)
            )
            if self._draw_with_probability(self.settings.late_pct):
                with trio.CancelScope(shield=True):
                    await trio.sleep(self.settings.late_ms / 1000)
            await self.wait_thawed()
            return self._complete_request(request, failing)
        finally:
            elapsed_s = trio.current_time() - started_s
            self.counters.service_ms_sum += 1000 * elapsed_s
            if in_flight_request.faulted:
                self._count_faulted_request()
            self._slot_limiter.release_on_behalf_of(in_flight_request)

    async def _acquire_slot(self, in_flight_request: _InFlightRequest) -> bool:
        self._slot_limiter.total_tokens = self.settings.slots
        try:
            self._slot_limiter.acquire_on_behalf_of_nowait(in_flight_request)
            return True
        except trio.WouldBlock:
            pass
        with trio.move_on_after(self.settings.queue_wait_ms / 1000):
            await self._slot_limiter.acquire_on_behalf_of(in_flight_request)
            return True
        return False

    def _count_execution(self, request: Request) -> None:
        counters = self.counters
        counters.executed += 1
        counters.last_new_work_s = self._wall_clock()
        _increment(self.executed_ids, request.request_id)
        _increment(self.executed_queries, request.query)
        _increment(counters.requests_by_version, self.settings.version)
        _increment(counters.requests_by_route, request.route)

    def _count_faulted_request(self) -> None:
        counters = self.counters
        counters.faulted += 1
        if len(counters.faulted_ends_s) < _counters.MAX_FAULTED_ENDS:
            counters.faulted_ends_s.append(self._wall_clock())
            counters.faulted_numbers.append(counters.executed)

    def _draw_service_time_s(
        self, request: Request, in_flight_request: _InFlightRequest
    ) -> float:
        settings = self.settings
        shape = settings.gamma_shape
        scale = settings.mean_service_ms / shape
        service_ms = self._rng.gammavariate(shape, scale)
        if self._draw_with_probability(settings.straggler_pct):
            service_ms *= settings.straggler_factor
        if self.cold:
            service_ms *= settings.cold_slowdown
        if self.collapsed:
            service_ms *= settings.collapse_slowdown
        for fault in settings.faults:
            if fault.kind == "slow" and self._applies(fault, request):
                service_ms *= fault.factor
                in_flight_request.faulted = True
        return service_ms / 1000

    def _should_fail(self, request: Request) -> bool:
        if self.collapsed:
            return True
        return any(
            fault.kind == "fail" and self._applies(fault, request)
            for fault in self.settings.faults
        )

    def _applies(self, fault: _settings.VersionFault, request: Request) -> bool:
        if self._first_request_s is None:
            self._first_request_s = trio.current_time()
        if fault.route and fault.route != request.route:
            return False
        if trio.current_time() - self._first_request_s < fault.after_s:
            return False
        if self.counters.in_flight < fault.least_in_flight:
            return False
        return self._draw_with_probability(fault.share_pct)

    def _draw_with_probability(self, share_pct: float) -> bool:
        return share_pct > 0 and self._rng.random() * 100 < share_pct

    # ---- replies ----

    def _complete_request(self, request: Request, failing: bool) -> Reply:
        if failing or self.collapsed:
            self.counters.failed += 1
            return self._build_empty_reply(request, 500, not_run=False)
        self.counters.completed += 1
        self._count_cold_completion()
        return self._build_success_reply(request)

    def _count_cold_completion(self) -> None:
        if not self.cold:
            return
        self._cold_completions += 1
        if self._cold_completions >= self.settings.completions_per_bearing:
            self._cold_completions = 0
            self.capacity += 1

    def _build_success_reply(self, request: Request) -> Reply:
        settings = self.settings
        hits = _hits.compute_hits(
            settings.shard,
            request.snapshot,
            request.query,
            settings.coverage_pct,
        )
        request_id, snapshot = request.request_id, request.snapshot
        if self._draw_with_probability(settings.crossed_pct):
            self.counters.crossed += 1
            request_id = self._last_request_id
        if self._draw_with_probability(settings.crossed_snapshot_pct):
            self.counters.crossed += 1
            snapshot += 1
        self._last_request_id = request.request_id
        return Reply(
            status=200,
            request_id=request_id,
            snapshot=snapshot,
            not_run=False,
            body=msgspec.json.encode({"hits": hits}),
            coverage_pct=settings.coverage_pct,
        )

    def _reply_to_aborted_request(
        self, request: Request, in_flight_request: _InFlightRequest
    ) -> Reply:
        """Returns the reply after a cancellation or at the deadline."""
        not_run = not in_flight_request.executed
        if in_flight_request.cancelled:
            self.counters.cancelled += 1
            return self._build_empty_reply(request, 499, not_run)
        if not_run:
            return self._shed_request(request, 503)
        self.counters.failed += 1
        return self._build_empty_reply(request, 504, not_run=False)

    def _shed_request(self, request: Request, status: int) -> Reply:
        self.counters.shed += 1
        return self._build_empty_reply(request, status, not_run=True)

    def _build_empty_reply(
        self, request: Request, status: int, not_run: bool
    ) -> Reply:
        return Reply(
            status=status,
            request_id=request.request_id,
            snapshot=request.snapshot,
            not_run=not_run,
            body=b"{}",
            coverage_pct=0.0,
        )


def _increment(counts: dict[str, int], key: str) -> None:
    counts[key] = counts.get(key, 0) + 1
