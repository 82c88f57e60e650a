"""Child processes that the kernel kills when their parent exits."""

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
_POLL_INTERVAL_S = 0.02
_LOG_TAIL_BYTES = 2000

_libc = ctypes.CDLL(None, use_errno=True)


class ProcessFailed(Exception):
    """A process failed to start, exited, or rejected a command.

    If a child process exited, the message contains the end of its log.
    """


def _request_kill_on_parent_exit() -> None:
    """Runs in the child: makes the kernel kill it when the parent exits."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A Python process whose output goes to files.

    Args:
        name: Name of the process, and of its files without the suffix.
        arguments: Arguments of the Python interpreter.
        directory: Directory of the files for standard error (`.log`) and
            standard output (`.out`).
        environment: Environment variables; None inherits them.
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
            # A separate session keeps the SIGINT of Ctrl-C from the child,
            # so that the parent can stop its children in order.
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
                start_new_session=True,
                env=environment,
                preexec_fn=_request_kill_on_parent_exit,  # noqa: PLW1509
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Exit status; negative after a signal, None while running."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self._process.kill()
        self._process.wait()

    async def wait(self) -> int:
        """Waits until the process has exited; returns its exit status."""
        while True:
            status = self._process.poll()
            if status is not None:
                return status
            await trio.sleep(_POLL_INTERVAL_S)

    async def terminate(self, timeout_s: float) -> int:
        """Sends SIGTERM, and kills the process after the timeout.

        Args:
            timeout_s: Time that the process has to exit after SIGTERM.

        Returns:
            Exit status of the process.
        """
        self._process.terminate()
        with trio.move_on_after(timeout_s):
            return await self.wait()
        self.kill()
        return self._process.returncode

    async def wait_first_line(self, timeout_s: float) -> bytes:
        """Returns the first line of the standard output; waits for it.

        Raises:
            ProcessFailed: The process exited or printed no line in time.
        """
        with trio.move_on_after(timeout_s):
            while True:
                line, newline, _ = self._output_path.read_bytes().partition(
                    b"\n"
                )
                if newline:
                    return line
                self.raise_if_exited()
                await trio.sleep(_POLL_INTERVAL_S)
        raise ProcessFailed(
            f"{self.name} printed no line within {timeout_s:g} s"
        )

    def raise_if_exited(self) -> None:
        """Raises ProcessFailed if the process has exited."""
        if not self.running:
            raise ProcessFailed(
                f"{self.name} exited with status {self.exit_status}: "
                f"{self.log_tail()}"
            )

    def log_tail(self) -> str:
        """Returns the last part of the log."""
        content = self.log_path.read_bytes()[-_LOG_TAIL_BYTES:]
        return content.decode("utf-8", "replace")

    def cpu_s(self) -> float:
        """Returns the CPU time that all threads have used, in s."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")
