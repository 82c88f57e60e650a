"""A copy of the store on each node, kept up by a few watching nodes."""

from geraniumstair.mirror._feed import StoreFeed
from geraniumstair.mirror._feed import StoreSource
from geraniumstair.mirror._gossip import MirrorGossip
from geraniumstair.mirror._mirror import Mirror
from geraniumstair.mirror._mirror import MirrorItem
from geraniumstair.mirror._watchers import WatchDuty

__all__ = [
    "Mirror",
    "MirrorGossip",
    "MirrorItem",
    "StoreFeed",
    "StoreSource",
    "WatchDuty",
]
