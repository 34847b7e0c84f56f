"""SIP call server over UDP or TCP that processes set-ups one at a time and counts received messages.

server = CallServer(work=timedelta(milliseconds=50))     # capacity: 20 set-ups a second
server.state = "silent"                                  # or "serving", "busy", "cold"
server.pump(now)
server.invites                                           # arrival time of each new set-up
"""

from __future__ import annotations

import heapq
import socket
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, SipError, parse_datagram, response

HOST = "127.0.0.1"
BUFFER_SIZE = 1 << 17
MAX_CACHED_ANSWERS = 20_000  # calls whose last INVITE answer is kept for retransmissions


@dataclass(slots=True)
class Stream:
    """A TCP connection."""

    sock: socket.socket
    ring: Ring = field(default_factory=lambda: Ring(BUFFER_SIZE))
    out: bytearray = field(default_factory=bytearray)


SendData = Callable[[bytes], None]


class CallServer:
    """One processor with a queue: a set-up that would wait longer than ``max_wait`` gets a 503."""

    def __init__(
        self,
        address: tuple[str, int] = (HOST, 0),
        transport: str = "udp",
        work: timedelta = timedelta(milliseconds=20),
        max_wait: timedelta = timedelta(milliseconds=800),
        reply_delay: timedelta = timedelta(0),
    ) -> None:
        self.transport, self.work, self.max_wait, self.reply_delay = transport, work, max_wait, reply_delay
        self.state = "serving"
        self.counts: Counter[str] = Counter()
        self.invites: list[datetime] = []
        self.names: list[str] = []  # the session descriptions received, which name the calls
        self.established: set[str] = set()
        self.confirmed: set[str] = set()  # established calls whose 200 was acknowledged
        self._answers: OrderedDict[str, bytes] = OrderedDict()  # last INVITE answer by Call-ID
        self._timers: list[tuple[datetime, int, Callable[[], None]]] = []
        self._order = 0
        self._busy_until: datetime | None = None
        self._streams: dict[int, Stream] = {}
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        if transport == "udp":
            self._sock = socket.socket(family, socket.SOCK_DGRAM)
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
            self._sock.bind(address)
        else:
            self._sock = socket.create_server(address, family=family, backlog=256)
        self._sock.setblocking(False)
        self.address: tuple[str, int] = self._sock.getsockname()[:2]

    @property
    def rate(self) -> float:
        """Capacity in set-ups per second."""
        return 1 / self.work.total_seconds()

    def descriptors(self) -> list[int]:
        """The file descriptors to wait for."""
        return [self._sock.fileno(), *self._streams]

    def pump(self, now: datetime) -> bool:
        """Run due timers and handle what has arrived; whether there was anything to do."""
        busy = False
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()
            busy = True
        return (self._pump_udp(now) if self.transport == "udp" else self._pump_tcp(now)) or busy

    def close(self) -> None:
        """Close all sockets."""
        self._sock.close()
        for stream in self._streams.values():
            stream.sock.close()
        self._streams.clear()

    # --- transport ---

    def _pump_udp(self, now: datetime) -> bool:
        busy = False
        while True:
            try:
                data, source = self._sock.recvfrom(65536)
            except BlockingIOError:
                return busy
            except OSError:
                continue
            busy = True
            try:
                self._handle(now, parse_datagram(data), lambda wire, to=source: self._send(wire, to))  # type: ignore[misc]
            except SipError:
                self.counts["malformed"] += 1

    def _send(self, wire: bytes, to: tuple[str, int]) -> None:
        try:
            self._sock.sendto(wire, to)
        except OSError:
            self.counts["not sent"] += 1

    def _pump_tcp(self, now: datetime) -> bool:
        busy = False
        try:
            while True:
                sock, _ = self._sock.accept()
                sock.setblocking(False)
                self._streams[sock.fileno()] = Stream(sock)
                busy = True
        except OSError:
            pass
        for number, stream in list(self._streams.items()):
            try:
                data = stream.sock.recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            busy = True
            if not data:
                stream.sock.close()
                del self._streams[number]
                continue
            stream.ring.write(data)
            try:
                while (message := next_message(stream.ring)) is not None:
                    self._handle(now, message, lambda wire, to=stream: self._write(to, wire))  # type: ignore[misc]
            except SipError:
                self.counts["malformed"] += 1
        return busy

    def _write(self, stream: Stream, wire: bytes) -> None:
        try:
            stream.sock.sendall(wire)
        except OSError:
            self.counts["not sent"] += 1

    # --- SIP ---

    def _handle(self, now: datetime, message: Message, send: SendData) -> None:
        self.counts[message.method or f"heard {message.status}"] += 1
        if self.state == "silent" or not message.is_request:
            return
        if message.method == "INVITE":
            self._invite(now, message, send)
        elif message.method == "BYE":
            self.established.discard(message.call_id)
            self.confirmed.discard(message.call_id)
            send(response(message, 200).encode())
        elif message.method == "CANCEL":
            send(response(message, 200, tag="s").encode())
        elif message.method == "ACK":
            self.confirmed |= {message.call_id} & self.established
        else:
            send(response(message, 501, tag="s").encode())

    def _invite(self, now: datetime, message: Message, send: SendData) -> None:
        cached = self._answers.get(message.call_id)
        if cached is not None:
            self.counts["repeats"] += 1
            if cached:
                send(cached)
            return
        self.invites.append(now)
        self.names.append(message.body.decode(errors="replace"))
        self._answers[message.call_id] = b""
        if len(self._answers) > MAX_CACHED_ANSWERS:
            self._answers.popitem(last=False)
        start_at = max(now, self._busy_until or now)
        if self.state == "busy" or start_at - now > self.max_wait:
            self._call_at(now + self.reply_delay, lambda: self._answer(message, 503, send))
            return
        self._busy_until = start_at + self.work
        self._call_at(self._busy_until + self.reply_delay, lambda: self._answer(message, 200, send))

    def _answer(self, message: Message, status: int, send: SendData) -> None:
        host, port = self.address
        host_port = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        extra = [("Contact", f"<sip:server@{host_port};transport={self.transport}>")] if status == 200 else []
        wire = response(message, status, extra, b"there" if status == 200 else b"", tag="s").encode()
        self._answers[message.call_id] = wire
        self.counts[f"answered {status}"] += 1
        if status == 200:
            self.established.add(message.call_id)
        send(wire)

    def _call_at(self, at: datetime, work: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._timers, (at, self._order, work))
