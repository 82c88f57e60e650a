"""Tests of the start of a node's process on the users' platform."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any
import unittest

from devsite import _ports
from geraniumstair.platform import _process

# Runs the program; sends a signal to the process at the first import of `trio`.
_PROGRAM = """
import importlib.abc
import os
import runpy
import sys


class StopAtImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "trio":
            {action}
        return None


sys.meta_path.insert(0, StopAtImport())
runpy.run_module("geraniumstair.platform", run_name="__main__")
"""
_SEND_SIGNAL = "os.kill(os.getpid(), {0:d})"
_INVALID_SETTINGS_EXIT_STATUS = 2
_TIMEOUT_S = 60.0


def _program(action: str) -> list[str]:
    return [sys.executable, "-c", _PROGRAM.format(action=action)]


def _settings(callers: str) -> dict[str, Any]:
    ports = _ports.allocate_ports(4)
    return {
        "NodeName": "n0",
        "Zone": "z1",
        "Listen": {
            "Front": callers,
            "Ready": f"127.0.0.1:{ports[0]}",
            "Control": f"127.0.0.1:{ports[1]}",
        },
        "InternalPorts": [ports[2], ports[2]],
        "Bounds": {"GraceS": 1.0},
        # Nothing listens there.
        "platform": {"Address": f"127.0.0.1:{ports[3]}"},
    }


class StartTestCase(unittest.TestCase):
    """Base class of tests with a settings file."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.json"
        self.environment = {
            **os.environ,
            _process.SETTINGS_VARIABLE: str(self.path),
        }

    def run_program(
        self, action: str = "pass", environment: dict[str, str] | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Runs the program until it ends."""
        if environment is None:
            environment = self.environment
        return subprocess.run(
            _program(action),
            env=environment,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )


class SignalTest(StartTestCase):
    """Guards against a process that a change of its settings ends."""

    def test_a_signal_during_the_imports_does_not_end_the_process(self) -> None:
        # The process ended silently with status -1 if the signal came in its
        # first 0.2 s.
        process = self.run_program(_SEND_SIGNAL.format(signal.SIGHUP), {})
        self.assertEqual(process.returncode, _INVALID_SETTINGS_EXIT_STATUS)
        self.assertIn("GERANIUMSTAIR_BOOT is not set", process.stdout)

    def test_termination_during_the_imports_ends_the_process(self) -> None:
        (port,) = _ports.allocate_ports(1)
        self.path.write_text(json.dumps(_settings(f"127.0.0.1:{port}")))
        process = self.run_program(_SEND_SIGNAL.format(signal.SIGTERM))
        self.assertEqual(process.returncode, -signal.SIGTERM)


class SettingsTest(StartTestCase):
    """Guards against an early listener that hides what is wrong."""

    def test_unusable_settings_are_reported(self) -> None:
        cases = {
            None: "cannot read",
            "{": "is not valid",
            "[]": "is not valid",
            json.dumps({"Listen": {"Front": 5}}): "is not valid",
            json.dumps(_settings("127.0.0.1")): "has no port",
            json.dumps(_settings("localhost:8080")): "localhost",
            json.dumps(_settings("127.0.0.1:0")): "no valid port",
        }
        for text, message in cases.items():
            with self.subTest(text=text):
                self.path.unlink(missing_ok=True)
                if text is not None:
                    self.path.write_text(text)
                process = self.run_program()
                self.assertEqual(
                    process.returncode, _INVALID_SETTINGS_EXIT_STATUS
                )
                self.assertIn(message, process.stdout)
                self.assertEqual(process.stderr, "")


class ImportTest(unittest.TestCase):
    """Guards against imports that delay the start of each process."""

    # A program that needs one of them imports it where it is used.
    _HEAVY_MODULES = frozenset(
        [
            "anyio",
            "cappa",
            "certifi",
            "email",
            "geraniumstair._generated.settings",
            "geraniumstair.store._etcd",
            "geraniumstair.store._httpcore_transport",
            "geraniumstair.store._vm_list",
            "http.server",
            # A seventh of the time of the imports.
            "hypercorn",
            "h2",
            "httpcore",
            "prometheus_client",
            "pydantic",
            "urllib.request",
            "wsproto",
            "yaml",
        ]
    )

    def _import(self, module: str) -> frozenset[str]:
        """Returns the modules that are loaded after an import."""
        program = f"import sys, {module}; print(*sys.modules)"
        output = subprocess.run(
            [sys.executable, "-c", program],
            stdout=subprocess.PIPE,
            text=True,
            timeout=_TIMEOUT_S,
            check=True,
        ).stdout
        return frozenset(output.split())

    def test_the_program_imports_no_heavy_module(self) -> None:
        modules = self._import("geraniumstair.platform._process")
        self.assertIn("geraniumstair.listeners", modules)
        self.assertEqual(modules & self._HEAVY_MODULES, set())


if __name__ == "__main__":
    unittest.main()
