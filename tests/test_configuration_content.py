"""Tests of a record's compact content, and of the start of a watch."""

import contextlib
import unittest
from unittest import mock
import zlib

import msgspec
import trio

from geraniumstair import configuration
from geraniumstair._generated import messages
from geraniumstair.configuration import _content
from geraniumstair.configuration import _record
from geraniumstair.configuration import _watcher
from standins import key_value
from tests import builders_configuration

_SMALL = builders_configuration.SMALL_TEXT.encode()
_ZONE_OUT = _SMALL.replace(b"state: in", b"state: out")
_TIMEOUT_S = 30


def _record_with_content(text: bytes = _SMALL) -> messages.ConfigurationRecord:
    record = configuration.build_record(text, "c", None)
    document = configuration.parse(text).unwrap()
    return _record.add_content(record, document)


class IndexRecordTest(unittest.TestCase):
    """Guards against a topology that differs from the text."""

    def test_content_has_the_topology_of_the_text(self) -> None:
        large = builders_configuration.build_text(service_count=20)
        rollout = msgspec.json.encode([builders_configuration.ROLLOUT])
        with_rollout = _SMALL + b"rollouts: " + rollout + b"\n"
        for text in (_SMALL, _ZONE_OUT, large, with_rollout):
            record = _record_with_content(text)
            self.assertTrue(record.content)
            indexed = configuration.index_record(record).unwrap()
            opened = configuration.parse_record(record).unwrap()
            self.assertEqual(indexed.topology, opened.topology)

    def test_accepted_record_has_content(self) -> None:
        store = builders_configuration.FakeStore()
        trio.run(configuration.accept, store, _SMALL, 0)
        record = store.record().record
        assert record is not None
        self.assertTrue(record.content)

    def test_record_without_content_is_read_from_the_text(self) -> None:
        # Nodes of an earlier version write the tag and six fields.
        record = configuration.build_record(_SMALL, "c", None)
        full = configuration.encode_record(record)
        value = msgspec.msgpack.encode(msgspec.msgpack.decode(full)[:7])
        decoded = configuration.decode_record(value).unwrap()
        indexed = configuration.index_record(decoded).unwrap()
        self.assertIn("az-b", indexed.topology.availability_zones)

    def test_damaged_or_foreign_content_is_refused(self) -> None:
        record, other = _record_with_content(), _record_with_content(_ZONE_OUT)
        for content, digest in (
            (other.content, other.content_digest),
            (other.content, record.content_digest),
            (record.content[:-3], record.content_digest),
        ):
            changed = msgspec.structs.replace(
                record, content=content, content_digest=digest
            )
            refused = configuration.index_record(changed).unwrap_err()
            self.assertIn("digest", refused)
        record.digest = b"x" * 32
        refused = configuration.index_record(record).unwrap_err()
        self.assertIn("digest", refused)

    def test_decompression_of_content_is_bounded(self) -> None:
        bomb = zlib.compress(b" " * (_content.MAX_CONTENT_BYTES + 1))
        refused = _content.decode_content(bomb, 1).unwrap_err()
        self.assertIn("too large", refused)


class _RacingStore(key_value.InProcessStore):
    """A store that accepts a change between a read and the following watch."""

    async def accept_change(self) -> None:
        await configuration.accept(self, _ZONE_OUT, 1)

    @contextlib.asynccontextmanager
    async def watch(self, key, from_revision):  # type: ignore
        await self.accept_change()
        async with super().watch(key, from_revision) as changes:
            yield changes


class _NoPeers:
    """The membership and the peer network of a node without peers."""

    def ranked_members(self, name: str) -> list[str]:
        return ["me"]

    def connected_nodes(self) -> frozenset[str]:
        return frozenset()

    async def call(self, *arguments: object) -> object:
        raise NotImplementedError


class WatchStartTest(unittest.TestCase):
    """Guards against a change that is missed until the next poll."""

    def _run(self, compacted: bool) -> None:
        async def main() -> None:
            state = key_value.KeyValueState()
            store = _RacingStore(state, key_value.FaultPlan())
            await configuration.accept(store, _SMALL, 0)
            if compacted:
                # Other keys are written, and the history is compacted up to
                # the newest of these writes.
                for _ in range(3):
                    state.transact([], [])
                state.compact(state.revision)
            holder = configuration.ConfigurationHolder()
            no_peers = _NoPeers()
            watcher = configuration.ConfigurationWatcher(
                "me",
                store,
                holder,
                no_peers,
                no_peers,  # type: ignore
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(watcher.run)
                with trio.fail_after(_TIMEOUT_S):
                    await holder.wait_for_newer_revision(1)
                nursery.cancel_scope.cancel()

        # Without polls, a change that the watch misses is never seen, and the
        # test times out. The clock is real, since the record is indexed in a
        # thread, which a virtual clock cannot wait for.
        with mock.patch.object(_watcher, "POLL_INTERVAL_S", 3600):
            trio.run(main)

    def test_change_between_read_and_watch_is_seen(self) -> None:
        self._run(compacted=False)

    def test_change_after_a_compaction_is_seen(self) -> None:
        self._run(compacted=True)
