"""The resolver's shell: sockets and timers round the questions. What is decided stands in ``asking``."""

from __future__ import annotations

import random
import socket
from collections import deque
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import islice
from operator import length_hint

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS
from reedmount.dns.answers import Answer, Fault, Onwards, meaning
from reedmount.dns.cache import Cache, CacheLimits
from reedmount.dns.health import NameServers, Over
from reedmount.dns.query import LookupFailed, Pause, Query, QueryTimeouts, Try
from reedmount.dns.reader import Question, ReadError, Reply, query, read_head, read_reply
from reedmount.net.connection import Address, Connection, EndReason, address_family
from reedmount.net.loop import READ, Loop

PAYLOAD = 1232  # bytes of a datagram that no path has to split
LONGEST = 65535
MAX_FLIGHTS = 8  # what comes in one turn has to be read in it
MAX_STARTS = 4  # in a turn: to build a question and open its socket takes some 0.2 ms
MAX_WAITING = 8192
LARGE = 128  # records: what they mean is looked at in a turn of its own
BETWEEN_SLICES = timedelta(milliseconds=1)
MAX_DATAGRAMS = 8  # read from one socket in a turn: a flood waits its turn like all others
Done = Callable[[Answer | LookupFailed], None]


@dataclass(frozen=True, slots=True)
class ResolverSettings:
    """Who is asked, and with how much patience and room."""

    servers: tuple[Address, ...]
    timeouts: QueryTimeouts = field(default_factory=QueryTimeouts)
    limits: CacheLimits = field(default_factory=CacheLimits)


class Resolver:
    """One question in flight a name and type; all who ask for it meanwhile hear the same answer."""

    def __init__(self, loop: Loop, settings: ResolverSettings, rng: random.Random) -> None:
        self.loop, self.settings, self.rng = loop, settings, rng
        self.health = NameServers(settings.servers, rng)
        self.cache = Cache(settings.limits)
        self._flights: dict[Question, Flight] = {}
        self._waiting: dict[Question, list[Done]] = {}
        self._queue: deque[Question] = deque()
        self._starting = False

    def apply_settings(self, settings: ResolverSettings) -> None:
        """Go by other settings; questions that are out go on as they were begun."""
        self.settings = settings
        self.health.set_addresses(settings.servers)
        self.cache.limits = settings.limits

    @property
    def flying(self) -> int:
        """How many questions are out."""
        return len(self._flights)

    def resolve(self, question: Question, done: Done, fresh: bool = False) -> None:
        """Have a question answered: from the cache, unless it must be fresh, else from the net."""
        kept = None if fresh else self.cache.get(self.loop.clock.now(), question)
        if kept is not None:
            COUNTERS.add("dns.cache.hits")
            self.loop.call_soon(lambda: done(kept.answer))
            return
        waiting = self._waiting.get(question)
        if waiting is not None:
            waiting.append(done)
            return
        if len(self._waiting) >= MAX_WAITING:
            COUNTERS.add("dns.no_room")
            self.loop.call_soon(lambda: done(LookupFailed("too many questions at once")))
            return
        self._waiting[question] = [done]
        self._queue.append(question)
        self._start_some()

    def close(self) -> None:
        """Ask nothing more, and tell nobody."""
        self._queue.clear()
        self._waiting.clear()
        for flight in list(self._flights.values()):
            flight.close()
        self._flights.clear()

    def ended(self, question: Question, result: Answer | LookupFailed) -> None:
        """A question has come to its end."""
        del self._flights[question]
        if isinstance(result, Answer):
            now = self.loop.clock.now()
            self.cache.put(now, question, Answer(result.ttl, result.targets, result.addresses))
            self._keep(now, iter(result.extra.items()))
            COUNTERS.add("dns.answered" if result.records else "dns.answered.negative")
        else:
            COUNTERS.add("dns.given_up")
        for done in self._waiting.pop(question, ()):
            done(result)
        self._start_some()

    def _keep(self, now: datetime, extra: Iterator[tuple[Question, Answer]]) -> None:
        """Addresses that came along go into the cache, some in each turn."""
        for question, answer in islice(extra, LARGE):
            self.cache.put(now, question, answer)
        if length_hint(extra):
            self.loop.call_later(BETWEEN_SLICES, lambda: self._keep(now, extra))

    def _start_some(self) -> None:
        """As many as there is room for, a few in each turn."""
        for _ in range(MAX_STARTS):
            if not self._queue or len(self._flights) >= MAX_FLIGHTS:
                return
            question = self._queue.popleft()
            flight = self._flights[question] = Flight(self, question)
            COUNTERS.add("dns.asked")
            flight.go_on()
        if self._queue and not self._starting:
            self._starting = True
            self.loop.call_later(BETWEEN_SLICES, self._start_more)

    def _start_more(self) -> None:
        self._starting = False
        self._start_some()


class Flight:
    """One question that is out: at most one try, or a pause, or an answer that is being read."""

    def __init__(self, resolver: Resolver, question: Question) -> None:
        self._resolver, self._loop = resolver, resolver.loop
        self._first = self._question = question
        self._passed: tuple[str, ...] = ()  # names of the chain so far
        self._ttl = 2**31 - 1
        self._asking = self._begin()
        self._try: Try | None = None
        self._sock: socket.socket | None = None
        self._connection: Connection | None = None
        self._stream = bytearray()
        self._timer: Timer | None = None
        self._closed = False

    def _begin(self) -> Query:
        settings = self._resolver.settings
        now = self._loop.clock.now()
        return Query(now, self._resolver.health, settings.timeouts, self._resolver.rng)

    def go_on(self) -> None:
        """Do what is to be done next."""
        step = self._asking.next(self._loop.clock.now())
        match step:
            case Try():
                self._send(step)
            case Pause(until):
                self._timer = self._loop.call_at(until, self.go_on)
            case LookupFailed():
                self._end(step)

    def close(self) -> None:
        """Let go of everything."""
        self._closed = True
        self._stop_try()

    # --- a try ---

    def _send(self, step: Try) -> None:
        self._try = step
        self._timer = self._loop.call_later(step.wait, lambda: self._fault(Fault.LOST))
        wire = query(step.id, self._question, PAYLOAD if step.edns else None)
        COUNTERS.add(f"dns.sent.{step.over.value}")
        if step.over is Over.TCP:
            self._stream.clear()
            self._connection = Connection.dial(
                self._loop, step.server, step.wait, self._stream_heard, self._stream_ended
            )
            self._connection.send(len(wire).to_bytes(2, "big") + wire)
            return
        # A socket for this try alone: the system draws its port and drops what comes from elsewhere.
        sock = self._sock = socket.socket(address_family(step.server), socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.connect(step.server)
            sock.send(wire)
        except OSError:
            self._loop.call_soon(lambda: self._fault(Fault.UNREACHABLE) if self._try is step else None)
            return
        self._loop.watch(sock.fileno(), READ, self._readable)

    def _readable(self, _: int) -> None:
        for _turn in range(MAX_DATAGRAMS):
            if self._sock is None:
                return
            try:
                wire = self._sock.recv(LONGEST)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error: nobody listens there
                self._fault(Fault.UNREACHABLE)
                return
            self._heard(wire)

    def _stream_heard(self, connection: Connection) -> None:
        self._stream += connection.incoming.peek()
        connection.incoming.drop(len(connection.incoming))
        if len(self._stream) >= 2:
            size = 2 + int.from_bytes(self._stream[:2], "big")
            if len(self._stream) >= size:
                wire = bytes(self._stream[2:size])
                if not self._heard(wire):
                    self._fault(Fault.UNREADABLE)  # nobody else can write into this connection

    def _stream_ended(self, connection: Connection, how: EndReason) -> None:
        if connection is self._connection:
            unreachable = how in (EndReason.REFUSED, EndReason.NEVER_UP)
            self._fault(Fault.UNREACHABLE if unreachable else Fault.HALF)

    def _heard(self, wire: bytes) -> bool:
        """Take a message, if it is an answer to this try at all; anybody may send others."""
        if self._try is None:
            return False
        try:
            reply = read_head(wire)
        except ReadError:
            COUNTERS.add("dns.dropped.unreadable")
            return False
        if not reply.flags & 0x8000:
            COUNTERS.add("dns.dropped.no_reply")
            return False
        if reply.id != self._try.id:
            COUNTERS.add("dns.dropped.id")
            return False
        if reply.question is None and reply.rcode:
            # Some refuse without repeating the question; it says nothing but that.
            self._read(read_reply(wire))
            return True
        if reply.question != self._question:
            COUNTERS.add("dns.dropped.question")
            return False
        if reply.cut:
            self._fault(Fault.CUT)
        else:
            self._read(read_reply(wire))
        return True

    def _read(self, reading: Generator[None, None, Reply]) -> None:
        """Read on, a slice in each turn; the try is over as far as the net goes."""
        self._stop_try()
        tried = self._try

        def more() -> None:
            if self._closed or self._try is not tried:
                return
            try:
                next(reading)
            except StopIteration as end:
                reply: Reply = end.value
                if len(reply.answer) < LARGE:
                    self._meant(reply)
                else:
                    self._timer = self._loop.call_later(BETWEEN_SLICES, lambda: self._meant(reply))
            except ReadError:
                self._fault(Fault.UNREADABLE)
            else:
                self._timer = self._loop.call_later(BETWEEN_SLICES, more)

        more()

    def _meant(self, reply: Reply) -> None:
        found = meaning(reply, self._question, self._passed)
        if isinstance(found, Fault):
            self._fault(found)
            return
        now, tried = self._loop.clock.now(), self._try
        if tried is not None:
            self._asking.answered(now, tried)
        self._ttl = min(self._ttl, found.ttl)
        if isinstance(found, Onwards):
            began = self._asking.began
            self._question, self._passed = Question(found.name, self._question.rdtype), found.passed
            self._asking, self._try = self._begin(), None
            self._asking.began = began  # one deadline for the whole chain
            self.go_on()
        else:
            self._end(Answer(self._ttl, found.targets, found.addresses, found.extra))

    def _fault(self, fault: Fault) -> None:
        """A try has come to nothing."""
        tried = self._try
        self._stop_try()
        self._try = None
        if tried is None or self._closed:
            return
        COUNTERS.add(f"dns.fault.{fault.name.lower()}")
        if fault is Fault.CHAIN:
            self._end(LookupFailed(fault.value))
            return
        self._asking.failed(self._loop.clock.now(), tried, fault)
        self.go_on()

    def _stop_try(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is not None:
            self._loop.unwatch(self._sock.fileno())
            self._sock.close()
            self._sock = None
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.close()

    def _end(self, result: Answer | LookupFailed) -> None:
        self.close()
        self._resolver.ended(self._first, result)
