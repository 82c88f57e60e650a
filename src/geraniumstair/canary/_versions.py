"""Traffic split between versions, and this node's evidence about them."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from geraniumstair import endpoint_http
from geraniumstair._generated import messages
from geraniumstair.canary import _evidence
from geraniumstair.canary import _fault_detection
from geraniumstair.canary import _share

# The counts are halved at this number of requests, so that old requests lose
# weight and the share adapts to a changed mix of traffic.
_HALVE_AT_REQUESTS = 1000
# Period of this node's evidence that a local stop is based on.
LOCAL_EVIDENCE_S = 10
# The first answers of an endpoint are not evidence about its version, because
# cold endpoints of a good version are slow as well. The cold phase ends after
# `CONSECUTIVE_WARM_ANSWERS` answers in a row that are not slow, or after
# `COLD_ANSWERS` answers.
CONSECUTIVE_WARM_ANSWERS = 8
COLD_ANSWERS = 25
# With fewer samples the old version's 95th percentile is unreliable.
_MIN_OLD_LATENCY_SAMPLES = 20


class VersionGate:
    """Limits the share of requests that the new version of a service gets.

    Attributes:
        share: The share in force.
        stopped: True if this node's evidence has stopped the new version.
    """

    def __init__(self, share: _share.VersionShare) -> None:
        self.share = share
        self.stopped = False
        self._new_requests = 0
        self._all_requests = 0

    def set_share(self, share: _share.VersionShare) -> None:
        """Replaces the share; a changed percentage resets the counts."""
        if share.share_pct != self.share.share_pct:
            self._new_requests = 0
            self._all_requests = 0
        self.share = share

    def is_new(self, version: str) -> bool:
        """Returns True for the version that traffic moves to."""
        return version == self.share.new_version

    def allows(self, version: str) -> bool:
        """Returns True if the next request may go to the version."""
        share = 0.0 if self.stopped else self.share.share_pct / 100
        if version in self.share.blocked:
            return False
        if self.is_new(version):
            return self._new_requests + 1 <= share * (self._all_requests + 1)
        return share < 1

    def is_complete(self) -> bool:
        """Returns True if all traffic goes to the new version."""
        return not self.stopped and self.share.share_pct >= 100

    def count_request(self, version: str) -> None:
        """Counts a request that is assigned to an endpoint of the version."""
        self._all_requests += 1
        if self.is_new(version):
            self._new_requests += 1
        # Raises the new version's count to its share, so that unused share
        # does not accumulate and cause a burst later.
        due = math.floor(self.share.share_pct / 100 * self._all_requests)
        self._new_requests = max(self._new_requests, due)
        if self._all_requests >= _HALVE_AT_REQUESTS:
            self._all_requests //= 2
            self._new_requests = -(-self._new_requests // 2)

    def get_request_counts(self) -> tuple[int, int]:
        """Returns the counts of the new version and of all requests."""
        return self._new_requests, self._all_requests


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Latency of a request that was answered or abandoned.

    Attributes:
        endpoint: Name of the endpoint.
        latency_ms: Time from sending the request until it was answered or
            abandoned.
        abandoned: True if the request was abandoned before its answer.
    """

    endpoint: str
    latency_ms: float
    abandoned: bool


@dataclasses.dataclass(slots=True)
class _Warmup:
    """Cold phase of an endpoint.

    Attributes:
        answers: Number of answers so far.
        consecutive_fast_answers: Number of latest consecutive answers that
            were not slow.
        is_over: True if further answers are evidence.
    """

    answers: int = 0
    consecutive_fast_answers: int = 0
    is_over: bool = False


@dataclasses.dataclass(slots=True)
class _ReportedCounts:
    completed: int = 0
    failed: int = 0
    slow: int = 0
    latency_sum_ms: float = 0.0

    def add(self, other: "_ReportedCounts") -> None:
        self.completed += other.completed
        self.failed += other.failed
        self.slow += other.slow
        self.latency_sum_ms += other.latency_sum_ms


class RolloutEvidence:
    """This node's evidence of one rollout, per version and route.

    The node stops the new version by the same significance tests as the
    judge, but from its local counts alone.

    Args:
        gate: The rollout's gate.
        cold_answers: Maximum number of first answers of each endpoint of the
            new version that are not evidence; 0 if the caller does not add
            the answers of cold endpoints.
    """

    def __init__(
        self, gate: VersionGate, cold_answers: int = COLD_ANSWERS
    ) -> None:
        self._gate = gate
        self._cold_answers = cold_answers
        share = gate.share
        self._unsent_counts: dict[tuple[str, str, int], _ReportedCounts] = {}
        self._table = _evidence.EvidenceTable(
            share.old_version, share.new_version
        )
        self._old_latencies: dict[str, endpoint_http.LatencyWindow] = {}
        self._warmups: dict[str, _Warmup] = {}

    def add_failure(self, version: str, route: str, window_s: int) -> bool:
        """Counts a failure.

        Returns:
            True, because every failure may indicate a fault.
        """
        self._add_counts(version, route, window_s, _ReportedCounts(failed=1))
        return True

    def add_answer(
        self, version: str, route: str, window_s: int, answer: Answer
    ) -> bool:
        """Counts an answer.

        Args:
            version: Version of the endpoint.
            route: Route of the request.
            window_s: Time in s, rounded down.
            answer: The answer.

        Returns:
            True if the answer was slow and was counted.
        """
        slow = self._is_slow(route, answer.latency_ms)
        if self._gate.is_new(version) and self._count_cold_answer(answer, slow):
            return False
        if answer.abandoned and not slow:
            # The request was abandoned early, so its latency is not known.
            return False
        counts = _ReportedCounts(
            completed=1, slow=int(slow), latency_sum_ms=answer.latency_ms
        )
        self._add_counts(version, route, window_s, counts)
        if not self._gate.is_new(version):
            self._old_latencies[route].add(answer.latency_ms)
        return slow

    def _count_cold_answer(self, answer: Answer, slow: bool) -> bool:
        """Counts an answer of an endpoint's cold phase.

        The endpoint's slow-start ramp is not used here, because it treats an
        endpoint as warm that is slower than usual by a factor of less than
        `COLD_SLOWDOWN` (`dispatch`).

        Returns:
            False if the answer is evidence, because the cold phase is over
            or is disabled by `cold_answers`.
        """
        if not self._cold_answers:
            return False
        warmup = self._warmups.setdefault(answer.endpoint, _Warmup())
        if warmup.is_over:
            return False
        warmup.answers += 1
        if slow:
            warmup.consecutive_fast_answers = 0
        elif not answer.abandoned:
            warmup.consecutive_fast_answers += 1
        warmup.is_over = (
            warmup.consecutive_fast_answers >= CONSECUTIVE_WARM_ANSWERS
            or warmup.answers >= self._cold_answers
        )
        return True

    def _add_counts(
        self, version: str, route: str, window_s: int, counts: _ReportedCounts
    ) -> None:
        share = self._gate.share
        if not self._gate.is_new(version):
            version = share.old_version
        key = (version, route, window_s)
        self._unsent_counts.setdefault(key, _ReportedCounts()).add(counts)
        self._table.add_row(_build_row(share.rollout, key, counts))
        self._table.drop_windows_before(window_s - LOCAL_EVIDENCE_S)

    def _is_slow(self, route: str, latency_ms: float) -> bool:
        window = self._old_latencies.get(route)
        if window is None:
            window = self._old_latencies[route] = endpoint_http.LatencyWindow()
        if len(window) < _MIN_OLD_LATENCY_SAMPLES:
            return False
        return latency_ms > window.quantile(0.95)

    def find_clear_fault(self, now_s: int) -> str:
        """Returns the reason to stop the new version, or an empty string."""
        since_s = now_s - LOCAL_EVIDENCE_S
        return _fault_detection.find_fault(
            self._table.compare_versions(since_s)
        )

    def drain_unsent_rows(self) -> list[messages.VersionEvidence]:
        """Returns and clears the counts since the last call."""
        rollout_key = self._gate.share.rollout
        rows = [
            _build_row(rollout_key, key, counts)
            for key, counts in self._unsent_counts.items()
        ]
        self._unsent_counts.clear()
        return rows


def _build_row(
    rollout_key: str, key: tuple[str, str, int], counts: _ReportedCounts
) -> messages.VersionEvidence:
    version, route, window_s = key
    return messages.VersionEvidence(
        rollout=rollout_key,
        version=version,
        route=route,
        window_s=window_s,
        completed=counts.completed,
        failed=counts.failed,
        slow=counts.slow,
        latency_sum_ms=counts.latency_sum_ms,
    )


StopCallback = Callable[[messages.StoppedVersion], None]


class VersionTracker:
    """Gates and evidence of this node for all rollouts.

    Args:
        clock: Returns the time in s, which determines the evidence windows.
        on_stop: Called when this node's evidence stops a version.
        cold_answers: See `RolloutEvidence`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_stop: StopCallback,
        cold_answers: int = COLD_ANSWERS,
    ) -> None:
        self._clock = clock
        self._on_stop = on_stop
        self._cold_answers = cold_answers
        self._gates: dict[str, VersionGate] = {}
        self._evidence: dict[str, RolloutEvidence] = {}

    def set_shares(self, shares: Sequence[_share.VersionShare]) -> None:
        """Replaces the shares; drops the gates of services without a share."""
        gates: dict[str, VersionGate] = {}
        evidence: dict[str, RolloutEvidence] = {}
        for share in shares:
            gate = self._gates.get(share.service)
            if gate is None or gate.share.rollout != share.rollout:
                gate = VersionGate(share)
                evidence[share.service] = RolloutEvidence(
                    gate, self._cold_answers
                )
            else:
                gate.set_share(share)
                evidence[share.service] = self._evidence[share.service]
            gates[share.service] = gate
        self._gates = gates
        self._evidence = evidence

    def find_gate(self, service: str) -> VersionGate | None:
        """Returns the gate of a service, or None if no rollout is in force."""
        return self._gates.get(service)

    def record_result(
        self, service: str, version: str, route: str, answer: Answer | None
    ) -> None:
        """Counts an answer or a failure, and stops a faulty new version.

        Args:
            service: Qualified name of the service.
            version: Version of the endpoint.
            route: Route of the request.
            answer: The answer, or None for a failure.
        """
        gate = self._gates.get(service)
        if gate is None:
            return
        now_s = int(self._clock())
        evidence = self._evidence[service]
        if answer is None:
            suspicious = evidence.add_failure(version, route, now_s)
        else:
            suspicious = evidence.add_answer(version, route, now_s, answer)
        if not suspicious or gate.stopped or not gate.is_new(version):
            return
        # At 0% the new version has no traffic to stop, and at 100% there is
        # no old version left that could take its traffic.
        if not 0 < gate.share.share_pct < 100:
            return
        reason = evidence.find_clear_fault(now_s)
        if reason:
            gate.stopped = True
            self._on_stop(
                messages.StoppedVersion(
                    rollout=gate.share.rollout, reason=reason, by=""
                )
            )

    def drain_evidence(self) -> list[messages.VersionEvidence]:
        """Returns and clears the evidence since the last call."""
        return [
            row
            for evidence in self._evidence.values()
            for row in evidence.drain_unsent_rows()
        ]

    def dump(self) -> list[dict[str, object]]:
        """Returns the gates for the state dump."""
        result: list[dict[str, object]] = []
        for service, gate in self._gates.items():
            new, total = gate.get_request_counts()
            result.append(
                {
                    "rollout": gate.share.rollout,
                    "service": service,
                    "share_pct": gate.share.share_pct,
                    "stopped": gate.stopped,
                    "new": new,
                    "all": total,
                }
            )
        return result
