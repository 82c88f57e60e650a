"""The node that serves callers on the users' platform.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package. `node` is the daemon of `geraniumstair node`.
"""

from geraniumstair.gateway._application import CallerApplication
from geraniumstair.gateway._application import CallerCodec
from geraniumstair.gateway._application import HttpResponse
from geraniumstair.gateway._application import ReadinessApplication
from geraniumstair.gateway._application import RequestHead
from geraniumstair.gateway._lifecycle import Lifecycle
from geraniumstair.gateway._node import GatewayAdapters
from geraniumstair.gateway._node import GatewayNode
from geraniumstair.gateway._node import GatewaySettings
from geraniumstair.gateway._presence import Member
from geraniumstair.gateway._presence import Presence
from geraniumstair.gateway._presence import select_neighbours
from geraniumstair.gateway._rollouts import RecordEncoder
from geraniumstair.gateway._rollouts import RolloutOrder
from geraniumstair.gateway._rollouts import RolloutRecord
from geraniumstair.gateway._rollouts import Rollouts
from geraniumstair.gateway._start_wait import StartWait
from geraniumstair.gateway._state import DesiredState
from geraniumstair.gateway._state import EndpointChanged
from geraniumstair.gateway._state import EndpointEntryRemoved
from geraniumstair.gateway._state import RolloutOrderRemoved
from geraniumstair.gateway._state import RolloutRecordRemoved
from geraniumstair.gateway._state import RoutesChanged
from geraniumstair.gateway._state import StateChange
from geraniumstair.gateway._state import StateDecoder
from geraniumstair.gateway._state import ZoneChanged
from geraniumstair.gateway._usage import UsageClocks
from geraniumstair.gateway._usage import UsageReports
from geraniumstair.gateway._usage import UsageSettings

__all__ = [
    "CallerApplication",
    "CallerCodec",
    "DesiredState",
    "GatewayAdapters",
    "GatewayNode",
    "GatewaySettings",
    "EndpointChanged",
    "EndpointEntryRemoved",
    "HttpResponse",
    "Lifecycle",
    "Member",
    "Presence",
    "ReadinessApplication",
    "RecordEncoder",
    "RequestHead",
    "RolloutOrder",
    "RolloutOrderRemoved",
    "RolloutRecord",
    "RolloutRecordRemoved",
    "Rollouts",
    "RoutesChanged",
    "StartWait",
    "StateChange",
    "StateDecoder",
    "UsageClocks",
    "UsageReports",
    "UsageSettings",
    "ZoneChanged",
    "select_neighbours",
]
