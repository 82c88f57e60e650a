"""Clients of the platform's key-value service and of the platform's VM list.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.store._connection import CallFailure
from geraniumstair.store._connection import Reply
from geraniumstair.store._connection import StoreConnection
from geraniumstair.store._connection import StoreMetrics
from geraniumstair.store._etcd import EtcdStore
from geraniumstair.store._protocol import MAX_VALUE_BYTES
from geraniumstair.store._protocol import CommitOutcome
from geraniumstair.store._protocol import Compare
from geraniumstair.store._protocol import CompareTarget
from geraniumstair.store._protocol import Delete
from geraniumstair.store._protocol import Effect
from geraniumstair.store._protocol import KeyValue
from geraniumstair.store._protocol import KeyValueStore
from geraniumstair.store._protocol import Put
from geraniumstair.store._protocol import StoreFailure
from geraniumstair.store._protocol import StoreRestoredError
from geraniumstair.store._protocol import Transaction
from geraniumstair.store._protocol import WatchCompactedError
from geraniumstair.store._revisions import is_restored_since
from geraniumstair.store._revisions import order_revision
from geraniumstair.store._revisions import split_revision
from geraniumstair.store._vm_list import HttpVmList
from geraniumstair.store._vm_list import Vm
from geraniumstair.store._vm_list import VmList
from geraniumstair.store._vm_list import VmListFailure
from geraniumstair.store._vm_list import VmState

__all__ = [
    "MAX_VALUE_BYTES",
    "CallFailure",
    "CommitOutcome",
    "Compare",
    "CompareTarget",
    "Delete",
    "Effect",
    "EtcdStore",
    "HttpVmList",
    "KeyValue",
    "KeyValueStore",
    "Put",
    "Reply",
    "StoreConnection",
    "StoreFailure",
    "StoreMetrics",
    "StoreRestoredError",
    "Transaction",
    "Vm",
    "VmList",
    "VmListFailure",
    "VmState",
    "WatchCompactedError",
    "is_restored_since",
    "order_revision",
    "split_revision",
]
