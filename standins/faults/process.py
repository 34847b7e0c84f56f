"""One real process of the program, with the signals that a fault case sends to it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
EXIT_TIMEOUT_S = 10.0


class Process:
    """The program with the settings file of one member. Its log is ``NAME.log`` in the folder."""

    def __init__(self, name: str, folder: Path, settings: str) -> None:
        self.name = name
        self._file = folder / f"{name}.toml"
        self._file.write_text(settings, encoding="utf-8")
        self._log = (folder / f"{name}.log").open("ab")
        self._popen: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.starts = 0

    @property
    def running(self) -> bool:
        """Whether the process exists, which includes one stopped by SIGSTOP."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        """The process id, 0 before the first start."""
        return self._popen.pid if self._popen is not None else 0

    def start(self, skew_s: float = 0.0) -> None:
        """Start the process, with its wall clock off by ``skew_s``."""
        assert not self.running
        arguments = ["reedmount"] if not skew_s else ["standins.faults.skewed", str(skew_s)]
        self.starts += 1
        self.stopped = False
        self._popen = subprocess.Popen(
            [sys.executable, "-O", "-m", *arguments, "--operator", str(self._file)],
            cwd=ROOT, stdout=self._log, stderr=self._log, stdin=subprocess.DEVNULL,
        )  # fmt: skip

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self._popen is not None:
            self._popen.kill()
            self._popen.wait()
        self.stopped = False

    def stop(self) -> None:
        """Send SIGSTOP."""
        self._send_signal(signal.SIGSTOP)
        self.stopped = True

    def resume(self) -> None:
        """Send SIGCONT."""
        self._send_signal(signal.SIGCONT)
        self.stopped = False

    def terminate(self) -> None:
        """Send SIGTERM, which begins a planned restart."""
        self._send_signal(signal.SIGTERM)

    def apply_settings(self, settings: str) -> None:
        """Write new settings and send SIGHUP, which makes the process reload them."""
        self._file.write_text(settings, encoding="utf-8")
        self._send_signal(signal.SIGHUP)

    def wait(self) -> int | None:
        """Wait for the end and return the exit status, None after the timeout."""
        assert self._popen is not None
        try:
            return self._popen.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Kill the process and close its log."""
        self.kill()
        self._log.close()

    def log(self) -> str:
        """Return the log so far."""
        return Path(self._log.name).read_text(encoding="utf-8", errors="replace")

    def _send_signal(self, number: int) -> None:
        if self._popen is not None and self._popen.poll() is None:
            os.kill(self._popen.pid, number)
