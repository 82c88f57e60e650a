"""Tests of account keys, from the caller's header to the endpoint's."""

import io
import logging
import unittest
from unittest import mock

import trio

from geraniumstair import accounts
from geraniumstair import observe
from geraniumstair import wire
from geraniumstair._generated import messages
from geraniumstair.accounts import _directory
from geraniumstair.forward import _forwarder
from geraniumstair.forward import _parts
from geraniumstair.platform import _decoder
from tests import builders_accounts as builders
from tests import builders_gateway

_KEY = "k3y-of-the-account"
_OUTCOMES = {200: "accepted", 401: "unknown_key", 503: "stale"}


class AccountDirectoryTest(unittest.TestCase):
    """Guards against wrong accounts, and lookups that tell keys apart."""

    def test_only_an_exact_key_finds_its_account(self) -> None:
        known = builders.directory(a=["k1", "k2"], b=["k3", ""], c=[])
        for key, name in (("k1", "a"), ("k2", "a"), ("k3", "b")):
            account = known.find_by_key(key.encode())
            assert account is not None
            self.assertEqual(account.name, name)
        for key in (b"", b"k", b"k11", b"K1", b" k1"):
            self.assertIsNone(known.find_by_key(key))

    def test_a_lookup_is_one_digest_with_a_random_key(self) -> None:
        sizes = (82, 100_000)
        for size in sizes:
            known = builders.directory(a=[f"k{i}" for i in range(size)])
            for key in (b"k1", b"k1x", b"zz"):
                with mock.patch.object(
                    _directory, "_digest", wraps=_directory._digest
                ) as digest:
                    known.find_by_key(key)
                digest.assert_called_once_with(key)
        before = _directory._digest(b"k1")
        with mock.patch.object(_directory, "_PROCESS_KEY", b"another"):
            self.assertNotEqual(_directory._digest(b"k1"), before)

    def test_a_key_of_two_accounts_belongs_to_the_first(self) -> None:
        known = builders.directory(a=["k"], b=["k"])
        account = known.find_by_key(b"k")
        assert account is not None
        self.assertEqual(account.name, "a")
        self.assertEqual(known.shared_key_accounts, {"b"})


class DecodeAccountsTest(unittest.TestCase):
    """Guards against accounts that are lost, or that break a configuration."""

    def _decode(self, **fields: object) -> accounts.AccountDirectory | None:
        item = builders.configuration(**fields)
        change = _decoder.PlatformDecoder().decode(item)
        assert change is not None
        return change.table.accounts

    def test_only_a_configuration_with_accounts_has_a_directory(self) -> None:
        self.assertIsNone(self._decode())
        self.assertIsNone(self._decode(Tenants=None))
        self.assertIsNotNone(self._decode(Tenants=[]))

    def test_accounts_that_did_not_change_are_not_built_again(self) -> None:
        decoder = _decoder.PlatformDecoder()
        directories = [
            decoder.decode(
                builders.configuration(
                    Version=version, Tenants=[{"Name": "a", "ApiKeys": [key]}]
                )
            ).table.accounts
            for version, key in ((1, "k1"), (2, "k1"), (3, "k2"))
        ]
        self.assertIs(directories[0], directories[1])
        self.assertIsNone(directories[2].find_by_key(b"k1"))
        self.assertIsNotNone(directories[2].find_by_key(b"k2"))

    def test_an_account_without_a_usable_name_is_left_out(self) -> None:
        tenants = [
            {"Name": name, "ApiKeys": [f"k{i}"], "Priority": 2.5}
            for i, name in enumerate(("", "a\r\nx: y", "ok"))
        ]
        with self.assertLogs("geraniumstair.platform", "ERROR"):
            known = self._decode(Tenants=tenants)
        assert known is not None
        self.assertIsNone(known.find_by_key(b"k0"))
        self.assertIsNone(known.find_by_key(b"k1"))
        self.assertEqual(known.find_by_key(b"k2"), accounts.Account("ok", 2.5))


class AuthenticationTest(unittest.TestCase):
    """Guards against requests that pass without a key, or leak one."""

    def test_a_site_without_accounts_forwards_headers_unchanged(self) -> None:
        headers = [(b"authorization", b"Basic x"), (b"x-tenant", b"t")]
        served = builders.serve(None, headers)
        self.assertEqual(served.status, 200)
        self.assertIn(b"authorization: Basic x\r\n", served.sent)
        self.assertIn(b"x-tenant: t\r\n", served.sent)

    def test_an_endpoint_is_told_the_account_and_not_the_key(self) -> None:
        known = builders.directory(urgent=[_KEY])
        for scheme in (b"Bearer ", b"bearer  "):
            served = builders.serve(
                known,
                [
                    (b"x-tenant", b"forged"),
                    (b"authorization", scheme + _KEY.encode()),
                    (b"x-other", b"o"),
                ],
            )
            self.assertEqual(served.status, 200)
            self.assertEqual(served.sent.count(b"x-tenant"), 1)
            self.assertIn(b"x-tenant: urgent\r\n", served.sent)
            self.assertIn(b"x-other: o\r\n", served.sent)
            self.assertNotIn(b"uthorization", served.sent)
            assert served.request is not None
            self.assertEqual(served.request.account, "urgent")
            self.assertEqual(served.request.priority, 0)

    def test_a_keyless_route_names_no_account(self) -> None:
        headers = [
            (b"x-tenant", b"forged"),
            (b"authorization", b"Bearer " + _KEY.encode()),
        ]
        known = builders.directory(a=[_KEY])
        for sent_headers in (headers, []):
            served = builders.serve(known, sent_headers, keyless=True)
            self.assertEqual(served.status, 200)
            self.assertNotIn(b"x-tenant", served.sent)
            self.assertNotIn(b"authorization", served.sent)

    def test_other_keys_get_401_and_reach_no_endpoint(self) -> None:
        key = _KEY.encode()
        good = (b"authorization", b"Bearer " + key)
        for headers in (
            [],
            [(b"authorization", b"Bearer x")],
            [(b"authorization", b"Bearer")],
            [(b"authorization", b"Bearer ")],
            [(b"authorization", key)],
            [(b"authorization", b"Basic " + key)],
            [(b"authorization", b"Bearer " + key + b" x")],
            [(b"authorization", b"Bearer " + key + b"," + key)],
            [(b"authorization", b"Bearer \xff\x00")],
            [good, good],
            [good, (b"authorization", b"Basic x")],
        ):
            with self.subTest(headers=headers):
                served = builders.serve(builders.directory(a=[_KEY]), headers)
                self.assertEqual(served.status, 401)
                self.assertIsNone(served.request)
        for known, age_s in (
            (builders.directory(), 0.0),
            (builders.directory(a=["k"]), None),
        ):
            served = builders.serve(known, [good], age_s=age_s)
            self.assertEqual(served.status, 401)

    def test_what_a_node_cannot_know_precedes_what_it_knows(self) -> None:
        # Oldest freshness that suffices, in s; the margin is 0.3 s.
        for age_s, path, keyless, key, status in (
            (4.69, b"/p/x", False, _KEY, 200),
            (4.69, b"/p/x", False, "x", 401),
            (4.71, b"/p/x", False, _KEY, 503),
            (4.71, b"/p/x", False, "x", 503),
            (4.71, b"/p/x", False, "", 503),
            (4.71, b"/p/x", True, "x", 200),
            (4.71, b"/other", False, "x", 404),
            (float("inf"), b"/p/x", False, _KEY, 503),
        ):
            headers = [(b"authorization", f"Bearer {key}".encode())]
            with self.subTest(age_s=age_s, path=path, key=key):
                served = builders.serve(
                    builders.directory(a=[_KEY]),
                    headers,
                    path=path,
                    keyless=keyless,
                    age_s=age_s,
                )
                self.assertEqual(served.status, status)
                self.assertEqual(served.request is not None, status == 200)
                outcome = _OUTCOMES.get(status, "")
                self.assertEqual(
                    f'outcome="{outcome}"}} 1.0' in served.metrics,
                    bool(outcome) and not keyless,
                )
                retry_after = served.headers.get(b"retry-after")
                self.assertEqual(
                    retry_after, b"0.100" if status == 503 else None
                )

    def test_a_node_without_a_configuration_says_nothing_of_keys(self) -> None:
        served = builders.serve(None, [], loaded=False)
        self.assertEqual(served.status, 503)


class ReadinessTest(unittest.TestCase):
    """Guards against callers that are sent to a node that refuses them."""

    def test_a_node_with_old_freshness_is_not_ready(self) -> None:
        check, freshness = builders.key_check(5.0)
        lifecycle = builders.loaded_lifecycle(check)
        self.assertFalse(lifecycle.ready)
        freshness.record(freshness.source, freshness.now_s())
        self.assertTrue(lifecycle.ready)


class PriorityTest(unittest.TestCase):
    """Guards against accounts that are served with the route's priority."""

    def test_an_urgent_account_takes_no_share_from_the_others(self) -> None:
        # After one search of an urgent account, searches of all others were
        # admitted to a part of the limit only, until the node restarted.
        async def test(nursery: trio.Nursery) -> None:
            search = builders_gateway.search_route(["s1"], priority=3)
            fixture = builders_gateway.ForwarderFixture(nursery, [], [search])
            for priority in (0, None):
                request = builders_gateway.caller_request(priority=priority)
                await fixture.forwarder.forward(request, search)
            self.assertTrue(fixture.forwarder._is_most_urgent(search))

        builders_gateway.run_on_virtual_clock(test)

    def test_calls_have_the_priority_of_the_account(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            search = builders_gateway.search_route(["s1"], priority=3)
            single = builders_gateway.route(priority=3)
            fixture = builders_gateway.ForwarderFixture(
                nursery, [builders_gateway.endpoint_entry("x")], [single]
            )
            for priority in (None, 0):
                request = builders_gateway.caller_request(priority=priority)
                await fixture.forwarder.forward(request, single)
                await fixture.forwarder.forward(request, search)
                await fixture.forwarder.gather(request, search, ("s1",))
            priorities = [call.priority for _, call, _ in fixture.site.sent]
            self.assertEqual(priorities, [3, 3, 3, 0, 0, 0])

        builders_gateway.run_on_virtual_clock(test)

    def test_a_node_that_calls_shards_for_another_knows_the_account(
        self,
    ) -> None:
        async def test(nursery: trio.Nursery) -> None:
            server = builders.RecordingPartsServer()
            search = builders_gateway.search_route(["s1"], priority=3)
            for account, priority in (("urgent", 0), ("", None), ("no", None)):
                request = builders_gateway.caller_request(
                    account=account,
                    priority=priority,
                    fields=[(b"x-tenant", account.encode())],
                )
                message = _parts.encode_request(
                    request,
                    _forwarder._apply_priority(request, search),
                    _parts.ShardGroup("n2", ("s1",)),
                    1,
                    0.0,
                )
                encoded = wire.encode(message)
                decoded = wire.decode(encoded)
                assert isinstance(decoded, messages.PartsRequest)
                await server.handle(decoded)
                self.assertEqual(server.requests[-1].account, account)
                expected = 3 if priority is None else priority
                self.assertEqual(server.routes[-1].priority, expected)
                self.assertIsNone(server.requests[-1].priority)

        builders_gateway.run_on_virtual_clock(test)


class SecrecyTest(unittest.TestCase):
    """Guards against keys in log lines, dumps, metrics and errors."""

    def test_no_output_holds_a_key(self) -> None:
        lines = io.StringIO()
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        try:
            observe.configure_logging("json", "DEBUG", stream=lines)
            shown = self._exercise()
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
            logging.getLogger("geraniumstair").setLevel(logging.NOTSET)
        self.assertIn("no account has its key", lines.getvalue())
        self.assertIn("a newer configuration may exist", lines.getvalue())
        self.assertIn("unexpected error", lines.getvalue())
        for text in (lines.getvalue(), *shown):
            self.assertNotIn(_KEY, text)
            self.assertNotIn("sent-by-caller", text)

    def _exercise(self) -> list[str]:
        """Returns dumps and metrics after requests that go well and wrong."""
        decoder = _decoder.PlatformDecoder()
        shown = []
        for tenants in (
            [
                {"Name": "a", "ApiKeys": [_KEY]},
                {"Name": "b", "ApiKeys": [_KEY]},
            ],
            [{"Name": "\n", "ApiKeys": [_KEY]}],
            [{"Name": 1, "ApiKeys": [_KEY]}],
            [{"Name": "a", "ApiKeys": _KEY}],
            [{"Name": "a", "ApiKeys": [_KEY], "Priority": _KEY}],
        ):
            change = decoder.decode(builders.configuration(Tenants=tenants))
            shown.append(repr(change))
        known = builders.directory(a=[_KEY])
        for key in (_KEY, "sent-by-caller", f"{_KEY} sent-by-caller"):
            headers = [(b"authorization", f"Bearer {key}".encode())]
            for age_s in (0.0, 9.0):
                served = builders.serve(known, headers, age_s=age_s)
                shown += [str(served.headers), served.body.decode()]
                shown += [served.metrics, repr(served.request)]
            builders.serve(known, headers, error=RuntimeError("broken"))
        shown.append(builders.dump_revocation(known))
        return shown


if __name__ == "__main__":
    unittest.main()
