"""The endpoints of each service, and the choice among them."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import logging
import random
from typing import Any

import trio
import xxhash

from geraniumstair import discovery
from geraniumstair import routing
from geraniumstair import verdict
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics
from geraniumstair.forward import _replica

_LOG = logging.getLogger(__name__)
# Part of an endpoint's connections that the nodes share out. The rest is for
# nodes that have just joined and connections that are being closed.
CONNECTIONS_USED_PART = 0.8
MAX_LINKS = 6
# A failing endpoint is as costly as one that takes this much longer.
FAILURE_COST_MS = 300.0
# Requests of a cold endpoint that are used of those that it bears.
WARMUP_USED_PART = 0.9
# Endpoints of one service that a node of a large site uses, so that each
# connection carries enough calls to stay open.
LEAST_SUBSET = 2
# Searches of this many shards are divided into groups. Sending fewer calls
# takes a node of half a core less time than a hop to another node.
LARGE_SEARCH_SHARDS = 45
# Nodes that use a shard which is asked through a few nodes only.
GROUPED_USERS = 12
# A node that is no longer a member counts as a user for this time: the store
# may have taken its registration away while it serves. As long as the lease.
MEMBER_MEMORY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """What this node is and how it weighs distance.

    Attributes:
        node_id: This node.
        availability_zone: Where this node runs.
        remote_cost_ms: What a call to another availability zone costs, as
            additional time.
    """

    node_id: str
    availability_zone: str
    remote_cost_ms: float


class _ColdLimit:
    """Requests that this node may send to one cold endpoint."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = min(1.0, per_s)
        self._filled_s = trio.current_time()

    def allows(self) -> bool:
        now_s = trio.current_time()
        gained = (now_s - self._filled_s) * self._per_s
        self._filled_s = now_s
        self._tokens = min(max(1.0, self._per_s / 4), self._tokens + gained)
        return self._tokens >= 1

    def spend(self) -> None:
        self._tokens -= 1


class EndpointPool:
    """All endpoints of the services that routes lead to.

    Args:
        settings: This node.
        registry: The known endpoints.
        factory: Opens connections.
        spawner: Runs the tasks of the connections.
        metrics: Where calls are counted.
        versions: Shares of versions during rollouts.
        rng: Breaks ties.
    """

    def __init__(
        self,
        settings: PoolSettings,
        registry: discovery.EndpointRegistry,
        factory: _link.LinkFactory,
        spawner: _replica.Spawner,
        metrics: _metrics.ForwardMetrics,
        versions: verdict.VersionBook,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._factory = factory
        self._spawner = spawner
        self._metrics = metrics
        self._versions = versions
        self._rng = rng
        self._replicas: dict[tuple[str, int, str, int], _replica.Replica] = {}
        self._by_service: dict[str, list[_replica.Replica]] = {}
        self._cold_limits: dict[str, _ColdLimit] = {}
        self._table: routing.RouteTable | None = None
        self._wanted: frozenset[str] = frozenset()
        self._present: frozenset[str] = frozenset([settings.node_id])
        self._present_s: dict[str, float] = {}
        # Those present, and those that were a short time ago.
        self._members: Sequence[str] = (settings.node_id,)
        self._unswept: set[_replica.Replica] = set()
        self._sweep_wanted = trio.Event()
        self._zones_out: frozenset[str] = frozenset()
        self._grouped: frozenset[str] = frozenset()

    # ---- what the pool is told ----

    def adopt_table(self, table: routing.RouteTable) -> None:
        """Adopts another version of the routes."""
        self._table = table
        self._grouped = frozenset(
            service
            for route in table.routes()
            if len(route.shards) >= LARGE_SEARCH_SHARDS
            for service in route.shards
        )
        # Only a few nodes call grouped services; they connect when they do.
        self._wanted = table.services() - self._grouped
        self._refresh_all()

    def set_members(self, members: Collection[str]) -> None:
        """Sets the nodes that share the endpoints' connections."""
        present = frozenset({*members, self._settings.node_id})
        now_s = trio.current_time()
        self._present_s.update(dict.fromkeys(self._present | present, now_s))
        self._present = present
        self._members = self._recent_members()
        self._refresh_all()

    def _recent_members(self) -> Sequence[str]:
        before_s = trio.current_time() - MEMBER_MEMORY_S
        self._present_s = {
            node_id: at_s
            for node_id, at_s in self._present_s.items()
            if at_s > before_s or node_id in self._present
        }
        return sorted(self._present | self._present_s.keys())

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose endpoints get nothing."""
        if zones != self._zones_out:
            _LOG.info("forward: availability zones out: %s", sorted(zones))
            back = self._zones_out - zones
            self._zones_out = zones
            self._mark_cold(back)

    def _mark_cold(self, zones: frozenset[str]) -> None:
        for replica in self._replicas.values():
            if replica.entry.availability_zone in zones:
                limits = self._limits(replica.entry.service)
                replica.cold_until_s = trio.current_time() + limits.warmup_s

    def refresh(self) -> None:
        """Follows the registry; connections of removed endpoints close.

        Endpoints of a large site register one after the other, so only the
        services that changed are looked at.
        """
        members = self._recent_members()
        if members != self._members:
            self._members = members
            self._refresh_all()
            return
        self._follow(self._registry.take_changed())

    def _refresh_all(self) -> None:
        changed = self._registry.take_changed()
        registered = {e.service for e in self._registry.entries()}
        self._follow(changed | registered | self._by_service.keys())

    def _follow(self, services: Set[str]) -> None:
        if not services:
            return
        entries = {
            e.lifetime: e
            for e in self._registry.entries()
            if e.service in services
        }
        gone = [
            lifetime
            for lifetime, replica in self._replicas.items()
            if replica.entry.service in services and lifetime not in entries
        ]
        for lifetime in gone:
            self._replicas.pop(lifetime).close()
        if gone:
            self._forget_cold_limits()
        for lifetime, entry in entries.items():
            replica = self._replicas.get(lifetime)
            if replica is None:
                replica = self._add(entry)
                self._replicas[lifetime] = replica
            elif entry.warmup_left_ms and entry != replica.entry:
                self._note_cold(replica, entry)
            replica.entry = entry
        self._index(services)

    def _add(self, entry: discovery.EndpointEntry) -> _replica.Replica:
        replica = _replica.Replica(
            entry,
            self._max_links(entry.service),
            self._factory,
            self._spawner,
            self._metrics,
            self._versions,
            self._want_sweep,
        )
        self._note_cold(replica, entry)
        return replica

    def _note_cold(
        self, replica: _replica.Replica, entry: discovery.EndpointEntry
    ) -> None:
        left_s = entry.warmup_left_ms / 1000
        replica.cold_until_s = trio.current_time() + left_s

    def _index(self, services: Set[str]) -> None:
        found: dict[str, list[_replica.Replica]] = {}
        for replica in self._replicas.values():
            if replica.entry.service in services:
                found.setdefault(replica.entry.service, []).append(replica)
        for service in services:
            self._by_service.pop(service, None)
        for service, replicas in found.items():
            max_links = self._max_links(service)
            for replica in replicas:
                replica.max_links = max_links
            used = self._subset(service, replicas)
            self._by_service[service] = used
            if service in self._wanted:
                for replica in used:
                    if replica.entry.state is discovery.EndpointState.READY:
                        replica.warm()

    def _subset(
        self, service: str, replicas: list[_replica.Replica]
    ) -> list[_replica.Replica]:
        """Returns the endpoints that this node uses.

        With many nodes, an endpoint has not enough connections for all. Each
        node then uses the endpoints that rank it highest.
        """
        limit = self._limits(service).max_connections * CONNECTIONS_USED_PART
        nodes = self.users(service)
        if nodes <= limit or len(replicas) <= LEAST_SUBSET:
            return replicas
        count = max(LEAST_SUBSET, int(len(replicas) * limit / nodes))
        node_id = self._settings.node_id
        ready = [
            r
            for r in replicas
            if r.entry.state is discovery.EndpointState.READY
        ]
        zone = self._settings.availability_zone
        ready.sort(
            key=lambda r: (
                r.entry.availability_zone != zone,
                xxhash.xxh64_intdigest(
                    f"{node_id}/{r.entry.endpoint_id}".encode()
                ),
            )
        )
        kept = set(ready[:count])
        return [r for r in replicas if r in kept] or replicas

    def _limits(self, service: str) -> routing.ServiceLimits:
        if self._table is None:
            return routing.ServiceLimits()
        return self._table.service_limits(service)

    def _max_links(self, service: str) -> int:
        limits = self._limits(service)
        share = CONNECTIONS_USED_PART * limits.max_connections
        return max(1, min(MAX_LINKS, int(share / self.users(service))))

    def size(self, service: str) -> int:
        """Returns the number of endpoints that may get calls."""
        return sum(_takes_calls(r) for r in self._by_service.get(service, ()))

    def users(self, service: str) -> int:
        """Returns the number of nodes that call a service."""
        if service in self._grouped:
            return min(GROUPED_USERS, len(self._members))
        return len(self._members)

    # ---- choice ----

    def choose(
        self, service: str, tried: Collection[str], *, healthy: bool = False
    ) -> _replica.Replica | None:
        """Returns the best endpoint for a call.

        Args:
            service: The service.
            tried: Endpoints that must not be chosen.
            healthy: Returns none rather than one that makes no progress.
        """
        now_s = trio.current_time()
        best = None
        best_cost = (9, 0.0)
        for replica in self._by_service.get(service, ()):
            if replica.entry.endpoint_id in tried:
                continue
            cost = self._cost(replica, now_s)
            if cost is not None and cost < best_cost:
                best, best_cost = replica, cost
        if best is None or (healthy and best_cost[0] > 0):
            return None
        limit = self._cold_limit(best, now_s)
        if limit is not None:
            limit.spend()
        gate = self._versions.gate(service)
        if gate is not None:
            gate.count(best.entry.version)
        return best

    def _cost(
        self, replica: _replica.Replica, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the rank and the expected time; None if it can't be used.

        Sound endpoints have rank 0 or less.
        """
        entry = replica.entry
        state = entry.state
        if not _takes_calls(replica):
            return None
        if entry.availability_zone in self._zones_out:
            return None
        gate = self._versions.gate(entry.service)
        if gate is not None and not gate.allows(entry.version):
            return None
        limit = self._cold_limit(replica, now_s)
        if limit is not None and not limit.allows():
            return None
        if replica.is_down(now_s) and replica.is_avoided(now_s):
            # They take turns, so that one that is back is found soon.
            return 3, -replica.since_submitted_s(now_s)
        rank = 0
        if state is discovery.EndpointState.LAPSED or replica.is_avoided(now_s):
            rank = 2
        elif replica.is_stalled(now_s):
            rank = 1
        elif gate is not None and gate.is_new(entry.version):
            # Its share is due, and evidence needs requests.
            rank = -1
        waits = 1 + replica.load / max(1, entry.slots)
        cost_ms = replica.expected_ms(now_s) * waits
        cost_ms += FAILURE_COST_MS * replica.failure_share
        if entry.availability_zone != self._settings.availability_zone:
            cost_ms += self._settings.remote_cost_ms
        return rank, cost_ms + self._rng.random()

    def _cold_limit(
        self, replica: _replica.Replica, now_s: float
    ) -> _ColdLimit | None:
        if now_s >= replica.cold_until_s:
            return None
        endpoint_id = replica.entry.endpoint_id
        limit = self._cold_limits.get(endpoint_id)
        if limit is None:
            per_s = self._cold_share(replica)
            if per_s is None:
                return None
            limit = self._cold_limits[endpoint_id] = _ColdLimit(per_s)
        return limit

    def _cold_share(self, replica: _replica.Replica) -> float | None:
        """Returns this node's part of what a cold endpoint bears.

        So many nodes share it that each may send one request a second; they
        are the ones that rank highest for this endpoint. None if the
        endpoint needs no care.
        """
        bears = self._limits(replica.entry.service).warmup_per_s
        if bears <= 0:
            return None
        usable = bears * WARMUP_USED_PART
        nodes = max(1, min(len(self._members), int(usable)))
        endpoint_id = replica.entry.endpoint_id
        ranked = sorted(
            self._members,
            key=lambda n: xxhash.xxh64_intdigest(f"{endpoint_id}/{n}".encode()),
        )
        if self._settings.node_id not in ranked[:nodes]:
            return 0.0
        return usable / nodes

    def sound_zones(self, service: str) -> frozenset[str]:
        """Returns the availability zones with a sound endpoint."""
        now_s = trio.current_time()
        return frozenset(
            r.entry.availability_zone
            for r in self._by_service.get(service, ())
            if (cost := self._cost(r, now_s)) is not None and cost[0] <= 0
        )

    def usable(self, service: str) -> bool:
        """True if some endpoint of the service may get calls."""
        return any(
            _takes_calls(r) and r.entry.availability_zone not in self._zones_out
            for r in self._by_service.get(service, ())
        )

    def known_down(self, service: str) -> bool:
        """True if no endpoint of the service can answer a call now.

        Not so if it has endpoints that may be back: none was asked lately.
        """
        now_s = trio.current_time()
        replicas = self._by_service.get(service, ())
        down = [r for r in replicas if r.is_down(now_s)]
        if not down:
            return False
        for replica in replicas:
            if replica not in down and self._cost(replica, now_s) is not None:
                return False
        asked_s = min(r.since_submitted_s(now_s) for r in down)
        return asked_s < _replica.PROBE_EVERY_S

    def retry_after_s(self, service: str) -> float | None:
        """Returns when an endpoint is expected back; None if unknown."""
        now_s = trio.current_time()
        waits = [
            r.retry_in_s(now_s)
            for r in self._by_service.get(service, ())
            if r.entry.state is discovery.EndpointState.READY
        ]
        return min(waits) if waits else None

    def _want_sweep(self, replica: _replica.Replica) -> None:
        self._unswept.add(replica)
        self._sweep_wanted.set()

    async def sweep_wanted(self) -> None:
        """Returns when some endpoint has calls to be swept."""
        await self._sweep_wanted.wait()

    def sweep(self) -> None:
        """Ends calls that were abandoned, and sends calls that wait."""
        now_s = trio.current_time()
        for replica in list(self._unswept):
            replica.sweep(now_s)
            if not replica.needs_sweep:
                self._unswept.discard(replica)
        if not self._unswept:
            self._sweep_wanted = trio.Event()

    def _forget_cold_limits(self) -> None:
        known = {r.entry.endpoint_id for r in self._replicas.values()}
        for endpoint_id in self._cold_limits.keys() - known:
            del self._cold_limits[endpoint_id]

    def replicas(self) -> Iterable[_replica.Replica]:
        """Returns all endpoints."""
        return self._replicas.values()

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        return {
            service: [replica.dump() for replica in replicas]
            for service, replicas in sorted(self._by_service.items())
        }


def _takes_calls(replica: _replica.Replica) -> bool:
    draining = replica.entry.state is discovery.EndpointState.DRAINING
    return not draining and not replica.replaced
