"""Lets nodes near the endpoints of some shards ask them.

A node whose availability zone has no endpoint of a shard would move the part
across zones. A node beside the endpoints of several such shards moves one
merged answer instead, with a tenth of the bytes.

A search of very many shards takes long on one node, and a site with many
nodes has not enough connections for every pair of node and endpoint. So its
shards are divided into groups, each asked through the same few nodes, whose
connections stay in use.

A search may run twice, so the asking node makes the calls itself if the other
one fails.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import itertools
import logging
import math
import random
from typing import Any
from typing import Protocol

import result
import trio
import xxhash

from geraniumstair import _struct
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _endpoints

_LOG = logging.getLogger(__name__)
# Fewer shards don't outweigh the message and the time of the hop.
LEAST_SHARDS = 3
GROUP_SHARDS = 10
# Nodes of an availability zone that ask shards for the others.
GROUP_NODES_PER_ZONE = 12
# The groups are worked out again after this time.
PLAN_LIFETIME_S = 0.1
# A node that failed is not asked for this time, twice as long each time.
AVOID_MIN_S = 1.5
AVOID_MAX_S = 12.0
# Weight of a new sample in the moving average of a node's time.
LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_MS = 30.0


class Network(Protocol):
    """The part of the peer network that delegations use."""

    def connected(self) -> frozenset[str]:
        """Returns the ids of the nodes that a stream is open to."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def start_call(
        self,
        node_id: str,
        request: _struct.Message,
        answered: Callable[[Any], None],
    ) -> result.Result[Callable[[], bool], peers.PeerFailure]:
        """Sends a request without a task that waits for the reply."""
        ...

    def ping(self, node_id: str) -> None:
        """Asks a peer for a sign of life."""

    def heard_since(self, node_id: str, at_s: float) -> bool:
        """Tells whether a peer sent anything after a monotonic time in s."""

    def responsive(self, node_id: str) -> bool:
        """Tells whether a stream is up and the peer answers on it."""

    def register(self, message_type: type, handler: peers.Handler) -> None:
        """Sets the handler of a message type."""


class Routes(Protocol):
    """The routes in force."""

    table: routing.RouteTable | None


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Shards that one node is asked for."""

    node_id: str
    shards: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReply:
    """What came of asking another node.

    Attributes:
        signatures: Marks of the parts by shard.
        records: The greatest records of these parts.
        failure: Why there are no parts; empty if there are.
        ran: The node may have called the shards.
        received: False if the node gave no sign that it got the request. It
            may still make its first calls, but is told to repeat none.
        tried: Endpoints that may have run the request, by shard; none for a
            shard if the node did not tell.
    """

    signatures: Mapping[str, bytes]
    records: bytes
    failure: str = ""
    ran: bool = True
    received: bool = True
    tried: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


class PendingGroup:
    """A group that was asked for and has not replied."""

    def __init__(
        self, owner: "Delegation", group: Group, parts_id: int, started_s: float
    ) -> None:
        self.group = group
        self.parts_id = parts_id
        self.started_s = started_s
        self.withdraw: Callable[[], bool] | None = None
        self._owner = owner

    @property
    def responsive(self) -> bool:
        """False if the node does not answer pings."""
        return self._owner.is_responsive(self.group.node_id)

    @property
    def received(self) -> bool:
        """True if the node was heard since it was asked."""
        return self._owner.was_heard(self)

    def give_up(self, *, failed: bool) -> None:
        """Ends the request; `failed` blames the node."""
        self._owner.end(self, failed=failed)


class Delegation:
    """Asks other nodes for parts.

    Args:
        node_id: This node.
        availability_zone: Where it runs.
        pool: The endpoints.
        network: Streams to peers.
        routes: The routes in force.
        rng: Spreads the groups over the nodes of a zone.
    """

    def __init__(
        self,
        node_id: str,
        availability_zone: str,
        pool: _endpoints.EndpointPool,
        network: Network,
        routes: Routes,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._zone = availability_zone
        self._pool = pool
        self._network = network
        self._routes = routes
        self._rng = rng
        self._zones: Mapping[str, str] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._avoid_s: dict[str, float] = {}
        self._outstanding: dict[str, int] = {}
        self._latency_ms: dict[str, float] = {}
        self._plans: dict[str, tuple[float, list[_ZoneGroup]]] = {}
        self._group_nodes: dict[str, list[str]] = {}
        self._ids = itertools.count(1)

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Sets the availability zone of each node."""
        self._zones = dict(zones)
        self._group_nodes = group_nodes(zones)
        self._plans.clear()

    def plan(self, route: routing.Route) -> list[Group]:
        """Returns the shards of a search that other nodes should ask."""
        now_s = trio.current_time()
        known = self._plans.get(route.name)
        if known is None or known[0] <= now_s:
            known = (now_s + PLAN_LIFETIME_S, self._group(route.shards))
            self._plans[route.name] = known
        # A large search has dozens of groups, and a large site many peers.
        connected = self._network.connected()
        groups = []
        for group in known[1]:
            if group.key:
                node_id = self._choose_by_key(group, connected, now_s)
            else:
                node_id = self._choose(group.zone, connected, now_s)
            if node_id is not None and node_id != self._node_id:
                groups.append(Group(node_id, tuple(group.shards)))
        return groups

    def start(
        self,
        group: Group,
        request: _call.CallerRequest,
        hop_ms: float,
        answered: Callable[[GroupReply], None],
    ) -> PendingGroup | None:
        """Asks a node for parts; None if nothing was sent.

        Args:
            group: The shards and the node.
            request: The caller's request.
            hop_ms: Time for the reply to come back and be merged.
            answered: Called once, unless the group is given up before.
        """
        table = self._routes.table
        if table is None:
            return None
        pending = PendingGroup(
            self, group, next(self._ids), trio.current_time()
        )

        def done(outcome: Any) -> None:
            pending.withdraw = None
            answered(self._finish(pending, outcome))

        message = _encode(request, pending, hop_ms, table.version)
        started = self._network.start_call(group.node_id, message, done)
        if isinstance(started, result.Err):
            self._blame(group.node_id, started.err_value.detail)
            return None
        pending.withdraw = started.ok_value
        # The reply may take as long as the search; this one comes at once.
        self._network.ping(group.node_id)
        waiting = self._outstanding.get(group.node_id, 0)
        self._outstanding[group.node_id] = waiting + 1
        return pending

    def was_heard(self, pending: PendingGroup) -> bool:
        """Tells whether a node was heard since it was asked."""
        return self._network.heard_since(
            pending.group.node_id, pending.started_s
        )

    def is_responsive(self, node_id: str) -> bool:
        """Tells whether a node answers pings."""
        return self._network.responsive(node_id)

    def end(self, pending: PendingGroup, *, failed: bool) -> None:
        """Gives a group up."""
        if pending.withdraw is None:
            return
        pending.withdraw()
        pending.withdraw = None
        node_id = pending.group.node_id
        self._outstanding[node_id] -= 1
        self._network.send(
            node_id, messages.PartsEnd(parts_id=pending.parts_id)
        )
        if failed:
            self._blame(node_id, "no answer in time")

    def _finish(self, pending: PendingGroup, outcome: Any) -> GroupReply:
        node_id = pending.group.node_id
        self._outstanding[node_id] -= 1
        took_ms = (trio.current_time() - pending.started_s) * 1000
        latency_ms = self._latency_ms.get(node_id, INITIAL_LATENCY_MS)
        latency_ms += LATENCY_WEIGHT * (took_ms - latency_ms)
        self._latency_ms[node_id] = latency_ms
        reply = _decode_reply(pending.group, outcome)
        if reply.failure:
            self._blame(node_id, reply.failure)
        else:
            self._avoid_s.pop(node_id, None)
        return reply

    def _blame(self, node_id: str, why: str) -> None:
        now_s = trio.current_time()
        if self._avoid_until_s.get(node_id, 0.0) > now_s:
            return
        avoid_s = self._avoid_s.get(node_id, AVOID_MIN_S)
        self._avoid_s[node_id] = min(2 * avoid_s, AVOID_MAX_S)
        self._avoid_until_s[node_id] = now_s + avoid_s
        _LOG.info("forward: node %s gave no parts: %s", node_id, why)

    def _choose_by_key(
        self, group: "_ZoneGroup", connected: Set[str], now_s: float
    ) -> str | None:
        """Returns the first usable node for a group, the same on all nodes."""
        nodes = self._group_nodes.get(group.zone, [])
        for node_id in _ranked(nodes, group.key):
            if node_id == self._node_id:
                return node_id
            if node_id in connected and self._is_usable(node_id, now_s):
                return node_id
        return None

    def _is_usable(self, node_id: str, now_s: float) -> bool:
        if self._avoid_until_s.get(node_id, 0.0) > now_s:
            return False
        return self._network.responsive(node_id)

    def _choose(
        self, zone: str, connected: Set[str], now_s: float
    ) -> str | None:
        best, best_cost = None, math.inf
        for node_id in connected:
            if self._zones.get(node_id) != zone:
                continue
            if not self._is_usable(node_id, now_s):
                continue
            cost = self._latency_ms.get(node_id, INITIAL_LATENCY_MS)
            cost *= 1 + self._outstanding.get(node_id, 0)
            cost *= 0.8 + 0.4 * self._rng.random()
            if cost < best_cost:
                best, best_cost = node_id, cost
        return best

    def _group(self, shards: Sequence[str]) -> list["_ZoneGroup"]:
        zones_of = {s: self._pool.sound_zones(s) for s in shards}
        by_zone = self._group_by_zone(zones_of)
        if len(shards) < _endpoints.LARGE_SEARCH_SHARDS:
            return [_ZoneGroup(zone, "", named) for zone, named in by_zone]
        own = [s for s in shards if self._zone in zones_of[s]]
        groups = []
        for zone, named in [(self._zone, own), *by_zone]:
            wanted = set(named)
            # Groups follow the position in the route, so that all nodes
            # divide alike whichever endpoints they can use.
            for start in range(0, len(shards), GROUP_SHARDS):
                part = shards[start : start + GROUP_SHARDS]
                chosen = [s for s in part if s in wanted]
                if chosen:
                    groups.append(_ZoneGroup(zone, part[0], chosen))
        return groups

    def _group_by_zone(
        self, zones_of: Mapping[str, frozenset[str]]
    ) -> list[tuple[str, list[str]]]:
        """Groups shards without a sound endpoint in this node's zone.

        Takes the zone that covers most of them, then the next one.
        """
        left = [s for s, zones in zones_of.items() if self._zone not in zones]
        zones = set(self._zones.values()) - {self._zone, ""}
        groups = []
        while len(left) >= LEAST_SHARDS and zones:
            covered = {
                zone: [s for s in left if zone in zones_of[s]] for zone in zones
            }
            best = max(
                sorted(zones),
                key=lambda z: (len(covered[z]), self._rng.random()),
            )
            if len(covered[best]) < LEAST_SHARDS:
                break
            groups.append((best, covered[best]))
            left = [s for s in left if s not in covered[best]]
            zones.remove(best)
        return groups


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneGroup:
    """Shards with endpoints in one zone.

    Attributes:
        zone: Availability zone of the nodes that may ask them.
        key: Decides which node asks them; empty for any node of the zone.
        shards: The shards.
    """

    zone: str
    key: str
    shards: list[str]


def _ranked(nodes: Sequence[str], key: str) -> list[str]:
    return sorted(
        nodes, key=lambda n: xxhash.xxh64_intdigest(f"{key}/{n}".encode())
    )


def group_nodes(zones: Mapping[str, str]) -> dict[str, list[str]]:
    """Returns the nodes that ask shards for the others, by zone.

    Args:
        zones: Availability zone of each node.
    """
    by_zone: dict[str, list[str]] = {}
    for node_id, zone in zones.items():
        by_zone.setdefault(zone, []).append(node_id)
    return {
        zone: _ranked(nodes, "group")[:GROUP_NODES_PER_ZONE]
        for zone, nodes in by_zone.items()
        if zone
    }


def _encode(
    request: _call.CallerRequest,
    pending: PendingGroup,
    hop_ms: float,
    version: int,
) -> messages.PartsRequest:
    elapsed_ms = (trio.current_time() - request.received_s) * 1000
    remaining_ms = -1.0
    if request.remaining_ms is not None:
        remaining_ms = max(0.0, request.remaining_ms - elapsed_ms)
    return messages.PartsRequest(
        parts_id=pending.parts_id,
        version=version,
        shards=list(pending.group.shards),
        elapsed_ms=elapsed_ms + hop_ms,
        remaining_ms=remaining_ms,
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        host=request.host,
        path=request.path,
        fields=[list(field) for field in request.fields],
        body=request.body,
        has_body=request.has_body,
    )


def _decode_reply(group: Group, outcome: Any) -> GroupReply:
    if isinstance(outcome, result.Err):
        failure = outcome.err_value
        return GroupReply({}, b"", failure.detail, failure.sent)
    reply = outcome.ok_value
    if not isinstance(reply, messages.PartsReply):
        return GroupReply({}, b"", "an unexpected reply")
    tried = {
        shard: frozenset(endpoints)
        for shard, endpoints in zip(group.shards, reply.tried, strict=False)
    }
    if reply.declined:
        return GroupReply({}, b"", reply.declined, reply.ran, tried=tried)
    valid = range(len(group.shards))
    signatures = {
        group.shards[position]: signature
        for position, signature in zip(
            reply.answered, reply.signatures, strict=False
        )
        if position in valid
    }
    return GroupReply(signatures, reply.records, tried=tried)
