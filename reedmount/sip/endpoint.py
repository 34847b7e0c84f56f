"""The SIP transport layer: a UDP socket and a TCP listener per address, and outgoing connections."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import ZERO
from reedmount.core.fault_isolation import run_isolated
from reedmount.net.connection import Address, Connection, EndReason, format_address, listen_tcp_udp
from reedmount.net.loop import READ, Loop
from reedmount.net.ring import Ring
from reedmount.sip.datagram_queue import DatagramQueue
from reedmount.sip.framing import next_message
from reedmount.sip.message import (
    MAX_MESSAGE_SIZE,
    RESPONSE_HEADERS,
    Message,
    SipError,
    first_value,
    parameter,
    parse_datagram,
    parse_head,
    split_host_port,
)
from reedmount.sip.transaction import (
    Hop,
    ServerTransaction,
    Timers,
    TransactionLayer,
    TransactionUser,
    check_headers,
    error_response,
    top_via,
)

MAX_CONNECTIONS = 512
MESSAGES_PER_TURN = 32  # of one connection, before others have their turn
MAX_READS_PER_TURN = 1024  # datagrams read from a socket in one turn of the loop
MAX_DATAGRAMS_PER_TURN = 8  # datagrams handled in one turn of the loop
# The headers of a request that are used; what is kept of it has no others.
REQUEST_HEADERS = RESPONSE_HEADERS | {
    "contact", "route", "record-route", "max-forwards", "require", "expires", "reason", "x-cos",
}  # fmt: skip
PING, PONG = b"\r\n\r\n", b"\r\n"


@dataclass(frozen=True, slots=True)
class UdpHop:
    """A next hop that is reached by UDP."""

    sock: socket.socket
    address: Address
    reliable: bool = False

    @property
    def ipv6(self) -> bool:
        """Whether the hop uses IPv6."""
        return ":" in self.address[0]

    def send(self, data: bytes) -> None:
        """Send a datagram; if the kernel does not accept it, it is counted and lost."""
        try:
            self.sock.sendto(data, self.address)
        except OSError:
            COUNTERS.add("sip.udp_not_sent")


class TcpHop:
    """A TCP connection and the actor that reads its messages."""

    reliable = True

    def __init__(self, endpoint: Endpoint, sock: socket.socket) -> None:
        self._endpoint = endpoint
        self.ipv6 = sock.family == socket.AF_INET6
        self._actor: Actor[EndReason | None] = Actor(endpoint.loop, self._handle_event)
        self._more = False  # messages are left after a turn
        self.on_lost: Callable[[EndReason], None] | None = None
        self.on_connected: Callable[[], None] | None = None
        self.connection = Connection(
            endpoint.loop, sock, self._on_data, self._on_end, self._on_sent, in_turns=True
        )

    @classmethod
    def dial(cls, endpoint: Endpoint, address: Address, timeout: timedelta) -> TcpHop:
        """Connect to the next hop."""
        hop = cls.__new__(cls)
        hop._endpoint, hop.ipv6 = endpoint, ":" in address[0]
        hop._actor = Actor(endpoint.loop, hop._handle_event)
        hop._more = False
        hop.on_lost = hop.on_connected = None
        hop.connection = Connection.dial(
            endpoint.loop, address, timeout, hop._on_data, hop._on_end, hop._on_sent
        )
        hop.connection.in_turns = True
        return hop

    def send(self, data: bytes) -> None:
        """Send an encoded message."""
        self.connection.send(data)

    def _on_data(self, _: Connection) -> None:
        self._actor.post(None)

    def _on_end(self, _: Connection, how: EndReason) -> None:
        self._actor.post(how)

    def _on_sent(self, _: Connection) -> None:
        if self.on_connected is not None:
            self.on_connected()

    def _handle_event(self, item: EndReason | None) -> None:
        if item is not None:
            self._endpoint.connection_lost(self, item)
            if self.on_lost is not None:
                self.on_lost(item)
            return
        if self.connection.peer_finished:
            self._endpoint.peer_finished(self)
        self._endpoint.loop.readers.add(self._read_some)

    def _read_some(self) -> bool:
        """Handle a few messages; whether more may have been received."""
        self._more = False
        run_isolated("sip.stream", self._read, self._abort)
        return self._more

    def _answer_keep_alive(self, ring: Ring) -> None:
        """Answer keep-alives (RFC 5626, 4.4.1); several at once get one answer, which limits their cost."""
        data = ring.peek(MAX_MESSAGE_SIZE)
        pings = (len(data) - len(data.lstrip(b"\r\n"))) // len(PING)
        ring.drop(len(PING) * pings)
        COUNTERS.add("sip.keep_alives", pings)
        self.send(PONG)

    def _abort(self) -> None:
        """Close after a fault in reading: the start of the next message is not known."""
        self.connection.close()
        self._endpoint.connection_lost(self, EndReason.OURS)
        if self.on_lost is not None:
            self.on_lost(EndReason.RESET)

    def _read(self) -> None:
        for _ in range(MESSAGES_PER_TURN):
            if self.connection.ended:
                return
            ring = self.connection.incoming
            if ring.peek(len(PING)) == PING:
                self._answer_keep_alive(ring)
            if PING.startswith(ring.peek(len(PING))):
                self.connection.set_reading(True)
                return  # empty, or possibly an incomplete ping
            try:
                message = next_message(ring)
                if message is None:
                    self.connection.set_reading(True)
                    return
            except SipError as error:
                # The stream is no longer in sync: send an error response if the head is readable, and close.
                self._endpoint.refuse(_parse_partial_head(ring.peek(MAX_MESSAGE_SIZE)), error, self)
                self.connection.close_after_send()
                self._endpoint.connection_lost(self, EndReason.OURS)
                return
            self._endpoint.handle_message(message, self)
        self.connection.set_reading(False)
        self._more = True


def mark_source(message: Message, received: str, rport: str) -> None:
    """Add the source of a request to its topmost Via (18.2.1, RFC 3581)."""
    for position, (key, value) in enumerate(message.headers):
        if key.lower() == "via":
            top = first_value(value)
            rest = value[len(top) :]
            if rport:
                parts = [part for part in top.split(";") if part.strip().partition("=")[0].lower() != "rport"]
                top = ";".join(parts) + rport
            marked = f"{top}{received}{rest}"
            message.headers[position] = (key, marked)
            if message.index is not None:
                message.index["via"] = marked
            return


def _parse_partial_head(data: bytes) -> Message | None:
    head, blank, _ = data.partition(b"\r\n\r\n")
    if not blank:
        head = head.rpartition(b"\r\n")[0]
    try:
        return parse_head(head)
    except SipError:
        return None


class Endpoint:
    """The transport layer (RFC 3261, section 18) below the transactions."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        timers: Timers,
        user: TransactionUser,
        address6: Address | None = None,
    ) -> None:
        self.loop = loop
        self.transactions = TransactionLayer(loop, timers, user)
        self.on_hop_lost: Callable[[list[ServerTransaction]], None] = lambda _: None
        self._hops: dict[TcpHop, None] = {}
        self._udp = listen_tcp_udp(loop, address, self._accept)
        self.address: Address = self._udp.getsockname()[:2]
        self._datagrams = DatagramQueue()
        self._datagrams_scheduled = False
        loop.watch(self._udp.fileno(), READ, lambda _: self._on_readable(self._udp))
        self._udp6 = listen_tcp_udp(loop, address6, self._accept) if address6 is not None else None
        self.address6: Address | None = None
        if self._udp6 is not None:
            sock6 = self._udp6
            self.address6 = sock6.getsockname()[:2]
            loop.watch(sock6.fileno(), READ, lambda _: self._on_readable(sock6))

    def udp_hop(self, address: Address) -> UdpHop:
        """Return the hop that reaches an address by UDP."""
        return UdpHop(self._udp6 if self._udp6 is not None and ":" in address[0] else self._udp, address)

    def local_address(self, ipv6: bool) -> Address:
        """Return the address at which we listen for this IP version."""
        return self.address6 if ipv6 and self.address6 is not None else self.address

    def via(self, hop: Hop, branch: str) -> str:
        """Return our Via value."""
        transport = "TCP" if hop.reliable else "UDP"
        return f"SIP/2.0/{transport} {format_address(self.local_address(hop.ipv6))};branch={branch};rport"

    def contact(self, hop: Hop) -> str:
        """Return our Contact value."""
        transport = "tcp" if hop.reliable else "udp"
        return f"<sip:reedmount@{format_address(self.local_address(hop.ipv6))};transport={transport}>"

    def handle_message(self, message: Message, hop: UdpHop | TcpHop) -> None:
        """Check a message and pass it to its transaction."""
        COUNTERS.add(f"sip.in.{'request' if message.is_request else 'response'}")
        try:
            check_headers(message)
            if message.is_request:
                message.keep(REQUEST_HEADERS)
                if isinstance(hop, UdpHop):
                    hop = self._response_hop(message, hop)
            self.transactions.handle_message(message, hop)
        except SipError as error:
            self.refuse(message, error, hop)

    def refuse(self, message: Message | None, error: SipError, hop: UdpHop | TcpHop) -> None:
        """Answer a malformed message, or drop it if that is not possible; both are counted."""
        answer = error_response(message, error)
        COUNTERS.add("sip.in.malformed" if answer is not None else "sip.in.dropped")
        # Rate-limited by its kind: anyone who can reach the port could fill a disk otherwise.
        log(f"sip: {error}", f"sip.refused {error.status}")
        if answer is not None:
            hop.send(answer.encode())

    def connection_lost(self, hop: TcpHop, _: EndReason) -> None:
        """Report the end of a connection to its transactions."""
        self._hops.pop(hop, None)
        self.loop.readers.discard(hop._read_some)
        self.on_hop_lost(self.transactions.hop_lost(hop))

    def peer_finished(self, hop: TcpHop) -> None:
        """Report that a peer has closed its side, while messages of it may still be unread."""
        self.on_hop_lost(self.transactions.server_transactions_of(hop))

    def _response_hop(self, message: Message, hop: UdpHop) -> UdpHop:
        """Return the hop for responses: the source address; the Via port unless rport is set (RFC 3581)."""
        via = top_via(message)
        host, number = hop.address[:2]
        if parameter(via, "rport") is not None:
            mark_source(message, f";received={host}", f";rport={number}")
            return hop
        sent_from, port = split_host_port(via.partition(";")[0].split()[-1])
        if sent_from != host:
            mark_source(message, f";received={host}", "")
        number = int(port) if port.isdecimal() and len(port) < 6 and 0 < int(port) < 65536 else 5060
        return self.udp_hop((host, number))

    def _accept(self, sock: socket.socket) -> None:
        if len(self._hops) >= MAX_CONNECTIONS:
            COUNTERS.add("sip.in.no_room")
            sock.close()
            return
        self._hops[TcpHop(self, sock)] = None

    def _on_readable(self, sock: socket.socket) -> None:
        """Queue what has arrived: the system's buffer is small, and all sources share it."""
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = sock.recvfrom(65536)
            except BlockingIOError:
                break
            except OSError:
                continue  # ICMP error for an earlier datagram, whose transaction will time out
            if not self._datagrams.add(data, address[:2]):
                COUNTERS.add("sip.udp_dropped")
        self._schedule_datagrams()

    def _schedule_datagrams(self) -> None:
        if self._datagrams and not self._datagrams_scheduled:
            self._datagrams_scheduled = True
            self.loop.call_later(ZERO, self._handle_datagrams)

    def _handle_datagrams(self) -> None:
        """Handle a few datagrams; others wait for the next turn of the loop, in which all else is served."""
        self._datagrams_scheduled = False
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if not self._datagrams:
                return
            data, address = self._datagrams.pop()
            run_isolated("sip.datagram", partial(self._read_datagram, data, address))
        self._schedule_datagrams()

    def _read_datagram(self, data: bytes, address: Address) -> None:
        if not data.strip(b"\r\n\0"):
            return  # a keep-alive
        try:
            message = parse_datagram(data)
        except SipError as error:
            self.refuse(_parse_partial_head(data.lstrip(b"\r\n")), error, self.udp_hop(address))
            return
        self.handle_message(message, self.udp_hop(address))
