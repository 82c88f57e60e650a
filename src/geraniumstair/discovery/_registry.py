"""Registry of the endpoints, built from their own registrations.

Registrations appear, change and lapse. The registration of a live endpoint may
lapse because the store that keeps it was unavailable, so a lapsed entry is kept
for a short time as a last resort.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

# Live endpoints register again within two seconds after the store returns. The
# remaining time is for their heartbeat to arrive. The total has to stay below
# the three seconds for which a removed endpoint continues to serve.
LAPSE_GRACE_S = 2.4


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

    @property
    def instance_key(self) -> tuple[str, int, str, int]:
        """Key that differs between instances of the same endpoint."""
        return (self.endpoint_id, self.started_ms, self.address, self.port)


class EndpointRegistry:
    """The known endpoints.

    Args:
        clock: Returns a monotonic time in s.

    Attributes:
        generation: Counts the changes.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: dict[str, EndpointEntry] = {}
        self._lapsed_at_s: dict[str, float] = {}
        self._changed_services: set[str] = set()
        self.generation = 0

    def put(self, entry: EndpointEntry) -> None:
        """Adds or updates an endpoint."""
        self._lapsed_at_s.pop(entry.endpoint_id, None)
        known = self._entries.get(entry.endpoint_id)
        if known != entry:
            self._entries[entry.endpoint_id] = entry
            self._record_change(entry)
            if known is not None:
                self._changed_services.add(known.service)

    def _record_change(self, entry: EndpointEntry) -> None:
        self._changed_services.add(entry.service)
        self.generation += 1

    def pop_changed_services(self) -> frozenset[str]:
        """Returns the services with changes since the last call."""
        changed = frozenset(self._changed_services)
        self._changed_services.clear()
        return changed

    def mark_lapsed(self, endpoint_id: str) -> None:
        """Marks an endpoint as lapsed, or removes it if it was draining."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.state is EndpointState.LAPSED:
            return
        if entry.state is EndpointState.DRAINING:
            # The endpoint announced its shutdown, so its return is not
            # expected.
            del self._entries[endpoint_id]
        else:
            self._entries[endpoint_id] = dataclasses.replace(
                entry, state=EndpointState.LAPSED
            )
            self._lapsed_at_s[endpoint_id] = self._clock()
        self._record_change(entry)

    @property
    def has_lapsed(self) -> bool:
        """True if lapsed endpoints will be removed unless they return."""
        return bool(self._lapsed_at_s)

    def remove_expired(self) -> Iterable[EndpointEntry]:
        """Removes and returns endpoints whose `LAPSE_GRACE_S` has passed."""
        cutoff_s = self._clock() - LAPSE_GRACE_S
        old = [i for i, at_s in self._lapsed_at_s.items() if at_s <= cutoff_s]
        removed = []
        for endpoint_id in old:
            del self._lapsed_at_s[endpoint_id]
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
