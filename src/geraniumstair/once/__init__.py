"""At-most-once execution of non-idempotent requests.

A request is executed only after its idempotency key has been claimed. Claims
are recorded in the store, so that a repeated request with the same key is not
executed again.
"""

from geraniumstair.once._client import ClaimClient
from geraniumstair.once._client import PeerCaller
from geraniumstair.once._client import RankedMembers
from geraniumstair.once._keeper import ClaimKeeper
from geraniumstair.once._ledger import BUCKET_COUNT
from geraniumstair.once._ledger import bucket_name
from geraniumstair.once._ledger import bucket_of

__all__ = [
    "BUCKET_COUNT",
    "ClaimClient",
    "ClaimKeeper",
    "PeerCaller",
    "RankedMembers",
    "bucket_name",
    "bucket_of",
]
