"""Where SIP is spoken: a UDP socket and a TCP listener at one address, and connections made from there."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.fault_isolation import run_isolated
from reedmount.net.connection import Address, Connection, EndReason, format_address, listen_tcp_udp
from reedmount.net.loop import READ, Loop
from reedmount.net.ring import Ring
from reedmount.sip.framing import next_message
from reedmount.sip.message import (
    LONGEST,
    Message,
    SipError,
    first_value,
    parameter,
    parse_datagram,
    parse_head,
    split_place,
)
from reedmount.sip.transaction import (
    Hop,
    Layer,
    ServerTransaction,
    Timers,
    TransactionUser,
    answer_error,
    check,
    top_via,
)

CONNECTIONS = 512
PING, PONG = b"\r\n\r\n", b"\r\n"


@dataclass(frozen=True, slots=True)
class UdpHop:
    """The way to an address by datagrams."""

    sock: socket.socket
    address: Address
    reliable: bool = False

    @property
    def ipv6(self) -> bool:
        """Whether it goes over IPv6."""
        return ":" in self.address[0]

    def send(self, data: bytes) -> None:
        """Send it; what the system does not take is lost, as datagrams may be."""
        try:
            self.sock.sendto(data, self.address)
        except OSError:
            COUNTERS.add("sip.udp_not_sent")


class TcpHop:
    """A connection, with the actor that reads it."""

    reliable = True

    def __init__(self, endpoint: Endpoint, sock: socket.socket) -> None:
        self._endpoint = endpoint
        self.ipv6 = sock.family == socket.AF_INET6
        self._actor: Actor[EndReason | None] = Actor(endpoint.loop, self._handle)
        self.on_lost: Callable[[EndReason], None] | None = None
        self.on_up: Callable[[], None] | None = None
        self.connection = Connection(endpoint.loop, sock, self._heard, self._ended, self._sent)

    @classmethod
    def dial(cls, endpoint: Endpoint, address: Address, wait: timedelta) -> TcpHop:
        """Connect to the next element."""
        made = cls.__new__(cls)
        made._endpoint, made.ipv6 = endpoint, ":" in address[0]
        made._actor = Actor(endpoint.loop, made._handle)
        made.on_lost = made.on_up = None
        made.connection = Connection.dial(endpoint.loop, address, wait, made._heard, made._ended, made._sent)
        return made

    def send(self, data: bytes) -> None:
        """Write it."""
        self.connection.send(data)

    def _heard(self, _: Connection) -> None:
        self._actor.post(None)

    def _ended(self, _: Connection, how: EndReason) -> None:
        self._actor.post(how)

    def _sent(self, _: Connection) -> None:
        if self.on_up is not None:
            self.on_up()

    def _handle(self, item: EndReason | None) -> None:
        if item is not None:
            self._endpoint.lost(self, item)
            if self.on_lost is not None:
                self.on_lost(item)
            return
        run_isolated("sip.stream", self._read, self._spoilt)

    def _pong(self, ring: Ring) -> None:
        """A keep-alive is answered (RFC 5626, 4.4.1); many at once by one answer: they cost little."""
        held = ring.peek(LONGEST)
        pings = (len(held) - len(held.lstrip(b"\r\n"))) // len(PING)
        ring.drop(len(PING) * pings)
        COUNTERS.add("sip.keep_alives", pings)
        self.send(PONG)

    def _spoilt(self) -> None:
        """Reading has gone wrong: where the next message begins is not known."""
        self.connection.close()
        self._endpoint.lost(self, EndReason.OURS)
        if self.on_lost is not None:
            self.on_lost(EndReason.RESET)

    def _read(self) -> None:
        while not self.connection.ended:
            ring = self.connection.incoming
            if ring.peek(len(PING)) == PING:
                self._pong(ring)
            if PING.startswith(ring.peek(len(PING))):
                return  # nothing, or what may become a ping
            try:
                message = next_message(ring)
                if message is None:
                    return
            except SipError as error:
                # The stream is out of step: say why, where the head can be read, and close.
                self._endpoint.refuse(_head(ring.peek(LONGEST)), error, self)
                self.connection.close_after_send()
                self._endpoint.lost(self, EndReason.OURS)
                return
            self._endpoint.received(message, self)


def mark_source(message: Message, received: str, rport: str) -> None:
    """Write into the top Via where the request came from (18.2.1, RFC 3581)."""
    for at, (key, value) in enumerate(message.headers):
        if key.lower() == "via":
            top = first_value(value)
            rest = value[len(top) :]
            if rport:
                parts = [part for part in top.split(";") if part.strip().partition("=")[0].lower() != "rport"]
                top = ";".join(parts) + rport
            message.headers[at] = (key, f"{top}{received}{rest}")
            message.index = None
            return


def _head(data: bytes) -> Message | None:
    head, blank, _ = data.partition(b"\r\n\r\n")
    if not blank:
        head = head.rpartition(b"\r\n")[0]
    try:
        return parse_head(head)
    except SipError:
        return None


class Endpoint:
    """The transport layer (section 18) under the transactions."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        timers: Timers,
        user: TransactionUser,
        address6: Address | None = None,
    ) -> None:
        self.loop = loop
        self.layer = Layer(loop, timers, user)
        self.on_hop_lost: Callable[[list[ServerTransaction]], None] = lambda _: None
        self._hops: dict[TcpHop, None] = {}
        self._udp = listen_tcp_udp(loop, address, self._accept)
        self.address: Address = self._udp.getsockname()[:2]
        self._datagrams: Actor[tuple[bytes, Address]] = Actor(loop, self._datagram)
        loop.watch(self._udp.fileno(), READ, lambda _: self._readable(self._udp))
        self._udp6 = listen_tcp_udp(loop, address6, self._accept) if address6 is not None else None
        self.address6: Address | None = None
        if self._udp6 is not None:
            sock6 = self._udp6
            self.address6 = sock6.getsockname()[:2]
            loop.watch(sock6.fileno(), READ, lambda _: self._readable(sock6))

    def udp(self, address: Address) -> UdpHop:
        """The way to an address by datagrams."""
        return UdpHop(self._udp6 if self._udp6 is not None and ":" in address[0] else self._udp, address)

    def own(self, ipv6: bool) -> Address:
        """Where we are found over this version of IP."""
        return self.address6 if ipv6 and self.address6 is not None else self.address

    def via(self, hop: Hop, branch: str) -> str:
        """Our Via value."""
        transport = "TCP" if hop.reliable else "UDP"
        return f"SIP/2.0/{transport} {format_address(self.own(hop.ipv6))};branch={branch};rport"

    def contact(self, hop: Hop) -> str:
        """Our Contact value."""
        transport = "tcp" if hop.reliable else "udp"
        return f"<sip:reedmount@{format_address(self.own(hop.ipv6))};transport={transport}>"

    def received(self, message: Message, hop: UdpHop | TcpHop) -> None:
        """Check a message and give it to its transaction."""
        COUNTERS.add(f"sip.in.{'request' if message.is_request else 'response'}")
        try:
            check(message)
            if isinstance(hop, UdpHop) and message.is_request:
                hop = self._way_back(message, hop)
            self.layer.received(message, hop)
        except SipError as error:
            self.refuse(message, error, hop)

    def refuse(self, message: Message | None, error: SipError, hop: UdpHop | TcpHop) -> None:
        """Answer what cannot be taken, or drop it; both are counted."""
        answer = answer_error(message, error)
        COUNTERS.add("sip.in.malformed" if answer is not None else "sip.in.dropped")
        log(f"sip: {error}", f"sip.refused {error.status}")  # whoever can reach the port could fill a disk
        if answer is not None:
            hop.send(answer.encode())

    def lost(self, hop: TcpHop, _: EndReason) -> None:
        """A connection has ended: its transactions have to know."""
        self._hops.pop(hop, None)
        self.on_hop_lost(self.layer.hop_lost(hop))

    def _way_back(self, message: Message, hop: UdpHop) -> UdpHop:
        """Answers go to where the request came from; to the port of its Via unless it asks (RFC 3581)."""
        via = top_via(message)
        host, number = hop.address[:2]
        if parameter(via, "rport") is not None:
            mark_source(message, f";received={host}", f";rport={number}")
            return hop
        sent_from, port = split_place(via.partition(";")[0].split()[-1])
        if sent_from != host:
            mark_source(message, f";received={host}", "")
        number = int(port) if port.isdecimal() and len(port) < 6 and 0 < int(port) < 65536 else 5060
        return self.udp((host, number))

    def _accept(self, sock: socket.socket) -> None:
        if len(self._hops) >= CONNECTIONS:
            COUNTERS.add("sip.in.no_room")
            sock.close()
            return
        self._hops[TcpHop(self, sock)] = None

    def _readable(self, sock: socket.socket) -> None:
        while True:
            try:
                data, address = sock.recvfrom(65536)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error of an earlier datagram: its transaction times out
            self._datagrams.post((data, address[:2]))

    def _datagram(self, item: tuple[bytes, Address]) -> None:
        run_isolated("sip.datagram", lambda: self._datagram_read(*item))

    def _datagram_read(self, data: bytes, address: Address) -> None:
        if not data.strip(b"\r\n\0"):
            return  # a keep-alive
        try:
            message = parse_datagram(data)
        except SipError as error:
            self.refuse(_head(data.lstrip(b"\r\n")), error, self.udp(address))
            return
        self.received(message, self.udp(address))
