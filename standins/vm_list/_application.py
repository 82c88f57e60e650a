"""ASGI application that serves the VM list with a configurable lag."""

from collections.abc import Sequence
import json
from typing import Any

import trio

from standins import asgi

Json = dict[str, Any]


class VmListState:
    """A list of VMs whose changes become visible after a lag.

    Attributes:
        lag_ms: Delay until a change becomes visible.
        down: Whether requests for the list fail with status 503.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.down = False
        self._visible_vms: Sequence[Json] = []
        self._pending_changes: list[tuple[float, Sequence[Json]]] = []

    def replace(self, vms: Sequence[Json]) -> None:
        """Replaces the list after the lag; entries are as in `GET /vms`."""
        visible_from_s = trio.current_time() + self.lag_ms / 1000
        self._pending_changes.append((visible_from_s, list(vms)))

    def read(self) -> Sequence[Json]:
        """Returns the list that is visible now."""
        now_s = trio.current_time()
        while self._pending_changes and self._pending_changes[0][0] <= now_s:
            self._visible_vms = self._pending_changes.pop(0)[1]
        return self._visible_vms


def build_application(state: VmListState) -> asgi.Application:
    """Returns the ASGI application.

    `GET /vms` returns a JSON array of {vm, address, availability_zone,
    state}, state `live` or `leaving`. `POST /control` accepts a JSON object
    with any of `lag_ms`, `down` and `vms` (the new list).
    """

    async def application(scope: Json, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
            return
        body = await asgi.read_body(receive)
        if scope["path"] == "/vms" and not state.down:
            await asgi.send_json_response(send, 200, state.read())
        elif scope["path"] == "/vms":
            await asgi.send_json_response(
                send, 503, {"message": "the list is down"}
            )
        elif scope["path"] == "/control":
            _apply_control(state, json.loads(body or b"{}"))
            await asgi.send_json_response(send, 200, {})
        else:
            await asgi.send_json_response(
                send, 404, {"message": "no such path"}
            )

    return application


def _apply_control(state: VmListState, request: Json) -> None:
    for name in ("lag_ms", "down"):
        if name in request:
            setattr(state, name, request[name])
    if "vms" in request:
        state.replace(request["vms"])


async def serve(
    state: VmListState,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the VM list on loopback until cancelled.

    Args:
        state: The list to serve.
        port: TCP port; 0 selects a free one.
        task_status: Reports the bound port.
    """
    await asgi.serve_application(
        build_application(state), port, task_status=task_status
    )
