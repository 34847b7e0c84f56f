"""The admin server: health, quiesce, resume and views over HTTP/1.1, with one request on each connection."""

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

MAX_ADMIN_CONNECTIONS = 10  # beyond that, the one of the lowest priority is closed
ADMIN_SOCKETS = MAX_ADMIN_CONNECTIONS + 2  # with the listener and one connection about to be closed
REQUEST_TIMEOUT = timedelta(seconds=5)  # for a complete request
CLOSE_TIMEOUT = timedelta(seconds=1)  # for the client to close after its answer
MAX_BODY = 65536  # bytes
HEALTH, QUIESCE, RESUME = "/admin/health", "/admin/quiesce", "/admin/resume"
METHODS = {HEALTH: "GET", QUIESCE: "POST", RESUME: "POST"}
View = Callable[[dict[str, str]], dict[str, object]]  # answers a GET by its query


class AdminConnection:
    """The actor of one connection to the admin server."""

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
        self.received_data = False
        self._timer = admin_server.loop.call_later(REQUEST_TIMEOUT, self.close)

    def close(self) -> None:
        """Close it: it has ended or timed out, or room is needed."""
        self._timer.cancel()
        self.connection.close()
        self._actor.stop()
        self._admin_server.remove(self)

    def priority(self) -> tuple[bool, bool, int]:
        """The lowest is closed first: those answered, then those that have sent nothing, then the oldest."""
        return not self.answered, self.received_data, self.order

    def _handle(self, item: Connection | EndReason) -> None:
        if isinstance(item, EndReason):
            self.close()
            return
        ring = item.incoming
        data = ring.peek()
        ring.drop(len(data))
        if self.answered or item.ended:
            return
        self.received_data = True
        try:
            self._http.receive_data(data)
            self._handle_events()
        except (h11.RemoteProtocolError, ValueError) as error:
            COUNTERS.add("door.malformed")
            if not self.answered:
                self._answer(getattr(error, "error_status_hint", 0) or 400, {"error": str(error)})

    def _handle_events(self) -> None:
        while not self.answered:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    proceed = h11.InformationalResponse(status_code=100, headers=[])
                    self.connection.send(self._http.send(proceed) or b"")
                return
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.Data):
                self._body += len(event.data)
                if self._body > MAX_BODY:
                    self._answer(413, {"error": "longer than any call here"})
            elif isinstance(event, h11.EndOfMessage) and self._request is not None:
                self._handle_request(self._request)
            else:
                return

    def _handle_request(self, request: h11.Request) -> None:
        target = urlsplit(request.target.decode("ascii"))
        path = target.path
        method = self._admin_server.methods.get(path)
        if method is None:
            self._answer(404, {"error": "no such call", "calls": sorted(self._admin_server.methods)})
        elif request.method.decode("ascii") != method:
            self._answer(405, {"error": f"{path} takes {method}"}, (("Allow", method),))
        else:
            COUNTERS.add(f"door.{path.rpartition('/')[2]}")
            self._answer(
                *self._admin_server.handle_request(path, dict(parse_qsl(target.query, max_num_fields=8)))
            )

    def _answer(self, status: int, body: dict[str, object], extra: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the answer, then close gracefully, so that a reset does not discard the answer."""
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
        self._timer = self._admin_server.loop.call_later(CLOSE_TIMEOUT, self.close)


class AdminServer:
    """The listener and its connections; silent ones are limited and cannot keep others from being served."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        lifecycle: Lifecycle,
        counts: Callable[[], dict[str, int]],
        views: Mapping[str, View] | None = None,
    ) -> None:
        self.loop, self._lifecycle, self._counts = loop, lifecycle, counts
        self._views = views or {}
        self.methods = METHODS | dict.fromkeys(self._views, "GET")
        self._connections: dict[AdminConnection, None] = {}
        self._accepted = 0
        self._sock = listen(loop, address, self._accept, urgent=True)

    @property
    def address(self) -> Address:
        """Where operators connect."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    def handle_request(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        """Carry out a request; returns the HTTP status and the body."""
        if path in self._views:
            return 200, self._views[path](query)
        good = True
        if path == HEALTH:
            good = self._lifecycle.ready
        elif path == QUIESCE:
            log("admin: quiesce requested")
            self._lifecycle.quiesce()
        else:
            log("admin: resume requested")
            good = self._lifecycle.resume()
        status = 200 if good else 503 if path == HEALTH else 409
        return status, {"state": self._lifecycle.phase.value, **self._counts()}

    def remove(self, connection: AdminConnection) -> None:
        """A connection has ended."""
        self._connections.pop(connection, None)

    def _accept(self, sock: socket.socket) -> None:
        COUNTERS.add("door.connections")
        if len(self._connections) >= MAX_ADMIN_CONNECTIONS:
            COUNTERS.add("door.crowded_out")
            min(self._connections, key=AdminConnection.priority).close()
        self._accepted += 1
        self._connections[AdminConnection(self, sock, self._accepted)] = None
