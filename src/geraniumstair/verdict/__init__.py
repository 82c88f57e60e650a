"""Canary analysis of rollouts: compares a new version with the old one.

The package limits the share of requests that the new version receives,
counts the results of both versions, and decides whether a rollout advances,
completes or is rolled back (`TAKEN_BACK`).
"""

from geraniumstair.verdict._evidence import Comparison
from geraniumstair.verdict._evidence import Counts
from geraniumstair.verdict._evidence import EvidenceTable
from geraniumstair.verdict._fault_detection import find_fault
from geraniumstair.verdict._judge import REASON_OPERATOR
from geraniumstair.verdict._judge import REASON_REMOVED
from geraniumstair.verdict._judge import Decision
from geraniumstair.verdict._judge import Progress
from geraniumstair.verdict._judge import RolloutJudge
from geraniumstair.verdict._judge import RolloutPlan
from geraniumstair.verdict._judge import share_pct
from geraniumstair.verdict._share import VersionShare
from geraniumstair.verdict._versions import COLD_ANSWERS
from geraniumstair.verdict._versions import WARM_RUN
from geraniumstair.verdict._versions import Answer
from geraniumstair.verdict._versions import RolloutEvidence
from geraniumstair.verdict._versions import StopListener
from geraniumstair.verdict._versions import VersionBook
from geraniumstair.verdict._versions import VersionGate

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
    "StopListener",
    "VersionBook",
    "VersionGate",
    "VersionShare",
    "WARM_RUN",
    "find_fault",
    "share_pct",
]
