"""Builders for tests of account keys."""

from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any
from unittest import mock

import trio

from geraniumstair import accounts
from geraniumstair import discovery
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair import store
from geraniumstair._generated import messages
from geraniumstair.gateway import _authentication
from geraniumstair.gateway import _key_revocation
from geraniumstair.platform import _decoder
from geraniumstair.platform import _http
from tests import builders_gateway

REVOKE_S = 5.0


def directory(**keys: list[str]) -> accounts.AccountDirectory:
    """Returns accounts by name; `urgent` has priority 0."""
    return accounts.AccountDirectory(
        (
            accounts.Account(name, 0 if name == "urgent" else None),
            [key.encode() for key in account_keys],
        )
        for name, account_keys in keys.items()
    )


def table(
    routes: Iterable[routing.Route],
    known: accounts.AccountDirectory | None,
) -> routing.RouteTable:
    """Returns routes of a site with accounts."""
    return routing.RouteTable(1, routes, {}, routing.CallerLimits(), known)


def desired_state() -> gateway.DesiredState:
    """Returns the state of a node that decodes the platform's entries."""
    return gateway.DesiredState(
        _decoder.PlatformDecoder(),
        discovery.EndpointRegistry(lambda: 0.0),
        mock.Mock(),
        mock.Mock(),
    )


def configuration_item(
    version: int, generation: int = 1, **keys: list[str]
) -> mirror.MirrorItem:
    """Returns a version of the configuration with the keys of accounts."""
    tenants = [{"Name": n, "ApiKeys": ks} for n, ks in keys.items()]
    return dataclasses.replace(
        configuration(Version=version, Tenants=tenants),
        revision=store.order_revision(generation, version),
    )


def configuration(**fields: Any) -> mirror.MirrorItem:
    """Returns a configuration without routes, as an operator writes it."""
    value = {"Version": 1, "Routes": []} | fields
    encoded = json.dumps(value).encode()
    return mirror.MirrorItem(_decoder.CONFIG_KEY, encoded, 1)


def key_check(
    age_s: float,
) -> tuple[accounts.KeyCheck, mirror.Freshness]:
    """Returns a strict check of a node whose freshness has an age."""
    freshness = mirror.Freshness(lambda: 100.0)
    if math.isfinite(age_s):
        freshness.record(mirror.FreshnessSource.WATCH, 100.0 - age_s)
    limits = accounts.RevocationLimits(True, REVOKE_S)
    return accounts.KeyCheck(limits, freshness, lambda: True), freshness


def loaded_lifecycle(check: accounts.KeyCheck) -> gateway.Lifecycle:
    """Returns the lifecycle of a node that has loaded its configuration."""
    lifecycle = gateway.Lifecycle(6.0)
    lifecycle.loaded = True
    lifecycle.can_judge_keys = lambda: check.is_allowed
    return lifecycle


def dump_revocation(known: accounts.AccountDirectory) -> str:
    """Returns the dump of a node with accounts."""
    revocation = _key_revocation.KeyRevocation(
        accounts.RevocationLimits(True, REVOKE_S), lambda: 1.0
    )
    routes = table([], known)
    revocation.find_table = lambda: routes
    dump = observe.StateDump()
    dump.register("accounts", revocation.dump)
    return dump.render().decode()


class RecordingForwarder:
    """Records the forwarded request and answers it, or fails."""

    def __init__(self, error: Exception | None) -> None:
        self.request: forward.CallerRequest | None = None
        self._error = error

    async def forward(
        self, request: forward.CallerRequest, route: routing.Route
    ) -> forward.ForwardResult:
        """Returns an empty answer."""
        self.request = request
        if self._error is not None:
            raise self._error
        return forward.SingleResult(builders_gateway.endpoint_reply())


@dataclasses.dataclass
class Served:
    """What a caller and an endpoint got.

    Attributes:
        status: Status of the response.
        headers: Headers of the response.
        body: Body of the response.
        request: The forwarded request; None if there was none.
        sent: The encoded head that an endpoint gets; empty without a request.
        metrics: The metrics of accounts.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    request: forward.CallerRequest | None
    sent: bytes
    metrics: str


def serve(
    known: accounts.AccountDirectory | None,
    headers: Iterable[tuple[bytes, bytes]],
    *,
    path: bytes = b"/p/x",
    keyless: bool = False,
    age_s: float | None = 0.0,
    loaded: bool = True,
    error: Exception | None = None,
) -> Served:
    """Sends one request to a node.

    Args:
        known: The accounts; None if the configuration has none.
        headers: Headers besides those that each request has.
        path: Path of the request; the route has the prefix `/p/`.
        keyless: The route needs no key.
        age_s: Age of the node's freshness; None for a node without a bound on
            revocation.
        loaded: The node has a configuration.
        error: What the forwarder raises.
    """
    routes = table([builders_gateway.route(keyless=keyless)], known)
    recorder = RecordingForwarder(error)
    registry = observe.MetricsRegistry()
    codec = _http.PlatformCodec()
    authenticator = None
    if age_s is not None:
        authenticator = _authentication.Authenticator(
            codec, key_check(age_s)[0], accounts.AccountMetrics(registry)
        )
    sent: list[Any] = []

    async def test(nursery: trio.Nursery) -> None:
        state = mock.Mock(table=routes if loaded else None)
        application = gateway.CallerApplication(
            state,
            recorder,  # type: ignore[arg-type]
            codec,
            gateway.Lifecycle(6.0),
            authenticator,
        )
        pending = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive() -> Any:
            return pending.pop() if pending else await trio.sleep_forever()

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": path,
            "query_string": b"",
            "headers": [
                (b"host", b"h.example"),
                (b"x-attempt-id", b"q1"),
                *headers,
            ],
        }
        await application(scope, receive, send)

    builders_gateway.run_on_virtual_clock(test)
    request = recorder.request
    encoded = b""
    if request is not None:
        encoded = _http.PlatformDialect().prepare(request).encode("e1", 9.0)
    return Served(
        sent[0]["status"],
        dict(sent[0]["headers"]),
        sent[1]["body"],
        request,
        encoded,
        registry.render().decode(),
    )


class RecordingPartsServer:
    """A node that calls shards for others and records their requests.

    Attributes:
        requests: The decoded requests.
        routes: The routes by which the shards are called.
    """

    def __init__(self) -> None:
        self.requests: list[forward.CallerRequest] = []
        self.routes: list[routing.Route] = []
        # The node has an earlier version, without accounts.
        routes = builders_gateway.table([builders_gateway.search_route(["s1"])])
        network = builders_gateway.FakeNetwork("n2", {})
        forward.PartsServer(
            network,  # type: ignore[arg-type]
            mock.Mock(table=routes),
            self,
            mock.Mock(stopping=False),
        )
        self._handlers = network.handlers

    async def gather(
        self, request: forward.CallerRequest, route: Any, shards: Any
    ) -> Any:
        """Records a request and refuses it."""
        self.requests.append(request)
        self.routes.append(route)
        refusal = forward.Refused(
            forward.RefusalReason.NO_ENDPOINT, True, None, ""
        )
        return refusal, []

    async def handle(self, message: messages.PartsRequest) -> Any:
        """Handles the message of another node."""
        return await self._handlers[messages.PartsRequest]("n1", message)
