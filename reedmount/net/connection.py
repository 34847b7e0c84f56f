"""TCP connections and listeners on the loop."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum

from reedmount.core.actors import Timer
from reedmount.core.checks import log
from reedmount.net.loop import GONE, READ, WRITE, Loop
from reedmount.net.ring import Ring

CHUNK = 65536
IN_BOUND = 32768  # two messages of the longest kind
OUT_BOUND = 262144  # a peer that leaves so much unread is given up
BACKLOG = 4096
ACCEPTS = 32  # a turn: a crowd at the door must not keep all others waiting
PORTS_TRIED = 20  # for a port that is free for both, where any will do
ACCEPT_AGAIN = timedelta(milliseconds=100)
Address = tuple[str, int]


class EndReason(Enum):
    """How a connection came to its end."""

    CLOSED = "closed by the peer"
    RESET = "reset"
    REFUSED = "refused"
    NEVER_UP = "never came up"
    STUCK = "the peer reads nothing"
    OURS = "closed here"


def _nothing(_: Connection) -> None:
    """What is told of a connection that has ended."""


def _nobody(_: Connection, __: EndReason) -> None:
    """Who is told of its end a second time."""


class Connection:
    """One TCP connection: a ring buffer a direction, and its owner's callbacks."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_data: Callable[[Connection], None],
        on_end: Callable[[Connection, EndReason], None],
        on_sent: Callable[[Connection], None] = lambda _: None,
        urgent: bool = False,
    ) -> None:
        self.incoming = Ring(IN_BOUND)
        self.connected = True
        self.ended = False
        self.peer_finished = (
            False  # the peer sends no more, though what it sent before may not all be read yet
        )
        self.opened_at: datetime = loop.clock.now()
        self.last_received_at: datetime = self.opened_at
        self._outgoing = Ring(OUT_BOUND)
        self._loop, self._sock, self._urgent = loop, sock, urgent
        self._on_data, self._on_end, self._on_sent = on_data, on_end, on_sent
        self._timer: Timer | None = None
        self._closing = False
        self._watched = 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch()

    @classmethod
    def dial(
        cls,
        loop: Loop,
        address: Address,
        longest: timedelta,
        on_data: Callable[[Connection], None],
        on_end: Callable[[Connection, EndReason], None],
        on_sent: Callable[[Connection], None] = lambda _: None,
        source: str | None = None,
    ) -> Connection:
        """Connect; ``on_sent`` tells that it is up. A time-out and a refusal are told apart in ``on_end``.
        ``source``: the address of ours that the peer sees; OSError where it is none."""
        sock = socket.socket(address_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        if source is not None:
            sock.bind((source, 0))
        code = sock.connect_ex(address)
        made = cls(loop, sock, on_data, on_end, on_sent)
        made.connected = False
        made._watch()
        if code not in (0, errno.EINPROGRESS):
            end = EndReason.REFUSED if code == errno.ECONNREFUSED else EndReason.NEVER_UP
            loop.call_soon(lambda: made.close(end))
        made._timer = loop.call_later(longest, made._give_up)
        return made

    def _give_up(self) -> None:
        if not self.connected:
            self.close(EndReason.NEVER_UP)

    @property
    def idle(self) -> bool:
        """Whether all that was sent is with the system: nothing waits here."""
        return self.connected and not self._outgoing

    def send(self, data: bytes) -> None:
        """Write what the system takes now and keep the rest."""
        if self.ended:
            return
        if self.connected and not self._outgoing and not self._closing:
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
        """Close at once; the owner is told unless it did it itself."""
        if self.ended:
            return
        self.ended, self.connected = True, False
        self._close_socket()
        tell = self._on_end
        # Nothing is left that goes round in circles: a day of brief connections is no work for the collector.
        self._on_data = self._on_sent = _nothing
        self._on_end = _nobody
        if end is not EndReason.OURS:
            tell(self, end)

    def close_gracefully(self, longest: timedelta) -> None:
        """Say that no more comes, and drop what the peer still sends until it closes or the time is over.

        Closing at once answers what is on its way with a reset, and the peer may never read what came before.
        Nobody is told of anything any more.
        """
        if self.ended or not self.idle:
            self.close()
            return
        self.ended, self.connected = True, False
        self._on_data = self._on_sent = _nothing
        self._on_end = _nobody
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_socket()
            return
        self._loop.watch(self._sock.fileno(), READ | GONE, self._drop_rest, self._urgent)
        self._timer = self._loop.call_later(longest, self._close_socket)

    def _drop_rest(self, _: int) -> None:
        try:
            if self._sock.recv(CHUNK):
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
        """Send no more and say so; what the peer has sent until it closes as well is still read."""
        if self.connected and not self.ended:
            try:
                self._sock.shutdown(socket.SHUT_WR)
            except OSError:
                self._loop.call_soon(lambda: self.close(EndReason.RESET))

    @property
    def unread(self) -> bool:
        """Whether something lies with the system that was not read: closing now would reset its sender."""
        if self.ended or len(self.incoming):
            return not self.ended
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close_after_send(self) -> None:
        """Close once all is written."""
        self._closing = True
        if self.idle:
            self.close()

    def _watch(self) -> None:
        wanted = READ | GONE if self.connected and not self._outgoing else READ | WRITE | GONE
        if wanted != self._watched:
            self._watched = wanted
            self._loop.watch(self._sock.fileno(), wanted, self._ready, self._urgent)

    def _ready(self, events: int) -> None:
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
        self.peer_finished = self.peer_finished or bool(events & GONE)
        if not self.ended and events & ~WRITE:
            self._read()

    def _read(self) -> None:
        """Read once a turn: its owner takes that before more is read, and others have their turn."""
        room = self.incoming.room
        if not room:
            self.close(EndReason.STUCK)  # its reader left a message longer than any may be
            return
        try:
            data = self._sock.recv(min(CHUNK, room))
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
        if len(self.incoming) >= self.incoming.wanted:  # else its reader could only look and go
            self._on_data(self)

    def _flush(self) -> None:
        had = bool(self._outgoing)
        while self._outgoing:
            try:
                sent = self._sock.send(self._outgoing.peek(CHUNK))
            except BlockingIOError:
                break
            except OSError:
                # The owner is amid something else: it is told after that.
                self._loop.call_soon(lambda: self.close(EndReason.RESET))
                return
            self._outgoing.drop(sent)
        self._watch()
        if had and not self._outgoing:
            if self._closing:
                self.close()
            else:
                self._on_sent(self)


def both(loop: Loop, address: Address, on_accept: Callable[[socket.socket], None]) -> socket.socket:
    """Listen for connections and return a socket for datagrams at the same address."""
    for tries_left in range(PORTS_TRIED, -1, -1):
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
    """A socket that listens at an address; a shared one leaves room for that of another process."""
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
    """A socket that connections are accepted from, or not for a while: they wait with the system then."""

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
        """Where it listens."""
        host, port = self.sock.getsockname()[:2]
        return host, port

    def start(self) -> None:
        """Accept from now on."""
        self._open = True
        self._loop.watch(self.sock.fileno(), READ, self._ready, self._urgent)

    def stop(self) -> None:
        """Accept no more."""
        self._open = False
        self._loop.unwatch(self.sock.fileno())

    def _again(self) -> None:
        if self._open:
            self.start()

    def _ready(self, _: int) -> None:
        for _ in range(ACCEPTS):
            try:
                accepted, _peer = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                # Out of descriptors: looked at again a little later, lest the loop turn for nothing else.
                log(f"accept: {error}", "accept")
                self._loop.unwatch(self.sock.fileno())
                self._loop.call_later(ACCEPT_AGAIN, self._again)
                return
            self._on_accept(accepted)


def listen(
    loop: Loop, address: Address, on_accept: Callable[[socket.socket], None], urgent: bool = False
) -> socket.socket:
    """Accept connections at an address; the listening socket is returned, to close it with."""
    listener = Listener(loop, bind(address), on_accept, urgent)
    listener.start()
    return listener.sock


def address_family(address: Address) -> socket.AddressFamily:
    """IPv6 where the host is written with colons."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def format_address(address: Address) -> str:
    """An address as it is written: ``192.0.2.1:5060``, ``[2001:db8::1]:5060``."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def parse_address(text: str) -> Address:
    """Read ``host:port``, an IPv6 address in brackets."""
    host, colon, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(f"an IPv6 address without brackets: {text!r}")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)
