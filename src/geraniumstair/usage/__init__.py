"""Reports the use of the site by client accounts to the platform's API.

Each node counts the requests that endpoints began to run. The holder of a key
in the store sums the counts of all nodes, records them and sends them. The node
on the users' platform (`python -m geraniumstair.platform`) uses this package.
"""

from geraniumstair.usage._counter import UsageCounter
from geraniumstair.usage._election import Election
from geraniumstair.usage._election import HolderKey
from geraniumstair.usage._election import rank_candidates
from geraniumstair.usage._holder import HOLDER_KEY
from geraniumstair.usage._holder import DutyHolder
from geraniumstair.usage._holder import DutyStore
from geraniumstair.usage._holder import decode_holder
from geraniumstair.usage._metrics import UsageMetrics
from geraniumstair.usage._report import MissedWindow
from geraniumstair.usage._report import Missing
from geraniumstair.usage._report import Report
from geraniumstair.usage._report import ReportQueue
from geraniumstair.usage._report import decode_report
from geraniumstair.usage._report import encode_report
from geraniumstair.usage._reporter import RECORD_KEY
from geraniumstair.usage._reporter import ApiOutcome
from geraniumstair.usage._reporter import ReportApi
from geraniumstair.usage._reporter import Reporter
from geraniumstair.usage._sender import SEND_INTERVAL_S
from geraniumstair.usage._sender import TotalsSender
from geraniumstair.usage._site_clock import SiteClock
from geraniumstair.usage._site_clock import read_boot_clock_s
from geraniumstair.usage._totals import NodeTotals
from geraniumstair.usage._totals import SiteTotals
from geraniumstair.usage._windows import Windows

__all__ = [
    "HOLDER_KEY",
    "RECORD_KEY",
    "SEND_INTERVAL_S",
    "ApiOutcome",
    "DutyHolder",
    "DutyStore",
    "Election",
    "HolderKey",
    "MissedWindow",
    "Missing",
    "NodeTotals",
    "Report",
    "ReportApi",
    "ReportQueue",
    "Reporter",
    "SiteClock",
    "SiteTotals",
    "TotalsSender",
    "UsageCounter",
    "UsageMetrics",
    "Windows",
    "decode_holder",
    "decode_report",
    "encode_report",
    "rank_candidates",
    "read_boot_clock_s",
]
