"""A site of usage reports on a virtual clock: API, network and nodes."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
from typing import Any
import unittest

import trio

from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import usage
from tests import builders_gateway
from tests import builders_usage_store

# Start of the virtual clock in s since 1970: the start of a window.
START_S = 1_767_225_600.0
WINDOW_S = 5.0
FIRST_WINDOW = round(START_S / WINDOW_S)
DELAY_S = 10.0
LEASE_S = 3.0


def windows() -> usage.Windows:
    """Returns the windows of the site."""
    return usage.Windows(WINDOW_S, DELAY_S)


def true_time_s() -> float:
    """Returns the true time, in s since 1970."""
    return START_S + trio.current_time()


@dataclasses.dataclass(frozen=True)
class ApiCall:
    """A call that the API received, at a true time on the virtual clock."""

    time_s: float
    node_id: str
    token: int
    window: int
    counts: Mapping[str, int]


class ReportApi:
    """The platform's API; records what arrives.

    Attributes:
        calls: What arrived, also if the sender got no answer.
        outcomes: Outcomes of the next calls; `CONFIRMED` if empty.
        delay_s: Time until an answer.
    """

    def __init__(self) -> None:
        self.calls: list[ApiCall] = []
        self.outcomes: list[usage.ApiOutcome] = []
        self.down = False
        self.delay_s = 0.01

    def access(self, node_id: str, thawed: trio.Event) -> "ApiAccess":
        """Returns the API as one node calls it."""
        return ApiAccess(self, node_id, thawed)

    def reported(self) -> dict[int, Mapping[str, int]]:
        """Returns the counts by window."""
        return {call.window: call.counts for call in self.calls}


class ApiAccess:
    """One node's calls to the API."""

    def __init__(
        self, api: ReportApi, node_id: str, thawed: trio.Event
    ) -> None:
        self._api = api
        self._node_id = node_id
        self.thawed = thawed

    async def send_report(
        self, report: usage.Report, token: int, may_send: Callable[[], bool]
    ) -> usage.ApiOutcome:
        """Records a report as received."""
        await trio.sleep(0.002)
        await self.thawed.wait()
        if not may_send():
            return usage.ApiOutcome.NOT_SENT
        if self._api.down:
            await trio.sleep(0.5)
            return usage.ApiOutcome.FAILED
        outcomes = self._api.outcomes
        outcome = outcomes.pop(0) if outcomes else usage.ApiOutcome.CONFIRMED
        if outcome is not usage.ApiOutcome.THROTTLED:
            self._api.calls.append(
                ApiCall(
                    trio.current_time(),
                    self._node_id,
                    token,
                    report.window,
                    dict(report.counts),
                )
            )
        await trio.sleep(self._api.delay_s)
        return outcome


class Network:
    """Streams between the nodes of a site.

    Attributes:
        messages: Number of messages by type.
        losses: Number of the next messages that are lost.
        copies: Number of times that each message is delivered.
    """

    def __init__(self, site: "UsageSite", node_id: str) -> None:
        self._site = site
        self._node_id = node_id
        self.handlers: dict[type, Any] = {}
        self.cut = False

    def connected_nodes(self) -> frozenset[str]:
        """Returns the other nodes that live and are not cut off."""
        if self.cut:
            return frozenset()
        return frozenset(
            node_id
            for node_id, node in self._site.nodes.items()
            if node_id != self._node_id and not node.network.cut
        )

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a node lives and is not cut off."""
        return node_id in self.connected_nodes()

    def send(self, node_id: str, message: Any) -> bool:
        """Delivers a message later, unless it is lost."""
        if node_id not in self.connected_nodes():
            return False
        site = self._site
        site.messages[type(message).__name__] = (
            site.messages.get(type(message).__name__, 0) + 1
        )
        if site.is_lost(message):
            return True
        for _ in range(site.copies):
            site.nursery.start_soon(self._deliver, node_id, message)
        return True

    async def _deliver(self, node_id: str, message: Any) -> None:
        await trio.sleep(0.002)
        node = self._site.nodes.get(node_id)
        if node is not None:
            await node.access.thawed.wait()
            await node.network.handlers[type(message)](self._node_id, message)

    def register_handler(self, message_type: type, handler: Any) -> None:
        """Sets the handler of a message type."""
        self.handlers[message_type] = handler


class Node:
    """One process of a node.

    Attributes:
        clock_error_s: Error of the node's time of day.
        stopping: The node shuts down.
        scope: Cancelled when the process is killed.
    """

    def __init__(self, site: "UsageSite", node_id: str, error_s: float) -> None:
        self.node_id = node_id
        self.clock_error_s = error_s
        self.stopping = False
        self.mirror = mirror.Mirror()
        self.network = Network(site, node_id)
        self.access = builders_usage_store.StoreAccess(site.store, site.nursery)
        self.api = site.api.access(node_id, self.access.thawed)
        self.reports = gateway.UsageReports(
            node_id,
            gateway.UsageSettings(WINDOW_S, DELAY_S, LEASE_S, int(LEASE_S)),
            self.network,
            self.access,
            self.api,
            lambda: site.has_accounts,
            lambda: self.stopping,
            clocks=gateway.UsageClocks(trio.current_time, self._read_clock),
        )
        self.reports.follow_mirror(self.mirror)
        self.scope = trio.CancelScope()

    def _read_clock(self) -> float:
        return true_time_s() + self.clock_error_s

    async def run(self) -> None:
        """Runs until the process is killed."""
        with self.scope:
            await self.reports.run()


class UsageSite:
    """Several nodes that report together.

    Args:
        nursery: Runs the nodes.
        clock_errors_s: Error of each node's time of day.
    """

    def __init__(
        self, nursery: trio.Nursery, clock_errors_s: Sequence[float]
    ) -> None:
        self.nursery = nursery
        self.store = builders_usage_store.UsageStore(nursery)
        self.api = ReportApi()
        self.has_accounts = True
        # Nodes that get no requests. A killed node loses what it has not sent.
        self.idle_nodes: set[str] = set()
        self.messages: dict[str, int] = {}
        self.copies = 1
        self.is_lost: Callable[[Any], bool] = lambda message: False
        self.nodes: dict[str, Node] = {}
        self._counted: dict[int, dict[str, int]] = {}
        for index, error_s in enumerate(clock_errors_s):
            self.start(f"n{index}", error_s)

    def start(self, node_id: str, error_s: float = 0.0) -> Node:
        """Starts the process of a node."""
        node = self.nodes[node_id] = Node(self, node_id, error_s)
        for other in self.nodes.values():
            self._set_nodes(other)
        self.store.follow(node.mirror)
        self.nursery.start_soon(node.run)
        return node

    def _set_nodes(self, node: Node) -> None:
        names = {*self.nodes, *(f"n{i}" for i in range(len(self.nodes)))}
        infos = {name: forward.NodeInfo("a") for name in names}
        node.reports.set_nodes(infos, frozenset(names) - {node.node_id})

    def kill(self, node_id: str) -> None:
        """Kills the process of a node."""
        node = self.nodes.pop(node_id)
        self.store.unfollow(node.mirror)
        node.scope.cancel()

    def find_holder(self) -> Node:
        """Returns the node that the holder's key names."""
        item = self.store.items[usage.HOLDER_KEY]
        return self.nodes[json.loads(item.value)["node"]]

    def count(self, node_id: str, account: str, requests: int = 1) -> None:
        """Counts requests whose endpoints began to run them now."""
        window = windows().find_window(true_time_s())
        truth = self._counted.setdefault(window, {})
        truth[account] = truth.get(account, 0) + requests
        for _ in range(requests):
            self.nodes[node_id].reports.recorder.count(account, 0.0)

    async def run_load(self, duration_s: float) -> None:
        """Counts a request of each of two accounts on each node in 0.1 s."""
        end_s = trio.current_time() + duration_s
        while trio.current_time() < end_s - 0.05:
            for node_id in self.nodes.keys() - self.idle_nodes:
                self.count(node_id, "a")
                self.count(node_id, f"b-{node_id}")
            await trio.sleep(0.1)

    def truth(self, window: int) -> dict[str, int]:
        """Returns the requests that were counted in a window."""
        return self._counted.get(window, {})


def find_violations(calls: Sequence[ApiCall]) -> list[str]:
    """Returns how the calls that the API received break the promises."""
    found = []
    counts: dict[int, Mapping[str, int]] = {}
    holders: dict[int, str] = {}
    last_s: dict[str, float] = {}
    previous: ApiCall | None = None
    for call in calls:
        if counts.setdefault(call.window, call.counts) != call.counts:
            found.append(f"window {call.window} has two different reports")
        if holders.setdefault(call.token, call.node_id) != call.node_id:
            found.append(f"token {call.token} has two holders")
        if previous is not None:
            if call.token < previous.token:
                found.append(f"token {call.token} after {previous.token}")
            if call.window < previous.window:
                found.append(f"window {call.window} after {previous.window}")
            if (
                previous.node_id != call.node_id
                and call.time_s - last_s.get(call.node_id, -100.0) <= LEASE_S
            ):
                found.append(f"{call.node_id} acts again too soon")
        last_s[call.node_id] = call.time_s
        previous = call
    return found


def run_site(
    test: Callable[[UsageSite], Awaitable[None]],
    clock_errors_s: tuple[float, ...] = (0.0, 0.0, 0.0),
) -> UsageSite:
    """Runs a test on a site; returns the site."""
    sites = []

    async def run(nursery: trio.Nursery) -> None:
        sites.append(UsageSite(nursery, clock_errors_s))
        await test(sites[0])

    builders_gateway.run_on_virtual_clock(run)
    return sites[0]


async def wait_for(condition: Callable[[], object]) -> None:
    """Waits until a condition holds, for at most 60 s of virtual time."""
    with trio.fail_after(60):
        while not condition():
            await trio.sleep(0.01)


class UsageSiteTestCase(unittest.TestCase):
    """Checks what the API received, and what nodes counted."""

    def check_promises(self, site: UsageSite) -> None:
        """Checks what must hold in every failure."""
        self.assertEqual(find_violations(site.api.calls), [])

    def check_counts(self, site: UsageSite, first: int, last: int) -> None:
        """Checks windows that no failure may change, numbered from 0."""
        reported = site.api.reported()
        for number in range(first, last + 1):
            window = FIRST_WINDOW + number
            self.assertIn(window, reported, f"window {number}")
            truth = site.truth(window)
            self.assertEqual(reported[window].keys(), truth.keys())
            for account, count in truth.items():
                self.assertAlmostEqual(
                    reported[window][account], count, delta=0.05 * count
                )

    def check_due(self, site: UsageSite, first: int) -> None:
        """Checks that windows were reported within the delay."""
        for call in site.api.calls:
            if call.window >= FIRST_WINDOW + first:
                end_s = windows().end_s(call.window)
                late_s = START_S + call.time_s - end_s
                self.assertLess(late_s, DELAY_S)
