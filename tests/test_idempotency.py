"""Tests of `idempotency.ClaimServer` on a virtual clock."""

import collections
from collections.abc import Sequence
import logging
import unittest

import trio

from geraniumstair._generated import codes
from geraniumstair._generated import messages
from tests import builders_idempotency

_DAY_MS = 24 * 3600 * 1000


def setUpModule() -> None:  # noqa: N802
    """Silences the warnings of injected store failures."""
    logging.getLogger("geraniumstair").setLevel(logging.ERROR)


def tearDownModule() -> None:  # noqa: N802
    """Restores the log level."""
    logging.getLogger("geraniumstair").setLevel(logging.NOTSET)


class ClaimServerTest(unittest.TestCase):
    """Guards against a key that is granted twice or refused wrongly."""

    def test_key_is_granted_once_and_its_outcome_is_returned(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            key = builders_idempotency.build_key("a")
            self.assertEqual(await site.claim(0, key), codes.Code.OK)
            self.assertEqual(
                await site.claim(0, key), codes.Code.ALREADY_CLAIMED
            )
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )
            outcome = messages.ClaimOutcome(key=key, outcome=b"done")
            site.claim_servers[0].record_outcome(outcome)
            reply = await site.claim_servers[0].claim(
                builders_idempotency.build_request(key)
            )
            self.assertEqual(reply.code, codes.Code.ALREADY_CLAIMED)
            self.assertEqual(reply.outcome, b"done")

        builders_idempotency.run_with_site(check)

    def test_concurrent_claims_share_one_transaction(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            async with trio.open_nursery() as nursery:
                for key in builders_idempotency.build_keys_of_bucket(3, 50):
                    nursery.start_soon(site.claim, 0, key)
            self.assertEqual(site.stores[0].faults.calls["txn"], 1)

        builders_idempotency.run_with_site(check)

    def test_rate_limit_bounds_the_writes_of_busy_buckets(self) -> None:
        """Guards against claims that use up the store's write capacity."""

        async def call(
            site: builders_idempotency.ClaimSite, keys: Sequence[bytes]
        ) -> None:
            for key in keys:
                code = await site.claim(0, key, deadline_ms=2000)
                self.assertEqual(code, codes.Code.OK)

        async def check(site: builders_idempotency.ClaimSite) -> None:
            async with trio.open_nursery() as nursery:
                for bucket in range(64):
                    keys = builders_idempotency.build_keys_of_bucket(bucket, 80)
                    for start in range(4):
                        nursery.start_soon(call, site, keys[start::4])
                await trio.sleep(1.0)
                # At most a burst of 2 and 4 batches for each bucket.
                self.assertLessEqual(site.stores[0].faults.calls["txn"], 64 * 6)

        builders_idempotency.run_with_site(check)

    def test_claim_server_with_stale_records_reads_them_again(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            first, second, third = builders_idempotency.build_keys_of_bucket(
                3, 3
            )
            self.assertEqual(await site.claim(0, first), codes.Code.OK)
            self.assertEqual(await site.claim(1, second), codes.Code.OK)
            self.assertEqual(
                await site.claim(0, second), codes.Code.ALREADY_CLAIMED
            )
            self.assertEqual(await site.claim(0, third), codes.Code.OK)

        builders_idempotency.run_with_site(check)

    def test_claim_is_granted_after_a_lost_store_reply(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key = builders_idempotency.build_keys_of_bucket(3, 2)
            await site.claim(0, earlier_key)
            site.stores[0].faults.lose_next_answers = 1
            self.assertEqual(await site.claim(0, key), codes.Code.OK)
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )

        builders_idempotency.run_with_site(check)

    def test_delayed_write_after_a_retry_grants_once(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key, later = builders_idempotency.build_keys_of_bucket(
                3, 3
            )
            await site.claim(0, earlier_key)
            site.stores[0].faults.defer_next = 1
            self.assertEqual(await site.claim(0, key), codes.Code.OK)
            site.stores[0].execute_deferred()
            self.assertEqual(await site.claim(0, later), codes.Code.OK)
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )

        builders_idempotency.run_with_site(check)

    def test_lost_reply_to_a_cancelled_call_keeps_the_key_claimed(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key = builders_idempotency.build_keys_of_bucket(3, 2)
            await site.claim(0, earlier_key)
            site.stores[0].faults.lose_next_answers = 1
            with trio.move_on_after(0.05):
                await site.claim(0, key)
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )

        builders_idempotency.run_with_site(check)

    def test_delayed_store_reply_leaves_the_claim_unresolved(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key = builders_idempotency.build_keys_of_bucket(3, 2)
            await site.claim(0, earlier_key)
            site.stores[0].faults.answer_delay_ms = 60_000
            self.assertEqual(
                await site.claim(0, key), codes.Code.CLAIM_UNRESOLVED
            )
            self.assertEqual(
                await site.claim(0, key), codes.Code.ALREADY_CLAIMED
            )
            await trio.sleep(61)
            self.assertEqual(
                await site.claim(0, key), codes.Code.CLAIM_UNRESOLVED
            )
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )

        builders_idempotency.run_with_site(check, timeout_ms=120_000)

    def test_concurrent_claims_of_a_key_are_granted_once(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            key = builders_idempotency.build_key("a")
            reply_codes = []

            async def claim(server_index: int) -> None:
                reply_codes.append(await site.claim(server_index, key))

            async with trio.open_nursery() as nursery:
                for server_index in (0, 0, 1, 1):
                    nursery.start_soon(claim, server_index)
            self.assertEqual(reply_codes.count(codes.Code.OK), 1)
            self.assertEqual(reply_codes.count(codes.Code.ALREADY_CLAIMED), 3)

        builders_idempotency.run_with_site(check)

    def test_store_outage_refuses_claims_at_once_until_it_ends(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key = builders_idempotency.build_keys_of_bucket(3, 2)
            await site.claim(0, earlier_key)
            faults = site.stores[0].faults
            faults.down = "refuse"
            started = trio.current_time()
            self.assertEqual(
                await site.claim(0, key, 60_000), codes.Code.STORE_UNAVAILABLE
            )
            self.assertEqual(
                await site.claim(0, earlier_key), codes.Code.ALREADY_CLAIMED
            )
            self.assertLess(trio.current_time() - started, 0.1)
            faults.down = ""
            await trio.sleep(1)
            self.assertEqual(await site.claim(0, key), codes.Code.OK)

        builders_idempotency.run_with_site(check)

    def test_hanging_store_costs_all_buckets_one_timeout(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            site.stores[0].faults.down = "hang"
            counts: collections.Counter[codes.Code] = collections.Counter()

            async def claim(bucket: int) -> None:
                key = builders_idempotency.build_keys_of_bucket(bucket, 1)[0]
                counts[await site.claim(0, key, 60_000)] += 1

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for bucket in range(64):
                    nursery.start_soon(claim, bucket)
            self.assertEqual(counts, {codes.Code.STORE_UNAVAILABLE: 64})
            # All claims together wait for one store timeout, not for one
            # timeout per bucket or per concurrent store call.
            self.assertLess(trio.current_time() - started, 0.2)

        builders_idempotency.run_with_site(check)

    def test_only_probes_wait_for_the_timeout_in_a_long_outage(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            site.stores[0].faults.down = "hang"
            waits_s = []

            async def claim(key: bytes) -> None:
                started = trio.current_time()
                code = await site.claim(0, key, 60_000)
                self.assertEqual(code, codes.Code.STORE_UNAVAILABLE)
                waits_s.append(trio.current_time() - started)

            async with trio.open_nursery() as nursery:
                for index in range(200):
                    nursery.start_soon(
                        claim, builders_idempotency.build_key(str(index))
                    )
                    await trio.sleep(0.05)
            # The outage lasts 10 s with 20 claims a second, a store timeout
            # of 100 ms and a probe every 250 ms.
            delayed = sum(wait_s > 0.01 for wait_s in waits_s)
            self.assertLess(delayed, 45)

        builders_idempotency.run_with_site(check)

    def test_one_lost_store_reply_is_no_outage(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            for bucket in (3, 4):
                await site.claim(
                    0, builders_idempotency.build_keys_of_bucket(bucket, 1)[0]
                )
            site.stores[0].faults.lose_next_answers = 1
            reply_codes = []

            async def claim(key: bytes) -> None:
                reply_codes.append(await site.claim(0, key, 5000))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    claim, builders_idempotency.build_keys_of_bucket(3, 2)[1]
                )
                await trio.sleep(0.02)
                for key in builders_idempotency.build_keys_of_bucket(4, 20)[1:]:
                    nursery.start_soon(claim, key)
                    await trio.sleep(0.01)
            self.assertEqual(set(reply_codes), {codes.Code.OK})

        builders_idempotency.run_with_site(check)

    def test_unresolved_claim_is_never_granted(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            earlier_key, key = builders_idempotency.build_keys_of_bucket(3, 2)
            await site.claim(0, earlier_key)
            faults = site.stores[0].faults
            faults.down = "hang"
            self.assertEqual(
                await site.claim(0, key), codes.Code.CLAIM_UNRESOLVED
            )
            faults.down = ""
            await trio.sleep(5)
            self.assertEqual(
                await site.claim(0, key), codes.Code.CLAIM_UNRESOLVED
            )
            self.assertEqual(
                await site.claim(1, key), codes.Code.ALREADY_CLAIMED
            )

        builders_idempotency.run_with_site(check)

    def test_old_batches_are_deleted(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            old, new, newer = builders_idempotency.build_keys_of_bucket(3, 3)
            await site.claim(0, old)
            site.now_ms += _DAY_MS
            await site.claim(0, new)
            self.assertEqual(
                await site.claim(0, old), codes.Code.ALREADY_CLAIMED
            )
            site.now_ms += 1
            await site.claim(0, newer)
            kept = (await site.stores[0].get_prefix("once/3/")).unwrap()
            self.assertEqual(len(kept), 3)

        builders_idempotency.run_with_site(check)

    def test_invalid_requests_are_refused(self) -> None:
        async def check(site: builders_idempotency.ClaimSite) -> None:
            self.assertEqual(
                await site.claim(0, b"short"), codes.Code.MALFORMED_BODY
            )
            for deadline_ms in (0, -1, float("nan"), float("inf")):
                self.assertEqual(
                    await site.claim(
                        0, builders_idempotency.build_key("a"), deadline_ms
                    ),
                    codes.Code.INVALID_DEADLINE,
                )

        builders_idempotency.run_with_site(check)
