"""Proves how old a message of a peer is at most.

A message may be held up on its way, so its arrival proves nothing. Each message
carries a counter, and echoes the last counter that its sender received from the
receiver, with the time for which the sender has held it. The receiver knows
when it sent that counter; the message was sent after that and the holding time.
The clocks of the two nodes are never compared, only durations on each of them.
"""

from collections.abc import Callable
import dataclasses
import secrets

# An echo of an earlier counter proves nothing. The clocks of two nodes may run
# at different rates; 1% of this time is a third of the margin of revocation.
MAX_ECHO_AGE_S = 10.0
# Counters of that time at the shortest interval of notices (0.2 s), and more.
MAX_SENT_COUNTERS = 64
# A new process starts at a random counter, so that echoes of the counters of an
# earlier process with the same name are not mistaken for its own.
_MAX_FIRST_COUNTER = 2**30


@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """A received counter and the time for which it has been held."""

    counter: int
    held_s: float


class EchoTracker:
    """Counts the rounds of messages of one node and checks their echoes.

    Args:
        clock: Returns a time in s that also counts while the machine is
            suspended.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counter = secrets.randbelow(_MAX_FIRST_COUNTER) + 1
        self._sent_s: dict[int, float] = {}
        self._received: dict[str, tuple[int, float]] = {}

    def start_round(self) -> int:
        """Returns the counter of the messages that are sent from now on."""
        self._counter += 1
        self._sent_s[self._counter] = self._clock()
        if len(self._sent_s) > MAX_SENT_COUNTERS:
            del self._sent_s[next(iter(self._sent_s))]
        return self._counter

    def record_received(self, sender: str, counter: int) -> None:
        """Records the counter of a message that has arrived.

        The last one to arrive counts, even if it is not the greatest: an echo
        of an earlier counter proves an earlier time, which is safe, and the
        sender may be a new process.
        """
        self._received[sender] = (counter, self._clock())

    def echo_for(self, receiver: str) -> Echo | None:
        """Returns the echo for a peer; None if it has sent no counter."""
        received = self._received.get(receiver)
        if received is None:
            return None
        counter, received_s = received
        return Echo(counter, self._clock() - received_s)

    def prove_sent_s(self, echo: Echo) -> float | None:
        """Returns a time after which the message with the echo was sent.

        Returns:
            None if the echo proves nothing: its counter is not from this
            process, or too old.
        """
        sent_s = self._sent_s.get(echo.counter)
        now_s = self._clock()
        if sent_s is None or now_s - sent_s > MAX_ECHO_AGE_S:
            return None
        return min(sent_s + max(0.0, echo.held_s), now_s)

    def forget(self, peers: frozenset[str]) -> None:
        """Drops what is known of peers other than these."""
        self._received = {
            p: received for p, received in self._received.items() if p in peers
        }
