"""Arrival schedules of the open-loop generator."""

from collections.abc import Sequence
import random


def poisson_schedule(
    rate_per_s: float, duration_s: float, seed: int
) -> Sequence[float]:
    """Returns the arrival times of a Poisson process, in s from the start.

    The schedule does not depend on the replies. Latencies are measured from
    these times, so that a stall of the system counts for all requests that
    were due during the stall.

    Args:
        rate_per_s: Mean arrivals per second.
        duration_s: Length of the schedule.
        seed: Seed of the random draws.
    """
    generator = random.Random(seed)
    times = []
    time_s = generator.expovariate(rate_per_s)
    while time_s < duration_s:
        times.append(time_s)
        time_s += generator.expovariate(rate_per_s)
    return times
