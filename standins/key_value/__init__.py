"""Stand-in that simulates the key-value service (etcd v3 JSON interface)."""

from standins.key_value._application import build_application
from standins.key_value._application import serve
from standins.key_value._faults import CallRefused
from standins.key_value._faults import FaultPlan
from standins.key_value._in_process import InProcessStore
from standins.key_value._state import Compacted
from standins.key_value._state import KeyValueState

__all__ = [
    "CallRefused",
    "Compacted",
    "FaultPlan",
    "InProcessStore",
    "KeyValueState",
    "build_application",
    "serve",
]
