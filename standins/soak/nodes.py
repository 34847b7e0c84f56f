"""A border controller of a soak: the real program as the deploy file starts it, its file and its signals."""

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
SLACK_S = 0.7  # SIGKILL comes the longest deadline and this after SIGTERM
LONGEST_COUNTED_S = 3.0
FAULTS = ("Traceback", "invariant broken", "faults=", "MemoryError", "Too many open files")


class Node:
    """One border controller with its folder; its log is ``NAME.log`` there."""

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
        """Whether its process is there."""
        return self._process is not None and self._process.poll() is None

    @property
    def kill_after_s(self) -> float:
        """When SIGKILL may come at the earliest, after SIGTERM."""
        longest: float = max(kind["deadline"] for kind in self.config["settings"]["classes"]) / 1e6
        return min(LONGEST_COUNTED_S, longest) + SLACK_S

    def write_config(self) -> None:
        """Replace the file in one step."""
        self.write_text(json.dumps(self.config))

    def write_text(self, text: str) -> None:
        """Replace the file by any text."""
        fresh = self._path.with_suffix(".new")
        fresh.write_text(text, encoding="utf-8")
        fresh.rename(self._path)

    def start(self) -> None:
        """Start it as the platform does."""
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
        """Send it a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def ended_within(self, seconds: float) -> bool:
        """Wait for its end, for so long at most."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while self.running and loop.time() < until:
            await asyncio.sleep(0.005)
        return not self.running

    def kill(self) -> None:
        """End it by force."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def faults(self) -> list[str]:
        """What its log says of faults of its own."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        told = [line for line in text.splitlines() if any(word in line for word in FAULTS)]
        return [f"{self.name} log: {line}" for line in told]

    def close(self) -> None:
        """End it and let go of its files."""
        self.kill()
        self._log.close()
