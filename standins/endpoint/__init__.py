"""Stand-in that simulates the search endpoints behind the nodes."""

from standins.endpoint._hits import compute_hits
from standins.endpoint._model import EndpointModel
from standins.endpoint._model import Reply
from standins.endpoint._model import Request
from standins.endpoint._server import EndpointServer
from standins.endpoint._server import serve
from standins.endpoint._settings import EndpointSettings
from standins.endpoint._settings import ProcessSettings
from standins.endpoint._settings import VersionFault

__all__ = [
    "EndpointModel",
    "EndpointServer",
    "EndpointSettings",
    "ProcessSettings",
    "Reply",
    "Request",
    "VersionFault",
    "compute_hits",
    "serve",
]
