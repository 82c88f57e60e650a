"""Lets nodes near the endpoints of some shards ask them.

A node whose availability zone has no endpoint of a shard would move the part
across zones. A node beside the endpoints of several such shards moves one
merged answer instead, with a tenth of the bytes. A search may run twice, so
the asking node makes the calls itself if the other one fails.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
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
from geraniumstair.forward import _endpoints

_LOG = logging.getLogger(__name__)
# Fewer shards don't outweigh the message and the time of the hop.
LEAST_SHARDS = 3
# The groups are worked out again after this time.
PLAN_LIFETIME_S = 0.1
# A node that failed is not asked for this time.
AVOID_S = 1.5
# Time for the reply to come back and be merged.
HOP_MS = 6.0
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
    """

    signatures: Mapping[str, bytes]
    records: bytes
    failure: str = ""
    ran: bool = True


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

    def give_up(self, *, failed: bool) -> None:
        """Ends the request; `failed` blames the node."""
        self._owner.end(self, failed=failed)


class Delegation:
    """Asks other nodes for parts.

    Args:
        availability_zone: Where this node runs.
        pool: The endpoints.
        network: Streams to peers.
        routes: The routes in force.
        rng: Spreads the groups over the nodes of a zone.
    """

    def __init__(
        self,
        availability_zone: str,
        pool: _endpoints.EndpointPool,
        network: Network,
        routes: Routes,
        rng: random.Random,
    ) -> None:
        self._zone = availability_zone
        self._pool = pool
        self._network = network
        self._routes = routes
        self._rng = rng
        self._zones: Mapping[str, str] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._outstanding: dict[str, int] = {}
        self._latency_ms: dict[str, float] = {}
        self._plans: dict[str, tuple[float, list[tuple[str, list[str]]]]] = {}
        self._ids = itertools.count(1)

    def set_zones(self, zones: Mapping[str, str]) -> None:
        """Sets the availability zone of each node."""
        self._zones = dict(zones)
        self._plans.clear()

    def plan(self, route: routing.Route) -> list[Group]:
        """Returns the shards of a search that other nodes should ask."""
        now_s = trio.current_time()
        known = self._plans.get(route.name)
        if known is None or known[0] <= now_s:
            known = (now_s + PLAN_LIFETIME_S, self._group_by_zone(route.shards))
            self._plans[route.name] = known
        groups = []
        for zone, shards in known[1]:
            node_id = self._choose(zone, now_s)
            if node_id is not None:
                groups.append(Group(node_id, tuple(shards)))
        return groups

    def start(
        self,
        group: Group,
        request: _call.CallerRequest,
        least: int,
        answered: Callable[[GroupReply], None],
    ) -> PendingGroup | None:
        """Asks a node for parts; None if nothing was sent.

        Args:
            group: The shards and the node.
            request: The caller's request.
            least: Parts with which a late answer is sent.
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

        message = _encode(request, pending, least, table.version)
        started = self._network.start_call(group.node_id, message, done)
        if isinstance(started, result.Err):
            self._blame(group.node_id, started.err_value.detail)
            return None
        pending.withdraw = started.ok_value
        waiting = self._outstanding.get(group.node_id, 0)
        self._outstanding[group.node_id] = waiting + 1
        return pending

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
        return reply

    def _blame(self, node_id: str, why: str) -> None:
        self._avoid_until_s[node_id] = trio.current_time() + AVOID_S
        _LOG.info("forward: node %s gave no parts: %s", node_id, why)

    def _choose(self, zone: str, now_s: float) -> str | None:
        best, best_cost = None, math.inf
        for node_id in self._network.connected():
            if self._zones.get(node_id) != zone:
                continue
            if self._avoid_until_s.get(node_id, 0.0) > now_s:
                continue
            cost = self._latency_ms.get(node_id, INITIAL_LATENCY_MS)
            cost *= 1 + self._outstanding.get(node_id, 0)
            cost *= 0.8 + 0.4 * self._rng.random()
            if cost < best_cost:
                best, best_cost = node_id, cost
        return best

    def _group_by_zone(
        self, shards: Sequence[str]
    ) -> list[tuple[str, list[str]]]:
        """Groups shards without a sound endpoint in this node's zone.

        Takes the zone that covers most of them, then the next one.
        """
        zones_of = {s: self._pool.sound_zones(s) for s in shards}
        left = [s for s in shards if self._zone not in zones_of[s]]
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


def _encode(
    request: _call.CallerRequest,
    pending: PendingGroup,
    least: int,
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
        least=least,
        elapsed_ms=elapsed_ms + HOP_MS,
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
    if reply.declined:
        return GroupReply({}, b"", reply.declined, reply.ran)
    valid = range(len(group.shards))
    signatures = {
        group.shards[position]: signature
        for position, signature in zip(
            reply.answered, reply.signatures, strict=False
        )
        if position in valid
    }
    return GroupReply(signatures, reply.records)
