"""TCP proxies between members: bytes are forwarded as the state of the links allows.

A member connects from its own address, which identifies it to the proxy. A cut or stalled link forwards
nothing and closes nothing, as an unplugged cable: both ends have to detect it. Bytes in transit when a link
was cut are delivered after it is repaired, as TCP retransmits them.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

from reedmount.net.connection import Address
from standins.faults.net import Link

READ_SIZE = 65536
MAX_HELD = 1 << 20  # bytes buffered for one end, after which no more is read from the other


@dataclass(slots=True)
class Direction:
    """One direction of a proxied connection."""

    source: socket.socket
    sink: socket.socket
    link: tuple[str, str]
    pending: bytearray = field(default_factory=bytearray)


class Streams:
    """All current connections between members."""

    def __init__(
        self, own: dict[str, Address], proxies: dict[str, Address], links: dict[tuple[str, str], Link]
    ) -> None:
        self._own, self._links = own, links
        self._hosts = {address[0]: name for name, address in own.items()}
        self._listeners = {name: socket.create_server(address) for name, address in proxies.items()}
        for listener in self._listeners.values():
            listener.setblocking(False)
        self._connections: list[tuple[Direction, Direction]] = []
        self.bytes = 0

    def descriptors(self) -> list[int]:
        """Return the file descriptors to poll for reading."""
        reading = [
            direction.source.fileno() for connection in self._connections for direction in connection
            if self._is_open(direction) and len(direction.pending) < MAX_HELD
        ]  # fmt: skip
        return [listener.fileno() for listener in self._listeners.values()] + reading

    def pump(self) -> None:
        """Accept connections and forward bytes on open links."""
        for to, listener in self._listeners.items():
            self._accept(to, listener)
        for connection in list(self._connections):
            if not all([self._forward(direction) for direction in connection]):
                self._connections.remove(connection)
                for direction in connection:
                    direction.source.close()

    def close(self) -> None:
        """Close all sockets."""
        for listener in self._listeners.values():
            listener.close()
        for connection in self._connections:
            for direction in connection:
                direction.source.close()

    def _is_open(self, direction: Direction) -> bool:
        link = self._links[direction.link]
        return not link.cut and not link.stalled

    def _accept(self, to: str, listener: socket.socket) -> None:
        while True:
            try:
                inbound, source = listener.accept()
            except OSError:
                return
            sender = self._hosts.get(source[0])
            outbound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                if sender is None or sender == to:
                    raise OSError("unknown sender")
                outbound.connect(self._own[to])  # connects or fails at once on loopback
            except OSError:
                inbound.close()
                outbound.close()
                continue
            for sock in (inbound, outbound):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.append(
                (Direction(inbound, outbound, (sender, to)), Direction(outbound, inbound, (to, sender)))
            )

    def _forward(self, direction: Direction) -> bool:
        """Forward what is pending; whether both ends are still connected."""
        if not self._is_open(direction):
            return True
        if len(direction.pending) < MAX_HELD:
            try:
                data = direction.source.recv(READ_SIZE)
            except BlockingIOError:
                pass
            except OSError:
                return False
            else:
                if not data:
                    return False
                direction.pending += data
                self.bytes += len(data)
        if direction.pending:
            try:
                del direction.pending[: direction.sink.send(direction.pending)]
            except BlockingIOError:
                pass
            except OSError:
                return False
        return True
