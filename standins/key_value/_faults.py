"""Faults that tests inject into the key-value stand-in."""

import collections

import trio


class CallRefused(Exception):
    """The service is down and rejected a call without executing it."""


class FaultPlan:
    """Faults and call counts, for the HTTP or the in-process interface.

    Attributes:
        delay_ms: Delay before the execution of each call.
        down: Empty, `refuse` (calls fail at once) or `hang` (calls never
            end). Neither `refuse` nor `hang` executes the call.
        lose_next_answers: Number of next calls that are executed but never
            answered.
        defer_next: Number of next calls that are never answered, and are
            executed only by `InProcessStore.execute_deferred`.
        answer_delay_ms: Delay between the execution of a call and its
            answer; only `InProcessStore` applies it.
        calls: Number of calls by kind.
    """

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.down = ""
        self.lose_next_answers = 0
        self.defer_next = 0
        self.answer_delay_ms = 0.0
        self.calls: collections.Counter[str] = collections.Counter()
        self._resumed = trio.Event()
        self._resumed.set()

    @property
    def paused(self) -> bool:
        """Whether calls wait; they are executed after the pause."""
        return not self._resumed.is_set()

    @paused.setter
    def paused(self, value: bool) -> None:
        if value and self._resumed.is_set():
            self._resumed = trio.Event()
        elif not value:
            self._resumed.set()

    async def begin_call(self, kind: str) -> None:
        """Counts a call and applies the faults that come before its execution.

        Raises:
            CallRefused: The service is down.
        """
        self.calls[kind] += 1
        if self.delay_ms:
            await trio.sleep(self.delay_ms / 1000)
        await self._resumed.wait()
        if self.down == "refuse":
            raise CallRefused("the service is down")
        if self.down:
            await trio.sleep_forever()

    def consume_lost_answer(self) -> bool:
        """Returns whether to drop the answer of this call.

        Decrements `lose_next_answers` if so.
        """
        if self.lose_next_answers == 0:
            return False
        self.lose_next_answers -= 1
        return True
