"""SIP callers over UDP: calls begin at instants drawn beforehand, regardless of earlier ones (open loop).

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
MAX_RETRANSMIT_TIME = timedelta(seconds=32)


@dataclass(slots=True)
class OutgoingCall:
    """One call as seen by its caller."""

    name: str
    number: str
    started_at: datetime
    branch: str
    finals: list[int] = field(default_factory=list)  # final statuses without retransmissions
    answered_at: datetime | None = None
    invite: bytes = b""
    to: str = ""
    target: str = ""
    released: bool = False
    ended_at: datetime | None = None  # when a BYE was received
    byes_received: int = 0
    response_received: bool = False  # provisional or final

    @property
    def final(self) -> int | None:
        """The first final status."""
        return self.finals[0] if self.finals else None


class Callers:
    """All callers on one socket."""

    def __init__(
        self,
        to: tuple[str, int],
        rate: float,
        seed: int = 1,
        hold: timedelta = timedelta(seconds=1),
        number: Callable[[random.Random], str] = lambda rng: f"0{rng.randrange(10**6):06}",
    ) -> None:
        self.to, self.rate, self.hold, self._number = to, rate, hold, number
        self.calls: dict[str, OutgoingCall] = {}
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._timers: list[tuple[datetime, int, Callable[[datetime], None]]] = []
        self._order = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._sock.bind((HOST, 0))
        self._sock.setblocking(False)
        self._seed = seed

    def start(self, now: datetime, span: timedelta) -> None:
        """Schedule calls over a time span; may be called again once the span has passed."""
        at = now
        while (at := at + timedelta(seconds=self._rng.expovariate(self.rate))) < now + span:
            self._call_at(at, self._start_call)

    def descriptors(self) -> list[int]:
        """The file descriptors to wait for."""
        return [self._sock.fileno()]

    def pump(self, now: datetime) -> bool:
        """Begin the calls that are due and handle what has arrived; whether there was anything to do."""
        busy = False
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2](now)
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
                self._handle(now, parse_datagram(data), source)
            except SipError:
                self.counts["malformed"] += 1

    # --- results ---

    def faults(self) -> list[str]:
        """Describe each call that did not receive exactly one final answer."""
        problems = []
        for call in self.calls.values():
            if not call.finals:
                problems.append(f"{call.name}: no final answer")
            elif len(set(call.finals)) > 1:
                problems.append(f"{call.name}: final answers {call.finals}")
        return problems

    def established_share(self, since: datetime, until: datetime) -> float:
        """Share of the calls begun in a time span that were established."""
        started = [call for call in self.calls.values() if since <= call.started_at < until]
        return sum(call.final == 200 for call in started) / len(started) if started else 1.0

    def delays(self) -> list[float]:
        """Seconds from the scheduled start to the answer, for each established call."""
        return [
            (call.answered_at - call.started_at).total_seconds()
            for call in self.calls.values()
            if call.answered_at is not None and call.final == 200
        ]

    # --- calls ---

    def _call_at(self, at: datetime, work: Callable[[datetime], None]) -> None:
        self._order += 1
        heapq.heappush(self._timers, (at, self._order, work))

    def _start_call(self, now: datetime) -> None:
        name = f"s{self._seed}c{len(self.calls) + 1}"
        call = self.calls[name] = OutgoingCall(name, self._number(self._rng), now, f"z9hG4bK{name}")
        call.invite = self._request(call, "INVITE", 1, body=name.encode()).encode()
        self.counts["calls"] += 1
        self._send(call.invite)
        self._schedule_retransmit(now, call, T1)

    def _schedule_retransmit(self, now: datetime, call: OutgoingCall, span: timedelta) -> None:
        def retransmit(at: datetime) -> None:
            if not call.response_received and at - call.started_at < MAX_RETRANSMIT_TIME:
                self.counts["repeats"] += 1
                self._send(call.invite)
                self._schedule_retransmit(at, call, 2 * span)

        self._call_at(now + span, retransmit)

    def _request(self, call: OutgoingCall, method: str, number: int, body: bytes = b"") -> Message:
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

    def _handle(self, now: datetime, message: Message, source: tuple[str, int]) -> None:
        call = self.calls.get(message.call_id)
        if call is None:
            self.counts["unknown"] += 1
            return
        if message.is_request:
            self.counts[message.method] += 1
            if message.method == "BYE":
                call.byes_received += not call.released or call.ended_at is not None
                if not call.released:
                    call.released, call.ended_at = True, now
                self._sock.sendto(response(message, 200).encode(), source)
            return
        call.response_received = True
        if message.cseq[1] != "INVITE" or message.status < 200:
            return
        self.counts[f"heard {message.status}"] += 1
        if not call.finals:
            call.answered_at = now
            call.to = message.need("To")
            contact = message.get("Contact")
            if message.status < 300 and contact:
                call.target = uri_of(contact)
                self._call_at(now + self.hold, lambda _: self._release(call))
        if (
            not call.finals
            or call.finals[-1] != message.status
            or parameter(call.to, "tag") != parameter(message.need("To"), "tag")
        ):
            call.finals.append(message.status)
        ack = self._request(call, "ACK", 1)
        if message.status >= 300:
            ack.headers[0] = ("Via", ack.headers[0][1].replace("ACK;", ";", 1))  # branch of its INVITE
        self._send(ack.encode())

    def _release(self, call: OutgoingCall) -> None:
        if not call.released:
            call.released = True
            self._send(self._request(call, "BYE", 2).encode())

    def _send(self, wire: bytes) -> None:
        try:
            self._sock.sendto(wire, self.to)
        except OSError:
            self.counts["not sent"] += 1
