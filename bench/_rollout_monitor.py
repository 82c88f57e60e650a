"""Monitors rollouts and the requests that endpoint stand-ins received."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import time
from typing import Any

import httpcore
import msgspec
import trio

from bench import _rollout_plan
import devsite

POLL_S = 0.2
SHARE_WINDOW_S = 5.0
# With fewer requests in a window, a share of 5% cannot be measured well.
_MIN_WINDOW_REQUESTS = 100
# A fault is detectable once this many requests that it affected have ended
# within this time and among at most this many requests of the version. Fewer
# affected requests cannot be told from the 1% of stragglers and the tolerated
# shares of bad requests.
DETECTABLE_REQUESTS = 5
DETECTABLE_WITHIN_S = 10.0
DETECTABLE_AMONG_REQUESTS = 25
# The first requests of an endpoint do not show that its version is slow: those
# of a cold endpoint of a good version are as slow.
COLD_REQUESTS = 25
END_STATES = ("DONE", "TAKEN_BACK")


@dataclasses.dataclass(slots=True)
class _Sample:
    time_s: float
    new: int
    total: int


@dataclasses.dataclass(slots=True)
class RolloutObservation:
    """States and request counts observed during one rollout.

    Attributes:
        state: Last state that a node reported to operators.
        step: Step reported with the state, from 0.
        reason: Reason reported with the state.
        ended_s: Time in s since 1970 at which the end was observed; 0 if it
            was not.
        share_pct: Greatest share of requests that the new version received
            in a sliding window within the first step, less one request that
            rounding may add.
        new_requests: Requests that the new version received since the first
            sample.
        samples: Request counts within the sliding window.
    """

    state: str = "PENDING"
    step: int = 0
    reason: str = ""
    ended_s: float = 0.0
    share_pct: float = 0.0
    new_requests: int = 0
    samples: list[_Sample] = dataclasses.field(default_factory=list)

    @property
    def in_first_step(self) -> bool:
        """Whether the share of the first step is in force."""
        return self.state == "GOING_ON" and self.step == 0

    def add_sample(self, now_s: float, new: int, total: int) -> None:
        """Adds a sample of the requests that the endpoints received so far."""
        if self.samples:
            self.new_requests += new - self.samples[-1].new
        self.samples.append(_Sample(now_s, new, total))
        while now_s - self.samples[0].time_s > SHARE_WINDOW_S:
            del self.samples[0]
        first = self.samples[0]
        count = total - first.total
        if self.in_first_step and count >= _MIN_WINDOW_REQUESTS:
            share_pct = 100 * max(0, new - first.new - 1) / count
            self.share_pct = max(self.share_pct, share_pct)

    def update_state(self, now_s: float, reported: Mapping[str, Any]) -> None:
        """Records the state that a node reports to operators."""
        self.state = reported["state"]
        self.step = reported["step"]
        self.reason = reported["reason"]
        if self.state in END_STATES and not self.ended_s:
            self.ended_s = now_s


class RolloutMonitor:
    """Polls the states and request counts of all rollouts of a site.

    Args:
        site: The running site.
    """

    def __init__(self, site: devsite.Site) -> None:
        self._site = site
        self.observations = [RolloutObservation() for _ in _rollout_plan.PLANS]

    async def run(self) -> None:
        """Samples counters and states until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                # Counts are read before the state, so that they never include
                # requests of a later step.
                reports = await self._site.endpoint_fleet.fetch_reports()
                await self._update_states(pool)
                self._add_samples(reports)
                await trio.sleep(POLL_S)

    async def _update_states(self, pool: httpcore.AsyncConnectionPool) -> None:
        site = self._site
        reply = await pool.request(
            "GET",
            f"{site.operator_url(site.node_ids[0])}/v1/rollouts",
            headers={"authorization": f"Bearer {site.operator_token}"},
        )
        if reply.status != 200:
            return
        listed = msgspec.json.decode(reply.content)["rollouts"]
        entries = {entry["name"]: entry for entry in listed}
        now_s = time.time()
        for plan, observation in zip(
            _rollout_plan.PLANS, self.observations, strict=True
        ):
            if plan.name in entries:
                observation.update_state(now_s, entries[plan.name])

    def _add_samples(self, reports: Mapping[str, Any]) -> None:
        now_s = time.time()
        for index, observation in enumerate(self.observations):
            total = new = 0
            for name in _rollout_plan.all_endpoints(index):
                by_version = reports[name]["counters"]["requests_by_version"]
                total += sum(by_version.values())
                new += by_version.get(_rollout_plan.NEW_VERSION, 0)
            observation.add_sample(now_s, new, total)

    def all_ended(self) -> bool:
        """Returns whether each rollout has ended."""
        return all(observation.ended_s for observation in self.observations)


@dataclasses.dataclass(frozen=True, slots=True)
class ReactionTimes:
    """How long a bad version received requests after its fault was detectable.

    Attributes:
        detectable: Whether the fault was detectable.
        after_detectable_s: Time from when the fault was detectable to the
            last new request; 0 if it was not detectable.
        after_fifth_s: Time from the fifth affected request within 10 s to the
            last new request, regardless of how many other requests there
            were.
    """

    detectable: bool
    after_detectable_s: float
    after_fifth_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AffectedRequest:
    """Request that a fault affected.

    Attributes:
        end_s: Time in s since 1970 at which the request ended.
        endpoint_index: Index of the endpoint.
        executed_count: Number of requests that the endpoint had executed when
            this request ended.
    """

    end_s: float
    endpoint_index: int
    executed_count: int


def measure_reaction(
    reports: Mapping[str, Any], names: Sequence[str], *, slow: bool
) -> ReactionTimes:
    """Returns how fast a bad version stopped receiving requests.

    Args:
        reports: Control reports of the endpoints, after the run.
        names: Endpoints of the bad version.
        slow: Whether the version is slow rather than failing.
    """
    counters = [reports[name]["counters"] for name in names]
    ignored_count = COLD_REQUESTS if slow else 0
    affected = [
        _AffectedRequest(end_s, index, executed_count)
        for index, c in enumerate(counters)
        for end_s, executed_count in zip(
            c["faulted_ends_s"], c["faulted_numbers"], strict=True
        )
        if executed_count > ignored_count
    ]
    affected.sort(key=lambda a: a.end_s)
    last_s = max(c["last_new_work_s"] for c in counters)
    detectable_s = _detectable_s(affected, DETECTABLE_AMONG_REQUESTS)
    fifth_s = _detectable_s(affected, None)
    return ReactionTimes(
        detectable=detectable_s > 0,
        after_detectable_s=max(0.0, last_s - detectable_s)
        if detectable_s
        else 0.0,
        after_fifth_s=max(0.0, last_s - fifth_s) if fifth_s else 0.0,
    )


def _detectable_s(
    affected: Sequence[_AffectedRequest], max_requests: int | None
) -> float:
    """Returns when a fault was detectable.

    Args:
        affected: Requests that the fault affected, by time.
        max_requests: Maximum number of requests of the version that were
            executed during the affected requests; None for no limit.

    Returns:
        Time in s since 1970; 0 if the fault was not detectable.
    """
    for index in range(len(affected) - DETECTABLE_REQUESTS + 1):
        window = affected[index : index + DETECTABLE_REQUESTS]
        if window[-1].end_s - window[0].end_s > DETECTABLE_WITHIN_S:
            continue
        if max_requests is None or _count_requests(window) <= max_requests:
            return window[-1].end_s
    return 0.0


def _count_requests(window: Sequence[_AffectedRequest]) -> int:
    """Returns how many requests the endpoints executed in a window."""
    total = 0
    for endpoint_index in {a.endpoint_index for a in window}:
        counts = [
            a.executed_count
            for a in window
            if a.endpoint_index == endpoint_index
        ]
        total += max(counts) - min(counts) + 1
    return total
