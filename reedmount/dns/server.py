"""The server that receives dynamic updates."""

from __future__ import annotations

import socket

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS
from reedmount.dns.update import Master
from reedmount.net.connection import Address, Connection, listen_tcp_udp
from reedmount.net.loop import READ, Loop

MAX_MESSAGE = 65535  # bytes
MAX_READS_PER_TURN = 32  # datagrams read in one turn of the loop


class UpdateServer:
    """Listens on UDP and TCP at one address and passes messages to the primary master of the zone."""

    def __init__(self, loop: Loop, address: Address, master: Master) -> None:
        self._loop, self._master = loop, master
        self._udp = listen_tcp_udp(loop, address, self._accept)
        self.address: Address = self._udp.getsockname()
        self._inbox: Actor[tuple[bytes, Address]] = Actor(loop, self._datagram)
        loop.watch(self._udp.fileno(), READ, self._readable)

    def _readable(self, _: int) -> None:
        """Read a few datagrams; the others wait in the system's buffer, and all else is served first."""
        for _ in range(MAX_READS_PER_TURN):
            try:
                self._inbox.post(self._udp.recvfrom(MAX_MESSAGE))
            except BlockingIOError:
                return
            except OSError:
                continue

    def _datagram(self, item: tuple[bytes, Address]) -> None:
        wire, source = item
        reply = self._master.answer(wire, source[0])
        if reply is not None:
            try:
                self._udp.sendto(reply, source)
            except OSError:
                COUNTERS.add("dns.not_sent")

    def _accept(self, sock: socket.socket) -> None:
        try:
            source = sock.getpeername()[0]
        except OSError:
            sock.close()
            return

        def handle_data(connection: Connection) -> None:
            ring = connection.incoming
            while len(ring) >= 2 and len(ring) >= 2 + (size := int.from_bytes(ring.peek(2), "big")):
                wire = ring.peek(2 + size)[2:]
                ring.drop(2 + size)
                reply = self._master.answer(wire, source)
                if reply is not None:
                    connection.send(len(reply).to_bytes(2, "big") + reply)

        Connection(self._loop, sock, handle_data, lambda *_: None)
