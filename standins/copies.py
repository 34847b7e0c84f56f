"""Simulation of members that replicate calls, in virtual time: broken links, killed members, calls.

The state machines are those of the program; network, views and calls are simulated. A run is reproducible
from its seed.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.core.clock import EPOCH
from reedmount.replicas.holder import PendingWrite
from reedmount.replicas.messages import Message, Phase, ShardId, Term, frame, unframe
from reedmount.replicas.owner import Durable, Send
from reedmount.replicas.replicas import Fenced, Replicas, TakenOver

START = EPOCH + timedelta(days=20_000)
DEAD_AFTER_S = 3.0  # until a member that is down or cut off is declared dead
ALIVE_AFTER_S = 1.0  # until a member that has returned is seen alive
TICK_S = 0.1
LATENCY_S = (0.0005, 0.004)
DISK_WRITE_S = (0.0002, 0.004)


@dataclass(slots=True)
class Call:
    """One call, as its caller sees it."""

    key: str
    owner: str
    boot_id: int
    seqs: dict[Phase, tuple[ShardId, int]] = field(default_factory=dict)
    established: bool = False  # its dialogs are durable, and its caller got its 200
    ended: bool = False  # whether its owner ended it
    dropped: bool = False
    released: list[str] = field(default_factory=list)  # the members that took over and released it


@dataclass(slots=True)
class Member:
    """One process."""

    name: str
    boot_id: int = 0
    replicas: Replicas | None = None


class Group:
    """All members. ``run`` advances the time; ``problems`` lists violations."""

    def __init__(self, count: int, seed: int, faults: int = 1, rate: float = 8.0) -> None:
        self.rng = random.Random(seed)
        self.names = [f"n{number}" for number in range(count)]
        self.faults, self.rate = faults, rate
        self.members = {name: Member(name) for name in self.names}
        self.calls: dict[str, Call] = {}
        # By owner, in the current run of its process.
        self._open: dict[str, dict[str, Call]] = defaultdict(dict)
        self.terms: dict[tuple[ShardId, Term], str] = {}
        self.problems: list[str] = []
        self.now_s = 0.0
        self.messages = self.bytes = 0
        self._cut: set[frozenset[str]] = set()
        self._disconnected_since: dict[frozenset[str], float] = {}
        self._alive_again_at: dict[frozenset[str], float] = {}
        # Generation of each link; messages of an earlier one are lost.
        self._links: dict[tuple[str, str], int] = defaultdict(int)
        self._last_arrival: dict[tuple[str, str], float] = defaultdict(float)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        for name in self.names:
            self.start(name)
        self.call_later(TICK_S, self._tick)

    # --- faults ---

    def start(self, name: str) -> None:
        """Start a new run of a member, with an empty memory and disk."""
        member = self.members[name]
        member.boot_id += 1
        self._open[name].clear()
        member.replicas = Replicas(name, member.boot_id, self.names, self.faults)
        for other in self.names:
            self._connect(name, other)
        if self.rate:
            self.call_later(self.rng.expovariate(self.rate), lambda: self._place_call(name, member.boot_id))

    def kill(self, name: str) -> None:
        """Kill a member; its memory and disk are lost."""
        self.members[name].replicas = None
        for other in self.names:
            self._disconnect(name, other)

    def cut(self, *names: str) -> None:
        """Cut off these members from all others."""
        for name in names:
            for other in self.names:
                if other not in names:
                    self._cut.add(frozenset((name, other)))
                    self._disconnect(name, other)

    def heal(self) -> None:
        """Repair all links."""
        cut, self._cut = self._cut, set()
        for one, other in sorted(sorted(pair) for pair in cut):
            self._connect(one, other)

    def _is_disconnected(self, one: str, other: str) -> bool:
        members = self.members
        down = members[one].replicas is None or members[other].replicas is None
        return down or frozenset((one, other)) in self._cut

    def _disconnect(self, one: str, other: str) -> None:
        if one == other:
            return
        pair = frozenset((one, other))
        self._disconnected_since.setdefault(pair, self.now_s)
        for a, b in ((one, other), (other, one)):
            self._links[a, b] += 1
            replicas = self.members[a].replicas
            if replicas is not None:
                replicas.disconnected(b)

    def _connect(self, one: str, other: str) -> None:
        if one == other or self._is_disconnected(one, other):
            return
        pair = frozenset((one, other))
        since = self._disconnected_since.pop(pair, self.now_s)
        if self.now_s - since > DEAD_AFTER_S:
            self._alive_again_at[pair] = self.now_s + ALIVE_AFTER_S
        for a, b in ((one, other), (other, one)):
            self._links[a, b] += 1
            replicas = self.members[a].replicas
            if replicas is not None:
                replicas.connected(self.now, b)
                self._carry_out(a)

    # --- time ---

    @property
    def now(self) -> datetime:
        """The current virtual time."""
        return START + timedelta(seconds=self.now_s)

    def call_later(self, duration_s: float, work: Callable[[], None]) -> None:
        """Run a function after a delay."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now_s + duration_s, self._sequence, work))

    def run(self, duration_s: float) -> None:
        """Run for a time span."""
        end = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end:
            self.now_s, _, work = heapq.heappop(self._heap)
            work()
        self.now_s = end

    def _tick(self) -> None:
        for name, member in self.members.items():
            if member.replicas is not None:
                member.replicas.tick(self.now, View(self, name))
                self._carry_out(name)
        self.call_later(TICK_S, self._tick)

    # --- outputs of the state machines ---

    def _carry_out(self, name: str) -> None:
        replicas = self.members[name].replicas
        if replicas is None:
            return
        replicas.flush(self.now)
        for output in replicas.take_outputs():
            match output:
                case Send(to, message):
                    self._send(name, to, message)
                case PendingWrite(shard, seq, _) if seq is not None:
                    self._write(name, shard, seq)
                case Durable(shard, seq):
                    self._durable(name, shard, seq)
                case TakenOver():
                    self._taken_over(name, output)
                case Fenced():
                    self._fenced(name, output)
        for shard, owner in replicas.owners.items():
            holder = self.terms.setdefault(
                (shard, owner.replica.term), f"{name}/{self.members[name].boot_id}"
            )
            if holder != f"{name}/{self.members[name].boot_id}":
                self.problems.append(f"{shard} is owned by {name} and {holder} in term {owner.replica.term}")

    def _send(self, sender: str, to: str, message: Message) -> None:
        if self._is_disconnected(sender, to):
            return
        data = frame(message)
        self.messages += 1
        self.bytes += len(data)
        link = self._links[sender, to]
        # Messages arrive in order, as over TCP.
        at = max(self._last_arrival[sender, to], self.now_s + self.rng.uniform(*LATENCY_S))
        self._last_arrival[sender, to] = at

        def arrive() -> None:
            replicas = self.members[to].replicas
            if replicas is not None and self._links[sender, to] == link:
                replicas.receive(self.now, sender, unframe(data))
                self._carry_out(to)

        self.call_later(at - self.now_s, arrive)

    def _write(self, name: str, shard: ShardId, seq: int) -> None:
        boot_id = self.members[name].boot_id

        def written() -> None:
            replicas = self.members[name].replicas
            if replicas is not None and self.members[name].boot_id == boot_id:
                replicas.persisted(self.now, shard, seq)
                self._carry_out(name)

        self.call_later(self.rng.uniform(*DISK_WRITE_S), written)

    # --- calls ---

    def _place_call(self, name: str, boot_id: int) -> None:
        member = self.members[name]
        if member.replicas is None or member.boot_id != boot_id or not self.rate:
            return
        call = Call(f"{name}/{boot_id}/{len(self.calls)}", name, boot_id)
        self.calls[call.key] = self._open[name][call.key] = call
        self._advance(call, Phase.ACCEPTED)
        self.call_later(self.rng.uniform(0.02, 0.2), lambda: self._advance(call, Phase.ESTABLISHED))
        self.call_later(self.rng.expovariate(self.rate), lambda: self._place_call(name, boot_id))

    def _advance(self, call: Call, phase: Phase) -> None:
        member = self.members[call.owner]
        if member.replicas is None or member.boot_id != call.boot_id or call.released:
            return
        before = call.seqs.get(Phase(phase - 1)) if phase else None
        if phase and before is None:
            return
        shard = before[0] if before is not None else member.replicas.shard
        seq = member.replicas.put(self.now, call.key, phase, b"x" * self.rng.randrange(200), shard)
        if not seq:
            return  # fenced: the member that took over the shard has this call too
        call.seqs[phase] = (shard, seq)
        if phase is Phase.COMPLETED:
            call.ended = True
        self._carry_out(call.owner)

    def _durable(self, name: str, shard: ShardId, seq: int) -> None:
        if shard.owner != name:
            return
        for call in list(self._open[name].values()):
            established_at, ended_at = call.seqs.get(Phase.ESTABLISHED), call.seqs.get(Phase.COMPLETED)
            if (
                call.owner == name
                and established_at
                and established_at[0] == shard
                and established_at[1] <= seq
                and not call.established
            ):
                call.established = True
                hold = self.rng.uniform(0.1, 6.0)
                self.call_later(hold, lambda call=call: self._advance(call, Phase.COMPLETED))  # type: ignore[misc]
            if (
                ended_at
                and ended_at[0] == shard
                and ended_at[1] <= seq
                and not call.dropped
                and call.owner == name
            ):
                call.dropped = True
                del self._open[name][call.key]
                self.call_later(0.5, lambda call=call: self._advance(call, Phase.DROPPED))  # type: ignore[misc]

    def _taken_over(self, name: str, taken: TakenOver) -> None:
        replicas = self.members[name].replicas
        for entry in taken.unfinished:
            call = self.calls[entry.key]
            call.released.append(name)
            if replicas is not None:
                replicas.put(self.now, entry.key, Phase.COMPLETED, b"released", taken.shard)
        self.call_later(0.0, lambda: self._carry_out(name))

    def _fenced(self, name: str, fenced: Fenced) -> None:
        replicas = self.members[name].replicas
        if fenced.shard.owner != name or replicas is None:
            return
        for entry in fenced.unsent:
            call = self.calls[entry.key]
            call.seqs = {phase: where for phase, where in call.seqs.items() if phase is Phase.ACCEPTED}
            call.seqs[Phase.ACCEPTED] = (
                replicas.shard,
                replicas.put(self.now, entry.key, Phase.ACCEPTED, b""),
            )

    # --- checks ---

    def unreleased_calls(self) -> list[str]:
        """List established calls without an owner that no member has released."""
        found = []
        for call in self.calls.values():
            member = self.members[call.owner]
            shard = call.seqs[Phase.ESTABLISHED][0] if Phase.ESTABLISHED in call.seqs else None
            alive = member.replicas is not None and member.boot_id == call.boot_id
            kept = alive and member.replicas is not None and shard in member.replicas.owners
            if call.established and not call.ended and not kept and not call.released:
                found.append(call.key)
        return found


class View:
    """The view of one member: members out of contact for long are dead; a majority is more than half."""

    def __init__(self, group: Group, me: str) -> None:
        self._group, self._me = group, me

    def boot_id_of(self, name: str) -> int | None:
        """Return the boot id of a member that is considered alive, else None."""
        if name == self._me:
            return self._group.members[name].boot_id
        pair = frozenset((name, self._me))
        since = self._group._disconnected_since.get(pair)
        if self._group.now_s < self._group._alive_again_at.get(pair, 0.0):
            return None
        if since is not None and self._group.now_s - since > DEAD_AFTER_S:
            return None
        return self._group.members[name].boot_id

    @property
    def has_quorum(self) -> bool:
        """Whether more than half of the members are considered alive."""
        alive = sum(self.boot_id_of(name) is not None for name in self._group.names)
        return 2 * alive > len(self._group.names)
