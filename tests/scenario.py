"""A small scenario language for both fronts: send, expect, close, wait. Real loopback sockets, virtual time.

Each line is ``PEER VERB ARGUMENTS``; PEER is the name of a peer of the stage. ``wait 300`` advances the time
by 300 ms.

    caller send INVITE c1 x-cos=small x-timer-ms=1500 | hello
    server expect INVITE body=hello
    server send 200 INVITE | there
    caller expect 200 c1 body=there
    server close

``send METHOD ID`` is a request of that Call-ID, ``send STATUS METHOD [ID]`` answers the last request of that
method (and Call-ID). In ``expect``, ``key=value`` names a header, ``body=`` the body, ``key=*`` any value.
Peers of the thin protocol write short names as its 16 hex digits and terminate the line of a body; answers
are sent on the connection of the request, or else on the latest one.
"""

from __future__ import annotations

import re
import select
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from reedmount.core.clock import ZERO, Clock
from reedmount.net.loop import Loop
from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, parameter, parse_datagram, request, response

MESSAGE_TIMEOUT_S = 5.0  # in real time, for an expected message
QUIET_S = 0.02  # in real time, without any activity: nothing more is expected
STEP = timedelta(milliseconds=5)
HOST = "127.0.0.1"


@contextmanager
def full_backlog() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """A listener whose backlog is full, and the sockets that fill it.

    Connections are established once it accepts, or once the sockets that fill it are closed.
    """
    with socket.socket() as full:
        full.bind((HOST, 0))
        full.listen(0)
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        yield full, filling
        for sock in filling:
            sock.close()


class VirtualTime:
    """A clock that advances only when the test advances it."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.clock = Clock(unix=lambda: 1_800_000_000.0, steady=lambda: self.seconds)


def digits(name: str) -> str:
    """A short name as a Call-ID of the thin protocol."""
    return name if re.fullmatch("[0-9a-f]{16}", name) else name.encode().hex()[:16].rjust(16, "0")


class Peer:
    """A client or server for the tests: a TCP client, a TCP server, or a UDP client or server."""

    def __init__(self, stage: Stage, kind: str, to: tuple[str, int] | None) -> None:
        self.stage, self.kind, self.to = stage, kind, to
        self.requests: list[Message] = []  # every request that was received
        self.inbox: list[Message] = []  # messages that no scenario line has expected yet
        self.invites: dict[str, Message] = {}
        self.tags: dict[str, str] = {}  # the far side's tag by Call-ID
        self.sock: socket.socket | None = None  # the latest that was opened or received on
        self.rings: dict[socket.socket, Ring] = {}
        self.received_on: dict[int, socket.socket] = {}  # the connection by the id() of the message
        self.listener: socket.socket | None = None
        self.answers_probes = True  # or reads them and does not respond
        if kind == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind((HOST, 0))
        elif to is None:
            self.listener = socket.create_server((HOST, 0))
        self.port: int = (self.sock or self.listener or socket.socket()).getsockname()[1]

    def pump(self) -> bool:
        """Read what has arrived; returns whether there was anything."""
        if self.listener is not None and select.select([self.listener], [], [], 0)[0]:
            self.sock, _ = self.listener.accept()
            self.rings[self.sock] = Ring(1 << 20)
        busy = False
        watched = [self.sock] if self.kind == "udp" and self.sock else list(self.rings)
        while watched and (ready := select.select(watched, [], [], 0)[0]):
            sock, busy = ready[0], True
            try:
                data, source = sock.recvfrom(65536)
            except OSError:
                data, source = b"", None
            if self.kind == "udp":
                self.to = source
                self.take(parse_datagram(data))
            elif not data:
                self.drop(sock)
                watched.remove(sock)
                self.inbox.append(Message(method="CLOSED"))
            else:
                before, self.sock = self.sock, sock
                self.rings[sock].write(data)
                while (message := next_message(self.rings[sock])) is not None:
                    self.received_on[id(message)] = sock
                    if self.answers_probe(message):
                        sock.sendall(response(message, 200).encode())
                        self.sock = before or sock
                    else:
                        self.take(message)
        return busy

    def drop(self, sock: socket.socket) -> None:
        sock.close()
        del self.rings[sock]
        if self.sock is sock:
            self.sock = next(reversed(self.rings), None)

    def answers_probe(self, message: Message) -> bool:
        """Whether it is a probe that a call server of the platform answers without a line in the scenario."""
        serves = self.kind == "thin" and self.listener is not None and self.answers_probes
        return serves and message.method == "OPTIONS"

    def take(self, message: Message) -> None:
        self.inbox.append(message)
        tag = parameter(message.get("From" if message.is_request else "To") or "", "tag")
        if tag:
            self.tags[message.call_id] = tag
        if message.is_request:
            self.requests.append(message)
        elif message.cseq[1] == "INVITE" and message.status >= 200 and self.kind != "thin":
            self.write(self.request("ACK", message.call_id, {}, b"").encode())

    def request(self, method: str, name: str, fields: dict[str, str], body: bytes) -> Message:
        """A request; ACK and CANCEL have the CSeq and branch of their INVITE."""
        name = self.wire_name(name)
        number = fields.pop("cseq", "1" if method in ("INVITE", "ACK", "CANCEL", "OPTIONS") else "2")
        branch = fields.pop("branch", f"{name}-{'INVITE' if method in ('ACK', 'CANCEL') else method}{number}")
        transport = "UDP" if self.kind == "udp" else "TCP"
        tag = self.tags.get(name) if method not in ("INVITE", "CANCEL") else None
        to = fields.pop("to", f"<sip:4711@{HOST}>" + (f";tag={tag}" if tag else ""))
        own_tags = [
            parameter(other.get("To") or "", "tag") for other in self.requests if other.call_id == name
        ]
        own = (own_tags[0] or "s") if own_tags else name
        headers = [
            ("Via", f"SIP/2.0/{transport} {HOST}:{self.port};branch=z9hG4bK{branch};rport"),
            ("Max-Forwards", fields.pop("max-forwards", "70")),
            ("From", f"<sip:{name}@{HOST}>;tag={fields.pop('from-tag', own)}"), ("To", to),
            ("Call-ID", name), ("CSeq", f"{number} {method}"),
            ("Contact", f"<sip:{name}@{HOST}:{self.port}>"),
        ]  # fmt: skip
        uri = fields.pop("uri", f"sip:{self.wire_name('4711')}@net")
        return request(method, uri, [*headers, *((key.title(), text) for key, text in fields.items())], body)

    def answer(self, status: int, method: str, name: str, fields: dict[str, str], body: bytes) -> Message:
        name = self.wire_name(name) if name else ""
        original = [m for m in self.requests if m.method == method and (not name or m.call_id == name)][-1]
        own = self.received_on.get(id(original))
        self.sock = own if own in self.rings else self.sock
        contact = [("Contact", f"<sip:server@{HOST}:{self.port}>")] if method == "INVITE" else []
        extra = [*contact, *((key.title(), text) for key, text in fields.items())]
        return response(original, status, extra, body, tag="s")

    def write(self, data: bytes) -> None:
        if self.sock is None:
            assert self.to is not None and self.listener is None, "no connection"
            self.sock = socket.create_connection(self.to)
            self.port, self.rings[self.sock] = self.sock.getsockname()[1], Ring(1 << 20)
        if self.kind == "udp":
            assert self.to is not None, "no address to send to"
            self.sock.sendto(data, self.to)
        else:
            self.sock.sendall(data)

    def close(self, reset: bool) -> None:
        assert self.rings, "nothing to close"
        for sock in list(self.rings):
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.drop(sock)

    def stop(self) -> None:
        """Accept neither connections nor datagrams any more."""
        for sock in (self.listener, self.sock, *self.rings):
            if sock is not None:
                sock.close()
        self.rings.clear()
        self.listener = self.sock = None

    def wire_name(self, name: str) -> str:
        """The Call-ID that this peer writes for a call's name."""
        return digits(name) if self.kind == "thin" else name


class Stage:
    """An event loop in virtual time, the peers, and the scenarios that they play."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.loop = Loop(self.time.clock)
        self.peers: dict[str, Peer] = {}

    def peer(self, name: str, kind: str, to: tuple[str, int] | None = None) -> Peer:
        made = self.peers[name] = Peer(self, kind, to)
        return made

    def play(self, scenario: str) -> None:
        """Play a scenario; an error names the line that failed."""
        for line in (line.strip() for line in scenario.splitlines()):
            if line:
                try:
                    self._line(line)
                except AssertionError as error:
                    raise AssertionError(f"{line!r}: {error}") from None

    def settle(self) -> None:
        """Run the loop until there is no more activity."""
        quiet_at = time.monotonic() + QUIET_S
        while time.monotonic() < quiet_at:
            if self._turn():
                quiet_at = time.monotonic() + QUIET_S

    def wait(self, span: timedelta) -> None:
        """Advance the virtual time, in steps short enough to keep the order of the timers."""
        self.settle()
        end = self.time.seconds + span.total_seconds()
        while self.time.seconds < end - 1e-9:
            self.time.seconds = min(end, self.time.seconds + STEP.total_seconds())
            while self._turn():
                pass
        self.settle()

    def _turn(self) -> bool:
        busy = self.loop.turn(ZERO)
        return any([peer.pump() for peer in list(self.peers.values())]) or busy

    def _line(self, line: str) -> None:
        text, _, body = line.partition(" | ")
        actor, *words = text.split()
        if actor == "wait":
            self.wait(timedelta(milliseconds=int(words[0])))
            return
        peer, verb, arguments = self.peers[actor], words[0], [word for word in words[1:] if "=" not in word]
        fields = dict(word.split("=", 1) for word in words[1:] if "=" in word)
        fields = {key.lower(): value.replace("~", " ") for key, value in fields.items()}
        if peer.kind == "thin" and body:
            body += "\r\n"
        if verb == "send" and arguments[0].isdecimal():
            name = arguments[2] if len(arguments) > 2 else ""
            peer.write(peer.answer(int(arguments[0]), arguments[1], name, fields, body.encode()).encode())
        elif verb == "send":
            if arguments[1] == "@":  # the call of the last set-up received
                arguments[1] = [other for other in peer.requests if other.method == "INVITE"][-1].call_id
            peer.write(peer.request(arguments[0], arguments[1], fields, body.encode()).encode())
        elif verb == "close":
            peer.close("reset" in arguments)
        elif arguments == ["nothing"]:
            self.settle()
            assert not peer.inbox, f"unexpected {peer.inbox[0].method or peer.inbox[0].status}"
        else:
            self._expect(peer, arguments, fields)

    def _expect(self, peer: Peer, arguments: list[str], fields: dict[str, str]) -> None:
        deadline = time.monotonic() + MESSAGE_TIMEOUT_S
        while not peer.inbox:
            assert time.monotonic() < deadline, "nothing was received"
            self._turn()
        message = peer.inbox.pop(0)
        what = message.method or str(message.status)
        assert what == arguments[0], f"{what} {message.reason} was received"
        if len(arguments) > 1:
            assert message.call_id == peer.wire_name(arguments[1]), f"the Call-ID is {message.call_id}"
        for key, value in fields.items():
            found = message.body.decode().rstrip("\r\n") if key == "body" else message.get(key)
            assert found == value or (value == "*" and found), f"{key} is {found!r}"
