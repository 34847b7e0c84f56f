"""The notice board of a soak: long polls over HTTP/1.1, and the ways in which it is down."""

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
DEEMED_TOLD_S = 6.0  # after it had the news and could be reached, whether the call was answered or not


class Mood(Enum):
    """How the notice board answers."""

    WELL = "well"
    SILENT = "silent"  # takes polls and answers none
    CLOSED = "closed"  # takes no connection
    FAILING = "failing"  # answers 503
    SLOW = "slow"  # answers a second late
    BREAKING = "breaking off"  # closes in the middle of an answer


@dataclass(slots=True)
class Notice:
    """One numbered event."""

    number: int
    at: float
    hosts: list[dict[str, Any]]  # "dial" has an address for each border controller
    told: set[str] = field(default_factory=set)


class Board:
    """It tells each border controller by the port that this one polls at."""

    def __init__(self, history: History, rng: random.Random) -> None:
        self.history, self._rng = history, rng
        self.notices: list[Notice] = []
        self.mood = Mood.WELL
        self.well_since = 0.0
        self._servers: dict[str, list[asyncio.Server]] = {}
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def open_for(self, node: str) -> str:
        """Listen at one more address for a border controller."""

        async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(served, HOST, 0)
        self._servers.setdefault(node, []).append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """End all."""
        for servers in self._servers.values():
            for server in servers:
                server.close()
        for writer in self._writers:
            writer.transport.abort()

    def say(self, *hosts: dict[str, Any]) -> None:
        """A new event."""
        self.notices.append(Notice(len(self.notices) + 1, self.history.now, list(hosts)))
        states = " ".join(f"{host['host']}={host['health']}" for host in hosts)
        self.history.tell(f"discovery has version {len(self.notices)}: {states}")
        self._wake()

    def feel(self, mood: Mood) -> None:
        """Be well, or down in some way."""
        self.history.tell(f"discovery is {mood.value}")
        self.mood = mood
        if mood is Mood.WELL:
            self.well_since = self.history.now
        if mood is not Mood.SLOW:
            for writer in list(self._writers):
                if mood in (Mood.CLOSED, Mood.FAILING) or self._rng.random() < 0.5:
                    writer.transport.abort()
        self._wake()

    def known(self, node: str) -> dict[str, Any]:
        """What a configuration written now knows."""
        return self._body(node, 0)

    def left_at(self, node: str, server: str) -> float:
        """When a border controller was told, or counts as told, that a call server drains or is gone."""
        for notice in self.notices:
            for host in notice.hosts:
                if host["host"] == server and host["health"] != "SERVING":
                    deemed = max(notice.at, self.well_since) + DEEMED_TOLD_S
                    if self.mood is not Mood.WELL:
                        deemed = float("inf")
                    return min(deemed, self.history.left_at.get((node, server), float("inf")))
        return float("inf")

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _body(self, node: str, after: int) -> dict[str, Any]:
        told = []
        for notice in self.notices[after:]:
            hosts = [{**host, "dial": host["dial"][node]} for host in notice.hosts]
            pool = {"seq": notice.number, "whole": notice.number == 1, "hosts": hosts}
            told.append({"rev": notice.number, "pool": pool})
        return {"rev": len(self.notices), "notices": told}

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._poll(node, reader, writer):
                pass
        except asyncio.CancelledError:
            pass  # the run is over
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _poll(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        query = parse_qs(urlsplit(head.split()[1].decode()).query)
        after, until = int(query["watch"][0]), self.history.now + int(query["linger"][0]) / 1000
        if self.mood is Mood.CLOSED:
            return False
        if self.mood is Mood.FAILING:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        while self.mood is Mood.SILENT or len(self.notices) <= after and self.history.now < until:
            left = None if self.mood is Mood.SILENT else until - self.history.now
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        if self.mood is Mood.SLOW:
            await asyncio.sleep(self._rng.uniform(0.3, 1.2))
        body = json.dumps(self._body(node, after)).encode()
        answer = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        data = answer.encode() + body
        if reader.at_eof() or writer.is_closing():
            return False  # given up
        if self.mood is Mood.BREAKING:
            writer.write(data[: len(data) - len(body) // 2])
            return False
        writer.write(data)
        self._note_told(node, after)
        return True

    def _note_told(self, node: str, after: int) -> None:
        for notice in self.notices[after:]:
            for host in notice.hosts:
                if host["health"] != "SERVING":
                    self.history.left_at.setdefault((node, host["host"]), self.history.now)
