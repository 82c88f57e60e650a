"""Starts and controls processes of endpoint stand-ins."""

from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
from typing import Any

import httpcore
import msgspec

from devsite import _processes
from standins import endpoint as endpoint_standin

_START_TIMEOUT_S = 20.0
_CONTROL_TIMEOUT_S = 20.0


class _Ports(msgspec.Struct):
    control: int
    endpoints: dict[str, int]


class EndpointFleet:
    """Endpoint stand-ins that are distributed over several processes.

    Args:
        endpoints: Settings of all endpoints.
        directory: Directory of settings and logs.
        process_count: Number of processes, over which the endpoints are
            distributed round-robin.
    """

    def __init__(
        self,
        endpoints: Sequence[endpoint_standin.EndpointSettings],
        directory: pathlib.Path,
        process_count: int,
    ) -> None:
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.processes: list[_processes.ManagedProcess] = []
        self._directory = directory
        self._process_count = process_count
        self._control_urls: dict[str, list[str]] = {}

    async def start(self) -> Mapping[str, int]:
        """Starts the processes; returns the bound ports by endpoint name."""
        endpoints = list(self.endpoints.values())
        for index in range(self._process_count):
            assigned = tuple(endpoints[index :: self._process_count])
            if assigned:
                self._start_process(index, assigned)
        bound_ports: dict[str, int] = {}
        for process in self.processes:
            line = await process.wait_first_line(_START_TIMEOUT_S)
            ports = msgspec.json.decode(line, type=_Ports)
            url = f"http://127.0.0.1:{ports.control}/control"
            self._control_urls[url] = list(ports.endpoints)
            bound_ports |= ports.endpoints
        return bound_ports

    def _start_process(
        self,
        index: int,
        assigned: tuple[endpoint_standin.EndpointSettings, ...],
    ) -> None:
        settings = endpoint_standin.ProcessSettings(endpoints=assigned)
        path = self._directory / f"endpoints-{index}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.processes.append(
            _processes.ManagedProcess(
                f"endpoints-{index}",
                ["-m", "standins.endpoint", "--config", str(path)],
                self._directory,
            )
        )

    async def control(
        self, action: str, endpoints: Sequence[str] = (), **fields: Any
    ) -> None:
        """Sends a control command to some or all endpoints.

        Args:
            action: Name of the action.
            endpoints: Endpoint names; empty for all of them.
            **fields: Further fields of the command.

        Raises:
            ProcessFailed: A stand-in rejected the command.
        """
        for url, names in self._control_urls.items():
            selected = [name for name in names if name in endpoints]
            if endpoints and not selected:
                continue
            command = {"action": action, "endpoints": selected} | fields
            await _send_request("POST", url, msgspec.json.encode(command))

    async def fetch_reports(self, *, executed: bool = False) -> dict[str, Any]:
        """Returns the control reports by endpoint name.

        Args:
            executed: Whether to include executed request ids and queries.
        """
        reports: dict[str, Any] = {}
        for url in self._control_urls:
            target = f"{url}?executed" if executed else url
            content = await _send_request("GET", target, None)
            reports |= msgspec.json.decode(content)["endpoints"]
        return reports

    async def sum_counter(self, name: str) -> float:
        """Returns the sum of one counter over all endpoints."""
        reports = await self.fetch_reports()
        return sum(r["counters"][name] for r in reports.values())

    def cpu_s(self) -> float:
        """Returns the CPU time that all processes have used, in s."""
        return sum(process.cpu_s() for process in self.processes)

    async def stop(self) -> None:
        """Kills the processes."""
        for process in self.processes:
            process.kill()


async def _send_request(method: str, url: str, content: bytes | None) -> bytes:
    timeouts = {"connect": _CONTROL_TIMEOUT_S, "read": _CONTROL_TIMEOUT_S}
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request(
            method, url, content=content, extensions={"timeout": timeouts}
        )
    if reply.status != 200:
        raise _processes.ProcessFailed(
            f"endpoint stand-in rejected a request: {reply.content!r}"
        )
    return reply.content
