"""Tests of `geraniumstair.errors`."""

import unittest

from geraniumstair import errors
from geraniumstair._generated import codes


class RefusalTest(unittest.TestCase):
    """Guards against `not_run` for codes that do not guarantee it."""

    def test_not_run_follows_the_code_table(self) -> None:
        shed = errors.Refusal(codes.Code.ENDPOINT_SHED, "shed")
        lost = errors.Refusal(codes.Code.CONNECTION_LOST, "lost")
        self.assertTrue(shed.not_run)
        self.assertFalse(lost.not_run)

    def test_every_code_has_properties(self) -> None:
        self.assertEqual(set(codes.Code), set(codes.INFO))
