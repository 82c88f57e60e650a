"""Connections, response parsing and latencies for calls to endpoints.

Used by `dispatch` and `forward`, and so by both interfaces of the product.
"""

from geraniumstair.endpoint_http._connect import connect
from geraniumstair.endpoint_http._latency import LatencyWindow
from geraniumstair.endpoint_http._response import InvalidResponse
from geraniumstair.endpoint_http._response import Response
from geraniumstair.endpoint_http._response import ResponseParser

__all__ = [
    "InvalidResponse",
    "LatencyWindow",
    "Response",
    "ResponseParser",
    "connect",
]
