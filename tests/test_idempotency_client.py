"""Tests of `idempotency.ClaimClient` on a virtual clock."""

from collections.abc import Callable
import unittest

import result

from geraniumstair import idempotency
from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders_idempotency


class _Network:
    """Network that calls a peer's claim server directly and injects failures.

    Attributes:
        handlers: Registered handlers by message type.
        sent_before_failure: By id of each unreachable node, whether bytes of
            the call are sent before it fails.
        lose_replies: True to lose the replies of the peer.
        called_node_ids: Ids of the called nodes, in order.
        peer_claim_server: Claim server of the peer.
    """

    def __init__(self) -> None:
        self.handlers: dict[type, Callable] = {}
        self.sent_before_failure: dict[str, bool] = {}
        self.lose_replies = False
        self.called_node_ids: list[str] = []
        self.peer_claim_server: idempotency.ClaimServer | None = None

    async def call(self, node_id, request, timeout_ms):
        self.called_node_ids.append(node_id)
        if node_id in self.sent_before_failure:
            return result.Err(_SendFailure(self.sent_before_failure[node_id]))
        reply = await self.peer_claim_server.claim(request)
        return (
            result.Err(_SendFailure(True))
            if self.lose_replies
            else result.Ok(reply)
        )

    def send(self, node_id, message) -> bool:
        self.peer_claim_server.record_outcome(message)
        return True

    def register_handler(self, message_type, handler) -> None:
        self.handlers[message_type] = handler


class _SendFailure:
    def __init__(self, sent: bool) -> None:
        self.sent = sent


class _StaticRanking:
    def __init__(self, *node_ids: str) -> None:
        self.node_ids = node_ids

    def ranked_members(self, name: str):
        return self.node_ids


class ClaimClientTest(unittest.TestCase):
    """Guards against an unknown result that is treated as a grant."""

    def _build_client(self, site: builders_idempotency.ClaimSite, *ranked: str):
        network = _Network()
        network.peer_claim_server = site.claim_servers[1]
        client = idempotency.ClaimClient(
            _StaticRanking(*ranked),
            network,
            site.claim_servers[0],
            node_id="n0",
        )
        return client, network

    def test_claims_and_outcomes_go_to_the_owner(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            client, network = self._build_client(site, "n1", "n0")
            key = builders_idempotency.build_key("a")
            reply = await client.claim(builders_idempotency.build_request(key))
            self.assertEqual(reply.code, codes.Code.OK)
            await client.record_outcome(
                messages.ClaimOutcome(key=key, outcome=b"o")
            )
            reply = await client.claim(builders_idempotency.build_request(key))
            self.assertEqual(reply.outcome, b"o")
            self.assertEqual(network.called_node_ids, ["n1", "n1"])
            handler = network.handlers[messages.ClaimRequest]
            reply = await handler("n2", builders_idempotency.build_request(key))
            self.assertEqual(reply.code, codes.Code.ALREADY_CLAIMED)

        builders_idempotency.run_with_site(check)

    def test_only_an_unsent_claim_goes_to_the_next_node(
        self,
    ) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            client, network = self._build_client(site, "n1", "n0")
            network.sent_before_failure["n1"] = False
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("a")
                )
            )
            self.assertEqual(reply.code, codes.Code.OK)
            network.sent_before_failure["n1"] = True
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("b")
                )
            )
            self.assertEqual(reply.code, codes.Code.CLAIM_UNRESOLVED)
            network.sent_before_failure.clear()
            network.lose_replies = True
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("c")
                )
            )
            self.assertEqual(reply.code, codes.Code.CLAIM_UNRESOLVED)
            network.lose_replies = False
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("c")
                )
            )
            self.assertEqual(reply.code, codes.Code.ALREADY_CLAIMED)

        builders_idempotency.run_with_site(check)

    def test_claim_fails_if_no_node_is_reachable(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            client, network = self._build_client(site, "n1")
            network.sent_before_failure["n1"] = False
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("a")
                )
            )
            self.assertEqual(reply.code, codes.Code.OWNER_UNREACHABLE)
            reply = await client.claim(
                builders_idempotency.build_request(
                    builders_idempotency.build_key("a"), float("nan")
                )
            )
            self.assertEqual(reply.code, codes.Code.INVALID_DEADLINE)

        builders_idempotency.run_with_site(check)
