"""Which nodes are there: keys with leases in the store, and open streams."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
import logging
from typing import Protocol

import result
import trio

from geraniumstair import forward
from geraniumstair import mirror
from geraniumstair import peers
from geraniumstair import store

_LOG = logging.getLogger(__name__)
KEY_PREFIX = "geraniumstair/nodes/"
# A lease outlives two lost renewals. A node that has gone is seen by its
# closed streams long before, so few renewals are worth more than short leases.
LEASE_TTL_S = 30
RENEW_INTERVAL_S = 8.0
RETRY_S = 0.5
# How often open streams are looked at, as often as peers send notices;
# registrations are followed at once.
FOLLOW_INTERVAL_S = 0.5
# Registrations come in groups, above all when a site starts.
FOLLOW_BATCH_S = 0.1
# Above this number a node keeps streams to some of the others only.
FULL_MESH_NODES = 10
# Nodes of each availability zone that keep streams to those of the others.
ZONE_LINK_NODES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A registered node.

    Attributes:
        address: Where its peers reach it.
        availability_zone: Where it runs.
    """

    address: peers.PeerAddress
    availability_zone: str


class LeaseStore(Protocol):
    """The part of the store that presence uses."""

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreFailure]:
        """Creates a lease."""
        ...

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, store.StoreFailure]:
        """Renews a lease."""
        ...

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Writes keys."""
        ...

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFailure]:
        """Ends a lease."""
        ...


class Network(Protocol):
    """The part of the peer network that presence uses."""

    def connected(self) -> frozenset[str]:
        """Returns the ids of the nodes that a stream is open to."""

    def set_peers(self, addresses: Mapping[str, peers.PeerAddress]) -> None:
        """Replaces the nodes to which streams are maintained."""


def neighbours(node_id: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Returns the nodes that a node passes changes on to.

    In a zone, the distances on a ring double, so that a change crosses it in
    a few hops. A few nodes of each zone pass it to the other zones, since
    bytes between zones cost more.

    Args:
        node_id: The node.
        zones: Availability zone of each node.
    """
    others = frozenset(zones) - {node_id}
    if len(others) < FULL_MESH_NODES:
        return others
    own_zone = zones.get(node_id, "")
    by_zone: dict[str, list[str]] = {own_zone: []}
    for name in sorted({*zones, node_id}):
        by_zone.setdefault(zones.get(name, ""), []).append(name)
    ring = by_zone[own_zone]
    own = ring.index(node_id)
    chosen = set()
    distance = 1
    while distance < len(ring):
        chosen.add(ring[(own + distance) % len(ring)])
        chosen.add(ring[(own - distance) % len(ring)])
        distance *= 2
    if own < ZONE_LINK_NODES:
        for names in by_zone.values():
            chosen.update(names[:ZONE_LINK_NODES])
    return frozenset(chosen) - {node_id}


class Presence:
    """Registers this node and follows the others.

    Args:
        node_id: This node.
        member: What it registers.
        lease_store: The store.
        view: The mirror of the store.
        network: Streams to peers.
        changed: Called with the availability zone of each member when they
            change; it is empty for one whose registration is not known.
    """

    def __init__(
        self,
        node_id: str,
        member: Member,
        lease_store: LeaseStore,
        view: mirror.Mirror,
        network: Network,
        changed: Callable[[Mapping[str, str]], None],
    ) -> None:
        self._node_id = node_id
        self._member = member
        self._store = lease_store
        self._view = view
        self._network = network
        self._changed = changed
        self._lease_id = 0
        self._members: frozenset[str] = frozenset([node_id])
        self._read_at = -1
        self._followed: object = None
        self._registered: dict[str, Member] = {}
        self._registrations_changed = trio.Event()
        view.subscribe(self._on_items)

    def _on_items(self, items: Sequence[mirror.MirrorItem]) -> None:
        if any(item.key.startswith(KEY_PREFIX) for item in items):
            self._registrations_changed.set()

    async def run(self) -> None:
        """Keeps the registration and follows the members, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register_loop)
            nursery.start_soon(self._follow_loop)

    async def leave(self) -> None:
        """Removes the registration; used when the node stops."""
        if self._lease_id:
            lease_id, self._lease_id = self._lease_id, 0
            outcome = await self._store.revoke_lease(lease_id)
            if isinstance(outcome, result.Err):
                _LOG.info(
                    "edge: the registration lapses by itself: %s",
                    outcome.err_value.detail,
                )

    async def _register_loop(self) -> None:
        while True:
            renewed = await self._renew()
            await trio.sleep(RENEW_INTERVAL_S if renewed else RETRY_S)

    async def _renew(self) -> bool:
        if self._lease_id:
            kept = await self._store.keep_alive(self._lease_id)
            if isinstance(kept, result.Err):
                return False
            registered = self._view.get(KEY_PREFIX + self._node_id) is not None
            if kept.ok_value and registered:
                return True
        return await self._register()

    async def _register(self) -> bool:
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, result.Err):
            return False
        self._lease_id = granted.ok_value
        value = json.dumps(
            {
                "address": self._member.address.address,
                "port": self._member.address.port,
                "availability_zone": self._member.availability_zone,
            }
        )
        put = store.Put(
            KEY_PREFIX + self._node_id, value.encode(), self._lease_id
        )
        outcome = await self._store.commit(store.Transaction(puts=[put]))
        if isinstance(outcome, result.Err):
            _LOG.warning(
                "edge: cannot register this node: %s",
                outcome.err_value.detail,
            )
            self._lease_id = 0
            return False
        return True

    async def _follow_loop(self) -> None:
        while True:
            self._follow()
            await trio.sleep(FOLLOW_BATCH_S)
            with trio.move_on_after(FOLLOW_INTERVAL_S):
                await self._registrations_changed.wait()
            self._registrations_changed = trio.Event()

    def _follow(self) -> None:
        self._read_registered()
        registered = self._registered
        members = frozenset(registered) | self._network.connected()
        members |= {self._node_id}
        state = (members, registered)
        if state == self._followed:
            return
        self._followed = state
        _LOG.info(
            "edge: members appeared: %s; gone: %s",
            sorted(members - self._members),
            sorted(self._members - members),
        )
        self._members = members
        zones = dict.fromkeys(members, "")
        zones |= {n: m.availability_zone for n, m in registered.items()}
        zones[self._node_id] = self._member.availability_zone
        chosen = neighbours(self._node_id, zones) | self._asked(registered)
        self._network.set_peers(
            {n: m.address for n, m in registered.items() if n in chosen}
        )
        self._changed(zones)

    def _asked(self, registered: Mapping[str, Member]) -> frozenset[str]:
        """Returns the nodes that ask shards for others."""
        zones = {n: m.availability_zone for n, m in registered.items()}
        by_zone = forward.group_nodes(zones)
        return frozenset(n for nodes in by_zone.values() for n in nodes)

    def _read_registered(self) -> None:
        if self._read_at == self._view.newest:
            return
        self._read_at = self._view.newest
        found = {}
        for item in self._view.with_prefix(KEY_PREFIX):
            member = _decode_member(item.value or b"")
            if member is None:
                _LOG.warning("edge: the key %s names no node", item.key)
            else:
                found[item.key.removeprefix(KEY_PREFIX)] = member
        self._registered = found


def _decode_member(value: bytes) -> Member | None:
    try:
        fields = json.loads(value)
        address = peers.PeerAddress(str(fields["address"]), int(fields["port"]))
        return Member(address, str(fields.get("availability_zone", "")))
    except (ValueError, TypeError, KeyError):
        return None
