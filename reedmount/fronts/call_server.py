"""One call server of the platform: an actor with its connections, queued messages and open attempts."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta
from typing import Protocol

from reedmount import interface as i
from reedmount.core.actors import Actor
from reedmount.core.bounded import BoundedDict
from reedmount.core.checks import COUNTERS, log
from reedmount.core.clock import stamp, whole_millis
from reedmount.core.ports import CUT, CancelSetup, ListedServer, Release, Setup
from reedmount.core.switch import NO_REPORT, Switch
from reedmount.fronts.established_calls import EstablishedCalls
from reedmount.fronts.replaced_process import ReplacedProcess
from reedmount.fronts.retry_timer import RetryTimer
from reedmount.fronts.server_connection import (
    Attempt,
    Connected,
    ConnectionLimits,
    DataReceived,
    Disconnected,
    Outgoing,
    ServerConnection,
)
from reedmount.fronts.server_message_reader import ServerMessageReader
from reedmount.fronts.thin_protocol import (
    CAUSES,
    ID,
    OUTCOMES,
    build_ack_or_cancel,
    build_bye,
    build_options_probe,
    is_valid_description,
    load_report,
    release_cause,
)
from reedmount.net.connection import Address, EndReason
from reedmount.net.loop import Loop
from reedmount.sip.message import Message, SipError, request, response

SILENCE_TIMEOUT = timedelta(seconds=3)  # after this, a connection with a hung set-up is retired
RETIRED_LINGER = timedelta(milliseconds=1500)  # a retired connection still receives what is in transit
LIMIT_RESET_AFTER = timedelta(seconds=10)  # a server that accepted no more connections is tried again
MIN_LIFETIME = timedelta(milliseconds=100)  # a server at its limit may accept a connection and close it
MAX_REPLACEMENT_ATTEMPTS = 8  # dials to replace a broken connection: some 5 s in all
MAX_REASSIGNMENTS = 2  # of an unsent set-up to another connection
MAX_CONNECTIONS_PER_SERVER = 8
RESTARTED = "its process was restarted"
MAX_REMEMBERED_CALLS = 1024  # abandoned attempts, and releases that wait, for each server


class CallServerCollection(Protocol):
    """What a call server's actor needs of the collection of all call servers."""

    limits: ConnectionLimits

    def may_open_connection(self) -> bool:
        """Whether a call server that has a connection may open another."""

    def has_unsent_release(self, name: str, /) -> bool:
        """Whether the release of a call has not been passed on, so that it must not be confirmed yet."""


ServerEvent = Setup | CancelSetup | Release | ListedServer | Connected | DataReceived | Disconnected


class CallServer:
    """The actor of one call server: its connections, what is queued for it and its open attempts.

    A listed call server is always kept connected, even while it drains: calls from before the start of this
    process may be established there, and it can send their releases only on a connection opened from here.
    """

    def __init__(
        self,
        loop: Loop,
        switch: Switch,
        entry: ListedServer,
        call_servers: CallServerCollection,
        max_connections: int = MAX_CONNECTIONS_PER_SERVER,
    ) -> None:
        self.loop, self._switch, self._entry = loop, switch, entry
        self._call_servers, self.limits = call_servers, call_servers.limits
        self._actor: Actor[ServerEvent] = Actor(loop, self._handle)
        self.post = self._actor.post
        self._connections: list[ServerConnection] = []
        self._retired: list[ServerConnection] = []  # get no new set-ups; some may still be open there
        self._max_connections, self._connection_limit = max_connections, max_connections
        self._attempts: dict[str, Attempt] = {}
        # Attempts given up: a late answer is released.
        self._abandoned = BoundedDict[str, None](MAX_REMEMBERED_CALLS)
        # Releases that wait for a connection.
        self._pending_releases: deque[Outgoing] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self.established_calls = EstablishedCalls(self)
        self._answered_sent_at: datetime | None = None  # when the latest set-up that was answered was sent
        self._reconnect_timer = RetryTimer(loop, self._dial_if_unconnected)
        self._reader = ServerMessageReader(loop, self._dispatch, self._close_malformed)
        self._replaced = ReplacedProcess(self)
        # Of other names at this address: the next one, and the one before until its connections have ended.
        self._successor: CallServer | None = None
        self._predecessor: CallServer | None = None
        # When a connection broke on which a release may have been in transit.
        self._releases_at_risk_since: datetime | None = None
        self._replacement_timer, self._replacement_attempts = RetryTimer(loop, self._retry_replacement), 0
        self._dial()  # it first sends the state of its lines, and releases from before our restart

    @property
    def address(self) -> Address:
        """The address at which the call server listens."""
        return self._entry.address

    @property
    def name(self) -> str:
        """Its name in the list."""
        return self._entry.server

    @property
    def started(self) -> datetime | None:
        """When its process was started, where the list says so."""
        return self._entry.started

    def hand_over_calls(self, successor: CallServer) -> None:
        """Give the established calls that the new process at this address has to its call server.

        Those that it may have are moved at once, and end if no connection proves it. The others end as this
        call server is removed.
        """
        self._successor, successor._predecessor = successor, self
        if successor.started is not None:
            moved = self._replaced.begin(successor.started)
            self._switch.move_calls(moved, successor.name)
            self._replaced.move_calls(moved, successor.established_calls)
        COUNTERS.add("server.replaced")
        self.loop.trace("server.replaced", server=self.name, successor=successor.name,
                        started=stamp(successor.started), ended=len(self.established_calls),
                        moved=len(successor.established_calls))  # fmt: skip
        if not self.open_connections():
            for name, dialled_at in self.established_calls.dial_times().items():
                if successor.started is None or dialled_at >= successor.started:
                    successor.post(Release(name, CUT))

    def remember_abandoned(self, name: str) -> None:
        """Release a late answer to an attempt at this address that was given up."""
        self._abandoned[name] = None

    def takeover_finished(self, connections: Sequence[ServerConnection]) -> None:
        """These connections are not needed any more as a proof of which calls the new process has."""
        if self._entry.removed:
            for connection in connections:
                connection.transport.finish_writing()

    @property
    def connection_count(self) -> int:
        """How many sockets this call server uses, retired connections included."""
        return len(self._connections) + len(self._retired)

    def probe_if_calls_established(self) -> None:
        """Probe the call server if it has established calls, since the process is shutting down."""
        if self.established_calls:
            self.established_calls.probe_now()

    def drop_if_silent(self) -> None:
        """At shutdown, drop the calls of a server that left its probe unanswered: nobody else tracks them."""
        self._replaced.expire()
        if self.established_calls.server.first_probe_at is not None:
            self.established_calls.drop_all("its server is silent and the process ends")

    @property
    def _is_reachable(self) -> bool:
        """Whether a connection to the process is up, also under the name that it was reached by before."""
        before = self._predecessor
        return bool(self.open_connections() or before is not None and before.open_connections())

    # --- CallServerPort, used by EstablishedCalls ---

    def open_connections(self) -> list[ServerConnection]:
        """The connections that are up, retired ones included."""
        return [
            connection
            for connection in (*self._connections, *self._retired)
            if connection.transport.connected
        ]

    def send_probe(self, connection: ServerConnection) -> None:
        """Send a probe; any message received in return shows that the connection works."""
        connection.queue(Outgoing(build_options_probe(), "out.server.OPTIONS", is_probe=True))

    def close_silent(self, connection: ServerConnection) -> None:
        """Close a connection that alone is silent; the server resends its releases on the next one."""
        COUNTERS.add("server.lane_silent")
        self.loop.trace("server.connection_silent", server=self._entry.server, lane=connection.number)
        connection.transport.close()
        self._on_disconnected(connection, EndReason.RESET)

    def reconnect(self) -> None:
        """No connection receives anything: retire all of them and dial a new one."""
        COUNTERS.add("server.unheard")
        silence = self.loop.clock.now() - self.established_calls.server.last_received_at
        self.loop.trace("server.unheard", server=self._entry.server, standing=len(self.established_calls),
                        silent_ms=whole_millis(silence))  # fmt: skip
        for connection in [connection for connection in self._connections if connection.transport.connected]:
            self._retire(connection, "its server is silent")
        if not self._connections and self._call_servers.may_open_connection():
            self._dial()

    def calls_lost(self, calls: Iterable[tuple[str, ServerConnection | None]], reason: str) -> None:
        """Report calls as lost, and release them at their server in case it still has them."""
        for name, connection in calls:
            self._switch.call_lost(name, self._entry.server, reason)
            item = _release(name, CUT)
            if connection is not None and connection.open:
                connection.queue(item)
            else:
                self._pending_releases.append(item)

    # --- events ---

    def _handle(self, event: ServerEvent) -> None:
        match event:
            case Setup():
                self._start_setup(event)
            case CancelSetup(name, number):
                attempt = self._attempts.get(name)
                if attempt is not None and attempt.setup.attempt == number:
                    self._cancel(attempt, i.Outcome.CANCELLED)
            case Release(name, cause):
                self._release(name, cause)
            case ListedServer():
                self._update_entry(event)
            case Connected(connection):
                self._on_connected(connection)
            case DataReceived(connection):
                self._read(connection)
            case Disconnected(connection, how):
                self._on_disconnected(connection, how)

    # --- the list ---

    def _update_entry(self, entry: ListedServer) -> None:
        previous, self._entry = self._entry, entry
        if entry.started is not None and (previous.started is None or entry.started > previous.started):
            self._process_restarted(entry.started, previous.started)
        if entry.serving:
            return
        for attempt in [attempt for attempt in self._attempts.values() if attempt.sent_at is None]:
            if attempt.connection is not None:
                attempt.connection.withdraw(attempt)
            self._end_attempt(attempt, i.Outcome.NOT_SENT)
        if entry.removed:
            self._release_all()
            self._switch.server_lost(entry.server, "it was removed from the list")
            self._finish_connections()
            if self._successor is not None:
                for name in self._abandoned:  # the late answer may come on its connections
                    self._successor.remember_abandoned(name)
            self.loop.call_later(RETIRED_LINGER, self._stop)

    def _process_restarted(self, started: datetime, previous: datetime | None) -> None:
        """End the calls that the process before its restart had."""
        unproven = set(self._replaced.begin(started))
        ended = [name for name in self.established_calls.names() if name not in unproven]
        COUNTERS.add("server.restarted")
        self.loop.trace("server.restarted", server=self.name, started=stamp(started), before=stamp(previous),
                        ended=len(ended), kept=len(unproven))  # fmt: skip
        self.established_calls.drop(ended, RESTARTED)
        for connection in [connection for connection in self._connections if connection.dialled_at < started]:
            self._leave_old_process(connection)
        self._dial_if_unconnected()

    def _leave_old_process(self, connection: ServerConnection) -> None:
        """Retire a connection to a process that has ended, and end its attempts; unsent ones go elsewhere."""
        self._retire(connection, RESTARTED)
        for attempt in list(connection.attempts.values()):
            item = connection.withdraw(attempt)
            if item is None:
                self._cancel(attempt, i.Outcome.RESET)
            else:
                self._assign(item, attempt)

    def _release_all(self) -> None:
        """Release the established calls: another process may answer at the address and have some of them."""
        for name in self.established_calls.names():
            connection = self.established_calls.pop(name)
            if connection is not None and connection.transport.connected:
                connection.queue(_release(name, CUT))

    def _finish_connections(self) -> None:
        """The server was removed: end its attempts, and close its connections.

        Of those without attempts only our sending side is closed at first: releases of calls from before our
        start may be in transit to us.
        """
        connections, self._connections, self._retired = [*self._connections, *self._retired], [], []
        self.established_calls.clear()
        self._pending_releases.clear()
        for connection in connections:
            connection.outbox.clear()
            if self._replaced.awaits(connection):
                for attempt in list(connection.attempts.values()):
                    self._cancel(attempt, i.Outcome.RESET)
                self._retired.append(connection)
            elif connection.attempts or not connection.transport.idle:
                connection.transport.close()
            else:
                connection.transport.finish_writing()
                self._retired.append(connection)
        for attempt in list(self._attempts.values()):
            self._end_attempt(attempt, i.Outcome.RESET)

    def _stop(self) -> None:
        """Close what is left of a removed server's connections, and stop the actor."""
        for connection in self._retired:
            connection.transport.close()
        self._retired.clear()
        self._actor.stop()
        if self._successor is not None:
            self._successor._predecessor = None

    # --- outgoing messages ---

    def _start_setup(self, setup: Setup) -> None:
        timer = self.loop.call_later(setup.give_up, lambda: self._expire(setup))
        attempt = Attempt(setup, timer, f"sip:{setup.number}@net")
        self._attempts[setup.name] = attempt
        if not self._entry.serving:
            self._end_attempt(attempt, i.Outcome.NOT_SENT)
            return
        headers = [
            ("Via", attempt.via),
            ("Call-ID", setup.name),
            ("CSeq", "1 INVITE"),
            ("X-Cos", setup.call_class),
            ("X-Timer-Ms", str(whole_millis(setup.give_up))),
        ]
        data = request("INVITE", attempt.uri, headers, setup.description).encode()
        self._retire_hung()
        self._assign(Outgoing(data, "out.server.INVITE", attempt=attempt), attempt)

    def _assign(self, item: Outgoing, attempt: Attempt) -> None:
        """Assign a set-up to a free connection, else a new one, else the one with the fewest attempts."""
        name = attempt.setup.name
        for stale in [connection for connection in self._connections if connection.stale]:
            self._retire(stale, "its server may close it as idle")
        able = [connection for connection in self._connections if name not in connection.answered]
        free = (connection for connection in able if connection.free)
        connection = max(free, key=lambda connection: connection.transport.last_received_at, default=None)
        if connection is None and len(self._connections) < self._connection_limit + (not able):
            connection = self._dial() if not able or self._call_servers.may_open_connection() else None
        if connection is None:
            connection = min(
                able,
                key=lambda connection: (not connection.transport.connected, len(connection.attempts)),
                default=None,
            )
        if connection is None:
            self._end_attempt(attempt, i.Outcome.UNREACHABLE)
            return
        attempt.connection = connection
        connection.attempts[name] = attempt
        connection.queue(item)

    def _retire_hung(self) -> None:
        """Retire connections with a hung set-up that receive nothing: the machine may have vanished."""
        since = self.loop.clock.now() - SILENCE_TIMEOUT
        for connection in [
            connection
            for connection in self._connections
            if connection.transport.connected and connection.transport.last_received_at < since
        ]:
            if any(attempt.sent_at and attempt.sent_at < since for attempt in connection.attempts.values()):
                COUNTERS.add("server.silent")
                self._retire(connection, "a set-up hangs and nothing is received")

    def _retire(self, connection: ServerConnection, reason: str) -> None:
        """Send no more set-ups there; close it once nothing is open and what was in transit has been read."""
        if connection in self._connections:
            COUNTERS.add("server.retired")
            self.loop.trace("server.connection_retired", server=self._entry.server, lane=connection.number,
                            reason=f'"{reason}"')  # fmt: skip
            self._connections.remove(connection)
            self._retired.append(connection)
            self.loop.call_later(RETIRED_LINGER, lambda: self._close_retired(connection))

    def _close_retired(self, connection: ServerConnection, finished: bool = False) -> None:
        """First shut down only our sending side: a full close would lose a release in transit to us."""
        if connection not in self._retired:
            return
        used = connection.attempts or connection.outbox or self.established_calls.uses(connection)
        if not finished and not used:
            connection.transport.finish_writing()
        if not finished or used:
            self.loop.call_later(RETIRED_LINGER, lambda: self._close_retired(connection, not used))
            return
        self._retired.remove(connection)
        connection.transport.close()
        self._dial_if_unconnected()

    def _expire(self, setup: Setup) -> None:
        attempt = self._attempts.get(setup.name)
        if attempt is not None and attempt.setup is setup:
            self._cancel(attempt, i.Outcome.TIMED_OUT)

    def _cancel(self, attempt: Attempt, outcome: i.Outcome) -> None:
        """Write the CANCEL; the attempt stays open until that is written or the attempt times out."""
        connection = attempt.connection
        if connection is None or connection.withdraw(attempt) is not None:
            self._end_attempt(attempt, outcome)
            return
        if not attempt.ending:
            attempt.ending = True
            data = build_ack_or_cancel("CANCEL", attempt.uri, attempt.setup.name, attempt.via)
            connection.queue(
                Outgoing(data, "out.server.CANCEL", lambda: self._end_attempt(attempt, outcome)),
                at_front=True,
            )
            self._retire_unanswered(connection, attempt, outcome)
        if outcome is i.Outcome.TIMED_OUT:
            self._end_attempt(attempt, outcome)

    def _retire_unanswered(self, connection: ServerConnection, attempt: Attempt, outcome: i.Outcome) -> None:
        """Retire a connection whose answer timed out or was overtaken by answers to later set-ups.

        A connection stays open after an answer that was cut short or never sent, and set-ups sent there next
        would hang as well.
        """
        sent, answered = attempt.sent_at, self._answered_sent_at
        overtaken = sent is not None and answered is not None and answered > sent
        if overtaken or outcome is i.Outcome.TIMED_OUT:
            self._retire(connection, "an answer never came")
            self.established_calls.probe_suspect(connection)

    def _end_attempt(self, attempt: Attempt, outcome: i.Outcome, message: Message | None = None) -> None:
        name = attempt.setup.name
        if self._attempts.get(name) is not attempt:
            return
        del self._attempts[name]
        self._free_connection(attempt)
        if message is None and attempt.sent_at is not None:
            self.remember_abandoned(name)
        cause, report = i.Cause.NONE, NO_REPORT
        if message is not None:
            note = message.get("X-Diagnosis") or ""
            cause = CAUSES.get(note, i.Cause.OTHER if note else i.Cause.NONE)
            report = load_report(message)
        self._switch.attempt_ended(name, attempt.setup.attempt, outcome, cause, report)

    def _free_connection(self, attempt: Attempt) -> None:
        """Remove an ended attempt; its free connection takes a set-up that waits for another to come up."""
        attempt.timer.cancel()
        connection = attempt.connection
        if connection is None:
            return
        connection.attempts.pop(attempt.setup.name, None)
        if connection in self._connections and connection.free:
            for other in self._connections:
                waiting = next((a for a in other.attempts.values() if a.sent_at is None), None)
                if (
                    waiting is not None
                    and other is not connection
                    and waiting.setup.name not in connection.answered
                ):
                    item = other.withdraw(waiting)
                    if item is not None:
                        waiting.connection = connection
                        connection.attempts[waiting.setup.name] = waiting
                        connection.queue(item)
                        return

    def _release(self, name: str, cause: int) -> None:
        connection = self.established_calls.pop(name)
        self._send(_release(name, cause), connection)

    def _send(self, item: Outgoing, connection: ServerConnection | None = None) -> None:
        """Send a message of an established call on the call's connection, else on any."""
        if connection is None or connection not in self._connections or connection.stale:
            up = [
                connection
                for connection in self._connections
                if connection.transport.connected and not connection.stale
            ]
            able = up or [connection for connection in self._connections if not connection.stale]
            connection = min(able, key=lambda connection: len(connection.attempts), default=None)
        if connection is None and not self._reconnect_timer.pending:
            connection = self._dial()
        if connection is not None:
            connection.queue(item)
        else:
            self._pending_releases.append(item)

    # --- connections ---

    def _dial(self) -> ServerConnection | None:
        if self._entry.removed:
            return None
        COUNTERS.add("server.connects")
        self.loop.trace("server.dial", server=self._entry.server, held=self.connection_count)
        try:
            connection = ServerConnection(self)
        except OSError as error:
            COUNTERS.add("server.no_socket")
            log(f"{self._entry.server}: {error}")
            self._reconnect_timer.schedule()
            return None
        self._connections.append(connection)
        late, self._pending_releases = self._pending_releases, deque(maxlen=MAX_REMEMBERED_CALLS)
        for item in late:
            connection.queue(item)
        return connection

    def _on_connected(self, connection: ServerConnection) -> None:
        if not connection.announced:
            connection.announced = True
            self.loop.trace("server.connected", server=self._entry.server, lane=connection.number,
                            after_ms=whole_millis(connection.transport.opened_at - connection.dialled_at),
                            standing=len(self.established_calls))  # fmt: skip
        self.established_calls.connection_opened(connection)
        if (
            self._releases_at_risk_since is not None
            and connection.transport.opened_at >= self._releases_at_risk_since
        ):
            self._releases_at_risk_since = None
        if len(self._connections) > self._connection_limit:
            spare = next(
                (other for other in self._connections if other.free and other is not connection), None
            )
            if spare is not None:
                self._retire(spare, "more than its server accepts")
        if connection.transport.idle:
            connection.finish_write()
            connection.pump()

    def _on_disconnected(self, connection: ServerConnection, how: EndReason) -> None:
        """A connection has ended: open attempts are reset, what was not sent goes to other connections."""
        active = connection in self._connections
        if active:
            self._connections.remove(connection)
        elif connection in self._retired:
            self._retired.remove(connection)
        else:
            return
        self._replaced.connection_ended(connection)
        unreachable = how in (EndReason.REFUSED, EndReason.NEVER_UP)
        now = self.loop.clock.now()
        short_lived = now - connection.transport.opened_at < MIN_LIFETIME
        others = any(other.transport.connected for other in self._connections)
        self.established_calls.connection_lost(connection)
        if active and (unreachable or short_lived) and others:
            self._connection_limit = max(1, len(self._connections))  # it accepts no more at present
            self.loop.call_later(LIMIT_RESET_AFTER, self._reset_limit)
        if how is EndReason.REFUSED and active and not self._is_reachable and self.established_calls:
            # The server process has ended, and its established calls with it.
            self.established_calls.clear()
            self._switch.server_lost(self._entry.server, "it refuses connections")
        self.loop.trace("server.connection_ended", server=self._entry.server, lane=connection.number,
                        how=f'"{how.value}"', open=len(connection.attempts), retired=not active)  # fmt: skip
        connection.finish_write()
        for attempt in [attempt for attempt in connection.attempts.values() if attempt.sent_at is not None]:
            self._end_attempt(attempt, i.Outcome.RESET)
        self._pending_releases.extend(connection.releases_at_risk())
        self._requeue(connection, unreachable and not others)
        if unreachable or short_lived:
            if short_lived:
                self._releases_at_risk_since = now
            if not self._connections:
                self._reconnect_timer.schedule()
            elif self._releases_at_risk_since is not None:
                self._schedule_replacement()
            return
        self._reconnect_timer.reset()
        self._replacement_timer.reset()
        if how is not EndReason.CLOSED or not self._connections:
            self._releases_at_risk_since, self._replacement_attempts = now, 0
            # Of several connections that were idle for too long, those closed are not opened again.
            self._replace_connection()

    def _replace_connection(self) -> None:
        """Dial a new connection: the server resends there the releases that were in transit on a broken one.

        The new one may come up late, never, or break as well, so dialling is repeated until one stays up.
        """
        if (
            len(self._connections) > self._connection_limit
            or self._connections
            and not self._call_servers.may_open_connection()
        ):
            self._schedule_replacement()
        else:
            self._dial()

    def _schedule_replacement(self) -> None:
        if not self._replacement_timer.pending and self._replacement_attempts < MAX_REPLACEMENT_ATTEMPTS:
            self._replacement_attempts += 1
            self._replacement_timer.schedule()

    def _retry_replacement(self) -> None:
        if self._releases_at_risk_since is not None:
            self._replace_connection()

    def _requeue(self, connection: ServerConnection, unreachable: bool = False) -> None:
        """Move what is queued on an ended connection to others; after a refused one no server was running."""
        items, connection.outbox = list(connection.outbox), deque()
        for item in items:
            attempt = item.attempt
            if item.is_probe:
                continue
            if attempt is None:
                if item.on_written is None:
                    self._pending_releases.append(item)  # a CANCEL has nothing left to stop
                else:
                    item.on_written()
                continue
            connection.attempts.pop(attempt.setup.name, None)
            attempt.reassignments += 1
            if unreachable or attempt.reassignments > MAX_REASSIGNMENTS:
                self._end_attempt(attempt, i.Outcome.UNREACHABLE)
            else:
                self._assign(item, attempt)
        if self._pending_releases and self._connections:
            late, self._pending_releases = self._pending_releases, deque(maxlen=MAX_REMEMBERED_CALLS)
            for item in late:
                self._send(item)

    def _reset_limit(self) -> None:
        self._connection_limit = self._max_connections

    def _dial_if_unconnected(self) -> None:
        if not self._connections:
            self._dial()

    # --- incoming messages ---

    def _read(self, connection: ServerConnection) -> None:
        self.established_calls.received(connection)
        self._reader.read(connection)

    def _close_malformed(self, connection: ServerConnection, reason: str) -> None:
        """Close a connection whose input cannot be parsed any more."""
        COUNTERS.add("in.server.spoilt")
        log(f"{self._entry.server}: {reason}", kind="spoilt")
        connection.transport.close()
        self._on_disconnected(connection, EndReason.RESET)

    def _dispatch(self, connection: ServerConnection, message: Message) -> None:
        if not message.is_request:
            if message.cseq[1] == "BYE":
                connection.releases.pop(message.call_id, None)
            if message.cseq[1] == "OPTIONS":
                self._replaced.probe_answered(connection)
            if message.cseq[1] == "INVITE" and message.status >= 200:
                self._handle_answer(connection, message)
            return
        COUNTERS.add(f"in.server.{message.method if message.method in ('BYE', 'NOTIFY') else 'other'}")
        if message.method == "NOTIFY":
            report = load_report(message)
            if report is not NO_REPORT and not self._entry.removed:
                self._switch.load_reported(self._entry.server, report)
                self.established_calls.check_report(report)
        elif message.method == "BYE":
            name = message.call_id
            if ID.fullmatch(name):
                self.established_calls.pop(name)
                self._switch.server_released(
                    name, release_cause(message), load_report(message), self._entry.server
                )
            if not self._entry.removed and not self._call_servers.has_unsent_release(name):
                connection.transport.send(response(message, 200).encode())
        elif message.method != "ACK":
            connection.transport.send(response(message, 501).encode())

    def _handle_answer(self, connection: ServerConnection, message: Message) -> None:
        name = message.call_id
        attempt = self._attempts.get(name)
        if attempt is None or not attempt.answered_by(message, connection):
            self._unexpected_answer(connection, message, name)
            return
        COUNTERS.add(f"in.server.{message.status}")
        if message.status < 300 and not is_valid_description(message.body):
            raise SipError(400, "the description is not lines of text")
        connection.answered.append(name)
        connection.mark_used()
        connection.transport.send(build_ack_or_cancel("ACK", attempt.uri, name))
        if attempt.sent_at is not None:
            self._answered_sent_at = max(attempt.sent_at, self._answered_sent_at or attempt.sent_at)
        if message.status >= 300:
            self._end_attempt(attempt, OUTCOMES.get(message.status, i.Outcome.FAILED), message)
            return
        del self._attempts[name]
        is_established = self._switch.established(name, attempt.setup.attempt, message.body)
        if is_established:
            self.established_calls.add(name, connection)
        self._free_connection(attempt)
        if not is_established:
            self._release_late(connection, name)

    def _unexpected_answer(self, connection: ServerConnection, message: Message, name: str) -> None:
        """An answer that no attempt waits for: late for an abandoned one, else duplicate or unsolicited.

        A late one is released, since nobody has that call. Releasing a duplicate would cut the established
        call.
        """
        if message.status < 300 and name in self._abandoned and name not in self._attempts and (
            name not in self.established_calls
        ):  # fmt: skip
            del self._abandoned[name]
            self.loop.trace("answer.late", call=name, server=self._entry.server, lane=connection.number)
            connection.transport.send(build_ack_or_cancel("ACK", f"sip:{name}@net", name))
            self._release_late(connection, name)
        else:
            COUNTERS.add("in.server.unasked")
            self.loop.trace("answer.unasked", call=name, server=self._entry.server, lane=connection.number)

    def _release_late(self, connection: ServerConnection, name: str) -> None:
        COUNTERS.add("server.late_answers")
        if self._switch.defer_release(name, self._entry.server):
            return
        self._send(_release(name, CUT), connection)


def _release(name: str, cause: int) -> Outgoing:
    """A release of a call, sent again if its connection ends before it is confirmed."""
    return Outgoing(build_bye(name, cause), "out.server.BYE", release=name)
