"""Dispatch of shard requests from the shard's owner to its endpoints.

The owner of a shard queues its requests, limits the concurrency of each
endpoint, and hedges and retries requests.

`geraniumstair node` uses this package. The node on the users' platform uses
`forward` instead.
"""

from geraniumstair.dispatch._client import ClientFactory
from geraniumstair.dispatch._client import EndpointClient
from geraniumstair.dispatch._client import EndpointConnection
from geraniumstair.dispatch._client import EndpointReply
from geraniumstair.dispatch._client import EndpointRequest
from geraniumstair.dispatch._client import Outcome
from geraniumstair.dispatch._dispatcher import AuthorityReader
from geraniumstair.dispatch._dispatcher import Dispatcher
from geraniumstair.dispatch._http_client import HttpClient
from geraniumstair.dispatch._http_client import HttpConnection

__all__ = [
    "AuthorityReader",
    "ClientFactory",
    "Dispatcher",
    "EndpointRequest",
    "EndpointClient",
    "EndpointConnection",
    "EndpointReply",
    "HttpClient",
    "HttpConnection",
    "Outcome",
]
