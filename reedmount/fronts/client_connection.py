"""One connection of a client on the platform: its actor, what comes in on it and what its client is told."""

from __future__ import annotations

import itertools
import socket
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import whole_millis
from reedmount.core.ports import NORMAL, Progress
from reedmount.core.shutdown import Shutdown
from reedmount.fronts.thin_protocol import bye, cause_of, name_of, offer_of
from reedmount.net.connection import Connection, EndReason
from reedmount.sip.framing import next_frame
from reedmount.sip.message import Message, SipError, parse_head, response

if TYPE_CHECKING:
    from reedmount.fronts.platform import Callers

ACK_WAIT = timedelta(milliseconds=500)  # for the ACK of an answer that a CANCEL crossed
FIRST_WORD = timedelta(milliseconds=2700)  # for a first whole message, and for the rest of one that has begun
LATER_WORD = timedelta(seconds=6)  # for the rest of one, where a call has stood before
SPEAKS_SOON = timedelta(milliseconds=500)  # a new connection that has said nothing is not called silent yet
STALLED = timedelta(milliseconds=1000)  # amid a message: a slow writer brings something more often
FIRST_ANSWER = timedelta(milliseconds=2200)  # with nothing open: what was sent until then is owed no answer
IDLE = timedelta(seconds=5)  # callers close after 4 s without a call
SETTLED = timedelta(milliseconds=30)  # with nothing open and nothing said, until a drain closes a connection
SILENT_AT_END = timedelta(milliseconds=100)  # a new connection has brought nothing for so long
LINGERS = timedelta(milliseconds=100)  # a connection that is closed softly, until its client closes too
UNHEARD_RELEASES = 256  # for each connection
MAX_OPEN = 128  # set-ups on one connection
UNPROVEN_OPEN = 16  # on one on which no call has stood yet
STRIKES = 8  # messages that cannot be taken, until the connection is closed
NUMBERS = itertools.count(1)
REFUSED, FAILED = 503, 500
TEST_FAILED = 503
UNKNOWN_CALL = 481
KNOWN = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS")


def host_of(sock: socket.socket) -> str:
    """The peer's address, where it is still there."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class Heard:
    """Bytes have come."""


HEARD = Heard()


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection has ended."""

    how: EndReason


class Claim(IntEnum):
    """To a place among the connections, from the least."""

    SILENT = 0  # not a byte since it came
    STALLED = 1  # stopped amid a message
    IDLE = 2  # asked something and has its answer
    SET_UP = 3  # the same, with calls: the way back for releases
    NEW = 4
    WRITING = 5
    IN_USE = 6  # calls are open or stand


class Link:
    """The actor of one caller's connection."""

    def __init__(self, callers: Callers, sock: socket.socket) -> None:
        self._callers, self._switch = callers, callers.switch
        self.number = next(NUMBERS)  # for the log
        self._actor: Actor[Heard | Lost] = Actor(callers.loop, self._handle)
        self.host = host_of(sock)
        self.told_at = callers.loop.clock.now()
        self.set_ups = 0  # that came here: a connection that only tested reaches no caller of a call
        self.proven = False  # a call has stood here
        self.heard = self.told = False  # a whole message has come; something was answered
        self.part_since: datetime | None = None  # a message has begun and not ended
        self._strikes = 0
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
            # Its caller left in this very turn: nobody is there to talk to.
            self._callers.loop.call_soon(lambda: self._end_unheard(name))
            return
        self._unacked[name] = invite
        self.standing.add(name)
        self.proven = True
        self._callers.homes[name] = self
        self._write(response(invite, 200, body=description).encode(), "out.answer")

    def refused(self, name: str, pause: timedelta) -> None:
        """Refuse, and tell when to come back."""
        self._final(name, REFUSED, [("X-Pause", str(whole_millis(pause)))] if pause else [])

    def failed(self, name: str) -> None:
        """Fail the call."""
        self._final(name, FAILED, [])

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """The thin protocol has no word for it."""

    def released(self, name: str, cause: int) -> None:
        """Pass a release on: here, else on any open connection, else on the next."""
        self._callers.over(name)
        self._callers.release(name, cause, self)

    def send_release(self, name: str, cause: int) -> None:
        """Write a release here, and remember it until it was heard: that is free, so not for ever."""
        self._byes[name] = cause
        self._callers.loop.trace("release.sent", call=name, link=self.number, cause=cause)
        if len(self._byes) > UNHEARD_RELEASES:
            del self._byes[next(iter(self._byes))]
        self._write(bye(name, cause), "out.release")

    def awaits(self, name: str) -> bool:
        """Whether a release sent here was not confirmed yet."""
        return name in self._byes

    def release_heard(self, name: str) -> None:
        """It was confirmed, here or elsewhere."""
        self._byes.pop(name, None)

    def close(self, reason: str, softly: bool = False) -> None:
        """Close it; only where no set-up is open. Softly: what was sent is read whatever the client sends."""
        self._callers.loop.trace("client.closed", link=self.number, reason=f'"{reason}"',
                                 open=len(self.open), standing=len(self.standing))  # fmt: skip
        if softly:
            self.connection.close_gracefully(LINGERS)
        else:
            self.connection.close()
        self._forget()

    # what comes in

    def _handle(self, item: Heard | Lost) -> None:
        match item:
            case Heard():
                self._read()
            case Lost(how):
                if self.open or self.standing:
                    self._callers.loop.trace("client.ended", link=self.number, how=f'"{how.value}"',
                                             open=len(self.open), standing=len(self.standing))  # fmt: skip
                self._forget()

    def _read(self) -> None:
        ring = self.connection.incoming
        while not self.connection.ended:
            try:
                frame = next_frame(ring)
                if frame is None:
                    break
                self.heard, self.part_since = True, None
                if not self._unacked and frame[0].startswith(b"ACK "):
                    COUNTERS.add("in.caller.ACK")  # of a refusal, as half of all that comes is: nobody waits
                    continue
                message = parse_head(frame[0])
                message.body = frame[1]
                self._take(message)
            except SipError as error:
                COUNTERS.add("in.malformed")
                log(f"caller: {error}", "malformed")
                self.close(f"cannot be read: {error.status}")
                return
        if not len(ring):
            self.part_since = None
        elif self.part_since is None:
            self.part_since = self._callers.loop.clock.now()

    def overdue(self, now: datetime) -> bool:
        """Whether nothing more can be expected: silent, stuck amid a message, never answered, or idle."""
        age, silence = now - self.connection.opened_at, now - self.connection.last_received_at
        if not self.heard:
            return age > FIRST_WORD
        if self.open:
            return False
        if self.part_since is not None:
            return now - self.part_since > (LATER_WORD if self.proven else FIRST_WORD)
        if not self.told:
            return age > FIRST_ANSWER
        return not self.standing and silence > IDLE and not self.connection.unread

    def claim(self, now: datetime) -> tuple[Claim, datetime]:
        """How much of a claim it has to its place when room runs out; the later heard, the more."""
        heard_at = self.connection.last_received_at
        if self.open or self.standing:
            return Claim.IN_USE, heard_at
        if len(self.connection.incoming) or self.part_since is not None:
            return Claim.STALLED if now - heard_at > STALLED else Claim.WRITING, heard_at
        if self.heard:
            return Claim.SET_UP if self.set_ups else Claim.IDLE, heard_at
        return Claim.SILENT if now - heard_at > SPEAKS_SOON else Claim.NEW, heard_at

    def settled(self, now: datetime, shutdown: Shutdown) -> bool:
        """Whether a drain may close it: nothing is open and nothing on its way in or out.

        Calls that stand keep it: no new connection comes, so their releases would reach nobody. The ACK of
        an answer comes on it, and a set-up may; a little later only what is open or stands counts.
        """
        if self.open or not self.connection.idle or self.connection.unread:
            return False
        if shutdown.closes_all_connections(now):
            return self.heard or now - self.connection.opened_at > SILENT_AT_END
        kept = self.standing and not self._callers.handed_over
        if kept or not self.heard:
            return False
        if not shutdown.refuses_setups(now) and not self._callers.handed_over:
            return False
        quiet = not self._unacked and now - max(self.connection.last_received_at, self.told_at) > SETTLED
        return quiet or shutdown.skips_quiet_period(now)

    def unfinished(self, now: datetime) -> bool:
        """Whether a message is on its way in, or an answer waits here for the system to take it."""
        if self.connection.ended:
            return False
        coming = self.part_since is not None and now - self.connection.last_received_at <= STALLED
        return coming or not self.connection.idle

    def fitness(self, host: str) -> tuple[bool, bool, datetime]:
        """How well it serves for the release of a call whose own connection, from that host, is gone."""
        return self.proven, self.host == host, self.connection.last_received_at

    def over(self, name: str) -> None:
        """A call that was answered here is over."""
        self.standing.discard(name)
        self._unacked.pop(name, None)

    def _take(self, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "BYE" and message.call_id in self._byes:
                self._byes.pop(message.call_id)
                self._callers.release_heard(message.call_id)
            return
        COUNTERS.add(f"in.caller.{message.method if message.method in KNOWN else 'other'}")
        match message.method:
            case "INVITE":
                self._invite(message)
            case "ACK":
                self._unacked.pop(message.call_id, None)
                self._cancelled.discard(message.call_id)
            case "CANCEL":
                if not self.cancel(message.call_id):
                    self._callers.handover_peer.tell("cancel", name=message.call_id)
            case "BYE":
                self._bye(message)
            case "OPTIONS":
                status = 200 if self._switch.lifecycle.ready else TEST_FAILED
                self._write(response(message, status).encode(), "out.test")
            case _:
                self._write(response(message, 501).encode(), "out.not_known")

    def _invite(self, message: Message) -> None:
        name = message.call_id
        if name in self.open:
            # Two under one number: no answer could be told from the other's.
            COUNTERS.add("in.repeated")
            self._final(name, 400, [])
            self._switch.caller_abandoned(name)
            self._strike()
            return
        try:
            offer = offer_of(message, self._callers.loop.clock.now(), self._switch.classes)
        except SipError as error:
            COUNTERS.add("in.malformed")
            log(f"caller: {error}", "refused")
            self._write(response(message, error.status).encode(), "out.bad_request")
            self._strike()
            return
        if self.connection.peer_finished:
            COUNTERS.add("in.left")  # its caller has closed since it sent this: nothing is owed any more
            return
        self.set_ups += 1
        if len(self.open) >= (MAX_OPEN if self.proven else UNPROVEN_OPEN):
            COUNTERS.add("in.too_many_open")
            self._write(response(message, REFUSED).encode(), "out.503")
            return
        self.open[name] = message
        self._callers.send_waiting_releases(self)
        shutdown = self._switch.lifecycle.shutdown
        if shutdown is not None:
            if shutdown.refuses_setups(self._callers.loop.clock.now()) and not self._callers.handed_over:
                COUNTERS.add("in.refused_leaving")
                self._callers.loop.trace("call.refused", call=name, attempts=0, reason='"clients are to go"')
                self._final(name, REFUSED, [])
                return
            offer = replace(offer, answer_by=min(offer.answer_by, shutdown.answer_by))
        if not self._switch.offer(offer, self):
            self._final(name, 400, [])
            self._strike()

    def _strike(self) -> None:
        """One that sends again and again what cannot be taken is closed."""
        self._strikes += 1
        if self._strikes >= STRIKES and not self.open and not self.standing:
            COUNTERS.add("in.struck_out")
            self.close("sends again and again what cannot be taken")

    def _bye(self, message: Message) -> None:
        name = name_of(message)
        self._callers.over(name)
        cause, known = cause_of(message), self._switch.has_call(name)
        there = not known and self._callers.handover_peer.tell("bye", name=name, cause=cause)
        relayed = not known and not there and self._callers.may_relay()
        status = 200 if known or there or relayed else UNKNOWN_CALL
        self._write(response(message, status).encode(), "out.release_heard")
        if known or relayed:
            self._switch.caller_released(name, cause)

    def cancel(self, name: str) -> bool:
        """Give up a set-up that came here; False where none of that name did."""
        if self.open.pop(name, None) is not None:
            self._switch.caller_abandoned(name)
            self._callers.nothing_open(self)
        elif name in self._unacked:
            # It crossed our answer: unless the caller takes that with an ACK, nobody is there to talk to.
            self._cancelled.add(name)
            self._callers.loop.call_later(ACK_WAIT, lambda: self._end_crossed(name))
        else:
            return False
        return True

    def _end_unheard(self, name: str) -> None:
        COUNTERS.add("released.unheard")
        self._switch.caller_released(name, NORMAL)

    def _end_crossed(self, name: str) -> None:
        if name in self._cancelled and self._unacked.pop(name, None) is not None:
            COUNTERS.add("released.crossed")
            self._callers.over(name)
            self._switch.caller_released(name, NORMAL)
            self._callers.release(name, NORMAL, self)  # it had the answer: what stood and is over is told
        self._cancelled.discard(name)

    def _final(self, name: str, status: int, extra: list[tuple[str, str]]) -> None:
        invite = self.open.pop(name, None)
        if invite is not None:
            self._write(response(invite, status, extra).encode(), f"out.{status}")

    def _write(self, data: bytes, counter: str) -> None:
        COUNTERS.add(counter)
        self.told, self.told_at = True, self._callers.loop.clock.now()
        self.connection.send(data)
        if not self.open:
            self._callers.nothing_open(self)

    def _forget(self) -> None:
        """The connection is gone: its open set-ups are given up, releases not heard go another way."""
        self._actor.stop()
        self._callers.drop(self)
        for name in list(self.open):
            del self.open[name]
            self._switch.caller_abandoned(name)
        byes, self._byes = self._byes, {}
        for name, cause in byes.items():
            self._callers.release(name, cause, None)
