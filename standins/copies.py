"""Members that keep copies for each other, in virtual time: ways that break, members that die, calls.

The state machines are those that serve; the net, the view and the calls are played here. Same seed, same run.
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
SEEN_AFTER_S = 3.0  # a member that is gone or cut off is called dead
BACK_AFTER_S = 1.0  # and one that is back is seen to be
TICK_S = 0.1
WAY_S = (0.0005, 0.004)
DISK_S = (0.0002, 0.004)


@dataclass(slots=True)
class Call:
    """One call, as whoever placed it sees it."""

    key: str
    owner: str
    boot_id: int
    seqs: dict[Phase, tuple[ShardId, int]] = field(default_factory=dict)
    stands: bool = False  # it was promised: its dialogs were durable, and its caller had its 200
    over: bool = False  # ended by its owner
    dropped: bool = False
    released: list[str] = field(default_factory=list)  # by whom, of those that took over


@dataclass(slots=True)
class Member:
    """One process."""

    name: str
    boot_id: int = 0
    replicas: Replicas | None = None


class Group:
    """All of them. ``run`` lets time pass; ``problems`` says what broke."""

    def __init__(self, count: int, seed: int, faults: int = 1, rate: float = 8.0) -> None:
        self.rng = random.Random(seed)
        self.names = [f"n{number}" for number in range(count)]
        self.faults, self.rate = faults, rate
        self.members = {name: Member(name) for name in self.names}
        self.calls: dict[str, Call] = {}
        self._open: dict[str, dict[str, Call]] = defaultdict(dict)  # by owner, of this life
        self.terms: dict[tuple[ShardId, Term], str] = {}
        self.problems: list[str] = []
        self.now_s = 0.0
        self.messages = self.bytes = 0
        self._cut: set[frozenset[str]] = set()
        self._apart_since: dict[frozenset[str], float] = {}
        self._back_at: dict[frozenset[str], float] = {}
        self._links: dict[tuple[str, str], int] = defaultdict(int)  # generations: what was on its way is lost
        self._last: dict[tuple[str, str], float] = defaultdict(float)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        for name in self.names:
            self.start(name)
        self.after(TICK_S, self._tick)

    # --- faults ---

    def start(self, name: str) -> None:
        """A new life, with an empty memory and disk."""
        member = self.members[name]
        member.boot_id += 1
        self._open[name].clear()
        member.replicas = Replicas(name, member.boot_id, self.names, self.faults)
        for other in self.names:
            self._join(name, other)
        if self.rate:
            self.after(self.rng.expovariate(self.rate), lambda: self._place(name, member.boot_id))

    def kill(self, name: str) -> None:
        """It is gone with all that it had."""
        self.members[name].replicas = None
        for other in self.names:
            self._part(name, other)

    def cut(self, *names: str) -> None:
        """These are cut off from all others."""
        for name in names:
            for other in self.names:
                if other not in names:
                    self._cut.add(frozenset((name, other)))
                    self._part(name, other)

    def heal(self) -> None:
        """All ways are whole."""
        cut, self._cut = self._cut, set()
        for one, other in sorted(sorted(pair) for pair in cut):
            self._join(one, other)

    def _apart(self, one: str, other: str) -> bool:
        members = self.members
        gone = members[one].replicas is None or members[other].replicas is None
        return gone or frozenset((one, other)) in self._cut

    def _part(self, one: str, other: str) -> None:
        if one == other:
            return
        pair = frozenset((one, other))
        self._apart_since.setdefault(pair, self.now_s)
        for a, b in ((one, other), (other, one)):
            self._links[a, b] += 1
            replicas = self.members[a].replicas
            if replicas is not None:
                replicas.disconnected(b)

    def _join(self, one: str, other: str) -> None:
        if one == other or self._apart(one, other):
            return
        pair = frozenset((one, other))
        since = self._apart_since.pop(pair, self.now_s)
        if self.now_s - since > SEEN_AFTER_S:
            self._back_at[pair] = self.now_s + BACK_AFTER_S
        for a, b in ((one, other), (other, one)):
            self._links[a, b] += 1
            replicas = self.members[a].replicas
            if replicas is not None:
                replicas.connected(self.now, b)
                self._carry_out(a)

    # --- time ---

    @property
    def now(self) -> datetime:
        """The time."""
        return START + timedelta(seconds=self.now_s)

    def after(self, span_s: float, work: Callable[[], None]) -> None:
        """Do it then."""
        self._order += 1
        heapq.heappush(self._heap, (self.now_s + span_s, self._order, work))

    def run(self, span_s: float) -> None:
        """Let time pass."""
        end = self.now_s + span_s
        while self._heap and self._heap[0][0] <= end:
            self.now_s, _, work = heapq.heappop(self._heap)
            work()
        self.now_s = end

    def _tick(self) -> None:
        for name, member in self.members.items():
            if member.replicas is not None:
                member.replicas.tick(self.now, View(self, name))
                self._carry_out(name)
        self.after(TICK_S, self._tick)

    # --- what they want ---

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
        if self._apart(sender, to):
            return
        data = frame(message)
        self.messages += 1
        self.bytes += len(data)
        link = self._links[sender, to]
        at = max(self._last[sender, to], self.now_s + self.rng.uniform(*WAY_S))  # in order, as TCP has it
        self._last[sender, to] = at

        def arrive() -> None:
            replicas = self.members[to].replicas
            if replicas is not None and self._links[sender, to] == link:
                replicas.receive(self.now, sender, unframe(data))
                self._carry_out(to)

        self.after(at - self.now_s, arrive)

    def _write(self, name: str, shard: ShardId, seq: int) -> None:
        boot_id = self.members[name].boot_id

        def written() -> None:
            replicas = self.members[name].replicas
            if replicas is not None and self.members[name].boot_id == boot_id:
                replicas.persisted(self.now, shard, seq)
                self._carry_out(name)

        self.after(self.rng.uniform(*DISK_S), written)

    # --- calls ---

    def _place(self, name: str, boot_id: int) -> None:
        member = self.members[name]
        if member.replicas is None or member.boot_id != boot_id or not self.rate:
            return
        call = Call(f"{name}/{boot_id}/{len(self.calls)}", name, boot_id)
        self.calls[call.key] = self._open[name][call.key] = call
        self._step(call, Phase.ACCEPTED)
        self.after(self.rng.uniform(0.02, 0.2), lambda: self._step(call, Phase.ESTABLISHED))
        self.after(self.rng.expovariate(self.rate), lambda: self._place(name, boot_id))

    def _step(self, call: Call, phase: Phase) -> None:
        member = self.members[call.owner]
        if member.replicas is None or member.boot_id != call.boot_id or call.released:
            return
        before = call.seqs.get(Phase(phase - 1)) if phase else None
        if phase and before is None:
            return
        shard = before[0] if before is not None else member.replicas.shard
        seq = member.replicas.put(self.now, call.key, phase, b"x" * self.rng.randrange(200), shard)
        if not seq:
            return  # it was fenced: whoever has it now has this call as well
        call.seqs[phase] = (shard, seq)
        if phase is Phase.COMPLETED:
            call.over = True
        self._carry_out(call.owner)

    def _durable(self, name: str, shard: ShardId, seq: int) -> None:
        if shard.owner != name:
            return
        for call in list(self._open[name].values()):
            stands, over = call.seqs.get(Phase.ESTABLISHED), call.seqs.get(Phase.COMPLETED)
            if call.owner == name and stands and stands[0] == shard and stands[1] <= seq and not call.stands:
                call.stands = True
                hold = self.rng.uniform(0.1, 6.0)
                self.after(hold, lambda call=call: self._step(call, Phase.COMPLETED))  # type: ignore[misc]
            if over and over[0] == shard and over[1] <= seq and not call.dropped and call.owner == name:
                call.dropped = True
                del self._open[name][call.key]
                self.after(0.5, lambda call=call: self._step(call, Phase.DROPPED))  # type: ignore[misc]

    def _taken_over(self, name: str, taken: TakenOver) -> None:
        replicas = self.members[name].replicas
        for entry in taken.unfinished:
            call = self.calls[entry.key]
            call.released.append(name)
            if replicas is not None:
                replicas.put(self.now, entry.key, Phase.COMPLETED, b"released", taken.shard)
        self.after(0.0, lambda: self._carry_out(name))

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

    # --- what must hold ---

    def orphans(self) -> list[str]:
        """Calls that were promised, whose owner is gone or let go of them, and that nobody has released."""
        found = []
        for call in self.calls.values():
            member = self.members[call.owner]
            shard = call.seqs[Phase.ESTABLISHED][0] if Phase.ESTABLISHED in call.seqs else None
            there = member.replicas is not None and member.boot_id == call.boot_id
            kept = there and member.replicas is not None and shard in member.replicas.owners
            if call.stands and not call.over and not kept and not call.released:
                found.append(call.key)
        return found


class View:
    """What one member\'s view says: who was out of touch for long is dead; a majority is more than half."""

    def __init__(self, group: Group, me: str) -> None:
        self._group, self._me = group, me

    def boot_id_of(self, name: str) -> int | None:
        """Of a member that is taken for alive."""
        if name == self._me:
            return self._group.members[name].boot_id
        pair = frozenset((name, self._me))
        since = self._group._apart_since.get(pair)
        if self._group.now_s < self._group._back_at.get(pair, 0.0):
            return None
        if since is not None and self._group.now_s - since > SEEN_AFTER_S:
            return None
        return self._group.members[name].boot_id

    @property
    def has_quorum(self) -> bool:
        """Whether more than half are there."""
        there = sum(self.boot_id_of(name) is not None for name in self._group.names)
        return 2 * there > len(self._group.names)
