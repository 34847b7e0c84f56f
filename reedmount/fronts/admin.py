"""The operators' door: health, quiesce and resume over HTTP/1.1, one call a connection."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta
from urllib.parse import parse_qsl, urlsplit

import h11

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.lifecycle import Lifecycle
from reedmount.net.connection import Address, Connection, EndReason, listen
from reedmount.net.loop import Loop

MAX_ADMIN_CONNECTIONS = 10  # at once: the one with the least claim goes when another comes
ADMIN_SOCKETS = MAX_ADMIN_CONNECTIONS + 2  # with the listener and one that is being turned away
SILENT = timedelta(seconds=5)  # for a whole call
TAKE_LEAVE = timedelta(seconds=1)  # for the caller to close after its answer
LONGEST_BODY = 65536
HEALTH, QUIESCE, RESUME = "/admin/health", "/admin/quiesce", "/admin/resume"
METHODS = {HEALTH: "GET", QUIESCE: "POST", RESUME: "POST"}
View = Callable[[dict[str, str]], dict[str, object]]  # what a GET shows, by its query


class Visitor:
    """The actor of one connection at the door."""

    def __init__(self, admin_server: AdminServer, sock: socket.socket, order: int) -> None:
        self._admin_server, self.order = admin_server, order
        self._actor: Actor[Connection | EndReason] = Actor(admin_server.loop, self._handle)
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = 0
        self.answered = False
        self.connection = Connection(
            admin_server.loop, sock, self._actor.post, lambda _, how: self._actor.post(how), urgent=True
        )
        self.heard = False
        self._timer = admin_server.loop.call_later(SILENT, self.close)

    def close(self) -> None:
        """Its time is up, or its place is needed."""
        self._timer.cancel()
        self.connection.close()
        self._actor.stop()
        self._admin_server.drop(self)

    def claim(self) -> tuple[bool, bool, int]:
        """How much of a claim it has to its place: answered ones the least, then silent, then old ones."""
        return not self.answered, self.heard, self.order

    def _handle(self, item: Connection | EndReason) -> None:
        if isinstance(item, EndReason):
            self.close()
            return
        ring = item.incoming
        data = ring.peek()
        ring.drop(len(data))
        if self.answered or item.ended:
            return
        self.heard = True
        try:
            self._http.receive_data(data)
            self._hear()
        except (h11.RemoteProtocolError, ValueError) as error:
            COUNTERS.add("door.malformed")
            if not self.answered:
                self._answer(getattr(error, "error_status_hint", 0) or 400, {"error": str(error)})

    def _hear(self) -> None:
        while not self.answered:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self.connection.send(self._http.send(go_on) or b"")
                return
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.Data):
                self._body += len(event.data)
                if self._body > LONGEST_BODY:
                    self._answer(413, {"error": "longer than any call here"})
            elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                self._call(self._request)
            else:
                return

    def _call(self, request: h11.Request) -> None:
        target = urlsplit(request.target.decode("ascii"))
        path = target.path
        method = self._admin_server.methods.get(path)
        if method is None:
            self._answer(404, {"error": "no such call", "calls": sorted(self._admin_server.methods)})
        elif request.method.decode("ascii") != method:
            self._answer(405, {"error": f"{path} takes {method}"}, (("Allow", method),))
        else:
            COUNTERS.add(f"door.{path.rpartition('/')[2]}")
            self._answer(*self._admin_server.called(path, dict(parse_qsl(target.query, max_num_fields=8))))

    def _answer(self, status: int, body: dict[str, object], extra: tuple[tuple[str, str], ...] = ()) -> None:
        """The answer; the connection closes after it, but not so hard that it is lost on its way."""
        COUNTERS.add(f"door.{status}")
        self.answered = True
        text = json.dumps(body).encode() + b"\n"
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(text))),
                   ("Cache-Control", "no-store"), ("Connection", "close"), *extra]  # fmt: skip
        answer = h11.Response(status_code=status, headers=headers)
        parts = (self._http.send(event) for event in (answer, h11.Data(data=text), h11.EndOfMessage()))
        self.connection.send(b"".join(part or b"" for part in parts))
        self.connection.finish_writing()
        self._timer.cancel()
        self._timer = self._admin_server.loop.call_later(TAKE_LEAVE, self.close)


class AdminServer:
    """The listener and its visitors. Silent ones are bounded, and crowd out nobody who has a call to make."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        lifecycle: Lifecycle,
        figures: Callable[[], dict[str, int]],
        views: Mapping[str, View] | None = None,
    ) -> None:
        self.loop, self._lifecycle, self._figures = loop, lifecycle, figures
        self._views = views or {}
        self.methods = METHODS | dict.fromkeys(self._views, "GET")
        self._visitors: dict[Visitor, None] = {}
        self._count = 0
        self._sock = listen(loop, address, self._accept, urgent=True)

    @property
    def address(self) -> Address:
        """Where operators call."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    def called(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        """Do what is asked; 2xx means yes."""
        if path in self._views:
            return 200, self._views[path](query)
        good = True
        if path == HEALTH:
            good = self._lifecycle.ready
        elif path == QUIESCE:
            log("door: quiesce")
            self._lifecycle.quiesce()
        else:
            log("door: resume")
            good = self._lifecycle.resume()
        status = 200 if good else 503 if path == HEALTH else 409
        return status, {"state": self._lifecycle.phase.value, **self._figures()}

    def drop(self, visitor: Visitor) -> None:
        """It has gone."""
        self._visitors.pop(visitor, None)

    def _accept(self, sock: socket.socket) -> None:
        COUNTERS.add("door.connections")
        if len(self._visitors) >= MAX_ADMIN_CONNECTIONS:
            COUNTERS.add("door.crowded_out")
            min(self._visitors, key=Visitor.claim).close()
        self._count += 1
        self._visitors[Visitor(self, sock, self._count)] = None
