"""Sites of several memberships, with a fake store and network.

Tests run the sites on trio's mock clock.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

import result
import trio

from geraniumstair import configuration
from geraniumstair import membership
from geraniumstair import peers
from geraniumstair import store
from geraniumstair._generated import messages
from tests import builders

_LATENCY_S = 0.001


def _key_revision(
    found: store.KeyValue | None, target: store.CompareTarget
) -> int:
    if found is None:
        return 0
    if target is store.CompareTarget.CREATE_REVISION:
        return found.create_revision
    return found.mod_revision


class FakeStore:
    """In-memory key-value store with leases and simulated outages."""

    def __init__(self) -> None:
        self.down = False
        self.revision = 0
        self.values: dict[str, store.KeyValue] = {}
        self.leases: dict[int, float] = {}
        self.last_lease_id = 1000

    def _expire_leases(self) -> None:
        now_s = trio.current_time()
        expired = {i for i, end_s in self.leases.items() if end_s <= now_s}
        for lease_id in expired:
            del self.leases[lease_id]
        for key, value in list(self.values.items()):
            if value.lease_id and value.lease_id not in self.leases:
                del self.values[key]

    async def _begin_request(self) -> Any:
        await trio.sleep(_LATENCY_S)
        self._expire_leases()
        if self.down:
            await trio.sleep(1)
            return result.Err(store.StoreFailure(store.Effect.UNKNOWN, "down"))
        return None

    async def get(self, key: str) -> Any:
        return await self._begin_request() or result.Ok(self.values.get(key))

    async def get_prefix(self, prefix: str) -> Any:
        return await self._begin_request() or result.Ok(
            [v for k, v in self.values.items() if k.startswith(prefix)]
        )

    async def commit(self, transaction: store.Transaction) -> Any:
        failure = await self._begin_request()
        if failure:
            return failure
        for compare in transaction.compares:
            found = self.values.get(compare.key)
            actual = _key_revision(found, compare.target)
            if actual != compare.expected:
                return result.Ok(store.CommitOutcome(False, self.revision))
        self.revision += 1
        for put in transaction.puts:
            old = self.values.get(put.key)
            self.values[put.key] = store.KeyValue(
                put.key,
                put.value,
                old.create_revision if old else self.revision,
                self.revision,
                put.lease_id,
            )
        return result.Ok(store.CommitOutcome(True, self.revision))

    async def grant_lease(self, ttl_s: int) -> Any:
        failure = await self._begin_request()
        if failure:
            return failure
        self.last_lease_id += 1
        lease_id = self.last_lease_id
        self.leases[lease_id] = trio.current_time() + ttl_s
        return result.Ok(lease_id)

    async def keep_alive(self, lease_id: int) -> Any:
        failure = await self._begin_request()
        if failure:
            return failure
        if lease_id in self.leases:
            self.leases[lease_id] = trio.current_time() + 5
        return result.Ok(lease_id in self.leases)

    async def revoke_lease(self, lease_id: int) -> Any:
        failure = await self._begin_request()
        if failure:
            return failure
        self.leases.pop(lease_id, None)
        self._expire_leases()
        return result.Ok(None)

    def watch(self, key: str, from_revision: int) -> Any:
        raise NotImplementedError


async def release_shards(
    nodes: Mapping[str, membership.Membership],
    is_skipped: Callable[[str], bool],
) -> None:
    """Hands over each shard that a node releases, as `OwnershipDriver` does.

    Args:
        nodes: Memberships by node id; may change while this runs.
        is_skipped: Returns whether to skip a node for now.
    """
    served: dict[str, set[configuration.ShardKey]] = {}
    while True:
        for name in [n for n in nodes if not is_skipped(n)]:
            current = set(nodes[name].ownership())
            for key in served.get(name, set()) - current:
                shard = messages.ShardName(key.service, key.shard, key.region)
                nodes[name].hand_over(messages.ShardState(shard, []))
            served[name] = current
        await trio.sleep(0.01)


@dataclasses.dataclass
class FakeHolder:
    """Configuration holder whose topology the tests set."""

    current: configuration.Topology | None


class FakeNetwork:
    """Network of one node; messages to a paused node are buffered."""

    def __init__(self, site: "Site", node_id: str) -> None:
        self.site = site
        self.node_id = node_id
        self.handlers: dict[type, Any] = {}
        self.buffered: list[tuple[str, Any]] = []

    def register_handler(self, message_type: type, handler: Any) -> None:
        self.handlers[message_type] = handler

    def set_peers(self, addresses: Mapping[str, peers.PeerAddress]) -> None:
        pass

    def add_seed(self, address: peers.PeerAddress) -> None:
        pass

    def connected_nodes(self) -> frozenset[str]:
        return frozenset(
            n
            for n in self.site.networks
            if self.site.are_linked(self.node_id, n)
        )

    def is_responsive(self, node_id: str) -> bool:
        return (
            self.site.are_linked(self.node_id, node_id)
            and node_id not in self.site.paused
        )

    def send(self, node_id: str, message: Any) -> bool:
        if not self.site.are_linked(self.node_id, node_id):
            return False
        self.site.nursery.start_soon(
            self.site.deliver, self.node_id, node_id, message
        )
        return True

    async def call(self, node_id: str, request: Any, timeout_ms: float) -> Any:
        with trio.move_on_after(timeout_ms / 1000):
            await trio.sleep(_LATENCY_S)
            unreachable = self.site.paused | self.site.mute
            if {node_id, self.node_id} & unreachable:
                await trio.sleep_forever()
            if self.site.are_linked(self.node_id, node_id):
                handler = self.site.networks[node_id].handlers[type(request)]
                reply = await handler(self.node_id, request)
                await trio.sleep(_LATENCY_S)
                if self.site.are_linked(self.node_id, node_id):
                    return result.Ok(reply)
        return result.Err(peers.PeerFailure(True, "lost"))


class Site:
    """Nodes `n0`, `n1`, … that share a store.

    Attributes:
        cuts: Pairs of nodes that cannot reach each other.
        paused: Nodes that neither send nor handle messages.
        mute: Nodes that receive messages but whose own are lost.
        busy: Nodes whose requests in flight never end, so that they do not
            hand over the shards they release.
        conflicts: Time, shard and owners of each shard that had two owners.
    """

    def __init__(self, nursery: trio.Nursery, key_count: int = 20) -> None:
        self.nursery = nursery
        self.store = FakeStore()
        self.holder = FakeHolder(
            builders.build_topology(service_count=key_count)
        )
        self.networks: dict[str, FakeNetwork] = {}
        self.nodes: dict[str, membership.Membership] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.cuts: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.mute: set[str] = set()
        self.busy: set[str] = set()
        self.conflicts: list[Any] = []

    def are_linked(self, one: str, other: str) -> bool:
        return (
            one != other
            and {one, other} <= self.networks.keys()
            and frozenset((one, other)) not in self.cuts
        )

    async def deliver(self, source: str, target: str, message: Any) -> None:
        await trio.sleep(_LATENCY_S)
        network = self.networks.get(target)
        if network is None or not self.are_linked(source, target):
            return
        if source in self.paused | self.mute:
            return
        if target in self.paused:
            network.buffered.append((source, message))
            return
        await network.handlers[type(message)](source, message)

    async def start(
        self,
        name: str,
        incarnation: int = 1,
        availability_zone: str = "az-a",
    ) -> None:
        member = messages.Member(
            name, incarnation, "127.0.0.1", 1, availability_zone, "r1"
        )
        network = FakeNetwork(self, name)
        node = membership.Membership(member, network, self.store, self.holder)
        scope = trio.CancelScope()

        async def run(task_status: Any) -> None:
            with scope:
                await node.run(task_status=task_status)

        await self.nursery.start(run)
        self.networks[name] = network
        self.nodes[name] = node
        self.scopes[name] = scope

    def set_out(self, availability_zone: str, out: bool) -> None:
        """Installs a topology with the availability zone out or in."""
        topology = self.holder.current
        assert topology is not None
        spec = topology.availability_zones[availability_zone]
        changed = dataclasses.replace(spec, out=out)
        self.holder.current = dataclasses.replace(
            topology,
            revision=topology.revision + 1,
            availability_zones={
                **topology.availability_zones,
                availability_zone: changed,
            },
        )

    def kill(self, name: str) -> None:
        self.scopes.pop(name).cancel()
        del self.networks[name], self.nodes[name]

    def cut_off(self, name: str) -> None:
        self.cuts |= {frozenset((name, n)) for n in self.networks}

    def heal(self) -> None:
        self.cuts.clear()

    async def resume(self, name: str) -> None:
        self.paused.discard(name)
        network = self.networks[name]
        buffered, network.buffered = network.buffered, []
        for source, message in buffered:
            await network.handlers[type(message)](source, message)

    def owners(self) -> dict[configuration.ShardKey, list[str]]:
        """Returns the nodes with full authority for each shard."""
        found: dict[configuration.ShardKey, list[str]] = {}
        for name, node in self.nodes.items():
            if name in self.paused:
                continue
            for key, authority in node.ownership().items():
                if authority is membership.Authority.FULL:
                    found.setdefault(key, []).append(name)
        return found

    async def release_shards(self) -> None:
        """Hands over released shards, unless the node is paused or busy."""
        await release_shards(
            self.nodes, lambda name: name in self.paused | self.busy
        )

    async def watch_conflicts(self) -> None:
        """Records each shard that several nodes own at the same time."""
        while True:
            for key, names in self.owners().items():
                if len(names) > 1:
                    self.conflicts.append((trio.current_time(), key, names))
            await trio.sleep(0.01)
