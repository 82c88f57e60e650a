"""Tests of how many store calls a site makes when all its nodes start."""

import logging
import random
import unittest

import trio
import trio.testing

from tests import builders_gateway as builders

# Endpoints and settings that the store holds at the start.
ITEM_COUNT = 460
# Calls of a node for its start: a read in two pages, a lease, a registration
# and two more.
MAX_START_CALLS = 6
# Calls a second of all nodes together beside the renewal of leases.
MAX_CALLS_PER_S = 10
# Time for which these are counted.
STEADY_S = 6


class SiteStartTest(unittest.TestCase):
    """Guards against a start whose store calls grow faster than the site.

    On a day of 195 nodes, every node took itself for a watcher for half a
    minute, because it had not heard of any watch yet, and returned to the store
    at each registration.
    """

    def setUp(self) -> None:
        # Hundreds of nodes log each refused call.
        logging.getLogger("geraniumstair").setLevel(logging.ERROR)
        self.addCleanup(
            logging.getLogger("geraniumstair").setLevel, logging.NOTSET
        )

    def _check(self, count: int, prepare=None, restore=None) -> None:
        async def test(nursery: trio.Nursery) -> None:
            site_store = builders.SiteStore()
            for i in range(ITEM_COUNT):
                site_store.put(f"servers/i-{i}", builders.server_value())
            if prepare is not None:
                prepare(site_store)
            site = builders.StartingSite(
                nursery, site_store, count, random.Random(5)
            )
            await trio.sleep(4)
            if restore is not None:
                restore(site_store)
                site_store.calls.clear()
            await trio.sleep(6)
            start_calls = site_store.calls.total()
            self.assertLessEqual(start_calls, MAX_START_CALLS * count)
            known = {len(m) for m in site.members.values()}
            self.assertEqual(known, {count})
            site_store.calls.clear()
            for i in range(STEADY_S):
                site_store.put(f"servers/j-{i}", builders.server_value())
                await trio.sleep(1)
            calls = site_store.calls
            others = calls.total() - calls["renewal"]
            self.assertLessEqual(others, MAX_CALLS_PER_S * STEADY_S, calls)
            behind = [
                n
                for n, local_mirror in site.mirrors.items()
                if local_mirror.get(f"servers/j-{STEADY_S - 2}") is None
            ]
            self.assertEqual(behind, [])

        builders.run_on_virtual_clock(test)

    def test_a_small_and_a_large_site(self) -> None:
        for count in (30, 300):
            with self.subTest(count=count):
                self._check(count)

    def test_a_store_that_answers_slowly(self) -> None:
        def prepare(site_store: builders.SiteStore) -> None:
            site_store.delay_s = 0.25

        self._check(60, prepare)

    def test_a_store_that_refuses_a_third_of_the_nodes(self) -> None:
        def prepare(site_store: builders.SiteStore) -> None:
            site_store.refused_nodes = frozenset(
                f"n{i}" for i in range(0, 60, 3)
            )

        def restore(site_store: builders.SiteStore) -> None:
            site_store.refused_nodes = frozenset()

        self._check(60, prepare, restore)

    def test_a_store_that_is_away_at_first(self) -> None:
        def prepare(site_store: builders.SiteStore) -> None:
            site_store.down = True

        def restore(site_store: builders.SiteStore) -> None:
            site_store.down = False

        self._check(60, prepare, restore)


if __name__ == "__main__":
    unittest.main()
