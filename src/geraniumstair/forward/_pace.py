"""The pace at which an endpoint that starts or returns gets its calls.

An endpoint that has just started is slow, and rejects calls beyond its slots
and its short queue. All nodes see it at the same moment: if it looks cheaper
than its siblings, they flood it; if it looks dearer, none of them tries it.

The pace is a share of the calls that the endpoint would get if the node divided
them evenly among the healthy endpoints. If each node keeps to the share, all of
them together do, however many they are, without messages between them.
"""

from collections.abc import Mapping
import enum
from typing import Any

from geraniumstair.forward import _call

# The share starts at one slot's part of the endpoint, and at this at most.
MAX_START_SHARE = 0.25
# Without bad news, the share doubles in this time. With 60 nodes, a node gets
# its first answer from the endpoint after seconds; a share that rose only with
# answers would leave the endpoint idle.
DOUBLING_S = 1.0
# The share does not rise for this time after bad news.
HOLD_S = 1.0
# Factor of the share for each rejection or much slower answer.
DECREASE = 0.5
# Answers up to this many times the siblings' latency are in time. A cold
# endpoint takes 1.6 times as long.
IN_TIME_FACTOR = 2.0
# Answers that take this many times as long are much slower.
SLOW_FACTOR = 3.0
# Answers in time that a node needs before the endpoint's average latency says
# something. Until then, an endpoint with a full share keeps its even part.
MIN_ANSWERS = 3
# A pace ends after this time. The average latency of the endpoint, which has
# been measured by then, decides from there on.
MAX_PACE_S = 10.0


class Cause(enum.Enum):
    """Why an endpoint gets a pace."""

    STARTED = "started"
    """It has registered."""
    AVOIDED = "avoided"
    """It was avoided after a failure."""
    DOWN = "down"
    """It did not answer at all."""


class Pace:
    """Limits and ensures this node's calls to one endpoint.

    Calls are counted by credit: each choice among the endpoints earns a part,
    and a call to the endpoint needs 1.

    Args:
        cause: Why the endpoint has a pace.
        slots: Calls that the endpoint processes at once.
        node_count: Number of nodes that call the endpoint.
        credit: Credit at the start, 0 to 1. If each node draws it evenly, the
            first calls of many nodes are spread over time.
        now_s: Present time, on a monotonic clock.

    Attributes:
        cause: Why the endpoint has a pace.
        usual_ms: Latency of the endpoint's siblings.
        started_s: When the pace started.
        answers: Answers in time.
        rejections: Calls that the endpoint rejected.
        diverted: Calls that siblings got instead.
    """

    def __init__(
        self,
        cause: Cause,
        slots: int,
        node_count: int,
        credit: float,
        now_s: float,
    ) -> None:
        self.cause = cause
        self.usual_ms = 0.0
        self.started_s = now_s
        self.answers = 0
        self.rejections = 0
        self.diverted = 0
        self._slots = max(1, slots)
        self._node_count = max(1, node_count)
        self._start_share = min(MAX_START_SHARE, 1 / self._slots)
        self._share = self._start_share
        self._grown_s = now_s
        self._credit = credit
        # An endpoint that failed may fail or stay silent again, so it gets no
        # calls that its cost would not bring it.
        self._ensures_calls = cause is Cause.STARTED

    def share(self, now_s: float) -> float:
        """Returns the present share of an even part of the calls, 0 to 1."""
        if now_s > self._grown_s:
            growth = 2 ** ((now_s - self._grown_s) / DOUBLING_S)
            self._share = min(1.0, self._share * growth)
            self._grown_s = now_s
        return self._share

    def has_ended(self, now_s: float) -> bool:
        """Returns whether the endpoint may carry what its siblings carry."""
        if now_s >= self.started_s + MAX_PACE_S:
            return True
        is_known = self.answers >= MIN_ANSWERS or not self._ensures_calls
        return is_known and self.share(now_s) >= 1

    def earn(self, candidates: int, now_s: float) -> None:
        """Adds the credit of one choice.

        Args:
            candidates: Healthy endpoints among which the node chooses.
            now_s: Present time.
        """
        self._credit = min(1.0, self._credit + self.share(now_s) / candidates)

    def allows(self, running: int, now_s: float) -> bool:
        """Returns whether the endpoint may get a call.

        Args:
            running: This node's calls to the endpoint that have not ended.
            now_s: Present time.
        """
        slots = self.share(now_s) * self._slots / self._node_count
        return self._credit >= 1 and running < max(1, int(slots))

    @property
    def ensures_calls(self) -> bool:
        """True if calls that are allowed go to the endpoint at any cost.

        Otherwise, an endpoint that looks dearer than its siblings would never
        be measured.
        """
        return self._ensures_calls

    @property
    def is_unknown(self) -> bool:
        """True if nothing is known of the endpoint since its start."""
        return self._ensures_calls and not self.answers

    def spend(self) -> None:
        """Records a call to the endpoint."""
        self._credit -= 1.0

    def record(
        self, outcome: _call.Outcome, took_ms: float, now_s: float
    ) -> None:
        """Records how a call to the endpoint ended.

        Args:
            outcome: How it ended.
            took_ms: Its latency.
            now_s: Present time.
        """
        share = self.share(now_s)
        if outcome is _call.Outcome.REJECTED:
            self.rejections += 1
            self._decrease(share * DECREASE, now_s)
        elif outcome is not _call.Outcome.ANSWERED:
            self._ensures_calls = False
            self._decrease(self._start_share, now_s)
        elif took_ms > SLOW_FACTOR * self.usual_ms:
            self._ensures_calls = False
            self._decrease(share * DECREASE, now_s)
        elif took_ms <= IN_TIME_FACTOR * self.usual_ms:
            self.answers += 1
            self._share = min(1.0, share + 1 / self._slots)

    def _decrease(self, share: float, now_s: float) -> None:
        self._share = max(self._start_share, share)
        self._grown_s = now_s + HOLD_S


class EndpointPacing:
    """The pace of one endpoint, and why it shall get one.

    Attributes:
        pace: Its pace; None without one.
        cause: Why it gets a pace as soon as it is healthy and has siblings;
            None if it does not.
        is_settled: The endpoint neither has a pace nor gets one. Read for each
            choice among endpoints, so it is kept up to date instead of derived.
    """

    def __init__(self) -> None:
        self.pace: Pace | None = None
        self.cause: Cause | None = None
        self.is_settled = True
        self._cause_s = 0.0

    def expect(self, cause: Cause, now_s: float) -> None:
        """Gives the endpoint a pace when it is healthy and has siblings."""
        self.pace = None
        self.cause = cause
        self.is_settled = False
        self._cause_s = now_s

    def record_failure(self, now_s: float, *, is_down: bool) -> None:
        """Records that the endpoint is avoided after a failure."""
        if is_down:
            self.expect(Cause.DOWN, now_s)
        elif self.is_settled:
            self.expect(Cause.AVOIDED, now_s)

    def record(
        self, outcome: _call.Outcome, took_ms: float, now_s: float
    ) -> None:
        """Records how a call to the endpoint ended."""
        if self.pace is not None:
            self.pace.record(outcome, took_ms, now_s)
        is_answered = outcome is _call.Outcome.ANSWERED
        if is_answered and self.cause is Cause.AVOIDED:
            # It answers others of the calls that were open when one failed.
            self._drop_cause()

    def drop_old_cause(self, now_s: float) -> None:
        """Ends the wait for siblings of an endpoint that has served long."""
        if now_s >= self._cause_s + MAX_PACE_S:
            self._drop_cause()

    def _drop_cause(self) -> None:
        self.cause = None
        self.is_settled = self.pace is None

    def start(self, pace: Pace) -> None:
        """Gives the endpoint its pace."""
        self.pace = pace
        self.cause = None

    def end(self) -> None:
        """Ends the pace."""
        self.pace = None
        self.is_settled = self.cause is None

    def dump(self, now_s: float) -> Mapping[str, Any] | None:
        """Returns the state for the state dump; None without a pace."""
        if self.pace is None:
            return None
        return {
            "cause": self.pace.cause.value,
            "share": round(self.pace.share(now_s), 2),
            "diverted": self.pace.diverted,
        }
