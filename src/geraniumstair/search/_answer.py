"""Answers to searches and their JSON form."""

from collections.abc import Sequence
import dataclasses
from typing import Literal

import msgspec

from geraniumstair import errors
from geraniumstair._generated import codes

EmptyReason = Literal["NONE_EXIST", "NONE_FOUND_SO_FAR"]


@dataclasses.dataclass(frozen=True)
class PartlyAnswered:
    """A shard whose endpoint searched only part of its data.

    Attributes:
        shard: Qualified name, `subsidiary/service/shard`.
        coverage_pct: Coverage that the endpoint reported.
    """

    shard: str
    coverage_pct: float


@dataclasses.dataclass(frozen=True)
class Coverage:
    """Which shards of a search answered, and how much of them.

    `asked` is always the sum of `answered` and the lengths of
    `partly_answered` and `missing`.

    Attributes:
        asked: Number of shards of the search.
        answered: Number of shards that answered in full.
        partly_answered: Shards that answered in part.
        missing: Qualified names of the shards without an answer.
        coverage_pct: Mean coverage of all shards; 100 only if complete.
    """

    asked: int = 0
    answered: int = 0
    partly_answered: Sequence[PartlyAnswered] = ()
    missing: Sequence[str] = ()
    coverage_pct: float = 0.0


@dataclasses.dataclass(frozen=True)
class Hit:
    """One hit, unchanged from the endpoint's reply.

    Attributes:
        shard: Qualified name, `subsidiary/service/shard`.
        hit: JSON text of the hit.
    """

    shard: str
    hit: msgspec.Raw


@dataclasses.dataclass(frozen=True)
class SearchAnswer:
    """The answer to one search; its JSON form has the same fields.

    Attributes:
        result_code: Result code from `schema/result-codes.yaml`.
        result_name: Name of the result code.
        detail: One sentence; empty for a full answer.
        not_run: True only if no endpoint can have acted on the request.
        snapshot: Snapshot of all hits, or None if none was pinned.
        complete: Every shard answered in full.
        empty: For an answer without hits, whether no hits exist or none were
            found so far; None if there are hits or no shard answered.
        coverage: Which shards answered, and how much of them.
        hits: Hits in the order of the shards.
        node: Id of the entry node.
        elapsed_ms: Time that the search took at the entry node.
    """

    result_code: int
    result_name: str
    detail: str
    not_run: bool
    snapshot: int | None = None
    complete: bool = False
    empty: EmptyReason | None = None
    coverage: Coverage = Coverage()
    hits: Sequence[Hit] = ()
    node: str = ""
    elapsed_ms: float = 0.0

    @property
    def code(self) -> codes.Code:
        """The result code."""
        return codes.Code(self.result_code)


def build_refusal_answer(
    refusal: errors.Refusal, *, not_run: bool | None = None
) -> SearchAnswer:
    """Returns an answer without results.

    Args:
        refusal: Why there are no results.
        not_run: Replaces `refusal.not_run`, if given.
    """
    return SearchAnswer(
        result_code=int(refusal.code),
        result_name=refusal.code.name,
        detail=refusal.detail,
        not_run=refusal.not_run if not_run is None else not_run,
    )


def encode_answer(answer: SearchAnswer) -> bytes:
    """Returns the JSON form of an answer."""
    return msgspec.json.encode(answer)


def decode_answer(text: bytes) -> SearchAnswer | None:
    """Returns the answer of a JSON text, or None if it is not valid."""
    try:
        answer = msgspec.json.decode(text, type=SearchAnswer)
        codes.Code(answer.result_code)
    except (msgspec.DecodeError, ValueError):
        return None
    return answer


def with_node(answer: SearchAnswer, node_id: str) -> SearchAnswer:
    """Returns the answer with the id of the entry node."""
    return dataclasses.replace(answer, node=node_id)
