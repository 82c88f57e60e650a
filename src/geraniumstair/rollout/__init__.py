"""Replicated rollout state: decisions, their records and traffic shares.

One node at a time is responsible for a rollout and decides on its progress.
Decisions are recorded in the store and passed on between nodes, and every node
derives the traffic shares of its services from them. Used by the product's own
interface (`geraniumstair node`); `canary` holds the analysis that both
interfaces share.
"""

from geraniumstair.rollout._manager import RolloutManager
from geraniumstair.rollout._manager import RolloutPeers
from geraniumstair.rollout._states import RolloutStates
from geraniumstair.rollout._states import decision_of
from geraniumstair.rollout._states import state_of
from geraniumstair.rollout._store import RolloutStore
from geraniumstair.rollout._store import StoredRollout

__all__ = [
    "RolloutStates",
    "RolloutManager",
    "RolloutStore",
    "RolloutPeers",
    "StoredRollout",
    "decision_of",
    "state_of",
]
