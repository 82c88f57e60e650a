"""State spread by heartbeats: revisions in force and stopped versions."""

from collections.abc import Mapping
from collections.abc import Sequence

from geraniumstair._generated import messages

_MAX_STOPPED_VERSIONS = 256


class InForceMembers:
    """The members that have the newest known configuration revision in force.

    Attributes:
        revision: The newest revision that any node has reported; 0 if none.
        source_id: Id of the first node that reported the revision.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.source_id = ""
        self._node_ids: set[str] = set()

    def record(self, node_id: str, revision: int) -> None:
        """Records the revision that a node has in force.

        A newer revision discards the members recorded for the older one.
        """
        if revision > self.revision:
            self.revision = revision
            self.source_id = node_id
            self._node_ids = set()
        if revision == self.revision and revision:
            self._node_ids.add(node_id)

    def merge_bitmap(
        self, revision: int, bitmap: bytes, ids: Sequence[str]
    ) -> None:
        """Adds the members that a received bitmap names.

        Args:
            revision: Revision that the bitmap is about; the bitmap is ignored
                if this is not the newest known one.
            bitmap: One bit per member, in the order of `ids`.
            ids: Node ids in the order of the sender's view.
        """
        if revision != self.revision:
            return
        bits = int.from_bytes(bitmap, "little")
        for index, node_id in enumerate(ids):
            if bits >> index & 1:
                self._node_ids.add(node_id)

    def bitmap(self, index: Mapping[str, int]) -> bytes:
        """Returns one bit per member, at the member's index in the view."""
        bits = 0
        for node_id in self._node_ids:
            if node_id in index:
                bits |= 1 << index[node_id]
        return bits.to_bytes((len(index) + 7) // 8, "little")

    def node_ids(self) -> frozenset[str]:
        """Returns the members known to have the revision in force."""
        return frozenset(self._node_ids)


class StoppedVersions:
    """Stopped versions, at most one per rollout; the first one added stays."""

    def __init__(self) -> None:
        self._stopped: dict[str, messages.StoppedVersion] = {}

    def add(self, stopped: messages.StoppedVersion) -> bool:
        """Adds a stopped version; returns whether it was added."""
        if stopped.rollout in self._stopped:
            return False
        if len(self._stopped) >= _MAX_STOPPED_VERSIONS:
            return False
        self._stopped[stopped.rollout] = stopped
        return True

    def all(self) -> Sequence[messages.StoppedVersion]:
        """Returns all stopped versions."""
        return tuple(self._stopped.values())
