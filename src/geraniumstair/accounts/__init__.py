"""Client accounts: who a caller is, and whether this node may know it.

The node on the users' platform (`python -m geraniumstair.platform`) uses this
package.
"""

from geraniumstair.accounts._directory import Account
from geraniumstair.accounts._directory import AccountDirectory

__all__ = ["Account", "AccountDirectory"]
