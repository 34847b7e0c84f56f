"""Keeps the replicated records of this border controller's calls and completes those of failed members."""

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

SWEEP_INTERVAL = timedelta(seconds=1)
MAX_SWEPT = 1000  # records dropped per sweep
MAX_REFERENCE_LENGTH = 256  # characters of a Call-ID that are stored
PAGE_SIZE = 256  # records in one response of the admin server
Callback = Callable[[], None]


class CallRecords:
    """Owns the records of the calls in progress here and the queue of completed records."""

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
        self._active: dict[str, tuple[ShardId, CallRecord]] = {}  # records of calls in progress, by call name
        self._completed: deque[tuple[datetime, str, ShardId]] = deque()
        replication.user = self
        switch.recorder = front.recorder = self
        loop.call_later(SWEEP_INTERVAL, self._sweep)

    def view(self, query: dict[str, str]) -> dict[str, object]:
        """A page of the completed records owned here, for the admin server; ``after`` is the number of
        records to skip. Each record is listed by one member only: the last owner of the call."""
        text = query.get("after", "0")
        after = int(text) if text.isdecimal() and len(text) < 12 else 0
        found = list(islice(self._records(), after, after + PAGE_SIZE + 1))
        page = [record for record in found[:PAGE_SIZE] if record is not None]
        return {"records": page, "next": after + PAGE_SIZE if len(found) > PAGE_SIZE else None}

    def _records(self) -> Iterator[dict[str, object] | None]:
        for owner in self._replication.replicas.owners.values():
            for entry in owner.replica:
                if entry.phase is Phase.COMPLETED:
                    yield self._public_fields(entry)

    def _public_fields(self, entry: Entry) -> dict[str, object] | None:
        try:
            record = decode(entry.data)
        except ValueError:
            COUNTERS.add("records.unreadable")
            return None
        fields = msgspec.structs.asdict(record)
        del fields["sides"]
        return fields

    # --- notifications from the core ---

    def call_offered(self, offer: Offer, at: datetime) -> None:
        """A call has arrived. Its record is written while the set-up, which takes longer, goes on."""
        record = CallRecord(
            offer.name,
            offer.call_class,
            offer.number,
            micros(at),
            reference=offer.reference[:MAX_REFERENCE_LENGTH],
        )
        self._active[offer.name] = self._replicate(Phase.ACCEPTED, record), record

    def call_rejected(self, name: str, outcome: str, attempts: int, server: str, answer: Callback) -> None:
        """Refused or failed: the caller is answered once the record is durable or the wait is over."""
        known = self._active.pop(name, None)
        if known is None:
            answer()
            return
        shard, record = known
        now = micros(self._loop.clock.now())
        record = replace(
            record, answered_us=now, ended_us=now, outcome=outcome, attempts=attempts, server=server
        )
        self._complete(shard, record, lambda _: answer())

    def call_ended(self, name: str, how: str) -> None:
        """An established call has ended: its record is written afterwards, nobody waits for it."""
        known = self._active.pop(name, None)
        if known is not None:
            shard, record = known
            now = micros(self._loop.clock.now())
            self._complete(shard, replace(record, ended_us=now, outcome=how, sides=()))

    def call_forgotten(self, name: str, attempts: int, server: str) -> None:
        """The core has forgotten the call; if no other end was reported, its caller has given it up."""
        known = self._active.pop(name, None)
        if known is not None:
            shard, record = known
            now = micros(self._loop.clock.now())
            self._complete(
                shard, replace(record, ended_us=now, outcome="given up", attempts=attempts, server=server)
            )

    # --- notifications from the front ---

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Callback
    ) -> None:
        """A call server has answered: ``then`` acknowledges the answer and passes it to the caller."""
        known = self._active.get(name)
        if known is None:
            then()
            return
        shard, record = known
        record = replace(
            record, answered_us=micros(self._loop.clock.now()), outcome="stands", attempts=attempts,
            server=server, sides=sides,
        )  # fmt: skip
        self._active[name] = self._replicate(Phase.ESTABLISHED, record, shard, lambda _: then()), record

    # --- notifications from the replicas ---

    def finish_call(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        """A call of a failed border controller: release both of its dialogs and complete its record."""
        self.inherit_records(shard, (entry.key,))
        try:
            record = decode(entry.data)
        except ValueError as error:
            COUNTERS.add("records.unreadable")
            log(f"a record of {entry.key} cannot be read: {error}", "records.unreadable")
            done(entry.data)
            return
        for side in record.sides:
            COUNTERS.add("records.released")
            self._front.release_for(side, CUT)
        COUNTERS.add("records.finished")
        how = "its owner died" if record.sides else "its owner died before an answer"
        done(encode(replace(
            record, ended_us=micros(self._loop.clock.now()), outcome=how, finished_by=self._name, sides=()
        )))  # fmt: skip

    def inherit_records(self, shard: ShardId, keys: Collection[str]) -> None:
        """Completed records of a failed member: they are kept as long as our own."""
        now = self._loop.clock.now()
        self._completed += [(now, key, shard) for key in keys]

    def release_call(self, entry: Entry) -> None:
        """Another member has taken over this call of ours and released it: end it here, without a record."""
        COUNTERS.add("records.let_go")
        self._active.pop(entry.key, None)
        self._switch.terminate(entry.key)

    def replicate_again(self, entry: Entry) -> None:
        """No other member has this call: store it again, in the shard that we own now."""
        known = self._active.get(entry.key)
        if known is None:
            return
        record = known[1]
        self._active[entry.key] = (
            self._replicate(Phase.ESTABLISHED if record.sides else Phase.ACCEPTED, record),
            record,
        )

    # --- storage ---

    def _replicate(
        self, phase: Phase, record: CallRecord, shard: ShardId | None = None,
        then: Callable[[bool], None] | None = None,
    ) -> ShardId:  # fmt: skip
        data = encode(record)
        if len(data) > MAX_DATA:
            # Unbounded route sets: the record is worth more than the release that a survivor could send.
            COUNTERS.add("records.too_long")
            data = encode(replace(record, sides=(), number=record.number[:64]))
        return self._replication.hold(record.name, phase, data, then, shard)

    def _complete(
        self, shard: ShardId, record: CallRecord, then: Callable[[bool], None] | None = None
    ) -> None:
        COUNTERS.add("records.complete")
        record_shard = self._replicate(Phase.COMPLETED, record, shard, then)
        self._completed.append((self._loop.clock.now(), record.name, record_shard))

    def _sweep(self) -> None:
        """Drops records that have been kept for ``keep_for``."""
        now = self._loop.clock.now()
        for _ in range(min(MAX_SWEPT, len(self._completed))):
            at, name, shard = self._completed[0]
            if now - at < self._keep_for:
                break
            self._completed.popleft()
            self._replication.hold(name, Phase.DROPPED, b"", None, shard)
        self._loop.call_later(SWEEP_INTERVAL, self._sweep)
