"""Registry of the endpoints, built from their own registrations.

Registrations appear, change and lapse. The registration of a live endpoint may
lapse because the store that keeps it was unavailable, so a lapsed entry is kept
for a short time as a last resort.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from geraniumstair import store

# Live endpoints register again within two seconds after the store returns. The
# remaining time is for their heartbeat to arrive.
LAPSE_GRACE_S = 2.4
# A removed endpoint continues to serve for this time unless the site says
# otherwise.
DRAIN_S = 3.0
# Time for the last call to a lapsed endpoint to arrive there.
CALL_MARGIN_S = 0.3
# Instances that announced their shutdown and are gone. They are remembered,
# because a store that is restored from a copy shows them again.
MAX_DEPARTED_INSTANCES = 1000


class EndpointState(enum.Enum):
    """Whether an endpoint accepts requests."""

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Registration of one instance of an endpoint.

    A restart of the endpoint is a new instance.

    Attributes:
        endpoint_id: Identity, which the endpoint checks on each request.
        started_ms: Start time in ms since 1970; 0 if unknown. It differs after
            a restart under the same identity.
        service: Service that the endpoint belongs to.
        address: IP address.
        port: TCP port.
        availability_zone: Availability zone of the endpoint.
        version: Version of the endpoint's software.
        slots: Requests that the endpoint processes at the same time.
        state: Whether the endpoint accepts requests.
        warmup_left_ms: Remaining warm-up time when the entry was written.
        sequence: Rises with each registration of an instance; 0 if unknown.
        revision: Revision of the entry, comparable across restores of the
            store.
    """

    endpoint_id: str
    started_ms: int
    service: str
    address: str
    port: int
    availability_zone: str
    version: str
    slots: int
    state: EndpointState
    warmup_left_ms: float = 0.0
    sequence: int = dataclasses.field(default=0, compare=False)
    revision: int = dataclasses.field(default=0, compare=False)

    @property
    def instance_key(self) -> tuple[str, int, str, int]:
        """Key that differs between instances of the same endpoint."""
        return (self.endpoint_id, self.started_ms, self.address, self.port)


class EndpointRegistry:
    """The known endpoints.

    Args:
        clock: Returns a monotonic time in s.
        drain_s: How long a removed endpoint continues to serve.

    Attributes:
        generation: Counts the changes.
    """

    def __init__(
        self, clock: Callable[[], float], drain_s: float = DRAIN_S
    ) -> None:
        self._clock = clock
        self._drain_s = drain_s
        self._entries: dict[str, EndpointEntry] = {}
        # When the lapsed endpoints are removed, by id.
        self._lapsed_until_s: dict[str, float] = {}
        self._changed_services: set[str] = set()
        # Last entries of instances that announced their shutdown.
        self._departed: dict[tuple[str, int, str, int], EndpointEntry] = {}
        self.generation = 0

    def put(self, entry: EndpointEntry) -> bool:
        """Adds or updates an endpoint.

        Returns:
            False if the entry is older than what is known about its instance.
        """
        if self._is_outdated(entry):
            return False
        self._lapsed_until_s.pop(entry.endpoint_id, None)
        known = self._entries.get(entry.endpoint_id)
        if known != entry:
            self._entries[entry.endpoint_id] = entry
            self._record_change(entry)
            if known is not None:
                self._changed_services.add(known.service)
        elif known is not None:
            # A newer sequence and revision alone are no change.
            self._entries[entry.endpoint_id] = entry
        return True

    def _is_outdated(self, entry: EndpointEntry) -> bool:
        """Returns whether a restored store shows an earlier entry again."""
        departed = self._departed.get(entry.instance_key)
        if departed is not None and _is_outdated_by(entry, departed):
            return True
        known = self._entries.get(entry.endpoint_id)
        return (
            known is not None
            and known.instance_key == entry.instance_key
            and known.sequence != entry.sequence
            and _is_outdated_by(entry, known)
        )

    def _remember_departed(self, entry: EndpointEntry) -> None:
        if len(self._departed) >= MAX_DEPARTED_INSTANCES:
            del self._departed[next(iter(self._departed))]
        self._departed[entry.instance_key] = entry

    def _record_change(self, entry: EndpointEntry) -> None:
        self._changed_services.add(entry.service)
        self.generation += 1

    def pop_changed_services(self) -> frozenset[str]:
        """Returns the services with changes since the last call."""
        changed = frozenset(self._changed_services)
        self._changed_services.clear()
        return changed

    def mark_lapsed(
        self, endpoint_id: str, removed_since_s: float | None = None
    ) -> None:
        """Marks an endpoint as lapsed, or removes it if it was draining.

        Args:
            endpoint_id: The endpoint.
            removed_since_s: Earliest time at which its entry may have been
                removed; None for now.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.state is EndpointState.LAPSED:
            return
        if entry.state is EndpointState.DRAINING:
            # The endpoint announced its shutdown, so its return is not
            # expected.
            del self._entries[endpoint_id]
            self._remember_departed(entry)
        else:
            self._lapse(entry, removed_since_s)
        self._record_change(entry)

    def _lapse(
        self, entry: EndpointEntry, removed_since_s: float | None
    ) -> None:
        now_s = self._clock()
        if removed_since_s is None:
            removed_since_s = now_s
        until_s = min(
            now_s + LAPSE_GRACE_S,
            removed_since_s + self._drain_s - CALL_MARGIN_S,
        )
        if until_s <= now_s:
            # The endpoint may end at any moment.
            del self._entries[entry.endpoint_id]
            return
        self._entries[entry.endpoint_id] = dataclasses.replace(
            entry, state=EndpointState.LAPSED
        )
        self._lapsed_until_s[entry.endpoint_id] = until_s

    @property
    def has_lapsed(self) -> bool:
        """True if lapsed endpoints will be removed unless they return."""
        return bool(self._lapsed_until_s)

    def remove_expired(self) -> Iterable[EndpointEntry]:
        """Removes and returns endpoints that have been lapsed long enough."""
        now_s = self._clock()
        old = [i for i, at_s in self._lapsed_until_s.items() if at_s <= now_s]
        removed = []
        for endpoint_id in old:
            del self._lapsed_until_s[endpoint_id]
            entry = self._entries.pop(endpoint_id)
            self._record_change(entry)
            removed.append(entry)
        return removed

    def entries(self) -> Iterable[EndpointEntry]:
        """Returns all endpoints, including lapsed ones."""
        return list(self._entries.values())

    def get(self, endpoint_id: str) -> EndpointEntry | None:
        """Returns an endpoint by its identity; None if it is unknown."""
        return self._entries.get(endpoint_id)


def _is_outdated_by(entry: EndpointEntry, known: EndpointEntry) -> bool:
    # Without a start time, a restart can't be told from an earlier entry.
    return (
        bool(entry.started_ms and entry.sequence)
        and store.is_restored_since(known.revision, entry.revision)
        and entry.sequence <= known.sequence
    )
