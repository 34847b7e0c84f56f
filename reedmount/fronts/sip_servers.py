"""The server side of the SIP front: attempts at call servers, each a dialog, and the servers' actors."""

from __future__ import annotations

from collections.abc import Callable

from reedmount import interface as i
from reedmount.core.actors import Actor, Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.core.ports import CUT, CancelSetup, ListedServer, Progress, Release, Setup
from reedmount.fronts.sip import ALLOW, SECOND, SipFront
from reedmount.net.connection import EndReason, format_address
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
MAX_FORKS = 16  # far ends of one set-up that are released
MAX_PROGRESS = 32  # of an attempt: a server that rings without end must not make us do the same


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
        self._held_up = False  # its answer waits until it is kept
        self.timer: Timer = peer.loop.call_later(setup.give_up, lambda: self.call_off(i.Outcome.TIMED_OUT))

    def start(self, hop: Hop) -> None:
        """Send the INVITE."""
        front = self.peer.front
        entry, setup = self.peer.entry, self.setup
        place = format_address(entry.address)
        target = f"sip:{setup.number}@{place};transport={'tcp' if hop.reliable else 'udp'}"
        host = format_address(front.endpoint.local_address(hop.ipv6)).rpartition(":")[0]
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
        self.transaction = front.endpoint.transactions.send(invite, hop, self._answered)

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
            self.transaction.stop_retransmitting()
        self.end(outcome)

    def end(self, outcome: i.Outcome, cause: i.Cause = i.Cause.NONE) -> None:
        """Tell the core, once."""
        if self.ended:
            return
        self.ended = True
        self.timer.cancel()
        self.peer.legs.pop(self.setup.name, None)
        self.peer.ended(self.setup.name)
        self.peer.front.switch.attempt_ended(self.setup.name, self.setup.attempt, outcome, cause)

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
        self.peer.front.endpoint.transactions.send(message, self.hop, lambda _: None)

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
        if self._told > MAX_PROGRESS or self._fork not in (None, fork):
            COUNTERS.add("progress.not_passed")
            return
        self._fork = fork
        self.peer.front.switch.progressed(self.setup.name, self.setup.attempt, progress, message.body)

    def _release_fork(self, message: Message) -> bool:
        """A 200 of another far end than the one that is kept: it is acknowledged and released (13.2.2.4)."""
        tag = parameter(message.need("To"), "tag") or ""
        if self.dialog is None or self.transaction is None or self.hop is None or self.dialog.key[2] == tag:
            return False
        if tag not in self._forks and len(self._forks) < MAX_FORKS:
            COUNTERS.add("server.forked_answers")
            other = self._forks[tag] = dialogs.uac_dialog(self.transaction.request, message)
            self.hop.send(other.request("ACK", self.peer.front.via(self.hop)).encode())
            self.peer.front.bye(other, self.peer.hop_for(self.hop), CUT)
        elif tag in self._forks:
            again = dialogs.uac_dialog(self.transaction.request, message)  # its ACK was lost
            self.hop.send(again.request("ACK", self.peer.front.via(self.hop)).encode())
        return True

    def _stands(self, message: Message) -> None:
        """Acknowledge a 200, also a repeated one; one that nobody waits for any more is released."""
        if self.transaction is None or self.hop is None or self._release_fork(message):
            return
        if self._held_up:
            return  # repeated before its first copy was kept
        again = self.dialog is not None
        if not again:
            self.dialog = dialogs.uac_dialog(self.transaction.request, message)
            front, leg = self.peer.front, self.peer.front.names.get(self.setup.name)
            if front.recorder is not None and leg is not None and not self.ended:
                self._held_up = True
                sides = (leg.side, DialogState.from_dialog(self.dialog, self.hop.reliable))
                server, attempts = self.peer.entry.server, self.setup.attempt + 1
                front.recorder.call_established(
                    self.setup.name, server, attempts, sides, lambda: self._kept(message)
                )
                return
        self._acknowledge(message, again)

    def _kept(self, message: Message) -> None:
        """Its dialogs outlive us, or it is served without: not before that does either side stand."""
        self._held_up = False
        self._acknowledge(message, False)

    def _acknowledge(self, message: Message, again: bool) -> None:
        if self.dialog is None or self.hop is None:
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
            stands = front.switch.established(name, self.setup.attempt, message.body)
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
        self, front: SipFront, entry: ListedServer, on_idle: Callable[[SipServer, str], None]
    ) -> None:
        self.front, self.loop, self.entry = front, front.loop, entry
        self._on_idle = on_idle
        self.legs: dict[str, ServerLeg] = {}
        self.standing: dict[str, ServerLeg] = {}
        self.waiting: list[ServerLeg] = []  # for the connection to come up
        self._hop: TcpHop | None = None
        self._actor: Actor[Setup | CancelSetup | Release | ListedServer | EndReason] = Actor(
            front.loop, self._handle
        )
        self.post = self._actor.post

    @property
    def over(self) -> bool:
        """Whether it was removed from the pool and nothing of ours is left there."""
        return self.entry.removed and not (self.legs or self.standing or self.waiting or self._actor.pending)

    def ended(self, name: str) -> None:
        """An attempt or a call has come to its end here."""
        self.loop.call_soon(lambda: self._on_idle(self, name))

    def close(self) -> None:
        """It is forgotten; its connection closes once all is written."""
        self._actor.stop()
        if self._hop is not None:
            self._hop.on_lost = None
            self._hop.connection.close_after_send()

    def hop_for(self, used: Hop) -> Hop:
        """The way to the server now: what was used, or the connection that has followed it."""
        if isinstance(used, TcpHop) and used.connection.ended:
            return self._connect()
        return used

    def _handle(self, word: Setup | CancelSetup | Release | ListedServer | EndReason) -> None:
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
            case ListedServer():
                self._news(word)
            case _:
                self._lost(word)

    def _news(self, entry: ListedServer) -> None:
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
            leg.start(self.front.endpoint.udp_hop(self.entry.address))
        else:
            hop = self._connect()
            if hop.connection.connected:
                leg.start(hop)
            else:
                self.waiting.append(leg)

    def _connect(self) -> TcpHop:
        if self._hop is None or self._hop.connection.ended:
            hop = TcpHop.dial(self.front.endpoint, self.entry.address, self.front.settings.connect_wait)
            hop.on_connected, hop.on_lost = self._up, self.post
            self._hop = hop
        return self._hop

    def _up(self) -> None:
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            if self._hop is not None:
                leg.start(self._hop)

    def _lost(self, how: EndReason) -> None:
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

    def servers_changed(self, entries: list[ListedServer]) -> None:
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
            self._front.switch.attempt_ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
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
