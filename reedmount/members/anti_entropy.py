"""Tables that differ where nothing is on its way that explains it: found by digests, mended by records."""

from __future__ import annotations

import random

from reedmount.core.checks import COUNTERS
from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.outbox import Outbox
from reedmount.members.record import Record
from reedmount.members.view import View
from reedmount.members.wire import Kind, Message, pack_buckets, unpack_buckets


class AntiEntropy:
    """Anti-entropy of the view: gossip is bounded, so some member misses something some day."""

    def __init__(
        self, view: View, outbox: Outbox, spread: DisseminationQueue[Record], rng: random.Random
    ) -> None:
        self._view, self._outbox, self._dissemination, self._rng = view, outbox, spread, rng
        self._mismatches = 0  # digests in a row that were other ones while nothing was on its way
        self._started = False  # in this period

    def begin_period(self) -> None:
        """A period of probes begins: in each one repair at most."""
        self._started = False

    def compare_digest(self, message: Message) -> None:
        """Look at the digest that a datagram brings; begin to mend what it shows."""
        if message.kind in (Kind.JOIN, Kind.BUCKETS, Kind.STATE):
            return
        if int.from_bytes(message.digest, "big") == self._view.digest:
            self._mismatches = 0
            return
        if len(self._dissemination) or self._started:
            return
        self._mismatches += 1
        if self._mismatches > 1:
            self._started = True
            COUNTERS.add("members.repairs")
            self._outbox.send(Kind.BUCKETS, message.sender, seq=1, buckets=pack_buckets(self._view.buckets))

    def handle_buckets(self, message: Message) -> None:
        """Tell what the other lacks; where it asks, have it tell us the same."""
        theirs = unpack_buckets(message.buckets)
        if not theirs:
            COUNTERS.add("members.dropped.buckets")
            return
        differing = self._view.differing_buckets(theirs)
        records = [record for bucket in differing for record in self._view.bucket_records(bucket)]
        self._rng.shuffle(records)  # more than fit now: the others have their chance the next time
        self._outbox.send_pages(message.sender, records)
        if message.seq == 1:
            self._outbox.send(Kind.BUCKETS, message.sender, seq=0, buckets=pack_buckets(self._view.buckets))
