"""Callers over UDP: calls begin at instants drawn beforehand, whatever became of those before (open loop).

callers = Callers(to, rate=20.0, seed=1)
callers.start(now, timedelta(seconds=10))
callers.pump(now)
callers.calls["c1"].final, callers.faults()
"""

from __future__ import annotations

import heapq
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.sip.message import Message, SipError, parameter, parse_datagram, request, response, uri_of

HOST = "127.0.0.1"
T1 = timedelta(milliseconds=500)
LONGEST_WAIT = timedelta(seconds=32)


@dataclass(slots=True)
class Placed:
    """One call, as its caller sees it."""

    name: str
    number: str
    began: datetime
    branch: str
    finals: list[int] = field(default_factory=list)  # each one that is not a copy of the one before
    answered: datetime | None = None
    invite: bytes = b""
    to: str = ""
    target: str = ""
    released: bool = False
    ended: datetime | None = None  # by a BYE that came
    byes: int = 0  # that came
    heard: bool = False  # anything at all

    @property
    def final(self) -> int | None:
        """How it ended."""
        return self.finals[0] if self.finals else None


class Callers:
    """All calls of one socket."""

    def __init__(
        self,
        to: tuple[str, int],
        rate: float,
        seed: int = 1,
        hold: timedelta = timedelta(seconds=1),
        number: Callable[[random.Random], str] = lambda rng: f"0{rng.randrange(10**6):06}",
    ) -> None:
        self.to, self.rate, self.hold, self._number = to, rate, hold, number
        self.calls: dict[str, Placed] = {}
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._due: list[tuple[datetime, int, Callable[[datetime], None]]] = []
        self._order = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._sock.bind((HOST, 0))
        self._sock.setblocking(False)
        self._seed = seed

    def start(self, now: datetime, span: timedelta) -> None:
        """Draw the instants of the calls of a span; it may be called again when that is over."""
        at = now
        while (at := at + timedelta(seconds=self._rng.expovariate(self.rate))) < now + span:
            self._later(at, self._call)

    def descriptors(self) -> list[int]:
        """What to wait for."""
        return [self._sock.fileno()]

    def pump(self, now: datetime) -> bool:
        """Begin the calls that are due, take what has come."""
        busy = False
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2](now)
            busy = True
        while True:
            try:
                data, source = self._sock.recvfrom(65536)
            except BlockingIOError:
                return busy
            except OSError:
                continue
            busy = True
            try:
                self._take(now, parse_datagram(data), source)
            except SipError:
                self.counts["malformed"] += 1

    # --- what came of it ---

    def faults(self) -> list[str]:
        """Calls without their one final answer, in words."""
        found = []
        for call in self.calls.values():
            if not call.finals:
                found.append(f"{call.name}: no final answer")
            elif len(set(call.finals)) > 1:
                found.append(f"{call.name}: final answers {call.finals}")
        return found

    def share(self, since: datetime, until: datetime) -> float:
        """The share of the calls begun in a span that came to stand."""
        begun = [call for call in self.calls.values() if since <= call.began < until]
        return sum(call.final == 200 for call in begun) / len(begun) if begun else 1.0

    def delays(self) -> list[float]:
        """How long each answer took that let a call stand, in seconds from its drawn instant."""
        return [
            (call.answered - call.began).total_seconds()
            for call in self.calls.values()
            if call.answered is not None and call.final == 200
        ]

    # --- calls ---

    def _later(self, at: datetime, work: Callable[[datetime], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, work))

    def _call(self, now: datetime) -> None:
        name = f"s{self._seed}c{len(self.calls) + 1}"
        call = self.calls[name] = Placed(name, self._number(self._rng), now, f"z9hG4bK{name}")
        call.invite = self._request(call, "INVITE", 1, body=name.encode()).encode()
        self.counts["calls"] += 1
        self._send(call.invite)
        self._repeat(now, call, T1)

    def _repeat(self, now: datetime, call: Placed, span: timedelta) -> None:
        def again(at: datetime) -> None:
            if not call.heard and at - call.began < LONGEST_WAIT:
                self.counts["repeats"] += 1
                self._send(call.invite)
                self._repeat(at, call, 2 * span)

        self._later(now + span, again)

    def _request(self, call: Placed, method: str, number: int, body: bytes = b"") -> Message:
        host, port = self._sock.getsockname()
        branch = call.branch if method == "INVITE" else f"{call.branch}{method}"
        headers = [
            ("Via", f"SIP/2.0/UDP {host}:{port};branch={branch};rport"), ("Max-Forwards", "70"),
            ("From", f"<sip:{call.name}@{host}>;tag={call.name}"),
            ("To", call.to or f"<sip:{call.number}@net>"),
            ("Call-ID", call.name), ("CSeq", f"{number} {method}"),
            ("Contact", f"<sip:{call.name}@{host}:{port}>"),
        ]  # fmt: skip
        return request(method, call.target or f"sip:{call.number}@net", headers, body)

    def _take(self, now: datetime, message: Message, source: tuple[str, int]) -> None:
        call = self.calls.get(message.call_id)
        if call is None:
            self.counts["unknown"] += 1
            return
        if message.is_request:
            self.counts[message.method] += 1
            if message.method == "BYE":
                call.byes += not call.released or call.ended is not None
                if not call.released:
                    call.released, call.ended = True, now
                self._sock.sendto(response(message, 200).encode(), source)
            return
        call.heard = True
        if message.cseq[1] != "INVITE" or message.status < 200:
            return
        self.counts[f"heard {message.status}"] += 1
        if not call.finals:
            call.answered = now
            call.to = message.need("To")
            contact = message.get("Contact")
            if message.status < 300 and contact:
                call.target = uri_of(contact)
                self._later(now + self.hold, lambda _: self._release(call))
        if (
            not call.finals
            or call.finals[-1] != message.status
            or parameter(call.to, "tag") != parameter(message.need("To"), "tag")
        ):
            call.finals.append(message.status)
        ack = self._request(call, "ACK", 1)
        if message.status >= 300:
            ack.headers[0] = ("Via", ack.headers[0][1].replace("ACK;", ";", 1))  # that of its INVITE
        self._send(ack.encode())

    def _release(self, call: Placed) -> None:
        if not call.released:
            call.released = True
            self._send(self._request(call, "BYE", 2).encode())

    def _send(self, wire: bytes) -> None:
        try:
            self._sock.sendto(wire, self.to)
        except OSError:
            self.counts["not sent"] += 1
