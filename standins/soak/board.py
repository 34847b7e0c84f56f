"""Notice board of the soak test: long polls over HTTP/1.1, with selectable failure modes."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.soak.history import History

HOST = "127.0.0.1"
PRESUMED_NOTIFIED_S = (
    6.0  # after the notice was available and the board reachable, whether or not the poll was answered
)


class BoardMode(Enum):
    """How the notice board answers polls."""

    HEALTHY = "well"
    SILENT = "silent"  # accepts polls and answers none
    CLOSED = "closed"  # closes each connection without an answer
    FAILING = "failing"  # answers 503
    SLOW = "slow"  # answers up to about a second late
    TRUNCATING = "breaking off"  # closes the connection in the middle of an answer


@dataclass(slots=True)
class Notice:
    """One numbered event of the board."""

    number: int
    at: float
    hosts: list[dict[str, Any]]  # "dial" maps each border controller to the address it is given
    notified: set[str] = field(default_factory=set)


class Board:
    """A notice board that identifies each border controller by the port that it polls."""

    def __init__(self, history: History, rng: random.Random) -> None:
        self.history, self._rng = history, rng
        self.notices: list[Notice] = []
        self.mode = BoardMode.HEALTHY
        self.healthy_since = 0.0
        self._servers: dict[str, list[asyncio.Server]] = {}
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen_for(self, node: str) -> str:
        """Open one more listener for a border controller and return its address."""

        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(on_connection, HOST, 0)
        self._servers.setdefault(node, []).append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Close all listeners and connections."""
        for servers in self._servers.values():
            for server in servers:
                server.close()
        for writer in self._writers:
            writer.transport.abort()

    def publish(self, *hosts: dict[str, Any]) -> None:
        """Publish a new event with the state of some call servers."""
        self.notices.append(Notice(len(self.notices) + 1, self.history.now, list(hosts)))
        states = " ".join(f"{host['host']}={host['health']}" for host in hosts)
        self.history.record_event(f"discovery has version {len(self.notices)}: {states}")
        self._wake()

    def set_mode(self, mode: BoardMode) -> None:
        """Change the mode; open connections may be closed."""
        self.history.record_event(f"discovery is {mode.value}")
        self.mode = mode
        if mode is BoardMode.HEALTHY:
            self.healthy_since = self.history.now
        if mode is not BoardMode.SLOW:
            for writer in list(self._writers):
                if mode in (BoardMode.CLOSED, BoardMode.FAILING) or self._rng.random() < 0.5:
                    writer.transport.abort()
        self._wake()

    def initial_list(self, node: str) -> dict[str, Any]:
        """The pool list to put into a configuration that is written now."""
        return self._body(node, 0)

    def leave_known_at(self, node: str, server: str) -> float:
        """When a border controller knows, or is presumed to, that a call server drains or is deleted."""
        for notice in self.notices:
            for host in notice.hosts:
                if host["host"] == server and host["health"] != "SERVING":
                    presumed = max(notice.at, self.healthy_since) + PRESUMED_NOTIFIED_S
                    if self.mode is not BoardMode.HEALTHY:
                        presumed = float("inf")
                    return min(presumed, self.history.leave_sent_at.get((node, server), float("inf")))
        return float("inf")

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _body(self, node: str, after: int) -> dict[str, Any]:
        entries = []
        for notice in self.notices[after:]:
            hosts = [{**host, "dial": host["dial"][node]} for host in notice.hosts]
            pool = {"seq": notice.number, "whole": notice.number == 1, "hosts": hosts}
            entries.append({"rev": notice.number, "pool": pool})
        return {"rev": len(self.notices), "notices": entries}

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._poll(node, reader, writer):
                pass
        except asyncio.CancelledError:
            pass  # the run has ended
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _poll(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        query = parse_qs(urlsplit(head.split()[1].decode()).query)
        after, until = int(query["watch"][0]), self.history.now + int(query["linger"][0]) / 1000
        if self.mode is BoardMode.CLOSED:
            return False
        if self.mode is BoardMode.FAILING:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        while self.mode is BoardMode.SILENT or len(self.notices) <= after and self.history.now < until:
            left = None if self.mode is BoardMode.SILENT else until - self.history.now
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        if self.mode is BoardMode.SLOW:
            await asyncio.sleep(self._rng.uniform(0.3, 1.2))
        body = json.dumps(self._body(node, after)).encode()
        answer = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        data = answer.encode() + body
        if reader.at_eof() or writer.is_closing():
            return False  # the border controller has abandoned the poll
        if self.mode is BoardMode.TRUNCATING:
            writer.write(data[: len(data) - len(body) // 2])
            return False
        writer.write(data)
        self._record_notified(node, after)
        return True

    def _record_notified(self, node: str, after: int) -> None:
        for notice in self.notices[after:]:
            for host in notice.hosts:
                if host["health"] != "SERVING":
                    self.history.leave_sent_at.setdefault((node, host["host"]), self.history.now)
