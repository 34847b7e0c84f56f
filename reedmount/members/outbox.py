"""Outgoing datagrams: first the record that the receiver may have to refute, then as many updates as fit."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from reedmount.core.checks import COUNTERS
from reedmount.members.dissemination import DisseminationQueue
from reedmount.members.knowledge import Observation
from reedmount.members.quorum import QuorumState
from reedmount.members.record import Record, State
from reedmount.members.view import Change, View
from reedmount.members.wire import Kind, Message, write, write_observations
from reedmount.net.connection import Address

MAX_UPDATES = 12  # records that could fit into a datagram
MAX_PAGES = 3  # datagrams in one answer


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to send."""

    to: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class QuorumChanged:
    """The quorum state of this member has changed."""

    old: QuorumState
    new: QuorumState


@dataclass(frozen=True, slots=True)
class ObservationsReceived:
    """New observations of call servers by other members."""

    observations: tuple[Observation, ...]


Output = Send | Change | QuorumChanged | ObservationsReceived


class Outbox:
    """Collects datagrams and events for the owner, in order; holds this member's own record."""

    def __init__(self, group: int, me: Record, view: View, dissemination: DisseminationQueue[Record]) -> None:
        self.me = me
        self._group, self._view, self._dissemination = group, view, dissemination
        self._out: list[Output] = []

    def add(self, output: Output) -> None:
        """Add an event for the owner."""
        self._out.append(output)

    def collect(self) -> list[Output]:
        """Return and clear the collected outputs."""
        out, self._out = self._out, []
        return out

    def send(
        self,
        kind: Kind,
        to: Record,
        seq: int = 0,
        target: str = "",
        buckets: bytes = b"",
        first: tuple[Record, ...] = (),
    ) -> None:
        """Send a datagram to a member: the claim it may have to refute, then ``first``, then updates."""
        self.send_to(kind, to.address, seq, target, buckets, (*self._refutable_claim(to), *first))

    def send_to(
        self,
        kind: Kind,
        to: Address,
        seq: int = 0,
        target: str = "",
        buckets: bytes = b"",
        first: tuple[Record, ...] = (),
    ) -> None:
        """Send a datagram to an address whose member is not known."""
        updates = [*first, *self._pending_updates(first)]
        data, sent = write(self._group, self._message(kind, seq, target, buckets), updates)
        self._dissemination.sent(updates[len(first) : sent], len(self._view.present) + 1)
        self._post(to, data)

    def send_pages(self, to: Record, records: list[Record]) -> None:
        """Send as many of these records as fit into ``MAX_PAGES`` datagrams."""
        claim = self._refutable_claim(to)
        for _ in range(MAX_PAGES):
            if not records and not claim:
                return
            data, sent = write(self._group, self._message(Kind.STATE), [*claim, *records])
            self._post(to.address, data)
            records, claim = records[max(0, sent - len(claim)) :], ()

    def send_observations(self, to: Record, observations: list[Observation]) -> int:
        """Send a datagram of call server observations; returns how many fitted."""
        data, sent = write_observations(self._group, self._message(Kind.OBSERVATIONS), observations)
        self._post(to.address, data)
        return sent

    def _post(self, to: Address, data: bytes) -> None:
        COUNTERS.add("members.sent")
        COUNTERS.add("members.sent_bytes", len(data))
        self._out.append(Send(to, data))

    def _message(self, kind: Kind, seq: int = 0, target: str = "", buckets: bytes = b"") -> Message:
        return Message(kind, seq, self.me, self._view.digest.to_bytes(8, "big"), target, buckets)

    def _refutable_claim(self, to: Record) -> tuple[Record, ...]:
        """Lifeguard's buddy system: a member that is suspected or outranked in our view hears of it first."""
        known = self._view.get(to.name)
        if known is not None and (known.state is not State.ALIVE or known.rank > to.rank):
            return (known,)
        return ()

    def _pending_updates(self, exclude: tuple[Record, ...]) -> Iterable[Record]:
        names = {record.name for record in exclude}
        updates = []
        for record in self._dissemination.pending():
            if record.name not in names:
                updates.append(record)
            if len(updates) == MAX_UPDATES:
                break
        return updates
