"""Interfaces that membership uses, and types that it passes to callers."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Protocol

import result

from geraniumstair import _struct
from geraniumstair import configuration
from geraniumstair import peers
from geraniumstair._generated import messages

StateReceiver = Callable[[messages.ShardState], None]


class Network(Protocol):
    """The part of `peers.PeerNetwork` that membership uses."""

    async def call(
        self, node_id: str, request: _struct.Message, timeout_ms: float
    ) -> result.Result[Any, peers.PeerFailure]:
        """Sends a request and waits for the reply."""

    def send(self, node_id: str, message: _struct.Message) -> bool:
        """Sends a one-way message."""

    def register_handler(
        self, message_type: type, handler: peers.AsyncHandler
    ) -> None:
        """Sets the handler of a message type."""

    def set_peers(self, addresses: Mapping[str, peers.PeerAddress]) -> None:
        """Sets the nodes that streams are maintained to."""

    def add_seed(self, address: peers.PeerAddress) -> None:
        """Adds an address of a node whose id is not known."""

    def connected_nodes(self) -> frozenset[str]:
        """Returns the nodes with an open stream."""

    def is_responsive(self, node_id: str) -> bool:
        """Returns whether a node replies to pings."""


class ConfigurationHolder(Protocol):
    """The part of `configuration.ConfigurationHolder` that membership uses."""

    @property
    def current(self) -> configuration.Topology | None:
        """The topology in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """One entry of the VM list.

    Attributes:
        address: IP address of the VM.
        leaving: True if the list reports the VM as leaving.
    """

    address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSource:
    """The newest known configuration revision, and a node that has it."""

    revision: int
    node_id: str
