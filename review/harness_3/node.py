"""Starts the product with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tomllib

from review.harness_3 import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("rimouski", "matane", "trois-pistoles")
REGION = "bas-fleuve"
# As in the settings that `fleetbench wire` shows for a small deployment.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "SyncS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "FallbackMs": 250,
    "OuterMs": 12000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 54,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
    "RollbackMs": 5000,
    "WarmupFactor": 1.5,
    "WarmupSlack": 5,
    "EvacuationMs": 5000,
    "RecoveryS": 12,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "scatter",
    "places",
    "rollout",
    "platform",
]
# Each run has an address of its own, so that runs do not share ports.
ADDRESS = "127." + ".".join(
    str(random.SystemRandom().randint(1, 250)) for _ in range(3)
)
_TAIL_CHARACTERS = 1500
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")
# Below the kernel's own range, so that no outgoing connection takes a port
# before its process binds it.
_PORTS = range(10_000, 32_000)
_used_ports: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Returns ports on loopback that are free now."""
    rng = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = rng.choice(_PORTS)
        if port not in _used_ports and _is_free(port):
            _used_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


class Node:
    """One machine with one process of the product.

    Attributes:
        name: Name of the machine.
        zone: Its zone.
        front_port: Port for clients.
        control_address: Address for other nodes.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        ports = find_ports(4)
        self.front_port, self._ready_port, control_port, self._metrics = ports
        self.control_address = f"{ADDRESS}:{control_port}"
        self._store_port = store_port
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self._log = folder / f"{name}.log"

    def start(self, seeds: list[str], *, first: bool) -> None:
        """Starts the process.

        Args:
            seeds: Control addresses of three machines.
            first: The whole system starts for the first time.
        """
        settings = {
            "NodeName": self.name,
            "Role": "node",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": ADDRESS,
            "Zone": self.zone,
            "Region": REGION,
            "Zones": dict.fromkeys(ZONES, REGION),
            "Listen": {
                "Front": f"{ADDRESS}:{self.front_port}",
                "Ready": f"{ADDRESS}:{self._ready_port}",
                "Control": self.control_address,
            },
            "InternalPorts": [self._metrics, self._metrics],
            "Seeds": seeds,
            "Bootstrap": first,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "platform": {
                "Address": f"127.0.0.1:{self._store_port}",
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["GERANIUMSTAIR_BOOT"] = str(path)
        self._starts += 1
        self._log = self._folder / f"{self.name}-{self._starts}.log"
        with self._log.open("wb") as output:
            self._process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def log_tail(self) -> str:
        """Returns the end of the log of the last process."""
        if not self._log.exists():
            return ""
        return self._log.read_text(errors="replace")[-_TAIL_CHARACTERS:]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether it answers a readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                ADDRESS, self._ready_port
            )
        except OSError:
            return False
        try:
            writer.write(
                http.encode("GET /api/readiness HTTP/1.1", {"host": "x"})
            )
            answer = await http.read(reader)
        except ConnectionError:
            return False
        finally:
            writer.close()
        return answer is not None and answer.status == 200
