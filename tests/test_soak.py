"""Tests that the soak's checks find the faults that they look for."""

import random
import unittest

import httpcore

from soak import _callers
from soak import _endpoints

_BODY = bytes(range(128))


class CallerChecksTest(unittest.TestCase):
    """Guards against a soak that passes whatever callers get."""

    def setUp(self) -> None:
        self.log = _endpoints.RunLog()
        for name, service in (("a", "s0"), ("b", "s1"), ("c", "s0")):
            self.log.parts[name] = _endpoints.Part("q1", service, _BODY)
        self.log.parts["old"] = _endpoints.Part("q0", "s1", _BODY)
        self.tally = _callers.Tally()
        self.caller = _callers.Caller(
            {},
            self.log,
            [frozenset(["s0", "s1"])],
            random.Random(1),
            self.tally,
        )

    def _merged(self, count: int) -> bytes:
        size = _endpoints.RECORD_BYTES
        records = sorted(
            [_BODY[i : i + size] for i in range(0, len(_BODY), size)] * count,
            reverse=True,
        )
        return b"".join(records[: _callers.TOP_RECORDS])

    def _search(self, stamps: str, body: bytes, missing: str = "0") -> int:
        response = httpcore.Response(
            200,
            headers=[
                (b"X-Part-Stamps", stamps.encode()),
                (b"X-Parts-Missing", missing.encode()),
            ],
            content=body,
        )
        response.read()
        self.caller._check("q1", False, response)
        return len(self.tally.faults)

    def test_a_whole_answer_has_no_fault(self) -> None:
        self.assertEqual(self._search("a, b", self._merged(2)), 0)
        self.assertEqual(self.tally.answered, 1)

    def test_false_answers_are_found(self) -> None:
        merged = self._merged(2)
        for number, (stamps, body, missing) in enumerate(
            (
                ("a, old", merged, "0"),
                ("a, c", merged, "0"),
                ("a", self._merged(1), "0"),
                ("a", self._merged(1), "1"),
                ("a, b", merged[:-1], "0"),
                ("a, unknown", merged, "0"),
            ),
            1,
        ):
            with self.subTest(stamps=stamps, missing=missing):
                self.assertEqual(self._search(stamps, body, missing), number)

    def test_promises_are_noted_for_the_check_at_the_end(self) -> None:
        response = httpcore.Response(503)
        response.read()
        self.caller._check("q1", True, response)
        self.assertIn("q1", self.tally.promised)
