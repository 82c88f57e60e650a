"""Builders for tests of account keys and of the bound on their revocation."""

import collections
from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any
from unittest import mock

import result
import trio

from geraniumstair import accounts
from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair import store
from geraniumstair._generated import messages
from geraniumstair.gateway import _authentication
from geraniumstair.gateway import _key_revocation
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from tests import builders_gateway

CONFIGURATION_KEY = "configuration"
REVOKE_S = 5.0
# Time of a store call without a fault.
CALL_S = 0.004
# After this time a client of the store gives a call up.
CALL_TIMEOUT_S = 1.5


def directory(**keys: list[str]) -> accounts.AccountDirectory:
    """Returns accounts by name; `urgent` has priority 0."""
    return accounts.AccountDirectory(
        (
            accounts.Account(name, 0 if name == "urgent" else None),
            [key.encode() for key in account_keys],
        )
        for name, account_keys in keys.items()
    )


def table(
    routes: Iterable[routing.Route],
    known: accounts.AccountDirectory | None,
) -> routing.RouteTable:
    """Returns routes of a site with accounts."""
    return routing.RouteTable(1, routes, {}, routing.CallerLimits(), known)


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
        routes = table([builders_gateway.route()], directory(a=["k"]))
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
                limits or accounts.RevocationLimits(True, REVOKE_S),
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


def desired_state() -> gateway.DesiredState:
    """Returns the state of a node that decodes the platform's entries."""
    return gateway.DesiredState(
        _decoder.PlatformDecoder(),
        discovery.EndpointRegistry(lambda: 0.0),
        mock.Mock(),
        mock.Mock(),
    )


def configuration_item(
    version: int, generation: int = 1, **keys: list[str]
) -> mirror.MirrorItem:
    """Returns a version of the configuration with the keys of accounts."""
    tenants = [{"Name": n, "ApiKeys": ks} for n, ks in keys.items()]
    return dataclasses.replace(
        configuration(Version=version, Tenants=tenants),
        revision=store.order_revision(generation, version),
    )


def configuration(**fields: Any) -> mirror.MirrorItem:
    """Returns a configuration without routes, as an operator writes it."""
    value = {"Version": 1, "Routes": []} | fields
    encoded = json.dumps(value).encode()
    return mirror.MirrorItem(_decoder.CONFIG_KEY, encoded, 1)


def key_check(
    age_s: float,
) -> tuple[accounts.KeyCheck, mirror.Freshness]:
    """Returns a strict check of a node whose freshness has an age."""
    freshness = mirror.Freshness(lambda: 100.0)
    if math.isfinite(age_s):
        freshness.record(mirror.FreshnessSource.WATCH, 100.0 - age_s)
    limits = accounts.RevocationLimits(True, REVOKE_S)
    return accounts.KeyCheck(limits, freshness, lambda: True), freshness


def loaded_lifecycle(check: accounts.KeyCheck) -> gateway.Lifecycle:
    """Returns the lifecycle of a node that has loaded its configuration."""
    lifecycle = gateway.Lifecycle(6.0)
    lifecycle.loaded = True
    lifecycle.can_judge_keys = lambda: check.is_allowed
    return lifecycle


def dump_revocation(known: accounts.AccountDirectory) -> str:
    """Returns the dump of a node with accounts."""
    revocation = _key_revocation.KeyRevocation(
        accounts.RevocationLimits(True, REVOKE_S), lambda: 1.0
    )
    routes = table([], known)
    revocation.find_table = lambda: routes
    dump = observe.StateDump()
    dump.register("accounts", revocation.dump)
    return dump.render().decode()


class RecordingForwarder:
    """Records the forwarded request and answers it, or fails."""

    def __init__(self, error: Exception | None) -> None:
        self.request: forward.CallerRequest | None = None
        self._error = error

    async def forward(
        self, request: forward.CallerRequest, route: routing.Route
    ) -> forward.ForwardResult:
        """Returns an empty answer."""
        self.request = request
        if self._error is not None:
            raise self._error
        return forward.SingleResult(builders_gateway.endpoint_reply())


@dataclasses.dataclass
class Served:
    """What a caller and an endpoint got.

    Attributes:
        status: Status of the response.
        headers: Headers of the response.
        body: Body of the response.
        request: The forwarded request; None if there was none.
        sent: The encoded head that an endpoint gets; empty without a request.
        metrics: The metrics of accounts.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    request: forward.CallerRequest | None
    sent: bytes
    metrics: str


def serve(
    known: accounts.AccountDirectory | None,
    headers: Iterable[tuple[bytes, bytes]],
    *,
    path: bytes = b"/p/x",
    keyless: bool = False,
    age_s: float = 0.0,
    loaded: bool = True,
    error: Exception | None = None,
) -> Served:
    """Sends one request to a node.

    Args:
        known: The accounts; None if the configuration has none.
        headers: Headers besides those that each request has.
        path: Path of the request; the route has the prefix `/p/`.
        keyless: The route needs no key.
        age_s: Age of the node's freshness.
        loaded: The node has a configuration.
        error: What the forwarder raises.
    """
    routes = table([builders_gateway.route(keyless=keyless)], known)
    recorder = RecordingForwarder(error)
    registry = observe.MetricsRegistry()
    codec = _http.PlatformCodec()
    sent: list[Any] = []

    async def test(nursery: trio.Nursery) -> None:
        state = mock.Mock(table=routes if loaded else None)
        application = gateway.CallerApplication(
            state,
            recorder,  # type: ignore[arg-type]
            codec,
            gateway.Lifecycle(6.0),
            _authentication.Authenticator(
                codec, key_check(age_s)[0], accounts.AccountMetrics(registry)
            ),
        )
        pending = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive() -> Any:
            return pending.pop() if pending else await trio.sleep_forever()

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": path,
            "query_string": b"",
            "headers": [
                (b"host", b"h.example"),
                (b"x-attempt-id", b"q1"),
                *headers,
            ],
        }
        await application(scope, receive, send)

    builders_gateway.run_on_virtual_clock(test)
    request = recorder.request
    encoded = b""
    if request is not None:
        encoded = _http.PlatformDialect().prepare(request).encode("e1", 9.0)
    return Served(
        sent[0]["status"],
        dict(sent[0]["headers"]),
        sent[1]["body"],
        request,
        encoded,
        registry.render().decode(),
    )


class RecordingPartsServer:
    """A node that calls shards for others and records their requests.

    Attributes:
        requests: The decoded requests.
    """

    def __init__(self, known: accounts.AccountDirectory) -> None:
        self.requests: list[forward.CallerRequest] = []
        routes = table([builders_gateway.search_route(["s1"])], known)
        network = builders_gateway.FakeNetwork("n2", {})
        forward.PartsServer(
            network,  # type: ignore[arg-type]
            mock.Mock(table=routes),
            self,
            mock.Mock(stopping=False),
        )
        self._handlers = network.handlers

    async def gather(
        self, request: forward.CallerRequest, route: Any, shards: Any
    ) -> Any:
        """Records a request and refuses it."""
        self.requests.append(request)
        refusal = forward.Refused(
            forward.RefusalReason.NO_ENDPOINT, True, None, ""
        )
        return refusal, []

    async def handle(self, message: messages.PartsRequest) -> Any:
        """Handles the message of another node."""
        return await self._handlers[messages.PartsRequest]("n1", message)
