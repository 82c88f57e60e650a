"""What operators want and which endpoints exist, as read from the mirror."""

from collections.abc import Sequence
import dataclasses
import logging
from typing import Protocol

import trio

from geraniumstair import discovery
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair.edge import _rollouts

_LOG = logging.getLogger(__name__)
# How often endpoints whose entries are away are looked at.
EXPIRE_CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesChanged:
    """Another version of the routes."""

    table: routing.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """What an endpoint says of itself."""

    entry: discovery.EndpointEntry


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGone:
    """The entry of an endpoint was removed, or names no endpoint."""

    endpoint_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChanged:
    """An availability zone was taken out or brought back."""

    availability_zone: str
    out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrderGone:
    """The order of a service's rollout was removed."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecordGone:
    """The store holds no progress of a service's rollout."""

    service: str


StateChange = (
    RoutesChanged
    | EndpointChanged
    | EndpointGone
    | ZoneChanged
    | _rollouts.RolloutOrder
    | _rollouts.RolloutRecord
    | RolloutOrderGone
    | RolloutRecordGone
)


class StateDecoder(Protocol):
    """Reads what others wrote to the store."""

    def decode(self, item: mirror.MirrorItem) -> StateChange | None:
        """Returns what an item means; None if it is none of these."""
        ...


class StateUser(Protocol):
    """Follows the desired state."""

    def adopt_table(self, table: routing.RouteTable) -> None:
        """Adopts another version of the routes."""

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Sets the availability zones whose endpoints get nothing."""

    def refresh(self) -> None:
        """Follows the registry of endpoints."""


class RolloutUser(Protocol):
    """Follows rollouts."""

    def adopt_order(self, order: _rollouts.RolloutOrder) -> None:
        """Takes an order."""

    def withdraw_order(self, service: str) -> None:
        """Forgets a rollout whose order was removed."""

    def adopt_record(self, record: _rollouts.RolloutRecord) -> None:
        """Takes what the store holds."""

    def forget_record(self, service: str) -> None:
        """Notes that the store holds nothing about a service."""


class DesiredState:
    """The newest version of everything, fed by the mirror.

    Args:
        decoder: Reads what others wrote to the store.
        registry: The known endpoints.
        user: Follows routes, endpoints and availability zones.
        rollouts: Follows rollouts.

    Attributes:
        table: The routes; None before the first version is known.
    """

    def __init__(
        self,
        decoder: StateDecoder,
        registry: discovery.EndpointRegistry,
        user: StateUser,
        rollouts: RolloutUser,
    ) -> None:
        self.table: routing.RouteTable | None = None
        self._decoder = decoder
        self._registry = registry
        self._user = user
        self._rollouts = rollouts
        self._zones_out: frozenset[str] = frozenset()
        self._lapsed = trio.Event()

    def adopt(self, items: Sequence[mirror.MirrorItem]) -> None:
        """Takes changed items."""
        generation = self._registry.generation
        for item in items:
            change = self._decoder.decode(item)
            if change is not None:
                self._adopt_one(change)
        if self._registry.generation != generation:
            self._user.refresh()

    async def expire_loop(self) -> None:
        """Removes endpoints whose entries stay away, for ever."""
        while True:
            if not self._registry.lapsing:
                await self._lapsed.wait()
                self._lapsed = trio.Event()
            await trio.sleep(EXPIRE_CHECK_S)
            removed = list(self._registry.expire())
            if removed:
                _LOG.info(
                    "edge: endpoints gone after their entries lapsed",
                    extra=observe.fields(
                        endpoints=[e.endpoint_id for e in removed]
                    ),
                )
                self._user.refresh()

    def _adopt_one(self, change: StateChange) -> None:
        match change:
            case RoutesChanged(table):
                self._adopt_table(table)
            case EndpointChanged(entry):
                self._put(entry)
            case EndpointGone(endpoint_id):
                self._lapse(endpoint_id)
            case ZoneChanged(zone, out):
                single = frozenset([zone])
                zones = self._zones_out
                self._zones_out = zones | single if out else zones - single
                self._user.set_zones_out(self._zones_out)
            case _:
                self._adopt_rollout(change)

    def _adopt_rollout(self, change: StateChange) -> None:
        match change:
            case _rollouts.RolloutOrder():
                self._rollouts.adopt_order(change)
            case _rollouts.RolloutRecord():
                self._rollouts.adopt_record(change)
            case RolloutOrderGone(service):
                self._rollouts.withdraw_order(service)
            case RolloutRecordGone(service):
                self._rollouts.forget_record(service)

    def _put(self, entry: discovery.EndpointEntry) -> None:
        known = self._registry.get(entry.endpoint_id)
        if known is None or known.state is not entry.state:
            _LOG.info(
                "edge: an endpoint changed its state",
                extra=observe.fields(
                    endpoint=entry.endpoint_id,
                    service=entry.service,
                    state=entry.state.value,
                    earlier_state=known.state.value if known else None,
                    started_ms=entry.started_ms,
                    warmup_left_ms=entry.warmup_left_ms,
                ),
            )
        self._registry.put(entry)

    def _lapse(self, endpoint_id: str) -> None:
        known = self._registry.get(endpoint_id)
        if known is not None:
            _LOG.info(
                "edge: the entry of an endpoint is gone",
                extra=observe.fields(
                    endpoint=endpoint_id,
                    service=known.service,
                    earlier_state=known.state.value,
                ),
            )
        self._registry.lapse(endpoint_id)
        self._lapsed.set()

    def _adopt_table(self, table: routing.RouteTable) -> None:
        if self.table is not None and table.version <= self.table.version:
            _LOG.info(
                "edge: version %d of the routes is not newer than %d",
                table.version,
                self.table.version,
            )
            return
        _LOG.info(
            "edge: another version of the routes is in force",
            extra=observe.fields(
                version=table.version,
                earlier_version=self.table.version if self.table else None,
                routes=len(table.routes()),
            ),
        )
        self.table = table
        self._user.adopt_table(table)
