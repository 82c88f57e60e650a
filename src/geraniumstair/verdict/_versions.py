"""Version shares during rollouts, and evidence about versions."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from geraniumstair import calls
from geraniumstair._generated import messages
from geraniumstair.verdict import _evidence
from geraniumstair.verdict import _share
from geraniumstair.verdict import _verdict

# Counts are halved at this number of requests, so that a changed mix of
# traffic shows in the share soon.
_HALVE_AT = 1000
# The own evidence covers this many one-second windows.
EVIDENCE_WINDOWS = 10
# The first answers of an endpoint say nothing about the speed of its version,
# because cold endpoints of a good one are slow too. They end with a run of
# answers that are not slow, or with a number of answers.
WARM_RUN = 8
COLD_ANSWERS = 25
# The old version's percentile means little with fewer samples.
_MIN_OLD_SAMPLES = 20


class VersionGate:
    """Enforces the share of a new version by count.

    Attributes:
        share: The share in force.
        stopped: Own evidence has stopped the new version.
    """

    def __init__(self, share: _share.VersionShare) -> None:
        self.share = share
        self.stopped = False
        self._new = 0
        self._all = 0

    def adopt(self, share: _share.VersionShare) -> None:
        """Adopts a new share; a changed one is counted from the start."""
        if share.share_pct != self.share.share_pct:
            self._new = 0
            self._all = 0
        self.share = share

    def is_new(self, version: str) -> bool:
        """Tells whether this is the version that traffic moves to."""
        return version == self.share.new_version

    def allows(self, version: str) -> bool:
        """Tells whether the next request may go to the version."""
        share = 0.0 if self.stopped else self.share.share_pct / 100
        if version in self.share.blocked:
            return False
        if self.is_new(version):
            return self._new + 1 <= share * (self._all + 1)
        return share < 1

    def is_complete(self) -> bool:
        """Tells whether all traffic goes to the new version."""
        return not self.stopped and self.share.share_pct >= 100

    def count(self, version: str) -> None:
        """Counts a request that is given to an endpoint."""
        self._all += 1
        if self.is_new(version):
            self._new += 1
        # A share that could not be used is not caught up with a burst.
        due = math.floor(self.share.share_pct / 100 * self._all)
        self._new = max(self._new, due)
        if self._all >= _HALVE_AT:
            self._all //= 2
            self._new = -(-self._new // 2)

    def counts(self) -> tuple[int, int]:
        """Returns the counts of the new version and of all requests."""
        return self._new, self._all


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What is known about an answer, or about a request that was given up.

    Attributes:
        endpoint: Name of the endpoint.
        latency_ms: Time from sending to the answer, or until it was given up.
        abandoned: The request was given up before the answer.
    """

    endpoint: str
    latency_ms: float
    abandoned: bool


@dataclasses.dataclass(slots=True)
class _Start:
    """The first answers of an endpoint.

    Attributes:
        answers: Answers so far.
        fast_run: Answers in a row that were not slow.
        over: Further answers are evidence.
    """

    answers: int = 0
    fast_run: int = 0
    over: bool = False


@dataclasses.dataclass(slots=True)
class _Counts:
    completed: int = 0
    failed: int = 0
    slow: int = 0
    latency_sum_ms: float = 0.0

    def add(self, other: "_Counts") -> None:
        self.completed += other.completed
        self.failed += other.failed
        self.slow += other.slow
        self.latency_sum_ms += other.latency_sum_ms


class RolloutEvidence:
    """Evidence of one rollout, per version and route.

    The owner stops a version by the same rule as the judge, from its own
    counts alone.

    Args:
        gate: The rollout's gate.
        cold_answers: First answers of each endpoint that do not count; 0 if
            the caller leaves out those of cold endpoints.
    """

    def __init__(
        self, gate: VersionGate, cold_answers: int = COLD_ANSWERS
    ) -> None:
        self._gate = gate
        self._cold_answers = cold_answers
        share = gate.share
        self._unsent: dict[tuple[str, str, int], _Counts] = {}
        self._table = _evidence.EvidenceTable(
            share.old_version, share.new_version
        )
        self._old_latency: dict[str, calls.LatencyWindow] = {}
        self._starts: dict[str, _Start] = {}

    def add_failure(self, version: str, route: str, window_s: int) -> bool:
        """Counts a failure; returns True, since it is a sign of a fault."""
        self._add(version, route, window_s, _Counts(failed=1))
        return True

    def add_answer(
        self, version: str, route: str, window_s: int, answer: Answer
    ) -> bool:
        """Counts an answer.

        Args:
            version: Version of the endpoint.
            route: Route of the request.
            window_s: Time in s since 1970, rounded down.
            answer: What is known about it.

        Returns:
            True if it was slow and counts.
        """
        slow = self._is_slow(route, answer.latency_ms)
        if self._gate.is_new(version) and self._is_cold(answer, slow):
            return False
        if answer.abandoned and not slow:
            # It was given up early, so its latency is not known.
            return False
        entry = _Counts(
            completed=1, slow=int(slow), latency_sum_ms=answer.latency_ms
        )
        self._add(version, route, window_s, entry)
        if not self._gate.is_new(version):
            self._old_latency[route].add(answer.latency_ms)
        return slow

    def _is_cold(self, answer: Answer, slow: bool) -> bool:
        """Tells whether an answer counts as one of a cold endpoint.

        The ramp does not decide this: it calls an endpoint warm that is
        slower than usual by less than `COLD_SLOWDOWN`.
        """
        if not self._cold_answers:
            return False
        start = self._starts.setdefault(answer.endpoint, _Start())
        if start.over:
            return False
        start.answers += 1
        if slow:
            start.fast_run = 0
        elif not answer.abandoned:
            start.fast_run += 1
        start.over = (
            start.fast_run >= WARM_RUN or start.answers >= self._cold_answers
        )
        return True

    def _add(
        self, version: str, route: str, window_s: int, entry: _Counts
    ) -> None:
        share = self._gate.share
        if not self._gate.is_new(version):
            version = share.old_version
        key = (version, route, window_s)
        self._unsent.setdefault(key, _Counts()).add(entry)
        self._table.add_row(_row(share.rollout, key, entry))
        self._table.forget_before(window_s - EVIDENCE_WINDOWS)

    def _is_slow(self, route: str, latency_ms: float) -> bool:
        window = self._old_latency.get(route)
        if window is None:
            window = self._old_latency[route] = calls.LatencyWindow()
        if len(window) < _MIN_OLD_SAMPLES:
            return False
        return latency_ms > window.quantile(0.95)

    def clear_fault(self, now_s: int) -> str:
        """Returns why the new version must stop, or an empty string."""
        since_s = now_s - EVIDENCE_WINDOWS
        return _verdict.find_fault(self._table.comparisons(since_s))

    def take(self) -> list[messages.VersionEvidence]:
        """Returns and forgets what was counted since the last call."""
        rollout_key = self._gate.share.rollout
        taken = [
            _row(rollout_key, key, entry) for key, entry in self._unsent.items()
        ]
        self._unsent.clear()
        return taken


def _row(
    rollout_key: str, key: tuple[str, str, int], entry: _Counts
) -> messages.VersionEvidence:
    version, route, window_s = key
    return messages.VersionEvidence(
        rollout=rollout_key,
        version=version,
        route=route,
        window_s=window_s,
        completed=entry.completed,
        failed=entry.failed,
        slow=entry.slow,
        latency_sum_ms=entry.latency_sum_ms,
    )


StopListener = Callable[[messages.StoppedVersion], None]


class VersionBook:
    """Gates and evidence of all rollouts of this owner.

    Args:
        clock: Returns the time in s; windows of evidence are told by it.
        on_stop: Called when the own evidence stops a version.
        cold_answers: See `RolloutEvidence`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_stop: StopListener,
        cold_answers: int = COLD_ANSWERS,
    ) -> None:
        self._clock = clock
        self._on_stop = on_stop
        self._cold_answers = cold_answers
        self._gates: dict[str, VersionGate] = {}
        self._evidence: dict[str, RolloutEvidence] = {}

    def adopt(self, shares: Sequence[_share.VersionShare]) -> None:
        """Adopts the shares in force; gates of other services end."""
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
                gate.adopt(share)
                evidence[share.service] = self._evidence[share.service]
            gates[share.service] = gate
        self._gates = gates
        self._evidence = evidence

    def gate(self, service: str) -> VersionGate | None:
        """Returns the gate of a service; None if no rollout runs."""
        return self._gates.get(service)

    def add(
        self, service: str, version: str, route: str, answer: Answer | None
    ) -> None:
        """Counts an answer or a failure, and stops a clearly bad version.

        Args:
            service: Qualified name of the service.
            version: Version of the endpoint.
            route: Route of the request.
            answer: The answer; None is a failure.
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
        # A version that has all traffic has none to go back to.
        if not 0 < gate.share.share_pct < 100:
            return
        reason = evidence.clear_fault(now_s)
        if reason:
            gate.stopped = True
            self._on_stop(
                messages.StoppedVersion(
                    rollout=gate.share.rollout, reason=reason, by=""
                )
            )

    def take_evidence(self) -> list[messages.VersionEvidence]:
        """Returns the evidence since the last call."""
        return [e for b in self._evidence.values() for e in b.take()]

    def dump(self) -> list[dict[str, object]]:
        """Returns the gates for the state dump."""
        result: list[dict[str, object]] = []
        for service, gate in self._gates.items():
            new, total = gate.counts()
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
