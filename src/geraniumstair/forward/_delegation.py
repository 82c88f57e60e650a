"""Delegates shards of a search to nodes near their endpoints.

If the availability zone of a node has no endpoint of a shard, the shard's part
would cross zones. A node in the zone of several such shards sends one merged
answer instead, with a tenth of the bytes.

A search of very many shards takes long on one node, and a site with many nodes
does not have enough connections for every pair of node and endpoint. So the
shards are divided into groups. Each group is called through the same few nodes,
whose connections stay in use. Groups for the same node go in one message,
because each message costs both ends processor time and bytes.

A search may run twice, so the delegating node calls the shards itself if the
other node fails.
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

from geraniumstair import _struct
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _delegation_nodes
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _parts
from geraniumstair.forward import _sharing

_LOG = logging.getLogger(__name__)
# For fewer shards, the savings don't outweigh the message and the time of the
# extra hop.
MIN_GROUP_SHARDS = 3
# The groups of a route are recomputed after this time.
PLAN_TTL_S = 0.1
# A node that failed gets no requests for this time, which doubles with each
# failure in a row.
AVOID_MIN_S = 1.5
AVOID_MAX_S = 12.0
# A node whose routes lack the shards of a search gets no requests for this
# time. Most nodes learn of a new version within it.
CHANGE_AVOID_S = 0.2
# Weight of a new sample in the moving average of a node's latency.
LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_MS = 30.0


class Network(Protocol):
    """The part of the peer network that delegation uses."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def start_call(
        self,
        node_id: str,
        request: _struct.Message,
        on_result: Callable[[Any], None],
    ) -> result.Result[Callable[[], bool], peers.PeerFailure]:
        """Sends a request without a task that waits for the reply."""
        ...

    def ping(self, node_id: str) -> None:
        """Asks a peer to send a message at once; see `received_since`."""

    def received_since(self, node_id: str, at_s: float) -> bool:
        """Returns whether a peer sent anything after a monotonic time in s."""

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a stream is open and the peer answers on it."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


class PendingGroup:
    """A request to call a group of shards that has no reply yet."""

    def __init__(
        self,
        delegation: "Delegation",
        group: _parts.ShardGroup,
        parts_id: int,
        started_s: float,
    ) -> None:
        self.group = group
        self.parts_id = parts_id
        self.started_s = started_s
        self.cancel_call: Callable[[], bool] | None = None
        self._delegation = delegation

    @property
    def is_responsive(self) -> bool:
        """False if the node does not answer pings."""
        return self._delegation.is_responsive(self.group.node_id)

    @property
    def acknowledged(self) -> bool:
        """True if the node sent anything after the request was sent."""
        return self._delegation.is_acknowledged(self)

    def abort(self, *, failed: bool) -> None:
        """Aborts the request; `failed` avoids the node for some time."""
        self._delegation.abort(self, failed=failed)


class Delegation:
    """Asks other nodes to call shards and return the parts.

    Args:
        node_id: Id of this node.
        availability_zone: Availability zone of this node.
        pool: The endpoints.
        network: Streams to peers.
        rng: Spreads the groups over the nodes of a zone.
    """

    def __init__(
        self,
        node_id: str,
        availability_zone: str,
        pool: _endpoints.EndpointPool,
        network: Network,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._zone = availability_zone
        self._pool = pool
        self._network = network
        self._rng = rng
        self._nodes: Mapping[str, _delegation_nodes.NodeInfo] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._avoid_s: dict[str, float] = {}
        self._pending_counts: dict[str, int] = {}
        self._latency_ms: dict[str, float] = {}
        self._plans: dict[str, _Plan] = {}
        # By zone, the nodes that call shards of that zone for this node.
        self._delegation_nodes: dict[str, list[str]] = {}
        self._parts_ids = itertools.count(1)

    def set_nodes(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        """Sets the nodes of the site, by their ids."""
        self._nodes = dict(nodes)
        self._delegation_nodes = _delegation_nodes.select_callable_nodes(
            self._zone, nodes
        )
        self._plans.clear()

    def plan_groups(self, route: routing.Route) -> list[_parts.ShardGroup]:
        """Returns the groups of shards that other nodes should call."""
        now_s = trio.current_time()
        plan = self._plans.get(route.name)
        # Searches of an earlier version of the route may still be in progress.
        if (
            plan is None
            or plan.expires_s <= now_s
            or plan.shards != route.shards
        ):
            plan = _Plan(
                now_s + PLAN_TTL_S,
                route.shards,
                self._group_shards(route.shards),
            )
            self._plans[route.name] = plan
        # The connected nodes are read once for all groups: a large search has
        # dozens of groups, and a large site many peers.
        connected = self._network.connected_nodes()
        shards_by_node: dict[str, list[str]] = {}
        for group in plan.groups:
            if group.key:
                node_id = self._choose_by_key(group, connected, now_s)
            else:
                node_id = self._choose_in_zone(group.zone, connected, now_s)
            if node_id is not None and node_id != self._node_id:
                shards_by_node.setdefault(node_id, []).extend(group.shards)
        return [
            _parts.ShardGroup(node_id, tuple(shards))
            for node_id, shards in shards_by_node.items()
        ]

    def start(
        self,
        group: _parts.ShardGroup,
        request: _call.CallerRequest,
        route: routing.Route,
        hop_ms: float,
        on_reply: Callable[[_parts.GroupReply], None],
    ) -> PendingGroup | None:
        """Asks a node for parts; returns None if nothing was sent.

        Args:
            group: The shards and the node.
            request: The caller's request.
            route: The route of the search, with the caller's priority.
            hop_ms: Time for the reply to come back and be merged.
            on_reply: Called once, unless the request is aborted before.
        """
        pending = PendingGroup(
            self, group, next(self._parts_ids), trio.current_time()
        )

        def complete(outcome: Any) -> None:
            pending.cancel_call = None
            on_reply(self._complete(pending, outcome))

        message = _parts.encode_request(
            request, route, group, pending.parts_id, hop_ms
        )
        started = self._network.start_call(group.node_id, message, complete)
        if isinstance(started, result.Err):
            self._avoid_node(group.node_id, started.err_value.detail)
            return None
        pending.cancel_call = started.ok_value
        # The reply may take as long as the search. The answer to the ping comes
        # at once and shows that the node receives messages.
        self._network.ping(group.node_id)
        pending_count = self._pending_counts.get(group.node_id, 0)
        self._pending_counts[group.node_id] = pending_count + 1
        return pending

    def is_acknowledged(self, pending: PendingGroup) -> bool:
        """Returns whether the node sent anything after the request was sent."""
        return self._network.received_since(
            pending.group.node_id, pending.started_s
        )

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a node answers pings."""
        return self._network.is_responsive(node_id)

    def abort(self, pending: PendingGroup, *, failed: bool) -> None:
        """Aborts a request, unless it has ended."""
        if pending.cancel_call is None:
            return
        pending.cancel_call()
        pending.cancel_call = None
        node_id = pending.group.node_id
        self._pending_counts[node_id] -= 1
        self._network.send(
            node_id, messages.PartsEnd(parts_id=pending.parts_id)
        )
        if failed:
            self._avoid_node(node_id, "no answer in time")

    def _complete(
        self, pending: PendingGroup, outcome: Any
    ) -> _parts.GroupReply:
        node_id = pending.group.node_id
        self._pending_counts[node_id] -= 1
        took_ms = (trio.current_time() - pending.started_s) * 1000
        latency_ms = self._latency_ms.get(node_id, INITIAL_LATENCY_MS)
        latency_ms += LATENCY_WEIGHT * (took_ms - latency_ms)
        self._latency_ms[node_id] = latency_ms
        reply = _parts.decode_reply(pending.group, outcome)
        if reply.routes_differ:
            self._avoid_during_change(node_id, reply.failure)
        elif reply.failure:
            self._avoid_node(node_id, reply.failure)
        else:
            self._avoid_s.pop(node_id, None)
        return reply

    def _avoid_node(self, node_id: str, reason: str) -> None:
        now_s = trio.current_time()
        if self._avoid_until_s.get(node_id, 0.0) > now_s:
            return
        avoid_s = self._avoid_s.get(node_id, AVOID_MIN_S)
        self._avoid_s[node_id] = min(2 * avoid_s, AVOID_MAX_S)
        self._avoid_until_s[node_id] = now_s + avoid_s
        _LOG.info("forward: node %s returned no parts: %s", node_id, reason)

    def _avoid_during_change(self, node_id: str, reason: str) -> None:
        until_s = trio.current_time() + CHANGE_AVOID_S
        self._avoid_until_s[node_id] = max(
            self._avoid_until_s.get(node_id, 0.0), until_s
        )
        _LOG.info("forward: node %s declined shards: %s", node_id, reason)

    def _choose_by_key(
        self, group: "_ZoneGroup", connected: Set[str], now_s: float
    ) -> str | None:
        """Returns the first usable node of a ranking that all nodes share."""
        node_ids = self._delegation_nodes.get(group.zone, [])
        ranked = _delegation_nodes.rank_by_weight(
            node_ids, group.key, self._nodes
        )
        for node_id in ranked:
            if node_id == self._node_id:
                return node_id
            if node_id in connected and self._is_usable(node_id, now_s):
                return node_id
        return None

    def _is_usable(self, node_id: str, now_s: float) -> bool:
        if self._avoid_until_s.get(node_id, 0.0) > now_s:
            return False
        return self._network.is_responsive(node_id)

    def _choose_in_zone(
        self, zone: str, connected: Set[str], now_s: float
    ) -> str | None:
        best, best_cost = None, math.inf
        for node_id in connected:
            info = self._nodes.get(node_id)
            if info is None or info.availability_zone != zone:
                continue
            if not self._is_usable(node_id, now_s):
                continue
            cost = self._latency_ms.get(node_id, INITIAL_LATENCY_MS)
            cost *= 1 + self._pending_counts.get(node_id, 0)
            cost *= 0.8 + 0.4 * self._rng.random()
            if cost < best_cost:
                best, best_cost = node_id, cost
        return best

    def _group_shards(self, shards: Sequence[str]) -> list["_ZoneGroup"]:
        zones_of = {s: self._pool.healthy_zones(s) for s in shards}
        by_zone = self._group_by_zone(zones_of)
        if len(shards) < _sharing.LARGE_SEARCH_SHARDS:
            return [
                _ZoneGroup(zone, "", zone_shards)
                for zone, zone_shards in by_zone
            ]
        # Each message to another zone has a cost in bytes, so the shards there
        # form one group. The key spreads the nodes of this zone.
        groups = [
            _ZoneGroup(zone, self._node_id, zone_shards)
            for zone, zone_shards in by_zone
        ]
        # Groups in the own zone are cut by position in the route, so that all
        # nodes form the same groups, whichever endpoints they can use.
        for block in _delegation_nodes.split_into_blocks(shards):
            local = [s for s in block if self._zone in zones_of[s]]
            if local:
                groups.append(_ZoneGroup(self._zone, block[0], local))
        return groups

    def _group_by_zone(
        self, zones_of: Mapping[str, frozenset[str]]
    ) -> list[tuple[str, list[str]]]:
        """Groups shards without a healthy endpoint in this node's zone.

        Takes the zone that covers most of the remaining shards first, then the
        next one.
        """
        remaining = [
            s for s, zones in zones_of.items() if self._zone not in zones
        ]
        zones = {info.availability_zone for info in self._nodes.values()}
        zones -= {self._zone, ""}
        groups = []
        while len(remaining) >= MIN_GROUP_SHARDS and zones:
            covered = {
                zone: [s for s in remaining if zone in zones_of[s]]
                for zone in zones
            }
            best = max(
                sorted(zones),
                key=lambda z: (len(covered[z]), self._rng.random()),
            )
            if len(covered[best]) < MIN_GROUP_SHARDS:
                break
            groups.append((best, covered[best]))
            remaining = [s for s in remaining if s not in covered[best]]
            zones.remove(best)
        return groups


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneGroup:
    """Shards with endpoints in one availability zone.

    Attributes:
        zone: Availability zone of the nodes that may call the shards.
        key: Key of the ranking that selects the node; empty if any node of the
            zone may be selected.
        shards: The shards.
    """

    zone: str
    key: str
    shards: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """The groups of one route.

    Attributes:
        expires_s: When the groups are recomputed.
        shards: All shards of the route.
        groups: Those that other nodes should call.
    """

    expires_s: float
    shards: tuple[str, ...]
    groups: list[_ZoneGroup]
