"""Makes calls to one endpoint over this node's connections to it."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any
from typing import Protocol

import trio

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair.forward import _call
from geraniumstair.forward import _call_queue
from geraniumstair.forward import _end_check
from geraniumstair.forward import _health
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics
from geraniumstair.forward import _pace
from geraniumstair.forward import _statements

_LOG = logging.getLogger(__name__)
# Interval of connection attempts to an endpoint that can't be reached.
RECONNECT_INTERVAL_S = 0.3
# An abandoned call that still runs after this time is aborted: its connection
# is closed, which ends the work at the endpoint. Half a second is allowed. A
# call that has already lasted this long when it is abandoned is aborted at
# once, because it would keep a slot from calls that somebody waits for.
ABANDONED_LIMIT_S = 0.35


class Spawner(Protocol):
    """Starts background tasks."""

    def start_soon(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Starts a task."""


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
        health: How the endpoint fares.
        cold_until_s: When the endpoint's warm-up ends.
        address_reused: Another endpoint answered at the address. This instance
            has ended, whatever its registration still says.
        wishes: What the instance stated in its answers.
        rate_statement: The request rate limit that it states.
        pacing: Its pace after a start or a return.
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
        wishes: _statements.Wishes | None = None,
    ) -> None:
        self.entry = entry
        self.max_links = max_links
        self.keeps_links = True
        self.health = _health.Health()
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
        self._waiting = _call_queue.CallQueue()
        self._running: dict[_call.Call, _link.Link] = {}
        self._last_call_s = 0.0
        self._reconnecting = False
        self._closed = False
        self._end_check = _end_check.EndCheck(factory, self._deliver)
        self.address_reused = False
        self.wishes = wishes or _statements.Wishes()
        self.rate_statement = _statements.RateStatement()
        self.pacing = _pace.EndpointPacing()

    # ---- state for load balancing ----

    @property
    def load(self) -> int:
        """Calls of this node that run or are queued."""
        return len(self._running) + len(self._waiting)

    @property
    def link_count(self) -> int:
        """Connections that are open or being opened."""
        return len(self._links) + self._opening_count

    @property
    def accepts_calls(self) -> bool:
        """False if this instance ends, or has ended."""
        is_draining = self.entry.state is discovery.EndpointState.DRAINING
        return not (is_draining or self.wishes.leaving or self.address_reused)

    @property
    def rate_limit_per_s(self) -> float | None:
        """The request rate limit that it states; None without a limit."""
        return self.rate_statement.limit_per_s

    def expected_ms(self, now_s: float) -> float:
        """Returns the expected latency of a call."""
        return self.health.expected_ms(
            now_s, has_running_calls=bool(self._running)
        )

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether running calls show no progress of the endpoint."""
        if not self._running:
            return False
        oldest_s = min(call.sent_s for call in self._running)
        return self.health.is_stalled(now_s, oldest_s)

    def since_last_call_s(self, now_s: float) -> float:
        """Returns the time since the last call was submitted."""
        return now_s - self._last_call_s

    def retry_in_s(self, now_s: float) -> float:
        """Returns the time until a call may succeed that would fail now."""
        pause_s = max(0.0, self.wishes.paused_until_s - now_s)
        if self.health.is_down(now_s):
            probe_s = _health.PROBE_INTERVAL_S - self.since_last_call_s(now_s)
            return max(pause_s, probe_s)
        return max(pause_s, self.health.avoided_for_s(now_s))

    # ---- calls ----

    def submit(self, call: _call.Call) -> None:
        """Sends a call, now or as soon as a connection is free."""
        call.endpoint_id = self.entry.endpoint_id
        call.submitted_s = self._last_call_s = trio.current_time()
        self._waiting.push(call)
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
        if self.health.last_reply_s <= call.sent_s:
            self.health.record_result(failed=True)
            self._record_failure(now_s)
        call.aborted = True
        link.close()

    def close(self) -> None:
        """Sends no more calls; running calls may end."""
        self._closed = True
        for link in list(self._links):
            if link.call is None:
                link.close()
        self._waiting.reject_all("the endpoint was removed")

    def _dispatch(self) -> None:
        held: list[_call_queue.QueuedCall] = []
        while self._waiting:
            queued = self._waiting.pop()
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
            self._waiting.restore(queued)
        needed = self._waiting.count_pending()
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
                self.rate_statement.count_call()
                self._metrics.limited_calls.labels(call.cause.value).inc()
        else:
            # The connection was closed before the call was sent; another one
            # may work.
            self._waiting.push(call)

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
            self.health.end_avoidance()
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
            self._waiting.reject_all(f"cannot connect: {error}")
            if self.health.is_down(now_s) and not self._reconnecting:
                self._reconnecting = True
                self._spawner.start_soon(self._reconnect)

    async def _reconnect(self) -> None:
        """Tries to connect until the endpoint can be reached."""
        while self._reconnecting and not self._closed:
            await trio.sleep(RECONNECT_INTERVAL_S)
            self.preconnect()

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
            if self._end_check.add(call, reply):
                self._spawner.start_soon(self._run_link, self._check_end)
            return
        self._deliver(call, reply)

    async def _check_end(self) -> None:
        link = await self._end_check.run(self.entry)
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
            _statements.log_wish(
                self.entry, "an endpoint states that it shuts down"
            )
            self._waiting.reject_all("the endpoint shuts down")
        if reply.pause_s <= 0:
            return
        now_s = trio.current_time()
        if not self.wishes.is_paused(now_s):
            _statements.log_wish(
                self.entry,
                "an endpoint wants no requests for some time",
                reply.pause_s,
            )
        until_s = now_s + reply.pause_s
        self.wishes.paused_until_s = max(self.wishes.paused_until_s, until_s)
        self._waiting.reject_all("the endpoint wants no requests at present")

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
        self.rate_statement.observe(
            self.entry, limit_per_s, observed_s, trio.current_time()
        )

    # ---- outcomes of calls ----

    def _record_outcome(self, call: _call.Call, reply: _call.Reply) -> None:
        now_s = trio.current_time()
        self._count_version(call, reply, now_s)
        if call.aborted:
            return
        outcome = reply.outcome
        if outcome in (_call.Outcome.ANSWERED, _call.Outcome.FAILED):
            self.health.record_reply(now_s, (now_s - call.sent_s) * 1000)
        self.pacing.record(outcome, (now_s - call.sent_s) * 1000, now_s)
        failed = outcome is not _call.Outcome.ANSWERED
        self.health.record_result(failed=failed)
        if outcome is _call.Outcome.ANSWERED:
            self.health.end_avoidance()
        elif outcome is _call.Outcome.MISDIRECTED:
            self.address_reused = True
            self._waiting.reject_all("another endpoint has the address")
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
        self.health.record_failure(now_s)
        self.pacing.record_failure(now_s, is_down=self.health.is_down(now_s))

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        now_s = trio.current_time()
        return {
            "endpoint": self.entry.endpoint_id,
            "state": self.entry.state.value,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "connections": self.link_count,
            "latency_ms": round(self.health.latency_ms, 1),
            "failure_share": round(self.health.failure_share, 3),
            "avoided_for_s": round(self.health.avoided_for_s(now_s), 2),
            "paused": self.wishes.is_paused(now_s),
            "leaving": self.wishes.leaving,
            "stalled": self.is_stalled(now_s),
            "rate_limit_per_s": self.rate_limit_per_s,
            "pace": self.pacing.dump(now_s),
        }
