"""Assembles and runs one node that serves callers."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging
import random
import signal
import time
from typing import Any
from typing import Protocol

import trio

from geraniumstair import accounts
from geraniumstair import discovery
from geraniumstair import endpoint_http
from geraniumstair import errors
from geraniumstair import forward
from geraniumstair import listeners
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import routing
from geraniumstair import usage
from geraniumstair import wire
from geraniumstair.gateway import _application
from geraniumstair.gateway import _configuration_reader
from geraniumstair.gateway import _key_revocation
from geraniumstair.gateway import _lifecycle
from geraniumstair.gateway import _presence
from geraniumstair.gateway import _rollouts
from geraniumstair.gateway import _start_wait
from geraniumstair.gateway import _state
from geraniumstair.gateway import _usage

_LOG = logging.getLogger(__name__)
# Share of the process's memory for responses that endpoints are sending.
_ENDPOINT_BUFFER_SHARE = 0.25
# Readiness checks and metrics are few; their responses are up to a megabyte.
_READINESS_RESOURCES = listeners.ResourceLimits(
    max_bytes=8 * 1024 * 1024, max_connections=64
)
# How often a starting node checks whether the routes and the mirror are loaded.
LOAD_CHECK_INTERVAL_S = 0.05
# The library for metrics is imported this long after the routes are loaded,
# when the requests that waited for the node have been served.
METRICS_DELAY_S = 3.0
# The settings file may change without a signal, so it is read at this interval.
RELOAD_INTERVAL_S = 5.0
# Fields of the settings that take effect without a restart.
_RELOADABLE_SETTINGS = frozenset(["budget", "revocation", "seeds"])


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a node.

    Attributes:
        node_id: Id of this node, unique in the site.
        availability_zone: Availability zone in which it runs.
        callers: Listener for callers.
        readiness: Listener for the load balancer.
        readiness_path: Path that the load balancer requests.
        metrics: Listener for metrics.
        peer_listener: Listener for other nodes.
        seeds: Peer listeners of some other nodes, which may be down.
        cluster_key: Key that all nodes of a site share.
        grace_s: Time between the termination signal and the kill.
        drain_s: How long a removed endpoint continues to serve.
        budget: Limits of retries and hedged requests of each service.
        remote_cost_ms: Latency penalty of endpoints in another availability
            zone.
        processor_cores: CPU time that the node may use, in cores.
        exposure_share: Greatest share of a service's requests that a possibly
            bad version may receive, 0 to 1.
        memory_bytes: Memory that the process may use.
        max_descriptors: File descriptors that the process may open.
        revocation: How soon a revoked key stops working.
        usage: Settings of the usage reports; None without them.
    """

    node_id: str
    availability_zone: str
    callers: peers.PeerAddress
    readiness: peers.PeerAddress
    readiness_path: str
    metrics: peers.PeerAddress
    peer_listener: peers.PeerAddress
    seeds: Sequence[peers.PeerAddress]
    cluster_key: str
    grace_s: float
    drain_s: float
    budget: forward.BudgetLimits
    remote_cost_ms: float
    processor_cores: float
    exposure_share: float
    memory_bytes: int
    max_descriptors: int
    revocation: accounts.RevocationLimits = accounts.RevocationLimits()
    usage: _usage.UsageSettings | None = None


class Store(
    mirror.StoreReader,
    _presence.LeaseStore,
    _configuration_reader.StoreKeyReader,
    usage.DutyStore,
    Protocol,
):
    """The operations of the platform's store that a node uses."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayAdapters:
    """Adapters to the platform on which the node runs.

    Attributes:
        store: The platform's store.
        decoder: Decodes the entries of operators and endpoints in the store.
        encoder: Encodes the rollout status that operators read in the store.
        dialect: Converts requests and responses of endpoints.
        codec: Converts requests and responses of callers.
        configuration_key: Key of the operator's configuration in the store.
        usage_api: API for usage reports; None without them.
    """

    store: Store
    decoder: _state.StateDecoder
    encoder: _rollouts.RecordEncoder
    dialect: forward.Dialect
    codec: _application.CallerCodec
    configuration_key: str
    usage_api: usage.ReportApi | None = None


class GatewayNode:
    """One node that serves callers until a termination signal.

    Args:
        settings: Settings at the start.
        adapters: Adapters to the platform.
        load_settings: Reads the current settings; raises `SettingsError`.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        adapters: GatewayAdapters,
        load_settings: Callable[[], GatewaySettings],
    ) -> None:
        self._settings = settings
        self._adapters = adapters
        self._load_settings = load_settings
        self._reload_requested = trio.Event()
        self._lifecycle = _lifecycle.Lifecycle(settings.grace_s)
        self._mirror = mirror.Mirror()
        self._watcher_selection = mirror.WatcherSelection(
            settings.node_id, trio.current_time
        )
        self._completeness = mirror.Completeness(trio.current_time)
        revocation = _key_revocation.KeyRevocation(settings.revocation)
        self._key_revocation = revocation
        self._lifecycle.can_judge_keys = lambda: revocation.check.is_allowed
        self._store_watcher = mirror.StoreWatcher(
            adapters.store,
            self._mirror,
            self._watcher_selection,
            self._completeness,
            revocation.freshness,
        )
        self._configuration_reader = revocation.build_reader(
            adapters.store,
            adapters.configuration_key,
            self._mirror,
            self._store_watcher,
        )
        self._registry = discovery.EndpointRegistry(
            trio.current_time, settings.drain_s
        )
        identity = wire.Identity(
            settings.node_id,
            int(time.time() * 1000),
            settings.availability_zone,
            settings.cluster_key,
        )
        self._network = peers.PeerNetwork(
            identity,
            settings.peer_listener.address,
            settings.peer_listener.port,
        )
        self._gossip = mirror.MirrorGossip(
            self._network,
            self._mirror,
            self._store_watcher,
            self._watcher_selection,
            self._completeness,
            revocation.exchange,
        )
        self._budget = forward.RetryBudget(settings.budget, trio.current_time)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                self._start_components(nursery)
                async for signal_number in signals:
                    if signal_number == signal.SIGHUP:
                        self._reload_requested.set()
                        continue
                    break
                # A second signal must not end the process immediately.
                nursery.start_soon(_ignore_signals, signals)
                await self._shut_down()
                nursery.cancel_scope.cancel()
        _LOG.info("gateway: node %s stopped", self._settings.node_id)

    def _start_components(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        endpoint_http.PROCESS_LIMIT.set_max_bytes(
            min(
                endpoint_http.MAX_BUFFERED_BYTES,
                int(settings.memory_bytes * _ENDPOINT_BUFFER_SHARE),
            )
        )
        metrics = forward.ForwardMetrics(observe.process_metrics())
        self._rollouts = _rollouts.Rollouts(
            settings.node_id,
            settings.exposure_share,
            self._adapters.store,
            self._adapters.encoder,
            self._network,
            trio.current_time,
        )
        pool = forward.EndpointPool(
            forward.PoolSettings(
                settings.node_id,
                settings.availability_zone,
                settings.remote_cost_ms,
            ),
            self._registry,
            forward.TcpLinkFactory(self._adapters.dialect),
            nursery,
            metrics,
            self._rollouts.versions,
            random.Random(),
        )
        self._pool = pool
        self._budget.set_share_finder(pool.repeat_share)
        state = _state.DesiredState(
            self._adapters.decoder,
            self._registry,
            pool,
            self._rollouts,
            lambda: self._completeness.changes_since_s,
        )
        self._key_revocation.find_table = lambda: state.table
        self._usage = _usage.build_usage_reports(
            settings.node_id,
            settings.usage,
            self._network,
            self._adapters.store,
            self._adapters.usage_api,
            self._key_revocation.has_accounts,
            lambda: self._lifecycle.stopping,
        )
        self._usage.follow_mirror(self._mirror)
        self._delegation = forward.Delegation(
            settings.node_id,
            settings.availability_zone,
            pool,
            self._network,
            random.Random(),
        )
        forwarder = forward.Forwarder(
            pool,
            self._budget,
            self._adapters.dialect,
            metrics,
            self._delegation,
            forward.Margins.for_cores(settings.processor_cores),
            forward.LimitGrants(
                settings.node_id, pool, self._network, random.Random()
            ),
            forward.SuspectRequests(trio.current_time, self._network),
            self._usage.recorder,
        )
        forward.PartsServer(self._network, state, forwarder, self._lifecycle)
        self._mirror.subscribe(state.apply)
        self._presence = _presence.Presence(
            settings.node_id,
            _presence.Member(
                settings.peer_listener,
                forward.NodeInfo(
                    settings.availability_zone, settings.processor_cores
                ),
            ),
            self._adapters.store,
            self._mirror,
            self._network,
            self._set_members,
        )
        self._callers_closed = trio.Event()
        self._state_dump = observe.StateDump()
        self._state_dump.register("endpoints", pool.dump)
        self._state_dump.register("mirror", self._dump_mirror)
        self._state_dump.register("rollouts", self._rollouts.dump)
        self._state_dump.register("accounts", self._key_revocation.dump)
        self._state_dump.register("usage", self._usage.dump)
        application = _application.CallerApplication(
            state,
            forwarder,
            self._adapters.codec,
            self._lifecycle,
            self._key_revocation.build_authenticator(
                self._adapters.codec, observe.process_metrics()
            ),
            _start_wait.StartWait(
                self._mirror.complete, observe.process_metrics()
            ),
        )
        for task in (
            self._store_watcher.run,
            self._gossip.run,
            self._configuration_reader.run,
            self._presence.run,
            forwarder.run,
            state.run_expiry_loop,
            self._rollouts.run,
            self._usage.run,
            self._run_network,
            self._reload_loop,
            application.answer_rest_at_shutdown,
        ):
            nursery.start_soon(task)
        nursery.start_soon(self._serve_readiness, settings.readiness)
        nursery.start_soon(self._serve_readiness, settings.metrics)
        nursery.start_soon(self._serve_callers, application)
        nursery.start_soon(self._mark_ready_when_loaded, state)
        _LOG.info("gateway: node %s started", settings.node_id)

    async def _reload_loop(self) -> None:
        """Reloads the settings at SIGHUP and every `RELOAD_INTERVAL_S`."""
        while True:
            with trio.move_on_after(RELOAD_INTERVAL_S):
                await self._reload_requested.wait()
            was_requested = self._reload_requested.is_set()
            self._reload_requested = trio.Event()
            try:
                settings = self._load_settings()
            except errors.SettingsError as error:
                _LOG.warning(
                    "gateway: cannot reload settings; "
                    "the earlier ones stay: %s",
                    error,
                )
                continue
            if settings != self._settings:
                self._apply_settings(settings)
            elif was_requested:
                _LOG.info("gateway: settings reloaded; nothing has changed")

    def _apply_settings(self, settings: GatewaySettings) -> None:
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        _LOG.info(
            "gateway: settings changed",
            extra=observe.fields(
                changed=changed,
                after_restart=sorted(set(changed) - _RELOADABLE_SETTINGS),
            ),
        )
        self._settings = settings
        self._budget.set_limits(settings.budget)
        self._key_revocation.check.limits = settings.revocation
        for seed in settings.seeds:
            if seed != settings.peer_listener:
                self._network.add_seed(seed)

    async def _run_network(self) -> None:
        for seed in self._settings.seeds:
            if seed != self._settings.peer_listener:
                self._network.add_seed(seed)
        await self._network.run()

    async def _serve_callers(
        self, application: _application.CallerApplication
    ) -> None:
        server = listeners.HttpServer(
            application,
            application.limits,
            listeners.derive_resource_limits(
                self._settings.memory_bytes, self._settings.max_descriptors
            ),
            listeners.ListenerMetrics(observe.process_metrics()),
        )
        self._state_dump.register("callers", server.dump)
        address = self._settings.callers
        await server.serve(
            await listeners.open_socket(address.address, address.port),
            self._lifecycle.wait_for_listener_close,
            graceful_timeout_s=self._lifecycle.drain_timeout_s,
        )
        self._callers_closed.set()

    async def _serve_readiness(self, address: peers.PeerAddress) -> None:
        server = listeners.HttpServer(
            _application.ReadinessApplication(
                self._lifecycle,
                self._settings.readiness_path,
                observe.process_metrics().render,
                self._state_dump.render,
            ),
            routing.CallerLimits,
            _READINESS_RESOURCES,
        )
        await server.serve(
            await listeners.open_socket(address.address, address.port),
            trio.sleep_forever,
        )

    async def _mark_ready_when_loaded(self, state: _state.DesiredState) -> None:
        await self._mirror.complete.wait()
        while state.table is None:
            await trio.sleep(LOAD_CHECK_INTERVAL_S)
        self._lifecycle.loaded = True
        _LOG.info(
            "gateway: ready with version %d and %d endpoints",
            state.table.version,
            len(list(self._registry.entries())),
        )
        await trio.sleep(METRICS_DELAY_S)
        # In a thread, because the import would stop the node for 0.05 s.
        await trio.to_thread.run_sync(observe.import_library)
        observe.process_metrics().load()

    def _dump_mirror(self) -> Mapping[str, Any]:
        return {
            "position": self._mirror.position,
            "newest": self._mirror.newest_revision,
            "watching": self._store_watcher.watching,
            "watch_heard_s": round(self._watcher_selection.watch_age_s, 2),
            "connected": sorted(self._network.connected_nodes()),
        }

    def _set_members(self, nodes: Mapping[str, forward.NodeInfo]) -> None:
        members = frozenset(nodes)
        self._delegation.set_nodes(nodes)
        self._pool.set_group_nodes(forward.select_delegation_nodes(nodes))
        # Every node keeps streams to these nodes, so evidence reaches them.
        self._rollouts.set_judge_candidates(
            [
                n
                for node_ids in forward.select_inter_zone_nodes(nodes).values()
                for n in node_ids
            ]
        )
        zones = {n: info.availability_zone for n, info in nodes.items()}
        neighbours = _presence.select_neighbours(self._settings.node_id, zones)
        self._gossip.set_neighbours(neighbours)
        self._usage.set_nodes(nodes, neighbours)
        self._watcher_selection.set_members(members)
        self._key_revocation.set_members(members)
        self._pool.set_members(nodes)

    async def _shut_down(self) -> None:
        await self._lifecycle.stop()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deregister)
            await self._callers_closed.wait()
        await self._usage.flush()

    async def _deregister(self) -> None:
        with trio.move_on_after(1.0):
            await self._presence.deregister()


async def _ignore_signals(signals: object) -> None:
    async for signal_number in signals:  # type: ignore[attr-defined]
        _LOG.info("gateway: ignored signal %d during shutdown", signal_number)
