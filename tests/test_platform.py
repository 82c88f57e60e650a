"""Tests of the adapters to the users' platform."""

import json
import logging
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import result
import trio
import trio.testing

from geraniumstair import accounts
from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import errors
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import peers
from geraniumstair import store
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from geraniumstair.platform import _settings
from geraniumstair.platform import _store
from tests import builders_gateway as builders

_CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "P.example",
            "Prefix": "/a/",
            "RouteType": "idempotent",
            "TimeoutMs": 600,
            "LatencyGoalMs": 71,
            "Priority": 2,
            "FanoutServices": ["x", "y"],
            "MaxAttempts": 2,
            "TopK": 5,
            "MinShardRatio": 0.75,
        },
        {
            "Name": "r2",
            "Host": "p.example",
            "Prefix": "/b/",
            "RouteType": "non_idempotent",
            "TimeoutMs": 6000,
            "LatencyGoalMs": 656,
            "WeightedSplit": [
                {"Service": "u", "Weight": 3},
                {"Service": "v", "Weight": 1},
            ],
        },
    ],
    "Services": [{"Name": "x", "MaxConns": 26, "WarmupS": 3.0}],
    "Limits": {"MaxBodyBytes": 100},
}


def _decode(key: str, value: bytes | None) -> gateway.StateChange | None:
    item = mirror.MirrorItem(key, value, 1)
    return _decoder.PlatformDecoder().decode(item)


class PlatformDecoderTest(unittest.TestCase):
    """Guards against misread entries, and invalid ones that affect others."""

    def test_limits_of_callers_are_translated(self) -> None:
        # A time of zero would close all connections.
        limits = {
            "MaxHeaderBytes": 0,
            "HeaderTimeoutMs": 2000,
            "IdleTimeoutMs": 0,
        }
        value = json.dumps(_CONFIG | {"Limits": limits}).encode()
        change = _decode("op/config", value)
        assert isinstance(change, gateway.RoutesChanged)
        self.assertEqual(change.table.limits.max_header_bytes, 16_384)
        self.assertEqual(change.table.limits.header_timeout_s, 2.0)
        self.assertEqual(change.table.limits.idle_timeout_s, 15.0)

    def test_the_configuration_becomes_a_route_table(self) -> None:
        change = _decode("op/config", json.dumps(_CONFIG).encode())
        assert isinstance(change, gateway.RoutesChanged)
        table = change.table
        self.assertEqual(table.version, 7)
        search = table.match("p.example", "/a/z")
        self.assertEqual(search.shards, ("x", "y"))
        self.assertTrue(search.idempotent)
        single = table.match("p.example", "/b/z")
        self.assertFalse(single.idempotent)
        self.assertEqual([p.service for p in single.parts], ["u", "v"])
        self.assertEqual(table.service_limits("x").max_connections, 26)
        self.assertEqual(table.limits.max_body_bytes, 100)

    def test_an_invalid_configuration_changes_nothing(self) -> None:
        for value in (b"\xff", b"{}", b"[]", b'{"Version":"7"}', None):
            with self.subTest(value=value):
                with self.assertLogs("geraniumstair.platform"):
                    self.assertIsNone(_decode("op/config", value))

    def test_a_deeply_nested_entry_is_invalid(self) -> None:
        # The error of the parser is none of its own, and ended the process.
        nested = b"[" * 100_000 + b"]" * 100_000
        for key, expected in (
            ("op/config", None),
            ("op/rollout/s", None),
            ("status/rollout/s", None),
            ("servers/i-1", gateway.EndpointEntryRemoved("i-1")),
        ):
            for value in (nested, b'{"Other":' + nested + b"}"):
                with self.subTest(key=key, bytes=len(value)):
                    with self.assertLogs("geraniumstair.platform"):
                        self.assertEqual(_decode(key, value), expected)

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.sampled_from(
            ["op/config", "op/rollout/s", "status/rollout/s", "servers/i-1"]
        ),
        strategies.dictionaries(
            strategies.sampled_from(
                ["Service", "Address", "Zone", "State", "Slots", "born", "Seq"]
                + ["Version", "Routes", "Services", "TargetVersion"]
                + ["DurationS", "WarmupLeftMs", "Limits"]
            ),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.floats()
                | strategies.text(),
                lambda inner: (
                    strategies.lists(inner)
                    | strategies.dictionaries(strategies.text(), inner)
                ),
                max_leaves=4,
            ),
        ),
    )
    def test_no_entry_of_another_writer_raises_an_error(
        self, key: str, fields: dict[str, object]
    ) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        _decode(key, json.dumps(fields).encode())

    def test_an_address_that_names_no_port_or_host_is_invalid(self) -> None:
        for address in (
            "10.0.0.1:٨٠",
            "10.0.0.1:8_0",
            "10.0.0.1: 80",
            "10.0.0.1:-80",
            "10.0.0.1:65536",
            "10.0.0.1:",
            "10.0.0.1",
            "10.0.0.1\0:80",
            "10.0.0.٣:80",
            "host.example:80",
            ":80",
        ):
            with self.subTest(address=address):
                with self.assertLogs("geraniumstair.platform"):
                    change = _decode(
                        "servers/i-1", builders.server_value(Address=address)
                    )
                self.assertEqual(change, gateway.EndpointEntryRemoved("i-1"))

    def test_a_registration_becomes_an_endpoint(self) -> None:
        change = _decode("servers/i-1", builders.server_value(State="draining"))
        assert isinstance(change, gateway.EndpointChanged)
        entry = change.entry
        self.assertEqual(entry.endpoint_id, "i-1")
        self.assertEqual((entry.address, entry.port), ("10.0.0.1", 80))
        self.assertIs(entry.state, discovery.EndpointState.DRAINING)
        self.assertEqual(entry.started_ms, 17)

    def test_an_invalid_entry_counts_as_removed(self) -> None:
        values = [
            b"\x00\x01",
            b"null",
            b"{}",
            builders.server_value(State="resting"),
            builders.server_value(State=3),
            builders.server_value(Address="10.0.0.1"),
            builders.server_value(Address="10.0.0.1:x"),
            builders.server_value(Address="10.0.0.1:70000"),
            builders.server_value(Service=""),
            builders.server_value(Slots="2"),
            builders.server_value(born=1.5),
        ]
        for value in values:
            with self.subTest(value=value):
                with self.assertLogs("geraniumstair.platform"):
                    change = _decode("servers/i-1", value)
                self.assertEqual(change, gateway.EndpointEntryRemoved("i-1"))

    def test_an_availability_zone_is_out_while_its_order_exists(self) -> None:
        self.assertEqual(
            _decode("op/evacuate/z1", b"{}"), gateway.ZoneChanged("z1", True)
        )
        self.assertEqual(
            _decode("op/evacuate/z1", None), gateway.ZoneChanged("z1", False)
        )

    def test_recorded_progress_is_decoded_as_it_was_encoded(self) -> None:
        for progress in (
            canary.Progress.GOING_ON,
            canary.Progress.DONE,
            canary.Progress.TAKEN_BACK,
        ):
            put = _decoder.PlatformEncoder().encode_rollout("s", "v2", progress)
            change = _decode(put.key, put.value)
            assert isinstance(change, gateway.RolloutRecord)
            self.assertIs(change.progress, progress)
            self.assertEqual(change.version, "v2")

    def test_other_keys_are_ignored(self) -> None:
        self.assertIsNone(_decode("geraniumstair/nodes/n1", b"{}"))


class PlatformDialectTest(unittest.TestCase):
    """Guards against responses to another request, and false guarantees."""

    def _classify(self, response) -> forward.Reply | None:
        return _http.PlatformDialect().classify(response, b"q1")

    def test_a_response_without_a_signature_is_lost(self) -> None:
        signed = builders.response(x_response_stamp="s", x_attempt_id="q1")
        self.assertIs(self._classify(signed).outcome, forward.Outcome.ANSWERED)
        self.assertIs(
            self._classify(builders.response()).outcome, forward.Outcome.LOST
        )

    def test_a_response_to_another_request_is_ignored(self) -> None:
        other_response = builders.response(
            x_response_stamp="s", x_attempt_id="q0"
        )
        self.assertIsNone(self._classify(other_response))

    def test_only_the_endpoint_can_state_that_a_request_has_not_run(
        self,
    ) -> None:
        refused = builders.response(503, x_not_executed="1")
        self.assertTrue(self._classify(refused).outcome.not_run)
        misdirected = builders.response(421, x_instance_id="i-2")
        self.assertTrue(self._classify(misdirected).outcome.not_run)
        unconfirmed = builders.response(503, x_response_stamp="s")
        self.assertFalse(self._classify(unconfirmed).outcome.not_run)

    def test_a_response_with_an_encoded_body_is_lost(self) -> None:
        encoded = builders.response(
            x_response_stamp="s", content_encoding="gzip"
        )
        self.assertIs(self._classify(encoded).outcome, forward.Outcome.LOST)

    def test_a_stated_rate_limit_is_parsed_and_a_wrong_one_is_logged(
        self,
    ) -> None:
        def classify(value: str) -> forward.Reply | None:
            return dialect.classify(
                builders.response(
                    x_response_stamp="s", x_attempt_id="q1", server_limit=value
                ),
                b"q1",
            )

        dialect = _http.PlatformDialect()
        self.assertEqual(classify("11.75").rate_limit_per_s, 11.75)
        self.assertEqual(classify("0").rate_limit_per_s, 0.0)
        for invalid in ("", "many", "nan", "inf", "-1"):
            with self.assertLogs(_http.__name__, "WARNING"):
                self.assertIsNone(classify(invalid).rate_limit_per_s)
        with self.assertNoLogs(_http.__name__):
            classify("-1")

    def test_another_endpoint_at_the_address_states_nothing(self) -> None:
        misdirected = builders.response(
            421, server_limit="3", server_leaving="1", retry_after="9"
        )
        reply = self._classify(misdirected)
        self.assertIsNone(reply.rate_limit_per_s)
        self.assertFalse(reply.leaving)
        self.assertEqual(reply.pause_s, 0.0)

    def test_an_endpoint_that_shuts_down_says_so_in_any_answer(self) -> None:
        for status in (200, 404, 500, 503):
            answer = builders.response(
                status, x_response_stamp="s", server_leaving="1"
            )
            self.assertTrue(self._classify(answer).leaving)
        answer = builders.response(x_response_stamp="s", server_leaving="0")
        self.assertFalse(self._classify(answer).leaving)

    def test_only_a_rejection_with_seconds_asks_for_a_pause(self) -> None:
        for status, value, pause_s in (
            (503, "2", 2.0),
            (503, "0.25", 0.25),
            (503, "-1", 0.0),
            (503, "soon", 0.0),
            (503, "nan", 0.0),
            (200, "2", 0.0),
            (429, "2", 0.0),
        ):
            answer = builders.response(
                status,
                x_response_stamp="s",
                x_not_executed="1",
                retry_after=value,
            )
            with self.subTest(status=status, value=value):
                self.assertEqual(self._classify(answer).pause_s, pause_s)

    def test_the_idle_limit_is_parsed(self) -> None:
        dialect = _http.PlatformDialect()
        with_limit = builders.response(keep_alive="timeout=5, max=100")
        self.assertEqual(dialect.idle_limit_s(with_limit), 5.0)
        self.assertIsNone(dialect.idle_limit_s(builders.response()))
        invalid = builders.response(keep_alive="timeout=x")
        self.assertIsNone(dialect.idle_limit_s(invalid))


class PlatformCodecTest(unittest.TestCase):
    """Guards against modified requests and misleading statuses."""

    def _head(self, *headers: tuple[bytes, bytes]) -> gateway.RequestHead:
        return gateway.RequestHead(
            method=b"POST",
            target=b"/a/b%2F?c=d",
            path="/a/b%2F",
            headers=[(b"host", b"p.example"), *headers],
            received_s=0.0,
        )

    def test_a_request_reaches_the_endpoint_unchanged(self) -> None:
        head = self._head(
            (b"x-attempt-id", b"q1"),
            (b"x-time-remaining", b"600"),
            (b"connection", b"keep-alive, x-hop"),
            (b"x-hop", b"1"),
            (b"x-expected-instance", b"forged"),
            (b"x-other", b"2"),
        )
        parsed = _http.PlatformCodec().parse(head, b"body").ok_value
        sent = _http.PlatformDialect().prepare(parsed).encode("i-1", 512.9)
        head_bytes, _, body = sent.partition(b"\r\n\r\n")
        lines = head_bytes.split(b"\r\n")
        self.assertEqual(lines[0], b"POST /a/b%2F?c=d HTTP/1.1")
        self.assertEqual(
            sorted(lines[1:]),
            [
                b"content-length: 4",
                b"host: p.example",
                b"x-attempt-id: q1",
                b"x-expected-instance: i-1",
                b"x-other: 2",
                b"x-time-remaining: 512",
            ],
        )
        self.assertEqual(body, b"body")

    def test_invalid_headers_are_rejected(self) -> None:
        codec = _http.PlatformCodec()
        request_id = (b"x-attempt-id", b"q1")
        for fields in (
            [],
            [request_id, (b"x-time-remaining", b"soon")],
            [request_id, (b"x-time-remaining", b"nan")],
            [request_id, (b"x-time-remaining", b"-1")],
        ):
            with self.subTest(fields=fields):
                parsed = codec.parse(self._head(*fields), None)
                self.assertIsInstance(parsed, result.Err)

    def test_only_a_request_that_has_not_run_gets_503(self) -> None:
        codec = _http.PlatformCodec()
        final_statuses = {
            forward.RefusalReason.NO_ROUTE: 404,
            forward.RefusalReason.UNKNOWN_KEY: 401,
        }
        for reason in forward.RefusalReason:
            for not_run in (True, False):
                refused = forward.Refused(reason, not_run, 0.25, "why")
                response = codec.render(refused)
                with self.subTest(reason=reason, not_run=not_run):
                    if reason in final_statuses:
                        self.assertEqual(
                            response.status, final_statuses[reason]
                        )
                        continue
                    self.assertEqual(response.status == 503, not_run)
                    retry_after = dict(response.headers).get(b"retry-after")
                    self.assertEqual(retry_after, b"0.250" if not_run else None)

    def test_a_search_response_lists_its_parts(self) -> None:
        search_result = forward.SearchResult([b"s1", b"s2"], 1, b"r" * 16)
        response = _http.PlatformCodec().render(search_result)
        fields = dict(response.headers)
        self.assertEqual(response.status, 200)
        self.assertEqual(fields[b"x-part-stamps"], b"s1, s2")
        self.assertEqual(fields[b"x-parts-missing"], b"1")
        self.assertEqual(response.body, b"r" * 16)

    def test_the_response_of_an_endpoint_reaches_the_caller(self) -> None:
        reply = forward.Reply(
            forward.Outcome.FAILED,
            "",
            500,
            [(b"X-Response-Stamp", b"s"), (b"Transfer-Encoding", b"chunked")],
            b"oops",
            b"s",
        )
        response = _http.PlatformCodec().render(forward.SingleResult(reply))
        self.assertEqual(response.status, 500)
        self.assertEqual(response.headers, [(b"X-Response-Stamp", b"s")])
        self.assertEqual(response.body, b"oops")


class SettingsTest(unittest.TestCase):
    """Guards against a node that starts with settings it cannot use."""

    def _load(self, **changes: object) -> gateway.GatewaySettings:
        fields = {
            "NodeName": "n1",
            "Zone": "z1",
            "Listen": {
                "Front": "10.0.0.1:1",
                "Ready": "10.0.0.1:2",
                "Control": "10.0.0.1:3",
            },
            "InternalPorts": [7380, 7395],
            "Seeds": ["10.0.0.2:3"],
            "Bounds": {"GraceS": 6, "BudgetSlack": 54},
            "platform": {"Address": "10.9.0.1:8102"},
            "Unknown": 1,
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.json"
            path.write_text(json.dumps(fields | changes))
            loaded = _settings.load_settings(str(path))
        return _settings.build_gateway_settings(loaded)

    def test_fields_are_translated_and_unknown_ones_ignored(self) -> None:
        settings = self._load()
        self.assertEqual(settings.node_id, "n1")
        self.assertEqual(settings.callers, peers.PeerAddress("10.0.0.1", 1))
        self.assertEqual(settings.metrics.port, 7395)
        self.assertEqual(settings.budget.extra_repeats, 54.0)
        self.assertEqual(
            settings.revocation, accounts.RevocationLimits(False, 5.0)
        )
        settings = self._load(Bounds={"StrictRevoke": True, "RevokeMs": 2500})
        self.assertEqual(
            settings.revocation, accounts.RevocationLimits(True, 2.5)
        )
        limits = {"MemoryMb": 300, "MaxFds": 4100}
        settings = self._load(Limits=limits)
        self.assertEqual(settings.memory_bytes, 300 * 1024 * 1024)
        self.assertEqual(settings.max_descriptors, 4100)

    def test_invalid_settings_are_rejected(self) -> None:
        for changes in (
            {"NodeName": ""},
            {"Seeds": ["10.0.0.2"]},
            {"InternalPorts": []},
            {"platform": None},
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(errors.SettingsError):
                    self._load(**changes)
        with self.assertRaises(errors.SettingsError):
            _settings.load_settings("/nonexistent")


class _FakeConnection:
    """Fake connection to the store that returns prepared replies."""

    def __init__(self, *replies: object) -> None:
        self.replies = list(replies)
        self.calls: list[tuple[str, str, bytes]] = []

    async def send_request(
        self, kind: str, path: str, body: bytes, **options: object
    ) -> object:
        """Records the call and returns the next reply."""
        self.calls.append((str(options.get("method", "POST")), path, body))
        reply = self.replies.pop(0)
        if isinstance(reply, int):
            return result.Err(
                store.CallFailure(store.Effect.NONE, f"{reply}", reply)
            )
        return result.Ok(store.Reply(json.dumps(reply).encode()))


class PlatformStoreTest(unittest.TestCase):
    """Guards against misinterpreted replies of the store."""

    def _store(self, *replies: object) -> _store.PlatformStore:
        platform_store = _store.PlatformStore(
            "10.0.0.1:1", store.StoreMetrics()
        )
        self.connection = _FakeConnection(*replies)
        platform_store._connection = self.connection
        return platform_store

    def test_pages_are_read_to_the_end_at_the_first_revision(self) -> None:
        first = {"Key": "a", "Value": "MQ==", "Revision": 3, "Created": 3}
        second = {"Key": "b", "Value": "Mg==", "Revision": 9, "Created": 9}
        platform_store = self._store(
            {"items": [first], "HasMore": True, "StoreRevision": 5},
            {"items": [second], "HasMore": False, "StoreRevision": 9},
        )
        items, position = trio.run(platform_store.read_all).ok_value
        self.assertEqual(position, 5)
        self.assertEqual([i.value for i in items], [b"1", b"2"])
        self.assertIn("after=a", self.connection.calls[1][1])

    def test_a_compacted_history_is_reported(self) -> None:
        platform_store = self._store(410)
        with self.assertRaises(store.WatchCompactedError):
            trio.run(platform_store.wait_for_changes, 5, 1000)

    def test_deletions_differ_from_empty_values(self) -> None:
        platform_store = self._store(
            {
                "events": [
                    {"Key": "a", "Value": "", "Revision": 6, "Created": 6},
                    {"Key": "b", "Revision": 7, "Deleted": True},
                ],
                "StoreRevision": 7,
            }
        )
        items, position = trio.run(
            platform_store.wait_for_changes, 5, 1000
        ).ok_value
        self.assertEqual([i.value for i in items], [b"", None])
        self.assertEqual(position, 7)

    def test_a_failed_compare_is_not_a_store_failure(self) -> None:
        platform_store = self._store(412)
        compare = store.Compare("k", store.CompareTarget.MOD_REVISION, 3)
        outcome = trio.run(
            platform_store.commit,
            store.Transaction([compare], [store.Put("k", b"v")]),
        )
        self.assertFalse(outcome.ok_value.committed)
        sent = json.loads(self.connection.calls[0][2])
        self.assertEqual(sent["ExpectedRev"], [{"Key": "k", "Revision": 3}])

    def test_an_expired_lease_and_a_missing_key_are_reported(self) -> None:
        platform_store = self._store(404, 404)
        self.assertEqual(
            trio.run(platform_store.keep_alive, 4), result.Ok(False)
        )
        self.assertEqual(trio.run(platform_store.get, "k"), result.Ok(None))

    def test_an_invalid_reply_is_a_failure(self) -> None:
        platform_store = self._store({"odd": 1})
        outcome = trio.run(platform_store.grant_lease, 5)
        self.assertIs(outcome.err_value.effect, store.Effect.UNKNOWN)
