"""Owner role: queues, limits and endpoint connections."""

from geraniumstair.dispatch._client import ClientFactory
from geraniumstair.dispatch._client import EndpointCall
from geraniumstair.dispatch._client import EndpointClient
from geraniumstair.dispatch._client import EndpointConnection
from geraniumstair.dispatch._client import EndpointReply
from geraniumstair.dispatch._client import Outcome
from geraniumstair.dispatch._dispatcher import AuthorityReader
from geraniumstair.dispatch._dispatcher import Dispatcher
from geraniumstair.dispatch._http_client import HttpClient
from geraniumstair.dispatch._http_client import HttpConnection

__all__ = [
    "AuthorityReader",
    "ClientFactory",
    "Dispatcher",
    "EndpointCall",
    "EndpointClient",
    "EndpointConnection",
    "EndpointReply",
    "HttpClient",
    "HttpConnection",
    "Outcome",
]
