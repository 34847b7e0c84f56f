"""TCP between members, through the addresses at which others reach them: bytes pass as the links allow.

A member dials from its own address, so that the proxy sees who it is. A cut or stalled link passes nothing
and closes nothing, as a net that has lost a cable: both ends have to find that out. What was on its way when
a link was cut comes once it is whole, as TCP sends it again.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

from reedmount.net.connection import Address
from standins.faults.net import Link

CHUNK = 65536
MAX_HELD = 1 << 20  # bytes that wait at one end: then no more is read from the other


@dataclass(slots=True)
class Half:
    """One direction of a pair."""

    source: socket.socket
    sink: socket.socket
    link: tuple[str, str]
    waiting: bytearray = field(default_factory=bytearray)


class Streams:
    """All connections between members that run now."""

    def __init__(
        self, own: dict[str, Address], proxies: dict[str, Address], links: dict[tuple[str, str], Link]
    ) -> None:
        self._own, self._links = own, links
        self._hosts = {address[0]: name for name, address in own.items()}
        self._listeners = {name: socket.create_server(address) for name, address in proxies.items()}
        for listener in self._listeners.values():
            listener.setblocking(False)
        self._pairs: list[tuple[Half, Half]] = []
        self.bytes = 0

    def descriptors(self) -> list[int]:
        """What to wait for."""
        reading = [
            half.source.fileno() for pair in self._pairs for half in pair
            if self._passes(half) and len(half.waiting) < MAX_HELD
        ]  # fmt: skip
        return [listener.fileno() for listener in self._listeners.values()] + reading

    def pump(self) -> None:
        """Pass on what may pass."""
        for to, listener in self._listeners.items():
            self._accept(to, listener)
        for pair in list(self._pairs):
            if not all([self._pass_on(half) for half in pair]):
                self._pairs.remove(pair)
                for half in pair:
                    half.source.close()

    def close(self) -> None:
        """Be gone."""
        for listener in self._listeners.values():
            listener.close()
        for pair in self._pairs:
            for half in pair:
                half.source.close()

    def _passes(self, half: Half) -> bool:
        link = self._links[half.link]
        return not link.cut and not link.stalled

    def _accept(self, to: str, listener: socket.socket) -> None:
        while True:
            try:
                near, source = listener.accept()
            except OSError:
                return
            sender = self._hosts.get(source[0])
            far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                if sender is None or sender == to:
                    raise OSError("a stranger")
                far.connect(self._own[to])  # on loopback: at once, or refused
            except OSError:
                near.close()
                far.close()
                continue
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pairs.append((Half(near, far, (sender, to)), Half(far, near, (to, sender))))

    def _pass_on(self, half: Half) -> bool:
        """Whether both ends are there still."""
        if not self._passes(half):
            return True
        if len(half.waiting) < MAX_HELD:
            try:
                data = half.source.recv(CHUNK)
            except BlockingIOError:
                pass
            except OSError:
                return False
            else:
                if not data:
                    return False
                half.waiting += data
                self.bytes += len(data)
        if half.waiting:
            try:
                del half.waiting[: half.sink.send(half.waiting)]
            except BlockingIOError:
                pass
            except OSError:
                return False
        return True
