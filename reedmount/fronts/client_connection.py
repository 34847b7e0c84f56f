"""One client connection of the platform: the actor that reads its requests and writes its answers."""

from __future__ import annotations

import itertools
import socket
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import IntEnum
from typing import TYPE_CHECKING

from reedmount.core.actors import Actor
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import whole_millis
from reedmount.core.ports import NORMAL, Progress
from reedmount.core.shutdown import Shutdown
from reedmount.fronts.thin_protocol import build_bye, name_of, parse_offer, release_cause
from reedmount.net.connection import Connection, EndReason
from reedmount.sip.framing import next_frame
from reedmount.sip.message import RESPONSE_HEADERS, Message, SipError, parse_head, response

if TYPE_CHECKING:
    from reedmount.fronts.platform import Callers

ACK_TIMEOUT = timedelta(milliseconds=500)  # for the ACK of an answer that crossed a CANCEL
# For a first complete message, and for the rest of one that has begun.
FIRST_MESSAGE_TIMEOUT = timedelta(milliseconds=2700)
LATER_MESSAGE_TIMEOUT = timedelta(seconds=6)  # for the rest of one, where a call was established before
SILENT_AFTER = timedelta(milliseconds=500)  # so long without a byte, and a new connection counts as silent
STALL_TIMEOUT = timedelta(milliseconds=1000)  # between parts of a message: a slow writer sends more often
# Without an open set-up: what was sent until then needs no answer.
FIRST_ANSWER_TIMEOUT = timedelta(milliseconds=2200)
IDLE_TIMEOUT = timedelta(seconds=5)  # clients close after 4 s without a call
# Without an open set-up or traffic, until a drain closes a connection.
DRAIN_QUIET_PERIOD = timedelta(milliseconds=30)
SILENT_AT_SHUTDOWN = timedelta(milliseconds=100)  # then a new connection without a message is closed
LINGER_TIMEOUT = timedelta(milliseconds=100)  # for a client to close too after a graceful close
MAX_UNCONFIRMED_RELEASES = 256  # on each connection
MAX_OPEN = 128  # set-ups on one connection
MAX_OPEN_UNPROVEN = 16  # on one on which no call was established yet
UNPROVEN_BATCH, PROVEN_BATCH = 16, 128  # messages handled before other connections have their turn
MAX_INVALID_MESSAGES = 8  # the connection is closed at so many
CONNECTION_NUMBERS = itertools.count(1)
REFUSED, FAILED = 503, 500
NOT_READY = 503  # the answer to a probe
UNKNOWN_CALL = 481
KNOWN_METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS")


def host_of(sock: socket.socket) -> str:
    """The peer's address; empty if the peer has already disconnected."""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class DataReceived:
    """Bytes have arrived."""


DATA_RECEIVED = DataReceived()


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection has ended."""

    how: EndReason


class RetentionPriority(IntEnum):
    """Which connections are kept when there are too many; the lowest is evicted first."""

    SILENT = 0  # has sent nothing since it was opened
    STALLED = 1  # stopped in the middle of a message
    IDLE = 2  # has no open request
    SET_UP = 3  # the same, but has set up calls: releases may be sent on it
    NEW = 4
    WRITING = 5
    IN_USE = 6  # has open set-ups or established calls


class ClientConnection:
    """The actor of one client's connection."""

    def __init__(self, callers: Callers, sock: socket.socket) -> None:
        self._callers, self._switch = callers, callers.switch
        self.number = next(CONNECTION_NUMBERS)  # for the event log
        self._actor: Actor[DataReceived | ConnectionLost] = Actor(callers.loop, self._handle)
        self.host = host_of(sock)
        self.last_sent_at = callers.loop.clock.now()
        self.setup_count = 0  # a connection that only probed cannot reach the caller of a call
        self.proven = False  # a call was established here
        self.received_message = self.sent_message = False  # whether any complete one was
        self.partial_since: datetime | None = None  # when an incomplete message began
        self._invalid_messages = 0
        self.established: set[str] = set()  # calls that were answered here and are not over
        self.open: dict[str, Message] = {}
        self._unacked: dict[str, Message] = {}  # answered, and no ACK has come yet
        self._cancelled: set[str] = set()  # of these: the CANCEL crossed the answer
        self._byes = BoundedDict[str, int](
            MAX_UNCONFIRMED_RELEASES
        )  # releases sent here and not yet confirmed
        self.connection = Connection(
            callers.loop,
            sock,
            lambda _: self._actor.post(DATA_RECEIVED),
            lambda _, how: self._actor.post(ConnectionLost(how)),
            in_turns=True,
        )

    # The core's Caller protocol.

    def answered(self, name: str, description: bytes) -> None:
        """Send the answer to the client."""
        invite = self.open.pop(name, None)
        if invite is None or self.connection.ended:
            # The client closed or cancelled in this turn of the loop: the answer cannot be delivered.
            self._callers.loop.call_soon(lambda: self._release_undelivered(name))
            return
        self._unacked[name] = invite
        self.established.add(name)
        self.proven = True
        self._callers.clients_by_call[name] = self
        self._write(response(invite, 200, body=description).encode(), "out.answer")

    def refused(self, name: str, pause: timedelta) -> None:
        """Refuse the call, with a time after which to try again."""
        self._reject(name, REFUSED, [("X-Pause", str(whole_millis(pause)))] if pause else [])

    def failed(self, name: str) -> None:
        """Fail the call."""
        self._reject(name, FAILED, [])

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """The thin protocol has no provisional answers."""

    def released(self, name: str, cause: int) -> None:
        """Send a release: here, else on any open connection, else on the next one."""
        self._callers.call_over(name)
        self._callers.release(name, cause, self)

    def send_release(self, name: str, cause: int) -> None:
        """Write a release here and keep it until it is confirmed; confirming is optional, so few are kept."""
        self._byes[name] = cause
        self._callers.loop.trace("release.sent", call=name, link=self.number, cause=cause)
        self._write(build_bye(name, cause), "out.release")

    def awaits_confirmation(self, name: str) -> bool:
        """Whether a release sent here is not confirmed yet."""
        return name in self._byes

    def release_confirmed(self, name: str) -> None:
        """A release was confirmed, here or on another connection."""
        self._byes.pop(name, None)

    def close(self, reason: str, gracefully: bool = False) -> None:
        """Close it, only without open set-ups. Gracefully: the client can read what was sent to it before."""
        self._callers.loop.trace("client.closed", link=self.number, reason=f'"{reason}"',
                                 open=len(self.open), standing=len(self.established))  # fmt: skip
        if gracefully:
            self.connection.close_gracefully(LINGER_TIMEOUT)
        else:
            self.connection.close()
        self._on_ended()

    # Incoming messages.

    def _handle(self, item: DataReceived | ConnectionLost) -> None:
        match item:
            case DataReceived():
                if self.connection.peer_finished:
                    self._abandon_open()
                self._callers.loop.readers.add(self._read)
            case ConnectionLost(how):
                if self.open or self.established:
                    self._callers.loop.trace("client.ended", link=self.number, how=f'"{how.value}"',
                                             open=len(self.open), standing=len(self.established))  # fmt: skip
                self._on_ended()

    def _read(self) -> bool:
        """Handle a few messages; whether more may have been received."""
        ring, limit = self.connection.incoming, PROVEN_BATCH if self.proven else UNPROVEN_BATCH
        for _ in range(limit):
            if self.connection.ended:
                return False
            try:
                frame = next_frame(ring)
                if frame is None:
                    break
                self.received_message, self.partial_since = True, None
                if not self._unacked and frame[0].startswith(b"ACK "):
                    COUNTERS.add("in.caller.ACK")  # of a refusal: half of all messages; nothing waits for it
                    continue
                message = parse_head(frame[0])
                message.body = frame[1]
                self._handle_message(message)
            except SipError as error:
                COUNTERS.add("in.malformed")
                log(f"caller: {error}", "malformed")
                self.close(f"malformed message: {error.status}")
                return False
        else:
            self.connection.set_reading(False)
            return True
        self.connection.set_reading(True)
        if not len(ring):
            self.partial_since = None
        elif self.partial_since is None:
            self.partial_since = self._callers.loop.clock.now()
        return False

    @property
    def _waits_for_turn(self) -> bool:
        """Whether messages that were received are still to be handled."""
        return self._read in self._callers.loop.readers

    def is_expired(self, now: datetime) -> bool:
        """Whether it may be closed: silent, stuck in a message, never answered, or idle."""
        age, silence = now - self.connection.opened_at, now - self.connection.last_received_at
        if self._waits_for_turn:
            return False
        if not self.received_message:
            return age > FIRST_MESSAGE_TIMEOUT
        if self.open:
            return False
        if self.partial_since is not None:
            return now - self.partial_since > (
                LATER_MESSAGE_TIMEOUT if self.proven else FIRST_MESSAGE_TIMEOUT
            )
        if not self.sent_message:
            return age > FIRST_ANSWER_TIMEOUT
        return not self.established and silence > IDLE_TIMEOUT and not self.connection.unread

    def priority(self, now: datetime) -> tuple[RetentionPriority, datetime]:
        """Its priority when connections are evicted; among equals, the most recently active is kept."""
        received_at = self.connection.last_received_at
        if self.open or self.established or self._waits_for_turn:
            return RetentionPriority.IN_USE, received_at
        if len(self.connection.incoming) or self.partial_since is not None:
            return (
                RetentionPriority.STALLED if now - received_at > STALL_TIMEOUT else RetentionPriority.WRITING,
                received_at,
            )
        if self.received_message:
            return RetentionPriority.SET_UP if self.setup_count else RetentionPriority.IDLE, received_at
        return (
            RetentionPriority.SILENT if now - received_at > SILENT_AFTER else RetentionPriority.NEW,
            received_at,
        )

    def is_drainable(self, now: datetime, shutdown: Shutdown) -> bool:
        """Whether a drain may close it: it has no open set-up, and nothing unread or unsent.

        Established calls keep it open: no new connection comes, so their releases could not be delivered.
        So does recent traffic, as the ACK of an answer or a set-up may follow; late in a drain it does not.
        """
        if self.open or not self.connection.idle or self.connection.unread:
            return False
        if shutdown.closes_all_connections(now):
            return self.received_message or now - self.connection.opened_at > SILENT_AT_SHUTDOWN
        kept = self.established and not self._callers.handed_over
        if kept or not self.received_message:
            return False
        if not shutdown.refuses_setups(now) and not self._callers.handed_over:
            return False
        quiet = (
            not self._unacked
            and now - max(self.connection.last_received_at, self.last_sent_at) > DRAIN_QUIET_PERIOD
        )
        return quiet or shutdown.skips_quiet_period(now)

    def has_unfinished(self, now: datetime) -> bool:
        """Whether a message has partly arrived, or an answer is not yet written to the socket."""
        if self.connection.ended:
            return False
        if self._waits_for_turn:
            return True
        coming = self.partial_since is not None and now - self.connection.last_received_at <= STALL_TIMEOUT
        return coming or not self.connection.idle

    def fitness(self, host: str) -> tuple[bool, bool, datetime]:
        """How suitable it is for the release of a call whose own connection, from that host, has ended."""
        return self.proven, self.host == host, self.connection.last_received_at

    def call_over(self, name: str) -> None:
        """A call that was answered here is over."""
        self.established.discard(name)
        self._unacked.pop(name, None)

    def _handle_message(self, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "BYE" and message.call_id in self._byes:
                self._byes.pop(message.call_id)
                self._callers.release_confirmed(message.call_id)
            return
        COUNTERS.add(f"in.caller.{message.method if message.method in KNOWN_METHODS else 'other'}")
        if message.fault is not None:
            self._reject_invalid(message, message.fault)
            return
        match message.method:
            case "INVITE":
                self._handle_invite(message)
            case "ACK":
                self._unacked.pop(message.call_id, None)
                self._cancelled.discard(message.call_id)
            case "CANCEL":
                if not self.cancel(message.call_id):
                    self._callers.handover_peer.notify("cancel", name=message.call_id)
            case "BYE":
                self._handle_bye(message)
            case "OPTIONS":
                status = 200 if self._switch.lifecycle.ready else NOT_READY
                self._write(response(message, status).encode(), "out.test")
            case _:
                self._write(response(message, 501).encode(), "out.not_known")

    def _handle_invite(self, message: Message) -> None:
        name = message.call_id
        if name in self.open:
            # Two set-ups with one Call-ID: their answers could not be distinguished.
            COUNTERS.add("in.repeated")
            self._reject(name, 400, [])
            self._switch.caller_abandoned(name)
            self._count_invalid()
            return
        try:
            offer = parse_offer(message, self._callers.loop.clock.now(), self._switch.classes)
            message.keep(RESPONSE_HEADERS)
        except SipError as error:
            self._reject_invalid(message, error)
            return
        if self.connection.peer_finished:
            COUNTERS.add("in.left")  # its client has closed since: an answer could not be delivered
            return
        self.setup_count += 1
        if len(self.open) >= (MAX_OPEN if self.proven else MAX_OPEN_UNPROVEN):
            COUNTERS.add("in.too_many_open")
            self._write(response(message, REFUSED).encode(), "out.503")
            return
        if self._callers.may_have_run(name):
            # Its client has left and comes again: the name was sent to a server, here or by another process.
            COUNTERS.add("in.came_again")
            status = REFUSED if self._switch.is_repeatable(offer.call_class) else FAILED
            self._write(response(message, status).encode(), f"out.{status}")
            return
        if not self._switch.has_room_for(offer, self.proven):
            self._write(response(message, REFUSED).encode(), "out.503")
            return
        message.body = b""  # the offer has it
        self.open[name] = message
        self._callers.send_waiting_releases(self)
        shutdown = self._switch.lifecycle.shutdown
        if shutdown is not None:
            if shutdown.refuses_setups(self._callers.loop.clock.now()) and not self._callers.handed_over:
                COUNTERS.add("in.refused_leaving")
                self._callers.loop.trace("call.refused", call=name, attempts=0, reason='"draining"')
                self._reject(name, REFUSED, [])
                return
            offer = replace(offer, answer_by=min(offer.answer_by, shutdown.answer_by))
        if not self._switch.offer(offer, self):
            self._reject(name, 400, [])
            self._count_invalid()
            return
        self._callers.notify_taken([name])

    def _reject_invalid(self, message: Message, error: SipError) -> None:
        """Answer a request that cannot be used; an ACK gets no answer."""
        COUNTERS.add("in.malformed")
        log(f"caller: {error}", "refused")
        if message.method != "ACK":
            self._write(response(message, error.status).encode(), "out.bad_request")
        self._count_invalid()

    def _count_invalid(self) -> None:
        """Count an invalid message; a connection that keeps sending them is closed."""
        self._invalid_messages += 1
        if self._invalid_messages >= MAX_INVALID_MESSAGES and not self.open and not self.established:
            COUNTERS.add("in.struck_out")
            self.close("too many invalid messages")

    def _handle_bye(self, message: Message) -> None:
        name = name_of(message)
        self._callers.call_over(name)
        cause, known = release_cause(message), self._switch.has_call(name)
        there = not known and self._callers.handover_peer.notify("bye", name=name, cause=cause)
        relayed = not known and not there and self._callers.may_relay()
        status = 200 if known or there or relayed else UNKNOWN_CALL
        self._write(response(message, status).encode(), "out.release_heard")
        if known or relayed:
            self._switch.caller_released(name, cause)

    def cancel(self, name: str) -> bool:
        """Cancel a set-up that was received here; False if there is none of that name."""
        if self.open.pop(name, None) is not None:
            self._switch.caller_abandoned(name)
            self._callers.no_open_setups(self)
        elif name in self._unacked:
            # It crossed our answer: unless an ACK follows, the caller has given the call up.
            self._cancelled.add(name)
            self._callers.loop.call_later(ACK_TIMEOUT, lambda: self._release_crossed(name))
        else:
            return False
        return True

    def _release_undelivered(self, name: str) -> None:
        COUNTERS.add("released.unheard")
        self._switch.caller_released(name, NORMAL)

    def _release_crossed(self, name: str) -> None:
        if name in self._cancelled and self._unacked.pop(name, None) is not None:
            COUNTERS.add("released.crossed")
            self._callers.call_over(name)
            self._switch.caller_released(name, NORMAL)
            self._callers.release(name, NORMAL, self)  # the client has the answer, so it gets a release
        self._cancelled.discard(name)

    def _reject(self, name: str, status: int, extra: list[tuple[str, str]]) -> None:
        invite = self.open.pop(name, None)
        if invite is not None:
            self._write(response(invite, status, extra).encode(), f"out.{status}")

    def _write(self, data: bytes, counter: str) -> None:
        COUNTERS.add(counter)
        self.sent_message, self.last_sent_at = True, self._callers.loop.clock.now()
        self.connection.send(data)
        if not self.open:
            self._callers.no_open_setups(self)

    def _abandon_open(self) -> None:
        """Abandon the open set-ups, as the client has left: nothing can be answered any more."""
        for name in list(self.open):
            del self.open[name]
            self._switch.caller_abandoned(name)

    def _on_ended(self) -> None:
        """Abandon the open set-ups of an ended connection; send its unconfirmed releases on another one."""
        self._actor.stop()
        self._callers.loop.readers.discard(self._read)
        self._callers.remove(self)
        self._abandon_open()
        byes, self._byes = self._byes, BoundedDict(MAX_UNCONFIRMED_RELEASES)
        for name, cause in byes.items():
            self._callers.release(name, cause, None)
