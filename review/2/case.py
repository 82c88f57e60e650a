"""Backends that leave while the nodes that watch the store are killed."""

import pathlib
import signal
import sys

import trio

from review.harness import endpoints
from review.harness import nodes
from review.harness import record
from review.harness import site as site_module

CASE = pathlib.Path(__file__).parent
ROUNDS = 3
SHARDS = 20
DRAIN_S = 3.0
CONTACT_S = 4.0
# How long a backend that has left serves on. The protocol page says: `DrainMs`
# and a little longer, at times many seconds.
SERVES_ON_S = 12.0
# A killed process is started again after a short delay.
RESTART_DELAY_S = 0.5
# `herd_kill` takes 0.6 of the machines at most: 4 of 7.
MAX_KILLED = 4
REMAINING_MS = 1500


def _build_routes() -> list[dict[str, object]]:
    return [
        {
            "Name": "search",
            "Prefix": "/search/",
            "RouteType": "idempotent",
            "TimeoutMs": 1500,
            "LatencyGoalMs": 183,
            "Priority": 1,
            "MaxAttempts": 2,
            "FanoutServices": [f"shard-{i}" for i in range(SHARDS)],
            "TopK": 10,
            "MinShardRatio": 0.75,
        },
    ]


class Case:
    """The run of the case.

    Attributes:
        sent: Node and time of each request, by its id.
    """

    def __init__(self, site: site_module.Site) -> None:
        self.site = site
        self.sent: dict[str, tuple[str, float]] = {}
        self.answered = 0
        # By endpoint id, when the store confirmed that it has left.
        self.left_s: dict[str, float] = {}
        # By node, the last time at which it was killed or started.
        self.disturbed_s: dict[str, list[float]] = {}

    async def send_requests(self, node: nodes.Node) -> None:
        """Sends searches to a node, one after the other."""
        number = 0
        while True:
            number += 1
            request_id = f"{node.name}-{number}"
            self.sent[request_id] = (node.name, self.site.log.now_s())
            response = await self.site.send(
                node, "GET", "/search/x", request_id, REMAINING_MS
            )
            self.answered += response is not None and response.status == 200
            await trio.sleep(0.1)

    async def find_watchers(self) -> list[nodes.Node]:
        """Returns the nodes that wait for changes at the store."""
        return [
            n
            for n in self.site.nodes
            if (await n.read_state())["mirror"]["watching"]
        ]

    async def play_round(self, leaving: endpoints.Endpoint) -> None:
        """Kills nodes, and lets one backend leave at the same time."""
        log = self.site.log
        killed: list[nodes.Node] = []
        if record.is_disturbed():
            killed = (await self.find_watchers())[:MAX_KILLED]
            for node in killed:
                node.signal(signal.SIGKILL)
                self.disturbed_s.setdefault(node.name, []).append(log.now_s())
                log.add(f"{node.name} is killed")
        await trio.sleep(0.1)
        self.site.store.delete(f"servers/{leaving.endpoint_id}")
        self.left_s[leaving.endpoint_id] = log.now_s()
        log.add(f"store confirms: the entry of {leaving.endpoint_id} is gone")
        await trio.sleep(RESTART_DELAY_S - 0.1)
        for node in killed:
            self.site.restart(node)
            self.disturbed_s[node.name].append(log.now_s())
        await trio.sleep(SERVES_ON_S)
        leaving.exit()
        log.add(f"{leaving.endpoint_id} exits")

    def was_in_touch(self, node: str, at_s: float) -> bool:
        """Returns whether nothing was done to a node for `ContactMs`."""
        return not any(
            t <= at_s <= t + CONTACT_S for t in self.disturbed_s.get(node, ())
        )

    def judge(self) -> bool:
        """Returns whether the rule DRAIN held."""
        self.site.log_attempts()
        broken = 0
        for endpoint in self.site.endpoints:
            left_s = self.left_s.get(endpoint.endpoint_id)
            if left_s is None:
                continue
            for at_s, request_id in endpoint.arrivals:
                node, sent_s = self.sent[request_id]
                if at_s > left_s + DRAIN_S and self.was_in_touch(node, at_s):
                    broken += 1
                    self.site.log.add(
                        f"DRAIN: {endpoint.endpoint_id} got {request_id} at "
                        f"{at_s:.3f}, {at_s - left_s:.3f} s after it had left; "
                        f"sent to {node} at {sent_s:.3f}"
                    )
        text = f"{broken} requests break DRAIN, of {len(self.sent)} sent, "
        text += f"{self.answered} answered"
        self.site.log.add(text)
        print(text)
        return not broken


async def _play(site: site_module.Site) -> bool:
    case = Case(site)
    for i in range(SHARDS):
        for zone in ("z1", "z2"):
            await site.add(
                endpoints.Endpoint(
                    f"i-{i}-{zone}", f"shard-{i}", zone, site.log
                )
            )
    site.write_routes(_build_routes())
    await site.start_nodes((3, 2, 2))
    await trio.sleep(CONTACT_S + 1)
    async with trio.open_nursery() as nursery:
        for node in site.nodes:
            nursery.start_soon(case.send_requests, node)
        await trio.sleep(2)
        for number in range(ROUNDS):
            await case.play_round(site.endpoints[2 * number])
        nursery.cancel_scope.cancel()
    return case.judge()


if __name__ == "__main__":
    sys.exit(site_module.run(_play, CASE))
