"""This node's part of a request rate that all nodes share.

Cold endpoints, and endpoints that state a limit, accept a number of requests a
second from all nodes together. Each node computes the same parts from the same
members, so the sum holds whichever nodes run, and a node that is cut off keeps
to its part. Nodes may use requests of each other's parts, see `_grants`.

Only a number of nodes in proportion to the rate get a full part. Small parts
would be saved up by many nodes, and used by all of them at once when more
callers arrive.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import math
import random
from typing import Protocol

import xxhash

from geraniumstair import discovery
from geraniumstair.forward import _delegation_nodes

# Nodes with a full part of a rate, as a number for each request a second and a
# number besides. Each of them can save one token.
FULL_PARTS_PER_RATE = 0.5
MIN_FULL_PARTS = 3
# Tokens that a node can save, as the time in which it gains them.
BURST_S = 0.25
# Share of a stated limit for the nodes without a full part. Their calls show
# them when the limit ends.
OTHER_NODES_SHARE = 0.1
# Time in which such a node may send one request, before it waits again.
PROBE_WINDOW_S = 1.0
# A node in the availability zone of an endpoint gets this many times the part
# of a node in another zone, which prefers other endpoints.
SAME_ZONE_WEIGHT = 4.0
# Rate that is assumed if an endpoint states less; without calls, no node would
# see the limit end.
MIN_LIMIT_PER_S = 0.25


class RateLimit(Protocol):
    """Limits the rate of this node's requests to one endpoint.

    Attributes:
        per_s: Requests a second.
    """

    per_s: float

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Changes the rate."""

    def has_token(self, now_s: float) -> bool:
        """Returns whether a request may be sent."""
        ...

    def consume(self, now_s: float) -> None:
        """Records a request."""

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent; infinite for never."""
        ...


class TokenBucket:
    """A rate limit whose unused requests may be sent a little later.

    Args:
        per_s: Requests a second.
        since_s: When tokens are gained first, on a monotonic clock.
        tokens: Requests that may be sent at that time.
    """

    def __init__(self, per_s: float, since_s: float, tokens: float) -> None:
        self.per_s = per_s
        self._tokens = tokens
        self._refilled_at_s = since_s

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Changes the rate; tokens that were gained before are kept."""
        self._refill(now_s)
        self.per_s = per_s

    def has_token(self, now_s: float) -> bool:
        """Returns whether a request may be sent."""
        self._refill(now_s)
        return self._tokens >= 1

    def consume(self, now_s: float) -> None:
        """Records a request."""
        self._refill(now_s)
        self._tokens -= 1

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent; infinite for never."""
        self._refill(now_s)
        missing = 1 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.per_s if self.per_s > 0 else math.inf

    def _refill(self, now_s: float) -> None:
        gained = (now_s - self._refilled_at_s) * self.per_s
        self._refilled_at_s = now_s
        capacity = max(1.0, self.per_s * BURST_S)
        self._tokens = min(capacity, self._tokens + gained)


class ProbeWindows:
    """A rate limit that allows single requests at random times.

    A window that passes without a request is lost. So many nodes without
    requests do not save them up for the same moment.

    Args:
        per_s: Windows a second; more than 0.
        since_s: When the wait for the first window starts, on a monotonic
            clock.
        rng: Chooses the times.
    """

    def __init__(
        self, per_s: float, since_s: float, rng: random.Random
    ) -> None:
        self.per_s = per_s
        self._rng = rng
        self._opens_at_s = since_s + rng.expovariate(per_s)

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Changes the rate."""
        self.per_s = per_s
        if not self.has_token(now_s):
            self._opens_at_s = now_s + self._rng.expovariate(per_s)

    def has_token(self, now_s: float) -> bool:
        """Returns whether a request may be sent."""
        self._skip_passed_windows(now_s)
        return now_s >= self._opens_at_s

    def consume(self, now_s: float) -> None:
        """Records a request."""
        self._opens_at_s = now_s + self._rng.expovariate(self.per_s)

    def wait_s(self, now_s: float) -> float:
        """Returns the time until a request may be sent."""
        self._skip_passed_windows(now_s)
        return max(0.0, self._opens_at_s - now_s)

    def _skip_passed_windows(self, now_s: float) -> None:
        while now_s >= self._opens_at_s + PROBE_WINDOW_S:
            self._opens_at_s += PROBE_WINDOW_S
            self._opens_at_s += self._rng.expovariate(self.per_s)


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


@dataclasses.dataclass(frozen=True, slots=True)
class LimitParts:
    """The parts of the limit that an endpoint states.

    Attributes:
        full: Rates of the nodes that may save up requests, in requests a
            second.
        other_per_s: Rate of each other node, which only probes the endpoint.
    """

    full: Mapping[str, float]
    other_per_s: float


def divide_limit(
    endpoint_id: str,
    availability_zone: str,
    limit_per_s: float,
    nodes: Mapping[str, _delegation_nodes.NodeInfo],
    callers: Collection[str],
) -> LimitParts:
    """Divides the limit that an endpoint states among the nodes.

    Args:
        endpoint_id: The endpoint.
        availability_zone: Availability zone of the endpoint.
        limit_per_s: Requests a second of all nodes together.
        nodes: All nodes of the site.
        callers: The nodes that call shards for others. All nodes keep streams
            to some of them.
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
    share = 1.0 - OTHER_NODES_SHARE if other_count else 1.0
    weights = {n: SAME_ZONE_WEIGHT if is_in_zone(n) else 1.0 for n in full}
    weight_per_s = limit_per_s * share / sum(weights.values())
    return LimitParts(
        {n: weight * weight_per_s for n, weight in weights.items()},
        limit_per_s * OTHER_NODES_SHARE / max(1, other_count),
    )


@dataclasses.dataclass(slots=True)
class _Limited:
    """An endpoint that states a limit.

    Attributes:
        stated_per_s: The limit for which the parts were computed; None if the
            nodes have changed since.
        parts: The parts of all nodes.
        limit: Limits this node's requests to its part.
    """

    stated_per_s: float | None
    parts: LimitParts
    limit: RateLimit


class StatedLimits:
    """This node's rate limits for the endpoints that state a limit.

    Args:
        node_id: This node.
        nodes: All nodes of the site, this one included.
        rng: Chooses when a node without a full part sends a request.
    """

    def __init__(
        self,
        node_id: str,
        nodes: Mapping[str, _delegation_nodes.NodeInfo],
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._nodes = nodes
        self._rng = rng
        self._delegation_nodes: frozenset[str] = frozenset()
        self._limited: dict[str, _Limited] = {}

    def set_nodes(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo]
    ) -> None:
        """Sets the nodes that share the limits, this one included."""
        self._nodes = nodes
        selected = _delegation_nodes.select_delegation_nodes(nodes)
        self._delegation_nodes = frozenset(
            node_id for node_ids in selected.values() for node_id in node_ids
        )
        # The parts are computed again when they are needed.
        for limited in self._limited.values():
            limited.stated_per_s = None

    def find_limit(
        self,
        entry: discovery.EndpointEntry,
        limit_per_s: float | None,
        limited_since_s: float,
        now_s: float,
    ) -> RateLimit | None:
        """Returns the rate limit for an endpoint; None if it states none.

        Args:
            entry: The endpoint.
            limit_per_s: The limit that it states.
            limited_since_s: When this node first saw a limit.
            now_s: Present time, on a monotonic clock.
        """
        endpoint_id = entry.endpoint_id
        if limit_per_s is None:
            self._limited.pop(endpoint_id, None)
            return None
        known = self._limited.get(endpoint_id)
        if known is not None and known.stated_per_s == limit_per_s:
            return known.limit
        parts = self.divide(entry, limit_per_s)
        limit = self._build_limit(known, parts, limited_since_s, now_s)
        self._limited[endpoint_id] = _Limited(limit_per_s, parts, limit)
        return limit

    def _build_limit(
        self,
        known: _Limited | None,
        parts: LimitParts,
        limited_since_s: float,
        now_s: float,
    ) -> RateLimit:
        node_id = self._node_id
        per_s = parts.full.get(node_id, parts.other_per_s)
        if known is not None:
            if (node_id in known.parts.full) == (node_id in parts.full):
                known.limit.set_rate(per_s, now_s)
                return known.limit
            limited_since_s = now_s
        if node_id in parts.full:
            # All nodes see a limit at about the same time, so none of them
            # starts with a token.
            return TokenBucket(per_s, limited_since_s, 0.0)
        return ProbeWindows(per_s, limited_since_s, self._rng)

    def divide(
        self, entry: discovery.EndpointEntry, limit_per_s: float
    ) -> LimitParts:
        """Returns the parts of a limit that an endpoint states."""
        known = self._limited.get(entry.endpoint_id)
        if known is not None and known.stated_per_s == limit_per_s:
            return known.parts
        return divide_limit(
            entry.endpoint_id,
            entry.availability_zone,
            limit_per_s,
            self._nodes,
            self._delegation_nodes,
        )

    def forget_unknown(self, known_ids: Collection[str]) -> None:
        """Drops the limits of endpoints that do not exist any more."""
        for endpoint_id in self._limited.keys() - set(known_ids):
            del self._limited[endpoint_id]


def _count_full_parts(per_s: float) -> int:
    return int(per_s * FULL_PARTS_PER_RATE) + MIN_FULL_PARTS


def _hash(endpoint_id: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{node_id}".encode())
