"""The SIP front: a back-to-back user agent between SIP clients and call servers, with one dialog per leg."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS
from reedmount.core.clock import ZERO
from reedmount.core.lifecycle import Need
from reedmount.core.ports import NORMAL, Offer, Progress, Setup
from reedmount.core.switch import Switch
from reedmount.fronts.thin_protocol import release_cause
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
NOT_ALLOWED_METHODS = frozenset(  # defined for SIP, answered 405 here
    ("REGISTER", "INFO", "UPDATE", "SUBSCRIBE", "NOTIFY", "REFER", "MESSAGE", "PRACK", "PUBLISH")
)
ANSWER_MARGIN = timedelta(milliseconds=40)
SECOND = timedelta(seconds=1)
PROGRESS_STATUSES = {
    Progress.RINGING: 180, Progress.FORWARDED: 181, Progress.QUEUED: 182, Progress.SESSION: 183,
}  # fmt: skip
SHUTDOWN_RETRY_AFTER = timedelta(seconds=5)  # for INVITEs during drain and shutdown
MAX_ABANDONED = 4096  # calls whose client's connection was lost, of which a repetition is refused
CALL_MEMORY = 10240  # bytes that the two legs of a call take until its end
BUSY_RETRY_AFTER = timedelta(seconds=2)  # for INVITEs while calls take all the memory that they may


MergeKey = tuple[str, str, int]


def request_merge_key(message: Message) -> MergeKey:
    """Return what a request shares with copies of it that took other paths (merged requests, 8.2.2.2)."""
    return (message.call_id, parameter(message.need("From"), "tag") or "", message.cseq[0])


@dataclass(frozen=True, slots=True)
class SipSettings:
    """The settings of the SIP front from the operator's file."""

    listen: Address
    default_class: str
    prefixes: tuple[tuple[str, str], ...]  # number prefix and class; the longest match applies
    waits: dict[str, timedelta]  # by class: how long a caller waits without Expires
    timers: Timers
    connect_wait: timedelta
    listen6: Address | None = None  # for call servers that are reached over IPv6

    def class_of(self, number: str, named: str | None) -> str:
        """Return the class of a call: the one named in X-Cos if it exists, else by the called number."""
        if named in self.waits:
            return named or self.default_class
        fitting = [(len(prefix), kind) for prefix, kind in self.prefixes if number.startswith(prefix)]
        return max(fitting)[1] if fitting else self.default_class


class DialogRecorder(Protocol):
    """Records the dialogs of established calls."""

    def call_established(
        self, name: str, server: str, attempts: int, sides: tuple[DialogState, ...], then: Callable[[], None]
    ) -> None:
        """Record a call that a server has answered; ``then`` is called once that is done or has timed out."""


class ServerSideLeg(Protocol):
    """The part of a server leg that the front uses to handle a BYE from the call server."""

    dialog: Dialog | None
    setup: Setup

    def dialog_ended(self) -> None:
        """Remove the leg: its dialog has ended."""


class Leg:
    """The client leg of a call: its INVITE transaction, then its dialog. Implements the port Caller."""

    def __init__(self, front: SipFront, transaction: ServerTransaction, name: str, tag: str) -> None:
        self.front, self.transaction, self.name, self.tag = front, transaction, name, tag
        self.merge_key = request_merge_key(transaction.request)
        self.dialog: Dialog | None = None
        self.acknowledged = False
        self._ok_response: bytes = b""
        self._release_cause: int | None = None

    @property
    def dialog_state(self) -> DialogState:
        """The dialog as it will be once the INVITE is answered, for instances that may have to release it."""
        invite = self.transaction.request
        local = response(invite, 200, tag=self.tag).need("To")
        return DialogState.from_dialog(dialogs.uas_dialog(invite, local), self.transaction.hop.reliable)

    @property
    def awaits_answer(self) -> bool:
        """Whether the INVITE still awaits its final response."""
        return self.transaction.state in (State.TRYING, State.PROCEEDING)

    def answered(self, name: str, description: bytes) -> None:
        """Send 200 and retransmit it until the ACK arrives."""
        invite = self.transaction.request
        extra = [("Contact", self.front.endpoint.contact(self.transaction.hop)), ("Allow", ALLOW),
                 *(("Record-Route", value) for value in invite.all("Record-Route")),
                 *([("Content-Type", "application/sdp")] if description else [])]  # fmt: skip
        answer = response(invite, 200, extra, description, self.tag)
        self.dialog = dialogs.uas_dialog(invite, answer.need("To"))
        self.front.legs_by_dialog[self.dialog.key] = self
        self._ok_response = answer.encode()
        self.transaction.respond(answer)
        timers = self.front.settings.timers
        self._retransmit_after(timers.t1)
        self.front.loop.call_later(timers.timeout, self._on_ack_timeout)

    def progressed(self, name: str, progress: Progress, description: bytes) -> None:
        """Send 180 to 183. Another UAS gets another tag, as it has an early dialog of its own (12.1)."""
        if progress is Progress.AGAIN:
            self.tag = self.front.token()
            return
        if not self.awaits_answer:
            return
        extra = [("Contact", self.front.endpoint.contact(self.transaction.hop)), ("Allow", ALLOW),
                 *(("Record-Route", value) for value in self.transaction.request.all("Record-Route")),
                 *([("Content-Type", "application/sdp")] if description else [])]  # fmt: skip
        status = PROGRESS_STATUSES[progress]
        self.transaction.respond(response(self.transaction.request, status, extra, description, self.tag))

    def refused(self, name: str, pause: timedelta) -> None:
        """Send 503 with Retry-After, in whole seconds as SIP defines it."""
        if not self.awaits_answer:
            return  # abandoned while its record was being stored
        extra = [("Retry-After", str(max(1, -(-pause // SECOND))))] if pause > ZERO else []
        self._send_final(503, extra)

    def failed(self, name: str) -> None:
        """Send 500."""
        if not self.awaits_answer:
            return
        self._send_final(500, [])

    def released(self, name: str, cause: int) -> None:
        """Send BYE, but not before the ACK has arrived (15.1.1)."""
        if not self.acknowledged:
            self._release_cause = cause
            return
        self.front.bye(self.dialog, self.transaction.hop, cause)
        self._remove()

    def ack_received(self) -> None:
        """Handle the ACK of our 200."""
        if self.acknowledged:
            return
        self.acknowledged = True
        if self._release_cause is not None:
            self.released(self.name, self._release_cause)

    def dialog_ended(self) -> None:
        """Remove the leg after the client's BYE."""
        self._remove()
        self.acknowledged = True

    def _send_final(self, status: int, extra: list[tuple[str, str]]) -> None:
        self.transaction.respond(response(self.transaction.request, status, extra, tag=self.tag))
        self.front.remove_leg(self)

    def _retransmit_after(self, span: timedelta) -> None:
        def retransmit() -> None:
            if not self.acknowledged and self.transaction.state is State.ACCEPTED:
                self.transaction.hop.send(self._ok_response)
                COUNTERS.add("sip.out.repeats")
                self._retransmit_after(min(2 * span, self.front.settings.timers.t2))

        self.front.loop.call_later(span, retransmit)

    def _on_ack_timeout(self) -> None:
        """Release a call whose 200 was never acknowledged: the dialog exists, so send BYE (13.3.1.4)."""
        if self.acknowledged or self.dialog is None:
            return
        COUNTERS.add("sip.never_acknowledged")
        self.acknowledged = True
        if self._release_cause is None:
            self.front.switch.caller_released(self.name, NORMAL)
        self.front.bye(self.dialog, self.transaction.hop, self._release_cause or NORMAL)
        self._remove()

    def _remove(self) -> None:
        if self.dialog is not None:
            self.front.legs_by_dialog.pop(self.dialog.key, None)
        self.front.remove_leg(self)


class SipFront:
    """The transaction user for both sides; it tells client legs from server legs by their dialogs."""

    def __init__(self, loop: Loop, switch: Switch, settings: SipSettings, seed: int) -> None:
        self.loop, self.switch, self.settings = loop, switch, settings
        self.first_choice: Callable[[str], int | None] = lambda _: None
        self.legs_by_dialog: dict[dialogs.DialogKey, Leg] = {}
        self.legs_by_name: dict[str, Leg] = {}
        self._by_merge_key: dict[MergeKey, Leg] = {}
        self._abandoned = BoundedDict[MergeKey, None](
            MAX_ABANDONED
        )  # calls that ran when their client's connection was lost
        self._by_transaction: dict[ServerTransaction, Leg] = {}  # by INVITE transaction, until the leg ends
        self.server_legs: dict[dialogs.DialogKey, ServerSideLeg] = {}
        self.recorder: DialogRecorder | None = None
        self._random = random.Random(seed)
        self._count = 0
        self.endpoint = Endpoint(loop, settings.listen, settings.timers, self, settings.listen6)
        self.endpoint.on_hop_lost = self._on_hop_lost
        switch.lifecycle.satisfy(Need.LISTENING)

    def remove_leg(self, leg: Leg) -> None:
        """Remove a client leg that has ended."""
        self.legs_by_name.pop(leg.name, None)
        self._by_transaction.pop(leg.transaction, None)
        if self._by_merge_key.get(leg.merge_key) is leg:
            del self._by_merge_key[leg.merge_key]

    def token(self) -> str:
        """Return a new unique token for a tag, branch or Call-ID."""
        self._count += 1
        return f"{self._random.getrandbits(64):016x}{self._count:x}"

    def via(self, hop: Hop) -> str:
        """Return a Via value with a new branch."""
        return self.endpoint.via(hop, MAGIC_COOKIE + self.token())

    def bye(self, dialog: Dialog | None, hop: Hop, cause: int) -> None:
        """End a leg with BYE; the response to it is ignored."""
        if dialog is None:
            return
        if isinstance(hop, TcpHop) and hop.connection.ended:
            # The connection of the set-up has ended: connect to the address in the peer's Contact.
            try:
                address = host_port(dialog.target)
            except SipError:
                COUNTERS.add("sip.released.untold")
                return
            hop = TcpHop.dial(self.endpoint, address, self.settings.connect_wait)
        reason = [("Reason", f"Q.850;cause={cause}")]
        self.endpoint.transactions.send(dialog.request("BYE", self.via(hop), reason), hop, lambda _: None)

    def release_for(self, side: DialogState, cause: int) -> None:
        """Release a leg of a failed border controller from our address, with its dialog's identifiers (RFC
        3261, section 15). The peer's address is that of the first route or of the remote target; host names
        are not resolved."""
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

    # --- TransactionUser ---

    def handle_request(self, transaction: ServerTransaction) -> None:
        """Handle a new request from a client or a call server."""
        message = transaction.request
        try:
            self._check(message)
            match message.method:
                case "INVITE":
                    self._handle_invite(transaction)
                case "CANCEL":
                    self._handle_cancel(transaction)
                case "BYE":
                    self._handle_bye(transaction)
                case "OPTIONS":
                    extra = [("Allow", ALLOW), ("Accept", "application/sdp")]
                    transaction.respond(response(message, 200, extra, tag=self.token()))
                case method:
                    known = method in NOT_ALLOWED_METHODS
                    COUNTERS.add("sip.in.not_allowed" if known else "sip.in.unknown")
                    transaction.respond(
                        response(message, 405 if known else 501, [("Allow", ALLOW)], tag=self.token())
                    )
        except SipError as error:
            COUNTERS.add("sip.in.malformed")
            unsupported = [("Unsupported", message.get("Require") or "")] if error.status == 420 else []
            transaction.respond(response(message, error.status, unsupported, tag=self.token()))

    def request_failed(self, transaction: ServerTransaction) -> None:
        """Abandon the call of a request whose handling failed, and answer it with 500."""
        leg = self._by_transaction.get(transaction)
        if leg is not None and leg.awaits_answer:
            self.switch.caller_abandoned(leg.name)
            self.remove_leg(leg)
        if transaction.state in (State.TRYING, State.PROCEEDING):
            transaction.respond(response(transaction.request, 500, tag=self.token()))

    def handle_ack(self, message: Message) -> None:
        """Handle the ACK of a 200."""
        leg = self.legs_by_dialog.get(dialogs.dialog_key(message))
        if leg is None:
            COUNTERS.add("sip.in.dropped")
        else:
            leg.ack_received()

    def unmatched_response(self, message: Message, hop: Hop) -> None:
        """Drop an unmatched response. The call of so late a 2xx was released when the 2xx first arrived."""
        COUNTERS.add("sip.in.dropped")

    @staticmethod
    def _check(message: Message) -> None:
        if message.get("Max-Forwards") == "0" and message.method != "OPTIONS":
            raise SipError(483, "too many hops")
        if message.get("Require") and message.method not in ("CANCEL", "ACK"):
            raise SipError(420, "an extension is required")

    def _handle_invite(self, transaction: ServerTransaction) -> None:
        message = transaction.request
        if parameter(message.need("To"), "tag") is not None:
            key = dialogs.dialog_key(message)
            known = key in self.legs_by_dialog or key in self.server_legs
            # The session description of an established call cannot be changed; the call continues as it is.
            transaction.respond(response(message, 488 if known else 481))
            return
        if not message.get("Contact"):
            raise SipError(400, "Contact is missing")
        if request_merge_key(message) in self._abandoned:
            # Its client lost its connection and comes again: the call may have run.
            COUNTERS.add("sip.in.came_again")
            extra = [("Retry-After", str(BUSY_RETRY_AFTER // SECOND))]
            transaction.respond(response(message, 503, extra, tag=self.token()))
            return
        if request_merge_key(message) in self._by_merge_key:
            # 8.2.2.2: the call would be set up twice.
            raise SipError(482, "merged request: the same call arrived by another path")
        if self.switch.lifecycle.shutdown is not None:
            COUNTERS.add("sip.refused_leaving")
            extra = [("Retry-After", str(SHUTDOWN_RETRY_AFTER // SECOND))]
            transaction.respond(response(message, 503, extra, tag=self.token()))
            return
        number = user_of(message.uri)
        kind = self.settings.class_of(number, message.get("X-Cos"))
        wait = self._answer_timeout(message, kind)
        if isinstance(transaction.hop, TcpHop) and transaction.hop.connection.peer_finished:
            COUNTERS.add("sip.in.left")  # its client has closed since: an answer could not be delivered
            transaction.end()
            return
        gives_up_at = self.loop.clock.now() + wait
        name = f"sip-{self.token()}"
        offer = Offer(
            name=name,
            call_class=kind,
            number=number,
            first_choice=self.first_choice(number),
            answer_by=gives_up_at - ANSWER_MARGIN,
            description=message.body,
            caller_gives_up_at=gives_up_at,
            reference=message.call_id,
            size=message.size,
            overhead=CALL_MEMORY,
        )
        if not self.switch.has_room_for(offer, proven=True):
            extra = [("Retry-After", str(BUSY_RETRY_AFTER // SECOND))]
            transaction.respond(response(message, 503, extra, tag=self.token()))
            return
        transaction.respond(response(message, 100))
        leg = self.legs_by_name[name] = Leg(self, transaction, name, self.token())
        self._by_merge_key[leg.merge_key] = self._by_transaction[transaction] = leg
        if not self.switch.offer(offer, leg):
            leg.failed(name)

    def _answer_timeout(self, message: Message, kind: str) -> timedelta:
        """Return how long the caller waits: its Expires, but at most the time of its class."""
        text = message.get("Expires")
        class_wait = self.settings.waits[kind]
        if text is None:
            return class_wait
        if not text.isdecimal() or len(text) > 9:
            raise SipError(400, "Expires is not a number of seconds")
        return min(class_wait, int(text) * SECOND)

    def _handle_cancel(self, transaction: ServerTransaction) -> None:
        invite = self.endpoint.transactions.find_cancelled_invite(transaction.request)
        if invite is None:
            transaction.respond(response(transaction.request, 481, tag=self.token()))
            return
        leg = self._by_transaction.get(invite)
        transaction.respond(response(transaction.request, 200, tag=leg.tag if leg else self.token()))
        if leg is not None and leg.awaits_answer:
            self.switch.caller_abandoned(leg.name)
            leg._send_final(487, [])

    def _handle_bye(self, transaction: ServerTransaction) -> None:
        message = transaction.request
        key = dialogs.dialog_key(message)
        leg, server_leg = self.legs_by_dialog.get(key), self.server_legs.get(key)
        dialog = leg.dialog if leg else server_leg.dialog if server_leg else None
        if dialog is None:
            transaction.respond(response(message, 481))
        elif not dialog.in_order(message):
            transaction.respond(response(message, 500))
        else:
            transaction.respond(response(message, 200))
            if leg is not None:
                leg.dialog_ended()
                self.switch.caller_released(leg.name, release_cause(message))
            elif server_leg is not None:
                server_leg.dialog_ended()
                self.switch.server_released(server_leg.setup.name, release_cause(message))

    def _remember_abandoned(self, leg: Leg) -> None:
        if not self.switch.has_been_sent(leg.name):
            return
        self._abandoned[leg.merge_key] = None

    def _on_hop_lost(self, transactions: list[ServerTransaction]) -> None:
        """Abandon the calls being set up over a lost client connection: their callers cannot be answered."""
        for transaction in transactions:
            leg = self._by_transaction.get(transaction)
            if leg is not None and leg.awaits_answer:
                COUNTERS.add("sip.clients_lost")
                self._remember_abandoned(leg)
                self.switch.caller_abandoned(leg.name)
                leg.transaction.end()
                self.remove_leg(leg)
