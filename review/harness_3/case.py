"""Runs one case: starts a site, plays it, judges it and ends everything."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from review.harness_3 import node as node_lib
from review.harness_3 import store as store_lib

HELD = 0
BROKEN = 1
NOT_RUN = 2
NODE_COUNT = 7
LIMIT_S = 115.0
_READY_S = 20.0
# Time for the nodes to find each other after they are ready.
_SETTLE_S = 1.5
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class NotRun(Exception):
    """The case could not run; the message says why."""


class Site:
    """The nodes and the store of one run, and its record.

    Attributes:
        trouble: Whether the disruption is played.
        store: The platform's store.
        nodes: The machines of the system.
        rng: Source of random numbers.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = store_lib.Store()
        self.nodes: list[node_lib.Node] = []
        self.rng = random.Random()
        self._folder = folder
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str, at_s: float | None = None) -> None:
        """Adds a line to the record, with the time since the start."""
        now_s = time.monotonic() if at_s is None else at_s
        self._lines.append(f"{now_s - self._started_s:9.3f} s  {text}")

    def write_record(self, path: pathlib.Path) -> None:
        """Writes the record in the order of time."""
        path.write_text("\n".join(sorted(self._lines)) + "\n")

    async def start(self, count: int = NODE_COUNT) -> None:
        """Starts the store and the nodes; returns when all are ready."""
        for i in range(count):
            zone = node_lib.ZONES[i % len(node_lib.ZONES)]
            name = f"front-{zone}-{i // len(node_lib.ZONES) + 1}"
            self.nodes.append(
                node_lib.Node(name, zone, self.store.port, self._folder)
            )
        self.start_processes(first=True)
        await self.wait_ready()
        await asyncio.sleep(_SETTLE_S)
        self.note(f"{count} nodes are ready")

    def start_processes(self, *, first: bool) -> None:
        """Starts the process of each node that does not run."""
        seeds = [node.control_address for node in self.nodes[:3]]
        for node in self.nodes:
            if not node.running:
                node.start(seeds, first=first)

    async def wait_ready(self) -> None:
        """Waits until all nodes are ready."""
        ends_s = time.monotonic() + _READY_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > ends_s:
                    raise NotRun(
                        f"{node.name} is not ready, running: {node.running}, "
                        f"log: {node.log_tail()}"
                    )
                await asyncio.sleep(0.05)

    def check_running(self) -> None:
        """Raises `NotRun` if a process has ended."""
        ended = [node.name for node in self.nodes if not node.running]
        if ended:
            raise NotRun(f"processes ended: {', '.join(ended)}")


Play = Callable[[Site], Awaitable[bool]]


def _stop_at_signal() -> None:
    """Makes SIGTERM end the run, with all processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def _play(play: Play, folder: pathlib.Path, record: pathlib.Path) -> int:
    site = Site(folder)
    try:
        _stop_at_signal()
        await site.store.start()
        async with asyncio.timeout(LIMIT_S):
            broken = await play(site)
        verdict = BROKEN if broken else HELD
    except (NotRun, TimeoutError, asyncio.CancelledError) as error:
        site.note(f"the case could not run: {error!r}")
        verdict = NOT_RUN
    finally:
        for node in site.nodes:
            node.kill()
        site.note(f"trouble: {site.trouble}")
        site.write_record(record)
    return verdict


def main(play: Play, case_file: str) -> None:
    """Plays a case and exits with its verdict.

    Args:
        play: Returns whether the rule was broken.
        case_file: Path of the case's module.
    """
    record = pathlib.Path(case_file).resolve().parent / "record.txt"
    with tempfile.TemporaryDirectory() as folder:
        verdict = asyncio.run(_play(play, pathlib.Path(folder), record))
    sys.stdout.write(f"verdict {verdict}\n")
    sys.exit(verdict)
