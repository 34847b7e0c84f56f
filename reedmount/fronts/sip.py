"""The SIP front: a back-to-back user agent with a dialog a leg, between SIP clients and SIP call servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from reedmount import interface as i
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import ZERO
from reedmount.core.lifecycle import Need
from reedmount.core.ports import CUT, NORMAL, CancelSetup, Listed, Offer, Progress, Release, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.thin import cause_of
from reedmount.net.connection import Address, End, text_of
from reedmount.net.loop import Actor, Loop, Timer
from reedmount.sip import dialog as dialogs
from reedmount.sip.dialog import Dialog
from reedmount.sip.endpoint import Endpoint, TcpHop
from reedmount.sip.message import (
    Message,
    SipError,
    host_port,
    parameter,
    request,
    response,
    user_of,
)  # fmt: skip
from reedmount.sip.transaction import COOKIE, ClientTransaction, Hop, ServerTransaction, State, Timers

ALLOW = "INVITE, ACK, BYE, CANCEL, OPTIONS"
KNOWN_METHODS = frozenset(  # known to SIP, not allowed here
    ("REGISTER", "INFO", "UPDATE", "SUBSCRIBE", "NOTIFY", "REFER", "MESSAGE", "PRACK", "PUBLISH")
)
ANSWER_EARLY = timedelta(milliseconds=40)
SECOND = timedelta(seconds=1)
PROGRESS = {180: Progress.RINGING, 181: Progress.FORWARDED, 182: Progress.QUEUED, 183: Progress.SESSION}
STATUSES = {progress: status for status, progress in PROGRESS.items()}
FORKS_MOST = 16  # far ends of one set-up that are released
PROGRESS_MOST = 32  # of an attempt: a server that rings without end must not make us do the same
LEAVING_RETRY = timedelta(seconds=5)  # for INVITEs that come while it drains or ends
OUTCOMES = {
    480: (i.Outcome.FAILED, i.Cause.OTHER),
    486: (i.Outcome.FAILED, i.Cause.NUMBER_BUSY),
    487: (i.Outcome.CANCELLED, i.Cause.NONE),
    503: (i.Outcome.FULL, i.Cause.PROCESSOR_FULL),
    408: (i.Outcome.RESET, i.Cause.NONE),
    504: (i.Outcome.RESET, i.Cause.NONE),
    600: (i.Outcome.FAILED, i.Cause.NUMBER_BUSY),
}


Asked = tuple[str, str, int]


def asked_by(message: Message) -> Asked:
    """What a request has in common with copies of itself that came other ways."""
    return (message.call_id, parameter(message.need("From"), "tag") or "", message.cseq[0])


@dataclass(frozen=True, slots=True)
class SipSettings:
    """What the operator's file says of the SIP front."""

    listen: Address
    default_class: str
    prefixes: tuple[tuple[str, str], ...]  # number prefix, class: the longest that fits counts
    waits: dict[str, timedelta]  # by class: how long a caller waits where it does not say
    timers: Timers
    connect_wait: timedelta
    listen6: Address | None = None  # for IPv6, where call servers are reached by it

    def class_of(self, number: str, named: str | None) -> str:
        """The class of a call: named in X-Cos, else by the number called."""
        if named in self.waits:
            return named or self.default_class
        fitting = [(len(prefix), kind) for prefix, kind in self.prefixes if number.startswith(prefix)]
        return max(fitting)[1] if fitting else self.default_class


class Leg:
    """A client's leg of a call: its INVITE, then its dialog. It is the call's Caller to the core."""

    def __init__(self, front: SipFront, transaction: ServerTransaction, name: str, tag: str) -> None:
        self.front, self.transaction, self.name, self.tag = front, transaction, name, tag
        self.asked = asked_by(transaction.request)
        self.dialog: Dialog | None = None
        self.acknowledged = False
        self._answer: bytes = b""
        self._released: int | None = None

    @property
    def open(self) -> bool:
        """Whether its final answer is still owed."""
        return self.transaction.state in (State.TRYING, State.PROCEEDING)

    def answered(self, name: str, description: bytes) -> None:
        """200, repeated until the ACK comes."""
        invite = self.transaction.request
        extra = [("Contact", self.front.endpoint.contact(self.transaction.hop)), ("Allow", ALLOW),
                 *(("Record-Route", value) for value in invite.all("Record-Route")),
                 *([("Content-Type", "application/sdp")] if description else [])]  # fmt: skip
        answer = response(invite, 200, extra, description, self.tag)
        self.dialog = dialogs.as_callee(invite, answer.need("To"))
        self.front.legs[self.dialog.key] = self
        self._answer = answer.encode()
        self.transaction.respond(answer)
        timers = self.front.settings.timers
        self._repeat(timers.t1)
        self.front.loop.after(timers.longest, self._never_acknowledged)

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """180 to 183. Another far end has another tag: it is an early dialog of its own (12.1)."""
        if progress is Progress.AGAIN:
            self.tag = self.front.token()
            return
        if not self.open:
            return
        extra = [("Contact", self.front.endpoint.contact(self.transaction.hop)), ("Allow", ALLOW),
                 *(("Record-Route", value) for value in self.transaction.request.all("Record-Route")),
                 *([("Content-Type", "application/sdp")] if description else [])]  # fmt: skip
        status = STATUSES[progress]
        self.transaction.respond(response(self.transaction.request, status, extra, description, self.tag))

    def refused(self, name: str, pause: timedelta) -> None:
        """503 with Retry-After, in whole seconds as SIP has it."""
        extra = [("Retry-After", str(max(1, -(-pause // SECOND))))] if pause > ZERO else []
        self._final(503, extra)

    def failed(self, name: str) -> None:
        """500."""
        self._final(500, [])

    def released(self, name: str, cause: int) -> None:
        """BYE; not before the ACK (15.1.1)."""
        if not self.acknowledged:
            self._released = cause
            return
        self.front.bye(self.dialog, self.transaction.hop, cause)
        self._forget()

    def heard_ack(self) -> None:
        """The ACK of our 200."""
        if self.acknowledged:
            return
        self.acknowledged = True
        if self._released is not None:
            self.released(self.name, self._released)

    def over(self) -> None:
        """The client's BYE came."""
        self._forget()
        self.acknowledged = True

    def _final(self, status: int, extra: list[tuple[str, str]]) -> None:
        self.transaction.respond(response(self.transaction.request, status, extra, tag=self.tag))
        self.front.forget(self)

    def _repeat(self, span: timedelta) -> None:
        def again() -> None:
            if not self.acknowledged and self.transaction.state is State.ACCEPTED:
                self.transaction.hop.send(self._answer)
                COUNTERS.add("sip.out.repeats")
                self._repeat(min(2 * span, self.front.settings.timers.t2))

        self.front.loop.after(span, again)

    def _never_acknowledged(self) -> None:
        """13.3.1.4: the dialog stands, but is to be ended with a BYE."""
        if self.acknowledged or self.dialog is None:
            return
        COUNTERS.add("sip.never_acknowledged")
        self.acknowledged = True
        if self._released is None:
            self.front.switch.caller_released(self.name, NORMAL)
        self.front.bye(self.dialog, self.transaction.hop, self._released or NORMAL)
        self._forget()

    def _forget(self) -> None:
        if self.dialog is not None:
            self.front.legs.pop(self.dialog.key, None)
        self.front.forget(self)


class SipFront:
    """The user of the transactions on both sides: it tells client legs from server legs by their dialogs."""

    def __init__(self, loop: Loop, switch: Switch, settings: SipSettings, seed: int) -> None:
        self.loop, self.switch, self.settings = loop, switch, settings
        self.first_choice: Callable[[str], int | None] = lambda _: None
        self.legs: dict[dialogs.Key, Leg] = {}
        self.names: dict[str, Leg] = {}
        self._asked: dict[Asked, Leg] = {}
        self._asking: dict[ServerTransaction, Leg] = {}  # by the INVITE's transaction
        self.server_legs: dict[dialogs.Key, ServerLeg] = {}
        self._random = random.Random(seed)
        self._count = 0
        self.endpoint = Endpoint(loop, settings.listen, settings.timers, self, settings.listen6)
        self.endpoint.on_hop_lost = self._hop_lost
        switch.lifecycle.met(Need.LISTENING)

    def forget(self, leg: Leg) -> None:
        """A client's leg is over."""
        self.names.pop(leg.name, None)
        self._asking.pop(leg.transaction, None)
        if self._asked.get(leg.asked) is leg:
            del self._asked[leg.asked]

    def token(self) -> str:
        """A new tag, branch or Call-ID."""
        self._count += 1
        return f"{self._random.getrandbits(64):016x}{self._count:x}"

    def via(self, hop: Hop) -> str:
        """A Via with a new branch."""
        return self.endpoint.via(hop, COOKIE + self.token())

    def bye(self, dialog: Dialog | None, hop: Hop, cause: int) -> None:
        """End a leg; its answer changes nothing."""
        if dialog is None:
            return
        if isinstance(hop, TcpHop) and hop.connection.ended:
            # The connection of its set-up is gone: the peer's Contact says where it is to be found.
            try:
                address = host_port(dialog.target)
            except SipError:
                COUNTERS.add("sip.released.untold")
                return
            hop = TcpHop.dial(self.endpoint, address, self.settings.connect_wait)
        reason = [("Reason", f"Q.850;cause={cause}")]
        self.endpoint.layer.send(dialog.request("BYE", self.via(hop), reason), hop, lambda _: None)

    # --- the User of the transactions ---

    def requested(self, transaction: ServerTransaction) -> None:
        """A new request of a client or a call server."""
        message = transaction.request
        try:
            self._check(message)
            match message.method:
                case "INVITE":
                    self._invite(transaction)
                case "CANCEL":
                    self._cancel(transaction)
                case "BYE":
                    self._bye(transaction)
                case "OPTIONS":
                    extra = [("Allow", ALLOW), ("Accept", "application/sdp")]
                    transaction.respond(response(message, 200, extra, tag=self.token()))
                case method:
                    known = method in KNOWN_METHODS
                    COUNTERS.add("sip.in.not_allowed" if known else "sip.in.unknown")
                    transaction.respond(
                        response(message, 405 if known else 501, [("Allow", ALLOW)], tag=self.token())
                    )
        except SipError as error:
            COUNTERS.add("sip.in.malformed")
            unsupported = [("Unsupported", message.get("Require") or "")] if error.status == 420 else []
            transaction.respond(response(message, error.status, unsupported, tag=self.token()))

    def gave_up(self, transaction: ServerTransaction) -> None:
        """Serving a request went wrong: its call is given up, and its client hears 500."""
        leg = self._asking.get(transaction)
        if leg is not None and leg.open:
            self.switch.caller_gone(leg.name)
            self.forget(leg)
        if transaction.state in (State.TRYING, State.PROCEEDING):
            transaction.respond(response(transaction.request, 500, tag=self.token()))

    def acknowledged(self, message: Message) -> None:
        """The ACK of a 200."""
        leg = self.legs.get(dialogs.key_of(message))
        if leg is None:
            COUNTERS.add("sip.in.dropped")
        else:
            leg.heard_ack()

    def stray(self, message: Message, hop: Hop) -> None:
        """A response to nothing known: dropped. A 2xx that comes so late was released when it was current."""
        COUNTERS.add("sip.in.dropped")

    @staticmethod
    def _check(message: Message) -> None:
        if message.get("Max-Forwards") == "0" and message.method != "OPTIONS":
            raise SipError(483, "too many hops")
        if message.get("Require") and message.method not in ("CANCEL", "ACK"):
            raise SipError(420, "an extension is required")

    def _invite(self, transaction: ServerTransaction) -> None:
        message = transaction.request
        if parameter(message.need("To"), "tag") is not None:
            key = dialogs.key_of(message)
            known = key in self.legs or key in self.server_legs
            # The description of a call that stands is not changed here: it goes on as it is.
            transaction.respond(response(message, 488 if known else 481))
            return
        if not message.get("Contact"):
            raise SipError(400, "Contact is missing")
        if asked_by(message) in self._asked:
            raise SipError(482, "the same call came another way")  # 8.2.2.2: it would be set up twice
        if self.switch.lifecycle.leaving_since is not None:
            COUNTERS.add("sip.refused_leaving")
            extra = [("Retry-After", str(LEAVING_RETRY // SECOND))]
            transaction.respond(response(message, 503, extra, tag=self.token()))
            return
        number = user_of(message.uri)
        kind = self.settings.class_of(number, message.get("X-Cos"))
        wait = self._wait(message, kind)
        transaction.respond(response(message, 100))
        name = f"sip-{self.token()}"
        leg = self.names[name] = Leg(self, transaction, name, self.token())
        self._asked[leg.asked] = self._asking[transaction] = leg
        offer = Offer(
            name=name,
            call_class=kind,
            number=number,
            first_choice=self.first_choice(number),
            answer_by=self.loop.clock.now() + wait - ANSWER_EARLY,
            description=message.body,
        )
        if not self.switch.offer(offer, leg):
            leg.failed(name)

    def _wait(self, message: Message, kind: str) -> timedelta:
        """How long the caller waits: its Expires, but no longer than its class does."""
        text = message.get("Expires")
        usual = self.settings.waits[kind]
        if text is None:
            return usual
        if not text.isdecimal() or len(text) > 9:
            raise SipError(400, "Expires is not a number of seconds")
        return min(usual, int(text) * SECOND)

    def _cancel(self, transaction: ServerTransaction) -> None:
        invite = self.endpoint.layer.cancelled_by(transaction.request)
        if invite is None:
            transaction.respond(response(transaction.request, 481, tag=self.token()))
            return
        leg = self._asking.get(invite)
        transaction.respond(response(transaction.request, 200, tag=leg.tag if leg else self.token()))
        if leg is not None and leg.open:
            self.switch.caller_gone(leg.name)
            leg._final(487, [])

    def _bye(self, transaction: ServerTransaction) -> None:
        message = transaction.request
        key = dialogs.key_of(message)
        leg, server_leg = self.legs.get(key), self.server_legs.get(key)
        dialog = leg.dialog if leg else server_leg.dialog if server_leg else None
        if dialog is None:
            transaction.respond(response(message, 481))
        elif not dialog.in_order(message):
            transaction.respond(response(message, 500))
        else:
            transaction.respond(response(message, 200))
            if leg is not None:
                leg.over()
                self.switch.caller_released(leg.name, cause_of(message))
            elif server_leg is not None:
                server_leg.over()
                self.switch.server_released(server_leg.setup.name, cause_of(message))

    def _hop_lost(self, open_ones: list[ServerTransaction]) -> None:
        """A client's connection broke: who set up a call over it is gone, and nobody else can be answered."""
        for transaction in open_ones:
            leg = self._asking.get(transaction)
            if leg is not None and leg.open:
                COUNTERS.add("sip.clients_lost")
                self.switch.caller_gone(leg.name)
                leg.transaction.end()
                self.forget(leg)


class ServerLeg:
    """One attempt at a call server: its INVITE, then its dialog."""

    def __init__(self, peer: SipServer, setup: Setup) -> None:
        self.peer, self.setup = peer, setup
        self.dialog: Dialog | None = None
        self.hop: Hop | None = None
        self.transaction: ClientTransaction | None = None
        self.ended = False  # the core has been told
        self._wanted: i.Outcome | None = None  # it is being called off
        self._cancelled = False
        self._ack: Message | None = None
        self._fork: str | None = None  # the far end of which the caller was told
        self._forks: dict[str, Dialog] = {}  # others that answered as well
        self._told = 0
        self.timer: Timer = peer.loop.after(setup.give_up, lambda: self.call_off(i.Outcome.TIMED_OUT))

    def start(self, hop: Hop) -> None:
        """Send the INVITE."""
        front = self.peer.front
        entry, setup = self.peer.entry, self.setup
        place = text_of(entry.address)
        target = f"sip:{setup.number}@{place};transport={'tcp' if hop.reliable else 'udp'}"
        host = text_of(front.endpoint.own(hop.ipv6)).rpartition(":")[0]
        invite = request("INVITE", target, [
            ("Via", front.via(hop)), ("Max-Forwards", "70"),
            ("From", f"<sip:reedmount@{host}>;tag={front.token()}"),
            ("To", f"<sip:{setup.number}@{place.rpartition(':')[0]}>"),
            ("Call-ID", f"{front.token()}@{host}"), ("CSeq", "1 INVITE"),
            ("Contact", front.endpoint.contact(hop)), ("Allow", ALLOW), ("X-Cos", setup.call_class),
            ("Expires", str(max(1, -(-setup.give_up // SECOND)))),
            *([("Content-Type", "application/sdp")] if setup.description else []),
        ], setup.description)  # fmt: skip
        self.hop = hop
        self.transaction = front.endpoint.layer.send(invite, hop, self._answered)

    def call_off(self, outcome: i.Outcome) -> None:
        """Its time is up, or the module wants it stopped: CANCEL, as soon as there is something to cancel."""
        if self.ended:
            return
        self._wanted = outcome
        if self.transaction is None:
            self.peer.waiting = [leg for leg in self.peer.waiting if leg is not self]
        elif self.transaction.state is State.PROCEEDING:
            self._cancel()
        else:
            # Nothing was heard yet, and a CANCEL may not go before that (9.1): it is sent no more.
            self.transaction.stop_repeating()
        self.end(outcome)

    def end(self, outcome: i.Outcome, cause: i.Cause = i.Cause.NONE) -> None:
        """Tell the core, once."""
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        self.peer.legs.pop(self.setup.name, None)
        self.peer.ended(self.setup.name)
        self.peer.front.switch.ended(self.setup.name, self.setup.attempt, outcome, cause)

    def release(self, cause: int) -> None:
        """The caller's side is over."""
        if self.hop is not None:
            self.peer.front.bye(self.dialog, self.peer.hop_for(self.hop), cause)
        self.over()

    def over(self) -> None:
        """Its dialog is at its end."""
        if self.dialog is not None:
            self.peer.front.server_legs.pop(self.dialog.key, None)
        self.peer.standing.pop(self.setup.name, None)
        self.peer.ended(self.setup.name)

    def _cancel(self) -> None:
        if self._cancelled or self.transaction is None or self.hop is None:
            return
        self._cancelled = True
        own = self.transaction.request
        headers = [(name, own.need(name)) for name in ("Via", "Max-Forwards", "From", "To", "Call-ID")]
        message = request("CANCEL", own.uri, [*headers, ("CSeq", f"{own.cseq[0]} CANCEL")])
        self.peer.front.endpoint.layer.send(message, self.hop, lambda _: None)

    def _answered(self, message: Message | None) -> None:
        if message is None:
            if self.dialog is not None and not self.ended:
                self.release(CUT)  # its 200 could not be served: the server must not hold the call
            self.end(i.Outcome.RESET if self.hop is not None and self.hop.reliable else i.Outcome.TIMED_OUT)
        elif message.status < 200:
            if self._wanted is not None:
                self._cancel()
            else:
                self._progressed(message)
        elif message.status >= 300:
            outcome, cause = OUTCOMES.get(message.status, (i.Outcome.FAILED, i.Cause.OTHER))
            self.end(outcome, cause)
        else:
            self._stands(message)

    def _progressed(self, message: Message) -> None:
        """Of several far ends (a server that forks) the first is told of; 100 is between neighbours."""
        progress = PROGRESS.get(message.status)
        if progress is None:
            return
        self._told += 1
        fork = parameter(message.get("To") or "", "tag") or ""
        if self._told > PROGRESS_MOST or self._fork not in (None, fork):
            COUNTERS.add("progress.not_passed")
            return
        self._fork = fork
        self.peer.front.switch.progressed(self.setup.name, self.setup.attempt, progress, message.body)

    def _release_fork(self, message: Message) -> bool:
        """A 200 of another far end than the one that is kept: it is acknowledged and released (13.2.2.4)."""
        tag = parameter(message.need("To"), "tag") or ""
        if self.dialog is None or self.transaction is None or self.hop is None or self.dialog.key[2] == tag:
            return False
        if tag not in self._forks and len(self._forks) < FORKS_MOST:
            COUNTERS.add("server.forked_answers")
            other = self._forks[tag] = dialogs.as_caller(self.transaction.request, message)
            self.hop.send(other.request("ACK", self.peer.front.via(self.hop)).encode())
            self.peer.front.bye(other, self.peer.hop_for(self.hop), CUT)
        elif tag in self._forks:
            again = dialogs.as_caller(self.transaction.request, message)  # its ACK was lost
            self.hop.send(again.request("ACK", self.peer.front.via(self.hop)).encode())
        return True

    def _stands(self, message: Message) -> None:
        """Acknowledge a 200, also a repeated one; one that nobody waits for any more is released."""
        if self.transaction is None or self.hop is None or self._release_fork(message):
            return
        again = self.dialog is not None
        if not again:
            self.dialog = dialogs.as_caller(self.transaction.request, message)
        if self.dialog is None:
            return
        if self._ack is None:
            self._ack = self.dialog.request("ACK", self.peer.front.via(self.hop))
        self.hop.send(self._ack.encode())
        if again:
            return
        front, name = self.peer.front, self.setup.name
        self.timer.cancel()
        front.server_legs[self.dialog.key] = self
        if not self.ended:
            if self._fork not in (None, self.dialog.key[2]):
                front.switch.progressed(name, self.setup.attempt, Progress.AGAIN)
            stands = front.switch.stands(name, self.setup.attempt, message.body)
            self.ended = True
            self.peer.legs.pop(name, None)
            if stands:
                self.peer.standing[name] = self
                self.peer.ended(name)  # the attempt, not the call
                return
        COUNTERS.add("server.late_answers")
        self.release(CUT)


class SipServer:
    """The actor of one call server, reached over UDP or TCP."""

    def __init__(
        self, front: SipFront, entry: Listed, on_idle: Callable[[SipServer, str], None]
    ) -> None:
        self.front, self.loop, self.entry = front, front.loop, entry
        self._on_idle = on_idle
        self.legs: dict[str, ServerLeg] = {}
        self.standing: dict[str, ServerLeg] = {}
        self.waiting: list[ServerLeg] = []  # for the connection to come up
        self._hop: TcpHop | None = None
        self._actor: Actor[Setup | CancelSetup | Release | Listed | End] = Actor(front.loop, self._handle)
        self.post = self._actor.post

    @property
    def over(self) -> bool:
        """Whether it was removed from the pool and nothing of ours is left there."""
        return self.entry.removed and not (
            self.legs or self.standing or self.waiting or self._actor.pending
        )

    def ended(self, name: str) -> None:
        """An attempt or a call has come to its end here."""
        self.loop.soon(lambda: self._on_idle(self, name))

    def close(self) -> None:
        """It is forgotten; its connection closes once all is written."""
        self._actor.stop()
        if self._hop is not None:
            self._hop.on_lost = None
            self._hop.connection.close_when_sent()

    def hop_for(self, used: Hop) -> Hop:
        """The way to the server now: what was used, or the connection that has followed it."""
        if isinstance(used, TcpHop) and used.connection.ended:
            return self._connect()
        return used

    def _handle(self, word: Setup | CancelSetup | Release | Listed | End) -> None:
        match word:
            case Setup():
                self._setup(word)
            case CancelSetup(name, number):
                leg = self.legs.get(name)
                if leg is not None and leg.setup.attempt == number:
                    leg.call_off(i.Outcome.CANCELLED)
            case Release(name, cause):
                standing = self.standing.get(name)
                if standing is not None:
                    standing.release(cause)
            case Listed():
                self._news(word)
            case _:
                self._lost(word)

    def _news(self, entry: Listed) -> None:
        self.entry = entry
        if not entry.serving:
            waiting, self.waiting = self.waiting, []
            for leg in waiting:
                leg.end(i.Outcome.NOT_SENT)
        self.ended("")

    def _setup(self, setup: Setup) -> None:
        leg = self.legs[setup.name] = ServerLeg(self, setup)
        if not self.entry.serving:
            leg.end(i.Outcome.NOT_SENT)
        elif self.entry.transport == "udp":
            leg.start(self.front.endpoint.udp(self.entry.address))
        else:
            hop = self._connect()
            if hop.connection.up:
                leg.start(hop)
            else:
                self.waiting.append(leg)

    def _connect(self) -> TcpHop:
        if self._hop is None or self._hop.connection.ended:
            hop = TcpHop.dial(self.front.endpoint, self.entry.address, self.front.settings.connect_wait)
            hop.on_up, hop.on_lost = self._up, self.post
            self._hop = hop
        return self._hop

    def _up(self) -> None:
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            if self._hop is not None:
                leg.start(self._hop)

    def _lost(self, how: End) -> None:
        """The set-ups that were out on it have been told by their transactions; those not sent never ran."""
        log(f"{self.entry.server}: connection {how.value}", f"sip.connection {how.value}")
        if self._hop is not None and self._hop.connection.ended:
            self._hop = None
            waiting, self.waiting = self.waiting, []
            for leg in waiting:
                leg.end(i.Outcome.UNREACHABLE)


class SipServers:
    """The server side of the SIP front."""

    def __init__(self, front: SipFront) -> None:
        self._front = front
        self._peers: dict[str, SipServer] = {}
        self._out: dict[str, SipServer] = {}  # by call: who has its open attempt

    def listed(self, entries: list[Listed]) -> None:
        """Tell the actors of their servers' states."""
        for entry in entries:
            peer = self._peers.get(entry.server)
            if peer is not None:
                peer.post(entry)
            elif not entry.removed:
                self._peers[entry.server] = SipServer(self._front, entry, self._idle)

    def _idle(self, peer: SipServer, name: str) -> None:
        """An attempt or a call there has ended; one that was removed and has none left is forgotten."""
        if self._out.get(name) is peer and name not in peer.legs:
            del self._out[name]
        if peer.over and self._peers.get(peer.entry.server) is peer:
            peer.close()
            del self._peers[peer.entry.server]

    def send(self, setup: Setup) -> None:
        """A set-up to a server that is not known is not sent."""
        peer = self._peers.get(setup.server)
        if peer is None:
            self._front.switch.ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
        else:
            self._out[setup.name] = peer
            peer.post(setup)

    def cancel(self, name: str, attempt: int) -> None:
        """To the server that has the attempt."""
        peer = self._out.get(name)
        if peer is not None:
            peer.post(CancelSetup(name, attempt))

    def release(self, server: str | None, name: str, cause: int) -> None:
        """A dialog that is not known here cannot be released."""
        peer = self._peers.get(server or "")
        if peer is not None:
            peer.post(Release(name, cause))
