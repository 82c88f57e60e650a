"""Entry role of a node: planning, scatter-gather and merging of searches.

The entry node of a search is the node that received it from the caller.

`geraniumstair node` uses this package.
"""

from geraniumstair.search._answer import Coverage
from geraniumstair.search._answer import Hit
from geraniumstair.search._answer import PartlyAnswered
from geraniumstair.search._answer import SearchAnswer
from geraniumstair.search._answer import decode_answer
from geraniumstair.search._answer import encode_answer
from geraniumstair.search._application import build_caller_application
from geraniumstair.search._metrics import SearchMetrics
from geraniumstair.search._protocols import CallNetwork
from geraniumstair.search._protocols import ClaimClient
from geraniumstair.search._protocols import ConfigurationHolder
from geraniumstair.search._protocols import OwnerView
from geraniumstair.search._protocols import ShardDispatcher
from geraniumstair.search._protocols import ShardTransport
from geraniumstair.search._readiness import Readiness
from geraniumstair.search._readiness import ReadinessState
from geraniumstair.search._readiness import drain
from geraniumstair.search._request import SearchRequest
from geraniumstair.search._request import parse_request
from geraniumstair.search._searcher import Searcher
from geraniumstair.search._transport import OwnerTransport

__all__ = [
    "CallNetwork",
    "ClaimClient",
    "ConfigurationHolder",
    "Coverage",
    "Hit",
    "OwnerTransport",
    "OwnerView",
    "PartlyAnswered",
    "Readiness",
    "ReadinessState",
    "SearchAnswer",
    "SearchMetrics",
    "SearchRequest",
    "Searcher",
    "ShardDispatcher",
    "ShardTransport",
    "build_caller_application",
    "decode_answer",
    "drain",
    "encode_answer",
    "parse_request",
]
