"""Tests of the `devsite` package that start no node process."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

import trio
import yaml

import devsite
from geraniumstair import configuration
from geraniumstair._generated import document as document_models
from geraniumstair._generated import settings as settings_models


class BuildDocumentTest(unittest.TestCase):
    """Guards against sizes that differ from those of the design page."""

    def test_sizes_have_the_endpoints_of_the_design(self) -> None:
        self.assertEqual(devsite.ASSOCIATION.endpoint_count(), 108)
        self.assertEqual(devsite.COOPERATIVE.endpoint_count(), 106)

    def test_document_round_trips_through_yaml(self) -> None:
        for size in devsite.SIZES.values():
            ports = list(range(20000, 20000 + size.endpoint_count()))
            document = devsite.build_document(size, ports)
            text = devsite.render_document(document)
            read = document_models.Document.model_validate(yaml.safe_load(text))
            topology = configuration.build_topology(read, 1)
            used = {
                e.port for specs in topology.endpoints.values() for e in specs
            }
            self.assertEqual(used, set(ports))
            settings = devsite.build_endpoint_settings(size, document, seed=1)
            self.assertEqual({s.port for s in settings}, used)


class FreePortsTest(unittest.TestCase):
    """Guards against allocating a port twice."""

    def test_ports_differ(self) -> None:
        ports = devsite.allocate_ports(30) + devsite.allocate_ports(30)
        self.assertEqual(len(set(ports)), 60)


class SiteTest(unittest.TestCase):
    """Guards against settings that nodes reject and files that remain."""

    def test_node_settings_are_valid_private_and_removed(self) -> None:
        site = devsite.Site(devsite.SiteOptions(node_count=2))
        path = site.write_node_settings("node-1")
        settings = settings_models.Settings.model_validate(
            yaml.safe_load(path.read_text())
        )
        self.assertEqual(settings.availability_zone, "r1-b")
        self.assertEqual(len(settings.seeds), 2)
        for secret_path in (path, site.write_token_file()):
            self.assertEqual(secret_path.stat().st_mode & 0o077, 0)
        site.kill_all()
        self.assertFalse(site.directory.exists())


class EndpointFleetTest(unittest.TestCase):
    """Guards against commands that miss endpoints of another process."""

    def test_control_reaches_all_processes(self) -> None:
        async def run() -> None:
            size = devsite.SMALL
            document = devsite.build_document(
                size, devsite.allocate_ports(size.endpoint_count())
            )
            settings = devsite.build_endpoint_settings(
                size, document, seed=1, mean_service_ms=5.0
            )
            with tempfile.TemporaryDirectory() as name:
                directory = pathlib.Path(name)
                fleet = devsite.EndpointFleet(settings, directory, 2)
                try:
                    ports = await fleet.start()
                    await fleet.control("turn_cold")
                    reports = await fleet.fetch_reports()
                finally:
                    await fleet.stop()
            self.assertEqual(ports, {s.name: s.port for s in settings})
            self.assertTrue(all(r["cold"] for r in reports.values()))
            self.assertFalse(any(p.running for p in fleet.processes))

        trio.run(run)


_PARENT_SCRIPT = """
import os, pathlib, sys, devsite
child = devsite.ManagedProcess(
    "child", ["-c", "import time; time.sleep(600)"], pathlib.Path(sys.argv[1])
)
print(child.pid, flush=True)
os.kill(os.getpid(), 9)
"""


class ManagedProcessTest(unittest.TestCase):
    """Guards against children that survive a killed parent."""

    def test_child_is_killed_when_its_parent_exits(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            parent = subprocess.run(
                [sys.executable, "-c", _PARENT_SCRIPT, name],
                capture_output=True,
                check=False,
            )
            pid = int(parent.stdout)
            self._wait_for_exit(pid)

    def _wait_for_exit(self, pid: int) -> None:
        for _ in range(1000):
            try:
                os.kill(pid, 0)
                state = pathlib.Path(f"/proc/{pid}/stat").read_text()
            except (ProcessLookupError, FileNotFoundError):
                return
            if state.rpartition(")")[2].split()[0] == "Z":
                return
            time.sleep(0.01)
        self.fail("the child is still running")

    def test_failed_start_error_contains_log(self) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as name:
                process = devsite.ManagedProcess(
                    "broken",
                    ["-c", "raise SystemExit('x1')"],
                    pathlib.Path(name),
                )
                with self.assertRaisesRegex(devsite.ProcessFailed, "x1"):
                    await process.wait_first_line(20)

        trio.run(run)
