"""The platform's thin front: callers on one side, call servers on the other, over TCP."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import millis, whole_millis
from reedmount.core.ports import CUT, NORMAL, CancelSetup, Listed, Offer, Release, Setup
from reedmount.core.switch import NO_REPORT, Switch
from reedmount.net.connection import Address, Connection, End, listen
from reedmount.net.loop import Actor, Loop, Timer
from reedmount.simhost import WireError, read_report
from reedmount.sip.framing import next_frame, next_message
from reedmount.sip.message import Message, SipError, parse_head, request, response, user_of

ANSWER_EARLY = timedelta(milliseconds=120)  # before the caller gives up: a busy core may stall for as long
ACK_WAIT = timedelta(milliseconds=500)  # for the ACK of an answer that a CANCEL crossed
UNHEARD = timedelta(seconds=3)  # silence after which an open connection is no longer trusted
FIRST_RETRY, LAST_RETRY = timedelta(milliseconds=100), timedelta(seconds=1)
KEPT_RELEASES = 4096
UNHEARD_RELEASES = 256  # for each connection
REFUSED, FAILED = 503, 500
TEST_FAILED = 503
FIELD_NAMES = {"x0": "free", "x1": "size", "latency_ms": "recent_ms"}  # the settings name them either way
CAUSES = {
    "no_path": i.Cause.NO_LINE,
    "queue_long": i.Cause.PROCESSOR_FULL,
    "line_taken": i.Cause.NUMBER_BUSY,
}
OUTCOMES = {503: i.Outcome.FULL, 480: i.Outcome.NOT_SENT, 504: i.Outcome.RESET}


def bye(name: str, cause: int) -> bytes:
    """A release."""
    headers = [("Via", "SIP/2.0/TCP reedmount"), ("Call-ID", name), ("CSeq", "2 BYE"),
               ("Reason", f"Q.850;cause={cause}")]  # fmt: skip
    return request("BYE", f"sip:{name}@net", headers).encode()


def plain(method: str, uri: str, name: str, via: str = "SIP/2.0/TCP reedmount") -> bytes:
    """An ACK or a CANCEL."""
    return request(method, uri, [("Via", via), ("Call-ID", name), ("CSeq", f"1 {method}")]).encode()


def cause_of(message: Message) -> int:
    """The cause in a release's Reason header; without one the call is taken as ended normally."""
    for part in (message.get("Reason") or "").split(";"):
        key, _, value = part.partition("=")
        if key.strip().lower() == "cause" and value.strip().isdecimal():
            return int(value)
    return NORMAL


def report_of(message: Message) -> i.LoadReport:
    """The load report of a server's message; one that cannot be read is counted and passed over."""
    text = message.get("X-Occupancy")
    if not text:
        return NO_REPORT
    pairs = (pair.partition(":") for pair in text.replace(" ", "").split(";") if pair)
    try:
        return read_report(",".join(f"{FIELD_NAMES.get(key, key)}:{value}" for key, _, value in pairs))
    except WireError:
        COUNTERS.add("in.bad_report")
        return NO_REPORT


def legs_of(text: str) -> dict[str, int]:
    """The figures in X-Legs."""
    legs: dict[str, int] = {}
    for pair in text.split(";"):
        key, _, value = pair.strip().partition(":")
        try:
            legs[key] = int(float(value))
        except (ValueError, OverflowError):
            COUNTERS.add("in.bad_figure")
    return legs


def offer_of(message: Message, now: datetime) -> Offer:
    """Read a caller's set-up."""
    timer = message.need("X-Timer-Ms")
    if not timer.isdecimal() or len(timer) > 9:
        raise SipError(400, "X-Timer-Ms is not a number of milliseconds")
    legs = legs_of(message.get("X-Legs") or "")
    dest = legs.get("dest", -1)
    return Offer(
        name=message.call_id,
        call_class=message.need("X-Cos"),
        number=user_of(message.uri),
        first_choice=dest if dest >= 0 else None,
        answer_by=now + millis(int(timer)) - ANSWER_EARLY,
        description=message.body,
        redialled=message.get("X-Reattempt") not in (None, "", "0"),
        was_cut=legs.get("again", 0) == 1,
    )


def host_of(sock: socket.socket) -> str:
    """The peer's address, where it is still there."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""


# --- callers ---


@dataclass(frozen=True, slots=True)
class Heard:
    """Bytes have come."""


HEARD = Heard()


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection has ended."""

    how: End


class Link:
    """The actor of one caller's connection."""

    def __init__(self, callers: Callers, sock: socket.socket) -> None:
        self._callers, self._switch = callers, callers.switch
        self._actor: Actor[Heard | Lost] = Actor(callers.loop, self._handle)
        self.host = host_of(sock)
        self.set_ups = 0  # that came here: a connection that only tested reaches no caller of a call
        self.standing: set[str] = set()  # calls that were answered here and are not over
        self.open: dict[str, Message] = {}
        self._unacked: dict[str, Message] = {}  # answered, and no ACK has come yet
        self._cancelled: set[str] = set()  # of these: given up as the answer crossed
        self._byes: dict[str, int] = {}  # releases sent here and not yet heard
        self.connection = Connection(
            callers.loop,
            sock,
            lambda _: self._actor.post(HEARD),
            lambda _, how: self._actor.post(Lost(how)),
        )

    # the core's Caller

    def answered(self, name: str, description: bytes) -> None:
        """Pass the answer on."""
        invite = self.open.pop(name, None)
        if invite is None or self.connection.ended:
            return
        self._unacked[name] = invite
        self.standing.add(name)
        self._callers.homes[name] = self
        self._write(response(invite, 200, body=description).encode(), "out.answer")

    def refused(self, name: str, pause: timedelta) -> None:
        """Refuse, and tell when to come back."""
        self._final(name, REFUSED, [("X-Pause", str(whole_millis(pause)))] if pause else [])

    def failed(self, name: str) -> None:
        """Fail the call."""
        self._final(name, FAILED, [])

    def released(self, name: str, cause: int) -> None:
        """Pass a release on: here, else on any open connection, else on the next."""
        self._unacked.pop(name, None)
        self._callers.over(name)
        self._callers.release(name, cause, self)

    def send_release(self, name: str, cause: int) -> None:
        """Write a release here, and remember it until it was heard: that is free, so not for ever."""
        self._byes[name] = cause
        if len(self._byes) > UNHEARD_RELEASES:
            del self._byes[next(iter(self._byes))]
        self._write(bye(name, cause), "out.release")

    def close(self) -> None:
        """Close it; only where no set-up is open."""
        self.connection.close()
        self._forget()

    # what comes in

    def _handle(self, item: Heard | Lost) -> None:
        match item:
            case Heard():
                self._read()
            case Lost():
                self._forget()

    def _read(self) -> None:
        while not self.connection.ended:
            try:
                frame = next_frame(self.connection.incoming)
                if frame is None:
                    return
                if not self._unacked and frame[0].startswith(b"ACK "):
                    COUNTERS.add("in.caller.ACK")  # of a refusal, as half of all that comes is: nobody waits
                    continue
                message = parse_head(frame[0])
                message.body = frame[1]
                self._take(message)
            except SipError as error:
                COUNTERS.add("in.malformed")
                log(f"caller: {error}")
                self.connection.close()
                self._forget()

    def _take(self, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "BYE":
                self._byes.pop(message.call_id, None)
            return
        COUNTERS.add(f"in.caller.{message.method if message.method in KNOWN else 'other'}")
        match message.method:
            case "INVITE":
                self._invite(message)
            case "ACK":
                self._unacked.pop(message.call_id, None)
                self._cancelled.discard(message.call_id)
            case "CANCEL":
                self._cancel(message.call_id)
            case "BYE":
                self._write(response(message, 200).encode(), "out.release_heard")
                self._unacked.pop(message.call_id, None)
                self._callers.over(message.call_id)
                self._switch.caller_released(message.call_id, cause_of(message))
            case "OPTIONS":
                status = TEST_FAILED if self._callers.stopping else 200
                self._write(response(message, status).encode(), "out.test")
            case _:
                self._write(response(message, 501).encode(), "out.not_known")

    def _invite(self, message: Message) -> None:
        name = message.call_id
        if name in self.open:
            COUNTERS.add("in.repeated")
            return
        try:
            offer = offer_of(message, self._callers.loop.clock.now())
        except SipError as error:
            COUNTERS.add("in.malformed")
            self._write(response(message, error.status).encode(), "out.bad_request")
            return
        self.open[name] = message
        self.set_ups += 1
        self._callers.tell_waiting(self)
        if not self._switch.offer(offer, self):
            self._final(name, 400, [])

    def _cancel(self, name: str) -> None:
        if self.open.pop(name, None) is not None:
            self._switch.caller_gone(name)
        elif name in self._unacked:
            # It crossed our answer: unless the caller takes that with an ACK, nobody is there to talk to.
            self._cancelled.add(name)
            self._callers.loop.after(ACK_WAIT, lambda: self._end_crossed(name))

    def _end_crossed(self, name: str) -> None:
        if name in self._cancelled and self._unacked.pop(name, None) is not None:
            COUNTERS.add("released.crossed")
            self._callers.over(name)
            self._switch.caller_released(name, NORMAL)
        self._cancelled.discard(name)

    def _final(self, name: str, status: int, extra: list[tuple[str, str]]) -> None:
        invite = self.open.pop(name, None)
        if invite is not None:
            self._write(response(invite, status, extra).encode(), f"out.{status}")

    def _write(self, data: bytes, counter: str) -> None:
        COUNTERS.add(counter)
        self.connection.send(data)

    def _forget(self) -> None:
        """The connection is gone: its open set-ups are given up, releases not heard go another way."""
        self._callers.drop(self)
        for name in list(self.open):
            del self.open[name]
            self._switch.caller_gone(name)
        byes, self._byes = self._byes, {}
        for name, cause in byes.items():
            self._callers.release(name, cause, None)


KNOWN = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS")


class Callers:
    """All callers' connections."""

    def __init__(self, loop: Loop, switch: Switch, address: Address, most: int) -> None:
        self.loop, self.switch = loop, switch
        self.stopping = False
        self.most = most  # connections
        self._links: dict[Link, None] = {}
        self.homes: dict[str, Link] = {}  # where calls that stand were answered
        self._waiting: dict[str, int] = {}  # releases for which no connection is open
        self._sock = listen(loop, address, self._accept)
        switch.on_orphan(lambda name, cause: self.release(name, cause, None))

    @property
    def address(self) -> Address:
        """Where callers connect."""
        host, port = self._sock.getsockname()
        return host, port

    @property
    def quiet(self) -> bool:
        """Whether nothing waits to be told to a caller."""
        return not self._waiting

    def release(self, name: str, cause: int, link: Link | None) -> None:
        """Tell callers that a call is over: on its connection, another that has set up calls, or the next.

        Not on one that never set up a call: clients that test once and keep the connection for good hear a
        release and pass it on to nobody.
        """
        if link is None or link.connection.ended:
            host = link.host if link is not None else ""
            able = [other for other in self._links if other.set_ups and not other.connection.ended]
            link = max(able, key=lambda other: (other.host == host, other.connection.heard_at), default=None)
        if link is not None:
            link.send_release(name, cause)
        elif len(self._waiting) < KEPT_RELEASES:
            self._waiting[name] = cause
        else:
            COUNTERS.add("released.untold")

    def tell_waiting(self, link: Link) -> None:
        """A connection has brought a set-up: what waited for one is told there."""
        if self._waiting:
            waiting, self._waiting = self._waiting, {}
            for name, cause in waiting.items():
                link.send_release(name, cause)

    def over(self, name: str) -> None:
        """A call that stood is over."""
        home = self.homes.pop(name, None)
        if home is not None:
            home.standing.discard(name)

    def drop(self, link: Link) -> None:
        """A connection has ended."""
        self._links.pop(link, None)

    def _accept(self, sock: socket.socket) -> None:
        COUNTERS.add("in.connections")
        if len(self._links) >= self.most:
            # With calls that stand it is the way back to their callers; one that never had any goes first.
            idle = (link for link in self._links if not link.open and not link.standing)
            spare = min(idle, key=lambda link: (link.set_ups > 0, link.connection.heard_at), default=None)
            if spare is None:
                COUNTERS.add("in.no_room")
                sock.close()
                return
            spare.close()
        self._links[Link(self, sock)] = None


# --- call servers ---


@dataclass(slots=True)
class Attempt:
    """A set-up at a call server: queued, then sent, then perhaps being called off."""

    setup: Setup
    timer: Timer
    uri: str
    sent_on: Connection | None = None
    sent_at: datetime | None = None
    ending: bool = False

    @property
    def via(self) -> str:
        """What tells the attempts of one call apart, where the server gives it back.

        The number in CSeq does not: call servers answer every set-up as number 1, and the answers to second
        attempts were passed over for it.
        """
        return f"SIP/2.0/TCP reedmount;branch=z9hG4bK{self.setup.name}.{self.setup.attempt}"

    def answered_by(self, message: Message, connection: Connection) -> bool:
        """Whether this is its answer, and not one to an earlier attempt of the same call."""
        given = message.get("Via")
        ours = given is None or "branch=" not in given or given == self.via
        return ours and self.sent_on is connection and not self.ending


@dataclass(slots=True)
class Outgoing:
    """A message that has not begun to be written."""

    data: bytes
    counter: str
    begun: Callable[[Connection], None] | None = None
    written: Callable[[], None] | None = None
    attempt: Attempt | None = None  # a set-up, which a drain takes back


@dataclass(frozen=True, slots=True)
class Up:
    """The connection is up, or has written all it had."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class Data:
    """Bytes have come."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class Down:
    """A connection has ended."""

    connection: Connection
    how: End


Word = Setup | CancelSetup | Release | Listed | Up | Data | Down


class CallServer:
    """The actor of one call server: its connection, what is queued for it and what is out there."""

    def __init__(self, loop: Loop, switch: Switch, entry: Listed, connect_wait: timedelta) -> None:
        self._loop, self._switch, self._entry = loop, switch, entry
        self._connect_wait = connect_wait
        self._actor: Actor[Word] = Actor(loop, self._handle)
        self.post = self._actor.post
        self._connection: Connection | None = None
        self._silent: list[Connection] = []  # no longer trusted; set-ups may still be open there
        self._attempts: dict[str, Attempt] = {}
        self._outbox: deque[Outgoing] = deque()
        self._writing: Callable[[], None] | None = None
        self._standing: set[str] = set()
        self._retry = FIRST_RETRY
        self._retrying = False
        if entry.serving:
            self._connect()  # a state of its lines, and releases from before a restart, come first on it

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._entry.address

    def _handle(self, word: Word) -> None:
        match word:
            case Setup():
                self._setup(word)
            case CancelSetup(name, number):
                attempt = self._attempts.get(name)
                if attempt is not None and attempt.setup.attempt == number:
                    self._call_off(attempt, i.Outcome.CANCELLED)
            case Release(name, cause):
                self._standing.discard(name)
                self._queue(Outgoing(bye(name, cause), "out.server.BYE"))
            case Listed():
                self._news(word)
            case Up(connection):
                if connection is self._connection:
                    self._retry = FIRST_RETRY
                    if connection.idle:
                        self._finish_write()
                        self._pump()
            case Data(connection):
                self._read(connection)
            case Down(connection, how):
                self._down(connection, how)

    # --- the list ---

    def _news(self, entry: Listed) -> None:
        known, self._entry = self._entry, entry
        if entry.started is not None and (known.started is None or entry.started > known.started):
            # A restart behind the same name: what stood at the old process is gone with it.
            self._switch.server_lost(entry.server, entry.started)
        if entry.serving:
            return
        for item in [item for item in self._outbox if item.attempt is not None]:
            self._outbox.remove(item)
            self._end(item.attempt, i.Outcome.NOT_SENT)  # type: ignore[arg-type]
        if entry.removed:
            self._switch.server_lost(entry.server)
            self._standing.clear()
            self._abandon()

    def _abandon(self) -> None:
        """The machine is gone: nothing will be heard on its connections."""
        for connection in [*self._silent, *([self._connection] if self._connection else [])]:
            connection.close()
        self._silent, self._connection, self._writing = [], None, None
        self._outbox.clear()
        for attempt in list(self._attempts.values()):
            self._end(attempt, i.Outcome.RESET)

    # --- what goes out ---

    def _setup(self, setup: Setup) -> None:
        uri = f"sip:{setup.number}@net"
        timer = self._loop.after(setup.give_up, lambda: self._expire(setup))
        attempt = Attempt(setup, timer, uri)
        self._attempts[setup.name] = attempt
        if not self._entry.serving:
            self._end(attempt, i.Outcome.NOT_SENT)
            return
        headers = [
            ("Via", attempt.via),
            ("Call-ID", setup.name),
            ("CSeq", "1 INVITE"),
            ("X-Cos", setup.call_class),
            ("X-Timer-Ms", str(whole_millis(setup.give_up))),
        ]
        data = request("INVITE", uri, headers, setup.description).encode()

        def begun(connection: Connection) -> None:
            attempt.sent_on, attempt.sent_at = connection, self._loop.clock.now()

        self._doubt()
        self._queue(Outgoing(data, "out.server.INVITE", begun, attempt=attempt))

    def _doubt(self) -> None:
        """A connection on which a set-up hangs and nothing comes may be to a machine that has vanished."""
        connection = self._connection
        if connection is None or not connection.up:
            return
        since = self._loop.clock.now() - UNHEARD
        hanging = any(
            attempt.sent_on is connection and attempt.sent_at is not None and attempt.sent_at < since
            for attempt in self._attempts.values()
        )
        if hanging and connection.heard_at < since:
            COUNTERS.add("server.silent")
            self._silent.append(connection)
            self._connection, self._writing = None, None

    def _expire(self, setup: Setup) -> None:
        attempt = self._attempts.get(setup.name)
        if attempt is not None and attempt.setup is setup:
            self._call_off(attempt, i.Outcome.TIMED_OUT)

    def _call_off(self, attempt: Attempt, outcome: i.Outcome) -> None:
        """Write the CANCEL; the attempt is out until that is done, or its time is up."""
        if attempt.sent_on is None:
            for item in [item for item in self._outbox if item.attempt is attempt]:
                self._outbox.remove(item)
            self._end(attempt, outcome)
            return
        if not attempt.ending:
            attempt.ending = True
            data = plain("CANCEL", attempt.uri, attempt.setup.name, attempt.via)
            done = Outgoing(data, "out.server.CANCEL", written=lambda: self._end(attempt, outcome))
            if attempt.sent_on is self._connection:
                self._queue(done, first=True)
            else:
                attempt.sent_on.send(data)
                self._end(attempt, outcome)
        if outcome is i.Outcome.TIMED_OUT:
            self._end(attempt, outcome)

    def _end(self, attempt: Attempt, outcome: i.Outcome, message: Message | None = None) -> None:
        if self._attempts.get(attempt.setup.name) is not attempt:
            return
        del self._attempts[attempt.setup.name]
        attempt.timer.cancel()
        cause, report = i.Cause.NONE, NO_REPORT
        if message is not None:
            note = message.get("X-Diagnosis") or ""
            cause = CAUSES.get(note, i.Cause.OTHER if note else i.Cause.NONE)
            report = report_of(message)
        self._switch.ended(attempt.setup.name, attempt.setup.attempt, outcome, cause, report)

    def _queue(self, item: Outgoing, first: bool = False) -> None:
        """Put it in line; a message begins to be written only once those before it are wholly out."""
        if first:
            self._outbox.appendleft(item)
        else:
            self._outbox.append(item)
        if self._connection is None:
            self._connect()
        else:
            self._pump()

    def _pump(self) -> None:
        while self._outbox and self._connection is not None and self._connection.idle and not self._writing:
            item = self._outbox.popleft()
            COUNTERS.add(item.counter)
            self._writing = item.written or (lambda: None)
            if item.begun is not None:
                item.begun(self._connection)
            self._connection.send(item.data)
            if self._connection is not None and self._connection.idle:
                self._finish_write()

    def _finish_write(self) -> None:
        done, self._writing = self._writing, None
        if done is not None:
            done()

    # --- the connection ---

    def _connect(self) -> None:
        if self._connection is not None or self._entry.removed:
            return
        COUNTERS.add("server.connects")
        self._connection = Connection.dial(
            self._loop,
            self._entry.address,
            self._connect_wait,
            lambda connection: self.post(Data(connection)),
            lambda connection, how: self.post(Down(connection, how)),
            lambda connection: self.post(Up(connection)),
        )

    def _down(self, connection: Connection, how: End) -> None:
        if connection in self._silent:
            self._silent.remove(connection)
        # One closed as soon as it is up, by a server that holds all it accepts, is no connection either.
        brief = self._loop.clock.now() - connection.opened_at < FIRST_RETRY
        never = how in (End.REFUSED, End.NEVER_UP) or brief
        if connection is self._connection:
            self._connection = None
            done, self._writing = self._writing, None
            if never:
                self._unreachable()
            if how is End.REFUSED and self._standing:
                # Its process is gone, and with it the calls that stood there.
                self._standing.clear()
                self._switch.server_lost(self._entry.server)
            if done is not None:
                done()
        for attempt in [attempt for attempt in self._attempts.values() if attempt.sent_on is connection]:
            self._end(attempt, i.Outcome.RESET)
        if self._connection is None and (self._outbox or self._standing):
            if never:
                self._connect_later()
            else:
                self._connect()

    def _unreachable(self) -> None:
        for item in [item for item in self._outbox if item.attempt is not None]:
            self._outbox.remove(item)
            self._end(item.attempt, i.Outcome.UNREACHABLE)  # type: ignore[arg-type]

    def _connect_later(self) -> None:
        """Calls stand there, or releases wait: come back, ever more slowly."""
        if self._retrying:
            return
        self._retrying = True
        self._loop.after(self._retry, self._again)
        self._retry = min(2 * self._retry, LAST_RETRY)

    def _again(self) -> None:
        self._retrying = False
        if self._outbox or self._standing:
            self._connect()

    # --- what comes in ---

    def _read(self, connection: Connection) -> None:
        while not connection.ended:
            try:
                message = next_message(connection.incoming)
                if message is None:
                    return
                self._take(connection, message)
            except SipError as error:
                COUNTERS.add("in.malformed")
                log(f"{self._entry.server}: {error}")
                connection.close()
                self._down(connection, End.RESET)

    def _take(self, connection: Connection, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "INVITE" and message.status >= 200:
                self._answer(connection, message)
            return
        COUNTERS.add(f"in.server.{message.method if message.method in ('BYE', 'NOTIFY') else 'other'}")
        if message.method == "NOTIFY":
            report = report_of(message)
            if report is not NO_REPORT:
                self._switch.reported(self._entry.server, report)
        elif message.method == "BYE":
            connection.send(response(message, 200).encode())
            self._standing.discard(message.call_id)
            self._switch.server_released(message.call_id, cause_of(message), report_of(message))
        elif message.method != "ACK":
            connection.send(response(message, 501).encode())

    def _answer(self, connection: Connection, message: Message) -> None:
        name = message.call_id
        COUNTERS.add(f"in.server.{message.status}")
        attempt = self._attempts.get(name)
        uri = attempt.uri if attempt is not None else f"sip:{name}@net"
        connection.send(plain("ACK", uri, name))
        mine = attempt is not None and attempt.answered_by(message, connection)
        if message.status < 300:
            if attempt is not None and mine:
                attempt.timer.cancel()
                del self._attempts[name]
                if self._switch.stands(name, attempt.setup.attempt, message.body):
                    self._standing.add(name)
                    return
            # The answer of an attempt that is over: nobody has this call.
            COUNTERS.add("server.late_answers")
            self._queue(Outgoing(bye(name, CUT), "out.server.BYE"))
        elif attempt is not None and mine:
            self._end(attempt, OUTCOMES.get(message.status, i.Outcome.FAILED), message)


class CallServers:
    """The server side on the platform: it keeps an actor for each call server listed."""

    def __init__(self, loop: Loop, switch: Switch, connect_wait: timedelta) -> None:
        self._loop, self._switch, self.connect_wait = loop, switch, connect_wait
        self._peers: dict[str, CallServer] = {}

    def listed(self, entries: list[Listed]) -> None:
        """Tell the actors; one that was dropped from the list stays to end its calls."""
        for entry in entries:
            peer = self._peers.get(entry.server)
            if peer is not None:
                peer.post(entry)
            elif not entry.removed:
                self._peers[entry.server] = CallServer(self._loop, self._switch, entry, self.connect_wait)
            if entry.removed:
                self._peers.pop(entry.server, None)

    def send(self, setup: Setup) -> None:
        """A set-up to a server that is not on the list is not sent."""
        peer = self._peers.get(setup.server)
        if peer is None:
            self._switch.ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
        else:
            peer.post(setup)

    def cancel(self, name: str, attempt: int) -> None:
        """Only the server that has the attempt acts on it."""
        for peer in self._peers.values():
            peer.post(CancelSetup(name, attempt))

    def release(self, server: str | None, name: str, cause: int) -> None:
        """Release a call at its server, or at all where it is from before a restart."""
        for known, peer in self._peers.items():
            if server in (None, known):
                peer.post(Release(name, cause))


