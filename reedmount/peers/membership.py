"""Runs the membership protocol on the event loop: datagrams, one timer, admin views, change notifications."""

from __future__ import annotations

import json
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from reedmount.core.actors import Timer
from reedmount.core.background import Slices, Urgency
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import micros
from reedmount.members.knowledge import Observation
from reedmount.members.outbox import ObservationsReceived, Output, QuorumChanged, Send
from reedmount.members.protocol import Protocol
from reedmount.members.quorum import QuorumState
from reedmount.members.record import Record
from reedmount.members.view import Change
from reedmount.members.wire import MAX_DATAGRAM
from reedmount.net.connection import Address, address_family, format_address
from reedmount.net.loop import READ, Loop
from reedmount.peers.settings import MembershipSettings

MAX_READS_PER_TURN = 64  # datagrams read per turn of the loop
MAX_QUEUED = 512  # received datagrams waiting to be processed; more are dropped, as a network may do
MAX_DELAY = timedelta(milliseconds=20)  # that received datagrams and due timers may wait for calls
PAGE_SIZE = 256  # members in one response of the admin server
ChangeCallback = Callable[[Change | QuorumChanged], None]


class Membership:
    """One member: its socket and timer. What is sent, and to whom, is decided in ``members/``.

    Raises OSError if the address cannot be bound. A datagram that cannot be sent is counted and lost, as on a
    network: the protocol tolerates that.
    """

    def __init__(self, loop: Loop, settings: MembershipSettings) -> None:
        self._loop, self._settings = loop, settings
        self._boot_id = int.from_bytes(os.urandom(4), "big")
        self._sock = socket.socket(address_family(settings.listen), socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        try:
            self._sock.bind(settings.listen)
        except OSError:
            self._sock.close()
            raise
        seed = int.from_bytes(os.urandom(8), "big")
        self.protocol = Protocol(
            settings.timing, settings.group, settings.own_record(self._boot_id), settings.voter_sets,
            settings.seed_addresses, seed, settings.nonvoters,
        )  # fmt: skip
        self._received: deque[tuple[Address, bytes]] = deque()
        self._processing = self._closed = False
        self._change_callbacks: list[ChangeCallback] = []
        self._report_callbacks: list[Callable[[ObservationsReceived], None]] = []
        self._event_number = 0  # of the last event datagram: a reader detects losses by it
        self.seed_discovery: object = None  # discovers seed addresses; kept alive by this reference
        self._timer: Timer | None = None
        self._timer_at: datetime | None = None
        loop.watch(self._sock.fileno(), READ, self._on_readable)
        self._apply_outputs(self.protocol.start(loop.clock.now()))

    @property
    def address(self) -> Address:
        """The address it listens on."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    @property
    def quorum_state(self) -> QuorumState:
        """This member's quorum state."""
        return self.protocol.quorum_state

    @property
    def alive(self) -> int:
        """The number of members that this one considers alive, itself included."""
        return self.protocol.alive

    def on_change(self, callback: ChangeCallback) -> None:
        """Add a callback for each change of a member and of this member's quorum state."""
        self._change_callbacks.append(callback)

    def on_observations(self, callback: Callable[[ObservationsReceived], None]) -> None:
        """Add a callback for the call server observations of other members."""
        self._report_callbacks.append(callback)

    def report_observation(self, observation: Observation) -> None:
        """Report an observation that this member has just made of a call server."""
        self._apply_outputs(self.protocol.observe(self._loop.clock.now(), observation))

    def set_discovered_seeds(self, addresses: Iterable[Address]) -> None:
        """Set the seed addresses found by name lookups."""
        self._apply_outputs(self.protocol.seeds_found(self._loop.clock.now(), addresses))

    def leave(self) -> None:
        """Announce that this member leaves; later datagrams are not answered."""
        if not self.protocol.left:
            self._apply_outputs(self.protocol.leave(self._loop.clock.now()))

    def close(self) -> None:
        """Close the socket without announcing a leave, as a process that dies."""
        self._closed = True
        self._received.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()

    def view(self, query: dict[str, str]) -> dict[str, object]:
        """A page of the member table for the admin server, sorted by name; ``after``: the last name seen."""
        table, after = self.protocol.view, query.get("after", "")
        names = sorted(record.name for record in table if record.name > after)
        page = [record for name in names[:PAGE_SIZE] if (record := table.get(name)) is not None]
        voters = self.protocol.quorum.current
        return {
            "name": self._settings.name,
            "standing": self.quorum_state.value,
            "roster": {"version": voters.version, "members": len(voters.names), "majority": voters.majority},
            "view": {"version": table.version, "digest": f"{table.digest:016x}", "members": len(table)},
            "health": self.protocol.health.score,
            "members": [self._describe(record) for record in page],
            "more": page[-1].name if len(names) > PAGE_SIZE else None,
        }

    # --- the loop ---

    def _on_readable(self, _: int) -> None:
        """Read the datagrams, which costs little; they are processed when there is time between calls."""
        for _n in range(MAX_READS_PER_TURN):
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM + 1)
            except BlockingIOError:
                break
            except OSError:
                COUNTERS.add("members.socket_errors")  # e.g. the destination port of a datagram was closed
                continue
            if len(self._received) < MAX_QUEUED:
                self._received.append((source[:2], data))
            else:
                COUNTERS.add("members.dropped.no_room")
        if self._received and not self._processing:
            job = self._loop.background.add("members_heard", self._process_received, Urgency.PROBE, MAX_DELAY)
            self._processing = job is not None

    def _process_received(self) -> Slices:
        try:
            while self._received:
                source, data = self._received.popleft()
                self._apply_outputs(self.protocol.datagram_received(self._loop.clock.now(), source, data))
                yield
        finally:  # an exception costs one datagram, not all that follow
            self._processing = False

    def _on_timer(self) -> None:
        self._timer = self._timer_at = None
        if self._loop.background.add("members_due", self._run_due, Urgency.PROBE, MAX_DELAY) is None:
            self._run_due()

    def _run_due(self) -> None:
        if not self._closed:
            self._apply_outputs(self.protocol.wake(self._loop.clock.now()))

    def _apply_outputs(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(output)
            elif isinstance(output, ObservationsReceived):
                for callback in self._report_callbacks:
                    callback(output)
            else:
                self._notify(output)
        due = self.protocol.due_at
        if due is not None and (self._timer_at is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._timer_at = self._loop.call_at(due, self._on_timer), due

    def _send(self, send: Send) -> None:
        try:
            self._sock.sendto(send.data, send.to)
        except OSError:
            COUNTERS.add("members.not_sent")

    def _notify(self, change: Change | QuorumChanged) -> None:
        if isinstance(change, QuorumChanged):
            log(f"membership: {change.new.value}, was {change.old.value}", "membership")
        elif change.new is not None and (change.old is None or change.old.state is not change.new.state):
            log(f"member {change.name} is {change.new.state.name.lower()}", f"member {change.new.state.name}")
        for callback in self._change_callbacks:
            callback(change)
        if self._settings.event_address is not None:
            self._send_event(self._settings.event_address, change)

    def _send_event(self, address: Address, change: Change | QuorumChanged) -> None:
        """Send one change as JSON, in a datagram that may be lost: nothing here may wait for a reader."""
        self._event_number += 1
        event: dict[str, object] = {
            "by": self._settings.name, "life": self._boot_id, "n": self._event_number,
            "at_us": micros(self._loop.clock.now()),
            "view": self.protocol.view.version, "digest": f"{self.protocol.view.digest:016x}",
        }  # fmt: skip
        if isinstance(change, QuorumChanged):
            event |= {"event": "standing", "old": change.old.value, "new": change.new.value}
        else:
            event |= {
                "event": "member", "about": change.name,
                "old": None if change.old is None else self._describe(change.old),
                "new": None if change.new is None else self._describe(change.new),
            }  # fmt: skip
        try:
            self._sock.sendto(json.dumps(event).encode(), address)
        except OSError:
            COUNTERS.add("members.not_told")

    def _describe(self, record: Record) -> dict[str, object]:
        return {
            "name": record.name, "state": record.state.name.lower(), "incarnation": record.incarnation,
            "life": record.boot_id, "address": format_address(record.address), "zone": record.zone,
            "build": f"{record.build:08x}", "roster": record.voters_id,
            "damped": self.protocol.damping.is_damped(record.name),
        }  # fmt: skip
