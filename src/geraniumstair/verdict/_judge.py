"""Decides the steps and the end of one rollout."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from geraniumstair._generated import messages
from geraniumstair.verdict import _evidence
from geraniumstair.verdict import _verdict

# The last step ends before the done-by time, so that a good version is done
# on time although evidence arrives with a delay.
PLANNED_SHARE_OF_TIME = 0.9
LEAST_REQUESTS_PER_STEP = 20
RECENT_WINDOWS_S = 10
# The old version keeps a little traffic until the end, because only a
# comparison at the same time tells a bad version from a general slowdown.
GREATEST_JUDGED_SHARE_PCT = 90.0
REASON_TIME_OVER = "TIME_OVER"
REASON_STORE_OUTAGE = "STORE_OUTAGE"
REASON_OPERATOR = "OPERATOR"
REASON_REMOVED = "REMOVED"


class RolloutPlan(Protocol):
    """What an operator ordered; a rule of the document is one."""

    @property
    def key(self) -> str:
        """Identifies the rollout in evidence."""
        ...

    @property
    def old_version(self) -> str:
        """Version that traffic moves away from."""
        ...

    @property
    def new_version(self) -> str:
        """Version that traffic moves to."""
        ...

    @property
    def start_s(self) -> float:
        """Start time in s, on the clock that `decide` is told."""
        ...

    @property
    def done_by_s(self) -> float:
        """Time in s by which all traffic has moved, on the same clock."""
        ...

    @property
    def steps_pct(self) -> Sequence[float]:
        """Shares of the new version, rising."""
        ...


class Progress(enum.Enum):
    """Progress of a rollout or an availability zone change."""

    PENDING = "PENDING"
    GOING_ON = "GOING_ON"
    DONE = "DONE"
    TAKEN_BACK = "TAKEN_BACK"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Where a rollout stands.

    Attributes:
        progress: Progress.
        step: Index of the current step.
        reason: Why it was taken back; empty otherwise.
    """

    progress: Progress
    step: int
    reason: str

    @property
    def final(self) -> bool:
        """True if nothing changes this decision any more."""
        return self.progress in (Progress.DONE, Progress.TAKEN_BACK)


def share_pct(rule: RolloutPlan, decision: Decision) -> float:
    """Returns the greatest share of the new version, in per cent."""
    if decision.progress is Progress.DONE:
        return 100.0
    if decision.progress is Progress.GOING_ON:
        # The steps may have become fewer by a change of the document.
        step = min(decision.step, len(rule.steps_pct) - 1)
        return min(rule.steps_pct[step], GREATEST_JUDGED_SHARE_PCT)
    return 0.0


class RolloutJudge:
    """Judges one rollout from the evidence of all owners.

    It holds no clock and writes nothing: `decide` is told the time, and the
    caller keeps the decision in the store.
    """

    def __init__(
        self, rule: RolloutPlan, decision: Decision | None = None
    ) -> None:
        self._rule = rule
        self._decision = decision or Decision(Progress.PENDING, 0, "")
        self._table = _evidence.EvidenceTable(
            rule.old_version, rule.new_version
        )
        self._step_since_s = rule.start_s

    @property
    def decision(self) -> Decision:
        """The last decision."""
        return self._decision

    def add(self, report: messages.EvidenceReport) -> None:
        """Adds an owner's evidence about this rollout."""
        rows = [r for r in report.evidence if r.rollout == self._rule.key]
        self._table.add(
            messages.EvidenceReport(
                node_id=report.node_id, sequence=report.sequence, evidence=rows
            )
        )

    def adopt_rule(self, rule: RolloutPlan) -> None:
        """Adopts other steps or another done-by time of the same rollout."""
        self._rule = rule

    def adopt(self, decision: Decision, since_s: float) -> None:
        """Takes over a decision that the store or a peer holds.

        The step's time goes on from its record, so that a change of judges
        does not delay the rollout. The evidence of the step is not taken
        over: the step ends only after this judge has seen enough of it.

        Args:
            decision: The decision.
            since_s: Time of the decision in s since 1970.
        """
        if decision != self._decision:
            self._step_since_s = since_s
        self._decision = decision

    def decide(self, now_s: float, store_available: bool = True) -> Decision:
        """Decides on the evidence so far.

        Args:
            now_s: Time in s since 1970.
            store_available: False holds the step, because a step that is not
                recorded would be lost with this node.

        Returns:
            The new decision, which is kept as the last one.
        """
        if not self._decision.final:
            self._table.forget_before(int(now_s) - _evidence.WINDOWS_KEPT_S)
            self._decision = self._next(now_s, store_available)
        return self._decision

    def stop_if_faulty(self, now_s: float) -> Decision:
        """Takes the rollout back on clear evidence and decides nothing else.

        Used while the outcome of a write is open.

        Args:
            now_s: Time in s since 1970.
        """
        if not self._decision.final:
            fault = self._find_fault(now_s)
            if fault:
                self._decision = Decision(
                    Progress.TAKEN_BACK, self._decision.step, fault
                )
        return self._decision

    def _next(self, now_s: float, store_available: bool) -> Decision:
        current = self._decision
        fault = self._find_fault(now_s)
        if fault:
            return Decision(Progress.TAKEN_BACK, current.step, fault)
        if now_s >= self._rule.done_by_s:
            return self._decide_at_end(now_s, store_available)
        if not store_available or now_s < self._rule.start_s:
            return current
        if current.progress is Progress.PENDING:
            self._step_since_s = now_s
            return Decision(Progress.GOING_ON, 0, "")
        if self._step_is_over(now_s):
            return self._advance(now_s)
        return current

    def _find_fault(
        self, now_s: float, probability: float = _verdict.ERROR_PROBABILITY
    ) -> str:
        recent_s = int(now_s) - RECENT_WINDOWS_S
        for since_s in (recent_s, int(now_s) - _evidence.WINDOWS_KEPT_S):
            fault = _verdict.find_fault(
                self._table.comparisons(since_s), probability
            )
            if fault:
                return fault
        return ""

    def _suspicion(self, now_s: float) -> str:
        """Returns evidence that is too weak for a verdict, if there is any."""
        return self._find_fault(now_s, _verdict.SUSPICION_PROBABILITY)

    def _decide_at_end(self, now_s: float, store_available: bool) -> Decision:
        current = self._decision
        last = len(self._rule.steps_pct) - 1
        at_last = current.progress is Progress.GOING_ON and current.step >= last
        suspicion = self._suspicion(now_s)
        proven = self._step_is_proven() and not suspicion
        if at_last and store_available and proven:
            return Decision(Progress.DONE, last, "")
        reason = REASON_STORE_OUTAGE
        if store_available:
            reason = f"{REASON_TIME_OVER}: {suspicion or self._waited_for()}"
        return Decision(Progress.TAKEN_BACK, current.step, reason)

    def _waited_for(self) -> str:
        step = self._decision.step + 1
        steps = len(self._rule.steps_pct)
        return (
            f"step {step} of {steps}, "
            f"{self._step_requests()} of {LEAST_REQUESTS_PER_STEP} requests"
        )

    def _step_length_s(self) -> float:
        """Returns the time for this step.

        The time that is left is spread over the steps that are left, so
        that steps which waited for evidence do not delay the end.
        """
        length_s = self._rule.done_by_s - self._rule.start_s
        planned_end_s = self._rule.start_s + PLANNED_SHARE_OF_TIME * length_s
        steps_left = len(self._rule.steps_pct) - self._decision.step
        left_s = max(0.0, planned_end_s - self._step_since_s)
        return left_s / max(1, steps_left)

    def _step_requests(self) -> int:
        comparison = next(self._table.comparisons(int(self._step_since_s)))
        return comparison.new.total

    def _step_is_proven(self) -> bool:
        return self._step_requests() >= LEAST_REQUESTS_PER_STEP

    def _step_is_over(self, now_s: float) -> bool:
        lasted_s = now_s - self._step_since_s
        if lasted_s < self._step_length_s() or not self._step_is_proven():
            return False
        return not self._suspicion(now_s)

    def _advance(self, now_s: float) -> Decision:
        step = self._decision.step + 1
        if step >= len(self._rule.steps_pct):
            return Decision(Progress.DONE, len(self._rule.steps_pct) - 1, "")
        self._step_since_s = now_s
        return Decision(Progress.GOING_ON, step, "")
