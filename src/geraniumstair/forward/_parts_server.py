"""Calls shards on behalf of other nodes; see `_delegation`."""

import collections
from collections.abc import Sequence
from typing import Protocol

import trio

from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _delegation
from geraniumstair.forward import _parts
from geraniumstair.forward import _result
from geraniumstair.forward import _shard

# Ends of requests that are remembered until their requests are handled. A node
# that was paused reads both at once, and may handle the end first.
MAX_EARLY_ENDS = 256


class Routes(Protocol):
    """Provides the routes in force."""

    table: routing.RouteTable | None


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
        routes: Routes,
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
        declined = self._find_reason_to_decline(message)
        if declined is not None:
            return declined
        key = (sender, message.parts_id)
        if key in self._early_ends:
            self._early_ends.remove(key)
            return _parts.decline("ended by the sender", ran=False)
        reply = _parts.decline("cancelled by the sender", ran=True)
        with trio.CancelScope() as scope:
            self._scopes[key] = scope
            try:
                outcome, shard_outcomes = await self._gatherer.gather(
                    _parts.decode_request(message),
                    _parts.decode_route(message),
                    tuple(message.shards),
                )
                reply = _parts.encode_reply(outcome, shard_outcomes)
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

    def _find_reason_to_decline(
        self, message: messages.PartsRequest
    ) -> messages.PartsReply | None:
        """Returns the reply that declines a request; None to serve it.

        The versions of the two nodes may differ. The sender's decides what the
        caller gets. This node's own routes only show whether it has the limits
        of the shards' endpoints.
        """
        if self._lifecycle.stopping:
            return _parts.decline("the node is stopping", ran=False)
        if not _parts.has_terms(message):
            return _parts.decline("the request has no terms", ran=False)
        table = self._routes.table
        route = table and table.match(message.host, message.path)
        if not route or not set(message.shards) <= set(route.shards):
            return _parts.decline(
                "the shards differ between versions "
                f"{message.version} and {table.version if table else None}",
                ran=False,
                routes_differ=True,
            )
        return None
