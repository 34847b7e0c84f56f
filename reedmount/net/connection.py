"""TCP connections and listeners on the event loop."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.actors import Timer
from reedmount.core.checks import log
from reedmount.net.loop import BROKEN, PEER_CLOSED, READ, WRITE, Loop
from reedmount.net.ring import Ring

CHUNK_SIZE = 65536
MAX_INCOMING = 32768  # bytes; two messages of the maximum size
MAX_OUTGOING = 262144  # bytes; a peer that leaves this much unread is disconnected
BACKLOG = 4096
MAX_ACCEPTS_PER_TURN = 32  # a burst of new connections must not delay other work
MAX_PORT_TRIES = 20  # to find an ephemeral port that is free for both TCP and UDP
ACCEPT_RETRY_DELAY = timedelta(milliseconds=100)
Address = tuple[str, int]


class EndReason(Enum):
    """Why a connection ended."""

    CLOSED = "closed by the peer"
    RESET = "reset"
    REFUSED = "refused"
    NEVER_UP = "never came up"
    STUCK = "the peer reads nothing"
    OURS = "closed here"


def _ignore_event(_: Connection) -> None:
    """Data callback of a connection that has ended."""


def _ignore_end(_: Connection, __: EndReason) -> None:
    """End callback of a connection whose end has been reported."""


class Connection:
    """A TCP connection with one ring buffer per direction; events are reported to its owner's callbacks."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_data: Callable[[Connection], None],
        on_end: Callable[[Connection, EndReason], None],
        on_sent: Callable[[Connection], None] = lambda _: None,
        urgent: bool = False,
        in_turns: bool = False,
    ) -> None:
        """With ``in_turns``, nothing is read after data until the owner calls ``set_reading``."""
        self.in_turns = in_turns
        self.incoming = Ring(MAX_INCOMING)
        self.connected = True
        self.ended = False
        self.peer_finished = False  # the peer has shut down its side; data it sent may still be unread
        self.created_at: datetime = loop.clock.now()  # accepted, or when connecting began
        self.opened_at: datetime = self.created_at
        self.last_received_at: datetime = self.opened_at
        self._outgoing = Ring(MAX_OUTGOING)
        self._loop, self._sock, self._urgent = loop, sock, urgent
        self._on_data, self._on_end, self._on_sent = on_data, on_end, on_sent
        self._timer: Timer | None = None
        self._close_when_sent = False
        self._watched_events = 0
        self._reading = True
        self._unhandled = False  # the owner sets reading again once it has handled what was received
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch()

    @classmethod
    def dial(
        cls,
        loop: Loop,
        address: Address,
        timeout: timedelta,
        on_data: Callable[[Connection], None],
        on_end: Callable[[Connection, EndReason], None],
        on_sent: Callable[[Connection], None] = lambda _: None,
        source: str | None = None,
    ) -> Connection:
        """Connect to an address; ``on_sent`` is called when the connection is established.

        ``on_end`` distinguishes a connect timeout from a refused connection. ``source`` is the local address
        to bind to; raises OSError if this host does not have it.
        """
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        if source is not None:
            sock.bind((source, 0))
        code = sock.connect_ex(address)
        connection = cls(loop, sock, on_data, on_end, on_sent)
        connection.connected = False
        connection._watch()
        if code not in (0, errno.EINPROGRESS):
            end = EndReason.REFUSED if code == errno.ECONNREFUSED else EndReason.NEVER_UP
            loop.call_soon(lambda: connection.close(end))
        connection._timer = loop.call_later(timeout, connection._on_connect_timeout)
        return connection

    def set_reading(self, reading: bool) -> None:
        """Read no further while the owner has complete messages left; the peer's close is noticed still."""
        if reading:
            self._unhandled = False
        if reading != self._reading and not self.ended:
            self._reading = reading
            self._watch()

    def _on_connect_timeout(self) -> None:
        if not self.connected:
            self.close(EndReason.NEVER_UP)

    @property
    def idle(self) -> bool:
        """Whether all sent data has been passed to the kernel."""
        return self.connected and not self._outgoing

    def send(self, data: bytes) -> None:
        """Write as much as the kernel accepts now and buffer the rest."""
        if self.ended:
            return
        if self.connected and not self._outgoing and not self._close_when_sent:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._loop.call_soon(lambda: self.close(EndReason.RESET))
                return
            if sent == len(data):
                return
            data = data[sent:]
        if not self._outgoing.write(data):
            self._loop.call_soon(lambda: self.close(EndReason.STUCK))
            return
        if self.connected:
            self._flush()

    def close(self, end: EndReason = EndReason.OURS) -> None:
        """Close immediately; ``on_end`` is called unless the owner itself closed the connection."""
        if self.ended:
            return
        self.ended, self.connected = True, False
        self._close_socket()
        on_end = self._on_end
        # Break reference cycles, so that many short connections leave no work for the garbage collector.
        self._on_data = self._on_sent = _ignore_event
        self._on_end = _ignore_end
        if end is not EndReason.OURS:
            on_end(self, end)

    def close_gracefully(self, timeout: timedelta) -> None:
        """Shut down writing, and discard what the peer still sends until it closes or the timeout expires.

        An immediate close would answer data in flight with a reset, and the peer might then never read what
        was sent to it before. No callback is called any more.
        """
        if self.ended or not self.idle:
            self.close()
            return
        self.ended, self.connected = True, False
        self._on_data = self._on_sent = _ignore_event
        self._on_end = _ignore_end
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_socket()
            return
        self._loop.watch(self._sock.fileno(), READ | PEER_CLOSED, self._discard_input, self._urgent)
        self._timer = self._loop.call_later(timeout, self._close_socket)

    def _discard_input(self, _: int) -> None:
        try:
            if self._sock.recv(CHUNK_SIZE):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._close_socket()

    def _close_socket(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._sock.fileno() >= 0:
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()

    def finish_writing(self) -> None:
        """Shut down the writing side (half-close); data from the peer is still read until it closes."""
        if self.connected and not self.ended:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self._loop.call_soon(lambda: self.close(EndReason.RESET))

    @property
    def unread(self) -> bool:
        """Whether received data has not been read yet: closing now would reset the connection."""
        if self.ended or len(self.incoming):
            return not self.ended
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close_after_send(self) -> None:
        """Close as soon as all buffered data is written."""
        self._close_when_sent = True
        if self.idle:
            self.close()

    def _watch(self) -> None:
        events = 0 if self.connected and not self._outgoing else WRITE
        if self._reading:
            events |= READ | PEER_CLOSED
        elif not self.peer_finished:
            events |= PEER_CLOSED
        if events != self._watched_events:
            self._watched_events = events
            self._loop.watch(self._sock.fileno(), events, self._on_events, self._urgent)

    def _on_events(self, events: int) -> None:
        if not self.connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self.close(EndReason.REFUSED if code == errno.ECONNREFUSED else EndReason.NEVER_UP)
                return
            if not events & WRITE:
                return
            self.connected = True
            self.opened_at = self.last_received_at = self._loop.clock.now()
            self._watch()
            self._on_sent(self)
            if not self.ended and self._outgoing:
                self._flush()
        elif events & WRITE and not self.ended:
            self._flush()
        peer_finished_now = bool(events & (PEER_CLOSED | BROKEN)) and not self.peer_finished
        self.peer_finished = self.peer_finished or peer_finished_now
        if self.ended or not events & ~WRITE:
            return
        if self._unhandled:
            self.set_reading(False)  # or its end would be reported before its last messages are handled
        if self._reading:
            self._read()
        elif peer_finished_now:
            self._watch()
            self._on_data(self)

    def _read(self) -> None:
        """Read once per loop iteration, so that the owner can consume the data and others are served."""
        room = self.incoming.room
        if not room:
            self.close(EndReason.STUCK)  # the reader left a message above the maximum size
            return
        try:
            data = self._sock.recv(min(CHUNK_SIZE, room))
        except BlockingIOError:
            return
        except OSError:
            self.close(EndReason.RESET)
            return
        if not data:
            self.close(EndReason.CLOSED)
            return
        self.last_received_at = self._loop.clock.now()
        self.incoming.write(data)
        if len(self.incoming) >= self.incoming.needed:  # else the message is still incomplete
            self._unhandled = self.in_turns
            self._on_data(self)

    def _flush(self) -> None:
        had_data = bool(self._outgoing)
        while self._outgoing:
            try:
                sent = self._sock.send(self._outgoing.peek(CHUNK_SIZE))
            except BlockingIOError:
                break
            except OSError:
                # The owner may be in the middle of other work: report the end afterwards.
                self._loop.call_soon(lambda: self.close(EndReason.RESET))
                return
            self._outgoing.drop(sent)
        self._watch()
        if had_data and not self._outgoing:
            if self._close_when_sent:
                self.close()
            else:
                self._on_sent(self)


def listen_tcp_udp(loop: Loop, address: Address, on_accept: Callable[[socket.socket], None]) -> socket.socket:
    """Accept TCP connections at an address and return a UDP socket bound to the same address and port."""
    for tries_left in range(MAX_PORT_TRIES, -1, -1):
        udp = socket.socket(address_family(address), socket.SOCK_DGRAM)
        udp.setblocking(False)
        try:
            udp.bind(address)
            listen(loop, udp.getsockname(), on_accept)
            return udp
        except OSError:
            udp.close()
            if address[1] or not tries_left:
                raise
    raise AssertionError("unreachable")


def bind(address: Address, shared: bool = False) -> socket.socket:
    """Return a listening TCP socket; with ``shared``, another process may listen at the same address."""
    sock = socket.socket(address_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts connections from a listening socket. While stopped, they wait in the backlog."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_accept: Callable[[socket.socket], None],
        urgent: bool = False,
    ) -> None:
        self.sock = sock
        self._loop, self._on_accept, self._urgent = loop, on_accept, urgent
        self._open = False
        sock.setblocking(False)

    @property
    def address(self) -> Address:
        """The address it listens at."""
        host, port = self.sock.getsockname()[:2]
        return host, port

    def start(self) -> None:
        """Start accepting connections."""
        self._open = True
        self._loop.watch(self.sock.fileno(), READ, self._on_events, self._urgent)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._open = False
        self._loop.unwatch(self.sock.fileno())

    def _resume(self) -> None:
        if self._open:
            self.start()

    def _on_events(self, _: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                accepted, _peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                # Out of descriptors: try again after a delay, so that the loop does not spin on the listener.
                log(f"accept: {error}", "accept")
                self._loop.unwatch(self.sock.fileno())
                self._loop.call_later(ACCEPT_RETRY_DELAY, self._resume)
                return
            self._on_accept(accepted)


def listen(
    loop: Loop, address: Address, on_accept: Callable[[socket.socket], None], urgent: bool = False
) -> socket.socket:
    """Accept connections at an address; returns the listening socket, for the caller to close."""
    listener = Listener(loop, bind(address), on_accept, urgent)
    listener.start()
    return listener.sock


def address_family(address: Address) -> socket.AddressFamily:
    """Return AF_INET6 if the host contains a colon, else AF_INET."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def format_address(address: Address) -> str:
    """Format an address as ``192.0.2.1:5060`` or ``[2001:db8::1]:5060``."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``; an IPv6 address must be in brackets."""
    host, colon, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(f"an IPv6 address without brackets: {text!r}")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)
