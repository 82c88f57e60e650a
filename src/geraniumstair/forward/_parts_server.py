"""Calls shards on behalf of other nodes; see `_delegation`."""

import collections
from collections.abc import Sequence
from typing import Protocol

import trio

from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _delegation
from geraniumstair.forward import _result
from geraniumstair.forward import _shard

# Ends of requests that are remembered until their requests are handled. A node
# that was paused reads both at once, and may handle the end first.
MAX_EARLY_ENDS = 256


class Gatherer(Protocol):
    """Calls shards from this node."""

    async def gather(
        self,
        request: _call.CallerRequest,
        route: routing.Route,
        shards: tuple[str, ...],
    ) -> tuple[_result.ForwardResult, Sequence[_shard.ShardOutcome]]:
        """Returns the result, and the outcome of each shard, in order."""
        ...


class Lifecycle(Protocol):
    """Reports whether this node is stopping."""

    @property
    def stopping(self) -> bool:
        """True after the signal to stop."""


class PartsServer:
    """Serves other nodes' requests for parts of searches.

    Args:
        network: Streams to peers.
        routes: Provides the routes in force.
        gatherer: Calls the shards.
        lifecycle: Reports whether this node is stopping.
    """

    def __init__(
        self,
        network: _delegation.Network,
        routes: _delegation.Routes,
        gatherer: Gatherer,
        lifecycle: Lifecycle,
    ) -> None:
        self._routes = routes
        self._gatherer = gatherer
        self._lifecycle = lifecycle
        self._scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self._early_ends: collections.deque[tuple[str, int]] = (
            collections.deque(maxlen=MAX_EARLY_ENDS)
        )
        network.register_handler(messages.PartsRequest, self._on_request)
        network.register_handler(messages.PartsEnd, self._on_end)

    async def _on_request(
        self, sender: str, message: messages.PartsRequest
    ) -> messages.PartsReply:
        route = self._find_route(message)
        if isinstance(route, str):
            return _decline(route, ran=False)
        key = (sender, message.parts_id)
        if key in self._early_ends:
            self._early_ends.remove(key)
            return _decline("ended by the sender", ran=False)
        reply = _decline("cancelled by the sender", ran=True)
        with trio.CancelScope() as scope:
            self._scopes[key] = scope
            try:
                outcome, shard_outcomes = await self._gatherer.gather(
                    self._decode_request(message),
                    route,
                    tuple(message.shards),
                )
                reply = _encode_reply(outcome, shard_outcomes)
            finally:
                del self._scopes[key]
        return reply

    async def _on_end(self, sender: str, message: messages.PartsEnd) -> None:
        key = (sender, message.parts_id)
        scope = self._scopes.get(key)
        if scope is not None:
            scope.cancel()
        else:
            self._early_ends.append(key)

    def _find_route(
        self, message: messages.PartsRequest
    ) -> routing.Route | str:
        """Returns the route, or the reason why the request is declined."""
        if self._lifecycle.stopping:
            return "the node is stopping"
        table = self._routes.table
        if table is None or table.version < message.version:
            return "the node has an older version of the routes"
        route = table.match(message.host, message.path)
        # All parts of an answer must come from the shards of one route version.
        if route is None or not set(message.shards) <= set(route.shards):
            return "the route or its shards have changed"
        return route

    def _decode_request(
        self, message: messages.PartsRequest
    ) -> _call.CallerRequest:
        elapsed_ms = message.elapsed_ms
        account_name = message.account or ""
        table = self._routes.table
        account = table.find_account(account_name) if table else None
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
            account=account_name,
            priority=account.priority if account else None,
        )


def _decline(
    reason: str,
    *,
    ran: bool,
    tried: list[list[str]] | None = None,
    ended: list[str] | None = None,
) -> messages.PartsReply:
    return messages.PartsReply(
        declined=reason,
        ran=ran,
        answered=[],
        signatures=[],
        records=b"",
        tried=tried or [],
        ended=ended or [],
    )


def _encode_reply(
    outcome: _result.ForwardResult,
    shard_outcomes: Sequence[_shard.ShardOutcome],
) -> messages.PartsReply:
    # The sender needs the endpoints of those shards only that it may call.
    tried = [
        [] if shard.answered else sorted(shard.tried)
        for shard in shard_outcomes
    ]
    ended = sorted({e for shard in shard_outcomes for e in shard.ended})
    if isinstance(outcome, _result.SearchResult):
        return messages.PartsReply(
            declined="",
            ran=True,
            answered=[
                i for i, shard in enumerate(shard_outcomes) if shard.answered
            ],
            signatures=list(outcome.signatures),
            records=outcome.records,
            tried=tried,
            ended=ended,
        )
    if isinstance(outcome, _result.Refused):
        ran = not outcome.not_run
        return _decline(outcome.detail, ran=ran, tried=tried, ended=ended)
    return _decline("the route is not a search", ran=True)
