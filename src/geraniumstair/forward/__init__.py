"""Forwards callers' requests to endpoints; each node decides on its own.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package. `geraniumstair node` uses `dispatch` instead.
"""

from geraniumstair.forward._budget import BudgetLimits
from geraniumstair.forward._budget import RetryBudget
from geraniumstair.forward._call import Call
from geraniumstair.forward._call import CallerRequest
from geraniumstair.forward._call import Dialect
from geraniumstair.forward._call import Outcome
from geraniumstair.forward._call import PreparedRequest
from geraniumstair.forward._call import Reply
from geraniumstair.forward._delegation import Delegation
from geraniumstair.forward._delegation_nodes import NodeInfo
from geraniumstair.forward._delegation_nodes import select_delegation_nodes
from geraniumstair.forward._delegation_nodes import select_delegation_peers
from geraniumstair.forward._delegation_nodes import select_inter_zone_nodes
from geraniumstair.forward._endpoints import EndpointPool
from geraniumstair.forward._forwarder import Forwarder
from geraniumstair.forward._grants import LimitGrants
from geraniumstair.forward._link import Link
from geraniumstair.forward._link import LinkFactory
from geraniumstair.forward._link import TcpLinkFactory
from geraniumstair.forward._metrics import ForwardMetrics
from geraniumstair.forward._parts_server import PartsServer
from geraniumstair.forward._pool_settings import PoolSettings
from geraniumstair.forward._rates import RateLimit
from geraniumstair.forward._rates import StatedLimits
from geraniumstair.forward._rates import TokenBucket
from geraniumstair.forward._records import RECORD_BYTES
from geraniumstair.forward._records import merge_greatest_records
from geraniumstair.forward._replica import Replica
from geraniumstair.forward._result import ForwardResult
from geraniumstair.forward._result import RefusalReason
from geraniumstair.forward._result import Refused
from geraniumstair.forward._result import SearchResult
from geraniumstair.forward._result import SingleResult
from geraniumstair.forward._suspects import SuspectRequests
from geraniumstair.forward._timing import Margins
from geraniumstair.forward._usage import UsageRecorder

__all__ = [
    "RECORD_BYTES",
    "BudgetLimits",
    "Call",
    "CallerRequest",
    "Delegation",
    "Dialect",
    "EndpointPool",
    "ForwardMetrics",
    "ForwardResult",
    "Forwarder",
    "LimitGrants",
    "Link",
    "LinkFactory",
    "Margins",
    "NodeInfo",
    "Outcome",
    "PartsServer",
    "PoolSettings",
    "PreparedRequest",
    "RateLimit",
    "RefusalReason",
    "Refused",
    "Replica",
    "Reply",
    "RetryBudget",
    "SearchResult",
    "SingleResult",
    "StatedLimits",
    "SuspectRequests",
    "TcpLinkFactory",
    "TokenBucket",
    "UsageRecorder",
    "merge_greatest_records",
    "select_delegation_nodes",
    "select_delegation_peers",
    "select_inter_zone_nodes",
]
