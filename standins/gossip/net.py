"""Many members, one clock, one net. The same seed gives the same run."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from reedmount.core.clock import EPOCH
from reedmount.members.outbox import Output, QuorumChanged, Send
from reedmount.members.protocol import Protocol
from reedmount.members.quorum import QuorumState, VoterSet
from reedmount.members.record import State, record_of
from reedmount.members.settings import Timing
from reedmount.members.view import Change
from reedmount.members.wire import Kind, Message, group_of, write
from reedmount.net.connection import Address

GROUP = "fleet"
START = EPOCH + timedelta(days=20_000)
Span = tuple[float, float]


@dataclass(slots=True)
class Way:
    """What happens to datagrams from one member to another."""

    loss: float = 0.0
    twice: float = 0.0
    delay_s: Span = (0.0005, 0.003)
    cut: bool = False


@dataclass(slots=True)
class Seen:
    """One line of the history: what a member came to think, and when."""

    at_s: float
    by: str
    about: str
    state: State | QuorumState | None


@dataclass(slots=True)
class Node:
    """One process: its state machine, and whether it runs, is stopped (SIGSTOP) or is gone."""

    name: str
    address: Address
    protocol: Protocol | None = None
    stopped: bool = False
    queue: list[tuple[Address, bytes]] = field(default_factory=list)  # what came while it was stopped
    lives: int = 0
    skew: timedelta = timedelta(0)  # of its clock against the others'


class Group:
    """A fleet of members; ``run`` lets time pass."""

    def __init__(self, count: int, seed: int, timing: Timing | None = None, way: Way | None = None) -> None:
        self.timing = timing or Timing()
        self.way = way or Way()
        self.ways: dict[tuple[str, str], Way] = {}
        self.rng = random.Random(seed)
        self.now_s = 0.0
        names = [f"n{number}" for number in range(count)]
        self.voters = VoterSet(1, frozenset(names))
        self.nodes = {
            name: Node(name, (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7946))
            for number, name in enumerate(names)
        }
        self._by_address = {node.address: node for node in self.nodes.values()}
        self.history: list[Seen] = []
        self.bytes: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.longest = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._wakes: dict[str, float] = {}
        self.guests: set[str] = set()

    # --- processes ---

    def start(self, names: Iterable[str] | None = None, voter_sets: tuple[VoterSet, ...] = ()) -> None:
        """Start these, or all; they know the addresses of the roster, and nothing else."""
        for name in list(self.nodes) if names is None else list(names):
            node = self.nodes[name]
            node.lives += 1
            node.stopped, node.queue = False, []
            me = record_of(name, node.address, self.rng.getrandbits(32))
            seed_addresses = tuple(
                other.address for other in self.nodes.values() if other.name not in self.guests
            )
            node.protocol = Protocol(
                self.timing, GROUP, me, voter_sets or (self.voters,), seed_addresses, self.rng.getrandbits(32)
            )
            self.carry_out(node, node.protocol.start(self.clock(node)))

    def acquaint(self) -> None:
        """All that were just started know all others, as after a long quiet time; from the answers to a JOIN,
        of which none would be long enough to say all at once."""
        nodes = [node for node in self.nodes.values() if node.protocol is not None]
        for place, teller in enumerate(nodes):
            records = [node.protocol.me for node in nodes if node.protocol is not None]
            node = nodes[place - 1]
            while records and teller.protocol is not None and node.protocol is not None:
                page = Message(Kind.STATE, 0, teller.protocol.me, bytes(8))
                data, sent = write(group_of(GROUP), page, records)
                records = records[sent:]
                self.carry_out(node, node.protocol.datagram_received(self.clock(node), teller.address, data))

    def add(self, name: str, address: Address) -> Node:
        """One that no roster names."""
        node = self.nodes[name] = self._by_address[address] = Node(name, address)
        self.guests.add(name)
        return node

    def kill(self, *names: str) -> None:
        """They are gone at once."""
        for name in names:
            self.nodes[name].protocol = None

    def stop(self, name: str) -> None:
        """SIGSTOP: what comes waits, and no time passes for it that it knows of."""
        self.nodes[name].stopped = True

    def resume(self, name: str) -> None:
        """SIGCONT: it reads what waited, then finds its timers late."""
        node = self.nodes[name]
        node.stopped = False
        waiting, node.queue = node.queue, []
        for source, data in waiting[-200:]:  # as much as a socket's buffer holds
            self._hear(node, source, data)
        self._wake(node)

    def leave(self, name: str) -> None:
        """It goes, and says so."""
        node = self.nodes[name]
        if node.protocol is not None:
            self.carry_out(node, node.protocol.leave(self.clock(node)))

    def clock(self, node: Node) -> datetime:
        """The time as this one has it."""
        return START + timedelta(seconds=self.now_s) + node.skew

    # --- the net ---

    def cut(self, one: Collection[str], other: Collection[str], both: bool = True) -> None:
        """Nothing gets from the ones to the others, nor (``both``) back."""
        for a in one:
            for b in other:
                self.ways[a, b] = Way(cut=True)
                if both:
                    self.ways[b, a] = Way(cut=True)

    def heal(self) -> None:
        """All ways are as at first."""
        self.ways.clear()

    def _send(self, node: Node, send: Send) -> None:
        self.bytes[node.name] += len(send.data)
        self.datagrams[node.name] += 1
        self.longest = max(self.longest, len(send.data))
        to = self._by_address.get(send.to)
        if to is None:
            return
        way = self.ways.get((node.name, to.name), self.way)
        if way.cut or self.rng.random() < way.loss:
            return
        for _ in range(1 + (self.rng.random() < way.twice)):
            self.after(self.rng.uniform(*way.delay_s), lambda: self._hear(to, node.address, send.data))

    def _hear(self, node: Node, source: Address, data: bytes) -> None:
        if node.protocol is None:
            return
        if node.stopped:
            node.queue.append((source, data))
            return
        self.carry_out(node, node.protocol.datagram_received(self.clock(node), source, data))

    # --- time ---

    def after(self, span_s: float, work: Callable[[], None]) -> None:
        """Do it after a span."""
        self._order += 1
        heapq.heappush(self._heap, (self.now_s + span_s, self._order, work))

    def run(self, span_s: float, done: Callable[[], bool] | None = None) -> bool:
        """Let time pass, until something holds at most; whether it does."""
        end = self.now_s + span_s
        while self._heap and self._heap[0][0] <= end:
            self.now_s, _, work = heapq.heappop(self._heap)
            work()
            if done is not None and done():
                return True
        self.now_s = end
        return done is not None and done()

    def carry_out(self, node: Node, outputs: list[Output]) -> None:
        """Send, and write down, what one member wants."""
        for output in outputs:
            match output:
                case Send():
                    self._send(node, output)
                case Change(old, new):
                    changed = (new and new.state, new and new.boot_id) != (
                        old and old.state,
                        old and old.boot_id,
                    )
                    if changed:
                        state = None if new is None else new.state
                        self.history.append(Seen(self.now_s, node.name, output.name, state))
                case QuorumChanged(_, quorum_state):
                    self.history.append(Seen(self.now_s, node.name, node.name, quorum_state))
        self._set(node)

    def _set(self, node: Node) -> None:
        """Have it woken when it wants to be."""
        if node.protocol is None or (due := node.protocol.due_at) is None:
            return
        at_s = max(self.now_s, (due - node.skew - START).total_seconds())
        if at_s < self._wakes.get(node.name, float("inf")) or self._wakes[node.name] < self.now_s:
            self._wakes[node.name] = at_s
            self.after(at_s - self.now_s, lambda: self._wake_at(node, at_s))

    def _wake_at(self, node: Node, at_s: float) -> None:
        if self._wakes.get(node.name) == at_s:
            del self._wakes[node.name]
            self._wake(node)

    def _wake(self, node: Node) -> None:
        if node.protocol is not None and not node.stopped:
            self.carry_out(node, node.protocol.wake(self.clock(node)))

    # --- what holds ---

    def running(self) -> list[Node]:
        """Those whose process is there and goes on."""
        return [node for node in self.nodes.values() if node.protocol is not None and not node.stopped]

    def state(self, by: str, about: str) -> State | None:
        """What one thinks of another."""
        protocol = self.nodes[by].protocol
        record = None if protocol is None else protocol.view.get(about)
        return None if record is None else record.state

    def agreed(self) -> bool:
        """Whether all that run have the same table, with each that runs alive in it."""
        tables = [node.protocol for node in self.running() if node.protocol is not None]
        names = {node.name for node in self.running()}
        return len({table.view.digest for table in tables}) == 1 and all(
            {record.name for record in table.view if record.present} == names for table in tables[:1]
        )

    def busy(self) -> int:
        """How much all of them have still to pass on."""
        return sum(node.protocol.pending_updates for node in self.running() if node.protocol is not None)

    def quorum_states(self, names: Iterable[str] | None = None) -> set[QuorumState]:
        """The standings of these, or of all that run."""
        wanted = set(self.nodes) if names is None else set(names)
        return {
            node.protocol.quorum_state for node in self.running() if node.name in wanted and node.protocol
        }
