"""Starts and ends the product's processes, as the deploy file says."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import tempfile
import tomllib
from typing import Any

from review.harness_2 import http1
from review.harness_2 import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 40.0
# Below the ports that systems take for outgoing connections.
PORTS = range(12_000, 30_000)
PORTS_OF_NODE = 4
# Those of the small sites.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000,
    "SyncS": 4, "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200,
    "ConfigApplyMs": 3000, "FallbackMs": 250, "OuterMs": 12000,
    "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 54,
    "ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000,
    "WarmupFactor": 1.5, "WarmupSlack": 5, "EvacuationMs": 5000,
    "RecoveryS": 12,
}  # fmt: skip
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "scatter",
    "places", "rollout", "platform",
]  # fmt: skip


class CannotRun(Exception):
    """The case can't run here."""


def find_free_ports(count: int) -> list[int]:
    """Returns free ports that no outgoing connection takes meanwhile."""
    found: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("there are too few free ports")


class Node:
    """One machine with a process of the product.

    Attributes:
        name: Name of the machine.
        zone: Its zone.
        front: Address for clients.
    """

    def __init__(self, name: str, zone: str, ports: list[int]) -> None:
        self.name = name
        self.zone = zone
        self._ports = ports
        self.front = ("127.0.0.1", self._ports[0])
        self._process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        """Address for other nodes."""
        return f"127.0.0.1:{self._ports[2]}"

    async def start(
        self,
        folder: pathlib.Path,
        platform: store.Store,
        zones: list[str],
        seeds: list[str],
    ) -> None:
        """Writes the settings and starts the process."""
        path = folder / f"{self.name}.json"
        path.write_text(
            json.dumps(self._build_settings(platform, zones, seeds))
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GERANIUMSTAIR_BOOT"] = str(path)
        with (folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _build_settings(
        self, platform: store.Store, zones: list[str], seeds: list[str]
    ) -> dict[str, Any]:
        front, ready, control, internal = self._ports
        return {
            "NodeName": self.name,
            "Role": "node",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": "127.0.0.1",
            "Zone": self.zone,
            "Region": "region",
            "Zones": dict.fromkeys(zones, "region"),
            "Listen": {
                "Front": f"127.0.0.1:{front}",
                "Ready": f"127.0.0.1:{ready}",
                "Control": f"127.0.0.1:{control}",
            },
            "InternalPorts": [internal, internal],
            "Seeds": seeds,
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537, "Cores": 2, "MemoryMb": 300,
                "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "platform": {
                "Address": f"{platform.address[0]}:{platform.address[1]}",
                "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000,
                "HistoryS": 20, "ValueBytes": 1048576, "MinTtlMs": 1000,
            },
        }  # fmt: skip

    async def is_ready(self) -> bool:
        """Asks as the platform does."""
        reply = await http1.call(
            ("127.0.0.1", self._ports[1]),
            b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
            1.0,
        )
        return reply is not None and reply.status == 200

    async def kill(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Fleet:
    """All nodes of a site.

    Args:
        counts: Number of nodes by zone.
        platform: The store.
    """

    def __init__(self, counts: dict[str, int], platform: store.Store) -> None:
        ports = find_free_ports(PORTS_OF_NODE * sum(counts.values()))
        self.nodes = [
            Node(
                f"front-{zone}-{number}",
                zone,
                [ports.pop() for _ in range(PORTS_OF_NODE)],
            )
            for zone, count in counts.items()
            for number in range(1, count + 1)
        ]
        self._zones = list(counts)
        self._platform = platform
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self) -> None:
        """Starts all nodes and waits until they are ready.

        Raises:
            CannotRun: The build is missing, or a node does not become ready.
        """
        if not (ROOT / "target" / "deps" / "geraniumstair").is_dir():
            raise CannotRun("run the build of the deploy file first")
        first_of_zone = {node.zone: node for node in reversed(self.nodes)}
        seeds = [node.control for node in first_of_zone.values()]
        for node in self.nodes:
            await node.start(self._folder, self._platform, self._zones, seeds)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while not all([await node.is_ready() for node in self.nodes]):
            if loop.time() > end_s:
                raise CannotRun("a node is not ready in time")
            await asyncio.sleep(0.2)

    async def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes:
            await node.kill()
        shutil.rmtree(self._folder, ignore_errors=True)
