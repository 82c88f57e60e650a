"""This node's part of a request rate that all nodes share.

Cold endpoints, and endpoints that state a limit, accept a number of requests a
second from all nodes together. The nodes exchange no messages about it. Each
one computes the same parts from the same members, so the sum holds whichever
nodes run, and a node that is cut off keeps to its part.

Only as many nodes as the rate allows one request a second each get a full part.
A part below that would be saved up by many nodes, and used by all of them at
once when more callers arrive.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import xxhash

from geraniumstair import discovery
from geraniumstair.forward import _delegation_nodes

# Least request rate of a node with a full part.
MIN_NODE_RATE_PER_S = 1.0
# Tokens that a node can save, as the time in which it gains them.
BURST_S = 0.25
# Share of a stated limit for the nodes without a full part. Their calls show
# them when the limit ends.
OTHER_NODES_SHARE = 0.2
# A node in the availability zone of an endpoint gets this many times the part
# of a node in another zone, which prefers other endpoints.
SAME_ZONE_WEIGHT = 4.0
# Rate that is assumed if an endpoint states less; without calls, no node would
# see the limit end.
MIN_LIMIT_PER_S = 0.25


class TokenBucket:
    """Limits the rate of this node's requests to one endpoint.

    Args:
        per_s: Requests a second.
        since_s: When tokens are gained first, on a monotonic clock.
        tokens: Requests that may be sent at that time.
    """

    def __init__(self, per_s: float, since_s: float, tokens: float) -> None:
        self._per_s = per_s
        self._tokens = tokens
        self._refilled_at_s = since_s

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Changes the rate; tokens that were gained before are kept."""
        self._refill(now_s)
        self._per_s = per_s

    def has_token(self, now_s: float) -> bool:
        """Returns whether a request may be sent."""
        self._refill(now_s)
        return self._tokens >= 1

    def consume(self) -> None:
        """Records a request."""
        self._tokens -= 1

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent; infinite for never."""
        self._refill(now_s)
        missing = 1 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self._per_s if self._per_s > 0 else math.inf

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._refilled_at_s) * self._per_s
        self._refilled_at_s = now_s
        capacity = max(1.0, self._per_s * BURST_S)
        self._tokens = min(capacity, self._tokens + gained)


def compute_cold_rate_per_s(
    node_id: str, endpoint_id: str, usable_per_s: float, nodes: Collection[str]
) -> float:
    """Returns this node's part of the rate of a cold endpoint; may be 0.

    Args:
        node_id: This node.
        endpoint_id: The endpoint.
        usable_per_s: Requests a second of all nodes together.
        nodes: All nodes that may call the endpoint.
    """
    ranked = sorted(nodes, key=lambda n: _hash(endpoint_id, n))
    full = ranked[: _count_full_parts(usable_per_s)]
    return usable_per_s / len(full) if node_id in full else 0.0


def compute_limited_rate_per_s(
    node_id: str,
    endpoint_id: str,
    availability_zone: str,
    limit_per_s: float,
    nodes: Mapping[str, _delegation_nodes.NodeInfo],
    callers: Collection[str],
) -> float:
    """Returns this node's part of the limit that an endpoint states.

    Args:
        node_id: This node, one of `nodes`.
        endpoint_id: The endpoint.
        availability_zone: Availability zone of the endpoint.
        limit_per_s: Requests a second of all nodes together.
        nodes: All nodes of the site.
        callers: The nodes that usually call the endpoint.
    """
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)

    def is_in_zone(name: str) -> bool:
        return nodes[name].availability_zone == availability_zone

    ranked = sorted(
        nodes,
        key=lambda n: (
            n not in callers,
            not is_in_zone(n),
            _hash(endpoint_id, n),
        ),
    )
    full = ranked[: _count_full_parts(limit_per_s)]
    other_count = len(ranked) - len(full)
    if node_id not in full:
        return limit_per_s * OTHER_NODES_SHARE / other_count
    weights = {n: SAME_ZONE_WEIGHT if is_in_zone(n) else 1.0 for n in full}
    share = 1.0 - OTHER_NODES_SHARE if other_count else 1.0
    return limit_per_s * share * weights[node_id] / sum(weights.values())


class StatedLimits:
    """This node's token buckets for the endpoints that state a limit.

    Args:
        node_id: This node.
        nodes: All nodes of the site, this one included.
    """

    def __init__(
        self, node_id: str, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        self._node_id = node_id
        self._nodes = nodes
        self._delegation_nodes: frozenset[str] = frozenset()
        self._buckets: dict[str, tuple[float, TokenBucket]] = {}

    def set_nodes(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        """Sets the nodes that share the limits, this one included."""
        self._nodes = nodes
        selected = _delegation_nodes.select_delegation_nodes(nodes)
        self._delegation_nodes = frozenset(
            node_id for node_ids in selected.values() for node_id in node_ids
        )
        # The rates are computed again when they are needed.
        self._buckets = {
            endpoint_id: (-1.0, bucket)
            for endpoint_id, (_, bucket) in self._buckets.items()
        }

    def find_bucket(
        self,
        entry: discovery.EndpointEntry,
        limit_per_s: float | None,
        limited_since_s: float,
        now_s: float,
        *,
        grouped: bool,
    ) -> TokenBucket | None:
        """Returns the bucket of an endpoint; None if it states no limit.

        Args:
            entry: The endpoint.
            limit_per_s: The limit that it states.
            limited_since_s: When this node first saw a limit.
            now_s: Present time, on a monotonic clock.
            grouped: Only nodes that call shards for others call it.
        """
        endpoint_id = entry.endpoint_id
        if limit_per_s is None:
            self._buckets.pop(endpoint_id, None)
            return None
        known = self._buckets.get(endpoint_id)
        if known is not None and known[0] == limit_per_s:
            return known[1]
        rate_per_s = compute_limited_rate_per_s(
            self._node_id,
            endpoint_id,
            entry.availability_zone,
            limit_per_s,
            self._nodes,
            self._delegation_nodes if grouped else self._nodes,
        )
        if known is None:
            # All nodes see a limit at about the same time, so none of them
            # starts with a token.
            bucket = TokenBucket(rate_per_s, limited_since_s, 0.0)
        else:
            bucket = known[1]
            bucket.set_rate(rate_per_s, now_s)
        self._buckets[endpoint_id] = (limit_per_s, bucket)
        return bucket

    def forget_unknown(self, known_ids: Collection[str]) -> None:
        """Drops the buckets of endpoints that do not exist any more."""
        for endpoint_id in self._buckets.keys() - set(known_ids):
            del self._buckets[endpoint_id]


def _count_full_parts(per_s: float) -> int:
    return max(1, int(per_s / MIN_NODE_RATE_PER_S))


def _hash(endpoint_id: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{node_id}".encode())
