"""Tests of `configuration.Topology`."""

import unittest

from geraniumstair import configuration
from tests import builders


class TopologyTest(unittest.TestCase):
    """Lookups by name find every shard of the document."""

    def test_each_shard_has_its_replicas(self) -> None:
        topology = builders.build_topology(service_count=2, replica_count=3)
        key = configuration.ShardKey("acme/s1", "p0", "r1")
        names = [spec.name for spec in topology.endpoints[key]]
        self.assertEqual(names, ["s1-p0-e0", "s1-p0-e1", "s1-p0-e2"])

    def test_shard_key_falls_back_to_another_region(self) -> None:
        topology = builders.build_topology()
        key = topology.find_shard_key("acme/s0", "p0", "elsewhere")
        self.assertEqual(key, configuration.ShardKey("acme/s0", "p0", "r1"))

    def test_service_sets_have_qualified_names(self) -> None:
        topology = builders.build_topology(service_count=2)
        self.assertEqual(
            topology.service_sets["acme/all"], ("acme/s0", "acme/s1")
        )
