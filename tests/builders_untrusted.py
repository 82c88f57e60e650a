"""A real node process on loopback, and crowds of clients that misbehave.

The limits in the node's settings are low, so that a small crowd exceeds them.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import socket
import time

import trio

from devsite import _ports
from devsite import _processes
from soak import _store
from standins import lean_http

# Memory and descriptors of the node, as its settings state them. The tests'
# bounds are these numbers.
MEMORY_MB = 96
MAX_FDS = 600
MAX_BODY_BYTES = 262_144
RESPONSE_BYTES = 1_000_000
HOST = "crowd.example"
LARGE_PATH = b"/large"
SMALL_PATH = b"/small"
_ENDPOINT_ID = "i-1"
_READY_TIMEOUT_S = 60.0
# How long an ordinary caller tries again after the crowd.
_CALLER_TIMEOUT_S = 60.0
_ATTEMPT_TIMEOUT_S = 5.0
_SAMPLE_INTERVAL_S = 0.05
_NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class NodeProcess:
    """One node, its store and one endpoint.

    Attributes:
        port: Port of the listener for callers.
        max_fds: Largest number of descriptors that was sampled.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.max_fds = 0
        self._directory = directory
        ports = _ports.allocate_ports(4)
        self.port, self._ready, self._control, self._metrics = ports
        self._process: _processes.ManagedProcess | None = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.running

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the stand-ins and the process; waits until it is ready."""
        store = _store.SimulatedStore(random.Random(1))
        nursery.start_soon(store.state.run)
        store_port = await _listen(nursery, store.serve)
        endpoint_port = await _listen(nursery, _serve_endpoint)
        store.put_json("op/config", _build_config())
        store.put_json(
            f"servers/{_ENDPOINT_ID}",
            {
                "Service": "large",
                "Address": f"127.0.0.1:{endpoint_port}",
                "Zone": "z1",
                "Version": "v1",
                "Slots": 400,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Seq": 1,
                "born": 1,
            },
        )
        path = self._directory / "node.json"
        path.write_text(json.dumps(self._build_settings(store_port)))
        self._process = _processes.ManagedProcess(
            "node",
            ["-m", "geraniumstair.platform"],
            self._directory,
            {**os.environ, "GERANIUMSTAIR_BOOT": str(path)},
        )
        nursery.start_soon(self._sample_descriptors)
        with trio.fail_after(_READY_TIMEOUT_S):
            while not await _is_ready(self._ready):
                self._process.raise_if_exited()
                await trio.sleep(0.1)

    def _build_settings(self, store_port: int) -> dict[str, object]:
        return {
            "NodeName": "n0",
            "Zone": "z1",
            "Listen": {
                "Front": f"127.0.0.1:{self.port}",
                "Ready": f"127.0.0.1:{self._ready}",
                "Control": f"127.0.0.1:{self._control}",
            },
            "InternalPorts": [self._metrics, self._metrics],
            "Limits": {
                "CpuShare": 1.0,
                "Cores": 1,
                "MemoryMb": MEMORY_MB,
                "MaxFds": MAX_FDS,
            },
            "Bounds": {},
            "platform": {"Address": f"127.0.0.1:{store_port}"},
        }

    async def _sample_descriptors(self) -> None:
        while self.running:
            assert self._process is not None
            try:
                count = len(os.listdir(f"/proc/{self._process.pid}/fd"))
            except OSError:
                return
            self.max_fds = max(self.max_fds, count)
            await trio.sleep(_SAMPLE_INTERVAL_S)

    def read_peak_memory_mb(self) -> float:
        """Returns the largest resident size so far, in MiB."""
        assert self._process is not None
        text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    async def is_caller_answered(self) -> bool:
        """Returns whether an ordinary request gets 200; repeats refusals."""
        with trio.move_on_after(_CALLER_TIMEOUT_S):
            while True:
                response = b""
                with trio.move_on_after(_ATTEMPT_TIMEOUT_S):
                    response = await _send_ordinary_request(self.port)
                if response.startswith(b"HTTP/1.1 200 "):
                    return True
                await trio.sleep(0.1)
        return False

    def end(self) -> None:
        """Kills the process."""
        if self._process is not None:
            self._process.kill()


async def run_crowd(
    count: int, client: Callable[[int], Awaitable[None]], hold_s: float
) -> None:
    """Runs clients at the same time; ends those that are left after a time.

    Args:
        count: Number of clients.
        client: Runs one client; gets its number.
        hold_s: Time after which all remaining clients are ended.
    """

    async def run(number: int) -> None:
        # The node may refuse or close any of these connections.
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            await client(number)

    with trio.move_on_after(hold_s):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(run, number)


def build_head(path: bytes, *fields: bytes) -> bytes:
    """Returns the head of a request."""
    lines = [
        b"POST %b HTTP/1.1" % path,
        b"Host: " + HOST.encode(),
        b"X-Attempt-Id: %016x" % random.getrandbits(64),
        b"X-Time-Remaining: 30000",
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def send_and_hold(port: int, pieces: list[bytes], pause_s: float) -> None:
    """Sends a part of a request, then keeps the connection open.

    Args:
        port: Port of the listener for callers.
        pieces: What is sent, in order.
        pause_s: Pause after each piece.
    """
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        for piece in pieces:
            await stream.send_all(piece)
            if pause_s:
                await trio.sleep(pause_s)
        async for _ in stream:
            pass


async def read_slowly(
    port: int, request: bytes, piece_bytes: int, pause_s: float
) -> None:
    """Sends a request and reads its response slowly.

    Args:
        port: Port of the listener for callers.
        request: The whole request.
        piece_bytes: Bytes that are read at once.
        pause_s: Pause after each piece.
    """
    raw = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    # The response has to wait in the node, not in the client's kernel.
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with raw:
        await raw.connect(("127.0.0.1", port))
        stream = trio.SocketStream(raw)
        await stream.send_all(request)
        while await stream.receive_some(piece_bytes):
            await trio.sleep(pause_s)


async def _listen(
    nursery: trio.Nursery, serve: Callable[[trio.SocketStream], Awaitable[None]]
) -> int:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    port: int = listeners[0].socket.getsockname()[1]
    return port


async def _serve_endpoint(stream: trio.SocketStream) -> None:
    async with stream:
        await lean_http.serve_connection(stream, _respond)


async def _respond(request: lean_http.HttpRequest) -> lean_http.HttpResponse:
    headers = [
        (b"x-response-stamp", b"%x" % time.monotonic_ns()),
        (b"x-attempt-id", request.headers.get(b"x-attempt-id", b"")),
    ]
    size = RESPONSE_BYTES if request.target == LARGE_PATH else 10
    return lean_http.HttpResponse(200, headers, b"r" * size)


def _build_config() -> dict[str, object]:
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "large",
                "Host": HOST,
                "Prefix": "/",
                "RouteType": "non_idempotent",
                "Service": "large",
                "TimeoutMs": 30_000,
                "LatencyGoalMs": 1000,
            }
        ],
        # The pool keeps to the node's part of the connections.
        "Services": [{"Name": "large", "MaxConns": 100}],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": MAX_BODY_BYTES,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000,
        },
    }


async def _is_ready(port: int) -> bool:
    request = b"GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n"
    with trio.move_on_after(1.0):
        try:
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                await stream.send_all(request)
                return b" 200 " in await stream.receive_some(100)
        except OSError:
            return False
    return False


async def _send_ordinary_request(port: int) -> bytes:
    head = build_head(SMALL_PATH, b"Content-Length: 2")
    try:
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            stream.setsockopt(*_NO_DELAY)
            await stream.send_all(head + b"ok")
            return await stream.receive_some(100)
    except (OSError, trio.BrokenResourceError):
        return b""
