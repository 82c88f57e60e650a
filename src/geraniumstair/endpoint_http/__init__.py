"""Connections, response parsing and latencies for calls to endpoints."""

from geraniumstair.endpoint_http._connect import connect
from geraniumstair.endpoint_http._latency import LatencyWindow
from geraniumstair.endpoint_http._response import InvalidResponse
from geraniumstair.endpoint_http._response import Response
from geraniumstair.endpoint_http._response import ResponseReader

__all__ = [
    "InvalidResponse",
    "LatencyWindow",
    "Response",
    "ResponseReader",
    "connect",
]
