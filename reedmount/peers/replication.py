"""Copies on the loop: the state machine of ``replicas/`` with its connections, its disk and the view.

Whoever serves calls says what is to be held (``hold``), and hears when that outlives a machine, or that it
did not in time; that another member's calls are now its own to finish; and that its own are another's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Protocol

import msgspec

from reedmount.core.actors import Timer
from reedmount.core.background import Slices, Urgency
from reedmount.core.checks import COUNTERS, log
from reedmount.members.record import State
from reedmount.members.wire import group_of
from reedmount.net.connection import Address
from reedmount.net.loop import Loop
from reedmount.peers.membership import Membership
from reedmount.peers.mesh import Mesh
from reedmount.replicas.holder import Kept
from reedmount.replicas.messages import Entry, Hello, Message, Phase, ShardId
from reedmount.replicas.owner import Durable, Send
from reedmount.replicas.replicas import Fenced, Forget, Pruned, Replicas, TakenOver
from reedmount.store.log import CorruptRecord, Log
from reedmount.store.writer import Writer

TICK = timedelta(milliseconds=100)
WAIT = timedelta(milliseconds=100)  # the longest that a caller waits for a promise
PATIENCE = timedelta(seconds=10)  # for calls, of what is to be forgotten
PROMISED = b"promised"  # the key under which the highest term of a shard is kept


class User(Protocol):
    """Who serves the calls."""

    def taken_over(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        """A dead member's call, not finished: release its sides, and say ``done`` with its record."""

    def inherits(self, shard: ShardId, keys: Collection[str]) -> None:
        """Its finished calls, whose records are kept from now on as long as our own."""

    def let_go(self, entry: Entry) -> None:
        """A call of ours that somebody else has taken: release it without a record."""

    def goes_on(self, entry: Entry) -> None:
        """A call of ours of which nobody else knows: it is to be held anew."""


@dataclass(slots=True)
class _Waiting:
    """Somebody waits until a step is durable."""

    seq: int
    then: Callable[[bool], None]
    timer: Timer


class Replication:
    """One member's copies. It owns the state machine, the mesh and, where there is a disk, its writer."""

    def __init__(
        self,
        loop: Loop,
        membership: Membership,
        name: str,
        group: str,
        address: Address,
        faults: int,
        store: Log | None = None,
        writer: Callable[[Callable[[int], None], Callable[[bool], None]], Writer] | None = None,
        wait: timedelta = WAIT,
    ) -> None:
        """``store``: opened; ``writer`` makes its writer. Without both a copy is kept in memory alone."""
        self._loop, self._membership, self._wait = loop, membership, wait
        voters = membership.protocol.count.current.names
        boot_id = membership.protocol.me.boot_id
        self.replicas = Replicas(name, boot_id, voters, faults)
        self.user: User | None = None
        self._store = store
        self._writer = None if writer is None else writer(self._on_disk, self._trouble)
        self._at_disk: deque[tuple[int, ShardId, int]] = deque()  # store's number, then what is kept with it
        self._waiting: dict[ShardId, deque[_Waiting]] = {}  # in the order of their steps
        self._flushing = self._closed = False
        self._trusted = True  # whether the disk takes what is written
        if store is not None:
            self._restore(store)
        hello = Hello(name, boot_id, group_of(group))
        self.mesh = Mesh(loop, hello, address, voters, self._address_of, self._heard, self._way)
        loop.call_later(TICK, self._tick)

    # --- for who serves calls ---

    def hold(
        self, key: str, phase: Phase, data: bytes, then: Callable[[bool], None] | None = None,
        shard: ShardId | None = None,
    ) -> ShardId:  # fmt: skip
        """A call has come so far. ``then`` hears True once that outlives f machines and their disks, or False
        after the longest wait: then it is not promised. Returns the shard that it is in."""
        shard = shard or self.replicas.shard
        seq = self.replicas.put(self._loop.clock.now(), key, phase, data, shard)
        if then is not None:
            self._wait_for(shard, seq, then)
        if not self._flushing:  # all that comes in this turn goes out together
            self._flushing = True
            self._loop.call_soon(self._flush)
        return shard

    def close(self) -> None:
        """Be gone, as a process that dies."""
        self._closed = True
        self.mesh.close()
        if self._writer is not None:
            self._writer.close()

    def view(self) -> dict[str, object]:
        """For the door."""
        return {
            "ways": self.mesh.ways,
            "shard": _text(self.replicas.shard),
            "disk": "none" if self._store is None else "trusted" if self._trusted else "failing",
            "owned": {
                _text(shard): {
                    "calls": len(owner.copy), "steps": owner.copy.seq, "durable": owner.durable,
                    "term": owner.copy.term.number, "holders": list(owner.holders),
                }
                for shard, owner in self.replicas.owners.items()
            },
            "held": {
                _text(shard): {"calls": len(copy), "steps": copy.seq, "complete": copy.complete}
                for shard, copy in self.replicas.copies.items()
            },
        }  # fmt: skip

    # --- the view ---

    @property
    def has_quorum(self) -> bool:
        """Whether we are in a majority."""
        return self._membership.standing.has_quorum

    def boot_id_of(self, name: str) -> int | None:
        """Of a member that is there, as far as we know."""
        known = self._membership.protocol.view.get(name)
        return known.boot_id if known is not None and known.there else None

    def _address_of(self, name: str) -> Address | None:
        known = self._membership.protocol.view.get(name)
        return known.address if known is not None and known.state is not State.LEFT else None

    # --- the state machine ---

    def _heard(self, sender: str, message: Message) -> None:
        self.replicas.heard(self._loop.clock.now(), sender, message)
        self._carry_out()

    def _way(self, name: str, there: bool) -> None:
        if there:
            self.replicas.connected(self._loop.clock.now(), name)
            self._carry_out()
        else:
            self.replicas.lost(name)

    def _tick(self) -> None:
        if self._closed:
            return
        self.replicas.tick(self._loop.clock.now(), self)
        self._carry_out()
        self._loop.call_later(TICK, self._tick)

    def _flush(self) -> None:
        self._flushing = False
        self.replicas.flush(self._loop.clock.now())
        self._carry_out()

    def _carry_out(self) -> None:
        while outputs := self.replicas.taken():
            for output in outputs:
                match output:
                    case Send(to, message):
                        self.mesh.send(to, message)
                    case Kept():
                        self._keep(output)
                    case Durable(shard, seq):
                        self._look_who_waits(shard, seq)
                    case TakenOver():
                        self._taken_over(output)
                    case Fenced():
                        self._fenced(output)
                    case Forget(shard):
                        self._forget(shard)
                    case Pruned(shard, keys):
                        self._prune(shard, keys)

    def _taken_over(self, taken: TakenOver) -> None:
        log(f"we act for {_text(taken.shard)}: {len(taken.unfinished)} calls", "copies.taken_over")
        if self.user is None:
            return
        self.user.inherits(taken.shard, taken.finished)
        for entry in taken.unfinished:
            self.user.taken_over(taken.shard, entry, self._finisher(taken.shard, entry.key))

    def _finisher(self, shard: ShardId, key: str) -> Callable[[bytes], None]:
        def finish(record: bytes) -> None:
            self.hold(key, Phase.OVER, record, shard=shard)

        return finish

    def _fenced(self, fenced: Fenced) -> None:
        log(f"another member has taken {_text(fenced.shard)}", "copies.fenced")
        self._nobody_keeps(fenced.shard)
        if self.user is None or fenced.shard.owner != self.replicas.shard.owner:
            return
        for entry in fenced.theirs:
            self.user.let_go(entry)
        for entry in fenced.ours:
            self.user.goes_on(entry)

    # --- who waits ---

    def _wait_for(self, shard: ShardId, seq: int, then: Callable[[bool], None]) -> None:
        def too_late() -> None:
            queue = self._waiting.get(shard)
            if queue is not None and waiting in queue:
                queue.remove(waiting)
                self._not_promised(waiting)

        waiting = _Waiting(seq, then, self._loop.call_later(self._wait, too_late))
        self._waiting.setdefault(shard, deque()).append(waiting)

    def _look_who_waits(self, shard: ShardId, durable: int) -> None:
        """Steps of one shard become durable in their order, so that the first that is not ends the look."""
        queue = self._waiting.get(shard)
        while queue and 0 < queue[0].seq <= durable:
            first = queue.popleft()
            first.timer.cancel()
            COUNTERS.add("replicas.promised")
            first.then(True)
        if not queue:
            self._waiting.pop(shard, None)

    def _nobody_keeps(self, shard: ShardId) -> None:
        """Somebody else has it: what was waited for there is not promised by us."""
        for waiting in self._waiting.pop(shard, ()):
            waiting.timer.cancel()
            self._not_promised(waiting)

    @staticmethod
    def _not_promised(waiting: _Waiting) -> None:
        COUNTERS.add("replicas.unpromised")
        waiting.then(False)

    # --- the disk ---

    def _keep(self, kept: Kept) -> None:
        if self._store is None or self._writer is None:
            if kept.seq is not None:
                self.replicas.kept(self._loop.clock.now(), kept.shard, kept.seq)
            return
        number: int | None = self._store.newest
        for entry in kept.entries:
            number = self._store.put(_key(kept.shard, entry.key), msgspec.msgpack.encode(entry))
        if number is None:
            COUNTERS.add("replicas.not_kept")  # the disk has failed for long: others have to carry it
            return
        if kept.seq is not None:
            self._at_disk.append((number, kept.shard, kept.seq))
        if kept.entries:
            self._writer.kick()
        else:  # what it waits for may be there already
            self._loop.call_soon(partial(self._on_disk, self._store.durable))

    def _on_disk(self, durable: int) -> None:
        now = self._loop.clock.now()
        while self._at_disk and self._at_disk[0][0] <= durable:
            _, shard, seq = self._at_disk.popleft()
            self.replicas.kept(now, shard, seq)
        self._carry_out()

    def _trouble(self, failing: bool) -> None:
        self._trusted = not failing

    def _prune(self, shard: ShardId, keys: Iterable[str]) -> None:
        if self._store is not None and self._writer is not None:
            for key in keys:
                self._store.delete(_key(shard, key))
            self._writer.kick()

    def _forget(self, shard: ShardId) -> None:
        """A shard is closed: what lies there of it goes, some keys at a time."""
        if self._store is not None:
            work = partial(self._forgetting, shard)
            self._loop.background.add("copies_forgotten", work, Urgency.SWEEP, PATIENCE)

    def _forgetting(self, shard: ShardId) -> Slices:
        prefix = _key(shard, "")
        keys = [key for key in self._store or () if key.startswith(prefix)]
        for at, key in enumerate(keys):
            if self._store is not None:
                self._store.delete(key)
            if at % 100 == 99:
                yield
        if self._writer is not None and not self._closed:
            self._writer.kick()

    def _restore(self, store: Log) -> None:
        """What lay on the disk goes to whoever acts for its owner; none of it is taken for complete."""
        found: dict[ShardId, list[Entry]] = {}
        for key in list(store):
            try:
                value = store.get(key)
                entry = msgspec.msgpack.decode(value or b"", type=Entry)
                shard = _shard_of(key)
            except (CorruptRecord, msgspec.DecodeError, ValueError):
                COUNTERS.add("replicas.unsound")  # others have it
                continue
            found.setdefault(shard, []).append(entry)
        for shard, entries in found.items():
            term = max(entry.term for entry in entries)
            self.replicas.restore(shard, term, entries)
        if found:
            count = sum(len(entries) for entries in found.values())
            log(f"the disk had {count} calls of {len(found)} shards", "copies.restored")


def _key(shard: ShardId, call: str) -> bytes:
    return f"{shard.owner}/{shard.boot_id:08x}/{shard.epoch:x}/{call}".encode()


def _shard_of(key: bytes) -> ShardId:
    owner, boot_id, epoch, _ = key.decode().split("/", 3)
    return ShardId(owner, int(boot_id, 16), int(epoch, 16))


def _text(shard: ShardId) -> str:
    return f"{shard.owner}/{shard.boot_id:08x}/{shard.epoch:x}"
