"""One endpoint as this node sees it: connections, queued calls, health."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import logging
import math
from typing import Any
from typing import Protocol

import trio

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import observe
from geraniumstair.forward import _call
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics

_LOG = logging.getLogger(__name__)
# Weight of a new sample in the moving averages.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
# Latency that is assumed before the first sample.
INITIAL_LATENCY_MS = 30.0
# Without replies, the part of the average above the initial latency halves in
# this time, so that an endpoint that was slow is tried again.
LATENCY_HALF_LIFE_S = 2.0
# A call that has lasted this many times the average latency, plus the margin,
# shows that its endpoint makes no progress.
STALLED_FACTOR = 2.5
STALLED_MARGIN_MS = 25.0
# An endpoint that failed is avoided for this time, which doubles with each
# failure in a row.
AVOID_MIN_S = 0.2
AVOID_MAX_S = 3.0
# An endpoint is down after this many failures in a row, if it has also sent no
# reply for this time. Slow and paused endpoints reply sooner.
DOWN_FAILURES = 3
DOWN_SILENCE_S = 1.0
# Interval of calls that probe whether an endpoint that is down has recovered,
# and of connection attempts if it can't be reached. With a shorter interval,
# more callers wait in vain for such a call while the endpoint is down; with a
# longer one, callers are still refused after it has recovered.
PROBE_INTERVAL_S = 0.5
RECONNECT_INTERVAL_S = 0.3
# An abandoned call that still runs after this time is aborted: its connection
# is closed, which ends the work at the endpoint. Half a second is allowed. A
# call that has already lasted this long when it is abandoned is aborted at
# once, because it would keep a slot from calls that somebody waits for.
ABANDONED_LIMIT_S = 0.35
# Limit of the check whether an endpoint that closed connections still accepts
# new ones. One that has ended refuses them at once.
END_CHECK_TIMEOUT_S = 0.02
# Least time between two log lines about the value of an endpoint's limit.
LIMIT_LOG_INTERVAL_S = 1.0


class Spawner(Protocol):
    """Starts background tasks."""

    def start_soon(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Starts a task."""


@dataclasses.dataclass(slots=True)
class Wishes:
    """What an instance stated in its answers to this node.

    Attributes:
        leaving: It shuts down, whatever its registration still says.
        paused_until_s: Until when it wants no requests from this node.
    """

    leaving: bool = False
    paused_until_s: float = -math.inf


class Replica:
    """Sends calls to one instance of an endpoint.

    A restart of the endpoint is a new instance.

    Args:
        entry: Registration of the instance.
        max_links: Connections that this node may hold.
        factory: Opens connections.
        spawner: Starts the tasks of the connections.
        metrics: Counts calls and connections.
        versions: Counts answers by version during a rollout.
        schedule_sweep: Called when `sweep` will have work to do.
        on_limit_stated: Called with the earlier limit when an answer to this
            node states another one.
        wishes: What the instance stated before; None if nothing is known.

    Attributes:
        entry: The newest registration of the instance.
        max_links: Connections that this node may hold.
        keeps_links: Connections stay open while no call needs them.
        latency_ms: Moving average of the latency of a call.
        failure_share: Moving average of failed calls, 0 to 1.
        cold_until_s: When the endpoint's warm-up ends.
        address_reused: Another endpoint answered at the address. This instance
            has ended, whatever its registration still says.
        wishes: What the instance stated in its answers.
        rate_limit_per_s: Requests a second that the endpoint accepts from all
            nodes together, as its last answer states; None without a limit.
        limited_since_s: When this node first knew of a limit.
        limit_observed_s: When the answer arrived that shows the present limit,
            or that there is none.
    """

    def __init__(
        self,
        entry: discovery.EndpointEntry,
        max_links: int,
        factory: _link.LinkFactory,
        spawner: Spawner,
        metrics: _metrics.ForwardMetrics,
        versions: canary.VersionTracker,
        schedule_sweep: "Callable[[Replica], None]",
        on_limit_stated: "Callable[[Replica, float | None], None]",
        wishes: Wishes | None = None,
    ) -> None:
        self.entry = entry
        self.max_links = max_links
        self.keeps_links = True
        self.latency_ms = INITIAL_LATENCY_MS
        self.failure_share = 0.0
        self.cold_until_s = 0.0
        self._factory = factory
        self._spawner = spawner
        self._metrics = metrics
        self._versions = versions
        self._schedule_sweep = schedule_sweep
        self._on_limit_stated = on_limit_stated
        self._links: set[_link.Link] = set()
        self._free_links: list[_link.Link] = []
        self._opening_count = 0
        self._waiting: list[tuple[float, int, _call.Call]] = []
        self._submit_order = itertools.count()
        self._running: dict[_call.Call, _link.Link] = {}
        self._avoid_until_s = 0.0
        self._consecutive_failures = 0
        self._last_reply_s = 0.0
        self._last_call_s = 0.0
        self._reconnecting = False
        self._closed = False
        # Calls whose connections the endpoint closed, until it is known
        # whether it has ended.
        self._lost_calls: list[tuple[_call.Call, _call.Reply]] = []
        self.address_reused = False
        self.wishes = wishes or Wishes()
        self.rate_limit_per_s: float | None = None
        self.limited_since_s = 0.0
        self.limit_observed_s = -math.inf
        # For the log: when the limit was last logged, its value then, and the
        # calls since.
        self._limit_logged_at_s = -math.inf
        self._logged_limit_per_s: float | None = None
        self._limited_calls = 0

    # ---- state for load balancing ----

    @property
    def load(self) -> int:
        """Calls of this node that run or are queued."""
        return len(self._running) + len(self._waiting)

    @property
    def link_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._links) + self._opening_count

    def expected_ms(self, now_s: float) -> float:
        """Returns the expected latency of a call."""
        excess_ms = self.latency_ms - INITIAL_LATENCY_MS
        if excess_ms <= 0 or self._running:
            return self.latency_ms
        idle_s = now_s - self._last_reply_s
        return INITIAL_LATENCY_MS + excess_ms * 0.5 ** (
            idle_s / LATENCY_HALF_LIFE_S
        )

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether running calls show no progress of the endpoint."""
        if not self._running:
            return False
        oldest_s = min(call.sent_s for call in self._running)
        # A reply after that call was sent shows progress.
        since_s = max(oldest_s, self._last_reply_s)
        limit_ms = STALLED_FACTOR * self.latency_ms + STALLED_MARGIN_MS
        return (now_s - since_s) * 1000 > limit_ms

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether the endpoint is avoided after a recent failure."""
        return now_s < self._avoid_until_s

    def avoided_for_s(self, now_s: float) -> float:
        """Returns how much longer the endpoint is avoided."""
        return max(0.0, self._avoid_until_s - now_s)

    def is_paused(self, now_s: float) -> bool:
        """Returns whether the endpoint wants no requests from this node."""
        return now_s < self.wishes.paused_until_s

    def is_down(self, now_s: float) -> bool:
        """Returns whether the next call would fail as the last ones did."""
        return (
            self._consecutive_failures >= DOWN_FAILURES
            and now_s - self._last_reply_s >= DOWN_SILENCE_S
        )

    def since_last_call_s(self, now_s: float) -> float:
        """Returns the time since the last call was submitted."""
        return now_s - self._last_call_s

    def retry_in_s(self, now_s: float) -> float:
        """Returns the time until a call may succeed that would fail now."""
        pause_s = max(0.0, self.wishes.paused_until_s - now_s)
        if self.is_down(now_s):
            probe_s = PROBE_INTERVAL_S - self.since_last_call_s(now_s)
            return max(pause_s, probe_s)
        return max(pause_s, self.avoided_for_s(now_s))

    # ---- calls ----

    def submit(self, call: _call.Call) -> None:
        """Sends a call, now or as soon as a connection is free."""
        call.endpoint_id = self.entry.endpoint_id
        call.submitted_s = self._last_call_s = trio.current_time()
        heapq.heappush(
            self._waiting, (call.priority, next(self._submit_order), call)
        )
        self._dispatch()

    def abandon(self, call: _call.Call, now_s: float) -> None:
        """Marks a call whose reply nobody waits for any more."""
        call.done = True
        call.abandoned_s = now_s
        self._schedule_sweep(self)

    def preconnect(self) -> None:
        """Opens a first connection before a call needs it."""
        if not self.link_count and not self._closed:
            self._open_link()

    @property
    def needs_sweep(self) -> bool:
        """True while calls are queued, or run although they were abandoned."""
        return bool(self._waiting) or any(c.done for c in self._running)

    def sweep(self, now_s: float) -> None:
        """Aborts calls that were abandoned long ago; sends queued calls."""
        for call, link in list(self._running.items()):
            if not call.done:
                continue
            lasted_s = max(
                now_s - call.abandoned_s, call.abandoned_s - call.sent_s
            )
            if lasted_s >= ABANDONED_LIMIT_S:
                self._abort_abandoned(call, link, now_s)
        if self._waiting:
            self._dispatch()

    def _abort_abandoned(
        self, call: _call.Call, link: _link.Link, now_s: float
    ) -> None:
        # An endpoint that has answered other calls since this one was sent is
        # healthy; the request itself takes long.
        if self._last_reply_s <= call.sent_s:
            self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
            self._record_failure(now_s)
        call.aborted = True
        link.close()

    def close(self) -> None:
        """Sends no more calls; running calls may end."""
        self._closed = True
        for link in list(self._links):
            if link.call is None:
                link.close()
        self._reject_waiting("the endpoint was removed")

    def _dispatch(self) -> None:
        held: list[tuple[float, int, _call.Call]] = []
        while self._waiting:
            queued = heapq.heappop(self._waiting)
            call = queued[2]
            if call.done:
                continue
            link = self._pop_free_link(call)
            if link is not None:
                self._send(link, call)
                continue
            held.append(queued)
            if not self._free_links:
                break
        for queued in held:
            heapq.heappush(self._waiting, queued)
        needed = sum(not queued[2].done for queued in self._waiting)
        if self._opening_count < needed:
            self._make_room()
        while self._opening_count < needed and self.link_count < self.max_links:
            self._open_link()
        if self._waiting:
            self._schedule_sweep(self)

    def _pop_free_link(self, call: _call.Call) -> _link.Link | None:
        """Returns a link that the call may use; closes unusable ones."""
        for index in range(len(self._free_links) - 1, -1, -1):
            link = self._free_links[index]
            if not link.usable:
                del self._free_links[index]
                if link.call is None:
                    link.close()
            elif not link.has_answered(call.prepared.request_id):
                return self._free_links.pop(index)
        return None

    def _make_room(self) -> None:
        """Closes a free link that no queued call may use, if none can open."""
        if self._free_links and self.link_count >= self.max_links:
            link = self._free_links.pop(0)
            self._links.discard(link)
            link.close()

    def _send(self, link: _link.Link, call: _call.Call) -> None:
        remaining_ms = (call.deadline_s - trio.current_time()) * 1000
        if remaining_ms < 1:
            self._free_links.append(link)
            call.finish(
                _call.Reply(
                    _call.Outcome.NOT_SENT,
                    "less than 1 ms is left until the deadline",
                )
            )
            return
        data = call.prepared.encode(self.entry.endpoint_id, remaining_ms)
        if link.start(call, data):
            self._running[call] = link
            if self.rate_limit_per_s is not None:
                self._limited_calls += 1
                self._metrics.limited_calls.labels(call.cause.value).inc()
        else:
            # The connection was closed before the call was sent; another one
            # may work.
            heapq.heappush(
                self._waiting, (call.priority, next(self._submit_order), call)
            )

    def _open_link(self) -> None:
        self._opening_count += 1
        self._spawner.start_soon(self._run_link, self._serve_link)

    async def _run_link(self, serve: Callable[[], Awaitable[None]]) -> None:
        try:
            await serve()
        except Exception:
            # An error on one connection must not end the whole process.
            _LOG.exception(
                "forward: a connection to endpoint %s failed",
                self.entry.endpoint_id,
            )

    async def _serve_link(self) -> None:
        try:
            link = await self._factory.connect(self.entry)
        except OSError as error:
            self._opening_count -= 1
            self._connect_failed(error)
            return
        except BaseException:
            self._opening_count -= 1
            raise
        self._opening_count -= 1
        if self._reconnecting:
            # The endpoint accepts connections again; the next call shows
            # whether it answers.
            self._reconnecting = False
            self._consecutive_failures = 0
            self._avoid_until_s = 0.0
        await self._run_open_link(link)

    async def _run_open_link(self, link: _link.Link) -> None:
        self._metrics.connections.labels("open").inc()
        self._links.add(link)
        self.on_link_free(link)
        await link.run(self)

    def _connect_failed(self, error: OSError) -> None:
        self._metrics.connections.labels("failed").inc()
        _LOG.info(
            "forward: cannot connect to endpoint %s of %s: %s",
            self.entry.endpoint_id,
            self.entry.service,
            error,
        )
        now_s = trio.current_time()
        self._record_failure(now_s)
        if not self._links and not self._opening_count:
            self._reject_waiting(f"cannot connect: {error}")
            if self.is_down(now_s) and not self._reconnecting:
                self._reconnecting = True
                self._spawner.start_soon(self._reconnect)

    async def _reconnect(self) -> None:
        """Tries to connect until the endpoint can be reached."""
        while self._reconnecting and not self._closed:
            await trio.sleep(RECONNECT_INTERVAL_S)
            self.preconnect()

    def _reject_waiting(self, detail: str) -> None:
        waiting, self._waiting = self._waiting, []
        for _, _, call in waiting:
            call.finish(_call.Reply(_call.Outcome.NOT_SENT, detail))

    # ---- called by links ----

    def on_link_free(self, link: _link.Link) -> None:
        """Sends a queued call over a link, or keeps the link for later."""
        if self._closed:
            link.close()
            return
        if link not in self._free_links:
            self._free_links.append(link)
        if self._waiting:
            self._dispatch()
        if not self.keeps_links and link.call is None:
            link.close()

    def on_link_closed(self, link: _link.Link) -> None:
        """Removes a closed link, and opens another one if calls are queued."""
        self._links.discard(link)
        if link in self._free_links:
            self._free_links.remove(link)
        if self._waiting and not self._closed:
            self._dispatch()

    def on_call_ended(self, call: _call.Call, reply: _call.Reply) -> None:
        """Records the outcome of a call, and delivers its reply."""
        self._running.pop(call, None)
        if reply.connection_lost and not call.done:
            self._lost_calls.append((call, reply))
            if len(self._lost_calls) == 1:
                self._spawner.start_soon(self._run_link, self._check_end)
            return
        self._deliver(call, reply)

    async def _check_end(self) -> None:
        """Finds out whether the endpoint has ended or only closed connections.

        The calls that it lost wait for this: a request that ends each endpoint
        must not be repeated, but one whose answer was lost may be.
        """
        link: _link.Link | None = None
        ended = False
        try:
            with trio.move_on_after(END_CHECK_TIMEOUT_S):
                link = await self._factory.connect(self.entry)
        except ConnectionRefusedError:
            ended = True
        except OSError as error:
            _LOG.info(
                "forward: cannot connect again to endpoint %s of %s: %s",
                self.entry.endpoint_id,
                self.entry.service,
                error,
            )
        finally:
            lost_calls, self._lost_calls = self._lost_calls, []
            started_ms = self.entry.started_ms
            for call, reply in lost_calls:
                call.instance_name = f"{call.endpoint_id}@{started_ms}"
                self._deliver(
                    call, dataclasses.replace(reply, endpoint_ended=ended)
                )
        if link is not None:
            await self._run_open_link(link)

    def _deliver(self, call: _call.Call, reply: _call.Reply) -> None:
        self._metrics.calls.labels(reply.outcome.value).inc()
        self._record_rate_limit(reply)
        self._record_wishes(reply)
        self._record_outcome(call, reply)
        call.finish(reply)

    def _record_wishes(self, reply: _call.Reply) -> None:
        """Stops using an endpoint that shuts down or asks for a pause."""
        if reply.leaving and not self.wishes.leaving:
            self.wishes.leaving = True
            self._log_wish("an endpoint states that it shuts down")
            self._reject_waiting("the endpoint shuts down")
        if reply.pause_s <= 0:
            return
        now_s = trio.current_time()
        if not self.is_paused(now_s):
            self._log_wish("an endpoint wants no requests for some time", reply)
        until_s = now_s + reply.pause_s
        self.wishes.paused_until_s = max(self.wishes.paused_until_s, until_s)
        self._reject_waiting("the endpoint wants no requests at present")

    def _log_wish(self, message: str, reply: _call.Reply | None = None) -> None:
        _LOG.info(
            "forward: %s",
            message,
            extra=observe.fields(
                endpoint=self.entry.endpoint_id,
                service=self.entry.service,
                state=self.entry.state.value,
                pause_s=reply.pause_s if reply is not None else None,
            ),
        )

    def _record_rate_limit(self, reply: _call.Reply) -> None:
        limit_per_s = reply.rate_limit_per_s
        # A failure or a refusal without a limit does not end it.
        if limit_per_s is None and reply.outcome is not _call.Outcome.ANSWERED:
            return
        earlier_per_s = self.rate_limit_per_s
        self.observe_rate_limit(limit_per_s, trio.current_time())
        if limit_per_s != earlier_per_s:
            self._on_limit_stated(self, earlier_per_s)

    def observe_rate_limit(
        self, limit_per_s: float | None, observed_s: float
    ) -> None:
        """Applies the limit of an answer, unless a newer answer is known.

        Args:
            limit_per_s: What the endpoint stated to this node or another one;
                None for an answer without a limit.
            observed_s: When that node got the answer, on the monotonic clock.
        """
        if observed_s < self.limit_observed_s:
            return
        self.limit_observed_s = observed_s
        if limit_per_s == self.rate_limit_per_s:
            return
        now_s = trio.current_time()
        began_or_ended = None in (limit_per_s, self.rate_limit_per_s)
        if self.rate_limit_per_s is None:
            self.limited_since_s = now_s
        self.rate_limit_per_s = limit_per_s
        # An endpoint may state another value in each answer.
        if (
            began_or_ended
            or now_s >= self._limit_logged_at_s + LIMIT_LOG_INTERVAL_S
        ):
            self._log_rate_limit(now_s)

    def _log_rate_limit(self, now_s: float) -> None:
        _LOG.info(
            "forward: an endpoint changed its request rate limit",
            extra=observe.fields(
                endpoint=self.entry.endpoint_id,
                service=self.entry.service,
                limit_per_s=self.rate_limit_per_s,
                earlier_limit_per_s=self._logged_limit_per_s,
                calls_at_earlier_limit=self._limited_calls,
            ),
        )
        self._limit_logged_at_s = now_s
        self._logged_limit_per_s = self.rate_limit_per_s
        self._limited_calls = 0

    # ---- health ----

    def _record_outcome(self, call: _call.Call, reply: _call.Reply) -> None:
        now_s = trio.current_time()
        self._count_version(call, reply, now_s)
        if call.aborted:
            return
        outcome = reply.outcome
        if outcome in (_call.Outcome.ANSWERED, _call.Outcome.FAILED):
            self._last_reply_s = now_s
            took_ms = (now_s - call.sent_s) * 1000
            self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms)
        failed = outcome is not _call.Outcome.ANSWERED
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
        if outcome is _call.Outcome.ANSWERED:
            self._consecutive_failures = 0
            self._avoid_until_s = 0.0
        elif outcome is _call.Outcome.MISDIRECTED:
            self.address_reused = True
            self._reject_waiting("another endpoint has the address")
        elif outcome is not _call.Outcome.REJECTED and not call.done:
            self._record_failure(now_s)

    def _count_version(
        self, call: _call.Call, reply: _call.Reply, now_s: float
    ) -> None:
        # A cold endpoint is slow whatever its version.
        if reply.outcome.not_run or now_s < self.cold_until_s:
            return
        answer = None
        if reply.outcome is _call.Outcome.ANSWERED or call.aborted:
            answer = canary.Answer(
                self.entry.endpoint_id,
                (now_s - call.sent_s) * 1000,
                abandoned=call.aborted,
            )
        self._versions.record_result(
            self.entry.service, self.entry.version, call.route, answer
        )

    def _record_failure(self, now_s: float) -> None:
        if self.is_avoided(now_s):
            return
        avoid_s = min(AVOID_MIN_S * 2**self._consecutive_failures, AVOID_MAX_S)
        self._consecutive_failures = min(self._consecutive_failures + 1, 10)
        self._avoid_until_s = now_s + avoid_s

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        now_s = trio.current_time()
        return {
            "endpoint": self.entry.endpoint_id,
            "state": self.entry.state.value,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "connections": self.link_count,
            "latency_ms": round(self.latency_ms, 1),
            "failure_share": round(self.failure_share, 3),
            "avoided_for_s": round(self.avoided_for_s(now_s), 2),
            "paused": self.is_paused(now_s),
            "leaving": self.wishes.leaving,
            "stalled": self.is_stalled(now_s),
            "rate_limit_per_s": self.rate_limit_per_s,
        }
