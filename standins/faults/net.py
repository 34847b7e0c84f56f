"""Simulated UDP network between members: a proxy for each member, and links with configurable faults.

Member ``j`` is configured to advertise the address of its proxy. A datagram that ``i`` sends there from its
own socket passes the link from ``i`` to ``j`` and reaches ``j`` from the proxy of ``i``, as if sent by ``i``.
"""

from __future__ import annotations

import heapq
import random
import socket
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from reedmount.net.connection import Address

MAX_HELD = 1000  # datagrams that a stalled link queues; further ones are dropped


@dataclass(slots=True)
class Link:
    """One direction between two members."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # reorders datagrams where it exceeds their spacing
    cut: bool = False
    stalled: bool = False
    held: list[bytes] = field(default_factory=list)  # datagrams queued while it is stalled


class Net:
    """All links of a group. ``pump`` receives datagrams and forwards those that are due."""

    def __init__(self, own: dict[str, Address], proxies: dict[str, Address], seed: int) -> None:
        self._own = own
        self._names = {address: name for name, address in own.items()}
        self._rng = random.Random(seed)
        self._sockets = {name: self._bind(address) for name, address in proxies.items()}
        self.links = {(a, b): Link() for a in own for b in own if a != b}
        self.counts: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()  # by sender
        self.max_length = 0
        self.captured: list[tuple[str, str, bytes]] = []
        self.capturing = False  # whether all datagrams are recorded in ``captured``
        self._delayed: list[tuple[float, int, str, str, bytes]] = []
        self._sequence = 0

    @staticmethod
    def _bind(address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(address)
        sock.setblocking(False)
        return sock

    def descriptors(self) -> list[int]:
        """Return the file descriptors to poll for reading."""
        return [sock.fileno() for sock in self._sockets.values()]

    @property
    def due_at(self) -> float | None:
        """When the next delayed datagram is to be delivered."""
        return self._delayed[0][0] if self._delayed else None

    def pump(self, now_s: float) -> None:
        """Receive pending datagrams and deliver those that are due."""
        for to, sock in self._sockets.items():
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
                self.max_length = max(self.max_length, len(data))
                if self.capturing:
                    self.captured.append((sender, to, data))
                self._send_over_link(now_s, sender, to, data)
        while self._delayed and self._delayed[0][0] <= now_s:
            _, _, sender, to, data = heapq.heappop(self._delayed)
            self._deliver(sender, to, data)

    def inject(self, sender: str, to: str, data: bytes) -> None:
        """Deliver a datagram now, as one that the network delayed."""
        self._deliver(sender, to, data)

    # --- faults ---

    def set_links(self, **changes: float) -> None:
        """Set attributes of all links."""
        for link in self.links.values():
            for key, value in changes.items():
                setattr(link, key, value)

    def cut(self, first: Collection[str], second: Collection[str], both: bool = True) -> None:
        """Drop all datagrams from the first group to the second, and with ``both`` also back."""
        for a, b in self._pairs(first, second):
            self.links[a, b].cut = True
            if both:
                self.links[b, a].cut = True

    def stall(self, first: str, second: str) -> None:
        """Queue datagrams in this direction until ``heal``."""
        self.links[first, second].stalled = True

    def heal(self) -> None:
        """Repair all links; the datagrams queued on stalled ones are delivered at once."""
        for (a, b), link in self.links.items():
            link.cut = link.stalled = False
            held, link.held = link.held, []
            for data in held:
                self._deliver(a, b, data)

    @staticmethod
    def _pairs(first: Iterable[str], second: Collection[str]) -> Iterable[tuple[str, str]]:
        return ((a, b) for a in first for b in second if a != b)

    # --- delivery ---

    def _send_over_link(self, now_s: float, sender: str, to: str, data: bytes) -> None:
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
        for _ in range(1 + (self._rng.random() < link.duplicate)):
            self._sequence += 1
            at_s = now_s + link.delay_s + self._rng.uniform(0, link.jitter_s)
            heapq.heappush(self._delayed, (at_s, self._sequence, sender, to, data))

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        try:
            self._sockets[sender].sendto(data, self._own[to])
        except OSError:
            self.counts["undeliverable"] += 1

    def close(self) -> None:
        """Close the sockets."""
        for sock in self._sockets.values():
            sock.close()
