"""Stand-ins of the second review for the platform's thin protocol: notice board, call servers, callers."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Sequence
from pathlib import Path

from parts_2 import SIP, Address, Case, Link, Part, Program, host

from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, response

GIVE_UP_US = 9_000_000


def settings() -> dict[str, object]:
    """Settings as the deployment verbund-call-core has them, for a day with seven border controllers."""
    described = [
        ("quote-call", 1.0, 1_200_000),
        ("assist-call", 3.0, 1_500_000),
        ("agency-call", 1.0, 1_500_000),
    ]
    return {
        "balancers": 7, "discovery": "pushed", "over_share_worth": 0.1, "tenants": [],
        "localities": ["zurich", "geneva", "lugano"], "zone": "zurich", "self_index": 0, "stage": 0,
        "tiers": ["central-call-servers"], "workload": "trunks", "weights": "off", "counted_by": "request",
        "kinds": ["std-1core"], "quantum": 5000,
        "classes": [
            {"name": name, "worth": worth, "target": target, "deadline": GIVE_UP_US, "effect": "read_like",
             "group": "all", "late_share": 0.25, "repeat_window": 5_000_000, "stream": True}
            for name, worth, target in described
        ],
        "allowed": {
            "cancel": True, "conn_idle": 600_000_000, "connect_timeout": 500_000, "max_attempts": 4,
            "max_retry_after": 2_000_000, "open_cap": 20_000, "peers": True, "probing": False,
            "retry_after": True, "second_copies": False, "streams_per_conn": 1_048_576,
        },
        "clients": {"marks_retry": False},
        "report": {"fields": ["free", "size", "hold_back"], "how": "inline"},
        "rules": {"answer_slack": 20_000, "cold": 14_000_000, "drain_grace": 250_000, "fall_multiple": 2.5,
                  "must_ask_in": 10_000_000, "start_capacity": 0.3, "tip_after": 1_000_000},
        "specifics": {"advice": False, "channels_needed": [1, 1, 1], "clear_wait": 200_000,
                      "holding": [9_700_000, 11_600_000, 6_800_000], "peer_load": "inline",
                      "pools_by_class": [[0, 1], [0, 1], [0, 1]], "retransmit": 500_000, "tells_wait": False,
                      "this_node": -1, "topology": "pools"},
    }  # fmt: skip


class Board(Part):
    """A notice board."""

    def __init__(self, case: Case, address: Address) -> None:
        self.case, self.address = case, address
        self.notices: list[dict[str, object]] = []
        self._waiting: list[tuple[socket.socket, int]] = []  # polls, and the last event that each has
        self._listener = socket.create_server(address)
        self._open: dict[int, socket.socket] = {}
        case.parts.append(self)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        return [self._listener.fileno(), *self._open]

    def ready(self, fd: int) -> None:
        """Accept, or take a poll and answer it once its time is over."""
        if fd == self._listener.fileno():
            accepted, _ = self._listener.accept()
            self._open[accepted.fileno()] = accepted
            return
        sock = self._open[fd]
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            del self._open[fd]
            sock.close()
            return
        watch = int(data.partition(b"watch=")[2].partition(b"&")[0])
        linger_s = int(data.partition(b"linger=")[2].split()[0]) / 1000
        poll = (sock, watch)
        self._waiting.append(poll)
        self.case.later(0.0 if len(self.notices) > watch else linger_s, lambda: self._answer(poll))

    def tell(self, *hosts: dict[str, object]) -> None:
        """Tell of call servers: the first time the whole list, then what has changed."""
        for one in hosts:
            self.case.note(f"board: {one['host']} at {one['dial']} is {one['health']}")
        revision = len(self.notices) + 1
        pool = {"seq": revision, "whole": revision == 1, "hosts": list(hosts)}
        self.notices.append({"rev": revision, "pool": pool})
        for poll in list(self._waiting):
            self._answer(poll)

    def _answer(self, poll: tuple[socket.socket, int]) -> None:
        if poll not in self._waiting:
            return
        self._waiting.remove(poll)
        sock, watch = poll
        body = json.dumps({"rev": len(self.notices), "notices": self.notices[watch:]})
        with contextlib.suppress(OSError):
            sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        for sock in self._open.values():
            sock.close()


def listed(name: str, address: Address, number: int, health: str = "SERVING") -> dict[str, object]:
    """What the list of call servers says of one of them."""
    return {
        "host": name, "dial": f"{address[0]}:{address[1]}", "site": "zurich", "class": "std-1core",
        "block": number, "health": health, "share": 1, "born_ms": 0,
    }  # fmt: skip


class ThinServer(Part):
    """A call server: each set-up is answered after a while, and stands until it is released."""

    def __init__(self, case: Case, name: str, address: Address, answer_after_s: float = 0.03) -> None:
        self.case, self.name, self.address, self.answer_after_s = case, name, address, answer_after_s
        self.setups = 0
        self.standing: set[str] = set()
        self._listener = socket.create_server(address, backlog=64)
        self._links: dict[int, Link] = {}
        case.parts.append(self)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        return [self._listener.fileno(), *self._links]

    def ready(self, fd: int) -> None:
        """Accept, or read."""
        if fd == self._listener.fileno():
            accepted, _ = self._listener.accept()
            self._links[accepted.fileno()] = Link(accepted)
            return
        link = self._links[fd]
        try:
            data = link.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            link.open = False
            del self._links[fd]
            link.sock.close()
            return
        link.ring.write(data)
        while (message := next_message(link.ring)) is not None:
            self._handle(link, message)

    def _handle(self, link: Link, message: Message) -> None:
        if message.method == "INVITE":
            self.setups += 1
            self.case.later(self.answer_after_s, lambda: self._answer(link, message))
        elif message.method == "BYE":
            self.standing.discard(message.call_id)
            link.send(response(message, 200).encode())
        elif message.method == "OPTIONS":
            link.send(response(message, 200).encode())

    def _answer(self, link: Link, message: Message) -> None:
        if link.send(response(message, 200, body=b"c=IN IP4 127.0.0.1\r\n").encode()):
            self.standing.add(message.call_id)

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        for link in self._links.values():
            link.sock.close()


class ThinCall:
    """A call as its caller sees it."""

    def __init__(self, name: str, sent_at: float) -> None:
        self.name, self.sent_at = name, sent_at
        self.answers: list[tuple[float, int]] = []


class ThinCallers(Part):
    """Usual callers on one kept connection."""

    def __init__(self, case: Case, to: Address, number: int) -> None:
        self.case = case
        self.calls: dict[str, ThinCall] = {}
        self.tests: list[int] = []
        self._link = Link(socket.create_connection(to, source_address=(host(number), 0)))
        self._link.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ended_at: float | None = None
        case.parts.append(self)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        return [self._link.sock.fileno()] if self._link.open else []

    def place(self, wait_ms: int, kind: str, hold_s: float) -> ThinCall:
        """Begin a call; it is released after ``hold_s`` where it stands."""
        call = ThinCall(f"{0xCA11 << 32 | len(self.calls):016x}", self.case.now)
        self.calls[call.name] = call
        body = "c=IN IP4 127.0.0.1\r\n"
        self._link.send(
            f"INVITE sip:{len(self.calls):016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n"
            f"Call-ID: {call.name}\r\nCSeq: 1 INVITE\r\nX-Cos: {kind}\r\n"
            f"X-Timer-Ms: {wait_ms}\r\nX-Legs: dest:-1;width:1;via:-1\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        self.case.later(wait_ms / 1000, lambda: self._give_up(call))
        self.case.later(hold_s, lambda: self._release(call))
        return call

    def test(self) -> None:
        """Ask whether the border controller is ready."""
        self._bare("OPTIONS", "ping", "0" * 16, 1)

    def _bare(self, method: str, number: str, name: str, cseq: int, extra: str = "") -> None:
        self._link.send(
            f"{method} sip:{number}@net SIP/2.0\r\nCall-ID: {name}\r\nCSeq: {cseq} {method}\r\n{extra}"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def _give_up(self, call: ThinCall) -> None:
        if not call.answers:
            self._bare("CANCEL", call.name, call.name, 1)

    def _release(self, call: ThinCall) -> None:
        if [status for _, status in call.answers] == [200]:
            self._bare("BYE", call.name, call.name, 2, "Reason: Q.850;cause=16\r\n")

    def ready(self, fd: int) -> None:
        """Read what has come."""
        try:
            data = self._link.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.case.note("callers: their connection has ended")
            self._link.open, self.ended_at = False, self.case.now
            self._link.sock.close()
            return
        self._link.ring.write(data)
        while (message := next_message(self._link.ring)) is not None:
            self._handle(message)

    def _handle(self, message: Message) -> None:
        if message.is_request:
            self._link.send(response(message, 200).encode())
        elif message.cseq[1] == "OPTIONS":
            self.tests.append(message.status)
        elif message.cseq[1] == "INVITE" and message.status >= 200:
            call = self.calls[message.call_id]
            call.answers.append((self.case.now, message.status))
            self._bare("ACK", call.name, call.name, 1)

    def close(self) -> None:
        """Close the socket."""
        self._link.sock.close()


def start(case: Case, number: int, board: Board, servers: Sequence[ThinServer]) -> Program:
    """Start one border controller as the platform does, and wait until it serves."""
    board.tell(*(listed(server.name, server.address, at) for at, server in enumerate(servers)))
    known = {"rev": len(board.notices), "notices": board.notices}
    listen = f"{host(number)}:{SIP}"
    path = Path(case.folder) / f"n{number}.json"
    path.write_text(json.dumps({
        "name": f"n{number}", "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": f"{board.address[0]}:{board.address[1]}", "known": known, "settings": settings(),
    }), encoding="utf-8")  # fmt: skip
    case.note(f"start n{number}")
    environment = {"GW_NAME": f"n{number}", "GW_LISTEN": listen, "GW_CONFIG": str(path)}
    program = Program(case, f"n{number}", env=environment)
    case.require(case.until(lambda: " serves at " in program.log(), 20), "it did not start")
    return program
