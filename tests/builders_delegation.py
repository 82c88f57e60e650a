"""Builders of two nodes, one of which calls shards for the other."""

from collections.abc import Sequence
import random
from typing import Any

import trio

from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import routing
from geraniumstair._generated import messages
from tests import builders_gateway as builders


class NodeState:
    """Routes in force and readiness of one node."""

    def __init__(self, table: routing.RouteTable) -> None:
        self.table: routing.RouteTable | None = table
        self.stopping = False


class TwoNodeSite:
    """Node n1 (`local`) in zone a and node n2 (`remote`) in zone b.

    Six of the eight shards have endpoints in zone b only.
    """

    def __init__(
        self, nursery: trio.Nursery, copies: str = "xy", **route: object
    ) -> None:
        names = [f"s{i}" for i in range(8)]
        self.route = builders.search_route(names, top_k=8, **route)
        entries: list[discovery.EndpointEntry] = []
        for i, name in enumerate(names):
            for copy in copies:
                zone = "a" if i < 2 else "b"
                entries.append(
                    builders.endpoint_entry(
                        f"{copy}{i}", service=name, availability_zone=zone
                    )
                )
        self.local = builders.ForwarderFixture(nursery, entries, [self.route])
        self.remote = builders.ForwarderFixture(nursery, entries, [self.route])
        self.networks: dict[str, builders.FakeNetwork] = {}
        self.local_network = builders.DirectNetwork("n1", self.networks)
        self.remote_network = builders.DirectNetwork("n2", self.networks)
        self.remote_node = NodeState(builders.table([self.route]))
        self.delegation = forward.Delegation(
            "n1",
            "a",
            self.local.pool,
            self.local_network,
            random.Random(1),
        )
        self.delegation.set_nodes(builders.node_infos(n1="a", n2="b"))
        self.forwarder = forward.Forwarder(
            self.local.pool,
            self.local.budget,
            builders.FakeDialect(),
            self.local.metrics,
            self.delegation,
        )
        forward.PartsServer(
            self.remote_network,
            self.remote_node,
            self.remote.forwarder,
            self.remote_node,
        )
        for i in range(8):
            for fixture in (self.local, self.remote):
                for copy in copies:
                    fixture.site.behaviour(
                        f"{copy}{i}"
                    ).reply = builders.endpoint_reply(
                        b"%d" % i * 16, signature=b"p%d" % i
                    )

    async def search(self) -> forward.ForwardResult:
        """Runs one search at node n1."""
        return await self.forwarder.forward(
            builders.caller_request(), self.route
        )


def parts_request(
    shards: Sequence[str], **changes: Any
) -> messages.PartsRequest:
    """Returns another node's request for the parts of some shards."""
    fields: dict[str, Any] = {
        "parts_id": 7,
        "version": 1,
        "shards": list(shards),
        "elapsed_ms": 0.0,
        "remaining_ms": 1000.0,
        "request_id": b"q1",
        "method": b"GET",
        "target": b"/p/x",
        "host": "h.example",
        "path": "/p/x",
        "fields": [],
        "body": b"",
        "has_body": False,
        "route": "r1",
        "max_attempts": 2,
        "timeout_ms": 1000.0,
        "latency_goal_ms": 200.0,
        "priority": 1.0,
        "top_k": 8,
    }
    return messages.PartsRequest(**(fields | changes))
