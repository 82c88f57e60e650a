"""One endpoint as this node sees it: connections, waiting calls, health."""

from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import itertools
import logging
from typing import Any
from typing import Protocol

import trio

from geraniumstair import discovery
from geraniumstair import verdict
from geraniumstair.forward import _call
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics

_LOG = logging.getLogger(__name__)
# Weight of a new sample in the moving averages.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
# First guess of the time of a call, before there is any sample.
INITIAL_LATENCY_MS = 30.0
# Without replies the average loses half of what exceeds the first guess in
# this time, so that an endpoint that was slow is tried again.
LATENCY_HALF_LIFE_S = 2.0
# A call that has lasted this many times the average, and this much longer,
# shows that its endpoint makes no progress.
STALLED_FACTOR = 2.5
STALLED_MARGIN_MS = 25.0
# An endpoint that failed is avoided for this time, twice as long each time.
AVOID_MIN_S = 0.2
AVOID_MAX_S = 3.0
# An endpoint is down once it has failed this often in a row and has given no
# reply for this time. Slow endpoints and paused ones reply sooner.
DOWN_FAILURES = 3
DOWN_SILENCE_S = 1.0
# One call in this time finds out whether an endpoint that is down is back,
# and one connection if it cannot be reached. Callers wait for such a call in
# vain while it is down; refused ones lose the time until the next call when it
# is back.
PROBE_EVERY_S = 0.5
RECONNECT_S = 0.3
# An abandoned call that still runs after this time gets its connection
# closed, which ends the work at the endpoint. Half a second is allowed. A call
# that has lasted as long when it is abandoned is ended at once: it would keep
# a slot from calls that somebody waits for.
ABANDONED_LIMIT_S = 0.35


class Spawner(Protocol):
    """Starts background tasks."""

    def start_soon(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Starts a task."""


class Replica:
    """Sends calls to one start of one endpoint.

    Args:
        entry: What the endpoint says of itself.
        max_links: Connections that this node may hold.
        factory: Opens connections.
        spawner: Runs the tasks of the connections.
        metrics: Where calls are counted.
        versions: Where answers are counted by version during a rollout.
        want_sweep: Called when `sweep` has something to do later.

    Attributes:
        entry: The newest entry of this start.
        max_links: Connections that this node may hold.
        latency_ms: Moving average of the time of a call.
        failure_share: Moving average of failed calls, 0 to 1.
        cold_until_s: When the endpoint has warmed up.
        replaced: Another endpoint answered at its address. This start of it
            has ended, whatever its entry still says.
    """

    def __init__(
        self,
        entry: discovery.EndpointEntry,
        max_links: int,
        factory: _link.LinkFactory,
        spawner: Spawner,
        metrics: _metrics.ForwardMetrics,
        versions: verdict.VersionBook,
        want_sweep: "Callable[[Replica], None]",
    ) -> None:
        self.entry = entry
        self.max_links = max_links
        self.latency_ms = INITIAL_LATENCY_MS
        self.failure_share = 0.0
        self.cold_until_s = 0.0
        self._factory = factory
        self._spawner = spawner
        self._metrics = metrics
        self._versions = versions
        self._want_sweep = want_sweep
        self._links: set[_link.Link] = set()
        self._free: list[_link.Link] = []
        self._opening = 0
        self._waiting: list[tuple[int, int, _call.Call]] = []
        self._order = itertools.count()
        self._running: dict[_call.Call, _link.Link] = {}
        self._avoid_until_s = 0.0
        self._failures_in_row = 0
        self._last_reply_s = 0.0
        self._submitted_s = 0.0
        self._reconnecting = False
        self._closed = False
        self.replaced = False

    # ---- state for the choice ----

    @property
    def load(self) -> int:
        """Calls of this node that run or wait."""
        return len(self._running) + len(self._waiting)

    @property
    def links(self) -> int:
        """Connections that are open or being opened."""
        return len(self._links) + self._opening

    def expected_ms(self, now_s: float) -> float:
        """Returns the expected time of a call."""
        excess_ms = self.latency_ms - INITIAL_LATENCY_MS
        if excess_ms <= 0 or self._running:
            return self.latency_ms
        idle_s = now_s - self._last_reply_s
        return INITIAL_LATENCY_MS + excess_ms * 0.5 ** (
            idle_s / LATENCY_HALF_LIFE_S
        )

    def is_stalled(self, now_s: float) -> bool:
        """True if a running call has lasted suspiciously long."""
        if not self._running:
            return False
        oldest_s = min(call.sent_s for call in self._running)
        # A reply after that call was sent shows progress.
        since_s = max(oldest_s, self._last_reply_s)
        limit_ms = STALLED_FACTOR * self.latency_ms + STALLED_MARGIN_MS
        return (now_s - since_s) * 1000 > limit_ms

    def is_avoided(self, now_s: float) -> bool:
        """True for a short time after a failure."""
        return now_s < self._avoid_until_s

    def avoided_for_s(self, now_s: float) -> float:
        """Returns how much longer the endpoint is avoided."""
        return max(0.0, self._avoid_until_s - now_s)

    def is_down(self, now_s: float) -> bool:
        """True if the next call would fail as the last ones did."""
        return (
            self._failures_in_row >= DOWN_FAILURES
            and now_s - self._last_reply_s >= DOWN_SILENCE_S
        )

    def since_submitted_s(self, now_s: float) -> float:
        """Returns the time since the last call."""
        return now_s - self._submitted_s

    def retry_in_s(self, now_s: float) -> float:
        """Returns when a call may succeed that would fail now."""
        if self.is_down(now_s):
            return max(0.0, PROBE_EVERY_S - self.since_submitted_s(now_s))
        return self.avoided_for_s(now_s)

    # ---- calls ----

    def submit(self, call: _call.Call) -> None:
        """Sends a call, now or as soon as a connection is free."""
        call.endpoint_id = self.entry.endpoint_id
        call.created_s = self._submitted_s = trio.current_time()
        heapq.heappush(self._waiting, (call.priority, next(self._order), call))
        self._dispatch()

    def abandon(self, call: _call.Call, now_s: float) -> None:
        """Nobody waits for the call's reply any more."""
        call.done = True
        call.abandoned_s = now_s
        self._want_sweep(self)

    def warm(self) -> None:
        """Opens a first connection ahead of the first call."""
        if not self.links and not self._closed:
            self._open_link()

    @property
    def needs_sweep(self) -> bool:
        """True while calls wait, or run although they were abandoned."""
        return bool(self._waiting) or any(c.done for c in self._running)

    def sweep(self, now_s: float) -> None:
        """Closes the connections of calls that were abandoned for long."""
        for call, link in list(self._running.items()):
            if not call.done:
                continue
            lasted_s = max(
                now_s - call.abandoned_s, call.abandoned_s - call.sent_s
            )
            if lasted_s >= ABANDONED_LIMIT_S:
                self._end_abandoned(call, link, now_s)
        if self._waiting:
            self._dispatch()

    def _end_abandoned(
        self, call: _call.Call, link: _link.Link, now_s: float
    ) -> None:
        # An endpoint that has answered others meanwhile is sound; the request
        # itself takes long.
        if self._last_reply_s <= call.sent_s:
            self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
            self._fail(now_s)
        call.ended = True
        link.close()

    def close(self) -> None:
        """Sends nothing more; running calls may end."""
        self._closed = True
        for link in list(self._links):
            if link.call is None:
                link.close()
        self._withdraw_waiting("the endpoint is gone")

    def _dispatch(self) -> None:
        while self._waiting:
            if self._waiting[0][2].done:
                heapq.heappop(self._waiting)
                continue
            link = self._take_free()
            if link is None:
                break
            self._send(link, heapq.heappop(self._waiting)[2])
        needed = sum(not entry[2].done for entry in self._waiting)
        while self._opening < needed and self.links < self.max_links:
            self._open_link()
        if self._waiting:
            self._want_sweep(self)

    def _take_free(self) -> _link.Link | None:
        while self._free:
            link = self._free.pop()
            if link.usable:
                return link
            if link.call is None:
                link.close()
        return None

    def _send(self, link: _link.Link, call: _call.Call) -> None:
        remaining_ms = (call.deadline_s - trio.current_time()) * 1000
        if remaining_ms < 1:
            self._free.append(link)
            call.finish(_call.Reply(_call.Outcome.NOT_SENT, "no time is left"))
            return
        data = call.prepared.encode(self.entry.endpoint_id, remaining_ms)
        if link.start(call, data):
            self._running[call] = link
        else:
            # The connection was closed meanwhile; the next one may work.
            heapq.heappush(
                self._waiting, (call.priority, next(self._order), call)
            )

    def _open_link(self) -> None:
        self._opening += 1
        self._spawner.start_soon(self._run_link)

    async def _run_link(self) -> None:
        try:
            await self._serve_link()
        except Exception:
            # A fault of one connection must not end the whole process.
            _LOG.exception(
                "forward: a connection to endpoint %s failed",
                self.entry.endpoint_id,
            )

    async def _serve_link(self) -> None:
        try:
            link = await self._factory.connect(self.entry)
        except OSError as error:
            self._opening -= 1
            self._connect_failed(error)
            return
        except BaseException:
            self._opening -= 1
            raise
        self._opening -= 1
        if self._reconnecting:
            # It can be reached again; the next call tells the rest.
            self._reconnecting = False
            self._failures_in_row = 0
            self._avoid_until_s = 0.0
        self._metrics.connections.labels("open").inc()
        self._links.add(link)
        self.link_free(link)
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
        self._fail(now_s)
        if not self._links and not self._opening:
            self._withdraw_waiting(f"no connection: {error}")
            if self.is_down(now_s) and not self._reconnecting:
                self._reconnecting = True
                self._spawner.start_soon(self._reconnect)

    async def _reconnect(self) -> None:
        """Tries to connect until the endpoint can be reached."""
        while self._reconnecting and not self._closed:
            await trio.sleep(RECONNECT_S)
            self.warm()

    def _withdraw_waiting(self, detail: str) -> None:
        waiting, self._waiting = self._waiting, []
        for _, _, call in waiting:
            call.finish(_call.Reply(_call.Outcome.NOT_SENT, detail))

    # ---- called by links ----

    def link_free(self, link: _link.Link) -> None:
        """The link can take a call."""
        if self._closed:
            link.close()
            return
        if link not in self._free:
            self._free.append(link)
        if self._waiting:
            self._dispatch()

    def link_closed(self, link: _link.Link) -> None:
        """The link is closed and carries nothing."""
        self._links.discard(link)
        if link in self._free:
            self._free.remove(link)
        if self._waiting and not self._closed:
            self._dispatch()

    def call_ended(self, call: _call.Call, reply: _call.Reply) -> None:
        """A call has ended, also one that nobody waits for."""
        self._running.pop(call, None)
        self._metrics.calls.labels(reply.outcome.value).inc()
        self._note(call, reply)
        call.finish(reply)

    # ---- health ----

    def _note(self, call: _call.Call, reply: _call.Reply) -> None:
        now_s = trio.current_time()
        self._count_version(call, reply, now_s)
        if call.ended:
            return
        outcome = reply.outcome
        if outcome in (_call.Outcome.ANSWERED, _call.Outcome.FAILED):
            self._last_reply_s = now_s
            took_ms = (now_s - call.sent_s) * 1000
            self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms)
        failed = outcome is not _call.Outcome.ANSWERED
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
        if outcome is _call.Outcome.ANSWERED:
            self._failures_in_row = 0
            self._avoid_until_s = 0.0
        elif outcome is _call.Outcome.MISDIRECTED:
            self.replaced = True
            self._withdraw_waiting("another endpoint has the address")
        elif outcome is not _call.Outcome.REJECTED and not call.done:
            self._fail(now_s)

    def _count_version(
        self, call: _call.Call, reply: _call.Reply, now_s: float
    ) -> None:
        # A cold endpoint is slow whatever its version.
        if reply.outcome.not_run or now_s < self.cold_until_s:
            return
        answer = None
        if reply.outcome is _call.Outcome.ANSWERED or call.ended:
            answer = verdict.Answer(
                self.entry.endpoint_id,
                (now_s - call.sent_s) * 1000,
                abandoned=call.ended,
            )
        self._versions.add(
            self.entry.service, self.entry.version, call.route, answer
        )

    def _fail(self, now_s: float) -> None:
        if self.is_avoided(now_s):
            return
        pause_s = min(AVOID_MIN_S * 2**self._failures_in_row, AVOID_MAX_S)
        self._failures_in_row = min(self._failures_in_row + 1, 10)
        self._avoid_until_s = now_s + pause_s

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        now_s = trio.current_time()
        return {
            "endpoint": self.entry.endpoint_id,
            "state": self.entry.state.value,
            "running": len(self._running),
            "waiting": len(self._waiting),
            "connections": self.links,
            "latency_ms": round(self.latency_ms, 1),
            "failure_share": round(self.failure_share, 3),
            "avoided_for_s": round(self.avoided_for_s(now_s), 2),
            "stalled": self.is_stalled(now_s),
        }
