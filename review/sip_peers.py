"""SIP stand-ins of the cases: callers, a call server, the program with an operator's file."""

from __future__ import annotations

import asyncio
import json
import random
import re
import signal
import subprocess
import tomllib
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from platform_peers import HOST, NEVER, ROOT, Recorder, free_port

FILE = """
[sip]
listen = "{host}:{sip}"

[door]
control = "{host}:{door}"

[pool]
servers = ["udp:{server}"]
{group}
[[class]]
name = "quote-call"
worth = 1.0
late_share = 0.25
aim_ms = 1200
give_up_ms = 9000
prefixes = []
"""
MEMBERS = """
[members]
name = "{name}"
group = "calls"
listen = "{host}:{member}"
ways_in = [{ways_in}]
roster = [{roster}]
"""
REPLICAS = """
[replicas]
faults = 1
folder = "copies"
sync = true
wait_ms = 100
"""


def header(message: str, name: str) -> str:
    """The first value of a header, or nothing."""
    found = re.search(rf"(?im)^{name}[ \t]*:[ \t]*(.*?)\r$", message)
    return found[1] if found else ""


def reply(message: str, status: str, tag: str = "", extra: str = "", body: str = "") -> bytes:
    """Encode the response to a request."""
    to = header(message, "To")
    if tag and "tag=" not in to:
        to += f";tag={tag}"
    vias = "".join(f"Via: {via}\r\n" for via in re.findall(r"(?im)^Via[ \t]*:[ \t]*(.*?)\r$", message))
    return (
        f"SIP/2.0 {status}\r\n{vias}From: {header(message, 'From')}\r\nTo: {to}\r\n"
        f"Call-ID: {header(message, 'Call-ID')}\r\nCSeq: {header(message, 'CSeq')}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


@dataclass(slots=True)
class SipCall:
    """A call as one side sees it."""

    name: str
    stands_at: float = NEVER
    released_at: float = NEVER
    released_by: int = 0  # the port that the release came from


class SipPeer(asyncio.DatagramProtocol):
    """A user agent over UDP; retransmissions of requests are answered again and counted once."""

    side = ""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.calls: dict[str, SipCall] = {}  # by Call-ID
        self.members: dict[int, str] = {}  # names by port, for the record
        self._transport: asyncio.DatagramTransport | None = None
        self.port = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self.port = transport.get_extra_info("sockname")[1]

    def error_received(self, exc: Exception) -> None:
        """Ignore that a port is closed."""

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram."""
        assert self._transport is not None
        self._transport.sendto(data, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a message and handle it."""
        message, first = data.decode(), data.decode().split("\r\n")[0]
        sender = self.members.get(addr[1], str(addr[1]))
        call = header(message, "Call-ID")
        self.recorder.note(f"{self.side}: from {sender}: {first} [{header(message, 'CSeq')}] call {call}")
        if first.startswith("BYE "):
            self.send(reply(message, "200 OK"), addr)
            known = self.calls.get(call)
            if known is not None and known.released_at == NEVER:
                known.released_at, known.released_by = self.recorder.now, addr[1]
        else:
            self.handle(message, first, addr)

    def handle(self, message: str, first: str, addr: tuple[str, int]) -> None:
        """Handle what only one side gets."""


class SipServer(SipPeer):
    """A call server: each call stands at once and goes on until it is released."""

    side = "server"

    def handle(self, message: str, first: str, addr: tuple[str, int]) -> None:
        """Answer set-ups, also repeated ones, and note which calls were acknowledged."""
        name = header(message, "Call-ID")
        if first.startswith("INVITE "):
            self.calls.setdefault(name, SipCall(name))
            contact = f"Contact: <sip:server@{HOST}:{self.port}>\r\nContent-Type: application/sdp\r\n"
            self.send(reply(message, "100 Trying"), addr)
            self.send(reply(message, "200 OK", "server", contact, "v=0\r\n"), addr)
        elif first.startswith("ACK ") and name in self.calls:
            self.calls[name].stands_at = min(self.calls[name].stands_at, self.recorder.now)


class SipCaller(SipPeer):
    """A caller: it acknowledges answers and never hangs up by itself."""

    side = "caller"

    def set_up(self, to: int) -> SipCall:
        """Send an INVITE."""
        name = f"{random.getrandbits(64):016x}"
        call = self.calls[name] = SipCall(name)
        here, branch = f"{HOST}:{self.port}", f"z9hG4bK{random.getrandbits(48):x}"
        self.recorder.note(f"caller: set-up {name} to {self.members[to]}")
        self.send(
            (
                f"INVITE sip:100@{HOST}:{to} SIP/2.0\r\nVia: SIP/2.0/UDP {here};branch={branch}\r\n"
                f"Max-Forwards: 70\r\nFrom: <sip:caller@{HOST}>;tag={random.getrandbits(32):x}\r\n"
                f"To: <sip:100@{HOST}>\r\nCall-ID: {name}\r\nCSeq: 1 INVITE\r\n"
                f"Contact: <sip:caller@{here}>\r\nContent-Type: application/sdp\r\n"
                "Content-Length: 5\r\n\r\nv=0\r\n"
            ).encode(),
            (HOST, to),
        )
        return call

    def handle(self, message: str, first: str, addr: tuple[str, int]) -> None:
        """Acknowledge a 200, also a repeated one."""
        call = self.calls.get(header(message, "Call-ID"))
        if call is None or not first.startswith("SIP/2.0 2") or "INVITE" not in header(message, "CSeq"):
            return
        call.stands_at = min(call.stands_at, self.recorder.now)
        target = re.search(r"sip:[^>;]*", header(message, "Contact"))
        assert target is not None
        branch = f"z9hG4bK{random.getrandbits(48):x}"
        self.send(
            (
                f"ACK {target[0]} SIP/2.0\r\nVia: SIP/2.0/UDP {HOST}:{self.port};branch={branch}\r\n"
                f"Max-Forwards: 70\r\nFrom: {header(message, 'From')}\r\nTo: {header(message, 'To')}\r\n"
                f"Call-ID: {call.name}\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n"
            ).encode(),
            addr,
        )


@dataclass(slots=True)
class Member:
    """One border controller, alone or in a group: the deploy file's ``run`` line with an operator's file."""

    recorder: Recorder
    name: str
    folder: Path
    sip: int = field(default_factory=free_port)
    door: int = field(default_factory=free_port)
    member: int = field(default_factory=free_port)
    process: subprocess.Popen[bytes] | None = None

    def start(self, group: list[Member], server: str, replicas: bool) -> None:
        """Write the file and start the process."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "operator.toml"
        members = ""
        if group:
            members = MEMBERS.format(
                host=HOST,
                member=self.member,
                name=self.name,
                ways_in=", ".join(f'"{HOST}:{other.member}"' for other in group if other is not self),
                roster=", ".join(f'"{other.name}"' for other in group),
            )
        text = FILE.format(
            host=HOST,
            sip=self.sip,
            door=self.door,
            server=server,
            group=members + (REPLICAS if replicas else ""),
        )
        path.write_text(text, encoding="utf-8")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = f"{tomllib.load(file)['run']} --operator {path}"
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.recorder.note(f"{self.name} is started")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.recorder.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def ask(self, path: str) -> dict[str, Any]:
        """What the operators' door answers; empty where it does not."""

        def get() -> dict[str, Any]:
            try:
                with urllib.request.urlopen(f"http://{HOST}:{self.door}{path}", timeout=2) as answer:
                    found: dict[str, Any] = json.load(answer)
                    return found
            except (OSError, ValueError):
                return {}

        return await asyncio.to_thread(get)

    def close(self) -> None:
        """End the process and append its log to the record."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            text = (self.folder / "log").read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                self.recorder.note(f"log of {self.name}: {line.replace(str(self.folder), self.name)}")
