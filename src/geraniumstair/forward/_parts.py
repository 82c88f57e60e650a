"""Requests for parts of searches between nodes, and their replies.

A request carries all terms of the sender's route. The receiver may have another
version of the routes, and parts that follow different terms cannot be merged.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

import result
import trio

from geraniumstair import routing
from geraniumstair._generated import messages
from geraniumstair.forward import _call
from geraniumstair.forward import _result
from geraniumstair.forward import _shard


@dataclasses.dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards that one node is asked to call."""

    node_id: str
    shards: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReply:
    """Result of asking another node to call a group of shards.

    Attributes:
        signatures: Signatures of the parts by shard.
        records: The greatest records of these parts.
        failure: Why there are no parts; empty if there are.
        may_have_run: The node may have called the shards.
        acknowledged: False if nothing arrived from the node after the request
            was sent. The node may still make its first calls, but is sent
            a message that stops repeats.
        tried: Endpoints that may have run the request, by shard. A shard is
            absent if the node did not report its endpoints.
        ended: Endpoints that ended while they ran the request, with their
            starts.
        routes_differ: The routes of the node lack some of the shards.
    """

    signatures: Mapping[str, bytes]
    records: bytes
    failure: str = ""
    may_have_run: bool = True
    acknowledged: bool = True
    tried: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    ended: frozenset[str] = frozenset()
    routes_differ: bool = False


def encode_request(
    request: _call.CallerRequest,
    route: routing.Route,
    group: ShardGroup,
    parts_id: int,
    hop_ms: float,
) -> messages.PartsRequest:
    """Returns the request for a group of shards.

    Args:
        request: The caller's request.
        route: The route of the search, with the caller's priority.
        group: The shards.
        parts_id: Unique among the requests of this node.
        hop_ms: Time for the reply to come back and be merged.
    """
    elapsed_ms = (trio.current_time() - request.received_s) * 1000
    remaining_ms = -1.0
    if request.remaining_ms is not None:
        remaining_ms = max(0.0, request.remaining_ms - elapsed_ms)
    return messages.PartsRequest(
        parts_id=parts_id,
        version=route.version,
        shards=list(group.shards),
        elapsed_ms=elapsed_ms + hop_ms,
        remaining_ms=remaining_ms,
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        host=request.host,
        path=request.path,
        fields=[list(field) for field in request.fields],
        body=request.body,
        has_body=request.has_body,
        account=request.account,
        route=route.name,
        max_attempts=route.max_attempts,
        timeout_ms=route.timeout_ms,
        latency_goal_ms=route.latency_goal_ms,
        priority=route.priority,
        top_k=route.top_k,
    )


def has_terms(message: messages.PartsRequest) -> bool:
    """Returns whether a request states terms; earlier builds state none."""
    return bool(message.max_attempts)


def decode_request(message: messages.PartsRequest) -> _call.CallerRequest:
    """Returns the caller's request."""
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
        account=message.account or "",
    )


def decode_route(message: messages.PartsRequest) -> routing.Route:
    """Returns a route with the shards and the terms of a request."""
    return routing.Route(
        name=message.route or "",
        host=message.host,
        prefix=message.path,
        idempotent=True,
        max_attempts=message.max_attempts or 0,
        timeout_ms=message.timeout_ms or 0.0,
        latency_goal_ms=message.latency_goal_ms or 0.0,
        priority=message.priority or 0,
        shards=tuple(message.shards),
        top_k=message.top_k or 0,
        version=message.version,
    )


def decline(
    reason: str,
    *,
    ran: bool,
    tried: list[list[str]] | None = None,
    ended: list[str] | None = None,
    routes_differ: bool = False,
) -> messages.PartsReply:
    """Returns a reply without parts.

    Args:
        reason: One sentence for logs.
        ran: The shards may have been called.
        tried: Endpoints that may have run the request, by shard.
        ended: Endpoints that ended while they ran it, with their starts.
        routes_differ: The routes of this node lack some of the shards.
    """
    return messages.PartsReply(
        declined=reason,
        ran=ran,
        answered=[],
        signatures=[],
        records=b"",
        tried=tried or [],
        ended=ended or [],
        routes_differ=routes_differ,
    )


def encode_reply(
    outcome: _result.ForwardResult,
    shard_outcomes: Sequence[_shard.ShardOutcome],
) -> messages.PartsReply:
    """Returns the reply for the outcome of a search of the shards."""
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
        return decline(outcome.detail, ran=ran, tried=tried, ended=ended)
    return decline("the route is not a search", ran=True)


def decode_reply(group: ShardGroup, outcome: Any) -> GroupReply:
    """Returns what another node replied about a group of shards."""
    if isinstance(outcome, result.Err):
        failure = outcome.err_value
        return GroupReply({}, b"", failure.detail, failure.sent)
    reply = outcome.ok_value
    if not isinstance(reply, messages.PartsReply):
        return GroupReply({}, b"", "the reply has an unexpected type")
    tried = {
        shard: frozenset(endpoints)
        for shard, endpoints in zip(group.shards, reply.tried, strict=False)
    }
    ended = frozenset(reply.ended or ())
    if reply.declined:
        return GroupReply(
            {},
            b"",
            reply.declined,
            reply.ran,
            tried=tried,
            ended=ended,
            routes_differ=bool(reply.routes_differ),
        )
    valid = range(len(group.shards))
    signatures = {
        group.shards[position]: signature
        for position, signature in zip(
            reply.answered, reply.signatures, strict=False
        )
        if position in valid
    }
    return GroupReply(signatures, reply.records, tried=tried, ended=ended)
