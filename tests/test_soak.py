"""Tests that the callers of the soak test detect incorrect responses."""

import random
import unittest

import httpcore

from soak import _callers
from soak import _endpoints

_BODY = bytes(range(128))


class CallerChecksTest(unittest.TestCase):
    """Guards against a soak test that accepts incorrect responses."""

    def setUp(self) -> None:
        self.run_log = _endpoints.RunLog()
        for name, service in (("a", "s0"), ("b", "s1"), ("c", "s0")):
            self.run_log.responses[name] = _endpoints.EndpointResponse(
                "q1", service, _BODY
            )
        self.run_log.responses["old"] = _endpoints.EndpointResponse(
            "q0", "s1", _BODY
        )
        self.tally = _callers.Tally()
        self.caller = _callers.Caller(
            {},
            self.run_log,
            [frozenset(["s0", "s1"])],
            random.Random(1),
            self.tally,
        )

    def _merge_records(self, count: int) -> bytes:
        size = _endpoints.RECORD_BYTES
        records = sorted(
            [_BODY[i : i + size] for i in range(0, len(_BODY), size)] * count,
            reverse=True,
        )
        return b"".join(records[: _callers.TOP_RECORD_COUNT])

    def _check_search(
        self, stamps: str, body: bytes, missing: str = "0"
    ) -> int:
        response = httpcore.Response(
            200,
            headers=[
                (b"X-Part-Stamps", stamps.encode()),
                (b"X-Parts-Missing", missing.encode()),
            ],
            content=body,
        )
        response.read()
        self.caller._check_response("q1", False, response)
        return len(self.tally.violations)

    def test_complete_response_has_no_violation(self) -> None:
        self.assertEqual(self._check_search("a, b", self._merge_records(2)), 0)
        self.assertEqual(self.tally.answered, 1)

    def test_incorrect_responses_are_violations(self) -> None:
        merged = self._merge_records(2)
        for number, (stamps, body, missing) in enumerate(
            (
                ("a, old", merged, "0"),
                ("a, c", merged, "0"),
                ("a", self._merge_records(1), "0"),
                ("a", self._merge_records(1), "1"),
                ("a, b", merged[:-1], "0"),
                ("a, unknown", merged, "0"),
            ),
            1,
        ):
            with self.subTest(stamps=stamps, missing=missing):
                self.assertEqual(
                    self._check_search(stamps, body, missing), number
                )

    def test_ids_of_requests_rejected_as_not_run_are_recorded(self) -> None:
        response = httpcore.Response(503)
        response.read()
        self.caller._check_response("q1", True, response)
        self.assertIn("q1", self.tally.rejected_ids)
