"""Tests of the settings and the API client of usage reports."""

import ast
from collections.abc import Callable
import functools
import json
import pathlib
import tempfile
import unittest

import trio

from geraniumstair import errors
from geraniumstair import gateway
from geraniumstair import usage
from geraniumstair.platform import _settings
from geraniumstair.platform import _usage_api

_REPORT = usage.Report(353445120, {"acme": 412})
_API = {
    "Address": "10.0.0.9:1",
    "Duties": ["usage_report"],
    "DutyPerS": 50.0,
}
_CONFIRMED = usage.ApiOutcome.CONFIRMED


class _StandIn:
    """An API that answers each connection with one status.

    Attributes:
        status: The status; None for silence.
        received: The bytes of each connection.
        resets: Number of connections that the client reset.
    """

    def __init__(self, status: int | None) -> None:
        self.status = status
        self.received: list[bytes] = []
        self.resets = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Reads a request with a body, and answers it."""
        index = len(self.received)
        self.received.append(b"")
        try:
            async for data in stream:
                self.received[index] += data
                if data.endswith(b"}") and self.status is not None:
                    await stream.send_all(
                        b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n"
                        % self.status
                    )
        except trio.BrokenResourceError:
            self.resets += 1


class UsageApiTest(unittest.TestCase):
    """Guards against reports that the API misreads, or that come too late."""

    def _send(
        self,
        stand_in: _StandIn,
        may_send: Callable[[], bool] = lambda: True,
    ) -> usage.ApiOutcome:
        outcomes = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    functools.partial(
                        trio.serve_tcp, stand_in.serve, 0, host="127.0.0.1"
                    )
                )
                port = listeners[0].socket.getsockname()[1]
                api = _usage_api.UsageApi(f"127.0.0.1:{port}", "n1")
                outcomes.append(await api.send_report(_REPORT, 77, may_send))
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(run)
        return outcomes[0]

    def test_a_report_has_the_form_of_the_platform(self) -> None:
        stand_in = _StandIn(200)
        self.assertIs(self._send(stand_in), _CONFIRMED)
        head, _, body = stand_in.received[0].partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.assertEqual(lines[0], "POST /usage HTTP/1.1")
        for line in (
            "X-Duty-Holder: n1",
            "X-Fencing-Token: 77",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ):
            self.assertIn(line, lines)
        self.assertEqual(
            json.loads(body), {"WindowId": 353445120, "Counts": {"acme": 412}}
        )

    def test_statuses_are_told_apart(self) -> None:
        for status, expected in (
            (429, usage.ApiOutcome.THROTTLED),
            (500, usage.ApiOutcome.FAILED),
            (409, usage.ApiOutcome.FAILED),
        ):
            with self.subTest(status=status):
                self.assertIs(self._send(_StandIn(status)), expected)

    def test_without_an_answer_the_call_ends(self) -> None:
        limit_s = _usage_api.CALL_TIMEOUT_S
        self.addCleanup(setattr, _usage_api, "CALL_TIMEOUT_S", limit_s)
        _usage_api.CALL_TIMEOUT_S = 0.1
        stand_in = _StandIn(None)
        self.assertIs(self._send(stand_in), usage.ApiOutcome.FAILED)
        self.assertTrue(stand_in.received[0].endswith(b"}"))
        # A reset discards what a cut may still hold up.
        self.assertEqual(stand_in.resets, 1)

    def test_a_refused_connection_is_a_failure(self) -> None:
        async def run() -> usage.ApiOutcome:
            api = _usage_api.UsageApi("127.0.0.1:1", "n1")
            return await api.send_report(_REPORT, 77, lambda: True)

        self.assertIs(trio.run(run), usage.ApiOutcome.FAILED)

    def test_a_node_whose_lease_ended_meanwhile_sends_no_report(self) -> None:
        # It was paused between the decision and the sending.
        stand_in = _StandIn(200)
        outcome = self._send(stand_in, lambda: False)
        self.assertIs(outcome, usage.ApiOutcome.NOT_SENT)
        for received in stand_in.received:
            self.assertNotIn(b"{", received)

    def test_the_client_imports_no_http_library_before_a_report(self) -> None:
        # Each start of a node would take longer.
        source = pathlib.Path(_usage_api.__file__).read_text("utf-8")
        imported = [
            alias.name
            for node in ast.parse(source).body
            if isinstance(node, ast.Import)
            for alias in node.names
        ]
        self.assertNotIn("httpcore", imported)


class UsageSettingsTest(unittest.TestCase):
    """Guards against reports where none are wanted, and useless leases."""

    def _load(self, **changes: object) -> gateway.UsageSettings | None:
        fields = {
            "NodeName": "n1",
            "Zone": "z1",
            "Listen": {
                "Front": "10.0.0.1:1",
                "Ready": "10.0.0.1:2",
                "Control": "10.0.0.1:3",
            },
            "InternalPorts": [7380, 7395],
            "Bounds": {},
            "platform": {"Address": "10.9.0.1:8102"},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.json"
            path.write_text(json.dumps(fields | changes))
            loaded = _settings.load_settings(str(path))
        return _settings.build_gateway_settings(loaded).usage

    def test_reports_need_the_duty_in_the_settings(self) -> None:
        self.assertIsNone(self._load())
        self.assertIsNone(self._load(CloudApi=_API | {"Duties": ["other"]}))
        self.assertEqual(
            self._load(CloudApi=_API), gateway.UsageSettings(5.0, 10.0, 3.0, 3)
        )

    def test_the_lease_is_as_long_as_the_store_and_acts_need(self) -> None:
        bounds = {"LeaseMs": 800, "ReportWindowS": 2, "UsageDelayS": 4}
        store = {"Address": "10.9.0.1:8102", "MinTtlMs": 2500}
        self.assertEqual(
            self._load(CloudApi=_API, Bounds=bounds, platform=store),
            gateway.UsageSettings(2.0, 4.0, 2.5, 3),
        )
        self.assertEqual(
            self._load(CloudApi=_API, Bounds={"LeaseMs": 800}),
            gateway.UsageSettings(5.0, 10.0, 2.5, 2),
        )

    def test_invalid_settings_are_rejected(self) -> None:
        for changes in (
            {"CloudApi": _API | {"Address": "x"}},
            {"Bounds": {"ReportWindowS": 0}},
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(errors.SettingsError):
                    self._load(**changes)


if __name__ == "__main__":
    unittest.main()
