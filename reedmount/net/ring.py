"""A bounded ring buffer: one a direction for each connection."""

from __future__ import annotations

START = 1024


class Ring:
    """Bytes in order; it grows by doubling up to its bound and never beyond."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._store = bytearray()
        self._head = 0
        self._size = 0
        self.scanned = 0  # up to here its reader has looked for the end of a head in vain
        self.wanted = 0  # so many bytes its reader needs before it can go on

    def __len__(self) -> int:
        """How many bytes are held."""
        return self._size

    @property
    def room(self) -> int:
        """How many bytes still fit."""
        return self._bound - self._size

    def write(self, data: bytes) -> bool:
        """Append all of it, or nothing where it does not fit."""
        if len(data) > self.room:
            return False
        if not data:
            return True
        self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._store)
        first = min(len(data), len(self._store) - tail)
        self._store[tail : tail + first] = data[:first]
        self._store[: len(data) - first] = data[first:]
        self._size += len(data)
        return True

    def peek(self, most: int | None = None) -> bytes:
        """The oldest bytes, left where they are."""
        size = self._size if most is None else min(most, self._size)
        first = min(size, len(self._store) - self._head)
        return bytes(self._store[self._head : self._head + first]) + bytes(self._store[: size - first])

    def find(self, what: bytes, start: int) -> int:
        """Where something begins, at the start or after it; -1 where it is not there."""
        tail = self._head + start
        if tail < len(self._store) < self._head + self._size:
            at = self.peek().find(what, start)  # it goes round the end of the store
            return at
        begin = tail % len(self._store) if self._store else 0
        at = self._store.find(what, begin, begin + self._size - start)
        return at if at < 0 else at - begin + start

    def drop(self, count: int) -> None:
        """Remove the oldest bytes."""
        self.scanned = self.wanted = 0
        count = min(count, self._size)
        self._size -= count
        if self._size:
            self._head = (self._head + count) % len(self._store)
        else:
            self._head = 0
            if len(self._store) > START:
                self._store = bytearray()  # a long message has passed: idle connections are many

    def _grow(self, needed: int) -> None:
        if needed <= len(self._store):
            return
        size = max(len(self._store), START)
        while size < needed:
            size *= 2
        held = self.peek()
        self._store = bytearray(min(size, self._bound))
        self._store[: len(held)] = held
        self._head = 0
