"""Decides when one rollout advances, completes or is rolled back."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from geraniumstair._generated import messages
from geraniumstair.canary import _evidence
from geraniumstair.canary import _fault_detection

# The last step is planned to end before the done-by time, because evidence
# arrives with a delay and a good version must be complete in time.
PLANNED_TIME_FRACTION = 0.9
MIN_REQUESTS_PER_STEP = 20
RECENT_PERIOD_S = 10
# The old version keeps some traffic until the rollout is complete: only a
# comparison over the same time distinguishes a bad version from a slowdown of
# both versions.
MAX_COMPARED_SHARE_PCT = 90.0
REASON_TIME_OVER = "TIME_OVER"
REASON_STORE_OUTAGE = "STORE_OUTAGE"
REASON_OPERATOR = "OPERATOR"
REASON_REMOVED = "REMOVED"


class RolloutPlan(Protocol):
    """Versions, schedule and steps of a rollout, as set by an operator."""

    @property
    def key(self) -> str:
        """Key of the rollout in evidence rows."""
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
        """Start time in s, on the clock of `RolloutJudge.decide`."""
        ...

    @property
    def done_by_s(self) -> float:
        """Time in s by which all traffic must have moved, on the same clock."""
        ...

    @property
    def steps_pct(self) -> Sequence[float]:
        """Shares of the new version in per cent, in ascending order."""
        ...


class Progress(enum.Enum):
    """Progress of a rollout or an availability zone change."""

    PENDING = "PENDING"
    GOING_ON = "GOING_ON"
    DONE = "DONE"
    TAKEN_BACK = "TAKEN_BACK"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Progress and current step of a rollout.

    Attributes:
        progress: Progress.
        step: Index of the current step.
        reason: Why the rollout was rolled back; empty otherwise.
    """

    progress: Progress
    step: int
    reason: str

    @property
    def is_final(self) -> bool:
        """True if the rollout is complete or was rolled back."""
        return self.progress in (Progress.DONE, Progress.TAKEN_BACK)


def compute_max_share_pct(plan: RolloutPlan, decision: Decision) -> float:
    """Returns the maximum share of the new version in per cent."""
    if decision.progress is Progress.DONE:
        return 100.0
    if decision.progress is Progress.GOING_ON:
        # A change of the document may have reduced the number of steps.
        step = min(decision.step, len(plan.steps_pct) - 1)
        return min(plan.steps_pct[step], MAX_COMPARED_SHARE_PCT)
    return 0.0


class RolloutJudge:
    """Decides on the progress of one rollout from the evidence of all nodes.

    The class has no clock and no access to the store: the caller passes the
    time to `decide` and stores the decision.
    """

    def __init__(
        self, plan: RolloutPlan, decision: Decision | None = None
    ) -> None:
        self._plan = plan
        self._decision = decision or Decision(Progress.PENDING, 0, "")
        self._table = _evidence.EvidenceTable(
            plan.old_version, plan.new_version
        )
        self._step_started_s = plan.start_s

    @property
    def decision(self) -> Decision:
        """The latest decision."""
        return self._decision

    def add_report(self, report: messages.EvidenceReport) -> None:
        """Adds a node's evidence; rows of other rollouts are ignored."""
        rows = [r for r in report.evidence if r.rollout == self._plan.key]
        self._table.add_report(
            messages.EvidenceReport(
                node_id=report.node_id, sequence=report.sequence, evidence=rows
            )
        )

    def update_plan(self, plan: RolloutPlan) -> None:
        """Replaces the plan after its steps or done-by time have changed."""
        self._plan = plan

    def apply_decision(self, decision: Decision, decided_s: float) -> None:
        """Sets the decision to one that the store or a peer holds.

        The step's start is the time of that decision, so that the rollout is
        not delayed when another node takes over. The earlier evidence about
        the step is not available here: the step ends only after this judge
        has received enough evidence itself.

        Args:
            decision: The decision.
            decided_s: Time of the decision in s, on the clock of `decide`.
        """
        if decision != self._decision:
            self._step_started_s = decided_s
        self._decision = decision

    def decide(self, now_s: float, store_available: bool = True) -> Decision:
        """Decides on the evidence received so far.

        Args:
            now_s: Current time in s.
            store_available: If False, the rollout does not advance, because a
                step that is not recorded would be lost with this node.

        Returns:
            The decision, also available as `decision`.
        """
        if not self._decision.is_final:
            self._table.drop_windows_before(
                int(now_s) - _evidence.WINDOW_RETENTION_S
            )
            self._decision = self._compute_decision(now_s, store_available)
        return self._decision

    def roll_back_if_faulty(self, now_s: float) -> Decision:
        """Rolls the rollout back on significant evidence only.

        Used while a write to the store is in progress, when the rollout must
        not advance.

        Args:
            now_s: Current time in s.
        """
        if not self._decision.is_final:
            fault = self._find_fault(now_s)
            if fault:
                self._decision = Decision(
                    Progress.TAKEN_BACK, self._decision.step, fault
                )
        return self._decision

    def _compute_decision(
        self, now_s: float, store_available: bool
    ) -> Decision:
        current = self._decision
        fault = self._find_fault(now_s)
        if fault:
            return Decision(Progress.TAKEN_BACK, current.step, fault)
        if now_s >= self._plan.done_by_s:
            return self._decide_at_deadline(now_s, store_available)
        if not store_available or now_s < self._plan.start_s:
            return current
        if current.progress is Progress.PENDING:
            self._step_started_s = now_s
            return Decision(Progress.GOING_ON, 0, "")
        if self._is_step_complete(now_s):
            return self._advance(now_s)
        return current

    def _find_fault(
        self,
        now_s: float,
        significance_level: float = _fault_detection.FAULT_P_VALUE,
    ) -> str:
        recent_s = int(now_s) - RECENT_PERIOD_S
        for since_s in (recent_s, int(now_s) - _evidence.WINDOW_RETENTION_S):
            fault = _fault_detection.find_fault(
                self._table.compare_versions(since_s), significance_level
            )
            if fault:
                return fault
        return ""

    def _find_possible_fault(self, now_s: float) -> str:
        """Returns a fault with too little evidence for a rollback, or ''."""
        return self._find_fault(now_s, _fault_detection.WEAK_EVIDENCE_P_VALUE)

    def _decide_at_deadline(
        self, now_s: float, store_available: bool
    ) -> Decision:
        current = self._decision
        last = len(self._plan.steps_pct) - 1
        at_last_step = (
            current.progress is Progress.GOING_ON and current.step >= last
        )
        fault = self._find_possible_fault(now_s)
        passed = self._has_enough_requests() and not fault
        if at_last_step and store_available and passed:
            return Decision(Progress.DONE, last, "")
        reason = REASON_STORE_OUTAGE
        if store_available:
            reason = f"{REASON_TIME_OVER}: {fault or self._describe_step()}"
        return Decision(Progress.TAKEN_BACK, current.step, reason)

    def _describe_step(self) -> str:
        step = self._decision.step + 1
        steps = len(self._plan.steps_pct)
        return (
            f"step {step} of {steps}, "
            f"{self._count_step_requests()} of {MIN_REQUESTS_PER_STEP} requests"
        )

    def _compute_step_duration_s(self) -> float:
        """Returns the planned duration of the current step.

        The remaining time is divided among the remaining steps, so that
        steps that waited for evidence do not delay the end of the rollout.
        """
        duration_s = self._plan.done_by_s - self._plan.start_s
        planned_end_s = self._plan.start_s + PLANNED_TIME_FRACTION * duration_s
        remaining_steps = len(self._plan.steps_pct) - self._decision.step
        remaining_s = max(0.0, planned_end_s - self._step_started_s)
        return remaining_s / max(1, remaining_steps)

    def _count_step_requests(self) -> int:
        comparison = next(
            self._table.compare_versions(int(self._step_started_s))
        )
        return comparison.new.total

    def _has_enough_requests(self) -> bool:
        return self._count_step_requests() >= MIN_REQUESTS_PER_STEP

    def _is_step_complete(self, now_s: float) -> bool:
        elapsed_s = now_s - self._step_started_s
        if (
            elapsed_s < self._compute_step_duration_s()
            or not self._has_enough_requests()
        ):
            return False
        return not self._find_possible_fault(now_s)

    def _advance(self, now_s: float) -> Decision:
        step = self._decision.step + 1
        if step >= len(self._plan.steps_pct):
            return Decision(Progress.DONE, len(self._plan.steps_pct) - 1, "")
        self._step_started_s = now_s
        return Decision(Progress.GOING_ON, step, "")
