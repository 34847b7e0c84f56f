"""Simulation of many members with one clock and one network. A run is reproducible from its seed."""

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
Range = tuple[float, float]


@dataclass(slots=True)
class Link:
    """Faults of the datagrams from one member to another."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: Range = (0.0005, 0.003)
    cut: bool = False


@dataclass(slots=True)
class HistoryEntry:
    """A history entry: a state that a member recorded, and when."""

    at_s: float
    by: str
    about: str
    state: State | QuorumState | None


@dataclass(slots=True)
class Node:
    """One process: its state machine, None if it does not run, and whether it is stopped (SIGSTOP)."""

    name: str
    address: Address
    protocol: Protocol | None = None
    stopped: bool = False
    queue: list[tuple[Address, bytes]] = field(
        default_factory=list
    )  # datagrams received while it was stopped
    runs: int = 0
    skew: timedelta = timedelta(0)  # offset of its clock


class Group:
    """A group of members in virtual time, which ``run`` advances."""

    def __init__(self, count: int, seed: int, timing: Timing | None = None, link: Link | None = None) -> None:
        self.timing = timing or Timing()
        self.link = link or Link()
        self.links: dict[tuple[str, str], Link] = {}
        self.rng = random.Random(seed)
        self.now_s = 0.0
        names = [f"n{number}" for number in range(count)]
        self.voters = VoterSet(1, frozenset(names))
        self.nodes = {
            name: Node(name, (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7946))
            for number, name in enumerate(names)
        }
        self._by_address = {node.address: node for node in self.nodes.values()}
        self.history: list[HistoryEntry] = []
        self.bytes: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.max_length = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._wake_times: dict[str, float] = {}
        self.nonvoters: set[str] = set()

    # --- processes ---

    def start(self, names: Iterable[str] | None = None, voter_sets: tuple[VoterSet, ...] = ()) -> None:
        """Start the named members, or all; they know only the addresses of the voters."""
        for name in list(self.nodes) if names is None else list(names):
            node = self.nodes[name]
            node.runs += 1
            node.stopped, node.queue = False, []
            me = record_of(name, node.address, self.rng.getrandbits(32))
            seed_addresses = tuple(
                other.address for other in self.nodes.values() if other.name not in self.nonvoters
            )
            node.protocol = Protocol(
                self.timing, GROUP, me, voter_sets or (self.voters,), seed_addresses, self.rng.getrandbits(32)
            )
            self.carry_out(node, node.protocol.start(self.clock(node)))

    def introduce_all(self) -> None:
        """Give all newly started members a full view, as after a long idle time.

        The view is sent as several answers to a JOIN, since one does not hold all records.
        """
        nodes = [node for node in self.nodes.values() if node.protocol is not None]
        for place, sender in enumerate(nodes):
            records = [node.protocol.me for node in nodes if node.protocol is not None]
            node = nodes[place - 1]
            while records and sender.protocol is not None and node.protocol is not None:
                page = Message(Kind.STATE, 0, sender.protocol.me, bytes(8))
                data, sent = write(group_of(GROUP), page, records)
                records = records[sent:]
                self.carry_out(node, node.protocol.datagram_received(self.clock(node), sender.address, data))

    def add(self, name: str, address: Address) -> Node:
        """Add a member that is in no voter set."""
        node = self.nodes[name] = self._by_address[address] = Node(name, address)
        self.nonvoters.add(name)
        return node

    def kill(self, *names: str) -> None:
        """Kill the processes at once."""
        for name in names:
            self.nodes[name].protocol = None

    def stop(self, name: str) -> None:
        """Stop a process as SIGSTOP does: datagrams are queued, and its timers do not fire."""
        self.nodes[name].stopped = True

    def resume(self, name: str) -> None:
        """Resume a process as SIGCONT does: it reads the queued datagrams, then runs its overdue timers."""
        node = self.nodes[name]
        node.stopped = False
        waiting, node.queue = node.queue, []
        for source, data in waiting[-200:]:  # what a socket buffer holds
            self._deliver(node, source, data)
        self._wake(node)

    def leave(self, name: str) -> None:
        """Make a member leave the group."""
        node = self.nodes[name]
        if node.protocol is not None:
            self.carry_out(node, node.protocol.leave(self.clock(node)))

    def clock(self, node: Node) -> datetime:
        """Return the time by the clock of a node."""
        return START + timedelta(seconds=self.now_s) + node.skew

    # --- network ---

    def cut(self, first: Collection[str], second: Collection[str], both: bool = True) -> None:
        """Drop all datagrams from the first group to the second, and with ``both`` also back."""
        for a in first:
            for b in second:
                self.links[a, b] = Link(cut=True)
                if both:
                    self.links[b, a] = Link(cut=True)

    def heal(self) -> None:
        """Reset all links."""
        self.links.clear()

    def _send(self, node: Node, send: Send) -> None:
        self.bytes[node.name] += len(send.data)
        self.datagrams[node.name] += 1
        self.max_length = max(self.max_length, len(send.data))
        to = self._by_address.get(send.to)
        if to is None:
            return
        link = self.links.get((node.name, to.name), self.link)
        if link.cut or self.rng.random() < link.loss:
            return
        for _ in range(1 + (self.rng.random() < link.duplicate)):
            self.call_later(
                self.rng.uniform(*link.delay_s), lambda: self._deliver(to, node.address, send.data)
            )

    def _deliver(self, node: Node, source: Address, data: bytes) -> None:
        if node.protocol is None:
            return
        if node.stopped:
            node.queue.append((source, data))
            return
        self.carry_out(node, node.protocol.datagram_received(self.clock(node), source, data))

    # --- time ---

    def call_later(self, duration_s: float, work: Callable[[], None]) -> None:
        """Run a function after a delay."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now_s + duration_s, self._sequence, work))

    def run(self, duration_s: float, done: Callable[[], bool] | None = None) -> bool:
        """Run for a time span, or until ``done`` holds; whether it held."""
        end = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end:
            self.now_s, _, work = heapq.heappop(self._heap)
            work()
            if done is not None and done():
                return True
        self.now_s = end
        return done is not None and done()

    def carry_out(self, node: Node, outputs: list[Output]) -> None:
        """Execute the outputs of a member: send messages and record changes."""
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
                        self.history.append(HistoryEntry(self.now_s, node.name, output.name, state))
                case QuorumChanged(_, standing):
                    self.history.append(HistoryEntry(self.now_s, node.name, node.name, standing))
        self._schedule_wake(node)

    def _schedule_wake(self, node: Node) -> None:
        """Schedule the next wake-up of a node."""
        if node.protocol is None or (due := node.protocol.due_at) is None:
            return
        at_s = max(self.now_s, (due - node.skew - START).total_seconds())
        if at_s < self._wake_times.get(node.name, float("inf")) or self._wake_times[node.name] < self.now_s:
            self._wake_times[node.name] = at_s
            self.call_later(at_s - self.now_s, lambda: self._wake_at(node, at_s))

    def _wake_at(self, node: Node, at_s: float) -> None:
        if self._wake_times.get(node.name) == at_s:
            del self._wake_times[node.name]
            self._wake(node)

    def _wake(self, node: Node) -> None:
        if node.protocol is not None and not node.stopped:
            self.carry_out(node, node.protocol.wake(self.clock(node)))

    # --- observed state ---

    def running(self) -> list[Node]:
        """Return the nodes whose process runs and is not stopped."""
        return [node for node in self.nodes.values() if node.protocol is not None and not node.stopped]

    def state(self, by: str, about: str) -> State | None:
        """Return the state of a member in the view of another."""
        protocol = self.nodes[by].protocol
        record = None if protocol is None else protocol.view.get(about)
        return None if record is None else record.state

    def agreed(self) -> bool:
        """Whether the views of all running members are equal and list exactly these as present."""
        tables = [node.protocol for node in self.running() if node.protocol is not None]
        names = {node.name for node in self.running()}
        return len({table.view.digest for table in tables}) == 1 and all(
            {record.name for record in table.view if record.present} == names for table in tables[:1]
        )

    def pending_updates(self) -> int:
        """Return how many updates are still to be disseminated, over all members."""
        return sum(node.protocol.pending_updates for node in self.running() if node.protocol is not None)

    def quorum_states(self, names: Iterable[str] | None = None) -> set[QuorumState]:
        """Return the quorum states of the named members, or of all that run."""
        selected = set(self.nodes) if names is None else set(names)
        return {
            node.protocol.quorum_state for node in self.running() if node.name in selected and node.protocol
        }
