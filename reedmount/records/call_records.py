"""Holds what is promised of the calls of this border controller, and finishes those of dead ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterator
from datetime import datetime, timedelta
from itertools import islice

import msgspec
from msgspec.structs import replace

from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import micros
from reedmount.core.ports import CUT, Offer
from reedmount.core.switch import Switch
from reedmount.fronts.sip import SipFront
from reedmount.net.loop import Loop
from reedmount.peers.replication import Replication
from reedmount.records.record import CallRecord, decode, encode
from reedmount.replicas.messages import MAX_DATA, Entry, Phase, ShardId
from reedmount.sip.dialog import DialogState

SWEEP_EVERY = timedelta(seconds=1)
SWEPT_AT_ONCE = 1000
MAX_REFERENCE = 256  # characters of a Call-ID
PAGE = 256  # records in one answer at the door
Then = Callable[[], None]


class CallRecords:
    """It owns what is held of the calls that are here, and the queue of records that are complete."""

    def __init__(
        self,
        loop: Loop,
        switch: Switch,
        front: SipFront,
        replication: Replication,
        name: str,
        keep_for: timedelta,
    ) -> None:
        """``keep_for``: how long a complete record is kept."""
        self._loop, self._switch, self._front, self._replication = loop, switch, front, replication
        self._name, self._keep_for = name, keep_for
        self._held: dict[str, tuple[ShardId, CallRecord]] = {}  # until it is over
        self._complete: deque[tuple[datetime, str, ShardId]] = deque()
        replication.user = self
        switch.recorder = front.recorder = self
        loop.call_later(SWEEP_EVERY, self._sweep)

    def view(self, query: dict[str, str]) -> dict[str, object]:
        """A page of the complete records that are ours, for the door; ``after`` asks for what comes behind so
        many. Each record is at one member: whoever owned the call last."""
        text = query.get("after", "0")
        after = int(text) if text.isdecimal() and len(text) < 12 else 0
        found = list(islice(self._records(), after, after + PAGE + 1))
        page = [record for record in found[:PAGE] if record is not None]
        return {"records": page, "next": after + PAGE if len(found) > PAGE else None}

    def _records(self) -> Iterator[dict[str, object] | None]:
        for owner in self._replication.replicas.owners.values():
            for entry in owner.replica:
                if entry.phase is Phase.COMPLETED:
                    yield self._shown(entry)

    def _shown(self, entry: Entry) -> dict[str, object] | None:
        try:
            held = decode(entry.data)
        except ValueError:
            COUNTERS.add("records.unreadable")
            return None
        shown = msgspec.structs.asdict(held)
        del shown["sides"]
        return shown

    # --- what the core tells ---

    def call_offered(self, offer: Offer, at: datetime) -> None:
        """A call has come. Written behind its set-up, which takes longer."""
        held = CallRecord(
            offer.name, offer.call_class, offer.number, micros(at), reference=offer.reference[:MAX_REFERENCE]
        )
        self._held[offer.name] = self._hold(Phase.ACCEPTED, held), held

    def call_rejected(self, name: str, outcome: str, attempts: int, server: str, answer: Then) -> None:
        """It is refused or has failed: its caller is told once its record is safe, or the wait is over."""
        known = self._held.pop(name, None)
        if known is None:
            answer()
            return
        shard, held = known
        now = micros(self._loop.clock.now())
        held = replace(held, answered_us=now, ended_us=now, outcome=outcome, attempts=attempts, server=server)
        self._finish(shard, held, lambda _: answer())

    def call_ended(self, name: str, how: str) -> None:
        """A call that stood has come to its end: written behind that."""
        known = self._held.pop(name, None)
        if known is not None:
            shard, held = known
            now = micros(self._loop.clock.now())
            self._finish(shard, replace(held, ended_us=now, outcome=how, sides=()))

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        """The core has forgotten it; where nothing else was said of its end, its caller has given it up."""
        known = self._held.pop(name, None)
        if known is not None:
            shard, held = known
            now = micros(self._loop.clock.now())
            self._finish(
                shard, replace(held, ended_us=now, outcome="given up", attempts=attempts, server=server)
            )

    # --- what the front tells ---

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Then
    ) -> None:
        """A call server has answered: ``then`` acknowledges that and tells the caller."""
        known = self._held.get(name)
        if known is None:
            then()
            return
        shard, held = known
        held = replace(
            held, answered_us=micros(self._loop.clock.now()), outcome="stands", attempts=attempts,
            server=server, sides=sides,
        )  # fmt: skip
        self._held[name] = self._hold(Phase.ESTABLISHED, held, shard, lambda _: then()), held

    # --- what the copies tell ---

    def finish_call(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        """A dead border controller's call: release its sides, complete its record."""
        self.inherit_records(shard, (entry.key,))
        try:
            held = decode(entry.data)
        except ValueError as error:
            COUNTERS.add("records.unreadable")
            log(f"a record of {entry.key} cannot be read: {error}", "records.unreadable")
            done(entry.data)
            return
        for side in held.sides:
            COUNTERS.add("records.released")
            self._front.release_for(side, CUT)
        COUNTERS.add("records.finished")
        how = "its owner died" if held.sides else "its owner died before an answer"
        done(encode(replace(
            held, ended_us=micros(self._loop.clock.now()), outcome=how, finished_by=self._name, sides=()
        )))  # fmt: skip

    def inherit_records(self, shard: ShardId, keys: Collection[str]) -> None:
        """Complete records of a dead one: they are kept as long as our own."""
        now = self._loop.clock.now()
        self._complete += [(now, key, shard) for key in keys]

    def release_call(self, entry: Entry) -> None:
        """Another member has this call of ours: it released it, and we let go of it, without a record."""
        COUNTERS.add("records.let_go")
        self._held.pop(entry.key, None)
        self._switch.terminate(entry.key)

    def replicate_again(self, entry: Entry) -> None:
        """Nobody else ever heard of this one: it is held anew, in the shard that we have now."""
        known = self._held.get(entry.key)
        if known is None:
            return
        held = known[1]
        self._held[entry.key] = self._hold(Phase.ESTABLISHED if held.sides else Phase.ACCEPTED, held), held

    # --- keeping ---

    def _hold(
        self, phase: Phase, held: CallRecord, shard: ShardId | None = None,
        then: Callable[[bool], None] | None = None,
    ) -> ShardId:  # fmt: skip
        data = encode(held)
        if len(data) > MAX_DATA:
            # Routes without measure: the record is worth more than a release that a survivor could send.
            COUNTERS.add("records.too_long")
            data = encode(replace(held, sides=(), number=held.number[:64]))
        return self._replication.hold(held.name, phase, data, then, shard)

    def _finish(self, shard: ShardId, held: CallRecord, then: Callable[[bool], None] | None = None) -> None:
        COUNTERS.add("records.complete")
        where = self._hold(Phase.COMPLETED, held, shard, then)
        self._complete.append((self._loop.clock.now(), held.name, where))

    def _sweep(self) -> None:
        """Records that were kept for long enough go."""
        now = self._loop.clock.now()
        for _ in range(min(SWEPT_AT_ONCE, len(self._complete))):
            at, name, shard = self._complete[0]
            if now - at < self._keep_for:
                break
            self._complete.popleft()
            self._replication.hold(name, Phase.DROPPED, b"", None, shard)
        self._loop.call_later(SWEEP_EVERY, self._sweep)
