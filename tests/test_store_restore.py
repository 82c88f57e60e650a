"""Tests of a site whose store comes back from a copy some seconds old."""

from collections.abc import Awaitable
from collections.abc import Callable
import unittest

import trio
import trio.testing

from geraniumstair import mirror
from tests import builders_gateway as builders
from tests import builders_platform

NODES = 7
# A change must be in force within 3 s.
APPLY_LIMIT_S = 3.0
# The store's calls of all nodes in a second. A watch ends after 1.5 s.
MAX_CALLS_PER_S = 10


class _Site:
    """Nodes that mirror one store."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = builders_platform.FakeStoreConnection()
        self.mirrors: dict[str, mirror.Mirror] = {}
        names = frozenset(f"n{i}" for i in range(NODES))
        networks: dict[str, builders.FakeNetwork] = {}
        for name in names:
            network = builders.FakeNetwork(name, networks)
            self.mirrors[name] = local_mirror = mirror.Mirror()
            selection = mirror.WatcherSelection(name, trio.current_time)
            selection.set_members(names)
            watcher = mirror.StoreWatcher(
                self.store.client(), local_mirror, selection
            )
            gossip = mirror.MirrorGossip(
                network, local_mirror, watcher, selection
            )
            gossip.set_neighbours(names - {name})
            nursery.start_soon(watcher.run)
            nursery.start_soon(gossip.run)

    async def restore(
        self, copy: builders_platform.StoreCopy, down_s: float
    ) -> None:
        """Lets the store be down, and come back from a copy."""
        self.store.down = True
        await trio.sleep(down_s)
        self.store.restore(copy)
        self.store.down = False

    def values(self, key: str) -> set[bytes | None]:
        """Returns the values that the nodes hold."""
        items = [m.get(key) for m in self.mirrors.values()]
        return {item.value if item else None for item in items}


def _run(test: Callable[[_Site], Awaitable[None]]) -> None:
    async def start(nursery: trio.Nursery) -> None:
        site = _Site(nursery)
        site.store.put("config", b"1")
        await trio.sleep(2)
        await test(site)

    builders.run_on_virtual_clock(start)


class StoreRestoreTest(unittest.TestCase):
    """Guards against nodes that keep to the lost history of a store."""

    def test_a_change_after_a_restore_is_in_force_in_time(self) -> None:
        async def test(site: _Site) -> None:
            copy = site.store.copy()
            for i in range(20):
                site.store.put(f"lost{i}", b"x")
            await trio.sleep(2)
            await site.restore(copy, 2.0)
            await trio.sleep(1)
            site.store.put("config", b"2")
            await trio.sleep(APPLY_LIMIT_S)
            self.assertEqual(site.values("config"), {b"2"})
            self.assertEqual(site.values("lost0"), {None})

        _run(test)

    def test_revisions_given_out_again_do_not_hide_changes(self) -> None:
        async def test(site: _Site) -> None:
            copy = site.store.copy()
            for i in range(20):
                site.store.put(f"lost{i}", b"x")
            await trio.sleep(2)
            await site.restore(copy, 0.05)
            # The store is past the revision of the lost history at once.
            site.store.put("config", b"2")
            for i in range(30):
                site.store.put(f"kept{i}", b"x")
            await trio.sleep(APPLY_LIMIT_S)
            self.assertEqual(site.values("config"), {b"2"})
            self.assertEqual(site.values("lost0"), {None})

        _run(test)

    def test_a_restored_store_is_not_read_over_and_over(self) -> None:
        async def test(site: _Site) -> None:
            copy = site.store.copy()
            for i in range(20):
                site.store.put(f"lost{i}", b"x")
            await trio.sleep(2)
            await site.restore(copy, 2.0)
            calls_before = site.store.calls
            await trio.sleep(5)
            calls = site.store.calls - calls_before
            self.assertLessEqual(calls, 5 * MAX_CALLS_PER_S)

        _run(test)


if __name__ == "__main__":
    unittest.main()
