"""Builders of test data for tests of the endpoint stand-in."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import trio
import trio.testing

from standins import endpoint


def build_model(**fields: Any) -> endpoint.EndpointModel:
    """Returns a model without stragglers; `fields` override settings."""
    fields = {"name": "e1", "straggler_pct": 0.0} | fields
    return endpoint.EndpointModel(endpoint.EndpointSettings(**fields))


def build_request(request_id: str = "r1", **fields: Any) -> endpoint.Request:
    """Returns a request on route `q` for snapshot 1."""
    values: dict[str, Any] = {
        "route": "q",
        "snapshot": 1,
        "deadline_ms": 1000.0,
        "query": "oak",
    }
    return endpoint.Request(request_id=request_id, **(values | fields))


async def serve_all(
    model: endpoint.EndpointModel, requests: list[endpoint.Request]
) -> list[endpoint.Reply]:
    """Serves requests concurrently; returns replies in request order."""
    replies: dict[str, endpoint.Reply] = {}

    async def serve_one(request: endpoint.Request) -> None:
        replies[request.request_id] = await model.serve(request)

    async with trio.open_nursery() as nursery:
        for request in requests:
            nursery.start_soon(serve_one, request)
    return [replies[request.request_id] for request in requests]


def run_virtual(function: Callable[[], Awaitable[None]]) -> None:
    """Runs a test on a virtual clock that jumps when all tasks wait."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(function, clock=clock)
