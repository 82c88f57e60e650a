"""Child processes that do not survive their parent."""

from collections.abc import Mapping
from collections.abc import Sequence
import ctypes
import os
import pathlib
import signal
import subprocess
import sys

import trio

_PR_SET_PDEATHSIG = 1
_POLL_S = 0.02
_LOG_TAIL_BYTES = 2000

_libc = ctypes.CDLL(None, use_errno=True)


class ProcessFailed(Exception):
    """A child process ended or did not start; the text has its last lines."""


def _end_with_parent() -> None:
    """Runs in the child: the kernel ends it when the parent is gone."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A child process with a log file.

    Args:
        name: Names the log file.
        arguments: Arguments after the Python interpreter.
        directory: Directory of the log file.
        environment: Variables of the process; None inherits them.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        directory: pathlib.Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log_path = directory / f"{name}.log"
        self._output_path = directory / f"{name}.out"
        with (
            self.log_path.open("ab") as log,
            self._output_path.open("wb") as output,
        ):
            # A session of its own keeps Ctrl-C away from the child, so that
            # the parent can stop its children in order.
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                start_new_session=True,
                env=environment,
                preexec_fn=_end_with_parent,  # noqa: PLW1509
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None while running."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once and waits for that."""
        self._process.kill()
        self._process.wait()

    async def wait(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        while True:
            status = self._process.poll()
            if status is not None:
                return status
            await trio.sleep(_POLL_S)

    async def terminate(self, timeout_s: float) -> int:
        """Asks the process to end, and kills it after the timeout."""
        self._process.terminate()
        with trio.move_on_after(timeout_s):
            return await self.wait()
        self.kill()
        return self._process.returncode

    async def first_line(self, timeout_s: float) -> bytes:
        """Waits for the first line of the standard output.

        Raises:
            ProcessFailed: The process ended, or printed nothing in time.
        """
        with trio.move_on_after(timeout_s):
            while True:
                line, newline, _ = self._output_path.read_bytes().partition(
                    b"\n"
                )
                if newline:
                    return line
                self.check()
                await trio.sleep(_POLL_S)
        raise ProcessFailed(f"{self.name} printed nothing in {timeout_s:g} s")

    def check(self) -> None:
        """Raises ProcessFailed if the process has ended."""
        if not self.running:
            raise ProcessFailed(
                f"{self.name} ended with status {self.exit_status}: "
                f"{self.log_tail()}"
            )

    def log_tail(self) -> str:
        """Returns the end of the log."""
        content = self.log_path.read_bytes()[-_LOG_TAIL_BYTES:]
        return content.decode("utf-8", "replace")

    def cpu_s(self) -> float:
        """Returns the processor time used so far by all its threads."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")
