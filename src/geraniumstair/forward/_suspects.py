"""Requests under which endpoints ended, as all nodes report them.

A request may crash each endpoint that runs it. A search would end an endpoint
of each shard, and its repeats the others, and callers send it again through
other nodes. So all nodes remember such requests for some time, and do not send
them any more. Meanwhile, searches of the same route are tried on one endpoint
first: those that crash it reach no other one.

A request with the same content as one that was answered a short time ago does
not crash endpoints. Endpoints that end under it end for other reasons.
"""

from collections.abc import Callable
from collections.abc import Set
import dataclasses
import logging
from typing import Protocol

import xxhash

from geraniumstair import _struct
from geraniumstair import observe
from geraniumstair import peers
from geraniumstair._generated import messages
from geraniumstair.forward import _call

_LOG = logging.getLogger(__name__)
# A request is not sent any more after this many endpoints ended under it. Other
# requests may have ended the first one, which ran several at once.
MAX_ENDED = 2
# How long a request is remembered. Callers wait for a few seconds.
RETENTION_S = 30.0
# How long searches of a route are tried on one endpoint first.
TRIAL_S = 10.0
MAX_REQUESTS = 1000
# A request is not suspected if the same content was answered within this time.
# Endpoints with another version may crash under what earlier ones answered.
ANSWER_VALID_S = 5.0
# Contents of answered requests that a node remembers.
MAX_ANSWERED = 2000


class Network(Protocol):
    """The operations of the peer network that reports need."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the ids of the nodes with an open stream."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""


def compute_key(request: _call.CallerRequest) -> bytes:
    """Returns a hash of the content that endpoints get."""
    parts = (
        request.method,
        request.host.encode(),
        request.target,
        request.body,
    )
    digest = xxhash.xxh128()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request under which endpoints ended.

    Attributes:
        endpoints: The endpoints, with their starts.
        until_s: When the request is forgotten.
    """

    endpoints: set[str]
    until_s: float


class SuspectRequests:
    """Remembers the requests under which endpoints ended.

    Args:
        clock: Returns a monotonic time in s.
        network: Streams to peers; None without other nodes.
    """

    def __init__(
        self, clock: Callable[[], float], network: Network | None = None
    ) -> None:
        self._clock = clock
        self._network = network
        # In the order in which they are forgotten.
        self._suspects: dict[bytes, _Suspect] = {}
        self._trial_until_s: dict[str, float] = {}
        # Times of the last answers, in their order.
        self._answered_s: dict[bytes, float] = {}
        if network is not None:
            network.register_handler(messages.EndReport, self._on_report)

    def is_blocked(self, request: _call.CallerRequest) -> bool:
        """Returns whether a request must not be sent to endpoints."""
        # Most of the time there are none, and no hash is needed.
        if not self._suspects:
            return False
        suspect = self._find(compute_key(request))
        return suspect is not None and len(suspect.endpoints) >= MAX_ENDED

    def needs_trial(self, route: str) -> bool:
        """Returns whether searches of a route are tried on one endpoint."""
        return self._clock() < self._trial_until_s.get(route, 0.0)

    def record_answer(self, request: _call.CallerRequest) -> None:
        """Records that endpoints have answered a request."""
        key = compute_key(request)
        self._answered_s.pop(key, None)
        self._answered_s[key] = self._clock()
        if len(self._answered_s) > MAX_ANSWERED:
            del self._answered_s[next(iter(self._answered_s))]

    def _was_answered(self, key: bytes) -> bool:
        answered_s = self._answered_s.get(key)
        return (
            answered_s is not None
            and self._clock() < answered_s + ANSWER_VALID_S
        )

    def report_ends(
        self, request: _call.CallerRequest, route: str, endpoints: Set[str]
    ) -> None:
        """Records that endpoints ended under a request, and tells peers.

        Args:
            request: The request.
            route: Name of its route.
            endpoints: The endpoints, with their starts.
        """
        key = compute_key(request)
        for endpoint in sorted(endpoints):
            _LOG.warning(
                "forward: an endpoint ended while it ran a request",
                extra=observe.fields(
                    request_id=request.request_id.decode("latin-1"),
                    route=route,
                    endpoint=endpoint,
                ),
            )
            self._record(key, route, endpoint)
            report = messages.EndReport(
                request_key=key, route=route, endpoint=endpoint
            )
            if self._network is not None:
                for node_id in self._network.connected_nodes():
                    self._network.send(node_id, report)

    async def _on_report(self, sender: str, report: messages.EndReport) -> None:
        self._record(report.request_key, report.route, report.endpoint)

    def _find(self, key: bytes) -> _Suspect | None:
        now_s = self._clock()
        while self._suspects:
            oldest = next(iter(self._suspects))
            if (
                self._suspects[oldest].until_s > now_s
                and len(self._suspects) <= MAX_REQUESTS
            ):
                break
            del self._suspects[oldest]
        return self._suspects.get(key)

    def _record(self, key: bytes, route: str, endpoint: str) -> None:
        now_s = self._clock()
        if self._was_answered(key):
            _LOG.info(
                "forward: a request is not suspected of ending an endpoint; "
                "the same content was answered before",
                extra=observe.fields(route=route, endpoint=endpoint),
            )
            return
        known = self._find(key)
        endpoints = known.endpoints if known is not None else set()
        endpoints.add(endpoint)
        self._suspects.pop(key, None)
        self._suspects[key] = _Suspect(endpoints, now_s + RETENTION_S)
        self._trial_until_s[route] = now_s + TRIAL_S
