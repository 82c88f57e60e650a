"""Remote calls and one-way messages between nodes.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.peers._connection import PeerFailure
from geraniumstair.peers._network import PeerNetwork
from geraniumstair.peers._transport import AsyncHandler
from geraniumstair.peers._transport import PeerAddress
from geraniumstair.peers._transport import SyncHandler
from geraniumstair.peers._transport import TcpTransport
from geraniumstair.peers._transport import Transport

__all__ = [
    "SyncHandler",
    "AsyncHandler",
    "PeerAddress",
    "PeerFailure",
    "PeerNetwork",
    "TcpTransport",
    "Transport",
]
