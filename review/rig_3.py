"""What the scripts of the third review share: processes, a record, SIP messages, UDP and TCP peers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
TOKENS = itertools.count(1)
GIVEN_PORTS: set[int] = set()


class CannotRunError(Exception):
    """The case could not be played: what it needs did not come about."""


def free_port() -> int:
    """A port free for TCP and UDP, below those that the system gives to outgoing connections."""
    for port in random.SystemRandom().sample(range(12_000, 30_000), 200):
        if port in GIVEN_PORTS:
            continue
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            GIVEN_PORTS.add(port)
            return port
    raise CannotRunError("no free port")


class Rig:
    """The record, a temporary folder, and the processes that a case has started."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.time()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.faults: list[str] = []
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        """Write one line to the record, with the seconds since the start."""
        self._file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self._file.flush()

    def broken(self, text: str) -> None:
        """Record that the rule was broken."""
        self.faults.append(text)
        self.note(f"BROKEN: {text}")

    def start(self, name: str, arguments: str = "", **env: str) -> subprocess.Popen[bytes]:
        """Start a border controller by the ``run`` line of the deploy file, with further arguments."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (self.tmp / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}"], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, env={**os.environ, "TMPDIR": str(self.tmp), **env},
        )  # fmt: skip
        self._processes[name] = process
        self.note(f"started {name} {arguments}")
        return process

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this case."""
        self.note(f"{number.name} to {name}")
        self._processes[name].send_signal(number)

    def log_of(self, name: str) -> str:
        """What a process has written so far."""
        return (self.tmp / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def ended(self, name: str) -> bool:
        """Whether a process has ended."""
        return self._processes[name].poll() is not None

    def close(self) -> None:
        """End all processes, keep their logs in the record, and remove the folder."""
        for process in self._processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for name in dict.fromkeys(self._processes):
            for line in self.log_of(name).splitlines()[-40:]:
                self._file.write(f"log of {name}: {line[:600]}\n")
        self._file.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


def play(folder: Path, case: Callable[[Rig], Awaitable[None]], limit: float = 110.0) -> None:
    """Play a case and exit with 0 where the rule held, 1 where it was broken, 2 where it could not run."""
    rig = Rig(folder)
    result = NOT_RUN
    try:
        asyncio.run(asyncio.wait_for(case(rig), limit))
        result = BROKEN if rig.faults else HELD
    except (CannotRunError, TimeoutError, OSError) as error:
        rig.note(f"could not run: {type(error).__name__} {error}")
    finally:
        rig.note(f"exit {result}")
        rig.close()
    for fault in rig.faults[:5]:
        print(fault)
    print(("held", "BROKEN", "could not run")[result])
    sys.stdout.flush()
    os._exit(result)  # what is still open needs no orderly end


async def until(what: str, check: Callable[[], bool], limit: float = 20.0, step: float = 0.05) -> None:
    """Wait until something holds."""
    end = time.monotonic() + limit
    while not check():
        if time.monotonic() > end:
            raise CannotRunError(f"not within {limit} s: {what}")
        await asyncio.sleep(step)


async def http_get(port: int, path: str, method: str = "GET") -> tuple[int, str]:
    """One call at the operators' door."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        status = int(head.split()[1])
        length = 0
        for line in head.decode().split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        return status, (await asyncio.wait_for(reader.readexactly(length), 3)).decode()
    finally:
        writer.close()


async def door_json(port: int, path: str) -> dict[str, object]:
    """An answer of the operators' door; empty where it does not answer."""
    try:
        status, body = await http_get(port, path)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return {}
    return json.loads(body) if status == 200 else {}


# --- SIP ---


@dataclass
class Sip:
    """A SIP message."""

    first: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str:
        """The first value of a header; empty where there is none."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    def all(self, name: str) -> list[tuple[str, str]]:
        """All headers of a name."""
        return [(key, value) for key, value in self.headers if key.lower() == name.lower()]

    @property
    def status(self) -> int:
        """The status of a response, 0 for a request."""
        return int(self.first.split()[1]) if self.first.startswith("SIP/2.0") else 0

    @property
    def method(self) -> str:
        """The method, also of the request that a response answers."""
        return self.get("CSeq").split()[-1]

    @property
    def tag(self) -> str:
        """The tag in To."""
        _, found, rest = self.get("To").partition(";tag=")
        return rest.partition(";")[0] if found else ""

    def encode(self) -> bytes:
        """The bytes on the wire."""
        lines = [self.first, *(f"{k}: {v}" for k, v in self.headers), f"Content-Length: {len(self.body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body

    def answer(self, status: int, extra: list[tuple[str, str]] | None = None, body: bytes = b"") -> Sip:
        """A response to this request; it has a tag from 101 on."""
        to = self.get("To")
        if status > 100 and ";tag=" not in to:
            to += f";tag=s{abs(hash(self.get('Call-ID'))) % 10**9}"
        headers = [
            *self.all("Via"), ("From", self.get("From")), ("To", to),
            ("Call-ID", self.get("Call-ID")), ("CSeq", self.get("CSeq")), *(extra or []),
        ]  # fmt: skip
        reasons = {100: "Trying", 180: "Ringing", 200: "OK", 487: "Terminated", 503: "Full"}
        return Sip(f"SIP/2.0 {status} {reasons.get(status, 'Answer')}", headers, body)


def parse(data: bytes) -> Sip:
    """Read a message of which all bytes are there."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = []
    for line in lines:
        key, _, value = line.partition(":")
        if key.lower() != "content-length":
            headers.append((key.strip(), value.strip()))
    return Sip(first, headers, body)


async def read_message(reader: asyncio.StreamReader) -> Sip:
    """Read one message from a stream."""
    head = b""
    while not head.strip():
        head = await reader.readuntil(b"\r\n")
    head += await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.decode().split("\r\n"):
        if line.lower().startswith("content-length:"):
            length = int(line.split(":")[1])
    return parse(head + (await reader.readexactly(length) if length else b""))


class Udp(asyncio.DatagramProtocol):
    """A UDP socket that passes each message to a callback."""

    def __init__(self, on_message: Callable[[Sip, tuple[str, int]], None]) -> None:
        self._on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls, on_message: Callable[[Sip, tuple[str, int]], None], address: tuple[str, int] = (HOST, 0)
    ) -> Udp:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        _, found = await loop.create_datagram_endpoint(lambda: cls(on_message), local_addr=address)
        return found

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    @property
    def address(self) -> tuple[str, int]:
        """Where it is bound."""
        return self.transport.get_extra_info("sockname")[:2]  # type: ignore[union-attr]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message on."""
        if data.strip():
            self._on_message(parse(data), addr)

    def send(self, message: Sip, to: tuple[str, int]) -> None:
        """Send a message."""
        self.transport.sendto(message.encode(), to)  # type: ignore[union-attr]


@dataclass
class Call:
    """A call as its caller sees it."""

    name: str
    number: str
    branch: str
    to: tuple[str, int]
    sent_at: float = 0.0
    heard: bool = False  # a response came: the INVITE is not repeated any more
    finals: list[tuple[float, int, str]] = field(default_factory=list)  # time, status, To tag
    remote: str = ""  # To with its tag
    target: str = ""
    contact: tuple[str, int] = (HOST, 0)
    byes: list[tuple[float, tuple[str, int]]] = field(default_factory=list)
    hung_up_at: float = 0.0
    bye_status: int = 0
    body: bytes = b""

    @property
    def stands(self) -> bool:
        """Whether it was answered."""
        return bool(self.finals) and self.finals[0][1] == 200


class Caller:
    """A telephone system over UDP: INVITE with retransmissions, ACK, BYE (RFC 3261)."""

    def __init__(self, rig: Rig) -> None:
        self._rig, self.calls = rig, {}  # type: ignore[var-annotated]
        self._tasks: set[asyncio.Task[None]] = set()
        self.udp: Udp

    async def open(self) -> None:
        """Open its socket."""
        self.udp = await Udp.open(self._received)

    def call(self, to: tuple[str, int], number: str = "", expires: int = 0) -> Call:
        """Begin a call."""
        token = next(TOKENS)
        name = f"call{token}-{os.getpid()}"
        call = Call(name, number or f"07{token:06}", f"z9hG4bK{name}", to, time.time())
        self.calls[name] = call
        call.body = f"v=0\r\ns={name}\r\n".encode()
        invite = self._request(call, "INVITE", 1, f"sip:{call.number}@net")
        invite.headers.append(("Content-Type", "application/sdp"))
        if expires:
            invite.headers.append(("Expires", str(expires)))
        invite.body = call.body
        self._rig.note(f"caller: INVITE {name} to {to[1]}, number {call.number}")
        self._spawn(self._repeat(call, invite, lambda: call.heard))
        return call

    def hang_up(self, call: Call) -> None:
        """Release an answered call."""
        call.hung_up_at = time.time()
        self._rig.note(f"caller: BYE {call.name}")
        self._spawn(
            self._repeat(call, self._request(call, "BYE", 2, call.target), lambda: call.bye_status > 0)
        )

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)  # type: ignore[arg-type]
        task.add_done_callback(self._tasks.discard)  # type: ignore[arg-type]

    async def _repeat(self, call: Call, message: Sip, done: Callable[[], bool]) -> None:
        gap = 0.5
        to = call.to if message.method == "INVITE" else call.contact
        self.udp.send(message, to)
        while gap <= 16:
            await asyncio.sleep(gap)
            if done():
                return
            self.udp.send(message, to)
            gap *= 2

    def _request(self, call: Call, method: str, number: int, uri: str) -> Sip:
        host, port = self.udp.address
        branch = call.branch if method == "INVITE" else f"{call.branch}{method}"
        headers = [
            ("Via", f"SIP/2.0/UDP {host}:{port};branch={branch};rport"), ("Max-Forwards", "70"),
            ("From", f"<sip:{call.name}@{host}>;tag=c{call.name}"),
            ("To", call.remote or f"<sip:{call.number}@net>"),
            ("Call-ID", call.name), ("CSeq", f"{number} {method}"),
            ("Contact", f"<sip:{call.name}@{host}:{port}>"),
        ]  # fmt: skip
        return Sip(f"{method} {uri} SIP/2.0", headers)

    def _received(self, message: Sip, source: tuple[str, int]) -> None:
        call = self.calls.get(message.get("Call-ID"))
        if call is None:
            return
        if not message.status:
            if message.method == "BYE":
                self._rig.note(f"caller: BYE of {call.name} from {source[1]} {message.get('Reason')}")
                call.byes.append((time.time(), source))
                self.udp.send(message.answer(200), source)
            return
        if message.method == "BYE":
            call.bye_status = call.bye_status or message.status
            self._rig.note(f"caller: {message.status} to BYE {call.name}")
        if message.method != "INVITE":
            return
        call.heard = True
        if message.status < 200:
            return
        if message.status not in [status for _, status, _ in call.finals]:
            self._rig.note(f"caller: {message.status} to {call.name}")
            call.finals.append((time.time(), message.status, message.tag))
        if message.status == 200:
            call.remote = message.get("To")
            call.target = message.get("Contact").strip("<>")
            host, _, port = call.target.removeprefix("sip:").split("@")[-1].partition(";")[0].rpartition(":")
            call.contact = (host, int(port))
        ack = self._request(call, "ACK", 1, call.target or f"sip:{call.number}@net")
        if message.status >= 300:
            ack.headers[0] = ("Via", ack.headers[0][1].replace("ACK;", ";"))
            ack.headers[3] = ("To", message.get("To"))
        self.udp.send(ack, call.contact if message.status == 200 else call.to)


@dataclass
class Taken:
    """A set-up as a call server sees it."""

    call_id: str
    number: str
    at: float
    invite: Sip
    answered_at: float = 0.0
    refused_at: float = 0.0
    acked_at: float = 0.0
    cancelled_at: float = 0.0
    byes: list[tuple[float, tuple[str, int]]] = field(default_factory=list)

    @property
    def out(self) -> bool:
        """Whether it is neither answered, refused nor given up."""
        return not (self.answered_at or self.refused_at or self.cancelled_at)


class UdpServer:
    """A call server over UDP: 100, 200 after 50 ms, repeated until the ACK."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.calls: dict[str, Taken] = {}
        self.udp: Udp

    async def open(self) -> None:
        """Open its socket."""
        self.udp = await Udp.open(self._received)

    def _received(self, message: Sip, source: tuple[str, int]) -> None:
        name = message.get("Call-ID")
        taken = self.calls.get(name)
        if message.status:
            return
        match message.method:
            case "INVITE" if taken is None:
                number = message.first.split()[1].removeprefix("sip:").partition("@")[0]
                self.calls[name] = taken = Taken(name, number, time.time(), message)
                self._rig.note(f"server: INVITE {name} from {source[1]}, number {number}")
                self.udp.send(message.answer(100), source)
                asyncio.ensure_future(self._answer(taken, source))
            case "ACK" if taken is not None:
                taken.acked_at = taken.acked_at or time.time()
            case "CANCEL":
                # The set-up has run, its answer is on its way: a CANCEL has no effect (RFC 3261, 9.2).
                self._rig.note(f"server: CANCEL of {name}")
                self.udp.send(message.answer(200), source)
                if taken is not None:
                    taken.cancelled_at = taken.cancelled_at or time.time()
            case "BYE":
                self._rig.note(f"server: BYE of {name} from {source[1]} {message.get('Reason')}")
                if taken is not None:
                    taken.byes.append((time.time(), source))
                self.udp.send(message.answer(200), source)
            case _:
                pass

    def delay(self, taken: Taken) -> float:
        """How long it works on a set-up."""
        return 0.05

    async def _answer(self, taken: Taken, to: tuple[str, int]) -> None:
        await asyncio.sleep(self.delay(taken))
        host, port = self.udp.address
        extra = [
            ("Contact", f"<sip:server@{host}:{port};transport=udp>"),
            ("Content-Type", "application/sdp"),
        ]
        answer = taken.invite.answer(200, extra, b"v=0\r\ns=server\r\n")
        taken.answered_at, gap = time.time(), 0.5
        while not taken.acked_at and gap <= 16:
            self.udp.send(answer, to)
            await asyncio.sleep(gap)
            gap = min(2 * gap, 4)
