"""Remote calls and one-way messages between nodes.

Used by both interfaces of the product (`geraniumstair node` and
`geraniumstair.platform`).
"""

from geraniumstair.peers._connection import PeerFailure
from geraniumstair.peers._network import PeerNetwork
from geraniumstair.peers._transport import Handler
from geraniumstair.peers._transport import PeerAddress
from geraniumstair.peers._transport import SyncHandler
from geraniumstair.peers._transport import TcpTransport
from geraniumstair.peers._transport import Transport

__all__ = [
    "SyncHandler",
    "Handler",
    "PeerAddress",
    "PeerFailure",
    "PeerNetwork",
    "TcpTransport",
    "Transport",
]
