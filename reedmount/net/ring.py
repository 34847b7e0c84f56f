"""A bounded ring buffer; each connection has one per direction."""

from __future__ import annotations

INITIAL_SIZE = 1024


class Ring:
    """A FIFO of bytes. Its storage doubles as needed, up to the capacity."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._buffer = bytearray()
        self._head = 0
        self._size = 0
        self.scanned = 0  # the reader found no end of a message head before this offset
        self.needed = 0  # bytes that must be buffered before the reader can continue

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return self._size

    @property
    def room(self) -> int:
        """Number of bytes that can still be written."""
        return self._capacity - self._size

    def write(self, data: bytes) -> bool:
        """Append all of the data, or none of it and return False if it does not fit."""
        if len(data) > self.room:
            return False
        if not data:
            return True
        self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._buffer)
        first = min(len(data), len(self._buffer) - tail)
        self._buffer[tail : tail + first] = data[:first]
        self._buffer[: len(data) - first] = data[first:]
        self._size += len(data)
        return True

    def peek(self, limit: int | None = None) -> bytes:
        """Return the oldest bytes without removing them."""
        size = self._size if limit is None else min(limit, self._size)
        first = min(size, len(self._buffer) - self._head)
        return bytes(self._buffer[self._head : self._head + first]) + bytes(self._buffer[: size - first])

    def find(self, pattern: bytes, start: int) -> int:
        """Return the offset of the first occurrence at or after ``start``, or -1."""
        tail = self._head + start
        if tail < len(self._buffer) < self._head + self._size:
            at = self.peek().find(pattern, start)  # the data wraps around the end of the buffer
            return at
        begin = tail % len(self._buffer) if self._buffer else 0
        at = self._buffer.find(pattern, begin, begin + self._size - start)
        return at if at < 0 else at - begin + start

    def drop(self, count: int) -> None:
        """Remove the oldest bytes."""
        self.scanned = self.needed = 0
        count = min(count, self._size)
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._buffer)
        else:
            self._head = 0
            if len(self._buffer) > INITIAL_SIZE:
                self._buffer = bytearray()  # many connections are idle: keep no large buffer for them

    def _grow(self, needed: int) -> None:
        if needed <= len(self._buffer):
            return
        size = max(len(self._buffer), INITIAL_SIZE)
        while size < needed:
            size *= 2
        contents = self.peek()
        self._buffer = bytearray(min(size, self._capacity))
        self._buffer[: len(contents)] = contents
        self._head = 0
