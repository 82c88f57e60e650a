"""Connections, response parsing and latencies for calls to endpoints.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package, through
`dispatch` and `forward`.
"""

from geraniumstair.endpoint_http._buffer_limit import MAX_BUFFERED_BYTES
from geraniumstair.endpoint_http._buffer_limit import PROCESS_LIMIT
from geraniumstair.endpoint_http._buffer_limit import BufferLimit
from geraniumstair.endpoint_http._connect import connect
from geraniumstair.endpoint_http._latency import LatencyWindow
from geraniumstair.endpoint_http._response import InvalidResponse
from geraniumstair.endpoint_http._response import Response
from geraniumstair.endpoint_http._response import ResponseParser

__all__ = [
    "BufferLimit",
    "InvalidResponse",
    "LatencyWindow",
    "MAX_BUFFERED_BYTES",
    "PROCESS_LIMIT",
    "Response",
    "ResponseParser",
    "connect",
]
