"""Encoding, framing and authentication of messages between nodes.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.wire._codec import decode
from geraniumstair.wire._codec import encode
from geraniumstair.wire._handshake import AcceptedStream
from geraniumstair.wire._handshake import ConnectedStream
from geraniumstair.wire._handshake import Identity
from geraniumstair.wire._handshake import accept_handshake
from geraniumstair.wire._handshake import connect_handshake
from geraniumstair.wire._stream import MessageStream

__all__ = [
    "AcceptedStream",
    "ConnectedStream",
    "Identity",
    "MessageStream",
    "accept_handshake",
    "connect_handshake",
    "decode",
    "encode",
]
