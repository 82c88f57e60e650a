"""Replicated rollout state: decisions, their records and traffic shares.

One node at a time is responsible for a rollout and decides on its progress.
Decisions are recorded in the store and passed on between nodes, and every node
derives the traffic shares of its services from them.
"""

from geraniumstair.rollout._manager import RolloutKeeper
from geraniumstair.rollout._manager import RolloutPeers
from geraniumstair.rollout._states import RolloutBoard
from geraniumstair.rollout._states import decision_of
from geraniumstair.rollout._states import state_of
from geraniumstair.rollout._store import RolloutLedger
from geraniumstair.rollout._store import StoredRollout

__all__ = [
    "RolloutBoard",
    "RolloutKeeper",
    "RolloutLedger",
    "RolloutPeers",
    "StoredRollout",
    "decision_of",
    "state_of",
]
