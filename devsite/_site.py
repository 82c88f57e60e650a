"""A local site on loopback: store, VM list, endpoints and nodes."""

from collections.abc import Mapping
import dataclasses
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
from typing import Any

import httpcore
import msgspec
import trio
import yaml

from devsite import _caller
from devsite import _documents
from devsite import _ports
from devsite import _processes
from devsite import _standins
from geraniumstair._generated import settings as settings_models

_POLL_INTERVAL_S = 0.05
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 10.0
_COMMAND_TIMEOUT_S = 20.0
_CONTROL_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class SiteOptions:
    """Options of a local site.

    Attributes:
        size: Services and endpoints.
        node_count: Number of node processes.
        endpoint_processes: Number of processes for the endpoint stand-ins.
        seed: Seed of the stand-ins' random numbers.
        endpoint_settings: Fields of `EndpointSettings` for all endpoints.
        node_settings: Fields of the nodes' settings for all nodes.
        keep_directory: Whether to keep settings and logs after the end.
        profile_directory: Directory of the cProfile files that the nodes
            write when they stop; None disables the profiler.
    """

    size: _documents.SiteSize = _documents.SMALL
    node_count: int = 7
    endpoint_processes: int = 1
    seed: int = 1
    endpoint_settings: Mapping[str, Any] = dataclasses.field(
        default_factory=dict
    )
    node_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    keep_directory: bool = False
    profile_directory: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True)
class _NodePorts:
    peer: int
    caller: int
    operator: int


class Site:
    """The processes of a local site.

    A site is an async context manager that starts and stops the processes.

    Args:
        options: Options of the site.

    Attributes:
        options: Options of the site.
        directory: Directory of settings and logs.
        document: Document that `start` applies.
        endpoint_fleet: Endpoint stand-ins.
        node_ids: Ids of all nodes.
        nodes: Processes of the nodes that have been started, by node id.
        store: Process of the key-value service; None before its start.
        vm_list: Process of the VM list; None before its start.
        store_port: Port of the key-value service.
        vm_list_port: Port of the VM list.
        operator_token: Token for the nodes' operator listeners.
    """

    def __init__(self, options: SiteOptions) -> None:
        self.options = options
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="devsite-"))
        self.document = _documents.build_document(
            options.size, _ports.allocate_ports(options.size.endpoint_count())
        )
        self.endpoint_fleet = _standins.EndpointFleet(
            _documents.build_endpoint_settings(
                options.size,
                self.document,
                seed=options.seed,
                **options.endpoint_settings,
            ),
            self.directory,
            options.endpoint_processes,
        )
        self.node_ids = [f"node-{i}" for i in range(options.node_count)]
        self.nodes: dict[str, _processes.ManagedProcess] = {}
        self.store: _processes.ManagedProcess | None = None
        self.vm_list: _processes.ManagedProcess | None = None
        self._node_ports = {
            node_id: _NodePorts(*_ports.allocate_ports(3))
            for node_id in self.node_ids
        }
        self.store_port, self.vm_list_port = _ports.allocate_ports(2)
        self._cluster_key = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)

    async def __aenter__(self) -> "Site":
        try:
            await self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        with trio.CancelScope(shield=True):
            await self.stop()

    # ---- start and stop ----

    async def start(self) -> None:
        """Starts all processes, applies the document and waits until ready."""
        await self.start_standins()
        for node_id in self.node_ids:
            self.start_node(node_id)
        await self._wait_nodes_listening()
        await self.apply(self.document, base=0)
        await self.wait_ready()

    async def start_standins(self) -> None:
        """Starts the key-value service, the VM list and the endpoints."""
        self.start_store()
        self.vm_list = self._start_process(
            "vm-list",
            ["-m", "standins.vm_list", "--port", str(self.vm_list_port)],
        )
        await self.endpoint_fleet.start()
        await self._wait_port("store", self.store, self.store_port)
        await self._wait_port("vm-list", self.vm_list, self.vm_list_port)

    def start_store(self) -> None:
        """Starts the key-value service without any keys."""
        self.store = self._start_process(
            "store",
            ["-m", "standins.key_value", "--port", str(self.store_port)],
        )

    def start_node(self, node_id: str) -> None:
        """Starts a node that is not running."""
        path = self.write_node_settings(node_id)
        arguments = ["-m", "geraniumstair", "node", "--settings", str(path)]
        profiles = self.options.profile_directory
        if profiles is not None:
            output = profiles.absolute() / f"{node_id}.prof"
            arguments = ["-m", "cProfile", "-o", str(output), *arguments]
        self.nodes[node_id] = self._start_process(node_id, arguments)

    async def stop(self) -> None:
        """Stops the nodes gracefully, then the stand-ins."""
        try:
            async with trio.open_nursery() as nursery:
                for process in self.nodes.values():
                    process.signal(signal.SIGCONT)
                    nursery.start_soon(process.terminate, _STOP_TIMEOUT_S)
        finally:
            self.kill_all()

    def kill_all(self) -> None:
        """Kills all processes and removes the directory, unless it is kept."""
        processes = [*self.nodes.values(), *self.endpoint_fleet.processes]
        for process in [*processes, self.store, self.vm_list]:
            if process is not None:
                process.kill()
        if not self.options.keep_directory:
            shutil.rmtree(self.directory, ignore_errors=True)

    def _start_process(
        self, name: str, arguments: list[str]
    ) -> _processes.ManagedProcess:
        return _processes.ManagedProcess(name, arguments, self.directory)

    # ---- faults ----

    def kill_node(self, node_id: str) -> None:
        """Kills a node's process (SIGKILL)."""
        self.nodes[node_id].kill()

    def pause_node(self, node_id: str) -> None:
        """Pauses a node's process (SIGSTOP)."""
        self.nodes[node_id].signal(signal.SIGSTOP)

    def resume_node(self, node_id: str) -> None:
        """Resumes a paused node's process (SIGCONT)."""
        self.nodes[node_id].signal(signal.SIGCONT)

    async def terminate_node(self, node_id: str, timeout_s: float) -> int:
        """Shuts a node down gracefully; returns its exit status."""
        return await self.nodes[node_id].terminate(timeout_s)

    async def restart_node(self, node_id: str, timeout_s: float) -> None:
        """Restarts a node gracefully and waits until it is ready."""
        await self.terminate_node(node_id, timeout_s)
        self.start_node(node_id)
        await self.wait_ready([node_id])

    async def control_store(self, **fields: Any) -> dict[str, Any]:
        """Sends a control command to the key-value service.

        Args:
            **fields: Faults to set; without fields, nothing changes.

        Returns:
            The state of the service after the command.
        """
        return await self._send_control(self.store_port, fields)

    async def control_vm_list(self, **fields: Any) -> None:
        """Changes the VM list: `vms`, `lag_ms` or `down`."""
        await self._send_control(self.vm_list_port, fields)

    async def _send_control(self, port: int, fields: Any) -> dict[str, Any]:
        return await _send_request(
            "POST", f"http://127.0.0.1:{port}/control", {}, fields
        )

    # ---- state ----

    async def fetch_state_dump(self, node_id: str) -> dict[str, Any]:
        """Returns the state dump of a node.

        Raises:
            ProcessFailed: The node rejected the request.
            httpcore.NetworkError: The node cannot be reached.
        """
        headers = {"authorization": f"Bearer {self.operator_token}"}
        url = self.operator_url(node_id) + "/v1/dump"
        return await _send_request("GET", url, headers, None)

    async def fetch_shard_owners(self) -> dict[str, str]:
        """Returns the node with full authority for each shard.

        Shards are named `subsidiary/service/shard/region`. Nodes that are
        not running or do not respond are omitted.
        """
        owner_by_shard: dict[str, str] = {}
        for node_id, process in self.nodes.items():
            if not process.running:
                continue
            try:
                dump = await self.fetch_state_dump(node_id)
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            for shard, authority in dump["membership"]["shards"].items():
                if authority == "full":
                    owner_by_shard[shard] = node_id
        return owner_by_shard

    # ---- settings and document ----

    def caller_port(self, node_id: str) -> int:
        """Returns the port of the node's caller listener."""
        return self._node_ports[node_id].caller

    def operator_port(self, node_id: str) -> int:
        """Returns the port of the node's operator listener."""
        return self._node_ports[node_id].operator

    def operator_url(self, node_id: str) -> str:
        """Returns the URL of the node's operator listener."""
        return f"http://127.0.0.1:{self.operator_port(node_id)}"

    def write_token_file(self) -> pathlib.Path:
        """Writes the operator token to a file that only its owner can read."""
        path = self.directory / "operator-token"
        path.touch(mode=0o600)
        path.write_text(self.operator_token)
        return path

    def node_settings_path(self, node_id: str) -> pathlib.Path:
        """Returns the path of the node's settings file."""
        return self.directory / f"{node_id}.yaml"

    def write_node_settings(self, node_id: str) -> pathlib.Path:
        """Writes the settings file of a node; returns its path."""
        ports = self._node_ports[node_id]
        size = self.options.size
        fields: dict[str, Any] = {
            "node_id": node_id,
            "region": size.region,
            "availability_zone": size.availability_zone(
                self.node_ids.index(node_id)
            ),
            "peer_listener": _build_listener(ports.peer),
            "caller_listener": _build_listener(ports.caller),
            "operator_listener": _build_listener(ports.operator),
            "cluster_key": self._cluster_key,
            "operator_token": self.operator_token,
            "store": {"urls": [f"http://127.0.0.1:{self.store_port}"]},
            "vm_list_url": f"http://127.0.0.1:{self.vm_list_port}/vms",
            "seeds": [
                _build_listener(p.peer) for p in self._node_ports.values()
            ],
        }
        fields |= self.options.node_settings
        settings_models.Settings.model_validate(fields)
        path = self.node_settings_path(node_id)
        path.write_text(yaml.safe_dump(fields, sort_keys=False))
        path.chmod(0o600)
        return path

    async def apply(self, document: Any, base: int) -> None:
        """Applies a document with the `apply` command.

        Args:
            document: The document.
            base: Revision that the document replaces.

        Raises:
            ProcessFailed: The command failed or timed out.
        """
        path = self.directory / "document.yaml"
        path.write_text(_documents.render_document(document))
        await self.run_command("apply", str(path), "--base", str(base))

    async def run_command(self, *arguments: str) -> str:
        """Runs a `geraniumstair` operator command against a running node.

        Returns:
            Its standard output.

        Raises:
            ProcessFailed: The command failed or timed out.
        """
        node_id = self._find_running_node_id()
        environment = os.environ | {
            "GERANIUMSTAIR_OPERATOR": self.operator_url(node_id),
            "GERANIUMSTAIR_TOKEN": self.operator_token,
        }
        command = [sys.executable, "-m", "geraniumstair", *arguments]
        with trio.move_on_after(_COMMAND_TIMEOUT_S):
            completed = await trio.run_process(
                command,
                env=environment,
                capture_stdout=True,
                stderr=subprocess.STDOUT,
                check=False,
            )
            output = completed.stdout.decode("utf-8", "replace")
            if completed.returncode != 0:
                raise _processes.ProcessFailed(
                    f"{arguments[0]} failed: {output}"
                )
            return output
        raise _processes.ProcessFailed(f"{arguments[0]} timed out")

    def _find_running_node_id(self) -> str:
        for node_id, process in self.nodes.items():
            if process.running:
                return node_id
        raise _processes.ProcessFailed("no node is running")

    # ---- waiting ----

    async def wait_ready(self, node_ids: list[str] | None = None) -> None:
        """Waits until nodes report ready to the load balancer.

        Args:
            node_ids: Nodes to wait for; None for all running ones.

        Raises:
            ProcessFailed: A node exited, or was not ready in time.
        """
        if node_ids is None:
            node_ids = [n for n, p in self.nodes.items() if p.running]
        for node_id in node_ids:
            with trio.move_on_after(_READY_TIMEOUT_S) as scope:
                await self._wait_node_ready(node_id)
            if scope.cancelled_caught:
                raise _processes.ProcessFailed(
                    f"{node_id} was not ready in time"
                )

    async def _wait_node_ready(self, node_id: str) -> None:
        async with _caller.CallerClient(self.caller_port(node_id)) as client:
            while not await client.is_ready():
                self.nodes[node_id].raise_if_exited()
                await trio.sleep(_POLL_INTERVAL_S)

    async def _wait_nodes_listening(self) -> None:
        for node_id, process in self.nodes.items():
            port = self.operator_port(node_id)
            await self._wait_port(node_id, process, port)

    async def _wait_port(
        self, name: str, process: _processes.ManagedProcess | None, port: int
    ) -> None:
        with trio.move_on_after(_READY_TIMEOUT_S):
            while process is not None:
                try:
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                except OSError:
                    process.raise_if_exited()
                    await trio.sleep(_POLL_INTERVAL_S)
                else:
                    await stream.aclose()
                    return
        raise _processes.ProcessFailed(
            f"{name} is not listening on port {port}"
        )


async def _send_request(
    method: str, url: str, headers: Mapping[str, str], body: Any
) -> dict[str, Any]:
    timeouts = {"connect": _CONTROL_TIMEOUT_S, "read": _CONTROL_TIMEOUT_S}
    content = None if body is None else msgspec.json.encode(body)
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request(
            method,
            url,
            headers=[(k, v) for k, v in headers.items()],
            content=content,
            extensions={"timeout": timeouts},
        )
    if reply.status != 200:
        raise _processes.ProcessFailed(
            f"request to {url} failed: {reply.content!r}"
        )
    return msgspec.json.decode(reply.content, type=dict[str, Any])


def _build_listener(port: int) -> dict[str, Any]:
    return {"address": "127.0.0.1", "port": port}
