"""Canary analysis of rollouts: compares a new version with the old one.

The package limits the share of requests that the new version receives,
counts the results of both versions, and decides whether a rollout advances,
completes or is rolled back (`TAKEN_BACK`).

Both kinds of node (`geraniumstair node` and
`python -m geraniumstair.platform`) use this package.
"""

from geraniumstair.canary._evidence import Comparison
from geraniumstair.canary._evidence import Counts
from geraniumstair.canary._evidence import EvidenceTable
from geraniumstair.canary._fault_detection import find_fault
from geraniumstair.canary._judge import REASON_OPERATOR
from geraniumstair.canary._judge import REASON_REMOVED
from geraniumstair.canary._judge import Decision
from geraniumstair.canary._judge import Progress
from geraniumstair.canary._judge import RolloutJudge
from geraniumstair.canary._judge import RolloutPlan
from geraniumstair.canary._judge import compute_max_share_pct
from geraniumstair.canary._share import VersionShare
from geraniumstair.canary._versions import COLD_ANSWERS
from geraniumstair.canary._versions import CONSECUTIVE_WARM_ANSWERS
from geraniumstair.canary._versions import Answer
from geraniumstair.canary._versions import RolloutEvidence
from geraniumstair.canary._versions import StopCallback
from geraniumstair.canary._versions import VersionGate
from geraniumstair.canary._versions import VersionTracker

__all__ = [
    "Answer",
    "COLD_ANSWERS",
    "Comparison",
    "Counts",
    "Decision",
    "EvidenceTable",
    "Progress",
    "REASON_OPERATOR",
    "REASON_REMOVED",
    "RolloutEvidence",
    "RolloutJudge",
    "RolloutPlan",
    "StopCallback",
    "VersionTracker",
    "VersionGate",
    "VersionShare",
    "CONSECUTIVE_WARM_ANSWERS",
    "find_fault",
    "compute_max_share_pct",
]
