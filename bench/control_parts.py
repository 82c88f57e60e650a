"""Cost of single parts of control at the size in two years.

`python -m bench.control_parts --seed N` prints one JSON object: membership
at 790 members, idle peer streams, and records of 4,500 endpoints. The parts
run in one process, because 790 nodes do not fit on one machine.
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
# Longer than the interval of the probes of idle streams.
_STREAM_IDLE_S = 35.0
_REPEATS = 200


class _Network:
    """Takes one-way messages and drops them."""

    def send(self, node_id: str, message: Any) -> bool:
        """Drops a message."""
        return True

    def set_peers(self, addresses: Any) -> None:
        """Dials nobody."""


class _Holder:
    """Holds no configuration."""

    current = None


def _median_us(function: Callable[[], Any], repeats: int = _REPEATS) -> float:
    times_s = []
    for _ in range(repeats):
        started_s = time.perf_counter()
        function()
        times_s.append(time.perf_counter() - started_s)
    return round(1e6 * statistics.median(times_s), 1)


def _view(count: int) -> messages.View:
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
    """Returns µs of heartbeats and scans, and memory, at 790 members."""
    choices = random.Random(seed)
    view = _view(_MEMBERS)
    tracemalloc.start()
    network: Any = _Network()
    state = _state.MembershipState(view.members[0], network, _Holder())
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


def _network(index: int) -> peers.PeerNetwork:
    identity = wire.Identity(f"node-{index:04}", 1, "az", "key" * 8)
    return peers.PeerNetwork(identity, "127.0.0.1", 0)


async def _run_spokes(first: int, count: int, port: int) -> None:
    """Keeps one stream from each of several networks to a port."""
    address = peers.PeerAddress("127.0.0.1", port)
    async with trio.open_nursery() as nursery:
        for index in range(first, first + count):
            spoke = _network(index)
            await nursery.start(spoke.run)
            spoke.set_peers({"node-0000": address})


async def _measure_streams() -> dict[str, Any]:
    """Returns memory and processor time of one end of idle streams.

    The other ends are in child processes.
    """
    rows = []
    children: list[devsite.ManagedProcess] = []
    with tempfile.TemporaryDirectory() as name:
        async with trio.open_nursery() as nursery:
            hub = _network(0)
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
                    while len(hub.connected()) < count:
                        children[-1].check()
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
    """Returns resident MB and µs of processor time a second."""
    await trio.sleep(1)
    gc.collect()
    started_s = time.process_time()
    await trio.sleep(_STREAM_IDLE_S)
    used_s = time.process_time() - started_s
    return _rss_mb(), 1e6 * used_s / _STREAM_IDLE_S


def _measure_record(endpoint_count: int) -> dict[str, float]:
    """Returns the cost to read and to write one record."""
    size = _context.search_size(30)
    ports = list(range(20000, 20000 + size.endpoint_count()))
    document = _control.with_remote_endpoints(
        devsite.build_document(size, ports), endpoint_count
    )
    text = devsite.render_document(document).encode()
    plain = configuration.build_record(text, "change", None)
    full = _record.with_content(plain, document)

    def peak_mb(function: Callable[[], Any]) -> float:
        tracemalloc.start()
        held = function()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        del held
        return round(peak / 1e6, 1)

    def read_text() -> Any:
        return configuration.open_record(plain)

    def read_content() -> Any:
        return configuration.index_record(full)

    return {
        "endpoints": endpoint_count,
        "text_bytes": len(text),
        "record_bytes": len(configuration.encode_record(full)),
        "record_without_content_bytes": len(configuration.encode_record(plain)),
        "read_text_ms": _median_us(read_text, 3) / 1000,
        "read_content_ms": _median_us(read_content, 15) / 1000,
        "add_content_ms": _median_us(
            lambda: _record.with_content(plain, document), 5
        )
        / 1000,
        "read_text_peak_mb": peak_mb(read_text),
        "read_content_peak_mb": peak_mb(read_content),
    }


def main() -> None:
    """Measures all parts and prints them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--spokes", help="used by the streams' measurement")
    options = parser.parse_args()
    if options.spokes:
        first, count, port = map(int, options.spokes.split(","))
        trio.run(_run_spokes, first, count, port)
        return
    figures = {
        "seed": options.seed,
        "membership": trio.run(_measure_membership, options.seed),
        "streams": trio.run(_measure_streams),
        "records": [_measure_record(count) for count in _ENDPOINTS],
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
