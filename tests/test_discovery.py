"""Tests of the registry of endpoints."""

import unittest

from geraniumstair import discovery
from geraniumstair import store
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

    def test_a_removal_that_is_learned_of_late_shortens_the_grace(self) -> None:
        # Three seconds after the removal, a request still reached the endpoint
        # from a node that had learned of it after 1.6 s.
        self.now_s = 10.0
        self.registry.mark_lapsed("e1", removed_since_s=8.4)
        self.assertIs(self.registry.get("e1").state, LAPSED)
        self.now_s = 11.2
        self.assertEqual(
            [e.endpoint_id for e in self.registry.remove_expired()], ["e1"]
        )
        self.registry.put(builders.endpoint_entry("e1"))
        self.registry.mark_lapsed("e1", removed_since_s=7.0)
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

    def _put_restored(self, sequence: int, **changes: object) -> bool:
        """Registers an endpoint as a store shows it after a restore."""
        return self.registry.put(
            builders.endpoint_entry(
                "e1",
                sequence=sequence,
                revision=store.order_revision(2, 5),
                **changes,
            )
        )

    def _put_lost(self, sequence: int, **changes: object) -> None:
        """Registers an endpoint in the history that a restore loses."""
        self.registry.put(
            builders.endpoint_entry(
                "e1",
                sequence=sequence,
                revision=store.order_revision(1, 90),
                **changes,
            )
        )

    def test_a_restored_store_does_not_bring_a_leaving_endpoint_back(
        self,
    ) -> None:
        self._put_lost(9, state=discovery.EndpointState.DRAINING)
        self.assertFalse(self._put_restored(4))
        self.assertIs(
            self.registry.get("e1").state, discovery.EndpointState.DRAINING
        )
        self.registry.mark_lapsed("e1")
        self.assertFalse(self._put_restored(4))
        self.assertIsNone(self.registry.get("e1"))

    def test_an_endpoint_that_registers_after_a_restore_is_used(self) -> None:
        self._put_lost(9)
        self.registry.mark_lapsed("e1")
        self.assertFalse(self._put_restored(4))
        self.assertTrue(self._put_restored(10))
        self.assertIs(
            self.registry.get("e1").state, discovery.EndpointState.READY
        )
        # Its next start counts from the beginning.
        self.assertTrue(self._put_restored(1, started_ms=2))

    def test_a_sequence_from_another_writer_does_not_hide_an_endpoint(
        self,
    ) -> None:
        self._put_lost(10**15, slots=1)
        self._put_lost(10, slots=4)
        self.assertEqual(self.registry.get("e1").slots, 4)

    def test_each_start_has_its_own_instance_key(self) -> None:
        first = builders.endpoint_entry("e1", started_ms=1)
        second = builders.endpoint_entry("e1", started_ms=2)
        self.assertNotEqual(first.instance_key, second.instance_key)
