"""Selects the nodes that call shards on behalf of other nodes.

All nodes compute the same selection from the same registrations, so the
connections of the selected nodes stay in use.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import math

import xxhash

# Processor time that the selected nodes of a zone have together, in cores. The
# calls of several hundred searches a second share it.
CORES_PER_ZONE = 6.0
# Limits on the number of selected nodes of a zone. With three, a zone keeps one
# if two are lost at once.
MIN_NODES_PER_ZONE = 3
MAX_NODES_PER_ZONE = 12
# Selected nodes of a zone that are called from other zones. Every node of the
# site keeps streams to them.
INTER_ZONE_NODES = 3
# Shards of a large search that form one block.
BLOCK_SHARDS = 10
# How much more often the first node of the ranking for a block is asked than
# the next one and those that other zones ask.
FIRST_NODE_WEIGHT = 4.0
_HASH_RANGE = 2.0**64
_MIN_CORES = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class NodeInfo:
    """What other nodes know about a node.

    Attributes:
        availability_zone: Availability zone of the node; empty if unknown.
        processor_cores: Processor time that the node may use, in cores.
    """

    availability_zone: str
    processor_cores: float = 1.0


def select_delegation_nodes(
    nodes: Mapping[str, NodeInfo],
) -> dict[str, list[str]]:
    """Returns the nodes that call shards for other nodes, by zone.

    The nodes with the most processor time come first. One of them sends the
    calls of a large group in a fraction of the time that a small node takes.

    Args:
        nodes: All nodes of the site by their ids.
    """
    by_zone: dict[str, list[str]] = {}
    for node_id, info in nodes.items():
        if info.availability_zone:
            by_zone.setdefault(info.availability_zone, []).append(node_id)
    return {
        zone: _select_largest(node_ids, nodes)
        for zone, node_ids in by_zone.items()
    }


def _select_largest(
    node_ids: Sequence[str], nodes: Mapping[str, NodeInfo]
) -> list[str]:
    ranked = sorted(
        node_ids, key=lambda n: (-nodes[n].processor_cores, _hash("group", n))
    )
    selected: list[str] = []
    cores = 0.0
    for node_id in ranked[:MAX_NODES_PER_ZONE]:
        if len(selected) >= MIN_NODES_PER_ZONE and cores >= CORES_PER_ZONE:
            break
        selected.append(node_id)
        cores += nodes[node_id].processor_cores
    return selected


def select_inter_zone_nodes(
    nodes: Mapping[str, NodeInfo],
) -> dict[str, list[str]]:
    """Returns the nodes that nodes of other zones call, by zone."""
    return _limit_to_inter_zone(select_delegation_nodes(nodes))


def select_callable_nodes(
    own_zone: str, nodes: Mapping[str, NodeInfo]
) -> dict[str, list[str]]:
    """Returns the nodes that a node of a zone may ask for shards, by zone."""
    selected = select_delegation_nodes(nodes)
    callable_nodes = _limit_to_inter_zone(selected)
    if own_zone in selected:
        callable_nodes[own_zone] = selected[own_zone]
    return callable_nodes


def _limit_to_inter_zone(
    selected: Mapping[str, list[str]],
) -> dict[str, list[str]]:
    return {
        zone: node_ids[:INTER_ZONE_NODES] for zone, node_ids in selected.items()
    }


def select_delegation_peers(
    own_zone: str, nodes: Mapping[str, NodeInfo]
) -> frozenset[str]:
    """Returns the nodes to which a node of a zone keeps streams for its calls.

    Args:
        own_zone: Availability zone of the node.
        nodes: All nodes of the site by their ids.
    """
    by_zone = select_callable_nodes(own_zone, nodes)
    return frozenset(n for node_ids in by_zone.values() for n in node_ids)


def split_into_blocks(shards: Sequence[str]) -> list[Sequence[str]]:
    """Returns the shards of a large search that the same node calls.

    The first shard of a block is the key by which all nodes select that node.
    """
    return [
        shards[start : start + BLOCK_SHARDS]
        for start in range(0, len(shards), BLOCK_SHARDS)
    ]


def find_block_keys(
    searches: Iterable[Sequence[str]],
) -> dict[str, frozenset[str]]:
    """Returns the keys of the blocks that contain each shard.

    Args:
        searches: The shards of each large search.
    """
    keys: dict[str, set[str]] = {}
    for shards in searches:
        for block in split_into_blocks(shards):
            for shard in block:
                keys.setdefault(shard, set()).add(block[0])
    return {shard: frozenset(found) for shard, found in keys.items()}


def weigh_group_callers(
    selected: Mapping[str, Sequence[str]],
    keys: Set[str],
    nodes: Mapping[str, NodeInfo],
) -> dict[str, float]:
    """Returns the nodes that are asked for a shard, and how often, relatively.

    Args:
        selected: The nodes that call shards for others, in the zones of the
            shard's endpoints.
        keys: Keys of the blocks that contain the shard.
        nodes: What is known about these nodes.
    """
    weights: dict[str, float] = {}

    def add(node_ids: Sequence[str], weight: float) -> None:
        for node_id in node_ids:
            weights[node_id] = weights.get(node_id, 0.0) + weight

    for node_ids in selected.values():
        known = [n for n in node_ids if n in nodes]
        add(known[:INTER_ZONE_NODES], 1.0)
        for key in keys:
            ranked = rank_by_weight(known, key, nodes)
            add(ranked[:1], FIRST_NODE_WEIGHT)
            # Asked while the first one does not answer.
            add(ranked[1:2], 1.0)
    return weights


def rank_by_weight(
    node_ids: Sequence[str], key: str, nodes: Mapping[str, NodeInfo]
) -> list[str]:
    """Ranks nodes for a key; each comes first in proportion to its cores.

    This is weighted rendezvous hashing: if a node is added or removed, only the
    keys for which it comes first move.
    """

    def compute_score(node_id: str) -> float:
        uniform = (_hash(key, node_id) + 0.5) / _HASH_RANGE
        cores = max(_MIN_CORES, nodes[node_id].processor_cores)
        return -math.log(uniform) / cores

    return sorted(node_ids, key=compute_score)


def _hash(key: str, node_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}/{node_id}".encode())
