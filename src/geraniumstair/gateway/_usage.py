"""Assembles the parts of the usage reports on one node."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Any
from typing import Protocol

import trio

from geraniumstair import _struct
from geraniumstair import forward
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import usage
from geraniumstair._generated import messages

# Time in which the last message of a stopping node is written.
FLUSH_S = 0.05
# Interval of the time of day that a node sends to its neighbours.
TIME_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSettings:
    """Settings of the usage reports.

    Attributes:
        window_s: Length of a window.
        delay_s: Time after the end of a window at which its report is due.
        quiet_s: Time in which holders must not act in the order A, B, A.
        ttl_s: Time to live of the holder's lease.
    """

    window_s: float
    delay_s: float
    quiet_s: float
    ttl_s: int


class Network(Protocol):
    """The operations of the peer network that the reports use."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a stream is open and the peer answers on it."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageClocks:
    """Clocks of a node.

    Attributes:
        boot: Returns a time in s that counts suspensions and does not jump.
        wall: Returns the node's time of day, in s since 1970; None reads it.
    """

    boot: Callable[[], float] = usage.read_boot_clock_s
    wall: Callable[[], float] | None = None

    def build_site_clock(self) -> usage.SiteClock:
        """Returns a new site clock."""
        if self.wall is None:
            return usage.SiteClock(self.boot)
        return usage.SiteClock(self.boot, self.wall)


class UsageReports:
    """Counts this node's requests, and reports those of the site in turn.

    Args:
        node_id: This node.
        settings: The settings.
        network: Streams to peers.
        duty_store: The store.
        api: The platform's API.
        accounts_in_force: Returns whether the configuration holds accounts.
        is_stopping: Returns whether this node shuts down.
        registry: Registry of the metrics; None creates a separate one.
        clocks: Clocks of the node.

    Attributes:
        recorder: Counts requests.
    """

    def __init__(
        self,
        node_id: str,
        settings: UsageSettings,
        network: Network,
        duty_store: usage.DutyStore,
        api: usage.ReportApi,
        accounts_in_force: Callable[[], bool],
        is_stopping: Callable[[], bool],
        registry: observe.MetricsRegistry | None = None,
        clocks: UsageClocks | None = None,
    ) -> None:
        clocks = clocks or UsageClocks()
        self._node_id = node_id
        self._network = network
        self._is_active = accounts_in_force
        self._metrics = usage.UsageMetrics(registry)
        self._site_clock = clocks.build_site_clock()
        windows = usage.Windows(settings.window_s, settings.delay_s)
        self.recorder = usage.UsageCounter(windows, self._site_clock.now_s)
        self._sender = usage.TotalsSender(
            self.recorder, windows, random.getrandbits(62)
        )
        self._totals = usage.SiteTotals(windows)
        self._election = usage.Election(
            node_id, settings.ttl_s, settings.quiet_s, clocks.boot
        )
        self._holder = usage.DutyHolder(
            node_id,
            self._election,
            duty_store,
            settings.ttl_s,
            clocks.boot,
            lambda: accounts_in_force() and not is_stopping(),
        )
        self._queue = usage.ReportQueue(windows)
        self._reporter = usage.Reporter(
            self._queue,
            windows,
            self._totals,
            self._election,
            self._holder,
            duty_store,
            api,
            self._site_clock.now_s,
            clocks.boot,
            self._metrics,
        )
        self._metrics.register_gauges(
            lambda: self.recorder.counted, lambda: self._election.token > 0
        )
        self._neighbours: frozenset[str] | None = None
        # Neighbours that were connected at the last message with the time.
        self._timed: frozenset[str] = frozenset()
        network.register_handler(messages.SiteTime, self._on_time)
        network.register_handler(messages.UsageTotals, self._on_totals)

    def follow_mirror(self, local_mirror: mirror.Mirror) -> None:
        """Reads the holder and the record from the mirror, now and later."""
        self._mirror = local_mirror
        local_mirror.subscribe(self._on_items_changed)

    def set_nodes(
        self,
        nodes: Mapping[str, forward.NodeInfo],
        neighbours: frozenset[str],
    ) -> None:
        """Sets the nodes of the site and those to which this one gossips."""
        self._neighbours = neighbours
        # Every node keeps streams to these nodes, so totals reach them.
        by_zone = forward.select_inter_zone_nodes(nodes)
        self._election.set_candidates(
            [n for node_ids in by_zone.values() for n in node_ids]
        )

    async def run(self) -> None:
        """Counts and reports until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_loop)
            nursery.start_soon(self._holder.run)
            nursery.start_soon(self._reporter.run)

    async def flush(self) -> None:
        """Sends the last counts when the node has served its last request."""
        if self._is_active() and self._send_totals():
            await trio.sleep(FLUSH_S)

    async def _send_loop(self) -> None:
        time_due_s = trio.current_time()
        while True:
            self._site_clock.tick()
            if self._mirror.position:
                self._election.mark_loaded()
            if self._is_active():
                is_due = trio.current_time() >= time_due_s
                if is_due:
                    time_due_s = trio.current_time() + TIME_INTERVAL_S
                self._check_reach()
                self._send_time(to_all=is_due)
                self._send_totals()
            await trio.sleep(usage.SEND_INTERVAL_S)

    def _check_reach(self) -> None:
        """Finds out whether this node is cut off from the other candidates."""
        if self._election.needs_reach:
            self._election.set_reached(
                sum(
                    node_id == self._node_id
                    or self._network.is_responsive(node_id)
                    for node_id in self._election.candidates
                )
            )

    # ---- time of day ----

    def _send_time(self, *, to_all: bool) -> None:
        """Sends the time of day; to nodes that were just connected at once."""
        connected = self._network.connected_nodes()
        if self._neighbours is not None:
            connected &= self._neighbours
        for node_id in connected if to_all else connected - self._timed:
            self._network.send(node_id, self._build_time())
        self._timed = connected

    def _build_time(self) -> messages.SiteTime:
        return messages.SiteTime(time_ms=self._site_clock.read_own_s() * 1000)

    async def _on_time(self, sender: str, message: messages.SiteTime) -> None:
        is_first = self._site_clock.record(sender, message.time_ms / 1000)
        if is_first and self._is_active():
            # A node that has just started needs the time of others at once.
            self._network.send(sender, self._build_time())

    # ---- totals ----

    def _send_totals(self) -> bool:
        """Sends the totals that are due; returns whether there were any."""
        key = self._election.key
        term = key.revision if key is not None else 0
        self._sender.set_receivers(self._election.list_receivers(), term)
        due = self._sender.collect(
            self._site_clock.now_s(), self._queue.recorded_window
        )
        for node_id, message in due.items():
            if node_id == self._node_id:
                self._apply_totals(node_id, message)
                continue
            if self._network.send(node_id, message):
                self._metrics.totals.inc()
            if not self._network.is_responsive(node_id):
                # Sent again when the stream is open, or has been replaced.
                self._sender.mark_lost(node_id)
        return bool(due)

    async def _on_totals(
        self, sender: str, message: messages.UsageTotals
    ) -> None:
        self._apply_totals(sender, message)

    def _apply_totals(self, sender: str, message: messages.UsageTotals) -> None:
        now_s = self._site_clock.now_s()
        # A holder that started after a restore of the store knows no other
        # record than the stored one.
        self._queue.exclude_through(message.recorded_window, now_s)
        for row in message.windows:
            counts = dict(zip(row.accounts, row.counts, strict=False))
            self._totals.apply(
                usage.NodeTotals(
                    sender,
                    message.process_id,
                    message.sequence,
                    row.window,
                    counts,
                ),
                now_s,
            )

    # ---- holder and record ----

    def _on_items_changed(self, items: Sequence[mirror.MirrorItem]) -> None:
        for item in items:
            if item.key == usage.HOLDER_KEY:
                self._apply_holder(item)
            elif item.key == usage.RECORD_KEY and item.value is not None:
                report = usage.decode_report(item.value)
                if report is not None:
                    self._reporter.observe_record(report, item.revision)

    def _apply_holder(self, item: mirror.MirrorItem) -> None:
        key = None
        if item.value is not None:
            key = usage.decode_holder(item.value, item.revision)
        token = self._election.token
        reason = self._election.observe_key(key, item.revision)
        if reason:
            self._holder.log_loss(token, reason)

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        return {
            "active": self._is_active(),
            "duty": self._holder.dump(),
            "reports": self._reporter.dump(),
            "clock": self._site_clock.dump(),
            "counted_requests": self.recorder.counted,
        }


class NoUsageReports:
    """Stands for `UsageReports` where the settings do not name the duty."""

    recorder = None

    def follow_mirror(self, local_mirror: mirror.Mirror) -> None:
        """Does nothing."""

    def set_nodes(
        self,
        nodes: Mapping[str, forward.NodeInfo],
        neighbours: frozenset[str],
    ) -> None:
        """Does nothing."""

    async def run(self) -> None:
        """Returns at once."""

    async def flush(self) -> None:
        """Returns at once."""

    def dump(self) -> Mapping[str, Any]:
        """Returns the state for the state dump."""
        return {"active": False}


def build_usage_reports(
    node_id: str,
    settings: UsageSettings | None,
    network: Network,
    duty_store: usage.DutyStore,
    api: usage.ReportApi | None,
    accounts_in_force: Callable[[], bool],
    is_stopping: Callable[[], bool],
) -> UsageReports | NoUsageReports:
    """Returns the usage reports of a node; see `UsageReports`."""
    if settings is None or api is None:
        return NoUsageReports()
    return UsageReports(
        node_id,
        settings,
        network,
        duty_store,
        api,
        accounts_in_force,
        is_stopping,
        observe.process_metrics(),
    )
