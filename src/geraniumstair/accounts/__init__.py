"""Client accounts: who a caller is, and whether this node may know it.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""

from geraniumstair.accounts._directory import Account
from geraniumstair.accounts._directory import AccountDirectory
from geraniumstair.accounts._metrics import AccountMetrics
from geraniumstair.accounts._revocation import KeyCheck
from geraniumstair.accounts._revocation import RevocationLimits
from geraniumstair.accounts._revocation import compute_read_age_s
from geraniumstair.accounts._revocation import compute_retry_s

__all__ = [
    "Account",
    "AccountDirectory",
    "AccountMetrics",
    "KeyCheck",
    "RevocationLimits",
    "compute_read_age_s",
    "compute_retry_s",
]
