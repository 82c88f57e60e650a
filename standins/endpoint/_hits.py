"""Search hits that are a function of shard, snapshot and query."""

from collections.abc import Sequence
import dataclasses
import math

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class Hit:
    """A search hit.

    Attributes:
        id: Id that begins with the shard and the snapshot.
        score: Between 0 and 1.
    """

    id: str
    score: float


def compute_hits(
    shard: str, snapshot: int, query: str, coverage_pct: float = 100.0
) -> Sequence[Hit]:
    """Returns the hits of a query.

    Callers compute the same hits to verify an answer.

    Args:
        shard: Qualified shard, `subsidiary/service/shard`.
        snapshot: Snapshot of the index.
        query: Text of the query.
        coverage_pct: Share of the hits to return; the last ones are omitted.

    Returns:
        At most four hits, the best one first.
    """
    source = f"{shard}\0{snapshot}\0{query}".encode()
    seed = xxhash.xxh3_64_intdigest(source)
    count = 1 + seed % 4
    kept_count = math.ceil(count * min(100.0, max(0.0, coverage_pct)) / 100)
    hits = []
    score = 1.0
    for index in range(kept_count):
        digest = xxhash.xxh3_64_intdigest(seed.to_bytes(8, "big"), index)
        score *= 0.5 + (digest >> 32) / 2**33
        hits.append(Hit(f"{shard}:{snapshot}:{digest:016x}", round(score, 9)))
    return hits
