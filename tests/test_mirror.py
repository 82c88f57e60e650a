"""Tests of the mirror of the store and of its gossip."""

import unittest

import trio
import trio.testing

from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair._generated import messages
from geraniumstair.mirror import _gossip
from geraniumstair.mirror import _mirror
from geraniumstair.mirror import _watcher_selection
from tests import builders_gateway as builders


class MirrorTest(unittest.TestCase):
    """Guards against older values that replace newer ones or deletions."""

    def setUp(self) -> None:
        self.mirror = mirror.Mirror()
        self.mirror.apply([mirror.MirrorItem("k", b"2", 2)], 2)

    def test_an_older_value_never_replaces_a_newer_one(self) -> None:
        self.mirror.apply([mirror.MirrorItem("k", b"1", 1)], 1)
        self.assertEqual(self.mirror.get("k").value, b"2")
        self.assertEqual(self.mirror.position, 2)

    def test_a_late_value_does_not_restore_a_deleted_key(self) -> None:
        self.mirror.apply([mirror.MirrorItem("k", None, 5)], 5)
        self.mirror.apply([mirror.MirrorItem("k", b"4", 4)], 5)
        self.assertIsNone(self.mirror.get("k"))

    def test_a_complete_read_deletes_keys_that_it_does_not_return(self) -> None:
        # The read began before the last change.
        self.mirror.apply([mirror.MirrorItem("new", b"9", 9)], 2)
        self.mirror.replace([mirror.MirrorItem("x", b"7", 7)], 8)
        self.assertIsNone(self.mirror.get("k"))
        self.assertEqual(self.mirror.get("new").value, b"9")
        self.assertEqual(self.mirror.get("x").value, b"7")

    def test_a_restarted_node_does_not_restore_what_had_been_deleted(
        self,
    ) -> None:
        # A node that has just read the store knows no tombstones. The changes
        # that it had requested before from a peer without access to the store
        # still held an endpoint that had left.
        restarted = mirror.Mirror()
        restarted.replace([mirror.MirrorItem("k", b"5", 5)], 10)
        late_changes = [
            mirror.MirrorItem("gone", b"4", 4),
            mirror.MirrorItem("k", b"5", 5),
        ]
        restarted.apply(late_changes, 8)
        self.assertIsNone(restarted.get("gone"))
        self.assertEqual(restarted.position, 10)
        # The same if the read of the store is the older one.
        restarted = mirror.Mirror()
        restarted.apply([mirror.MirrorItem("k", b"5", 5)], 10)
        restarted.replace(late_changes, 8)
        self.assertIsNone(restarted.get("gone"))
        self.assertEqual(restarted.get("k").value, b"5")

    def test_changes_with_unknown_deletions_are_not_returned(self) -> None:
        # A node that had just read the store claimed to know all changes since
        # an earlier revision, and peers kept what had been deleted meanwhile.
        restarted = mirror.Mirror()
        restarted.replace([mirror.MirrorItem("k", b"5", 5)], 10)
        self.assertIsNone(restarted.changes_since(7))
        self.assertEqual(restarted.changes_since(10), [])
        self.assertEqual(len(restarted.changes_since(0)), 1)
        # A later complete read deletes what was there at 10, but not what was
        # added and deleted since.
        restarted.replace([], 20)
        self.assertEqual(
            restarted.changes_since(10), [mirror.MirrorItem("k", None, 20)]
        )
        self.assertIsNone(restarted.changes_since(15))
        self.assertEqual(restarted.changes_since(0), [])
        # The same for tombstones that are dropped.
        deleted = [
            mirror.MirrorItem(f"k{i}", None, 21 + i)
            for i in range(_mirror.MAX_TOMBSTONES + 1)
        ]
        restarted.apply(deleted, 21 + _mirror.MAX_TOMBSTONES)
        self.assertIsNone(restarted.changes_since(20))

    def test_subscribers_receive_each_change_once(self) -> None:
        seen = []
        self.mirror.subscribe(seen.extend)
        item = mirror.MirrorItem("y", b"3", 3)
        self.mirror.apply([item], 3)
        self.mirror.apply([item], 3)
        self.assertEqual(seen, [item])


class WatcherSelectionTest(unittest.TestCase):
    """Guards against a site in which all nodes or none watch the store."""

    def test_three_nodes_watch_and_more_take_over_without_answers(
        self,
    ) -> None:
        now_s = 100.0
        members = frozenset(f"n{i}" for i in range(9))
        selections = {
            m: mirror.WatcherSelection(m, lambda: now_s) for m in members
        }
        for selection in selections.values():
            selection.set_members(members)
            selection.record_watch_answer(0.0)
        self.assertEqual(sum(d.is_watcher for d in selections.values()), 3)
        # A change must be in force within 3 s.
        now_s += 2.3
        self.assertEqual(sum(d.is_watcher for d in selections.values()), 6)
        now_s += 2.3
        self.assertEqual(sum(d.is_watcher for d in selections.values()), 9)


class StoreWatcherTest(unittest.TestCase):
    """Guards against missed changes when the store compacts its history."""

    def test_changes_are_applied_and_a_compacted_history_causes_a_full_read(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            local_mirror = mirror.Mirror()
            selection = mirror.WatcherSelection("n1", trio.current_time)
            watcher = mirror.StoreWatcher(source, local_mirror, selection)
            nursery.start_soon(watcher.run)
            await trio.sleep(0.1)
            source.put("b", b"2")
            await trio.sleep(0.1)
            self.assertEqual(local_mirror.get("b").value, b"2")
            source.down = True
            await trio.sleep(8)
            source.remove("a")
            source.put("c", b"3")
            source.compact()
            source.down = False
            await trio.sleep(3)
            self.assertIsNone(local_mirror.get("a"))
            self.assertEqual(local_mirror.get("c").value, b"3")
            self.assertTrue(watcher.watching)

        builders.run_on_virtual_clock(test)

    def test_reads_that_bring_no_newer_revision_are_spaced(self) -> None:
        # A store that went back to an earlier revision was read again every
        # 15 ms by each node that watched it.
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            source.revision = 50
            selection = mirror.WatcherSelection("n1", trio.current_time)
            watcher = mirror.StoreWatcher(source, mirror.Mirror(), selection)
            nursery.start_soon(watcher.run)
            await trio.sleep(2)
            source.revision = 20
            source.compacted_revision = 60
            reads = source.reads
            await trio.sleep(10)
            self.assertLessEqual(source.reads - reads, 20)

        builders.run_on_virtual_clock(test)


class MirrorGossipTest(unittest.TestCase):
    """Guards against outdated mirrors of nodes that can't use the store."""

    def _site(self, nursery: trio.Nursery, count: int, source, isolated=()):
        """Starts nodes; `isolated` ones are neighbours of no other node."""
        nodes: dict[str, builders.FakeNetwork] = {}
        names = [f"n{i}" for i in range(count)]
        mirrors = {}
        for name in names:
            network = builders.FakeNetwork(name, nodes)
            mirrors[name] = local_mirror = mirror.Mirror()
            selection = mirror.WatcherSelection(name, trio.current_time)
            selection.set_members(frozenset(names))
            node_store = source if name != "n0" else builders.FakeStore()
            node_store.down = name == "n0"
            watcher = mirror.StoreWatcher(node_store, local_mirror, selection)
            gossip = mirror.MirrorGossip(
                network, local_mirror, watcher, selection
            )
            gossip.set_neighbours(frozenset(names) - {name, *isolated})
            nursery.start_soon(watcher.run)
            nursery.start_soon(gossip.run)
        return nodes, mirrors

    def test_a_node_that_the_store_refuses_receives_changes_from_peers(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            _, mirrors = self._site(nursery, 5, source)
            await trio.sleep(2)
            source.put("b", b"2")
            await trio.sleep(1)
            self.assertEqual(mirrors["n0"].get("a").value, b"1")
            self.assertEqual(mirrors["n0"].get("b").value, b"2")

        builders.run_on_virtual_clock(test)

    def test_a_node_that_is_no_neighbour_of_others_receives_changes(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            _, mirrors = self._site(nursery, 9, source, isolated=["n0"])
            await trio.sleep(3)
            source.put("b", b"2")
            await trio.sleep(1)
            self.assertEqual(mirrors["n0"].get("a").value, b"1")
            self.assertEqual(mirrors["n0"].get("b").value, b"2")

        builders.run_on_virtual_clock(test)

    def _assert_watch_taken_over(
        self, count: int, limit_s: float, fault: str
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            names = [f"n{i}" for i in range(count)]
            zones = dict.fromkeys(names, "z")
            nodes: dict[str, builders.FakeNetwork] = {}
            mirrors, store_access = {}, {}
            for name in names:
                network = builders.FakeNetwork(name, nodes)
                mirrors[name] = local_mirror = mirror.Mirror()
                store_access[name] = builders.StoreAccess(source)
                selection = mirror.WatcherSelection(name, trio.current_time)
                selection.set_members(frozenset(names))
                watcher = mirror.StoreWatcher(
                    store_access[name], local_mirror, selection
                )
                gossip = mirror.MirrorGossip(
                    network, local_mirror, watcher, selection
                )
                gossip.set_neighbours(gateway.select_neighbours(name, zones))
                nursery.start_soon(watcher.run)
                nursery.start_soon(gossip.run)
            await trio.sleep(10)
            for name in _watcher_selection.rank_nodes(names)[
                : _watcher_selection.WATCHER_COUNT
            ]:
                setattr(store_access[name], fault, True)
            source.put("b", b"2")
            await trio.sleep(limit_s)
            late = [
                n
                for n, local_mirror in mirrors.items()
                if local_mirror.get("b") is None
            ]
            self.assertEqual(late, [])
            # The nodes that took over keep watching.
            source.put("c", b"3")
            await trio.sleep(2.0)
            late = [
                n
                for n, local_mirror in mirrors.items()
                if local_mirror.get("c") is None
            ]
            self.assertEqual(late, [])

        builders.run_on_virtual_clock(test)

    def test_others_take_over_in_time_if_the_store_refuses_all_watchers(
        self,
    ) -> None:
        # In a bench run, the store refused the calls of the watchers, and other
        # nodes assumed for another five seconds that these were watching.
        for fault in ("refusing", "silent"):
            with self.subTest(fault=fault):
                self._assert_watch_taken_over(7, 3.0, fault)
                self._assert_watch_taken_over(87, 5.0, fault)

    def _assert_removal_spreads(self, count: int, limit_s: float) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            names = [f"n{i}" for i in range(count)]
            site = builders.MirrorSite(source, names)
            for name in names:
                nursery.start_soon(site.run_node, name)
            await trio.sleep(10)
            watchers = _watcher_selection.rank_nodes(names)[
                : _watcher_selection.WATCHER_COUNT
            ]
            for name in watchers:
                site.kill(name)
            await trio.sleep(0.1)
            removed_s = trio.current_time()
            source.remove("a")
            await trio.sleep(0.9)
            for name in watchers:
                nursery.start_soon(site.run_node, name)
            await trio.sleep(limit_s - 0.9)
            late = [n for n in names if site.mirrors[n].get("a") is not None]
            self.assertEqual(late, [])
            # Nodes that learn late know how old the removal may be.
            unaware = [
                n
                for n, since_s in site.removals_since_s.items()
                if not removed_s - 5.0 < since_s <= removed_s
            ]
            self.assertEqual(unaware, [])
            self.assertEqual(len(site.removals_since_s), count - len(watchers))

        builders.run_on_virtual_clock(test)

    def test_a_removal_during_a_restart_of_all_watchers_spreads(self) -> None:
        # Requests reached an endpoint for 12 s after its entry was removed
        # while the nodes that watched the store were killed.
        self._assert_removal_spreads(7, 3.0)
        self._assert_removal_spreads(87, 5.0)

    def test_removals_in_an_outage_of_the_store_count_as_new(self) -> None:
        # Endpoints whose entries expire in an outage live on, so they serve as
        # a last resort however long the outage has lasted.
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            names = [f"n{i}" for i in range(7)]
            site = builders.MirrorSite(source, names)
            for name in names:
                nursery.start_soon(site.run_node, name)
            await trio.sleep(10)
            source.down = True
            await trio.sleep(4)
            source.remove("a")
            source.down = False
            returned_s = trio.current_time()
            await trio.sleep(4)
            self.assertEqual(len(site.removals_since_s), len(names))
            self.assertGreaterEqual(
                min(site.removals_since_s.values()), returned_s
            )

        builders.run_on_virtual_clock(test)

    def test_notices_do_not_grow_with_the_rate_of_changes(self) -> None:
        # While all nodes of a large site restarted in turn, each node told all
        # its neighbours of each change.
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            nodes, mirrors = self._site(nursery, 9, source)
            await trio.sleep(3)
            sent_before = sum(n.sent.total() for n in nodes.values())
            for i in range(100):
                source.put(f"k{i}", b"1")
                await trio.sleep(0.1)
            sent = sum(n.sent.total() for n in nodes.values()) - sent_before
            # Five notices of changes and two periodic ones in a second.
            self.assertLessEqual(sent, 9 * 8 * 10 * 7)
            behind = [n for n, m in mirrors.items() if m.get("k95") is None]
            self.assertEqual(behind, [])

        builders.run_on_virtual_clock(test)

    def test_a_node_that_stops_requesting_notices_gets_none(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            nodes: dict[str, builders.FakeNetwork] = {}
            gossips = {}
            for name in ("n0", "n1"):
                local_mirror = mirror.Mirror()
                selection = mirror.WatcherSelection(name, trio.current_time)
                watcher = mirror.StoreWatcher(source, local_mirror, selection)
                network = builders.FakeNetwork(name, nodes)
                gossips[name] = mirror.MirrorGossip(
                    network, local_mirror, watcher, selection
                )
                nursery.start_soon(gossips[name].run)
            gossips["n0"].set_neighbours(frozenset(["n1"]))
            gossips["n1"].set_neighbours(frozenset())
            await trio.sleep(5)
            self.assertGreater(nodes["n1"].sent["n0"], 5)
            gossips["n0"].set_neighbours(frozenset())
            await trio.sleep(3)
            sent_before = nodes["n1"].sent["n0"], nodes["n0"].sent["n1"]
            await trio.sleep(5)
            sent_after = nodes["n1"].sent["n0"], nodes["n0"].sent["n1"]
            self.assertEqual(sent_after, sent_before)

        builders.run_on_virtual_clock(test)

    def test_each_node_fetches_a_change_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            nodes, mirrors = self._site(nursery, 9, source)
            await trio.sleep(3)
            calls_before = sum(n.calls for n in nodes.values())
            source.put("b", b"2")
            await trio.sleep(0.4)
            fetch_count = sum(n.calls for n in nodes.values()) - calls_before
            self.assertTrue(all(c.get("b") for c in mirrors.values()))
            # Three of the nine nodes receive the change from the store.
            self.assertLessEqual(fetch_count, 9)

        builders.run_on_virtual_clock(test)

    def test_damaged_changes_are_discarded(self) -> None:
        local_mirror = mirror.Mirror()
        local_mirror.apply([mirror.MirrorItem("k", None, 3)], 4)
        changes = _gossip.encode_changes(local_mirror, 2)
        self.assertEqual(
            _gossip.decode_changes(changes),
            [mirror.MirrorItem("k", None, 3)],
        )
        changes = messages.MirrorChanges(after=0, position=9, items=b"junk")
        self.assertIsNone(_gossip.decode_changes(changes))
