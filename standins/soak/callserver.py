"""A call server of the platform: it takes set-ups, holds and releases calls, and fails in the usual ways."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from dataclasses import dataclass, field
from enum import Enum

from reedmount.sip.message import Message, SipError
from standins.soak import wire
from standins.soak.history import NEVER, Attempt, History

HOST = "127.0.0.1"
LINES = 400
READ_AT_ONCE_S = 0.15  # after it goes on: what comes then had been sent before
REPORT_EVERY_S = 0.3
LOST_WITH_CONNECTION_S = 0.2  # a release so shortly before the end of its connection may not have been read
PIECE_GAP_S = 0.004
REPORTED_CONNECTIONS = 4
BACKLOG = 128
NUMBERS = itertools.count(1)
REFUSALS = ((503, "no_path"), (503, "queue_long"), (486, "line_taken"), (500, ""), (480, ""))
NEVER_RAN = (503, 480)
FILLERS = 3  # connections that fill a backlog of none, so that further ones never come up


class State(Enum):
    """What a call server does just now."""

    SERVING = "serving"
    HUNG = "hung"  # its process stands still: connections come up, nothing is read, calls do not end
    CUT = "cut off"  # its network is gone: calls end, nothing gets through, new connections never come up
    VANISHED = "vanished"  # the machine is gone with its calls, and says nothing
    DEAD = "dead"  # its process has died: connections are reset, new ones refused


@dataclass(slots=True)
class Manners:
    """How often a call server behaves badly, as shares of its answers or connections."""

    refused: float = 0.06
    never: float = 0.0
    cut_short: float = 0.0
    twice: float = 0.0
    noise: float = 0.0
    reset: float = 0.0
    late: float = 0.0
    early_close: float = 0.0
    pieces: float = 0.1


@dataclass(slots=True, eq=False)
class Standing:
    """A call that stands here."""

    name: str
    stream: ServerStream
    ends: asyncio.TimerHandle | None = None


class ServerStream(wire.MessageStream):
    """One connection from a border controller."""

    def __init__(self, server: CallServer, node: str) -> None:
        super().__init__()
        self._server = server
        self.node = node
        self.number = next(NUMBERS)
        self._life = server.history.life.get(node, 0)
        self.open_setups: set[str] = set()
        self.answered: list[Attempt] = []
        self.releases: dict[str, float] = {}  # when they were written here
        self.held_back: list[tuple[bytes, str]] = []  # with the call that it releases

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection has come."""
        super().connection_made(transport)
        self._server.accepted(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""
        try:
            for message in self.messages(data):
                self._server.take(self, message)
        except (SipError, ValueError) as error:
            self._server.history.broke(f"{self._server.name} could not read what came: {error}")
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._server.lost(self)

    def say(self, data: bytes, released: str = "") -> None:
        """Write, or keep until something gets through again; ``released`` is the call that it ends."""
        if self._server.silent:
            self.held_back.append((data, released))
        elif self.open:
            self.send(data)
            if released:
                self._server.release_is_out(released, self)

    @property
    def lives(self) -> bool:
        """Whether the process at its other end is still there, as far as that can be known."""
        return self._life == self._server.history.life.get(self.node, 0)

    def flush(self) -> None:
        """Something gets through again."""
        held, self.held_back = self.held_back, []
        if self.open:
            for data, released in held:
                self.say(data, released)
            self.transport.resume_reading()


class Door:
    """The address at which one border controller reaches a call server."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server((HOST, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.task: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []

    def stop(self) -> None:
        """Accept no more; the system still does."""
        if self.task is not None:
            self.task.cancel()

    def block(self) -> None:
        """Fill the backlog: the system answers no further connection."""
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self._fillers.append(filler)

    def unblock(self) -> None:
        """Connections come up again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.listener.listen(BACKLOG)

    def close(self) -> None:
        """Listen no more."""
        self.stop()
        for sock in [self.listener, *self._fillers]:
            sock.close()


@dataclass(eq=False)
class CallServer:
    """One call server; it has an address for each border controller."""

    name: str
    number: int
    nodes: list[str]
    history: History
    rng: random.Random
    manners: Manners = field(default_factory=Manners)
    hold_s: tuple[float, float] = (0.4, 6.0)
    work_s: tuple[float, float] = (0.005, 0.08)
    at_ports: dict[str, int] = field(default_factory=dict)  # of one that has gone
    state: State = State.SERVING
    busy: bool = False  # a fault has it, or discovery is about to say that it leaves

    def __post_init__(self) -> None:
        """Listen."""
        self._loop = asyncio.get_running_loop()
        self._doors = {node: Door(self.at_ports.get(node, 0)) for node in self.nodes}
        self.addresses = {node: door.address for node, door in self._doors.items()}
        self._healed_at = -NEVER
        self._streams: list[ServerStream] = []
        self.standing: dict[str, Standing] = {}
        self._out: dict[str, Attempt] = {}  # set-ups whose end is not known here
        self._unheard: dict[str, int] = {}  # releases not confirmed: they come again on the next connection
        self._delayed: list[str] = []  # calls whose end came while it hung
        self._reporting = self._loop.create_task(self._report())
        self._open_doors()

    def ports(self) -> dict[str, int]:
        """Where each border controller reaches it."""
        return {node: int(address.rpartition(":")[2]) for node, address in self.addresses.items()}

    def leave_addresses(self) -> None:
        """Another machine has the addresses from now on; open connections stay as they are."""
        for door in self._doors.values():
            door.close()

    @property
    def silent(self) -> bool:
        """Whether nothing gets in or out."""
        return self.state is not State.SERVING

    def close(self) -> None:
        """End all."""
        self._reporting.cancel()
        for stream in list(self._streams):
            stream.reset()
        for door in self._doors.values():
            door.close()

    # --- faults ---

    def hang(self) -> None:
        """The process stands still."""
        self._quiet(State.HUNG)

    def cut(self) -> None:
        """Nothing gets through any more, and new connections never come up."""
        self._quiet(State.CUT)
        self._block()

    def vanish(self) -> None:
        """The machine is gone, and with it its calls."""
        self._quiet(State.VANISHED)
        self._block()
        self._lose_calls()

    def die(self) -> None:
        """The process dies: the system resets what it had open."""
        self._quiet(State.DEAD)
        for door in self._doors.values():
            door.close()
        for stream in list(self._streams):
            stream.reset()
        self._lose_calls()

    def heal(self) -> None:
        """What hung or was cut off goes on."""
        if self.state not in (State.HUNG, State.CUT):
            return
        self.state, self.busy = State.SERVING, False
        self._healed_at = self.history.now
        self.history.tell(f"{self.name} goes on")
        for door in self._doors.values():
            door.unblock()
        for stream in list(self._streams):
            stream.flush()
        delayed, self._delayed = self._delayed, []
        for name in delayed:
            self._end(name)
        self._open_doors()

    def reset_some(self) -> None:
        """Reset one of the connections, whatever is open on it."""
        if self._streams and not self.silent:
            self.rng.choice(self._streams).reset()

    def close_idle(self) -> None:
        """Close the connections on which no set-up is open."""
        for stream in list(self._streams):
            if not stream.open_setups and not self.silent and stream.open:
                stream.transport.close()

    def _quiet(self, state: State) -> None:
        self.state = state
        attempts = [attempt for name in self.standing for attempt in self.history.calls[name].attempts]
        for attempt in [*self._out.values(), *attempts]:
            attempt.disturbed = True
        self.history.tell(f"{self.name} is {state.value}, {len(self.standing)} calls stand there")
        for door in self._doors.values():
            door.stop()
        for stream in self._streams:
            if stream.open:
                stream.transport.pause_reading()

    def _block(self) -> None:
        for door in self._doors.values():
            door.block()

    def _lose_calls(self) -> None:
        for name, standing in list(self.standing.items()):
            if standing.ends is not None:
                standing.ends.cancel()
            self._over(name)
        self.standing.clear()
        self._unheard.clear()

    # --- connections ---

    def _open_doors(self) -> None:
        for node, door in self._doors.items():
            door.task = self._loop.create_task(self._accept(node, door))

    async def _accept(self, node: str, door: Door) -> None:
        while True:
            sock, _ = await self._loop.sock_accept(door.listener)
            await self._loop.connect_accepted_socket(lambda: ServerStream(self, node), sock)

    def accepted(self, stream: ServerStream) -> None:
        """A connection is up: the state of the lines comes first on it, then what was not heard before."""
        if self.rng.random() < self.manners.early_close:
            stream.reset()
            return
        self._streams.append(stream)
        stream.say(wire.state_of_lines(LINES - len(self.standing), LINES))
        for name, cause in self._unheard.items():
            if self.history.calls[name].node == stream.node:
                stream.say(wire.release(name, cause), name)

    def lost(self, stream: ServerStream) -> None:
        """A connection has ended: its open set-ups are given up."""
        for attempt in stream.answered:
            if self.history.now - attempt.answered_whole_at < LOST_WITH_CONNECTION_S:
                attempt.answered_whole_at = NEVER  # it may not have been read
        for name, at in stream.releases.items():
            call = self.history.calls.get(name)
            if call is not None and name in self._unheard and self.history.now - at < LOST_WITH_CONNECTION_S:
                call.release_sent_at = NEVER
        for name in stream.open_setups:
            self._ended(name)
            self.history.follow(name, f"{self.name}: connection {stream.number} ended under it")
        if stream in self._streams:
            self._streams.remove(stream)
        stream.open_setups.clear()

    async def _report(self) -> None:
        last = -1
        while True:
            await asyncio.sleep(REPORT_EVERY_S)
            if self.silent or len(self.standing) == last:
                continue
            last = len(self.standing)
            for stream in self._reported():
                stream.say(wire.state_of_lines(LINES - last, LINES))

    def _reported(self) -> list[ServerStream]:
        """The connections that reports go to: some of each border controller."""
        by_node = [[stream for stream in self._streams if stream.node == node] for node in self.nodes]
        return [stream for streams in by_node for stream in streams[:REPORTED_CONNECTIONS]]

    # --- calls ---

    def take(self, stream: ServerStream, message: Message) -> None:
        """A whole message has come."""
        if not message.is_request:
            if message.cseq[1] == "BYE":
                self.history.follow(message.call_id, f"{self.name}: its release was heard on {stream.number}")
                self._unheard.pop(message.call_id, None)
            return
        match message.method:
            case "INVITE":
                self._invite(stream, message)
            case "CANCEL":
                stream.open_setups.discard(message.call_id)
                self._ended(message.call_id)
            case "BYE":
                stream.say(wire.answer(message, 200))
                self._released(stream, message.call_id)
            case "OPTIONS":
                stream.say(wire.answer(message, 200))

    def _invite(self, stream: ServerStream, message: Message) -> None:
        name, now = message.call_id, self.history.now
        call = self.history.calls.get(name)
        if call is None:
            self.history.broke(f"{self.name} got {name}, which no client sent in this form")
            return
        attempt = Attempt(now, self.name, read_late=now - self._healed_at < READ_AT_ONCE_S)
        call.attempts.append(attempt)
        stream.open_setups.add(name)
        self._out[name] = attempt
        self.history.follow(name, f"{self.name} got it on {stream.number}")
        delay = self.rng.uniform(*self.work_s)
        self._loop.call_later(delay, self._answer, stream, message, attempt)

    def _answer(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        name, draw = message.call_id, self.rng.random()
        if self.state is State.HUNG:
            self._loop.call_later(0.05, self._answer, stream, message, attempt)
            return
        if name not in stream.open_setups or self.state in (State.VANISHED, State.DEAD):
            return
        for share, act in (
            (self.manners.refused, self._refuse),
            (self.manners.never, None),
            (self.manners.reset, self._reset_under),
            (self.manners.late, self._answer_late),
        ):
            draw -= share
            if draw < 0:
                if act is not None:
                    act(stream, message, attempt)
                return
        stream.open_setups.discard(name)
        self._stand(stream, message, attempt)

    def _refuse(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        stream.open_setups.discard(message.call_id)
        status, note = self.rng.choice(REFUSALS)
        attempt.never_ran = status in NEVER_RAN
        self._ended(message.call_id, clean=True)
        stream.say(wire.answer(message, status, note=note))

    def _reset_under(self, stream: ServerStream, _: Message, __: Attempt) -> None:
        stream.reset()

    def _answer_late(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        self._loop.call_later(self.rng.uniform(0.3, 3.0), self._stand_late, stream, message, attempt)

    def _stand_late(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        if not self.silent and stream.open:
            stream.open_setups.discard(message.call_id)
            self._stand(stream, message, attempt)

    def _stand(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        name, manners = message.call_id, self.manners
        attempt.body_given = f"{name}\r\nc=IN IP4 127.0.0.1 {self.name}\r\n".encode()
        data = wire.answer(message, 200, attempt.body_given)
        draw = self.rng.random()
        if draw < manners.cut_short + manners.noise:
            self._ended(name)
        if draw < manners.cut_short:
            stream.say(data[: len(data) // 2])
            if self.rng.random() < 0.5:
                stream.reset()
            return
        draw -= manners.cut_short
        if draw < manners.noise:
            stream.say(bytes(self.rng.randrange(256) for _ in range(200)) + b"\r\n\r\n")
            return
        draw -= manners.noise
        if self.rng.random() < manners.pieces:
            self._in_pieces(stream, data)
        else:
            stream.say(data)
        self._ended(name, clean=True)
        if not self.silent:
            attempt.answered_whole_at = self.history.now
            stream.answered.append(attempt)
        if draw < manners.twice:
            self._loop.call_later(self.rng.uniform(0, 0.02), stream.say, data)
        standing = Standing(name, stream)
        standing.ends = self._loop.call_later(self.rng.uniform(*self.hold_s), self._end, name)
        self.standing[name] = standing
        self.history.follow(name, f"{self.name} answered it")

    def _ended(self, name: str, clean: bool = False) -> None:
        """An attempt is out no longer."""
        attempt = self._out.pop(name, None)
        if attempt is not None:
            attempt.ended_at, attempt.clean_end = self.history.now, clean

    def _in_pieces(self, stream: ServerStream, data: bytes) -> None:
        if stream.writing or self.silent:
            stream.say(data)
            return
        first, second = sorted(self.rng.sample(range(1, len(data)), 2))
        stream.piece(data[:first])
        self._loop.call_later(PIECE_GAP_S, stream.piece, data[first:second])
        self._loop.call_later(2 * PIECE_GAP_S, stream.finish, data[second:])

    def _end(self, name: str) -> None:
        """A call comes to its end here; a process that stands still ends it later."""
        if self.state is State.HUNG:
            self._delayed.append(name)
            return
        standing = self.standing.pop(name, None)
        if standing is None:
            return
        cause = wire.CALL_ENDED if self.rng.random() < 0.9 else wire.CALL_CUT
        self._over(name)
        self._unheard[name] = cause
        others = [stream for stream in self._streams if stream.node == standing.stream.node]
        streams = [standing.stream, *others]
        stream = next((stream for stream in streams if stream.open), None)
        if stream is not None:
            stream.say(wire.release(name, cause), name)

    def release_is_out(self, name: str, stream: ServerStream) -> None:
        """A release was written to a connection that gets through."""
        self.history.follow(name, f"{self.name} wrote its release to {stream.number}")
        call = self.history.calls.get(name)
        if call is not None and stream.lives and call.release_sent_at == NEVER:
            call.release_sent_at = stream.releases[name] = self.history.now
            call.untellable = not self.history.reachable[stream.node]()

    def _released(self, stream: ServerStream, name: str) -> None:
        """The border controller has released it."""
        self.history.follow(name, f"{self.name} was sent a release on {stream.number}")
        standing = self.standing.pop(name, None)
        if standing is None:
            return
        if standing.ends is not None:
            standing.ends.cancel()
        self._over(name, by_us=True)
        self.release_is_out(name, stream)

    def _over(self, name: str, by_us: bool = False) -> None:
        call = self.history.calls.get(name)
        if call is None:
            return
        if call.over_at == NEVER:
            call.over_at = self.history.now
        for attempt in call.attempts:
            if attempt.server == self.name and attempt.over_at == NEVER:
                attempt.over_at, attempt.released_by_us = self.history.now, by_us
