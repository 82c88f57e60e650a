"""Tests of the start of a node's process on the users' platform."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any
import unittest
from unittest import mock

from devsite import _ports
from geraniumstair.platform import _early_listener

# Runs the program; at the first import of `trio`, sends a signal to the process
# or says so and waits for a line.
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
_WAIT = "print('importing', flush=True); sys.stdin.readline()"
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
            _early_listener.SETTINGS_VARIABLE: str(self.path),
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

    def test_an_address_that_cannot_be_used_opens_no_listener(self) -> None:
        used = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(used.close)
        address = f"127.0.0.1:{used.getsockname()[1]}"
        with mock.patch.dict(os.environ, self.environment):
            for callers in (address, "::1:x", "10.0.0.1:99999", "h.example:80"):
                with self.subTest(callers):
                    self.path.write_text(json.dumps(_settings(callers)))
                    self.assertIsNone(_early_listener.open_listener())


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
    # All that may be imported before the listener for callers is open.
    _PACKAGES_BEFORE_LISTENER = frozenset(
        [
            "geraniumstair",
            "geraniumstair.platform",
            "geraniumstair.platform._early_listener",
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

    def test_the_early_listener_imports_only_the_standard_library(self) -> None:
        modules = self._import(
            "geraniumstair.platform._early_listener"
        ) - self._import("__main__")
        allowed = self._PACKAGES_BEFORE_LISTENER | sys.stdlib_module_names
        self.assertEqual(
            {
                m
                for m in modules
                if m not in allowed and m.partition(".")[0] not in allowed
            },
            set(),
        )
        self.assertEqual(
            {m for m in modules if m.startswith("geraniumstair")},
            self._PACKAGES_BEFORE_LISTENER,
        )
        # These take as long as a small library.
        self.assertEqual(
            modules & {"asyncio", "logging", "ssl", "subprocess", "typing"},
            set(),
        )


class EarlyConnectionTest(StartTestCase):
    """Guards against a start that refuses callers until all is imported."""

    def test_a_connection_before_the_imports_end_is_answered(self) -> None:
        (port,) = _ports.allocate_ports(1)
        settings = _settings(f"127.0.0.1:{port}")
        self.path.write_text(json.dumps(settings))
        host, _, readiness_port = settings["Listen"]["Ready"].partition(":")
        readiness = (host, int(readiness_port))
        with contextlib.ExitStack() as stack:
            process = stack.enter_context(
                subprocess.Popen(
                    _program(_WAIT),
                    env=self.environment,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            stack.callback(process.kill)
            self.assertEqual(process.stdout.readline(), "importing\n")
            caller = stack.enter_context(
                socket.create_connection(("127.0.0.1", port), _TIMEOUT_S)
            )
            caller.sendall(
                b"GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: q1\r\n"
                b"X-Time-Remaining: 500\r\n\r\n"
            )
            # The load balancer must not take the node for ready.
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(readiness)
            process.stdin.write("\n")
            process.stdin.flush()
            # It knows no routes, because its store does not answer.
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 503 "))
            check = stack.enter_context(
                socket.create_connection(readiness, _TIMEOUT_S)
            )
            check.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
            self.assertTrue(check.recv(4096).startswith(b"HTTP/1.1 503 "))


if __name__ == "__main__":
    unittest.main()
