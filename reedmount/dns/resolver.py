"""The stub resolver: sockets, timers and cache. The decisions on retries are in ``query``."""

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
from reedmount.dns.answers import Answer, CnameRedirect, Fault, interpret
from reedmount.dns.cache import Cache, CacheLimits
from reedmount.dns.health import NameServers, Transport
from reedmount.dns.query import LookupFailed, Pause, Query, QueryTimeouts, Try
from reedmount.dns.reader import Question, ReadError, Reply, encode_query, read_head, read_reply
from reedmount.net.connection import Address, Connection, EndReason, address_family
from reedmount.net.loop import READ, Loop

PAYLOAD = 1232  # bytes in a datagram that no path has to fragment
MAX_MESSAGE = 65535  # bytes
MAX_IN_FLIGHT = 8  # their responses may all arrive in one turn, and are then read in it
MAX_STARTS_PER_TURN = 4  # encoding a query and opening its socket take about 0.2 ms
MAX_WAITING = 8192
LARGE_ANSWER = 128  # records: such an answer is interpreted in a turn of its own
SLICE_INTERVAL = timedelta(milliseconds=1)
MAX_DATAGRAMS = 8  # read from one socket in a turn, so that a flood does not block others
Callback = Callable[[Answer | LookupFailed], None]


@dataclass(frozen=True, slots=True)
class ResolverSettings:
    """Name servers, timeouts and cache limits."""

    servers: tuple[Address, ...]
    timeouts: QueryTimeouts = field(default_factory=QueryTimeouts)
    limits: CacheLimits = field(default_factory=CacheLimits)


class Resolver:
    """Resolves questions; requests for a question already in flight share its answer."""

    def __init__(self, loop: Loop, settings: ResolverSettings, rng: random.Random) -> None:
        self.loop, self.settings, self.rng = loop, settings, rng
        self.health = NameServers(settings.servers, rng)
        self.cache = Cache(settings.limits)
        self._active: dict[Question, ActiveQuery] = {}
        self._callbacks: dict[Question, list[Callback]] = {}
        self._queue: deque[Question] = deque()
        self._start_scheduled = False

    def apply_settings(self, settings: ResolverSettings) -> None:
        """Apply changed settings; questions in flight keep the old ones."""
        self.settings = settings
        self.health.set_addresses(settings.servers)
        self.cache.limits = settings.limits

    @property
    def in_flight(self) -> int:
        """The number of questions in flight."""
        return len(self._active)

    def resolve(self, question: Question, callback: Callback, fresh: bool = False) -> None:
        """Resolve a question, from the cache unless it must be fresh, else from a name server."""
        cached = None if fresh else self.cache.get(self.loop.clock.now(), question)
        if cached is not None:
            COUNTERS.add("dns.cache.hits")
            self.loop.call_soon(lambda: callback(cached.answer))
            return
        callbacks = self._callbacks.get(question)
        if callbacks is not None:
            callbacks.append(callback)
            return
        if len(self._callbacks) >= MAX_WAITING:
            COUNTERS.add("dns.no_room")
            self.loop.call_soon(lambda: callback(LookupFailed("too many questions at once")))
            return
        self._callbacks[question] = [callback]
        self._queue.append(question)
        self._start_some()

    def close(self) -> None:
        """Cancel all questions without calling back."""
        self._queue.clear()
        self._callbacks.clear()
        for active_query in list(self._active.values()):
            active_query.close()
        self._active.clear()

    def query_finished(self, question: Question, result: Answer | LookupFailed) -> None:
        """Take the result of a question, cache it and call back."""
        del self._active[question]
        if isinstance(result, Answer):
            now = self.loop.clock.now()
            self.cache.put(now, question, Answer(result.ttl, result.targets, result.addresses))
            self._cache_additional(now, iter(result.extra.items()))
            COUNTERS.add("dns.answered" if result.records else "dns.answered.negative")
        else:
            COUNTERS.add("dns.given_up")
        for callback in self._callbacks.pop(question, ()):
            callback(result)
        self._start_some()

    def _cache_additional(self, now: datetime, extra: Iterator[tuple[Question, Answer]]) -> None:
        """Cache the answers of the additional section, some in each turn."""
        for question, answer in islice(extra, LARGE_ANSWER):
            self.cache.put(now, question, answer)
        if length_hint(extra):
            self.loop.call_later(SLICE_INTERVAL, lambda: self._cache_additional(now, extra))

    def _start_some(self) -> None:
        """Start queued questions up to the limit, a few in each turn."""
        for _ in range(MAX_STARTS_PER_TURN):
            if not self._queue or len(self._active) >= MAX_IN_FLIGHT:
                return
            question = self._queue.popleft()
            active_query = self._active[question] = ActiveQuery(self, question)
            COUNTERS.add("dns.asked")
            active_query.advance()
        if self._queue and not self._start_scheduled:
            self._start_scheduled = True
            self.loop.call_later(SLICE_INTERVAL, self._start_more)

    def _start_more(self) -> None:
        self._start_scheduled = False
        self._start_some()


class ActiveQuery:
    """A question in flight: at most one try, a pause, or an answer being read."""

    def __init__(self, resolver: Resolver, question: Question) -> None:
        self._resolver, self._loop = resolver, resolver.loop
        self._original_question = self._question = question
        self._previous_names: tuple[str, ...] = ()  # names of the CNAME chain so far
        self._ttl = 2**31 - 1
        self._query = self._new_query()
        self._current_try: Try | None = None
        self._sock: socket.socket | None = None
        self._connection: Connection | None = None
        self._stream = bytearray()
        self._timer: Timer | None = None
        self._closed = False

    def _new_query(self) -> Query:
        settings = self._resolver.settings
        now = self._loop.clock.now()
        return Query(now, self._resolver.health, settings.timeouts, self._resolver.rng)

    def advance(self) -> None:
        """Take the next step of the query."""
        step = self._query.next(self._loop.clock.now())
        match step:
            case Try():
                self._send(step)
            case Pause(until):
                self._timer = self._loop.call_at(until, self.advance)
            case LookupFailed():
                self._finish(step)

    def close(self) -> None:
        """Release the socket, the connection and the timer."""
        self._closed = True
        self._stop_try()

    # --- a try ---

    def _send(self, step: Try) -> None:
        self._current_try = step
        self._timer = self._loop.call_later(step.timeout, lambda: self._handle_fault(Fault.LOST))
        wire = encode_query(step.id, self._question, PAYLOAD if step.edns else None)
        COUNTERS.add(f"dns.sent.{step.transport.value}")
        if step.transport is Transport.TCP:
            self._stream.clear()
            self._connection = Connection.dial(
                self._loop, step.server, step.timeout, self._handle_stream_data, self._handle_stream_end
            )
            self._connection.send(len(wire).to_bytes(2, "big") + wire)
            return
        # A connected socket for each try: the kernel picks a random port and drops other senders.
        sock = self._sock = socket.socket(address_family(step.server), socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.connect(step.server)
            sock.send(wire)
        except OSError:
            self._loop.call_soon(
                lambda: self._handle_fault(Fault.UNREACHABLE) if self._current_try is step else None
            )
            return
        self._loop.watch(sock.fileno(), READ, self._readable)

    def _readable(self, _: int) -> None:
        for _turn in range(MAX_DATAGRAMS):
            if self._sock is None:
                return
            try:
                wire = self._sock.recv(MAX_MESSAGE)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error: nothing listens there
                self._handle_fault(Fault.UNREACHABLE)
                return
            self._handle_message(wire)

    def _handle_stream_data(self, connection: Connection) -> None:
        self._stream += connection.incoming.peek()
        connection.incoming.drop(len(connection.incoming))
        if len(self._stream) >= 2:
            size = 2 + int.from_bytes(self._stream[:2], "big")
            if len(self._stream) >= size:
                wire = bytes(self._stream[2:size])
                if not self._handle_message(wire):
                    self._handle_fault(Fault.UNREADABLE)  # only the name server writes to this connection

    def _handle_stream_end(self, connection: Connection, reason: EndReason) -> None:
        if connection is self._connection:
            unreachable = reason in (EndReason.REFUSED, EndReason.NEVER_UP)
            self._handle_fault(Fault.UNREACHABLE if unreachable else Fault.HALF)

    def _handle_message(self, wire: bytes) -> bool:
        """Handle a message. Return False if it is not a response to this try: anybody may send datagrams."""
        if self._current_try is None:
            return False
        try:
            reply = read_head(wire)
        except ReadError:
            COUNTERS.add("dns.dropped.unreadable")
            return False
        if not reply.flags & 0x8000:
            COUNTERS.add("dns.dropped.no_reply")
            return False
        if reply.id != self._current_try.id:
            COUNTERS.add("dns.dropped.id")
            return False
        if reply.question is None and reply.rcode:
            # Some name servers omit the question from an error response.
            self._read_slices(read_reply(wire))
            return True
        if reply.question != self._question:
            COUNTERS.add("dns.dropped.question")
            return False
        if reply.is_truncated:
            self._handle_fault(Fault.CUT)
        else:
            self._read_slices(read_reply(wire))
        return True

    def _read_slices(self, reader: Generator[None, None, Reply]) -> None:
        """Read the reply, one slice per turn; the network part of the try is over."""
        self._stop_try()
        tried = self._current_try

        def read_slice() -> None:
            if self._closed or self._current_try is not tried:
                return
            try:
                next(reader)
            except StopIteration as stop:
                reply: Reply = stop.value
                if len(reply.answer) < LARGE_ANSWER:
                    self._handle_reply(reply)
                else:
                    self._timer = self._loop.call_later(SLICE_INTERVAL, lambda: self._handle_reply(reply))
            except ReadError:
                self._handle_fault(Fault.UNREADABLE)
            else:
                self._timer = self._loop.call_later(SLICE_INTERVAL, read_slice)

        read_slice()

    def _handle_reply(self, reply: Reply) -> None:
        outcome = interpret(reply, self._question, self._previous_names)
        if isinstance(outcome, Fault):
            self._handle_fault(outcome)
            return
        now, tried = self._loop.clock.now(), self._current_try
        if tried is not None:
            self._query.record_answer(now, tried)
        self._ttl = min(self._ttl, outcome.ttl)
        if isinstance(outcome, CnameRedirect):
            started_at = self._query.started_at
            self._question, self._previous_names = (
                Question(outcome.name, self._question.rdtype),
                outcome.previous_names,
            )
            self._query, self._current_try = self._new_query(), None
            self._query.started_at = started_at  # one deadline for the whole CNAME chain
            self.advance()
        else:
            self._finish(Answer(self._ttl, outcome.targets, outcome.addresses, outcome.extra))

    def _handle_fault(self, fault: Fault) -> None:
        """Handle a failed try."""
        tried = self._current_try
        self._stop_try()
        self._current_try = None
        if tried is None or self._closed:
            return
        COUNTERS.add(f"dns.fault.{fault.name.lower()}")
        if fault is Fault.CHAIN:
            self._finish(LookupFailed(fault.value))
            return
        self._query.record_failure(self._loop.clock.now(), tried, fault)
        self.advance()

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

    def _finish(self, result: Answer | LookupFailed) -> None:
        self.close()
        self._resolver.query_finished(self._original_question, result)
