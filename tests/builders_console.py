"""An in-memory backend and a client of the operators' application."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

import result
import trio
import trio.testing

from geraniumstair import configuration
from geraniumstair import console
from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders_configuration

TOKEN = "operator-token-for-tests"


class FakeBackend(console.ConfigurationAccess):
    """A backend of the operators' application with an in-memory store."""

    def __init__(self) -> None:
        self.store = builders_configuration.FakeStore()
        self.holder = configuration.ConfigurationHolder()
        super().__init__(self.store, self.holder)
        self.taken_back: list[str] = []

    async def status(self) -> Mapping[str, Any]:
        """See `console.OperatorBackend`."""
        return {"members": [{"node_id": "n<1>", "revision": 1}]}

    async def dump(self) -> Mapping[str, Any]:
        """See `console.OperatorBackend`."""
        raise RuntimeError("secret detail")

    async def rollouts(self) -> list[messages.RolloutState]:
        """See `console.OperatorBackend`."""
        return [
            messages.RolloutState(
                "desk-v2", "GOING_ON", 1, 5.0, "", 0, True, "", "", "", 0
            ),
        ]

    async def take_back_rollout(self, name: str) -> result.Result:
        """See `console.OperatorBackend`."""
        if name in self.taken_back:
            return result.Err(
                errors.Refusal(codes.Code.INVALID_ROLLOUT, "ended")
            )
        self.taken_back.append(name)
        return result.Ok(None)

    def metrics(self) -> bytes:
        """See `console.OperatorBackend`."""
        return b"# metrics\n"


@dataclasses.dataclass
class Response:
    """An HTTP response of the application."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body's JSON value."""
        return json.loads(self.body)


class Client:
    """Calls an ASGI application without a network."""

    def __init__(self, backend: FakeBackend) -> None:
        self.application = console.build_operator_application(backend, TOKEN)
        self.headers = {"authorization": f"Bearer {TOKEN}"}

    def call(
        self,
        method: str,
        path: str,
        body: bytes | Mapping[str, Any] = b"",
        **headers: str,
    ) -> Response:
        """Sends one request; a mapping is sent as JSON."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(self._call, method, path, data, headers, clock=clock)

    async def _call(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> Response:
        sent: list[dict[str, Any]] = []
        path, _, query = path.partition("?")
        all_headers = {**self.headers, **headers}
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [
                (k.replace("_", "-").encode(), v.encode())
                for k, v in all_headers.items()
            ],
        }

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event: dict[str, Any]) -> None:
            sent.append(event)

        await self.application(scope, receive, send)
        response_headers = {
            k.decode(): v.decode() for k, v in sent[0]["headers"]
        }
        return Response(sent[0]["status"], response_headers, sent[1]["body"])
