"""Late second answers of a backend that rejects requests while it is full."""

import pathlib
import random
import sys

import trio

from review.harness import endpoints
from review.harness import nodes
from review.harness import record
from review.harness import site as site_module

CASE = pathlib.Path(__file__).parent
DURATION_S = 75.0
# `garble` with `extra late` lasts 5 s and affects 0.6 of the servers and 0.03
# of their answers in the standard days of the site.
SPOILED_SHARE = 0.04
SPOILED_FOR_S = 5.0
PAUSE_S = 1.0
SLOTS = 2
QUEUE = 2
WORK_S = (0.025, 0.045)
# Four services of two backends each. `scale_in` takes one of the eight (0.125);
# the site's day scale-2 takes 0.157.
SERVICES = 4
REQUESTS_PER_S = 56.0
# Share of the requests for the service that has one backend left.
BUSY_SHARE = 0.8
REMAINING_MS = 6000
# Statuses which promise that the request has not run and never will.
PROMISES = frozenset([408, 421, 429, 503])


class Case:
    """The run of the case.

    Attributes:
        statuses: Status of each answer, by request id.
    """

    def __init__(self, site: site_module.Site) -> None:
        self.site = site
        self.statuses: dict[str, int] = {}
        self.sent = 0
        self.spoiled = 0
        self.counted = 0
        self._rng = random.Random()

    def work_s(self) -> float:
        """Returns the time of one request at a backend."""
        return self._rng.uniform(*WORK_S)

    def spoil(
        self, endpoint: endpoints.Endpoint, answer: bytes, request_id: str
    ) -> bytes:
        """Returns a second copy of an answer, to be sent late, or nothing."""
        in_window = self.site.log.now_s() % (SPOILED_FOR_S + PAUSE_S)
        if not record.is_disturbed() or in_window > SPOILED_FOR_S:
            return b""
        self.counted += 1
        if self._rng.random() >= SPOILED_SHARE:
            return b""
        self.spoiled += 1
        status = answer.split(b" ", 2)[1].decode()
        self.site.log.add(
            f"{endpoint.endpoint_id} will repeat its answer {status} to "
            f"{request_id} on the same connection"
        )
        return answer

    async def send_one(
        self, node: nodes.Node, service: int, request_id: str
    ) -> None:
        """Sends a request that may not be repeated."""
        response = await self.site.send(
            node, "POST", f"/lot-{service}/x", request_id, REMAINING_MS, b"body"
        )
        self.statuses[request_id] = 0 if response is None else response.status

    async def send_requests(self, nursery: trio.Nursery) -> None:
        """Sends requests at random times to random nodes."""
        end_s = self.site.log.now_s() + DURATION_S
        while self.site.log.now_s() < end_s:
            await trio.sleep(self._rng.expovariate(REQUESTS_PER_S))
            self.sent += 1
            node = self._rng.choice(self.site.nodes)
            service = 0
            if self._rng.random() >= BUSY_SHARE:
                service = self._rng.randrange(1, SERVICES)
            nursery.start_soon(
                self.send_one, node, service, f"r{self.sent:05d}"
            )

    def judge(self) -> bool:
        """Returns whether the rules TWICE and REFUSED held."""
        log = self.site.log
        self.site.log_attempts()
        runs: dict[str, list[str]] = {}
        for endpoint in self.site.endpoints:
            for at_s, request_id in endpoint.runs:
                text = f"{endpoint.endpoint_id} at {at_s:.3f}"
                runs.setdefault(request_id, []).append(text)
        twice = {i: places for i, places in runs.items() if len(places) > 1}
        refused = [i for i in runs if self.statuses.get(i, 0) in PROMISES]
        for request_id, places in twice.items():
            log.add(
                f"TWICE: {request_id} ran on {', '.join(places)}; "
                f"answered {self.statuses.get(request_id, 0)}"
            )
        for request_id in refused:
            log.add(
                f"REFUSED: {request_id} ran on {', '.join(runs[request_id])}; "
                f"answered {self.statuses[request_id]}"
            )
        rejections = sum(
            len(e.arrivals) - len(e.runs) for e in self.site.endpoints
        )
        answered = sum(s == 200 for s in self.statuses.values())
        text = (
            f"{len(twice)} break TWICE, {len(refused)} break REFUSED, of "
            f"{self.sent} sent, {answered} answered; {rejections} rejections, "
            f"{self.spoiled} of {self.counted} answers repeated"
        )
        log.add(text)
        print(text)
        return not twice and not refused


def _build_route(service: int) -> dict[str, object]:
    return {
        "Name": f"lot-{service}",
        "Prefix": f"/lot-{service}/",
        "RouteType": "non_idempotent",
        "TimeoutMs": 6000,
        "LatencyGoalMs": 600,
        "Priority": 2,
        "MaxAttempts": 2,
        "Service": f"registry-{service}",
    }


async def _play(site: site_module.Site) -> bool:
    case = Case(site)
    for service in range(SERVICES):
        for number, zone in enumerate(("z1", "z2")):
            await site.add(
                endpoints.Endpoint(
                    f"i-{service}-{zone}",
                    f"registry-{service}",
                    zone,
                    site.log,
                    slots=SLOTS,
                    queue=QUEUE,
                    work_s=case.work_s,
                    spoil=case.spoil if number == 0 else None,
                )
            )
    site.write_routes([_build_route(s) for s in range(SERVICES)])
    await site.start_nodes((3, 2, 2))
    await trio.sleep(1)
    # One backend is emptied and taken away.
    leaving = site.endpoints[1]
    site.put_entry(leaving, "draining")
    site.log.add(f"store confirms: {leaving.endpoint_id} is draining")
    await trio.sleep(4)
    site.store.delete(f"servers/{leaving.endpoint_id}")
    leaving.exit()
    site.log.add(f"{leaving.endpoint_id} is gone")
    async with trio.open_nursery() as nursery:
        await case.send_requests(nursery)
    return case.judge()


if __name__ == "__main__":
    sys.exit(site_module.run(_play, CASE))
