"""Tests of the CI helpers."""

import unittest

from tools import check_platform
from tools import check_style


class CheckLogMessagesTest(unittest.TestCase):
    """Guards against log lines that lack the prefix of their component."""

    def _faults(self, call: str) -> list[str]:
        return check_style.check_log_messages(call, "peers", "m.py")

    def test_messages(self) -> None:
        self.assertEqual(self._faults('_LOG.info("peers: Up.", 1)'), [])
        self.assertEqual(self._faults('other.info("Up.")'), [])
        for call in (
            '_LOG.info("Up.")',
            '_logger.error(f"peers: {x}")',
            '_LOG.log(level, "Up.")',
        ):
            self.assertEqual(len(self._faults(call)), 1, call)


class CheckMachinePathsTest(unittest.TestCase):
    """Guards against files that only fit one developer's machine."""

    def test_paths(self) -> None:
        text = "docs/work/x\n" + "/" + "home/someone/x\n/tmp/devsite-1\n"
        faults = check_style.check_machine_paths(text, "page.md")
        self.assertEqual(faults, ["page.md:2: names a path of a machine"])


class CheckPlatformTest(unittest.TestCase):
    """Guards against names of the platform that spread into the product."""

    def test_names_are_read_from_literals(self) -> None:
        source = 'A = b"x-odd-name"\nB = "FieldName"\nC = "op/config"\nD = "s"'
        self.assertEqual(
            check_platform.platform_names(source),
            {"x-odd-name", "FieldName", "op/config"},
        )

    def test_names_and_imports_outside_the_folder_are_faults(self) -> None:
        names = {"FieldName"}
        for source, count in (
            ('a = "FieldName"', 1),
            ('a = b"FieldName"', 1),
            ("from geraniumstair.platform import _http", 1),
            ("import geraniumstair.platform._http", 1),
            ("from geraniumstair import platform", 1),
            ("import platform\nfield_name = 1", 0),
        ):
            faults = check_platform.find_faults(source, "m.py", names)
            self.assertEqual(len(faults), count, source)
