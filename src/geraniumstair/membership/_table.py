"""Times of the last heartbeats of the members, and the majority."""

from collections.abc import Sequence

from geraniumstair._generated import messages

AGE_UNIT_MS = 100.0
_UNKNOWN_AGE = 255
SMALL_VIEW_MAX_MEMBERS = 32
# In a view of at most this size, each member sends heartbeats to all others.
FULL_MESH_MAX_MEMBERS = 16
_NEVER_MS = float("-inf")
# A minimum clock difference is discarded after two windows, so that clock drift
# does not make fresh heartbeats look old.
_DELAY_WINDOW_MS = 60000.0


def silent_after_ms(member_count: int) -> float:
    """Returns the silence in ms after which a member counts as dead."""
    return 1500.0 if member_count <= SMALL_VIEW_MAX_MEMBERS else 12000.0


def takeover_after_ms(member_count: int) -> float:
    """Returns the silence in ms after which shards are taken over."""
    return silent_after_ms(member_count) + 500.0


def heartbeat_interval_ms(member_count: int) -> float:
    """Returns the heartbeat interval in ms."""
    return 250.0 if member_count <= SMALL_VIEW_MAX_MEMBERS else 1000.0


def _clip_age(units: int) -> int:
    return 0 if units < 0 else _UNKNOWN_AGE


class TransitDelayEstimator:
    """Estimates the transit delay of one sender's heartbeats.

    The difference between the time of receipt by the receiver's clock and the
    time of sending by the sender's clock is smallest for the fastest heartbeat;
    any excess over this minimum is delay. Without the estimate, heartbeats that
    were buffered while a node was paused would look fresh.
    """

    def __init__(self) -> None:
        self._window_start_ms = _NEVER_MS
        self._min_difference_ms = float("inf")
        self._previous_min_difference_ms = float("inf")

    def estimate(self, sent_ms: float, now_ms: float) -> float:
        """Returns the delay in ms of a heartbeat received at `now_ms`."""
        if now_ms - self._window_start_ms > _DELAY_WINDOW_MS:
            self._window_start_ms = now_ms
            self._previous_min_difference_ms = self._min_difference_ms
            self._min_difference_ms = float("inf")
        difference_ms = now_ms - sent_ms
        min_difference_ms = min(
            difference_ms,
            self._min_difference_ms,
            self._previous_min_difference_ms,
        )
        self._min_difference_ms = min(self._min_difference_ms, difference_ms)
        return difference_ms - min_difference_ms


class HeartbeatTable:
    """Times of the last heartbeats of the members of one view.

    The age of a member is the time since its last known heartbeat, which it
    may have sent to another node that forwarded the age.

    Args:
        own_id: This node's id.
        region: This node's region; the majority is counted within the region.

    Attributes:
        epoch: Epoch of the view.
        ids: Node ids in the order of the view.
        index: Position of each node id in the view.
        majority_until_ms: Time until which this node has a majority if it
            receives no further heartbeat.
    """

    def __init__(self, own_id: str, region: str) -> None:
        self._own_id = own_id
        self._region = region
        self.epoch = 0
        self.ids: list[str] = []
        self.index: dict[str, int] = {}
        # Time of the last known heartbeat of each member.
        self._last_heartbeat_ms: list[float] = []
        # Time of the last heartbeat of this node that each member received, as
        # known from the ages in that member's own heartbeats.
        self._last_receipt_ms: list[float] = []
        self._regional_indexes: list[int] = []
        self.majority_until_ms = _NEVER_MS

    def set_view(self, view: messages.View, now_ms: float) -> None:
        """Replaces the view; new members have age 0 at `now_ms`."""
        old_index = self.index
        heartbeat_ms, receipt_ms = (
            self._last_heartbeat_ms,
            self._last_receipt_ms,
        )
        self.epoch = view.epoch
        self.ids = [m.node_id for m in view.members]
        self.index = {n: i for i, n in enumerate(self.ids)}
        self._last_heartbeat_ms = [
            heartbeat_ms[old_index[n]] if n in old_index else now_ms
            for n in self.ids
        ]
        self._last_receipt_ms = [
            receipt_ms[old_index[n]] if n in old_index else _NEVER_MS
            for n in self.ids
        ]
        self._regional_indexes = [
            i for i, m in enumerate(view.members) if m.region == self._region
        ]
        self.update_majority()

    def age_ms(self, node_id: str, now_ms: float) -> float:
        """Returns the age of a member in ms; infinite for other nodes."""
        if node_id == self._own_id:
            return 0.0
        index = self.index.get(node_id)
        return (
            float("inf")
            if index is None
            else now_ms - self._last_heartbeat_ms[index]
        )

    def ages(self, now_ms: float) -> bytes:
        """Returns the age of each member as one byte.

        Ages are in units of 100 ms, rounded down.
        """
        own_index = self.index.get(self._own_id)
        if own_index is not None:
            self._last_heartbeat_ms[own_index] = now_ms
        units = [
            int((now_ms - h) / AGE_UNIT_MS) for h in self._last_heartbeat_ms
        ]
        return bytes(
            [u if 0 <= u < _UNKNOWN_AGE else _clip_age(u) for u in units]
        )

    def merge_heartbeat(
        self, sender: str, ages: Sequence[int] | None, sent_ms: float
    ) -> None:
        """Updates the times from a received heartbeat.

        Args:
            sender: Node id of the sender.
            ages: Ages in the order of this view; None if the sender has
                another view.
            sent_ms: Estimated time of sending by this node's clock.
        """
        if ages is not None and len(ages) == len(self._last_heartbeat_ms):
            heartbeat_ms = self._last_heartbeat_ms
            base_ms = sent_ms - AGE_UNIT_MS
            for index, age in enumerate(ages):
                if age != _UNKNOWN_AGE:
                    candidate_ms = base_ms - age * AGE_UNIT_MS
                    if candidate_ms > heartbeat_ms[index]:
                        heartbeat_ms[index] = candidate_ms
        sender_index = self.index.get(sender)
        if sender_index is not None:
            self._update_sender(sender_index, ages, sent_ms)
        self.update_majority()

    def _update_sender(
        self, sender_index: int, ages: Sequence[int] | None, sent_ms: float
    ) -> None:
        self._last_heartbeat_ms[sender_index] = max(
            self._last_heartbeat_ms[sender_index], sent_ms
        )
        own_index = self.index.get(self._own_id)
        if (
            ages is None
            or own_index is None
            or len(ages) != len(self._last_heartbeat_ms)
        ):
            return
        if ages[own_index] != _UNKNOWN_AGE:
            receipt_ms = sent_ms - (ages[own_index] + 1) * AGE_UNIT_MS
            self._last_receipt_ms[sender_index] = max(
                self._last_receipt_ms[sender_index], receipt_ms
            )

    def update_majority(self) -> None:
        """Updates `majority_until_ms`.

        A node whose own heartbeats are lost must lose its majority too, even
        while it receives those of other members. A member therefore counts
        only while it receives this node's heartbeats.
        """
        own_index = self.index.get(self._own_id)
        if own_index is None:
            self.majority_until_ms = _NEVER_MS
            return
        others = [i for i in self._regional_indexes if i != own_index]
        needed = (len(others) + 1) // 2
        limit_ms = silent_after_ms(len(self.ids))
        if needed == 0:
            self.majority_until_ms = float("inf")
        elif len(self.ids) <= FULL_MESH_MAX_MEMBERS:
            times_ms = [
                min(self._last_heartbeat_ms[i], self._last_receipt_ms[i])
                for i in others
            ]
            times_ms.sort(reverse=True)
            self.majority_until_ms = times_ms[needed - 1] + limit_ms
        else:
            # In a large view, only neighbours show directly that they receive
            # this node's heartbeats. They also forward its age, so one of them
            # is enough.
            times_ms = sorted(
                (self._last_heartbeat_ms[i] for i in others), reverse=True
            )
            receipt_ms = max(self._last_receipt_ms[i] for i in others)
            self.majority_until_ms = (
                min(times_ms[needed - 1], receipt_ms) + limit_ms
            )
