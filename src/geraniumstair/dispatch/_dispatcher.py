"""Owner role of a node: all shards that it serves."""

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

from geraniumstair import configuration
from geraniumstair import membership
from geraniumstair import verdict
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

_TICK_S = 0.25
# A shard that this node doesn't own is forgotten after this time.
_FORGET_AFTER_S = 60.0
_MAX_DEADLINE_MS = 60_000.0
# The route becomes part of the request target.
_ROUTE = re.compile(r"[A-Za-z0-9._-]{1,64}", re.ASCII)

Done = Callable[[messages.ShardReply], None]
AuthorityReader = Callable[[configuration.ShardKey, bool], membership.Authority]


class Dispatcher:
    """Queues requests for shards and sends them to endpoints.

    Args:
        region: Only shards of this region are served.
        availability_zone: The node's own, preferred for its endpoints.
        client_factory: Makes endpoint clients; HTTP by default.
        authority: Read right before each dispatch with the shard's key and
            whether the request is provisional. It must take the staleness of
            heartbeats into account. By default the last adopted ownership
            counts.
        wall_clock: Seconds since 1970, for windows of evidence.
        on_version_stopped: Called when own evidence stops a new version; the
            receiver fills in the node id.
    """

    def __init__(
        self,
        region: str,
        availability_zone: str,
        *,
        client_factory: _client.ClientFactory = _http_client.HttpClient,
        authority: AuthorityReader | None = None,
        wall_clock: Callable[[], float] = time.time,
        on_version_stopped: verdict.StopListener | None = None,
    ) -> None:
        self._region = region
        self._topology: configuration.Topology | None = None
        self._ownership: Mapping[
            configuration.ShardKey, membership.Authority
        ] = {}
        self._leaving_vms: frozenset[str] = frozenset()
        self._shards: dict[configuration.ShardKey, _shard.Shard] = {}
        self._searches: dict[bytes, list[_pending.Pending]] = {}
        self._timers = _timers.Timers()
        self._nursery: trio.Nursery | None = None
        self._unstarted: list[_connection.ConnectionWorker] = []
        self._on_version_stopped = on_version_stopped
        self._versions = verdict.VersionBook(wall_clock, self._stop_version)
        self._surroundings = _replicas.Surroundings(
            availability_zone=availability_zone,
            client_factory=client_factory,
            authority=authority or self._adopted_authority,
            versions=self._versions,
            spawn=self._spawn,
            request_prefix=secrets.token_hex(6).encode(),
            request_numbers=itertools.count(1),
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for worker in self._unstarted:
                    nursery.start_soon(_run_worker, worker)
                self._unstarted.clear()
                nursery.start_soon(self._timers.run)
                task_status.started()
                while True:
                    await trio.sleep(_TICK_S)
                    self._tick()
        finally:
            self._nursery = None

    def _spawn(self, worker: _connection.ConnectionWorker) -> None:
        if self._nursery is None:
            self._unstarted.append(worker)
        else:
            self._nursery.start_soon(_run_worker, worker)

    def _tick(self) -> None:
        now_s = trio.current_time()
        for key, shard in list(self._shards.items()):
            if shard.released:
                continue
            if not self._is_owned(key):
                shard.set_wanted(now_s < shard.provisional_until_s)
                unused_s = now_s - shard.used_s
                if unused_s > _FORGET_AFTER_S and shard.is_unused():
                    del self._shards[key]
                    continue
            shard.tick(now_s)

    # Requests.

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Serves one shard request.

        Args:
            request: Its deadline counts from now.

        Returns:
            The reply, at the latest when the deadline has passed. A reply
            with `not_run` is true: no endpoint can have acted on it.
        """
        replied = trio.Event()
        replies: list[messages.ShardReply] = []

        def done(reply: messages.ShardReply) -> None:
            replies.append(reply)
            replied.set()

        pending = self.start(request, done)
        try:
            if not replies:
                await replied.wait()
        finally:
            self.abandon(pending)
        return replies[0]

    def start(
        self, request: messages.ShardRequest, done: Done
    ) -> _pending.Pending | None:
        """Serves one shard request without a task of its own.

        Args:
            request: Its deadline counts from now.
            done: Called once with the reply, perhaps before this returns.

        Returns:
            What `abandon` takes; None if the reply is there already.
        """
        reply = self._invalid(request)
        if reply is None:
            return self._start_valid(request, done)
        _metrics.reply(reply.code)
        done(reply)
        return None

    def abandon(self, pending: _pending.Pending | None) -> None:
        """Ends a request whose reply nobody waits for any more."""
        if pending is not None and pending.reply is None:
            pending.shard.cancel(pending)

    def _invalid(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply | None:
        if not math.isfinite(request.deadline_ms):
            return _pending.refusal(
                request, codes.Code.INVALID_DEADLINE, "not a number of ms"
            )
        if _ROUTE.fullmatch(request.route) is None:
            return _pending.refusal(
                request, codes.Code.MALFORMED_BODY, "the route is not valid"
            )
        if self._topology is None:
            return _pending.refusal(
                request, codes.Code.NO_CONFIGURATION, "no configuration yet"
            )
        return None

    def _start_valid(
        self, request: messages.ShardRequest, done: Done
    ) -> _pending.Pending | None:
        key = configuration.ShardKey(
            request.service, request.shard, request.region
        )
        shard = self._shard_for(key)
        if shard is None:
            reply = _pending.refusal(
                request, codes.Code.UNKNOWN_SHARD, "no such shard here"
            )
            _metrics.reply(reply.code)
            done(reply)
            return None

        def finished(pending: _pending.Pending) -> None:
            self._forget(pending)
            self._timers.discard_ended()
            assert pending.reply is not None
            _metrics.reply(pending.reply.code)
            done(pending.reply)

        remaining_ms = min(request.deadline_ms, _MAX_DEADLINE_MS)
        pending = _pending.Pending(
            request=request,
            shard=shard,
            priority=request.priority,
            deadline_s=trio.current_time() + remaining_ms / 1000,
            done=finished,
        )
        self._searches.setdefault(request.search_id, []).append(pending)
        shard.start(pending)
        return pending

    def _forget(self, pending: _pending.Pending) -> None:
        search_id = pending.request.search_id
        same_search = self._searches[search_id]
        same_search.remove(pending)
        if not same_search:
            del self._searches[search_id]

    def cancel(self, search_id: bytes) -> None:
        """Ends all requests of a search that nobody waits for any more."""
        for pending in list(self._searches.get(search_id, ())):
            pending.shard.cancel(pending)

    def snapshots(self, key: configuration.ShardKey) -> Sequence[int]:
        """Returns the snapshots that a shard can serve, newest first."""
        shard = self._shards.get(key)
        return shard.snapshots() if shard is not None else ()

    # Topology and ownership.

    def adopt_topology(self, topology: configuration.Topology) -> None:
        """Adopts a topology; queued requests stay queued."""
        self._topology = topology
        for key, shard in list(self._shards.items()):
            self._configure(key, shard)
        self._open_owned()

    def adopt_ownership(
        self,
        ownership: Mapping[configuration.ShardKey, membership.Authority],
    ) -> None:
        """Adopts this node's authority for each shard that it serves."""
        before = self._ownership
        self._ownership = dict(ownership)
        for key, shard in self._shards.items():
            owned = self._is_owned(key)
            was_owned = before.get(key, membership.Authority.NONE)
            if owned and was_owned is membership.Authority.NONE:
                shard.reopen()
            if not shard.released:
                shard.set_wanted(owned)
            if not owned:
                shard.used_s = trio.current_time()
            shard.pump()
        self._open_owned()

    def set_leaving_vms(self, vms: frozenset[str]) -> None:
        """Spares endpoints on these VMs while a shard has other ones.

        Args:
            vms: VMs that the platform's list, which may be wrong, names as
                leaving.
        """
        if vms == self._leaving_vms:
            return
        self._leaving_vms = vms
        for key, shard in list(self._shards.items()):
            self._configure(key, shard)

    def _open_owned(self) -> None:
        for key in self._ownership:
            if self._is_owned(key):
                self._shard_for(key)

    def _is_owned(self, key: configuration.ShardKey) -> bool:
        authority = self._ownership.get(key, membership.Authority.NONE)
        return authority is not membership.Authority.NONE

    def _adopted_authority(
        self, key: configuration.ShardKey, provisional: bool
    ) -> membership.Authority:
        del provisional
        return self._ownership.get(key, membership.Authority.NONE)

    def _shard_for(self, key: configuration.ShardKey) -> _shard.Shard | None:
        """Returns the shard, made on first use; None if not configured."""
        shard = self._shards.get(key)
        if shard is not None:
            return shard
        if self._topology is None or key.region != self._region:
            return None
        if key not in self._topology.endpoints:
            return None
        shard = _shard.Shard(key, self._surroundings, self._timers)
        self._shards[key] = shard
        self._configure(key, shard)
        return shard

    def _configure(
        self, key: configuration.ShardKey, shard: _shard.Shard
    ) -> None:
        topology = self._topology
        if topology is None:
            return
        service = topology.services.get(key.service)
        specs = topology.endpoints.get(key, ())
        policy = service.policy if service is not None and specs else None
        wanted = self._is_owned(key) and not shard.released
        shard.configure(policy, specs, self._excluded, wanted)
        for endpoint in shard.endpoints:
            vm = endpoint.spec.vm
            endpoint.on_leaving_vm = bool(vm) and vm in self._leaving_vms
        shard.pump()
        if policy is None and shard.is_unused():
            del self._shards[key]

    def _excluded(self, spec: configuration.EndpointSpec) -> bool:
        topology = self._topology
        return topology is None or topology.is_out(spec.availability_zone)

    # Handover.

    def shard_state(self, key: configuration.ShardKey) -> messages.ShardState:
        """Returns the endpoint states of a shard for the next owner."""
        shard = self._shards.get(key)
        if shard is not None:
            return shard.state()
        name = messages.ShardName(key.service, key.shard, key.region)
        return messages.ShardState(shard=name, endpoints=[])

    def load_state(self, state: messages.ShardState) -> None:
        """Adopts another owner's endpoint states.

        It never raises the limit of an endpoint of an owned shard.
        """
        name = state.shard
        key = configuration.ShardKey(name.service, name.shard, name.region)
        shard = self._shard_for(key)
        if shard is None:
            return
        # A takeover may have ended since an ownership was adopted.
        authority = self._surroundings.authority(key, False)
        owned = authority in (
            membership.Authority.FULL,
            membership.Authority.LIMITED,
        )
        shard.load(state, owned=owned)

    async def release(self, key: configuration.ShardKey) -> messages.ShardState:
        """Gives up a shard for a handover.

        Queued requests get `NOT_OWNER`; running ones finish. The shard takes
        requests again when an ownership is adopted that names it after one
        that didn't.

        Returns:
            The endpoint states; nothing of the shard is in flight any more.
        """
        shard = self._shards.get(key)
        if shard is None:
            return self.shard_state(key)
        return await shard.release()

    # Versions.

    def adopt_version_shares(
        self, shares: Sequence[verdict.VersionShare]
    ) -> None:
        """Adopts the shares of all running rollouts."""
        self._versions.adopt(shares)
        for shard in self._shards.values():
            shard.pump()

    def take_evidence(self) -> Sequence[messages.VersionEvidence]:
        """Returns what was counted since the last call.

        Counts of one window may come in several parts, to be added up.
        """
        return self._versions.take_evidence()

    def _stop_version(self, stopped: messages.StoppedVersion) -> None:
        _logger.warning(
            "dispatch: rollout %s stopped: %s", stopped.rollout, stopped.reason
        )
        if self._on_version_stopped is not None:
            self._on_version_stopped(stopped)

    def dump(self) -> dict[str, Any]:
        """Returns the state of queues, endpoints and gates."""
        return {
            "region": self._region,
            "searches": len(self._searches),
            "versions": self._versions.dump(),
            "shards": [shard.dump() for shard in self._shards.values()],
        }


async def _run_worker(worker: _connection.ConnectionWorker) -> None:
    try:
        await worker.run()
    except Exception:
        # One connection's fault must not end the others. The next tick
        # replaces the connection.
        _logger.exception("dispatch: a connection task failed")
