"""A site of usage reports on a virtual clock: store, API, network and nodes."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import json
from typing import Any

import result
import trio

from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import store
from geraniumstair import usage

# Start of the virtual clock in s since 1970: the start of a window.
START_S = 1_767_225_600.0
WINDOW_S = 5.0
DELAY_S = 10.0
LEASE_S = 3.0
# Time after which a change of the store reaches the mirrors.
SPREAD_S = 0.1
STORE_DELAY_S = 0.01
STORE_TIMEOUT_S = 1.5
_EXPIRY_CHECK_S = 0.05


def windows() -> usage.Windows:
    """Returns the windows of the site."""
    return usage.Windows(WINDOW_S, DELAY_S)


def true_time_s() -> float:
    """Returns the true time, in s since 1970."""
    return START_S + trio.current_time()


@dataclasses.dataclass(frozen=True)
class Item:
    """A key of the store with its plain revisions."""

    value: bytes
    created: int
    modified: int
    lease_id: int


class UsageStore:
    """A store with leases and generations, whose changes reach the mirrors.

    Attributes:
        items: The keys.
        leases: End of each lease.
        down: No call is executed.
        calls: Number of calls of all nodes.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._generation = 0
        self._revision = 100
        self._lease_ids = itertools.count(1)
        self._ttl_s: dict[int, float] = {}
        self._followers: list[Node] = []
        self.items: dict[str, Item] = {}
        self.leases: dict[int, float] = {}
        self.down = False
        self.calls = 0
        nursery.start_soon(self._expire_loop)

    def follow(self, node: "Node") -> None:
        """Sends all changes to the mirror of a node."""
        self._followers.append(node)
        node.mirror.replace(self._list_items(), self.position)

    def unfollow(self, node: "Node") -> None:
        """Stops sending changes to the mirror of a node."""
        self._followers.remove(node)

    @property
    def position(self) -> int:
        """The ordered revision of the store."""
        return store.order_revision(self._generation, self._revision)

    def _list_items(self) -> list[mirror.MirrorItem]:
        return [
            mirror.MirrorItem(key, item.value, self._order(item.modified))
            for key, item in self.items.items()
        ]

    def _order(self, revision: int) -> int:
        return store.order_revision(self._generation, revision)

    async def _expire_loop(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_CHECK_S)
            now_s = trio.current_time()
            for lease_id in [i for i, s in self.leases.items() if s <= now_s]:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        self.leases.pop(lease_id, None)
        keys = [k for k, i in self.items.items() if i.lease_id == lease_id]
        if keys:
            self.change({}, keys)

    def grant(self, ttl_s: float) -> int:
        """Creates a lease."""
        lease_id = next(self._lease_ids)
        self._ttl_s[lease_id] = ttl_s
        self.leases[lease_id] = trio.current_time() + ttl_s
        return lease_id

    def renew(self, lease_id: int) -> bool:
        """Renews a lease."""
        if lease_id not in self.leases:
            return False
        self.leases[lease_id] = trio.current_time() + self._ttl_s[lease_id]
        return True

    def change(
        self, puts: Mapping[str, tuple[bytes, int]], deletes: Sequence[str]
    ) -> None:
        """Writes and deletes keys at one revision."""
        self._revision += 1
        changed = []
        for key, (value, lease_id) in puts.items():
            known = self.items.get(key)
            created = known.created if known else self._revision
            self.items[key] = Item(value, created, self._revision, lease_id)
            changed.append(mirror.MirrorItem(key, value, self.position))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                changed.append(mirror.MirrorItem(key, None, self.position))
        self._nursery.start_soon(self._spread, changed, self.position)

    async def _spread(
        self, changed: list[mirror.MirrorItem], position: int
    ) -> None:
        await trio.sleep(SPREAD_S)
        for node in self._followers:
            node.mirror.apply(changed, position)

    def execute(self, transaction: store.Transaction) -> store.CommitOutcome:
        """Executes a transaction if its compares hold."""
        for compare in transaction.compares:
            generation, revision = store.split_revision(compare.expected)
            item = self.items.get(compare.key)
            found = item.modified if item else 0
            if found != revision or (
                revision and generation != self._generation
            ):
                return store.CommitOutcome(False, 0)
        if any(p.lease_id and p.lease_id not in self.leases
               for p in transaction.puts):  # fmt: skip
            return store.CommitOutcome(False, 0)
        self.change(
            {put.key: (put.value, put.lease_id) for put in transaction.puts},
            [delete.key for delete in transaction.deletes],
        )
        return store.CommitOutcome(True, self.position)

    def read(self, key: str) -> store.KeyValue | None:
        """Reads a key."""
        item = self.items.get(key)
        if item is None:
            return None
        return store.KeyValue(
            key,
            item.value,
            self._order(item.created),
            self._order(item.modified),
            item.lease_id,
        )

    def copy(self) -> Any:
        """Returns a copy from which the store can be restored."""
        return dict(self.items), dict(self.leases), self._revision

    def restore(self, copy: Any) -> None:
        """Restores the store from a copy."""
        self._generation += 1
        items, leases, self._revision = copy
        self.items, self.leases = dict(items), dict(leases)
        for node in self._followers:
            node.mirror.replace(self._list_items(), self.position)

    def find_record(self) -> Any:
        """Returns the recorded report as decoded JSON; None without one."""
        item = self.items.get(usage.RECORD_KEY)
        return json.loads(item.value) if item is not None else None


class StoreAccess:
    """One node's calls to the store.

    Attributes:
        cut: Calls are not executed and time out.
        commit_fault: Returns what happens to a transaction: `""`, `lost` (it is
            executed and its result is unknown) or a number of seconds after
            which it is executed, with unknown result.
        loses_renewal: Returns whether the answer to a renewal is lost.
        thawed: Not set while the node is frozen.
    """

    def __init__(self, usage_store: UsageStore, nursery: trio.Nursery) -> None:
        self._store = usage_store
        self._nursery = nursery
        self.cut = False
        self.commit_fault: Callable[[store.Transaction], str | float] = (
            lambda transaction: ""
        )
        self.loses_renewal: Callable[[], bool] = lambda: False
        self.thawed = trio.Event()
        self.thawed.set()

    async def _call(self, execute: Callable[[], Any]) -> Any:
        self._store.calls += 1
        await self.thawed.wait()
        if self._store.down:
            await trio.sleep(STORE_DELAY_S)
            return _fail(store.Effect.NONE)
        if self.cut:
            await trio.sleep(STORE_TIMEOUT_S)
            return _fail(store.Effect.UNKNOWN)
        await trio.sleep(STORE_DELAY_S / 2)
        outcome = execute()
        await trio.sleep(STORE_DELAY_S / 2)
        await self.thawed.wait()
        return result.Ok(outcome)

    async def get(self, key: str) -> Any:
        """Reads a key."""
        return await self._call(lambda: self._store.read(key))

    async def commit(self, transaction: store.Transaction) -> Any:
        """Executes a transaction."""
        fault = self.commit_fault(transaction)
        if isinstance(fault, float):
            self._nursery.start_soon(self._execute_late, transaction, fault)
            await trio.sleep(STORE_TIMEOUT_S)
            return _fail(store.Effect.UNKNOWN)
        outcome = await self._call(lambda: self._store.execute(transaction))
        return await self._lose_answer() if fault else outcome

    async def _lose_answer(self) -> Any:
        await trio.sleep(STORE_TIMEOUT_S)
        return _fail(store.Effect.UNKNOWN)

    async def _execute_late(
        self, transaction: store.Transaction, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        self._store.execute(transaction)

    async def grant_lease(self, ttl_s: int) -> Any:
        """Creates a lease."""
        return await self._call(lambda: self._store.grant(ttl_s))

    async def keep_alive(self, lease_id: int) -> Any:
        """Renews a lease."""
        outcome = await self._call(lambda: self._store.renew(lease_id))
        return await self._lose_answer() if self.loses_renewal() else outcome

    async def revoke_lease(self, lease_id: int) -> Any:
        """Ends a lease."""
        return await self._call(lambda: self._store.end_lease(lease_id))


def _fail(effect: store.Effect) -> Any:
    return result.Err(store.StoreFailure(effect, "failed"))


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
        self.access = StoreAccess(site.store, site.nursery)
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
        self.store = UsageStore(nursery)
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
        self.store.follow(node)
        self.nursery.start_soon(node.run)
        return node

    def _set_nodes(self, node: Node) -> None:
        names = {*self.nodes, *(f"n{i}" for i in range(len(self.nodes)))}
        infos = {name: forward.NodeInfo("a") for name in names}
        node.reports.set_nodes(infos, frozenset(names) - {node.node_id})

    def kill(self, node_id: str) -> None:
        """Kills the process of a node."""
        node = self.nodes.pop(node_id)
        self.store.unfollow(node)
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
