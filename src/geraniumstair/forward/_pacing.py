"""Applies the paces of endpoints that start or return to the choice."""

from collections.abc import Sequence
import logging
import random

from geraniumstair import observe
from geraniumstair.forward import _metrics
from geraniumstair.forward import _pace
from geraniumstair.forward import _replica
from geraniumstair.forward import _sharing

_LOG = logging.getLogger(__name__)
# Highest rank of a healthy endpoint.
HEALTHY_RANK = 0
# Rank of an endpoint whose pace may apply. New versions have a lower rank; the
# rollout limits their share.
_PACED_RANK = 0

# A usable endpoint with its rank and its cost in ms.
Candidate = tuple[tuple[int, float], _replica.Replica]


class Pacing:
    """Starts and ends paces, and diverts calls beyond them to siblings.

    Args:
        sharing: The nodes that call the endpoints.
        metrics: Counts diverted calls.
        rng: Spreads the first calls of many nodes.
    """

    def __init__(
        self,
        sharing: _sharing.SharingNodes,
        metrics: _metrics.ForwardMetrics,
        rng: random.Random,
    ) -> None:
        self._sharing = sharing
        self._metrics = metrics
        self._rng = rng

    def select(
        self, candidates: Sequence[Candidate], best: Candidate, now_s: float
    ) -> Candidate:
        """Returns the candidate for a call.

        Args:
            candidates: Endpoints of which some may have a pace.
            best: The candidate with the lowest cost.
            now_s: Present time.
        """
        _end_paces([replica for _, replica in candidates], now_s)
        settled = [
            replica
            for (rank, _), replica in candidates
            if rank <= HEALTHY_RANK and replica.pacing.is_settled
        ]
        # Without another healthy endpoint, the pace gives way.
        if not settled:
            return best
        usual_ms = sum(r.expected_ms(now_s) for r in settled) / len(settled)
        paced: list[Candidate] = []
        allowed: list[Candidate] = []
        for candidate in candidates:
            (rank, _), replica = candidate
            is_paced = rank == _PACED_RANK and not replica.pacing.is_settled
            (paced if is_paced else allowed).append(candidate)
        for _, replica in paced:
            pace = self._update_pace(replica, usual_ms, now_s)
            pace.earn(len(settled) + len(paced), now_s)
        return self._divert(paced, allowed, best, now_s)

    def _divert(
        self,
        paced: Sequence[Candidate],
        allowed: list[Candidate],
        best: Candidate,
        now_s: float,
    ) -> Candidate:
        """Chooses among the endpoints that may get a call."""
        for candidate in paced:
            pace = candidate[1].pacing.pace
            assert pace is not None
            if not pace.allows(candidate[1].load, now_s):
                continue
            if pace.ensures_calls:
                pace.spend()
                return candidate
            allowed.append(candidate)
        chosen = min(allowed, key=_get_cost)
        if chosen[1].pacing.pace is not None and chosen in paced:
            chosen[1].pacing.pace.spend()
        elif best in paced:
            assert best[1].pacing.pace is not None
            best[1].pacing.pace.diverted += 1
            self._metrics.diverted_calls.inc()
        return chosen

    def _update_pace(
        self, replica: _replica.Replica, usual_ms: float, now_s: float
    ) -> _pace.Pace:
        pacing = replica.pacing
        if pacing.pace is None:
            assert pacing.cause is not None
            pace = _pace.Pace(
                pacing.cause,
                replica.entry.slots,
                self._sharing.count_nodes(replica.entry.service),
                self._rng.random(),
                now_s,
            )
            pacing.start(pace)
            _log_start(replica, pace, usual_ms)
        else:
            pace = pacing.pace
        if pace.is_unknown:
            replica.health.assume(usual_ms)
        pace.usual_ms = usual_ms
        return pace


def _get_cost(candidate: Candidate) -> tuple[int, float]:
    return candidate[0]


def _end_paces(replicas: Sequence[_replica.Replica], now_s: float) -> None:
    for replica in replicas:
        pacing = replica.pacing
        if pacing.pace is not None and pacing.pace.has_ended(now_s):
            _log_end(replica, pacing.pace, now_s)
            pacing.end()
        pacing.drop_old_cause(now_s)


def _log_start(
    replica: _replica.Replica, pace: _pace.Pace, usual_ms: float
) -> None:
    _LOG.info(
        "forward: an endpoint gets calls at a pace",
        extra=observe.fields(
            endpoint=replica.entry.endpoint_id,
            service=replica.entry.service,
            cause=pace.cause.value,
            slots=replica.entry.slots,
            usual_ms=round(usual_ms, 1),
        ),
    )


def _log_end(replica: _replica.Replica, pace: _pace.Pace, now_s: float) -> None:
    _LOG.info(
        "forward: the pace of an endpoint ended",
        extra=observe.fields(
            endpoint=replica.entry.endpoint_id,
            service=replica.entry.service,
            cause=pace.cause.value,
            lasted_s=round(now_s - pace.started_s, 2),
            share=round(pace.share(now_s), 2),
            answers_in_time=pace.answers,
            rejections=pace.rejections,
            diverted=pace.diverted,
        ),
    )
