"""Server transactions that have sent their final response, within a budget of memory."""

from __future__ import annotations

from typing import Protocol

from reedmount.core.checks import COUNTERS

MAX_MEMORY = 24 << 20  # bytes, of all finished transactions
SOURCE_SHARE = 0.25  # of that: a source with more loses its own oldest ones, others are not affected
TRANSACTION_OVERHEAD = 2048  # bytes of memory beside the last response


class Finished(Protocol):
    """A finished transaction: it only absorbs retransmissions and awaits an ACK."""

    @property
    def source(self) -> object:
        """Where its request came from."""

    def end(self) -> None:
        """End and forget the transaction."""


class FinishedTransactions:
    """The finished transactions, oldest first. Beyond the budget they end before their timers do.

    RFC 3261 has each of them kept for 64 * T1: whoever sends requests faster than that bears would fill the
    memory.
    """

    def __init__(self) -> None:
        self._sizes: dict[Finished, int] = {}
        self._by_source: dict[object, dict[Finished, None]] = {}
        self._source_bytes: dict[object, int] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """The number of finished transactions."""
        return len(self._sizes)

    def add(self, transaction: Finished, response_size: int) -> None:
        """Add a transaction; its last response has so many bytes."""
        size, source = TRANSACTION_OVERHEAD + response_size, transaction.source
        self._sizes[transaction] = size
        self._by_source.setdefault(source, {})[transaction] = None
        self._source_bytes[source] = self._source_bytes.get(source, 0) + size
        self._bytes += size
        while self._source_bytes.get(source, 0) > MAX_MEMORY * SOURCE_SHARE:
            self._end(next(iter(self._by_source[source])))
        while self._bytes > MAX_MEMORY:
            self._end(next(iter(self._sizes)))

    def discard(self, transaction: Finished) -> None:
        """Remove a transaction that has ended."""
        size = self._sizes.pop(transaction, None)
        if size is None:
            return
        source = transaction.source
        self._bytes -= size
        self._source_bytes[source] -= size
        del self._by_source[source][transaction]
        if not self._by_source[source]:
            del self._by_source[source], self._source_bytes[source]

    def _end(self, transaction: Finished) -> None:
        COUNTERS.add("sip.transactions_ended_early")
        self.discard(transaction)
        transaction.end()
