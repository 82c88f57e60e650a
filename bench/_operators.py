"""Operator client, store faults, and polling of revisions in force."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import time
from typing import Any

import httpcore
import msgspec
import trio

import devsite

_TIMEOUT_S = 15.0
_POLL_TIMEOUT_S = 2.0
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.RemoteProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorReply:
    """Reply of a node to an operator.

    Attributes:
        status: HTTP status; 0 if there was no reply.
        value: Decoded JSON object; empty if there was none.
        content: Body as received.
    """

    status: int
    value: Mapping[str, Any]
    content: bytes = b""


class OperatorClient:
    """Calls the operators' listener of one node.

    Args:
        site: The site.
        node_id: The node that is called.
        timeout_s: Timeout of each step of a call: connect, read and write.
    """

    def __init__(
        self,
        site: devsite.Site,
        node_id: str,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        self._url = site.operator_url(node_id)
        self._headers: list[tuple[bytes | str, bytes | str]] = [
            ("authorization", f"Bearer {site.operator_token}")
        ]
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool()

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> OperatorReply:
        """Sends one call; without a reply, the returned status is 0."""
        content = b"" if body is None else msgspec.json.encode(body)
        timeouts = dict.fromkeys(("connect", "read", "write"), self._timeout_s)
        try:
            reply = await self._pool.request(
                method,
                self._url + path,
                headers=self._headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        except _TRANSPORT_ERRORS:
            return OperatorReply(0, {})
        try:
            value = msgspec.json.decode(reply.content, type=dict[str, Any])
        except msgspec.MsgspecError:
            value = {}
        return OperatorReply(reply.status, value, reply.content)

    async def apply(self, text: str, base: int) -> OperatorReply:
        """Submits a document that is based on the revision `base`."""
        body = {"base": base, "text": text}
        return await self.call("POST", "/v1/configuration", body)

    async def show(self) -> OperatorReply:
        """Returns the newest document."""
        return await self.call("GET", "/v1/configuration")

    async def status(self) -> OperatorReply:
        """Returns the status of the site."""
        return await self.call("GET", "/v1/status")

    async def set_availability_zone(
        self, name: str, state: str
    ) -> OperatorReply:
        """Sets the state of an availability zone: `in` or `out` of service."""
        path = f"/v1/availability-zones/{name}"
        return await self.call("POST", path, {"state": state})

    async def counters(self, prefix: str) -> Mapping[str, float]:
        """Returns the samples of metrics whose names start with `prefix`."""
        reply = await self.call("GET", "/metrics")
        samples = {}
        for line in reply.content.decode().splitlines():
            if line.startswith(prefix):
                name, _, value = line.rpartition(" ")
                samples[name] = float(value)
        return samples


async def control_store(site: devsite.Site, **fields: Any) -> Mapping[str, Any]:
    """Sets the faults of the key-value stand-in; returns its counters."""
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request(
            "POST",
            f"http://127.0.0.1:{site.store_port}/control",
            content=msgspec.json.encode(fields),
        )
    return msgspec.json.decode(reply.content, type=dict[str, Any])


class RevisionPoller:
    """Polls the revision in force at all nodes.

    Attributes:
        reverts: How often a node reported a lower revision than before.
    """

    def __init__(self, site: devsite.Site, interval_s: float = 0.05) -> None:
        self.reverts = 0
        self._interval_s = interval_s
        self._clients = {
            node_id: OperatorClient(site, node_id, _POLL_TIMEOUT_S)
            for node_id in site.node_ids
        }
        self._revision_times: dict[str, list[tuple[float, int]]] = {
            node_id: [] for node_id in site.node_ids
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Polls until cancelled."""
        async with trio.open_nursery() as nursery:
            for node_id in self._clients:
                nursery.start_soon(self._poll, node_id)
            task_status.started()

    async def _poll(self, node_id: str) -> None:
        last_revision = 0
        while True:
            reply = await self._clients[node_id].status()
            now_s = time.monotonic()
            if reply.status == 0:
                # The next reply may come from a restarted process, whose
                # lower revision is not a revert.
                last_revision = 0
            elif reply.status == 200:
                revision = int(reply.value["revision"])
                self.reverts += revision < last_revision
                if revision > last_revision:
                    self._revision_times[node_id].append((now_s, revision))
                last_revision = revision
            await trio.sleep(self._interval_s)

    def first_in_force_s(self, node_id: str, revision: int) -> float | None:
        """Returns when a node first reported a revision or a newer one."""
        for time_s, reported in self._revision_times[node_id]:
            if reported >= revision:
                return time_s
        return None

    def propagation_s(
        self, node_ids: Sequence[str], revision: int, accepted_s: float
    ) -> float | None:
        """Returns the time until all nodes had a revision in force.

        Args:
            node_ids: The nodes.
            revision: The revision.
            accepted_s: Monotonic time at which the operator received the
                acceptance. If a node had the revision in force earlier,
                because a response was lost, the time counts from then.

        Returns:
            The time in s; None if a node never had the revision in force.
        """
        times_s = [
            self.first_in_force_s(node_id, revision) for node_id in node_ids
        ]
        known_s = [time_s for time_s in times_s if time_s is not None]
        if len(known_s) < len(times_s):
            return None
        return max(known_s) - min(accepted_s, *known_s)

    async def wait_in_force(
        self, node_ids: Sequence[str], revision: int, timeout_s: float
    ) -> bool:
        """Waits until all nodes have a revision; returns False on timeout."""
        with trio.move_on_after(timeout_s):
            while any(
                self.first_in_force_s(node_id, revision) is None
                for node_id in node_ids
            ):
                await trio.sleep(self._interval_s)
            return True
        return False
