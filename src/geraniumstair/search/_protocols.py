"""Protocols for the parts of other packages that the entry role uses."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import result

from geraniumstair import configuration
from geraniumstair._generated import messages


class ConfigurationHolder(Protocol):
    """Access to the configuration in force."""

    @property
    def current(self) -> configuration.Topology | None:
        """The topology in force, or None before the first one."""

    async def wait_for_newer_revision(self, revision: int) -> Any:
        """Returns once the topology in force is newer than the revision."""


# Called with the reply to a request that was started without a task, and with
# whether the reply is final. If it is not, the request should be submitted
# again.
ReplyCallback = Callable[[messages.ShardReply, bool], None]


class ShardTransport(Protocol):
    """Sends shard requests to the shards' owners."""

    def start(
        self, request: messages.ShardRequest, on_reply: ReplyCallback
    ) -> bool:
        """Sends a request without a task; False if `submit` must be used.

        `on_reply` is called once, possibly before `start` returns, unless the
        search is cancelled. The caller must cancel the search at the deadline.
        """

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Returns the owner's reply; a failure is a reply with its code."""

    async def snapshots(
        self, keys: Sequence[configuration.ShardKey], timeout_ms: float
    ) -> Mapping[configuration.ShardKey, Sequence[int]]:
        """Returns the snapshots of the shards whose owners answered."""

    def cancel(self, search_id: bytes) -> None:
        """Notifies the owners that a search attempt has ended."""


class ClaimClient(Protocol):
    """Claims the right to run a request that must run at most once."""

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Returns the decision on a claim; the code OK grants it."""

    async def record_outcome(self, outcome: messages.ClaimOutcome) -> None:
        """Stores the outcome for later requests with the same key."""


class OwnerView(Protocol):
    """The part of membership that routing needs."""

    def owners(self, key: configuration.ShardKey) -> Sequence[str]:
        """Returns the ranked node ids of a shard, the owner's first."""

    async def wait_for_change(self, last_change_count: int) -> int:
        """Waits for a change after `last_change_count`; returns the count."""


class CallFailure(Protocol):
    """Why a call got no reply."""

    @property
    def sent(self) -> bool:
        """False if no byte of the request left this node."""

    @property
    def detail(self) -> str:
        """The reason, in one sentence."""


class CallNetwork(Protocol):
    """The part of the peer network that routing needs."""

    async def call(
        self, node_id: str, request: Any, timeout_ms: float
    ) -> result.Result[Any, Any]:
        """Returns the peer's reply or a `CallFailure`."""

    def start_call(
        self,
        node_id: str,
        request: Any,
        on_result: Callable[[result.Result[Any, Any]], None],
    ) -> result.Result[Callable[[], bool], Any]:
        """Sends a request without a task.

        Args:
            node_id: The peer.
            request: The request.
            on_result: Called with the peer's reply or a `CallFailure`.

        Returns:
            A function that cancels the call and returns whether no byte of
            the request was sent; or a `CallFailure`.
        """

    def send(self, node_id: str, message: Any) -> bool:
        """Sends a one-way message; False if it is dropped."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the nodes with an open stream."""

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether the stream is open and received data recently."""


class ShardDispatcher(Protocol):
    """The part of the local dispatcher that routing needs."""

    async def submit(
        self, request: messages.ShardRequest
    ) -> messages.ShardReply:
        """Serves a request for a shard that this node owns."""

    def start_request(
        self,
        request: messages.ShardRequest,
        on_reply: Callable[[messages.ShardReply], None],
    ) -> object:
        """Serves a request without a task; `on_reply` gets the reply."""

    def cancel_search(self, search_id: bytes) -> None:
        """Drops the requests of a search attempt."""

    def snapshots(self, key: configuration.ShardKey) -> Sequence[int]:
        """Returns the snapshots that the shard can serve."""
