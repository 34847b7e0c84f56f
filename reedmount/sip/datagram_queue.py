"""Received datagrams that wait to be handled, bounded, and served in turn by their sources."""

from __future__ import annotations

from collections import deque

from reedmount.net.connection import Address

MAX_SOURCE_BYTES = 131072  # that wait of one source
MAX_BYTES = 4 << 20  # that wait of all sources
DATAGRAM_OVERHEAD = 256  # bytes of memory beside the data of one datagram


class DatagramQueue:
    """A queue for each source; the next datagram is that of the source that was served longest ago.

    So a source that sends faster than it is served loses its own datagrams, and delays no other's.
    """

    def __init__(self) -> None:
        self._by_source: dict[Address, deque[bytes]] = {}  # in the order in which they are served
        self._source_bytes: dict[Address, int] = {}
        self._bytes = 0

    def __bool__(self) -> bool:
        """Whether any datagram waits."""
        return bool(self._by_source)

    def add(self, data: bytes, source: Address) -> bool:
        """Queue a datagram; False if its source, or all sources together, have too many waiting."""
        size = DATAGRAM_OVERHEAD + len(data)
        waiting = self._source_bytes.get(source, 0)
        if waiting + size > MAX_SOURCE_BYTES or self._bytes + size > MAX_BYTES:
            return False
        self._by_source.setdefault(source, deque()).append(data)
        self._source_bytes[source] = waiting + size
        self._bytes += size
        return True

    def pop(self) -> tuple[bytes, Address]:
        """Take the next datagram and its source; IndexError if none waits."""
        if not self._by_source:
            raise IndexError("no datagram waits")
        source = next(iter(self._by_source))
        datagrams = self._by_source.pop(source)
        data = datagrams.popleft()
        size = DATAGRAM_OVERHEAD + len(data)
        self._bytes -= size
        if datagrams:
            self._by_source[source] = datagrams  # behind the others
            self._source_bytes[source] -= size
        else:
            del self._source_bytes[source]
        return data, source
