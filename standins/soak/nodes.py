"""Border controller process of the soak test, started by the deploy file's command; its file and signals."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
SOCKETS = 256
KILL_SLACK_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this
MAX_COUNTED_DEADLINE_S = 3.0
FAULT_MARKERS = ("Traceback", "invariant broken", "faults=", "MemoryError", "Too many open files")


class Node:
    """One border controller; its log is ``NAME.log`` in the folder of the run."""

    def __init__(self, name: str, address: tuple[str, int], folder: Path, config: dict[str, Any]) -> None:
        self.name, self.address, self.config = name, address, config
        self._path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self._log = self.log_path.open("ab")
        self._temporary = folder / name
        self._temporary.mkdir(parents=True, exist_ok=True)
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._command: str = tomllib.load(file)["run"]
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def kill_after_s(self) -> float:
        """The shortest time from SIGTERM to SIGKILL."""
        longest: float = max(kind["deadline"] for kind in self.config["settings"]["classes"]) / 1e6
        return min(MAX_COUNTED_DEADLINE_S, longest) + KILL_SLACK_S

    def write_config(self) -> None:
        """Replace the configuration file atomically."""
        self.write_text(json.dumps(self.config))

    def write_text(self, text: str) -> None:
        """Replace the configuration file by any text, atomically."""
        fresh = self._path.with_suffix(".new")
        fresh.write_text(text, encoding="utf-8")
        fresh.rename(self._path)

    def start(self) -> None:
        """Start the process as the platform does."""
        assert not self.running
        self.write_config()
        env = {
            **os.environ, "GW_CONFIG": str(self._path), "GW_NAME": self.name,
            "GW_LISTEN": f"{self.address[0]}:{self.address[1]}", "TMPDIR": str(self._temporary),
        }  # fmt: skip
        self._process = subprocess.Popen(
            ["sh", "-c", self._command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self._log,
            stderr=self._log,
        )  # fmt: skip
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def ended_within(self, seconds: float) -> bool:
        """Wait for the process to end, at most so long; whether it has."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.running and loop.time() < until:
            await asyncio.sleep(0.005)
        return not self.running

    def kill(self) -> None:
        """End the process by SIGKILL."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def faults(self) -> list[str]:
        """The lines of its log that report internal faults."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        faulty = [line for line in text.splitlines() if any(marker in line for marker in FAULT_MARKERS)]
        return [f"{self.name} log: {line}" for line in faulty]

    def close(self) -> None:
        """End the process and close its log."""
        self.kill()
        self._log.close()
