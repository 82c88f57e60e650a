"""Tests of the registry of endpoints."""

import unittest

from geraniumstair import discovery
from tests import builders_gateway as builders

LAPSED = discovery.EndpointState.LAPSED


class EndpointRegistryTest(unittest.TestCase):
    """Guards against using removed endpoints, or losing live ones."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.registry = discovery.EndpointRegistry(lambda: self.now_s)
        self.registry.put(builders.endpoint_entry("e1"))

    def test_a_lapsed_entry_that_registers_again_is_ready(self) -> None:
        self.registry.mark_lapsed("e1")
        self.assertIs(self.registry.get("e1").state, LAPSED)
        self.now_s = 2.0
        self.assertEqual(list(self.registry.remove_expired()), [])
        self.registry.put(builders.endpoint_entry("e1"))
        self.now_s = 9.0
        self.assertEqual(list(self.registry.remove_expired()), [])
        self.assertIs(
            self.registry.get("e1").state, discovery.EndpointState.READY
        )

    def test_a_lapsed_entry_expires_before_its_endpoint_may_stop(self) -> None:
        self.registry.mark_lapsed("e1")
        # A removed endpoint continues to serve for three seconds.
        self.now_s = 2.9
        self.assertEqual(
            [e.endpoint_id for e in self.registry.remove_expired()], ["e1"]
        )
        self.assertIsNone(self.registry.get("e1"))

    def test_a_draining_endpoint_is_removed_with_its_entry(self) -> None:
        draining = discovery.EndpointState.DRAINING
        self.registry.put(builders.endpoint_entry("e1", state=draining))
        self.registry.mark_lapsed("e1")
        self.assertIsNone(self.registry.get("e1"))

    def test_the_same_entry_again_changes_nothing(self) -> None:
        generation = self.registry.generation
        self.registry.put(builders.endpoint_entry("e1"))
        self.registry.mark_lapsed("unknown")
        self.assertEqual(self.registry.generation, generation)

    def test_each_start_has_its_own_instance_key(self) -> None:
        first = builders.endpoint_entry("e1", started_ms=1)
        second = builders.endpoint_entry("e1", started_ms=2)
        self.assertNotEqual(first.instance_key, second.instance_key)
