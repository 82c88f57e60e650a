"""Builders of routes, endpoints, calls and fakes for tests of the gateway."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import json
import random
from typing import Any

import result
import trio
import trio.testing

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import endpoint_http
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair import store
from geraniumstair._generated import messages

ANSWERED = forward.Outcome.ANSWERED


def run_on_virtual_clock(
    test: Callable[[trio.Nursery], Awaitable[None]],
) -> None:
    """Runs a test with a nursery, for at most 600 s of virtual time."""

    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


def endpoint_entry(
    endpoint_id: str = "e1", **changes: Any
) -> discovery.EndpointEntry:
    """Returns a ready endpoint in availability zone `a`."""
    fields = {
        "endpoint_id": endpoint_id,
        "started_ms": 1,
        "service": "s1",
        "address": "10.0.0.1",
        "port": 80,
        "availability_zone": "a",
        "version": "v1",
        "slots": 2,
        "state": discovery.EndpointState.READY,
    }
    return discovery.EndpointEntry(**(fields | changes))


def route(**changes: Any) -> routing.Route:
    """Returns a plain route to service `s1`."""
    fields = {
        "name": "r1",
        "host": "h.example",
        "prefix": "/p/",
        "idempotent": True,
        "max_attempts": 2,
        "timeout_ms": 1000.0,
        "latency_goal_ms": 200.0,
        "priority": 1,
        "parts": (routing.SplitPart("s1", 1.0),),
    }
    return routing.Route(**(fields | changes))


def split_part(service: str, weight: float = 1.0) -> routing.SplitPart:
    """Returns a part of a route's split."""
    return routing.SplitPart(service, weight)


def search_route(shards: Sequence[str], **changes: Any) -> routing.Route:
    """Returns a route that asks all shards."""
    fields = {
        "parts": (),
        "shards": tuple(shards),
        "top_k": 3,
        "min_coverage": 0.5,
    }
    return route(**(fields | changes))


def table(
    routes: Sequence[routing.Route], version: int = 1, **limits: Any
) -> routing.RouteTable:
    """Returns a table in which every service has the same limits."""
    services = {name for r in routes for name in r.services}
    shared = routing.ServiceLimits(**({"max_connections": 20} | limits))
    return routing.RouteTable(
        version,
        routes,
        dict.fromkeys(services, shared),
        routing.CallerLimits(),
    )


def caller_request(**changes: Any) -> forward.CallerRequest:
    """Returns a request that was received just now."""
    fields = {
        "request_id": b"q1",
        "method": b"GET",
        "target": b"/p/x",
        "host": "h.example",
        "path": "/p/x",
        "fields": [],
        "body": b"",
        "has_body": False,
        "remaining_ms": 1000.0,
    } | changes
    if "received_s" not in fields:
        fields["received_s"] = trio.current_time()
    return forward.CallerRequest(**fields)


def endpoint_reply(
    body: bytes = b"", signature: bytes = b"sig"
) -> forward.Reply:
    """Returns a signed, successful answer of an endpoint."""
    return forward.Reply(ANSWERED, "", 200, [], body, signature)


@dataclasses.dataclass
class Prepared:
    """A prepared request with placeholder bytes."""

    request_id: bytes

    def encode(self, endpoint_id: str, remaining_ms: float) -> bytes:
        """Returns the endpoint's id and the remaining time as text."""
        return f"{endpoint_id} {remaining_ms:.0f}".encode()


class FakeDialect:
    """Prepares requests; responses of fake links need no classification."""

    def prepare(
        self, request: forward.CallerRequest
    ) -> forward.PreparedRequest:
        """Returns a prepared request."""
        return Prepared(request.request_id)

    def classify(
        self, response: endpoint_http.Response, request_id: bytes
    ) -> forward.Reply | None:
        """Is not called."""
        raise AssertionError

    def idle_limit_s(self, response: endpoint_http.Response) -> float | None:
        """Is not called."""
        raise AssertionError


@dataclasses.dataclass
class Behaviour:
    """How an endpoint processes its calls.

    Attributes:
        delay_s: Time until the reply.
        reply: The reply; None for silence.
        connects: Connections succeed.
        connect_s: Time until a connection is open.
    """

    delay_s: float = 0.01
    reply: forward.Reply | None = dataclasses.field(
        default_factory=lambda: endpoint_reply(signature=b"")
    )
    connects: bool = True
    connect_s: float = 0.0

    async def work(self, closed: trio.Event) -> bool:
        """Processes a call; False if its connection closed before the end."""
        with trio.move_on_after(self.delay_s):
            await closed.wait()
            return False
        return True


class QueueingBehaviour(Behaviour):
    """An endpoint that processes a few calls at once and queues the others.

    It cancels a call whose connection closes, as most endpoints do.

    Args:
        slots: Number of calls that it processes at once.
        work_s: Returns the processing time of the next call, in s.
    """

    def __init__(self, slots: int, work_s: Callable[[], float]) -> None:
        super().__init__()
        self._slots = trio.CapacityLimiter(slots)
        self._work_s = work_s

    async def work(self, closed: trio.Event) -> bool:
        """Processes a call as soon as a slot is free."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_after, closed, nursery.cancel_scope)
            async with self._slots:
                await trio.sleep(self._work_s())
            nursery.cancel_scope.cancel()
        return not closed.is_set()


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


class FakeLink:
    """A link whose replies come from its endpoint's behaviour."""

    def __init__(self, site: "FakeSite", endpoint_id: str) -> None:
        self.call: forward.Call | None = None
        self.closed = False
        self._site = site
        self._endpoint_id = endpoint_id
        self._wake = trio.Event()
        self._lost = False
        self._answered_requests: set[bytes] = set()

    @property
    def usable(self) -> bool:
        """True if a call can be sent now."""
        return not self.closed and self.call is None

    def has_answered(self, request_id: bytes) -> bool:
        """Returns whether an answer to this request was sent."""
        return request_id in self._answered_requests

    def start(self, call: forward.Call, data: bytes) -> bool:
        """Accepts a call and records it."""
        self.call = call
        call.sent = True
        call.sent_s = trio.current_time()
        self._site.sent.append((self._endpoint_id, call, data))
        self._wake.set()
        return True

    def close(self) -> None:
        """Closes the link."""
        self.closed = True
        self._wake.set()

    def reset(self) -> None:
        """Closes the link as its endpoint does."""
        self._lost = not self.closed
        self.close()

    async def run(self, owner: Any) -> None:
        """Replies to each call after the endpoint's delay."""
        while not self.closed:
            await self._wake.wait()
            self._wake = trio.Event()
            if self.call is not None and not self.closed:
                await self._reply(owner)
        call, self.call = self.call, None
        if call is not None:
            lost = forward.Reply(
                forward.Outcome.LOST, "closed", connection_lost=self._lost
            )
            owner.on_call_ended(call, lost)
        owner.on_link_closed(self)

    async def _reply(self, owner: Any) -> None:
        behaviour = self._site.behaviour(self._endpoint_id)
        if not await behaviour.work(self._wake):
            return
        assert self.call is not None
        if self.call.prepared.request_id in self._site.crashing_ids:
            self._site.crash(self._endpoint_id)
            return
        if behaviour.reply is None:
            await self._wake.wait()
            return
        call, self.call = self.call, None
        reply = behaviour.reply
        if reply.outcome is ANSWERED and not reply.signature:
            signature = self._endpoint_id.encode()
            reply = dataclasses.replace(reply, signature=signature)
        assert call is not None
        self._answered_requests.add(call.prepared.request_id)
        owner.on_call_ended(call, reply)
        owner.on_link_free(self)


class FakeSite:
    """Endpoints with configurable behaviour, and the factory of links."""

    def __init__(self) -> None:
        self.behaviours: dict[str, Behaviour] = {}
        self.sent: list[tuple[str, forward.Call, bytes]] = []
        self.connections = 0
        self.links: list[FakeLink] = []
        # Requests that end each endpoint that runs them.
        self.crashing_ids: set[bytes] = set()
        self.crashed: list[str] = []

    def crash(self, endpoint_id: str) -> None:
        """Ends an endpoint; its connections are reset, new ones refused."""
        self.crashed.append(endpoint_id)
        self.behaviour(endpoint_id).connects = False
        for link in self.links:
            if link._endpoint_id == endpoint_id:
                link.reset()

    def behaviour(self, endpoint_id: str) -> Behaviour:
        """Returns the behaviour of an endpoint."""
        return self.behaviours.setdefault(endpoint_id, Behaviour())

    def sent_to(self) -> list[str]:
        """Returns the endpoints of all calls, in order."""
        return [endpoint_id for endpoint_id, _, _ in self.sent]

    async def connect(self, entry: discovery.EndpointEntry) -> FakeLink:
        """Opens a link."""
        if not self.behaviour(entry.endpoint_id).connects:
            raise ConnectionRefusedError("refused")
        await trio.sleep(self.behaviour(entry.endpoint_id).connect_s)
        self.connections += 1
        link = FakeLink(self, entry.endpoint_id)
        self.links.append(link)
        return link


class ForwarderFixture:
    """A forwarder over a fake site.

    Args:
        nursery: Runs the links.
        entries: The endpoints.
        routes: The routes.
        budget: Limits of retries and hedged requests.
        limits: Limits of every service.
        members: Nodes of the site besides this one.
        node_id: This node.
        site: The endpoints, if several nodes share them; None for new ones.
        network: Network over which nodes give up requests to each other and
            report requests that end endpoints; None without one.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        entries: Sequence[discovery.EndpointEntry],
        routes: Sequence[routing.Route],
        *,
        budget: forward.BudgetLimits | None = None,
        limits: dict[str, Any] | None = None,
        members: Sequence[str] = (),
        node_id: str = "n1",
        site: "FakeSite | None" = None,
        network: "FakeNetwork | None" = None,
    ) -> None:
        self.site = site or FakeSite()
        self.registry = discovery.EndpointRegistry(trio.current_time)
        self.metrics_registry = observe.MetricsRegistry()
        self.metrics = forward.ForwardMetrics(self.metrics_registry)
        self.stopped: list[messages.StoppedVersion] = []
        self.versions = canary.VersionTracker(
            trio.current_time, self.stopped.append, cold_answers=0
        )
        self.pool = forward.EndpointPool(
            forward.PoolSettings(node_id, "a", 10.0),
            self.registry,
            self.site,
            nursery,
            self.metrics,
            self.versions,
            random.Random(1),
        )
        self.pool.set_route_table(table(routes, **(limits or {})))
        self.set_members(members)
        for one in entries:
            self.registry.put(one)
        self.pool.apply_registry_changes()
        self.budget = forward.RetryBudget(
            budget or forward.BudgetLimits(0.2, 10.0, 50.0), trio.current_time
        )
        grants = None
        if network is not None:
            grants = forward.LimitGrants(
                node_id, self.pool, network, random.Random(node_id)
            )
        self.forwarder = forward.Forwarder(
            self.pool,
            self.budget,
            FakeDialect(),
            self.metrics,
            grants=grants,
            suspects=forward.SuspectRequests(trio.current_time, network),
        )
        nursery.start_soon(self.forwarder.run)

    @property
    def diverted_calls(self) -> float:
        """Calls that the pace of an endpoint diverted to its siblings."""
        name = "geraniumstair_forward_diverted_calls_total"
        return self.metrics_registry.registry.get_sample_value(name)

    def set_members(self, members: Sequence[str]) -> None:
        """Sets the nodes of the site; all are in availability zone `a`."""
        self.pool.set_members({n: forward.NodeInfo("a") for n in members})

    def set_nodes(self, nodes: Mapping[str, forward.NodeInfo]) -> None:
        """Sets the nodes of the site, which share the budget."""
        self.pool.set_group_nodes(forward.select_delegation_nodes(nodes))
        self.pool.set_members(nodes)
        self.budget.set_share_finder(self.pool.repeat_share)

    async def remove(self, endpoint_id: str) -> None:
        """Drains and removes an endpoint after a short delay."""
        await trio.sleep(0.1)
        entry = self.registry.get(endpoint_id)
        assert entry is not None
        draining = discovery.EndpointState.DRAINING
        self.registry.put(dataclasses.replace(entry, state=draining))
        self.registry.mark_lapsed(endpoint_id)
        self.pool.apply_registry_changes()


def node_infos(**zones: str) -> dict[str, forward.NodeInfo]:
    """Returns nodes of one core by their ids, with their zones."""
    return {n: forward.NodeInfo(zone) for n, zone in zones.items()}


class FakeStore:
    """An in-memory store that can be made unavailable."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.history: list[mirror.MirrorItem] = []
        self.compacted_revision = 0
        self.down = False
        self.reads = 0
        self.watches = 0
        self._changed = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Writes a key."""
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._append_change(mirror.MirrorItem(key, value, self.revision))

    def remove(self, key: str) -> None:
        """Deletes a key."""
        self.revision += 1
        del self.items[key]
        self._append_change(mirror.MirrorItem(key, None, self.revision))

    def compact(self) -> None:
        """Discards the history of changes."""
        self.history.clear()
        self.compacted_revision = self.revision

    async def read_all(
        self,
    ) -> result.Result[
        tuple[Sequence[mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Returns all items."""
        self.reads += 1
        if self.down:
            return result.Err(store.StoreFailure(store.Effect.NONE, "down"))
        rows = [mirror.MirrorItem(k, *v) for k, v in self.items.items()]
        return result.Ok((rows, self.revision))

    async def wait_for_changes(
        self, after: int, wait_ms: int
    ) -> result.Result[
        tuple[Sequence[mirror.MirrorItem], int], store.StoreFailure
    ]:
        """Waits for changes."""
        self.watches += 1
        if self.down:
            return result.Err(store.StoreFailure(store.Effect.NONE, "down"))
        if after < self.compacted_revision:
            raise store.WatchCompactedError(after)
        with trio.move_on_after(wait_ms / 1000):
            while self.revision <= after:
                await self._changed.wait()
        rows = [i for i in self.history if i.revision > after]
        return result.Ok((rows, self.revision))

    def _append_change(self, item: mirror.MirrorItem) -> None:
        self.history.append(item)
        self._changed.set()
        self._changed = trio.Event()


class StoreAccess:
    """One node's access to a store, which may refuse or not answer its calls.

    Attributes:
        refusing: The store refuses the calls.
        silent: The store doesn't answer the calls.
    """

    def __init__(self, source: FakeStore) -> None:
        self.refusing = False
        self.silent = False
        self._source = source

    async def _is_accepted(self) -> bool:
        if self.silent:
            await trio.sleep_forever()
        return not self.refusing

    async def read_all(self) -> Any:
        """Returns all items, unless the store refuses the call."""
        if not await self._is_accepted():
            return result.Err(store.StoreFailure(store.Effect.NONE, "refused"))
        return await self._source.read_all()

    async def wait_for_changes(self, after: int, wait_ms: int) -> Any:
        """Waits for changes; they are lost if calls are refused meanwhile."""
        if not await self._is_accepted():
            return result.Err(store.StoreFailure(store.Effect.NONE, "refused"))
        changes = await self._source.wait_for_changes(after, wait_ms)
        if not await self._is_accepted():
            return result.Err(store.StoreFailure(store.Effect.NONE, "refused"))
        return changes


class FakeNetwork:
    """Delivers messages between the nodes of one test without a delay."""

    def __init__(self, node_id: str, nodes: "dict[str, FakeNetwork]") -> None:
        self.node_id = node_id
        self.handlers: dict[type, Callable[..., Any]] = {}
        self.calls = 0
        self.sent: collections.Counter[str] = collections.Counter()
        self.cut = False
        self._nodes = nodes
        nodes[node_id] = self

    def connected_nodes(self) -> frozenset[str]:
        """Returns the other nodes that are not cut off."""
        if self.cut:
            return frozenset()
        return frozenset(
            n
            for n, other in self._nodes.items()
            if n != self.node_id and not other.cut
        )

    def register_handler(self, message_type: type, handler: Any) -> None:
        """Sets the handler of a message type."""
        self.handlers[message_type] = handler

    def send(self, node_id: str, message: Any) -> bool:
        """Delivers a one-way message."""
        if node_id not in self.connected_nodes():
            return False
        self.sent[node_id] += 1
        handler = self._nodes[node_id].handlers[type(message)]
        trio.lowlevel.spawn_system_task(handler, self.node_id, message)
        return True

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether the peer is connected."""
        return node_id in self.connected_nodes()

    async def call(self, node_id: str, request: Any, timeout_ms: float) -> Any:
        """Delivers a request and returns the reply."""
        self.calls += 1
        if node_id not in self.connected_nodes():
            return result.Err("cut")
        handler = self._nodes[node_id].handlers[type(request)]
        return result.Ok(await handler(self.node_id, request))


class MirrorSite:
    """Nodes that mirror a store, and can be killed and started again.

    Attributes:
        mirrors: The mirror of each node's last start.
        networks: The network of each node's last start.
        completeness: When the mirror of each node's last start was complete.
        removals_since_s: For each node, the earliest time of the last removal
            that it learned of.
    """

    def __init__(self, source: FakeStore, names: Sequence[str]) -> None:
        self.mirrors: dict[str, mirror.Mirror] = {}
        self.networks: dict[str, FakeNetwork] = {}
        self.completeness: dict[str, mirror.Completeness] = {}
        self.removals_since_s: dict[str, float] = {}
        self._source = source
        self._names = names
        self._scopes: dict[str, trio.CancelScope] = {}

    async def run_node(self, name: str) -> None:
        """Runs a node until it is killed."""
        network = FakeNetwork(name, self.networks)
        local_mirror = self.mirrors[name] = mirror.Mirror()
        selection = mirror.WatcherSelection(name, trio.current_time)
        selection.set_members(frozenset(self._names))
        completeness = mirror.Completeness(trio.current_time)
        self.completeness[name] = completeness

        def record_removals(items: Sequence[mirror.MirrorItem]) -> None:
            if any(item.value is None for item in items):
                self.removals_since_s[name] = completeness.changes_since_s

        local_mirror.subscribe(record_removals)
        watcher = mirror.StoreWatcher(
            self._source, local_mirror, selection, completeness
        )
        gossip = mirror.MirrorGossip(
            network, local_mirror, watcher, selection, completeness
        )
        zones = dict.fromkeys(self._names, "z")
        gossip.set_neighbours(gateway.select_neighbours(name, zones))
        with trio.CancelScope() as scope:
            self._scopes[name] = scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                nursery.start_soon(gossip.run)

    def kill(self, name: str) -> None:
        """Ends a node and its streams."""
        self.networks[name].cut = True
        self._scopes[name].cancel()


def server_value(**changes: Any) -> bytes:
    """Returns an entry as an endpoint writes it to the store."""
    fields = {
        "Service": "s1",
        "Address": "10.0.0.1:80",
        "Zone": "a",
        "Version": "v1",
        "Slots": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Seq": 4,
        "born": 17,
    }
    return json.dumps(fields | changes).encode()


def response(
    status: int = 200, body: bytes = b"", **headers: str
) -> endpoint_http.Response:
    """Returns a response; underscores in header names become dashes."""
    fields = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return endpoint_http.Response(status, fields, body)


class DirectNetwork(FakeNetwork):
    """Also supports calls with callbacks, and can simulate faults.

    Attributes:
        drops_replies: The node serves requests, but its replies are lost.
        drops_requests: The node receives no requests, and no peer has
            detected it yet.
        read_delay_s: Time until the node reads a request.
    """

    drops_replies = False
    drops_requests = False
    read_delay_s = 0.0

    def ping(self, node_id: str) -> None:
        """Does nothing; `received_since` needs no reply to a ping."""

    def received_since(self, node_id: str, at_s: float) -> bool:
        """Returns whether the peer has read a message since `at_s`."""
        other = self._nodes[node_id]
        if other.drops_requests:
            return False
        return trio.current_time() >= at_s + other.read_delay_s

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether the peer is connected and replies."""
        return (
            node_id in self.connected_nodes()
            and not self._nodes[node_id].drops_replies
        )

    def start_call(
        self, node_id: str, request: Any, on_result: Callable[[Any], None]
    ) -> Any:
        """Delivers a request; `on_result` is called with the reply."""
        self.calls += 1
        if node_id not in self.connected_nodes():
            return result.Err(peers.PeerFailure(False, "cut"))
        scope = trio.CancelScope()

        async def serve() -> None:
            with scope:
                other = self._nodes[node_id]
                if other.drops_requests:
                    await trio.sleep_forever()
                await trio.sleep(other.read_delay_s)
                handler = other.handlers[type(request)]
                reply = await handler(self.node_id, request)
                if other.drops_replies:
                    await trio.sleep_forever()
                on_result(result.Ok(reply))

        trio.lowlevel.spawn_system_task(serve)

        def withdraw() -> bool:
            scope.cancel()
            return False

        return result.Ok(withdraw)


class SiteStore(FakeStore):
    """The store of a whole site: counts calls, takes time, and may refuse.

    Attributes:
        calls: Calls by kind; pages of a read are counted one by one.
        delay_s: Time of each call.
        refused_nodes: Nodes whose calls are refused.
    """

    PAGE_ITEMS = 500

    def __init__(self, delay_s: float = 0.004) -> None:
        super().__init__()
        self.calls: collections.Counter[str] = collections.Counter()
        self.delay_s = delay_s
        self.refused_nodes: frozenset[str] = frozenset()

    def access(self, node_id: str) -> "SiteStoreAccess":
        """Returns the store as one node calls it."""
        return SiteStoreAccess(self, node_id)


class SiteStoreAccess:
    """One node's calls to a `SiteStore`."""

    def __init__(self, site_store: SiteStore, node_id: str) -> None:
        self._store = site_store
        self._node_id = node_id

    async def _start_call(self, kind: str) -> bool:
        self._store.calls[kind] += 1
        await trio.sleep(self._store.delay_s)
        return not (
            self._store.down or self._node_id in self._store.refused_nodes
        )

    async def read_all(self) -> Any:
        """Returns all items; each page is one call."""
        pages = -(-len(self._store.items) // SiteStore.PAGE_ITEMS)
        for _ in range(max(1, pages)):
            if not await self._start_call("range"):
                return _build_refused()
        return await self._store.read_all()

    async def wait_for_changes(self, after: int, wait_ms: int) -> Any:
        """Waits for changes."""
        if not await self._start_call("watch"):
            return _build_refused()
        return await self._store.wait_for_changes(after, wait_ms)

    async def grant_lease(self, ttl_s: int) -> Any:
        """Creates a lease."""
        if not await self._start_call("lease"):
            return _build_refused()
        return result.Ok(1)

    async def keep_alive(self, lease_id: int) -> Any:
        """Renews a lease."""
        if not await self._start_call("renewal"):
            return _build_refused()
        return result.Ok(True)

    async def commit(self, transaction: store.Transaction) -> Any:
        """Writes keys."""
        if not await self._start_call("txn"):
            return _build_refused()
        for put in transaction.puts:
            self._store.put(put.key, put.value)
        return result.Ok(store.CommitOutcome(True, self._store.revision))

    async def revoke_lease(self, lease_id: int) -> Any:
        """Ends a lease."""
        await self._start_call("revoke")
        return result.Ok(None)


def _build_refused() -> Any:
    return result.Err(store.StoreFailure(store.Effect.NONE, "refused"))


class StreamNetwork(FakeNetwork):
    """Has streams only to the peers that either end has chosen."""

    def __init__(
        self,
        node_id: str,
        nodes: "dict[str, FakeNetwork]",
        seeds: Sequence[str],
    ) -> None:
        super().__init__(node_id, nodes)
        self._chosen: set[str] = set()
        self._streams: frozenset[str] = frozenset()
        self._open_streams({*seeds} - {node_id})
        for other in nodes.values():
            if isinstance(other, StreamNetwork) and node_id in other._chosen:
                other._add_stream(self)

    def set_peers(self, addresses: Mapping[str, peers.PeerAddress]) -> None:
        """Opens streams; those to earlier peers stay open."""
        self._open_streams(addresses.keys() - self._chosen - {self.node_id})

    def _open_streams(self, node_ids: Set[str]) -> None:
        self._chosen |= node_ids
        for node_id in node_ids:
            other = self._nodes.get(node_id)
            if isinstance(other, StreamNetwork):
                self._add_stream(other)

    def _add_stream(self, other: "StreamNetwork") -> None:
        self._streams |= {other.node_id}
        other._streams |= {self.node_id}

    def connected_nodes(self) -> frozenset[str]:
        """Returns the nodes with a stream to this one."""
        return self._streams


class StartingSite:
    """Nodes that start within a second of each other and find each other.

    Args:
        nursery: Runs the nodes.
        site_store: The store of the site.
        count: Number of nodes, in five availability zones.
        rng: Start times.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        site_store: SiteStore,
        count: int,
        rng: random.Random,
    ) -> None:
        self.names = [f"n{i}" for i in range(count)]
        self.mirrors: dict[str, mirror.Mirror] = {}
        self.members: dict[str, frozenset[str]] = {}
        self.networks: dict[str, FakeNetwork] = {}
        self._store = site_store
        for i, name in enumerate(self.names):
            nursery.start_soon(
                self._run_node, name, f"z{i % 5}", rng.uniform(0.4, 1.4)
            )

    async def _run_node(self, name: str, zone: str, start_s: float) -> None:
        await trio.sleep(start_s)
        local_mirror = self.mirrors[name] = mirror.Mirror()
        network = StreamNetwork(name, self.networks, self.names[:3])
        # The system's clock does not start at 0 either.
        selection = mirror.WatcherSelection(
            name, lambda: trio.current_time() + 50_000
        )
        access = self._store.access(name)
        watcher = mirror.StoreWatcher(access, local_mirror, selection)
        gossip = mirror.MirrorGossip(network, local_mirror, watcher, selection)

        def set_members(nodes: Mapping[str, forward.NodeInfo]) -> None:
            zones = {n: info.availability_zone for n, info in nodes.items()}
            self.members[name] = frozenset(nodes)
            gossip.set_neighbours(gateway.select_neighbours(name, zones))
            selection.set_members(frozenset(nodes))

        presence = gateway.Presence(
            name,
            gateway.Member(
                peers.PeerAddress("10.0.0.1", 1), forward.NodeInfo(zone)
            ),
            access,
            local_mirror,
            network,
            set_members,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            nursery.start_soon(gossip.run)
            nursery.start_soon(presence.run)
