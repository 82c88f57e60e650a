"""Dispatcher of a node for the shards that it owns."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import logging
import math
import re
import secrets
import time
from typing import Any

import trio

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair import membership
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _http_client
from geraniumstair.dispatch import _metrics
from geraniumstair.dispatch import _pending
from geraniumstair.dispatch import _replicas
from geraniumstair.dispatch import _shard
from geraniumstair.dispatch import _timers

_logger = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.25
# Time without use after which a shard that this node doesn't own is removed.
_UNOWNED_SHARD_TTL_S = 60.0
_MAX_DEADLINE_MS = 60_000.0
# The route becomes part of the request target.
_ROUTE = re.compile(r"[A-Za-z0-9._-]{1,64}", re.ASCII)

ReplyCallback = Callable[[messages.ShardReply], None]
AuthorityReader = Callable[[configuration.ShardKey, bool], membership.Authority]


class Dispatcher:
    """Queues shard requests and sends them to the endpoints of the shards.

    Args:
        region: Region whose shards are served.
        availability_zone: The node's own availability zone, whose endpoints are
            preferred.
        client_factory: Creates endpoint clients; HTTP by default.
        authority: Returns the node's authority for a shard. It is called right
            before each attempt with the shard's key and whether the request is
            provisional, which means that this node is asked to serve it without
            owning the shard. The result must reflect how old the last
            heartbeats are.
            By default, the authority comes from the last `apply_ownership`.
        wall_clock: Returns the seconds since 1970, for the time windows of
            evidence.
        on_version_stopped: Called when this node's own evidence stops a new
            version; the callee fills in the node id.
    """

    def __init__(
        self,
        region: str,
        availability_zone: str,
        *,
        client_factory: _client.ClientFactory = _http_client.HttpClient,
        authority: AuthorityReader | None = None,
        wall_clock: Callable[[], float] = time.time,
        on_version_stopped: canary.StopCallback | None = None,
    ) -> None:
        self._region = region
        self._topology: configuration.Topology | None = None
        self._ownership: Mapping[
            configuration.ShardKey, membership.Authority
        ] = {}
        self._leaving_vms: frozenset[str] = frozenset()
        self._shards: dict[configuration.ShardKey, _shard.Shard] = {}
        self._pending_by_search: dict[bytes, list[_pending.PendingRequest]] = {}
        self._timers = _timers.Timers()
        self._nursery: trio.Nursery | None = None
        self._unstarted_workers: list[_connection.ConnectionWorker] = []
        self._on_version_stopped = on_version_stopped
        self._versions = canary.VersionTracker(
            wall_clock, self._report_stopped_version
        )
        self._context = _replicas.DispatchContext(
            availability_zone=availability_zone,
            client_factory=client_factory,
            read_authority=authority or self._read_applied_authority,
            versions=self._versions,
            spawn=self._spawn,
            request_prefix=secrets.token_hex(6).encode(),
            request_numbers=itertools.count(1),
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the connections and timers until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for worker in self._unstarted_workers:
                    nursery.start_soon(_run_worker, worker)
                self._unstarted_workers.clear()
                nursery.start_soon(self._timers.run)
                task_status.started()
                while True:
                    await trio.sleep(_TICK_INTERVAL_S)
                    self._tick()
        finally:
            self._nursery = None

    def _spawn(self, worker: _connection.ConnectionWorker) -> None:
        if self._nursery is None:
            self._unstarted_workers.append(worker)
        else:
            self._nursery.start_soon(_run_worker, worker)

    def _tick(self) -> None:
        now_s = trio.current_time()
        for key, shard in list(self._shards.items()):
            if shard.released:
                continue
            if not self._is_owned(key):
                shard.set_serving(now_s < shard.provisional_until_s)
                unused_s = now_s - shard.last_used_s
                if unused_s > _UNOWNED_SHARD_TTL_S and shard.is_idle():
                    del self._shards[key]
                    continue
            shard.tick(now_s)

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Serves one shard request.

        Args:
            request: The request; its deadline is relative to this call.

        Returns:
            The reply, at the latest when the deadline has passed. If its
            `not_run` is set, no endpoint can have run the request.
        """
        replied = trio.Event()
        replies: list[messages.ShardReply] = []

        def on_reply(reply: messages.ShardReply) -> None:
            replies.append(reply)
            replied.set()

        pending = self.start_request(request, on_reply)
        try:
            if not replies:
                await replied.wait()
        finally:
            self.cancel_request(pending)
        return replies[0]

    def start_request(
        self, request: messages.ShardRequest, on_reply: ReplyCallback
    ) -> _pending.PendingRequest | None:
        """Starts to serve one shard request without a task of its own.

        Args:
            request: The request; its deadline is relative to this call.
            on_reply: Called once with the reply, possibly before
                `start_request` returns.

        Returns:
            The pending request, to be passed to `cancel_request`; None if
            the request was refused because it is not valid or its shard not
            configured.
        """
        reply = self._validate(request)
        if reply is None:
            return self._start_valid_request(request, on_reply)
        _metrics.count_reply(reply.code)
        on_reply(reply)
        return None

    def cancel_request(self, pending: _pending.PendingRequest | None) -> None:
        """Ends a request if its caller no longer waits for the reply."""
        if pending is not None and pending.reply is None:
            pending.shard.cancel(pending)

    def _validate(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply | None:
        if not math.isfinite(request.deadline_ms):
            return _pending.build_refusal(
                request,
                codes.Code.INVALID_DEADLINE,
                "the deadline is not a finite number of ms",
            )
        if _ROUTE.fullmatch(request.route) is None:
            return _pending.build_refusal(
                request,
                codes.Code.MALFORMED_BODY,
                "the route is not a valid name",
            )
        if self._topology is None:
            return _pending.build_refusal(
                request,
                codes.Code.NO_CONFIGURATION,
                "this node has no configuration yet",
            )
        return None

    def _start_valid_request(
        self, request: messages.ShardRequest, on_reply: ReplyCallback
    ) -> _pending.PendingRequest | None:
        key = configuration.ShardKey(
            request.service, request.shard, request.region
        )
        shard = self._get_or_create_shard(key)
        if shard is None:
            reply = _pending.build_refusal(
                request,
                codes.Code.UNKNOWN_SHARD,
                "the shard is not configured in the region of this node",
            )
            _metrics.count_reply(reply.code)
            on_reply(reply)
            return None

        def on_finished(pending: _pending.PendingRequest) -> None:
            self._remove_pending(pending)
            self._timers.discard_finished()
            assert pending.reply is not None
            _metrics.count_reply(pending.reply.code)
            on_reply(pending.reply)

        remaining_ms = min(request.deadline_ms, _MAX_DEADLINE_MS)
        pending = _pending.PendingRequest(
            request=request,
            shard=shard,
            priority=request.priority,
            deadline_s=trio.current_time() + remaining_ms / 1000,
            on_finished=on_finished,
        )
        self._pending_by_search.setdefault(request.search_id, []).append(
            pending
        )
        shard.submit(pending)
        return pending

    def _remove_pending(self, pending: _pending.PendingRequest) -> None:
        search_id = pending.request.search_id
        requests_of_search = self._pending_by_search[search_id]
        requests_of_search.remove(pending)
        if not requests_of_search:
            del self._pending_by_search[search_id]

    def cancel_search(self, search_id: bytes) -> None:
        """Ends all requests of a search whose caller no longer waits."""
        for pending in list(self._pending_by_search.get(search_id, ())):
            pending.shard.cancel(pending)

    def snapshots(self, key: configuration.ShardKey) -> Sequence[int]:
        """Returns the snapshots that a shard can serve, newest first."""
        shard = self._shards.get(key)
        return shard.snapshots() if shard is not None else ()

    # Topology and ownership.

    def apply_topology(self, topology: configuration.Topology) -> None:
        """Applies a topology; queued requests stay queued."""
        self._topology = topology
        for key, shard in list(self._shards.items()):
            self._configure_shard(key, shard)
        self._create_owned_shards()

    def apply_ownership(
        self,
        ownership: Mapping[configuration.ShardKey, membership.Authority],
    ) -> None:
        """Applies this node's authority for each shard that it serves."""
        previous = self._ownership
        self._ownership = dict(ownership)
        for key, shard in self._shards.items():
            owned = self._is_owned(key)
            previous_authority = previous.get(key, membership.Authority.NONE)
            if owned and previous_authority is membership.Authority.NONE:
                shard.resume()
            if not shard.released:
                shard.set_serving(owned)
            if not owned:
                shard.last_used_s = trio.current_time()
            shard.dispatch_waiting()
        self._create_owned_shards()

    def set_leaving_vms(self, vms: frozenset[str]) -> None:
        """Avoids the endpoints on leaving VMs while a shard has others.

        Args:
            vms: Names of the VMs that the platform lists as leaving. The list
                may be wrong.
        """
        if vms == self._leaving_vms:
            return
        self._leaving_vms = vms
        for key, shard in list(self._shards.items()):
            self._configure_shard(key, shard)

    def _create_owned_shards(self) -> None:
        for key in self._ownership:
            if self._is_owned(key):
                self._get_or_create_shard(key)

    def _is_owned(self, key: configuration.ShardKey) -> bool:
        authority = self._ownership.get(key, membership.Authority.NONE)
        return authority is not membership.Authority.NONE

    def _read_applied_authority(
        self, key: configuration.ShardKey, provisional: bool
    ) -> membership.Authority:
        del provisional
        return self._ownership.get(key, membership.Authority.NONE)

    def _get_or_create_shard(
        self, key: configuration.ShardKey
    ) -> _shard.Shard | None:
        """Returns a shard, created on first use; None if not configured."""
        shard = self._shards.get(key)
        if shard is not None:
            return shard
        if self._topology is None or key.region != self._region:
            return None
        if key not in self._topology.endpoints:
            return None
        shard = _shard.Shard(key, self._context, self._timers)
        self._shards[key] = shard
        self._configure_shard(key, shard)
        return shard

    def _configure_shard(
        self, key: configuration.ShardKey, shard: _shard.Shard
    ) -> None:
        topology = self._topology
        if topology is None:
            return
        service = topology.services.get(key.service)
        specs = topology.endpoints.get(key, ())
        policy = service.policy if service is not None and specs else None
        serving = self._is_owned(key) and not shard.released
        shard.configure(policy, specs, self._is_excluded, serving)
        for endpoint in shard.endpoints:
            vm = endpoint.spec.vm
            endpoint.on_leaving_vm = bool(vm) and vm in self._leaving_vms
        shard.dispatch_waiting()
        if policy is None and shard.is_idle():
            del self._shards[key]

    def _is_excluded(self, spec: configuration.EndpointSpec) -> bool:
        topology = self._topology
        return topology is None or topology.is_availability_zone_out(
            spec.availability_zone
        )

    def export_shard_state(
        self, key: configuration.ShardKey
    ) -> messages.ShardState:
        """Returns the endpoint states of a shard for the next owner."""
        shard = self._shards.get(key)
        if shard is not None:
            return shard.export_state()
        name = messages.ShardName(key.service, key.shard, key.region)
        return messages.ShardState(shard=name, endpoints=[])

    def apply_shard_state(self, state: messages.ShardState) -> None:
        """Applies the endpoint states that another owner has measured.

        The limit of an endpoint of an owned shard is never raised.
        """
        name = state.shard
        key = configuration.ShardKey(name.service, name.shard, name.region)
        shard = self._get_or_create_shard(key)
        if shard is None:
            return
        # A takeover may have ended since the last `apply_ownership`.
        authority = self._context.read_authority(key, False)
        owned = authority in (
            membership.Authority.FULL,
            membership.Authority.LIMITED,
        )
        shard.load_state(state, owned=owned)

    async def release(self, key: configuration.ShardKey) -> messages.ShardState:
        """Releases a shard for its handover to another node.

        Queued requests are refused with `NOT_OWNER`; running ones finish. The
        shard accepts requests again once `apply_ownership` was called without
        the shard and later with it.

        Returns:
            The endpoint states, once no request of the shard is in flight.
        """
        shard = self._shards.get(key)
        if shard is None:
            return self.export_shard_state(key)
        return await shard.release()

    # Versions.

    def apply_version_shares(
        self, shares: Sequence[canary.VersionShare]
    ) -> None:
        """Applies the version shares of all running rollouts."""
        self._versions.set_shares(shares)
        for shard in self._shards.values():
            shard.dispatch_waiting()

    def drain_evidence(self) -> Sequence[messages.VersionEvidence]:
        """Returns the evidence that was counted since the last call.

        The counts of one time window may be spread over several calls; the
        caller adds them up.
        """
        return self._versions.drain_evidence()

    def _report_stopped_version(self, stopped: messages.StoppedVersion) -> None:
        _logger.warning(
            "dispatch: stopped the new version of rollout %s: %s",
            stopped.rollout,
            stopped.reason,
        )
        if self._on_version_stopped is not None:
            self._on_version_stopped(stopped)

    def dump(self) -> dict[str, Any]:
        """Returns the state of queues, endpoints and version gates."""
        return {
            "region": self._region,
            "searches": len(self._pending_by_search),
            "versions": self._versions.dump(),
            "shards": [shard.dump() for shard in self._shards.values()],
        }


async def _run_worker(worker: _connection.ConnectionWorker) -> None:
    try:
        await worker.run()
    except Exception:
        # An error of one connection must not end the others. The next tick
        # replaces the connection.
        _logger.exception("dispatch: a connection task failed")
