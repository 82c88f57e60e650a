"""Assembles one node that serves callers."""

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

from geraniumstair import discovery
from geraniumstair import errors
from geraniumstair import forward
from geraniumstair import listeners
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import wire
from geraniumstair.edge import _application
from geraniumstair.edge import _lifecycle
from geraniumstair.edge import _presence
from geraniumstair.edge import _rollouts
from geraniumstair.edge import _state

_LOG = logging.getLogger(__name__)
MAX_BODY_BYTES = 1024 * 1024
# How often the first version and the first endpoints are looked for.
LOAD_CHECK_S = 0.05
# The settings file may change without a signal.
RELOAD_INTERVAL_S = 5.0
# Settings that need no restart.
_CHANGED_IN_PLACE = frozenset(["budget", "seeds"])


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """What a node has to know at its start.

    Attributes:
        node_id: Name of this node, unique in the site.
        availability_zone: Where it runs.
        callers: Listener for callers.
        readiness: Listener for the balancer.
        readiness_path: Path that the balancer asks for.
        metrics: Listener for metrics.
        peer_listener: Listener for other nodes.
        seeds: Listeners of some other nodes; they may be down.
        cluster_key: Key that the nodes of a site share.
        grace_s: Time between the signal to end and the kill.
        budget: Repeats that the site allows each service.
        remote_cost_ms: What a call to another availability zone costs.
        processor_cores: Processor time that the node may use, in cores.
        exposure_share: Share of a service's requests that a version may get
            that may be bad, 0 to 1.
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
    budget: forward.BudgetLimits
    remote_cost_ms: float
    processor_cores: float
    exposure_share: float


class Store(mirror.StoreSource, _presence.LeaseStore, Protocol):
    """The platform's store."""


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeAdapters:
    """What depends on the platform.

    Attributes:
        store: The platform's store.
        decoder: Reads what others wrote to it.
        encoder: Writes what the operator reads in it.
        dialect: What endpoints speak.
        codec: What callers speak.
    """

    store: Store
    decoder: _state.StateDecoder
    encoder: _rollouts.RecordEncoder
    dialect: forward.Dialect
    codec: _application.CallerCodec


class EdgeNode:
    """Serves callers until a signal ends it.

    Args:
        settings: What the node is.
        adapters: What depends on the platform.
        reload: Reads the settings again; raises `SettingsError`.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        adapters: EdgeAdapters,
        reload: Callable[[], EdgeSettings],
    ) -> None:
        self._settings = settings
        self._adapters = adapters
        self._reload = reload
        self._reload_wanted = trio.Event()
        self._lifecycle = _lifecycle.Lifecycle(settings.grace_s)
        self._mirror = mirror.Mirror()
        self._duty = mirror.WatchDuty(settings.node_id, trio.current_time)
        self._feed = mirror.StoreFeed(adapters.store, self._mirror, self._duty)
        self._registry = discovery.EndpointRegistry(trio.current_time)
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
            self._network, self._mirror, self._feed, self._duty
        )
        self._budget = forward.RetryBudget(settings.budget, trio.current_time)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                self._start(nursery)
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload_wanted.set()
                        continue
                    break
                # A second signal must not end the process at once.
                nursery.start_soon(_ignore, signals)
                await self._stop()
                nursery.cancel_scope.cancel()
        _LOG.info("edge: node %s stopped", self._settings.node_id)

    def _start(self, nursery: trio.Nursery) -> None:
        settings = self._settings
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
        self._budget.set_users(pool.users)
        state = _state.DesiredState(
            self._adapters.decoder, self._registry, pool, self._rollouts
        )
        self._delegation = forward.Delegation(
            settings.node_id,
            settings.availability_zone,
            pool,
            self._network,
            state,
            random.Random(),
        )
        forwarder = forward.Forwarder(
            pool,
            self._budget,
            self._adapters.dialect,
            metrics,
            self._delegation,
            forward.Margins.for_cores(settings.processor_cores),
        )
        forward.PartsServer(self._network, state, forwarder, self._lifecycle)
        self._mirror.subscribe(state.adopt)
        self._presence = _presence.Presence(
            settings.node_id,
            _presence.Member(
                settings.peer_listener, settings.availability_zone
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
        application = _application.CallerApplication(
            state, forwarder, self._adapters.codec, self._lifecycle
        )
        for task in (
            self._feed.run,
            self._gossip.run,
            self._presence.run,
            forwarder.run,
            state.expire_loop,
            self._rollouts.run,
            self._run_network,
            self._reload_loop,
        ):
            nursery.start_soon(task)
        nursery.start_soon(self._serve_readiness, settings.readiness)
        nursery.start_soon(self._serve_readiness, settings.metrics)
        nursery.start_soon(self._serve_callers, application)
        nursery.start_soon(self._note_loaded, state)
        _LOG.info("edge: node %s started", settings.node_id)

    async def _reload_loop(self) -> None:
        """Reads the settings at SIGHUP, and from time to time without it."""
        while True:
            with trio.move_on_after(RELOAD_INTERVAL_S):
                await self._reload_wanted.wait()
            signalled = self._reload_wanted.is_set()
            self._reload_wanted = trio.Event()
            try:
                settings = self._reload()
            except errors.SettingsError as error:
                _LOG.warning("edge: kept the earlier settings: %s", error)
                continue
            if settings != self._settings:
                self._adopt_settings(settings)
            elif signalled:
                _LOG.info("edge: settings read again; nothing has changed")

    def _adopt_settings(self, settings: EdgeSettings) -> None:
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        _LOG.info(
            "edge: settings changed",
            extra=observe.fields(
                changed=changed,
                after_restart=sorted(set(changed) - _CHANGED_IN_PLACE),
            ),
        )
        self._settings = settings
        self._budget.set_limits(settings.budget)
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
        await listeners.serve_http(
            application,
            self._settings.callers.address,
            self._settings.callers.port,
            MAX_BODY_BYTES,
            self._lifecycle.wait_closing,
            graceful_timeout_s=self._lifecycle.drain_timeout_s,
        )
        self._callers_closed.set()

    async def _serve_readiness(self, address: peers.PeerAddress) -> None:
        await listeners.serve_http(
            _application.ReadinessApplication(
                self._lifecycle,
                self._settings.readiness_path,
                observe.process_metrics().render,
                self._state_dump.render,
            ),
            address.address,
            address.port,
            MAX_BODY_BYTES,
            trio.sleep_forever,
        )

    async def _note_loaded(self, state: _state.DesiredState) -> None:
        while state.table is None or not self._mirror.position:
            await trio.sleep(LOAD_CHECK_S)
        self._lifecycle.loaded = True
        _LOG.info(
            "edge: ready with version %d and %d endpoints",
            state.table.version,
            len(list(self._registry.entries())),
        )

    def _dump_mirror(self) -> Mapping[str, Any]:
        return {
            "position": self._mirror.position,
            "newest": self._mirror.newest,
            "watching": self._feed.working,
            "watch_heard_s": round(self._duty.heard_age_s, 2),
            "connected": sorted(self._network.connected()),
        }

    def _set_members(self, zones: Mapping[str, str]) -> None:
        members = frozenset(zones)
        self._delegation.set_zones(zones)
        # All nodes keep streams to these.
        self._rollouts.set_candidates(
            [n for nodes in forward.group_nodes(zones).values() for n in nodes]
        )
        self._gossip.set_neighbours(
            _presence.neighbours(self._settings.node_id, zones)
        )
        self._duty.set_members(members)
        self._pool.set_members(members)

    async def _stop(self) -> None:
        await self._lifecycle.stop()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave)
            await self._callers_closed.wait()

    async def _leave(self) -> None:
        with trio.move_on_after(1.0):
            await self._presence.leave()


async def _ignore(signals: object) -> None:
    async for number in signals:  # type: ignore[attr-defined]
        _LOG.info("edge: signal %d ignored while stopping", number)
