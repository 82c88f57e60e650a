"""The endpoints of each service, and which of them this node uses."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import logging
import random
from typing import Any

import trio

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import routing
from geraniumstair.forward import _availability
from geraniumstair.forward import _choice
from geraniumstair.forward import _delegation_nodes
from geraniumstair.forward import _limits
from geraniumstair.forward import _link
from geraniumstair.forward import _metrics
from geraniumstair.forward import _pace
from geraniumstair.forward import _pacing
from geraniumstair.forward import _pool_settings
from geraniumstair.forward import _replica
from geraniumstair.forward import _sharing
from geraniumstair.forward import _statements
from geraniumstair.forward import _subset

_LOG = logging.getLogger(__name__)
# Instances whose wishes are kept while they are not registered.
MAX_EARLIER_WISHES = 1000
# Endpoints of which a node learns in this time after its first one may have
# served for long.
LEARNING_S = 5.0
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
        settings: _pool_settings.PoolSettings,
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
        self._replicas: dict[_InstanceKey, _replica.Replica] = {}
        # Of instances that are not registered at present.
        self._earlier_wishes: dict[_InstanceKey, _statements.Wishes] = {}
        self._by_service: dict[str, list[_replica.Replica]] = {}
        # Also contains the endpoints that this node does not use.
        self._registered: dict[str, list[_replica.Replica]] = {}
        self._preconnected_services: frozenset[str] = frozenset()
        self._first_endpoint_s: float | None = None
        self._sharing = _sharing.SharingNodes(settings)
        self._limits = _limits.EndpointLimits(settings, self._sharing, rng)
        self._chooser = _choice.EndpointChooser(
            settings,
            self._limits,
            _pacing.Pacing(self._sharing, metrics, rng),
            versions,
            rng,
        )
        self._availability = _availability.Availability(
            self._chooser, self._limits
        )
        self._limit_listener: LimitListener | None = None
        self._replicas_to_sweep: set[_replica.Replica] = set()
        self._sweep_needed = trio.Event()

    # ---- routes, members and registry ----

    def set_route_table(self, table: routing.RouteTable) -> None:
        """Replaces the route table."""
        self._limits.set_route_table(table)
        self._sharing.set_route_table(table)
        # Only a few nodes call grouped services, and they connect on demand.
        self._preconnected_services = self._sharing.select_ungrouped(
            table.services()
        )
        self._refresh_all()

    def set_members(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        """Sets the nodes that share the endpoints' connections and rates."""
        earlier_infos = self._sharing.infos
        if self._sharing.set_members(nodes, trio.current_time()):
            self._apply_recent_members()
        elif self._sharing.infos != earlier_infos:
            self._limits.apply_nodes()

    def _apply_recent_members(self) -> None:
        self._limits.apply_nodes()
        self._refresh_all()

    def set_group_nodes(self, nodes: Mapping[str, Sequence[str]]) -> None:
        """Sets the nodes that call grouped services for others, by zone."""
        if self._sharing.set_group_nodes(nodes):
            for replica in self._replicas.values():
                replica.keeps_links = self._keeps_links(replica.entry.service)

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose endpoints get no calls."""
        if zones != self._chooser.zones_out:
            _LOG.info("forward: availability zones out: %s", sorted(zones))
            restored = self._chooser.zones_out - zones
            self._chooser.zones_out = zones
            self._restart_warmup(restored)

    def _restart_warmup(self, zones: frozenset[str]) -> None:
        for replica in self._replicas.values():
            if replica.entry.availability_zone in zones:
                limits = self._limits.get_service_limits(replica.entry.service)
                replica.cold_until_s = trio.current_time() + limits.warmup_s

    def apply_registry_changes(self) -> None:
        """Applies changes in the registry; closes links of removed endpoints.

        Endpoints of a large site register one after the other, so only the
        services that changed are processed.
        """
        if self._sharing.drop_former(trio.current_time()):
            self._apply_recent_members()
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
            self._limits.forget_unknown(
                {r.entry.endpoint_id for r in self._replicas.values()}
            )
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
        self._expect_pace(replica)
        return replica

    def _expect_pace(self, replica: _replica.Replica) -> None:
        now_s = trio.current_time()
        if self._first_endpoint_s is None:
            self._first_endpoint_s = now_s
        if now_s >= self._first_endpoint_s + LEARNING_S:
            replica.pacing.expect(_pace.Cause.STARTED, now_s)

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
            used = _subset.choose_subset(
                self._settings,
                replicas,
                self._max_connections(service),
                self.node_count(service),
            )
            self._by_service[service] = used
            if service in self._preconnected_services and keeps_links:
                for replica in used:
                    if replica.entry.state is discovery.EndpointState.READY:
                        replica.preconnect()

    def _keeps_links(self, service: str) -> bool:
        """Returns whether this node may keep idle connections to a service."""
        return self._sharing.calls(service) and _subset.may_keep_links(
            self._max_connections(service), self.node_count(service)
        )

    def _compute_max_links(self, service: str) -> int:
        return _subset.compute_max_links(
            self._max_connections(service), self.node_count(service)
        )

    def _max_connections(self, service: str) -> int:
        return self._limits.get_service_limits(service).max_connections

    def endpoint_count(self, service: str) -> int:
        """Returns the number of endpoints that some node may call.

        This includes endpoints that this node does not use.
        """
        return sum(r.accepts_calls for r in self._registered.get(service, ()))

    def node_count(self, service: str) -> int:
        """Returns the number of nodes that call a service."""
        return self._sharing.count_nodes(service)

    def repeat_share(self, service: str) -> float:
        """Returns this node's share of a service's fixed number of repeats.

        The shares of all nodes add up to 1 at most.
        """
        zones: frozenset[str] = frozenset()
        if self._sharing.is_grouped(service):
            zones = frozenset(
                r.entry.availability_zone
                for r in self._registered.get(service, ())
            )
        return self._sharing.compute_repeat_share(service, zones)

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
        return self._chooser.choose(
            self._by_service.get(service, ()), tried, only_healthy=only_healthy
        )

    def is_at_stated_limit(self, service: str) -> bool:
        """Returns whether only limits that endpoints state prevent a call."""
        return self._availability.is_at_stated_limit(
            self._by_service.get(service, ())
        )

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
                full_nodes.update(
                    self._limits.list_full_nodes(replica, limit_per_s)
                )
        self._limit_listener(replica, full_nodes)

    def find_limited(
        self, service: str
    ) -> list[tuple[_replica.Replica, Collection[str]]]:
        """Returns the healthy endpoints of a service that state a limit.

        Returns:
            Each endpoint with the nodes that have a full part of its limit.
        """
        return self._availability.find_limited(
            self._by_service.get(service, ())
        )

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
        limit = self._limits.find_stated(replica, now_s)
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
            or self._chooser.compute_unlimited_cost(replica, now_s) is None
        ):
            return False
        cold_limit = self._limits.find_cold(replica, now_s)
        if cold_limit is not None:
            cold_limit.consume(now_s)
        self._chooser.count_version(replica)
        return True

    def healthy_zones(self, service: str) -> frozenset[str]:
        """Returns the availability zones with a healthy endpoint."""
        return self._availability.healthy_zones(
            self._by_service.get(service, ())
        )

    def has_usable_endpoint(self, service: str) -> bool:
        """Returns whether some endpoint of the service may get calls."""
        return self._availability.has_usable_endpoint(
            self._by_service.get(service, ())
        )

    def is_known_down(self, service: str) -> bool:
        """Returns whether no endpoint of the service can answer a call now.

        Returns False if a probe is due: none of the endpoints that are down was
        called within `PROBE_INTERVAL_S`.
        """
        return self._availability.is_known_down(
            self._by_service.get(service, ())
        )

    def retry_after_s(self, service: str) -> float | None:
        """Returns the time until an endpoint may answer; None if unknown."""
        return self._availability.retry_after_s(
            self._by_service.get(service, ())
        )

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

    def replicas(self) -> Iterable[_replica.Replica]:
        """Returns all endpoints."""
        return self._replicas.values()

    def dump(self) -> dict[str, Any]:
        """Returns the state for the state dump."""
        return {
            service: [replica.dump() for replica in replicas]
            for service, replicas in sorted(self._by_service.items())
        }
