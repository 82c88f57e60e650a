"""Replicated rollout state: decisions, their records and traffic shares.

One node at a time is responsible for a rollout and decides on its progress.
Decisions are recorded in the store and passed on between nodes, and every node
derives the traffic shares of its services from them.

`geraniumstair node` uses this package. `canary` holds the analysis that both
kinds of node share.
"""

from geraniumstair.rollout._manager import RolloutManager
from geraniumstair.rollout._manager import RolloutPeers
from geraniumstair.rollout._states import RolloutStates
from geraniumstair.rollout._states import to_decision
from geraniumstair.rollout._states import to_state_message
from geraniumstair.rollout._store import RolloutStore
from geraniumstair.rollout._store import StoredRollout

__all__ = [
    "RolloutStates",
    "RolloutManager",
    "RolloutStore",
    "RolloutPeers",
    "StoredRollout",
    "to_decision",
    "to_state_message",
]
