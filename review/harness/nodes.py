"""Node processes, started with the command of the deploy file."""

from collections.abc import Mapping
import json
import os
import pathlib
import random
import signal
import subprocess
import tomllib
from typing import Any

import httpcore
import trio

from devsite import _ports

ROOT = pathlib.Path(__file__).parent.parent.parent
SETTINGS_VARIABLE = "GERANIUMSTAIR_BOOT"
ZONES = ("z1", "z2", "z3")
BOUNDS: Mapping[str, float] = {
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


class NotRunnable(Exception):
    """The case cannot run, for example because nothing is built."""


class Node:
    """One machine of the system; its process can be started again.

    Args:
        name: Name of the machine.
        zone: Its zone.
        store_port: Port of the store.
        directory: Folder for settings and output.
    """

    def __init__(
        self, name: str, zone: str, store_port: int, directory: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        # An address of its own keeps the ports of runs beside each other apart.
        numbers = [random.SystemRandom().randint(1, 250) for _ in range(3)]
        self.host = "127.{}.{}.{}".format(*numbers)
        ports = _ports.allocate_ports(5)
        self.front, self.ready, self.control, self._inner, self.metrics = ports
        self._store_port = store_port
        self._directory = directory
        self._starts = 0
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f"http://{self.host}:{self.front}"

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def start(self, seeds: list[str]) -> None:
        """Writes the settings file and starts the process."""
        settings: dict[str, Any] = {
            "NodeName": self.name,
            "Role": "node",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": self.host,
            "Zone": self.zone,
            "Region": "r",
            "Zones": dict.fromkeys(ZONES, "r"),
            "Listen": {
                "Front": f"{self.host}:{self.front}",
                "Ready": f"{self.host}:{self.ready}",
                "Control": f"{self.host}:{self.control}",
            },
            "InternalPorts": [self._inner, self.metrics],
            "Seeds": seeds,
            "Bootstrap": self._starts == 0,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "HeartbeatMs": 1200,
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
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        self._starts += 1
        log_path = self._directory / f"{self.name}-{self._starts}.log"
        inherited = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in inherited if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment[SETTINGS_VARIABLE] = str(path)
        with log_path.open("wb") as log:
            self._process = subprocess.Popen(
                read_run_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the readiness check answers 200."""
        url = f"http://{self.host}:{self.ready}/api/readiness"
        with trio.move_on_after(1):
            try:
                async with httpcore.AsyncConnectionPool() as pool:
                    return (await pool.request("GET", url)).status == 200
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                return False
        return False

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the node is ready."""
        with trio.move_on_after(timeout_s):
            while not await self.is_ready():
                if self.exit_status is not None:
                    break
                await trio.sleep(0.05)
            else:
                return
        raise NotRunnable(
            f"{self.name} is not ready; exit status {self.exit_status}, "
            f"output in {self._directory}"
        )

    async def read_state(self) -> dict[str, Any]:
        """Returns the state dump that the operations page describes."""
        url = f"http://{self.host}:{self.metrics}/state"
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", url)
        state: dict[str, Any] = json.loads(response.content)
        return state


def read_run_command() -> list[str]:
    """Returns the `run` command of the deploy file."""
    if not (ROOT / "target/deps/geraniumstair").is_dir():
        raise NotRunnable("the build of the deploy file has not run")
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    command: str = tomllib.loads(text)["roles"]["node"]["run"]
    return command.split()


def make_nodes(
    store_port: int, directory: pathlib.Path, counts: tuple[int, ...]
) -> list[Node]:
    """Returns the machines of a site, with `counts` of them in each zone."""
    return [
        Node(f"front-{zone}-{i + 1}", zone, store_port, directory)
        for zone, count in zip(ZONES, counts, strict=True)
        for i in range(count)
    ]


def find_seeds(nodes: list[Node]) -> list[str]:
    """Returns the peer addresses of the first node of each zone."""
    by_zone: dict[str, Node] = {}
    for node in nodes:
        by_zone.setdefault(node.zone, node)
    return [f"{n.host}:{n.control}" for n in by_zone.values()]
