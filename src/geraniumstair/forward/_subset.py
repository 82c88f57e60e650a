"""Divides the connections that endpoints accept among the nodes.

With many nodes, an endpoint does not have enough connections for all of them.
"""

from collections.abc import Sequence

import xxhash

from geraniumstair import discovery
from geraniumstair.forward import _pool_settings
from geraniumstair.forward import _replica

# Share of an endpoint's connections that the nodes divide among themselves. The
# rest is for nodes that have just joined and connections that are being closed.
CONNECTIONS_USED_SHARE = 0.8
MAX_LINKS = 6
# Least number of endpoints of a service that a node of a large site uses. With
# few endpoints, each connection carries enough calls to stay open.
MIN_SUBSET_SIZE = 2


def compute_max_links(max_connections: int, node_count: int) -> int:
    """Returns how many connections to an endpoint a node may hold.

    Args:
        max_connections: Connections that the endpoint accepts.
        node_count: Number of nodes that call it.
    """
    share = CONNECTIONS_USED_SHARE * max_connections
    return max(1, min(MAX_LINKS, int(share / node_count)))


def may_keep_links(max_connections: int, node_count: int) -> bool:
    """Returns whether each node may keep idle connections to an endpoint.

    If more nodes call an endpoint than it accepts connections, idle ones would
    make it reset connections that carry calls.
    """
    return node_count <= CONNECTIONS_USED_SHARE * max_connections


def choose_subset(
    settings: _pool_settings.PoolSettings,
    replicas: list[_replica.Replica],
    max_connections: int,
    node_count: int,
) -> list[_replica.Replica]:
    """Returns the endpoints of a service that a node uses.

    With many nodes, each uses the first endpoints of its own ranking: those in
    its availability zone, then the others, each ordered by a hash.

    Args:
        settings: Identity and location of the node.
        replicas: All endpoints of the service.
        max_connections: Connections that each of them accepts.
        node_count: Number of nodes that call the service.
    """
    limit = max_connections * CONNECTIONS_USED_SHARE
    if node_count <= limit or len(replicas) <= MIN_SUBSET_SIZE:
        return replicas
    size = max(MIN_SUBSET_SIZE, int(len(replicas) * limit / node_count))
    subset = set(_rank_ready(settings, replicas)[:size])
    return [r for r in replicas if r in subset] or replicas


def _rank_ready(
    settings: _pool_settings.PoolSettings, replicas: Sequence[_replica.Replica]
) -> list[_replica.Replica]:
    ready = [
        r for r in replicas if r.entry.state is discovery.EndpointState.READY
    ]
    ready.sort(
        key=lambda r: (
            r.entry.availability_zone != settings.availability_zone,
            xxhash.xxh64_intdigest(
                f"{settings.node_id}/{r.entry.endpoint_id}".encode()
            ),
        )
    )
    return ready
