"""The platform's call servers: an actor for each, with its lanes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import ZERO, whole_millis
from reedmount.core.ports import CUT, CancelSetup, ListedServer, Release, Setup
from reedmount.core.switch import NO_REPORT, Switch
from reedmount.fronts.established_calls import StandingCalls
from reedmount.fronts.server_connection import Attempt, ConnectionLimits, Data, Down, Lane, Outgoing, Up
from reedmount.fronts.thin_protocol import CAUSES, ID, OUTCOMES, bye, cause_of, plain, report_of, sound, test
from reedmount.net.connection import Address, EndReason
from reedmount.net.loop import Loop
from reedmount.sip.framing import next_message
from reedmount.sip.message import Message, SipError, request, response

UNHEARD = timedelta(seconds=3)  # silence after which an open connection is no longer trusted
STOPPED_SHORT = timedelta(milliseconds=250)  # no more of a message that has begun: the rest never comes
RETIRED_FOR = timedelta(milliseconds=1500)  # a lane that is used no more still hears what was on its way
SPARE_AFTER = timedelta(seconds=10)  # a lane of a crowded server is tried again
FIRST_RETRY, LAST_RETRY = timedelta(milliseconds=100), timedelta(seconds=1)
RENEWALS = 8  # tries at a connection after one that broke: some 5 s
MOVES = 2  # how often a set-up that was not sent goes to another lane
LANES = 8
KEPT_PAST = 1024  # names of attempts that were given up, for each server
START_LINES = (b"SIP/2.0 ", b"INVITE ", b"ACK ", b"BYE ", b"CANCEL ", b"OPTIONS ", b"NOTIFY ")


Word = Setup | CancelSetup | Release | ListedServer | Up | Data | Down


class CallServer:
    """The actor of one call server: its lanes, what is queued for it and what is out there."""

    def __init__(
        self, loop: Loop, switch: Switch, entry: ListedServer, side: CallServers, lanes: int = LANES
    ) -> None:
        self.loop, self._switch, self._entry = loop, switch, entry
        self._side, self.limits = side, side.limits
        self._actor: Actor[Word] = Actor(loop, self._handle)
        self.post = self._actor.post
        self._lanes: list[Lane] = []
        self._retired: list[Lane] = []  # no longer trusted; set-ups may still be open there
        self._most, self._room = lanes, lanes
        self._attempts: dict[str, Attempt] = {}
        self._past: dict[str, None] = {}  # attempts that were given up: a late answer is released
        self._late_byes: deque[Outgoing] = deque(maxlen=KEPT_PAST)  # for which no connection was to be had
        self.standing = StandingCalls(self)
        self._answered_sent_at: datetime | None = None  # when the latest set-up that was answered was sent
        self._retry = FIRST_RETRY
        self._retrying = False
        self._owed: datetime | None = None  # since a connection broke on which a release may have been
        self._renewing, self._renewals = False, 0
        self._met = False  # a connection has come up: what the server had to say from before a start has come
        if entry.serving:
            self._dial()  # a state of its lines, and releases from before a restart, come first on it

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self._entry.address

    @property
    def connections(self) -> int:
        """How many descriptors it holds."""
        return len(self._lanes) + len(self._retired)

    def test_holders(self) -> None:
        """Test it, where calls stand there: the process ends, and would not hear of them any more."""
        if self.standing:
            self.standing.test_now()

    def lose_unheard(self) -> None:
        """The process ends: calls at a server that is silent are over, since nobody else knows of them."""
        if self.standing.server.first_probe_at is not None:
            self.standing.lose("its server is silent and the process ends")

    # --- what its standing calls ask for ---

    def open_lanes(self) -> list[Lane]:
        """The connections that are up, those that are used no more as well."""
        return [lane for lane in (*self._lanes, *self._retired) if lane.connection.connected]

    def test(self, lane: Lane) -> None:
        """Send a test: what comes back, whatever it is, shows that the connection works."""
        lane.queue(Outgoing(test(), "out.server.OPTIONS", test=True))

    def give_up(self, lane: Lane) -> None:
        """Close a connection that is silent while others are not: what is owed comes on the next one."""
        COUNTERS.add("server.lane_silent")
        self.loop.trace("server.connection_silent", server=self._entry.server, lane=lane.number)
        lane.connection.close()
        self._down(lane, EndReason.RESET)

    def reconnect(self) -> None:
        """Nothing comes on any connection: set-ups go there no more, and a new one is tried."""
        COUNTERS.add("server.unheard")
        silence = self.loop.clock.now() - self.standing.server.last_received_at
        self.loop.trace("server.unheard", server=self._entry.server, standing=len(self.standing),
                        silent_ms=whole_millis(silence))  # fmt: skip
        for lane in [lane for lane in self._lanes if lane.connection.connected]:
            self._retire(lane, "its server is silent")
        if not self._lanes and self._side.may_widen():
            self._dial()

    def lose(self, calls: Iterable[tuple[str, Lane | None]], reason: str) -> None:
        """Calls of ours count as over; should their server still have them, it is told."""
        for name, lane in calls:
            self._switch.call_lost(name, self._entry.server, reason)
            item = _release(name, CUT)
            if lane is not None and lane.open:
                lane.queue(item)
            else:
                self._late_byes.append(item)

    # --- what is to be done ---

    @property
    def _needs_connection(self) -> bool:
        """Whether calls stand there, releases wait here, or some from before our start may wait there."""
        unmet = self._entry.serving and not self._met
        return bool(self.standing or self._late_byes) or unmet

    def _handle(self, word: Word) -> None:
        match word:
            case Setup():
                self._setup(word)
            case CancelSetup(name, number):
                attempt = self._attempts.get(name)
                if attempt is not None and attempt.setup.attempt == number:
                    self._call_off(attempt, i.Outcome.CANCELLED)
            case Release(name, cause):
                self._release(name, cause)
            case ListedServer():
                self._news(word)
            case Up(lane):
                self._up(lane)
            case Data(lane):
                self._read(lane)
            case Down(lane, how):
                self._down(lane, how)

    # --- the list ---

    def _news(self, entry: ListedServer) -> None:
        known, self._entry = self._entry, entry
        if entry.started is not None and (known.started is None or entry.started > known.started):
            # A restart behind the same name: what stood at the old process is gone with it.
            self._switch.server_lost(entry.server, "its process was restarted", entry.started)
        if entry.serving:
            return
        for attempt in [attempt for attempt in self._attempts.values() if attempt.sent_at is None]:
            if attempt.lane is not None:
                attempt.lane.unsent(attempt)
            self._end(attempt, i.Outcome.NOT_SENT)
        if entry.removed:
            self._switch.server_lost(entry.server, "it was removed from the list")
            self._abandon()
            self._actor.stop()

    def _abandon(self) -> None:
        """The machine is gone: nothing will be heard on its connections."""
        lanes, self._lanes, self._retired = [*self._lanes, *self._retired], [], []
        self.standing.clear()
        self._late_byes.clear()
        for lane in lanes:
            lane.connection.close()
            lane.outbox.clear()
        for attempt in list(self._attempts.values()):
            self._end(attempt, i.Outcome.RESET)

    # --- what goes out ---

    def _setup(self, setup: Setup) -> None:
        timer = self.loop.call_later(setup.give_up, lambda: self._expire(setup))
        attempt = Attempt(setup, timer, f"sip:{setup.number}@net")
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
        data = request("INVITE", attempt.uri, headers, setup.description).encode()
        self._doubt()
        self._place(Outgoing(data, "out.server.INVITE", attempt=attempt), attempt)

    def _place(self, item: Outgoing, attempt: Attempt) -> None:
        """Give a set-up a lane: a free one, else a new one, else the one with the fewest open."""
        name = attempt.setup.name
        for stale in [lane for lane in self._lanes if lane.stale]:
            self._retire(stale, "its server may close it as idle")
        able = [lane for lane in self._lanes if name not in lane.answered]
        free = (lane for lane in able if lane.free)
        lane = max(free, key=lambda lane: lane.connection.last_received_at, default=None)
        if lane is None and len(self._lanes) < self._room + (not able):
            lane = self._dial() if not able or self._side.may_widen() else None
        if lane is None:
            lane = min(
                able, key=lambda lane: (not lane.connection.connected, len(lane.attempts)), default=None
            )
        if lane is None:
            self._end(attempt, i.Outcome.UNREACHABLE)
            return
        attempt.lane = lane
        lane.attempts[name] = attempt
        lane.queue(item)

    def _doubt(self) -> None:
        """A lane on which a set-up hangs and nothing comes may be to a machine that has vanished."""
        since = self.loop.clock.now() - UNHEARD
        for lane in [
            lane
            for lane in self._lanes
            if lane.connection.connected and lane.connection.last_received_at < since
        ]:
            if any(attempt.sent_at and attempt.sent_at < since for attempt in lane.attempts.values()):
                COUNTERS.add("server.silent")
                self._retire(lane, "a set-up hangs there and nothing comes")

    def _retire(self, lane: Lane, reason: str) -> None:
        """Send no more set-ups there; close it once all is ended and what was on its way is heard."""
        if lane in self._lanes:
            COUNTERS.add("server.retired")
            self.loop.trace("server.connection_retired", server=self._entry.server, lane=lane.number,
                            reason=f'"{reason}"')  # fmt: skip
            self._lanes.remove(lane)
            self._retired.append(lane)
            self.loop.call_later(RETIRED_FOR, lambda: self._close_retired(lane))

    def _close_retired(self, lane: Lane, finished: bool = False) -> None:
        """First only say that no more comes: a release may be on its way, and closing would lose it."""
        if lane not in self._retired:
            return
        used = lane.attempts or lane.outbox or self.standing.on(lane)
        if not finished and not used:
            lane.connection.finish_writing()
        if not finished or used:
            self.loop.call_later(RETIRED_FOR, lambda: self._close_retired(lane, not used))
            return
        self._retired.remove(lane)
        lane.connection.close()

    def _expire(self, setup: Setup) -> None:
        attempt = self._attempts.get(setup.name)
        if attempt is not None and attempt.setup is setup:
            self._call_off(attempt, i.Outcome.TIMED_OUT)

    def _call_off(self, attempt: Attempt, outcome: i.Outcome) -> None:
        """Write the CANCEL; the attempt is out until that is done, or its time is up."""
        lane = attempt.lane
        if lane is None or lane.unsent(attempt) is not None:
            self._end(attempt, outcome)
            return
        if not attempt.ending:
            attempt.ending = True
            data = plain("CANCEL", attempt.uri, attempt.setup.name, attempt.via)
            lane.queue(Outgoing(data, "out.server.CANCEL", lambda: self._end(attempt, outcome)), first=True)
            self._judge(lane, attempt, outcome)
        if outcome is i.Outcome.TIMED_OUT:
            self._end(attempt, outcome)

    def _judge(self, lane: Lane, attempt: Attempt, outcome: i.Outcome) -> None:
        """A lane whose answer never came in its time, or was overtaken by others, is of no further use.

        It stays open where an answer stopped short or never came: set-ups sent there next would hang as well.
        """
        sent, answered = attempt.sent_at, self._answered_sent_at
        overtaken = sent is not None and answered is not None and answered > sent
        if overtaken or outcome is i.Outcome.TIMED_OUT:
            self._retire(lane, "an answer never came")
            self.standing.doubt(lane)

    def _end(self, attempt: Attempt, outcome: i.Outcome, message: Message | None = None) -> None:
        name = attempt.setup.name
        if self._attempts.get(name) is not attempt:
            return
        del self._attempts[name]
        self._let_go(attempt)
        if message is None and attempt.sent_at is not None:
            self._past[name] = None
            if len(self._past) > KEPT_PAST:
                del self._past[next(iter(self._past))]
        cause, report = i.Cause.NONE, NO_REPORT
        if message is not None:
            note = message.get("X-Diagnosis") or ""
            cause = CAUSES.get(note, i.Cause.OTHER if note else i.Cause.NONE)
            report = report_of(message)
        self._switch.attempt_ended(name, attempt.setup.attempt, outcome, cause, report)

    def _let_go(self, attempt: Attempt) -> None:
        """Nothing more is open for it; its lane may take one that waits for a connection to come up."""
        attempt.timer.cancel()
        lane = attempt.lane
        if lane is None:
            return
        lane.attempts.pop(attempt.setup.name, None)
        if lane in self._lanes and lane.free:
            for other in self._lanes:
                waiting = next((a for a in other.attempts.values() if a.sent_at is None), None)
                if waiting is not None and other is not lane and waiting.setup.name not in lane.answered:
                    item = other.unsent(waiting)
                    if item is not None:
                        waiting.lane = lane
                        lane.attempts[waiting.setup.name] = waiting
                        lane.queue(item)
                        return

    def _release(self, name: str, cause: int) -> None:
        lane = self.standing.pop(name)
        self._say(_release(name, cause), lane)

    def _say(self, item: Outgoing, lane: Lane | None = None) -> None:
        """Send what concerns a call that stands on its lane, else on any."""
        if lane is None or lane not in self._lanes or lane.stale:
            up = [lane for lane in self._lanes if lane.connection.connected and not lane.stale]
            able = up or [lane for lane in self._lanes if not lane.stale]
            lane = min(able, key=lambda lane: len(lane.attempts), default=None)
        if lane is None and not self._retrying:
            lane = self._dial()
        if lane is not None:
            lane.queue(item)
        else:
            self._late_byes.append(item)

    # --- connections ---

    def _dial(self) -> Lane | None:
        if self._entry.removed:
            return None
        COUNTERS.add("server.connects")
        self.loop.trace("server.dial", server=self._entry.server, held=self.connections)
        try:
            lane = Lane(self)
        except OSError as error:
            COUNTERS.add("server.no_socket")
            log(f"{self._entry.server}: {error}")
            return None
        self._lanes.append(lane)
        late, self._late_byes = self._late_byes, deque(maxlen=KEPT_PAST)
        for item in late:
            lane.queue(item)
        return lane

    def _up(self, lane: Lane) -> None:
        self.standing.opened(lane)
        self._retry = FIRST_RETRY
        self._met = True
        if self._owed is not None and lane.connection.opened_at >= self._owed:
            self._owed = None
        if len(self._lanes) > self._room:
            spare = next((other for other in self._lanes if other.free and other is not lane), None)
            if spare is not None:
                self._retire(spare, "more than its server accepts")
        if lane.connection.idle:
            lane.finish_write()
            lane.pump()

    def _down(self, lane: Lane, how: EndReason) -> None:
        """A connection has ended: what was open on it is reset, what was not sent goes another way."""
        known = lane in self._lanes
        if known:
            self._lanes.remove(lane)
        elif lane in self._retired:
            self._retired.remove(lane)
        else:
            return
        never = how in (EndReason.REFUSED, EndReason.NEVER_UP)
        # One closed as soon as it is up, by a server that holds all it accepts, is no connection either.
        brief = self.loop.clock.now() - lane.connection.opened_at < FIRST_RETRY
        others = any(other.connection.connected for other in self._lanes)
        self.standing.ended(lane)
        if known and (never or brief) and others:
            self._room = max(1, len(self._lanes))  # it accepts no more just now
            self.loop.call_later(SPARE_AFTER, self._widen)
        if how is EndReason.REFUSED and known and not self.open_lanes() and self.standing:
            # Its process is gone, and with it the calls that stood there.
            self.standing.clear()
            self._switch.server_lost(self._entry.server, "it refuses connections")
        self.loop.trace("server.connection_ended", server=self._entry.server, lane=lane.number,
                        how=f'"{how.value}"', open=len(lane.attempts), retired=not known)  # fmt: skip
        lane.finish_write()
        for attempt in [attempt for attempt in lane.attempts.values() if attempt.sent_at is not None]:
            self._end(attempt, i.Outcome.RESET)
        self._late_byes.extend(lane.lost_releases())
        self._unload(lane, never and not others)
        if never or brief:
            if brief and self.standing:
                self._owed = self.loop.clock.now()
            if not self._lanes and self._needs_connection:
                self._connect_later()
            elif self._owed is not None:
                self._renew_later()
        elif how is not EndReason.CLOSED or known and not self._lanes:
            self._owed, self._renewals = self.loop.clock.now() if self.standing else None, 0
            self._renew()  # of several that were idle for too long, those closed are not opened again

    def _renew(self) -> None:
        """Releases that were on their way on a connection that broke come again on the next that opens.

        That one may come up late, or never, or break as well: there is another until one has lived.
        """
        if not (self._entry.serving or self.standing or self._late_byes):
            return
        if len(self._lanes) > self._room or self._lanes and not self._side.may_widen():
            self._renew_later()
        else:
            self._dial()

    def _renew_later(self) -> None:
        if not self._renewing and self._renewals < RENEWALS:
            self._renewing = True
            self._renewals += 1
            self.loop.call_later(self._retry, self._renew_again)
            self._retry = min(2 * self._retry, LAST_RETRY)

    def _renew_again(self) -> None:
        self._renewing = False
        if self._owed is not None:
            self._renew()

    def _unload(self, lane: Lane, unreachable: bool = False) -> None:
        """Take what waits on a lane that is no more to another; a refused connection proves that none ran."""
        items, lane.outbox = list(lane.outbox), deque()
        for item in items:
            attempt = item.attempt
            if item.test:
                continue
            if attempt is None:
                if item.written is None:
                    self._late_byes.append(item)  # a CANCEL has nothing to stop any more
                else:
                    item.written()
                continue
            lane.attempts.pop(attempt.setup.name, None)
            attempt.moves += 1
            if unreachable or attempt.moves > MOVES:
                self._end(attempt, i.Outcome.UNREACHABLE)
            else:
                self._place(item, attempt)
        if self._late_byes and self._lanes:
            late, self._late_byes = self._late_byes, deque(maxlen=KEPT_PAST)
            for item in late:
                self._say(item)

    def _widen(self) -> None:
        self._room = self._most

    def _connect_later(self) -> None:
        """Calls stand there, or releases wait: come back, ever more slowly."""
        if self._retrying:
            return
        self._retrying = True
        self.loop.call_later(self._retry, self._again)
        self._retry = min(2 * self._retry, LAST_RETRY)

    def _again(self) -> None:
        self._retrying = False
        if self._needs_connection and not self._lanes:
            self._dial()

    # --- what comes in ---

    def _read(self, lane: Lane) -> None:
        self.standing.heard(lane)
        ring = lane.connection.incoming
        while not lane.connection.ended:
            try:
                message = next_message(ring)
                if message is None:
                    break
                if message.body and len(ring) and not _may_begin(ring.peek(16)):
                    # Its length does not fit: what is left over belongs to it, or part of it to the next.
                    raise SipError(400, "more than its length says")
                self._take(lane, message)
            except SipError as error:
                self._break(lane, str(error))
                return
        if len(ring) and not lane.partial:
            lane.partial = True
            self.loop.call_later(STOPPED_SHORT, lambda: self._stopped_short(lane))

    def _stopped_short(self, lane: Lane) -> None:
        """Look whether more has come of what has begun; one timer, however many pieces that is."""
        lane.partial = False
        if lane.connection.ended or not len(lane.connection.incoming):
            return
        left = lane.connection.last_received_at + STOPPED_SHORT - self.loop.clock.now()
        if left <= ZERO:
            self._break(lane, "a message stopped short")
        else:
            lane.partial = True
            self.loop.call_later(left, lambda: self._stopped_short(lane))

    def _break(self, lane: Lane, why: str) -> None:
        """What comes there makes no sense any more."""
        COUNTERS.add("in.server.spoilt")
        log(f"{self._entry.server}: {why}", kind="spoilt")
        lane.connection.close()
        self._down(lane, EndReason.RESET)

    def _take(self, lane: Lane, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "BYE":
                lane.releases.pop(message.call_id, None)
            if message.cseq[1] == "INVITE" and message.status >= 200:
                self._answer(lane, message)
            return
        COUNTERS.add(f"in.server.{message.method if message.method in ('BYE', 'NOTIFY') else 'other'}")
        if message.method == "NOTIFY":
            report = report_of(message)
            if report is not NO_REPORT:
                self._switch.load_reported(self._entry.server, report)
                self.standing.reported(report)
        elif message.method == "BYE":
            name = message.call_id
            if ID.fullmatch(name):
                self.standing.pop(name)
                self._switch.server_released(name, cause_of(message), report_of(message), self._entry.server)
            if not self._side.has_untold_release(name):
                lane.connection.send(response(message, 200).encode())
        elif message.method != "ACK":
            lane.connection.send(response(message, 501).encode())

    def _answer(self, lane: Lane, message: Message) -> None:
        name = message.call_id
        attempt = self._attempts.get(name)
        if attempt is None or not attempt.answered_by(message, lane):
            self._unasked(lane, message, name)
            return
        COUNTERS.add(f"in.server.{message.status}")
        if message.status < 300 and not sound(message.body):
            raise SipError(400, "a description that is not lines of text")
        lane.answered.append(name)
        lane.used()
        lane.connection.send(plain("ACK", attempt.uri, name))
        if attempt.sent_at is not None:
            self._answered_sent_at = max(attempt.sent_at, self._answered_sent_at or attempt.sent_at)
        if message.status >= 300:
            self._end(attempt, OUTCOMES.get(message.status, i.Outcome.FAILED), message)
            return
        del self._attempts[name]
        stands = self._switch.established(name, attempt.setup.attempt, message.body)
        if stands:
            self.standing.add(name, lane)
        self._let_go(attempt)
        if not stands:
            self._release_late(lane, name)

    def _unasked(self, lane: Lane, message: Message, name: str) -> None:
        """An answer that no attempt waits for: late, to one given up; else a copy, or one to nobody's set-up.

        A late one is released: nobody has that call. A release for a copy would cut the call that stands.
        """
        if message.status < 300 and name in self._past and name not in self._attempts and (
            name not in self.standing
        ):  # fmt: skip
            del self._past[name]
            self.loop.trace("answer.late", call=name, server=self._entry.server, lane=lane.number)
            lane.connection.send(plain("ACK", f"sip:{name}@net", name))
            self._release_late(lane, name)
        else:
            COUNTERS.add("in.server.unasked")
            self.loop.trace("answer.unasked", call=name, server=self._entry.server, lane=lane.number)

    def _release_late(self, lane: Lane, name: str) -> None:
        COUNTERS.add("server.late_answers")
        if self._switch.defer_release(name, self._entry.server):
            return
        self._say(_release(name, CUT), lane)


def _release(name: str, cause: int) -> Outgoing:
    """A release of a call, sent again where its connection ends unconfirmed."""
    return Outgoing(bye(name, cause), "out.server.BYE", release=name)


def _may_begin(data: bytes) -> bool:
    """Whether bytes may be the begin of a message."""
    data = data.lstrip(b"\r\n")
    return any(line.startswith(data[: len(line)]) for line in START_LINES)


class CallServers:
    """The server side on the platform: it keeps an actor for each call server listed."""

    def __init__(
        self, loop: Loop, switch: Switch, limits: ConnectionLimits, sockets: int = LANES * LANES
    ) -> None:
        self._loop, self._switch = loop, switch
        self.limits, self.sockets = limits, sockets
        # Of a release that cannot be told before the process ends: it is not confirmed, and comes again.
        self.has_untold_release: Callable[[str], bool] = lambda name: False
        self._peers: dict[str, CallServer] = {}

    def servers_changed(self, entries: list[ListedServer]) -> None:
        """Tell the actors; one that was dropped from the list stays to end its calls."""
        for entry in entries:
            peer = self._peers.get(entry.server)
            if peer is not None:
                peer.post(entry)
            elif not entry.removed:
                lanes = max(1, min(LANES, self.sockets // (len(self._peers) + 2)))
                self._peers[entry.server] = CallServer(self._loop, self._switch, entry, self, lanes)
            if entry.removed:
                self._peers.pop(entry.server, None)

    def probe_servers(self) -> None:
        """Test all call servers that hold calls."""
        for peer in self._peers.values():
            peer.test_holders()

    def drop_silent_servers(self) -> None:
        """Count calls as over that stand at servers which have not answered a test."""
        for peer in self._peers.values():
            peer.lose_unheard()

    def may_widen(self) -> bool:
        """Whether a call server that has a connection may have one more."""
        most = self.limits.max_connections
        if most is None or sum(peer.connections for peer in self._peers.values()) < most:
            return True
        COUNTERS.add("server.no_room")
        return False

    def send(self, setup: Setup) -> None:
        """A set-up to a server that is not on the list is not sent."""
        peer = self._peers.get(setup.server)
        if peer is None:
            self._switch.attempt_ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
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
