"""Tests of the start of a node's process on the users' platform."""

import subprocess
import sys
import unittest

# Sends SIGHUP to the process while it imports its libraries.
_SIGNAL_DURING_IMPORT = """
import importlib.abc
import os
import runpy
import signal
import sys


class SignalAtImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "trio":
            os.kill(os.getpid(), signal.SIGHUP)
        return None


sys.meta_path.insert(0, SignalAtImport())
runpy.run_module("geraniumstair.platform", run_name="__main__")
"""
_INVALID_SETTINGS_EXIT_STATUS = 2
_PRINT_MODULES = """
import sys
import geraniumstair.platform._process
print(*sys.modules)
"""


class StartTest(unittest.TestCase):
    """Guards against a process that a change of its settings ends."""

    def test_a_signal_during_the_imports_does_not_end_the_process(self) -> None:
        # The process ended silently with status -1 if the signal came in its
        # first 0.2 s.
        process = subprocess.run(
            [sys.executable, "-c", _SIGNAL_DURING_IMPORT],
            env={},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(process.returncode, _INVALID_SETTINGS_EXIT_STATUS)
        self.assertIn("GERANIUMSTAIR_BOOT is not set", process.stdout)

    def test_hypercorn_is_not_imported(self) -> None:
        # It was a seventh of the time of the imports.
        output = subprocess.run(
            [sys.executable, "-c", _PRINT_MODULES],
            env={},
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        ).stdout.split()
        self.assertIn("geraniumstair.listeners", output)
        for name in ("hypercorn", "wsproto"):
            self.assertNotIn(name, output)


if __name__ == "__main__":
    unittest.main()
