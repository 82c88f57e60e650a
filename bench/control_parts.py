"""Measures parts of the control plane at the size expected in two years.

`python -m bench.control_parts --seed N` prints one JSON object: the costs of
membership with 790 members, of idle peer streams, and of records with up to
4,500 endpoints. Membership is measured in one process, because 790 nodes do not
fit on one machine.
"""

import argparse
from collections.abc import Callable
import gc
import json
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc
from typing import Any

import trio

from bench import _context
from bench import _control
import devsite
from geraniumstair import configuration
from geraniumstair import peers
from geraniumstair import wire
from geraniumstair._generated import messages
from geraniumstair.configuration import _record
from geraniumstair.membership import _heartbeats
from geraniumstair.membership import _state

_MEMBERS = 790
_ZONES = 6
_ENDPOINTS = (60, 4500)
_STREAMS = (50, 150, 300)
# Longer than the interval at which idle streams are probed.
_STREAM_IDLE_S = 35.0
_REPEATS = 200


class _DroppingNetwork:
    """Peer network that drops all messages."""

    def send(self, node_id: str, message: Any) -> bool:
        """Drops a message."""
        return True

    def set_peers(self, addresses: Any) -> None:
        """Opens no connections."""


class _EmptyConfigurationHolder:
    """Configuration holder without a configuration."""

    current = None


def _median_us(function: Callable[[], Any], repeats: int = _REPEATS) -> float:
    times_s = []
    for _ in range(repeats):
        started_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - started_s)
    return round(1e6 * statistics.median(times_s), 1)


def _build_view(count: int) -> messages.View:
    members = [
        messages.Member(
            node_id=f"node-{i:04}",
            incarnation=1,
            address=f"10.0.{i // 250}.{i % 250}",
            port=1,
            availability_zone=f"az-{i % _ZONES}",
            region=f"r{i % 2}",
        )
        for i in range(count)
    ]
    return messages.View(1, members, [])


async def _measure_membership(seed: int) -> dict[str, float]:
    """Returns time and memory that membership takes with 790 members."""
    choices = random.Random(seed)
    view = _build_view(_MEMBERS)
    tracemalloc.start()
    network: Any = _DroppingNetwork()
    state = _state.MembershipState(
        view.members[0], network, _EmptyConfigurationHolder()
    )
    heartbeats = _heartbeats.Heartbeats(state)
    state.install_view(view)
    gc.collect()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    received_us = []
    for _ in range(_REPEATS):
        sender = choices.choice(view.members[1:])
        heartbeat = messages.Heartbeat(
            node_id=sender.node_id,
            incarnation=1,
            sent_ms=int(_state.now_ms()),
            view_epoch=1,
            ages=bytes(choices.randrange(60) for _ in range(_MEMBERS)),
            leaving=[],
            config_revision=0,
            in_force=b"\xff" * ((_MEMBERS + 7) // 8),
            stopped=[],
            coordinator="node-0001",
            coordinator_revision=1,
        )
        body = wire.encode(heartbeat)
        started_s = time.perf_counter()
        await heartbeats.receive(sender.node_id, wire.decode(body))  # type: ignore
        received_us.append(1e6 * (time.perf_counter() - started_s))
    return {
        "members": _MEMBERS,
        "receive_us": round(statistics.median(received_us), 1),
        "send_us": _median_us(lambda: heartbeats._send(False)),
        "scan_us": _median_us(state.update_alive),
        "heartbeat_bytes": len(body),
        "memory_mb": round(memory_mb, 2),
    }


def _rss_mb() -> float:
    statm = pathlib.Path("/proc/self/statm").read_text().split()
    return int(statm[1]) * 4096 / 1e6


def _build_network(index: int) -> peers.PeerNetwork:
    identity = wire.Identity(f"node-{index:04}", 1, "az", "key" * 8)
    return peers.PeerNetwork(identity, "127.0.0.1", 0)


async def _run_spokes(first: int, count: int, port: int) -> None:
    """Runs `count` peer networks that each keep one stream to `port`."""
    address = peers.PeerAddress("127.0.0.1", port)
    async with trio.open_nursery() as nursery:
        for index in range(first, first + count):
            spoke = _build_network(index)
            await nursery.start(spoke.run)
            spoke.set_peers({"node-0000": address})


async def _measure_streams() -> dict[str, Any]:
    """Returns memory and processor time of one end of idle streams.

    The other ends run in child processes.
    """
    rows = []
    children: list[devsite.ManagedProcess] = []
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            hub = _build_network(0)
            port = await nursery.start(hub.run)
            opened = 0
            try:
                for count in _STREAMS:
                    children.append(
                        devsite.ManagedProcess(
                            f"spokes-{count}",
                            ["-m", "bench.control_parts", "--spokes"]
                            + [f"{opened + 1},{count - opened},{port}"],
                            pathlib.Path(name),
                        )
                    )
                    opened = count
                    while len(hub.connected_nodes()) < count:
                        children[-1].raise_if_exited()
                        await trio.sleep(0.05)
                    rows.append((count, *await _idle_cost()))
            finally:
                for child in children:
                    child.kill()
            nursery.cancel_scope.cancel()
    counts = [row[0] for row in rows]
    memory = statistics.linear_regression(counts, [row[1] for row in rows])
    cpu = statistics.linear_regression(counts, [row[2] for row in rows])
    return {
        "streams": counts,
        "kb_per_stream": round(1000 * memory.slope, 1),
        "cpu_us_per_s_per_stream": round(cpu.slope, 2),
    }


async def _idle_cost() -> tuple[float, float]:
    """Returns resident memory in MB and processor time in µs per second."""
    await trio.sleep(1)
    gc.collect()
    started_s = time.process_time()
    await trio.sleep(_STREAM_IDLE_S)
    cpu_s = time.process_time() - started_s
    return _rss_mb(), 1e6 * cpu_s / _STREAM_IDLE_S


def _measure_record(endpoint_count: int) -> dict[str, float]:
    """Returns the cost to read and to write one record."""
    size = _context.search_size(30)
    ports = list(range(20000, 20000 + size.endpoint_count()))
    document = _control.with_remote_endpoints(
        devsite.build_document(size, ports), endpoint_count
    )
    text = devsite.render_document(document).encode()
    text_record = configuration.build_record(text, "change", None)
    content_record = _record.add_content(text_record, document)

    def peak_mb(function: Callable[[], Any]) -> float:
        tracemalloc.start()
        retained = function()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        del retained
        return round(peak / 1e6, 1)

    def read_text() -> Any:
        return configuration.parse_record(text_record)

    def read_content() -> Any:
        return configuration.index_record(content_record)

    return {
        "endpoints": endpoint_count,
        "text_bytes": len(text),
        "record_bytes": len(configuration.encode_record(content_record)),
        "record_without_content_bytes": len(
            configuration.encode_record(text_record)
        ),
        "read_text_ms": _median_us(read_text, 3) / 1000,
        "read_content_ms": _median_us(read_content, 15) / 1000,
        "add_content_ms": _median_us(
            lambda: _record.add_content(text_record, document), 5
        )
        / 1000,
        "read_text_peak_mb": peak_mb(read_text),
        "read_content_peak_mb": peak_mb(read_content),
    }


def main() -> None:
    """Measures all parts and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--spokes", help="internal: FIRST,COUNT,PORT of a child process"
    )
    options = parser.parse_args()
    if options.spokes:
        first, count, port = map(int, options.spokes.split(","))
        trio.run(_run_spokes, first, count, port)
        return
    results = {
        "seed": options.seed,
        "membership": trio.run(_measure_membership, options.seed),
        "streams": trio.run(_measure_streams),
        "records": [_measure_record(count) for count in _ENDPOINTS],
    }
    print(json.dumps(results))


if __name__ == "__main__":
    main()
