"""The net between members: a proxy for each, through which all others reach it, and what each link does.

Member ``j`` is told to say that its address is that of its proxy. What ``i`` sends there comes from its own
socket, goes through the link from ``i`` to ``j``, and reaches ``j`` from ``i``'s proxy, as if from ``i``.
"""

from __future__ import annotations

import heapq
import random
import socket
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from reedmount.net.connection import Address

MAX_HELD = 1000  # datagrams that a stalled link keeps; what comes beyond that is lost


@dataclass(slots=True)
class Link:
    """One way from one member to another."""

    loss: float = 0.0
    twice: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # more than the spacing of datagrams puts them out of order
    cut: bool = False
    stalled: bool = False
    held: list[bytes] = field(default_factory=list)  # while it is stalled


class Net:
    """All links of a group. ``pump`` takes what has come and sends what is due."""

    def __init__(self, own: dict[str, Address], proxies: dict[str, Address], seed: int) -> None:
        self._own = own
        self._names = {address: name for name, address in own.items()}
        self._rng = random.Random(seed)
        self._socks = {name: self._bound(address) for name, address in proxies.items()}
        self.links = {(a, b): Link() for a in own for b in own if a != b}
        self.counts: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()  # by sender
        self.longest = 0
        self.taps: list[tuple[str, str, bytes]] = []
        self.tapped = False  # whether all datagrams are kept in ``taps``
        self._due: list[tuple[float, int, str, str, bytes]] = []
        self._order = 0

    @staticmethod
    def _bound(address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(address)
        sock.setblocking(False)
        return sock

    def descriptors(self) -> list[int]:
        """What to wait for."""
        return [sock.fileno() for sock in self._socks.values()]

    @property
    def due_at(self) -> float | None:
        """When the next delayed datagram goes on."""
        return self._due[0][0] if self._due else None

    def pump(self, now_s: float) -> None:
        """Take what has come, send what is due."""
        for to, sock in self._socks.items():
            while True:
                try:
                    data, source = sock.recvfrom(65536)
                except OSError:
                    break
                sender = self._names.get(source[:2])
                if sender is None:
                    self.counts["strangers"] += 1
                    continue
                self.counts["sent"] += 1
                self.bytes[sender] += len(data)
                self.longest = max(self.longest, len(data))
                if self.tapped:
                    self.taps.append((sender, to, data))
                self._through(now_s, sender, to, data)
        while self._due and self._due[0][0] <= now_s:
            _, _, sender, to, data = heapq.heappop(self._due)
            self._deliver(sender, to, data)

    def inject(self, sender: str, to: str, data: bytes) -> None:
        """Deliver a datagram now, as if it had been on its way until now."""
        self._deliver(sender, to, data)

    # --- faults ---

    def every(self, **changes: float) -> None:
        """Set figures of all links."""
        for link in self.links.values():
            for key, value in changes.items():
                setattr(link, key, value)

    def cut(self, one: Collection[str], other: Collection[str], both: bool = True) -> None:
        """Nothing gets from the ones to the others, nor (``both``) back."""
        for a, b in self._pairs(one, other):
            self.links[a, b].cut = True
            if both:
                self.links[b, a].cut = True

    def stall(self, one: str, other: str) -> None:
        """What goes that way is kept until the link is well again."""
        self.links[one, other].stalled = True

    def heal(self) -> None:
        """All links are whole; what stalled ones kept comes now, all at once."""
        for (a, b), link in self.links.items():
            link.cut = link.stalled = False
            held, link.held = link.held, []
            for data in held:
                self._deliver(a, b, data)

    @staticmethod
    def _pairs(one: Iterable[str], other: Collection[str]) -> Iterable[tuple[str, str]]:
        return ((a, b) for a in one for b in other if a != b)

    # --- a datagram's way ---

    def _through(self, now_s: float, sender: str, to: str, data: bytes) -> None:
        if sender == to:
            return
        link = self.links[sender, to]
        if link.cut or self._rng.random() < link.loss:
            self.counts["lost"] += 1
            return
        if link.stalled:
            if len(link.held) < MAX_HELD:
                link.held.append(data)
            return
        for _ in range(1 + (self._rng.random() < link.twice)):
            self._order += 1
            at_s = now_s + link.delay_s + self._rng.uniform(0, link.jitter_s)
            heapq.heappush(self._due, (at_s, self._order, sender, to, data))

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        try:
            self._socks[sender].sendto(data, self._own[to])
        except OSError:
            self.counts["undeliverable"] += 1

    def close(self) -> None:
        """Be gone."""
        for sock in self._socks.values():
            sock.close()
