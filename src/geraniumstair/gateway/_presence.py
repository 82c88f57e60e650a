"""Membership of nodes: leased keys in the store, and open peer streams."""

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
# A lease survives two lost renewals. Peers detect a lost node by its closed
# streams long before its lease expires, so fewer renewals matter more than a
# short lease.
LEASE_TTL_S = 30
RENEW_INTERVAL_S = 8.0
REGISTRATION_RETRY_S = 0.5
# How often open streams are checked, which is as often as peers send notices.
# Changed registrations are handled without waiting for this interval.
MEMBER_CHECK_INTERVAL_S = 0.5
# Registrations change in groups, above all when a site starts, so they are
# handled together after this delay.
REGISTRATION_BATCH_DELAY_S = 0.1
# From this number of other nodes on, a node keeps streams to some of them only.
FULL_MESH_NODES = 10
# Nodes of each availability zone that keep streams to other zones.
INTER_ZONE_NODES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A registered node.

    Attributes:
        address: Address at which its peers reach it.
        info: What other nodes need to know about it.
    """

    address: peers.PeerAddress
    info: forward.NodeInfo


class LeaseStore(Protocol):
    """The operations of the store that presence uses."""

    async def grant_lease(
        self, ttl_s: int
    ) -> result.Result[int, store.StoreFailure]:
        """Creates a lease."""
        ...

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[bool, store.StoreFailure]:
        """Renews a lease; False if it has expired."""
        ...

    async def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.CommitOutcome, store.StoreFailure]:
        """Writes keys in a transaction."""
        ...

    async def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, store.StoreFailure]:
        """Ends a lease."""
        ...


class Network(Protocol):
    """The operations of the peer network that presence uses."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def set_peers(self, addresses: Mapping[str, peers.PeerAddress]) -> None:
        """Replaces the nodes to which streams are maintained."""


def select_neighbours(node_id: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Returns the nodes to which a node gossips changes.

    Within an availability zone, each node of a ring links to nodes at doubling
    distances, so a change reaches all of them in a few hops. Only a few nodes
    of each zone link to other zones, because traffic between zones costs more.

    Args:
        node_id: The node.
        zones: Node id to availability zone.
    """
    others = frozenset(zones) - {node_id}
    if len(others) < FULL_MESH_NODES:
        return others
    own_zone = zones.get(node_id, "")
    by_zone: dict[str, list[str]] = {own_zone: []}
    for name in sorted({*zones, node_id}):
        by_zone.setdefault(zones.get(name, ""), []).append(name)
    ring = by_zone[own_zone]
    own_index = ring.index(node_id)
    chosen = set()
    distance = 1
    while distance < len(ring):
        chosen.add(ring[(own_index + distance) % len(ring)])
        chosen.add(ring[(own_index - distance) % len(ring)])
        distance *= 2
    if own_index < INTER_ZONE_NODES:
        # One stream from each of them to each other zone: three streams between
        # two zones, which have no node in common.
        chosen.update(n[own_index % len(n)] for n in by_zone.values() if n)
    return frozenset(chosen) - {node_id}


class Presence:
    """Registers this node in the store and tracks the other members.

    Args:
        node_id: This node.
        member: The registration of this node.
        lease_store: The store.
        local_mirror: The mirror of the store.
        network: Streams to peers.
        on_members_changed: Called when the members change, with what is known
            about each one. The availability zone of a member whose
            registration is unknown is empty.
    """

    def __init__(
        self,
        node_id: str,
        member: Member,
        lease_store: LeaseStore,
        local_mirror: mirror.Mirror,
        network: Network,
        on_members_changed: Callable[[Mapping[str, forward.NodeInfo]], None],
    ) -> None:
        self._node_id = node_id
        self._member = member
        self._store = lease_store
        self._mirror = local_mirror
        self._network = network
        self._on_members_changed = on_members_changed
        self._lease_id = 0
        self._members: frozenset[str] = frozenset([node_id])
        self._applied_state: object = None
        self._registered: dict[str, Member] = {}
        self._registrations_changed = trio.Event()
        self._registration_lost = trio.Event()
        local_mirror.subscribe(self._on_items_changed)

    def _on_items_changed(self, items: Sequence[mirror.MirrorItem]) -> None:
        changed = [i for i in items if i.key.startswith(KEY_PREFIX)]
        if not changed:
            return
        is_first = not self._registered
        # A copy, because the members in force refer to the earlier one.
        self._registered = dict(self._registered)
        for item in changed:
            self._apply_registration(item)
        if is_first:
            # Until a node knows the others, it takes itself for one of the few
            # that watch the store.
            self._update_members()
        else:
            self._registrations_changed.set()

    def _apply_registration(self, item: mirror.MirrorItem) -> None:
        node_id = item.key.removeprefix(KEY_PREFIX)
        self._registered.pop(node_id, None)
        if item.value is None:
            if node_id == self._node_id and self._lease_id:
                self._registration_lost.set()
            return
        member = _decode_member(item.value)
        if member is None:
            _LOG.warning(
                "gateway: the value of key %s is not a valid registration",
                item.key,
            )
        else:
            self._registered[node_id] = member

    async def run(self) -> None:
        """Maintains the registration and the members until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register_loop)
            nursery.start_soon(self._update_loop)

    async def deregister(self) -> None:
        """Removes the registration when the node shuts down."""
        if self._lease_id:
            lease_id, self._lease_id = self._lease_id, 0
            outcome = await self._store.revoke_lease(lease_id)
            if isinstance(outcome, result.Err):
                _LOG.info(
                    "gateway: cannot revoke the lease; it will expire: %s",
                    outcome.err_value.detail,
                )

    async def _register_loop(self) -> None:
        while True:
            renewed = await self._renew_registration()
            with trio.move_on_after(
                RENEW_INTERVAL_S if renewed else REGISTRATION_RETRY_S
            ):
                await self._registration_lost.wait()
                # The store may have given the lease's id to another node since
                # it was restored from a copy.
                self._lease_id = 0
            self._registration_lost = trio.Event()

    async def _renew_registration(self) -> bool:
        if self._lease_id:
            renewal = await self._store.keep_alive(self._lease_id)
            if isinstance(renewal, result.Err):
                return False
            registered = (
                self._mirror.get(KEY_PREFIX + self._node_id) is not None
            )
            if renewal.ok_value and registered:
                return True
        return await self._register()

    async def _register(self) -> bool:
        lease = await self._store.grant_lease(LEASE_TTL_S)
        if isinstance(lease, result.Err):
            return False
        self._lease_id = lease.ok_value
        value = json.dumps(
            {
                "address": self._member.address.address,
                "port": self._member.address.port,
                "availability_zone": self._member.info.availability_zone,
                "processor_cores": self._member.info.processor_cores,
            }
        )
        put = store.Put(
            KEY_PREFIX + self._node_id, value.encode(), self._lease_id
        )
        outcome = await self._store.commit(store.Transaction(puts=[put]))
        if isinstance(outcome, result.Err):
            _LOG.warning(
                "gateway: cannot register this node: %s",
                outcome.err_value.detail,
            )
            self._lease_id = 0
            return False
        return True

    async def _update_loop(self) -> None:
        while True:
            self._update_members()
            await trio.sleep(REGISTRATION_BATCH_DELAY_S)
            with trio.move_on_after(MEMBER_CHECK_INTERVAL_S):
                await self._registrations_changed.wait()
            self._registrations_changed = trio.Event()

    def _update_members(self) -> None:
        registered = self._registered
        members = frozenset(registered) | self._network.connected_nodes()
        members |= {self._node_id}
        state = (members, registered)
        if state == self._applied_state:
            return
        self._applied_state = state
        _LOG.info(
            "gateway: members changed; added: %s; removed: %s",
            sorted(members - self._members),
            sorted(self._members - members),
        )
        self._members = members
        infos = dict.fromkeys(members, forward.NodeInfo(""))
        infos |= {n: m.info for n, m in registered.items()}
        infos[self._node_id] = self._member.info
        zones = {n: info.availability_zone for n, info in infos.items()}
        chosen = select_neighbours(
            self._node_id, zones
        ) | forward.select_delegation_peers(
            self._member.info.availability_zone,
            {n: m.info for n, m in registered.items()},
        )
        self._network.set_peers(
            {n: m.address for n, m in registered.items() if n in chosen}
        )
        self._on_members_changed(infos)


def _decode_member(value: bytes) -> Member | None:
    try:
        fields = json.loads(value)
        address = peers.PeerAddress(str(fields["address"]), int(fields["port"]))
        info = forward.NodeInfo(
            str(fields.get("availability_zone", "")),
            float(fields.get("processor_cores", 1.0)),
        )
        return Member(address, info)
    except (ValueError, TypeError, KeyError, RecursionError, OverflowError):
        return None
