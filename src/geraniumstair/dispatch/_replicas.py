"""The replicas of one shard, and what their answers say about them."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import logging

import trio

from geraniumstair import calls
from geraniumstair import configuration
from geraniumstair import verdict
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
class Surroundings:
    """What all shards of a dispatcher share.

    Attributes:
        availability_zone: The node's own.
        client_factory: Makes endpoint clients.
        authority: Reads the authority for a shard; the second argument says
            whether the request is provisional.
        versions: Gates and evidence of rollouts.
        spawn: Starts a connection task.
        request_prefix: Makes request ids unique among nodes.
    """

    availability_zone: str
    client_factory: _client.ClientFactory
    authority: Callable[[configuration.ShardKey, bool], _authority.Authority]
    versions: verdict.VersionBook
    spawn: Callable[[_connection.ConnectionWorker], None]
    request_prefix: bytes
    request_numbers: "itertools.count[int]"


class Replicas:
    """Endpoints of one shard.

    Attributes:
        endpoints: Replicas in the document's order.
        latency: Recent latencies of the shard.
    """

    def __init__(
        self,
        key: configuration.ShardKey,
        surroundings: Surroundings,
        listener: _endpoint.Listener,
    ) -> None:
        self.endpoints: list[_endpoint.Endpoint] = []
        self.latency = calls.LatencyWindow()
        self._key = key
        self._surroundings = surroundings
        self._listener = listener

    def configure(
        self,
        specs: Sequence[configuration.EndpointSpec],
        excluded: Callable[[configuration.EndpointSpec], bool],
    ) -> None:
        """Adopts the configured endpoints; unchanged ones keep their state.

        Args:
            specs: The shard's replicas.
            excluded: Tells whether an endpoint must get no new work.
        """
        old = {e.spec.name: e for e in self.endpoints}
        kept = []
        for spec in specs:
            endpoint = old.pop(spec.name, None)
            if endpoint is not None and not _same(endpoint.spec, spec):
                self._retire(endpoint)
                endpoint = None
            if endpoint is None:
                client = self._surroundings.client_factory(spec)
                endpoint = _endpoint.Endpoint(
                    spec, client, self._listener, self._surroundings.spawn
                )
            elif endpoint.spec is not spec:
                endpoint.reconfigure(spec)
            kept.append(endpoint)
        self.endpoints = kept
        for endpoint in old.values():
            self._retire(endpoint)
        for endpoint in kept:
            endpoint.set_excluded(excluded(endpoint.spec))

    def _retire(self, endpoint: _endpoint.Endpoint) -> None:
        endpoint.set_excluded(True)

    def judge(
        self,
        endpoint: _endpoint.Endpoint,
        pending: _pending.Pending,
        attempt: _connection.Attempt,
        reply: _client.EndpointReply,
    ) -> None:
        """Updates latency, ramp, health and evidence after an outcome.

        Args:
            endpoint: The endpoint of the attempt.
            pending: The request.
            attempt: The attempt, which was not withdrawn.
            reply: Its outcome.
        """
        now_s = trio.current_time()
        elapsed_ms = (now_s - attempt.sent_s) * 1000 if attempt.sent_s else 0.0
        route = pending.request.route
        versions = self._surroundings.versions
        if reply.outcome is _client.Outcome.ANSWERED:
            answer = verdict.Answer(
                endpoint=endpoint.spec.name,
                latency_ms=elapsed_ms,
                abandoned=False,
            )
            self.latency.add(elapsed_ms)
            self._judge_answer(endpoint, elapsed_ms, now_s)
            versions.add(
                self._key.service, endpoint.spec.version, route, answer
            )
        elif reply.outcome in _client.FAULTS:
            if endpoint.health.note_fault():
                self._eject(endpoint, now_s)
            versions.add(self._key.service, endpoint.spec.version, route, None)
        elif attempt.abandoned:
            self._judge_abandoned(endpoint, pending, elapsed_ms)

    def _judge_answer(
        self, endpoint: _endpoint.Endpoint, elapsed_ms: float, now_s: float
    ) -> None:
        endpoint.health.note_answer(elapsed_ms)
        reference_ms = _endpoint.reference_ms(self.endpoints, endpoint)
        if endpoint.ramp.complete(elapsed_ms, reference_ms):
            self._suspect(endpoint)
        if _outlier.is_slow_outlier(
            endpoint.health, self.endpoints
        ) and self._may_suspect(endpoint):
            self._eject(endpoint, now_s)

    def _judge_abandoned(
        self,
        endpoint: _endpoint.Endpoint,
        pending: _pending.Pending,
        elapsed_ms: float,
    ) -> None:
        """A request that ran long before it was given up was a slow one.

        Its true latency is unknown. Without this, an endpoint whose
        requests all lose against hedges would never look slow.
        """
        if elapsed_ms:
            self._surroundings.versions.add(
                self._key.service,
                endpoint.spec.version,
                pending.request.route,
                verdict.Answer(
                    endpoint=endpoint.spec.name,
                    latency_ms=elapsed_ms,
                    abandoned=True,
                ),
            )
        baseline_ms = endpoint.ramp.baseline_ms or _endpoint.reference_ms(
            self.endpoints, endpoint
        )
        if not baseline_ms or elapsed_ms < 2 * baseline_ms:
            return
        if endpoint.ramp.note_slow():
            self._suspect(endpoint)

    def _suspect(self, endpoint: _endpoint.Endpoint) -> None:
        """Ramps a slow endpoint, but at most half of them on suspicion."""
        if self._may_suspect(endpoint):
            endpoint.cool("slow", suspected=True)

    def _may_suspect(self, endpoint: _endpoint.Endpoint) -> bool:
        in_service = [e for e in self.endpoints if e.in_service()]
        others = [e for e in in_service if e is not endpoint]
        suspected = sum(1 for e in others if e.ramp.suspected)
        return 2 * (suspected + 1) <= len(in_service)

    def _eject(self, endpoint: _endpoint.Endpoint, now_s: float) -> None:
        if endpoint.health.ejected_until_s > now_s:
            return
        in_service = [e for e in self.endpoints if e.in_service()]
        if not _outlier.may_eject(in_service, now_s):
            return
        endpoint.health.eject(now_s)
        # It counts for the half until it is warm again. Slowness of all
        # replicas must not ramp some as ejected ones and the rest as slow.
        endpoint.cool("ejected", suspected=True)
        _metrics.ejection()
        _logger.warning("dispatch: endpoint %s ejected", endpoint.spec.name)

    def snapshots(self) -> list[int]:
        """Returns the snapshots that the shard can serve, newest first.

        These are the ones that more than half of the usable endpoints have,
        since a newer one on few endpoints would draw all load to them. If
        there is none, any endpoint's snapshots count.
        """
        counts: dict[int, int] = {}
        told = 0
        for endpoint in self.endpoints:
            if endpoint.snapshots is None or not endpoint.prospective():
                continue
            told += 1
            for snapshot in endpoint.snapshots:
                counts[snapshot] = counts.get(snapshot, 0) + 1
        common = [s for s, count in counts.items() if 2 * count > told]
        return sorted(common or counts, reverse=True)

    def load(self, state: messages.ShardState, *, owned: bool) -> None:
        """Adopts the previous owner's knowledge."""
        by_name = {e.spec.name: e for e in self.endpoints}
        for item in state.endpoints:
            endpoint = by_name.get(item.endpoint)
            if endpoint is not None:
                endpoint.load(item, owned=owned)

    def state(self) -> messages.ShardState:
        """Returns what the next owner needs to know."""
        return messages.ShardState(
            shard=messages.ShardName(
                self._key.service, self._key.shard, self._key.region
            ),
            endpoints=[e.state() for e in self.endpoints],
        )

    def expected_wait_ms(self, ahead: int) -> float:
        """Estimates the wait behind other requests; 0 if unknown."""
        limit = sum(e.ramp.limit for e in self.endpoints if e.prospective())
        return ahead * self.latency.quantile(0.5) / max(1, limit)


def _same(
    old: configuration.EndpointSpec, new: configuration.EndpointSpec
) -> bool:
    """Tells whether both name the same process at the same address."""
    return (
        old.address == new.address
        and old.port == new.port
        and old.version == new.version
    )
