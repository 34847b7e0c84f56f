"""Where dynamic updates arrive, and the pool that follows the zone."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from pathlib import Path

import dns.zone

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, log
from reedmount.core.switch import Switch
from reedmount.dns.update import Master
from reedmount.dns.zone import Found, first_choice, save, servers
from reedmount.net.connection import Address, Connection, both
from reedmount.net.loop import READ, Actor, Loop

LONGEST = 65535


class ZonePool:
    """Turns the zone into news of the pool: a record that is gone is a drain, a new one a fresh start."""

    def __init__(
        self, switch: Switch, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None
    ) -> None:
        self._switch, self._transports, self._write_back = switch, transports, write_back
        self._found: dict[str, Found] = servers(zone, transports)
        self._version = 1

    def start(self) -> None:
        """Tell the core what the zone file says."""
        told = [found.listed() for found in self._found.values()]
        self._switch.pool(self._version, i.ListKind.SAVED, told)

    def first_choice(self, number: str) -> int | None:
        """The server of first choice for a number called."""
        return first_choice(self._found, number)

    def reload(self, zone: dns.zone.Zone, transports: Sequence[str], write_back: Path | None) -> None:
        """The operator's file and the zone file have been read again: they hold from now on."""
        self._transports, self._write_back = transports, write_back
        self.changed(zone, saved=True)

    def changed(self, zone: dns.zone.Zone, saved: bool = False) -> None:
        """The zone is another. A new server may be cold: it counts as started now."""
        before, self._found = self._found, servers(zone, self._transports)
        now = self._switch.clock.now()
        news = [found.listed(serving=False) for name, found in before.items() if name not in self._found]
        for name, found in self._found.items():
            old = before.get(name)
            if old is None or (old.address, old.transport) != (found.address, found.transport):
                news.append(found.listed(started=now))
        if news:
            self._version += 1
            self._switch.pool(self._version, i.ListKind.CHANGES, news)
        log(f"zone changed: {len(self._found)} call servers, {len(news)} of them news", "dns.changed")
        if self._write_back is not None and not saved:
            try:
                save(zone, self._write_back)
            except OSError as error:
                COUNTERS.add("dns.not_saved")
                log(f"{self._write_back}: {error}", "dns.not_saved")


class UpdateServer:
    """UDP and TCP at one address, for messages to the primary of the zone."""

    def __init__(self, loop: Loop, address: Address, master: Master) -> None:
        self._loop, self._master = loop, master
        self._udp = both(loop, address, self._accept)
        self.address: Address = self._udp.getsockname()
        self._inbox: Actor[tuple[bytes, Address]] = Actor(loop, self._datagram)
        loop.watch(self._udp.fileno(), READ, self._readable)

    def _readable(self, _: int) -> None:
        while True:
            try:
                self._inbox.post(self._udp.recvfrom(LONGEST))
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

        def heard(connection: Connection) -> None:
            ring = connection.incoming
            while len(ring) >= 2 and len(ring) >= 2 + (size := int.from_bytes(ring.peek(2), "big")):
                wire = ring.peek(2 + size)[2:]
                ring.drop(2 + size)
                reply = self._master.answer(wire, source)
                if reply is not None:
                    connection.send(len(reply).to_bytes(2, "big") + reply)

        Connection(self._loop, sock, heard, lambda *_: None)
