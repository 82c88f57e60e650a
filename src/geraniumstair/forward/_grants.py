"""Requests that one node gives up to another from its part of a limit.

A limit that an endpoint states is divided among a few nodes, see `_rates`. The
callers of all other nodes would be refused although the limit has room. A node
whose part is used up therefore asks nodes with a full part for single requests.
Each granted request counts in the part of the node that grants it, so the sum
does not change, and a lost reply leaves a request unused.

The node that sends a granted request also gets the endpoint's answer. It tells
the nodes with a full part if the answer states another limit.
"""

from collections.abc import Set
import random
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import _struct
from geraniumstair import peers
from geraniumstair._generated import messages
from geraniumstair.forward import _endpoints
from geraniumstair.forward import _replica

# Time after which a request is refused although a node has not replied, and its
# greatest share of the latency goal.
GRANT_TIMEOUT_S = 0.05
GRANT_GOAL_SHARE = 0.2
# Nodes that are asked for one request.
MAX_ASKED_NODES = 3
# Time for which a node is not asked again about an endpoint that it does not
# know.
UNKNOWN_ENDPOINT_WAIT_S = 1.0
# A limit that differs less from the last reported one is reported only after
# the interval.
MIN_REPORTED_CHANGE = 0.1
REPORT_INTERVAL_S = 0.5
# Value of messages for an endpoint that states no limit.
_UNLIMITED_PER_S = -1.0


class Network(Protocol):
    """The part of the peer network that grants use."""

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a stream is open and the peer answers on it."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> result.Result[Any, Any]:
        """Sends a request and returns the reply."""
        ...

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


class LimitGrants:
    """Asks other nodes for requests, and gives up requests to them.

    Args:
        node_id: This node.
        pool: The endpoints.
        network: Streams to peers.
        rng: Spreads the questions over the nodes.
    """

    def __init__(
        self,
        node_id: str,
        pool: _endpoints.EndpointPool,
        network: Network,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._pool = pool
        self._network = network
        self._rng = rng
        # By endpoint and node, when the node can grant a request again.
        self._empty_until_s: dict[tuple[str, str], float] = {}
        # By endpoint, the last reported limit and when it was reported.
        self._reported: dict[str, tuple[float, float]] = {}
        network.register_handler(messages.GrantRequest, self._on_request)
        network.register_handler(messages.LimitReport, self._on_report)
        pool.set_limit_listener(self._report)

    async def request(
        self, service: str, latency_goal_ms: float
    ) -> _replica.Replica | None:
        """Returns an endpoint that may get one request; None without a grant.

        Args:
            service: A service whose endpoints are all at their limits.
            latency_goal_ms: Latency goal of the request.
        """
        timeout_s = min(
            GRANT_TIMEOUT_S, GRANT_GOAL_SHARE * latency_goal_ms / 1000
        )
        with trio.move_on_after(timeout_s):
            for replica, node_id in self._choose_questions(service):
                granted = await self._ask(replica, node_id)
                if granted and self._pool.use_grant(replica):
                    return replica
        return None

    def _choose_questions(
        self, service: str
    ) -> list[tuple[_replica.Replica, str]]:
        now_s = trio.current_time()
        self._empty_until_s = {
            key: at_s
            for key, at_s in self._empty_until_s.items()
            if at_s > now_s
        }
        questions = [
            (replica, node_id)
            for replica, full_nodes in self._pool.find_limited(service)
            for node_id in sorted(full_nodes)
            if node_id != self._node_id
            and (replica.entry.endpoint_id, node_id) not in self._empty_until_s
            and self._network.is_responsive(node_id)
        ]
        self._rng.shuffle(questions)
        return questions[:MAX_ASKED_NODES]

    async def _ask(self, replica: _replica.Replica, node_id: str) -> bool:
        outcome = await self._network.call(
            node_id,
            messages.GrantRequest(report=_build_report(replica)),
            GRANT_TIMEOUT_S * 1000,
        )
        reply = getattr(outcome, "ok_value", None)
        if not isinstance(reply, messages.GrantReply):
            return False
        self._observe(reply.report)
        if not reply.granted:
            key = (replica.entry.endpoint_id, node_id)
            wait_s = reply.wait_ms / 1000
            self._empty_until_s[key] = trio.current_time() + wait_s
        return reply.granted

    async def _on_request(
        self, sender: str, message: messages.GrantRequest
    ) -> messages.GrantReply:
        replica = self._observe(message.report)
        if replica is None:
            wait_ms = UNKNOWN_ENDPOINT_WAIT_S * 1000
            return messages.GrantReply(
                granted=False, wait_ms=wait_ms, report=message.report
            )
        wait_s = self._pool.grant(replica)
        return messages.GrantReply(
            granted=not wait_s,
            wait_ms=wait_s * 1000,
            report=_build_report(replica),
        )

    def _report(self, replica: _replica.Replica, nodes: Set[str]) -> None:
        """Tells nodes what an endpoint has stated to this node."""
        report = _build_report(replica)
        limit_per_s = report.limit_per_s
        now_s = trio.current_time()
        known = self._reported.get(report.endpoint)
        if known is not None and limit_per_s != _UNLIMITED_PER_S:
            change = abs(limit_per_s - known[0])
            is_small = change < MIN_REPORTED_CHANGE * known[0]
            if is_small and now_s < known[1] + REPORT_INTERVAL_S:
                return
        if limit_per_s == _UNLIMITED_PER_S:
            self._reported.pop(report.endpoint, None)
        else:
            self._reported[report.endpoint] = (limit_per_s, now_s)
        for node_id in nodes:
            if node_id != self._node_id:
                self._network.send(node_id, report)

    async def _on_report(
        self, sender: str, message: messages.LimitReport
    ) -> None:
        self._observe(message)

    def _observe(self, report: messages.LimitReport) -> _replica.Replica | None:
        """Applies a report; returns its endpoint, or None if it is unknown."""
        replica = self._pool.find_replica(report.endpoint)
        if replica is not None:
            limited = report.limit_per_s >= 0
            replica.observe_rate_limit(
                report.limit_per_s if limited else None,
                trio.current_time() - report.age_ms / 1000,
            )
        return replica


def _build_report(replica: _replica.Replica) -> messages.LimitReport:
    limit_per_s = replica.rate_limit_per_s
    age_s = trio.current_time() - replica.rate_statement.observed_s
    return messages.LimitReport(
        endpoint=replica.entry.endpoint_id,
        limit_per_s=_UNLIMITED_PER_S if limit_per_s is None else limit_per_s,
        age_ms=age_s * 1000,
    )
