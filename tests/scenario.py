"""A small scenario language for both fronts: send, expect, close, wait. Real loopback sockets, virtual time.

Each line is ``WHO VERB WORDS``; WHO is the name of a peer of the stage. ``wait 300`` lets 300 ms pass.

    caller send INVITE c1 x-cos=small x-timer-ms=1500 | hello
    server expect INVITE body=hello
    server send 200 INVITE | there
    caller expect 200 c1 body=there
    server close

``send METHOD ID`` is a request of that Call-ID, ``send STATUS METHOD [ID]`` answers the last request of that
method (and Call-ID). In ``expect``, ``key=value`` names a header, ``body=`` the body, ``key=*`` any value.
The thin protocol's peers write short names as its 16 hex digits and end a body's line; answers go where the
request came from, else on the latest connection.
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

PATIENCE_S = 5.0  # real seconds until a message that was due is missed
QUIET_S = 0.02  # real seconds of silence that pass for nothing more to come
STEP = timedelta(milliseconds=5)
HOST = "127.0.0.1"


@contextmanager
def crowded() -> Iterator[tuple[socket.socket, list[socket.socket]]]:
    """A listener whose backlog is full: connections come up once it accepts, or those that fill it close."""
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
    """A clock that goes on only when it is told to."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.clock = Clock(unix=lambda: 1_800_000_000.0, steady=lambda: self.seconds)


def digits(name: str) -> str:
    """A short name as the thin protocol has it."""
    return name if re.fullmatch("[0-9a-f]{16}", name) else name.encode().hex()[:16].rjust(16, "0")


class Peer:
    """A client or server written for the tests: a TCP caller, a TCP server or a UDP phone or server."""

    def __init__(self, stage: Stage, kind: str, to: tuple[str, int] | None) -> None:
        self.stage, self.kind, self.to = stage, kind, to
        self.heard: list[Message] = []  # every request, to answer
        self.inbox: list[Message] = []  # what has not been expected yet
        self.invites: dict[str, Message] = {}
        self.tags: dict[str, str] = {}  # the far side's tag by Call-ID
        self.sock: socket.socket | None = None  # the latest that was opened or heard on
        self.rings: dict[socket.socket, Ring] = {}
        self.came: dict[int, socket.socket] = {}  # where a message was heard
        self.listener: socket.socket | None = None
        self.answers = True  # tests; a silent one takes them and says nothing
        if kind == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.bind((HOST, 0))
        elif to is None:
            self.listener = socket.create_server((HOST, 0))
        self.port: int = (self.sock or self.listener or socket.socket()).getsockname()[1]

    def pump(self) -> bool:
        """Take what has come; whether there was anything."""
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
                    self.came[id(message)] = sock
                    if self.passes_test(message):
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

    def passes_test(self, message: Message) -> bool:
        """A call server of the platform passes a test at once; scenarios need no line for it."""
        serves = self.kind == "thin" and self.listener is not None and self.answers
        return serves and message.method == "OPTIONS"

    def take(self, message: Message) -> None:
        self.inbox.append(message)
        tag = parameter(message.get("From" if message.is_request else "To") or "", "tag")
        if tag:
            self.tags[message.call_id] = tag
        if message.is_request:
            self.heard.append(message)
        elif message.cseq[1] == "INVITE" and message.status >= 200 and self.kind != "thin":
            self.write(self.request("ACK", message.call_id, {}, b"").encode())

    def request(self, method: str, name: str, words: dict[str, str], body: bytes) -> Message:
        """A request; ACK and CANCEL take over what their INVITE had."""
        name = self.named(name)
        number = words.pop("cseq", "1" if method in ("INVITE", "ACK", "CANCEL", "OPTIONS") else "2")
        branch = words.pop("branch", f"{name}-{'INVITE' if method in ('ACK', 'CANCEL') else method}{number}")
        transport = "UDP" if self.kind == "udp" else "TCP"
        tag = self.tags.get(name) if method not in ("INVITE", "CANCEL") else None
        to = words.pop("to", f"<sip:4711@{HOST}>" + (f";tag={tag}" if tag else ""))
        asked = [parameter(heard.get("To") or "", "tag") for heard in self.heard if heard.call_id == name]
        own = (asked[0] or "s") if asked else name
        headers = [
            ("Via", f"SIP/2.0/{transport} {HOST}:{self.port};branch=z9hG4bK{branch};rport"),
            ("Max-Forwards", words.pop("max-forwards", "70")),
            ("From", f"<sip:{name}@{HOST}>;tag={words.pop('from-tag', own)}"), ("To", to),
            ("Call-ID", name), ("CSeq", f"{number} {method}"),
            ("Contact", f"<sip:{name}@{HOST}:{self.port}>"),
        ]  # fmt: skip
        uri = words.pop("uri", f"sip:{self.named('4711')}@net")
        return request(method, uri, [*headers, *((key.title(), text) for key, text in words.items())], body)

    def answer(self, status: int, method: str, name: str, words: dict[str, str], body: bytes) -> Message:
        name = self.named(name) if name else ""
        asked = [m for m in self.heard if m.method == method and (not name or m.call_id == name)][-1]
        self.sock = self.came.get(id(asked), self.sock)
        contact = [("Contact", f"<sip:server@{HOST}:{self.port}>")] if method == "INVITE" else []
        extra = [*contact, *((key.title(), text) for key, text in words.items())]
        return response(asked, status, extra, body, tag="s")

    def write(self, data: bytes) -> None:
        if self.sock is None:
            assert self.to is not None and self.listener is None, "no connection"
            self.sock = socket.create_connection(self.to)
            self.port, self.rings[self.sock] = self.sock.getsockname()[1], Ring(1 << 20)
        if self.kind == "udp":
            assert self.to is not None, "nobody to send to"
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
        """Neither connections nor datagrams are taken any more."""
        for sock in (self.listener, self.sock, *self.rings):
            if sock is not None:
                sock.close()
        self.rings.clear()
        self.listener = self.sock = None

    def named(self, name: str) -> str:
        """A call's name as this peer writes it."""
        return digits(name) if self.kind == "thin" else name


class Stage:
    """A loop in virtual time, the peers, and the scenarios played on them."""

    def __init__(self) -> None:
        self.time = VirtualTime()
        self.loop = Loop(self.time.clock)
        self.peers: dict[str, Peer] = {}

    def peer(self, name: str, kind: str, to: tuple[str, int] | None = None) -> Peer:
        made = self.peers[name] = Peer(self, kind, to)
        return made

    def play(self, scenario: str) -> None:
        """Play a scenario; a line that fails is named."""
        for line in (line.strip() for line in scenario.splitlines()):
            if line:
                try:
                    self._line(line)
                except AssertionError as error:
                    raise AssertionError(f"{line!r}: {error}") from None

    def settle(self) -> None:
        """Go on until nothing more happens."""
        quiet_at = time.monotonic() + QUIET_S
        while time.monotonic() < quiet_at:
            if self._turn():
                quiet_at = time.monotonic() + QUIET_S

    def wait(self, span: timedelta) -> None:
        """Let virtual time pass, in steps short enough for every timer to come in its order."""
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
        who, *words = text.split()
        if who == "wait":
            self.wait(timedelta(milliseconds=int(words[0])))
            return
        peer, verb, given = self.peers[who], words[0], [word for word in words[1:] if "=" not in word]
        named = dict(word.split("=", 1) for word in words[1:] if "=" in word)
        named = {key.lower(): value.replace("~", " ") for key, value in named.items()}
        if peer.kind == "thin" and body:
            body += "\r\n"
        if verb == "send" and given[0].isdecimal():
            name = given[2] if len(given) > 2 else ""
            peer.write(peer.answer(int(given[0]), given[1], name, named, body.encode()).encode())
        elif verb == "send":
            if given[1] == "@":  # the call of the last set-up heard
                given[1] = [heard for heard in peer.heard if heard.method == "INVITE"][-1].call_id
            peer.write(peer.request(given[0], given[1], named, body.encode()).encode())
        elif verb == "close":
            peer.close("reset" in given)
        elif given == ["nothing"]:
            self.settle()
            assert not peer.inbox, f"unexpected {peer.inbox[0].method or peer.inbox[0].status}"
        else:
            self._expect(peer, given, named)

    def _expect(self, peer: Peer, given: list[str], named: dict[str, str]) -> None:
        late = time.monotonic() + PATIENCE_S
        while not peer.inbox:
            assert time.monotonic() < late, "nothing came"
            self._turn()
        message = peer.inbox.pop(0)
        what = message.method or str(message.status)
        assert what == given[0], f"{what} {message.reason} came"
        if len(given) > 1:
            assert message.call_id == peer.named(given[1]), f"it is of {message.call_id}"
        for key, value in named.items():
            found = message.body.decode().rstrip("\r\n") if key == "body" else message.get(key)
            assert found == value or (value == "*" and found), f"{key} is {found!r}"
