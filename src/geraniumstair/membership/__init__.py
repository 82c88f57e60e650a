"""Cluster membership, heartbeats, coordinator election, shard ownership.

The view is the list of members that the coordinator writes to the store; each
change increments its epoch.

`geraniumstair node` uses this package.
"""

from geraniumstair.membership._authority import Authority
from geraniumstair.membership._interfaces import ListedVm
from geraniumstair.membership._interfaces import RevisionSource
from geraniumstair.membership._membership import Membership

__all__ = ["Authority", "ListedVm", "Membership", "RevisionSource"]
