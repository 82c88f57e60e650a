"""Random interleavings of two claim servers on a virtual clock."""

import dataclasses
import logging
import unittest

import hypothesis
from hypothesis import strategies
import trio

from geraniumstair import idempotency
from geraniumstair._generated import codes
from standins import key_value
from tests import builders_idempotency as builders_once


def setUpModule() -> None:  # noqa: N802
    """Silences the warnings of injected store failures."""
    logging.getLogger("geraniumstair").setLevel(logging.ERROR)


def tearDownModule() -> None:  # noqa: N802
    """Restores the log level."""
    logging.getLogger("geraniumstair").setLevel(logging.NOTSET)


_STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just("claim"),
        strategies.integers(0, 1),
        strategies.integers(0, 5),
        strategies.sampled_from([30, 150, 1000]),
    ),
    strategies.tuples(
        strategies.sampled_from(
            ["lose", "defer", "late", "refuse", "hang", "up", "pause", "kill"]
        ),
        strategies.integers(0, 1),
    ),
    strategies.tuples(
        strategies.just("wait"), strategies.sampled_from([1, 8, 120, 700])
    ),
)


@dataclasses.dataclass(frozen=True)
class _Answer:
    claim_server: idempotency.ClaimServer
    key: bytes
    code: codes.Code


class _Interleaving:
    """Runs random steps and records the answers in order of arrival."""

    def __init__(self, site: builders_once.ClaimSite) -> None:
        self.site = site
        self.answers: list[_Answer] = []
        self.keys = builders_once.build_keys_of_bucket(7, 6)

    async def claim(self, index: int, key: bytes, deadline_ms: float) -> None:
        claim_server = self.site.claim_servers[index]
        code = await self.site.claim(index, key, deadline_ms)
        self.answers.append(_Answer(claim_server, key, code))

    async def run(self, steps: list[tuple]) -> None:
        async with trio.open_nursery() as nursery:
            for action, *arguments in steps:
                if action == "claim":
                    server_index, index, deadline_ms = arguments
                    nursery.start_soon(
                        self.claim, server_index, self.keys[index], deadline_ms
                    )
                    await trio.sleep(0)
                elif action == "wait":
                    await trio.sleep(arguments[0] / 1000)
                elif action == "kill":
                    await self.site.restart(arguments[0])
                else:
                    self._apply_fault(action, self.site.stores[arguments[0]])
            self._clear_faults()
        await trio.sleep(5)
        for kv_store in self.site.stores:
            self._apply_fault("late", kv_store)

    async def claim_again(self) -> None:
        for index in (0, 1):
            for key in self.keys:
                await self.claim(index, key, 5000)

    def _clear_faults(self) -> None:
        for kv_store in self.site.stores:
            self._apply_fault("up", kv_store)
            kv_store.faults.lose_next_answers = 0
            kv_store.faults.defer_next = 0

    def _apply_fault(
        self, action: str, kv_store: key_value.InProcessStore
    ) -> None:
        if action == "lose":
            kv_store.faults.lose_next_answers += 1
        elif action == "defer":
            kv_store.faults.defer_next += 1
        elif action == "late":
            kv_store.execute_deferred()
        elif action == "pause":
            kv_store.faults.paused = True
        else:
            kv_store.faults.paused = False
            kv_store.faults.down = "" if action == "up" else action


class ClaimServerInterleavingTest(unittest.TestCase):
    """Guards against double grants under races, outages and lost answers."""

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(strategies.lists(_STEPS, min_size=4, max_size=30))
    def test_random_interleavings(self, steps: list[tuple]) -> None:
        async def check(site: builders_once.ClaimSite) -> None:
            interleaving = _Interleaving(site)
            await interleaving.run(steps)
            await interleaving.claim_again()
            records = (await site.stores[0].get_prefix("once/7/")).unwrap()
            recorded = b"".join(record.value for record in records)
            for key in interleaving.keys:
                # Every key is recorded, because no faults were active during
                # `claim_again`.
                self.assertEqual(recorded.count(key), 1)
                self._check_key(
                    [a for a in interleaving.answers if a.key == key]
                )

        builders_once.run_with_site(check)

    def _check_key(self, answers: list[_Answer]) -> None:
        grant_count = [a.code for a in answers].count(codes.Code.OK)
        self.assertLessEqual(grant_count, 1)
        for index, answer in enumerate(answers):
            later = [
                a.code
                for a in answers[index + 1 :]
                if a.claim_server is answer.claim_server
            ]
            if answer.code is codes.Code.OK:
                # A claim server never reports a key that it granted as not
                # executed.
                self.assertEqual(
                    set(later) - {codes.Code.ALREADY_CLAIMED}, set()
                )
            elif answer.code is codes.Code.CLAIM_UNRESOLVED:
                self.assertNotIn(codes.Code.OK, later)
        # A recorded key that was not granted was refused as unresolved.
        recorded_codes = {codes.Code.OK, codes.Code.CLAIM_UNRESOLVED}
        self.assertTrue(recorded_codes & {a.code for a in answers})
        final = [a.code for a in answers[-2:]]
        if grant_count and codes.Code.OK not in final:
            self.assertEqual(final, [codes.Code.ALREADY_CLAIMED] * 2)
