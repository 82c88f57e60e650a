"""Exchanges the freshness of mirrors between nodes, in their notices."""

import dataclasses
import math

from geraniumstair._generated import messages
from geraniumstair.mirror import _echoes
from geraniumstair.mirror import _freshness

# Claims of peers whose changes this node does not have yet. A claim that is
# dropped is followed by the next one within a notice interval.
MAX_CLAIMS = 64
# Greater ages are not reported: no bound on revocation is as long.
MAX_REPORTED_AGE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """A peer's mirror held all changes at a time.

    Attributes:
        newest: Newest revision of the peer's mirror.
        at_s: The time, on this node's clock.
    """

    newest: int
    at_s: float


class FreshnessExchange:
    """Reports this node's freshness to peers and takes over theirs.

    Args:
        freshness: Freshness of this node's mirror. Notices carry it while it
            is needed.
    """

    def __init__(self, freshness: _freshness.Freshness) -> None:
        self._freshness = freshness
        self._echoes = _echoes.EchoTracker(freshness.now_s)
        self._counter = 0
        self._claims: list[_Claim] = []
        self._contact_s = -math.inf

    @property
    def contact_age_s(self) -> float:
        """Age of the newest notice of any peer, at most; infinite for none."""
        return self._freshness.now_s() - self._contact_s

    def start_round(self, connected: frozenset[str]) -> None:
        """Prepares the notices that are sent to peers now."""
        self._counter = 0
        if self._freshness.is_needed:
            self._echoes.forget(connected)
            self._counter = self._echoes.start_round()

    def compose(self, receiver: str) -> list[messages.MirrorExchange]:
        """Returns this node's part of a notice; empty if not needed."""
        if not self._counter:
            return []
        echo = self._echoes.echo_for(receiver)
        age_s = self._freshness.age_s
        # Rounding makes neither the age shorter nor the holding time longer.
        age_ms = math.ceil(age_s * 1000) if age_s < MAX_REPORTED_AGE_S else -1
        return [
            messages.MirrorExchange(
                counter=self._counter,
                echo=echo.counter if echo else 0,
                held_ms=math.floor(echo.held_s * 1000) if echo else 0,
                age_ms=age_ms,
            )
        ]

    def accept(
        self,
        sender: str,
        newest: int,
        exchange: messages.MirrorExchange,
        position: int,
    ) -> None:
        """Takes over the freshness of a peer.

        Args:
            sender: The peer.
            newest: Newest revision of its mirror.
            exchange: Its part of the notice.
            position: Position of this node's mirror.
        """
        self._echoes.record_received(sender, exchange.counter)
        echo = _echoes.Echo(exchange.echo, exchange.held_ms / 1000)
        sent_s = self._echoes.prove_sent_s(echo)
        if sent_s is None:
            return
        self._contact_s = max(self._contact_s, sent_s)
        if exchange.age_ms < 0:
            return
        claim = _Claim(newest, sent_s - exchange.age_ms / 1000)
        if claim.at_s > self._freshness.fresh_s:
            self._claims.append(claim)
            del self._claims[:-MAX_CLAIMS]
            self.settle(position)

    def settle(self, position: int) -> None:
        """Uses the claims whose changes this node's mirror now holds."""
        if not self._claims:
            return
        for claim in self._claims:
            if claim.newest <= position:
                self._freshness.record(
                    _freshness.FreshnessSource.PEER, claim.at_s
                )
        fresh_s = self._freshness.fresh_s
        self._claims = [c for c in self._claims if c.at_s > fresh_s]
