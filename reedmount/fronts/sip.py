"""The SIP front: a back-to-back user agent with a dialog a leg, between SIP clients and SIP call servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from reedmount.core.checks import COUNTERS
from reedmount.core.clock import ZERO
from reedmount.core.lifecycle import Need
from reedmount.core.ports import NORMAL, Offer, Progress, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.thin_protocol import cause_of
from reedmount.net.connection import Address
from reedmount.net.loop import Loop
from reedmount.sip import dialog as dialogs
from reedmount.sip.dialog import Dialog, DialogState
from reedmount.sip.endpoint import Endpoint, TcpHop
from reedmount.sip.message import (
    Message,
    SipError,
    host_port,
    parameter,
    response,
    user_of,
)  # fmt: skip
from reedmount.sip.transaction import MAGIC_COOKIE, Hop, ServerTransaction, State, Timers

ALLOW = "INVITE, ACK, BYE, CANCEL, OPTIONS"
KNOWN_METHODS = frozenset(  # known to SIP, not allowed here
    ("REGISTER", "INFO", "UPDATE", "SUBSCRIBE", "NOTIFY", "REFER", "MESSAGE", "PRACK", "PUBLISH")
)
ANSWER_EARLY = timedelta(milliseconds=40)
SECOND = timedelta(seconds=1)
STATUSES = {
    Progress.RINGING: 180, Progress.FORWARDED: 181, Progress.QUEUED: 182, Progress.SESSION: 183,
}  # fmt: skip
LEAVING_RETRY = timedelta(seconds=5)  # for INVITEs that come while it drains or ends


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


class DialogRecorder(Protocol):
    """Who keeps the dialogs of calls that stand."""

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Callable[[], None]
    ) -> None:
        """A call server has answered; ``then`` goes on once that is kept, or could not be in time."""


class FarLeg(Protocol):
    """What the front has to know of a server's leg: a BYE that comes from there finds it by its dialog."""

    dialog: Dialog | None
    setup: Setup

    def over(self) -> None:
        """Its dialog is at its end."""


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
    def side(self) -> DialogState:
        """Its dialog as it will be once it is answered, for whoever may have to end it."""
        invite = self.transaction.request
        local = response(invite, 200, tag=self.tag).need("To")
        return DialogState.from_dialog(dialogs.uas_dialog(invite, local), self.transaction.hop.reliable)

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
        self.dialog = dialogs.uas_dialog(invite, answer.need("To"))
        self.front.legs[self.dialog.key] = self
        self._answer = answer.encode()
        self.transaction.respond(answer)
        timers = self.front.settings.timers
        self._repeat(timers.t1)
        self.front.loop.call_later(timers.timeout, self._never_acknowledged)

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
        if not self.open:
            return  # given up while its record was being kept
        extra = [("Retry-After", str(max(1, -(-pause // SECOND))))] if pause > ZERO else []
        self._final(503, extra)

    def failed(self, name: str) -> None:
        """500."""
        if not self.open:
            return
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

        self.front.loop.call_later(span, again)

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
        self.legs: dict[dialogs.DialogKey, Leg] = {}
        self.names: dict[str, Leg] = {}
        self._asked: dict[Asked, Leg] = {}
        self._asking: dict[ServerTransaction, Leg] = {}  # by the INVITE's transaction
        self.server_legs: dict[dialogs.DialogKey, FarLeg] = {}
        self.recorder: DialogRecorder | None = None
        self._random = random.Random(seed)
        self._count = 0
        self.endpoint = Endpoint(loop, settings.listen, settings.timers, self, settings.listen6)
        self.endpoint.on_hop_lost = self._hop_lost
        switch.lifecycle.satisfy(Need.LISTENING)

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
        return self.endpoint.via(hop, MAGIC_COOKIE + self.token())

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
        self.endpoint.transactions.send(dialog.request("BYE", self.via(hop), reason), hop, lambda _: None)

    def release_for(self, side: DialogState, cause: int) -> None:
        """End a leg of a border controller that is gone, from our address, with its dialog's identifiers (RFC
        3261, section 15). Its first route or its target says where the peer is; names are not looked up."""
        try:
            address = host_port(side.next_hop)
        except SipError:
            COUNTERS.add("sip.released.untold")
            return
        endpoint = self.endpoint
        hop: Hop = endpoint.udp_hop(address)
        if side.transport == "tcp":
            hop = TcpHop.dial(endpoint, address, self.settings.connect_wait)
        self.bye(side.dialog, hop, cause)

    # --- the User of the transactions ---

    def handle_request(self, transaction: ServerTransaction) -> None:
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

    def request_failed(self, transaction: ServerTransaction) -> None:
        """Serving a request went wrong: its call is given up, and its client hears 500."""
        leg = self._asking.get(transaction)
        if leg is not None and leg.open:
            self.switch.caller_abandoned(leg.name)
            self.forget(leg)
        if transaction.state in (State.TRYING, State.PROCEEDING):
            transaction.respond(response(transaction.request, 500, tag=self.token()))

    def handle_ack(self, message: Message) -> None:
        """The ACK of a 200."""
        leg = self.legs.get(dialogs.dialog_key(message))
        if leg is None:
            COUNTERS.add("sip.in.dropped")
        else:
            leg.heard_ack()

    def unmatched_response(self, message: Message, hop: Hop) -> None:
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
            key = dialogs.dialog_key(message)
            known = key in self.legs or key in self.server_legs
            # The description of a call that stands is not changed here: it goes on as it is.
            transaction.respond(response(message, 488 if known else 481))
            return
        if not message.get("Contact"):
            raise SipError(400, "Contact is missing")
        if asked_by(message) in self._asked:
            raise SipError(482, "the same call came another way")  # 8.2.2.2: it would be set up twice
        if self.switch.lifecycle.shutdown is not None:
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
        leaves_at = self.loop.clock.now() + wait
        offer = Offer(
            name=name,
            call_class=kind,
            number=number,
            first_choice=self.first_choice(number),
            answer_by=leaves_at - ANSWER_EARLY,
            description=message.body,
            caller_gives_up_at=leaves_at,
            reference=message.call_id,
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
        invite = self.endpoint.transactions.find_cancelled_invite(transaction.request)
        if invite is None:
            transaction.respond(response(transaction.request, 481, tag=self.token()))
            return
        leg = self._asking.get(invite)
        transaction.respond(response(transaction.request, 200, tag=leg.tag if leg else self.token()))
        if leg is not None and leg.open:
            self.switch.caller_abandoned(leg.name)
            leg._final(487, [])

    def _bye(self, transaction: ServerTransaction) -> None:
        message = transaction.request
        key = dialogs.dialog_key(message)
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
                self.switch.caller_abandoned(leg.name)
                leg.transaction.end()
                self.forget(leg)
