"""Limits how slowly a client may send a body or read a response.

Addresses clients that send or read a few bytes at a time for hours. Only time
in which the node waits for the client counts, so a node that stops reading to
save memory does not make its clients slow.
"""

import math

# Time for which any client may keep the node waiting, for each message. It
# covers a link that stands still for some seconds.
ALLOWANCE_S = 15.0
# Slower clients use up the allowance. A body of 256 KiB may take 79 s.
MIN_BYTES_PER_S = 4096.0


class TransferPace:
    """The progress of one request body or one response.

    Attributes:
        moved_bytes: Bytes that the client has sent or taken.
    """

    __slots__ = ("_waited_s", "_waiting_since_s", "moved_bytes")

    def __init__(self) -> None:
        self.moved_bytes = 0
        self._waited_s = 0.0
        self._waiting_since_s = math.inf

    def start_wait(self, now_s: float) -> float:
        """Starts to wait for the client; returns when to give up."""
        self._waiting_since_s = now_s
        allowed_s = ALLOWANCE_S + self.moved_bytes / MIN_BYTES_PER_S
        # One pause may not use what earlier bytes have earned.
        return now_s + min(ALLOWANCE_S, allowed_s - self._waited_s)

    def end_wait(self, now_s: float) -> None:
        """Ends the wait."""
        self._waited_s = self.waited_s(now_s)
        self._waiting_since_s = math.inf

    def waited_s(self, now_s: float) -> float:
        """Returns how long the client has kept the node waiting."""
        return self._waited_s + max(0.0, now_s - self._waiting_since_s)
