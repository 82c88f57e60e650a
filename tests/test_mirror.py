"""Tests of the copy of the store and how it spreads."""

import unittest

import trio
import trio.testing

from geraniumstair import edge
from geraniumstair import mirror
from geraniumstair._generated import messages
from geraniumstair.mirror import _gossip
from geraniumstair.mirror import _watchers
from tests import builders_edge as builders


def _run(test) -> None:
    async def bounded() -> None:
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))


class MirrorTest(unittest.TestCase):
    """Guards against values that go back or deleted keys that return."""

    def setUp(self) -> None:
        self.mirror = mirror.Mirror()
        self.mirror.apply([mirror.MirrorItem("k", b"2", 2)], 2)

    def test_an_older_value_never_replaces_a_newer_one(self) -> None:
        self.mirror.apply([mirror.MirrorItem("k", b"1", 1)], 1)
        self.assertEqual(self.mirror.get("k").value, b"2")
        self.assertEqual(self.mirror.position, 2)

    def test_a_late_value_does_not_revive_a_deleted_key(self) -> None:
        self.mirror.apply([mirror.MirrorItem("k", None, 5)], 5)
        self.mirror.apply([mirror.MirrorItem("k", b"4", 4)], 5)
        self.assertIsNone(self.mirror.get("k"))

    def test_a_whole_reading_deletes_what_it_does_not_list(self) -> None:
        self.mirror.apply([mirror.MirrorItem("new", b"9", 9)], 9)
        # The reading began before the last change.
        self.mirror.replace([mirror.MirrorItem("x", b"7", 7)], 8)
        self.assertIsNone(self.mirror.get("k"))
        self.assertEqual(self.mirror.get("new").value, b"9")
        self.assertEqual(self.mirror.get("x").value, b"7")

    def test_subscribers_see_each_change_once(self) -> None:
        seen = []
        self.mirror.subscribe(seen.extend)
        item = mirror.MirrorItem("y", b"3", 3)
        self.mirror.apply([item], 3)
        self.mirror.apply([item], 3)
        self.assertEqual(seen, [item])


class WatchDutyTest(unittest.TestCase):
    """Guards against a site in which every node, or none, watches."""

    def test_three_nodes_watch_and_the_others_when_they_fall_silent(
        self,
    ) -> None:
        now_s = 100.0
        members = frozenset(f"n{i}" for i in range(9))
        duties = {m: mirror.WatchDuty(m, lambda: now_s) for m in members}
        for duty in duties.values():
            duty.set_members(members)
            duty.heard(0.0)
        self.assertEqual(sum(d.required for d in duties.values()), 3)
        # A change must be in force within 3 s.
        now_s += 2.3
        self.assertEqual(sum(d.required for d in duties.values()), 6)
        now_s += 2.3
        self.assertEqual(sum(d.required for d in duties.values()), 9)


class StoreFeedTest(unittest.TestCase):
    """Guards against changes that are missed when the history is lost."""

    def test_changes_follow_and_a_lost_history_is_read_anew(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            copy = mirror.Mirror()
            duty = mirror.WatchDuty("n1", trio.current_time)
            feed = mirror.StoreFeed(source, copy, duty)
            nursery.start_soon(feed.run)
            await trio.sleep(0.1)
            source.put("b", b"2")
            await trio.sleep(0.1)
            self.assertEqual(copy.get("b").value, b"2")
            source.down = True
            await trio.sleep(8)
            source.remove("a")
            source.put("c", b"3")
            source.compact()
            source.down = False
            await trio.sleep(3)
            self.assertIsNone(copy.get("a"))
            self.assertEqual(copy.get("c").value, b"3")
            self.assertTrue(feed.working)

        _run(test)


class MirrorGossipTest(unittest.TestCase):
    """Guards against nodes without the store that fall behind."""

    def _site(self, nursery: trio.Nursery, count: int, source, strangers=()):
        """Starts nodes of which `strangers` are nobody's neighbours."""
        nodes: dict[str, builders.FakeNetwork] = {}
        names = [f"n{i}" for i in range(count)]
        copies = {}
        for name in names:
            network = builders.FakeNetwork(name, nodes)
            copies[name] = copy = mirror.Mirror()
            duty = mirror.WatchDuty(name, trio.current_time)
            duty.set_members(frozenset(names))
            own = source if name != "n0" else builders.FakeStore()
            own.down = name == "n0"
            feed = mirror.StoreFeed(own, copy, duty)
            gossip = mirror.MirrorGossip(network, copy, feed, duty)
            gossip.set_neighbours(frozenset(names) - {name, *strangers})
            nursery.start_soon(feed.run)
            nursery.start_soon(gossip.run)
        return nodes, copies

    def test_a_node_that_the_store_turns_away_learns_from_peers(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            _, copies = self._site(nursery, 5, source)
            await trio.sleep(2)
            source.put("b", b"2")
            await trio.sleep(1)
            self.assertEqual(copies["n0"].get("a").value, b"1")
            self.assertEqual(copies["n0"].get("b").value, b"2")

        _run(test)

    def test_a_node_that_is_nobodys_neighbour_learns_from_its_own(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            _, copies = self._site(nursery, 9, source, strangers=["n0"])
            await trio.sleep(3)
            source.put("b", b"2")
            await trio.sleep(1)
            self.assertEqual(copies["n0"].get("a").value, b"1")
            self.assertEqual(copies["n0"].get("b").value, b"2")

        _run(test)

    def _assert_taken_over(self, count: int, limit_s: float, how: str) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            names = [f"n{i}" for i in range(count)]
            zones = dict.fromkeys(names, "z")
            nodes: dict[str, builders.FakeNetwork] = {}
            copies, access = {}, {}
            for name in names:
                network = builders.FakeNetwork(name, nodes)
                copies[name] = copy = mirror.Mirror()
                access[name] = builders.StoreAccess(source)
                duty = mirror.WatchDuty(name, trio.current_time)
                duty.set_members(frozenset(names))
                feed = mirror.StoreFeed(access[name], copy, duty)
                gossip = mirror.MirrorGossip(network, copy, feed, duty)
                gossip.set_neighbours(edge.neighbours(name, zones))
                nursery.start_soon(feed.run)
                nursery.start_soon(gossip.run)
            await trio.sleep(10)
            for name in _watchers.rank(names)[: _watchers.WATCHERS]:
                setattr(access[name], how, True)
            source.put("b", b"2")
            await trio.sleep(limit_s)
            late = [n for n, copy in copies.items() if copy.get("b") is None]
            self.assertEqual(late, [])
            # Those that took over go on, so the next change is no later.
            source.put("c", b"3")
            await trio.sleep(2.0)
            late = [n for n, copy in copies.items() if copy.get("c") is None]
            self.assertEqual(late, [])

        _run(test)

    def test_others_watch_in_time_if_the_store_turns_all_watchers_away(
        self,
    ) -> None:
        # A grown day on the bench: the watchers were among the nodes that the
        # store turned away, and were taken to watch for another five seconds.
        for how in ("busy", "silent"):
            with self.subTest(how=how):
                self._assert_taken_over(7, 3.0, how)
                self._assert_taken_over(87, 5.0, how)

    def test_a_node_that_no_longer_asks_is_no_longer_told(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            nodes: dict[str, builders.FakeNetwork] = {}
            gossips = {}
            for name in ("n0", "n1"):
                copy = mirror.Mirror()
                duty = mirror.WatchDuty(name, trio.current_time)
                feed = mirror.StoreFeed(source, copy, duty)
                network = builders.FakeNetwork(name, nodes)
                gossips[name] = mirror.MirrorGossip(network, copy, feed, duty)
                nursery.start_soon(gossips[name].run)
            gossips["n0"].set_neighbours(frozenset(["n1"]))
            gossips["n1"].set_neighbours(frozenset())
            await trio.sleep(5)
            self.assertGreater(nodes["n1"].sent["n0"], 5)
            gossips["n0"].set_neighbours(frozenset())
            await trio.sleep(3)
            before = nodes["n1"].sent["n0"], nodes["n0"].sent["n1"]
            await trio.sleep(5)
            after = nodes["n1"].sent["n0"], nodes["n0"].sent["n1"]
            self.assertEqual(after, before)

        _run(test)

    def test_each_node_fetches_a_change_once(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            source = builders.FakeStore()
            source.put("a", b"1")
            nodes, copies = self._site(nursery, 9, source)
            await trio.sleep(3)
            before = sum(n.calls for n in nodes.values())
            source.put("b", b"2")
            await trio.sleep(0.4)
            fetched = sum(n.calls for n in nodes.values()) - before
            self.assertTrue(all(c.get("b") for c in copies.values()))
            # Three of the nine may know it from the store.
            self.assertLessEqual(fetched, 9)

        _run(test)

    def test_damaged_changes_are_set_aside(self) -> None:
        copy = mirror.Mirror()
        copy.apply([mirror.MirrorItem("k", None, 3)], 4)
        changes = _gossip.encode_changes(copy, 0)
        self.assertEqual(
            _gossip.decode_changes(changes),
            [mirror.MirrorItem("k", None, 3)],
        )
        changes = messages.MirrorChanges(after=0, position=9, items=b"junk")
        self.assertIsNone(_gossip.decode_changes(changes))
