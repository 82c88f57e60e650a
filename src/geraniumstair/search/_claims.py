"""Claims for requests that must run at most once."""

import hashlib
import logging

import trio

from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.search import _answer
from geraniumstair.search import _protocols
from geraniumstair.search import _request

_LOGGER = logging.getLogger(__name__)

# Kept short, because the caller waits for its answer while the outcome is
# stored.
_RECORD_TIMEOUT_S = 0.1


def claim_key(request: _request.SearchRequest) -> bytes:
    """Returns the SHA-256 of the subsidiary and the idempotency key."""
    text = f"{request.subsidiary}\0{request.idempotency_key}"
    return hashlib.sha256(text.encode()).digest()


async def claim_request(
    claims: _protocols.ClaimClient,
    request: _request.SearchRequest,
    cutoff_s: float,
) -> _answer.SearchAnswer | None:
    """Claims the right to run a request.

    Args:
        claims: Client of the nodes that decide on claims.
        request: A request that must run at most once.
        cutoff_s: Clock time at which the search ends.

    Returns:
        None if the claim is granted; else the answer for the caller: the
        stored answer of an earlier run, if known, or a refusal.
    """
    reply: messages.ClaimReply | None = None
    with trio.move_on_at(cutoff_s):
        remaining_s = max(0.0, cutoff_s - trio.current_time())
        try:
            reply = await claims.claim(
                messages.ClaimRequest(
                    key=claim_key(request), deadline_ms=remaining_s * 1000
                )
            )
        except Exception:
            _LOGGER.exception("search: claiming a request failed")
    if reply is None:
        return _answer.build_refusal_answer(
            errors.Refusal(
                codes.Code.CLAIM_UNRESOLVED,
                "The claim was not confirmed in time.",
            )
        )
    if reply.code == codes.Code.OK:
        return None
    return _build_refused_claim_answer(reply)


def _build_refused_claim_answer(
    reply: messages.ClaimReply,
) -> _answer.SearchAnswer:
    if reply.code == codes.Code.ALREADY_CLAIMED and reply.outcome:
        stored = _answer.decode_answer(reply.outcome)
        if stored is not None:
            return stored
    try:
        code = codes.Code(reply.code)
    except ValueError:
        code = codes.Code.CLAIM_UNRESOLVED
    detail = reply.detail or codes.INFO[code].meaning
    return _answer.build_refusal_answer(errors.Refusal(code, detail))


async def record_answer(
    claims: _protocols.ClaimClient,
    request: _request.SearchRequest,
    answer: _answer.SearchAnswer,
) -> None:
    """Stores the answer to a claimed request, if its outcome is known."""
    answered = len(answer.coverage.missing) < answer.coverage.asked
    if not (answered or answer.not_run):
        return
    outcome = messages.ClaimOutcome(
        key=claim_key(request), outcome=_answer.encode_answer(answer)
    )
    with trio.move_on_after(_RECORD_TIMEOUT_S):
        try:
            await claims.record_outcome(outcome)
        except Exception:
            _LOGGER.exception("search: storing the outcome of a claim failed")
