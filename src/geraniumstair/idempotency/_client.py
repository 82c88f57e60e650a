"""Sends claims of the entry node to the node that decides on them."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from geraniumstair.idempotency import _bucket
from geraniumstair.idempotency import _claim_server
from geraniumstair.idempotency import _ledger


class RankedMembers(Protocol):
    """The part of membership that chooses the owner of a bucket."""

    def ranked_members(self, name: str) -> Sequence[str]:
        """Returns node ids in descending order of their rank for the name."""
        ...


class CallFailure(Protocol):
    """Reason why a call to a peer received no reply."""

    @property
    def sent(self) -> bool:
        """False if no byte of the request was sent."""
        ...


class PeerCaller(Protocol):
    """The part of the peer network that claims need."""

    async def call(
        self, node_id: str, request: Any, timeout_ms: float
    ) -> result.Result[Any, Any]:
        """Calls a peer and returns its reply or a `CallFailure`."""
        ...

    def send(self, node_id: str, message: Any) -> bool:
        """Sends a one-way message; returns False if it cannot be sent."""
        ...

    def register_handler(
        self,
        message_type: type,
        handler: Any,
    ) -> None:
        """Sets the handler of a message type."""
        ...


class ClaimClient:
    """Sends claims to the owner of their bucket.

    The client also registers the handlers of claims and outcomes that peers
    send to this node.

    Args:
        membership: Ranks the nodes for a bucket.
        network: Sends messages to the owner.
        claim_server: Decides on the claims sent to this node.
        node_id: Id of this node.
    """

    def __init__(
        self,
        membership: RankedMembers,
        network: PeerCaller,
        claim_server: _claim_server.ClaimServer,
        *,
        node_id: str,
    ) -> None:
        self._membership = membership
        self._network = network
        self._claim_server = claim_server
        self._node_id = node_id
        network.register_handler(messages.ClaimRequest, self._handle_claim)
        network.register_handler(messages.ClaimOutcome, self._handle_outcome)

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Claims a key.

        If no byte of the claim was sent to a node, the claim is sent to the
        next one in rank order, since every node can decide on it. If the
        claim was sent, but its result is not known, the reply is
        `CLAIM_UNRESOLVED`: the claim may have been granted, but the request
        must not be executed.
        """
        refusal = _bucket.check_request(request)
        if refusal is not None:
            return refusal
        deadline = trio.current_time() + request.deadline_ms / 1000
        for node_id in self._rank(request.key):
            remaining_ms = (deadline - trio.current_time()) * 1000
            if remaining_ms <= 0:
                break
            attempt = messages.ClaimRequest(
                key=request.key, deadline_ms=remaining_ms
            )
            if node_id == self._node_id:
                return await self._claim_server.claim(attempt)
            outcome = await self._network.call(node_id, attempt, remaining_ms)
            if isinstance(outcome, result.Ok):
                return _validate_reply(outcome.ok_value)
            if outcome.err_value.sent:
                return _bucket.build_reply(
                    codes.Code.CLAIM_UNRESOLVED,
                    "no reply from the node that decides on the claim",
                )
        return _bucket.build_reply(
            codes.Code.OWNER_UNREACHABLE,
            "no node that decides on claims could be reached",
        )

    async def record_outcome(self, outcome: messages.ClaimOutcome) -> None:
        """Sends an outcome to the bucket's owner; the message may be lost."""
        if len(outcome.key) != _ledger.KEY_BYTES:
            return
        for node_id in self._rank(outcome.key)[:1]:
            if node_id == self._node_id:
                self._claim_server.record_outcome(outcome)
            else:
                self._network.send(node_id, outcome)

    def _rank(self, key: bytes) -> Sequence[str]:
        name = _ledger.bucket_name(_ledger.bucket_of(key))
        return self._membership.ranked_members(name)

    async def _handle_claim(
        self, sender: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        return await self._claim_server.claim(request)

    async def _handle_outcome(
        self, sender: str, outcome: messages.ClaimOutcome
    ) -> None:
        self._claim_server.record_outcome(outcome)


def _validate_reply(reply: Any) -> messages.ClaimReply:
    if isinstance(reply, messages.ClaimReply):
        return reply
    return _bucket.build_reply(
        codes.Code.CLAIM_UNRESOLVED,
        "unexpected reply from the node that decides on the claim",
    )
