"""Tests of which connections are dropped, and of who waits for memory."""

import functools
import unittest

import trio
import trio.testing

from geraniumstair.listeners import _eviction
from geraniumstair.listeners import _limits
from geraniumstair.listeners import _memory
from geraniumstair.listeners import _pace

_MIB = 1024 * 1024


def _candidate(
    key: str,
    held_bytes: int = 100,
    waited_s: float = 0.0,
    phase: _eviction.Phase = _eviction.Phase.TRANSFER,
) -> _eviction.Candidate[str]:
    return _eviction.Candidate(key, phase, held_bytes, waited_s)


class SelectionTest(unittest.TestCase):
    """Guards against ordinary clients that are dropped for misbehaving ones."""

    def test_the_slowest_and_largest_is_dropped_first(self) -> None:
        selected = _eviction.select_for_memory(
            [
                _candidate("small and slow", 10, 5.0),
                _candidate("large and slow", 1000, 5.0),
                _candidate("large and quick", 1000, 0.01),
                _candidate("newest", 100, 0.0),
            ],
            1100,
        )
        self.assertEqual(selected, ["large and slow", "large and quick"])

    def test_a_running_request_is_dropped_last(self) -> None:
        running = _candidate(
            "running", 10_000, 0.0, phase=_eviction.Phase.RUNNING
        )
        idle = _candidate("idle", 10, 9.0, phase=_eviction.Phase.IDLE)
        selected = _eviction.select_for_memory(
            [running, idle, _candidate("new")], 10**6
        )
        self.assertEqual(selected, ["new", "idle", "running"])

    def test_no_more_than_needed_is_dropped(self) -> None:
        candidates = [_candidate(str(i), 100, 9 - i) for i in range(5)]
        self.assertEqual(
            _eviction.select_for_memory(candidates, 150), ["0", "1"]
        )

    def test_a_stall_ends_only_slow_clients(self) -> None:
        quick = _candidate("quick", 10_000, 0.3)
        idle = _candidate("idle", 10, 9.0, phase=_eviction.Phase.IDLE)
        running = _candidate("running", phase=_eviction.Phase.RUNNING)

        def select(*candidates, deadlock: bool = False) -> list[str]:
            return _eviction.select_when_stalled(
                candidates, 1, deadlock=deadlock
            )

        self.assertEqual(
            select(quick, idle, _candidate("slow", 10, 2.0)), ["slow"]
        )
        self.assertEqual(select(quick, idle), [])
        self.assertEqual(select(quick, running, deadlock=True), [])
        self.assertEqual(select(quick, idle, deadlock=True), ["quick"])

    def test_a_place_is_taken_from_the_longest_wait(self) -> None:
        idle = _candidate("idle", waited_s=9.0, phase=_eviction.Phase.IDLE)
        candidates = [
            _candidate("running", phase=_eviction.Phase.RUNNING, waited_s=9),
            idle,
            _candidate("silent", waited_s=2.0),
            _candidate("longer silent", waited_s=3.0),
            _candidate("new", waited_s=0.2),
        ]
        self.assertEqual(
            _eviction.select_for_descriptors(candidates, 9),
            ["longer silent", "silent", "idle"],
        )


class PaceTest(unittest.TestCase):
    """Guards against clients that take hours, and false findings of these."""

    def test_a_slow_client_has_less_time_after_each_piece(self) -> None:
        pace = _pace.TransferPace()
        now_s = 0.0
        while now_s < 1000:
            give_up_at_s = pace.start_wait(now_s)
            if give_up_at_s <= now_s + 1:
                break
            now_s += 1
            pace.end_wait(now_s)
            pace.moved_bytes += 200
        self.assertLess(now_s, _pace.ALLOWANCE_S * 1.1)

    def test_pieces_of_4_kib_each_50_ms_are_not_slow(self) -> None:
        pace = _pace.TransferPace()
        for i in range(1000):
            self.assertGreater(pace.start_wait(i * 0.05), i * 0.05 + 10)
            pace.end_wait((i + 1) * 0.05)
            pace.moved_bytes += 4096

    def test_time_in_which_the_node_does_not_read_is_free(self) -> None:
        pace = _pace.TransferPace()
        pace.start_wait(0.0)
        pace.end_wait(1.0)
        self.assertEqual(pace.waited_s(500.0), 1.0)


class ResourceLimitsTest(unittest.TestCase):
    """Guards against limits that exceed the memory or end ordinary crowds."""

    def test_limits_follow_the_settings(self) -> None:
        for memory_mb in (200, 300, 552):
            limits = _limits.derive_resource_limits(memory_mb * _MIB, 4100)
            self.assertLess(limits.max_bytes, memory_mb * _MIB / 2)
            self.assertGreater(limits.max_connections, 2000)
            self.assertLess(limits.max_connections, 4100)


class _Connections:
    """Accounts of a budget, each with its phase and wait."""

    def __init__(self, max_bytes: int) -> None:
        self.waited_s: dict[_memory.MemoryUsage, float] = {}
        self.dropped: list[_memory.MemoryUsage] = []
        self.budget = _memory.MemoryBudget(
            max_bytes, self._list, lambda count, freed_bytes: None
        )

    def _list(self) -> list[_eviction.Candidate[_memory.MemoryUsage]]:
        return [
            _eviction.Candidate(
                usage,
                _eviction.Phase.TRANSFER,
                usage.held_bytes,
                waited_s,
            )
            for usage, waited_s in self.waited_s.items()
        ]

    def add(
        self, held_bytes: int, waited_s: float = 0.0
    ) -> _memory.MemoryUsage:
        """Adds a connection that frees its memory when it is dropped."""

        def drop() -> None:
            self.dropped.append(usage)

        usage = _memory.MemoryUsage(self.budget, drop)
        self.waited_s[usage] = waited_s
        usage.set_held(held_bytes)
        return usage

    def end(self, usage: _memory.MemoryUsage) -> None:
        """Ends a connection."""
        del self.waited_s[usage]
        usage.set_held(0)


class MemoryBudgetTest(unittest.TestCase):
    """Guards against connections that are dropped before others have waited."""

    def _run(self, test) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                connections = _Connections(1000)
                nursery.start_soon(connections.budget.run)
                await test(connections, nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_connection_waits_until_others_free_memory(self) -> None:
        async def test(connections, nursery) -> None:
            large = connections.add(700, 9.0)
            small = connections.add(0)
            nursery.start_soon(small.reserve, 100)
            await trio.sleep(0.01)
            self.assertEqual(small.held_bytes, 0)
            connections.end(large)
            await trio.sleep(0.01)
            self.assertEqual(small.held_bytes, 100)
            self.assertEqual(connections.dropped, [])

        self._run(test)

    def test_a_slow_connection_is_dropped_after_a_stall(self) -> None:
        async def test(connections, nursery) -> None:
            slow = connections.add(700, 9.0)
            small = connections.add(0)
            nursery.start_soon(small.reserve, 100)
            await trio.sleep(0.5)
            self.assertEqual(connections.dropped, [slow])
            connections.end(slow)
            await trio.sleep(0.01)
            self.assertEqual(small.held_bytes, 100)
            self.assertEqual(connections.budget.used_bytes, 100)

        self._run(test)

    def test_responses_beyond_the_bound_end_connections_at_once(self) -> None:
        async def test(connections, nursery) -> None:
            slow = connections.add(600, 9.0)
            quick = connections.add(300, 0.0)
            quick.set_held(500)
            self.assertEqual(connections.dropped, [slow])
            # Memory that is becoming free is not freed twice.
            quick.set_held(600)
            self.assertEqual(connections.dropped, [slow])

        self._run(test)

    def test_a_single_large_request_is_not_held_up(self) -> None:
        async def test(connections, nursery) -> None:
            only = connections.add(700)
            with trio.fail_after(5):
                await only.reserve(250)
            self.assertEqual(connections.dropped, [])

        self._run(test)

    def test_a_connection_that_ends_while_it_waits_is_forgotten(self) -> None:
        async def test(connections, nursery) -> None:
            large = connections.add(700)
            small = connections.add(0)
            with trio.move_on_after(0.02):
                await small.reserve(100)
            self.assertEqual(connections.budget.waiting, 0)
            connections.end(large)
            self.assertEqual(connections.budget.used_bytes, 0)

        self._run(test)

    def test_a_dropped_waiter_gives_back_what_it_was_granted(self) -> None:
        # Each such connection lowered the bound until the process ended.
        async def test(*, drop_first: bool) -> None:
            budget = _memory.MemoryBudget(1000, list, lambda count, freed: None)
            scope = trio.CancelScope()
            holder = _memory.MemoryUsage(budget, lambda: None)
            waiter = _memory.MemoryUsage(budget, scope.cancel)
            holder.set_held(700)

            async def wait() -> None:
                with scope:
                    await waiter.reserve(300)
                waiter.set_held(0)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                if drop_first:
                    budget.drop([waiter])
                holder.set_held(0)
                budget.drop([waiter])
            self.assertEqual(budget.used_bytes, 0)
            self.assertEqual(budget._freeing_bytes, 0)

        for drop_first in (False, True):
            with self.subTest(drop_first=drop_first):
                trio.run(functools.partial(test, drop_first=drop_first))

    def test_the_bound_holds_after_connections_were_dropped(self) -> None:
        async def test(connections, nursery) -> None:
            silent = connections.add(100, 9.0)
            connections.budget.drop([silent])
            connections.end(silent)
            self.assertEqual(connections.budget.used_bytes, 0)
            # Otherwise the bound would be lower from then on.
            connections.add(990)
            self.assertEqual(connections.dropped, [silent])

        self._run(test)


if __name__ == "__main__":
    unittest.main()
