"""Runs replication on the loop: the state machine of ``replicas/`` with its connections, disk and
membership view.

Whoever serves calls records them with ``hold``, and is called back when the record is durable, or that it
was not in time. ``ReplicationUser`` is notified of calls taken over from another member and of calls lost to
one.
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
from reedmount.replicas.holder import PendingWrite
from reedmount.replicas.messages import Entry, Hello, Message, Phase, ShardId
from reedmount.replicas.owner import Durable, Send
from reedmount.replicas.replicas import Fenced, Forget, Pruned, Replicas, TakenOver
from reedmount.store.log import CorruptRecord, Log
from reedmount.store.writer import Writer

TICK = timedelta(milliseconds=100)
DURABLE_TIMEOUT = timedelta(
    milliseconds=100
)  # the longest that a caller waits for its call to become durable
MAX_DELETE_DELAY = timedelta(seconds=10)  # the longest that deletions may be put off in favour of calls
PROMISED_TERM_KEY = b"promised"  # key of the highest term of a shard


class ReplicationUser(Protocol):
    """The part of the program that serves the calls."""

    def finish_call(self, shard: ShardId, entry: Entry, done: Callable[[bytes], None]) -> None:
        """An unfinished call of a dead member: releases its sides, and calls ``done`` with its record."""

    def inherit_records(self, shard: ShardId, keys: Collection[str]) -> None:
        """Finished calls of a dead member: their records are retained from now on as long as our own."""

    def release_call(self, entry: Entry) -> None:
        """A call of ours that another member has taken over: releases it without a record."""

    def replicate_again(self, entry: Entry) -> None:
        """A call of ours that no other member knows of: it must be held again, in the current shard."""


@dataclass(slots=True)
class _Waiter:
    """A callback that waits for a step to become durable."""

    seq: int
    on_result: Callable[[bool], None]
    timer: Timer


class Replication:
    """Replication of one member. It owns the state machine, the mesh and, if there is a disk, its writer."""

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
        wait: timedelta = DURABLE_TIMEOUT,
    ) -> None:
        """``store`` is open; ``writer`` creates its writer. Without both, replicas are held in memory
        only."""
        self._loop, self._membership, self._wait = loop, membership, wait
        voters = membership.protocol.quorum.current.names
        boot_id = membership.protocol.me.boot_id
        self.replicas = Replicas(name, boot_id, voters, faults)
        self.user: ReplicationUser | None = None
        self._store = store
        self._writer = None if writer is None else writer(self._on_persisted, self._on_disk_trouble)
        # The store's record number, and the shard and step that are persisted with it.
        self._pending_writes: deque[tuple[int, ShardId, int]] = deque()
        self._waiters: dict[ShardId, deque[_Waiter]] = {}  # in step order
        self._flushing = self._closed = False
        self._disk_trusted = True  # whether writes to the disk succeed
        if store is not None:
            self._restore(store)
        hello = Hello(name, boot_id, group_of(group))
        self.mesh = Mesh(
            loop, hello, address, voters, self._address_of, self._on_message, self._on_reachability
        )
        loop.call_later(TICK, self._tick)

    # --- for the user ---

    def hold(
        self, key: str, phase: Phase, data: bytes, on_result: Callable[[bool], None] | None = None,
        shard: ShardId | None = None,
    ) -> ShardId:  # fmt: skip
        """Records the next phase of a call. ``on_result`` is called with True once the record survives f
        machines with their disks, or with False after the timeout: it is then not known to be durable.
        Returns the shard that the call is in."""
        shard = shard or self.replicas.shard
        seq = self.replicas.put(self._loop.clock.now(), key, phase, data, shard)
        if on_result is not None:
            self._wait_for(shard, seq, on_result)
        if not self._flushing:  # everything recorded in this turn is sent together
            self._flushing = True
            self._loop.call_soon(self._flush)
        return shard

    def close(self) -> None:
        """Closes everything at once, as if the process had died."""
        self._closed = True
        self.mesh.close()
        if self._writer is not None:
            self._writer.close()

    def view(self) -> dict[str, object]:
        """The state shown by the admin server."""
        return {
            "ways": self.mesh.connected_members,
            "shard": _shard_text(self.replicas.shard),
            "disk": "none" if self._store is None else "trusted" if self._disk_trusted else "failing",
            "owned": {
                _shard_text(shard): {
                    "calls": len(owner.replica), "steps": owner.replica.seq, "durable": owner.durable,
                    "term": owner.replica.term.number, "holders": list(owner.holders),
                }
                for shard, owner in self.replicas.owners.items()
            },
            "held": {
                _shard_text(shard): {
                    "calls": len(replica), "steps": replica.seq, "complete": replica.complete
                }
                for shard, replica in self.replicas.held_replicas.items()
            },
        }  # fmt: skip

    # --- the membership view ---

    @property
    def has_quorum(self) -> bool:
        """Whether this member is part of a majority."""
        return self._membership.quorum_state.has_quorum

    def boot_id_of(self, name: str) -> int | None:
        """The boot id of a member that is alive as far as the membership view shows."""
        known = self._membership.protocol.view.get(name)
        return known.boot_id if known is not None and known.present else None

    def _address_of(self, name: str) -> Address | None:
        known = self._membership.protocol.view.get(name)
        return known.address if known is not None and known.state is not State.LEFT else None

    # --- the state machine ---

    def _on_message(self, sender: str, message: Message) -> None:
        self.replicas.receive(self._loop.clock.now(), sender, message)
        self._carry_out()

    def _on_reachability(self, name: str, reachable: bool) -> None:
        if reachable:
            self.replicas.connected(self._loop.clock.now(), name)
            self._carry_out()
        else:
            self.replicas.disconnected(name)

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
        while outputs := self.replicas.take_outputs():
            for output in outputs:
                match output:
                    case Send(to, message):
                        self.mesh.send(to, message)
                    case PendingWrite():
                        self._write(output)
                    case Durable(shard, seq):
                        self._complete_waiters(shard, seq)
                    case TakenOver():
                        self._handle_takeover(output)
                    case Fenced():
                        self._handle_fenced(output)
                    case Forget(shard):
                        self._delete_shard(shard)
                    case Pruned(shard, keys):
                        self._delete_keys(shard, keys)

    def _handle_takeover(self, takeover: TakenOver) -> None:
        log(
            f"took over shard {_shard_text(takeover.shard)}: {len(takeover.unfinished)} calls",
            "copies.taken_over",
        )
        if self.user is None:
            return
        self.user.inherit_records(takeover.shard, takeover.finished)
        for entry in takeover.unfinished:
            self.user.finish_call(takeover.shard, entry, self._finisher(takeover.shard, entry.key))

    def _finisher(self, shard: ShardId, key: str) -> Callable[[bytes], None]:
        def finish(record: bytes) -> None:
            self.hold(key, Phase.COMPLETED, record, shard=shard)

        return finish

    def _handle_fenced(self, fenced: Fenced) -> None:
        log(f"another member has taken over shard {_shard_text(fenced.shard)}", "copies.fenced")
        self._fail_waiters(fenced.shard)
        if self.user is None or fenced.shard.owner != self.replicas.shard.owner:
            return
        for entry in fenced.sent:
            self.user.release_call(entry)
        for entry in fenced.unsent:
            self.user.replicate_again(entry)

    # --- waiting for durability ---

    def _wait_for(self, shard: ShardId, seq: int, on_result: Callable[[bool], None]) -> None:
        def on_timeout() -> None:
            queue = self._waiters.get(shard)
            if queue is not None and waiter in queue:
                queue.remove(waiter)
                self._report_not_durable(waiter)

        waiter = _Waiter(seq, on_result, self._loop.call_later(self._wait, on_timeout))
        self._waiters.setdefault(shard, deque()).append(waiter)

    def _complete_waiters(self, shard: ShardId, durable: int) -> None:
        """Steps of a shard become durable in order, so that the first one that is not ends the search."""
        queue = self._waiters.get(shard)
        while queue and 0 < queue[0].seq <= durable:
            waiter = queue.popleft()
            waiter.timer.cancel()
            COUNTERS.add("replicas.promised")
            waiter.on_result(True)
        if not queue:
            self._waiters.pop(shard, None)

    def _fail_waiters(self, shard: ShardId) -> None:
        """Another member has the shard: this one cannot confirm that the pending steps are durable."""
        for waiter in self._waiters.pop(shard, ()):
            waiter.timer.cancel()
            self._report_not_durable(waiter)

    @staticmethod
    def _report_not_durable(waiter: _Waiter) -> None:
        COUNTERS.add("replicas.unpromised")
        waiter.on_result(False)

    # --- the disk ---

    def _write(self, write: PendingWrite) -> None:
        if self._store is None or self._writer is None:
            if write.seq is not None:
                self.replicas.persisted(self._loop.clock.now(), write.shard, write.seq)
            return
        number: int | None = self._store.newest
        for entry in write.entries:
            number = self._store.put(_key(write.shard, entry.key), msgspec.msgpack.encode(entry))
        if number is None:
            # The disk has failed for long: durability depends on the other members.
            COUNTERS.add("replicas.not_kept")
            return
        if write.seq is not None:
            self._pending_writes.append((number, write.shard, write.seq))
        if write.entries:
            self._writer.kick()
        else:  # the data may be on disk already
            self._loop.call_soon(partial(self._on_persisted, self._store.durable))

    def _on_persisted(self, durable: int) -> None:
        now = self._loop.clock.now()
        while self._pending_writes and self._pending_writes[0][0] <= durable:
            _, shard, seq = self._pending_writes.popleft()
            self.replicas.persisted(now, shard, seq)
        self._carry_out()

    def _on_disk_trouble(self, failing: bool) -> None:
        self._disk_trusted = not failing

    def _delete_keys(self, shard: ShardId, keys: Iterable[str]) -> None:
        if self._store is not None and self._writer is not None:
            for key in keys:
                self._store.delete(_key(shard, key))
            self._writer.kick()

    def _delete_shard(self, shard: ShardId) -> None:
        """Deletes a closed shard from disk, some keys at a time."""
        if self._store is not None:
            work = partial(self._deletion_slices, shard)
            self._loop.background.add("copies_forgotten", work, Urgency.SWEEP, MAX_DELETE_DELAY)

    def _deletion_slices(self, shard: ShardId) -> Slices:
        prefix = _key(shard, "")
        keys = [key for key in self._store or () if key.startswith(prefix)]
        for index, key in enumerate(keys):
            if self._store is not None:
                self._store.delete(key)
            if index % 100 == 99:
                yield
        if self._writer is not None and not self._closed:
            self._writer.kick()

    def _restore(self, store: Log) -> None:
        """Adds the entries found on disk for a future failover; none of them is treated as complete."""
        found: dict[ShardId, list[Entry]] = {}
        for key in list(store):
            try:
                value = store.get(key)
                entry = msgspec.msgpack.decode(value or b"", type=Entry)
                shard = _parse_shard(key)
            except (CorruptRecord, msgspec.DecodeError, ValueError):
                COUNTERS.add("replicas.unsound")  # the other replicas have it
                continue
            found.setdefault(shard, []).append(entry)
        for shard, entries in found.items():
            term = max(entry.term for entry in entries)
            self.replicas.restore(shard, term, entries)
        if found:
            count = sum(len(entries) for entries in found.values())
            log(f"restored {count} calls of {len(found)} shards from disk", "copies.restored")


def _key(shard: ShardId, call: str) -> bytes:
    return f"{shard.owner}/{shard.boot_id:08x}/{shard.epoch:x}/{call}".encode()


def _parse_shard(key: bytes) -> ShardId:
    owner, boot_id, epoch, _ = key.decode().split("/", 3)
    return ShardId(owner, int(boot_id, 16), int(epoch, 16))


def _shard_text(shard: ShardId) -> str:
    return f"{shard.owner}/{shard.boot_id:08x}/{shard.epoch:x}"
