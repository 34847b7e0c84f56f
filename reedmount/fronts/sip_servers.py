"""The server side of the SIP front: one actor for each call server, and the collection of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta

from reedmount import interface as i
from reedmount.core.actors import Actor
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import stamp
from reedmount.core.ports import CUT, CancelSetup, ListedServer, Release, Setup
from reedmount.fronts.retry_timer import MAX_RETRY_DELAY, RetryTimer
from reedmount.fronts.sip import SipFront
from reedmount.fronts.sip_server_leg import ServerLeg
from reedmount.net.connection import EndReason
from reedmount.sip.endpoint import TcpHop
from reedmount.sip.transaction import Hop

DIALOGS_PER_SLICE = 16  # asked for at once
DIALOG_SLICE_INTERVAL = timedelta(milliseconds=20)


class SipServer:
    """The actor of one call server, which is reached over UDP or TCP."""

    def __init__(
        self, front: SipFront, entry: ListedServer, on_idle: Callable[[SipServer, str], None]
    ) -> None:
        self.front, self.loop, self.entry = front, front.loop, entry
        self._on_idle = on_idle
        self.legs: dict[str, ServerLeg] = {}
        self.established_legs: dict[str, ServerLeg] = {}
        self.waiting: list[ServerLeg] = []  # for the connection to be established
        self._to_cancel: list[ServerLeg] = []  # their connection was lost: on the next one
        self._to_ask: deque[ServerLeg] = deque()  # whether the server has their dialogs
        self._hop: TcpHop | None = None
        self._reconnect_timer = RetryTimer(front.loop, self._reconnect)
        self._actor: Actor[Setup | CancelSetup | Release | ListedServer | EndReason] = Actor(
            front.loop, self._handle
        )
        self.post = self._actor.post

    @property
    def is_finished(self) -> bool:
        """Whether the server was removed from the pool and has no attempts or calls left."""
        return self.entry.removed and not (
            self.legs or self.established_legs or self.waiting or self._to_cancel or self._actor.pending
        )

    def ended(self, name: str) -> None:
        """Report the end of an attempt or a call, after the current callback."""
        self.loop.call_soon(lambda: self._on_idle(self, name))

    def close(self) -> None:
        """Stop the actor; its connection closes once all buffered data is sent."""
        self._actor.stop()
        if self._hop is not None:
            self._hop.on_lost = None
            self._hop.connection.close_after_send()

    def current_hop(self, used: Hop) -> Hop:
        """Return the hop to use now: the given one, or a new connection if that has ended."""
        if isinstance(used, TcpHop) and used.connection.ended:
            return self._connect()
        return used

    def cancel_when_connected(self, leg: ServerLeg) -> None:
        """Cancel an attempt whose connection was lost on the next connection."""
        self._to_cancel.append(leg)

    def _handle(self, message: Setup | CancelSetup | Release | ListedServer | EndReason) -> None:
        match message:
            case Setup():
                self._setup(message)
            case CancelSetup(name, number):
                leg = self.legs.get(name)
                if leg is not None and leg.setup.attempt == number:
                    leg.abort(i.Outcome.CANCELLED)
            case Release(name, cause):
                established_leg = self.established_legs.get(name)
                if established_leg is not None:
                    established_leg.release(cause)
            case ListedServer():
                self._update_entry(message)
            case _:
                self._on_connection_lost(message)

    def _update_entry(self, entry: ListedServer) -> None:
        previous, self.entry = self.entry, entry
        if not entry.serving:
            waiting, self.waiting = self.waiting, []
            for leg in waiting:
                leg.end(i.Outcome.NOT_SENT)
        end = entry.ended_before
        if end is not None and (previous.ended_before is None or end > previous.ended_before):
            self._end_calls_before(end)
        self.ended("")

    def _end_calls_before(self, instant: datetime) -> None:
        """End what was sent to a process that has ended, towards both sides in case it still runs.

        Of the other calls it may have answered some, so the server is asked for their dialogs.
        """
        attempts = [leg for leg in self.legs.values() if leg.reached_process_before(instant)]
        calls = [leg for leg in self.established_legs.values() if leg.reached_process_before(instant)]
        COUNTERS.add("server.process_ended")
        self.loop.trace("server.process_ended", server=self.entry.server, before=stamp(instant),
                        attempts=len(attempts), ended=len(calls),
                        kept=len(self.established_legs) - len(calls))  # fmt: skip
        for leg in attempts:
            leg.abort(i.Outcome.RESET)
        for leg in calls:
            leg.release(CUT)
            self.front.switch.call_lost(leg.setup.name, self.entry.server, "its process has ended")
        self._leave_connection_before(instant)
        asking = bool(self._to_ask)
        self._to_ask.extend(self.established_legs.values())
        if not asking:
            self._ask_for_dialogs()

    def _ask_for_dialogs(self) -> None:
        """Ask the server for the dialogs of some calls, a few at a time: it may be cold."""
        for _ in range(min(DIALOGS_PER_SLICE, len(self._to_ask))):
            leg = self._to_ask.popleft()
            if self.established_legs.get(leg.setup.name) is leg:
                leg.ask_for_dialog()
        if self._to_ask:
            self.loop.call_later(DIALOG_SLICE_INTERVAL, self._ask_for_dialogs)

    def _leave_connection_before(self, instant: datetime) -> None:
        """Connect anew for what comes, if the connection reaches a process that ended before an instant."""
        hop = self._hop
        if hop is None or not hop.connection.connected or hop.connection.created_at >= instant:
            return
        self._hop = None
        hop.on_lost = hop.on_connected = None
        hop.connection.close_after_send()
        if self._needs_connection:
            self._reconnect_timer.schedule()

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
            self.loop.trace("server.dial", server=self.entry.server, standing=len(self.established_legs))
            hop = TcpHop.dial(self.front.endpoint, self.entry.address, self.front.settings.connect_wait)
            hop.on_connected, hop.on_lost = self._on_connected, self.post
            self._hop = hop
        return self._hop

    def _on_connected(self) -> None:
        if self._hop is None:
            return
        to_cancel, self._to_cancel = self._to_cancel, []
        for leg in to_cancel:
            leg.cancel_on(self._hop)
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            leg.start(self._hop)
        if to_cancel:
            self.ended("")

    def _on_connection_lost(self, reason: EndReason) -> None:
        """End the waiting attempts, which were never sent, and find out whether the process still runs."""
        log(f"{self.entry.server}: connection {reason.value}", f"sip.connection {reason.value}")
        self.loop.trace("server.connection_ended", server=self.entry.server, how=f'"{reason.value}"',
                        open=len(self.legs), standing=len(self.established_legs))  # fmt: skip
        if self._hop is None or not self._hop.connection.ended:
            return
        if self.loop.clock.now() - self._hop.connection.opened_at >= MAX_RETRY_DELAY:
            self._reconnect_timer.reset()
        self._hop = None
        waiting, self.waiting = self.waiting, []
        for leg in waiting:
            leg.end(i.Outcome.UNREACHABLE)
        if reason is EndReason.REFUSED:
            self._process_ended("it refuses connections")
        elif self._needs_connection:
            self._reconnect_timer.schedule()

    @property
    def _needs_connection(self) -> bool:
        """Whether attempts have to be cancelled, or calls that the process may have lost are established."""
        self._to_cancel = [leg for leg in self._to_cancel if leg.awaits_final]
        return bool(self._to_cancel or self.established_legs)

    def _reconnect(self) -> None:
        """Connect again if needed: a refusal shows that the process has ended."""
        if not self._needs_connection or (self._hop is not None and not self._hop.connection.ended):
            return
        try:
            self._connect()
        except OSError as error:
            COUNTERS.add("server.no_socket")
            log(f"{self.entry.server}: {error}", "server.no_socket")
            self._reconnect_timer.schedule()

    def _process_ended(self, reason: str) -> None:
        """End the attempts and calls of a process that no longer runs, so that their callers are told."""
        to_cancel, self._to_cancel = self._to_cancel, []
        for leg in to_cancel:
            leg.process_ended()
        for leg in list(self.established_legs.values()):
            leg.dialog_ended()
            self.front.switch.call_lost(leg.setup.name, self.entry.server, reason)


class SipServers:
    """The server side of the SIP front."""

    def __init__(self, front: SipFront) -> None:
        self._front = front
        self._by_name: dict[str, SipServer] = {}
        self._open_attempts: dict[str, SipServer] = {}  # by call: the server with its open attempt

    def servers_changed(self, entries: list[ListedServer]) -> None:
        """Pass the changed entries to the actors of their servers."""
        for entry in entries:
            peer = self._by_name.get(entry.server)
            if peer is not None:
                peer.post(entry)
            elif not entry.removed:
                self._by_name[entry.server] = SipServer(self._front, entry, self._on_idle)

    def _on_idle(self, peer: SipServer, name: str) -> None:
        """Handle the end of an attempt or a call; forget a removed server that has none left."""
        if self._open_attempts.get(name) is peer and name not in peer.legs:
            del self._open_attempts[name]
        if peer.is_finished and self._by_name.get(peer.entry.server) is peer:
            peer.close()
            del self._by_name[peer.entry.server]

    def send(self, setup: Setup) -> None:
        """Send a set-up; if its server is not known, report it as not sent."""
        peer = self._by_name.get(setup.server)
        if peer is None:
            self._front.switch.attempt_ended(setup.name, setup.attempt, i.Outcome.NOT_SENT)
        else:
            self._open_attempts[setup.name] = peer
            peer.post(setup)

    def cancel(self, name: str, attempt: int) -> None:
        """Cancel an attempt at the server that has it."""
        peer = self._open_attempts.get(name)
        if peer is not None:
            peer.post(CancelSetup(name, attempt))

    def release(self, server: str | None, name: str, cause: int) -> None:
        """Release a call at its server; ignored if the server is not known."""
        peer = self._by_name.get(server or "")
        if peer is not None:
            peer.post(Release(name, cause))
