"""Decides which node holds the duty to send reports, and when it may act.

The holder owns a key of the store that is bound to a lease. Candidates see the
key in the mirror and try to create it when it is gone. All times are on a clock
that counts suspensions of the machine, because a paused holder must not act
after its lease.

A new holder sends nothing for `quiet_s` after it acquired the key. The last act
of a former holder and the first act of the next holder but one are therefore
further apart than that, and calls of the former holder that a cut held up, or
that the node gave up, arrive before its successor's first one.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

import xxhash

# A candidate tries this much later than the one that ranks before it. The
# creation of the key reaches most nodes in this time.
RANK_DELAY_S = 0.3
# Delay after an attempt that failed or that another candidate won. The mirror
# learns about the winner in this time. The delay doubles up to the limit, so a
# node whose mirror is cut off from the store makes few calls.
RETRY_S = 1.0
MAX_RETRY_S = 4.0
# Share of the lease after which it is renewed; two renewals may fail.
RENEW_SHARE = 1 / 3
# Allows for different rates of the clocks of the node and the store, and for
# the time that the process needs to send a call.
LEASE_MARGIN_S = 0.2
# Added to the time in which a new holder sends nothing.
QUIET_MARGIN_S = 0.3
# A holder that is no candidate gives the duty up after this time. Other nodes
# may have no stream to it, but registrations may also be missing for a moment.
NOT_CANDIDATE_S = 5.0
# A holder that reaches fewer than half of the candidates does not act, because
# it lacks the totals of others, and gives the duty up after this time.
ISOLATED_S = 2.0
# A key that names this node outside of its term is removed after this time, in
# which the mirror learns that the key is gone. It belongs to an earlier
# process, or comes from the copy from which the store was restored.
STALE_KEY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HolderKey:
    """The key of a holder as the store has it.

    Attributes:
        node_id: The holder.
        attempt: Random text that distinguishes attempts to create the key.
        revision: Ordered revision of the key's creation; the fencing token.
    """

    node_id: str
    attempt: str
    revision: int


@dataclasses.dataclass(slots=True)
class _Term:
    """The time for which this node holds the duty."""

    token: int
    lease_id: int
    acquired_s: float
    # When the last confirmed renewal was sent, and the last attempt at one.
    renewed_s: float
    tried_s: float


def rank_candidates(candidates: Sequence[str]) -> list[str]:
    """Returns the candidates in the order in which they try."""
    return sorted(
        {*candidates},
        key=lambda n: xxhash.xxh64_intdigest(f"usage/{n}".encode()),
    )


class Election:
    """What this node knows about the holder, and its own term.

    Args:
        node_id: This node.
        lease_s: Time to live of the lease.
        quiet_s: Time in which holders must not act in the order A, B, A.
        clock: Returns a time in s that counts suspensions.
    """

    def __init__(
        self,
        node_id: str,
        lease_s: float,
        quiet_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._node_id = node_id
        self._lease_s = lease_s
        self._quiet_s = quiet_s
        self._clock = clock
        self._candidates: list[str] = []
        self._candidate_s = clock()
        # When this node last reached half of the candidates.
        self._reach_s = clock()
        self._has_reach = True
        self._last_holder = ""
        # Since when the key is as it is; infinite until the mirror is loaded.
        self._key_since_s = math.inf
        self._retry_s = -math.inf
        self._retry_delay_s = RETRY_S
        self._term: _Term | None = None
        self.key: HolderKey | None = None

    # ---- what is known ----

    def set_candidates(self, candidates: Sequence[str]) -> None:
        """Sets the candidates; all nodes set nearly the same ones."""
        self._candidates = rank_candidates(candidates)

    @property
    def candidates(self) -> Sequence[str]:
        """The candidates, which need not be reachable."""
        return self._candidates

    @property
    def needs_reach(self) -> bool:
        """True if this node holds the duty or may try to acquire it."""
        return self._term is not None or (
            self.key is None and self._node_id in self._candidates
        )

    def set_reached(self, reached: int) -> None:
        """Sets the number of candidates that this node reaches.

        Args:
            reached: The number, this node included.
        """
        self._has_reach = 2 * reached >= len(self._candidates)
        if self._has_reach:
            self._reach_s = self._clock()

    def mark_loaded(self) -> None:
        """Records that the mirror is complete, so a missing key is gone."""
        if self._key_since_s == math.inf:
            self._key_since_s = self._clock()

    def observe_key(self, key: HolderKey | None, revision: int) -> str:
        """Applies the key as the mirror has it.

        Args:
            key: The key; None if it was deleted.
            revision: Revision of the change.

        Returns:
            Why this node lost the duty; empty if it did not.
        """
        self._key_since_s = self._clock()
        self._retry_delay_s = RETRY_S
        self.key = key
        if key is not None:
            self._last_holder = key.node_id
        if self._term is None or revision <= self._term.token:
            return ""
        self._term = None
        return "the key was removed" if key is None else "the key was replaced"

    @property
    def key_age_s(self) -> float:
        """Time since the holder's key changed; 0 before it is known."""
        return max(0.0, self._clock() - self._key_since_s)

    def rank_successors(self) -> list[str]:
        """Returns the candidates in the order in which they try now.

        The last holder comes last: it has been killed, or it stops.
        """
        others = [n for n in self._candidates if n != self._last_holder]
        if self._last_holder in self._candidates:
            others.append(self._last_holder)
        return others

    def list_receivers(self) -> list[str]:
        """Returns the nodes that need all totals: the holder and its deputy."""
        ranked = self.rank_successors()
        if self.key is None:
            return ranked[:2]
        holder = self.key.node_id
        return [holder, *[n for n in ranked if n != holder][:1]]

    # ---- decisions ----

    def should_acquire(self) -> bool:
        """Returns whether this node tries to create the key now."""
        now_s = self._clock()
        ranked = self.rank_successors()
        if (
            self._term is not None
            or self.key is not None
            or self._node_id not in ranked
            or not self._has_reach
            or now_s < self._retry_s
        ):
            return False
        delay_s = RANK_DELAY_S * ranked.index(self._node_id)
        return now_s >= self._key_since_s + delay_s

    def should_remove_key(self) -> bool:
        """Returns whether the key names this node outside of its term."""
        return (
            self._term is None
            and self.key is not None
            and self.key.node_id == self._node_id
            and self.key_age_s > STALE_KEY_S
            and self._clock() >= self._retry_s
        )

    def should_renew(self) -> bool:
        """Returns whether the lease has to be renewed now."""
        term = self._term
        return (
            term is not None
            and self._clock() >= term.tried_s + RENEW_SHARE * self._lease_s
        )

    def should_resign(self) -> bool:
        """Returns whether this node gives the duty up.

        It is no candidate any more, or is cut off from the others.
        """
        now_s = self._clock()
        if self._node_id in self._candidates:
            self._candidate_s = now_s
        if self._term is None:
            return False
        return now_s > self._candidate_s + NOT_CANDIDATE_S or (
            not self._has_reach and now_s > self._reach_s + ISOLATED_S
        )

    def find_acting_token(self, call_s: float) -> int | None:
        """Returns the fencing token if this node may act now.

        Args:
            call_s: Time that the act may take from now on.
        """
        term = self._term
        if term is None or not self._has_reach:
            return None
        now_s = self._clock()
        first_s = term.acquired_s + self._quiet_s + QUIET_MARGIN_S
        end_s = term.renewed_s + self._lease_s - LEASE_MARGIN_S
        return term.token if first_s <= now_s < end_s - call_s else None

    # ---- own term ----

    @property
    def lease_id(self) -> int:
        """The lease of this node's term; 0 if it does not hold the duty."""
        return self._term.lease_id if self._term is not None else 0

    @property
    def token(self) -> int:
        """The token of this node's term; 0 if it does not hold the duty."""
        return self._term.token if self._term is not None else 0

    def begin_term(self, token: int, lease_id: int, granted_s: float) -> None:
        """Records that this node created the key.

        Args:
            token: Ordered revision of the key's creation.
            lease_id: Its lease.
            granted_s: When the lease was requested.
        """
        self._term = _Term(token, lease_id, self._clock(), granted_s, granted_s)

    def note_attempt(self) -> None:
        """Records that an attempt at the key ended without success."""
        self._retry_s = self._clock() + self._retry_delay_s
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_S)

    def note_renewal(self) -> None:
        """Records that a renewal of the lease is sent."""
        if self._term is not None:
            self._term.tried_s = self._clock()

    def confirm_renewal(self, lease_id: int, sent_s: float) -> None:
        """Records that the store renewed the lease.

        Args:
            lease_id: The lease.
            sent_s: When the renewal was sent.
        """
        term = self._term
        if term is not None and term.lease_id == lease_id:
            term.renewed_s = max(term.renewed_s, sent_s)

    def end_term(self) -> None:
        """Records that this node does not hold the duty any more."""
        self._term = None
        self.note_attempt()
