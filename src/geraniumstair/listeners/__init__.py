"""HTTP listeners.

The node on the users' platform (`python -m geraniumstair.platform`) serves its
callers with `HttpServer`, which bounds what clients that misbehave can use.
`geraniumstair.listeners.asgi` serves the other programs with hypercorn.
"""

from geraniumstair.listeners._lifespan import serve_lifespan
from geraniumstair.listeners._limits import RequestLimits
from geraniumstair.listeners._limits import ResourceLimits
from geraniumstair.listeners._limits import derive_resource_limits
from geraniumstair.listeners._metrics import ListenerMetrics
from geraniumstair.listeners._server import GRACEFUL_TIMEOUT_S
from geraniumstair.listeners._server import HttpServer
from geraniumstair.listeners._server import open_socket

__all__ = [
    "GRACEFUL_TIMEOUT_S",
    "HttpServer",
    "ListenerMetrics",
    "RequestLimits",
    "ResourceLimits",
    "derive_resource_limits",
    "open_socket",
    "serve_lifespan",
]
