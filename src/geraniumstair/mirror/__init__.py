"""A local copy of the store on each node.

A few nodes watch the store; the others receive its changes by gossip.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""

from geraniumstair.mirror._completeness import Completeness
from geraniumstair.mirror._exchange import FreshnessExchange
from geraniumstair.mirror._freshness import Freshness
from geraniumstair.mirror._freshness import FreshnessSource
from geraniumstair.mirror._gossip import MirrorGossip
from geraniumstair.mirror._mirror import Mirror
from geraniumstair.mirror._mirror import MirrorItem
from geraniumstair.mirror._store_watcher import StoreReader
from geraniumstair.mirror._store_watcher import StoreWatcher
from geraniumstair.mirror._watcher_selection import WatcherSelection

__all__ = [
    "Completeness",
    "Freshness",
    "FreshnessExchange",
    "FreshnessSource",
    "Mirror",
    "MirrorGossip",
    "MirrorItem",
    "StoreReader",
    "StoreWatcher",
    "WatcherSelection",
]
