"""A model of a service whose endpoints start cold, or return."""

import contextlib
import dataclasses
import random
import statistics
from typing import Any
from unittest import mock

import trio
import trio.testing

from geraniumstair import forward
from geraniumstair.forward import _pacing
from tests import builders_gateway as builders

# An endpoint that has just started is this much slower for this time.
COLD_FACTOR = 1.6
COLD_S = 3.0
# Calls that wait for a slot; an endpoint rejects those beyond.
QUEUE_LENGTH = 3
# Processing times vary as in the other simulated loads.
WORK_SHAPE = 8.0
# When the endpoint starts or returns, and when the model ends.
CHANGE_S = 8.0
END_S = 28.0
# An endpoint that returns is unreachable from this time on.
OUTAGE_START_S = 6.0
TIMEOUT_S = 1.0
# The endpoint carries its share from the first of `SHARE_WINDOW_S` on in which
# it ran this part of an even share.
CARRIED_SHARE = 0.7
SHARE_WINDOW_S = 2.0
NEW_ENDPOINT = "new"


class LimitedBehaviour(builders.Behaviour):
    """An endpoint with slots and a short queue that starts cold.

    Args:
        slots: Calls that it processes at once.
        mean_work_s: Mean processing time when it is warm.
        rng: Varies the processing times.
        started_s: When it starts, and becomes reachable.
    """

    def __init__(
        self,
        slots: int,
        mean_work_s: float,
        rng: random.Random,
        started_s: float = -COLD_S,
    ) -> None:
        super().__init__()
        self.slots = trio.CapacityLimiter(slots)
        self.rejected_s: list[float] = []
        self.ran_s: list[float] = []
        self.started_s = started_s
        self._mean_work_s = mean_work_s
        self._rng = rng
        self._answer = builders.endpoint_reply(signature=b"")
        self._open = 0

    async def work(self, closed: trio.Event) -> bool:
        """Processes a call, or rejects it at once."""
        if self._open >= self.slots.total_tokens + QUEUE_LENGTH:
            self.rejected_s.append(trio.current_time())
            await trio.sleep(0.001)
            self.reply = forward.Reply(forward.Outcome.REJECTED, "busy", 503)
            return not closed.is_set()
        self._open += 1
        try:
            async with self.slots:
                self.ran_s.append(trio.current_time())
                await trio.sleep(self._draw_work_s())
        finally:
            self._open -= 1
        self.reply = self._answer
        return not closed.is_set()

    def _draw_work_s(self) -> float:
        work_s = self._rng.gammavariate(
            WORK_SHAPE, self._mean_work_s / WORK_SHAPE
        )
        is_cold = trio.current_time() < self.started_s + COLD_S
        return work_s * COLD_FACTOR if is_cold else work_s


@dataclasses.dataclass(frozen=True)
class Case:
    """What the model plays.

    Attributes:
        nodes: Number of nodes.
        requests_per_s: Requests of all nodes together.
        siblings: Endpoints besides the one that starts or returns.
        slots: Slots of each endpoint.
        mean_work_s: Mean processing time of a warm endpoint.
        returns: The endpoint served before and was unreachable; otherwise it
            starts.
    """

    nodes: int
    requests_per_s: float = 90.0
    siblings: int = 2
    slots: int = 2
    mean_work_s: float = 0.03
    returns: bool = False


@dataclasses.dataclass
class Figures:
    """What callers got from the change on, and how the endpoint fared.

    Attributes:
        requests: Requests in the 10 s after the change.
        in_time: Requests answered within `goal_ms`.
        refused: Requests without an answer.
        rejections: Calls that the endpoint rejected.
        sibling_rejections: Calls that its siblings rejected.
        carries_after_s: Time until it carries its share; None if it never does.
        peak_share: Its greatest part of an even share in a window.
        diverted: Calls that its siblings got because of its pace.
        p99_ms: 99th percentile of the latency of answers.
    """

    requests: int
    in_time: int
    refused: int
    rejections: int
    sibling_rejections: int
    carries_after_s: float | None
    peak_share: float
    diverted: float
    p99_ms: float


def play(case: Case, *, paced: bool = True, seed: int = 1) -> Figures:
    """Plays a case with or without paces."""
    with contextlib.ExitStack() as stack:
        if not paced:
            stack.enter_context(
                mock.patch.object(_pacing.Pacing, "select", _select_unpaced)
            )
        figures: list[Figures] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                figures.append(await _Model(case, seed, nursery).run())
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return figures[0]


def _select_unpaced(
    pacing: _pacing.Pacing, candidates: Any, best: Any, now_s: float
) -> Any:
    return best


class _Model:
    def __init__(self, case: Case, seed: int, nursery: trio.Nursery) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._nursery = nursery
        self._goal_ms = 5 * case.mean_work_s * 1000
        self._site = builders.FakeSite()
        names = [f"e{i}" for i in range(case.siblings)] + [NEW_ENDPOINT]
        for name in names:
            self._site.behaviours[name] = LimitedBehaviour(
                case.slots, case.mean_work_s, self._rng
            )
        self._new_entry = builders.endpoint_entry(
            NEW_ENDPOINT, slots=case.slots
        )
        known = names if case.returns else names[:-1]
        node_ids = [f"n{i}" for i in range(case.nodes)]
        self._route = builders.route(timeout_ms=TIMEOUT_S * 1000)
        self._fixtures = [
            builders.ForwarderFixture(
                nursery,
                [builders.endpoint_entry(n, slots=case.slots) for n in known],
                [self._route],
                limits={"max_connections": 400},
                members=node_ids,
                node_id=node_id,
                site=self._site,
            )
            for node_id in node_ids
        ]
        for number, fixture in enumerate(self._fixtures):
            fixture.pool._chooser._rng.seed(f"{seed}/{number}")
            fixture.budget.set_share_finder(lambda service: 1 / case.nodes)
        self._results: list[tuple[float, float, bool]] = []

    async def run(self) -> Figures:
        self._nursery.start_soon(self._change)
        while trio.current_time() < END_S:
            await trio.sleep(self._rng.expovariate(self._case.requests_per_s))
            fixture = self._rng.choice(self._fixtures)
            self._nursery.start_soon(self._send, fixture)
        await trio.sleep(2 * TIMEOUT_S)
        return self._measure()

    async def _send(self, fixture: builders.ForwarderFixture) -> None:
        started_s = trio.current_time()
        request_id = str(self._rng.random()).encode()
        result = await fixture.forwarder.forward(
            builders.caller_request(request_id=request_id), self._route
        )
        self._results.append(
            (
                started_s,
                (trio.current_time() - started_s) * 1000,
                isinstance(result, forward.SingleResult),
            )
        )

    async def _change(self) -> None:
        behaviour = self._site.behaviours[NEW_ENDPOINT]
        assert isinstance(behaviour, LimitedBehaviour)
        if self._case.returns:
            await trio.sleep_until(OUTAGE_START_S)
            behaviour.connects = False
            for link in self._site.links:
                if link._endpoint_id == NEW_ENDPOINT:
                    link.reset()
            await trio.sleep_until(CHANGE_S)
            behaviour.connects = True
        else:
            await trio.sleep_until(CHANGE_S)
            behaviour.started_s = CHANGE_S
            for fixture in self._fixtures:
                fixture.registry.put(self._new_entry)
                fixture.pool.apply_registry_changes()

    def _measure(self) -> Figures:
        def count_after(times_s: list[float], from_s: float, s: float) -> int:
            return sum(from_s <= t < from_s + s for t in times_s)

        window = [r for r in self._results if 0 <= r[0] - CHANGE_S < 10]
        behaviours = self._site.behaviours
        new = behaviours[NEW_ENDPOINT]
        assert isinstance(new, LimitedBehaviour)
        even = self._case.requests_per_s / (self._case.siblings + 1)
        shares = [
            (
                0.1 * i,
                count_after(new.ran_s, CHANGE_S + 0.1 * i, SHARE_WINDOW_S)
                / (even * SHARE_WINDOW_S),
            )
            for i in range(int((END_S - CHANGE_S - SHARE_WINDOW_S) * 10))
        ]
        took_ms = [ms for _, ms, answered in window if answered]
        return Figures(
            requests=len(window),
            in_time=sum(a and ms <= self._goal_ms for _, ms, a in window),
            refused=sum(not answered for _, _, answered in window),
            rejections=count_after(new.rejected_s, CHANGE_S, 10),
            sibling_rejections=sum(
                count_after(b.rejected_s, CHANGE_S, 10)
                for n, b in behaviours.items()
                if n != NEW_ENDPOINT and isinstance(b, LimitedBehaviour)
            ),
            carries_after_s=next(
                (at_s for at_s, s in shares if s >= CARRIED_SHARE), None
            ),
            peak_share=max(share for _, share in shares),
            diverted=sum(f.diverted_calls for f in self._fixtures),
            p99_ms=statistics.quantiles(took_ms, n=100)[98],
        )
