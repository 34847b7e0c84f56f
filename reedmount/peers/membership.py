"""The members of a group on the loop: datagrams in and out, one timer, views for the door, changes told."""

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

MAX_TURN = 64  # datagrams read in one turn of the loop
MAX_HELD = 512  # that are read and not looked at yet; what comes beyond that is lost, as on the net
SOON = timedelta(milliseconds=20)  # so long they and what is due may wait for calls
PAGE = 256  # members in one answer at the door
Hear = Callable[[Change | QuorumChanged], None]


class Membership:
    """One member. Sockets and timers; what to say, and to whom, is decided in ``members/``.

    Raises OSError where the address cannot be had. A datagram that cannot be sent is counted and lost, as
    on the net: the protocol lives with that.
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
            settings.timing, settings.group, settings.me(self._boot_id), settings.voter_sets,
            settings.seed_addresses, seed, settings.nonvoters,
        )  # fmt: skip
        self._held: deque[tuple[Address, bytes]] = deque()
        self._looking = self._closed = False
        self._told: list[Hear] = []
        self._of_servers: list[Callable[[ObservationsReceived], None]] = []
        self._number = 0  # of what was told at ``tell``: a reader sees what was lost
        self.seed_discovery: object = None  # what looks for ways in, as long as we are there
        self._timer: Timer | None = None
        self._timer_at: datetime | None = None
        loop.watch(self._sock.fileno(), READ, self._ready)
        self._do(self.protocol.start(loop.clock.now()))

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    @property
    def quorum_state(self) -> QuorumState:
        """Whether this member may decide for all."""
        return self.protocol.quorum_state

    @property
    def alive(self) -> int:
        """How many members are alive as we see it, ourselves included."""
        return self.protocol.alive

    def on_change(self, hear: Hear) -> None:
        """Have somebody hear of each change of a member, and of our standing."""
        self._told.append(hear)

    def on_observations(self, hear: Callable[[ObservationsReceived], None]) -> None:
        """Have somebody hear of what others have seen of call servers."""
        self._of_servers.append(hear)

    def observe(self, observation: Observation) -> None:
        """We saw this of a call server ourselves, just now."""
        self._do(self.protocol.observe(self._loop.clock.now(), observation))

    def found_ways(self, ways: Iterable[Address]) -> None:
        """Addresses to join by, as a name has them now."""
        self._do(self.protocol.seeds_found(self._loop.clock.now(), ways))

    def leave(self) -> None:
        """Say that we go; what comes after it is not answered."""
        if not self.protocol.left:
            self._do(self.protocol.leave(self._loop.clock.now()))

    def close(self) -> None:
        """Be gone, as a process that dies."""
        self._closed = True
        self._held.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.unwatch(self._sock.fileno())
        self._sock.close()

    def view(self, query: dict[str, str]) -> dict[str, object]:
        """A page of the table, for the door, by name; ``after`` asks for what comes after a name."""
        table, after = self.protocol.view, query.get("after", "")
        names = sorted(record.name for record in table if record.name > after)
        page = [record for name in names[:PAGE] if (record := table.get(name)) is not None]
        voters = self.protocol.quorum.current
        return {
            "name": self._settings.name,
            "standing": self.quorum_state.value,
            "roster": {"version": voters.version, "members": len(voters.names), "majority": voters.majority},
            "view": {"version": table.version, "digest": f"{table.digest:016x}", "members": len(table)},
            "health": self.protocol.health.score,
            "members": [self._line(record) for record in page],
            "more": page[-1].name if len(names) > PAGE else None,
        }

    # --- the loop ---

    def _ready(self, _: int) -> None:
        """Read what has come, which costs little; it is looked at when there is time between calls."""
        for _n in range(MAX_TURN):
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM + 1)
            except BlockingIOError:
                break
            except OSError:
                COUNTERS.add("members.socket_errors")  # a port that nobody listens at says so here
                continue
            if len(self._held) < MAX_HELD:
                self._held.append((source[:2], data))
            else:
                COUNTERS.add("members.dropped.no_room")
        if self._held and not self._looking:
            job = self._loop.background.add("members_heard", self._look, Urgency.PROBE, SOON)
            self._looking = job is not None

    def _look(self) -> Slices:
        try:
            while self._held:
                source, data = self._held.popleft()
                self._do(self.protocol.datagram_received(self._loop.clock.now(), source, data))
                yield
        finally:  # a fault costs one datagram, not all that come after it
            self._looking = False

    def _wake(self) -> None:
        self._timer = self._timer_at = None
        if self._loop.background.add("members_due", self._due, Urgency.PROBE, SOON) is None:
            self._due()

    def _due(self) -> None:
        if not self._closed:
            self._do(self.protocol.wake(self._loop.clock.now()))

    def _do(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(output)
            elif isinstance(output, ObservationsReceived):
                for hear in self._of_servers:
                    hear(output)
            else:
                self._tell(output)
        due = self.protocol.due_at
        if due is not None and (self._timer_at is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._timer_at = self._loop.call_at(due, self._wake), due

    def _send(self, send: Send) -> None:
        try:
            self._sock.sendto(send.data, send.to)
        except OSError:
            COUNTERS.add("members.not_sent")

    def _tell(self, change: Change | QuorumChanged) -> None:
        if isinstance(change, QuorumChanged):
            log(f"membership: {change.new.value}, was {change.old.value}", "membership")
        elif change.new is not None and (change.old is None or change.old.state is not change.new.state):
            log(f"member {change.name} is {change.new.state.name.lower()}", f"member {change.new.state.name}")
        for hear in self._told:
            hear(change)
        if self._settings.tell is not None:
            self._report(self._settings.tell, change)

    def _report(self, to: Address, change: Change | QuorumChanged) -> None:
        """One change as JSON: a datagram that may be lost, since nothing here may wait for a reader."""
        self._number += 1
        line: dict[str, object] = {
            "by": self._settings.name, "life": self._boot_id, "n": self._number,
            "at_us": micros(self._loop.clock.now()),
            "view": self.protocol.view.version, "digest": f"{self.protocol.view.digest:016x}",
        }  # fmt: skip
        if isinstance(change, QuorumChanged):
            line |= {"event": "standing", "old": change.old.value, "new": change.new.value}
        else:
            line |= {
                "event": "member", "about": change.name,
                "old": None if change.old is None else self._line(change.old),
                "new": None if change.new is None else self._line(change.new),
            }  # fmt: skip
        try:
            self._sock.sendto(json.dumps(line).encode(), to)
        except OSError:
            COUNTERS.add("members.not_told")

    def _line(self, record: Record) -> dict[str, object]:
        return {
            "name": record.name, "state": record.state.name.lower(), "incarnation": record.incarnation,
            "life": record.boot_id, "address": format_address(record.address), "zone": record.zone,
            "build": f"{record.build:08x}", "roster": record.voters_id,
            "damped": self.protocol.damping.is_damped(record.name),
        }  # fmt: skip
