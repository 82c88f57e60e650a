"""Builders of test data for rollouts."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from geraniumstair import canary
from geraniumstair import configuration
from geraniumstair._generated import messages

START_S = 1_000.0
Behaviour = Callable[[float, str, float], tuple[float, float]]
"""Maps time in s, route and share in per cent to two probabilities.

They are the probability that a request fails and that a completed request is
slow.
"""


def build_rule(
    *, length_s: float = 60.0, steps_pct: Sequence[float] = (5, 25, 50, 100)
) -> configuration.RolloutRule:
    """Returns a rule that starts at `START_S`."""
    return configuration.RolloutRule(
        name="roll-1",
        service="acme/s0",
        old_version="v1",
        new_version="v2",
        start_s=START_S,
        done_by_s=START_S + length_s,
        steps_pct=tuple(steps_pct),
    )


def healthy(now_s: float, route: str, share_pct: float) -> tuple[float, float]:
    """Behaves like the old version.

    6% of the requests are slow: 1% are stragglers and 5% are above the 95th
    percentile.
    """
    del now_s, route, share_pct
    return 0.001, 0.06


def build_row(
    version: str,
    window_s: int,
    *,
    route: str = "search",
    completed: int = 0,
    failed: int = 0,
    slow: int = 0,
) -> messages.VersionEvidence:
    """Returns one row of evidence about `roll-1`."""
    return messages.VersionEvidence(
        rollout=build_rule().key,
        version=version,
        route=route,
        window_s=window_s,
        completed=completed,
        failed=failed,
        slow=slow,
        latency_sum_ms=0.0,
    )


class TrafficGenerator:
    """Generates seeded evidence about both versions, as a node reports it.

    Attributes:
        new_total: Number of requests to the new version so far.
    """

    def __init__(
        self,
        seed: int,
        new: Behaviour,
        old: Behaviour = healthy,
        requests_per_s: int = 200,
    ) -> None:
        self._random = random.Random(seed)
        self._new = new
        self._old = old
        self._requests_per_s = requests_per_s
        self._sequence = 0
        self.new_total = 0

    def report(self, now_s: float, share_pct: float) -> messages.EvidenceReport:
        """Returns the evidence of one second for a share of the new version."""
        rows = []
        for route in ("search", "history"):
            count = self._requests_per_s // 2
            new_count = int(count * share_pct / 100)
            self.new_total += new_count
            rows.append(
                self._row("v2", self._new, now_s, route, new_count, share_pct)
            )
            rows.append(
                self._row(
                    "v1", self._old, now_s, route, count - new_count, share_pct
                )
            )
        self._sequence += 1
        return messages.EvidenceReport(
            node_id="n1", sequence=self._sequence, evidence=rows
        )

    def _row(
        self,
        version: str,
        behaviour: Behaviour,
        now_s: float,
        route: str,
        count: int,
        share_pct: float,
    ) -> messages.VersionEvidence:
        failure_probability, slow_probability = behaviour(
            now_s, route, share_pct
        )
        failed = sum(
            self._random.random() < failure_probability for _ in range(count)
        )
        completed = count - failed
        slow = sum(
            self._random.random() < slow_probability for _ in range(completed)
        )
        return build_row(
            version,
            int(now_s),
            route=route,
            completed=completed,
            failed=failed,
            slow=slow,
        )


class RolloutRun:
    """Simulates one rollout with generated traffic.

    Attributes:
        decision: Latest decision.
        ended_s: Time of the final decision in s.
    """

    def __init__(
        self, rule: configuration.RolloutRule, traffic: TrafficGenerator
    ) -> None:
        self._rule = rule
        self._traffic = traffic
        self._judge = canary.RolloutJudge(rule)
        self.decision = self._judge.decision
        self.ended_s = 0.0

    def run(self) -> None:
        """Runs until the decision is final."""
        now_s = self._rule.start_s - 1
        while not self.decision.is_final:
            now_s += 1
            share_pct = canary.compute_max_share_pct(self._rule, self.decision)
            self._judge.add_report(self._traffic.report(now_s, share_pct))
            self.decision = self._judge.decide(now_s)
        self.ended_s = now_s
