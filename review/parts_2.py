"""Parts of the second review's scripts: the program's processes, SIP callers and call servers, the record.

Stand-ins use loopback addresses only. A call is known by its number: it goes on unchanged to the call server.
"""

from __future__ import annotations

import contextlib
import json
import os
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path

from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import (
    Message,
    SipError,
    parse_datagram,
    request,
    response,
    split_host_port,
    uri_of,
    user_of,
)

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
NETWORK = f"127.{20 + (os.getpid() >> 8) % 200}.{os.getpid() & 255}"
T1_S, T2_S, TIMEOUT_S = 0.5, 4.0, 32.0  # RFC 3261
HELD, BROKEN, NOT_RUN = 0, 11, 2  # run.sh makes 11 to 1, and any other but 0 to 2

Address = tuple[str, int]
Send = Callable[[bytes], None]


def host(number: int) -> str:
    """One of this script's loopback addresses, of which no other script running now has any."""
    return f"{NETWORK}.{number}"


def _free_ports(count: int) -> list[int]:
    """Ports in a row that are free for TCP and UDP; they are below those that the system gives out itself."""
    for base in range(11000 + os.getpid() % 800 * 20, 32000, count):
        try:
            with contextlib.ExitStack() as held:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        held.enter_context(socket.socket(socket.AF_INET, kind)).bind((host(1), port))
            return list(range(base, base + count))
        except OSError:
            continue
    raise OSError("no free ports")


SIP, DOOR, MEMBERS, SERVER, BOARD = _free_ports(5)  # of each part at its own address
PORTS = {"sip": SIP, "door": DOOR, "members": MEMBERS, "server_port": SERVER}


class NotRun(Exception):
    """The case could not run."""


class Program:
    """A process of the program, started with the command of the deploy file."""

    def __init__(self, case: Case, name: str, arguments: str = "", env: dict[str, str] | None = None) -> None:
        self.name, self._case = name, case
        self.log_path = case.folder / f"{name}.log"
        temporary = case.folder / f"tmp-{name}"
        temporary.mkdir(exist_ok=True)
        inherited = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", f"{RUN} {arguments}"], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, env={**inherited, "TMPDIR": str(temporary), **(env or {})},
            )  # fmt: skip
        case.programs.append(self)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self._case.note(f"{number.name} to {self.name}")
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def end(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log(self) -> str:
        """What it has written so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")


class Case:
    """One run of a script: its folder, its record, its processes and stand-ins."""

    def __init__(self, script: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.programs: list[Program] = []
        self.parts: list[Part] = []
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._begun = time.monotonic()
        self._record = (Path(script).resolve().parent / "record.txt").open("w", encoding="utf-8")
        self.note(f"TROUBLE={int(self.trouble)}")

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._begun

    def note(self, text: str) -> None:
        """Write one line of the record."""
        self._record.write(f"{self.now:8.3f} {text}\n")
        self._record.flush()

    def later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something after a delay."""
        self._order += 1
        self.timers.append((time.monotonic() + delay_s, self._order, work))

    def operator(self, name: str, settings: str, **values: object) -> Program:
        """Start a process with the SIP front; the settings have values and ports in braces."""
        path = self.write(name, settings.format(**PORTS, name=name, **values))
        self.note(f"start {name}")
        return Program(self, name, f"--operator {path}")

    def write(self, name: str, settings: str) -> Path:
        """Write the operator's file of a process."""
        path = self.folder / f"{name}.toml"
        path.write_text(settings, encoding="utf-8")
        return path

    def run(self, seconds: float) -> None:
        """Let the stand-ins run for a time."""
        self.until(lambda: False, seconds)

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Let the stand-ins run until something holds; False if it does not in this time."""
        end = time.monotonic() + seconds
        while not done():
            now = time.monotonic()
            if now >= end:
                return False
            due = min((at for at, _, _ in self.timers), default=end)
            wait = max(0.0, min(end, due, now + 0.05) - now)
            owners = {fd: part for part in self.parts for fd in part.descriptors()}
            for fd in select.select(list(owners), [], [], wait)[0]:
                owners[fd].ready(fd)
            for timer in sorted(timer for timer in self.timers if timer[0] <= time.monotonic()):
                self.timers.remove(timer)
                timer[2]()
        return True

    def require(self, condition: bool, what: str) -> None:
        """End the script as one that could not run unless this holds."""
        if not condition:
            raise NotRun(what)

    def wait_for_start(self, programs: Sequence[Program], seconds: float = 20.0) -> None:
        """Wait until the processes serve."""
        self.require(
            self.until(lambda: all("SIP served at" in program.log() for program in programs), seconds),
            "a process did not start",
        )

    def get(self, address: Address, path: str) -> dict[str, object]:
        """Ask an operators' door."""
        with socket.create_connection(address, timeout=5) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: door\r\n\r\n".encode())
            data = b""
            while more := connection.recv(65536):
                data += more
        found = json.loads(data.partition(b"\r\n\r\n")[2])
        assert isinstance(found, dict)
        return found

    def close(self) -> None:
        """End all processes and remove the folder."""
        for program in self.programs:
            program.end()
        for part in self.parts:
            part.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Part:
    """A stand-in on the script's loop."""

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        raise NotImplementedError

    def ready(self, fd: int) -> None:
        """Something can be read."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all sockets."""


def main(script: str, play: Callable[[Case], list[str]]) -> None:
    """Play a case: it returns how the rule was broken, one line each."""
    case = Case(script)
    try:
        broken = play(case)
        for line in broken:
            case.note(f"BROKEN {line}")
        case.note("the rule was broken" if broken else "the rule held")
        status = BROKEN if broken else HELD
    except Exception as error:  # noqa: BLE001 - whatever goes wrong here is not the program's fault
        case.note(f"could not run: {type(error).__name__} {error}")
        for program in case.programs:
            case.note(f"log of {program.name}: {program.log()[-1500:]}")
        status = NOT_RUN
    finally:
        case.close()
    sys.exit(status)


class Call:
    """One call as its caller sees it."""

    def __init__(self, number: str, call_id: str) -> None:
        self.number, self.call_id = number, call_id
        self.finals: list[int] = []
        self.placed_at = self.answered_at = 0.0
        self.heard = False  # any response
        self.acked = False
        self.ended_at: float | None = None
        self.ended_by = ""
        self.to = self.target = ""
        self.next_cseq = 2

    @property
    def stands(self) -> bool:
        """Whether the caller takes it for a call that stands."""
        return self.finals[:1] == [200] and self.ended_at is None


class Callers(Part):
    """Callers at one address, over UDP or over one TCP connection.

    Over TCP they also listen at the address in their Contact, as RFC 3261 has it for requests in a dialog.
    """

    def __init__(self, case: Case, to: Address, number: int, transport: str = "udp") -> None:
        self.case, self.to, self.transport = case, to, transport
        self.calls: dict[str, Call] = {}
        self._ring = Ring(1 << 17)
        self.ack_delay_s = 0.0
        if transport == "udp":
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            self.sock.bind((host(number), 0))
        else:
            self.sock = socket.create_connection(to, source_address=(host(number), 0))
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.address: Address = self.sock.getsockname()
        self.contact = self.address
        self._listener: socket.socket | None = None
        self._links: dict[int, Link] = {}
        if transport == "tcp":
            self._listener = socket.create_server((host(number), 0))
            self.contact = self._listener.getsockname()
        self.closed = False
        case.parts.append(self)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        found = [] if self.closed else [self.sock.fileno()]
        return found + ([self._listener.fileno(), *self._links] if self._listener is not None else [])

    def close(self) -> None:
        """Close all sockets."""
        self._end_connection()
        if self._listener is not None:
            self._listener.close()
        for link in self._links.values():
            link.sock.close()

    def _end_connection(self) -> None:
        self.closed = True
        self.sock.close()

    def place(self, number: str, extra: Sequence[tuple[str, str]] = ()) -> Call:
        """Begin a call."""
        call = Call(number, f"{number}-{self.address[1]}@{self.address[0]}")
        self.calls[call.call_id] = call
        call.placed_at = self.case.now
        invite = self._request(call, "INVITE", 1, extra, b"v=0\r\ns=" + number.encode() + b"\r\n").encode()
        self.case.note(f"caller -> INVITE {number}")
        self._send(invite)
        if self.transport == "udp":
            self._repeat(call, invite, T1_S)
        return call

    def _repeat(self, call: Call, invite: bytes, delay_s: float) -> None:
        def again() -> None:
            if not call.heard and self.case.now - call.placed_at < TIMEOUT_S:
                self._send(invite)
                self._repeat(call, invite, 2 * delay_s)

        self.case.later(delay_s, again)

    def release(self, call: Call) -> None:
        """End a call that stands."""
        if call.stands:
            call.ended_at, call.ended_by = self.case.now, "caller"
            call.next_cseq += 1
            self.case.note(f"caller -> BYE {call.number}")
            self._send(self._request(call, "BYE", call.next_cseq - 1).encode())

    def _request(
        self, call: Call, method: str, cseq: int, extra: Sequence[tuple[str, str]] = (), body: bytes = b""
    ) -> Message:
        at, port = self.address
        branch = f"z9hG4bK{call.call_id.partition('@')[0]}{'' if method in ('INVITE', 'CANCEL') else method}"
        return request(method, call.target or f"sip:{call.number}@net", [
            ("Via", f"SIP/2.0/{self.transport.upper()} {at}:{port};branch={branch};rport"),
            ("Max-Forwards", "70"), ("From", f"<sip:caller@{at}>;tag=c{call.number}"),
            ("To", call.to or f"<sip:{call.number}@net>"), ("Call-ID", call.call_id),
            ("CSeq", f"{cseq} {method}"), *extra,
            ("Contact", f"<sip:caller@{at}:{self.contact[1]};transport={self.transport}>"),
        ], body)  # fmt: skip

    def _send(self, data: bytes, to: Address | None = None) -> None:
        with contextlib.suppress(OSError):
            if self.transport == "udp":
                self.sock.sendto(data, to or self.to)
            else:
                self.sock.sendall(data)

    def ready(self, fd: int) -> None:
        """Read a datagram, or what a connection has."""
        if self._listener is not None and (self.closed or fd != self.sock.fileno()):
            self._ready_at_contact(self._listener, fd)
            return
        source = self.to
        try:
            if self.transport == "udp":
                data, source = self.sock.recvfrom(65536)
            else:
                data = self.sock.recv(65536)
        except OSError:
            data = b""
        if self.transport == "udp":
            with contextlib.suppress(SipError):
                self._handle(parse_datagram(data), source)
            return
        if not data:
            self.case.note("caller: the connection has ended")
            self._end_connection()
            return
        self._ring.write(data)
        while (message := next_message(self._ring)) is not None:
            self._handle(message, source)

    def _ready_at_contact(self, listener: socket.socket, fd: int) -> None:
        if fd == listener.fileno():
            accepted, _ = listener.accept()
            self._links[accepted.fileno()] = Link(accepted)
            return
        link = self._links[fd]
        try:
            data = link.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            del self._links[fd]
            link.sock.close()
            return
        link.ring.write(data)
        while (message := next_message(link.ring)) is not None:
            self._handle(message, link.sock.getpeername(), link)

    def _handle(self, message: Message, source: Address, link: Link | None = None) -> None:
        call = self.calls.get(message.call_id)
        if call is None:
            return
        if message.is_request:
            answer = response(message, 200).encode()
            if link is None:
                self._send(answer, source)
            else:
                link.send(answer)
            if message.method == "BYE":
                self.case.note(f"caller <- BYE {call.number} from {source[0]} {message.get('Reason') or ''}")
                if call.ended_at is None:
                    call.ended_at, call.ended_by = self.case.now, "border controller"
            return
        call.heard = True
        if message.cseq[1] != "INVITE" or message.status < 200:
            return
        if message.status not in call.finals:
            self.case.note(f"caller <- {message.status} {call.number}")
            call.finals.append(message.status)
            call.answered_at = call.answered_at or self.case.now
        call.to = message.need("To")
        contact = message.get("Contact")
        ack = self._request(call, "ACK", 1)
        if message.status >= 300:
            via = ack.headers[0][1].replace("ACK;rport", ";rport")
            ack.headers[0] = ("Via", via)
        elif contact:
            call.target = uri_of(contact)
            ack = self._request(call, "ACK", 1)
        call.acked = True
        if self.ack_delay_s:
            self.case.later(self.ack_delay_s, lambda: self._send(ack.encode()))
        else:
            self._send(ack.encode())


class Attempt:
    """One INVITE as a call server sees it."""

    def __init__(self, server: str, number: str, at: float, message: Message) -> None:
        self.server, self.number, self.begun_at, self.message = server, number, at, message
        self.cancelled_at: float | None = None  # CANCEL came
        self.answered_at: float | None = None  # 200 was sent
        self.refused_at: float | None = None  # another final answer was sent
        self.confirmed_at: float | None = None  # ACK of the 200 came
        self.ended_at: float | None = None  # BYE came or was sent
        self.repeats = 0
        self.send: Callable[[bytes], bool] = lambda _: False  # towards its border controller

    @property
    def over_at(self) -> float | None:
        """When its end was written or it was given up."""
        return min((at for at in (self.cancelled_at, self.refused_at, self.ended_at) if at), default=None)


class Link:
    """A TCP connection of a call server."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.ring, self.open = sock, Ring(1 << 17), True

    def send(self, data: bytes) -> bool:
        """Write; whether the connection is still up."""
        if self.open:
            try:
                self.sock.sendall(data)
                return True
            except OSError:
                self.open = False
        return False


class Server(Part):
    """A call server as RFC 3261 has it: 100 at once, 200 after a while and again until its ACK comes.

    Over TCP a response goes on the connection of its request while that is open, else on a new one to the
    address in the top Via (18.2.2).
    """

    def __init__(
        self, case: Case, address: Address, transport: str = "udp", answer_after_s: float = 0.05,
        listen: bool = True,
    ) -> None:  # fmt: skip
        self.case, self.address, self.transport = case, address, transport
        self.answer_after_s: float | Callable[[str], float] = answer_after_s
        self.name = f"{address[0]}:{address[1]}"
        self.attempts: dict[str, Attempt] = {}
        self._answers: dict[str, bytes] = {}
        self._links: dict[int, Link] = {}
        self._sock: socket.socket | None = None
        if listen:
            self.listen()
        case.parts.append(self)

    def listen(self) -> None:
        """Begin to serve."""
        if self.transport == "udp":
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            self._sock.bind(self.address)
        else:
            self._sock = socket.create_server(self.address, backlog=64)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        return [self._sock.fileno(), *self._links] if self._sock is not None else []

    def close(self) -> None:
        """Close all sockets, as a process that ends."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        for link in self._links.values():
            link.sock.close()
        self._links.clear()

    @property
    def standing(self) -> list[Attempt]:
        """The calls that stand here."""
        return [one for one in self.attempts.values() if one.answered_at and one.ended_at is None]

    def ready(self, fd: int) -> None:
        """Read what has come."""
        if self._sock is None:
            return
        if self.transport == "udp":
            sock = self._sock
            data, source = sock.recvfrom(65536)
            with contextlib.suppress(SipError):
                self._handle(parse_datagram(data), lambda wire: bool(sock.sendto(wire, source)))
        elif fd == self._sock.fileno():
            accepted, _ = self._sock.accept()
            self._links[accepted.fileno()] = Link(accepted)
        else:
            self._read(self._links[fd])

    def _read(self, link: Link) -> None:
        try:
            data = link.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.case.note(f"{self.name}: a connection has ended")
            link.open = False
            self._links = {fd: one for fd, one in self._links.items() if one is not link}
            link.sock.close()
            return
        link.ring.write(data)
        while (message := next_message(link.ring)) is not None:
            self._handle(message, self._sender(message, link))

    def _sender(self, message: Message, link: Link) -> Callable[[bytes], bool]:
        def send(data: bytes) -> bool:
            if link.send(data):
                return True
            at, port = split_host_port((message.get("Via") or "").partition(";")[0].split()[-1])
            self.case.note(f"{self.name}: answers on a new connection")
            try:
                sock = socket.create_connection((at, int(port)), timeout=1)
            except OSError:
                return False
            again = self._links[sock.fileno()] = Link(sock)
            return again.send(data)

        return send

    def _handle(self, message: Message, send: Callable[[bytes], bool]) -> None:
        if not message.is_request:
            return
        attempt = self.attempts.get(message.call_id)
        if message.method == "INVITE" and attempt is None:
            self._begin(message, send)
        elif message.method == "INVITE" and attempt is not None:
            attempt.repeats += 1
            if message.call_id in self._answers:
                send(self._answers[message.call_id])
        elif message.method == "ACK" and attempt is not None:
            if attempt.confirmed_at is None and attempt.answered_at is not None:
                self.case.note(f"{self.name} <- ACK {attempt.number}")
                attempt.confirmed_at = self.case.now
        elif message.method in ("CANCEL", "BYE"):
            known = attempt is not None and attempt.ended_at is None
            send(response(message, 200 if known else 481, tag="s").encode())
            if attempt is not None:
                self.case.note(f"{self.name} <- {message.method} {attempt.number}")
                self._end(attempt, message.method, send)

    def _end(self, attempt: Attempt, method: str, send: Callable[[bytes], bool]) -> None:
        if method == "BYE":
            attempt.ended_at = attempt.ended_at or self.case.now
        elif attempt.answered_at is None and attempt.cancelled_at is None:
            attempt.cancelled_at = self.case.now
            self._final(attempt, 487, send)

    def _begin(self, message: Message, send: Callable[[bytes], bool]) -> None:
        number = user_of(message.uri)
        attempt = Attempt(self.name, number, self.case.now, message)
        self.attempts[message.call_id] = attempt
        attempt.send = send
        self.case.note(f"{self.name} <- INVITE {number}")
        send(response(message, 100).encode())
        after = self.answer_after_s

        def answer() -> None:
            if attempt.over_at is None and self._sock is not None:
                self._final(attempt, 200, send)

        self.case.later(after(number) if callable(after) else after, answer)

    def _final(self, attempt: Attempt, status: int, send: Callable[[bytes], bool]) -> None:
        extra = [("Contact", f"<sip:agent@{self.name};transport={self.transport}>")] if status == 200 else []
        wire = response(attempt.message, status, extra, b"v=0\r\n" if status == 200 else b"", "s").encode()
        self._answers[attempt.message.call_id] = wire
        self.case.note(f"{self.name} -> {status} {attempt.number}")
        if status == 200:
            attempt.answered_at = self.case.now
            self._repeat(attempt, wire, send, T1_S)
        else:
            attempt.refused_at = self.case.now
        send(wire)

    def _repeat(self, attempt: Attempt, wire: bytes, send: Callable[[bytes], bool], delay_s: float) -> None:
        """Send a 200 again until its ACK comes (13.3.1.4, over any transport)."""

        def again() -> None:
            if attempt.confirmed_at is None and attempt.ended_at is None and self._sock is not None:
                send(wire)
                self._repeat(attempt, wire, send, min(2 * delay_s, T2_S))

        self.case.later(delay_s, again)

    def die(self) -> None:
        """End as a process that dies: its connections are reset, and nothing listens there any more."""
        self.case.note(f"{self.name} dies, {len(self.standing)} calls stand there")
        if self._sock is not None:
            self._sock.close()
            self._sock = None
        for link in self._links.values():
            reset(link.sock)
        self._links.clear()

    def release(self, attempt: Attempt) -> None:
        """End a call that stands."""
        invite = attempt.message
        attempt.ended_at = self.case.now
        target = uri_of(invite.need("Contact"))
        to = response(invite, 200, tag="s").need("To")
        bye = request("BYE", target, [
            ("Via", f"SIP/2.0/{self.transport.upper()} {self.name};branch=z9hG4bKb{attempt.number}"),
            ("Max-Forwards", "70"),
            ("From", to), ("To", invite.need("From")), ("Call-ID", invite.call_id), ("CSeq", "1 BYE"),
            ("Reason", "Q.850;cause=16"),
        ])  # fmt: skip
        self.case.note(f"{self.name} -> BYE {attempt.number}")
        attempt.send(bye.encode())


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class ResetProxy(Part):
    """Passes TCP connections on to one call server, and resets those that are up when told."""

    def __init__(self, case: Case, address: Address, to: Address) -> None:
        self.case, self.address, self.to = case, address, to
        self._listener = socket.create_server(address, backlog=64)
        self._other: dict[socket.socket, socket.socket] = {}
        self._forgotten: set[socket.socket] = set()
        case.parts.append(self)

    def descriptors(self) -> list[int]:
        """The descriptors to wait for."""
        return [self._listener.fileno(), *(sock.fileno() for sock in self._other)]

    def forget(self) -> None:
        """Forget the connections that are up: whoever writes on one of them gets a reset."""
        self.case.note(f"proxy: {len(self._other) // 2} connections to {self.to[0]} are forgotten")
        self._forgotten |= self._other.keys()

    def ready(self, fd: int) -> None:
        """Accept a connection, or pass on what one has."""
        if fd == self._listener.fileno():
            inner, _ = self._listener.accept()
            outer = socket.create_connection(self.to)
            for sock in (inner, outer):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._other |= {inner: outer, outer: inner}
            return
        sock = next((sock for sock in self._other if sock.fileno() == fd), None)
        if sock is None:
            return
        if sock in self._forgotten:
            self.case.note("proxy: data on a forgotten connection: reset")
            del self._other[sock]
            reset(sock)
            return
        try:
            data = sock.recv(65536)
            if data:
                self._other[sock].sendall(data)
                return
        except OSError:
            pass
        for one in (sock, self._other.pop(sock)):
            self._other.pop(one, None)
            one.close()

    def reset(self) -> None:
        """Reset all connections that are up, both ways; new ones are passed on as before."""
        self.case.note(f"proxy: {len(self._other) // 2} connections to {self.to[0]} are reset")
        for sock in self._other:
            reset(sock)
        self._other.clear()

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        for sock in self._other:
            sock.close()
