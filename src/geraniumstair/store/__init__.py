"""Clients of the platform's key-value service and of the platform's VM list.

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

import importlib
from typing import TYPE_CHECKING
from typing import Any

from geraniumstair.store._connection import CallFailure
from geraniumstair.store._connection import Reply
from geraniumstair.store._connection import StoreConnection
from geraniumstair.store._connection import StoreMetrics
from geraniumstair.store._plain_transport import PlainTransport
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

if TYPE_CHECKING:
    from geraniumstair.store._etcd import EtcdStore
    from geraniumstair.store._httpcore_transport import HttpcoreTransport
    from geraniumstair.store._vm_list import HttpVmList
    from geraniumstair.store._vm_list import Vm
    from geraniumstair.store._vm_list import VmList
    from geraniumstair.store._vm_list import VmListFailure
    from geraniumstair.store._vm_list import VmState

# The node on the users' platform uses none of these. They are imported at their
# first use, because httpcore takes a tenth of the start of its process.
_LAZY_MODULES = {
    "EtcdStore": "_etcd",
    "HttpVmList": "_vm_list",
    "HttpcoreTransport": "_httpcore_transport",
    "Vm": "_vm_list",
    "VmList": "_vm_list",
    "VmListFailure": "_vm_list",
    "VmState": "_vm_list",
}


def __getattr__(name: str) -> Any:
    """Imports a member that is not used by all programs."""
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


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
    "HttpcoreTransport",
    "KeyValue",
    "KeyValueStore",
    "PlainTransport",
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
