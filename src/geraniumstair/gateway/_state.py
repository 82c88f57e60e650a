"""The routes, endpoints and operators' orders, as decoded from the mirror."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import logging
from typing import Protocol

import trio

from geraniumstair import discovery
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair import store
from geraniumstair.gateway import _rollouts

_LOG = logging.getLogger(__name__)
# How often lapsed endpoints are checked for expiry.
EXPIRY_CHECK_INTERVAL_S = 0.1
# What operators wrote since the copy from which the store was restored is
# missing until they have written it again, which takes about two seconds.
RESTORE_GRACE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesChanged:
    """A version of the routes was written."""

    table: routing.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """The entry of an endpoint was added or changed."""

    entry: discovery.EndpointEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntryRemoved:
    """The entry of an endpoint was removed or is not valid."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was taken out of service or put back."""

    availability_zone: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrderRemoved:
    """The order of a service's rollout was removed."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecordRemoved:
    """The record of a service's rollout was removed."""

    service: str


StateChange = (
    RoutesChanged
    | EndpointChanged
    | EndpointEntryRemoved
    | ZoneChanged
    | _rollouts.RolloutOrder
    | _rollouts.RolloutRecord
    | RolloutOrderRemoved
    | RolloutRecordRemoved
)


# Removals of operators' orders, which a restore of the store may only seem to
# make.
_HELD_REMOVALS = (RolloutOrderRemoved, ZoneChanged)


class StateDecoder(Protocol):
    """Decodes the entries of operators and endpoints in the store."""

    def decode(self, item: mirror.MirrorItem) -> StateChange | None:
        """Returns the change that an item makes; None if it makes none."""
        ...


class RoutingListener(Protocol):
    """Receives changed routes, endpoints and availability zones."""

    def set_route_table(self, table: routing.RouteTable) -> None:
        """Applies a newer version of the routes."""

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose endpoints get no requests."""

    def apply_registry_changes(self) -> None:
        """Applies changes of the endpoint registry."""


class RolloutListener(Protocol):
    """Receives changed orders and records of rollouts."""

    def apply_order(self, order: _rollouts.RolloutOrder) -> None:
        """Applies a new order."""

    def remove_order(self, service: str) -> None:
        """Ends a rollout whose order was removed."""

    def apply_record(self, record: _rollouts.RolloutRecord) -> None:
        """Applies the progress that the store holds."""

    def remove_record(self, service: str) -> None:
        """Removes the record of a service's rollout."""


class DesiredState:
    """Decodes changes of the mirror and passes them to their listeners.

    Args:
        decoder: Decodes items of the store.
        registry: The known endpoints.
        listener: Receives routes, endpoints and availability zones.
        rollouts: Receives orders and records of rollouts.
        changes_since_s: Returns the earliest time at which a change that is
            applied now may have been made, on trio's clock; None takes each
            change for new.

    Attributes:
        table: The routes; None before the first version is known.
    """

    def __init__(
        self,
        decoder: StateDecoder,
        registry: discovery.EndpointRegistry,
        listener: RoutingListener,
        rollouts: RolloutListener,
        changes_since_s: Callable[[], float] | None = None,
    ) -> None:
        self._changes_since_s = changes_since_s
        self.table: routing.RouteTable | None = None
        self._decoder = decoder
        self._registry = registry
        self._listener = listener
        self._rollouts = rollouts
        self._zones_out: frozenset[str] = frozenset()
        # Revisions of operators' orders by key.
        self._order_revisions: dict[str, int] = {}
        # Removals of orders and when they take effect, by key.
        self._held_removals: dict[str, tuple[float, StateChange]] = {}
        self._has_pending = trio.Event()

    def apply(self, items: Sequence[mirror.MirrorItem]) -> None:
        """Applies changed items of the mirror."""
        generation = self._registry.generation
        for item in items:
            change = self._decoder.decode(item)
            if change is None or self._hold_removal(item, change):
                continue
            self._apply_change(change)
        if self._registry.generation != generation:
            self._listener.apply_registry_changes()

    def _hold_removal(
        self, item: mirror.MirrorItem, change: StateChange
    ) -> bool:
        """Holds a removal that may be missing history of a restored store."""
        if isinstance(change, EndpointChanged | EndpointEntryRemoved):
            return False
        known = self._order_revisions.get(item.key)
        if item.value is not None:
            self._order_revisions[item.key] = item.revision
            self._held_removals.pop(item.key, None)
            return False
        self._order_revisions.pop(item.key, None)
        if (
            known is None
            or not isinstance(change, _HELD_REMOVALS)
            or not store.is_restored_since(known, item.revision)
        ):
            return False
        _LOG.info(
            "gateway: an order is missing in the restored store; it is kept "
            "for %.1f s",
            RESTORE_GRACE_S,
            extra=observe.fields(key=item.key),
        )
        due_s = trio.current_time() + RESTORE_GRACE_S
        self._held_removals[item.key] = (due_s, change)
        self._has_pending.set()
        return True

    def _apply_held_removals(self) -> None:
        now_s = trio.current_time()
        due = [k for k, held in self._held_removals.items() if held[0] <= now_s]
        for key in due:
            _, change = self._held_removals.pop(key)
            self._apply_change(change)

    async def run_expiry_loop(self) -> None:
        """Applies removals that were delayed, until cancelled."""
        while True:
            if not self._registry.has_lapsed and not self._held_removals:
                await self._has_pending.wait()
                self._has_pending = trio.Event()
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._apply_held_removals()
            removed = list(self._registry.remove_expired())
            if removed:
                _LOG.info(
                    "gateway: removed endpoints whose entries stayed lapsed",
                    extra=observe.fields(
                        endpoints=[e.endpoint_id for e in removed]
                    ),
                )
                self._listener.apply_registry_changes()

    def _apply_change(self, change: StateChange) -> None:
        match change:
            case RoutesChanged(table):
                self._apply_table(table)
            case EndpointChanged(entry):
                self._apply_endpoint(entry)
            case EndpointEntryRemoved(endpoint_id):
                self._lapse_endpoint(endpoint_id)
            case ZoneChanged(zone, out):
                zone_set = frozenset([zone])
                zones = self._zones_out
                self._zones_out = zones | zone_set if out else zones - zone_set
                self._listener.set_zones_out(self._zones_out)
            case _:
                self._apply_rollout_change(change)

    def _apply_rollout_change(self, change: StateChange) -> None:
        match change:
            case _rollouts.RolloutOrder():
                self._rollouts.apply_order(change)
            case _rollouts.RolloutRecord():
                self._rollouts.apply_record(change)
            case RolloutOrderRemoved(service):
                self._rollouts.remove_order(service)
            case RolloutRecordRemoved(service):
                self._rollouts.remove_record(service)

    def _apply_endpoint(self, entry: discovery.EndpointEntry) -> None:
        known = self._registry.get(entry.endpoint_id)
        if not self._registry.put(entry):
            _LOG.info(
                "gateway: ignored an outdated entry of an endpoint",
                extra=observe.fields(
                    endpoint=entry.endpoint_id,
                    state=entry.state.value,
                    sequence=entry.sequence,
                    known_state=known.state.value if known else None,
                    known_sequence=known.sequence if known else None,
                ),
            )
            return
        if known is None or known.state is not entry.state:
            _LOG.info(
                "gateway: an endpoint is new or changed its state",
                extra=observe.fields(
                    endpoint=entry.endpoint_id,
                    service=entry.service,
                    state=entry.state.value,
                    earlier_state=known.state.value if known else None,
                    started_ms=entry.started_ms,
                    warmup_left_ms=entry.warmup_left_ms,
                ),
            )

    def _lapse_endpoint(self, endpoint_id: str) -> None:
        known = self._registry.get(endpoint_id)
        if known is not None:
            _LOG.info(
                "gateway: the entry of an endpoint was removed or is not valid",
                extra=observe.fields(
                    endpoint=endpoint_id,
                    service=known.service,
                    earlier_state=known.state.value,
                ),
            )
        since_s = self._changes_since_s() if self._changes_since_s else None
        self._registry.mark_lapsed(endpoint_id, since_s)
        self._has_pending.set()

    def _apply_table(self, table: routing.RouteTable) -> None:
        if self.table is not None and table.version <= self.table.version:
            _LOG.info(
                "gateway: ignored routes of version %d; version %d is in force",
                table.version,
                self.table.version,
            )
            return
        _LOG.info(
            "gateway: a newer version of the routes is in force",
            extra=observe.fields(
                version=table.version,
                earlier_version=self.table.version if self.table else None,
                routes=len(table.routes()),
            ),
        )
        self.table = table
        self._listener.set_route_table(table)
