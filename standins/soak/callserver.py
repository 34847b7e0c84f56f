"""Simulated call server of the platform: accepts set-ups, holds and releases calls, and injects faults."""

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
QUEUED_INPUT_S = 0.15  # input received within this time of a recovery was sent before it
REPORT_INTERVAL_S = 0.3
UNREAD_BEFORE_CLOSE_S = 0.2  # data written so shortly before a connection closes may not have been read
PIECE_GAP_S = 0.004
REPORTED_CONNECTIONS = 4
BACKLOG = 128
CONNECTION_NUMBERS = itertools.count(1)
REFUSALS = ((503, "no_path"), (503, "queue_long"), (486, "line_taken"), (500, ""), (480, ""))
NOT_EXECUTED = (503, 480)
FILLERS = 3  # connections that fill a listen backlog of 0, so that further ones are never accepted


class State(Enum):
    """Present condition of a call server."""

    SERVING = "serving"
    HUNG = "hung"  # the process is suspended: connections come up, nothing is read, calls do not end
    CUT = "cut off"  # network partition: calls end, no data passes, new connections never come up
    VANISHED = "vanished"  # the machine is lost with its calls, without closing connections
    DEAD = "dead"  # the process has crashed: connections are reset, new ones refused


@dataclass(slots=True)
class Misbehaviour:
    """Frequency of faulty behaviour, as shares of the answers or connections of a call server."""

    refused: float = 0.06
    no_answer: float = 0.0
    truncated: float = 0.0
    repeated: float = 0.0
    garbage: float = 0.0
    reset: float = 0.0
    late: float = 0.0
    early_close: float = 0.0
    split: float = 0.1


@dataclass(slots=True, eq=False)
class EstablishedCall:
    """A call that is established at this server."""

    name: str
    stream: ServerStream
    ends: asyncio.TimerHandle | None = None


class ServerStream(wire.MessageStream):
    """One connection from a border controller."""

    def __init__(self, server: CallServer, node: str) -> None:
        super().__init__()
        self._server = server
        self.node = node
        self.number = next(CONNECTION_NUMBERS)
        self._process_number = server.history.process_numbers.get(node, 0)
        self.open_setups: set[str] = set()
        self.answered: list[Attempt] = []
        self.releases: dict[str, float] = {}  # by call: when its release was written to this connection
        self.held_output: list[tuple[bytes, str]] = []  # data, and the call that it releases

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with its server."""
        super().connection_made(transport)
        self._server.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived and pass on complete messages."""
        try:
            for message in self.messages(data):
                self._server.message_received(self, message)
        except (SipError, ValueError) as error:
            self._server.history.record_violation(f"{self._server.name} could not parse its input: {error}")
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to its server."""
        self._server.stream_closed(self)

    def write_or_hold(self, data: bytes, released: str = "") -> None:
        """Write, or hold back while the server is silent; ``released`` is the call that the data releases."""
        if self._server.silent:
            self.held_output.append((data, released))
        elif self.open:
            self.send(data)
            if released:
                self._server.release_written(released, self)

    @property
    def peer_process_current(self) -> bool:
        """Whether the border controller's process at the other end has not been replaced."""
        return self._process_number == self._server.history.process_numbers.get(self.node, 0)

    def flush(self) -> None:
        """Write what was held back and resume reading."""
        held, self.held_output = self.held_output, []
        if self.open:
            for data, released in held:
                self.write_or_hold(data, released)
            self.transport.resume_reading()


class ServerListener:
    """The listening socket at which one border controller reaches a call server."""

    def __init__(self, port: int = 0) -> None:
        self.listening_socket = socket.create_server((HOST, port), backlog=BACKLOG)
        self.listening_socket.setblocking(False)
        self.address = f"{HOST}:{self.listening_socket.getsockname()[1]}"
        self.task: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []

    def stop(self) -> None:
        """Stop accepting; the kernel still completes handshakes."""
        if self.task is not None:
            self.task.cancel()

    def block(self) -> None:
        """Fill the backlog so that the kernel completes no further handshake."""
        self.listening_socket.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listening_socket.getsockname())
            self._fillers.append(filler)

    def unblock(self) -> None:
        """Restore the backlog so that connections come up again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.listening_socket.listen(BACKLOG)

    def close(self) -> None:
        """Close the listening socket."""
        self.stop()
        for sock in [self.listening_socket, *self._fillers]:
            sock.close()


@dataclass(eq=False)
class CallServer:
    """One call server, with an address for each border controller."""

    name: str
    number: int
    nodes: list[str]
    history: History
    rng: random.Random
    misbehaviour: Misbehaviour = field(default_factory=Misbehaviour)
    hold_s: tuple[float, float] = (0.4, 6.0)
    work_s: tuple[float, float] = (0.005, 0.08)
    at_ports: dict[str, int] = field(default_factory=dict)  # ports of a server that it replaces
    born_ms: int = 0  # Unix time at which its process was started; 0: before the run
    state: State = State.SERVING
    busy: bool = False  # a fault is in progress, or discovery is about to report that it leaves

    def __post_init__(self) -> None:
        """Open the listeners and start reporting."""
        self._loop = asyncio.get_running_loop()
        self._listeners = {node: ServerListener(self.at_ports.get(node, 0)) for node in self.nodes}
        self.addresses = {node: listener.address for node, listener in self._listeners.items()}
        self._recovered_at = -NEVER
        self._streams: list[ServerStream] = []
        self.established_calls: dict[str, EstablishedCall] = {}
        self._pending_attempts: dict[str, Attempt] = {}  # set-ups not yet ended
        self._unconfirmed_releases: dict[str, int] = {}  # cause by call: repeated on the next connection
        self._delayed_ends: list[str] = []  # calls that ended while the process was suspended
        self._reporting = self._loop.create_task(self._report())
        self._start_accepting()

    def ports(self) -> dict[str, int]:
        """The port of each border controller's listener."""
        return {node: int(address.rpartition(":")[2]) for node, address in self.addresses.items()}

    def release_addresses(self) -> None:
        """Close the listeners so that another server can bind them; open connections stay as they are."""
        for listener in self._listeners.values():
            listener.close()

    @property
    def silent(self) -> bool:
        """Whether no data passes in or out."""
        return self.state is not State.SERVING

    def close(self) -> None:
        """Close all connections and listeners."""
        self._reporting.cancel()
        for stream in list(self._streams):
            stream.reset()
        for listener in self._listeners.values():
            listener.close()

    # --- faults ---

    def hang(self) -> None:
        """Suspend the process."""
        self._suspend(State.HUNG)

    def cut(self) -> None:
        """Partition the network: no data passes, and new connections never come up."""
        self._suspend(State.CUT)
        self._block()

    def vanish(self) -> None:
        """Lose the machine together with its calls."""
        self._suspend(State.VANISHED)
        self._block()
        self._lose_calls()

    def die(self) -> None:
        """Crash the process: the kernel resets its connections."""
        self._suspend(State.DEAD)
        for listener in self._listeners.values():
            listener.close()
        for stream in list(self._streams):
            stream.reset()
        self._lose_calls()

    def recover(self) -> None:
        """End a suspension or a partition."""
        if self.state not in (State.HUNG, State.CUT):
            return
        self.state, self.busy = State.SERVING, False
        self._recovered_at = self.history.now
        self.history.record_event(f"{self.name} has recovered")
        for listener in self._listeners.values():
            listener.unblock()
        for stream in list(self._streams):
            stream.flush()
        delayed, self._delayed_ends = self._delayed_ends, []
        for name in delayed:
            self._end_call(name)
        self._start_accepting()

    def reset_some(self) -> None:
        """Reset one of the connections, even with open set-ups."""
        if self._streams and not self.silent:
            self.rng.choice(self._streams).reset()

    def close_idle(self) -> None:
        """Close the connections without open set-ups."""
        for stream in list(self._streams):
            if not stream.open_setups and not self.silent and stream.open:
                stream.transport.close()

    def _suspend(self, state: State) -> None:
        self.state = state
        attempts = [
            attempt for name in self.established_calls for attempt in self.history.calls[name].attempts
        ]
        for attempt in [*self._pending_attempts.values(), *attempts]:
            attempt.server_failed = True
        self.history.record_event(
            f"{self.name} is {state.value}, with {len(self.established_calls)} established calls"
        )
        for listener in self._listeners.values():
            listener.stop()
        for stream in self._streams:
            if stream.open:
                stream.transport.pause_reading()

    def _block(self) -> None:
        for listener in self._listeners.values():
            listener.block()

    def _lose_calls(self) -> None:
        for name, established in list(self.established_calls.items()):
            if established.ends is not None:
                established.ends.cancel()
            self._record_call_end(name)
        self.established_calls.clear()
        self._unconfirmed_releases.clear()

    # --- connections ---

    def _start_accepting(self) -> None:
        for node, listener in self._listeners.items():
            listener.task = self._loop.create_task(self._accept(node, listener))

    async def _accept(self, node: str, listener: ServerListener) -> None:
        while True:
            sock, _ = await self._loop.sock_accept(listener.listening_socket)
            await self._loop.connect_accepted_socket(lambda: ServerStream(self, node), sock)

    def stream_opened(self, stream: ServerStream) -> None:
        """Handle a new connection: send the line state first, then unconfirmed releases."""
        if self.rng.random() < self.misbehaviour.early_close:
            stream.reset()
            return
        self._streams.append(stream)
        stream.write_or_hold(wire.line_state(LINES - len(self.established_calls), LINES))
        for name, cause in self._unconfirmed_releases.items():
            if self.history.calls[name].node == stream.node:
                stream.write_or_hold(wire.release(name, cause), name)

    def stream_closed(self, stream: ServerStream) -> None:
        """Handle the end of a connection: its open set-ups are abandoned."""
        for attempt in stream.answered:
            if self.history.now - attempt.answer_completed_at < UNREAD_BEFORE_CLOSE_S:
                attempt.answer_completed_at = NEVER  # it may not have been read
        for name, at in stream.releases.items():
            call = self.history.calls.get(name)
            if (
                call is not None
                and name in self._unconfirmed_releases
                and self.history.now - at < UNREAD_BEFORE_CLOSE_S
            ):
                call.release_sent_at = NEVER
        for name in stream.open_setups:
            self._record_attempt_end(name)
            self.history.record_step(
                name, f"{self.name}: connection {stream.number} closed during the attempt"
            )
        if stream in self._streams:
            self._streams.remove(stream)
        stream.open_setups.clear()

    async def _report(self) -> None:
        last = -1
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self.silent or len(self.established_calls) == last:
                continue
            last = len(self.established_calls)
            for stream in self._reported():
                stream.write_or_hold(wire.line_state(LINES - last, LINES))

    def _reported(self) -> list[ServerStream]:
        """The connections that receive reports: a few of each border controller."""
        by_node = [[stream for stream in self._streams if stream.node == node] for node in self.nodes]
        return [stream for streams in by_node for stream in streams[:REPORTED_CONNECTIONS]]

    # --- calls ---

    def message_received(self, stream: ServerStream, message: Message) -> None:
        """Handle a complete message."""
        if not message.is_request:
            if message.cseq[1] == "BYE":
                self.history.record_step(
                    message.call_id, f"{self.name}: release confirmed on {stream.number}"
                )
                self._unconfirmed_releases.pop(message.call_id, None)
            return
        match message.method:
            case "INVITE":
                self._invite(stream, message)
            case "CANCEL":
                stream.open_setups.discard(message.call_id)
                self._record_attempt_end(message.call_id)
            case "BYE":
                stream.write_or_hold(wire.answer(message, 200))
                self._released(stream, message.call_id)
            case "OPTIONS":
                stream.write_or_hold(wire.answer(message, 200))

    def _invite(self, stream: ServerStream, message: Message) -> None:
        name, now = message.call_id, self.history.now
        call = self.history.calls.get(name)
        if call is None:
            self.history.record_violation(f"{self.name} received {name}, which no client sent")
            return
        attempt = Attempt(now, self.name, read_delayed=now - self._recovered_at < QUEUED_INPUT_S)
        call.attempts.append(attempt)
        stream.open_setups.add(name)
        self._pending_attempts[name] = attempt
        self.history.record_step(name, f"{self.name} received it on {stream.number}")
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
            (self.misbehaviour.refused, self._refuse),
            (self.misbehaviour.no_answer, None),
            (self.misbehaviour.reset, self._reset_under),
            (self.misbehaviour.late, self._answer_late),
        ):
            draw -= share
            if draw < 0:
                if act is not None:
                    act(stream, message, attempt)
                return
        stream.open_setups.discard(name)
        self._establish(stream, message, attempt)

    def _refuse(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        stream.open_setups.discard(message.call_id)
        status, note = self.rng.choice(REFUSALS)
        attempt.not_executed = status in NOT_EXECUTED
        self._record_attempt_end(message.call_id, clean=True)
        stream.write_or_hold(wire.answer(message, status, note=note))

    def _reset_under(self, stream: ServerStream, _: Message, __: Attempt) -> None:
        stream.reset()

    def _answer_late(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        self._loop.call_later(self.rng.uniform(0.3, 3.0), self._establish_late, stream, message, attempt)

    def _establish_late(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        if not self.silent and stream.open:
            stream.open_setups.discard(message.call_id)
            self._establish(stream, message, attempt)

    def _establish(self, stream: ServerStream, message: Message, attempt: Attempt) -> None:
        name, misbehaviour = message.call_id, self.misbehaviour
        attempt.answer_body = f"{name}\r\nc=IN IP4 127.0.0.1 {self.name}\r\n".encode()
        data = wire.answer(message, 200, attempt.answer_body)
        draw = self.rng.random()
        if draw < misbehaviour.truncated + misbehaviour.garbage:
            self._record_attempt_end(name)
        if draw < misbehaviour.truncated:
            stream.write_or_hold(data[: len(data) // 2])
            if self.rng.random() < 0.5:
                stream.reset()
            return
        draw -= misbehaviour.truncated
        if draw < misbehaviour.garbage:
            stream.write_or_hold(bytes(self.rng.randrange(256) for _ in range(200)) + b"\r\n\r\n")
            return
        draw -= misbehaviour.garbage
        if self.rng.random() < misbehaviour.split:
            self._write_split(stream, data)
        else:
            stream.write_or_hold(data)
        self._record_attempt_end(name, clean=True)
        if not self.silent:
            attempt.answer_completed_at = self.history.now
            stream.answered.append(attempt)
        if draw < misbehaviour.repeated:
            self._loop.call_later(self.rng.uniform(0, 0.02), stream.write_or_hold, data)
        established = EstablishedCall(name, stream)
        established.ends = self._loop.call_later(self.rng.uniform(*self.hold_s), self._end_call, name)
        self.established_calls[name] = established
        self.history.record_step(name, f"{self.name} answered it")

    def _record_attempt_end(self, name: str, clean: bool = False) -> None:
        """Record that an attempt is no longer pending."""
        attempt = self._pending_attempts.pop(name, None)
        if attempt is not None:
            attempt.ended_at, attempt.clean_end = self.history.now, clean

    def _write_split(self, stream: ServerStream, data: bytes) -> None:
        if stream.writing or self.silent:
            stream.write_or_hold(data)
            return
        first, second = sorted(self.rng.sample(range(1, len(data)), 2))
        stream.write_part(data[:first])
        self._loop.call_later(PIECE_GAP_S, stream.write_part, data[first:second])
        self._loop.call_later(2 * PIECE_GAP_S, stream.write_last_part, data[second:])

    def _end_call(self, name: str) -> None:
        """End a call and send its release; a suspended process does so after its recovery."""
        if self.state is State.HUNG:
            self._delayed_ends.append(name)
            return
        established = self.established_calls.pop(name, None)
        if established is None:
            return
        cause = wire.CALL_ENDED if self.rng.random() < 0.9 else wire.CALL_CUT
        self._record_call_end(name)
        self._unconfirmed_releases[name] = cause
        others = [stream for stream in self._streams if stream.node == established.stream.node]
        streams = [established.stream, *others]
        stream = next((stream for stream in streams if stream.open), None)
        if stream is not None:
            stream.write_or_hold(wire.release(name, cause), name)

    def release_written(self, name: str, stream: ServerStream) -> None:
        """Record that the release of a call was written to an open connection."""
        self.history.record_step(name, f"{self.name} wrote a release to {stream.number}")
        call = self.history.calls.get(name)
        if call is not None and stream.peer_process_current and call.release_sent_at == NEVER:
            call.release_sent_at = stream.releases[name] = self.history.now
            call.no_client_reachable = not self.history.reachable[stream.node]()

    def _released(self, stream: ServerStream, name: str) -> None:
        """Handle a release by the border controller."""
        self.history.record_step(name, f"{self.name} received a release on {stream.number}")
        established = self.established_calls.pop(name, None)
        if established is None:
            return
        if established.ends is not None:
            established.ends.cancel()
        self._record_call_end(name, by_controller=True)
        self.release_written(name, stream)

    def _record_call_end(self, name: str, by_controller: bool = False) -> None:
        call = self.history.calls.get(name)
        if call is None:
            return
        if call.call_ended_at == NEVER:
            call.call_ended_at = self.history.now
        for attempt in call.attempts:
            if attempt.server == self.name and attempt.call_ended_at == NEVER:
                attempt.call_ended_at, attempt.released_by_controller = self.history.now, by_controller
