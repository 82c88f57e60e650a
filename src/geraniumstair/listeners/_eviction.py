"""Decides which connections are dropped when a resource is exhausted.

Addresses clients that occupy memory or descriptors without making progress:
bodies that stop short, responses that are read slowly, and connections that
send nothing. A connection counts by what it holds and by how long the node has
waited for its client, so that many large and slow connections end before one
new and ordinary one.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Generic
from typing import TypeVar

# Added to the time that a client has kept the node waiting. Among clients that
# have not, the largest is dropped first.
_BASE_WAIT_S = 0.05
# A client that has kept the node waiting for less is not called slow. With 1 s,
# 10 of 1,000 ordinary clients on a busy machine were dropped.
_SLOW_WAIT_S = 2.0
# A connection that has waited less is not dropped for its descriptor: a crowd
# of ordinary clients connects first and sends a moment later.
_MIN_DESCRIPTOR_WAIT_S = 1.0

Key = TypeVar("Key")


class Phase(enum.IntEnum):
    """What a connection does; connections in a lower phase are dropped first.

    Attributes:
        TRANSFER: It receives a request, or its first byte, or it sends a
            response.
        IDLE: It is between two requests.
        RUNNING: Its request is complete and not answered yet.
    """

    TRANSFER = 0
    IDLE = 1
    RUNNING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate(Generic[Key]):
    """A connection that may be dropped.

    Attributes:
        key: Identifies the connection.
        phase: What it does.
        held_bytes: Memory that it holds.
        waited_s: Time in which the node waited for the client, for the
            present request or response, or since the last one. Time in which
            the node itself did not read is not part of it.
    """

    key: Key
    phase: Phase
    held_bytes: int
    waited_s: float


def select_for_memory(
    candidates: Iterable[Candidate[Key]], needed_bytes: int
) -> list[Key]:
    """Returns the connections to drop, slowest and largest first.

    Args:
        candidates: All connections, oldest first.
        needed_bytes: Bytes to free; less are freed if there are no more.
    """
    ordered = sorted(candidates, key=_rank_for_memory)
    selected = []
    for candidate in ordered:
        if needed_bytes <= 0:
            break
        selected.append(candidate.key)
        needed_bytes -= candidate.held_bytes
    return selected


def _rank_for_memory(candidate: Candidate[Key]) -> tuple[int, float]:
    waited_s = candidate.waited_s + _BASE_WAIT_S
    return candidate.phase, -candidate.held_bytes * waited_s


def select_when_stalled(
    candidates: Iterable[Candidate[Key]], needed_bytes: int, *, deadlock: bool
) -> list[Key]:
    """Returns the connections to drop while others wait for memory.

    The memory of running requests and of clients that are not slow becomes
    free by itself.

    Args:
        candidates: All connections, oldest first.
        needed_bytes: Bytes to free.
        deadlock: Nothing has become free for a long time, so connections of
            clients that are not slow are dropped if there are no others and
            no request is running.
    """
    listed = list(candidates)
    eligible = [
        c
        for c in listed
        if c.phase == Phase.TRANSFER and c.waited_s >= _SLOW_WAIT_S
    ]
    is_running = any(c.phase == Phase.RUNNING for c in listed)
    if not eligible and deadlock and not is_running:
        eligible = listed
    return select_for_memory(eligible, needed_bytes)


def select_for_descriptors(
    candidates: Iterable[Candidate[Key]], count: int
) -> list[Key]:
    """Returns the connections to drop, longest waited for first.

    Connections with a running request are never dropped.

    Args:
        candidates: All connections, oldest first.
        count: Greatest number of connections to drop.
    """
    waiting = [
        c
        for c in candidates
        if c.phase != Phase.RUNNING and c.waited_s >= _MIN_DESCRIPTOR_WAIT_S
    ]
    waiting.sort(key=lambda c: (c.phase, -c.waited_s))
    return [c.key for c in waiting[:count]]
