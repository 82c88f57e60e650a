"""The node that serves callers on the users' platform."""

from geraniumstair.edge._application import CallerApplication
from geraniumstair.edge._application import CallerCodec
from geraniumstair.edge._application import HttpResponse
from geraniumstair.edge._application import ReadinessApplication
from geraniumstair.edge._application import RequestHead
from geraniumstair.edge._lifecycle import Lifecycle
from geraniumstair.edge._node import EdgeAdapters
from geraniumstair.edge._node import EdgeNode
from geraniumstair.edge._node import EdgeSettings
from geraniumstair.edge._presence import Member
from geraniumstair.edge._presence import Presence
from geraniumstair.edge._presence import select_neighbours
from geraniumstair.edge._rollouts import RecordEncoder
from geraniumstair.edge._rollouts import RolloutOrder
from geraniumstair.edge._rollouts import RolloutRecord
from geraniumstair.edge._rollouts import Rollouts
from geraniumstair.edge._state import DesiredState
from geraniumstair.edge._state import EndpointChanged
from geraniumstair.edge._state import EndpointEntryRemoved
from geraniumstair.edge._state import RolloutOrderRemoved
from geraniumstair.edge._state import RolloutRecordRemoved
from geraniumstair.edge._state import RoutesChanged
from geraniumstair.edge._state import StateChange
from geraniumstair.edge._state import StateDecoder
from geraniumstair.edge._state import ZoneChanged

__all__ = [
    "CallerApplication",
    "CallerCodec",
    "DesiredState",
    "EdgeAdapters",
    "EdgeNode",
    "EdgeSettings",
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
    "StateChange",
    "StateDecoder",
    "ZoneChanged",
    "select_neighbours",
]
