"""Measures the start of nodes: `python -m soak.start_times`.

All nodes of a site are killed and started at once, several times. One caller
for each node and kind of route connects again and again until it gets a
response with status 200.
"""

import argparse
import collections
import json
import os
import pathlib
import random
import statistics
import tempfile

import trio

from soak import _callers
from soak import _site

_PATHS = (_callers.SEARCH_PATH, _callers.SINGLE_PATH)
_REMAINING_MS = 2000
_RETRY_DELAY_S = 0.01
_STATUS = slice(len("HTTP/1.1 "), len("HTTP/1.1 200"))


class _Starts:
    """What was measured in all starts.

    Attributes:
        outcomes: Counts of statuses and failures of the callers' connections.
        first_response_s: Times from the start to each first status 200.
        processor_s: Processor time of each process by then.
        resident_mb: Memory of each process by then.
    """

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.first_response_s: list[float] = []
        self.processor_s: list[float] = []
        self.resident_mb: list[float] = []

    async def call_until_answered(
        self, node: _site.Node, path: str, rng: random.Random
    ) -> None:
        """Sends requests to a node until it returns status 200."""
        started_s = trio.current_time()
        while True:
            request = (
                f"GET {path}x HTTP/1.1\r\nHost: {_callers.HOST}\r\n"
                f"X-Attempt-Id: {rng.getrandbits(64):016x}\r\n"
                f"X-Time-Remaining: {_REMAINING_MS}\r\n\r\n"
            )
            outcome = await _send(node.ports[0], request.encode())
            self.outcomes[outcome] += 1
            if outcome == "200":
                break
            await trio.sleep(_RETRY_DELAY_S)
        self.first_response_s.append(trio.current_time() - started_s)

    def record_process(self, process_id: int) -> None:
        """Adds the processor time and the memory of a process."""
        directory = pathlib.Path(f"/proc/{process_id}")
        # The fields after the name, which may contain spaces.
        fields = (directory / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        self.processor_s.append(ticks / os.sysconf("SC_CLK_TCK"))
        pages = int((directory / "statm").read_text().split()[1])
        self.resident_mb.append(pages * os.sysconf("SC_PAGE_SIZE") / 2**20)

    def summarize(self) -> dict[str, object]:
        """Returns the counts and the medians."""
        return {
            "outcomes": dict(self.outcomes),
            "first_response_s": statistics.median(self.first_response_s),
            "last_first_response_s": max(self.first_response_s),
            "processor_s": statistics.median(self.processor_s),
            "resident_mb": statistics.median(self.resident_mb),
        }


async def _send(port: int, request: bytes) -> str:
    """Returns the status of the response, or how the connection failed."""
    try:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
    except OSError:
        return "refused"
    async with stream:
        with trio.move_on_after(_REMAINING_MS / 1000):
            try:
                await stream.send_all(request)
                head = await stream.receive_some(65536)
            except trio.BrokenResourceError:
                return "reset"
            return head[_STATUS].decode() or "closed"
    return "timeout"


async def _run(nodes: int, rounds: int, seed: int) -> None:
    rng = random.Random(seed)
    starts = _Starts()
    with tempfile.TemporaryDirectory() as directory:
        async with trio.open_nursery() as nursery:
            site = _site.Site(nursery, rng, pathlib.Path(directory), nodes)
            await site.start()
            for _ in range(rounds):
                await _start_all(site, starts, rng)
            for node in site.nodes:
                node.kill()
            nursery.cancel_scope.cancel()
    print(json.dumps(starts.summarize()))


async def _start_all(
    site: _site.Site, starts: _Starts, rng: random.Random
) -> None:
    for node in site.nodes:
        node.kill()
    for node in site.nodes:
        await node.wait()
    for node in site.nodes:
        node.start(site.seeds())
    async with trio.open_nursery() as callers:
        for node in site.nodes:
            for path in _PATHS:
                callers.start_soon(starts.call_until_answered, node, path, rng)
    for node in site.nodes:
        starts.record_process(node.process_id)
    for node in site.nodes:
        await site.wait_ready(node)


def main() -> None:
    """Parses the arguments, measures and prints one JSON object."""
    parser = argparse.ArgumentParser(prog="python -m soak.start_times")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    trio.run(_run, options.nodes, options.rounds, options.seed)


if __name__ == "__main__":
    main()
