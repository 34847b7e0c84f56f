"""Anti-entropy: finds views that differ although no update is pending, by digests, and exchanges records."""

from __future__ import annotations

import random

from reedmount.core.checks import COUNTERS
from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.outbox import Outbox
from reedmount.members.record import Record
from reedmount.members.view import View
from reedmount.members.wire import Kind, Message, pack_buckets, unpack_buckets


class AntiEntropy:
    """Anti-entropy of the view: gossip is bounded, so a member may miss an update."""

    def __init__(
        self, view: View, outbox: Outbox, dissemination: DisseminationQueue[Record], rng: random.Random
    ) -> None:
        self._view, self._outbox, self._dissemination, self._rng = view, outbox, dissemination, rng
        self._mismatches = 0  # consecutive differing digests while no update was pending
        self._started = False  # an exchange in this period

    def begin_period(self) -> None:
        """Start a probe period, in each of which at most one exchange is started."""
        self._started = False

    def compare_digest(self, message: Message) -> None:
        """Compare the sender's digest with ours; at the second mismatch in a row, start an exchange."""
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
        """Send the records of differing buckets; if the sender requests it, also our bucket digests."""
        theirs = unpack_buckets(message.buckets)
        if not theirs:
            COUNTERS.add("members.dropped.buckets")
            return
        differing_buckets = self._view.differing_buckets(theirs)
        records = [record for bucket in differing_buckets for record in self._view.bucket_records(bucket)]
        self._rng.shuffle(records)  # not all may fit: each gets its chance in a later exchange
        self._outbox.send_pages(message.sender, records)
        if message.seq == 1:
            self._outbox.send(Kind.BUCKETS, message.sender, seq=0, buckets=pack_buckets(self._view.buckets))
