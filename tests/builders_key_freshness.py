"""Builders of sites with strict revocation, on a virtual clock."""

import collections
from collections.abc import Iterable
import math
from typing import Any

import result
import trio

from geraniumstair import accounts
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import store
from geraniumstair.gateway import _key_revocation
from tests import builders_accounts
from tests import builders_gateway

CONFIGURATION_KEY = "configuration"
# Time of a store call without a fault.
CALL_S = 0.004
# After this time a client of the store gives a call up.
CALL_TIMEOUT_S = 1.5


class Links:
    """Directed links between nodes that can hold messages up.

    Attributes:
        held: Pairs of sender and receiver whose messages wait.
    """

    def __init__(self) -> None:
        self.held: set[tuple[str, str]] = set()
        self._changed = trio.Event()

    def hold(self, node_id: str, peers: Iterable[str]) -> None:
        """Holds all messages between a node and some peers."""
        for peer in peers:
            self.held |= {(node_id, peer), (peer, node_id)}

    def release(self) -> None:
        """Delivers all messages."""
        self.held.clear()
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self, sender: str, receiver: str) -> None:
        """Waits while the link holds messages."""
        while (sender, receiver) in self.held:
            await self._changed.wait()


class HeldNetwork(builders_gateway.FakeNetwork):
    """Delivers messages late if their link holds them."""

    def __init__(self, node_id: str, nodes: Any, links: Links) -> None:
        super().__init__(node_id, nodes)
        self._links = links

    def send(self, node_id: str, message: Any) -> bool:
        """Delivers a one-way message once the link lets it through."""
        self.sent[node_id] += 1
        self.last_sent = message

        async def deliver() -> None:
            await self._links.wait(self.node_id, node_id)
            handler = self._nodes[node_id].handlers[type(message)]
            await handler(self.node_id, message)

        trio.lowlevel.spawn_system_task(deliver)
        return True

    async def call(self, node_id: str, request: Any, timeout_ms: float) -> Any:
        """Delivers a request and its reply, unless it takes too long."""
        with trio.move_on_after(timeout_ms / 1000):
            await self._links.wait(self.node_id, node_id)
            reply = await super().call(node_id, request, timeout_ms)
            await self._links.wait(node_id, self.node_id)
            return reply
        return result.Err("timeout")


class CountedStore(builders_gateway.FakeStore):
    """A store that knows when each configuration was confirmed.

    Attributes:
        calls: Calls by kind.
        confirmed: Times and versions of the configurations.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls: collections.Counter[str] = collections.Counter()
        self.confirmed: list[tuple[float, int]] = []

    def put_version(self, version: int) -> None:
        """Writes a version of the configuration."""
        self.put(CONFIGURATION_KEY, b"%d" % version)
        self.confirmed.append((trio.current_time(), version))

    def version_at(self, at_s: float) -> int:
        """Returns the version that was in the store at a time."""
        return max((v for s, v in self.confirmed if s <= at_s), default=0)


class NodeStore:
    """One node's calls to a `CountedStore`.

    Attributes:
        refusing: The calls are refused.
        refuses_watches: Only watches are refused.
        held: The store executes the calls, but the replies wait.
    """

    def __init__(self, source: CountedStore) -> None:
        self.refusing = False
        self.refuses_watches = False
        self.held = False
        self._source = source
        self._released = trio.Event()

    def release(self) -> None:
        """Delivers the replies that wait."""
        self.held = False
        self._released.set()
        self._released = trio.Event()

    async def _finish(self, reply: Any) -> Any:
        if self.held:
            with trio.move_on_after(CALL_TIMEOUT_S):
                await self._released.wait()
        if self.held or self.refusing or self._source.down:
            return result.Err(store.StoreFailure(store.Effect.UNKNOWN, "lost"))
        return reply

    async def read_all(self) -> Any:
        """Returns all items."""
        self._source.calls["range"] += 1
        await trio.sleep(CALL_S)
        return await self._finish(await self._source.read_all())

    async def wait_for_changes(self, after: int, wait_ms: int) -> Any:
        """Waits for changes."""
        self._source.calls["watch"] += 1
        await trio.sleep(CALL_S)
        if self.refusing or self.refuses_watches:
            return result.Err(store.StoreFailure(store.Effect.NONE, "no"))
        changes = await self._source.wait_for_changes(after, wait_ms)
        return await self._finish(changes)

    async def get(self, key: str) -> Any:
        """Reads a key."""
        self._source.calls["get"] += 1
        await trio.sleep(CALL_S)
        item = self._source.items.get(key)
        found = item and store.KeyValue(key, item[0], item[1], item[1])
        return await self._finish(result.Ok(found))


class Node:
    """One node with strict revocation.

    Attributes:
        mirror: Its mirror.
        store: Its access to the store.
        revocation: What bounds the time until revocation.
        network: Its network.
    """

    def __init__(
        self,
        node_id: str,
        source: CountedStore,
        network: HeldNetwork,
        limits: accounts.RevocationLimits,
    ) -> None:
        self.mirror = mirror.Mirror()
        self.store = NodeStore(source)
        self.network = network
        self.revocation = _key_revocation.KeyRevocation(
            limits, trio.current_time
        )
        routes = builders_accounts.table(
            [builders_gateway.route()], builders_accounts.directory(a=["k"])
        )
        self.revocation.find_table = lambda: routes
        self._source = source
        self.selection = mirror.WatcherSelection(node_id, trio.current_time)
        watcher = mirror.StoreWatcher(
            self.store,
            self.mirror,
            self.selection,
            freshness=self.revocation.freshness,
        )
        self.gossip = mirror.MirrorGossip(
            network,
            self.mirror,
            watcher,
            self.selection,
            exchange=self.revocation.exchange,
        )
        reader = self.revocation.build_reader(
            self.store, CONFIGURATION_KEY, self.mirror, watcher
        )
        self.tasks = (watcher.run, self.gossip.run, reader.run)

    @property
    def allowed(self) -> bool:
        """True if the node may judge keys."""
        return self.revocation.check.is_allowed

    def assert_truthful(self) -> None:
        """Fails if the node claims to know a version that it does not hold."""
        fresh_s = self.revocation.freshness.fresh_s
        if math.isinf(fresh_s):
            return
        item = self.mirror.get(CONFIGURATION_KEY)
        held = int(item.value) if item is not None else 0
        assert held >= self._source.version_at(fresh_s), (held, fresh_s)


class Site:
    """Nodes in one availability zone that share a store."""

    def __init__(
        self,
        nursery: trio.Nursery,
        count: int,
        limits: accounts.RevocationLimits | None = None,
    ) -> None:
        self.links = Links()
        self.store = CountedStore()
        self.store.put_version(1)
        names = [f"n{i}" for i in range(count)]
        networks: dict[str, builders_gateway.FakeNetwork] = {}
        self.nodes: dict[str, Node] = {}
        for name in names:
            node = Node(
                name,
                self.store,
                HeldNetwork(name, networks, self.links),
                limits
                or accounts.RevocationLimits(True, builders_accounts.REVOKE_S),
            )
            node.selection.set_members(frozenset(names))
            node.revocation.set_members(names)
            zones = dict.fromkeys(names, "z")
            node.gossip.set_neighbours(gateway.select_neighbours(name, zones))
            self.nodes[name] = node
            for task in node.tasks:
                nursery.start_soon(task)
        nursery.start_soon(self._check_loop)

    async def _check_loop(self) -> None:
        while True:
            await trio.sleep(0.01)
            for node in self.nodes.values():
                node.assert_truthful()

    def cut_off(self, name: str) -> Node:
        """Holds a node's messages and its replies of the store."""
        self.links.hold(name, self.nodes.keys() - {name})
        self.nodes[name].store.held = True
        return self.nodes[name]

    def reconnect(self) -> None:
        """Delivers all that was held up."""
        self.links.release()
        for node in self.nodes.values():
            node.store.release()

    @property
    def allowed(self) -> list[str]:
        """The nodes that may judge keys."""
        return [n for n, node in self.nodes.items() if node.allowed]
