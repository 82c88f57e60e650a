"""Tests of the record, the holder, acceptance and the watcher."""

import hashlib
import unittest
import zlib

import hypothesis
from hypothesis import strategies
import result
import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders_configuration

_SMALL = builders_configuration.SMALL_TEXT.encode()
_ZONE_OUT = _SMALL.replace(b"state: in", b"state: out")


def _record(
    revision: int, text: bytes = _SMALL
) -> messages.ConfigurationRecord:
    return messages.ConfigurationRecord(
        revision,
        revision - 1,
        "c",
        [],
        hashlib.sha256(text).digest(),
        zlib.compress(text),
    )


def _run(function: object, *arguments: object) -> object:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)  # type: ignore


class RecordTest(unittest.TestCase):
    """A damaged or malicious record is rejected as a whole."""

    def test_encoded_record_keeps_the_text(self) -> None:
        value = configuration.encode_record(_record(3))
        record = configuration.decode_record(value).unwrap()
        self.assertEqual(configuration.record_text(record).unwrap(), _SMALL)

    def test_decompression_is_bounded(self) -> None:
        record = _record(1, b" " * 50_000_000)
        self.assertLess(len(record.document), 100_000)
        self.assertIn(
            "too large", configuration.record_text(record).unwrap_err()
        )

    def test_damaged_records_are_rejected(self) -> None:
        truncated = _record(1)
        truncated.document = truncated.document[:-6]
        wrong_digest = _record(1)
        wrong_digest.digest = b"x" * 32
        trailing = _record(1)
        trailing.document += b"x"
        for record in (truncated, wrong_digest, trailing):
            self.assertTrue(configuration.record_text(record).is_err())
        self.assertTrue(configuration.decode_record(b"\xc1").is_err())
        self.assertTrue(configuration.decode_record(b"\x93\x01").is_err())


class ConfigurationHolderTest(unittest.TestCase):
    """A configuration in force is never replaced by an older one."""

    @hypothesis.settings(derandomize=True, max_examples=30, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 9), min_size=1, max_size=12)
    )
    def test_revision_never_falls(self, revisions: list[int]) -> None:
        async def main() -> None:
            holder = configuration.ConfigurationHolder()
            greatest = 0
            for revision in revisions:
                adopted = holder.adopt(_record(revision))
                self.assertEqual(adopted, revision > greatest)
                greatest = max(greatest, revision)
                self.assertEqual(holder.revision, greatest)

        trio.run(main)

    def test_invalid_record_keeps_the_current_one(self) -> None:
        async def main() -> None:
            holder = configuration.ConfigurationHolder()
            holder.adopt(_record(1))
            with self.assertLogs("geraniumstair.configuration", "ERROR"):
                self.assertFalse(holder.adopt(_record(2, b"format: 2")))
            self.assertEqual(holder.revision, 1)

        trio.run(main)

    def test_wait_ends_at_a_newer_revision(self) -> None:
        async def main() -> None:
            holder = configuration.ConfigurationHolder()
            async with trio.open_nursery() as nursery:

                async def wait() -> None:
                    topology = await holder.wait_for_newer_revision(1)
                    self.assertEqual(topology.revision, 2)

                nursery.start_soon(wait)
                await trio.testing.wait_all_tasks_blocked()
                holder.adopt(_record(1))
                await trio.testing.wait_all_tasks_blocked()
                holder.adopt(_record(2))

        trio.run(main)


class AcceptTest(unittest.TestCase):
    """A document is accepted whole and only once, or the operator is told."""

    def setUp(self) -> None:
        self.store = builders_configuration.FakeStore()

    def _accept(self, text: bytes, base: int) -> result.Result:
        return _run(configuration.accept, self.store, text, base)  # type: ignore

    def test_accepts_on_the_base(self) -> None:
        self.assertEqual(self._accept(_SMALL, 0).unwrap().revision, 1)
        second = self._accept(_ZONE_OUT, 1).unwrap()
        self.assertEqual(second.revision, 2)
        self.assertEqual(len(second.difference), 1)
        self.assertEqual(
            configuration.record_text(self.store.record().record).unwrap(),
            _ZONE_OUT,
        )

    def test_old_base_is_refused_with_the_difference(self) -> None:
        self._accept(_SMALL, 0).unwrap()
        refusal = self._accept(_ZONE_OUT, 0).unwrap_err()
        self.assertEqual(refusal.code, codes.Code.REVISION_CONFLICT)
        self.assertEqual(refusal.current_revision, 1)
        self.assertIn('"in" -> "out"', refusal.difference[0])

    def test_invalid_document_never_reaches_the_store(self) -> None:
        refusal = self._accept(b"format: 2", 0).unwrap_err()
        self.assertEqual(refusal.code, codes.Code.SCHEMA_VIOLATION)
        self.assertEqual((self.store.get_count, self.store.pairs), (0, {}))

    def test_lost_answers_are_resolved(self) -> None:
        for failures in (["lost"], ["dropped"], ["dropped", "lost", "before"]):
            with self.subTest(failures=failures):
                self.store = builders_configuration.FakeStore()
                self.store.failures = list(failures)
                self.assertEqual(self._accept(_SMALL, 0).unwrap().revision, 1)
                self.assertEqual(self.store.record().revision, 1)

    def test_unknown_effect_is_reported(self) -> None:
        self.store.failures = ["dropped"] * 99
        refusal = self._accept(_SMALL, 0).unwrap_err()
        self.assertEqual(refusal.code, codes.Code.ACCEPTANCE_UNKNOWN)

    def test_failing_store_refuses_the_document(self) -> None:
        self.store.down = True
        refusal = self._accept(_SMALL, 0).unwrap_err()
        self.assertEqual(refusal.code, codes.Code.STORE_UNAVAILABLE)
        self.store.down = False
        self.store.failures = ["before"] * 99
        refusal = self._accept(_SMALL, 0).unwrap_err()
        self.assertEqual(refusal.code, codes.Code.STORE_UNAVAILABLE)

    @hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([None, "before", "lost", "dropped"]),
            max_size=24,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_racing_writers_lose_no_update(
        self, failures: list[str | None], random: object
    ) -> None:
        self.store = builders_configuration.FakeStore()
        self.store.failures = list(failures)
        accepted: list[str] = []
        unknown: list[str] = []
        written: list[int] = []

        async def writer() -> None:
            for _ in range(4):
                stored = await configuration.read_stored(self.store)
                base = stored.unwrap().revision
                outcome = await configuration.accept(self.store, _SMALL, base)
                if outcome.is_ok():
                    accepted.append(outcome.unwrap().change_id)
                    written.append(outcome.unwrap().revision)
                elif outcome.unwrap_err().code == codes.Code.ACCEPTANCE_UNKNOWN:
                    unknown.append("unknown")

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(writer)

        _run(main)
        self.assertEqual(len(set(written)), len(written))
        if accepted:
            recent = self.store.record().record.recent_change_ids
            self.assertLessEqual(set(accepted), set(recent))
            self.assertLessEqual(len(recent) - len(accepted), len(unknown))


class _FakePeers:
    """A fake of the membership and the peer network of the watcher."""

    def __init__(self, ranked: list[str], record: object = None) -> None:
        self.ranked = ranked
        self.record = record
        self.calls = 0

    def ranked_members(self, name: str) -> list[str]:
        return self.ranked

    def connected_nodes(self) -> frozenset[str]:
        return frozenset({"peer"})

    async def call(
        self, node_id: str, request: object, timeout_ms: float
    ) -> result.Result:
        self.calls += 1
        if self.record is None:
            return result.Err("down")
        value = configuration.encode_record(self.record)  # type: ignore
        return result.Ok(messages.ConfigurationReply(1, value))


class ConfigurationWatcherTest(unittest.TestCase):
    """Every node gets new revisions; only selected nodes poll the store."""

    def setUp(self) -> None:
        self.store = builders_configuration.FakeStore()

    async def _start(
        self, nursery: trio.Nursery, peers: _FakePeers
    ) -> tuple[
        configuration.ConfigurationHolder, configuration.ConfigurationWatcher
    ]:
        holder = configuration.ConfigurationHolder()
        watcher = configuration.ConfigurationWatcher(
            "me", self.store, holder, peers, peers
        )
        await nursery.start(watcher.run)
        return holder, watcher

    def test_selected_node_watches_the_store(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                holder, _ = await self._start(nursery, _FakePeers(["me"]))
                await configuration.accept(self.store, _SMALL, 0)
                await holder.wait_for_newer_revision(0)
                await configuration.accept(self.store, _ZONE_OUT, 1)
                self.assertTrue(
                    (
                        await holder.wait_for_newer_revision(1)
                    ).is_availability_zone_out("az-b")
                )
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_start_with_store_down_loads_a_record_of_a_peer(self) -> None:
        self.store.down = True

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                peers = _FakePeers(["a"], _record(7))
                holder, watcher = await self._start(nursery, peers)
                self.assertEqual(holder.revision, 7)
                reply = await watcher.handle_request(
                    "x", messages.ConfigurationRequest(6)
                )
                self.assertEqual(reply.revision, 7)
                reply = await watcher.handle_request(
                    "x", messages.ConfigurationRequest(7)
                )
                self.assertEqual(reply.record, b"")
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_other_node_fetches_a_revision_that_a_peer_reports(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                peers = _FakePeers(["a", "b"])
                await configuration.accept(self.store, _SMALL, 0)
                holder, watcher = await self._start(nursery, peers)
                get_count = self.store.get_count
                peers.record = _record(2, _ZONE_OUT)
                watcher.handle_peer_revision("peer", 1)
                watcher.handle_peer_revision("peer", 2)
                await holder.wait_for_newer_revision(1)
                self.assertEqual(
                    (peers.calls, self.store.get_count), (1, get_count)
                )
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_compacted_watch_reads_the_key_again(self) -> None:
        self.store.pending_compactions = 1

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                holder, _ = await self._start(nursery, _FakePeers(["me"]))
                await configuration.accept(self.store, _SMALL, 0)
                await holder.wait_for_newer_revision(0)
                await configuration.accept(self.store, _ZONE_OUT, 1)
                await holder.wait_for_newer_revision(1)
                nursery.cancel_scope.cancel()

        _run(main)

    def test_node_polls_only_while_it_is_selected(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                peers = _FakePeers(["a"])
                await configuration.accept(self.store, _SMALL, 0)
                holder, _ = await self._start(nursery, peers)
                get_count = self.store.get_count
                await trio.sleep(20)
                self.assertEqual(self.store.get_count, get_count)
                peers.ranked = ["a", "me"]
                await trio.sleep(20)
                self.assertGreater(self.store.get_count, get_count)
                peers.ranked = ["a"] * 5 + ["me"]
                await trio.sleep(20)
                get_count = self.store.get_count
                await trio.sleep(20)
                self.assertEqual(self.store.get_count, get_count)
                nursery.cancel_scope.cancel()

        _run(main)

    def test_invalid_record_of_a_peer_is_ignored(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                peers = _FakePeers(["a"], _record(9, b"format: 2"))
                await configuration.accept(self.store, _SMALL, 0)
                holder, watcher = await self._start(nursery, peers)
                with self.assertLogs("geraniumstair.configuration", "ERROR"):
                    watcher.handle_peer_revision("peer", 9)
                    while not peers.calls:
                        await trio.sleep(0)
                    peers.record = _record(2, _ZONE_OUT)
                    while holder.revision < 2:
                        watcher.handle_peer_revision("peer", 9)
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(main)
