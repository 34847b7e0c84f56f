"""Clients of the border controllers: steady calls over kept connections, and misbehaving clients."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from reedmount.sip.message import Message, SipError
from standins.soak import wire
from standins.soak.history import NEVER, Answer, CallRecord, History

CROSSED_CLOSE_S = 0.05  # a set-up sent within this time before the peer's close is repeated, once
WAITS_MS = (30, 60, 120, 250)  # short waits; the last is also the lower bound of the drawn ones
SHORT_WAIT_SHARE = 0.05
PIECE_GAPS_S = (0.002, 0.05, 0.4, 1.8)
IDLE_CLOSE_S = 4.0
PROBE_INTERVAL_S = 0.1
CONNECT_S = 1.0
TAIL_CALLS_PER_S = 3.0


@dataclass(slots=True)
class ClientProfile:
    """Behaviour of clients; fractions are shares of their calls."""

    calls_per_s: float = 25.0
    connections: int = 3
    new_connection: float = 0.1  # share of calls on a new connection
    cancel_early: float = 0.05  # by CANCEL
    close_early: float = 0.03
    release: float = 0.2  # calls released by the client
    split: float = 0.1
    redial_at_once: float = 0.3  # share of refused calls
    drop_connection: float = 0.02  # closes the connection with its established calls


@dataclass(frozen=True, slots=True)
class CallClass:
    """A call class as described in the settings."""

    name: str
    deadline_ms: int
    repeatable: bool


class ClientStream(wire.MessageStream):
    """One client connection to a border controller."""

    count = 0

    def __init__(self, clients: Clients) -> None:
        super().__init__()
        ClientStream.count += 1
        self.number = ClientStream.count
        self._clients = clients
        self.open_calls: dict[str, CallRecord] = {}
        self.established_calls: set[str] = set()
        self.carried_setups = False
        self.process_number = clients.process_number
        self.used_at = clients.history.now
        self.closed_locally = False  # closed by the client

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived and pass on complete messages."""
        try:
            for message in self.messages(data):
                self._clients.message_received(self, message)
        except (SipError, ValueError) as error:
            self._clients.history.record_violation(
                f"{self._clients.node}: a client could not parse its input: {error} {data[:60]!r}"
            )
            self.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the clients."""
        self._clients.stream_closed(self)

    def end(self, reset: bool = False) -> None:
        """Close the connection and abandon its open set-ups."""
        self.closed_locally = True
        now = self._clients.history.now
        for call in self.open_calls.values():
            call.abandoned_at = min(call.abandoned_at, now)
            call.left_at = min(call.left_at, now)
        self.open_calls.clear()
        if reset:
            self.reset()
        elif self.open:
            self.transport.close()


class Clients:
    """All simulated clients of one border controller."""

    def __init__(
        self, node: str, address: tuple[str, int], classes: list[CallClass], profile: ClientProfile,
        history: History, rng: random.Random,
    ) -> None:  # fmt: skip
        self.node, self.address, self.classes, self.profile = node, address, classes, profile
        self.history, self._rng = history, rng
        self.process_number = 0  # number of the border controller's current process
        self.may_connect = False  # whether new connections may be opened
        self.may_call = False  # whether calls may begin on open connections
        self.winding_down = False  # whether calls begin only at the reduced final rate
        self.killed = False  # whether the border controller was ended by SIGKILL
        self._streams: list[ClientStream] = []
        self._probes: dict[int, asyncio.Future[int]] = {}  # by connection number
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        history.reachable[node] = self.reachable

    def reachable(self) -> bool:
        """Whether a release can reach a client: a connection is open that has carried set-ups."""
        return any(stream.open and stream.carried_setups for stream in self._streams)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all tasks and reset all connections."""
        for task in list(self._tasks):
            task.cancel()
        for stream in list(self._streams):
            stream.end(reset=True)

    def shorten_deadlines(self, factor: float) -> None:
        """Scale down the deadlines of the classes."""
        self.classes = [
            CallClass(kind.name, max(100, int(kind.deadline_ms * factor)), kind.repeatable)
            for kind in self.classes
        ]

    def stop_connecting(self) -> None:
        """Open no further connections."""
        self.may_connect = False

    # --- connections ---

    async def connect(self) -> ClientStream | None:
        """Open a connection; None if it does not come up."""
        stream = ClientStream(self)
        try:
            await asyncio.wait_for(self._loop.create_connection(lambda: stream, *self.address), CONNECT_S)
        except (OSError, TimeoutError):
            return None
        self._streams.append(stream)
        return stream

    async def is_ready(self) -> bool:
        """Whether the border controller answers a probe with 200."""
        stream = await self.connect()
        if stream is None:
            return False
        waiting: asyncio.Future[int] = self._loop.create_future()
        self._probes[stream.number] = waiting
        stream.send(wire.bare_request("OPTIONS", "ready"))
        try:
            return await asyncio.wait_for(waiting, CONNECT_S) == 200
        except TimeoutError:
            return False
        finally:
            self._probes.pop(stream.number, None)
            stream.end()

    def stream_closed(self, stream: ClientStream) -> None:
        """Handle the end of a connection, whoever closed it."""
        if stream in self._streams:
            self._streams.remove(stream)
        if stream.closed_locally:
            return
        now = self.history.now
        for call in list(stream.open_calls.values()):
            if now - call.sent_at <= CROSSED_CLOSE_S and not call.repeats_call and not self.killed:
                self.spawn(self._repeat_setup(call))
            else:
                call.closed_at = now
        stream.open_calls.clear()

    async def _repeat_setup(self, crossed: CallRecord) -> None:
        """Repeat a set-up that crossed the peer's close, once, on a new connection."""
        call = self._new_call(crossed.wait_s)
        call.repeats_call, crossed.repeated_by = crossed.name, call.name
        stream = await self.connect()
        if stream is not None:
            await self._send(stream, call, self._class_for(crossed), unsplit=True)

    # --- calls ---

    async def run(self) -> None:
        """Begin calls at random instants, regardless of earlier ones (open loop)."""
        while True:
            rate = TAIL_CALLS_PER_S if self.winding_down else self.profile.calls_per_s
            await asyncio.sleep(self._rng.expovariate(rate))
            self._close_idle()
            if self.may_call:
                self.spawn(self._call())

    def _close_idle(self) -> None:
        now = self.history.now
        for stream in list(self._streams):
            used = stream.open_calls or stream.established_calls or stream.number in self._probes
            if not used and now - stream.used_at > IDLE_CLOSE_S:
                stream.end()

    async def _call(self) -> None:
        stream = await self._stream()
        if stream is None:
            return
        kind = self._rng.choice(self.classes)
        longest = kind.deadline_ms
        wait_ms = self._wait_ms(longest)
        call = self._new_call(wait_ms / 1000)
        await self._send(stream, call, kind, unsplit=self._rng.random() >= self.profile.split)

    def _wait_ms(self, longest: int) -> int:
        draw = self._rng.random()
        if draw < SHORT_WAIT_SHARE:
            return min(longest, self._rng.choice(WAITS_MS))
        return longest if draw < 0.5 else self._rng.randint(min(WAITS_MS[-1], longest), longest)

    async def _stream(self) -> ClientStream | None:
        """A kept connection, or a new one if clients may open one."""
        kept = [
            stream
            for stream in self._streams
            if stream.open and not stream.writing and stream.number not in self._probes
        ]
        another = len(kept) < self.profile.connections or self._rng.random() < self.profile.new_connection
        if self.may_connect and another:
            return await self.connect()
        return self._rng.choice(kept) if kept else None

    def _name(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _new_call(self, wait_s: float) -> CallRecord:
        name = self._name()
        call = CallRecord(name, self.node, wait_s, node_process=self.process_number)
        self.history.calls[name] = call
        return call

    def _class_for(self, call: CallRecord) -> CallClass:
        able = [kind for kind in self.classes if kind.deadline_ms >= call.wait_s * 1000]
        return next((kind for kind in able if kind.repeatable == call.repeatable), self.classes[0])

    async def _send(self, stream: ClientStream, call: CallRecord, kind: CallClass, unsplit: bool) -> None:
        call.repeatable = kind.repeatable
        number = self._name()
        wait_ms = min(kind.deadline_ms, int(call.wait_s * 1000))
        call.wait_s = wait_ms / 1000
        data = wire.setup(call.name, kind.name, number, wait_ms, b"v=0\r\n")
        if not unsplit:
            cut = self._rng.randrange(1, len(data))
            stream.write_part(data[:cut])
            await asyncio.sleep(self._rng.choice(PIECE_GAPS_S))
            if not stream.open:
                return
            stream.write_last_part(data[cut:])
        elif stream.open and not stream.writing:
            stream.send(data)
        else:
            return
        if stream.transport.get_write_buffer_size():
            return
        call.sent_at = stream.used_at = self.history.now
        stream.open_calls[call.name] = call
        stream.carried_setups = True
        draw, profile = self._rng.random(), self.profile
        if draw < profile.cancel_early:
            self._loop.call_later(self._rng.uniform(0, 0.3), self._cancel, stream, call)
        elif draw < profile.cancel_early + profile.close_early:
            self._loop.call_later(self._rng.uniform(0, 0.3), stream.end, self._rng.random() < 0.5)
        self._loop.call_later(call.wait_s + 0.55, self._cancel, stream, call)

    def _cancel(self, stream: ClientStream, call: CallRecord) -> None:
        if stream.open_calls.pop(call.name, None) is not None:
            call.abandoned_at = min(call.abandoned_at, self.history.now)
            call.left_at = min(call.left_at, self.history.now)
            call.cancelled = True
            stream.send(wire.bare_request("CANCEL", call.name))

    # --- received messages ---

    def message_received(self, stream: ClientStream, message: Message) -> None:
        """Handle a complete message."""
        if message.is_request:
            if message.method == "BYE":
                stream.send(wire.answer(message, 200))
                self._released(message.call_id)
            return
        _, method = message.cseq
        if method == "OPTIONS" and stream.number in self._probes:
            waiting = self._probes[stream.number]
            if not waiting.done():
                waiting.set_result(message.status)
        if method != "INVITE" or message.status < 200:
            return
        name = message.call_id
        call = self.history.calls.get(name)
        if call is None:
            return  # sent by a misbehaving client
        stream.open_calls.pop(name, None)
        stream.used_at = self.history.now
        self.history.record_step(name, f"client received {message.status} on {stream.number}")
        call.answers.append(Answer(self.history.now, message.status, message.body))
        if call.abandoned_at == NEVER:
            stream.send(wire.bare_request("ACK", name))
        if message.status == 200:
            self._call_established(stream, call)
        elif self._rng.random() < self.profile.redial_at_once and self.may_call:
            self.spawn(self._call())

    def _call_established(self, stream: ClientStream, call: CallRecord) -> None:
        if call.abandoned_at != NEVER:
            return
        stream.established_calls.add(call.name)
        if self._rng.random() < self.profile.release:
            self._loop.call_later(self._rng.uniform(0.1, 2.0), self._release, call)
        if self._rng.random() < self.profile.drop_connection:
            self._loop.call_later(self._rng.uniform(0.05, 0.5), stream.end)

    def _release(self, call: CallRecord) -> None:
        stream = next(
            (
                stream
                for stream in self._streams
                if stream.open and stream.process_number == self.process_number
            ),
            None,
        )
        if stream is None or call.notified_at != NEVER:
            return
        stream.send(wire.release(call.name, wire.CALL_ENDED))
        call.client_ended_at = self.history.now
        self._forget_established(call.name)

    def _released(self, name: str) -> None:
        call = self.history.calls.get(name)
        self.history.record_step(name, "client received the release")
        if call is not None:
            call.notified_at = min(call.notified_at, self.history.now)
            self._forget_established(name)

    def _forget_established(self, name: str) -> None:
        for stream in self._streams:
            stream.established_calls.discard(name)

    # --- misbehaving clients ---

    async def misbehave(self, seconds: float) -> None:
        """Send garbage, partial requests and floods, and open idle connections, for some seconds."""
        until = self.history.now + seconds
        while self.history.now < until:
            await asyncio.sleep(self._rng.uniform(0.02, 0.2))
            if not self.may_connect:
                continue
            act = self._rng.choice(
                (
                    self._short_idle_connections,
                    self._garbage,
                    self._partial_request,
                    self._flood,
                    self._unknown_releases,
                )
            )
            self.spawn(act())

    async def _bad_stream(self) -> ClientStream | None:
        stream = await self.connect()
        if stream is not None and stream in self._streams:
            self._streams.remove(stream)  # not used for regular calls
        return stream

    async def _short_idle_connections(self) -> None:
        streams = [await self._bad_stream() for _ in range(20)]
        await asyncio.sleep(2)
        for stream in streams:
            if stream is not None:
                stream.end()

    async def idle_connections(self, count: int, seconds: float) -> None:
        """Open many connections, send nothing, and close them."""
        streams = await asyncio.gather(*(self._bad_stream() for _ in range(count)))
        await asyncio.sleep(seconds)
        for stream in streams:
            if stream is not None:
                stream.end()

    def go_silent(self) -> None:
        """Cut the network to one client: it reads nothing, and its connection closes much later."""
        able = [stream for stream in self._streams if stream.open and not stream.writing]
        if able:
            stream = self._rng.choice(able)
            self._streams.remove(stream)
            cut_off = list(stream.open_calls.values())
            for call in cut_off:
                call.abandoned_at = min(call.abandoned_at, self.history.now)
            stream.open_calls.clear()
            for name in stream.established_calls:
                self.history.calls[name].client_ended_at = self.history.now  # no release can reach it
            stream.transport.pause_reading()
            self._loop.call_later(self._rng.uniform(0.5, 5.0), self._end_cut_off, stream, cut_off)

    def _end_cut_off(self, stream: ClientStream, calls: list[CallRecord]) -> None:
        """Close the connection of a client that was cut off: only now can this be noticed."""
        for call in calls:
            call.left_at = min(call.left_at, self.history.now)
        stream.end(reset=True)

    async def _garbage(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            stream.send(bytes(self._rng.randrange(256) for _ in range(300)))
            await asyncio.sleep(1)
            stream.end()

    async def _partial_request(self) -> None:
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

    async def _unknown_releases(self) -> None:
        stream = await self._bad_stream()
        if stream is not None:
            for _ in range(10):
                stream.send(wire.release(self._name(), wire.CALL_ENDED))
            await asyncio.sleep(0.2)
            stream.end()
