"""Tests of the selection of nodes that call shards for others."""

import collections
import unittest

from geraniumstair import forward
from geraniumstair.forward import _delegation_nodes


def _large_site() -> dict[str, forward.NodeInfo]:
    """Returns five zones of three large and 36 small nodes each."""
    nodes = {}
    for zone in "abcde":
        for i in range(39):
            cores = 2.15 if i < 3 else 0.5
            nodes[f"{zone}{i}"] = forward.NodeInfo(zone, cores)
    return nodes


class DelegationNodesTest(unittest.TestCase):
    """Guards against streams that grow with the site, and slow group nodes."""

    def test_the_large_nodes_of_each_zone_are_selected(self) -> None:
        selected = _delegation_nodes.select_delegation_nodes(_large_site())
        self.assertEqual(set(selected), set("abcde"))
        for zone, node_ids in selected.items():
            self.assertEqual(set(node_ids), {f"{zone}{i}" for i in range(3)})

    def test_equal_small_nodes_share_the_work(self) -> None:
        nodes = {f"n{i}": forward.NodeInfo("a", 0.5) for i in range(100)}
        selected = _delegation_nodes.select_delegation_nodes(nodes)["a"]
        self.assertEqual(len(selected), _delegation_nodes.MAX_NODES_PER_ZONE)

    def test_a_lost_large_node_is_replaced_by_others(self) -> None:
        nodes = _large_site()
        del nodes["a0"]
        selected = _delegation_nodes.select_delegation_nodes(nodes)["a"]
        self.assertEqual(set(selected[:2]), {"a1", "a2"})
        cores = sum(nodes[n].processor_cores for n in selected)
        self.assertGreaterEqual(cores, _delegation_nodes.CORES_PER_ZONE)

    def test_streams_do_not_grow_with_the_site(self) -> None:
        small = forward.select_delegation_peers("a", _large_site())
        grown = _large_site()
        for zone in "abcde":
            for i in range(39, 160):
                grown[f"{zone}{i}"] = forward.NodeInfo(zone, 0.5)
        self.assertEqual(forward.select_delegation_peers("a", grown), small)
        self.assertEqual(len(small), 15)

    def test_keys_are_shared_in_proportion_to_the_cores(self) -> None:
        nodes = {
            "large": forward.NodeInfo("a", 2.0),
            "small": forward.NodeInfo("a", 0.5),
        }
        first = collections.Counter(
            _delegation_nodes.rank_by_weight(list(nodes), f"k{i}", nodes)[0]
            for i in range(2000)
        )
        self.assertAlmostEqual(first["large"] / 2000, 0.8, delta=0.04)

    def test_only_the_keys_of_a_lost_node_move(self) -> None:
        nodes = {f"n{i}": forward.NodeInfo("a", 1.0 + i) for i in range(6)}
        rest = [n for n in nodes if n != "n3"]
        for i in range(200):
            ranked = _delegation_nodes.rank_by_weight(
                list(nodes), f"k{i}", nodes
            )
            kept = [n for n in ranked if n != "n3"]
            self.assertEqual(
                _delegation_nodes.rank_by_weight(rest, f"k{i}", nodes), kept
            )

    def test_nodes_of_an_unknown_zone_are_not_selected(self) -> None:
        nodes = {"n1": forward.NodeInfo(""), "n2": forward.NodeInfo("a")}
        self.assertEqual(
            _delegation_nodes.select_delegation_nodes(nodes), {"a": ["n2"]}
        )
        self.assertEqual(forward.select_delegation_peers("b", nodes), {"n2"})


if __name__ == "__main__":
    unittest.main()
