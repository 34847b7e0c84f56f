"""Notice board: serves numbered events of the pool list by long polls over HTTP/1.1.

board = NoticeBoard()
board.publish(("127.0.0.2", 5070), "SERVING")
board.pump(now)
"""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

from reedmount.net.connection import format_address

HOST = "127.0.0.1"


@dataclass(slots=True)
class Poll:
    """A connection and its pending poll."""

    sock: socket.socket
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    after: int | None = None
    until: datetime | None = None


class NoticeBoard:
    """Serves the published events to every client that polls."""

    def __init__(self, address: tuple[str, int] = (HOST, 0)) -> None:
        self._sock = socket.create_server(address)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()
        self.notices: list[dict[str, Any]] = []
        self.silent = False
        self._polls: list[Poll] = []

    def publish(self, endpoint: tuple[str, int], health: str, born_ms: int = 0, name: str = "") -> None:
        """Publish the state of one server: SERVING, DRAINING or DELETED."""
        host = {"host": name or format_address(endpoint), "dial": format_address(endpoint),
                "block": endpoint[1], "health": health, "born_ms": born_ms}  # fmt: skip
        number = len(self.notices) + 1
        self.notices.append({"rev": number, "pool": {"whole": False, "hosts": [host]}})

    def descriptors(self) -> list[int]:
        """The file descriptors to wait for."""
        return [self._sock.fileno(), *(poll.sock.fileno() for poll in self._polls)]

    def pump(self, now: datetime) -> bool:
        """Read polls and answer those with new events or an expired wait; whether there were any."""
        busy = False
        try:
            sock, _ = self._sock.accept()
            sock.setblocking(False)
            self._polls.append(Poll(sock))
            busy = True
        except OSError:
            pass
        for poll in list(self._polls):
            busy = self._read(now, poll) or busy
            expired = poll.until is not None and now >= poll.until
            has_notices = poll.after is not None and len(self.notices) > poll.after
            if poll.after is not None and not self.silent and (has_notices or expired):
                self._answer(poll)
                busy = True
        return busy

    def _read(self, now: datetime, poll: Poll) -> bool:
        try:
            data = poll.sock.recv(65536)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if not data:
            poll.sock.close()
            self._polls.remove(poll)
            return True
        poll.http.receive_data(data)
        while True:
            event = poll.http.next_event()
            if isinstance(event, h11.Request):
                query = parse_qs(urlsplit(event.target.decode()).query)
                poll.after = int(query["watch"][0])
                poll.until = now + timedelta(milliseconds=int(query["linger"][0]))
            elif not isinstance(event, h11.EndOfMessage):
                return True

    def _answer(self, poll: Poll) -> None:
        body = json.dumps({"rev": len(self.notices), "notices": self.notices[poll.after :]}).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        events = (h11.Response(status_code=200, headers=headers), h11.Data(data=body), h11.EndOfMessage())
        poll.sock.sendall(b"".join(poll.http.send(event) or b"" for event in events))
        poll.http.start_next_cycle()
        poll.after = poll.until = None
