"""Endpoints of one shard and the state measured from their replies."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import logging

import trio

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair import endpoint_http
from geraniumstair._generated import messages
from geraniumstair.dispatch import _client
from geraniumstair.dispatch import _connection
from geraniumstair.dispatch import _endpoint
from geraniumstair.dispatch import _metrics
from geraniumstair.dispatch import _outlier
from geraniumstair.dispatch import _pending
from geraniumstair.membership import _authority

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class DispatchContext:
    """Values and callbacks that all shards of a dispatcher share.

    Attributes:
        availability_zone: The node's own availability zone.
        client_factory: Creates endpoint clients.
        read_authority: Returns the node's current authority for a shard; the
            second argument says whether the request is provisional.
        versions: Version gates and evidence of rollouts.
        spawn: Starts the task of a connection worker.
        request_prefix: Makes request ids unique among nodes.
        request_numbers: Makes request ids unique within the node.
    """

    availability_zone: str
    client_factory: _client.ClientFactory
    read_authority: Callable[
        [configuration.ShardKey, bool], _authority.Authority
    ]
    versions: canary.VersionTracker
    spawn: Callable[[_connection.ConnectionWorker], None]
    request_prefix: bytes
    request_numbers: "itertools.count[int]"


class Replicas:
    """Endpoints of one shard.

    Attributes:
        endpoints: Endpoints in the order of the operators' document.
        latency: Latencies of recent answers of all endpoints.
    """

    def __init__(
        self,
        key: configuration.ShardKey,
        context: DispatchContext,
        listener: _endpoint.EndpointListener,
    ) -> None:
        self.endpoints: list[_endpoint.Endpoint] = []
        self.latency = endpoint_http.LatencyWindow()
        self._key = key
        self._context = context
        self._listener = listener

    def configure(
        self,
        specs: Sequence[configuration.EndpointSpec],
        is_excluded: Callable[[configuration.EndpointSpec], bool],
    ) -> None:
        """Applies the configured endpoints; unchanged ones keep their state.

        Args:
            specs: Specifications of the shard's endpoints.
            is_excluded: Returns whether an endpoint must get no new requests.
        """
        old = {e.spec.name: e for e in self.endpoints}
        kept = []
        for spec in specs:
            endpoint = old.pop(spec.name, None)
            if endpoint is not None and not _is_same_process(
                endpoint.spec, spec
            ):
                self._retire(endpoint)
                endpoint = None
            if endpoint is None:
                client = self._context.client_factory(spec)
                endpoint = _endpoint.Endpoint(
                    spec, client, self._listener, self._context.spawn
                )
            elif endpoint.spec is not spec:
                endpoint.reconfigure(spec)
            kept.append(endpoint)
        self.endpoints = kept
        for endpoint in old.values():
            self._retire(endpoint)
        for endpoint in kept:
            endpoint.set_excluded(is_excluded(endpoint.spec))

    def _retire(self, endpoint: _endpoint.Endpoint) -> None:
        endpoint.set_excluded(True)

    def record_outcome(
        self,
        endpoint: _endpoint.Endpoint,
        pending: _pending.PendingRequest,
        attempt: _connection.Attempt,
        reply: _client.EndpointReply,
    ) -> None:
        """Updates latency, ramp, health and evidence after an attempt.

        Args:
            endpoint: Endpoint of the attempt.
            pending: Request of the attempt.
            attempt: The attempt, which was not withdrawn.
            reply: Reply to the attempt.
        """
        now_s = trio.current_time()
        elapsed_ms = (now_s - attempt.sent_s) * 1000 if attempt.sent_s else 0.0
        route = pending.request.route
        versions = self._context.versions
        if reply.outcome is _client.Outcome.ANSWERED:
            answer = canary.Answer(
                endpoint=endpoint.spec.name,
                latency_ms=elapsed_ms,
                abandoned=False,
            )
            self.latency.add(elapsed_ms)
            self._record_answer(endpoint, elapsed_ms, now_s)
            versions.record_result(
                self._key.service, endpoint.spec.version, route, answer
            )
        elif reply.outcome in _client.FAULTS:
            if endpoint.health.record_fault():
                self._eject(endpoint, now_s)
            versions.record_result(
                self._key.service, endpoint.spec.version, route, None
            )
        elif attempt.abandoned:
            self._record_abandoned(endpoint, pending, elapsed_ms)

    def _record_answer(
        self, endpoint: _endpoint.Endpoint, elapsed_ms: float, now_s: float
    ) -> None:
        endpoint.health.record_answer(elapsed_ms)
        reference_ms = _endpoint.compute_sibling_baseline_ms(
            self.endpoints, endpoint
        )
        if endpoint.ramp.record_completion(elapsed_ms, reference_ms):
            self._restart_suspect_ramp(endpoint)
        if _outlier.is_slow_outlier(
            endpoint.health, self.endpoints
        ) and self._may_add_suspect(endpoint):
            self._eject(endpoint, now_s)

    def _record_abandoned(
        self,
        endpoint: _endpoint.Endpoint,
        pending: _pending.PendingRequest,
        elapsed_ms: float,
    ) -> None:
        """Records an abandoned attempt, as a slow one if it ran for long.

        The full latency of such an attempt is unknown. If abandoned attempts
        were ignored, an endpoint whose attempts all lose against hedges would
        never count as slow.
        """
        if elapsed_ms:
            self._context.versions.record_result(
                self._key.service,
                endpoint.spec.version,
                pending.request.route,
                canary.Answer(
                    endpoint=endpoint.spec.name,
                    latency_ms=elapsed_ms,
                    abandoned=True,
                ),
            )
        baseline_ms = (
            endpoint.ramp.baseline_ms
            or _endpoint.compute_sibling_baseline_ms(self.endpoints, endpoint)
        )
        if not baseline_ms or elapsed_ms < 2 * baseline_ms:
            return
        if endpoint.ramp.record_slow_answer():
            self._restart_suspect_ramp(endpoint)

    def _restart_suspect_ramp(self, endpoint: _endpoint.Endpoint) -> None:
        """Restarts the ramp of a slow endpoint if few others are suspected.

        At most half of the endpoints are ramped on suspicion.
        """
        if self._may_add_suspect(endpoint):
            endpoint.restart_ramp("slow", suspected=True)

    def _may_add_suspect(self, endpoint: _endpoint.Endpoint) -> bool:
        in_service = [e for e in self.endpoints if e.is_in_service()]
        others = [e for e in in_service if e is not endpoint]
        suspected = sum(1 for e in others if e.ramp.suspected)
        return 2 * (suspected + 1) <= len(in_service)

    def _eject(self, endpoint: _endpoint.Endpoint, now_s: float) -> None:
        if endpoint.health.ejected_until_s > now_s:
            return
        in_service = [e for e in self.endpoints if e.is_in_service()]
        if not _outlier.may_eject(in_service, now_s):
            return
        endpoint.health.eject(now_s)
        # The endpoint counts as suspected until it is warm again. Otherwise,
        # if all endpoints are slow, half of them could be ejected and the other
        # half ramped as slow.
        endpoint.restart_ramp("ejected", suspected=True)
        _metrics.count_ejection()
        _logger.warning("dispatch: endpoint %s ejected", endpoint.spec.name)

    def snapshots(self) -> list[int]:
        """Returns the snapshots that the shard can serve, newest first.

        A snapshot is returned if more than half of the usable endpoints have
        it, since a newer one on few endpoints would draw all load to them. If
        there is no such snapshot, those of any usable endpoint are returned.
        """
        counts: dict[int, int] = {}
        reporting = 0
        for endpoint in self.endpoints:
            if endpoint.snapshots is None or not endpoint.is_usable():
                continue
            reporting += 1
            for snapshot in endpoint.snapshots:
                counts[snapshot] = counts.get(snapshot, 0) + 1
        common = [s for s, count in counts.items() if 2 * count > reporting]
        return sorted(common or counts, reverse=True)

    def load_state(self, state: messages.ShardState, *, owned: bool) -> None:
        """Applies the states that another owner has measured.

        Args:
            state: States of the shard's endpoints.
            owned: Whether this node owns the shard.
        """
        by_name = {e.spec.name: e for e in self.endpoints}
        for item in state.endpoints:
            endpoint = by_name.get(item.endpoint)
            if endpoint is not None:
                endpoint.load_state(item, owned=owned)

    def export_state(self) -> messages.ShardState:
        """Returns the endpoint states for the next owner."""
        return messages.ShardState(
            shard=messages.ShardName(
                self._key.service, self._key.shard, self._key.region
            ),
            endpoints=[e.export_state() for e in self.endpoints],
        )

    def estimate_wait_ms(self, ahead: int) -> float:
        """Estimates the wait in the queue; 0 if unknown.

        Args:
            ahead: Number of requests that are served first.
        """
        limit = sum(e.ramp.limit for e in self.endpoints if e.is_usable())
        return ahead * self.latency.quantile(0.5) / max(1, limit)


def _is_same_process(
    old: configuration.EndpointSpec, new: configuration.EndpointSpec
) -> bool:
    """Returns whether both have the same address, port and version."""
    return (
        old.address == new.address
        and old.port == new.port
        and old.version == new.version
    )
