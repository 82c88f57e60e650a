"""Endpoints of each service, and load balancing over them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import logging
import random
from typing import Any

import trio
import xxhash

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import routing
from geraniumstair.forward import _delegation_nodes
from geraniumstair.forward import _health
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics
from geraniumstair.forward import _rates
from geraniumstair.forward import _replica
from geraniumstair.forward import _statements

_LOG = logging.getLogger(__name__)
# Share of an endpoint's connections that the nodes divide among themselves. The
# rest is for nodes that have just joined and connections that are being closed.
CONNECTIONS_USED_SHARE = 0.8
MAX_LINKS = 6
# Time that is added to the cost of an endpoint whose calls all fail.
FAILURE_COST_MS = 300.0
# Share of the request rate limit of a cold endpoint that the nodes use.
WARMUP_USED_SHARE = 0.9
# Least number of endpoints of a service that a node of a large site uses. With
# few endpoints, each connection carries enough calls to stay open.
MIN_SUBSET_SIZE = 2
# Searches of at least this many shards are divided into groups. For fewer
# shards, a node of half a core sends the calls in less time than a hop to
# another node takes.
LARGE_SEARCH_SHARDS = 45
# Number of nodes that call a shard whose search is divided into groups.
GROUPED_SERVICE_NODES = 12
# Share of a grouped service's fixed number of repeats that the nodes calling it
# for others divide among themselves. The rest is for all other nodes: single
# requests reach the service through any node, and so do searches whose groups
# cannot be delegated.
GROUPED_REPEATS_SHARE = 0.5
# A node that is no longer a member still counts for this time, because the
# store may have removed its registration while it serves. Equal to the duration
# of the registration's lease.
MEMBER_RETENTION_S = 30.0
# Instances whose wishes are kept while they are not registered.
MAX_EARLIER_WISHES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Identity and location of this node.

    Attributes:
        node_id: Id of this node.
        availability_zone: Availability zone of this node.
        remote_cost_ms: Time that is added to the cost of an endpoint in another
            availability zone.
    """

    node_id: str
    availability_zone: str
    remote_cost_ms: float


_InstanceKey = tuple[str, int, str, int]

# Called when an endpoint states another limit than before to this node, with
# the nodes that have a full part of either limit.
LimitListener = Callable[[_replica.Replica, Set[str]], None]


class EndpointPool:
    """All endpoints of the services that routes lead to.

    Args:
        settings: Identity and location of this node.
        registry: The known endpoints.
        factory: Opens connections.
        spawner: Starts the tasks of the connections.
        metrics: Counts calls.
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
        versions: canary.VersionTracker,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._factory = factory
        self._spawner = spawner
        self._metrics = metrics
        self._versions = versions
        self._rng = rng
        self._replicas: dict[_InstanceKey, _replica.Replica] = {}
        # Of instances that are not registered at present.
        self._earlier_wishes: dict[_InstanceKey, _statements.Wishes] = {}
        self._by_service: dict[str, list[_replica.Replica]] = {}
        # Also contains the endpoints that this node does not use.
        self._registered: dict[str, list[_replica.Replica]] = {}
        self._cold_limits: dict[str, _rates.TokenBucket] = {}
        self._table: routing.RouteTable | None = None
        self._preconnected_services: frozenset[str] = frozenset()
        # By zone, the nodes that call grouped services for others.
        self._group_nodes: Mapping[str, Sequence[str]] = {}
        # True if this node is one of them, or none is known yet.
        self._calls_groups = True
        # Weights of the nodes that call a grouped service for others, by the
        # zones of its endpoints and the keys of its blocks. Ranking nodes takes
        # longer than a call, so changes of endpoints must not repeat it.
        self._group_callers: dict[
            tuple[frozenset[str], frozenset[str]], Mapping[str, float]
        ] = {}
        self._current_members: frozenset[str] = frozenset([settings.node_id])
        self._last_member_at_s: dict[str, float] = {}
        self._node_infos: dict[str, _delegation_nodes.NodeInfo] = {
            settings.node_id: _delegation_nodes.NodeInfo(
                settings.availability_zone
            )
        }
        self._stated_limits = _rates.StatedLimits(
            settings.node_id, self._node_infos, rng
        )
        self._limit_listener: LimitListener | None = None
        # Includes former members for `MEMBER_RETENTION_S`.
        self._recent_members: Sequence[str] = (settings.node_id,)
        self._replicas_to_sweep: set[_replica.Replica] = set()
        self._sweep_needed = trio.Event()
        self._zones_out: frozenset[str] = frozenset()
        self._grouped_services: frozenset[str] = frozenset()
        self._block_keys: Mapping[str, frozenset[str]] = {}

    # ---- routes, members and registry ----

    def set_route_table(self, table: routing.RouteTable) -> None:
        """Replaces the route table."""
        self._table = table
        self._grouped_services = frozenset(
            service
            for route in table.routes()
            if len(route.shards) >= LARGE_SEARCH_SHARDS
            for service in route.shards
        )
        self._block_keys = _delegation_nodes.find_block_keys(
            route.shards
            for route in table.routes()
            if len(route.shards) >= LARGE_SEARCH_SHARDS
        )
        self._group_callers.clear()
        # Only a few nodes call grouped services, and they connect on demand.
        self._preconnected_services = table.services() - self._grouped_services
        self._refresh_all()

    def set_members(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        """Sets the nodes that share the endpoints' connections and rates."""
        current = frozenset({*nodes, self._settings.node_id})
        infos = self._node_infos | {
            # A node whose registration has lapsed stays in its zone.
            n: info
            for n, info in nodes.items()
            if info.availability_zone or n not in self._node_infos
        }
        infos_changed = infos != self._node_infos
        self._node_infos = infos
        if infos_changed:
            self._group_callers.clear()
        now_s = trio.current_time()
        self._last_member_at_s.update(
            dict.fromkeys(self._current_members | current, now_s)
        )
        self._current_members = current
        recent = self._find_recent_members()
        # A node that restarts stays among them, so a restart of a whole site
        # does not make each node process all endpoints for each other node.
        if recent != self._recent_members:
            self._set_recent_members(recent)
        elif infos_changed:
            self._stated_limits.set_nodes(infos)

    def _set_recent_members(self, members: Sequence[str]) -> None:
        self._recent_members = members
        self._node_infos = {n: self._node_infos[n] for n in members}
        self._stated_limits.set_nodes(self._node_infos)
        self._refresh_all()

    def set_group_nodes(self, nodes: Mapping[str, Sequence[str]]) -> None:
        """Sets the nodes that call grouped services for others, by zone."""
        if nodes == self._group_nodes:
            return
        self._group_nodes = nodes
        self._group_callers.clear()
        calls_groups = any(
            self._settings.node_id in node_ids for node_ids in nodes.values()
        )
        if calls_groups != self._calls_groups:
            self._calls_groups = calls_groups
            for replica in self._replicas.values():
                replica.keeps_links = self._keeps_links(replica.entry.service)

    def _find_recent_members(self) -> Sequence[str]:
        cutoff_s = trio.current_time() - MEMBER_RETENTION_S
        self._last_member_at_s = {
            node_id: at_s
            for node_id, at_s in self._last_member_at_s.items()
            if at_s > cutoff_s or node_id in self._current_members
        }
        return sorted(self._current_members | self._last_member_at_s.keys())

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose endpoints get no calls."""
        if zones != self._zones_out:
            _LOG.info("forward: availability zones out: %s", sorted(zones))
            restored = self._zones_out - zones
            self._zones_out = zones
            self._restart_warmup(restored)

    def _restart_warmup(self, zones: frozenset[str]) -> None:
        for replica in self._replicas.values():
            if replica.entry.availability_zone in zones:
                limits = self._get_limits(replica.entry.service)
                replica.cold_until_s = trio.current_time() + limits.warmup_s

    def apply_registry_changes(self) -> None:
        """Applies changes in the registry; closes links of removed endpoints.

        Endpoints of a large site register one after the other, so only the
        services that changed are processed.
        """
        members = self._find_recent_members()
        if members != self._recent_members:
            self._set_recent_members(members)
            return
        self._apply_registry(self._registry.pop_changed_services())

    def _refresh_all(self) -> None:
        changed = self._registry.pop_changed_services()
        registered = {e.service for e in self._registry.entries()}
        self._apply_registry(changed | registered | self._by_service.keys())

    def _apply_registry(self, services: Set[str]) -> None:
        if not services:
            return
        entries = {
            e.instance_key: e
            for e in self._registry.entries()
            if e.service in services
        }
        removed = [
            instance_key
            for instance_key, replica in self._replicas.items()
            if replica.entry.service in services and instance_key not in entries
        ]
        for instance_key in removed:
            ended = self._replicas.pop(instance_key)
            ended.close()
            self._remember_wishes(instance_key, ended.wishes)
        if removed:
            self._drop_rate_limits()
        for instance_key, entry in entries.items():
            replica = self._replicas.get(instance_key)
            if replica is None:
                replica = self._create_replica(entry)
                self._replicas[instance_key] = replica
            elif entry.warmup_left_ms and entry != replica.entry:
                self._start_warmup(replica, entry)
            replica.entry = entry
        self._index_services(services)

    def _create_replica(
        self, entry: discovery.EndpointEntry
    ) -> _replica.Replica:
        replica = _replica.Replica(
            entry,
            self._compute_max_links(entry.service),
            self._factory,
            self._spawner,
            self._metrics,
            self._versions,
            self._schedule_sweep,
            self._on_limit_stated,
            self._earlier_wishes.pop(entry.instance_key, None),
        )
        self._start_warmup(replica, entry)
        return replica

    def _remember_wishes(
        self, instance_key: _InstanceKey, wishes: _statements.Wishes
    ) -> None:
        # An entry that lapsed while the store was away returns.
        if wishes == _statements.Wishes():
            return
        if len(self._earlier_wishes) >= MAX_EARLIER_WISHES:
            del self._earlier_wishes[next(iter(self._earlier_wishes))]
        self._earlier_wishes[instance_key] = wishes

    def _start_warmup(
        self, replica: _replica.Replica, entry: discovery.EndpointEntry
    ) -> None:
        remaining_s = entry.warmup_left_ms / 1000
        replica.cold_until_s = trio.current_time() + remaining_s

    def _index_services(self, services: Set[str]) -> None:
        found: dict[str, list[_replica.Replica]] = {}
        for replica in self._replicas.values():
            if replica.entry.service in services:
                found.setdefault(replica.entry.service, []).append(replica)
        for service in services:
            self._by_service.pop(service, None)
            self._registered.pop(service, None)
        for service, replicas in found.items():
            self._registered[service] = replicas
            max_links = self._compute_max_links(service)
            keeps_links = self._keeps_links(service)
            for replica in replicas:
                replica.max_links = max_links
                replica.keeps_links = keeps_links
            used = self._choose_subset(service, replicas)
            self._by_service[service] = used
            if service in self._preconnected_services and keeps_links:
                for replica in used:
                    if replica.entry.state is discovery.EndpointState.READY:
                        replica.preconnect()

    def _choose_subset(
        self, service: str, replicas: list[_replica.Replica]
    ) -> list[_replica.Replica]:
        """Returns the endpoints that this node uses.

        With many nodes, an endpoint does not have enough connections for all of
        them. Each node then uses the first endpoints of its own ranking: those
        in its availability zone, then the others, each ordered by a hash.
        """
        limit = (
            self._get_limits(service).max_connections * CONNECTIONS_USED_SHARE
        )
        node_count = self.node_count(service)
        if node_count <= limit or len(replicas) <= MIN_SUBSET_SIZE:
            return replicas
        subset_size = max(
            MIN_SUBSET_SIZE, int(len(replicas) * limit / node_count)
        )
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
        subset = set(ready[:subset_size])
        return [r for r in replicas if r in subset] or replicas

    def _keeps_links(self, service: str) -> bool:
        """Returns whether this node may keep idle connections to a service.

        If more nodes call a service than its endpoints accept connections,
        idle ones would make the endpoints reset connections that carry calls.
        """
        if service in self._grouped_services and not self._calls_groups:
            return False
        limit = self._get_limits(service).max_connections
        return self.node_count(service) <= CONNECTIONS_USED_SHARE * limit

    def _get_limits(self, service: str) -> routing.ServiceLimits:
        if self._table is None:
            return routing.ServiceLimits()
        return self._table.service_limits(service)

    def _compute_max_links(self, service: str) -> int:
        limits = self._get_limits(service)
        share = CONNECTIONS_USED_SHARE * limits.max_connections
        return max(1, min(MAX_LINKS, int(share / self.node_count(service))))

    def endpoint_count(self, service: str) -> int:
        """Returns the number of endpoints that some node may call.

        This includes endpoints that this node does not use.
        """
        return sum(r.accepts_calls for r in self._registered.get(service, ()))

    def node_count(self, service: str) -> int:
        """Returns the number of nodes that call a service."""
        if service in self._grouped_services:
            return min(GROUPED_SERVICE_NODES, len(self._recent_members))
        return len(self._recent_members)

    def repeat_share(self, service: str) -> float:
        """Returns this node's share of a service's fixed number of repeats.

        The shares of all nodes add up to 1 at most.
        """
        node_count = len(self._recent_members)
        if service not in self._grouped_services:
            return 1 / node_count
        callers = self._find_group_callers(service)
        other_count = node_count - len(callers)
        if not callers or other_count <= 0:
            return 1 / node_count
        weight = callers.get(self._settings.node_id)
        if weight is not None:
            return GROUPED_REPEATS_SHARE * weight / sum(callers.values())
        return (1 - GROUPED_REPEATS_SHARE) / other_count

    def _find_group_callers(self, service: str) -> Mapping[str, float]:
        zones = frozenset(
            r.entry.availability_zone for r in self._registered.get(service, ())
        )
        block_keys = self._block_keys.get(service, frozenset())
        callers = self._group_callers.get((zones, block_keys))
        if callers is None:
            callers = _delegation_nodes.weigh_group_callers(
                {z: n for z, n in self._group_nodes.items() if z in zones},
                block_keys,
                self._node_infos,
            )
            self._group_callers[zones, block_keys] = callers
        return callers

    # ---- load balancing ----

    def choose_replica(
        self,
        service: str,
        tried: Collection[str],
        *,
        only_healthy: bool = False,
    ) -> _replica.Replica | None:
        """Returns the endpoint with the lowest cost; None if there is none.

        Args:
            service: The service.
            tried: Ids of endpoints that must not be chosen.
            only_healthy: Returns None if every endpoint is lapsed, avoided,
                down or stalled.
        """
        now_s = trio.current_time()
        best = None
        # Above every rank that `_compute_cost` returns.
        best_cost = (9, 0.0)
        for replica in self._by_service.get(service, ()):
            if replica.entry.endpoint_id in tried:
                continue
            cost = self._compute_cost(replica, now_s)
            if cost is not None and cost < best_cost:
                best, best_cost = replica, cost
        if best is None or (only_healthy and best_cost[0] > 0):
            return None
        for limit in self._find_rate_limits(best, now_s):
            limit.consume(now_s)
        self._count_version(best)
        return best

    def _count_version(self, replica: _replica.Replica) -> None:
        gate = self._versions.find_gate(replica.entry.service)
        if gate is not None:
            gate.count_request(replica.entry.version)

    def _compute_cost(
        self, replica: _replica.Replica, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the rank and the cost in ms; None if unusable.

        The rank of a healthy endpoint is at most 0.
        """
        limit = self._find_stated_limit(replica, now_s)
        if limit is not None and not limit.has_token(now_s):
            return None
        return self._compute_unlimited_cost(replica, now_s)

    def _compute_unlimited_cost(
        self, replica: _replica.Replica, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the cost regardless of the limit that an endpoint states."""
        entry = replica.entry
        state = entry.state
        if not replica.accepts_calls or replica.wishes.is_paused(now_s):
            return None
        if entry.availability_zone in self._zones_out:
            return None
        gate = self._versions.find_gate(entry.service)
        if gate is not None and not gate.allows(entry.version):
            return None
        limit = self._get_cold_limit(replica, now_s)
        if limit is not None and not limit.has_token(now_s):
            return None
        if replica.health.is_down(now_s) and replica.health.is_avoided(now_s):
            # Endpoints that are down are probed in turn, so that a recovered
            # one is found soon.
            return 3, -replica.since_last_call_s(now_s)
        rank = 0
        if state is discovery.EndpointState.LAPSED or replica.health.is_avoided(
            now_s
        ):
            rank = 2
        elif replica.is_stalled(now_s):
            rank = 1
        elif gate is not None and gate.is_new(entry.version):
            # The new version is below its share of requests, and its evaluation
            # needs requests.
            rank = -1
        load_factor = 1 + replica.load / max(1, entry.slots)
        cost_ms = replica.expected_ms(now_s) * load_factor
        cost_ms += FAILURE_COST_MS * replica.health.failure_share
        if entry.availability_zone != self._settings.availability_zone:
            cost_ms += self._settings.remote_cost_ms
        return rank, cost_ms + self._rng.random()

    def _find_rate_limits(
        self, replica: _replica.Replica, now_s: float
    ) -> Iterable[_rates.RateLimit]:
        limits = (
            self._get_cold_limit(replica, now_s),
            self._find_stated_limit(replica, now_s),
        )
        return (limit for limit in limits if limit is not None)

    def _find_stated_limit(
        self, replica: _replica.Replica, now_s: float
    ) -> _rates.RateLimit | None:
        return self._stated_limits.find_limit(
            replica.entry,
            replica.rate_limit_per_s,
            replica.rate_statement.limited_since_s,
            now_s,
        )

    def _get_cold_limit(
        self, replica: _replica.Replica, now_s: float
    ) -> _rates.TokenBucket | None:
        if now_s >= replica.cold_until_s:
            return None
        endpoint_id = replica.entry.endpoint_id
        limit = self._cold_limits.get(endpoint_id)
        if limit is None:
            limit_per_s = self._get_limits(replica.entry.service).warmup_per_s
            if limit_per_s <= 0:
                return None
            per_s = _rates.compute_cold_rate_per_s(
                self._settings.node_id,
                endpoint_id,
                limit_per_s * WARMUP_USED_SHARE,
                self._recent_members,
            )
            limit = _rates.TokenBucket(per_s, now_s, min(1.0, per_s))
            self._cold_limits[endpoint_id] = limit
        return limit

    def is_at_stated_limit(self, service: str) -> bool:
        """Returns whether only limits that endpoints state prevent a call."""
        now_s = trio.current_time()
        limited = False
        for replica in self._by_service.get(service, ()):
            if self._compute_unlimited_cost(replica, now_s) is None:
                continue
            limit = self._find_stated_limit(replica, now_s)
            if limit is None or limit.has_token(now_s):
                return False
            limited = True
        return limited

    def set_limit_listener(self, listener: LimitListener) -> None:
        """Sets the function that is told of limits that endpoints state."""
        self._limit_listener = listener

    def _on_limit_stated(
        self, replica: _replica.Replica, earlier_per_s: float | None
    ) -> None:
        if self._limit_listener is None:
            return
        full_nodes: set[str] = set()
        for limit_per_s in (earlier_per_s, replica.rate_limit_per_s):
            if limit_per_s is not None:
                parts = self._stated_limits.divide(replica.entry, limit_per_s)
                full_nodes.update(parts.full)
        self._limit_listener(replica, full_nodes)

    def find_limited(
        self, service: str
    ) -> list[tuple[_replica.Replica, Collection[str]]]:
        """Returns the healthy endpoints of a service that state a limit.

        Returns:
            Each endpoint with the nodes that have a full part of its limit.
        """
        now_s = trio.current_time()
        found: list[tuple[_replica.Replica, Collection[str]]] = []
        for replica in self._by_service.get(service, ()):
            cost = self._compute_unlimited_cost(replica, now_s)
            limit_per_s = replica.rate_limit_per_s
            if cost is not None and cost[0] <= 0 and limit_per_s is not None:
                parts = self._stated_limits.divide(replica.entry, limit_per_s)
                found.append((replica, parts.full.keys()))
        return found

    def find_replica(self, endpoint_id: str) -> _replica.Replica | None:
        """Returns the endpoint with an id; None if it is unknown."""
        entry = self._registry.get(endpoint_id)
        if entry is None:
            return None
        return self._replicas.get(entry.instance_key)

    def grant(self, replica: _replica.Replica) -> float:
        """Gives up one request of this node's part of an endpoint's limit.

        Returns:
            The time in s until a request can be given up; 0 if it was.
        """
        now_s = trio.current_time()
        limit = self._find_stated_limit(replica, now_s)
        if limit is None:
            return 0.0
        wait_s = limit.wait_s(now_s)
        if not wait_s:
            limit.consume(now_s)
        return wait_s

    def use_grant(self, replica: _replica.Replica) -> bool:
        """Records a request that another node's part of a limit allows.

        Returns:
            False if the endpoint must not be called any more.
        """
        now_s = trio.current_time()
        known = self._by_service.get(replica.entry.service, ())
        if (
            replica not in known
            or self._compute_unlimited_cost(replica, now_s) is None
        ):
            return False
        cold_limit = self._get_cold_limit(replica, now_s)
        if cold_limit is not None:
            cold_limit.consume(now_s)
        self._count_version(replica)
        return True

    def healthy_zones(self, service: str) -> frozenset[str]:
        """Returns the availability zones with a healthy endpoint."""
        now_s = trio.current_time()
        return frozenset(
            r.entry.availability_zone
            for r in self._by_service.get(service, ())
            if (cost := self._compute_unlimited_cost(r, now_s)) is not None
            and cost[0] <= 0
        )

    def has_usable_endpoint(self, service: str) -> bool:
        """Returns whether some endpoint of the service may get calls."""
        return any(
            r.accepts_calls and r.entry.availability_zone not in self._zones_out
            for r in self._by_service.get(service, ())
        )

    def is_known_down(self, service: str) -> bool:
        """Returns whether no endpoint of the service can answer a call now.

        Returns False if a probe is due: none of the endpoints that are down was
        called within `PROBE_INTERVAL_S`.
        """
        now_s = trio.current_time()
        replicas = [
            r for r in self._by_service.get(service, ()) if r.accepts_calls
        ]
        awake = [r for r in replicas if not r.wishes.is_paused(now_s)]
        if not awake:
            return bool(replicas)
        down = [r for r in awake if r.health.is_down(now_s)]
        if not down:
            return False
        for replica in awake:
            if (
                replica not in down
                and self._compute_unlimited_cost(replica, now_s) is not None
            ):
                return False
        last_call_age_s = min(r.since_last_call_s(now_s) for r in down)
        return last_call_age_s < _health.PROBE_INTERVAL_S

    def retry_after_s(self, service: str) -> float | None:
        """Returns the time until an endpoint may answer; None if unknown."""
        now_s = trio.current_time()
        waits = [
            self._compute_wait_s(r, now_s)
            for r in self._by_service.get(service, ())
            if r.entry.state is discovery.EndpointState.READY
            and r.accepts_calls
        ]
        return min(waits) if waits else None

    def _compute_wait_s(self, replica: _replica.Replica, now_s: float) -> float:
        wait_s = replica.retry_in_s(now_s)
        limit = self._find_stated_limit(replica, now_s)
        return wait_s if limit is None else max(wait_s, limit.wait_s(now_s))

    def _schedule_sweep(self, replica: _replica.Replica) -> None:
        self._replicas_to_sweep.add(replica)
        self._sweep_needed.set()

    async def wait_for_sweep(self) -> None:
        """Returns when some endpoint has calls to sweep."""
        await self._sweep_needed.wait()

    def sweep(self) -> None:
        """Aborts abandoned calls, and sends queued calls."""
        now_s = trio.current_time()
        for replica in list(self._replicas_to_sweep):
            replica.sweep(now_s)
            if not replica.needs_sweep:
                self._replicas_to_sweep.discard(replica)
        if not self._replicas_to_sweep:
            self._sweep_needed = trio.Event()

    def _drop_rate_limits(self) -> None:
        known_ids = {r.entry.endpoint_id for r in self._replicas.values()}
        self._stated_limits.forget_unknown(known_ids)
        for endpoint_id in self._cold_limits.keys() - known_ids:
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
