"""The server leg of a call in the SIP front: an attempt at a call server, then its dialog."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime
from typing import Protocol

from reedmount import interface as i
from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS
from reedmount.core.ports import CUT, ListedServer, Progress, Setup
from reedmount.fronts.sip import ALLOW, SECOND, SipFront
from reedmount.net.connection import format_address
from reedmount.net.loop import Loop
from reedmount.sip import dialog as dialogs
from reedmount.sip.dialog import Dialog, DialogState
from reedmount.sip.endpoint import TcpHop
from reedmount.sip.message import Message, parameter, request
from reedmount.sip.transaction import ClientTransaction, Hop, State

OUTCOMES = {
    480: (i.Outcome.FAILED, i.Cause.OTHER),
    486: (i.Outcome.FAILED, i.Cause.NUMBER_BUSY),
    487: (i.Outcome.CANCELLED, i.Cause.NONE),
    503: (i.Outcome.FULL, i.Cause.PROCESSOR_FULL),
    408: (i.Outcome.RESET, i.Cause.NONE),
    504: (i.Outcome.RESET, i.Cause.NONE),
    600: (i.Outcome.FAILED, i.Cause.NUMBER_BUSY),
}
PROGRESS = {180: Progress.RINGING, 181: Progress.FORWARDED, 182: Progress.QUEUED, 183: Progress.SESSION}
UNKNOWN_TRANSACTION = 481
NO_DIALOG = "its server does not know its dialog"
DIALOG_ENDED = (408, 481)  # statuses that end the dialog of their request
MAX_FORKS = 16  # limit of forked answers to one set-up that are released
MAX_PROGRESS = 32  # provisional responses passed on per attempt; a server may send them without end


class ServerPeer(Protocol):
    """What a leg needs of the actor of its call server."""

    front: SipFront
    loop: Loop
    entry: ListedServer
    legs: dict[str, ServerLeg]
    established_legs: dict[str, ServerLeg]
    waiting: list[ServerLeg]

    def cancel_when_connected(self, leg: ServerLeg) -> None:
        """Cancel an attempt whose connection was lost on the next connection."""

    def ended(self, name: str) -> None:
        """Report the end of an attempt or a call, after the current callback."""

    def current_hop(self, used: Hop) -> Hop:
        """Return the hop to use now: the given one, or a new connection if that has ended."""


class ServerLeg:
    """An attempt at a call server: its INVITE transaction, then its dialog."""

    def __init__(self, peer: ServerPeer, setup: Setup) -> None:
        self.peer, self.setup = peer, setup
        self.dialog: Dialog | None = None
        self.hop: Hop | None = None
        self.transaction: ClientTransaction | None = None
        self.ended = False  # the core has been notified
        self.sent_at: datetime | None = None  # None: it waits for a connection
        self._cancel_outcome: i.Outcome | None = None  # set once the attempt is aborted
        self._cancelled = False
        self._connection_lost = False  # and no other has taken its place
        self._ack: Message | None = None
        self._fork_tag: str | None = None  # To tag of the UAS whose progress was sent to the caller
        self._released_forks: dict[str, Dialog] = {}  # by To tag: further answers (forking)
        self._progress_count = 0
        self._awaiting_record = False  # the 200 is held until the call is recorded
        self.timer: Timer = peer.loop.call_later(setup.give_up, lambda: self.abort(i.Outcome.TIMED_OUT))

    def start(self, hop: Hop) -> None:
        """Send the INVITE."""
        front = self.peer.front
        entry, setup = self.peer.entry, self.setup
        host_port = format_address(entry.address)
        target = f"sip:{setup.number}@{host_port};transport={'tcp' if hop.reliable else 'udp'}"
        host = format_address(front.endpoint.local_address(hop.ipv6)).rpartition(":")[0]
        invite = request("INVITE", target, [
            ("Via", front.via(hop)), ("Max-Forwards", "70"),
            ("From", f"<sip:reedmount@{host}>;tag={front.token()}"),
            ("To", f"<sip:{setup.number}@{host_port.rpartition(':')[0]}>"),
            ("Call-ID", f"{front.token()}@{host}"), ("CSeq", "1 INVITE"),
            ("Contact", front.endpoint.contact(hop)), ("Allow", ALLOW), ("X-Cos", setup.call_class),
            ("Expires", str(max(1, -(-setup.give_up // SECOND)))),
            *([("Content-Type", "application/sdp")] if setup.description else []),
        ], setup.description)  # fmt: skip
        self.hop, self.sent_at = hop, self.peer.loop.clock.now()
        self.setup = replace(setup, description=b"")  # the INVITE has it
        self.transaction = front.endpoint.transactions.send(
            invite, hop, self._handle_response, self._on_connection_lost
        )

    def abort(self, outcome: i.Outcome) -> None:
        """Abort the attempt on timeout or at the module's request: CANCEL as soon as that is allowed."""
        if self.ended:
            return
        self._cancel_outcome = outcome
        if self.transaction is None:
            self.peer.waiting = [leg for leg in self.peer.waiting if leg is not self]
        elif self.transaction.state is State.PROCEEDING:
            self._cancel()
        else:
            # No CANCEL may be sent before a provisional response (9.1), which triggers it if it comes.
            self.transaction.limit_wait()
        self.end(outcome)

    def end(self, outcome: i.Outcome, cause: i.Cause = i.Cause.NONE) -> None:
        """End the attempt and notify the core, once."""
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        self.peer.legs.pop(self.setup.name, None)
        self.peer.ended(self.setup.name)
        self.peer.front.switch.attempt_ended(self.setup.name, self.setup.attempt, outcome, cause)

    def release(self, cause: int) -> None:
        """Release the call at the server after the caller's side has ended."""
        if self.hop is not None:
            self.peer.front.bye(self.dialog, self.peer.current_hop(self.hop), cause)
        self.dialog_ended()

    def dialog_ended(self) -> None:
        """Remove the leg: its dialog has ended."""
        if self.dialog is not None:
            self.peer.front.server_legs.pop(self.dialog.key, None)
        self.peer.established_legs.pop(self.setup.name, None)
        self.peer.ended(self.setup.name)

    def ask_for_dialog(self) -> None:
        """Ask the server whether it has the dialog, since another process may be at its address."""
        if self.dialog is None or self.hop is None:
            return
        COUNTERS.add("server.dialogs_asked_for")
        hop = self.peer.current_hop(self.hop)
        options = self.dialog.request("OPTIONS", self.peer.front.via(hop))
        self.peer.front.endpoint.transactions.send(options, hop, self._handle_dialog_response)

    def _handle_dialog_response(self, message: Message | None) -> None:
        """The dialog has ended where the server does not know it or does not respond (RFC 3261, 12.2.1.2)."""
        if message is not None and message.status not in DIALOG_ENDED:
            return
        if self.peer.established_legs.get(self.setup.name) is not self:
            return
        COUNTERS.add("calls.unproven")
        if message is None:
            self.release(CUT)
        else:
            self.dialog_ended()
        self.peer.front.switch.call_lost(self.setup.name, self.peer.entry.server, NO_DIALOG)

    def reached_process_before(self, instant: datetime) -> bool:
        """Whether the process that got the attempt ran before an instant.

        The attempt was sent before it, or on a connection that was dialled before it.
        """
        if self.sent_at is None:
            return False
        dialled_at = self.hop.connection.created_at if isinstance(self.hop, TcpHop) else self.sent_at
        return min(self.sent_at, dialled_at) < instant

    @property
    def awaits_final(self) -> bool:
        """Whether the server may still answer the INVITE."""
        return self.transaction is not None and self.transaction.awaits_final

    def cancel_on(self, hop: Hop) -> None:
        """Cancel the attempt on a connection that has taken the place of a lost one."""
        if self.transaction is None or not self.awaits_final:
            return
        self.hop, self._connection_lost, self._cancelled = hop, False, False
        self.transaction.move(hop)
        self._cancel()

    def process_ended(self) -> None:
        """End the attempt: its connection was lost, and the server's process no longer runs."""
        if self.transaction is not None and self.awaits_final:
            self.transaction.end()
        self.end(self._cancel_outcome or i.Outcome.RESET)

    def _on_connection_lost(self) -> None:
        """The server's transaction goes on without the connection, so the attempt has to be cancelled.

        It stays out until its final response, or until the server says that it does not know it. Without a
        connection, CANCEL is sent even if there was no provisional response, which may have been lost.
        """
        self._connection_lost = True
        if self.transaction is None or not self.awaits_final:
            return
        COUNTERS.add("server.lost_under_setup")
        if self._cancel_outcome is None:
            self._cancel_outcome = i.Outcome.RESET
        self.transaction.limit_wait()
        self.peer.cancel_when_connected(self)

    def _cancel(self) -> None:
        if self._cancelled or self._connection_lost or self.transaction is None or self.hop is None:
            return
        self._cancelled = True
        self.transaction.limit_wait()
        own = self.transaction.request
        headers = [(name, own.need(name)) for name in ("Via", "Max-Forwards", "From", "To", "Call-ID")]
        message = request("CANCEL", own.uri, [*headers, ("CSeq", f"{own.cseq[0]} CANCEL")])
        self.peer.front.endpoint.transactions.send(message, self.hop, self._handle_cancel_response)

    def _handle_cancel_response(self, message: Message | None) -> None:
        """481: the server has no such INVITE, so no final response to it will come."""
        if message is not None and message.status == UNKNOWN_TRANSACTION:
            self.end(self._cancel_outcome or i.Outcome.CANCELLED)

    def _handle_response(self, message: Message | None) -> None:
        if message is None:
            if self.dialog is not None and not self.ended:
                self.release(CUT)  # handling its 200 failed: do not leave the call up at the server
            self.end(i.Outcome.RESET if self.hop is not None and self.hop.reliable else i.Outcome.TIMED_OUT)
        elif message.status < 200:
            if self._cancel_outcome is not None:
                self._cancel()
            else:
                self._handle_provisional(message)
        elif message.status >= 300:
            outcome, cause = OUTCOMES.get(message.status, (i.Outcome.FAILED, i.Cause.OTHER))
            if outcome is i.Outcome.CANCELLED and self._cancel_outcome is not None:
                outcome = self._cancel_outcome
            self.end(outcome, cause)
        else:
            self._handle_2xx(message)

    def _handle_provisional(self, message: Message) -> None:
        """Pass on progress, only that of the first UAS if the server forks; 100 is hop-by-hop."""
        progress = PROGRESS.get(message.status)
        if progress is None:
            return
        self._progress_count += 1
        tag = parameter(message.get("To") or "", "tag") or ""
        if self._progress_count > MAX_PROGRESS or self._fork_tag not in (None, tag):
            COUNTERS.add("progress.not_passed")
            return
        self._fork_tag = tag
        self.peer.front.switch.progressed(self.setup.name, self.setup.attempt, progress, message.body)

    def _release_fork(self, message: Message) -> bool:
        """Acknowledge and release a 200 of another UAS than the accepted one (13.2.2.4), else False."""
        tag = parameter(message.need("To"), "tag") or ""
        if self.dialog is None or self.transaction is None or self.hop is None or self.dialog.key[2] == tag:
            return False
        if tag not in self._released_forks and len(self._released_forks) < MAX_FORKS:
            COUNTERS.add("server.forked_answers")
            other = self._released_forks[tag] = dialogs.uac_dialog(self.transaction.request, message)
            hop = self.peer.current_hop(self.hop)
            hop.send(other.request("ACK", self.peer.front.via(hop)).encode())
            self.peer.front.bye(other, hop, CUT)
        elif tag in self._released_forks:
            fork_dialog = dialogs.uac_dialog(self.transaction.request, message)  # its ACK was lost
            hop = self.peer.current_hop(self.hop)
            hop.send(fork_dialog.request("ACK", self.peer.front.via(hop)).encode())
        return True

    def _handle_2xx(self, message: Message) -> None:
        """Acknowledge a 200, also a retransmitted one; if its attempt has ended, release the call."""
        if self.transaction is None or self.hop is None or self._release_fork(message):
            return
        if self._awaiting_record:
            return  # retransmitted before the call was recorded
        retransmission = self.dialog is not None
        if not retransmission:
            self.dialog = dialogs.uac_dialog(self.transaction.request, message)
            front, leg = self.peer.front, self.peer.front.legs_by_name.get(self.setup.name)
            if front.recorder is not None and leg is not None and not self.ended:
                self._awaiting_record = True
                sides = (leg.dialog_state, DialogState.from_dialog(self.dialog, self.hop.reliable))
                server, attempts = self.peer.entry.server, self.setup.attempt + 1
                front.recorder.call_established(
                    self.setup.name, server, attempts, sides, lambda: self._on_recorded(message)
                )
                return
        self._acknowledge(message, retransmission)

    def _on_recorded(self, message: Message) -> None:
        """Establish the call once its dialogs are recorded or recording has timed out; not earlier."""
        self._awaiting_record = False
        self._acknowledge(message, False)

    def _acknowledge(self, message: Message, retransmission: bool) -> None:
        if self.dialog is None or self.hop is None:
            return
        hop = self.peer.current_hop(self.hop)
        if self._ack is None:
            self._ack = self.dialog.request("ACK", self.peer.front.via(hop))
        hop.send(self._ack.encode())
        if retransmission:
            return
        front, name = self.peer.front, self.setup.name
        self.timer.cancel()
        front.server_legs[self.dialog.key] = self
        if not self.ended:
            if self._fork_tag not in (None, self.dialog.key[2]):
                front.switch.progressed(name, self.setup.attempt, Progress.AGAIN)
            accepted = front.switch.established(name, self.setup.attempt, message.body)
            self.ended = True
            self.peer.legs.pop(name, None)
            if accepted:
                self.peer.established_legs[name] = self
                self.peer.ended(name)  # the attempt, not the call
                return
        COUNTERS.add("server.late_answers")
        self.release(CUT)
