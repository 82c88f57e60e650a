"""Routes of callers' requests, and the services that they lead to.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""

from geraniumstair.routing._split import ServiceSplit
from geraniumstair.routing._table import CallerLimits
from geraniumstair.routing._table import Route
from geraniumstair.routing._table import RouteTable
from geraniumstair.routing._table import ServiceLimits
from geraniumstair.routing._table import SplitPart

__all__ = [
    "CallerLimits",
    "Route",
    "RouteTable",
    "ServiceLimits",
    "SplitPart",
    "ServiceSplit",
]
