"""Progress of rollouts: who judges, what is recorded, what is in force."""

from geraniumstair.rollout._board import RolloutBoard
from geraniumstair.rollout._board import decision_of
from geraniumstair.rollout._board import state_of
from geraniumstair.rollout._keeper import RolloutKeeper
from geraniumstair.rollout._keeper import RolloutPeers
from geraniumstair.rollout._ledger import RolloutLedger
from geraniumstair.rollout._ledger import StoredRollout

__all__ = [
    "RolloutBoard",
    "RolloutKeeper",
    "RolloutLedger",
    "RolloutPeers",
    "StoredRollout",
    "decision_of",
    "state_of",
]
