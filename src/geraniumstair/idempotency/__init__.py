"""At-most-once execution of non-idempotent requests.

A request is executed only after its idempotency key has been claimed. Claims
are recorded in the store, so that a repeated request with the same key is not
executed again.

`geraniumstair node` uses this package.
"""

from geraniumstair.idempotency._claim_server import ClaimServer
from geraniumstair.idempotency._client import ClaimClient
from geraniumstair.idempotency._client import PeerCaller
from geraniumstair.idempotency._client import RankedMembers
from geraniumstair.idempotency._ledger import BUCKET_COUNT
from geraniumstair.idempotency._ledger import bucket_name
from geraniumstair.idempotency._ledger import bucket_of

__all__ = [
    "BUCKET_COUNT",
    "ClaimClient",
    "ClaimServer",
    "PeerCaller",
    "RankedMembers",
    "bucket_name",
    "bucket_of",
]
