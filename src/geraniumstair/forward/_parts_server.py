"""Asks shards for another node; see `_delegation`."""

from collections.abc import Sequence
from typing import Protocol

import trio

from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _delegation
from geraniumstair.forward import _result
from geraniumstair.forward import _shard


class Gatherer(Protocol):
    """Asks shards with this node's own calls."""

    async def gather(
        self,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: tuple[str, ...],
    ) -> tuple[_result.ForwardResult, Sequence[_shard.ShardOutcome]]:
        """Returns the outcome, and that of each shard, in order."""
        ...


class Readiness(Protocol):
    """Whether this node is stopping."""

    @property
    def stopping(self) -> bool:
        """True after the signal to end."""


class PartsServer:
    """Serves other nodes' requests for parts.

    Args:
        network: Streams to peers.
        routes: The routes in force.
        gatherer: Asks the shards.
        readiness: Whether this node is stopping.
    """

    def __init__(
        self,
        network: _delegation.Network,
        routes: _delegation.Routes,
        gatherer: Gatherer,
        readiness: Readiness,
    ) -> None:
        self._routes = routes
        self._gatherer = gatherer
        self._readiness = readiness
        self._running: dict[tuple[str, int], trio.CancelScope] = {}
        network.register(messages.PartsRequest, self._on_request)
        network.register(messages.PartsEnd, self._on_end)

    async def _on_request(
        self, sender: str, message: messages.PartsRequest
    ) -> messages.PartsReply:
        route = self._route(message)
        if isinstance(route, str):
            return _declined(route, ran=False)
        key = (sender, message.parts_id)
        reply = _declined("ended by the sender", ran=True)
        with trio.CancelScope() as scope:
            self._running[key] = scope
            try:
                outcome, shards = await self._gatherer.gather(
                    _decode(message),
                    route,
                    tuple(message.shards),
                )
                reply = _encode(outcome, shards)
            finally:
                del self._running[key]
        return reply

    async def _on_end(self, sender: str, message: messages.PartsEnd) -> None:
        scope = self._running.get((sender, message.parts_id))
        if scope is not None:
            scope.cancel()

    def _route(self, message: messages.PartsRequest) -> routing.Route | str:
        """Returns the route, or why the request is declined."""
        if self._readiness.stopping:
            return "the node is stopping"
        table = self._routes.table
        if table is None or table.version < message.version:
            return "the node has an older version of the routes"
        route = table.match(message.host, message.path)
        # All parts of an answer belong to the shards of one version.
        if route is None or not set(message.shards) <= set(route.shards):
            return "the shards have changed"
        return route


def _declined(
    why: str, *, ran: bool, tried: list[list[str]] | None = None
) -> messages.PartsReply:
    return messages.PartsReply(
        declined=why,
        ran=ran,
        answered=[],
        signatures=[],
        records=b"",
        tried=tried or [],
    )


def _encode(
    outcome: _result.ForwardResult, shards: Sequence[_shard.ShardOutcome]
) -> messages.PartsReply:
    tried = [sorted(shard.tried) for shard in shards]
    if isinstance(outcome, _result.SearchResult):
        return messages.PartsReply(
            declined="",
            ran=True,
            answered=[i for i, shard in enumerate(shards) if shard.answered],
            signatures=list(outcome.signatures),
            records=outcome.records,
            tried=tried,
        )
    if isinstance(outcome, _result.Refused):
        ran = not outcome.not_run
        return _declined(outcome.detail, ran=ran, tried=tried)
    return _declined("not a search", ran=True)


def _decode(message: messages.PartsRequest) -> _call.CallerRequest:
    elapsed_ms = message.elapsed_ms
    remaining_ms = None
    if message.remaining_ms >= 0:
        remaining_ms = message.remaining_ms + elapsed_ms
    return _call.CallerRequest(
        request_id=message.request_id,
        method=message.method,
        target=message.target,
        host=message.host,
        path=message.path,
        fields=[(field[0], field[1]) for field in message.fields],
        body=message.body,
        has_body=message.has_body,
        received_s=trio.current_time() - elapsed_ms / 1000,
        remaining_ms=remaining_ms,
    )
