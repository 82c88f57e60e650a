"""Benchmark `config`: concurrent changes with a slow, faulty store."""

import dataclasses
import random
import time
from typing import Any

import trio
import yaml

from bench import _context
from bench import _operators
import devsite

_OPERATORS = 4
_DURATION_S = 60.0
_QUICK_DURATION_S = 15.0
_MEAN_PAUSE_S = 0.2
_FAULT_INTERVAL_S = 1.0
_MAX_DELAY_MS = 150
_SETTLE_S = 10.0
_INITIAL_SOFT_DEADLINE_MS = 300


@dataclasses.dataclass
class _Counts:
    accepted: int = 0
    conflicts: int = 0
    unknown: int = 0
    unavailable: int = 0
    other: int = 0


class _OperatorRace:
    """Concurrent operators, each of which keeps changing two services.

    Each operator sets the soft deadline of its two services to the same
    increasing value. If the two values of a document differ, a change was
    accepted in part. If a value is lower than one that was accepted earlier,
    an update was lost.

    Attributes:
        accepted_s: Time of acceptance on the monotonic clock by revision.
    """

    def __init__(
        self, site: devsite.Site, poller: _operators.RevisionPoller, seed: int
    ) -> None:
        self._site = site
        self._poller = poller
        self._seed = seed
        self.counts = _Counts()
        self.partial_accepts = 0
        self.lost_updates = 0
        self.accepted_s: dict[int, float] = {}
        self._texts: dict[int, str] = {}
        self._confirmed_values = [_INITIAL_SOFT_DEADLINE_MS] * _OPERATORS

    async def inject_faults(self) -> None:
        """Makes the store slow and drops its responses, until cancelled."""
        choices = random.Random(f"faults/{self._seed}")
        while True:
            await _operators.control_store(
                self._site,
                delay_ms=choices.randrange(_MAX_DELAY_MS),
                lose_next_answers=choices.randrange(3),
            )
            await trio.sleep(_FAULT_INTERVAL_S)

    async def apply_changes(self, index: int) -> None:
        """Applies one operator's changes, each through a random node."""
        choices = random.Random(f"operator/{self._seed}/{index}")
        clients = [
            _operators.OperatorClient(self._site, node_id)
            for node_id in self._site.node_ids
        ]
        value = _INITIAL_SOFT_DEADLINE_MS
        while True:
            value += 1
            await self._apply_change(index, value, choices.choice(clients))
            await trio.sleep(choices.uniform(0, 2 * _MEAN_PAUSE_S))

    async def _apply_change(
        self, index: int, value: int, client: _operators.OperatorClient
    ) -> None:
        # The document must contain all values confirmed before this read.
        confirmed_values = list(self._confirmed_values)
        shown = await client.show()
        if shown.status != 200 or not shown.value["from_store"]:
            self.counts.unavailable += 1
            return
        base = int(shown.value["revision"])
        document = self._check_document(
            base, shown.value["text"], confirmed_values
        )
        services = document["subsidiaries"][0]["services"]
        for service in services[2 * index : 2 * index + 2]:
            service["soft_deadline_ms"] = value
        text = yaml.safe_dump(document, sort_keys=False)
        reply = await client.apply(text, base)
        self._count_reply(index, value, reply)

    def _count_reply(
        self, index: int, value: int, reply: _operators.OperatorReply
    ) -> None:
        name = reply.value.get("name")
        if reply.status == 200:
            self.counts.accepted += 1
            revision = int(reply.value["revision"])
            # No two operators may receive the same revision.
            self.lost_updates += revision in self.accepted_s
            self.accepted_s[revision] = time.monotonic()
            self._confirmed_values[index] = value
        elif name == "REVISION_CONFLICT":
            self.counts.conflicts += 1
        elif name == "ACCEPTANCE_UNKNOWN" or reply.status == 0:
            self.counts.unknown += 1
        elif name == "STORE_UNAVAILABLE":
            self.counts.unavailable += 1
        else:
            self.counts.other += 1

    def _check_document(
        self, revision: int, text: str, confirmed_values: list[int]
    ) -> Any:
        # A revision that has two different texts was accepted twice.
        self.lost_updates += self._texts.setdefault(revision, text) != text
        document = yaml.safe_load(text)
        services = document["subsidiaries"][0]["services"]
        for index, confirmed_value in enumerate(confirmed_values):
            first, second = (
                service["soft_deadline_ms"]
                for service in services[2 * index : 2 * index + 2]
            )
            self.partial_accepts += first != second
            self.lost_updates += first < confirmed_value
        return document

    async def check_last_document(self) -> float:
        """Checks the last document after the faults have ended.

        Returns:
            Longest time in s from acceptance of a revision until all nodes
            had it in force. A revision that a node never had in force counts
            with `_SETTLE_S`.
        """
        await _operators.control_store(
            self._site, delay_ms=0, lose_next_answers=0
        )
        node_ids = self._site.node_ids
        client = _operators.OperatorClient(self._site, node_ids[0])
        shown = await client.show()
        revision = int(shown.value["revision"])
        self._check_document(
            revision, shown.value["text"], list(self._confirmed_values)
        )
        await self._poller.wait_in_force(node_ids, revision, _SETTLE_S)
        propagations_s = [
            self._poller.propagation_s(node_ids, accepted_revision, accepted_s)
            for accepted_revision, accepted_s in self.accepted_s.items()
        ]
        return max(
            _SETTLE_S if propagation is None else propagation
            for propagation in propagations_s
        )


async def run(options: _context.BenchOptions) -> _context.BenchResult:
    """Returns reverts, partly accepted changes and lost updates."""
    duration_s = _QUICK_DURATION_S if options.quick else _DURATION_S
    site = _context.build_site(options, devsite.ASSOCIATION)
    async with site:
        poller = _operators.RevisionPoller(site)
        race = _OperatorRace(site, poller, options.seed)
        async with trio.open_nursery() as nursery:
            await nursery.start(poller.run)
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as operator_nursery:
                    operator_nursery.start_soon(race.inject_faults)
                    for index in range(_OPERATORS):
                        operator_nursery.start_soon(race.apply_changes, index)
            in_force_max_s = await race.check_last_document()
            nursery.cancel_scope.cancel()
    return {
        "in_force_max_s": round(in_force_max_s, 2),
        "reverts": poller.reverts,
        "partial_accepts": race.partial_accepts,
        "lost_updates": race.lost_updates,
        "counts": dataclasses.asdict(race.counts),
    }
