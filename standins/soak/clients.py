"""Clients of the border controllers: calls at a steady rate over kept connections, and bad clients."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from reedmount.sip.message import Message, SipError
from standins.soak import wire
from standins.soak.history import NEVER, Answer, CallRecord, History

CROSSED_S = 0.05  # a set-up that crosses a close within this goes again, once
WAITS_MS = (30, 60, 120, 250)  # the shortest, of a quarter of the calls; the others draw up to their deadline
SHORT_WAITS = 0.05
PIECE_GAPS_S = (0.002, 0.05, 0.4, 1.8)
IDLE_S = 4.0
TEST_EVERY_S = 0.1
CONNECT_S = 1.0
TAIL_CALLS_PER_S = 3.0


@dataclass(slots=True)
class Habits:
    """What clients do, as shares of their calls."""

    calls_per_s: float = 25.0
    connections: int = 3
    new_connection: float = 0.1  # calls that come on a connection of their own
    give_up_early: float = 0.05  # by a CANCEL
    close_early: float = 0.03
    release: float = 0.2  # calls that the client itself ends
    in_pieces: float = 0.1
    redial_at_once: float = 0.3  # of refused calls
    drop_connection: float = 0.02  # a connection with calls that stand is closed


@dataclass(frozen=True, slots=True)
class ClassOfCall:
    """A class as the settings have it."""

    name: str
    deadline_ms: int
    repeatable: bool


class ClientStream(wire.MessageStream):
    """One connection to a border controller."""

    count = 0

    def __init__(self, clients: Clients) -> None:
        super().__init__()
        ClientStream.count += 1
        self.number = ClientStream.count
        self._clients = clients
        self.open_calls: dict[str, CallRecord] = {}
        self.standing: set[str] = set()
        self.brought_setups = False
        self.life = clients.life
        self.used_at = clients.history.now
        self.ours = False  # we have closed it

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        try:
            for message in self.messages(data):
                self._clients.heard(self, message)
        except (SipError, ValueError) as error:
            self._clients.history.broke(f"{self._clients.node}: a client cannot read: {error} {data[:60]!r}")
            self.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._clients.lost(self)

    def end(self, reset: bool = False) -> None:
        """Close it: what is open on it is given up."""
        self.ours = True
        now = self._clients.history.now
        for call in self.open_calls.values():
            call.gone_at = min(call.gone_at, now)
        self.open_calls.clear()
        if reset:
            self.reset()
        elif self.open:
            self.transport.close()


class Clients:
    """All clients of one border controller."""

    def __init__(
        self, node: str, address: tuple[str, int], classes: list[ClassOfCall], habits: Habits,
        history: History, rng: random.Random,
    ) -> None:  # fmt: skip
        self.node, self.address, self.classes, self.habits = node, address, classes, habits
        self.history, self._rng = history, rng
        self.life = 0  # which start of the border controller serves now
        self.taking = False  # new connections may be opened
        self.calling = False  # calls may begin on open connections
        self.tail = False  # few calls come any more
        self.killed = False  # its border controller has been ended by force
        self._streams: list[ClientStream] = []
        self._tests: dict[int, asyncio.Future[int]] = {}  # by the number of their connection
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        history.reachable[node] = self.reachable

    def reachable(self) -> bool:
        """Whether a release can reach any client: some connection is open that has set up calls."""
        return any(stream.open and stream.brought_setups for stream in self._streams)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside all else."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all."""
        for task in list(self._tasks):
            task.cancel()
        for stream in list(self._streams):
            stream.end(reset=True)

    def shorten(self, factor: float) -> None:
        """Deadlines of the classes become shorter."""
        self.classes = [
            ClassOfCall(kind.name, max(100, int(kind.deadline_ms * factor)), kind.repeatable)
            for kind in self.classes
        ]

    def stop_connecting(self) -> None:
        """No new connections come any more."""
        self.taking = False

    # --- connections ---

    async def connect(self) -> ClientStream | None:
        """A new connection, or None where it does not come up."""
        stream = ClientStream(self)
        try:
            await asyncio.wait_for(self._loop.create_connection(lambda: stream, *self.address), CONNECT_S)
        except (OSError, TimeoutError):
            return None
        self._streams.append(stream)
        return stream

    async def ready(self) -> bool:
        """Whether the border controller passes a test."""
        stream = await self.connect()
        if stream is None:
            return False
        waiting: asyncio.Future[int] = self._loop.create_future()
        self._tests[stream.number] = waiting
        stream.send(wire.simple("OPTIONS", "ready"))
        try:
            return await asyncio.wait_for(waiting, CONNECT_S) == 200
        except TimeoutError:
            return False
        finally:
            self._tests.pop(stream.number, None)
            stream.end()

    def lost(self, stream: ClientStream) -> None:
        """A connection has ended, by whomever."""
        if stream in self._streams:
            self._streams.remove(stream)
        if stream.ours:
            return
        now = self.history.now
        for call in list(stream.open_calls.values()):
            if now - call.sent_at <= CROSSED_S and not call.again_after and not self.killed:
                self.spawn(self._again(call))
            else:
                call.closed_at = now
        stream.open_calls.clear()

    async def _again(self, crossed: CallRecord) -> None:
        """A set-up crossed a close: it goes again on a new connection, once."""
        call = self._new_call(crossed.wait_s)
        call.again_after, crossed.repeated_by = crossed.name, call.name
        stream = await self.connect()
        if stream is not None:
            await self._send(stream, call, self._class_for(crossed), whole=True)

    # --- calls ---

    async def run(self) -> None:
        """Begin calls at random instants, whatever became of those before."""
        while True:
            rate = TAIL_CALLS_PER_S if self.tail else self.habits.calls_per_s
            await asyncio.sleep(self._rng.expovariate(rate))
            self._look_at_idle()
            if self.calling:
                self.spawn(self._call())

    def _look_at_idle(self) -> None:
        now = self.history.now
        for stream in list(self._streams):
            used = stream.open_calls or stream.standing or stream.number in self._tests
            if not used and now - stream.used_at > IDLE_S:
                stream.end()

    async def _call(self) -> None:
        stream = await self._stream()
        if stream is None:
            return
        kind = self._rng.choice(self.classes)
        longest = kind.deadline_ms
        wait_ms = self._wait_ms(longest)
        call = self._new_call(wait_ms / 1000)
        await self._send(stream, call, kind, whole=self._rng.random() >= self.habits.in_pieces)

    def _wait_ms(self, longest: int) -> int:
        draw = self._rng.random()
        if draw < SHORT_WAITS:
            return min(longest, self._rng.choice(WAITS_MS))
        return longest if draw < 0.5 else self._rng.randint(min(WAITS_MS[-1], longest), longest)

    async def _stream(self) -> ClientStream | None:
        """A kept connection, or a new one where clients may open one."""
        kept = [
            stream
            for stream in self._streams
            if stream.open and not stream.writing and stream.number not in self._tests
        ]
        another = len(kept) < self.habits.connections or self._rng.random() < self.habits.new_connection
        if self.taking and another:
            return await self.connect()
        return self._rng.choice(kept) if kept else None

    def _name(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _new_call(self, wait_s: float) -> CallRecord:
        name = self._name()
        call = CallRecord(name, self.node, wait_s, node_life=self.life)
        self.history.calls[name] = call
        return call

    def _class_for(self, call: CallRecord) -> ClassOfCall:
        able = [kind for kind in self.classes if kind.deadline_ms >= call.wait_s * 1000]
        return next((kind for kind in able if kind.repeatable == call.repeatable), self.classes[0])

    async def _send(self, stream: ClientStream, call: CallRecord, kind: ClassOfCall, whole: bool) -> None:
        call.repeatable = kind.repeatable
        number = self._name()
        wait_ms = min(kind.deadline_ms, int(call.wait_s * 1000))
        call.wait_s = wait_ms / 1000
        data = wire.setup(call.name, kind.name, number, wait_ms, b"v=0\r\n")
        if not whole:
            cut = self._rng.randrange(1, len(data))
            stream.piece(data[:cut])
            await asyncio.sleep(self._rng.choice(PIECE_GAPS_S))
            if not stream.open:
                return
            stream.finish(data[cut:])
        elif stream.open and not stream.writing:
            stream.send(data)
        else:
            return
        if stream.transport.get_write_buffer_size():
            return
        call.sent_at = stream.used_at = self.history.now
        stream.open_calls[call.name] = call
        stream.brought_setups = True
        draw, habits = self._rng.random(), self.habits
        if draw < habits.give_up_early:
            self._loop.call_later(self._rng.uniform(0, 0.3), self._cancel, stream, call)
        elif draw < habits.give_up_early + habits.close_early:
            self._loop.call_later(self._rng.uniform(0, 0.3), stream.end, self._rng.random() < 0.5)
        self._loop.call_later(call.wait_s + 0.55, self._cancel, stream, call)

    def _cancel(self, stream: ClientStream, call: CallRecord) -> None:
        if stream.open_calls.pop(call.name, None) is not None:
            call.gone_at = min(call.gone_at, self.history.now)
            call.cancelled = True
            stream.send(wire.simple("CANCEL", call.name))

    # --- what comes ---

    def heard(self, stream: ClientStream, message: Message) -> None:
        """A whole message has come."""
        if message.is_request:
            if message.method == "BYE":
                stream.send(wire.answer(message, 200))
                self._released(message.call_id)
            return
        _, method = message.cseq
        if method == "OPTIONS" and stream.number in self._tests:
            waiting = self._tests[stream.number]
            if not waiting.done():
                waiting.set_result(message.status)
        if method != "INVITE" or message.status < 200:
            return
        name = message.call_id
        call = self.history.calls.get(name)
        if call is None:
            return  # of a bad client
        stream.open_calls.pop(name, None)
        stream.used_at = self.history.now
        self.history.follow(name, f"its client heard {message.status} on {stream.number}")
        call.answers.append(Answer(self.history.now, message.status, message.body))
        if call.gone_at == NEVER:
            stream.send(wire.simple("ACK", name))
        if message.status == 200:
            self._stands(stream, call)
        elif self._rng.random() < self.habits.redial_at_once and self.calling:
            self.spawn(self._call())

    def _stands(self, stream: ClientStream, call: CallRecord) -> None:
        if call.gone_at != NEVER:
            return
        stream.standing.add(call.name)
        if self._rng.random() < self.habits.release:
            self._loop.call_later(self._rng.uniform(0.1, 2.0), self._release, call)
        if self._rng.random() < self.habits.drop_connection:
            self._loop.call_later(self._rng.uniform(0.05, 0.5), stream.end)

    def _release(self, call: CallRecord) -> None:
        stream = next((stream for stream in self._streams if stream.open and stream.life == self.life), None)
        if stream is None or call.told_at != NEVER:
            return
        stream.send(wire.release(call.name, wire.CALL_ENDED))
        call.client_ended_at = self.history.now
        self._ended(call.name)

    def _released(self, name: str) -> None:
        call = self.history.calls.get(name)
        self.history.follow(name, "its client heard the release")
        if call is not None:
            call.told_at = min(call.told_at, self.history.now)
            self._ended(name)

    def _ended(self, name: str) -> None:
        for stream in self._streams:
            stream.standing.discard(name)

    # --- bad clients ---

    async def misbehave(self, seconds: float) -> None:
        """Crowds, rubbish, halves of requests and floods for a while."""
        until = self.history.now + seconds
        while self.history.now < until:
            await asyncio.sleep(self._rng.uniform(0.02, 0.2))
            if not self.taking:
                continue
            act = self._rng.choice((self._crowd, self._rubbish, self._half, self._flood, self._repeat))
            self.spawn(act())

    async def _bad_stream(self) -> ClientStream | None:
        stream = await self.connect()
        if stream is not None and stream in self._streams:
            self._streams.remove(stream)  # no good client uses it
        return stream

    async def _crowd(self) -> None:
        streams = [await self._bad_stream() for _ in range(20)]
        await asyncio.sleep(2)
        for stream in streams:
            if stream is not None:
                stream.end()

    async def idle_crowd(self, count: int, seconds: float) -> None:
        """Connect many times, say nothing, and leave."""
        streams = await asyncio.gather(*(self._bad_stream() for _ in range(count)))
        await asyncio.sleep(seconds)
        for stream in streams:
            if stream is not None:
                stream.end()

    def go_silent(self) -> None:
        """The network to one of the clients is gone: it reads nothing, and its connection ends much later."""
        able = [stream for stream in self._streams if stream.open and not stream.writing]
        if able:
            stream = self._rng.choice(able)
            self._streams.remove(stream)
            for call in stream.open_calls.values():
                call.gone_at = min(call.gone_at, self.history.now)
            stream.open_calls.clear()
            for name in stream.standing:
                self.history.calls[name].client_ended_at = self.history.now  # it hears of no end
            stream.transport.pause_reading()
            self._loop.call_later(self._rng.uniform(0.5, 5.0), stream.end, True)

    async def _rubbish(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            stream.send(bytes(self._rng.randrange(256) for _ in range(300)))
            await asyncio.sleep(1)
            stream.end()

    async def _half(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            data = wire.setup(self._name(), "plain", "0" * 16, 1000, b"v=0\r\n")
            stream.send(data[: len(data) // 2])
            await asyncio.sleep(self._rng.uniform(0, 0.5))
            stream.end(reset=self._rng.random() < 0.5)

    async def _flood(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            for _ in range(60):
                stream.send(wire.setup(self._name(), "nosuch", "0" * 16, 1000, b""))
            await asyncio.sleep(0.5)
            stream.end()

    async def _repeat(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            for _ in range(10):
                stream.send(wire.release(self._name(), wire.CALL_ENDED))
            await asyncio.sleep(0.2)
            stream.end()
