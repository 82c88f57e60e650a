"""Builds the components of a node and runs them."""

import logging
import signal
import time

import trio

from geraniumstair import configuration
from geraniumstair import console
from geraniumstair import dispatch
from geraniumstair import idempotency
from geraniumstair import membership
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair import search
from geraniumstair import store as store_package
from geraniumstair import wire
from geraniumstair._generated import messages
from geraniumstair._generated import settings as settings_models
from geraniumstair.listeners import asgi
from geraniumstair.node import _authority_reader
from geraniumstair.node import _change_logger
from geraniumstair.node import _gauges
from geraniumstair.node import _handlers
from geraniumstair.node import _operations
from geraniumstair.node import _ownership
from geraniumstair.node import _rollouts
from geraniumstair.node import _vm_list

_LOG = logging.getLogger(__name__)
REVISION_CHECK_INTERVAL_S = 0.2
# Running requests end by their deadlines, which are 60 s away at most.
RELEASE_TIMEOUT_S = 65.0
PEER_REPLIES_TIMEOUT_S = 2.0
MAX_OPERATOR_BODY_BYTES = 8 * 1024 * 1024


class Node:
    """A process of the query tier.

    It accepts searches from callers (entry role), dispatches requests for the
    shards that it owns to their endpoints (owner role) and serves the
    operators' listener.
    """

    def __init__(self, settings: settings_models.Settings) -> None:
        self._settings = settings
        node_id = settings.node_id
        incarnation = int(time.time() * 1000)
        self._network = peers.PeerNetwork(
            wire.Identity(
                node_id=node_id,
                incarnation=incarnation,
                availability_zone=settings.availability_zone,
                cluster_key=settings.cluster_key,
            ),
            settings.peer_listener.address,
            settings.peer_listener.port,
        )
        self._store = store_package.EtcdStore(
            settings.store.urls,
            timeout_ms=settings.store.timeout_ms,
            prefix=settings.store.prefix,
            registry=observe.process_metrics(),
        )
        self._holder = configuration.ConfigurationHolder()
        self._members = membership.Membership(
            messages.Member(
                node_id=node_id,
                incarnation=incarnation,
                address=settings.peer_listener.address,
                port=settings.peer_listener.port,
                availability_zone=settings.availability_zone,
                region=settings.region,
            ),
            self._network,
            self._store,
            self._holder,
        )
        self._build_roles()

    def _build_roles(self) -> None:
        settings = self._settings
        node_id = settings.node_id
        self._dispatcher = dispatch.Dispatcher(
            settings.region,
            settings.availability_zone,
            authority=_authority_reader.build_authority_reader(
                settings, self._members
            ),
            on_version_stopped=self._on_version_stopped,
        )
        self._members.set_state_receiver(self._dispatcher.apply_shard_state)
        self._rollouts = _rollouts.RolloutDriver(
            node_id, self._members, self._network, self._store, self._dispatcher
        )
        self._claim_server = idempotency.ClaimServer(self._store)
        claims = idempotency.ClaimClient(
            self._members, self._network, self._claim_server, node_id=node_id
        )
        self._owner_transport = search.OwnerTransport(
            self._members,
            self._network,
            self._dispatcher,
            node_id,
            shard_routing=settings.shard_routing,
        )
        self._searcher = search.Searcher(
            self._holder,
            self._owner_transport,
            claims,
            settings.region,
            node_id=node_id,
            availability_zone=settings.availability_zone,
            max_concurrent_searches=settings.max_concurrent_searches,
            metrics=search.SearchMetrics(observe.process_metrics()),
        )
        self._readiness = search.Readiness()
        self._availability_zone_out = False
        self._ownership = _ownership.OwnershipDriver(
            node_id, self._members, self._dispatcher, self._network
        )
        self._configuration_watcher = configuration.ConfigurationWatcher(
            node_id, self._store, self._holder, self._members, self._network
        )
        self._network.register_handler(
            messages.ConfigurationRequest,
            self._configuration_watcher.handle_request,
        )
        _handlers.PeerHandlers(self._dispatcher).register(self._network)
        _gauges.register_gauges(
            observe.process_metrics(),
            self._holder,
            self._members,
            self._dispatcher,
        )
        self._state_dump = observe.StateDump()
        self._state_dump.register("membership", self._members.dump)
        self._state_dump.register("dispatch", self._dispatcher.dump)
        self._state_dump.register("node", self._dump_state)

    def _on_version_stopped(self, stopped: messages.StoppedVersion) -> None:
        self._rollouts.on_version_stopped(stopped)

    def _dump_state(self) -> dict[str, object]:
        return {
            "node_id": self._settings.node_id,
            "revision": self._holder.revision,
            "ready": self._readiness.is_ready(),
            "searches_in_progress": self._searcher.in_progress_count,
            "connected_peers": sorted(self._network.connected_nodes()),
            "rollouts": list(self._rollouts.rollout_states.list_states()),
        }

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        async with trio.open_nursery() as nursery:
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                await self._start(nursery)
                async for number in signals:
                    _LOG.info(
                        "node: Received signal %d; shutting down.", number
                    )
                    break
            await self._shut_down()
            nursery.cancel_scope.cancel()
        _LOG.info("node: Stopped.")

    async def _start(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        await nursery.start(self._network.run)
        for seed in settings.seeds:
            self._network.add_seed(peers.PeerAddress(seed.address, seed.port))
        await nursery.start(self._dispatcher.run)
        await nursery.start(self._members.run)
        await nursery.start(self._claim_server.run)
        await nursery.start(self._owner_transport.run)
        if settings.shard_routing == "owner":
            nursery.start_soon(self._ownership.run)
        nursery.start_soon(
            _change_logger.log_membership_changes,
            settings.node_id,
            self._members,
        )
        nursery.start_soon(self._rollouts.run)
        nursery.start_soon(self._apply_configurations)
        nursery.start_soon(self._report_newer_revisions)
        if settings.vm_list_url:
            nursery.start_soon(
                _vm_list.poll_vm_list,
                store_package.HttpVmList(settings.vm_list_url),
                self._members,
                self._dispatcher,
                settings.peer_listener.port,
            )
        await self._start_listeners(nursery)
        await nursery.start(self._configuration_watcher.run)
        _LOG.info("node: %s started.", settings.node_id)

    async def _start_listeners(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        self._caller_listener_stopping = trio.Event()
        self._caller_listener_stopped = trio.Event()
        nursery.start_soon(self._serve_callers)
        operations = _operations.Operations(
            self._store,
            self._holder,
            self._members,
            self._rollouts,
            self._state_dump,
            settings.node_id,
        )
        await nursery.start(
            asgi.serve_http,
            console.build_operator_application(
                operations, settings.operator_token
            ),
            settings.operator_listener.address,
            settings.operator_listener.port,
            MAX_OPERATOR_BODY_BYTES,
            trio.sleep_forever,
        )

    async def _serve_callers(self) -> None:
        settings = self._settings
        application = search.build_caller_application(
            self._searcher, self._readiness, settings
        )
        await asgi.serve_http(
            application,
            settings.caller_listener.address,
            settings.caller_listener.port,
            settings.max_request_body_bytes,
            self._caller_listener_stopping.wait,
        )
        self._caller_listener_stopped.set()

    async def _apply_configurations(self) -> None:
        revision = 0
        while True:
            topology = await self._holder.wait_for_newer_revision(revision)
            revision = topology.revision
            self._dispatcher.apply_topology(topology)
            self._rollouts.apply_topology(topology)
            if self._settings.shard_routing == "local":
                self._own_shards_of_region(topology)
            self._set_availability_zone_out(
                topology.is_availability_zone_out(
                    self._settings.availability_zone
                )
            )

    def _set_availability_zone_out(self, out: bool) -> None:
        if out and not self._availability_zone_out:
            grace_s = self._settings.drain_grace_ms / 1000
            self._searcher.accept_while_zone_out_until(
                trio.current_time() + grace_s
            )
        self._availability_zone_out = out
        self._readiness.set_ready(not out)

    def _own_shards_of_region(self, topology: configuration.Topology) -> None:
        self._dispatcher.apply_ownership(
            {
                key: membership.Authority.FULL
                for key in topology.endpoints
                if key.region == self._settings.region
            }
        )

    async def _report_newer_revisions(self) -> None:
        """Reports newer revisions from heartbeats to the watcher."""
        while True:
            newest = self._members.newest_revision()
            if newest.revision > self._holder.revision and newest.node_id:
                self._configuration_watcher.handle_peer_revision(
                    newest.node_id, newest.revision
                )
            await trio.sleep(REVISION_CHECK_INTERVAL_S)

    async def _shut_down(self) -> None:
        self._members.announce_leaving()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain_callers)
            with trio.move_on_after(RELEASE_TIMEOUT_S):
                await self._ownership.wait_released()
        with trio.move_on_after(PEER_REPLIES_TIMEOUT_S):
            await self._network.wait_replies_written()
        self._caller_listener_stopping.set()
        await self._caller_listener_stopped.wait()

    async def _drain_callers(self) -> None:
        await search.drain(
            self._readiness, self._searcher, self._settings.drain_grace_ms
        )
