"""State machine that claims, holds and releases shards."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from geraniumstair import configuration
from geraniumstair.membership import _authority

# A node that releases a shard stops dispatching at once, but its requests in
# flight may run until their deadlines. This timeout is shorter than the time
# for which the endpoint states that the node sent are trusted.
_RELEASE_TIMEOUT_MS = 1500.0


class _Phase(enum.Enum):
    """Phase of this node's ownership of a shard."""

    CLAIMING = "claiming"
    HELD = "held"
    RELEASING = "releasing"


@dataclasses.dataclass(slots=True)
class _ShardEntry:
    """Ownership of one shard by this node.

    Attributes:
        phase: The current phase.
        started_ms: Time when the last claim or release started.
        majority_lost: True if this node lost its majority while it claimed or
            held the shard, and has not held the shard since.
        granted_by: Candidates that granted this node's claim.
        refused_by: Candidates that refused this node's claim.
    """

    phase: _Phase
    started_ms: float
    majority_lost: bool = False
    granted_by: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)


class ShardOwnership:
    """Shards that this node claims, holds or releases.

    A node holds a shard only after each other candidate has granted its claim
    or has been silent for so long that it lost its majority.

    Args:
        own_id: This node's id.
        list_candidates: Returns the nodes that may hold a shard.
        precedes: Returns whether the first node ranks before the second for a
            shard.

    Attributes:
        grant_count: Number of claims of other nodes granted by this node.
    """

    def __init__(
        self,
        own_id: str,
        list_candidates: Callable[[configuration.ShardKey], Sequence[str]],
        precedes: Callable[[configuration.ShardKey, str, str], bool],
    ) -> None:
        self._own_id = own_id
        self._list_candidates = list_candidates
        self._precedes = precedes
        self._shards: dict[configuration.ShardKey, _ShardEntry] = {}
        self._granted_to: dict[configuration.ShardKey, str] = {}
        self._grant_numbers: dict[configuration.ShardKey, int] = {}
        self.grant_count = 0

    def set_owned(
        self, key: configuration.ShardKey, owned: bool, now_ms: float
    ) -> bool:
        """Starts a takeover or a release of a shard.

        Args:
            key: The shard.
            owned: True if this node is the one that should own the shard.
            now_ms: Current time.

        Returns:
            True if the phase of the shard changed.
        """
        shard = self._shards.get(key)
        if owned:
            if shard is None:
                self._shards[key] = _ShardEntry(_Phase.CLAIMING, now_ms)
                return True
            if shard.phase is _Phase.RELEASING:
                shard.phase = _Phase.HELD
                return True
            return False
        if shard is None or shard.phase is _Phase.RELEASING:
            return False
        if shard.phase is _Phase.HELD:
            shard.phase = _Phase.RELEASING
            shard.started_ms = now_ms
        else:
            del self._shards[key]
        return True

    def shard_keys(self) -> Sequence[configuration.ShardKey]:
        """Returns the shards that this node claims, holds or releases."""
        return tuple(self._shards)

    def reset_after_majority_loss(self, now_ms: float) -> None:
        """Restarts the claims of all shards.

        Other nodes may have taken over the shards. Shards that are being
        released are removed.
        """
        for key, shard in list(self._shards.items()):
            if shard.phase is _Phase.RELEASING:
                del self._shards[key]
            else:
                self._shards[key] = _ShardEntry(_Phase.CLAIMING, now_ms, True)

    def finish_release(self, key: configuration.ShardKey) -> None:
        """Removes a shard that is being released, after its requests ended."""
        shard = self._shards.get(key)
        if shard is not None and shard.phase is _Phase.RELEASING:
            del self._shards[key]

    def answer_claim(
        self, sender: str, keys: Iterable[configuration.ShardKey]
    ) -> Sequence[configuration.ShardKey]:
        """Grants another node's claims where possible.

        A claim is refused if this node holds or releases the shard, or if it
        claims the shard and ranks before the sender.

        Returns:
            The shards for which the claim is refused.
        """
        refused = []
        for key in keys:
            shard = self._shards.get(key)
            if shard is not None and not self._can_grant(key, shard, sender):
                refused.append(key)
                continue
            self.grant_count += 1
            self._granted_to[key] = sender
            self._grant_numbers[key] = self.grant_count
            if shard is not None:
                shard.granted_by.discard(sender)
        return refused

    def _can_grant(
        self, key: configuration.ShardKey, shard: _ShardEntry, sender: str
    ) -> bool:
        if shard.phase is not _Phase.CLAIMING:
            return False
        return self._precedes(key, sender, self._own_id)

    def pending_claims(
        self, is_silent: Callable[[str], bool]
    ) -> Mapping[str, Sequence[configuration.ShardKey]]:
        """Returns the shards to claim from each candidate, by node id.

        Args:
            is_silent: Returns whether a node has been silent for so long that
                it lost its majority; no claim is sent to it.
        """
        claims: dict[str, list[configuration.ShardKey]] = {}
        for key, shard in self._shards.items():
            if shard.phase is not _Phase.CLAIMING:
                continue
            for node_id in self._list_other_candidates(key):
                if node_id not in shard.granted_by and not is_silent(node_id):
                    claims.setdefault(node_id, []).append(key)
        return claims

    def _list_other_candidates(self, key: configuration.ShardKey) -> set[str]:
        others = set(self._list_candidates(key))
        if key in self._granted_to:
            others.add(self._granted_to[key])
        others.discard(self._own_id)
        return others

    def record_claim_answer(
        self,
        node_id: str,
        claimed: Iterable[configuration.ShardKey],
        refused_keys: Iterable[configuration.ShardKey],
        grants_before: int,
    ) -> None:
        """Records a candidate's answer to a claim.

        Args:
            node_id: The candidate.
            claimed: Shards of the claim.
            refused_keys: Shards for which the candidate refused the claim.
            grants_before: Value of `grant_count` when the claim was sent. The
                answer is ignored for shards that this node has granted to
                another node since, because it may be out of date.
        """
        refused = set(refused_keys)
        for key in claimed:
            shard = self._shards.get(key)
            if shard is None or shard.phase is not _Phase.CLAIMING:
                continue
            if self._grant_numbers.get(key, 0) > grants_before:
                continue
            if key in refused:
                shard.refused_by.add(node_id)
            else:
                shard.refused_by.discard(node_id)
                shard.granted_by.add(node_id)

    def complete_takeovers(
        self, now_ms: float, is_silent: Callable[[str], bool]
    ) -> bool:
        """Holds each claimed shard that every other candidate has granted.

        Args:
            now_ms: Current time.
            is_silent: Returns whether a node has been silent for so long that
                it lost its majority; its grant is not needed.

        Returns:
            True if this node now holds any further shard.
        """
        changed = False
        for key, shard in self._shards.items():
            if shard.phase is _Phase.CLAIMING and all(
                n in shard.granted_by or is_silent(n)
                for n in self._list_other_candidates(key)
            ):
                shard.phase = _Phase.HELD
                shard.majority_lost = False
                self._granted_to.pop(key, None)
                changed = True
        return changed

    def authority(
        self,
        key: configuration.ShardKey,
        has_majority: bool,
        now_ms: float,
        claim_timeout_ms: float,
    ) -> _authority.Authority:
        """Returns this node's authority for a shard.

        Args:
            key: The shard.
            has_majority: True if this node has a majority in its region.
            now_ms: Current time.
            claim_timeout_ms: Duration of a claim after which this node has
                limited authority although the claim is not complete.
        """
        shard = self._shards.get(key)
        if shard is None or shard.phase is _Phase.RELEASING:
            return _authority.Authority.NONE
        if not has_majority or shard.majority_lost:
            return _authority.Authority.LIMITED
        if shard.phase is _Phase.HELD:
            return _authority.Authority.FULL
        # A candidate that is unreachable, or whose requests are still in
        # flight, must not block the shard. These requests may use the only
        # slot of a cold endpoint, so the authority covers warm endpoints only.
        if shard.refused_by:
            claim_timeout_ms = _RELEASE_TIMEOUT_MS
        if now_ms - shard.started_ms > claim_timeout_ms:
            return _authority.Authority.LIMITED
        return _authority.Authority.WAITING
