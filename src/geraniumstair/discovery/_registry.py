"""Which endpoints exist, from what they say of themselves.

Entries appear, change and lapse. An entry may lapse although its endpoint
lives, because the store that keeps it was away, so a lapsed entry is kept for
a short time as a last resort.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

# Live endpoints register again within two seconds of the store's return. The
# rest is the time that a beat takes to arrive. It has to stay below the three
# seconds that a removed endpoint goes on serving.
LAPSE_GRACE_S = 2.4


class EndpointState(enum.Enum):
    """Whether an endpoint takes requests."""

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What one start of an endpoint says of itself.

    Attributes:
        endpoint_id: Identity, checked by the endpoint on each request.
        started_ms: Start time in ms since 1970; 0 if unknown. An endpoint
            that starts again under its identity has another one.
        service: Service that it belongs to.
        address: IP address.
        port: TCP port.
        availability_zone: Where it runs.
        version: Version of its software.
        slots: Requests that it works on at once.
        state: Whether it takes requests.
        warmup_left_ms: How much longer it is cold, when the entry was
            written.
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
    def lifetime(self) -> tuple[str, int, str, int]:
        """Tells one start of an endpoint from another."""
        return (self.endpoint_id, self.started_ms, self.address, self.port)


class EndpointRegistry:
    """The known endpoints, by service.

    Args:
        clock: Returns a monotonic time in s.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: dict[str, EndpointEntry] = {}
        self._lapsed_at_s: dict[str, float] = {}
        self._changed: set[str] = set()
        self.generation = 0

    def put(self, entry: EndpointEntry) -> None:
        """Adds or changes an endpoint."""
        self._lapsed_at_s.pop(entry.endpoint_id, None)
        known = self._entries.get(entry.endpoint_id)
        if known != entry:
            self._entries[entry.endpoint_id] = entry
            self._note_change(entry)
            if known is not None:
                self._changed.add(known.service)

    def _note_change(self, entry: EndpointEntry) -> None:
        self._changed.add(entry.service)
        self.generation += 1

    def take_changed(self) -> frozenset[str]:
        """Returns the services with changes since the last call."""
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def lapse(self, endpoint_id: str) -> None:
        """Notes that the entry of an endpoint is gone."""
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.state is EndpointState.LAPSED:
            return
        if entry.state is EndpointState.DRAINING:
            # It had announced its end, so nothing has to be waited for.
            del self._entries[endpoint_id]
        else:
            self._entries[endpoint_id] = dataclasses.replace(
                entry, state=EndpointState.LAPSED
            )
            self._lapsed_at_s[endpoint_id] = self._clock()
        self._note_change(entry)

    @property
    def lapsing(self) -> bool:
        """True if some endpoints will be removed unless they come back."""
        return bool(self._lapsed_at_s)

    def expire(self) -> Iterable[EndpointEntry]:
        """Removes endpoints that stayed lapsed; returns them."""
        before_s = self._clock() - LAPSE_GRACE_S
        old = [i for i, at_s in self._lapsed_at_s.items() if at_s <= before_s]
        removed = []
        for endpoint_id in old:
            del self._lapsed_at_s[endpoint_id]
            entry = self._entries.pop(endpoint_id)
            self._note_change(entry)
            removed.append(entry)
        return removed

    def entries(self) -> Iterable[EndpointEntry]:
        """Returns all endpoints that are not gone."""
        return list(self._entries.values())

    def get(self, endpoint_id: str) -> EndpointEntry | None:
        """Returns an endpoint by its identity."""
        return self._entries.get(endpoint_id)
